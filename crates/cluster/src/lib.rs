//! Planners that agree.
//!
//! Each planner watches membership itself. What it sees is agreed by Raft (openraft) and becomes one
//! plan ([`fleet`]); drains go ahead of agreement, from any planner to all others and to all forwarders.
//! A planner vouches for what it tells for no longer than it knows what every other knew ([`vouch`]). All
//! that is agreed is kept in memory: a process that starts anew is another member, and [`join`] says
//! which group it belongs to. [`Cluster`] runs all of this over TCP.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod cluster;
pub mod fleet;
pub mod join;
pub mod lease_grantor;
pub mod link;
pub mod missing_nodes;
pub mod raft;

pub use cluster::{Cluster, Settings};
