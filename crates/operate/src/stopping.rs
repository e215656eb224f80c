//! Divides the time between SIGTERM and SIGKILL: how long a stopping proxy goes on serving clients, how long its
//! requests may take, and by when the process exits. No I/O and no clock: times are durations since any fixed moment.

use gannetproxy::Time;
use hdrhistogram::Histogram;
use std::time::Duration;

/// Upper limit of the longest deadline that the time to SIGKILL is derived from.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time to SIGKILL beyond the longest deadline.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Time before SIGKILL by which requests received after SIGTERM are answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Time before SIGKILL by which the process has exited.
const EXIT_MARGIN: Duration = Duration::from_millis(100);
/// Minimum fraction of the time to SIGKILL in which clients are served as before the stop: in a rolling restart the
/// load balancer may not use the replacement yet.
const MIN_SERVING_FRACTION: f64 = 0.5;
/// Maximum fraction of the time to SIGKILL in which clients are served as before the stop. Requests that are received
/// late are lost if SIGKILL comes earlier than expected.
const MAX_SERVING_FRACTION: f64 = 0.8;
/// Percentile of recent response times that must fit into the time left after serving ends.
const RESPONSE_TIME_PERCENTILE: f64 = 95.0;
/// Minimum number of recorded responses; with fewer, the minimum serving time applies.
const MIN_RESPONSES: u64 = 20;
/// Period that one histogram covers. Responses are remembered for one to two periods.
const HISTOGRAM_PERIOD: Duration = Duration::from_secs(20);
/// Longest response time that the histograms distinguish, in milliseconds.
const MAX_RECORDED_MILLIS: u64 = 60_000;

/// Recent response times in milliseconds: two histograms of fixed size, to two significant digits.
struct ResponseTimes {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    current_since: Duration,
}

/// Divides the time between SIGTERM and SIGKILL.
pub struct StopTiming {
    time_to_kill: Duration,
    response_times: Option<ResponseTimes>,
}

impl StopTiming {
    /// Creates the timing of a proxy whose classes have deadlines up to `longest_deadline`, in seconds.
    pub fn new(longest_deadline: Time) -> Self {
        let longest_deadline = Duration::try_from_secs_f64(longest_deadline)
            .map_or(MAX_COUNTED_DEADLINE, |longest_deadline| longest_deadline.min(MAX_COUNTED_DEADLINE));
        // The bounds are valid constants. Without histograms the minimum serving time would apply.
        let histogram = || Histogram::new_with_bounds(1, MAX_RECORDED_MILLIS, 2).ok();
        let histograms = histogram().zip(histogram());
        let response_times = histograms.map(|(current, previous)| ResponseTimes {
            current,
            previous,
            current_since: Duration::ZERO,
        });
        Self { time_to_kill: longest_deadline + KILL_MARGIN, response_times }
    }

    /// Records at `now` that a request was served in `response_time`.
    pub fn record_served(&mut self, now: Duration, response_time: Duration) {
        let Some(ResponseTimes { current, previous, current_since }) = &mut self.response_times else {
            return;
        };
        if now.saturating_sub(*current_since) >= HISTOGRAM_PERIOD {
            std::mem::swap(current, previous);
            current.reset();
            *current_since = now;
        }
        current.saturating_record(
            u64::try_from(response_time.as_millis())
                .unwrap_or(MAX_RECORDED_MILLIS)
                .clamp(1, MAX_RECORDED_MILLIS),
        );
    }

    /// The recent response time at [`RESPONSE_TIME_PERCENTILE`]; none with fewer than [`MIN_RESPONSES`] responses.
    fn typical_response_time(&self) -> Option<Duration> {
        let ResponseTimes { current, previous, .. } = self.response_times.as_ref()?;
        let mut both = current.clone();
        both.add(previous).ok()?;
        (both.len() >= MIN_RESPONSES)
            .then(|| Duration::from_millis(both.value_at_percentile(RESPONSE_TIME_PERCENTILE)))
    }

    /// How long after SIGTERM clients are served as before, on existing and on new connections.
    pub fn serving_duration(&self) -> Duration {
        let [min, max] =
            [MIN_SERVING_FRACTION, MAX_SERVING_FRACTION].map(|fraction| self.time_to_kill.mul_f64(fraction));
        let wanted = self.typical_response_time().map(|response_time| self.request_time_left(response_time));
        wanted.map_or(min, |duration| duration.clamp(min, max))
    }

    /// How long the process may still run, `since_stop` after SIGTERM.
    pub fn time_until_exit(&self, since_stop: Duration) -> Duration {
        (self.time_to_kill - EXIT_MARGIN).saturating_sub(since_stop)
    }

    /// How long a request may take that is received `since_stop` after SIGTERM.
    pub fn request_time_left(&self, since_stop: Duration) -> Duration {
        (self.time_to_kill - ANSWER_MARGIN).saturating_sub(since_stop)
    }
}
