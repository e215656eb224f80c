//! When a file that may be rewritten at any moment is read, and whether what it says is taken.
//!
//! A plain state machine: it is told what stands at the file's path and what was read, and says
//! when to look again, when to read, and which list holds. Against a file that is caught halfway
//! through a write in place:
//!
//! 1. it must have stood unchanged (the same file, size and times) for [`ReloadRules::settle_time`];
//! 2. it must be the same file, size and times right before and right after it was read;
//! 3. its last line must be complete, or its bracket closed ([`ReloadRules::require_complete_end`]);
//! 4. it must be read whole by its form: rows of one width, quotes closed, and so on;
//! 5. at most [`ReloadRules::max_missing_fraction`] of the nodes of the last good list may be missing in it, unless
//!    the operator has confirmed this very text ([`sha256_hex`]).
//!
//! What none of these sees is a writer that stops for longer than the settle time, at the end of a
//! line, with most of the nodes written; the rest is then read when it comes. Files that are
//! replaced by rename have no such moment.

use crate::{Inventory, InventoryError, Options, Position};
use sha2::{Digest, Sha256};
use std::collections::HashSet;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// What tells one state of a file from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileStamp {
    /// Its device and number: another one after a rename.
    pub device_and_inode: (u64, u64),
    /// Its size in bytes.
    pub size_bytes: u64,
    /// When its content changed, in nanoseconds since 1970.
    pub modified_nanos: i128,
    /// When anything of it changed.
    pub status_changed_nanos: i128,
    /// The same of the operator's confirmation beside it, if there is one.
    pub confirmation: Option<(u64, i128)>,
}

/// When a file is read and taken.
#[derive(Clone, Debug, PartialEq)]
pub struct ReloadRules {
    /// How long it must have stood unchanged.
    pub settle_time: Duration,
    /// The part of the nodes of the last good list that may be missing in the next, from 0 to 1.
    /// One node may always go.
    pub max_missing_fraction: f64,
    /// Its end must show: a last line that is complete, or a closed bracket.
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

/// While a file goes on changing for so many settle times, that is told, once.
const RESTLESS: u32 = 20;

/// Why a file is not taken.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Rejection {
    /// It can't be opened or read.
    #[error("cannot read it: {0}")]
    Unreadable(String),
    /// It can't be used.
    #[error("{0}")]
    Invalid(#[from] InventoryError),
    /// Its end does not show.
    #[error(
        "{at}: expected a complete last line, found the end of the file in it: it may be half written \
         (complete_end = false takes it all the same)"
    )]
    Truncated {
        /// Where the text ends.
        at: Position,
    },
    /// Too much of the last good list is missing.
    #[error(
        "expected at most {max_missing} of {previous_count} nodes to go at once, found {missing_count} missing, such as '{example}': \
         confirm it with 'dewpier inventory confirm' if it is meant, or raise max_vanish"
    )]
    TooManyMissing {
        /// Nodes of the last good list.
        previous_count: usize,
        /// Those that are missing.
        missing_count: usize,
        /// How many may be.
        max_missing: usize,
        /// One of them.
        example: String,
    },
}

/// What happens to the file.
#[derive(Debug)]
pub enum Input<'a> {
    /// What stands at its path now; None if nothing does.
    Checked(Option<FileStamp>),
    /// The system says that something happened to it. What it is, the next look tells.
    ChangeReported,
    /// It is to be read at once: there is no waiting for it to settle.
    ReadRequested,
    /// It was read.
    ReadCompleted {
        /// What stood there right before,
        stamp_before: Option<FileStamp>,
        /// and right after.
        stamp_after: Option<FileStamp>,
        /// All that is in it, or why it can't be read.
        bytes: Result<&'a [u8], String>,
        /// What the operator's confirmation says.
        confirmation: Option<&'a str>,
    },
    /// The list that was accepted last can't be used after all: the one before it holds.
    ListUnusable,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Look at what stands at the path at that time, or before.
    CheckAt(Duration),
    /// Read the file.
    ReadFile,
    /// This list holds from now on.
    Accepted(Arc<Inventory>),
    /// The file is not taken; the last good list goes on holding.
    Rejected(Rejection),
    /// The file changes all the time and is not read.
    KeepsChanging,
}

/// A list, and the hash of the text that it was read from.
type Good = (Arc<Inventory>, [u8; 32]);

/// Decides what of a file is taken.
#[derive(Debug)]
pub struct Reloader {
    name: String,
    options: Options,
    rules: ReloadRules,
    good: Option<Good>,
    /// The list that held before it.
    former: Option<Good>,
    /// The text that was refused last: it is not told of again for each look at it.
    refused: Option<[u8; 32]>,
    /// The state of the file that was judged last.
    judged: Option<Option<FileStamp>>,
    /// A newer one, and since when it stands.
    pending: Option<(Option<FileStamp>, Duration)>,
    /// Since when there has been one that was not read.
    restless: Option<(Duration, bool)>,
    /// A read is to be judged whether it has settled or not.
    at_once: bool,
    reading: bool,
}

impl Reloader {
    /// For a file of that name, which tells its form.
    pub fn new(name: &str, options: Options, rules: ReloadRules) -> Self {
        Self {
            name: name.to_string(),
            options,
            rules,
            good: None,
            former: None,
            refused: None,
            judged: None,
            pending: None,
            restless: None,
            at_once: false,
            reading: false,
        }
    }

    /// The list that holds.
    pub fn current_list(&self) -> Option<&Arc<Inventory>> {
        self.good.as_ref().map(|(good, _)| good)
    }

    /// That state of the file was judged, and nothing has happened to it since.
    pub fn has_evaluated(&self, stamp: Option<FileStamp>) -> bool {
        self.judged == Some(stamp)
    }

    /// The most bytes that are worth reading.
    pub fn max_bytes(&self) -> usize {
        self.options.max_bytes
    }

    /// Takes in what happens at `now`, counted from any start.
    pub fn handle(&mut self, now: Duration, input: Input<'_>, outputs: &mut Vec<Output>) {
        match input {
            // Two writes may leave the same size and, where clocks are coarse, the same times:
            // what was judged is judged again.
            Input::ChangeReported => {
                self.judged = None;
                self.pending = None;
                outputs.push(Output::CheckAt(now));
            }
            Input::ReadRequested => {
                self.at_once = true;
                self.read(outputs);
            }
            Input::ListUnusable => self.good = self.former.take(),
            Input::Checked(stamp) => self.looked(now, stamp, outputs),
            Input::ReadCompleted { stamp_before, stamp_after, bytes, confirmation } => {
                self.reading = false;
                let at_once = std::mem::take(&mut self.at_once);
                let settled = self.pending.is_some_and(|(stamp, since)| {
                    stamp == stamp_before && now.saturating_sub(since) >= self.rules.settle_time
                });
                if stamp_before != stamp_after || !(settled || at_once) {
                    self.judged = None;
                    return self.looked(now, stamp_after, outputs);
                }
                (self.judged, self.pending, self.restless) = (Some(stamp_after), None, None);
                match bytes
                    .map_err(Rejection::Unreadable)
                    .and_then(|bytes| self.judge(bytes, confirmation, at_once))
                {
                    Ok(Some(list)) => outputs.push(Output::Accepted(list)),
                    Ok(None) => {}
                    Err(rejection) => outputs.push(Output::Rejected(rejection)),
                }
            }
        }
    }

    fn read(&mut self, outputs: &mut Vec<Output>) {
        if !std::mem::replace(&mut self.reading, true) {
            outputs.push(Output::ReadFile);
        }
    }

    fn looked(&mut self, now: Duration, stamp: Option<FileStamp>, outputs: &mut Vec<Output>) {
        if self.judged == Some(stamp) {
            (self.pending, self.restless) = (None, None);
            return;
        }
        let (since, told) = *self.restless.get_or_insert((now, false));
        if !told && now.saturating_sub(since) > RESTLESS * self.rules.settle_time {
            self.restless = Some((since, true));
            outputs.push(Output::KeepsChanging);
        }
        match self.pending {
            Some((pending, since)) if pending == stamp => {
                if now.saturating_sub(since) >= self.rules.settle_time {
                    self.read(outputs);
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

    /// The list, if it is a new one.
    fn judge(
        &mut self,
        bytes: &[u8],
        confirmation: Option<&str>,
        at_once: bool,
    ) -> Result<Option<Arc<Inventory>>, Rejection> {
        let hash: [u8; 32] = Sha256::digest(bytes).into();
        if self.good.as_ref().is_some_and(|(_, known)| *known == hash) {
            self.refused = None;
            return Ok(None);
        }
        let confirmed = confirmation.is_some_and(|text| names(text, &hash));
        if self.refused == Some(hash) && !confirmed && !at_once {
            return Ok(None);
        }
        self.refused = Some(hash);
        let list = crate::read(bytes, &self.name, &self.options)?;
        if self.rules.require_complete_end && !list.has_complete_end {
            return Err(Rejection::Truncated { at: list.end });
        }
        if let Some((good, _)) = self.good.as_ref().filter(|_| !confirmed) {
            let new: HashSet<&str> = list.backends.iter().map(|b| b.id.as_str()).collect();
            let missing: Vec<&str> =
                good.backends.iter().map(|b| b.id.as_str()).filter(|id| !new.contains(id)).collect();
            let previous_count = good.backends.len();
            let max_missing = ((previous_count as f64 * self.rules.max_missing_fraction) as usize).max(1);
            if let Some(example) = missing.first().filter(|_| missing.len() > max_missing) {
                let (missing_count, example) = (missing.len(), example.to_string());
                return Err(Rejection::TooManyMissing {
                    previous_count,
                    missing_count,
                    max_missing,
                    example,
                });
            }
        }
        self.refused = None;
        let list = Arc::new(list);
        self.former = self.good.replace((list.clone(), hash));
        Ok(Some(list))
    }
}

/// The SHA-256 of a text in hexadecimal digits, by which an operator confirms it: what the command
/// `sha256sum` prints first.
pub fn sha256_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().fold(String::with_capacity(64), |mut text, byte| {
        let _ = write!(text, "{byte:02x}"); // a string takes all
        text
    })
}

/// A confirmation names that digest.
fn names(confirmation: &str, hash: &[u8; 32]) -> bool {
    let first = confirmation.split_whitespace().next().unwrap_or_default();
    first.len() == 64
        && hash.iter().enumerate().all(|(i, byte)| {
            first.get(2 * i..2 * i + 2).and_then(|two| u8::from_str_radix(two, 16).ok()) == Some(*byte)
        })
}
