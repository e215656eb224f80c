//! What tests on the platform's protocol share.
#![allow(dead_code)]

pub mod sockets;
