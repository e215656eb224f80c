//! Helpers shared by the tests of the platform's protocol.
#![allow(dead_code)]

pub mod serial_discovery;
pub mod sockets;
