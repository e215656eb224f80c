//! Measures stalls of the host, so that delays caused by them are not blamed on the program.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Interval at which the measuring thread wakes.
const WAKE_INTERVAL: Duration = Duration::from_millis(10);

/// Measures stalls until it is dropped.
pub struct StallWatch {
    is_stopping: Arc<AtomicBool>,
    longest_ms: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

impl StallWatch {
    /// Starts measuring.
    pub fn start() -> Self {
        let (is_stopping, longest_ms) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let (stop, longest_seen_ms) = (is_stopping.clone(), longest_ms.clone());
        let thread = std::thread::spawn(move || {
            let mut last_wake = Instant::now();
            while !stop.load(Ordering::SeqCst) {
                std::thread::sleep(WAKE_INTERVAL);
                let delay = last_wake.elapsed().saturating_sub(WAKE_INTERVAL);
                longest_seen_ms.fetch_max(delay.as_millis() as u64, Ordering::SeqCst);
                last_wake = Instant::now();
            }
        });
        Self { is_stopping, longest_ms, thread: Some(thread) }
    }

    /// Returns the longest delay of a wake-up so far.
    pub fn longest(&self) -> Duration {
        Duration::from_millis(self.longest_ms.load(Ordering::SeqCst))
    }
}

impl Drop for StallWatch {
    fn drop(&mut self) {
        self.is_stopping.store(true, Ordering::SeqCst);
        self.thread.take().into_iter().for_each(|t| drop(t.join()));
    }
}
