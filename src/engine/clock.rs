//! The clock of the engine and its decision module.

use crate::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock in seconds since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_start: Time,
}

impl Clock {
    /// Starts a clock at 0 seconds.
    pub fn start() -> Self {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        Self { start: Instant::now(), unix_start }
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> Time {
        self.start.elapsed().as_secs_f64()
    }

    /// Converts a Unix time in seconds. The result for one input stays the same while the process runs.
    pub fn convert_unix_time(&self, unix_time: Time) -> Time {
        unix_time - self.unix_start
    }

    /// Converts a time of this clock to an instant that a task can sleep until.
    pub(crate) fn instant_at(&self, time: Time) -> tokio::time::Instant {
        (self.start + Duration::try_from_secs_f64(time).unwrap_or_default()).into()
    }
}
