//! Estimates the probability that an idle connection is stale, by how long it has been idle.

use crate::decaying_count::DecayingCount;
use crate::idle_timeout::IdleTimeoutEstimate;
use crate::{HandshakePrice, LossCost, Time};

/// Upper bounds of the idle time buckets, in seconds. One more bucket holds all longer times.
pub const IDLE_TIME_BOUNDS_SECONDS: [Time; 9] = [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];
/// Number of idle time buckets.
const BUCKETS: usize = IDLE_TIME_BOUNDS_SECONDS.len() + 1;

/// Stale probability assumed for connections without observations.
const PRIOR_STALE_PROBABILITY: f64 = 0.005;
/// Weight of the prior, in uses. It is small so that the first lost request already changes the estimate.
const PRIOR_WEIGHT_USES: f64 = 5.0;
/// Weight of the history of all backends in the estimate for one backend, in uses.
const SHARED_WEIGHT_USES: f64 = 10.0;
/// Fraction of the idle timeout of the backend from which the backend may close the connection before a
/// request arrives.
const NEAR_TIMEOUT_FRACTION: f64 = 0.8;
/// Stale probability assumed from that idle time on.
const NEAR_TIMEOUT_STALE_PROBABILITY: f64 = 0.5;

fn bucket_index(idle: Time) -> usize {
    IDLE_TIME_BOUNDS_SECONDS.partition_point(|bound| *bound < idle)
}

/// Outcomes of connections to all backends: reused ones by idle time, and new ones.
#[derive(Clone, Debug, Default)]
pub struct SharedHistory {
    by_idle_time: [DecayingCount; BUCKETS],
    new_connections: DecayingCount,
}

impl SharedHistory {
    /// Returns the stale probability of each bucket. The probability must not fall with the idle time:
    /// buckets that violate this are pooled (isotonic regression by pooling adjacent violators; Ayer, Brunk,
    /// Ewing, Reid and Silverman 1955).
    fn stale_probabilities(&self, now: Time) -> [f64; BUCKETS] {
        // Pools of adjacent buckets: uses, stale connections and the number of buckets.
        let mut pools: Vec<(f64, f64, usize)> = Vec::with_capacity(BUCKETS);
        for count in &self.by_idle_time {
            let (used, stale) = count.decayed(now);
            let mut pool = (used + PRIOR_WEIGHT_USES, stale + PRIOR_STALE_PROBABILITY * PRIOR_WEIGHT_USES, 1);
            while let Some(previous) = pools.pop_if(|b| b.1 / b.0 > pool.1 / pool.0) {
                pool = (pool.0 + previous.0, pool.1 + previous.1, pool.2 + previous.2);
            }
            pools.push(pool);
        }
        let mut probabilities = [PRIOR_STALE_PROBABILITY; BUCKETS];
        let pooled = pools.iter().flat_map(|pool| std::iter::repeat_n(pool.1 / pool.0, pool.2));
        probabilities.iter_mut().zip(pooled).for_each(|(slot, probability)| *slot = probability);
        probabilities
    }

    fn new_connection_stale_probability(&self, now: Time) -> f64 {
        let (used, stale) = self.new_connections.decayed(now);
        (stale + PRIOR_STALE_PROBABILITY * PRIOR_WEIGHT_USES) / (used + PRIOR_WEIGHT_USES)
    }
}

/// Outcomes of connections to one backend. Its size is fixed.
#[derive(Clone, Debug, Default)]
pub struct ReuseHistory {
    by_idle_time: [DecayingCount; BUCKETS],
    idle_timeout: IdleTimeoutEstimate,
}

impl ReuseHistory {
    /// Records a request that was sent on a connection after `idle` seconds without use, or on a new
    /// connection if `idle` is `None`. The connection was stale if it lost the request or broke before the
    /// last byte was sent; the second case loses nothing, but shows that connections are closed at this age.
    pub fn record_use(&mut self, shared: &mut SharedHistory, now: Time, idle: Option<Time>, was_stale: bool) {
        let Some(idle) = idle else {
            return shared.new_connections.record(now, was_stale);
        };
        shared.by_idle_time[bucket_index(idle)].record(now, was_stale);
        self.by_idle_time[bucket_index(idle)].record(now, was_stale);
    }

    /// Records that the backend closed a connection after `idle` seconds without use.
    pub fn record_close(&mut self, now: Time, idle: Time) {
        self.idle_timeout.record_close(now, idle);
    }

    /// Returns the probability that a connection loses a request after `idle` seconds without use.
    pub fn stale_probability(&self, shared: &SharedHistory, now: Time, idle: Time) -> f64 {
        let shared_probability = shared.stale_probabilities(now)[bucket_index(idle)];
        let (used, stale) = self.by_idle_time[bucket_index(idle)].decayed(now);
        let blended = (stale + shared_probability * SHARED_WEIGHT_USES) / (used + SHARED_WEIGHT_USES);
        let is_near_timeout =
            self.idle_timeout.estimate(now).is_some_and(|timeout| idle >= NEAR_TIMEOUT_FRACTION * timeout);
        if is_near_timeout { blended.max(NEAR_TIMEOUT_STALE_PROBABILITY) } else { blended }
    }

    /// Returns whether reusing the connection is expected to cost less than a new one at `price`.
    pub fn is_worth_reusing(
        &self,
        shared: &SharedHistory,
        now: Time,
        idle: Time,
        loss_cost: LossCost,
        price: HandshakePrice,
    ) -> bool {
        let extra_risk =
            self.stale_probability(shared, now, idle) - shared.new_connection_stale_probability(now);
        extra_risk * loss_cost.fraction() <= price.fraction()
    }
}
