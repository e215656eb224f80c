//! Lifecycle of a proxy process: serving, draining, handed over to a successor, stopping. Decides the answer at
//! `/-/ready`, whether connections are accepted, and which ones are closed. No I/O and no clock: times are durations
//! since any fixed moment.

use crate::stopping::StopTiming;
use gannetproxy::Time;
use std::time::Duration;

/// How long after the start of a drain the load balancer in front of the proxies still assigns new connections to this
/// process. Clients whose connections were closed within this time would return to it.
const LOAD_BALANCER_REACTION_TIME: Duration = Duration::from_millis(500);
/// After [`LOAD_BALANCER_REACTION_TIME`], a drain closes connections that have been idle for this long.
const DRAIN_IDLE_TIME: Duration = Duration::from_millis(100);
/// How long after the start of a drain every connection without a request in progress is closed.
const CLOSE_ALL_IDLE_AFTER: Duration = Duration::from_secs(2);

/// Fraction of a stopping process's serving time after which its responses announce that the connection closes.
const CLOSE_ANNOUNCED_AFTER_FRACTION: f64 = 0.8;

/// The state of a process: whether it drains, has handed over its address, or stops.
pub struct Lifecycle {
    /// When the current drain began.
    draining: Option<Duration>,
    /// When a successor took over the address.
    handed_over: Option<Duration>,
    /// When the stop began, and how long clients are served after that as before.
    stopping: Option<(Duration, Duration)>,
    stop_timing: StopTiming,
}

impl Lifecycle {
    /// Creates the state of a serving process whose classes have deadlines up to `longest_deadline`, in seconds.
    pub fn new(longest_deadline: Time) -> Self {
        Self {
            draining: None,
            handed_over: None,
            stopping: None,
            stop_timing: StopTiming::new(longest_deadline),
        }
    }

    /// Records at `now` that a request was served in `response_time`.
    pub fn record_served(&mut self, now: Duration, response_time: Duration) {
        self.stop_timing.record_served(now, response_time);
    }

    /// Starts a drain. A drain that is already on continues unchanged.
    pub fn start_drain(&mut self, now: Duration) {
        self.draining.get_or_insert(now);
    }

    /// Ends a drain: the process takes clients again unless it stops.
    pub fn cancel_drain(&mut self) {
        self.draining = None;
    }

    /// A successor accepts the connections to the address from now on.
    pub fn hand_over(&mut self, now: Duration) {
        self.handed_over.get_or_insert(now);
    }

    /// The successor has exited: this process accepts connections again.
    pub fn resume_accepting(&mut self) {
        self.handed_over = None;
    }

    /// Begins a stop and returns how long clients are served as before. A repeated call changes nothing.
    pub fn begin_stop(&mut self, now: Duration) -> Duration {
        self.stopping.get_or_insert_with(|| (now, self.stop_timing.serving_duration())).1
    }

    /// The process stops and its time for serving clients is over.
    pub fn is_closing(&self, now: Duration) -> bool {
        self.stopping.is_some_and(|(since, serving)| now.saturating_sub(since) >= serving)
    }

    /// The process takes clients: it neither drains nor stops, and has not handed over its address.
    pub fn is_taking_clients(&self) -> bool {
        self.draining.is_none() && self.handed_over.is_none() && self.stopping.is_none()
    }

    /// The process accepts connections. A draining one does, because the load balancer still assigns some
    /// to it.
    pub fn is_accepting(&self) -> bool {
        self.handed_over.is_none()
    }

    /// Whether `/-/ready` answers yes once the process has a backend list. The answer is for the address: a process that
    /// has handed the address over answers yes on behalf of its successor, even while it stops.
    pub fn is_ready(&self) -> bool {
        self.draining.is_none() && (self.handed_over.is_some() || self.stopping.is_none())
    }

    /// Responses announce that their connection closes. A stopping process announces it late in its serving time:
    /// clients sent away earlier might find no replacement yet, and clients without the announcement might send a
    /// request just as the connection closes.
    pub fn is_announcing_close(&self, now: Duration) -> bool {
        let is_ending = |(since, serving): (Duration, Duration)| {
            now.saturating_sub(since) >= serving.mul_f64(CLOSE_ANNOUNCED_AFTER_FRACTION)
        };
        self.draining.is_some() || self.handed_over.is_some() || self.stopping.is_some_and(is_ending)
    }

    /// How long a stopping process may still run; none if it does not stop.
    pub fn time_until_exit(&self, now: Duration) -> Option<Duration> {
        self.stopping.map(|(since, _)| self.stop_timing.time_until_exit(now.saturating_sub(since)))
    }

    /// Connections without a request in progress that have been idle for this long are closed now; none if idle
    /// connections stay open.
    pub fn idle_close_threshold(&self, now: Duration) -> Option<Duration> {
        if self.is_closing(now) {
            return Some(Duration::ZERO);
        }
        let draining_for = now.saturating_sub(self.draining?);
        match draining_for {
            draining_for if draining_for >= CLOSE_ALL_IDLE_AFTER => Some(Duration::ZERO),
            draining_for if draining_for >= LOAD_BALANCER_REACTION_TIME => Some(DRAIN_IDLE_TIME),
            _ => None,
        }
    }

    /// How long a request that is received now may take in a stopping process; none if the process does not stop.
    pub fn request_time_left(&self, now: Duration) -> Option<Duration> {
        self.stopping.map(|(since, _)| self.stop_timing.request_time_left(now.saturating_sub(since)))
    }
}
