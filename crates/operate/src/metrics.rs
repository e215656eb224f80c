//! Counts requests by class and outcome, and attempts. No I/O.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// How a request ended, as reported to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request was served.
    Completed,
    /// The request was rejected: it is harmless to retry.
    Rejected,
    /// Any other end, including a client that disconnected.
    Failed,
}

/// Ended requests of one class, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Requests that were served.
    pub completed: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed or whose client disconnected.
    pub failed: u64,
}

/// Numbers of backends in the current backend list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendCounts {
    /// Listed backends.
    pub listed: usize,
    /// Listed backends that are avoided at present.
    pub avoided: usize,
}

/// A shared counter of attempts that were written completely; usable from any thread.
#[derive(Clone, Debug, Default)]
pub struct AttemptCounter(Arc<AtomicU64>);

impl AttemptCounter {
    /// Counts one attempt.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// Request and attempt counters of a process since its start. Its size is that of the list of classes.
#[derive(Debug)]
pub struct Metrics {
    class_names: Vec<String>,
    ended: RefCell<Vec<ClassCounters>>,
    received: Cell<u64>,
    pending: Cell<u64>,
    attempts: AttemptCounter,
    discovery_failures: Cell<u64>,
    cancelled_discovery_calls: Cell<u64>,
}

/// A request that has begun and not ended. Dropping it without [`OpenRequest::end`] counts it as failed.
#[derive(Debug)]
pub struct OpenRequest {
    metrics: Rc<Metrics>,
    class: usize,
    outcome: RequestOutcome,
}

impl OpenRequest {
    /// Ends the request with this outcome.
    pub fn end(mut self, outcome: RequestOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.metrics.pending.set(self.metrics.pending.get().saturating_sub(1));
        if let Some(counters) = self.metrics.ended.borrow_mut().get_mut(self.class) {
            match self.outcome {
                RequestOutcome::Completed => counters.completed += 1,
                RequestOutcome::Rejected => counters.rejected += 1,
                RequestOutcome::Failed => counters.failed += 1,
            }
        }
    }
}

impl Metrics {
    /// Creates zeroed counters for classes with these names.
    pub fn new(class_names: Vec<String>) -> Rc<Self> {
        let ended = RefCell::new(vec![ClassCounters::default(); class_names.len()]);
        Rc::new(Self {
            class_names,
            ended,
            received: Cell::default(),
            pending: Cell::default(),
            attempts: AttemptCounter::default(),
            discovery_failures: Cell::default(),
            cancelled_discovery_calls: Cell::default(),
        })
    }

    /// Counts a received request of the class with this index.
    pub fn begin_request(self: &Rc<Self>, class: usize) -> OpenRequest {
        self.received.set(self.received.get() + 1);
        self.pending.set(self.pending.get() + 1);
        OpenRequest { metrics: self.clone(), class, outcome: RequestOutcome::Failed }
    }

    /// The counter of attempts, to share with other threads.
    pub fn attempt_counter(&self) -> AttemptCounter {
        self.attempts.clone()
    }

    /// Counts an attempt that was written completely.
    pub fn count_attempt(&self) {
        self.attempts.increment();
    }

    /// Number of attempts that were written completely.
    pub fn attempts(&self) -> u64 {
        self.attempts.0.load(Ordering::Relaxed)
    }

    /// Counts a call to the discovery service that returned no valid list.
    pub fn count_discovery_failure(&self) {
        self.discovery_failures.set(self.discovery_failures.get() + 1);
    }

    /// Number of calls to the discovery service that returned no valid list.
    pub fn discovery_failures(&self) -> u64 {
        self.discovery_failures.get()
    }

    /// Counts a call to the discovery service that the proxy ended before its answer or timeout.
    pub fn count_cancelled_discovery_call(&self) {
        self.cancelled_discovery_calls.set(self.cancelled_discovery_calls.get() + 1);
    }

    /// Number of calls to the discovery service that the proxy ended before their answer or timeout.
    pub fn cancelled_discovery_calls(&self) -> u64 {
        self.cancelled_discovery_calls.get()
    }

    /// Number of requests received, ended or not.
    pub fn received(&self) -> u64 {
        self.received.get()
    }

    /// Number of requests that have not ended.
    pub fn pending(&self) -> u64 {
        self.pending.get()
    }

    /// Counters of ended requests by the name of their class.
    pub fn counters_by_class(&self) -> Vec<(&str, ClassCounters)> {
        self.class_names.iter().map(String::as_str).zip(self.ended.borrow().iter().copied()).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// In any order of events, received requests equal ended plus pending ones, and each is counted once.
        #[test]
        fn requests_are_neither_lost_nor_counted_twice(
            steps in prop::collection::vec((0..4u8, 0..3usize, any::<prop::sample::Index>()), 0..300),
        ) {
            let metrics = Metrics::new(vec!["a".into(), "b".into(), "c".into()]);
            let mut open: Vec<(usize, OpenRequest)> = Vec::new();
            let mut expected = [ClassCounters::default(); 3];
            for (step, class, index) in steps {
                if step == 0 || open.is_empty() {
                    open.push((class, metrics.begin_request(class)));
                } else {
                    let (class, request) = open.swap_remove(index.index(open.len()));
                    match step {
                        1 => { expected[class].completed += 1; request.end(RequestOutcome::Completed); }
                        2 => { expected[class].rejected += 1; request.end(RequestOutcome::Rejected); }
                        _ => { expected[class].failed += 1; drop(request); }
                    }
                }
                let classes = metrics.counters_by_class();
                let ended: u64 = classes.iter().map(|(_, c)| c.completed + c.rejected + c.failed).sum();
                prop_assert_eq!(metrics.received(), ended + metrics.pending());
                prop_assert_eq!(metrics.pending(), open.len() as u64);
                prop_assert_eq!(classes.iter().map(|(_, c)| *c).collect::<Vec<_>>(), expected.to_vec());
            }
        }
    }
}
