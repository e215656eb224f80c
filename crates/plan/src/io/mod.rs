//! Carries the messages between planners and forwarders over TCP: a planner serves many followers, and a
//! forwarder follows several planners at once.
//!
//! Both sides present certificates of one authority, each for its role; plain connections are for loopback
//! only.

mod follow;
pub mod frame;
mod planner;
mod security;

pub use follow::{FollowEvent, FollowSettings, RelayChannel, follow};
pub use planner::{LeaseSource, Planner};
pub use security::{CertificateFiles, Role, Security, SecurityError, Stream};
