//! Watches an inventory file: a thread of its own reads each new version and resolves its host names.

use super::resolve::{ResolvedBackends, resolve_backends};
use crate::config::Inventory;
use crate::error::ServeError;
use dewpier_inventory::io::{InventoryWatcher, Update};
use std::io;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Capacity of the channel from the reading thread, which blocks while it is full.
const CHANNEL_CAPACITY: usize = 2;
/// Time in which the first list must arrive.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(30);

/// What the reading thread reports, in order.
enum WatchEvent {
    /// A new list, or why the file was rejected.
    List(Result<ResolvedBackends, String>),
    /// The start of a check that found no further change.
    Checked(Instant),
}

/// An inventory file under watch.
pub struct WatchedInventory {
    events: mpsc::Receiver<WatchEvent>,
    watcher: InventoryWatcher,
    last_check: Option<Instant>,
    file_name: String,
}

impl WatchedInventory {
    /// Starts to watch. Fails if the thread cannot be started.
    pub fn start(inventory: Inventory) -> io::Result<Self> {
        let (sender, events) = mpsc::channel(CHANNEL_CAPACITY);
        let Inventory { file, options, rules, poll_interval, resolve_names } = inventory;
        // Lookups block only the reading thread.
        let resolver = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let watcher = InventoryWatcher::start(&file, options, rules, poll_interval, move |update| {
            let event = match update {
                Update::Accepted(list) => {
                    let resolved = resolver.block_on(resolve_backends(&list.backends, resolve_names));
                    WatchEvent::List(Ok(resolved.map_err(|error| error.to_string())?))
                }
                Update::Rejected(reason) => WatchEvent::List(Err(reason)),
                Update::Checked(started) => WatchEvent::Checked(started),
                Update::Notice(text) => {
                    eprintln!("dewpier: {text}");
                    return Ok(());
                }
            };
            let _ = sender.blocking_send(event); // fails only while the process exits
            Ok(())
        })?;
        Ok(Self { events, watcher, last_check: None, file_name: file.display().to_string() })
    }

    /// The file's path as text.
    pub fn file_name(&self) -> &str {
        &self.file_name
    }

    /// Requests an immediate read of the file.
    pub fn reload(&self) {
        self.watcher.reload();
    }

    /// Requests a check whether the file has changed.
    pub fn request_check(&self) {
        self.watcher.request_check();
    }

    /// When the last check began that found nothing newer than the list that [`WatchedInventory::next_list`]
    /// returned; updated while that is awaited.
    pub fn last_check(&self) -> Option<Instant> {
        self.last_check
    }

    /// The next list, or why the file was rejected. Cancel-safe.
    pub async fn next_list(&mut self) -> Result<ResolvedBackends, String> {
        loop {
            match self.events.recv().await {
                Some(WatchEvent::List(result)) => return result,
                Some(WatchEvent::Checked(started)) => self.last_check = Some(started),
                None => std::future::pending().await, // the reading thread has ended: the last list stays in use
            }
        }
    }

    /// Waits for the first list. Fails if the file is rejected or no list arrives in time.
    pub async fn first_list(&mut self) -> Result<ResolvedBackends, ServeError> {
        let file_name = self.file_name.clone();
        await_first_list(&file_name, self.next_list()).await
    }
}

/// Waits for a first list with a timeout. `source_name` names its source in the error.
pub(super) async fn await_first_list(
    source_name: &str,
    first: impl Future<Output = Result<ResolvedBackends, String>>,
) -> Result<ResolvedBackends, ServeError> {
    match tokio::time::timeout(FIRST_LIST_TIMEOUT, first).await {
        Ok(list) => list.map_err(ServeError::BadInput),
        Err(_) => Err(ServeError::BadInput(format!("{source_name}: no list in time"))),
    }
}
