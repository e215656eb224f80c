//! The MySQL wire protocol as dewpier carries it: a core without I/O.
//!
//! [`packet`] puts frames together and takes them apart, [`repeat`] says which statements may be sent again
//! after they may have run, [`reply`] where an answer ends. To come: docs/ROADMAP.md.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod packet;
pub mod repeat;
pub mod reply;
