//! MySQL over TCP: the front that accepts clients, and the upstream with its connections to servers.

mod answer;
mod conn;
mod exchange_settings;
mod front;
mod pinned_slot;
mod stall;
mod upstream;
mod wire;

pub use crate::connection_state::ConnectionRequirements;
pub use crate::pinning::Role;
pub use answer::{Remainder, ResponseChunk, ServerResponse};
pub use front::{Front, FrontSettings, StopLimits};
pub use pinned_slot::PinnedSlot;
pub use stall::StallTimeouts;
pub use upstream::{Endpoint, MySqlUpstream, Payload};
