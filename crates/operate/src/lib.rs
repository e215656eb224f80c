//! Operating a proxy: operator calls and their answers, request metrics, and the lifecycle of the process
//! through drains, handovers and stops.
//!
//! [`calls`], [`metrics`], [`lifecycle`] and [`stopping`] do no I/O and read no clock; [`io`] is the TCP server
//! in front of [`calls`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod calls;
pub mod io;
pub mod lifecycle;
pub mod metrics;
pub mod stopping;
