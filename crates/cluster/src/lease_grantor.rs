//! For how long a planner may vouch for what it tells.
//!
//! From the moment that any planner was told of a drain no forwarder may begin anything new there after
//! half a second, also where that planner dies with the news untold. So a planner vouches for no longer
//! than a lease past the moment up to which it knows what *every* planner knew: the moment of its last
//! question to the other that was answered, or of the last time that it looked at membership itself.
//! A planner that falls silent costs nothing but looks; news that it alone was told of, and that
//! membership does not show either, can't be had by anyone.

use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Debug)]
struct Peer {
    /// Which start of that planner was heard last.
    id: u64,
    /// Up to when all that it knew is known.
    known: Duration,
    /// It started anew, and what it knew before may be lost with it: since when that is so.
    lost: Option<Duration>,
}

/// What one planner knows of the others' knowledge.
#[derive(Debug)]
pub struct LeaseGrantor {
    lease: Duration,
    peers: BTreeMap<u32, Peer>,
    /// When the last look at membership began that found all told.
    looked: Option<Duration>,
    /// It is not to vouch for anything now.
    withheld: bool,
}

impl LeaseGrantor {
    /// With these others, none of which was heard yet.
    pub fn new(peers: impl IntoIterator<Item = u32>, lease: Duration) -> Self {
        let silent = |number| (number, Peer { id: 0, known: Duration::ZERO, lost: Some(Duration::ZERO) });
        Self { lease, peers: peers.into_iter().map(silent).collect(), looked: None, withheld: false }
    }

    /// It vouches for nothing from now on, or no longer does that.
    pub fn set_suspended(&mut self, withheld: bool) {
        self.withheld = withheld;
    }

    /// It vouches for nothing now.
    pub fn is_suspended(&self) -> bool {
        self.withheld
    }

    /// A planner answered a question of `asked`: all that it was told by then is here. `id` is that of
    /// its start.
    pub fn record_answer(&mut self, number: u32, id: u64, asked: Duration, now: Duration) {
        let Some(peer) = self.peers.get_mut(&number) else { return };
        if peer.id != id {
            (peer.id, peer.lost) = (id, Some(now));
        }
        if peer.lost.is_none() {
            peer.known = peer.known.max(asked);
        }
    }

    /// A look at membership, begun then, found nothing that is not told.
    pub fn record_membership_read(&mut self, began: Duration) {
        self.looked = self.looked.max(Some(began));
        for peer in self.peers.values_mut() {
            if peer.lost.is_some_and(|since| began >= since) {
                peer.lost = None;
            }
        }
    }

    /// A look is wanted: some other planner was not heard for so long that leases would run short.
    pub fn needs_membership_read(&self, now: Duration) -> bool {
        self.looked.is_none()
            || self.peers.values().any(|p| p.lost.is_some() || p.known + self.lease / 4 < now)
    }

    /// For how long from `now` on it may vouch.
    pub fn grantable_lease(&self, now: Duration) -> Duration {
        let Some(looked) = self.looked.filter(|_| !self.withheld) else { return Duration::ZERO };
        let known = self.peers.values().map(|p| p.known.max(looked)).min().unwrap_or(now);
        (known + self.lease).saturating_sub(now).min(self.lease)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    #[test]
    fn it_vouches_no_longer_than_it_knows_what_all_know() {
        let mut vouch = LeaseGrantor::new([1, 2], ms(400));
        assert_eq!((vouch.grantable_lease(ms(0)), vouch.needs_membership_read(ms(0))), (ms(0), true));
        vouch.record_membership_read(ms(10));
        assert_eq!(vouch.grantable_lease(ms(20)), ms(390));
        vouch.record_answer(1, 11, ms(30), ms(31));
        vouch.record_answer(2, 12, ms(30), ms(31));
        assert!(vouch.needs_membership_read(ms(32)), "they are new, and what they knew before is unknown");
        vouch.record_membership_read(ms(40));
        for at in [50, 100, 150] {
            vouch.record_answer(1, 11, ms(at), ms(at + 1));
            vouch.record_answer(2, 12, ms(at), ms(at + 1));
        }
        assert_eq!((vouch.grantable_lease(ms(160)), vouch.needs_membership_read(ms(160))), (ms(390), false));
        // One falls silent: what it was told since 150 is not known, and no lease goes past 550.
        vouch.record_answer(1, 11, ms(500), ms(501));
        assert_eq!((vouch.grantable_lease(ms(500)), vouch.needs_membership_read(ms(500))), (ms(50), true));
        assert_eq!(vouch.grantable_lease(ms(600)), ms(0));
        // A look of its own tells what the silent one could have been told by then.
        vouch.record_membership_read(ms(600));
        assert_eq!(vouch.grantable_lease(ms(610)), ms(390));
        // It is back as another start: it no longer knows what it was told.
        vouch.record_answer(1, 11, ms(700), ms(701));
        vouch.record_answer(2, 22, ms(700), ms(701));
        assert_eq!(vouch.grantable_lease(ms(701)), ms(299));
        vouch.record_membership_read(ms(700));
        vouch.record_answer(2, 22, ms(750), ms(751));
        assert_eq!(
            vouch.grantable_lease(ms(751)),
            ms(349),
            "that look began before it was known to be another"
        );
        vouch.record_membership_read(ms(760));
        vouch.record_answer(1, 11, ms(790), ms(791));
        vouch.record_answer(2, 22, ms(790), ms(791));
        assert_eq!(vouch.grantable_lease(ms(800)), ms(390));
    }

    #[test]
    fn a_planner_alone_knows_all_that_any_does() {
        let mut vouch = LeaseGrantor::new([], ms(400));
        assert_eq!(vouch.grantable_lease(ms(1000)), ms(0), "it has not looked yet");
        vouch.record_membership_read(ms(1000));
        assert_eq!(
            (vouch.grantable_lease(ms(9000)), vouch.needs_membership_read(ms(9000))),
            (ms(400), false)
        );
    }
}
