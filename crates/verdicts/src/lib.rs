//! Verdicts that hold for the whole fleet: each proxy says what it saw of nodes lately, hears what others saw, and
//! comes to what holds by the same rule.
//!
//! Nobody is asked and nothing is agreed: [`Verdicts`] is a function of evidence that is here. Its parts:
//! [`Observer`] counts what this proxy sees; [`pool`](Verdicts) keeps what others say; the judgement is a
//! sequential test over both in which no single proxy weighs more than a part. All without I/O or clock.
//!
//! What holds, whatever the network does:
//!
//! - no verdict rests on anything that was seen longer ago than [`Settings::max_evidence_age`], on this process's clock:
//!   half of it is the window in which attempts are counted, half the age at which what others say is dropped;
//! - one proxy, whatever it says, condemns nothing: it weighs at most 1 / [`Settings::quorum`] of what a verdict
//!   needs, and nobody passes on what another saw. In a fleet too large for all to hear all, a proxy says as well
//!   which verdicts it holds, which counts as much as the most that it could have seen, and how long ago what they
//!   rest on was said, so that proxies can't keep one alive by telling each other;
//! - at most [`Settings::max_ejected`] of the nodes are out, the worst, and never the last one of a cell;
//! - an operator's word on a node goes before all that, everywhere where it is known, and ends nowhere later than where
//!   it was said ([`OperatorOverrides`]);
//! - evidence is of one start of a node: what began anew begins with none.
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

/// One start of a node, the same at all proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeId(pub u64);

impl NodeId {
    /// A node by its name and where it listens: one that is elsewhere is another process.
    pub fn new(name: &str, address: &str) -> Self {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        hasher.update(name.as_bytes());
        hasher.update(&[0]);
        hasher.update(address.as_bytes());
        Self(hasher.digest())
    }
}

/// What verdicts are given by.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Nothing that was seen longer ago counts. From 2 s.
    pub max_evidence_age: Duration,
    /// Chance of condemning a sound node, each time that what is known of it is new.
    pub false_rate: f64,
    /// So many proxies at least have to have seen it. From 2.
    pub quorum: usize,
    /// Part of the nodes that may be out at once.
    pub max_ejected: f64,
    /// An attempt that takes so many times what is usual is slow, and twice as many without an answer silent.
    pub slow_factor: f64,
    /// One without an answer for so long is silent in any case.
    pub silent_after: Duration,
    /// Proxies in the fleet, this one included.
    pub fleet_size: usize,
    /// Attempts that the whole fleet makes at a node that is out, in a quarter of the bound on staleness.
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
    /// In which attempts are counted, and at which age what others say is dropped: together the bound.
    pub fn window(&self) -> Duration {
        self.max_evidence_age / 2
    }

    /// Logarithm of the odds that a verdict needs (Wald 1945, with as many missed as false ones). As it may come of any
    /// of the [`WINDOW_PARTS`] spans up to now, each may be wrong as seldom as all together.
    pub fn required_log_odds(&self) -> f64 {
        let each = self.false_rate / WINDOW_PARTS as f64;
        ((1.0 - each) / each).ln()
    }

    /// What one proxy adds to that at most.
    pub fn max_log_odds_per_proxy(&self) -> f64 {
        self.required_log_odds() / self.quorum.max(2) as f64
    }
}
