//! Running estimates: token buckets, decaying rates and answer times.

use crate::interface::Time;

/// EWMA weight of a sample in an answer-time estimate with many samples.
pub(super) const ANSWER_TIME_EWMA_WEIGHT: f64 = 0.02;
/// Factor on the EWMA weight of answer times under pressure, so that T1 doesn't follow an overload's waits.
const PRESSURE_WEIGHT_FACTOR: f64 = 0.05;

/// A token bucket, filled at the rate that is given at each refill.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    pub(super) tokens: f64,
    pub(super) filled_at: Time,
}

impl TokenBucket {
    pub(super) fn refill(&mut self, now: Time, rate: f64, capacity: f64) -> f64 {
        self.tokens = (self.tokens + rate * (now - self.filled_at).max(0.0)).min(capacity);
        self.filled_at = now;
        self.tokens
    }
}

/// A rate with exponential decay; until its time constant has passed, it is the plain mean.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingRate {
    pub(super) count: f64,
    pub(super) duration: Time,
    pub(super) updated_at: Time,
}

impl DecayingRate {
    pub(super) fn new(now: Time) -> Self {
        Self { count: 0.0, duration: 0.0, updated_at: now }
    }

    pub(super) fn decay(&mut self, now: Time, time_constant: Time) {
        let retained = (-(now - self.updated_at).max(0.0) / time_constant).exp();
        self.count *= retained;
        self.duration = self.duration * retained + time_constant * (1.0 - retained);
        self.updated_at = now;
    }

    pub(super) fn increment(&mut self, now: Time, time_constant: Time) {
        self.decay(now, time_constant);
        self.count += 1.0;
    }

    pub(super) fn per_second(&self) -> f64 {
        if self.duration > 0.0 { self.count / self.duration } else { 0.0 }
    }
}

/// Mean and mean deviation of answer times.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnswerTimes {
    pub(super) sample_count: f64,
    pub(super) mean: Time,
    pub(super) deviation: Time,
}

impl AnswerTimes {
    pub(super) fn add_sample(&mut self, sample: Time, without_pressure: bool) {
        self.sample_count += 1.0;
        let under_pressure = !without_pressure && self.sample_count > 1.0 / ANSWER_TIME_EWMA_WEIGHT;
        let weight = ANSWER_TIME_EWMA_WEIGHT.max(1.0 / self.sample_count)
            * if under_pressure { PRESSURE_WEIGHT_FACTOR } else { 1.0 };
        self.deviation += weight * ((sample - self.mean).abs() - self.deviation);
        self.mean += weight * (sample - self.mean);
    }
}
