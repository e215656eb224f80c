//! What a forwarder goes by when its planners fall silent, and how it goes back to them.
//!
//! While a planner vouches for it, the plan holds for as long as it is lent. When all are silent the
//! forwarder turns to a watch of its own on membership, after a wait drawn for each forwarder, so that
//! a fleet of them does not ask at one moment. Between the end of the lease and the first list of its
//! own nothing new is sent: a drain that a planner was told of may be in that list. Where that list
//! does not come, or there is no watch, the last plan serves on: a request that is refused is certain
//! harm, a drain that nothing could tell of is a possible one.
//!
//! What was known to drain stays so over each change of source until the new source itself has shown
//! it draining or gone, or has held for long enough to have heard.

use crate::follower::SILENT_AFTER;
use crate::{Follower, Node};
use std::collections::HashSet;
use std::time::Duration;

/// After so many rounds of questions in a row that were answered the planners are followed again:
/// one that comes and goes doesn't make a forwarder turn to and fro.
const BACK_AFTER: u32 = 3;
/// For how long after that the drains hold that the forwarder's own watch knew of: any planner that
/// vouches has looked at membership within its lease, and leases are at most this long in practice.
const KEPT: Duration = Duration::from_secs(2);
/// A first list of its own is waited for as long as this after the wait that was drawn; then the last
/// plan serves on.
const LIST_WITHIN: Duration = Duration::from_secs(1);

/// How a forwarder behaves when planners are silent.
#[derive(Clone, Copy, Debug)]
pub struct StandbySettings {
    /// It has a watch of its own to turn to.
    pub own_watch: bool,
    /// The longest wait before it does. With n forwarders membership is asked n times within it.
    pub spread: Duration,
    /// A list of its own watch may be gone by for so long after a look that found nothing newer began: as for
    /// planners' leases, so that a process that stood still sends nothing by what it knew before.
    pub lease: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// By the plan.
    Planned,
    /// Silence was found at `from`; the forwarder's own watch begins at `at`.
    Spread { from: Duration, at: Duration },
    /// That watch has begun, and has brought no list yet.
    AwaitingList { from: Duration },
    /// By the list of its own watch.
    Own,
}

/// Which list a forwarder goes by. No I/O and no clock.
#[derive(Debug)]
pub struct Standby {
    rules: StandbySettings,
    phase: Phase,
    /// The last list of its own watch; of a forwarder that uses a part of the fleet that part.
    own: Vec<Node>,
    /// What that watch has shown draining or gone since it took over: it may bring it back.
    shown: HashSet<String>,
    /// What its own watch had serving when the planners came back: nothing else is until then, as the
    /// planners may have heard less, and a part may come to name what it did not.
    kept: Option<(HashSet<String>, Duration)>,
    failed: bool,
    /// When the last look of its own watch began that found nothing newer, and how often it was asked to
    /// look since.
    looked: Duration,
    unlooked: u32,
}

impl Standby {
    /// At first it goes by what planners say.
    pub fn new(rules: StandbySettings) -> Self {
        Self {
            rules,
            phase: Phase::Planned,
            own: Vec::new(),
            shown: HashSet::new(),
            kept: None,
            failed: false,
            looked: Duration::ZERO,
            unlooked: 0,
        }
    }

    /// Takes in how things stand at `now`; to be called after all that the follower hears or asks.
    /// `lot` is drawn anew for each call, from 0 to 1. True where the nodes to go by may have changed.
    pub fn update(&mut self, follower: &Follower, now: Duration, lot: f64) -> bool {
        let kept = self.kept.as_ref().is_some_and(|(_, until)| now >= *until);
        if kept {
            self.kept = None;
        }
        let before = self.phase;
        self.phase = match before {
            Phase::Planned if follower.is_silent() && self.rules.own_watch => {
                self.failed = false;
                Phase::Spread { from: now, at: now + self.rules.spread.mul_f64(lot.clamp(0.0, 1.0)) }
            }
            Phase::Spread { .. } | Phase::AwaitingList { .. } if !follower.is_silent() => Phase::Planned,
            Phase::Spread { from, at } if now >= at => {
                (self.looked, self.unlooked) = (now, 0);
                Phase::AwaitingList { from }
            }
            Phase::Own if follower.answered_rounds() >= BACK_AFTER && now < follower.lease_end() => {
                self.back(now);
                Phase::Planned
            }
            same => same,
        };
        kept || (before == Phase::Own) != (self.phase == Phase::Own)
    }

    /// The forwarder's own watch is to be open.
    pub fn is_watching(&self) -> bool {
        matches!(self.phase, Phase::AwaitingList { .. } | Phase::Own)
    }

    /// It goes by its own watch.
    pub fn uses_own_list(&self) -> bool {
        self.phase == Phase::Own
    }

    /// Its own watch brings a list, of the whole fleet. True where the nodes to go by have changed. Of a
    /// follower that keeps a part the same part is kept, so that nothing moves where both sources agree.
    pub fn receive_own_list(&mut self, follower: &Follower, mut list: Vec<Node>) -> bool {
        if !self.is_watching() {
            return false; // the planners were quicker
        }
        let serving: HashSet<&String> = list.iter().filter(|n| !n.draining).map(|n| &n.id).collect();
        let known = self.own.iter().map(|n| &n.id).chain(follower.planned_nodes().iter().map(|n| &n.id));
        self.shown.extend(known.filter(|id| !serving.contains(id)).cloned());
        // Names come and go for ever: what neither side lists any more need not be known.
        let listed: HashSet<&String> = list
            .iter()
            .chain(follower.planned_nodes())
            .map(|n| &n.id)
            .chain(follower.announced_drains())
            .collect();
        self.shown.retain(|id| listed.contains(id));
        if let Some(slice) = follower.slice() {
            // What is held drained needs somebody to stand in for it, too.
            let drained = self.held(follower);
            list.iter_mut().for_each(|n| n.draining |= drained.contains(&n.id));
            list = slice.select_owned(list);
        }
        self.own = list;
        self.phase = Phase::Own;
        true
    }

    /// Its own watch can't bring one.
    pub fn record_own_list_failure(&mut self) {
        self.failed = true;
    }

    /// Its own watch is asked to look; the question before was given its time.
    pub fn record_read_request(&mut self) {
        self.unlooked = self.unlooked.saturating_add(1);
    }

    /// A look of its own watch, begun then, found nothing but what [`Standby::own`] was told.
    pub fn record_read(&mut self, began: Duration) {
        if began > self.looked {
            (self.looked, self.unlooked) = (began, 0);
        }
    }

    fn back(&mut self, now: Duration) {
        let serving = std::mem::take(&mut self.own).into_iter().filter(|n| !n.draining).map(|n| n.id);
        self.kept = Some((serving.collect(), now + KEPT));
        self.shown.clear();
    }

    /// The nodes to go by.
    pub fn nodes(&self, follower: &Follower) -> Vec<Node> {
        if self.phase != Phase::Own {
            let waits = |id: &String| self.kept.as_ref().is_some_and(|(serving, _)| !serving.contains(id));
            let kept = |n: Node| Node { draining: n.draining || waits(&n.id), ..n };
            return follower.nodes().into_iter().map(kept).collect();
        }
        let held = self.held(follower);
        self.own.iter().map(|n| Node { draining: n.draining || held.contains(&n.id), ..n.clone() }).collect()
    }

    /// What is known to drain by planners, and its own watch has not shown so.
    fn held(&self, follower: &Follower) -> HashSet<String> {
        let planned = follower.planned_nodes().iter().filter(|n| n.draining).map(|n| &n.id);
        let drained = planned.chain(follower.announced_drains()).filter(|id| !self.shown.contains(*id));
        drained.cloned().collect()
    }

    /// Until when something new may be sent by them at all. None: for good, or for as long as nobody
    /// can say otherwise.
    pub fn send_deadline(&self, follower: &Follower, now: Duration) -> Option<Duration> {
        let waits = |from: Duration| !self.failed && now < from + self.rules.spread + LIST_WITHIN;
        match self.phase {
            // Its watch was asked time and again and says nothing: what it said last serves on.
            Phase::Own if self.unlooked >= SILENT_AFTER => None,
            Phase::Own => Some(self.looked + self.rules.lease),
            _ if follower.version().is_none() => Some(Duration::ZERO),
            Phase::Planned if follower.is_silent() && !self.rules.own_watch => None,
            Phase::Spread { from, .. } | Phase::AwaitingList { from } if !waits(from) => None,
            _ => Some(follower.lease_end()),
        }
    }
}
