//! The real proxy: the decision module on sockets.

pub mod backend;
pub mod clients;
pub mod config;
pub mod discovery;
pub mod engine;
pub mod limits;
pub mod request;
pub mod server;
