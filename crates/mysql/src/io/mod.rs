//! MySQL over TCP: the front that accepts clients, and the upstream with its connections to servers.

mod answer;
mod conn;
mod exchange_settings;
mod front;
mod upstream;
mod wire;

pub use answer::{Remainder, ResponseChunk, ServerResponse};
pub use conn::ConnectionRequirements;
pub use front::{Front, FrontSettings};
pub use upstream::{Endpoint, MySqlUpstream, Payload, PinnedSlot, Role};
