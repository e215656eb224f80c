//! Stalls of the machine itself: what was late then was late by no fault of the program.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How often the watch wants to be woken.
const WAKE_INTERVAL: Duration = Duration::from_millis(10);

/// Watches for as long as it is kept.
pub struct StallWatch {
    over: Arc<AtomicBool>,
    longest: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

impl StallWatch {
    /// One that has seen nothing.
    pub fn start() -> Self {
        let (over, longest) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let (known, seen) = (over.clone(), longest.clone());
        let thread = std::thread::spawn(move || {
            let mut last = Instant::now();
            while !known.load(Ordering::SeqCst) {
                std::thread::sleep(WAKE_INTERVAL);
                let late = last.elapsed().saturating_sub(WAKE_INTERVAL);
                seen.fetch_max(late.as_millis() as u64, Ordering::SeqCst);
                last = Instant::now();
            }
        });
        Self { over, longest, thread: Some(thread) }
    }

    /// How late it was woken at worst.
    pub fn longest(&self) -> Duration {
        Duration::from_millis(self.longest.load(Ordering::SeqCst))
    }
}

impl Drop for StallWatch {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        self.thread.take().into_iter().for_each(|t| drop(t.join()));
    }
}
