//! The real proxy: the decision module on sockets.

pub mod backend;
pub mod config;
pub mod discovery;
pub mod engine;
pub mod server;
