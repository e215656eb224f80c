//! The queue of a mock discovery service that works through one call after another, also through calls that nobody waits
//! for any more.

use std::sync::Mutex;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::Duration;

/// A queued call; the sender is used once the service has completed it.
type QueuedCall = SyncSender<()>;

/// Calls that wait for their turn.
pub struct SerialQueue {
    queue: Mutex<SyncSender<QueuedCall>>,
    /// Time in the queue after which a call is rejected.
    timeout: Duration,
}

impl SerialQueue {
    /// Starts a worker that needs `service_time` for each call. The queue holds `limit` calls.
    pub fn start(service_time: Duration, timeout: Duration, limit: usize) -> Self {
        let (queue, calls) = sync_channel::<QueuedCall>(limit);
        std::thread::spawn(move || {
            for call in calls {
                std::thread::sleep(service_time);
                let _ = call.try_send(()); // the caller may have been rejected
            }
        });
        Self { queue: Mutex::new(queue), timeout }
    }

    /// Queues a call and returns whether it was completed before the service rejected it.
    pub fn is_completed(&self) -> bool {
        let (complete, completed) = sync_channel(1);
        let queued = self.queue.lock().unwrap().try_send(complete);
        match queued {
            Ok(()) => completed.recv_timeout(self.timeout).is_ok(),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }
}

/// Returns how long a watch in this request line waits for changes.
pub fn watch_wait(start_line: &str) -> Duration {
    let digits = start_line.split("timeout_ms=").nth(1).unwrap_or_default();
    let digits: String = digits.chars().take_while(char::is_ascii_digit).collect();
    Duration::from_millis(digits.parse().unwrap_or_default())
}
