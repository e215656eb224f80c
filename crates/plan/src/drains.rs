//! The bound on drains, and what it asks of leases, graces, beats and spreads.
//!
//! A forwarder that no longer hears of news sends until its lease is over; one that hears of them finishes
//! what was decided within its grace, of which the engine uses half. So lease and grace together must fit into
//! the bound, and the other half of the grace is what a machine may be late by. For a lease to be renewed
//! before it ends, in spite of one question that is lost, three questions must fit into it; and a forwarder
//! whose planners are silent must have drawn its lot and read membership before requests that it holds back
//! meanwhile are given up.

use std::ops::RangeInclusive;
use std::time::Duration;
use thiserror::Error;

/// Questions to planners that must fit into a lease.
const QUESTIONS: u32 = 3;
/// The shortest lease, and the shortest beat and grace: below these the timers of a busy machine decide.
const LEAST_LEASE: Duration = Duration::from_millis(50);
const LEAST_BEAT: Duration = Duration::from_millis(10);

/// A bound that can't be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("expected {} to {} ms, found {} ms", DrainBound::MIN.as_millis(), DrainBound::MAX.as_millis(), .0.as_millis())]
pub struct DrainBoundError(pub Duration);

/// How long after any planner has read that a node drains, or is gone, something new may still be begun
/// there, by whichever forwarder and whatever fails. Planners and forwarders are set to the same bound; where
/// a planner's is longer, a forwarder takes the difference off each lease ([`crate::Follower::bounded`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainBound(Duration);

impl Default for DrainBound {
    /// 500 ms.
    fn default() -> Self {
        Self(Duration::from_millis(500))
    }
}

impl DrainBound {
    /// The shortest bound: 100 ms.
    pub const MIN: Duration = Duration::from_millis(100);
    /// The longest one: 2 s, as what a forwarder remembers of its own watch is kept for that long.
    pub const MAX: Duration = Duration::from_secs(2);

    /// A bound from [`Self::MIN`] to [`Self::MAX`].
    pub fn new(bound: Duration) -> Result<Self, DrainBoundError> {
        if (Self::MIN..=Self::MAX).contains(&bound) { Ok(Self(bound)) } else { Err(DrainBoundError(bound)) }
    }

    /// The bound.
    pub fn get(self) -> Duration {
        self.0
    }

    /// The longest lease: four fifths of it. Leases are that long unless they are set.
    pub fn max_lease(self) -> Duration {
        self.0 * 4 / 5
    }

    /// The leases that a planner may give.
    pub fn lease_range(self) -> RangeInclusive<Duration> {
        LEAST_LEASE..=self.max_lease()
    }

    /// The longest grace of a forwarder after the news of a drain: what the lease leaves, and the default.
    pub fn max_grace(self) -> Duration {
        self.0 - self.max_lease()
    }

    /// The graces that a forwarder may have.
    pub fn grace_range(self) -> RangeInclusive<Duration> {
        LEAST_BEAT..=self.max_grace()
    }

    /// How often a forwarder asks each planner unless that is set: a quarter of the lease.
    pub fn default_heartbeat(self) -> Duration {
        self.max_lease() / 4
    }

    /// How often it may.
    pub fn heartbeat_range(self) -> RangeInclusive<Duration> {
        LEAST_BEAT..=self.max_lease() / QUESTIONS
    }

    /// What is left of a lease when as many questions as make planners count as silent have had their time.
    pub fn remaining_lease(self, beat: Duration) -> Duration {
        self.max_lease().saturating_sub(beat * QUESTIONS)
    }

    /// The longest waits that a forwarder may draw before its own watch begins, if requests are held back for
    /// so long while its lease is over.
    pub fn spread_range(self, beat: Duration, held: Duration) -> RangeInclusive<Duration> {
        Duration::ZERO..=self.remaining_lease(beat) + held
    }
}

/// How often it is to be asked what a lease of that length counts from: an eighth of it, and no more often than
/// every 5 ms. So planners ask each other, and a forwarder its own watch.
pub fn lease_check_interval(lease: Duration) -> Duration {
    (lease / 8).max(Duration::from_millis(5))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    #[test]
    fn all_that_it_allows_keeps_it() {
        for bound in [100, 101, 250, 500, 1999, 2000] {
            let bound = DrainBound::new(ms(bound)).unwrap();
            let (lease, grace) = (*bound.lease_range().end(), *bound.grace_range().end());
            assert!(lease + grace <= bound.get(), "{bound:?}");
            assert!(
                *bound.heartbeat_range().end() * QUESTIONS <= lease
                    && bound.heartbeat_range().contains(&bound.default_heartbeat()),
                "{bound:?}"
            );
            assert!(
                bound.lease_range().contains(&lease) && bound.grace_range().contains(&grace),
                "{bound:?}"
            );
            assert!(lease_check_interval(lease) * 4 <= lease, "{bound:?}");
        }
        assert_eq!(DrainBound::new(ms(99)), Err(DrainBoundError(ms(99))));
        assert_eq!(
            DrainBound::new(ms(2001)).unwrap_err().to_string(),
            "expected 100 to 2000 ms, found 2001 ms"
        );
    }

    #[test]
    fn the_default_is_what_it_was_before_it_could_be_set() {
        let bound = DrainBound::default();
        let all = (
            bound.max_lease(),
            bound.max_grace(),
            bound.default_heartbeat(),
            bound.remaining_lease(bound.default_heartbeat()),
            lease_check_interval(bound.max_lease()),
        );
        assert_eq!(all, (ms(400), ms(100), ms(100), ms(100), ms(50)));
    }
}
