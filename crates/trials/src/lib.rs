//! Several processes of the program under faults: what goes wrong is drawn from a seed, played, written down as
//! it was seen outside the processes, and held against what must not break.
//!
//! - [`schedule`]: faults and when, drawn from a seed, readable and writable as JSON;
//! - [`stage`]: processes of the program before stand-in nodes, every way between any two of them led through a
//!   network that the schedule breaks;
//! - [`record`]: what was seen on one clock, at the stand-ins, by clients, and at the operators' calls;
//! - [`checks`]: the rules and the stated bounds, as functions of a record;
//! - [`shrink`]: the least of a schedule that still breaks something;
//! - [`campaign`]: plays of schedules one after the other;
//! - [`watch`]: stalls of the machine itself, which void a play.
//!
//! For tests, examples and measurements; never a dependency of the program.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod campaign;
pub mod checks;
pub mod harness;
mod planners;
pub mod process;
pub mod record;
pub mod schedule;
pub mod shrink;
pub mod stall_watch;
