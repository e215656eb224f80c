//! The proxy from a configuration file of its own and an inventory: what other installations start,
//! where no platform tells a proxy what to do.

pub mod config;
pub mod members;
mod resolve;
pub mod run;
