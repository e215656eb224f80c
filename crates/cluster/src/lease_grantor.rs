//! Computes the leases that a planner may grant.
//!
//! Within the drain bound after any planner has read a drain, no forwarder may send new requests to the node,
//! even if that planner fails before it announces the drain. A planner therefore grants leases only up to a
//! lease after the time up to which it knows what *every* planner knew: the time of its last answered request
//! to each other planner, or of its own last membership read. A silent planner costs only additional reads. A
//! drain that only a failed planner knew of, and that membership does not show, cannot be recovered.

use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Debug)]
struct Peer {
    /// Epoch of the peer's run that answered last.
    epoch: u64,
    /// Everything that the peer knew up to this time is known here.
    known_until: Duration,
    /// The peer restarted at this time, and what it knew before may be lost with it.
    restarted_at: Option<Duration>,
}

/// Tracks up to which time one planner knows what its peers knew.
#[derive(Debug)]
pub struct LeaseGrantor {
    max_lease: Duration,
    peers: BTreeMap<u32, Peer>,
    /// Start of the last membership read after which all drains were announced.
    last_read: Option<Duration>,
    /// Whether grants are suspended.
    suspended: bool,
}

impl LeaseGrantor {
    /// Creates the state for the given peers, none of which has answered yet.
    pub fn new(peers: impl IntoIterator<Item = u32>, max_lease: Duration) -> Self {
        let unanswered = |number| {
            (number, Peer { epoch: 0, known_until: Duration::ZERO, restarted_at: Some(Duration::ZERO) })
        };
        Self {
            max_lease,
            peers: peers.into_iter().map(unanswered).collect(),
            last_read: None,
            suspended: false,
        }
    }

    /// Suspends or resumes the granting of leases.
    pub fn set_suspended(&mut self, suspended: bool) {
        self.suspended = suspended;
    }

    /// Whether grants are suspended.
    pub fn is_suspended(&self) -> bool {
        self.suspended
    }

    /// Records a peer's answer to a request sent at `sent_at`. Everything that the peer knew at that time is
    /// known here. `epoch` identifies the run of the peer.
    pub fn record_answer(&mut self, number: u32, epoch: u64, sent_at: Duration, now: Duration) {
        let Some(peer) = self.peers.get_mut(&number) else { return };
        if peer.epoch != epoch {
            (peer.epoch, peer.restarted_at) = (epoch, Some(now));
        }
        if peer.restarted_at.is_none() {
            peer.known_until = peer.known_until.max(sent_at);
        }
    }

    /// Records a membership read, started at `started_at`, whose drains were all announced.
    pub fn record_membership_read(&mut self, started_at: Duration) {
        self.last_read = self.last_read.max(Some(started_at));
        for peer in self.peers.values_mut() {
            if peer.restarted_at.is_some_and(|since| started_at >= since) {
                peer.restarted_at = None;
            }
        }
    }

    /// Whether a membership read is needed, because a peer has not answered for so long that leases would
    /// become short.
    pub fn needs_membership_read(&self, now: Duration) -> bool {
        self.last_read.is_none()
            || self
                .peers
                .values()
                .any(|p| p.restarted_at.is_some() || p.known_until + self.max_lease / 4 < now)
    }

    /// The lease that may be granted at `now`.
    pub fn grantable_lease(&self, now: Duration) -> Duration {
        let Some(last_read) = self.last_read.filter(|_| !self.suspended) else { return Duration::ZERO };
        let known_until = self.peers.values().map(|p| p.known_until.max(last_read)).min().unwrap_or(now);
        (known_until + self.max_lease).saturating_sub(now).min(self.max_lease)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    #[test]
    fn lease_ends_with_the_knowledge_of_what_all_peers_know() {
        let mut grantor = LeaseGrantor::new([1, 2], ms(400));
        assert_eq!((grantor.grantable_lease(ms(0)), grantor.needs_membership_read(ms(0))), (ms(0), true));
        grantor.record_membership_read(ms(10));
        assert_eq!(grantor.grantable_lease(ms(20)), ms(390));
        grantor.record_answer(1, 11, ms(30), ms(31));
        grantor.record_answer(2, 12, ms(30), ms(31));
        assert!(
            grantor.needs_membership_read(ms(32)),
            "the peers are new, and their earlier knowledge is unknown"
        );
        grantor.record_membership_read(ms(40));
        for at in [50, 100, 150] {
            grantor.record_answer(1, 11, ms(at), ms(at + 1));
            grantor.record_answer(2, 12, ms(at), ms(at + 1));
        }
        assert_eq!(
            (grantor.grantable_lease(ms(160)), grantor.needs_membership_read(ms(160))),
            (ms(390), false)
        );
        // Peer 2 falls silent: what it knew after 150 is unknown, and no lease ends after 550.
        grantor.record_answer(1, 11, ms(500), ms(501));
        assert_eq!(
            (grantor.grantable_lease(ms(500)), grantor.needs_membership_read(ms(500))),
            (ms(50), true)
        );
        assert_eq!(grantor.grantable_lease(ms(600)), ms(0));
        // An own read at 600 shows what the silent peer could have known by then.
        grantor.record_membership_read(ms(600));
        assert_eq!(grantor.grantable_lease(ms(610)), ms(390));
        // Peer 2 returns after a restart and no longer knows what it knew before.
        grantor.record_answer(1, 11, ms(700), ms(701));
        grantor.record_answer(2, 22, ms(700), ms(701));
        assert_eq!(grantor.grantable_lease(ms(701)), ms(299));
        grantor.record_membership_read(ms(700));
        grantor.record_answer(2, 22, ms(750), ms(751));
        assert_eq!(
            grantor.grantable_lease(ms(751)),
            ms(349),
            "the read began before the restart was noticed"
        );
        grantor.record_membership_read(ms(760));
        grantor.record_answer(1, 11, ms(790), ms(791));
        grantor.record_answer(2, 22, ms(790), ms(791));
        assert_eq!(grantor.grantable_lease(ms(800)), ms(390));
    }

    #[test]
    fn single_planner_grants_full_leases_after_its_first_read() {
        let mut grantor = LeaseGrantor::new([], ms(400));
        assert_eq!(grantor.grantable_lease(ms(1000)), ms(0), "membership was not read yet");
        grantor.record_membership_read(ms(1000));
        assert_eq!(
            (grantor.grantable_lease(ms(9000)), grantor.needs_membership_read(ms(9000))),
            (ms(400), false)
        );
    }
}
