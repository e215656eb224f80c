//! Exchanges small payloads between the proxies of a fleet, in datagrams of at most [`MAX_DATAGRAM_BYTES`] bytes.
//!
//! [`Peers`] selects this proxy's partners (the peers that it exchanges datagrams with directly), tracks which of
//! them answer, and bounds the age of every payload that it accepts. Payloads are opaque bytes under a [`Topic`],
//! written and read by a [`TopicHandler`]. [`Peers`] has no I/O and no clock; [`io`] moves its datagrams over UDP or
//! another [`Transport`](io::Transport).
//!
//! Invariants, whatever the network does:
//!
//! - *Age.* A datagram is accepted only if it echoes a timestamp that this process sent at most
//!   [`Settings::max_echo_age`] ago. Its payloads were written after that timestamp was sent, so their age is at most
//!   the time since then on this process's own monotonic clock. No other clock is involved, and datagrams that waited
//!   in the socket while the process was suspended are recognised as old.
//! - *No duplicates.* A datagram that arrives again, or behind a window of 64 sequence numbers, has no effect.
//! - *Integrity.* A datagram is rejected as a whole if its authentication tag, its version, its sender or any length
//!   in it is invalid.
//! - *Bounds.* Only proxies of the configuration are known, with at most two processes each. At most
//!   [`Settings::max_datagrams_per_second`] datagrams are authenticated in a second; all others are dropped unread.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod core;
pub mod io;
mod partners;
mod stored_state_tag;
mod wire;

pub use crate::core::{DatagramCounts, DatagramRejection, OutgoingDatagram, Peers, RejectionCount};
pub use partners::select_partners;
pub use stored_state_tag::STORED_STATE_TAG_BYTES;
pub use wire::{Key, MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES};

use std::time::Duration;

/// A point in time, as the duration since the start of the process.
pub type MonotonicTime = Duration;

/// A proxy, identified by the hash of its configured name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProxyId(pub u64);

impl ProxyId {
    /// Hashes the configured name of a proxy.
    pub fn from_name(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

/// One process of a proxy, from its start to its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Process {
    /// The proxy that the process runs as.
    pub proxy: ProxyId,
    /// A random number drawn when the process starts; 0 is reserved.
    pub incarnation: u32,
}

/// The subject of a payload, which selects its handler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Topic(pub u8);

/// Writes and reads the payloads of one topic.
pub trait TopicHandler {
    /// The topic of all payloads of this handler.
    fn topic(&self) -> Topic;

    /// Writes a payload of at most `capacity` bytes for a partner. An empty payload is not sent.
    fn write_payload(&mut self, to: ProxyId, capacity: usize, now: MonotonicTime) -> Vec<u8>;

    /// Reads a payload that a process wrote at most `age` ago. Returns false, without any effect, if it is malformed.
    fn receive(&mut self, from: Process, age: Duration, bytes: &[u8], now: MonotonicTime) -> bool;
}

/// The fleet as it is configured when a process starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This process.
    pub own_process: Process,
    /// All proxies of the fleet; may include this one.
    pub fleet: Vec<ProxyId>,
    /// How often a datagram is sent to each partner.
    pub send_interval: Duration,
    /// Datagrams that echo an older timestamp are rejected.
    pub max_echo_age: Duration,
    /// The number of received datagrams that are authenticated in a second.
    pub max_datagrams_per_second: u32,
    /// The key shared by all proxies of the fleet and nobody else.
    pub key: Key,
}
