//! Pressure: the excess of unanswered calls over the number that is expected.

use super::Balancer;
use crate::interface::Time;

/// Excess of unanswered calls, in standard deviations, that counts as chance while the mean excess is low.
const MAX_EXCESS_TOLERANCE: f64 = 3.5;
/// Excess of unanswered calls, in standard deviations, that counts as chance while the mean excess is high.
const MIN_EXCESS_TOLERANCE: f64 = 0.5;
/// Minimum standard deviation of the number of unanswered calls, as a fraction of the expected number.
/// A larger one tolerates an excess for good: an overloaded later tier then keeps the load that slowed it
/// down.
const MIN_DEVIATION_FRACTION: f64 = 0.2;
/// Decrease of the excess tolerance per standard deviation of mean excess above [`LOW_MEAN_EXCESS`].
const TOLERANCE_DECREASE: f64 = 4.0;
/// Mean excess, in standard deviations, up to which [`MAX_EXCESS_TOLERANCE`] applies.
const LOW_MEAN_EXCESS: f64 = 0.4;
/// Time constant of the mean excess, as a fraction of the time constant of the send rate.
const EXCESS_TIME_CONSTANT_FRACTION: f64 = 0.15;
/// A member this many times slower than the best one is an outlier, whose calls don't indicate an overload.
const OUTLIER_SLOWNESS_RATIO: f64 = 2.5;
/// Calls in flight per backend up to which there is no pressure: one slow backend can cause that many.
/// With fewer, chance leads to rejections where few balancers face few backends, and rejected clients that
/// return at once keep the load up. Harmful where backends can't hold as many calls.
const MIN_OVERLOAD_CALLS_PER_BACKEND: f64 = 2.0;
/// Time constant of the answer rate, in mean answer times; short enough to follow a loss of capacity.
/// The send rate remembers the time before an overload and would take its load for the usual one.
const ANSWER_RATE_TIME_CONSTANT_ANSWER_TIMES: f64 = 8.0;

impl Balancer {
    /// Returns how far the unanswered calls exceed the number that the answer rate and answer times explain:
    /// 0 within a tolerance, 1 from twice that. An excess that lasts is not chance and lowers the tolerance.
    pub(super) fn pressure(&mut self) -> f64 {
        self.send_rate.decay(self.now, self.rate_time_constant);
        self.answer_rate.decay(self.now, self.answer_rate_time_constant());
        let expected = self.answer_rate.per_second() * self.answer_times.mean;
        let excess = (self.load_indicating_calls() - expected)
            / expected.max(1.0).sqrt().max(MIN_DEVIATION_FRACTION * expected);
        let decay = (-(self.now - self.excess_updated_at)
            / (EXCESS_TIME_CONSTANT_FRACTION * self.rate_time_constant))
            .exp();
        self.mean_excess = excess + (self.mean_excess - excess) * decay;
        self.excess_updated_at = self.now;
        let tolerance = (MAX_EXCESS_TOLERANCE - TOLERANCE_DECREASE * (self.mean_excess - LOW_MEAN_EXCESS))
            .clamp(MIN_EXCESS_TOLERANCE, MAX_EXCESS_TOLERANCE);
        if self.calls_per_backend() <= MIN_OVERLOAD_CALLS_PER_BACKEND {
            return 0.0;
        }
        (excess / tolerance - 1.0).clamp(0.0, 1.0)
    }

    pub(super) fn answer_rate_time_constant(&self) -> Time {
        ANSWER_RATE_TIME_CONSTANT_ANSWER_TIMES * self.answer_times.mean.max(self.settings.quantum)
    }

    /// Estimated calls in flight per healthy backend, if all balancers have as many as this one.
    fn calls_per_backend(&self) -> f64 {
        let capacity = self.healthy_members().map(|b| self.capacity_fraction(b)).sum::<f64>();
        let sharing =
            (self.settings.instance_count * self.subset.len()) as f64 / self.in_service.len().max(1) as f64;
        self.load_indicating_calls() * sharing.max(1.0) / capacity.max(1.0)
    }

    /// Calls in flight at healthy members, and those that wait after a rejection. Each call counts once, and
    /// lost attempts don't count.
    fn load_indicating_calls(&self) -> f64 {
        let attempts = self
            .healthy_members()
            .map(|b| self.backends[b].in_flight.saturating_sub(self.backends[b].lost_attempts))
            .sum::<usize>()
            + self.rejected_calls;
        attempts.min(self.unanswered_calls()) as f64
    }

    /// Started calls without an answer, except lost ones.
    pub(super) fn unanswered_calls(&self) -> usize {
        self.call_slots.len() - self.queued_calls - self.lost_calls
    }

    /// Subset members that are not far slower than the best warm one. A cold member is not used as the
    /// reference: it gets too few calls to appear slow, and busy members would count as outliers.
    pub(super) fn healthy_members(&self) -> impl Iterator<Item = usize> {
        let slowness = |b: &usize| self.observed_slowness(&self.backends[*b]);
        let warm = self.subset.iter().filter(|b| self.capacity_fraction(**b) >= 1.0);
        let best = warm.map(slowness).fold(f64::INFINITY, f64::min);
        self.subset.iter().copied().filter(move |b| slowness(b) <= OUTLIER_SLOWNESS_RATIO * best)
    }
}
