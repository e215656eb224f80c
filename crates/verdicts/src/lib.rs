//! Judges which nodes are bad from the evidence of all proxies of a fleet.
//!
//! Each proxy counts the outcomes of its own attempts, sends the counts to other proxies, and judges every node from
//! the counts that it has. There is no consensus protocol: all proxies apply the same function to nearly the same
//! evidence. [`Observer`] counts this proxy's attempts, [`Verdicts`] collects the reports of other proxies, and
//! [`judge_node`] runs a sequential test over both in which the weight of each proxy is limited. None of them has I/O
//! or a clock.
//!
//! Invariants, whatever the network does:
//!
//! - No verdict is based on anything observed more than [`Settings::max_evidence_age`] ago on this process's clock.
//!   Half of that is the window in which attempts are counted, the other half the age at which reports expire.
//! - No single proxy can bring about a verdict: it contributes at most 1 / [`Settings::quorum`] of the log odds that a
//!   verdict requires, and proxies don't forward each other's reports. In a fleet too large for a full mesh a proxy
//!   also reports which verdicts it holds. Such a claim counts as much as the largest amount of evidence, and carries
//!   the age of the evidence behind it, so that proxies can't keep a verdict alive by repeating it to each other.
//! - At most the fraction [`Settings::max_ejected`] of the nodes is ejected, the worst ones, and never the last node of
//!   a cell.
//! - An operator's override on a node takes precedence wherever it is known, and ends nowhere later than on the proxy
//!   where it was set ([`OperatorOverrides`]).
//! - Evidence belongs to one start of a node: a restarted node has none.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod evidence;
mod judge;
mod overrides;
mod pool;
mod snapshot;
mod trial;
mod wire;

pub use evidence::{AttemptCounts, AttemptEnd, Observer, WINDOW_PARTS, WindowPart};
pub use judge::{Claim, Judgement, Kind, ProxyEvidence, judge_node};
pub use overrides::{
    MAX_OVERRIDE_DURATION, MAX_OVERRIDES, OperatorOverride, OperatorOverrides, OverrideError, OverrideKind,
};
pub use pool::{EVIDENCE_TOPIC, ListedNode, ProcessId, VerdictSummary, Verdicts};
pub use snapshot::{BootTime, LiveState, MAX_SNAPSHOT_BYTES, Restored, Snapshot, SnapshotError};
pub use wire::{ENTRY_BYTES, EvidenceEntry};

use std::time::Duration;

/// Identifies a node at an address; the same on all proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeId(pub u64);

impl NodeId {
    /// Hashes the name and the address of a node: a node at another address is another process.
    pub fn new(name: &str, address: &str) -> Self {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        hasher.update(name.as_bytes());
        hasher.update(&[0]);
        hasher.update(address.as_bytes());
        Self(hasher.digest())
    }
}

/// The parameters of verdicts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The age at which observations no longer count; at least 2 s.
    pub max_evidence_age: Duration,
    /// The probability of judging a healthy node bad, for each judgement on new evidence.
    pub false_rate: f64,
    /// The number of proxies that must have evidence against a node; at least 2.
    pub quorum: usize,
    /// The largest fraction of the nodes that may be ejected at once.
    pub max_ejected: f64,
    /// An answer is slow if it takes this many times the typical latency, and an attempt is silent after twice that.
    pub slow_factor: f64,
    /// An attempt without an answer for this long is silent, whatever the typical latency is.
    pub silent_after: Duration,
    /// The number of proxies in the fleet, including this one.
    pub fleet_size: usize,
    /// The number of attempts that the whole fleet makes at an ejected node in a quarter of the maximum evidence age.
    pub trials_per_turn: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_evidence_age: Duration::from_secs(30),
            false_rate: 1e-4,
            quorum: 3,
            max_ejected: 0.3,
            slow_factor: 4.0,
            silent_after: Duration::from_secs(1),
            fleet_size: 1,
            trials_per_turn: 3.0,
        }
    }
}

impl Settings {
    /// The window in which attempts are counted, and also the age at which the reports of other proxies expire:
    /// together they make up the maximum evidence age.
    pub fn window(&self) -> Duration {
        self.max_evidence_age / 2
    }

    /// The log odds that a new verdict requires: Wald's sequential test (1945) with equal rates of false and of missed
    /// verdicts. The error rate is divided among the [`WINDOW_PARTS`] intervals that a judgement tests.
    pub fn required_log_odds(&self) -> f64 {
        let rate_per_interval = self.false_rate / WINDOW_PARTS as f64;
        ((1.0 - rate_per_interval) / rate_per_interval).ln()
    }

    /// The most log odds that one proxy can contribute, for or against.
    pub fn max_log_odds_per_proxy(&self) -> f64 {
        self.required_log_odds() / self.quorum.max(2) as f64
    }
}
