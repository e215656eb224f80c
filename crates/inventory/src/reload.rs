//! Decides when a changing inventory file is read and whether its list is accepted.
//!
//! A state machine without I/O. Its inputs are the stamps and the contents of the file; its outputs are the time of
//! the next check, the request to read, and the accepted list. Five conditions guard against a file that is read in
//! the middle of a write in place:
//!
//! 1. its stamp (file, size and times) must be unchanged for [`ReloadRules::settle_time`];
//! 2. its stamp must be the same right before and right after the read;
//! 3. its last line must be complete, or its bracket closed ([`ReloadRules::require_complete_end`]);
//! 4. it must be valid as a whole in its format, with rows of equal length, closed quotes and so on;
//! 5. at most [`ReloadRules::max_missing_fraction`] of the nodes of the last accepted list may be missing, unless the
//!    operator has confirmed this text by its hash ([`sha256_hex`]).
//!
//! These conditions do not detect a writer that pauses for longer than the settle time at the end of a line with most
//! of the nodes written; the rest is read after the next write. Replacing the file by rename avoids this case.

use crate::{Inventory, InventoryError, Options, Position};
use sha2::{Digest, Sha256};
use std::collections::HashSet;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Metadata that identifies a version of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileStamp {
    /// Device and inode number, which change when the file is replaced by rename.
    pub device_and_inode: (u64, u64),
    /// Size in bytes.
    pub size_bytes: u64,
    /// Modification time (mtime) in nanoseconds since the Unix epoch.
    pub modified_nanos: i128,
    /// Status change time (ctime) in nanoseconds since the Unix epoch.
    pub status_changed_nanos: i128,
    /// Inode number and modification time of the confirmation file, if there is one.
    pub confirmation: Option<(u64, i128)>,
}

/// The conditions under which a file is read and accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct ReloadRules {
    /// How long the file must be unchanged before it is read.
    pub settle_time: Duration,
    /// Maximum fraction, from 0 to 1, of the nodes of the last accepted list that may be missing in the next. One
    /// node may always be missing.
    pub max_missing_fraction: f64,
    /// Whether the last line must be complete or the closing bracket present.
    pub require_complete_end: bool,
}

impl Default for ReloadRules {
    fn default() -> Self {
        Self {
            settle_time: Duration::from_millis(300),
            max_missing_fraction: 0.5,
            require_complete_end: true,
        }
    }
}

/// Number of settle times for which a file must keep changing before [`Output::KeepsChanging`].
const KEEPS_CHANGING_SETTLE_TIMES: u32 = 20;

/// Why a file is rejected.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Rejection {
    /// The file cannot be opened or read.
    #[error("cannot read it: {0}")]
    Unreadable(String),
    /// The contents are invalid.
    #[error("{0}")]
    Invalid(#[from] InventoryError),
    /// The last line is incomplete.
    #[error(
        "{at}: expected a complete last line, found the end of the file in it: it may be half written \
         (complete_end = false takes it all the same)"
    )]
    Truncated {
        /// The position of the end of the text.
        at: Position,
    },
    /// Too many nodes of the last accepted list are missing.
    #[error(
        "expected at most {max_missing} of {previous_count} nodes to go at once, found {missing_count} missing, such as '{example}': \
         confirm it with 'dewpier inventory confirm' if it is meant, or raise max_vanish"
    )]
    TooManyMissing {
        /// Number of nodes of the last accepted list.
        previous_count: usize,
        /// Number of missing nodes.
        missing_count: usize,
        /// Maximum number of missing nodes.
        max_missing: usize,
        /// The id of a missing node.
        example: String,
    },
}

/// An input of the state machine.
#[derive(Debug)]
pub enum Input<'a> {
    /// The current stamp of the file; None if it does not exist.
    Checked(Option<FileStamp>),
    /// The operating system reported a change. The next check shows which.
    ChangeReported,
    /// The file is to be read at once, without waiting until it has settled.
    ReadRequested,
    /// A read has completed.
    ReadCompleted {
        /// The stamp right before the read.
        stamp_before: Option<FileStamp>,
        /// The stamp right after the read.
        stamp_after: Option<FileStamp>,
        /// The contents, or the error of the read.
        bytes: Result<&'a [u8], String>,
        /// The contents of the confirmation file.
        confirmation: Option<&'a str>,
    },
    /// The list accepted last is unusable: the previous list is restored.
    ListUnusable,
}

/// An output of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Read the stamp of the file at this time or earlier.
    CheckAt(Duration),
    /// Read the file.
    ReadFile,
    /// This list is in use from now on.
    Accepted(Arc<Inventory>),
    /// The file is rejected; the last accepted list stays in use.
    Rejected(Rejection),
    /// The file keeps changing and is not read. Reported once until it has settled.
    KeepsChanging,
}

/// An accepted list and the SHA-256 of its file.
type AcceptedList = (Arc<Inventory>, [u8; 32]);

/// Decides when a file is read and whether its list is accepted.
#[derive(Debug)]
pub struct Reloader {
    name: String,
    options: Options,
    rules: ReloadRules,
    current: Option<AcceptedList>,
    /// The list before the current one.
    previous: Option<AcceptedList>,
    /// SHA-256 of the text rejected last, which is not reported again.
    rejected_hash: Option<[u8; 32]>,
    /// The stamp of the file at its last evaluation.
    evaluated: Option<Option<FileStamp>>,
    /// A newer stamp, and the time since which it is unchanged.
    pending: Option<(Option<FileStamp>, Duration)>,
    /// Start of the time with unread changes, and whether [`Output::KeepsChanging`] was reported.
    changing_since: Option<(Duration, bool)>,
    /// Whether the next read is evaluated even if the file has not settled.
    skip_settling: bool,
    /// Whether a read was requested and has not completed.
    reading: bool,
}

impl Reloader {
    /// Creates the state for a file. The format is detected from `name` if the options give none.
    pub fn new(name: &str, options: Options, rules: ReloadRules) -> Self {
        Self {
            name: name.to_string(),
            options,
            rules,
            current: None,
            previous: None,
            rejected_hash: None,
            evaluated: None,
            pending: None,
            changing_since: None,
            skip_settling: false,
            reading: false,
        }
    }

    /// The list in use.
    pub fn current_list(&self) -> Option<&Arc<Inventory>> {
        self.current.as_ref().map(|(list, _)| list)
    }

    /// Whether the last evaluation was of this stamp and no change was reported since.
    pub fn has_evaluated(&self, stamp: Option<FileStamp>) -> bool {
        self.evaluated == Some(stamp)
    }

    /// Maximum size of the file in bytes.
    pub fn max_bytes(&self) -> usize {
        self.options.max_bytes
    }

    /// Processes an input at the time `now`, which may count from any origin.
    pub fn handle(&mut self, now: Duration, input: Input<'_>, outputs: &mut Vec<Output>) {
        match input {
            // Two writes may leave the same size and, with a coarse clock, the same times, so that the file is
            // evaluated again.
            Input::ChangeReported => {
                self.evaluated = None;
                self.pending = None;
                outputs.push(Output::CheckAt(now));
            }
            Input::ReadRequested => {
                self.skip_settling = true;
                self.request_read(outputs);
            }
            Input::ListUnusable => self.current = self.previous.take(),
            Input::Checked(stamp) => self.check(now, stamp, outputs),
            Input::ReadCompleted { stamp_before, stamp_after, bytes, confirmation } => {
                self.reading = false;
                let skip_settling = std::mem::take(&mut self.skip_settling);
                let settled = self.pending.is_some_and(|(stamp, since)| {
                    stamp == stamp_before && now.saturating_sub(since) >= self.rules.settle_time
                });
                if stamp_before != stamp_after || !(settled || skip_settling) {
                    self.evaluated = None;
                    return self.check(now, stamp_after, outputs);
                }
                (self.evaluated, self.pending, self.changing_since) = (Some(stamp_after), None, None);
                match bytes
                    .map_err(Rejection::Unreadable)
                    .and_then(|bytes| self.evaluate(bytes, confirmation, skip_settling))
                {
                    Ok(Some(list)) => outputs.push(Output::Accepted(list)),
                    Ok(None) => {}
                    Err(rejection) => outputs.push(Output::Rejected(rejection)),
                }
            }
        }
    }

    /// Requests a read, unless one is in progress.
    fn request_read(&mut self, outputs: &mut Vec<Output>) {
        if !std::mem::replace(&mut self.reading, true) {
            outputs.push(Output::ReadFile);
        }
    }

    /// Processes a stamp of the file: requests a read once it has been unchanged for the settle time.
    fn check(&mut self, now: Duration, stamp: Option<FileStamp>, outputs: &mut Vec<Output>) {
        if self.evaluated == Some(stamp) {
            (self.pending, self.changing_since) = (None, None);
            return;
        }
        let (since, reported) = *self.changing_since.get_or_insert((now, false));
        if !reported && now.saturating_sub(since) > KEEPS_CHANGING_SETTLE_TIMES * self.rules.settle_time {
            self.changing_since = Some((since, true));
            outputs.push(Output::KeepsChanging);
        }
        match self.pending {
            Some((pending, since)) if pending == stamp => {
                if now.saturating_sub(since) >= self.rules.settle_time {
                    self.request_read(outputs);
                } else {
                    outputs.push(Output::CheckAt(since + self.rules.settle_time));
                }
            }
            _ => {
                self.pending = Some((stamp, now));
                outputs.push(Output::CheckAt(now + self.rules.settle_time));
            }
        }
    }

    /// Evaluates the contents. Returns the list if it is new and accepted, and None if it is unchanged or a known
    /// rejected text.
    fn evaluate(
        &mut self,
        bytes: &[u8],
        confirmation: Option<&str>,
        skip_settling: bool,
    ) -> Result<Option<Arc<Inventory>>, Rejection> {
        let hash: [u8; 32] = Sha256::digest(bytes).into();
        if self.current.as_ref().is_some_and(|(_, current_hash)| *current_hash == hash) {
            self.rejected_hash = None;
            return Ok(None);
        }
        let confirmed = confirmation.is_some_and(|text| confirms_hash(text, &hash));
        if self.rejected_hash == Some(hash) && !confirmed && !skip_settling {
            return Ok(None);
        }
        self.rejected_hash = Some(hash);
        let list = crate::read(bytes, &self.name, &self.options)?;
        if self.rules.require_complete_end && !list.has_complete_end {
            return Err(Rejection::Truncated { at: list.end });
        }
        if let Some((current, _)) = self.current.as_ref().filter(|_| !confirmed) {
            let new_ids: HashSet<&str> = list.backends.iter().map(|b| b.id.as_str()).collect();
            let missing_ids: Vec<&str> =
                current.backends.iter().map(|b| b.id.as_str()).filter(|id| !new_ids.contains(id)).collect();
            let previous_count = current.backends.len();
            let max_missing = ((previous_count as f64 * self.rules.max_missing_fraction) as usize).max(1);
            if let Some(example) = missing_ids.first().filter(|_| missing_ids.len() > max_missing) {
                let (missing_count, example) = (missing_ids.len(), example.to_string());
                return Err(Rejection::TooManyMissing {
                    previous_count,
                    missing_count,
                    max_missing,
                    example,
                });
            }
        }
        self.rejected_hash = None;
        let list = Arc::new(list);
        self.previous = self.current.replace((list.clone(), hash));
        Ok(Some(list))
    }
}

/// Returns the SHA-256 of a text in hexadecimal digits, as `sha256sum` prints it. An operator confirms a text by it.
pub fn sha256_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().fold(String::with_capacity(64), |mut text, byte| {
        let _ = write!(text, "{byte:02x}"); // writing to a string cannot fail
        text
    })
}

/// Whether the first word of a confirmation is this SHA-256 in hexadecimal digits.
fn confirms_hash(confirmation: &str, hash: &[u8; 32]) -> bool {
    let first_word = confirmation.split_whitespace().next().unwrap_or_default();
    first_word.len() == 64
        && hash.iter().enumerate().all(|(i, byte)| {
            first_word.get(2 * i..2 * i + 2).and_then(|digits| u8::from_str_radix(digits, 16).ok())
                == Some(*byte)
        })
}
