//! The processes that the program `dewpier` runs: the proxy that a platform configures, and proxies, forwarders and
//! planners with configuration files of their own.
//!
//! This is the only crate that depends on all others. [`platform`], [`run`] and [`planner`] connect their parts.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod error;
mod fleet;
mod fleet_transport;
mod list_updater;
pub mod lists;
pub mod members;
mod mysql;
pub mod planner;
pub mod platform;
pub mod run;
mod snapshot_file;
pub mod status;
mod takeover;
mod tls;
