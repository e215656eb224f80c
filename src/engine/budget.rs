//! Limits on resources that are shared within a process, such as connections or bytes.

use std::cell::Cell;
use std::rc::Rc;

/// A limit on how much of a resource may be in use at once.
#[derive(Debug)]
pub struct Budget {
    used: Cell<usize>,
    capacity: Cell<usize>,
}

/// A share of a [`Budget`] that is returned when dropped.
#[derive(Debug)]
pub struct Permit {
    budget: Rc<Budget>,
    amount: usize,
}

impl Budget {
    /// Creates a budget of `capacity` units.
    pub fn new(capacity: usize) -> Rc<Self> {
        Rc::new(Self { used: Cell::new(0), capacity: Cell::new(capacity) })
    }

    /// Changes the capacity. Permits beyond it stay valid until they are dropped.
    pub fn set_capacity(&self, capacity: usize) {
        self.capacity.set(capacity);
    }

    /// Returns whether no unit is free.
    pub fn is_full(&self) -> bool {
        self.used.get() >= self.capacity.get()
    }

    /// Takes `amount` units, or returns `None` if fewer are free.
    pub fn try_acquire(self: &Rc<Self>, amount: usize) -> Option<Permit> {
        (amount <= self.capacity.get().saturating_sub(self.used.get())).then(|| {
            self.used.set(self.used.get() + amount);
            Permit { budget: self.clone(), amount }
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.amount);
    }
}
