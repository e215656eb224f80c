//! News of the list of backends, as values from whichever source there is.

use crate::BackendEntry;
use std::net::SocketAddr;

/// News of the list, as the engine hands it to the module.
#[derive(Clone, Debug)]
pub enum News {
    /// Entries that changed.
    Changes(Vec<Listed>),
    /// All entries.
    Full(Vec<Listed>),
    /// All entries, as last had before the start.
    Remembered(Vec<Listed>),
    /// A call failed.
    Refused,
}

/// A backend of a list, and where it listens.
#[derive(Clone, Debug)]
pub struct Listed {
    /// The module's part.
    pub entry: BackendEntry,
    /// Its address.
    pub address: SocketAddr,
}

/// What the module asks of the source of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Tell of changes as they come, or no longer.
    Watch(bool),
    /// Tell the whole list once.
    Fetch,
}
