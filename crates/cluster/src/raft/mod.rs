//! Raft by openraft: type configuration, storage and network.

mod network;
mod store;

pub use network::Network;
pub use store::{AgreedStateMachine, LogStore};

use crate::fleet::{Command, CommandRejection};
use serde::{Deserialize, Serialize};
use std::io::Cursor;

openraft::declare_raft_types!(
    /// The types of the Raft instances.
    pub Types:
        D = Command,
        R = Applied,
        NodeId = u64,
        Node = openraft::EmptyNode,
        Entry = openraft::Entry<Types>,
        SnapshotData = Cursor<Vec<u8>>,
        AsyncRuntime = openraft::TokioRuntime,
);

/// The result of a command: whether the plan has changed, or why the command was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied(pub Result<bool, CommandRejection>);

/// A member of a group.
pub type Raft = openraft::Raft<Types>;

/// The Raft configuration of all groups. Times are in milliseconds.
pub fn config() -> openraft::Config {
    openraft::Config {
        cluster_name: "dewpier-planners".into(),
        heartbeat_interval: 100,
        election_timeout_min: 400,
        election_timeout_max: 800,
        install_snapshot_timeout: 2000,
        // A view of a large fleet has several megabytes.
        max_payload_entries: 16,
        snapshot_policy: openraft::SnapshotPolicy::LogsSinceLast(200),
        max_in_snapshot_log_to_keep: 50,
        snapshot_max_chunk_size: 1 << 20,
        ..openraft::Config::default()
    }
}
