//! The forwarder's view of its planners: the current plan, the drains announced ahead of it, and the lease
//! under which both may be used.

use crate::{
    AnnouncementVersion, Delta, DrainBound, ForwarderMessage, MAX_NODES, MAX_PLANNERS, Node, Plan,
    PlannerMessage, Slice, Version,
};
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;
use thiserror::Error;

/// Maximum number of unanswered heartbeats remembered for each planner.
const MAX_OPEN_HEARTBEATS: usize = 16;
/// The longest accepted lease; longer ones are shortened to this.
pub const MAX_LEASE: Duration = Duration::from_secs(10);

/// Number of unanswered rounds of heartbeats in a row after which the planners count as silent. Rounds are
/// counted instead of time, because a process that was suspended has sent no heartbeats and must first hear
/// from its planners.
pub const SILENT_AFTER_ROUNDS: u32 = 3;

/// Why a message was rejected. Each reason is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum MessageRejection {
    /// The message is no newer than the current plan: a replay, a late packet, or a planner that is behind.
    #[error("it is no newer than the plan that holds")]
    Outdated,
    /// A delta applies to a plan that is not here; the complete plan is requested.
    #[error("it changes a plan that is not here")]
    BaseMismatch,
    /// A reply to a heartbeat that was not sent, or was sent too long ago.
    #[error("it answers nothing that was asked")]
    Unsolicited,
    /// More planners or nodes than allowed.
    #[error("it is more than there may be")]
    LimitExceeded,
    /// The planner grants no lease, because it may lack announcements.
    #[error("the planner can't vouch for it")]
    NoLease,
    /// The message cannot be decoded or is too long.
    #[error("it can't be read")]
    Unreadable,
}

/// What a message changed.
#[derive(Clone, Debug, PartialEq)]
pub enum MessageEffect {
    /// The nodes have changed: see [`Follower::nodes`].
    NodesChanged,
    /// The budgets of cold nodes have changed: see [`Follower::budgets`].
    BudgetsChanged,
    /// The message was accepted and requires no action.
    Accepted,
    /// The message was rejected and changed nothing.
    Rejected(MessageRejection),
    /// The message changed nothing; this request must be sent to the planner.
    Request(ForwarderMessage),
}

/// Whether the plan is covered by a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// No plan was received yet.
    NoPlan,
    /// A planner has granted a lease that still holds.
    Leased,
    /// The last lease has ended. The follower keeps the plan.
    Expired,
}

/// Open heartbeats to one planner: number and send time.
type OpenHeartbeats = VecDeque<(u64, Duration)>;

/// Follows several planners. A state machine without I/O or a clock.
#[derive(Debug, Default)]
pub struct Follower {
    /// The slice of each plan that is kept; none for the whole plan.
    slice: Option<Slice>,
    /// The longest lease allowed by the follower's drain bound, if one is set.
    max_lease: Option<Duration>,
    plan: Option<Plan>,
    /// Announced drains by node: the announcements of each planner that no plan acknowledges yet.
    drains: HashMap<String, Vec<(u32, AnnouncementVersion)>>,
    /// Open heartbeats of each planner, by its index among the addresses.
    open_heartbeats: HashMap<usize, OpenHeartbeats>,
    last_heartbeat: u64,
    lease_end: Option<Duration>,
    /// Rounds of heartbeats since the last one that was answered.
    unanswered_rounds: u32,
    /// Answered rounds in a row.
    answered_rounds: u32,
    rejections: HashMap<MessageRejection, u64>,
    /// The latest budgets from each planner.
    budgets: HashMap<usize, Vec<(String, f64)>>,
}

impl Follower {
    /// Creates a follower that keeps the slice of every plan, or the whole plan if `slice` is none. Planners
    /// that support slices send only the slice; from planners of an older release the follower keeps its
    /// slice of the whole plan.
    pub fn with_slice(slice: Option<Slice>) -> Self {
        Self { slice, ..Self::default() }
    }

    /// Sets the drain bound. If a planner has a longer bound, its knowledge may be older by the difference,
    /// which is subtracted from its leases.
    pub fn with_drain_bound(self, bound: DrainBound) -> Self {
        Self { max_lease: Some(bound.max_lease()), ..self }
    }

    /// The slice that the follower keeps; none for the whole plan.
    pub fn slice(&self) -> Option<Slice> {
        self.slice
    }

    /// Version of the current plan.
    pub fn version(&self) -> Option<Version> {
        self.plan.as_ref().map(|p| p.version)
    }

    /// The nodes to use: those of the plan, with announced drains applied.
    pub fn nodes(&self) -> Vec<Node> {
        let nodes = self.plan.iter().flat_map(|p| &p.nodes);
        nodes.map(|n| Node { draining: n.draining || self.drains.contains_key(&n.id), ..n.clone() }).collect()
    }

    /// The nodes of the plan as received.
    pub fn planned_nodes(&self) -> &[Node] {
        self.plan.as_ref().map_or(&[], |plan| &plan.nodes)
    }

    /// Nodes with an announced drain that the plan does not acknowledge.
    pub fn announced_drains(&self) -> impl Iterator<Item = &String> {
        self.drains.keys()
    }

    /// The state of the lease at `now`.
    pub fn lease_state(&self, now: Duration) -> LeaseState {
        match (&self.plan, self.lease_end) {
            (None, _) => LeaseState::NoPlan,
            (Some(_), Some(until)) if now < until => LeaseState::Leased,
            _ => LeaseState::Expired,
        }
    }

    /// The time at which the last lease ends.
    pub fn lease_end(&self) -> Duration {
        self.lease_end.unwrap_or_default()
    }

    /// Whether no planner has granted a lease in the last `SILENT_AFTER_ROUNDS` rounds of heartbeats.
    pub fn is_silent(&self) -> bool {
        self.unanswered_rounds >= SILENT_AFTER_ROUNDS
    }

    /// The number of answered rounds in a row.
    pub fn answered_rounds(&self) -> u32 {
        self.answered_rounds
    }

    /// Begins a round of heartbeats; the previous round has had its time.
    pub fn begin_round(&mut self) {
        self.answered_rounds =
            if self.unanswered_rounds == 0 { self.answered_rounds.saturating_add(1) } else { 0 };
        self.unanswered_rounds = self.unanswered_rounds.saturating_add(1);
    }

    /// Number of rejected messages by reason.
    pub fn rejections(&self) -> &HashMap<MessageRejection, u64> {
        &self.rejections
    }

    /// Counts a message that cannot be decoded. The connection must be closed.
    pub fn record_unreadable(&mut self) {
        *self.rejections.entry(MessageRejection::Unreadable).or_default() += 1;
    }

    /// The heartbeat to send to a planner at `now`. A lease counts from this time.
    pub fn next_heartbeat(&mut self, planner: usize, now: Duration) -> ForwarderMessage {
        self.last_heartbeat += 1;
        let number = self.last_heartbeat;
        let open = self.open_heartbeats.entry(planner).or_default();
        if open.len() >= MAX_OPEN_HEARTBEATS {
            open.pop_front();
        }
        open.push_back((number, now));
        ForwarderMessage::Heartbeat { number }
    }

    /// Forgets the open heartbeats and the budgets of a planner whose connection has closed.
    pub fn remove_connection(&mut self, planner: usize) {
        self.open_heartbeats.remove(&planner);
        self.budgets.remove(&planner);
    }

    /// Usual rates of cold nodes from this follower, in requests per second. Where planners differ, because
    /// they receive digests at different times, the lowest rate counts.
    pub fn budgets(&self) -> HashMap<String, f64> {
        let mut lowest: HashMap<String, f64> = HashMap::new();
        for (id, usual_rate) in self.budgets.values().flatten() {
            lowest
                .entry(id.clone())
                .and_modify(|known| *known = known.min(*usual_rate))
                .or_insert(*usual_rate);
        }
        lowest
    }

    /// Processes a message from the planner with the given index.
    pub fn receive(&mut self, planner: usize, message: PlannerMessage) -> MessageEffect {
        let effect = match message {
            PlannerMessage::Full(plan) => self.receive_plan(plan),
            PlannerMessage::Delta(delta) => self.receive_delta(delta),
            PlannerMessage::Drain { planner, announcement_version, id } => {
                self.receive_drain(planner, announcement_version, id)
            }
            PlannerMessage::HeartbeatReply { number, version, lease_ms, max_lease_ms } => {
                let lease =
                    self.usable_lease(Duration::from_millis(lease_ms), Duration::from_millis(max_lease_ms));
                self.receive_heartbeat_reply(planner, number, version, lease)
            }
            // Relayed messages are delivered by the connection.
            PlannerMessage::Relayed(_) => MessageEffect::Accepted,
            PlannerMessage::Budgets(budgets) => {
                self.budgets.insert(planner, budgets);
                MessageEffect::BudgetsChanged
            }
        };
        if let MessageEffect::Rejected(reason) = &effect {
            *self.rejections.entry(*reason).or_default() += 1;
        }
        effect
    }

    fn receive_plan(&mut self, plan: Plan) -> MessageEffect {
        if plan.version.generation == 0 || self.version().is_some_and(|current| plan.version <= current) {
            return MessageEffect::Rejected(MessageRejection::Outdated);
        }
        if plan.nodes.len() > MAX_NODES {
            return MessageEffect::Rejected(MessageRejection::LimitExceeded);
        }
        self.set_plan(plan)
    }

    fn receive_delta(&mut self, delta: Delta) -> MessageEffect {
        let Some(plan) = &self.plan else {
            return MessageEffect::Request(ForwarderMessage::Resend);
        };
        if delta.to <= plan.version {
            return MessageEffect::Rejected(MessageRejection::Outdated);
        }
        if delta.from != plan.version {
            return MessageEffect::Request(ForwarderMessage::Resend);
        }
        let changed = delta.gone.iter().chain(delta.set.iter().map(|n| &n.id));
        let changed: HashSet<&String> = changed.collect();
        let unchanged = plan.nodes.iter().filter(|n| !changed.contains(&n.id)).cloned();
        let mut nodes: Vec<Node> = unchanged.chain(delta.set.iter().cloned()).collect();
        if nodes.len() > MAX_NODES {
            return MessageEffect::Rejected(MessageRejection::LimitExceeded);
        }
        nodes.sort_by(|a, b| a.id.cmp(&b.id));
        // Acknowledged versions only rise.
        let mut acknowledged: HashMap<u32, AnnouncementVersion> = plan.acknowledged.iter().copied().collect();
        for (planner, version) in delta.acknowledged {
            let known = acknowledged.entry(planner).or_default();
            *known = version.max(*known);
        }
        if acknowledged.len() > MAX_PLANNERS {
            return MessageEffect::Rejected(MessageRejection::LimitExceeded);
        }
        self.set_plan(Plan { version: delta.to, nodes, acknowledged: acknowledged.into_iter().collect() })
    }

    fn set_plan(&mut self, mut plan: Plan) -> MessageEffect {
        if let Some(slice) = self.slice {
            plan.nodes = slice.select_owned(plan.nodes);
        }
        // An announced drain ends only with a plan that acknowledges it. A planner that does not know of the
        // drain cannot end it.
        let acknowledged: HashMap<u32, AnnouncementVersion> = plan.acknowledged.iter().copied().collect();
        let is_unacknowledged = |(planner, version): &(u32, AnnouncementVersion)| {
            acknowledged.get(planner).is_none_or(|known| known < version)
        };
        self.drains.retain(|_, announcements| {
            announcements.retain(is_unacknowledged);
            !announcements.is_empty()
        });
        self.plan = Some(plan);
        MessageEffect::NodesChanged
    }

    fn receive_drain(
        &mut self,
        planner: u32,
        announcement_version: AnnouncementVersion,
        id: String,
    ) -> MessageEffect {
        let acknowledged = self
            .plan
            .iter()
            .flat_map(|p| &p.acknowledged)
            .any(|(p, known)| *p == planner && *known >= announcement_version);
        if acknowledged {
            return MessageEffect::Rejected(MessageRejection::Outdated);
        }
        // Drains of nodes that no plan names yet are kept too: a planner that does not know of the drain may
        // add the node.
        if self.drains.len() >= MAX_NODES && !self.drains.contains_key(&id) {
            return MessageEffect::Rejected(MessageRejection::LimitExceeded);
        }
        let announcements = self.drains.entry(id).or_default();
        match announcements.iter().position(|(p, _)| *p == planner) {
            Some(known) if announcements[known].1 >= announcement_version => {
                return MessageEffect::Rejected(MessageRejection::Outdated);
            }
            Some(known) => announcements[known].1 = announcement_version,
            None if announcements.len() >= MAX_PLANNERS => {
                return MessageEffect::Rejected(MessageRejection::LimitExceeded);
            }
            None => announcements.push((planner, announcement_version)),
        }
        MessageEffect::NodesChanged
    }

    /// The usable part of a lease from a planner whose longest lease is `planner_max`.
    fn usable_lease(&self, lease: Duration, planner_max: Duration) -> Duration {
        let max_lease = self.max_lease.unwrap_or(MAX_LEASE);
        lease.saturating_sub(planner_max.saturating_sub(max_lease)).min(max_lease)
    }

    fn receive_heartbeat_reply(
        &mut self,
        planner: usize,
        number: u64,
        version: Version,
        lease: Duration,
    ) -> MessageEffect {
        let Some(open) = self.open_heartbeats.get_mut(&planner) else {
            return MessageEffect::Rejected(MessageRejection::Unsolicited);
        };
        let Some(index) = open.iter().position(|(n, _)| *n == number) else {
            return MessageEffect::Rejected(MessageRejection::Unsolicited);
        };
        let (_, sent_at) = open[index];
        open.drain(..=index); // each reply counts once
        match self.version() {
            // The lease is for a newer plan and does not cover this one.
            current if current < Some(version) => MessageEffect::Request(ForwarderMessage::Resend),
            // A planner that is behind cannot grant a lease for this plan.
            current if current > Some(version) => MessageEffect::Rejected(MessageRejection::Outdated),
            _ if lease.is_zero() => MessageEffect::Rejected(MessageRejection::NoLease),
            _ => {
                let until = sent_at + lease;
                self.lease_end = Some(self.lease_end.map_or(until, |known| known.max(until)));
                self.unanswered_rounds = 0;
                MessageEffect::Accepted
            }
        }
    }
}
