//! What a planner tells followers: the plan that holds, the drains that no plan has heard of yet, and
//! what brings a follower up to both.

use crate::{
    AnnouncementVersion, CellIndex, Delta, DrainBound, MAX_NODES, Node, Plan, PlannerMessage, Slice, Version,
};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Changes that are kept for followers that are behind; one that is further behind gets the whole
/// plan.
const KEPT: usize = 64;
/// A node that started longer ago than this is not cold by any setting.
const OLD: Duration = Duration::from_secs(600);

/// What of the plan one follower has been told, so that it is told no more than what changes of it. Of
/// one that uses the whole nothing is kept; of a part that part, which is its bound.
#[derive(Debug, Default)]
pub struct SentPlan {
    slice: Option<Slice>,
    version: Version,
    nodes: Vec<Node>,
}

impl SentPlan {
    /// It uses the whole plan.
    pub fn is_whole(&self) -> bool {
        self.slice.is_none()
    }

    /// That node is in what it uses.
    pub fn contains(&self, id: &str) -> bool {
        self.is_whole() || place(&self.nodes, id).is_some()
    }
}

fn drain((planner, mark, id): &(u32, AnnouncementVersion, String)) -> PlannerMessage {
    PlannerMessage::Drain { planner: *planner, announcement_version: *mark, id: id.clone() }
}

/// Where a list that is sorted by id has it.
fn place(nodes: &[Node], id: &str) -> Option<usize> {
    nodes.binary_search_by(|n| n.id.as_str().cmp(id)).ok()
}

/// What is new or differs in a list that is sorted by id, and what is gone from it.
fn changes(old: &[Node], new: &[Node]) -> (Vec<Node>, Vec<String>) {
    let set = new.iter().filter(|n| place(old, &n.id).map(|at| &old[at]) != Some(n)).cloned().collect();
    let gone = old.iter().filter(|n| place(new, &n.id).is_none()).map(|n| n.id.clone()).collect();
    (set, gone)
}

/// A plan and what led to it.
#[derive(Debug)]
pub struct Publisher {
    /// The longest lease that is given, in milliseconds.
    full_ms: u64,
    plan: Plan,
    /// Its nodes by cell, for those who use a part of it.
    cells: CellIndex,
    /// The changes that led to it, the last one at the end.
    changes: VecDeque<Delta>,
    /// Drains that the plan has not heard of.
    unheard: Vec<(u32, AnnouncementVersion, String)>,
    /// When nodes that may be cold started, in this planner's time.
    born: HashMap<String, Duration>,
}

impl Default for Publisher {
    /// With leases for the default bound on drains.
    fn default() -> Self {
        Self::with_max_lease(DrainBound::default().max_lease())
    }
}

impl Publisher {
    /// One that gives leases up to that one.
    pub fn with_max_lease(lease: Duration) -> Self {
        Self {
            full_ms: u64::try_from(lease.as_millis()).unwrap_or(u64::MAX),
            plan: Plan::default(),
            cells: CellIndex::default(),
            changes: VecDeque::new(),
            unheard: Vec::new(),
            born: HashMap::new(),
        }
    }

    /// The plan that holds. One of generation 0 is none.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Takes in drains that any planner tells of. Returns those that followers are to be told now. More
    /// than there may be nodes are not kept for followers that come later.
    pub fn add_drains(&mut self, told: Vec<PlannerMessage>) -> Vec<PlannerMessage> {
        let mut news = Vec::with_capacity(told.len());
        for told in told {
            let PlannerMessage::Drain { planner, announcement_version: mark, id } = &told else { continue };
            let heard = self.plan.acknowledged.iter().any(|(p, known)| p == planner && known >= mark);
            let known = self.unheard.iter().any(|(p, m, _)| p == planner && m == mark);
            if heard || known {
                continue;
            }
            if self.unheard.len() < MAX_NODES {
                self.unheard.push((*planner, *mark, id.clone()));
            }
            news.push(told);
        }
        news
    }

    /// Takes in a plan at `now`, if it is newer. Returns what followers are to be told.
    pub fn publish(&mut self, mut plan: Plan, now: Duration) -> Option<PlannerMessage> {
        if plan.version.generation == 0 || plan.version <= self.plan.version {
            return None;
        }
        plan.nodes.sort_by(|a, b| a.id.cmp(&b.id));
        let heard: HashMap<u32, AnnouncementVersion> = plan.acknowledged.iter().copied().collect();
        self.unheard.retain(|(planner, mark, _)| heard.get(planner).is_none_or(|known| known < mark));
        let old: HashMap<&str, &Node> = self.plan.nodes.iter().map(|n| (n.id.as_str(), n)).collect();
        let new: HashMap<&str, &Node> = plan.nodes.iter().map(|n| (n.id.as_str(), n)).collect();
        let mut born = HashMap::new();
        for (id, node) in &new {
            let Some(age) = node.age_ms.map(Duration::from_millis) else { continue };
            let stays = |o: &&&Node| (o.age_ms, o.address) == (node.age_ms, node.address);
            let known = old.get(id).filter(stays).and_then(|_| self.born.get(*id));
            born.insert(id.to_string(), known.copied().unwrap_or(now.saturating_sub(age)));
        }
        let from = self.plan.version;
        let (set, gone) = changes(&self.plan.nodes, &plan.nodes);
        let delta = Delta { from, to: plan.version, set, gone, acknowledged: plan.acknowledged.clone() };
        (self.cells, self.plan, self.born) = (CellIndex::new(&plan.nodes), plan, born);
        if from.generation == 0 {
            return Some(self.aged(PlannerMessage::Full(self.plan.clone()), now));
        }
        if self.changes.len() == KEPT {
            self.changes.pop_front();
        }
        self.changes.push_back(delta.clone());
        Some(self.aged(PlannerMessage::Delta(delta), now))
    }

    /// With the ages of nodes as they are at `now`.
    fn aged(&self, mut told: PlannerMessage, now: Duration) -> PlannerMessage {
        let nodes = match &mut told {
            PlannerMessage::Full(plan) => &mut plan.nodes,
            PlannerMessage::Delta(delta) => &mut delta.set,
            _ => return told,
        };
        for node in nodes.iter_mut().filter(|n| n.age_ms.is_some()) {
            let age = self.born.get(&node.id).map(|born| now.saturating_sub(*born)).filter(|age| *age < OLD);
            node.age_ms = age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
        }
        told
    }

    /// The nodes that take requests and started less than `within` ago.
    pub fn cold_nodes(&self, within: Duration, now: Duration) -> impl Iterator<Item = &Node> {
        let young =
            move |n: &&Node| self.born.get(&n.id).is_some_and(|born| now.saturating_sub(*born) < within);
        self.plan.nodes.iter().filter(|n| !n.draining && n.age_ms.is_some()).filter(young)
    }

    /// What brings a follower with that plan up to what holds at `now`.
    pub fn catch_up(&self, has: Option<Version>, now: Duration) -> Vec<PlannerMessage> {
        let mut told = Vec::new();
        if self.plan.version.generation > 0 && has != Some(self.plan.version) {
            match has.and_then(|has| self.changes.iter().position(|c| c.from == has)) {
                Some(first) => {
                    told.extend(self.changes.iter().skip(first).cloned().map(PlannerMessage::Delta))
                }
                None => told.push(PlannerMessage::Full(self.plan.clone())),
            }
        }
        told.extend(self.unheard.iter().map(drain));
        told.into_iter().map(|told| self.aged(told, now)).collect()
    }

    /// A follower comes that uses that part, or the whole, and has that version. Returns what is kept of
    /// it, and what it is to be told.
    pub fn initial_messages(
        &self,
        slice: Option<Slice>,
        has: Option<Version>,
        now: Duration,
    ) -> (SentPlan, Vec<PlannerMessage>) {
        let mut part = SentPlan { slice, ..SentPlan::default() };
        if slice.is_none() {
            return (part, self.catch_up(has, now));
        }
        if self.plan.version.generation > 0 && has == Some(self.plan.version) {
            // Its part of that version is what anybody comes to.
            (part.version, part.nodes) = (self.plan.version, self.cut(&part));
            return (part, self.unheard.iter().map(drain).collect());
        }
        let told = self.full_update(&mut part, now);
        (part, told)
    }

    /// All that holds, for a follower that can't fit a change, or is too far behind.
    pub fn full_update(&self, part: &mut SentPlan, now: Duration) -> Vec<PlannerMessage> {
        if part.slice.is_none() {
            return self.catch_up(None, now);
        }
        let drains = self.unheard.iter().map(drain);
        if self.plan.version.generation == 0 {
            return drains.collect();
        }
        part.version = self.plan.version;
        part.nodes = self.cut(part);
        let plan = Plan { nodes: part.nodes.clone(), ..self.head() };
        std::iter::once(self.aged(PlannerMessage::Full(plan), now)).chain(drains).collect()
    }

    /// What a follower is to be told where all are told this.
    pub fn message_for(
        &self,
        part: &mut SentPlan,
        told: &PlannerMessage,
        now: Duration,
    ) -> Option<PlannerMessage> {
        let of_plan = matches!(told, PlannerMessage::Full(_) | PlannerMessage::Delta(_));
        if part.is_whole() || !of_plan { Some(told.clone()) } else { self.update_for(part, now) }
    }

    /// What brings a follower of a part to the plan that holds, over all that came between. None where
    /// it was told of that already.
    pub fn update_for(&self, part: &mut SentPlan, now: Duration) -> Option<PlannerMessage> {
        let from = part.version;
        if from >= self.plan.version {
            return None;
        }
        let nodes = self.cut(part);
        let (set, gone) = changes(&part.nodes, &nodes);
        let before = std::mem::replace(&mut part.nodes, nodes);
        part.version = self.plan.version;
        let Plan { version: to, acknowledged: heard, .. } = self.head();
        if from.generation == 0 {
            return Some(self.aged(
                PlannerMessage::Full(Plan { version: to, nodes: part.nodes.clone(), acknowledged: heard }),
                now,
            ));
        }
        let mut told =
            self.aged(PlannerMessage::Delta(Delta { from, to, set, gone, acknowledged: heard }), now);
        // What comes into a part need not be new to the fleet. What has no age has been known to this planner
        // for as long as it runs: it is at least as old, and no colder than that.
        if let PlannerMessage::Delta(delta) = &mut told {
            let comes = |n: &&mut Node| n.age_ms.is_none() && place(&before, &n.id).is_none();
            delta.set.iter_mut().filter(comes).for_each(|n| n.age_ms = u64::try_from(now.as_millis()).ok());
        }
        Some(told)
    }

    /// The plan without its nodes.
    fn head(&self) -> Plan {
        Plan { version: self.plan.version, nodes: Vec::new(), acknowledged: self.plan.acknowledged.clone() }
    }

    fn cut(&self, part: &SentPlan) -> Vec<Node> {
        let Some(slice) = part.slice else { return self.plan.nodes.clone() };
        slice.select(&self.plan.nodes, &self.cells).into_iter().cloned().collect()
    }

    /// The answer to a beat.
    pub fn heartbeat_reply(&self, number: u64, lease_ms: u64) -> PlannerMessage {
        PlannerMessage::HeartbeatReply {
            number,
            version: self.plan.version,
            lease_ms,
            max_lease_ms: self.full_ms,
        }
    }
}
