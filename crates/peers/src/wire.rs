//! A datagram as bytes. All numbers are big-endian.
//!
//! | bytes | what |
//! | --- | --- |
//! | 1 | `0xd7` |
//! | 1 | version, 1 |
//! | 8, 4 | the sender: hash of its name, incarnation |
//! | 4 | its counter |
//! | 4 | its question: milliseconds since its start |
//! | 4, 4 | what it answers: incarnation and question of the receiver; zeros for none |
//! | 1, 1, n | a topic, a length and as many bytes; any number of these |
//! | 16 | BLAKE3 of all before, and of the receiver's name, keyed |
//!
//! A version whose number is higher may add topics, which are passed over where they are not known; what comes
//! before them stays.

use crate::{DatagramRejection, Process, ProxyId, Topic};

/// Bytes of the longest datagram: what fits everywhere, and what the platform allows.
pub const MAX_DATAGRAM_BYTES: usize = 256;
const MAGIC: u8 = 0xd7;
const VERSION: u8 = 1;
const HEAD: usize = 30;
const HASH: usize = 16;
/// Bytes that all topics of one datagram have together, with two for each of them.
pub const MAX_PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - HEAD - HASH;

/// What all proxies of a fleet share.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; 32]);

impl Key {
    /// From what a file holds, whatever its length; it must not be short enough to be guessed.
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

/// What stands before the topics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Head {
    pub from: Process,
    pub count: u32,
    pub question: u32,
    /// Life and question of the receiver.
    pub answers: Option<(u32, u32)>,
}

fn hash(key: &Key, to: ProxyId, bytes: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(&key.0);
    hasher.update(&to.0.to_be_bytes()).update(bytes);
    hasher.finalize()
}

/// The bytes of a datagram. What does not fit is left out whole.
pub(crate) fn write(key: &Key, to: ProxyId, head: Head, parts: &[(Topic, Vec<u8>)]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    bytes.extend([MAGIC, VERSION]);
    bytes.extend(head.from.proxy.0.to_be_bytes());
    let (incarnation, question) = head.answers.unwrap_or_default();
    for number in [head.from.incarnation, head.count, head.question, incarnation, question] {
        bytes.extend(number.to_be_bytes());
    }
    for (topic, part) in parts {
        if let Ok(length) = u8::try_from(part.len())
            && bytes.len() + 2 + part.len() + HASH <= MAX_DATAGRAM_BYTES
        {
            bytes.extend([topic.0, length]);
            bytes.extend(part);
        }
    }
    let hash = hash(key, to, &bytes);
    bytes.extend(&hash.as_bytes()[..HASH]);
    bytes
}

fn number<const N: usize>(bytes: &mut &[u8]) -> Option<[u8; N]> {
    let (number, rest) = bytes.split_first_chunk()?;
    *bytes = rest;
    Some(*number)
}

/// The parts of a datagram, by topic.
pub(crate) type Parts<'a> = Vec<(Topic, &'a [u8])>;

/// Reads a datagram that came to `me`, whole or not at all.
pub(crate) fn read<'a>(
    key: &Key,
    me: ProxyId,
    bytes: &'a [u8],
) -> Result<(Head, Parts<'a>), DatagramRejection> {
    if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len() < HEAD + HASH || bytes[0] != MAGIC {
        return Err(DatagramRejection::Unreadable);
    }
    let (said, told) = bytes.split_at(bytes.len() - HASH);
    // In constant time: how far a forged one was right must not be measurable.
    let mut expected = [0; 32];
    expected.copy_from_slice(hash(key, me, said).as_bytes());
    let mut padded = expected;
    padded[..HASH].copy_from_slice(told);
    if blake3::Hash::from(expected) != blake3::Hash::from(padded) {
        return Err(DatagramRejection::Forged);
    }
    if said[1] < VERSION {
        return Err(DatagramRejection::Version);
    }
    let mut rest = &said[2..];
    let unreadable = DatagramRejection::Unreadable;
    let name = ProxyId(u64::from_be_bytes(number(&mut rest).ok_or(unreadable)?));
    let mut next = || number(&mut rest).map(u32::from_be_bytes).ok_or(unreadable);
    let [incarnation, count, question, answered, at] = [next()?, next()?, next()?, next()?, next()?];
    let mut parts = Vec::new();
    while let Some([topic, length]) = number(&mut rest) {
        let part = rest.split_at_checked(usize::from(length)).ok_or(unreadable)?;
        parts.push((Topic(topic), part.0));
        rest = part.1;
    }
    if !rest.is_empty() {
        return Err(unreadable);
    }
    let answers = (answered != 0).then_some((answered, at));
    Ok((Head { from: Process { proxy: name, incarnation }, count, question, answers }, parts))
}
