//! Intervals and timeouts of the calls to the discovery service. No I/O and no clock.
//!
//! A change must be applied within [`STALENESS_BOUND`] after the service has it and is reachable, also if
//! earlier calls failed, unless the service is overloaded. [`CallTiming::max_staleness`] is the sum of all
//! intervals in the worst case; docs/design/races.md tells how many calls may fail in a row.
//!
//! Retries must not keep the service overloaded: a service that works on calls after their callers have given up
//! answers nobody as long as more calls arrive than it can complete. So the interval between retries of one proxy
//! grows to most of the bound, and beyond it for a large fleet whose service shows that it is overloaded.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Largest age of a change when it is applied, counted from the time at which the service had it and was
/// reachable.
pub const STALENESS_BOUND: Duration = Duration::from_secs(6);

/// Longest time from the start of the first failed call to the start of the next one, and longest pause after a
/// call that took longer. The interval grows with each further failure.
const INITIAL_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Factor by which the retry interval grows. Each interval is drawn from the range between two steps, so that the
/// calls of many proxies that failed at the same moment are soon spread over the longest interval.
const RETRY_GROWTH: u32 = 4;
/// Fraction by which an interval that grows no further is shortened at random.
const RETRY_JITTER_FRACTION: f64 = 0.3;
/// Largest number of steps by which an interval grows.
const MAX_GROWTH_STEPS: u32 = 8;
/// Longest retry interval per proxy of the fleet.
const RETRY_INTERVAL_PER_PROXY: Duration = Duration::from_millis(120);
/// Longest retry interval of any fleet. Leaves enough of [`STALENESS_BOUND`] for the response.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(4600);
/// Longest retry interval per proxy of the fleet, while the service is overloaded.
const OVERLOAD_INTERVAL_PER_PROXY: Duration = Duration::from_millis(500);
/// Longest retry interval of any fleet, while the service is overloaded.
const MAX_OVERLOAD_INTERVAL: Duration = Duration::from_secs(20);
/// Fraction by which the wait for changes is shortened at random, to spread the calls of many proxies.
const WAIT_JITTER_FRACTION: f64 = 0.2;

/// The intervals and timeouts of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTiming {
    /// How long a watch asks the service to wait for changes.
    pub wait: Duration,
    /// How much later the response to a watch may arrive. A service that isn't overloaded responds within
    /// this time.
    pub response_timeout: Duration,
    /// Time without response after which the first call after a failed watch is followed by another one.
    pub catch_up_interval: Duration,
    /// The same for any other call without a wait.
    pub unanswered_interval: Duration,
    /// Timeout of a call without a wait. Within it an overloaded service would have rejected the call.
    pub overload_timeout: Duration,
    /// Longest time from the start of a failed call to the start of the next one.
    pub max_retry_interval: Duration,
    /// The same while the service is overloaded.
    pub max_overload_interval: Duration,
}

impl CallTiming {
    /// For a service that all proxies call.
    pub const SHARED_SERVICE: Self = Self {
        wait: Duration::from_millis(2000),
        response_timeout: Duration::from_millis(600),
        catch_up_interval: Duration::from_millis(1200),
        unanswered_interval: Duration::from_millis(2400),
        overload_timeout: Duration::from_millis(3100),
        max_retry_interval: Duration::from_millis(1200),
        max_overload_interval: MAX_RETRY_INTERVAL,
    };

    /// For an agent on the same host, whose responses are cheap.
    pub const LOCAL_AGENT: Self = Self {
        wait: Duration::from_millis(2000),
        response_timeout: Duration::from_millis(500),
        catch_up_interval: Duration::from_millis(500),
        unanswered_interval: Duration::from_millis(1000),
        overload_timeout: Duration::from_millis(2000),
        max_retry_interval: Duration::from_millis(1000),
        max_overload_interval: Duration::from_millis(1000),
    };

    /// Limits the wait for changes to `max_wait`.
    pub fn with_max_wait(self, max_wait: Duration) -> Self {
        Self { wait: self.wait.min(max_wait), ..self }
    }

    /// Lets the proxies of a large fleet retry more rarely, because together they would overload the service.
    pub fn with_fleet_size(self, proxies: usize) -> Self {
        let proxies = u32::try_from(proxies).unwrap_or(u32::MAX);
        let interval = RETRY_INTERVAL_PER_PROXY.saturating_mul(proxies).min(MAX_RETRY_INTERVAL);
        let overload_interval =
            OVERLOAD_INTERVAL_PER_PROXY.saturating_mul(proxies).min(MAX_OVERLOAD_INTERVAL);
        Self {
            max_retry_interval: self.max_retry_interval.max(interval),
            max_overload_interval: self.max_overload_interval.max(overload_interval),
            ..self
        }
    }

    /// Returns the largest age of a change when it arrives, while the service isn't overloaded: either a
    /// watch and the call after it get no response and the next one does, or a call that started just before
    /// the service became reachable gets none. Overload adds the time that the service needs for
    /// one call of each proxy; see tests/discovery_herd.rs.
    pub fn max_staleness(&self) -> Duration {
        let after_watch = self.wait
            + self.response_timeout
            + INITIAL_RETRY_INTERVAL
            + self.catch_up_interval
            + self.response_timeout;
        let retry_interval = self.max_overload_interval.min(MAX_RETRY_INTERVAL);
        let after_failures = self.unanswered_interval.max(retry_interval) + self.response_timeout;
        after_watch.max(after_failures)
    }
}

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection, or no response within the timeout.
    NoResponse,
    /// Rejected at once: the queue of the service is full, or it is down.
    RejectedAtOnce,
    /// Rejected after the call had waited in the queue for too long: the service is overloaded or down.
    RejectedAfterWait,
    /// The response broke off or is invalid. The service works on calls.
    InvalidResponse,
}

/// Determines the timing of each call from the results of the previous ones.
#[derive(Clone, Debug)]
pub struct Schedule {
    timing: CallTiming,
    rng: SmallRng,
    failures: u32,
    /// How often the retry interval has grown.
    growth_steps: u32,
    last_failure: Option<CallFailure>,
    /// How many of the failed calls were rejected at once.
    rejected_at_once: u32,
    /// How many of the failed calls were rejected after a wait.
    rejected_after_wait: u32,
}

impl Schedule {
    /// Creates the schedule of one proxy. `seed` spreads the calls of many proxies.
    pub fn new(timing: CallTiming, seed: u64) -> Self {
        Self {
            timing,
            rng: SmallRng::seed_from_u64(seed),
            failures: 0,
            growth_steps: 0,
            last_failure: None,
            rejected_at_once: 0,
            rejected_after_wait: 0,
        }
    }

    /// Returns the intervals and timeouts that this schedule follows.
    pub fn timing(&self) -> &CallTiming {
        &self.timing
    }

    /// Returns the number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a call that returned a valid list.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.growth_steps = 0;
        self.last_failure = None;
        self.rejected_at_once = 0;
        self.rejected_after_wait = 0;
    }

    /// Records a call that failed, was rejected or timed out.
    pub fn record_failure(&mut self, failure: CallFailure) {
        let responds_again = failure == CallFailure::InvalidResponse
            && self.last_failure != Some(CallFailure::InvalidResponse);
        self.growth_steps = match responds_again || self.last_failure.is_none() {
            true => 0,
            false => (self.growth_steps + 1).min(MAX_GROWTH_STEPS),
        };
        self.failures = self.failures.saturating_add(1);
        self.last_failure = Some(failure);
        match failure {
            CallFailure::RejectedAtOnce => self.rejected_at_once = self.rejected_at_once.saturating_add(1),
            CallFailure::RejectedAfterWait => {
                self.rejected_after_wait = self.rejected_after_wait.saturating_add(1)
            }
            CallFailure::NoResponse | CallFailure::InvalidResponse => {}
        }
    }

    /// Returns how long the next watch asks the service to wait for changes.
    pub fn draw_wait(&mut self) -> Duration {
        self.timing.wait.mul_f64(1.0 - WAIT_JITTER_FRACTION * self.rng.random::<f64>())
    }

    /// Returns the time without response after which a call without a wait is followed by another one.
    /// `pending_calls` is the number of calls without response, including this one.
    pub fn unanswered_interval(&self, pending_calls: usize) -> Duration {
        match (self.failures, pending_calls) {
            (1, 1) => self.timing.catch_up_interval,
            _ => {
                let (_, longest) = self.retry_interval_range();
                self.timing.unanswered_interval.max(self.timing.max_retry_interval).max(longest)
            }
        }
    }

    /// Returns the delay between the end of a call that failed after `duration` and the start of the next one.
    pub fn draw_retry_delay(&mut self, duration: Duration) -> Duration {
        let (shortest, longest) = self.retry_interval_range();
        let interval = shortest + (longest - shortest).mul_f64(self.rng.random());
        let pause = INITIAL_RETRY_INTERVAL.mul_f64(1.0 - RETRY_JITTER_FRACTION * self.rng.random::<f64>());
        interval.saturating_sub(duration).max(pause.min(interval))
    }

    /// Returns the shortest and the longest time between the starts of a failed call and the next one.
    fn retry_interval_range(&self) -> (Duration, Duration) {
        let longest = self.timing.max_retry_interval;
        let steady = |interval: Duration| (interval.mul_f64(1.0 - RETRY_JITTER_FRACTION), interval);
        // A service that is down rejects calls in one way. Only an overloaded one does it in both, repeatedly.
        let overload = self.rejected_at_once.min(self.rejected_after_wait);
        if overload > 1 {
            let doubled = longest.saturating_mul(1 << (overload - 1).min(MAX_GROWTH_STEPS));
            return steady(doubled.min(self.timing.max_overload_interval));
        }
        let step = INITIAL_RETRY_INTERVAL.saturating_mul(RETRY_GROWTH.saturating_pow(self.growth_steps));
        match step.div_f64(f64::from(RETRY_GROWTH)) {
            shortest if shortest >= longest => steady(longest),
            shortest => (shortest, step.min(longest)),
        }
    }
}
