//! Watches a file and its folder, from a thread of its own: neither a slow disk nor a long list
//! holds up what is being served.

use super::file::{self, bytes, confirmed, stamp};
use crate::reload::{Input, Output, Rejection, ReloadRules, Reloader};
use crate::{Inventory, Options};
use notify::{RecursiveMode, Watcher};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

/// What has become of a file.
#[derive(Clone, Debug)]
pub enum Update {
    /// This list holds from now on.
    Accepted(Arc<Inventory>),
    /// It is not taken, and the last good list goes on holding; why, in one line that begins with
    /// the file.
    Rejected(String),
    /// Something that an operator should know, in one line.
    Notice(String),
    /// A look that was asked for and began then found nothing that was not told before.
    Checked(Instant),
}

/// What the thread is told.
enum Word {
    Touched,
    AtOnce,
    Look,
}

/// A file that is watched until this is dropped.
#[derive(Debug)]
pub struct InventoryWatcher {
    words: SyncSender<Word>,
    stopped: Arc<AtomicBool>,
}

/// Words that may wait for the thread. One that says that something happened is enough for all
/// that follow, so that those beyond it are dropped.
const MOST_WORDS: usize = 4;

impl InventoryWatcher {
    /// Watches `path`. It is looked at whenever the system tells of a change, and every `poll` in
    /// any case, as some file systems never tell. `update` is called from the thread, first with
    /// the list or the reason why there is none. Where it says that a list can't be used, the one
    /// before goes on holding.
    pub fn start(
        path: &Path,
        options: Options,
        rules: ReloadRules,
        poll: Duration,
        mut update: impl FnMut(Update) -> Result<(), String> + Send + 'static,
    ) -> std::io::Result<Self> {
        let (words, heard) = sync_channel(MOST_WORDS);
        let stopped = Arc::new(AtomicBool::new(false));
        let stop_flag = stopped.clone();
        let (path, from_system) = (path.to_path_buf(), words.clone());
        std::thread::Builder::new().name("inventory".into()).spawn(move || {
            let touched = move || match from_system.try_send(Word::Touched) {
                Ok(()) | Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {}
            };
            // Kept until the end of the thread: when it is dropped, the system tells no more.
            let _watcher = watch(&path, touched, &mut update);
            let name = path.display().to_string();
            let mut shell =
                Shell { reload: Reloader::new(&name, options, rules), path, name, start: Instant::now() };
            let mut next = shell.run(Input::ReadRequested, &mut update);
            loop {
                let wait = next.map_or(poll, |at| at.saturating_sub(shell.start.elapsed()).min(poll));
                let heard = heard.recv_timeout(wait);
                if stop_flag.load(Ordering::Relaxed) {
                    return;
                }
                next = match heard {
                    Ok(Word::Touched) => shell.run(Input::ChangeReported, &mut update),
                    Ok(Word::AtOnce) => shell.run(Input::ReadRequested, &mut update),
                    Ok(Word::Look) => shell.look(&mut update),
                    Err(RecvTimeoutError::Disconnected) => return,
                    Err(RecvTimeoutError::Timeout) => {
                        let seen = stamp(&shell.path);
                        shell.run(Input::Checked(seen), &mut update)
                    }
                };
            }
        })?;
        Ok(Self { words, stopped })
    }

    /// Has the file read at once.
    pub fn reload(&self) {
        // Where the thread is behind with so many words, it reads the file anyway.
        let _ = self.words.try_send(Word::AtOnce);
    }
}

impl InventoryWatcher {
    /// Has the file looked at now. [`Update::Checked`] follows where it is as it was judged last, and else
    /// what comes of it once it has settled.
    pub fn request_check(&self) {
        let _ = self.words.try_send(Word::Look); // one that waits is as good
    }
}

impl Drop for InventoryWatcher {
    fn drop(&mut self) {
        // The thread is not waited for: it may be held up by a file system that does not answer.
        self.stopped.store(true, Ordering::Relaxed);
        let _ = self.words.try_send(Word::AtOnce); // where there is no room, it is awake already
    }
}

/// Tells of something that has no answer.
fn tell(update: &mut impl FnMut(Update) -> Result<(), String>, what: Update) {
    let _ = update(what);
}

/// Has the system tell of changes. Its folder is watched too: a file that is replaced by rename is
/// another one, and a watch on the old one would stay silent.
fn watch(
    path: &Path,
    touched: impl Fn() + Send + 'static,
    update: &mut impl FnMut(Update) -> Result<(), String>,
) -> Option<notify::RecommendedWatcher> {
    let folder = match path.parent() {
        Some(folder) if !folder.as_os_str().is_empty() => folder.to_path_buf(),
        _ => PathBuf::from("."),
    };
    let ours = path.file_name().map(|name| name.to_owned());
    let handler = move |event: notify::Result<notify::Event>| {
        let reads = |kind: &notify::EventKind| matches!(kind, notify::EventKind::Access(_));
        let names = |event: &notify::Event| {
            // Where files are links into a folder that is swapped, the names are others'.
            event.paths.iter().any(|p| {
                p.file_name() == ours.as_deref()
                    || p.extension().is_some_and(|e| e == "confirm")
                    || p.is_symlink()
            })
        };
        match event {
            Ok(event) if reads(&event.kind) || !(event.paths.is_empty() || names(&event)) => {}
            _ => touched(),
        }
    };
    let watched = notify::recommended_watcher(handler).and_then(|mut watcher| {
        watcher.watch(&folder, RecursiveMode::NonRecursive)?;
        Ok(watcher)
    });
    watched
        .inspect_err(|error| {
            let text = format!("{}: the system tells of no changes ({error}): it is polled", path.display());
            tell(update, Update::Notice(text));
        })
        .ok()
}

struct Shell {
    reload: Reloader,
    path: PathBuf,
    name: String,
    start: Instant,
}

impl Shell {
    /// Hands an input to the core and does what it says, until there is nothing left to do.
    /// Returns when to look again.
    fn run(
        &mut self,
        input: Input<'_>,
        update: &mut impl FnMut(Update) -> Result<(), String>,
    ) -> Option<Duration> {
        let mut outputs = Vec::new();
        let mut next = None;
        self.reload.handle(self.start.elapsed(), input, &mut outputs);
        while let Some(output) = outputs.pop() {
            match output {
                Output::CheckAt(at) if at <= self.start.elapsed() => {
                    let seen = stamp(&self.path);
                    self.reload.handle(self.start.elapsed(), Input::Checked(seen), &mut outputs);
                }
                Output::CheckAt(at) => next = Some(next.map_or(at, |next: Duration| next.min(at))),
                Output::ReadFile => {
                    let stamp_before = stamp(&self.path);
                    let read = bytes(&self.path, self.reload.max_bytes()).map_err(|error| error.to_string());
                    let confirmation = confirmed(&self.path);
                    let stamp_after = stamp(&self.path);
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
                    self.reload.handle(self.start.elapsed(), input, &mut outputs);
                }
                Output::Accepted(list) => {
                    if let Err(why) = update(Update::Accepted(list)) {
                        self.reload.handle(self.start.elapsed(), Input::ListUnusable, &mut outputs);
                        tell(update, Update::Rejected(format!("{}:{why}", self.name)));
                    }
                }
                Output::Rejected(rejection) => tell(update, Update::Rejected(self.told(&rejection))),
                Output::KeepsChanging => {
                    let text =
                        format!("{}: it changes all the time, and is read once it stands still", self.name);
                    tell(update, Update::Notice(text));
                }
            }
        }
        next
    }

    fn look(&mut self, update: &mut impl FnMut(Update) -> Result<(), String>) -> Option<Duration> {
        let began = Instant::now();
        let seen = stamp(&self.path);
        let next = self.run(Input::Checked(seen), update);
        if self.reload.has_evaluated(seen) {
            tell(update, Update::Checked(began));
        }
        next
    }

    fn told(&self, rejection: &Rejection) -> String {
        match rejection {
            // Places follow the name without a space, as editors know them.
            Rejection::Invalid(_) | Rejection::Truncated { .. } => format!("{}:{rejection}", self.name),
            Rejection::Unreadable(_) | Rejection::TooManyMissing { .. } => {
                format!("{}: {rejection}", self.name)
            }
        }
    }
}

/// Confirms the text that a file has now, by a file beside it. Returns that file.
pub fn confirm(path: &Path, most: usize) -> std::io::Result<PathBuf> {
    let text = format!("{}  {}\n", crate::reload::sha256_hex(&bytes(path, most)?), path.display());
    let beside = file::confirmation(path);
    // By rename, lest half of it is read.
    let mut new = beside.clone().into_os_string();
    new.push(".new");
    std::fs::write(&new, text)?;
    std::fs::rename(&new, &beside)?;
    Ok(beside)
}
