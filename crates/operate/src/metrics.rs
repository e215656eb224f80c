//! The one place where requests end and are counted, and where attempts are. No I/O.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// How a request ended, as its client was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served.
    Completed,
    /// Refused: trying again is harmless.
    Rejected,
    /// Anything else.
    Failed,
}

/// Requests of a class that have ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Served.
    pub completed: u64,
    /// Refused.
    pub rejected: u64,
    /// Failed, and those whose client left.
    pub failed: u64,
}

/// The list as it is now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendCounts {
    /// Backends in it.
    pub listed: usize,
    /// Those of them that are avoided.
    pub avoided: usize,
}

/// AttemptCounter that were written whole. It may be counted on from where only shared things go.
#[derive(Clone, Debug, Default)]
pub struct AttemptCounter(Arc<AtomicU64>);

impl AttemptCounter {
    /// One more.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// What a process has done since it started. Its size is that of the list of classes.
#[derive(Debug)]
pub struct Metrics {
    names: Vec<String>,
    ended: RefCell<Vec<ClassCounters>>,
    taken: Cell<u64>,
    pending: Cell<u64>,
    attempts: AttemptCounter,
}

/// A request that was taken and has not ended. Dropped, it has failed: whoever held it is gone without a word.
#[derive(Debug)]
pub struct OpenRequest {
    figures: Rc<Metrics>,
    class: usize,
    ending: RequestOutcome,
}

impl OpenRequest {
    /// It ends like this.
    pub fn end(mut self, ending: RequestOutcome) {
        self.ending = ending;
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.figures.pending.set(self.figures.pending.get().saturating_sub(1));
        if let Some(tally) = self.figures.ended.borrow_mut().get_mut(self.class) {
            match self.ending {
                RequestOutcome::Completed => tally.completed += 1,
                RequestOutcome::Rejected => tally.rejected += 1,
                RequestOutcome::Failed => tally.failed += 1,
            }
        }
    }
}

impl Metrics {
    /// None yet, of classes with these names.
    pub fn new(names: Vec<String>) -> Rc<Self> {
        let ended = RefCell::new(vec![ClassCounters::default(); names.len()]);
        let (taken, pending) = (Cell::new(0), Cell::new(0));
        Rc::new(Self { names, ended, taken, pending, attempts: AttemptCounter::default() })
    }

    /// A request of a class has been taken.
    pub fn begin_request(self: &Rc<Self>, class: usize) -> OpenRequest {
        self.taken.set(self.taken.get() + 1);
        self.pending.set(self.pending.get() + 1);
        OpenRequest { figures: self.clone(), class, ending: RequestOutcome::Failed }
    }

    /// Where attempts are counted.
    pub fn attempt_counter(&self) -> AttemptCounter {
        self.attempts.clone()
    }

    /// An attempt was written whole.
    pub fn count_attempt(&self) {
        self.attempts.increment();
    }

    /// AttemptCounter that were written whole.
    pub fn attempts(&self) -> u64 {
        self.attempts.0.load(Ordering::Relaxed)
    }

    /// Requests that were taken.
    pub fn received(&self) -> u64 {
        self.taken.get()
    }

    /// Those that have not ended.
    pub fn pending(&self) -> u64 {
        self.pending.get()
    }

    /// The others, by class.
    pub fn counters_by_class(&self) -> Vec<(&str, ClassCounters)> {
        self.names.iter().map(String::as_str).zip(self.ended.borrow().iter().copied()).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Whatever happens in whichever order, what was taken is what has ended and what has not.
        #[test]
        fn nothing_is_lost_or_counted_twice(steps in prop::collection::vec((0..4u8, 0..3usize, any::<prop::sample::Index>()), 0..300)) {
            let figures = Metrics::new(vec!["a".into(), "b".into(), "c".into()]);
            let mut open: Vec<(usize, OpenRequest)> = Vec::new();
            let mut expected = [ClassCounters::default(); 3];
            for (step, class, index) in steps {
                if step == 0 || open.is_empty() {
                    open.push((class, figures.begin_request(class)));
                } else {
                    let (class, taken) = open.swap_remove(index.index(open.len()));
                    match step {
                        1 => { expected[class].completed += 1; taken.end(RequestOutcome::Completed); }
                        2 => { expected[class].rejected += 1; taken.end(RequestOutcome::Rejected); }
                        _ => { expected[class].failed += 1; drop(taken); }
                    }
                }
                let classes = figures.counters_by_class();
                let ended: u64 = classes.iter().map(|(_, t)| t.completed + t.rejected + t.failed).sum();
                prop_assert_eq!(figures.received(), ended + figures.pending());
                prop_assert_eq!(figures.pending(), open.len() as u64);
                prop_assert_eq!(classes.iter().map(|(_, t)| *t).collect::<Vec<_>>(), expected.to_vec());
            }
        }
    }
}
