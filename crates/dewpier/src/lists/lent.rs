//! For how long a list of planners may be gone by, and from when on.

use gannetproxy::engine::Lease;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// A lease that is lent only for a list that has been taken: a list that waits to be taken may name a
/// drain.
pub(super) struct Lent {
    pub(super) lease: Rc<Lease>,
    wanted: Cell<Option<Instant>>,
    waiting: Cell<bool>,
}

impl Lent {
    /// Over until somebody vouches.
    pub(super) fn new(start: Instant) -> Rc<Self> {
        let lease = Rc::new(Lease::default());
        lease.set_expiry(Some(start));
        Rc::new(Self { lease, wanted: Cell::new(Some(start)), waiting: Cell::new(false) })
    }

    /// A newer list waits to be taken.
    pub(super) fn waits(&self) {
        self.waiting.set(true);
    }

    /// It may be gone by until then, once it is taken.
    pub(super) fn lend(&self, until: Option<Instant>) {
        self.wanted.set(until);
        if !self.waiting.get() {
            self.lease.set_expiry(until);
        }
    }

    /// It would hold, were its list taken.
    pub(super) fn would_hold(&self) -> bool {
        self.wanted.get().is_none_or(|until| Instant::now() < until)
    }

    /// The latest list has been taken.
    pub(super) fn taken(&self) {
        self.waiting.set(false);
        self.lease.set_expiry(self.wanted.get());
    }
}
