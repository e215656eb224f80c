//! After which idle time a backend closes its connections, where it has such a time.

use crate::Time;

/// What is closed sooner than this after an answer was closed because of that answer.
const BEHIND_ANSWER: Time = 0.05;
/// Closings that are remembered.
const KEPT: usize = 8;
/// With fewer there is no telling.
const FEWEST: usize = 3;
/// They come from one timer if they lie within this part of the longest: what sees them looks at
/// connections only now and then.
const SPREAD: f64 = 0.25;
/// They are believed for so long.
const BELIEVED: Time = 600.0;

/// The last idle times at which a backend was seen to close.
#[derive(Clone, Debug, Default)]
pub struct Limit {
    seen: [(Time, Time); KEPT],
    count: usize,
}

impl Limit {
    /// It has closed a connection that had stood idle for so long.
    pub fn closed(&mut self, now: Time, idle: Time) {
        if idle > BEHIND_ANSWER {
            self.seen[self.count % KEPT] = (now, idle);
            self.count += 1;
        }
    }

    /// When it closes, if what was seen agrees on that.
    pub fn known(&self, now: Time) -> Option<Time> {
        let recent = || self.seen[..self.count.min(KEPT)].iter().filter(|(at, _)| now - at < BELIEVED);
        if recent().count() < FEWEST {
            return None;
        }
        let least = recent().map(|(_, idle)| *idle).fold(f64::INFINITY, f64::min);
        let most = recent().map(|(_, idle)| *idle).fold(0.0, f64::max);
        (most - least <= SPREAD * most).then_some(least)
    }
}
