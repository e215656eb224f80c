//! Hands a listening socket over from a running proxy process to its successor under load, so that no connection in
//! the socket's accept queue is lost.
//!
//! [`sender`] and [`message`] hold the protocol without I/O; [`io`] passes the descriptor over a Unix socket.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod io;
pub mod message;
pub mod sender;
pub mod shared_ids;
