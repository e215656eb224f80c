//! What proxies of a fleet carry to each other, in datagrams of at most [`MAX_DATAGRAM_BYTES`] bytes.
//!
//! [`Peers`] says who is there, which partners this proxy talks with, and how old at most is whatever a
//! datagram says. It knows nothing of what it carries: that is bytes under a [`Topic`], taken from and handed
//! to whoever implements [`TopicHandler`]. It has no I/O and no clock; [`io`] carries datagrams over UDP.
//!
//! What holds, whatever the network does:
//!
//! - *Age.* A datagram counts only if it answers a question that this process asked, and the question is not
//!   older than [`Settings::max_echo_age`]. What it says was so after that question was sent, so that its age is at
//!   most the time since, on this process's own monotonic clock. Nobody else's clock counts, and a process that
//!   stood still finds all that waits in its socket as old as it is.
//! - *Once.* A datagram that comes doubled, or out of order behind a window of 64, changes nothing.
//! - *Whole.* A datagram is refused whole where its keyed hash, its version, its sender or any length in it is
//!   not as it must be.
//! - *Bounds.* Names are those of the configuration, with at most two processes for each; datagrams taken in a
//!   second are at most [`Settings::max_datagrams_per_second`], of which the hash is computed, all others are dropped unread.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod core;
pub mod io;
mod partners;
mod seal;
mod wire;

pub use crate::core::{DatagramCounts, DatagramRejection, OutgoingDatagram, Peers, RejectionCount};
pub use partners::partners;
pub use seal::TAG_BYTES;
pub use wire::{Key, MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES};

use std::time::Duration;

/// A point in time, since the process's own start.
pub type MonotonicTime = Duration;

/// A proxy, by the hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProxyId(pub u64);

impl ProxyId {
    /// That of a proxy with this name.
    pub fn from_name(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

/// A process: a proxy of that name from one start to its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Process {
    /// Its proxy's name.
    pub proxy: ProxyId,
    /// Drawn at its start.
    pub incarnation: u32,
}

/// What a part of a datagram is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Topic(pub u8);

/// Whoever has something to say to the others, and hears what they say.
pub trait TopicHandler {
    /// What it is about.
    fn topic(&self) -> Topic;

    /// At most `room` bytes for that partner. Empty: nothing to say.
    fn write_payload(&mut self, to: ProxyId, room: usize, now: MonotonicTime) -> Vec<u8>;

    /// Bytes that a process wrote at most `age` ago. False where they can't be read: nothing of them may have
    /// been taken in then.
    fn receive(&mut self, from: Process, age: Duration, bytes: &[u8], now: MonotonicTime) -> bool;
}

/// What a proxy is told of its fleet at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This process.
    pub own_process: Process,
    /// All proxies by name, this one or not.
    pub fleet: Vec<ProxyId>,
    /// How often each partner is written to.
    pub send_interval: Duration,
    /// What answers an older question than that counts for nothing.
    pub max_echo_age: Duration,
    /// Datagrams that are looked at in a second.
    pub max_datagrams_per_second: u32,
    /// What all proxies of the fleet share, and nobody else.
    pub key: Key,
}
