//! News of the list of backends, as values from whichever source there is.

use crate::Entry;
use std::net::SocketAddr;

/// News of the list, as the engine hands it to the module.
#[derive(Clone, Debug)]
pub enum BackendListUpdate {
    /// Entries that changed.
    Changes(Vec<ListedBackend>),
    /// All entries.
    Full(Vec<ListedBackend>),
    /// All entries, as last had before the start.
    Remembered(Vec<ListedBackend>),
    /// A call failed.
    Failed,
}

/// A backend of a list, and where it listens.
#[derive(Clone, Debug)]
pub struct ListedBackend {
    /// The module's part.
    pub entry: Entry,
    /// Its address.
    pub address: SocketAddr,
}

/// What the module asks of the source of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRequest {
    /// Tell of changes as they come, or no longer.
    Watch(bool),
    /// Tell the whole list once.
    Fetch,
}
