//! The life of a process: serving, draining, handed over to another one, stopping. It says what is answered at
//! `/-/ready`, whether connections are taken, and which are closed. No I/O and no clock: times are counted from any
//! moment that stays.

use crate::stopping::StopTiming;
use gannetproxy::Time;
use std::time::Duration;

/// The front goes on dealing out connections for so long after a drain began: what is closed before comes back.
const FRONT_SEES: Duration = Duration::from_millis(500);
/// From then on a connection is closed that has rested for so long between two requests,
const RESTED: Duration = Duration::from_millis(100);
/// and so long after the drain began any that has no request in hand.
const EMPTY_BY: Duration = Duration::from_secs(2);

/// Part of the time for which a process that stops serves clients as before, after which answers say that their
/// connections close.
const CLOSE_SAID_AFTER: f64 = 0.8;

/// Where a process stands. Each way on from here is one of the methods of [`Lifecycle`].
pub struct Lifecycle {
    /// When a drain began, if one is on.
    draining: Option<Duration>,
    /// When another process took over the address, if one has.
    handed_over: Option<Duration>,
    /// When it was told to stop, and for how long it goes on as before.
    stopping: Option<(Duration, Duration)>,
    stops: StopTiming,
}

impl Lifecycle {
    /// Of a proxy whose classes have deadlines up to that, in seconds.
    pub fn new(longest: Time) -> Self {
        Self { draining: None, handed_over: None, stopping: None, stops: StopTiming::new(longest) }
    }

    /// A request was served, and that took so long.
    pub fn record_served(&mut self, now: Duration, took: Duration) {
        self.stops.record_served(now, took);
    }

    /// Empty the proxy. One that drains already goes on with that.
    pub fn start_drain(&mut self, now: Duration) {
        self.draining.get_or_insert(now);
    }

    /// Take clients again. Does nothing for one that stops.
    pub fn cancel_drain(&mut self) {
        self.draining = None;
    }

    /// Another process takes what comes to the address from now on.
    pub fn hand_over(&mut self, now: Duration) {
        self.handed_over.get_or_insert(now);
    }

    /// That one is gone again.
    pub fn resume_accepting(&mut self) {
        self.handed_over = None;
    }

    /// It is told to stop: clients are served for so long as before. Being told again changes nothing.
    pub fn begin_stop(&mut self, now: Duration) -> Duration {
        self.stopping.get_or_insert_with(|| (now, self.stops.serving_duration())).1
    }

    /// The time for serving clients as before is over.
    pub fn is_closing(&self, now: Duration) -> bool {
        self.stopping.is_some_and(|(since, serves)| now.saturating_sub(since) >= serves)
    }

    /// This process takes clients.
    pub fn is_taking_clients(&self) -> bool {
        self.draining.is_none() && self.handed_over.is_none() && self.stopping.is_none()
    }

    /// It takes connections from the system. One that drains does: the front deals them out for a while yet.
    pub fn is_accepting(&self) -> bool {
        self.handed_over.is_none()
    }

    /// What `/-/ready` says, where there is a list. It speaks for the address: a process that has handed it over says
    /// yes for the one that took it, also while it stops.
    pub fn is_ready(&self) -> bool {
        self.draining.is_none() && (self.handed_over.is_some() || self.stopping.is_none())
    }

    /// Clients are told with each answer that their connection closes behind it. One that stops begins with that
    /// towards the end of the time for which it serves: a client that is sent away before may find nobody yet, and
    /// one that is never told could ask in the very moment of the end.
    pub fn is_announcing_close(&self, now: Duration) -> bool {
        let ends = |(since, serves): (Duration, Duration)| {
            now.saturating_sub(since) >= serves.mul_f64(CLOSE_SAID_AFTER)
        };
        self.draining.is_some() || self.handed_over.is_some() || self.stopping.is_some_and(ends)
    }

    /// How long the process may still take to end, where it is to stop.
    pub fn time_until_exit(&self, now: Duration) -> Option<Duration> {
        self.stopping.map(|(since, _)| self.stops.time_until_exit(now.saturating_sub(since)))
    }

    /// A connection with no request in hand that has rested for so long is to be closed now; none where it
    /// need not be.
    pub fn idle_close_threshold(&self, now: Duration) -> Option<Duration> {
        if self.is_closing(now) {
            return Some(Duration::ZERO);
        }
        let drains = now.saturating_sub(self.draining?);
        match drains {
            drains if drains >= EMPTY_BY => Some(Duration::ZERO),
            drains if drains >= FRONT_SEES => Some(RESTED),
            _ => None,
        }
    }

    /// How long a request may take that comes now, where the process is to stop.
    pub fn request_time_left(&self, now: Duration) -> Option<Duration> {
        self.stopping.map(|(since, _)| self.stops.request_time_left(now.saturating_sub(since)))
    }
}
