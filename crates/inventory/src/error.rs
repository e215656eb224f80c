//! Why a file is refused, and where.

use std::fmt;
use thiserror::Error;

/// A place in a file, as editors count: from 1, in characters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The line.
    pub line: u32,
    /// The column.
    pub column: u32,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

impl Position {
    /// The place of a byte offset in a text.
    pub(crate) fn of_offset(text: &str, offset: usize) -> Self {
        let mut offset = offset.min(text.len());
        while !text.is_char_boundary(offset) {
            offset -= 1;
        }
        let before = &text[..offset];
        let line = memchr::memchr_iter(b'\n', before.as_bytes()).count() + 1;
        let start = before.rfind('\n').map_or(0, |at| at + 1);
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Self { line: count(line), column: count(before[start..].chars().count() + 1) }
    }
}

/// Why a file is refused whole.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{at}: {problem}")]
pub struct InventoryError {
    /// Where.
    pub at: Position,
    /// What is wrong there.
    pub problem: Problem,
}

/// What is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Problem {
    /// A value, or the lack of one, where something else belongs.
    #[error("{what}: expected {expected}, found {found}")]
    Value {
        /// What it is the value of.
        what: String,
        /// What belongs there.
        expected: String,
        /// What is there.
        found: String,
    },
    /// Two things that must differ are the same.
    #[error("{what} '{value}' is here twice, first at {first}: expected it once")]
    Duplicate {
        /// What it is.
        what: &'static str,
        /// The value that both have.
        value: String,
        /// Where it stands first.
        first: Position,
    },
    /// Two places say different things of one.
    #[error("{what}: expected {expected} as at {first}, found {found}")]
    Conflict {
        /// What they speak of.
        what: String,
        /// What is said first,
        expected: String,
        /// and where.
        first: Position,
        /// What is said here.
        found: String,
    },
    /// An address of two nodes.
    #[error("address {address} of '{id}' is that of '{other}' at {first}: expected one node an address")]
    DuplicateAddress {
        /// The address.
        address: String,
        /// The node here.
        id: String,
        /// The other node.
        other: String,
        /// Where that is.
        first: Position,
    },
    /// Bytes that are no text in the encoding.
    #[error("byte offset {offset}: expected {expected}, found {found}{hint}")]
    Encoding {
        /// Where, in bytes from the start of the file.
        offset: usize,
        /// What the encoding asks for.
        expected: &'static str,
        /// What is there.
        found: String,
        /// What might help.
        hint: &'static str,
    },
    /// It lists nothing.
    #[error("expected at least one node, found {found}")]
    Empty {
        /// What is there.
        found: String,
    },
    /// Too much of something.
    #[error("expected at most {max} {what}, found {found}")]
    LimitExceeded {
        /// Of what.
        what: &'static str,
        /// The bound.
        max: usize,
        /// What was found, exactly or at least.
        found: String,
    },
    /// It can't be read as its form.
    #[error("expected {expected}, found {found}")]
    Syntax {
        /// What its form asks for.
        expected: String,
        /// What is there.
        found: String,
    },
}

/// The longest part of a file that a message repeats, in characters.
const SHOWN: usize = 60;

/// A value as messages show it: in quotes, cut off where it is long, nothing unprintable in it.
pub(crate) fn shown(value: &str) -> String {
    let mut text: String = value.chars().take(SHOWN).flat_map(char::escape_debug).collect();
    if value.chars().nth(SHOWN).is_some() {
        text.push('…');
    }
    format!("'{text}'")
}

/// A place as a format keeps it while it reads: its meaning is the format's own, which turns it
/// into a [`Position`] only when something is wrong there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RawPosition(pub u32, pub u32);

/// A refusal whose places are still spots.
#[derive(Debug)]
pub(crate) struct Fault {
    pub at: RawPosition,
    pub what: FaultKind,
}

/// What is wrong, with the other place it speaks of, if there is one.
#[derive(Debug)]
pub(crate) enum FaultKind {
    Plain(Problem),
    Duplicate { what: &'static str, value: String, first: RawPosition },
    Conflict { what: String, expected: String, first: RawPosition, found: String },
    DuplicateAddress { address: String, id: String, other: String, first: RawPosition },
}

impl Fault {
    pub fn new(at: RawPosition, problem: Problem) -> Self {
        Self { at, what: FaultKind::Plain(problem) }
    }

    pub fn value(
        at: RawPosition,
        what: impl Into<String>,
        expected: impl Into<String>,
        found: impl Into<String>,
    ) -> Self {
        let (what, expected, found) = (what.into(), expected.into(), found.into());
        Self::new(at, Problem::Value { what, expected, found })
    }

    /// The refusal, with the format's way to tell places.
    pub fn placed(self, place: impl Fn(RawPosition) -> Position) -> InventoryError {
        let problem = match self.what {
            FaultKind::Plain(problem) => problem,
            FaultKind::Duplicate { what, value, first } => {
                Problem::Duplicate { what, value, first: place(first) }
            }
            FaultKind::Conflict { what, expected, first, found } => {
                Problem::Conflict { what, expected, first: place(first), found }
            }
            FaultKind::DuplicateAddress { address, id, other, first } => {
                Problem::DuplicateAddress { address, id, other, first: place(first) }
            }
        };
        InventoryError { at: place(self.at), problem }
    }
}
