//! Plans over TCP: a planner that tells, and a forwarder that follows several planners at once.
//!
//! Both ends show certificates of one authority, each for its part; plain connections are for loopback.

mod follow;
pub mod frame;
mod planner;
mod security;

pub use follow::{FollowEvent, FollowSettings, RelayChannel, follow};
pub use planner::{LeaseSource, Planner};
pub use security::{CertificateFiles, Role, Security, SecurityError, Stream};
