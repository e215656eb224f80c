//! The HTTP front end and its backend protocol.
//!
//! Reads client requests and makes attempts at backends, either with the protocol of the platform and its
//! discovery service or with plain HTTP. The engine in between is independent of HTTP.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backend;
pub mod body;
pub mod clients;
pub mod config;
pub mod connection;
pub mod discovery;
mod head_scanner;
pub mod headers;
mod late_connect;
pub mod limits;
pub mod listing;
pub mod payload;
pub mod request;
pub mod response_timing;
pub mod routes;
pub mod server;
pub mod socket;
pub mod upload;
