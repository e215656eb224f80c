//! MySQL over TCP: the front that clients log in to, and the connections to servers.

mod answer;
mod conn;
mod front;
mod upstream;
mod ways;
mod wire;

pub use answer::{Piece, Rest, Served};
pub use conn::Wanted;
pub use front::{Front, FrontSettings};
pub use upstream::{Endpoint, MySqlUpstream, Payload, Role, Slot};
