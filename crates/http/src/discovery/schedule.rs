//! Schedules the calls to the discovery service. No I/O and no clock.
//!
//! A change must be applied within [`STALENESS_BOUND`] after the service has it and is reachable, also if
//! earlier calls failed. [`CallTiming::max_staleness`] is the sum of all intervals in the worst
//! case.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Largest age of a change when it is applied, counted from the time at which the service had it and was
/// reachable.
pub const STALENESS_BOUND: Duration = Duration::from_secs(6);

/// Delay before the call that follows a failed one. It doubles with each further failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest delay between failed calls.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1000);
/// Fraction by which a retry delay varies in both directions, to spread the calls of many proxies.
const RETRY_DELAY_JITTER_FRACTION: f64 = 0.5;
/// Fraction by which the wait for changes is shortened at random, to spread the calls of many proxies.
const WAIT_JITTER_FRACTION: f64 = 0.2;
/// The intervals of calls.
///
/// Only a watch that worked before gets a short timeout. All other calls wait until an overloaded service
/// would have rejected them, because a call that is abandoned and repeated early adds to the overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTiming {
    /// How long a watch asks the service to wait for changes.
    pub wait: Duration,
    /// How much later the response to a watch may arrive. A service that isn't overloaded responds within
    /// this time.
    pub response_timeout: Duration,
    /// Timeout of the first call after a failed watch.
    pub catch_up_timeout: Duration,
    /// Timeout of any other call without a wait.
    pub overload_timeout: Duration,
}

impl CallTiming {
    /// For a service that all proxies call.
    pub const SHARED_SERVICE: Self = Self {
        wait: Duration::from_millis(2000),
        response_timeout: Duration::from_millis(600),
        catch_up_timeout: Duration::from_millis(1200),
        overload_timeout: Duration::from_millis(3100),
    };

    /// For an agent on the same host, whose responses are cheap.
    pub const LOCAL_AGENT: Self = Self {
        wait: Duration::from_millis(2000),
        response_timeout: Duration::from_millis(500),
        catch_up_timeout: Duration::from_millis(500),
        overload_timeout: Duration::from_millis(2000),
    };

    /// Limits the wait for changes to `max_wait`.
    pub fn with_max_wait(self, max_wait: Duration) -> Self {
        Self { wait: self.wait.min(max_wait), ..self }
    }

    /// Returns the largest age of a change when it arrives, while the service isn't overloaded: either a
    /// watch and the call after it get no response and the next one does, or a call that started just before
    /// the service became reachable has to time out first. Overload adds the time that the service needs for
    /// one call of each proxy; see tests/discovery_herd.rs.
    pub fn max_staleness(&self) -> Duration {
        let after_watch = self.wait
            + self.response_timeout
            + max_retry_delay(1)
            + self.catch_up_timeout
            + max_retry_delay(2)
            + self.response_timeout;
        let after_failures = self.overload_timeout + max_retry_delay(u32::MAX) + self.response_timeout;
        after_watch.max(after_failures)
    }
}

/// Returns the delay after a number of consecutive failures, without jitter.
fn base_retry_delay(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(8);
    (INITIAL_RETRY_DELAY * 2u32.pow(doublings)).min(MAX_RETRY_DELAY)
}

/// Returns the longest possible delay after a number of consecutive failures.
fn max_retry_delay(failures: u32) -> Duration {
    base_retry_delay(failures).mul_f64(1.0 + RETRY_DELAY_JITTER_FRACTION)
}

/// The timing of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// The delay before the call.
    pub delay: Duration,
    /// How long the service is asked to wait for changes.
    pub wait: Duration,
    /// The timeout, counted from the start of the call.
    pub timeout: Duration,
}

/// Determines the timing of each call from the results of the previous ones.
#[derive(Debug)]
pub struct Schedule {
    timing: CallTiming,
    rng: SmallRng,
    failures: u32,
}

impl Schedule {
    /// Creates the schedule of one proxy. `seed` spreads the calls of many proxies.
    pub fn new(timing: CallTiming, seed: u64) -> Self {
        Self { timing, rng: SmallRng::seed_from_u64(seed), failures: 0 }
    }

    /// Returns the number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a call that returned a valid list.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records a call that failed, was rejected or timed out.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns the next call of a watch. After a failure it asks for missed changes without waiting.
    pub fn next_watch(&mut self) -> Call {
        if self.failures > 0 {
            return self.next_fetch();
        }
        let wait = self.timing.wait.mul_f64(1.0 - WAIT_JITTER_FRACTION * self.rng.random::<f64>());
        Call { delay: Duration::ZERO, wait, timeout: wait + self.timing.response_timeout }
    }

    /// Returns the next call that is answered without waiting.
    pub fn next_fetch(&mut self) -> Call {
        let jitter = 1.0 + RETRY_DELAY_JITTER_FRACTION * (2.0 * self.rng.random::<f64>() - 1.0);
        let delay =
            if self.failures > 0 { base_retry_delay(self.failures).mul_f64(jitter) } else { Duration::ZERO };
        let timeout = match self.failures {
            1 => self.timing.catch_up_timeout,
            _ => self.timing.overload_timeout,
        };
        Call { delay, wait: Duration::ZERO, timeout }
    }
}
