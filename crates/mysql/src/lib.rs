//! The MySQL wire protocol as dewpier carries it: a core without I/O, and a thin front and upstream round it.
//!
//! A client's statement is a request: it goes through the engine and its module, which say to which server and
//! whether again, and ends once. [`packet`] and [`fields`] are the bytes, [`handshake`], [`auth`] and [`login`]
//! the logins on both sides; [`statement`] and [`repeat`] say what a statement may be done with, [`prepared`] keeps those that
//! are prepared, [`session`] what
//! holds a client to a connection and what is true when that is lost, [`reply`] where an answer ends. [`io`]
//! touches sockets.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod auth;
pub mod capability;
pub mod error;
pub mod fields;
pub mod handshake;
pub mod io;
pub mod login;
pub mod packet;
pub mod prepared;
pub mod repeat;
pub mod reply;
pub mod session;
pub mod statement;
