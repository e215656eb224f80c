//! A count of uses that forgets.

use crate::Time;

/// Uses are half forgotten after so long: a backend's settings change with its releases, a network's
/// temper by the minute.
const HALF_LIFE: Time = 60.0;

/// How often something was used, and how often it was spoilt.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    used: f64,
    spoilt: f64,
    at: Time,
}

impl Tally {
    /// One more use.
    pub fn add(&mut self, now: Time, spoilt: bool) {
        let (before, lost) = self.seen(now);
        self.used = before + 1.0;
        self.spoilt = lost + f64::from(u8::from(spoilt));
        self.at = self.at.max(now);
    }

    /// Uses and spoilt ones that are remembered now.
    pub fn seen(&self, now: Time) -> (f64, f64) {
        let keep = (-(now - self.at).max(0.0) / HALF_LIFE).exp2();
        (self.used * keep, self.spoilt * keep)
    }
}
