//! The forwarder's side: which plan it goes by, which drains it knows ahead of any plan, and how
//! long it may go by what it has.

use crate::{
    AnnouncementVersion, Delta, DrainBound, ForwarderMessage, MAX_NODES, MAX_PLANNERS, Node, Plan,
    PlannerMessage, Slice, Version,
};
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;
use thiserror::Error;

/// Beats without an answer that are remembered, for each planner.
const MOST_BEATS: usize = 16;
/// The longest lease that a planner may give: one that is told of a longer one holds it for so long.
pub const MOST_LEASE: Duration = Duration::from_secs(10);

/// Rounds of questions in a row, each after the one before was given its time, in which no planner has
/// vouched for what is here, until all of them count as silent. Questions and not time, as a process
/// that stood still for a minute has asked nothing meanwhile: what it then hears first must come
/// before what it sends.
pub const SILENT_AFTER: u32 = 3;

/// Why a message changes nothing. Each kind is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum MessageRejection {
    /// It is no newer than the plan that holds: a replay, a late packet, or a planner left behind.
    #[error("it is no newer than the plan that holds")]
    Outdated,
    /// It changes a plan that is not here; the whole one is asked for.
    #[error("it changes a plan that is not here")]
    BaseMismatch,
    /// It answers a question that was not asked, or was asked long ago.
    #[error("it answers nothing that was asked")]
    Unsolicited,
    /// More planners or nodes than there may be.
    #[error("it is more than there may be")]
    LimitExceeded,
    /// The planner answers, and can't vouch for what it says: it may not know of all news.
    #[error("the planner can't vouch for it")]
    NoLease,
    /// It is no message, or one over a bound.
    #[error("it can't be read")]
    Unreadable,
}

/// What came of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum MessageEffect {
    /// The nodes to go by have changed: ask [`Follower::nodes`].
    NodesChanged,
    /// What cold nodes may be sent has changed: ask [`Follower::budgets`].
    BudgetsChanged,
    /// Nothing to do.
    Accepted,
    /// Nothing was taken.
    Rejected(MessageRejection),
    /// Nothing was taken, and that planner is to be asked.
    Request(ForwarderMessage),
}

/// How far what it has can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// There is no plan yet.
    NoPlan,
    /// A planner has vouched for the plan, and its word still holds.
    Leased,
    /// No planner has for too long. It goes on by what it has: see the design note.
    Expired,
}

/// Questions to one planner that are open: their numbers and when they were asked.
type Beats = VecDeque<(u64, Duration)>;

/// A follower of several planners.
#[derive(Debug, Default)]
pub struct Follower {
    /// The part of a plan that it keeps, if not all.
    slice: Option<Slice>,
    /// The longest lease by which it keeps its bound on drains, if it has one of its own.
    longest: Option<Duration>,
    plan: Option<Plan>,
    /// Drains that were told ahead of a plan, by node: the news of each planner that no plan has
    /// heard yet.
    drains: HashMap<String, Vec<(u32, AnnouncementVersion)>>,
    /// For each planner, by its place among the addresses.
    beats: HashMap<usize, Beats>,
    asked: u64,
    until: Option<Duration>,
    /// Rounds of questions since one was answered.
    unanswered: u32,
    /// Rounds in a row that were answered.
    steady: u32,
    refused: HashMap<MessageRejection, u64>,
    /// What each planner said last of cold nodes.
    budgets: HashMap<usize, Vec<(String, f64)>>,
}

impl Follower {
    /// One that keeps that part of every plan; with none the whole. Planners that know of parts tell it no
    /// more than its own. Those of an older release tell all, of which it keeps its part: so memory is
    /// bounded by the part either way.
    pub fn with_slice(slice: Option<Slice>) -> Self {
        Self { slice, ..Self::default() }
    }

    /// With that bound on drains: a planner that keeps a longer one answers for what it knew longer ago, and
    /// the difference is taken off its leases.
    pub fn with_drain_bound(self, bound: DrainBound) -> Self {
        Self { longest: Some(bound.max_lease()), ..self }
    }

    /// The part of plans that it keeps.
    pub fn slice(&self) -> Option<Slice> {
        self.slice
    }

    /// The version of the plan that holds.
    pub fn version(&self) -> Option<Version> {
        self.plan.as_ref().map(|p| p.version)
    }

    /// The nodes to go by: those of the plan, with what is known to drain draining.
    pub fn nodes(&self) -> Vec<Node> {
        let nodes = self.plan.iter().flat_map(|p| &p.nodes);
        nodes.map(|n| Node { draining: n.draining || self.drains.contains_key(&n.id), ..n.clone() }).collect()
    }

    /// The nodes of the plan as it was told.
    pub fn planned_nodes(&self) -> &[Node] {
        self.plan.as_ref().map_or(&[], |plan| &plan.nodes)
    }

    /// The nodes that drain by word ahead of a plan.
    pub fn announced_drains(&self) -> impl Iterator<Item = &String> {
        self.drains.keys()
    }

    /// How far these can be relied on at `now`.
    pub fn lease_state(&self, now: Duration) -> LeaseState {
        match (&self.plan, self.until) {
            (None, _) => LeaseState::NoPlan,
            (Some(_), Some(until)) if now < until => LeaseState::Leased,
            _ => LeaseState::Expired,
        }
    }

    /// Until when planners have vouched for what is here.
    pub fn lease_end(&self) -> Duration {
        self.until.unwrap_or_default()
    }

    /// Each planner has been asked [`SILENT_AFTER`] times, and none has vouched for what is here.
    pub fn is_silent(&self) -> bool {
        self.unanswered >= SILENT_AFTER
    }

    /// How many rounds of questions in a row were answered.
    pub fn answered_rounds(&self) -> u32 {
        self.steady
    }

    /// A round of questions begins: the one before was given its time.
    pub fn begin_round(&mut self) {
        self.steady = if self.unanswered == 0 { self.steady.saturating_add(1) } else { 0 };
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// How often each kind of message was refused.
    pub fn rejections(&self) -> &HashMap<MessageRejection, u64> {
        &self.refused
    }

    /// A planner said what can't be read: nothing of it is taken, and its connection ends.
    pub fn record_unreadable(&mut self) {
        *self.refused.entry(MessageRejection::Unreadable).or_default() += 1;
    }

    /// The question to put to a planner at `now`. A lease counts from here.
    pub fn next_heartbeat(&mut self, planner: usize, now: Duration) -> ForwarderMessage {
        self.asked += 1;
        let number = self.asked;
        let beats = self.beats.entry(planner).or_default();
        if beats.len() >= MOST_BEATS {
            beats.pop_front();
        }
        beats.push_back((number, now));
        ForwarderMessage::Heartbeat { number }
    }

    /// The connection to a planner is gone, and with it the answers to what was asked there.
    pub fn remove_connection(&mut self, planner: usize) {
        self.beats.remove(&planner);
        self.budgets.remove(&planner);
    }

    /// What cold nodes would usually be sent by this follower, in requests a second: where planners
    /// differ, as they hear digests at different moments, the least of it.
    pub fn budgets(&self) -> HashMap<String, f64> {
        let mut least: HashMap<String, f64> = HashMap::new();
        for (id, usual) in self.budgets.values().flatten() {
            least.entry(id.clone()).and_modify(|known| *known = known.min(*usual)).or_insert(*usual);
        }
        least
    }

    /// Takes in what the planner at that place says.
    pub fn receive(&mut self, planner: usize, told: PlannerMessage) -> MessageEffect {
        let heard = match told {
            PlannerMessage::Full(plan) => self.full(plan),
            PlannerMessage::Delta(delta) => self.delta(delta),
            PlannerMessage::Drain { planner, announcement_version: mark, id } => {
                self.drain(planner, mark, id)
            }
            PlannerMessage::HeartbeatReply { number, version, lease_ms, max_lease_ms } => {
                let lease = self.lease(Duration::from_millis(lease_ms), Duration::from_millis(max_lease_ms));
                self.beat(planner, number, version, lease)
            }
            // They are for whoever carries them.
            PlannerMessage::Relayed(_) => MessageEffect::Accepted,
            PlannerMessage::Budgets(budgets) => {
                self.budgets.insert(planner, budgets);
                MessageEffect::BudgetsChanged
            }
        };
        if let MessageEffect::Rejected(why) = &heard {
            *self.refused.entry(*why).or_default() += 1;
        }
        heard
    }

    fn full(&mut self, plan: Plan) -> MessageEffect {
        if plan.version.generation == 0 || self.version().is_some_and(|has| plan.version <= has) {
            return MessageEffect::Rejected(MessageRejection::Outdated);
        }
        if plan.nodes.len() > MAX_NODES {
            return MessageEffect::Rejected(MessageRejection::LimitExceeded);
        }
        self.take(plan)
    }

    fn delta(&mut self, delta: Delta) -> MessageEffect {
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
        let kept = plan.nodes.iter().filter(|n| !changed.contains(&n.id)).cloned();
        let mut nodes: Vec<Node> = kept.chain(delta.set.iter().cloned()).collect();
        if nodes.len() > MAX_NODES {
            return MessageEffect::Rejected(MessageRejection::LimitExceeded);
        }
        nodes.sort_by(|a, b| a.id.cmp(&b.id));
        // What the planners have heard only grows.
        let mut heard: HashMap<u32, AnnouncementVersion> = plan.acknowledged.iter().copied().collect();
        for (planner, mark) in delta.acknowledged {
            let known = heard.entry(planner).or_default();
            *known = mark.max(*known);
        }
        if heard.len() > MAX_PLANNERS {
            return MessageEffect::Rejected(MessageRejection::LimitExceeded);
        }
        self.take(Plan { version: delta.to, nodes, acknowledged: heard.into_iter().collect() })
    }

    fn take(&mut self, mut plan: Plan) -> MessageEffect {
        if let Some(slice) = self.slice {
            plan.nodes = slice.select_owned(plan.nodes);
        }
        // A drain that was told ahead gives way to a plan only if that plan has heard of it: a
        // planner that has not may not bring the node back.
        let heard: HashMap<u32, AnnouncementVersion> = plan.acknowledged.iter().copied().collect();
        let unheard = |(planner, mark): &(u32, AnnouncementVersion)| {
            heard.get(planner).is_none_or(|known| known < mark)
        };
        self.drains.retain(|_, news| {
            news.retain(unheard);
            !news.is_empty()
        });
        self.plan = Some(plan);
        MessageEffect::NodesChanged
    }

    fn drain(&mut self, planner: u32, mark: AnnouncementVersion, id: String) -> MessageEffect {
        let heard =
            self.plan.iter().flat_map(|p| &p.acknowledged).any(|(p, known)| *p == planner && *known >= mark);
        if heard {
            return MessageEffect::Rejected(MessageRejection::Outdated);
        }
        // Also of nodes that no plan names yet: one that has not heard may bring them.
        if self.drains.len() >= MAX_NODES && !self.drains.contains_key(&id) {
            return MessageEffect::Rejected(MessageRejection::LimitExceeded);
        }
        let news = self.drains.entry(id).or_default();
        match news.iter().position(|(p, _)| *p == planner) {
            Some(known) if news[known].1 >= mark => {
                return MessageEffect::Rejected(MessageRejection::Outdated);
            }
            Some(known) => news[known].1 = mark,
            None if news.len() >= MAX_PLANNERS => {
                return MessageEffect::Rejected(MessageRejection::LimitExceeded);
            }
            None => news.push((planner, mark)),
        }
        MessageEffect::NodesChanged
    }

    /// What is left here of a lease, where its planner's longest is `full`.
    fn lease(&self, lease: Duration, full: Duration) -> Duration {
        let longest = self.longest.unwrap_or(MOST_LEASE);
        lease.saturating_sub(full.saturating_sub(longest)).min(longest)
    }

    fn beat(&mut self, planner: usize, number: u64, version: Version, lease: Duration) -> MessageEffect {
        let Some(beats) = self.beats.get_mut(&planner) else {
            return MessageEffect::Rejected(MessageRejection::Unsolicited);
        };
        let Some(place) = beats.iter().position(|(n, _)| *n == number) else {
            return MessageEffect::Rejected(MessageRejection::Unsolicited);
        };
        let (_, asked) = beats[place];
        beats.drain(..=place); // an answer is given once
        match self.version() {
            // It vouches for a plan that is not here: the word does not hold for this one.
            has if has < Some(version) => MessageEffect::Request(ForwarderMessage::Resend),
            // A planner that is behind has nothing to say of this plan.
            has if has > Some(version) => MessageEffect::Rejected(MessageRejection::Outdated),
            _ if lease.is_zero() => MessageEffect::Rejected(MessageRejection::NoLease),
            _ => {
                let until = asked + lease;
                self.until = Some(self.until.map_or(until, |known| known.max(until)));
                self.unanswered = 0;
                MessageEffect::Accepted
            }
        }
    }
}
