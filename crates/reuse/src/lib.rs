//! Which kept connections are worth using again. A connection that has stood idle may have been given
//! up by its other side without a word that arrives: what is written to it then is lost, and if it must
//! not run twice it can't be sent again. A new connection has a price instead. This crate learns, for
//! each backend, how often kept connections turn out spoilt by how long they have stood idle, and after
//! which time the backend closes them, and weighs both against that price. It does no I/O and has no
//! clock: times come in as seconds, from any origin that stays.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod limit;
mod odds;
mod tally;

pub use limit::Limit;
pub use odds::{AGES, Odds, Shared};

/// Seconds.
pub type Time = f64;

/// What is lost with a request that a spoilt connection swallows, in parts of its worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stake {
    /// It can't be sent again: all of it.
    Whole,
    /// It may be sent again: a wait and one more attempt.
    Wait,
}

impl Stake {
    /// As a part of the worth of a request.
    pub fn part(self) -> f64 {
        match self {
            Stake::Whole => 1.0,
            Stake::Wait => 0.25,
        }
    }
}

/// What a new connection costs, as a part of the worth of an average request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Price(f64);

/// A handshake is work for the backend and a wait for the request, even where no price is set.
const LEAST_PRICE: f64 = 0.01;

impl Price {
    /// This much, on top of what any handshake costs; what is no number from 0 on counts as none.
    pub fn new(part: f64) -> Self {
        Self(LEAST_PRICE + if part.is_finite() { part.max(0.0) } else { 0.0 })
    }

    /// As a part of the worth of a request.
    pub fn part(self) -> f64 {
        self.0
    }
}

impl Default for Price {
    fn default() -> Self {
        Self::new(0.0)
    }
}
