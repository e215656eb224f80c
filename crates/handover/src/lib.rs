//! A new version of a proxy beside the old one: the listening socket goes from one process to the other under load,
//! so that no connection that waits in its queue is lost. [`sender`] and [`message`] decide, without I/O; [`io`]
//! passes descriptors over a Unix socket.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod io;
pub mod message;
pub mod sender;
