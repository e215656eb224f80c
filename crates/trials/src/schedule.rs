//! What goes wrong, and when.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// What becomes of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeFault {
    /// It takes requests and does not answer.
    Hangs,
    /// It answers 500 at once.
    Fails,
    /// Its answers take many times as long.
    Slow,
    /// Its connections break, and new ones are refused.
    Gone,
    /// It answers one request in ten with 500.
    OneInTen,
}

/// What becomes of requests and answers on the way from one proxy to one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PathFault {
    /// Requests wait on the way until it is mended.
    #[serde(rename = "Held")]
    RequestsHeld,
    /// Requests arrive, answers wait until it is mended.
    #[serde(rename = "Unanswered")]
    ResponsesHeld,
    /// The connection is reset, with the request on it.
    #[serde(rename = "ResetBefore")]
    ResetBeforeRequest,
    /// It is reset once the request has run.
    #[serde(rename = "ResetAfter")]
    ResetAfterRequest,
    /// Answers come byte by byte.
    #[serde(rename = "Trickles")]
    SlowResponse,
}

/// What becomes of a planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessFault {
    /// It is killed, and started anew with nothing.
    Killed,
    /// It is ended by SIGTERM, and started anew.
    #[serde(rename = "Ended")]
    Terminated,
    /// It stands still (SIGSTOP), and goes on.
    #[serde(rename = "Still")]
    Suspended,
}

/// One thing that goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fault {
    /// A node turns bad.
    Node {
        /// Which.
        node: usize,
        /// How.
        #[serde(rename = "does")]
        fault: NodeFault,
    },
    /// The way from a proxy to a node breaks.
    Path {
        /// From.
        proxy: usize,
        /// To.
        node: usize,
        /// How.
        #[serde(rename = "does")]
        fault: PathFault,
    },
    /// Datagrams from some proxies to some others suffer.
    #[serde(rename = "Talk")]
    Datagrams {
        /// From each of these,
        from: Vec<usize>,
        /// to each of these.
        to: Vec<usize>,
        /// So many in a thousand are lost; at 1,000 the way is cut.
        #[serde(rename = "lost")]
        lost_per_mille: u32,
        /// So many in a thousand come twice.
        #[serde(rename = "doubled")]
        duplicated_per_mille: u32,
        /// Each takes up to so many milliseconds, so that they overtake each other.
        #[serde(rename = "delay_ms")]
        max_delay_ms: u64,
    },
    /// A process stands still (SIGSTOP), and goes on.
    #[serde(rename = "Still")]
    Suspended {
        /// Which.
        proxy: usize,
    },
    /// A process is killed, and started anew with nothing.
    Killed {
        /// Which.
        proxy: usize,
    },
    /// A process is ended by SIGTERM, and started anew.
    #[serde(rename = "Ended")]
    Terminated {
        /// Which.
        proxy: usize,
    },
    /// All processes are killed within a second and started anew.
    AllKilled,
    /// A node drains, as the list says, and is back in service.
    Drain {
        /// Which.
        node: usize,
    },
    /// A planner suffers.
    Planner {
        /// Which.
        planner: usize,
        /// How.
        #[serde(rename = "does")]
        fault: ProcessFault,
    },
    /// All planners are killed at once and started anew with nothing.
    AllPlanners,
    /// Streams to planners are cut: nothing is lost, bytes wait until they are mended.
    Streams {
        /// Those of these proxies,
        proxies: Vec<usize>,
        /// and of these planners,
        planners: Vec<usize>,
        /// to each of these planners.
        to: Vec<usize>,
        /// What is said arrives, and answers wait.
        #[serde(rename = "answers")]
        responses_only: bool,
    },
}

/// A fault, from then on for so long.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Milliseconds from the beginning of the play.
    pub at_ms: u64,
    /// How long it lasts.
    #[serde(rename = "for_ms")]
    pub duration_ms: u64,
    /// What it is.
    pub fault: Fault,
}

impl Step {
    /// When it is over.
    pub fn end_ms(&self) -> u64 {
        self.at_ms + self.duration_ms
    }

    /// Whether it lasts at some moment of that span.
    pub fn overlaps(&self, from_ms: u64, until_ms: u64) -> bool {
        self.at_ms < until_ms && from_ms < self.end_ms()
    }
}

/// How large a play is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSize {
    /// Processes of the program.
    pub proxies: usize,
    /// Nodes behind them.
    pub nodes: usize,
    /// How long it lasts, in milliseconds.
    #[serde(rename = "length_ms")]
    pub duration_ms: u64,
    /// Between two nodes that turn bad, so that the first is known before the second begins.
    #[serde(rename = "apart_ms")]
    pub node_fault_spacing_ms: u64,
}

/// What goes wrong in one play.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// What it was drawn from.
    pub seed: u64,
    /// How large it is.
    pub size: RunSize,
    /// Planners that tell the proxies what is listed; without them each watches the list itself.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub planners: usize,
    /// They carry what proxies say to each other; without it datagrams do.
    #[serde(rename = "by_planners", default, skip_serializing_if = "std::ops::Not::not")]
    pub relay_by_planners: bool,
    /// What goes wrong, in the order in which it begins.
    pub steps: Vec<Step>,
}

fn is_zero(count: &usize) -> bool {
    *count == 0
}

/// Faults besides those of nodes.
const MAX_OTHER_FAULTS: usize = 5;
/// Least part of the length after which nothing begins any more, so that each can show.
const LAST_START_FRACTION: f64 = 0.7;

impl Schedule {
    /// That of a seed: the same on every machine. One node after the other turns bad, none while another does, and
    /// meanwhile talk, ways to nodes and processes suffer. At most one node drains.
    pub fn generate(seed: u64, size: RunSize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let last = (size.duration_ms as f64 * LAST_START_FRACTION) as u64;
        let mut at = rng.random_range(0..=size.node_fault_spacing_ms / 4);
        let mut order: Vec<usize> = (0..size.nodes).collect();
        order.shuffle(&mut rng);
        let mut nodes = order.into_iter();
        let drained = nodes.next().unwrap_or_default();
        while at < last
            && let Some(node) = nodes.next()
        {
            const HOW: [NodeFault; 5] =
                [NodeFault::Hangs, NodeFault::Fails, NodeFault::Slow, NodeFault::Gone, NodeFault::OneInTen];
            let does = HOW[rng.random_range(0..HOW.len())];
            let for_ms = rng.random_range(size.node_fault_spacing_ms / 2..=size.node_fault_spacing_ms);
            steps.push(Step { at_ms: at, duration_ms: for_ms, fault: Fault::Node { node, fault: does } });
            at += for_ms + size.node_fault_spacing_ms;
        }
        for _ in 0..rng.random_range(1..=MAX_OTHER_FAULTS) {
            let (at_ms, fault) = (rng.random_range(0..last), generate_other_fault(&mut rng, size, drained));
            // Long enough for what was heard before to be too old, now and then.
            let most = if matches!(fault, Fault::Datagrams { .. }) {
                2 * size.node_fault_spacing_ms
            } else {
                size.node_fault_spacing_ms
            };
            let for_ms = rng.random_range(500..=most);
            // Two of a kind at one process or way would end each other.
            let clashes = |step: &&Step| {
                step.overlaps(at_ms.saturating_sub(2000), at_ms + for_ms + 2000)
                    && affected_proxy(&step.fault).is_some()
                    && affected_proxy(&fault).is_some()
                    || matches!((&step.fault, &fault), (Fault::Drain { .. }, Fault::Drain { .. }))
                    || matches!((&step.fault, &fault), (Fault::Path { .. }, Fault::Path { .. }))
                    || matches!((&step.fault, &fault), (Fault::Datagrams { .. }, Fault::Datagrams { .. }))
            };
            if !steps.iter().any(|step| clashes(&step)) {
                steps.push(Step { at_ms, duration_ms: for_ms, fault });
            }
        }
        steps.sort_by_key(|step| step.at_ms);
        Self { seed, size, planners: 0, relay_by_planners: false, steps }
    }

    /// The same with planners that suffer as well, drawn from a stream of their own, and a node that drains meanwhile.
    pub fn with_planners(mut self, planners: usize) -> Self {
        self.planners = planners;
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        rng.set_stream(1);
        let size = self.size;
        let last = (size.duration_ms as f64 * LAST_START_FRACTION) as u64;
        let bad: Vec<usize> = self.steps.iter().filter_map(|step| affected_node(&step.fault)).collect();
        let drains = |step: &Step| matches!(step.fault, Fault::Drain { .. });
        if let Some(node) = (0..size.nodes).find(|node| !bad.contains(node))
            && !self.steps.iter().any(drains)
        {
            let at_ms = rng.random_range(0..last);
            let for_ms = rng.random_range(2000..=size.node_fault_spacing_ms.max(2000));
            self.steps.push(Step { at_ms, duration_ms: for_ms, fault: Fault::Drain { node } });
        }
        for _ in 0..rng.random_range(2..=MAX_PLANNER_FAULTS) {
            let at_ms = rng.random_range(0..last);
            let for_ms = rng.random_range(500..=size.node_fault_spacing_ms);
            let fault = generate_planner_fault(&mut rng, size, planners);
            let clashes = |step: &&Step| {
                step.overlaps(at_ms.saturating_sub(2000), at_ms + for_ms + 2000)
                    && match (affected_planner(&step.fault), affected_planner(&fault)) {
                        // One at a time, and none while all are gone.
                        (Some(a), Some(b)) => a.is_none() || b.is_none() || a == b,
                        _ => matches!((&step.fault, &fault), (Fault::Streams { .. }, Fault::Streams { .. })),
                    }
            };
            if !self.steps.iter().any(|step| clashes(&step)) {
                self.steps.push(Step { at_ms, duration_ms: for_ms, fault });
            }
        }
        self.steps.sort_by_key(|step| step.at_ms);
        self
    }

    /// The same where planners carry what proxies say to each other, or do not.
    pub fn with_planner_relay(self, by_planners: bool) -> Self {
        Self { relay_by_planners: by_planners, ..self }
    }

    /// When the last fault is over.
    pub fn end_ms(&self) -> u64 {
        self.steps.iter().map(Step::end_ms).max().unwrap_or_default()
    }

    /// Itself as text.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Which processes a fault is of; None where it is of something else.
fn affected_proxy(fault: &Fault) -> Option<Option<usize>> {
    match fault {
        Fault::Suspended { proxy } | Fault::Killed { proxy } | Fault::Terminated { proxy } => {
            Some(Some(*proxy))
        }
        Fault::AllKilled => Some(None),
        _ => None,
    }
}

/// Faults of planners at most.
const MAX_PLANNER_FAULTS: usize = 5;

fn affected_node(fault: &Fault) -> Option<usize> {
    match fault {
        Fault::Node { node, .. } | Fault::Path { node, .. } => Some(*node),
        _ => None,
    }
}

/// Which planner a fault is of: Some(None) for all; None where it is of something else.
fn affected_planner(fault: &Fault) -> Option<Option<usize>> {
    match fault {
        Fault::Planner { planner, .. } => Some(Some(*planner)),
        Fault::AllPlanners => Some(None),
        _ => None,
    }
}

fn generate_planner_fault(rng: &mut ChaCha8Rng, size: RunSize, planners: usize) -> Fault {
    let one = rng.random_range(0..planners.max(1));
    match rng.random_range(0..8) {
        0 => Fault::AllPlanners,
        n @ 1..=4 => {
            const HOW: [ProcessFault; 4] = [
                ProcessFault::Killed,
                ProcessFault::Terminated,
                ProcessFault::Suspended,
                ProcessFault::Suspended,
            ];
            Fault::Planner { planner: one, fault: HOW[n - 1] }
        }
        // One planner apart from all, some proxies from some planners, or all streams.
        5 => {
            let others = (0..planners).filter(|p| *p != one).collect();
            Fault::Streams {
                proxies: Vec::new(),
                planners: others,
                to: vec![one],
                responses_only: rng.random(),
            }
        }
        6 => {
            let proxies = (0..size.proxies).filter(|_| rng.random_bool(0.5)).collect();
            let to = (0..planners).filter(|p| *p != one).collect();
            Fault::Streams { proxies, planners: Vec::new(), to, responses_only: rng.random() }
        }
        _ => {
            let (proxies, all): (_, Vec<usize>) = ((0..size.proxies).collect(), (0..planners).collect());
            Fault::Streams { proxies, planners: all.clone(), to: all, responses_only: rng.random() }
        }
    }
}

fn generate_other_fault(rng: &mut ChaCha8Rng, size: RunSize, drained: usize) -> Fault {
    let proxy = rng.random_range(0..size.proxies);
    match rng.random_range(0..10) {
        0 | 1 => {
            // One cut off, one that is not heard, halves, or loss everywhere.
            let all: Vec<usize> = (0..size.proxies).collect();
            let (half, rest) = all.split_at(size.proxies / 2);
            let (from, to) = match rng.random_range(0..4) {
                0 => (all.clone(), vec![proxy]),
                1 => (vec![proxy], all.clone()),
                2 => (half.to_vec(), rest.to_vec()),
                _ => (all.clone(), all),
            };
            Fault::Datagrams { from, to, lost_per_mille: 1000, duplicated_per_mille: 0, max_delay_ms: 0 }
        }
        2 | 3 => {
            let all: Vec<usize> = (0..size.proxies).collect();
            let (lost, doubled) = (rng.random_range(0..=500), rng.random_range(0..=300));
            Fault::Datagrams {
                from: all.clone(),
                to: all,
                lost_per_mille: lost,
                duplicated_per_mille: doubled,
                max_delay_ms: rng.random_range(0..=80),
            }
        }
        4 | 5 => {
            const HOW: [PathFault; 5] = [
                PathFault::RequestsHeld,
                PathFault::ResponsesHeld,
                PathFault::ResetBeforeRequest,
                PathFault::ResetAfterRequest,
                PathFault::SlowResponse,
            ];
            let does = HOW[rng.random_range(0..HOW.len())];
            Fault::Path { proxy, node: rng.random_range(0..size.nodes), fault: does }
        }
        6 => Fault::Suspended { proxy },
        7 if rng.random_bool(0.3) => Fault::AllKilled,
        7 => Fault::Killed { proxy },
        8 => Fault::Terminated { proxy },
        _ => Fault::Drain { node: drained },
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SIZE: RunSize = RunSize { proxies: 12, nodes: 8, duration_ms: 30_000, node_fault_spacing_ms: 8000 };

    #[test]
    fn the_same_seed_is_the_same_schedule_and_text_is_read_back() {
        let mut all = std::collections::HashSet::new();
        for seed in 0..200 {
            let schedule = Schedule::generate(seed, SIZE);
            assert_eq!(schedule, Schedule::generate(seed, SIZE));
            assert_eq!(serde_json::from_str::<Schedule>(&schedule.to_json()).unwrap(), schedule);
            all.insert(schedule.to_json());
        }
        assert_eq!(all.len(), 200);
        // The same on every machine, and for good.
        let size = RunSize { duration_ms: 4000, ..SIZE };
        let text = r#"{"seed":7,"size":{"proxies":12,"nodes":8,"length_ms":4000,"apart_ms":8000},"steps":[{"at_ms":199,"for_ms":2315,"fault":{"Ended":{"proxy":7}}},{"at_ms":315,"for_ms":6817,"fault":{"Node":{"node":2,"does":"Hangs"}}}]}"#;
        assert_eq!(Schedule::generate(7, size).to_json(), text);
    }

    #[test]
    fn planners_suffer_one_at_a_time_each_in_every_way_and_a_node_drains_meanwhile() {
        let mut kinds = std::collections::BTreeSet::new();
        for seed in 0..200 {
            let plain = Schedule::generate(seed, SIZE);
            let schedule = plain.clone().with_planners(3);
            assert_eq!(schedule, plain.clone().with_planners(3));
            assert_eq!(serde_json::from_str::<Schedule>(&schedule.to_json()).unwrap(), schedule);
            assert!(plain.steps.iter().all(|step| schedule.steps.contains(step)), "seed {seed}");
            let drained = schedule.steps.iter().filter_map(|s| match s.fault {
                Fault::Drain { node } => Some(node),
                _ => None,
            });
            assert_eq!(drained.count(), 1, "seed {seed}");
            let of: Vec<&Step> =
                schedule.steps.iter().filter(|s| affected_planner(&s.fault).is_some()).collect();
            for (i, a) in of.iter().enumerate() {
                for b in &of[i + 1..] {
                    let (one, other) =
                        (affected_planner(&a.fault).unwrap(), affected_planner(&b.fault).unwrap());
                    let apart = one.is_some() && other.is_some() && one != other;
                    assert!(apart || !a.overlaps(b.at_ms, b.end_ms()), "seed {seed}: {a:?} {b:?}");
                }
            }
            kinds.extend(schedule.steps.iter().map(|s| match &s.fault {
                Fault::Planner { fault: does, .. } => format!("{does:?}"),
                Fault::Streams { proxies, planners, responses_only: answers, .. } => {
                    format!("{} {} {answers}", proxies.is_empty(), planners.is_empty())
                }
                other => format!("{other:?}").split([' ', '{']).next().unwrap().into(),
            }));
        }
        let all = ["AllPlanners", "Killed", "Terminated", "Suspended"].into_iter();
        let streams = ["true false true", "true false false", "false true true", "false true false"];
        for kind in all.chain(streams).chain(["false false true", "false false false"]) {
            assert!(kinds.contains(kind), "{kind} in {kinds:?}");
        }
    }

    #[test]
    fn nodes_turn_bad_one_by_one_and_each_kind_of_fault_is_drawn() {
        let mut kinds = std::collections::BTreeSet::new();
        for seed in 0..200 {
            let schedule = Schedule::generate(seed, SIZE);
            let bad: Vec<&Step> =
                schedule.steps.iter().filter(|s| matches!(s.fault, Fault::Node { .. })).collect();
            assert!(!bad.is_empty());
            assert!(
                bad.windows(2).all(|w| w[0].end_ms() + SIZE.node_fault_spacing_ms <= w[1].at_ms),
                "seed {seed}"
            );
            let drained = schedule.steps.iter().find_map(|s| match s.fault {
                Fault::Drain { node } => Some(node),
                _ => None,
            });
            let same = |s: &&&Step| matches!(s.fault, Fault::Node { node, .. } if Some(node) == drained);
            assert!(bad.iter().find(same).is_none(), "seed {seed}: a node that drains turns bad");
            for step in &schedule.steps {
                kinds.insert(format!("{:?}", step.fault).split([' ', '{']).next().unwrap().to_string());
            }
        }
        assert_eq!(
            kinds.into_iter().collect::<Vec<_>>(),
            ["AllKilled", "Datagrams", "Drain", "Killed", "Node", "Path", "Suspended", "Terminated"]
        );
    }
}
