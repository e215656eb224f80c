//! Plans: which nodes a forwarder may use, as planners tell it.
//!
//! A planner watches the membership of the fleet and hands every forwarder the same plan, or that part
//! of it which is the forwarder's ([`Slice`]); which node a request goes to stays with the forwarder's own
//! decision module, which takes it as its list. [`Follower`] and [`Standby`] are the forwarder's side, [`Announcer`] and [`Publisher`] the
//! planner's; all are state machines without I/O or clock. [`wire`] turns what they say to each other into bytes and back,
//! and [`io`] carries these over TCP.
//!
//! What holds, whatever the network does:
//!
//! - a follower never goes back to an older plan: versions only rise;
//! - a drain that any planner has told of holds until a plan says that it has heard that very news:
//!   two planners that disagree can drain a node, never un-drain it;
//! - a lease counts from when the follower *asked* for it, so that late packets don't lengthen it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod announcer;
mod drains;
mod follower;
pub mod io;
mod letters;
mod loads;
mod publisher;
mod slice;
mod standby;
pub mod wire;

pub use announcer::Announcer;
pub use drains::{DrainBound, DrainBoundError, lease_check_interval};
pub use follower::{Follower, LeaseState, MessageEffect, MessageRejection};
pub use letters::{
    MAX_MESSAGES_PER_RELAY, MAX_RELAYED_MESSAGE_BYTES, PlannerRotation, RelayCounts, RelayMailboxes,
    RelayedMessage,
};
pub use loads::Loads;
pub use publisher::{Publisher, SentPlan};
pub use slice::{CellIndex, Slice};
pub use standby::{Standby, StandbySettings};

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Which plan is newer: by term, and within a term by generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// Goes up with each planner that takes the lead.
    pub term: u64,
    /// Goes up with each plan of a term.
    pub generation: u64,
}

/// News of one planner: the later of two has the higher mark. A planner that starts anew begins a
/// higher epoch, so that its marks never come twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AnnouncementVersion {
    /// Of this start of the planner.
    pub epoch: u64,
    /// Of this piece of news.
    pub sequence: u64,
}

/// A node of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// Its name.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u32,
    /// Its size beside the others'; above 0.
    pub weight: f64,
    /// It completes what it has, and gets nothing new.
    pub draining: bool,
    /// How long ago it started, in milliseconds, where it may still be cold.
    pub age_ms: Option<u64>,
}

/// A whole plan.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Its version.
    pub version: Version,
    /// Its nodes, by id.
    pub nodes: Vec<Node>,
    /// Up to which mark the news of each planner is in it.
    pub acknowledged: Vec<(u32, AnnouncementVersion)>,
}

/// What a plan changes of the one before.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delta {
    /// The version that it changes.
    pub from: Version,
    /// The version that comes of it.
    pub to: Version,
    /// Nodes that are new or differ.
    pub set: Vec<Node>,
    /// Nodes that are gone.
    pub gone: Vec<String>,
    /// As in a plan.
    pub acknowledged: Vec<(u32, AnnouncementVersion)>,
}

/// What a forwarder saw of a node since its last digest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// The node.
    pub id: String,
    /// Attempts that are out now.
    pub in_flight: u32,
    /// Attempts that were begun.
    pub sent: u32,
    /// Those that were served.
    pub served: u32,
    /// Those that ended otherwise, but for those that were cancelled or never left.
    pub failed: u32,
    /// How long those that were served took together, in milliseconds.
    pub served_ms: u64,
}

/// What a forwarder saw in a while.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Digest {
    /// How long that was, in milliseconds; at least 1.
    pub interval_ms: u32,
    /// By node: those that were sent most.
    pub nodes: Vec<Counts>,
    /// What the others served together.
    pub other_served: u32,
}

/// What planners say to followers.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannerMessage {
    /// A whole plan.
    Full(Plan),
    /// A change.
    Delta(Delta),
    /// A node drains or is gone, ahead of any plan.
    Drain {
        /// The planner's number,
        planner: u32,
        /// the mark of its news,
        announcement_version: AnnouncementVersion,
        /// and the node.
        id: String,
    },
    /// An answer to a [`ForwarderMessage::Heartbeat`]: nothing that this planner was told before it got the question
    /// is untold.
    HeartbeatReply {
        /// The question's number.
        number: u64,
        /// The plan that holds.
        version: Version,
        /// For how long from the question on the follower may go by it.
        lease_ms: u64,
        /// The longest that this planner gives: what it lacks of that is how old its knowledge may be.
        max_lease_ms: u64,
    },
    /// What each of these cold nodes would usually be sent by this follower, in requests a second.
    Budgets(Vec<(String, f64)>),
    /// What other forwarders have written to this one.
    Relayed(Vec<Vec<u8>>),
}

/// What followers say to planners.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwarderMessage {
    /// The first word: who it is, and which plan it has.
    Hello {
        /// Its name.
        name: String,
        /// Its plan, if it has one.
        plan_version: Option<Version>,
        /// How many nodes it wants of a plan: its [`Slice`]. None: the whole.
        slice_size: Option<u32>,
    },
    /// May I go on?
    Heartbeat {
        /// Counts up.
        number: u64,
    },
    /// A change did not fit: the whole plan, please.
    Resend,
    /// What was seen lately.
    Digest(Digest),
    /// To be handed on to other forwarders, from one of that number. The first word of it is what makes letters to it
    /// come, so that one may be without letters.
    Relay {
        /// Who writes.
        sender: u64,
        /// What.
        messages: Vec<RelayedMessage>,
    },
}

/// Nodes that a plan may have.
pub const MAX_NODES: usize = 20_000;
/// The longest name of a node, a zone or a forwarder, in bytes.
pub const MAX_NAME_BYTES: usize = 253;
/// Nodes that a digest names, and cold nodes that are budgeted at a time.
pub const MAX_DIGEST_NODES: usize = 64;
/// Planners that there may be.
pub const MAX_PLANNERS: usize = 16;
