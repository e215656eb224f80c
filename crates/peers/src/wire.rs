//! Encodes, authenticates and decodes datagrams. All numbers are big-endian.
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | magic number `0xd7` |
//! | 1 | version, 1 |
//! | 8, 4 | sender: proxy id, incarnation |
//! | 4 | sequence number |
//! | 4 | timestamp: milliseconds since the start of the sender |
//! | 4, 4 | echo: incarnation and last timestamp of the receiver; zeros for none |
//! | 1, 1, n | topic, payload length, payload; repeated |
//! | 16 | authentication tag: keyed BLAKE3 of the receiver's proxy id and of all bytes before the tag |
//!
//! A higher version may add topics, which receivers skip if they don't know them; the header stays as it is.

use crate::{DatagramRejection, Process, ProxyId, Topic};

/// The length of the longest datagram, which fits into any network's packets.
pub const MAX_DATAGRAM_BYTES: usize = 256;
const MAGIC: u8 = 0xd7;
const VERSION: u8 = 1;
const HEADER_BYTES: usize = 30;
const DATAGRAM_TAG_BYTES: usize = 16;
/// The space for all payloads of a datagram, including two bytes of topic and length for each.
pub const MAX_PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - DATAGRAM_TAG_BYTES;

/// The secret key that all proxies of a fleet share.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from a secret of any length, which must be long enough not to be guessed.
    pub fn from_secret(secret: &[u8]) -> Self {
        Self(blake3::derive_key("dewpier-peers datagrams 1", secret))
    }

    pub(crate) fn bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key")
    }
}

/// The part of a datagram before its payloads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Header {
    pub sender: Process,
    pub sequence: u32,
    pub timestamp_ms: u32,
    /// Incarnation and last timestamp of the receiver.
    pub echo: Option<(u32, u32)>,
}

fn keyed_hash(key: &Key, receiver: ProxyId, bytes: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(&key.0);
    hasher.update(&receiver.0.to_be_bytes()).update(bytes);
    hasher.finalize()
}

/// Encodes a datagram. A payload that does not fit is left out as a whole.
pub(crate) fn encode(key: &Key, receiver: ProxyId, header: Header, payloads: &[(Topic, Vec<u8>)]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    bytes.extend([MAGIC, VERSION]);
    bytes.extend(header.sender.proxy.0.to_be_bytes());
    let (echo_incarnation, echo_timestamp_ms) = header.echo.unwrap_or_default();
    for number in
        [header.sender.incarnation, header.sequence, header.timestamp_ms, echo_incarnation, echo_timestamp_ms]
    {
        bytes.extend(number.to_be_bytes());
    }
    for (topic, payload) in payloads {
        if let Ok(length) = u8::try_from(payload.len())
            && bytes.len() + 2 + payload.len() + DATAGRAM_TAG_BYTES <= MAX_DATAGRAM_BYTES
        {
            bytes.extend([topic.0, length]);
            bytes.extend(payload);
        }
    }
    let hash = keyed_hash(key, receiver, &bytes);
    bytes.extend(&hash.as_bytes()[..DATAGRAM_TAG_BYTES]);
    bytes
}

fn take_array<const N: usize>(bytes: &mut &[u8]) -> Option<[u8; N]> {
    let (array, rest) = bytes.split_first_chunk()?;
    *bytes = rest;
    Some(*array)
}

/// The payloads of a datagram with their topics.
pub(crate) type Payloads<'a> = Vec<(Topic, &'a [u8])>;

/// Authenticates and decodes a datagram sent to `receiver`.
pub(crate) fn decode<'a>(
    key: &Key,
    receiver: ProxyId,
    bytes: &'a [u8],
) -> Result<(Header, Payloads<'a>), DatagramRejection> {
    if bytes.len() > MAX_DATAGRAM_BYTES
        || bytes.len() < HEADER_BYTES + DATAGRAM_TAG_BYTES
        || bytes[0] != MAGIC
    {
        return Err(DatagramRejection::Unreadable);
    }
    let (content, tag) = bytes.split_at(bytes.len() - DATAGRAM_TAG_BYTES);
    // Compares hashes in constant time, so that timing reveals nothing about the expected tag.
    let mut expected = [0; 32];
    expected.copy_from_slice(keyed_hash(key, receiver, content).as_bytes());
    let mut padded = expected;
    padded[..DATAGRAM_TAG_BYTES].copy_from_slice(tag);
    if blake3::Hash::from(expected) != blake3::Hash::from(padded) {
        return Err(DatagramRejection::Forged);
    }
    if content[1] < VERSION {
        return Err(DatagramRejection::Version);
    }
    let mut rest = &content[2..];
    let unreadable = DatagramRejection::Unreadable;
    let proxy = ProxyId(u64::from_be_bytes(take_array(&mut rest).ok_or(unreadable)?));
    let mut next_u32 = || take_array(&mut rest).map(u32::from_be_bytes).ok_or(unreadable);
    let [incarnation, sequence, timestamp_ms, echo_incarnation, echo_timestamp_ms] =
        [next_u32()?, next_u32()?, next_u32()?, next_u32()?, next_u32()?];
    let mut payloads = Vec::new();
    while let Some([topic, length]) = take_array(&mut rest) {
        let split = rest.split_at_checked(usize::from(length)).ok_or(unreadable)?;
        payloads.push((Topic(topic), split.0));
        rest = split.1;
    }
    if !rest.is_empty() {
        return Err(unreadable);
    }
    let echo = (echo_incarnation != 0).then_some((echo_incarnation, echo_timestamp_ms));
    Ok((Header { sender: Process { proxy, incarnation }, sequence, timestamp_ms, echo }, payloads))
}
