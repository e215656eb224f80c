//! What the program `dewpier` starts: the platform's proxy, and where no platform tells a proxy what to do,
//! proxies, forwarders and planners from configuration files of their own.
//!
//! It is the only crate that knows all others. What is wired to what is in [`platform`], [`run`] and
//! [`planner`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod beside;
mod carried;
pub mod config;
pub mod error;
mod feed;
mod fleet;
mod kept;
pub mod lists;
pub mod members;
mod mysql;
pub mod planner;
pub mod platform;
pub mod run;
pub mod status;
mod tls;
