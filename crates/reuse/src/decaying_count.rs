//! Counts connection uses with exponential decay.

use crate::Time;

/// Time in seconds after which an observation has half of its weight.
const HALF_LIFE_SECONDS: Time = 60.0;

/// How often connections were used and how often they were stale, decaying over time.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingCount {
    used: f64,
    stale: f64,
    updated_at: Time,
}

impl DecayingCount {
    /// Counts one more use at time `now`.
    pub fn record(&mut self, now: Time, was_stale: bool) {
        let (previous_uses, previous_stale) = self.decayed(now);
        self.used = previous_uses + 1.0;
        self.stale = previous_stale + f64::from(u8::from(was_stale));
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the decayed numbers of uses and of stale connections at time `now`.
    pub fn decayed(&self, now: Time) -> (f64, f64) {
        let decay = (-(now - self.updated_at).max(0.0) / HALF_LIFE_SECONDS).exp2();
        (self.used * decay, self.stale * decay)
    }
}
