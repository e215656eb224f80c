//! Backend list updates and the requests for them, independent of where the list comes from.

use crate::BackendEntry;
use std::net::SocketAddr;

/// An update of the backend list.
#[derive(Clone, Debug)]
pub enum BackendListUpdate {
    /// Entries that changed.
    Changes(Vec<ListedBackend>),
    /// The whole list. Backends that it doesn't name are gone.
    Full(Vec<ListedBackend>),
    /// The whole list as persisted before the start of the process.
    Remembered(Vec<ListedBackend>),
    /// A request for the list failed.
    Failed,
}

/// An entry of the backend list with the address of the backend.
#[derive(Clone, Debug)]
pub struct ListedBackend {
    /// The entry as the decision module takes it.
    pub entry: BackendEntry,
    /// The address that the backend listens on.
    pub address: SocketAddr,
}

/// A request of the decision module to the list source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRequest {
    /// Start (true) or stop (false) sending changes.
    Watch(bool),
    /// Send the whole list once.
    Fetch,
}
