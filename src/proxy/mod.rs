//! The HTTP front on the platform's protocol: clients, backends and discovery on sockets.

pub mod backend;
pub mod clients;
pub mod config;
pub mod discovery;
pub mod headers;
pub mod limits;
pub mod listing;
pub mod payload;
pub mod peer;
pub mod request;
pub mod routes;
pub mod server;
mod stopping;
