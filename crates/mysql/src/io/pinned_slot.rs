//! The connection that a session is pinned to.

use super::conn::ServerConnection;
use super::upstream::Endpoint;
use crate::pinning::{ConnectionRelease, Role};
use gannetproxy::BackendId;
use std::cell::RefCell;
use std::rc::Rc;

/// A connection that only one session may use, and the server that it leads to.
pub(super) struct PinnedConnection {
    pub(super) role: Role,
    pub(super) backend: BackendId,
    pub(super) endpoint: Rc<Endpoint>,
    /// The generation of the endpoint when the connection was last used.
    pub(super) generation: u64,
    pub(super) connection: ServerConnection,
}

/// Holds the connection that a session is pinned to.
#[derive(Default)]
pub struct PinnedSlot(RefCell<Option<PinnedConnection>>);

impl PinnedSlot {
    /// The role and the id of the server that the connection leads to.
    pub fn backend(&self) -> Option<(Role, BackendId)> {
        self.0.borrow().as_ref().map(|pinned| (pinned.role, pinned.backend))
    }

    /// Closes the connection; the server rolls back an open transaction.
    pub fn clear(&self) {
        self.0.take();
    }

    /// Gives up the connection as the session's state demands.
    pub fn release(&self, release: ConnectionRelease) {
        match release {
            ConnectionRelease::Keep => {}
            ConnectionRelease::Reuse => self.0.take().into_iter().for_each(|pinned| {
                pinned.endpoint.keep_idle(pinned.connection, pinned.generation);
            }),
            ConnectionRelease::Close => self.clear(),
        }
    }

    pub(super) fn store(&self, pinned: PinnedConnection) {
        self.0.replace(Some(pinned));
    }

    pub(super) fn take(&self) -> Option<ServerConnection> {
        self.0.take().map(|pinned| pinned.connection)
    }
}
