//! What staff need to run a proxy every day: their calls and the answers to them, figures that add up at every
//! moment, and the life of a process, which drains and stops go through alike.
//!
//! [`calls`], [`metrics`], [`lifecycle`] and [`stopping`] do no I/O and keep no clock; [`io`] is a thin server.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod calls;
pub mod io;
pub mod lifecycle;
pub mod metrics;
pub mod stopping;
