//! Watches an inventory file from a separate thread, so that neither a slow disk nor a long list delays requests.

use super::file::{confirmation_path, read_bytes, read_confirmation, read_stamp};
use crate::reload::{Input, Output, Rejection, ReloadRules, Reloader};
use crate::{Inventory, Options};
use notify::{RecursiveMode, Watcher};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

/// A report on the watched file.
#[derive(Clone, Debug)]
pub enum Update {
    /// A new list, in use from now on.
    Accepted(Arc<Inventory>),
    /// The file is rejected, and the last accepted list stays in use. The text is the reason, in one line that
    /// begins with the file's path.
    Rejected(String),
    /// A note for the operator, in one line.
    Notice(String),
    /// A requested check that began at this time found no change since the last evaluation.
    Checked(Instant),
}

/// A command to the thread.
enum WatchCommand {
    /// The file may have changed.
    ReportChange,
    /// Read the file now.
    Reload,
    /// Check whether the file has changed.
    Check,
}

/// Watches a file until it is dropped.
#[derive(Debug)]
pub struct InventoryWatcher {
    commands: SyncSender<WatchCommand>,
    stopped: Arc<AtomicBool>,
}

/// Maximum number of queued commands. Further commands are dropped: the queued ones already cause a read or a check.
const MAX_QUEUED_COMMANDS: usize = 4;

impl InventoryWatcher {
    /// Starts to watch `path`. The file is checked when the operating system reports a change, and every
    /// `poll_interval`, as some file systems report none. `update` is called from the thread, first with the list
    /// or the reason for its rejection. If `update` returns an error, the list is rejected and the previous one
    /// stays in use. Fails if the thread cannot be started.
    pub fn start(
        path: &Path,
        options: Options,
        rules: ReloadRules,
        poll_interval: Duration,
        mut update: impl FnMut(Update) -> Result<(), String> + Send + 'static,
    ) -> std::io::Result<Self> {
        let (commands, received_commands) = sync_channel(MAX_QUEUED_COMMANDS);
        let stopped = Arc::new(AtomicBool::new(false));
        let stop_flag = stopped.clone();
        let (path, change_sender) = (path.to_path_buf(), commands.clone());
        std::thread::Builder::new().name("inventory".into()).spawn(move || {
            let report_change = move || match change_sender.try_send(WatchCommand::ReportChange) {
                Ok(()) | Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {}
            };
            // Held until the thread ends: dropping the watcher stops the notifications.
            let _watcher = watch_folder(&path, report_change, &mut update);
            let name = path.display().to_string();
            let mut worker = WatchThread {
                reloader: Reloader::new(&name, options, rules),
                path,
                name,
                start: Instant::now(),
            };
            let mut next_check = worker.run(Input::ReadRequested, &mut update);
            loop {
                let wait = next_check
                    .map_or(poll_interval, |at| at.saturating_sub(worker.start.elapsed()).min(poll_interval));
                let command = received_commands.recv_timeout(wait);
                if stop_flag.load(Ordering::Relaxed) {
                    return;
                }
                next_check = match command {
                    Ok(WatchCommand::ReportChange) => worker.run(Input::ChangeReported, &mut update),
                    Ok(WatchCommand::Reload) => worker.run(Input::ReadRequested, &mut update),
                    Ok(WatchCommand::Check) => worker.check(&mut update),
                    Err(RecvTimeoutError::Disconnected) => return,
                    Err(RecvTimeoutError::Timeout) => {
                        let stamp = read_stamp(&worker.path);
                        worker.run(Input::Checked(stamp), &mut update)
                    }
                };
            }
        })?;
        Ok(Self { commands, stopped })
    }

    /// Requests an immediate read of the file.
    pub fn reload(&self) {
        // If the queue is full, a queued command makes the thread check the file.
        let _ = self.commands.try_send(WatchCommand::Reload);
    }
}

impl InventoryWatcher {
    /// Requests a check of the file. [`Update::Checked`] follows if the file has not changed since its last
    /// evaluation, and otherwise the result of its evaluation once it has settled.
    pub fn request_check(&self) {
        let _ = self.commands.try_send(WatchCommand::Check); // if the queue is full, the file is checked anyway
    }
}

impl Drop for InventoryWatcher {
    fn drop(&mut self) {
        // The thread is not joined: it may be blocked by an unresponsive file system.
        self.stopped.store(true, Ordering::Relaxed);
        let _ = self.commands.try_send(WatchCommand::Reload); // wakes the thread; with a full queue it is awake
    }
}

/// Reports an update whose result is ignored.
fn report(update: &mut impl FnMut(Update) -> Result<(), String>, event: Update) {
    let _ = update(event);
}

/// Watches the folder of a file for changes. A watch on the file itself would miss its replacement by rename.
/// If the watch fails, the operator is notified and the file is only polled.
fn watch_folder(
    path: &Path,
    report_change: impl Fn() + Send + 'static,
    update: &mut impl FnMut(Update) -> Result<(), String>,
) -> Option<notify::RecommendedWatcher> {
    let folder = match path.parent() {
        Some(folder) if !folder.as_os_str().is_empty() => folder.to_path_buf(),
        _ => PathBuf::from("."),
    };
    let watched_name = path.file_name().map(|name| name.to_owned());
    let handler = move |event: notify::Result<notify::Event>| {
        let is_read_access = |kind: &notify::EventKind| matches!(kind, notify::EventKind::Access(_));
        let concerns_file = |event: &notify::Event| {
            // If the file is a symbolic link through another link, a change of that link has another name.
            event.paths.iter().any(|p| {
                p.file_name() == watched_name.as_deref()
                    || p.extension().is_some_and(|e| e == "confirm")
                    || p.is_symlink()
            })
        };
        match event {
            Ok(event)
                if is_read_access(&event.kind) || !(event.paths.is_empty() || concerns_file(&event)) => {}
            _ => report_change(),
        }
    };
    let watcher = notify::recommended_watcher(handler).and_then(|mut watcher| {
        watcher.watch(&folder, RecursiveMode::NonRecursive)?;
        Ok(watcher)
    });
    watcher
        .inspect_err(|error| {
            let text = format!(
                "{}: the operating system reports no changes ({error}): it is polled",
                path.display()
            );
            report(update, Update::Notice(text));
        })
        .ok()
}

/// The state of the thread.
struct WatchThread {
    reloader: Reloader,
    path: PathBuf,
    name: String,
    start: Instant,
}

impl WatchThread {
    /// Passes an input to the reloader and executes its outputs. Returns the time of the next check.
    fn run(
        &mut self,
        input: Input<'_>,
        update: &mut impl FnMut(Update) -> Result<(), String>,
    ) -> Option<Duration> {
        let mut outputs = Vec::new();
        let mut next_check = None;
        self.reloader.handle(self.start.elapsed(), input, &mut outputs);
        while let Some(output) = outputs.pop() {
            match output {
                Output::CheckAt(at) if at <= self.start.elapsed() => {
                    let stamp = read_stamp(&self.path);
                    self.reloader.handle(self.start.elapsed(), Input::Checked(stamp), &mut outputs);
                }
                Output::CheckAt(at) => {
                    next_check = Some(next_check.map_or(at, |next: Duration| next.min(at)))
                }
                Output::ReadFile => {
                    let stamp_before = read_stamp(&self.path);
                    let read =
                        read_bytes(&self.path, self.reloader.max_bytes()).map_err(|error| error.to_string());
                    let confirmation = read_confirmation(&self.path);
                    let stamp_after = read_stamp(&self.path);
                    let bytes = match &read {
                        Ok(bytes) => Ok(bytes.as_slice()),
                        Err(error) => Err(error.clone()),
                    };
                    let input = Input::ReadCompleted {
                        stamp_before,
                        stamp_after,
                        bytes,
                        confirmation: confirmation.as_deref(),
                    };
                    self.reloader.handle(self.start.elapsed(), input, &mut outputs);
                }
                Output::Accepted(list) => {
                    if let Err(why) = update(Update::Accepted(list)) {
                        self.reloader.handle(self.start.elapsed(), Input::ListUnusable, &mut outputs);
                        report(update, Update::Rejected(format!("{}:{why}", self.name)));
                    }
                }
                Output::Rejected(rejection) => report(update, Update::Rejected(self.describe(&rejection))),
                Output::KeepsChanging => {
                    let text = format!("{}: it keeps changing, and is read once it has settled", self.name);
                    report(update, Update::Notice(text));
                }
            }
        }
        next_check
    }

    /// Checks the file on request and reports if it has not changed since its last evaluation.
    fn check(&mut self, update: &mut impl FnMut(Update) -> Result<(), String>) -> Option<Duration> {
        let started = Instant::now();
        let stamp = read_stamp(&self.path);
        let next_check = self.run(Input::Checked(stamp), update);
        if self.reloader.has_evaluated(stamp) {
            report(update, Update::Checked(started));
        }
        next_check
    }

    /// The reason of a rejection, with the file's path.
    fn describe(&self, rejection: &Rejection) -> String {
        match rejection {
            // Without a space after the path, editors recognize path:line:column.
            Rejection::Invalid(_) | Rejection::Truncated { .. } => format!("{}:{rejection}", self.name),
            Rejection::Unreadable(_) | Rejection::TooManyMissing { .. } => {
                format!("{}: {rejection}", self.name)
            }
        }
    }
}

/// Confirms the current contents of a file: writes their SHA-256 to the confirmation file next to it. Reads at most
/// `max_bytes + 1` bytes. Returns the path of the confirmation file.
pub fn confirm(path: &Path, max_bytes: usize) -> std::io::Result<PathBuf> {
    let text = format!("{}  {}\n", crate::reload::sha256_hex(&read_bytes(path, max_bytes)?), path.display());
    let target = confirmation_path(path);
    // The rename makes the replacement atomic.
    let mut temporary = target.clone().into_os_string();
    temporary.push(".new");
    std::fs::write(&temporary, text)?;
    std::fs::rename(&temporary, &target)?;
    Ok(target)
}
