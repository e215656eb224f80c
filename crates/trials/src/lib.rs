//! Fault injection over several processes of the program: a schedule of faults is generated from a seed and run,
//! events are recorded outside the processes, and invariants are checked on the record.
//!
//! - [`schedule`]: generates schedules of faults, and reads and writes them as JSON;
//! - [`harness`]: runs processes of the program and mock nodes, with all traffic between them through a network that
//!   can inject faults;
//! - [`record`]: events with times on one clock, seen at mock nodes, by clients and by operator calls;
//! - [`checks`]: invariants and time bounds, checked on a record;
//! - [`shrink`]: finds a small schedule that still violates an invariant;
//! - [`campaign`]: runs schedules one after the other;
//! - [`process`]: starts one process of the program and reads its log;
//! - [`stall_watch`]: measures stalls of the host, which void a run.
//!
//! For tests, examples and benchmarks; never a dependency of the program.
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
