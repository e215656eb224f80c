//! Stores the state of a process as bytes for its successor on the same host: attempt counts, reports of other proxies,
//! verdicts, operators' overrides, and the typical latency of each class.
//!
//! Invariants:
//!
//! - *Age.* Everything is stored with its largest age, which continues by the host's clock while no process runs and
//!   while the host sleeps ([`BootTime`]). So nothing seems younger to the successor than it is, and the limits on the
//!   age of evidence and on the duration of overrides hold across a restart. A snapshot of an earlier boot is rejected,
//!   as no clock tells its age.
//! - *Integrity.* A snapshot carries an authentication tag made with the fleet's key for one proxy. It is rejected as a
//!   whole if a byte of it was changed, or if its version or its time is invalid.
//! - *Size.* A snapshot has at most [`MAX_SNAPSHOT_BYTES`]. What does not fit is left out, first the reports of other
//!   proxies, as these send them again.
//! - *Evidence.* A restored verdict stays active only if the remaining evidence supports it.

use crate::wire::ENTRY_BYTES;
use crate::{AttemptCounts, OperatorOverrides, Verdicts};
use dewpier_peers::{Key, ProxyId, STORED_STATE_TAG_BYTES};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// The largest length of a snapshot.
pub const MAX_SNAPSHOT_BYTES: usize = 1 << 20;
const MAGIC: [u8; 8] = *b"dewpknow";
const VERSION: u16 = 1;
/// The length of magic number, version, boot id and time.
const HEADER_BYTES: usize = 8 + 2 + 16 + 8;
/// In an older snapshot even the longest override has ended.
const MAX_SNAPSHOT_AGE: Duration = crate::MAX_OVERRIDE_DURATION;

/// A point in time on the host's clock, which starts at boot and continues while the host sleeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BootTime {
    /// A random number that identifies the boot.
    pub boot_id: u128,
    /// The time since boot.
    pub since_boot: Duration,
}

/// Why a snapshot was rejected.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SnapshotError {
    /// The length, given in bytes, is out of range.
    #[error("{0} bytes: expected {min} to {MAX_SNAPSHOT_BYTES}", min = HEADER_BYTES + STORED_STATE_TAG_BYTES)]
    Size(usize),
    /// The magic number is missing.
    #[error("byte 0: expected a snapshot of verdicts, which begins with 'dewpknow'")]
    NotASnapshot,
    /// The version is not supported.
    #[error("byte 8: version {0}, expected {VERSION}")]
    Version(u16),
    /// Bytes were changed, or the snapshot is of another proxy or made with another key.
    #[error("the authentication tag does not match: expected that of this proxy with the key of its fleet")]
    InvalidTag,
    /// The host was booted since, or the snapshot is of another host.
    #[error("byte 10: stored in another boot of the host, so that its age is not known: expected this boot")]
    OtherBoot,
    /// The time of the snapshot is in the future, or the snapshot is too old.
    #[error("byte 26: stored {stored_ms} ms after boot, read {now_ms} ms after boot: expected an age of 0 s to {max} s", max = MAX_SNAPSHOT_AGE.as_secs())]
    Time {
        /// When the snapshot was stored, in milliseconds since boot.
        stored_ms: u64,
        /// When it was read, in milliseconds since boot.
        now_ms: u64,
    },
    /// The authentication tag is valid, but the content can't be decoded.
    #[error("byte {at}: {0}", at = HEADER_BYTES)]
    Body(String),
}

/// Counts of attempts at a node, none of them older than the age.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct StoredCounts {
    pub node: u64,
    pub age_ms: u64,
    #[serde(rename = "tally")]
    pub counts: AttemptCounts,
}

/// The typical latency of a class.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct StoredLatency {
    /// The hash of the name of the class.
    pub class: u64,
    pub samples: u64,
    #[serde(rename = "log")]
    pub mean_log_seconds: f64,
}

/// An operator's override.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct StoredOverride {
    pub node: u64,
    #[serde(rename = "says")]
    pub kind: u8,
    /// The time until the override ends.
    #[serde(rename = "holds_ms")]
    pub remaining_ms: u64,
    /// The time until the override is forgotten.
    #[serde(rename = "kept_ms")]
    pub remembered_ms: u64,
    pub version: u32,
    pub origin: u32,
}

/// A report of another proxy on a node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct StoredReport {
    #[serde(rename = "name")]
    pub proxy: u64,
    #[serde(rename = "life")]
    pub incarnation: u32,
    pub age_ms: u64,
    /// The age of the evidence behind the verdict that the report claims.
    #[serde(rename = "rests_ms")]
    pub claim_evidence_age_ms: Option<u64>,
    pub entry: [u8; ENTRY_BYTES],
}

/// An active verdict on a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct StoredVerdict {
    pub node: u64,
    pub kind: u8,
    #[serde(rename = "plain")]
    pub severe: bool,
    /// The age of the verdict.
    #[serde(rename = "since_ms")]
    pub age_ms: u64,
    /// The age of the latest evidence for the verdict.
    #[serde(rename = "rests_ms")]
    pub evidence_age_ms: u64,
    #[serde(rename = "mine")]
    pub sent_from_here: bool,
    #[serde(rename = "met")]
    pub senders: Vec<u64>,
}

/// The state of a process at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    #[serde(rename = "usual")]
    latencies: Vec<StoredLatency>,
    #[serde(rename = "rulings")]
    overrides: Vec<StoredOverride>,
    #[serde(rename = "seen")]
    counts: Vec<StoredCounts>,
    #[serde(rename = "standing")]
    verdicts: Vec<StoredVerdict>,
    #[serde(rename = "words")]
    reports: Vec<StoredReport>,
}

/// The live state that a snapshot is captured from or restored into.
pub struct LiveState<'a> {
    /// Evidence and verdicts.
    pub verdicts: &'a mut Verdicts,
    /// Operators' overrides.
    pub overrides: &'a mut OperatorOverrides,
    /// The names of the request classes, in their order.
    pub classes: &'a [String],
}

/// The numbers of restored items. Items that are too old, of proxies outside the fleet, or on unlisted nodes are not
/// restored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Restored {
    /// Attempt counts, by node and slot of the window.
    pub attempt_counts: usize,
    /// Reports of other proxies.
    pub reports: usize,
    /// Verdicts, which the next judgement confirms or ends.
    pub verdicts: usize,
    /// Operators' overrides.
    pub overrides: usize,
}

/// Converts an age to milliseconds, rounded up so that it does not get smaller.
pub(crate) fn millis_rounded_up(age: Duration) -> u64 {
    u64::try_from(age.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}

fn hash_class_names(classes: &[String]) -> Vec<u64> {
    classes.iter().map(|name| xxhash_rust::xxh3::xxh3_64(name.as_bytes())).collect()
}

impl Snapshot {
    /// Captures the current state.
    pub fn capture(state: &LiveState, now: Duration) -> Self {
        let LiveState { verdicts, overrides, classes } = state;
        Self {
            latencies: verdicts.observer.stored_latencies(&hash_class_names(classes)),
            overrides: overrides.stored(now),
            counts: verdicts.observer.stored_counts(now),
            verdicts: verdicts.stored_verdicts(now),
            reports: verdicts.stored_reports(now),
        }
    }

    /// Restores the state that was stored `elapsed` ago. Nodes have to be listed before; reports are restored only of
    /// proxies for which `is_peer` is true. State acquired since the start takes precedence.
    pub fn restore(
        &self,
        state: &mut LiveState,
        is_peer: impl Fn(ProxyId) -> bool,
        elapsed: Duration,
        now: Duration,
    ) -> Restored {
        let LiveState { verdicts, overrides, classes } = state;
        verdicts.observer.restore_latencies(&self.latencies, &hash_class_names(classes));
        Restored {
            attempt_counts: verdicts.observer.restore_counts(&self.counts, elapsed, now),
            reports: verdicts.restore_reports(&self.reports, is_peer, elapsed, now),
            verdicts: verdicts.restore_verdicts(&self.verdicts, elapsed, now),
            overrides: overrides.restore(&self.overrides, elapsed, now),
        }
    }

    /// Encodes the snapshot with an authentication tag of that proxy. `stored_at` has to be read before
    /// [`Snapshot::capture`], so that no age gets smaller. Fails if the snapshot is too long even without reports,
    /// counts and verdicts.
    pub fn encode(
        mut self,
        key: &Key,
        own_id: ProxyId,
        stored_at: BootTime,
    ) -> Result<Vec<u8>, SnapshotError> {
        let fits = |bytes: &Vec<u8>| bytes.len() <= MAX_SNAPSHOT_BYTES;
        let mut bytes = self.to_bytes(key, own_id, stored_at)?;
        if !fits(&bytes) {
            // Other proxies send their reports again.
            self.reports.clear();
            bytes = self.to_bytes(key, own_id, stored_at)?;
        }
        if !fits(&bytes) {
            (self.counts, self.verdicts) = (Vec::new(), Vec::new());
            bytes = self.to_bytes(key, own_id, stored_at)?;
        }
        Some(bytes).filter(fits).ok_or(SnapshotError::Size(MAX_SNAPSHOT_BYTES + 1))
    }

    fn to_bytes(&self, key: &Key, own_id: ProxyId, stored_at: BootTime) -> Result<Vec<u8>, SnapshotError> {
        let mut bytes = MAGIC.to_vec();
        bytes.extend(VERSION.to_be_bytes());
        bytes.extend(stored_at.boot_id.to_be_bytes());
        // Rounded down here and up when read, so that the age does not get smaller.
        bytes.extend(u64::try_from(stored_at.since_boot.as_millis()).unwrap_or(u64::MAX).to_be_bytes());
        let to_body_error = |error: postcard::Error| SnapshotError::Body(error.to_string());
        bytes.extend(postcard::to_stdvec(self).map_err(to_body_error)?);
        let tag = key.compute_tag(own_id, &bytes);
        bytes.extend(tag);
        Ok(bytes)
    }

    /// Authenticates and decodes a snapshot. Returns it with the time since it was stored.
    pub fn decode(
        bytes: &[u8],
        key: &Key,
        own_id: ProxyId,
        now: BootTime,
    ) -> Result<(Self, Duration), SnapshotError> {
        let size_error = SnapshotError::Size(bytes.len());
        if bytes.len() > MAX_SNAPSHOT_BYTES {
            return Err(size_error);
        }
        let Some((content, tag)) = bytes.split_last_chunk::<STORED_STATE_TAG_BYTES>() else {
            return Err(size_error);
        };
        let Some((header, body)) = content.split_first_chunk::<HEADER_BYTES>() else {
            return Err(size_error);
        };
        let number = |from: usize, to: usize| {
            header[from..to].iter().fold(0u128, |number, byte| number << 8 | u128::from(*byte))
        };
        if header[..8] != MAGIC {
            return Err(SnapshotError::NotASnapshot);
        }
        let version = number(8, 10) as u16;
        if version != VERSION {
            return Err(SnapshotError::Version(version));
        }
        if !key.is_valid_tag(own_id, content, tag) {
            return Err(SnapshotError::InvalidTag);
        }
        if number(10, 26) != now.boot_id {
            return Err(SnapshotError::OtherBoot);
        }
        let (stored_ms, now_ms) = (number(26, 34) as u64, millis_rounded_up(now.since_boot));
        let elapsed = now_ms
            .checked_sub(stored_ms)
            .map(Duration::from_millis)
            .filter(|elapsed| *elapsed <= MAX_SNAPSHOT_AGE);
        let Some(elapsed) = elapsed else { return Err(SnapshotError::Time { stored_ms, now_ms }) };
        let to_body_error = |error: postcard::Error| SnapshotError::Body(error.to_string());
        let (snapshot, rest) = postcard::take_from_bytes(body).map_err(to_body_error)?;
        match rest {
            [] => Ok((snapshot, elapsed)),
            rest => Err(SnapshotError::Body(format!(
                "expected the end of the snapshot, found {} more bytes",
                rest.len()
            ))),
        }
    }
}
