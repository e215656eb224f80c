//! The decisions of a load balancer for services that call services.
//!
//! [`Balancer`] is a state machine without I/O: it is given events with the time at which
//! they happened, and returns actions. All decisions are in `logic.rs`; `interface.rs` holds
//! the types it speaks in, and [`wire`] turns a text protocol into these types and back.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod engine;
mod interface;
mod logic;
pub mod wire;

pub use interface::*;
pub use logic::Balancer;

/// The example of the front page, run as a test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
