//! The module's clock.

use crate::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The module's clock: seconds since the proxy started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: Time,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        Self { start: Instant::now(), unix }
    }

    /// The time.
    pub fn now(&self) -> Time {
        self.start.elapsed().as_secs_f64()
    }

    /// A Unix time, in seconds. The same for the same input as long as the proxy runs.
    pub fn from_unix(&self, unix: Time) -> Time {
        unix - self.unix
    }

    /// When `time` is, for sleeping until then.
    pub(crate) fn instant_at(&self, time: Time) -> tokio::time::Instant {
        (self.start + Duration::try_from_secs_f64(time).unwrap_or_default()).into()
    }
}
