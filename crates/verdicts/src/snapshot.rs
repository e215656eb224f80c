//! What a process knew, as bytes for the one that comes after it at the same place: attempts that it saw, words that it
//! heard, verdicts, operators' words, and what is usual for each class.
//!
//! What holds:
//!
//! - *Age.* Each thing is kept with its greatest age, and counts on from there by the clock of the machine, which goes
//!   on while no process runs and while the machine sleeps ([`BootTime`]). So nothing seems younger to the new process than
//!   it was: the bound on staleness and the ends of rulings hold across a start. A snapshot of before a start of the
//!   machine is refused, as no clock tells its age.
//! - *Whole.* It is sealed with the fleet's key for one proxy, and refused whole where a byte of it, its version, or its
//!   time is not as it must be.
//! - *Bounds.* At most [`MAX_SNAPSHOT_BYTES`] bytes: what does not fit is left out, the words of others first, as they are
//!   told anew.
//! - *Nothing by itself.* A verdict that was held is weighed anew on what is left of its evidence.

use crate::wire::ENTRY_BYTES;
use crate::{AttemptCounts, OperatorOverrides, Verdicts};
use dewpier_peers::{Key, ProxyId, TAG_BYTES};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// Bytes of a snapshot at most.
pub const MAX_SNAPSHOT_BYTES: usize = 1 << 20;
const MAGIC: [u8; 8] = *b"dewpknow";
const VERSION: u16 = 1;
/// Magic, version, boot, time.
const HEAD: usize = 8 + 2 + 16 + 8;
/// One that is older holds nothing that could count: the longest ruling has ended.
const OLDEST: Duration = crate::MAX_OVERRIDE_DURATION;

/// A moment on the clock of a machine, which begins at its start and goes on while it sleeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BootTime {
    /// Which start of which machine.
    pub boot_id: u128,
    /// How long after it.
    pub since_boot: Duration,
}

/// Why a snapshot counts for nothing.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SnapshotError {
    /// Too long, or too short to be one.
    #[error("{0} bytes: expected {least} to {MAX_SNAPSHOT_BYTES}", least = HEAD + TAG_BYTES)]
    Size(usize),
    /// It begins with something else.
    #[error("byte 0: expected a snapshot of verdicts, which begins with 'dewpknow'")]
    Other,
    /// Of a version that can't be read here.
    #[error("byte 8: version {0}, expected {VERSION}")]
    Version(u16),
    /// Bytes were changed, or it is of another proxy or another key.
    #[error("its seal does not fit: expected one of this proxy with this fleet's key")]
    Seal,
    /// The machine was started since, or it is another one.
    #[error("byte 10: kept before this start of the machine, so that its age is not known")]
    Boot,
    /// Of the future, or too old.
    #[error("byte 26: kept {kept_ms} ms after the start of the machine, at {now_ms} ms now: expected 0 s to {most} s ago", most = OLDEST.as_secs())]
    Time {
        /// When it was kept,
        kept_ms: u64,
        /// and when it was read.
        now_ms: u64,
    },
    /// The seal fits, and what is in it does not.
    #[error("byte {at}: {0}", at = HEAD)]
    Body(String),
}

/// Attempts at a node, none longer ago than that.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct KeptSeen {
    pub node: u64,
    pub age_ms: u64,
    #[serde(rename = "tally")]
    pub counts: AttemptCounts,
}

/// What is usual for a class.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct KeptUsual {
    pub class: u64,
    pub samples: u64,
    pub log: f64,
}

/// An operator's word, with the time that is left.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct KeptRuling {
    pub node: u64,
    #[serde(rename = "says")]
    pub kind: u8,
    pub holds_ms: u64,
    pub kept_ms: u64,
    pub version: u32,
    pub origin: u32,
}

/// A word of another proxy.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct KeptWord {
    pub name: u64,
    #[serde(rename = "life")]
    pub incarnation: u32,
    pub age_ms: u64,
    pub rests_ms: Option<u64>,
    pub entry: [u8; ENTRY_BYTES],
}

/// A verdict that stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct KeptStanding {
    pub node: u64,
    pub kind: u8,
    #[serde(rename = "plain")]
    pub severe: bool,
    pub since_ms: u64,
    pub rests_ms: u64,
    pub mine: bool,
    pub met: Vec<u64>,
}

/// What a process knew at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    usual: Vec<KeptUsual>,
    rulings: Vec<KeptRuling>,
    seen: Vec<KeptSeen>,
    standing: Vec<KeptStanding>,
    words: Vec<KeptWord>,
}

/// What a process knows that a snapshot is of, or goes to.
pub struct LiveState<'a> {
    /// Evidence and verdicts.
    pub verdicts: &'a mut Verdicts,
    /// Operators' words.
    pub overrides: &'a mut OperatorOverrides,
    /// The names of its classes, in their order.
    pub classes: &'a [String],
}

/// How much was taken up: what is too old, not of the fleet or not listed is not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Restored {
    /// Tallies of attempts, by node and slot.
    pub attempt_counts: usize,
    /// Words of other proxies.
    pub reports: usize,
    /// Verdicts, to be weighed anew.
    pub verdicts: usize,
    /// Operators' words.
    pub overrides: usize,
}

/// Milliseconds, rounded up: an age must not come out smaller.
pub(crate) fn millis_up(age: Duration) -> u64 {
    u64::try_from(age.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}

fn keys(classes: &[String]) -> Vec<u64> {
    classes.iter().map(|name| xxhash_rust::xxh3::xxh3_64(name.as_bytes())).collect()
}

impl Snapshot {
    /// What is known now.
    pub fn capture(known: &LiveState, now: Duration) -> Self {
        let LiveState { verdicts, overrides: rulings, classes } = known;
        Self {
            usual: verdicts.observer.usual(&keys(classes)),
            rulings: rulings.kept(now),
            seen: verdicts.observer.kept(now),
            standing: verdicts.kept_standing(now),
            words: verdicts.kept_words(now),
        }
    }

    /// Goes on from it, `since` after it was kept. Nodes have to be listed by then, words count of proxies that `others`
    /// knows; what has come to be known since the start goes before what was kept.
    pub fn restore(
        &self,
        known: &mut LiveState,
        others: impl Fn(ProxyId) -> bool,
        since: Duration,
        now: Duration,
    ) -> Restored {
        let LiveState { verdicts, overrides: rulings, classes } = known;
        verdicts.observer.take_up_usual(&self.usual, &keys(classes));
        Restored {
            attempt_counts: verdicts.observer.restore(&self.seen, since, now),
            reports: verdicts.take_up_words(&self.words, others, since, now),
            verdicts: verdicts.take_up_standing(&self.standing, since, now),
            overrides: rulings.restore(&self.rulings, since, now),
        }
    }

    /// The bytes that are kept, sealed for that proxy. `when` has to be read before [`Snapshot::capture`], so that no age
    /// comes out smaller.
    pub fn encode(mut self, key: &Key, me: ProxyId, when: BootTime) -> Result<Vec<u8>, SnapshotError> {
        let fits = |bytes: &Vec<u8>| bytes.len() <= MAX_SNAPSHOT_BYTES;
        let mut bytes = self.bytes(key, me, when)?;
        if !fits(&bytes) {
            // Others tell it anew in a round or two.
            self.words.clear();
            bytes = self.bytes(key, me, when)?;
        }
        if !fits(&bytes) {
            (self.seen, self.standing) = (Vec::new(), Vec::new());
            bytes = self.bytes(key, me, when)?;
        }
        Some(bytes).filter(fits).ok_or(SnapshotError::Size(MAX_SNAPSHOT_BYTES + 1))
    }

    fn bytes(&self, key: &Key, me: ProxyId, when: BootTime) -> Result<Vec<u8>, SnapshotError> {
        let mut bytes = MAGIC.to_vec();
        bytes.extend(VERSION.to_be_bytes());
        bytes.extend(when.boot_id.to_be_bytes());
        // Rounded down, and up where it is read: its age is not smaller than it is.
        bytes.extend(u64::try_from(when.since_boot.as_millis()).unwrap_or(u64::MAX).to_be_bytes());
        let said = |error: postcard::Error| SnapshotError::Body(error.to_string());
        bytes.extend(postcard::to_stdvec(self).map_err(said)?);
        let seal = key.compute_tag(me, &bytes);
        bytes.extend(seal);
        Ok(bytes)
    }

    /// Reads what was kept, whole or not at all, and how long ago that was at `now`.
    pub fn decode(
        bytes: &[u8],
        key: &Key,
        me: ProxyId,
        now: BootTime,
    ) -> Result<(Self, Duration), SnapshotError> {
        let size = SnapshotError::Size(bytes.len());
        if bytes.len() > MAX_SNAPSHOT_BYTES {
            return Err(size);
        }
        let Some((said, seal)) = bytes.split_last_chunk::<TAG_BYTES>() else { return Err(size) };
        let Some((head, body)) = said.split_first_chunk::<HEAD>() else { return Err(size) };
        let number = |from: usize, to: usize| {
            head[from..to].iter().fold(0u128, |number, byte| number << 8 | u128::from(*byte))
        };
        if head[..8] != MAGIC {
            return Err(SnapshotError::Other);
        }
        let version = number(8, 10) as u16;
        if version != VERSION {
            return Err(SnapshotError::Version(version));
        }
        if !key.is_valid_tag(me, said, seal) {
            return Err(SnapshotError::Seal);
        }
        if number(10, 26) != now.boot_id {
            return Err(SnapshotError::Boot);
        }
        let (kept_ms, now_ms) = (number(26, 34) as u64, millis_up(now.since_boot));
        let since = now_ms.checked_sub(kept_ms).map(Duration::from_millis).filter(|since| *since <= OLDEST);
        let Some(since) = since else { return Err(SnapshotError::Time { kept_ms, now_ms }) };
        let unreadable = |error: postcard::Error| SnapshotError::Body(error.to_string());
        let (snapshot, rest) = postcard::take_from_bytes(body).map_err(unreadable)?;
        match rest {
            [] => Ok((snapshot, since)),
            more => Err(SnapshotError::Body(format!("expected its end, found {} bytes more", more.len()))),
        }
    }
}
