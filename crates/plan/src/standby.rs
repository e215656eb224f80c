//! Decides which list a forwarder uses while its planners are silent, and when it returns to their plan.
//!
//! A plan may be used while a planner grants a lease for it. When all planners are silent, the forwarder
//! turns to its own watch of membership after a random wait, so that the forwarders of a fleet do not all
//! read membership at once. Between the end of the lease and the first list of its own watch the forwarder
//! sends nothing new, because that list may contain a drain that only a planner knew of. If the list does not
//! arrive, or there is no watch, the forwarder continues with the last plan: rejecting requests is certain
//! harm, while an unknown drain is only possible.
//!
//! A node known to drain stays draining over each change of source, until the new source itself shows the
//! node draining or gone, or has been in use long enough to know of the drain.

use crate::follower::SILENT_AFTER_ROUNDS;
use crate::{Follower, Node};
use std::collections::HashSet;
use std::time::Duration;

/// Answered rounds of heartbeats in a row after which the forwarder returns to its planners. Keeps a flapping
/// planner from making the forwarder switch repeatedly.
const RETURN_AFTER_ROUNDS: u32 = 3;
/// After the return to the planners, nodes that were not serving in the forwarder's own list stay draining
/// for this long. By then every planner that grants leases has read membership, as leases are shorter.
const OWN_DRAINS_KEPT_FOR: Duration = Duration::from_secs(2);
/// Time after the random wait within which the first list of the own watch must arrive; then the last plan is
/// used.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// How a forwarder behaves while its planners are silent.
#[derive(Clone, Copy, Debug)]
pub struct StandbySettings {
    /// Whether the forwarder has its own watch of membership.
    pub own_watch: bool,
    /// The longest random wait before the own watch begins. With n forwarders, membership is read n times
    /// within this duration.
    pub spread: Duration,
    /// How long a list of the own watch may be used after the start of the last membership read that found
    /// nothing newer. As with planners' leases, a suspended process sends nothing based on an outdated list.
    pub lease: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Uses the plan.
    Plan,
    /// Silence was detected at `silent_since`; the own watch begins at `watch_at`.
    Waiting { silent_since: Duration, watch_at: Duration },
    /// The own watch has begun, and has delivered no list yet.
    AwaitingList { silent_since: Duration },
    /// Uses the list of the own watch.
    OwnList,
}

/// Selects the list that a forwarder uses. A state machine without I/O or a clock.
#[derive(Debug)]
pub struct Standby {
    settings: StandbySettings,
    phase: Phase,
    /// The last list of the own watch, reduced to the slice if the forwarder uses one.
    own_list: Vec<Node>,
    /// Nodes that the own watch has shown draining or gone since it took over. A later list of the watch may
    /// end their drain.
    shown_draining: HashSet<String>,
    /// The nodes that were serving in the own list when the planners returned, and the time until which all
    /// others count as draining. The planners may know of fewer drains, and their slice may contain other
    /// nodes.
    served_by_own_list: Option<(HashSet<String>, Duration)>,
    own_list_failed: bool,
    /// Start of the last membership read that found nothing newer, and the number of reads requested since.
    last_read: Duration,
    unanswered_reads: u32,
}

impl Standby {
    /// Creates the state of a forwarder that uses its planners' plan.
    pub fn new(settings: StandbySettings) -> Self {
        Self {
            settings,
            phase: Phase::Plan,
            own_list: Vec::new(),
            shown_draining: HashSet::new(),
            served_by_own_list: None,
            own_list_failed: false,
            last_read: Duration::ZERO,
            unanswered_reads: 0,
        }
    }

    /// Updates the state at time `now`; to be called after each event of the follower. `random_fraction` is a
    /// new random number from 0 to 1 for each call. Returns true if the nodes to use may have changed.
    pub fn update(&mut self, follower: &Follower, now: Duration, random_fraction: f64) -> bool {
        let hold_ended = self.served_by_own_list.as_ref().is_some_and(|(_, until)| now >= *until);
        if hold_ended {
            self.served_by_own_list = None;
        }
        let before = self.phase;
        self.phase = match before {
            Phase::Plan if follower.is_silent() && self.settings.own_watch => {
                self.own_list_failed = false;
                Phase::Waiting {
                    silent_since: now,
                    watch_at: now + self.settings.spread.mul_f64(random_fraction.clamp(0.0, 1.0)),
                }
            }
            Phase::Waiting { .. } | Phase::AwaitingList { .. } if !follower.is_silent() => Phase::Plan,
            Phase::Waiting { silent_since, watch_at } if now >= watch_at => {
                (self.last_read, self.unanswered_reads) = (now, 0);
                Phase::AwaitingList { silent_since }
            }
            Phase::OwnList
                if follower.answered_rounds() >= RETURN_AFTER_ROUNDS && now < follower.lease_end() =>
            {
                self.return_to_plan(now);
                Phase::Plan
            }
            unchanged => unchanged,
        };
        hold_ended || (before == Phase::OwnList) != (self.phase == Phase::OwnList)
    }

    /// Whether the forwarder's own watch must be open.
    pub fn is_watching(&self) -> bool {
        matches!(self.phase, Phase::AwaitingList { .. } | Phase::OwnList)
    }

    /// Whether the forwarder uses the list of its own watch.
    pub fn uses_own_list(&self) -> bool {
        self.phase == Phase::OwnList
    }

    /// Receives a list of the whole fleet from the own watch. Returns true if the nodes to use have changed.
    /// If the follower uses a slice, the same slice is selected from the list, so that nothing changes where
    /// both sources agree.
    pub fn receive_own_list(&mut self, follower: &Follower, mut list: Vec<Node>) -> bool {
        if !self.is_watching() {
            return false; // the planners answered first
        }
        let serving: HashSet<&String> = list.iter().filter(|n| !n.draining).map(|n| &n.id).collect();
        let known = self.own_list.iter().map(|n| &n.id).chain(follower.planned_nodes().iter().map(|n| &n.id));
        self.shown_draining.extend(known.filter(|id| !serving.contains(id)).cloned());
        // Forgets names that neither source lists any more, which bounds the memory.
        let listed: HashSet<&String> = list
            .iter()
            .chain(follower.planned_nodes())
            .map(|n| &n.id)
            .chain(follower.announced_drains())
            .collect();
        self.shown_draining.retain(|id| listed.contains(id));
        if let Some(slice) = follower.slice() {
            // Nodes that stay draining are replaced in the slice.
            let drained = self.held_draining(follower);
            list.iter_mut().for_each(|n| n.draining |= drained.contains(&n.id));
            list = slice.select_owned(list);
        }
        self.own_list = list;
        self.phase = Phase::OwnList;
        true
    }

    /// Records that the own watch cannot deliver a list.
    pub fn record_own_list_failure(&mut self) {
        self.own_list_failed = true;
    }

    /// Records that the own watch was asked for a membership read, and that the previous read had its time.
    pub fn record_read_request(&mut self) {
        self.unanswered_reads = self.unanswered_reads.saturating_add(1);
    }

    /// Records a membership read of the own watch, started at `started_at`, that found nothing newer than the last
    /// list passed to [`Standby::receive_own_list`].
    pub fn record_read(&mut self, started_at: Duration) {
        if started_at > self.last_read {
            (self.last_read, self.unanswered_reads) = (started_at, 0);
        }
    }

    fn return_to_plan(&mut self, now: Duration) {
        let serving = std::mem::take(&mut self.own_list).into_iter().filter(|n| !n.draining).map(|n| n.id);
        self.served_by_own_list = Some((serving.collect(), now + OWN_DRAINS_KEPT_FOR));
        self.shown_draining.clear();
    }

    /// The nodes to use.
    pub fn nodes(&self, follower: &Follower) -> Vec<Node> {
        if self.phase != Phase::OwnList {
            let is_held = |id: &String| {
                self.served_by_own_list.as_ref().is_some_and(|(serving, _)| !serving.contains(id))
            };
            let hold = |n: Node| Node { draining: n.draining || is_held(&n.id), ..n };
            return follower.nodes().into_iter().map(hold).collect();
        }
        let held = self.held_draining(follower);
        self.own_list
            .iter()
            .map(|n| Node { draining: n.draining || held.contains(&n.id), ..n.clone() })
            .collect()
    }

    /// Nodes that drain according to planners, and that the own watch has not shown draining or gone.
    fn held_draining(&self, follower: &Follower) -> HashSet<String> {
        let planned = follower.planned_nodes().iter().filter(|n| n.draining).map(|n| &n.id);
        let drained =
            planned.chain(follower.announced_drains()).filter(|id| !self.shown_draining.contains(*id));
        drained.cloned().collect()
    }

    /// The time until which new requests may be sent to the current nodes. None: without limit, or until some
    /// source answers again.
    pub fn send_deadline(&self, follower: &Follower, now: Duration) -> Option<Duration> {
        let awaits_list = |silent_since: Duration| {
            !self.own_list_failed && now < silent_since + self.settings.spread + FIRST_LIST_TIMEOUT
        };
        match self.phase {
            // The own watch does not answer repeated reads; its last list stays in use.
            Phase::OwnList if self.unanswered_reads >= SILENT_AFTER_ROUNDS => None,
            Phase::OwnList => Some(self.last_read + self.settings.lease),
            _ if follower.version().is_none() => Some(Duration::ZERO),
            Phase::Plan if follower.is_silent() && !self.settings.own_watch => None,
            Phase::Waiting { silent_since, .. } | Phase::AwaitingList { silent_since }
                if !awaits_list(silent_since) =>
            {
                None
            }
            _ => Some(follower.lease_end()),
        }
    }
}
