//! Distribution of plans: planners tell forwarders which nodes of the fleet they may use.
//!
//! A planner watches the membership of the fleet and sends every forwarder the same plan, or the [`Slice`] of
//! it that the forwarder uses. The forwarder's decision module takes the nodes of the plan as its backend
//! list and picks a node for each request. [`Follower`] and [`Standby`] are the forwarder's side,
//! [`Announcer`] and [`Publisher`] the planner's; all four are state machines without I/O or a clock.
//! [`wire`] encodes and decodes the messages, and [`io`] carries them over TCP.
//!
//! Invariants, for any behaviour of the network:
//!
//! - A follower never returns to an older plan: versions only rise.
//! - A drain announced by any planner holds until a plan acknowledges that announcement. Two planners that
//!   disagree can drain a node, but cannot end its drain.
//! - A lease counts from the moment the follower sent its heartbeat, so a delayed reply does not lengthen it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod announcer;
mod drains;
mod follower;
pub mod io;
mod loads;
mod publisher;
mod relay;
mod slice;
mod standby;
pub mod wire;

pub use announcer::Announcer;
pub use drains::{DrainBound, DrainBoundError, lease_check_interval};
pub use follower::{Follower, LeaseState, MessageEffect, MessageRejection};
pub use loads::Loads;
pub use publisher::{Publisher, SentPlan};
pub use relay::{
    MAX_MESSAGES_PER_RELAY, MAX_RELAYED_MESSAGE_BYTES, PlannerRotation, RelayCounts, RelayMailboxes,
    RelayedMessage,
};
pub use slice::{CellIndex, Slice};
pub use standby::{Standby, StandbySettings};

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The version of a plan, ordered by term and within a term by generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// Rises with each change of leader among the planners.
    pub term: u64,
    /// Rises with each plan of a term.
    pub generation: u64,
}

/// The version of one planner's announcements. Of two announcements the later has the higher version. A
/// restarted planner begins a higher epoch, so no version is used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AnnouncementVersion {
    /// Identifies one run of the planner process.
    pub epoch: u64,
    /// Number of the announcement within the epoch.
    pub sequence: u64,
}

/// A node of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// Name of the node.
    pub id: String,
    /// Address on which the node accepts requests.
    pub address: SocketAddr,
    /// Zone of the node.
    pub zone: String,
    /// Cell of the node.
    pub cell: u32,
    /// Capacity relative to the other nodes; above 0.
    pub weight: f64,
    /// The node completes its open requests and gets no new ones.
    pub draining: bool,
    /// Milliseconds since the node started. None for a node that has run too long to be cold.
    pub age_ms: Option<u64>,
}

/// A complete plan.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Version of this plan.
    pub version: Version,
    /// Nodes, sorted by id.
    pub nodes: Vec<Node>,
    /// For each planner, the latest announcement that this plan takes into account.
    pub acknowledged: Vec<(u32, AnnouncementVersion)>,
}

/// The difference between two plans.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delta {
    /// Version of the plan that the delta applies to.
    pub from: Version,
    /// Version of the plan that results.
    pub to: Version,
    /// Nodes that are new or changed.
    pub set: Vec<Node>,
    /// Ids of nodes that were removed.
    pub gone: Vec<String>,
    /// For each planner, the latest announcement that the resulting plan takes into account.
    pub acknowledged: Vec<(u32, AnnouncementVersion)>,
}

/// What a forwarder counted for one node since its last digest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeCounts {
    /// Name of the node.
    pub id: String,
    /// Attempts that are open now.
    pub in_flight: u32,
    /// Attempts that were started.
    pub sent: u32,
    /// Attempts that were served.
    pub served: u32,
    /// Attempts that failed. Cancelled attempts and attempts that never left the forwarder are not counted.
    pub failed: u32,
    /// Total duration of the served attempts, in milliseconds.
    pub served_ms: u64,
}

/// A forwarder's report of its attempts during one interval.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Digest {
    /// Length of the interval in milliseconds; at least 1.
    pub interval_ms: u32,
    /// Counts of the nodes that were sent the most attempts.
    pub nodes: Vec<NodeCounts>,
    /// Attempts served by all other nodes together.
    pub other_served: u32,
}

/// Messages from planners to followers.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannerMessage {
    /// A complete plan.
    Full(Plan),
    /// A change to the previous plan.
    Delta(Delta),
    /// Announces that a node drains or is gone, before any plan says so.
    Drain {
        /// Number of the planner that announces the drain.
        planner: u32,
        /// Version of the announcement.
        announcement_version: AnnouncementVersion,
        /// Name of the node.
        id: String,
    },
    /// Answers a [`ForwarderMessage::Heartbeat`]. Everything that the planner knew when the heartbeat arrived
    /// was sent on the same connection before this reply.
    HeartbeatReply {
        /// Number of the heartbeat.
        number: u64,
        /// Version of the planner's current plan.
        version: Version,
        /// Length of the lease, in milliseconds from the moment the heartbeat was sent.
        lease_ms: u64,
        /// The longest lease that this planner grants, in milliseconds. The difference to `lease_ms` is the
        /// possible age of the planner's knowledge.
        max_lease_ms: u64,
    },
    /// For each of these cold nodes, the rate that this follower would send to the node if it were warm, in
    /// requests per second.
    Budgets(Vec<(String, f64)>),
    /// Messages that other forwarders sent to this one.
    Relayed(Vec<Vec<u8>>),
}

/// Messages from followers to planners.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwarderMessage {
    /// The first message on a connection.
    Hello {
        /// Name of the forwarder.
        name: String,
        /// Version of the forwarder's plan, if it has one.
        plan_version: Option<Version>,
        /// Size of the [`Slice`] that the forwarder uses; none for the whole plan.
        slice_size: Option<u32>,
    },
    /// Asks the planner to renew the lease.
    Heartbeat {
        /// Rises with each heartbeat.
        number: u64,
    },
    /// Asks for the complete plan, because a delta did not apply.
    Resend,
    /// Reports the attempts of the last interval.
    Digest(Digest),
    /// Messages for other forwarders. The first one on a connection, which may be empty, also subscribes the
    /// connection to messages for `sender`.
    Relay {
        /// The number by which other forwarders know the sender.
        sender: u64,
        /// The messages to relay.
        messages: Vec<RelayedMessage>,
    },
}

/// Maximum number of nodes in a plan.
pub const MAX_NODES: usize = 20_000;
/// Maximum length of the name of a node, a zone or a forwarder, in bytes.
pub const MAX_NAME_BYTES: usize = 253;
/// Maximum number of nodes named in a digest, and of cold nodes with a budget at one time.
pub const MAX_DIGEST_NODES: usize = 64;
/// Maximum number of planners.
pub const MAX_PLANNERS: usize = 16;
