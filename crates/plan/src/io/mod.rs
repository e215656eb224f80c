//! Plans over TCP: a planner that tells, and a forwarder that follows several planners at once.
//!
//! Both ends show certificates of one authority, each for its part; plain connections are for loopback.

mod follow;
pub mod frame;
mod planner;
mod security;

pub use follow::{Following, Mail, Seen, follow};
pub use planner::{Lease, Planner};
pub use security::{Files, Part, Security, SecurityError, Stream};
