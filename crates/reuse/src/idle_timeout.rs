//! Estimates the idle timeout of a backend from the connections that it closed.

use crate::Time;

/// Shortest idle time that counts, in seconds: a backend that closes earlier does so together with its
/// response.
const MIN_IDLE_SECONDS: Time = 0.05;
/// Number of closings that are remembered.
const MAX_CLOSINGS: usize = 8;
/// Fewest closings that an estimate is based on.
const MIN_CLOSINGS: usize = 3;
/// Largest difference between observed idle times, as a fraction of the longest, at which they count as one
/// timeout. Closings are noticed only when connections are checked.
const MAX_SPREAD_FRACTION: f64 = 0.25;
/// Age in seconds beyond which a closing is ignored.
const MAX_AGE_SECONDS: Time = 600.0;

/// The idle times after which a backend closed its last connections.
#[derive(Clone, Debug, Default)]
pub struct IdleTimeoutEstimate {
    closings: [(Time, Time); MAX_CLOSINGS],
    count: usize,
}

impl IdleTimeoutEstimate {
    /// Records that the backend closed a connection after `idle` seconds without use.
    pub fn record_close(&mut self, now: Time, idle: Time) {
        if idle > MIN_IDLE_SECONDS {
            self.closings[self.count % MAX_CLOSINGS] = (now, idle);
            self.count += 1;
        }
    }

    /// Returns the idle timeout of the backend in seconds, if the recent closings agree on one.
    pub fn estimate(&self, now: Time) -> Option<Time> {
        let recent = || {
            self.closings[..self.count.min(MAX_CLOSINGS)].iter().filter(|(at, _)| now - at < MAX_AGE_SECONDS)
        };
        if recent().count() < MIN_CLOSINGS {
            return None;
        }
        let shortest = recent().map(|(_, idle)| *idle).fold(f64::INFINITY, f64::min);
        let longest = recent().map(|(_, idle)| *idle).fold(0.0, f64::max);
        (longest - shortest <= MAX_SPREAD_FRACTION * longest).then_some(shortest)
    }
}
