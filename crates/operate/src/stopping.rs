//! How a proxy that is told to stop divides the time that it has left. No I/O and no clock: times are counted
//! from any moment that stays.

use gannetproxy::Time;
use hdrhistogram::Histogram;
use std::time::Duration;

/// SIGKILL follows SIGTERM after the longest deadline, or this if that is less,
const LONGEST: Duration = Duration::from_secs(3);
/// and so much more.
const MORE: Duration = Duration::from_millis(700);
/// What is taken after SIGTERM is answered so long before SIGKILL.
const SPARE: Duration = Duration::from_millis(200);
/// The process has ended so long before it.
const END_SPARE: Duration = Duration::from_millis(100);
/// Parts of the time from SIGTERM to SIGKILL in which clients are served as ever, on connections that they have
/// and on new ones: at least the first, and up to the second as long as what comes can be answered in what is
/// then left. Guards against a time with no proxy at all: in a rolling restart the front may not have taken in
/// the one before yet. It could do harm where the time to SIGKILL is much shorter than the operators state, as
/// what is taken late is then lost.
const LINGER: [f64; 2] = [0.5, 0.8];
/// So many of a hundred requests must be answered in it.
const ANSWERED: f64 = 95.0;
/// Answers that tell how long answers take; with fewer there is no telling.
const TELLING: u64 = 20;
/// Answers are remembered for as long as this, and up to twice as long.
const KEPT: Duration = Duration::from_secs(20);
/// The longest answer that is told from longer ones, in milliseconds.
const MOST: u64 = 60_000;

/// How long answers have taken of late: two histograms of fixed size, to two digits.
struct Recent {
    now: Histogram<u32>,
    before: Histogram<u32>,
    since: Duration,
}

/// What a stop allows.
pub struct StopTiming {
    notice: Duration,
    recent: Option<Recent>,
}

impl StopTiming {
    /// Of a proxy whose classes have deadlines up to that, in seconds.
    pub fn new(longest: Time) -> Self {
        let longest = Duration::try_from_secs_f64(longest).map_or(LONGEST, |longest| longest.min(LONGEST));
        // The bounds are constants, and good ones: without them it would serve for the least time.
        let histogram = || Histogram::new_with_bounds(1, MOST, 2).ok();
        let recent = histogram().zip(histogram());
        let recent = recent.map(|(now, before)| Recent { now, before, since: Duration::ZERO });
        Self { notice: longest + MORE, recent }
    }

    /// A request was served at `now`, and that took so long.
    pub fn record_served(&mut self, now: Duration, took: Duration) {
        let Some(Recent { now: latest, before, since }) = &mut self.recent else { return };
        if now.saturating_sub(*since) >= KEPT {
            std::mem::swap(latest, before);
            latest.reset();
            *since = now;
        }
        latest.saturating_record(u64::try_from(took.as_millis()).unwrap_or(MOST).clamp(1, MOST));
    }

    /// How long nearly all answers have taken of late, if that can be told.
    fn usual(&self) -> Option<Duration> {
        let Recent { now, before, .. } = self.recent.as_ref()?;
        let mut both = now.clone();
        both.add(before).ok()?;
        (both.len() >= TELLING).then(|| Duration::from_millis(both.value_at_percentile(ANSWERED)))
    }

    /// For how long after SIGTERM clients are served as ever.
    pub fn serving_duration(&self) -> Duration {
        let [least, most] = LINGER.map(|part| self.notice.mul_f64(part));
        let usual = self.usual().map(|usual| self.request_time_left(usual));
        usual.map_or(least, |until| until.clamp(least, most))
    }

    /// How long the process may still take to end so long after SIGTERM.
    pub fn time_until_exit(&self, since: Duration) -> Duration {
        (self.notice - END_SPARE).saturating_sub(since)
    }

    /// How long a request may take that comes so long after SIGTERM.
    pub fn request_time_left(&self, since: Duration) -> Duration {
        (self.notice - SPARE).saturating_sub(since)
    }
}
