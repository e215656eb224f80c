//! The MySQL wire protocol on the engine: a protocol core without I/O, a front for clients and an upstream for servers.
//!
//! Each statement of a client is a request of the engine, whose decision module chooses the server and whether to retry.
//! [`packet`], [`fields`] and [`error`] encode and parse packets; [`handshake`], [`auth`], [`capability`] and [`login`]
//! handle the logins of clients, and those of the proxy at servers; [`statement`] and [`repeat`] classify statements;
//! [`prepared`] holds prepared statements; [`connection_state`] tells what a connection holds of them and of its session; [`pinning`] tells why a session must stay on its connection, and [`session`]
//! which connection each command may use and what a lost one means; [`reply`] finds the end of a response. [`io`] does the network I/O.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod auth;
pub mod capability;
pub mod connection_state;
pub mod error;
pub mod fields;
pub mod handshake;
pub mod io;
pub mod login;
pub mod packet;
pub mod pinning;
pub mod prepared;
pub mod repeat;
pub mod reply;
pub mod session;
pub mod statement;
