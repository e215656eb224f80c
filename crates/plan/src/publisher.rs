//! Computes the messages that a planner sends to its followers: the current plan, the drains that no plan
//! acknowledges yet, and the changes that bring a follower up to date.

use crate::{
    AnnouncementVersion, CellIndex, Delta, DrainBound, MAX_NODES, Node, Plan, PlannerMessage, Slice, Version,
};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Number of past changes kept for followers that are behind; a follower further behind gets the complete
/// plan.
const MAX_KEPT_CHANGES: usize = 64;
/// Nodes older than this are not cold under any setting.
const MAX_COLD_AGE: Duration = Duration::from_secs(600);

/// The part of the plan that was sent to one follower, so that the follower gets only later changes to it.
/// Holds the nodes of the follower's slice; for a follower of the whole plan it holds none.
#[derive(Debug, Default)]
pub struct SentPlan {
    slice: Option<Slice>,
    version: Version,
    nodes: Vec<Node>,
}

impl SentPlan {
    /// Whether the follower uses the whole plan.
    pub fn is_whole(&self) -> bool {
        self.slice.is_none()
    }

    /// Whether the follower uses the node.
    pub fn contains(&self, id: &str) -> bool {
        self.is_whole() || index_of(&self.nodes, id).is_some()
    }
}

fn drain_message((planner, version, id): &(u32, AnnouncementVersion, String)) -> PlannerMessage {
    PlannerMessage::Drain { planner: *planner, announcement_version: *version, id: id.clone() }
}

/// Index of a node in a list sorted by id.
fn index_of(nodes: &[Node], id: &str) -> Option<usize> {
    nodes.binary_search_by(|n| n.id.as_str().cmp(id)).ok()
}

/// The nodes that are new or changed, and the ids that were removed, between two lists sorted by id.
fn diff(old: &[Node], new: &[Node]) -> (Vec<Node>, Vec<String>) {
    let set = new.iter().filter(|n| index_of(old, &n.id).map(|at| &old[at]) != Some(n)).cloned().collect();
    let gone = old.iter().filter(|n| index_of(new, &n.id).is_none()).map(|n| n.id.clone()).collect();
    (set, gone)
}

/// The current plan and the changes that led to it.
#[derive(Debug)]
pub struct Publisher {
    /// The longest lease that the planner grants, in milliseconds.
    max_lease_ms: u64,
    plan: Plan,
    /// Cell index of the plan's nodes, for followers that use a slice.
    cells: CellIndex,
    /// The latest changes, oldest first.
    changes: VecDeque<Delta>,
    /// Drains that the plan does not acknowledge: planner, announcement and node.
    unacknowledged: Vec<(u32, AnnouncementVersion, String)>,
    /// Start times of the nodes that may be cold, on this planner's clock.
    started_at: HashMap<String, Duration>,
}

impl Default for Publisher {
    /// A publisher with the longest lease of the default drain bound.
    fn default() -> Self {
        Self::with_max_lease(DrainBound::default().max_lease())
    }
}

impl Publisher {
    /// Creates a publisher without a plan. `max_lease` is the longest lease that the planner grants.
    pub fn with_max_lease(max_lease: Duration) -> Self {
        Self {
            max_lease_ms: u64::try_from(max_lease.as_millis()).unwrap_or(u64::MAX),
            plan: Plan::default(),
            cells: CellIndex::default(),
            changes: VecDeque::new(),
            unacknowledged: Vec::new(),
            started_at: HashMap::new(),
        }
    }

    /// The current plan. A plan of generation 0 is no plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Adds drains announced by any planner. Returns the new ones, which must be sent to all followers now.
    /// Beyond [`MAX_NODES`], drains are not kept for followers that connect later.
    pub fn add_drains(&mut self, drains: Vec<PlannerMessage>) -> Vec<PlannerMessage> {
        let mut new_drains = Vec::with_capacity(drains.len());
        for drain in drains {
            let PlannerMessage::Drain { planner, announcement_version, id } = &drain else { continue };
            let acknowledged =
                self.plan.acknowledged.iter().any(|(p, known)| p == planner && known >= announcement_version);
            let known = self.unacknowledged.iter().any(|(p, v, _)| p == planner && v == announcement_version);
            if acknowledged || known {
                continue;
            }
            if self.unacknowledged.len() < MAX_NODES {
                self.unacknowledged.push((*planner, *announcement_version, id.clone()));
            }
            new_drains.push(drain);
        }
        new_drains
    }

    /// Sets the plan at time `now`, if it is newer. Returns the message for followers of the whole plan.
    pub fn publish(&mut self, mut plan: Plan, now: Duration) -> Option<PlannerMessage> {
        if plan.version.generation == 0 || plan.version <= self.plan.version {
            return None;
        }
        plan.nodes.sort_by(|a, b| a.id.cmp(&b.id));
        let acknowledged: HashMap<u32, AnnouncementVersion> = plan.acknowledged.iter().copied().collect();
        self.unacknowledged
            .retain(|(planner, version, _)| acknowledged.get(planner).is_none_or(|known| known < version));
        let old: HashMap<&str, &Node> = self.plan.nodes.iter().map(|n| (n.id.as_str(), n)).collect();
        let new: HashMap<&str, &Node> = plan.nodes.iter().map(|n| (n.id.as_str(), n)).collect();
        let mut started_at = HashMap::new();
        for (id, node) in &new {
            let Some(age) = node.age_ms.map(Duration::from_millis) else { continue };
            let is_same_start = |o: &&&Node| (o.age_ms, o.address) == (node.age_ms, node.address);
            let known = old.get(id).filter(is_same_start).and_then(|_| self.started_at.get(*id));
            started_at.insert(id.to_string(), known.copied().unwrap_or(now.saturating_sub(age)));
        }
        let from = self.plan.version;
        let (set, gone) = diff(&self.plan.nodes, &plan.nodes);
        let delta = Delta { from, to: plan.version, set, gone, acknowledged: plan.acknowledged.clone() };
        (self.cells, self.plan, self.started_at) = (CellIndex::new(&plan.nodes), plan, started_at);
        if from.generation == 0 {
            return Some(self.with_current_ages(PlannerMessage::Full(self.plan.clone()), now));
        }
        if self.changes.len() == MAX_KEPT_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(delta.clone());
        Some(self.with_current_ages(PlannerMessage::Delta(delta), now))
    }

    /// Sets the ages of the nodes in a message to their values at `now`.
    fn with_current_ages(&self, mut message: PlannerMessage, now: Duration) -> PlannerMessage {
        let nodes = match &mut message {
            PlannerMessage::Full(plan) => &mut plan.nodes,
            PlannerMessage::Delta(delta) => &mut delta.set,
            _ => return message,
        };
        for node in nodes.iter_mut().filter(|n| n.age_ms.is_some()) {
            let age = self
                .started_at
                .get(&node.id)
                .map(|start| now.saturating_sub(*start))
                .filter(|age| *age < MAX_COLD_AGE);
            node.age_ms = age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
        }
        message
    }

    /// Nodes that take requests and started less than `within` ago.
    pub fn cold_nodes(&self, within: Duration, now: Duration) -> impl Iterator<Item = &Node> {
        let started_recently = move |n: &&Node| {
            self.started_at.get(&n.id).is_some_and(|start| now.saturating_sub(*start) < within)
        };
        self.plan.nodes.iter().filter(|n| !n.draining && n.age_ms.is_some()).filter(started_recently)
    }

    /// The messages that bring a follower of the whole plan from `known_version` up to date at `now`.
    pub fn catch_up(&self, known_version: Option<Version>, now: Duration) -> Vec<PlannerMessage> {
        let mut messages = Vec::new();
        if self.plan.version.generation > 0 && known_version != Some(self.plan.version) {
            match known_version.and_then(|known| self.changes.iter().position(|c| c.from == known)) {
                Some(first) => {
                    messages.extend(self.changes.iter().skip(first).cloned().map(PlannerMessage::Delta))
                }
                None => messages.push(PlannerMessage::Full(self.plan.clone())),
            }
        }
        messages.extend(self.unacknowledged.iter().map(drain_message));
        messages.into_iter().map(|message| self.with_current_ages(message, now)).collect()
    }

    /// Starts a follower of the slice, or of the whole plan, that has `known_version`. Returns the state to
    /// keep for the follower and the messages to send.
    pub fn start_follower(
        &self,
        slice: Option<Slice>,
        known_version: Option<Version>,
        now: Duration,
    ) -> (SentPlan, Vec<PlannerMessage>) {
        let mut sent = SentPlan { slice, ..SentPlan::default() };
        if slice.is_none() {
            return (sent, self.catch_up(known_version, now));
        }
        if self.plan.version.generation > 0 && known_version == Some(self.plan.version) {
            // Every planner and forwarder computes the same slice of this version.
            (sent.version, sent.nodes) = (self.plan.version, self.select_nodes(&sent));
            return (sent, self.unacknowledged.iter().map(drain_message).collect());
        }
        let messages = self.full_update(&mut sent, now);
        (sent, messages)
    }

    /// The complete current state, for a follower that cannot apply a change or is too far behind.
    pub fn full_update(&self, sent: &mut SentPlan, now: Duration) -> Vec<PlannerMessage> {
        if sent.slice.is_none() {
            return self.catch_up(None, now);
        }
        let drains = self.unacknowledged.iter().map(drain_message);
        if self.plan.version.generation == 0 {
            return drains.collect();
        }
        sent.version = self.plan.version;
        sent.nodes = self.select_nodes(sent);
        let plan = Plan { nodes: sent.nodes.clone(), ..self.without_nodes() };
        std::iter::once(self.with_current_ages(PlannerMessage::Full(plan), now)).chain(drains).collect()
    }

    /// The message for one follower where `message` is sent to followers of the whole plan.
    pub fn message_for(
        &self,
        sent: &mut SentPlan,
        message: &PlannerMessage,
        now: Duration,
    ) -> Option<PlannerMessage> {
        let is_plan = matches!(message, PlannerMessage::Full(_) | PlannerMessage::Delta(_));
        if sent.is_whole() || !is_plan { Some(message.clone()) } else { self.update_for(sent, now) }
    }

    /// The message that brings a follower of a slice to the current plan. None if the follower has that plan.
    pub fn update_for(&self, sent: &mut SentPlan, now: Duration) -> Option<PlannerMessage> {
        let from = sent.version;
        if from >= self.plan.version {
            return None;
        }
        let nodes = self.select_nodes(sent);
        let (set, gone) = diff(&sent.nodes, &nodes);
        let previous = std::mem::replace(&mut sent.nodes, nodes);
        sent.version = self.plan.version;
        let Plan { version: to, acknowledged, .. } = self.without_nodes();
        if from.generation == 0 {
            return Some(self.with_current_ages(
                PlannerMessage::Full(Plan { version: to, nodes: sent.nodes.clone(), acknowledged }),
                now,
            ));
        }
        let mut message =
            self.with_current_ages(PlannerMessage::Delta(Delta { from, to, set, gone, acknowledged }), now);
        // A node that enters a slice need not be new to the fleet. A node without an age has been known for
        // as long as this planner runs, so it is at least that old.
        if let PlannerMessage::Delta(delta) = &mut message {
            let enters_slice = |n: &&mut Node| n.age_ms.is_none() && index_of(&previous, &n.id).is_none();
            delta
                .set
                .iter_mut()
                .filter(enters_slice)
                .for_each(|n| n.age_ms = u64::try_from(now.as_millis()).ok());
        }
        Some(message)
    }

    /// The plan without its nodes.
    fn without_nodes(&self) -> Plan {
        Plan { version: self.plan.version, nodes: Vec::new(), acknowledged: self.plan.acknowledged.clone() }
    }

    fn select_nodes(&self, sent: &SentPlan) -> Vec<Node> {
        let Some(slice) = sent.slice else { return self.plan.nodes.clone() };
        slice.select(&self.plan.nodes, &self.cells).into_iter().cloned().collect()
    }

    /// The reply to a heartbeat.
    pub fn heartbeat_reply(&self, number: u64, lease_ms: u64) -> PlannerMessage {
        PlannerMessage::HeartbeatReply {
            number,
            version: self.plan.version,
            lease_ms,
            max_lease_ms: self.max_lease_ms,
        }
    }
}
