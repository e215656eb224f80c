//! Schedules of faults: which fault begins when, and how long it lasts.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// A fault of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeFault {
    /// It accepts requests and does not answer.
    Hangs,
    /// It answers 500 at once.
    Fails,
    /// Its responses take many times as long.
    Slow,
    /// Its connections break, and new ones are refused.
    Gone,
    /// It answers one request in ten with 500.
    OneInTen,
}

/// A fault of the path from one proxy to one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PathFault {
    /// Requests are held until the fault ends.
    #[serde(rename = "Held")]
    RequestsHeld,
    /// Requests arrive, and responses are held until the fault ends.
    #[serde(rename = "Unanswered")]
    ResponsesHeld,
    /// The connection is reset before its request is delivered.
    #[serde(rename = "ResetBefore")]
    ResetBeforeRequest,
    /// The connection is reset after the node has executed the request.
    #[serde(rename = "ResetAfter")]
    ResetAfterRequest,
    /// Responses arrive byte by byte.
    #[serde(rename = "Trickles")]
    SlowResponse,
}

/// A fault of a planner process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessFault {
    /// It is killed and restarted without state.
    Killed,
    /// It is terminated by SIGTERM and restarted.
    #[serde(rename = "Ended")]
    Terminated,
    /// It is suspended by SIGSTOP and resumed.
    #[serde(rename = "Still")]
    Suspended,
}

/// A fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fault {
    /// A node turns bad.
    Node {
        /// Number of the node.
        node: usize,
        /// Kind of the fault.
        #[serde(rename = "does")]
        fault: NodeFault,
    },
    /// The path from a proxy to a node fails.
    Path {
        /// Number of the proxy.
        proxy: usize,
        /// Number of the node.
        node: usize,
        /// Kind of the fault.
        #[serde(rename = "does")]
        fault: PathFault,
    },
    /// Datagrams between proxies are lost, duplicated or delayed.
    #[serde(rename = "Talk")]
    Datagrams {
        /// Sending proxies.
        from: Vec<usize>,
        /// Receiving proxies.
        to: Vec<usize>,
        /// Lost datagrams per thousand; 1,000 cuts the path.
        #[serde(rename = "lost")]
        lost_per_mille: u32,
        /// Duplicated datagrams per thousand.
        #[serde(rename = "doubled")]
        duplicated_per_mille: u32,
        /// Maximum random delay in milliseconds; it reorders datagrams.
        #[serde(rename = "delay_ms")]
        max_delay_ms: u64,
    },
    /// A proxy is suspended by SIGSTOP and resumed.
    #[serde(rename = "Still")]
    Suspended {
        /// Number of the proxy.
        proxy: usize,
    },
    /// A proxy is killed and restarted without state.
    Killed {
        /// Number of the proxy.
        proxy: usize,
    },
    /// A proxy is terminated by SIGTERM and restarted.
    #[serde(rename = "Ended")]
    Terminated {
        /// Number of the proxy.
        proxy: usize,
    },
    /// All proxies are killed and restarted.
    AllKilled,
    /// A node drains according to the list, and then serves again.
    Drain {
        /// Number of the node.
        node: usize,
    },
    /// A planner process fails.
    Planner {
        /// Number of the planner.
        planner: usize,
        /// Kind of the fault.
        #[serde(rename = "does")]
        fault: ProcessFault,
    },
    /// All planners are killed at once and restarted without state.
    AllPlanners,
    /// Streams to planners are blocked: nothing is lost, and bytes wait until the fault ends.
    Streams {
        /// Proxies whose streams are blocked.
        proxies: Vec<usize>,
        /// Planners whose streams are blocked.
        planners: Vec<usize>,
        /// Planners to which these streams lead.
        to: Vec<usize>,
        /// Whether requests still arrive and only responses wait.
        #[serde(rename = "answers")]
        responses_only: bool,
    },
}

/// A fault with its start and duration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Start in milliseconds, from the start of the run.
    pub at_ms: u64,
    /// Duration in milliseconds.
    #[serde(rename = "for_ms")]
    pub duration_ms: u64,
    /// The fault.
    pub fault: Fault,
}

impl Step {
    /// Returns the end in milliseconds, from the start of the run.
    pub fn end_ms(&self) -> u64 {
        self.at_ms + self.duration_ms
    }

    /// Returns whether the step overlaps an interval, in milliseconds.
    pub fn overlaps(&self, start_ms: u64, end_ms: u64) -> bool {
        self.at_ms < end_ms && start_ms < self.end_ms()
    }
}

/// Size of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSize {
    /// Number of proxies.
    pub proxies: usize,
    /// Number of nodes behind them.
    pub nodes: usize,
    /// Duration in milliseconds.
    #[serde(rename = "length_ms")]
    pub duration_ms: u64,
    /// Time between two bad nodes in milliseconds, so that the first is judged before the second turns bad.
    #[serde(rename = "apart_ms")]
    pub node_fault_spacing_ms: u64,
}

/// All faults of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// Seed from which the schedule was generated.
    pub seed: u64,
    /// Size of the run.
    pub size: RunSize,
    /// Number of planners that send the list to the proxies; with 0 each proxy watches the list itself.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub planners: usize,
    /// Whether planners relay the messages between proxies, in place of datagrams.
    #[serde(rename = "by_planners", default, skip_serializing_if = "std::ops::Not::not")]
    pub relay_by_planners: bool,
    /// Faults, ordered by their start.
    pub steps: Vec<Step>,
}

fn is_zero(count: &usize) -> bool {
    *count == 0
}

/// Maximum number of faults other than bad nodes.
const MAX_OTHER_FAULTS: usize = 5;
/// Fraction of the run after which no fault begins, so that each can show its effects.
const LAST_START_FRACTION: f64 = 0.7;

impl Schedule {
    /// Generates the schedule of a seed; it is the same on every platform. Nodes turn bad one at a time, while
    /// datagrams, paths to nodes and processes fail as well. At most one node drains.
    pub fn generate(seed: u64, size: RunSize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let last_start = (size.duration_ms as f64 * LAST_START_FRACTION) as u64;
        let mut at = rng.random_range(0..=size.node_fault_spacing_ms / 4);
        let mut shuffled: Vec<usize> = (0..size.nodes).collect();
        shuffled.shuffle(&mut rng);
        let mut nodes = shuffled.into_iter();
        let draining_node = nodes.next().unwrap_or_default();
        while at < last_start
            && let Some(node) = nodes.next()
        {
            const KINDS: [NodeFault; 5] =
                [NodeFault::Hangs, NodeFault::Fails, NodeFault::Slow, NodeFault::Gone, NodeFault::OneInTen];
            let fault = KINDS[rng.random_range(0..KINDS.len())];
            let duration_ms = rng.random_range(size.node_fault_spacing_ms / 2..=size.node_fault_spacing_ms);
            steps.push(Step { at_ms: at, duration_ms, fault: Fault::Node { node, fault } });
            at += duration_ms + size.node_fault_spacing_ms;
        }
        for _ in 0..rng.random_range(1..=MAX_OTHER_FAULTS) {
            let (at_ms, fault) =
                (rng.random_range(0..last_start), generate_other_fault(&mut rng, size, draining_node));
            // Datagram faults can last long enough for earlier evidence to expire.
            let max_duration_ms = if matches!(fault, Fault::Datagrams { .. }) {
                2 * size.node_fault_spacing_ms
            } else {
                size.node_fault_spacing_ms
            };
            let duration_ms = rng.random_range(500..=max_duration_ms);
            // Two faults of one kind, or of proxies, would end each other.
            let conflicts = |step: &&Step| {
                step.overlaps(at_ms.saturating_sub(2000), at_ms + duration_ms + 2000)
                    && affected_proxy(&step.fault).is_some()
                    && affected_proxy(&fault).is_some()
                    || matches!((&step.fault, &fault), (Fault::Drain { .. }, Fault::Drain { .. }))
                    || matches!((&step.fault, &fault), (Fault::Path { .. }, Fault::Path { .. }))
                    || matches!((&step.fault, &fault), (Fault::Datagrams { .. }, Fault::Datagrams { .. }))
            };
            if !steps.iter().any(|step| conflicts(&step)) {
                steps.push(Step { at_ms, duration_ms, fault });
            }
        }
        steps.sort_by_key(|step| step.at_ms);
        Self { seed, size, planners: 0, relay_by_planners: false, steps }
    }

    /// Adds faults of planners, drawn from a separate random stream, and a draining node if there is none.
    pub fn with_planners(mut self, planners: usize) -> Self {
        self.planners = planners;
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        rng.set_stream(1);
        let size = self.size;
        let last_start = (size.duration_ms as f64 * LAST_START_FRACTION) as u64;
        let bad_nodes: Vec<usize> = self.steps.iter().filter_map(|step| affected_node(&step.fault)).collect();
        let is_drain = |step: &Step| matches!(step.fault, Fault::Drain { .. });
        if let Some(node) = (0..size.nodes).find(|node| !bad_nodes.contains(node))
            && !self.steps.iter().any(is_drain)
        {
            let at_ms = rng.random_range(0..last_start);
            let duration_ms = rng.random_range(2000..=size.node_fault_spacing_ms.max(2000));
            self.steps.push(Step { at_ms, duration_ms, fault: Fault::Drain { node } });
        }
        for _ in 0..rng.random_range(2..=MAX_PLANNER_FAULTS) {
            let at_ms = rng.random_range(0..last_start);
            let duration_ms = rng.random_range(500..=size.node_fault_spacing_ms);
            let fault = generate_planner_fault(&mut rng, size, planners);
            let conflicts = |step: &&Step| {
                step.overlaps(at_ms.saturating_sub(2000), at_ms + duration_ms + 2000)
                    && match (affected_planner(&step.fault), affected_planner(&fault)) {
                        // Only one planner fails at a time, and none while all planners are down.
                        (Some(a), Some(b)) => a.is_none() || b.is_none() || a == b,
                        _ => matches!((&step.fault, &fault), (Fault::Streams { .. }, Fault::Streams { .. })),
                    }
            };
            if !self.steps.iter().any(|step| conflicts(&step)) {
                self.steps.push(Step { at_ms, duration_ms, fault });
            }
        }
        self.steps.sort_by_key(|step| step.at_ms);
        self
    }

    /// Sets whether planners relay the messages between proxies.
    pub fn with_planner_relay(self, relay_by_planners: bool) -> Self {
        Self { relay_by_planners, ..self }
    }

    /// Returns the end of the last fault in milliseconds, from the start of the run.
    pub fn end_ms(&self) -> u64 {
        self.steps.iter().map(Step::end_ms).max().unwrap_or_default()
    }

    /// Formats the schedule as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Returns the proxy that a fault affects, `Some(None)` for all proxies, or None for faults of other kinds.
fn affected_proxy(fault: &Fault) -> Option<Option<usize>> {
    match fault {
        Fault::Suspended { proxy } | Fault::Killed { proxy } | Fault::Terminated { proxy } => {
            Some(Some(*proxy))
        }
        Fault::AllKilled => Some(None),
        _ => None,
    }
}

/// Maximum number of planner faults.
const MAX_PLANNER_FAULTS: usize = 5;

fn affected_node(fault: &Fault) -> Option<usize> {
    match fault {
        Fault::Node { node, .. } | Fault::Path { node, .. } => Some(*node),
        _ => None,
    }
}

/// Returns the planner that a fault affects, `Some(None)` for all planners, or None for faults of other kinds.
fn affected_planner(fault: &Fault) -> Option<Option<usize>> {
    match fault {
        Fault::Planner { planner, .. } => Some(Some(*planner)),
        Fault::AllPlanners => Some(None),
        _ => None,
    }
}

fn generate_planner_fault(rng: &mut ChaCha8Rng, size: RunSize, planners: usize) -> Fault {
    let selected = rng.random_range(0..planners.max(1));
    match rng.random_range(0..8) {
        0 => Fault::AllPlanners,
        n @ 1..=4 => {
            const KINDS: [ProcessFault; 4] = [
                ProcessFault::Killed,
                ProcessFault::Terminated,
                ProcessFault::Suspended,
                ProcessFault::Suspended,
            ];
            Fault::Planner { planner: selected, fault: KINDS[n - 1] }
        }
        // One planner is cut off from the others, some proxies from some planners, or all streams are blocked.
        5 => {
            let others = (0..planners).filter(|p| *p != selected).collect();
            Fault::Streams {
                proxies: Vec::new(),
                planners: others,
                to: vec![selected],
                responses_only: rng.random(),
            }
        }
        6 => {
            let proxies = (0..size.proxies).filter(|_| rng.random_bool(0.5)).collect();
            let to = (0..planners).filter(|p| *p != selected).collect();
            Fault::Streams { proxies, planners: Vec::new(), to, responses_only: rng.random() }
        }
        _ => {
            let (proxies, all): (_, Vec<usize>) = ((0..size.proxies).collect(), (0..planners).collect());
            Fault::Streams { proxies, planners: all.clone(), to: all, responses_only: rng.random() }
        }
    }
}

fn generate_other_fault(rng: &mut ChaCha8Rng, size: RunSize, draining_node: usize) -> Fault {
    let proxy = rng.random_range(0..size.proxies);
    match rng.random_range(0..10) {
        0 | 1 => {
            // One proxy receives nothing, one proxy is not heard, the fleet is split, or all datagrams are lost.
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
            let (lost_per_mille, duplicated_per_mille) =
                (rng.random_range(0..=500), rng.random_range(0..=300));
            Fault::Datagrams {
                from: all.clone(),
                to: all,
                lost_per_mille,
                duplicated_per_mille,
                max_delay_ms: rng.random_range(0..=80),
            }
        }
        4 | 5 => {
            const KINDS: [PathFault; 5] = [
                PathFault::RequestsHeld,
                PathFault::ResponsesHeld,
                PathFault::ResetBeforeRequest,
                PathFault::ResetAfterRequest,
                PathFault::SlowResponse,
            ];
            let fault = KINDS[rng.random_range(0..KINDS.len())];
            Fault::Path { proxy, node: rng.random_range(0..size.nodes), fault }
        }
        6 => Fault::Suspended { proxy },
        7 if rng.random_bool(0.3) => Fault::AllKilled,
        7 => Fault::Killed { proxy },
        8 => Fault::Terminated { proxy },
        _ => Fault::Drain { node: draining_node },
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SIZE: RunSize = RunSize { proxies: 12, nodes: 8, duration_ms: 30_000, node_fault_spacing_ms: 8000 };

    #[test]
    fn a_seed_always_gives_the_same_schedule_and_json_round_trips() {
        let mut all = std::collections::HashSet::new();
        for seed in 0..200 {
            let schedule = Schedule::generate(seed, SIZE);
            assert_eq!(schedule, Schedule::generate(seed, SIZE));
            assert_eq!(serde_json::from_str::<Schedule>(&schedule.to_json()).unwrap(), schedule);
            all.insert(schedule.to_json());
        }
        assert_eq!(all.len(), 200);
        // The schedule of a seed must not change between platforms or versions.
        let size = RunSize { duration_ms: 4000, ..SIZE };
        let text = r#"{"seed":7,"size":{"proxies":12,"nodes":8,"length_ms":4000,"apart_ms":8000},"steps":[{"at_ms":199,"for_ms":2315,"fault":{"Ended":{"proxy":7}}},{"at_ms":315,"for_ms":6817,"fault":{"Node":{"node":2,"does":"Hangs"}}}]}"#;
        assert_eq!(Schedule::generate(7, size).to_json(), text);
    }

    #[test]
    fn planners_fail_one_at_a_time_in_every_way_while_a_node_drains() {
        let mut kinds = std::collections::BTreeSet::new();
        for seed in 0..200 {
            let without_planners = Schedule::generate(seed, SIZE);
            let schedule = without_planners.clone().with_planners(3);
            assert_eq!(schedule, without_planners.clone().with_planners(3));
            assert_eq!(serde_json::from_str::<Schedule>(&schedule.to_json()).unwrap(), schedule);
            assert!(without_planners.steps.iter().all(|step| schedule.steps.contains(step)), "seed {seed}");
            let draining_node = schedule.steps.iter().filter_map(|s| match s.fault {
                Fault::Drain { node } => Some(node),
                _ => None,
            });
            assert_eq!(draining_node.count(), 1, "seed {seed}");
            let planner_steps: Vec<&Step> =
                schedule.steps.iter().filter(|s| affected_planner(&s.fault).is_some()).collect();
            for (i, a) in planner_steps.iter().enumerate() {
                for b in &planner_steps[i + 1..] {
                    let (selected, other) =
                        (affected_planner(&a.fault).unwrap(), affected_planner(&b.fault).unwrap());
                    let differ = selected.is_some() && other.is_some() && selected != other;
                    assert!(differ || !a.overlaps(b.at_ms, b.end_ms()), "seed {seed}: {a:?} {b:?}");
                }
            }
            kinds.extend(schedule.steps.iter().map(|s| match &s.fault {
                Fault::Planner { fault, .. } => format!("{fault:?}"),
                Fault::Streams { proxies, planners, responses_only, .. } => {
                    format!("{} {} {responses_only}", proxies.is_empty(), planners.is_empty())
                }
                other => format!("{other:?}").split([' ', '{']).next().unwrap().into(),
            }));
        }
        let all = ["AllPlanners", "Killed", "Terminated", "Suspended"].into_iter();
        let streams = ["true false true", "true false false", "false true true", "false true false"];
        for kind in all.chain(streams).chain(["false false true", "false false false"]) {
            assert!(kinds.contains(kind), "no fault of kind {kind} in {kinds:?}");
        }
    }

    #[test]
    fn nodes_turn_bad_one_at_a_time_and_each_kind_of_fault_occurs() {
        let mut kinds = std::collections::BTreeSet::new();
        for seed in 0..200 {
            let schedule = Schedule::generate(seed, SIZE);
            let bad_nodes: Vec<&Step> =
                schedule.steps.iter().filter(|s| matches!(s.fault, Fault::Node { .. })).collect();
            assert!(!bad_nodes.is_empty());
            assert!(
                bad_nodes.windows(2).all(|w| w[0].end_ms() + SIZE.node_fault_spacing_ms <= w[1].at_ms),
                "seed {seed}"
            );
            let draining_node = schedule.steps.iter().find_map(|s| match s.fault {
                Fault::Drain { node } => Some(node),
                _ => None,
            });
            let is_drained =
                |s: &&&Step| matches!(s.fault, Fault::Node { node, .. } if Some(node) == draining_node);
            assert!(bad_nodes.iter().find(is_drained).is_none(), "seed {seed}: a draining node turns bad");
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
