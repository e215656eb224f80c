//! Bounds that parts of a process share: connections, bytes.

use std::cell::Cell;
use std::rc::Rc;

/// So much of something may be in use, all together.
#[derive(Debug)]
pub struct Budget {
    used: Cell<usize>,
    most: Cell<usize>,
}

/// A part of a budget, given back when it is dropped.
#[derive(Debug)]
pub struct Permit {
    budget: Rc<Budget>,
    part: usize,
}

impl Budget {
    /// Room for so much.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Self { used: Cell::new(0), most: Cell::new(most) })
    }

    /// Room for so much from now on. What is out beyond that stays until it comes back.
    pub fn set_capacity(&self, most: usize) {
        self.most.set(most);
    }

    /// There is room for none.
    pub fn is_full(&self) -> bool {
        self.used.get() >= self.most.get()
    }

    /// Takes a part, if there is room for it.
    pub fn try_acquire(self: &Rc<Self>, part: usize) -> Option<Permit> {
        (part <= self.most.get().saturating_sub(self.used.get())).then(|| {
            self.used.set(self.used.get() + part);
            Permit { budget: self.clone(), part }
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.part);
    }
}
