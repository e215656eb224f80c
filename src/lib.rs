//! The decision module and the engine of a load balancer between services that call each other.
//!
//! [`Balancer`] is a state machine without I/O: it receives events with the time at which they happened, and
//! returns actions. `logic.rs` and the modules in `logic/` make all decisions, and `interface.rs` defines the
//! events, actions and settings.
//! [`engine`] connects a balancer to a clock, timers and backends. [`wire`] converts between these types and the
//! text protocol of the simulator.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod engine;
mod interface;
mod logic;
pub mod wire;

pub use interface::*;
pub use logic::Balancer;

/// Compiles and runs the example in the README as a test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
