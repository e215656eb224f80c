//! MySQL over TCP: the front that clients log in to, and the connections to servers.

mod front;
mod upstream;
mod wire;

pub use front::{Front, FrontSettings};
pub use upstream::{Endpoint, MySql, Payload, Piece, Rest, Role, Served, Slot};
