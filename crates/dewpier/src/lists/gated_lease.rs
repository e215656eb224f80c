//! A lease on the planners' list that takes effect only once the list has been applied.

use gannetproxy::engine::Lease;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// A lease whose extensions wait while a newer list is pending, because that list may contain a drain.
pub(super) struct GatedLease {
    /// The lease that the engine uses.
    pub(super) lease: Rc<Lease>,
    /// When the lease ends once the latest list is applied; none if it does not end.
    expires_at: Cell<Option<Instant>>,
    /// Whether a list waits to be applied.
    is_list_pending: Cell<bool>,
}

impl GatedLease {
    /// Creates a lease that counts as expired until a planner grants one.
    pub(super) fn new(start: Instant) -> Rc<Self> {
        let lease = Rc::new(Lease::default());
        lease.set_expiry(Some(start));
        Rc::new(Self { lease, expires_at: Cell::new(Some(start)), is_list_pending: Cell::new(false) })
    }

    /// Holds back extensions until the newer list is applied.
    pub(super) fn hold_until_applied(&self) {
        self.is_list_pending.set(true);
    }

    /// Sets the end of the lease, effective once the latest list is applied.
    pub(super) fn set_expiry(&self, expires_at: Option<Instant>) {
        self.expires_at.set(expires_at);
        if !self.is_list_pending.get() {
            self.lease.set_expiry(expires_at);
        }
    }

    /// Whether the lease is valid once the latest list is applied.
    pub(super) fn is_valid_once_applied(&self) -> bool {
        self.expires_at.get().is_none_or(|expires_at| Instant::now() < expires_at)
    }

    /// Records that the latest list is applied and lets the held expiry take effect.
    pub(super) fn mark_applied(&self) {
        self.is_list_pending.set(false);
        self.lease.set_expiry(self.expires_at.get());
    }
}
