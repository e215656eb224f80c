//! Estimates when an idle backend connection is safe to reuse.
//!
//! A backend may close an idle connection without the proxy noticing in time. A request written to such a
//! stale connection is lost, and a request that must not run twice can't be sent again. Opening a new
//! connection has a price instead. For each backend this crate tracks how often reused connections turn out
//! stale, by idle time, and estimates the idle timeout of the backend; [`ReuseHistory`] weighs that risk
//! against the price of a handshake. The crate does no I/O and reads no clock: callers pass times in seconds
//! from any fixed origin.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod decaying_count;
mod history;
mod idle_timeout;

pub use history::{IDLE_TIME_BOUNDS_SECONDS, ReuseHistory, SharedHistory};
pub use idle_timeout::IdleTimeoutEstimate;

/// A time or duration in seconds.
pub type Time = f64;

/// The cost of losing a request on a stale connection, as a fraction of the worth of the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LossCost {
    /// The request can't be sent again, so that all of its worth is lost.
    NotRetryable,
    /// The request may be sent again: the loss is a delay and one more attempt.
    Retryable,
}

impl LossCost {
    /// Returns the cost as a fraction of the worth of the request.
    pub fn fraction(self) -> f64 {
        match self {
            LossCost::NotRetryable => 1.0,
            LossCost::Retryable => 0.25,
        }
    }
}

/// The price of a new connection, as a fraction of the worth of an average request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HandshakePrice(f64);

/// Smallest price of a handshake: it always costs the backend work and the request a delay.
const MIN_HANDSHAKE_PRICE: f64 = 0.01;

impl HandshakePrice {
    /// Adds `fraction` to the smallest price. A negative or non-finite `fraction` counts as 0.
    pub fn new(fraction: f64) -> Self {
        Self(MIN_HANDSHAKE_PRICE + if fraction.is_finite() { fraction.max(0.0) } else { 0.0 })
    }

    /// Returns the price as a fraction of the worth of an average request.
    pub fn fraction(self) -> f64 {
        self.0
    }
}

impl Default for HandshakePrice {
    fn default() -> Self {
        Self::new(0.0)
    }
}
