//! Agreement among the planners of a fleet.
//!
//! Each planner watches membership itself. The planners agree on their views by Raft (openraft), and the
//! views result in one plan ([`fleet`]). Drains do not wait for agreement: any planner announces them
//! directly to all other planners and to all forwarders. A planner grants leases only for as long as it knows
//! what every other planner knew ([`lease_grantor`]). All agreed state is kept in memory: a restarted process
//! is a new Raft member, and [`join`] decides which group it belongs to. [`Cluster`] runs these parts over
//! TCP.
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
