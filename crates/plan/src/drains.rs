//! The drain bound, and the limits that it sets for leases, graces, heartbeat intervals and spreads.
//!
//! The drain bound is the longest time for which new requests may still go to a draining node. A forwarder
//! that no longer hears from planners sends until its lease ends. A forwarder that receives the announcement
//! of a drain completes earlier decisions within its grace. Lease and grace together must therefore fit into
//! the bound. The engine uses half of the grace; the other half allows for scheduling delays of the host.
//! Three heartbeats must fit into a lease, so that it is renewed in time even if one heartbeat is lost. A
//! forwarder whose planners are silent must have waited out its random spread and read membership before
//! requests queued in the meantime expire.

use std::ops::RangeInclusive;
use std::time::Duration;
use thiserror::Error;

/// Heartbeats that must fit into a lease.
const HEARTBEATS_PER_LEASE: u32 = 3;
/// The shortest lease; timers of a busy host are not more accurate than this.
const MIN_LEASE: Duration = Duration::from_millis(50);
/// The shortest heartbeat interval and the shortest grace.
const MIN_INTERVAL: Duration = Duration::from_millis(10);

/// A drain bound outside the allowed range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("expected {} to {} ms, found {} ms", DrainBound::MIN.as_millis(), DrainBound::MAX.as_millis(), .0.as_millis())]
pub struct DrainBoundError(pub Duration);

/// The time from the moment any planner reads that a node drains or is gone, until no forwarder sends new
/// requests to the node, whatever fails. Planners and forwarders are configured with the same bound. If a
/// planner's bound is longer, a forwarder subtracts the difference from each lease (see
/// [`crate::Follower::with_drain_bound`]).
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
    /// The longest bound: 2 s, the time for which [`crate::Standby`] remembers drains of its own watch.
    pub const MAX: Duration = Duration::from_secs(2);

    /// Creates a bound. Fails outside [`Self::MIN`] to [`Self::MAX`].
    pub fn new(bound: Duration) -> Result<Self, DrainBoundError> {
        if (Self::MIN..=Self::MAX).contains(&bound) { Ok(Self(bound)) } else { Err(DrainBoundError(bound)) }
    }

    /// The bound as a duration.
    pub fn get(self) -> Duration {
        self.0
    }

    /// The longest lease, and the default: four fifths of the bound.
    pub fn max_lease(self) -> Duration {
        self.0 * 4 / 5
    }

    /// The leases that a planner may grant.
    pub fn lease_range(self) -> RangeInclusive<Duration> {
        MIN_LEASE..=self.max_lease()
    }

    /// The longest grace after the announcement of a drain, and the default: the rest of the bound after the
    /// longest lease.
    pub fn max_grace(self) -> Duration {
        self.0 - self.max_lease()
    }

    /// The graces that a forwarder may use.
    pub fn grace_range(self) -> RangeInclusive<Duration> {
        MIN_INTERVAL..=self.max_grace()
    }

    /// The default interval of heartbeats: a quarter of the longest lease.
    pub fn default_heartbeat(self) -> Duration {
        self.max_lease() / 4
    }

    /// The heartbeat intervals that a forwarder may use.
    pub fn heartbeat_range(self) -> RangeInclusive<Duration> {
        MIN_INTERVAL..=self.max_lease() / HEARTBEATS_PER_LEASE
    }

    /// The part of the longest lease that remains when planners count as silent.
    pub fn remaining_lease(self, heartbeat_interval: Duration) -> Duration {
        self.max_lease().saturating_sub(heartbeat_interval * HEARTBEATS_PER_LEASE)
    }

    /// The spreads that a forwarder may use: the longest random wait before its own watch begins. `queued` is
    /// how long requests are queued while no lease holds.
    pub fn spread_range(self, heartbeat_interval: Duration, queued: Duration) -> RangeInclusive<Duration> {
        Duration::ZERO..=self.remaining_lease(heartbeat_interval) + queued
    }
}

/// Interval at which the source of a lease is checked: an eighth of the lease, and at least 5 ms. Planners
/// use it to query each other, forwarders to poll their own watch.
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
    fn every_allowed_setting_fits_into_the_bound() {
        for bound in [100, 101, 250, 500, 1999, 2000] {
            let bound = DrainBound::new(ms(bound)).unwrap();
            let (lease, grace) = (*bound.lease_range().end(), *bound.grace_range().end());
            assert!(lease + grace <= bound.get(), "{bound:?}");
            assert!(
                *bound.heartbeat_range().end() * HEARTBEATS_PER_LEASE <= lease
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
    fn default_bound_gives_the_fixed_values_of_earlier_releases() {
        let bound = DrainBound::default();
        let defaults = (
            bound.max_lease(),
            bound.max_grace(),
            bound.default_heartbeat(),
            bound.remaining_lease(bound.default_heartbeat()),
            lease_check_interval(bound.max_lease()),
        );
        assert_eq!(defaults, (ms(400), ms(100), ms(100), ms(100), ms(50)));
    }
}
