//! Errors in an inventory file, with their position in the file.

use std::fmt;
use thiserror::Error;

/// A position in a file. Lines and columns count from 1, columns in characters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The line, from 1.
    pub line: u32,
    /// The column, from 1.
    pub column: u32,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

impl Position {
    /// Converts a byte offset in a text to a position.
    pub(crate) fn of_offset(text: &str, offset: usize) -> Self {
        let mut offset = offset.min(text.len());
        while !text.is_char_boundary(offset) {
            offset -= 1;
        }
        let before = &text[..offset];
        let line = memchr::memchr_iter(b'\n', before.as_bytes()).count() + 1;
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let saturate = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Self { line: saturate(line), column: saturate(before[line_start..].chars().count() + 1) }
    }
}

/// Why a file is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{at}: {problem}")]
pub struct InventoryError {
    /// The position of the problem.
    pub at: Position,
    /// The problem.
    pub problem: Problem,
}

/// A problem in a file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Problem {
    /// A value is missing or invalid.
    #[error("{subject}: expected {expected}, found {found}")]
    Value {
        /// The field or part of the file.
        subject: String,
        /// The expected value.
        expected: String,
        /// The value in the file.
        found: String,
    },
    /// A name that must be unique occurs more than once.
    #[error("{kind} '{value}' is here twice, first at {first}: expected it once")]
    Duplicate {
        /// The kind of the name: `id`, `column` or `key`.
        kind: &'static str,
        /// The repeated name.
        value: String,
        /// The position of the first occurrence.
        first: Position,
    },
    /// Two places in the file give different values for the same property.
    #[error("{subject}: expected {expected} as at {first}, found {found}")]
    Conflict {
        /// The property.
        subject: String,
        /// The first value.
        expected: String,
        /// The position of the first value.
        first: Position,
        /// The conflicting value.
        found: String,
    },
    /// Two nodes have the same address.
    #[error("address {address} of '{id}' is that of '{other}' at {first}: expected one node an address")]
    DuplicateAddress {
        /// The address.
        address: String,
        /// The id of the second node.
        id: String,
        /// The id of the first node.
        other: String,
        /// The position of the first node's address.
        first: Position,
    },
    /// The bytes are not valid text in the encoding.
    #[error("byte offset {offset}: expected {expected}, found {found}{hint}")]
    Encoding {
        /// The offset of the invalid bytes from the start of the file.
        offset: usize,
        /// The expected encoding or content.
        expected: &'static str,
        /// The bytes in the file.
        found: String,
        /// A suggestion that is appended to the message.
        hint: &'static str,
    },
    /// The file lists no node.
    #[error("expected at least one node, found {found}")]
    Empty {
        /// The content of the file.
        found: String,
    },
    /// The file exceeds a limit.
    #[error("expected at most {max} {unit}, found {found}")]
    LimitExceeded {
        /// The unit of the limit, such as `nodes` or `bytes`.
        unit: &'static str,
        /// The limit.
        max: usize,
        /// The number found, exact or as a lower bound.
        found: String,
    },
    /// The text is not valid in the file's format.
    #[error("expected {expected}, found {found}")]
    Syntax {
        /// The expected syntax.
        expected: String,
        /// The text in the file.
        found: String,
    },
}

/// Maximum number of characters of a value that a message quotes.
const MAX_QUOTED_CHARS: usize = 60;

/// Quotes a value for messages: escapes unprintable characters and truncates long values.
pub(crate) fn quoted(value: &str) -> String {
    let mut text: String = value.chars().take(MAX_QUOTED_CHARS).flat_map(char::escape_debug).collect();
    if value.chars().nth(MAX_QUOTED_CHARS).is_some() {
        text.push('…');
    }
    format!("'{text}'")
}

/// A position in the representation of a format's parser, which converts it to a [`Position`] only for
/// errors and results.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RawPosition(pub u32, pub u32);

/// An error whose positions are not converted yet.
#[derive(Debug)]
pub(crate) struct Fault {
    pub at: RawPosition,
    pub kind: FaultKind,
}

/// The problem, with the first position of a duplicate or a conflict.
#[derive(Debug)]
pub(crate) enum FaultKind {
    Simple(Problem),
    Duplicate { kind: &'static str, value: String, first: RawPosition },
    Conflict { subject: String, expected: String, first: RawPosition, found: String },
    DuplicateAddress { address: String, id: String, other: String, first: RawPosition },
}

impl Fault {
    pub fn new(at: RawPosition, problem: Problem) -> Self {
        Self { at, kind: FaultKind::Simple(problem) }
    }

    pub fn value(
        at: RawPosition,
        subject: impl Into<String>,
        expected: impl Into<String>,
        found: impl Into<String>,
    ) -> Self {
        let (subject, expected, found) = (subject.into(), expected.into(), found.into());
        Self::new(at, Problem::Value { subject, expected, found })
    }

    /// Converts to an [`InventoryError`]; `to_position` converts the parser's positions.
    pub fn into_error(self, to_position: impl Fn(RawPosition) -> Position) -> InventoryError {
        let problem = match self.kind {
            FaultKind::Simple(problem) => problem,
            FaultKind::Duplicate { kind, value, first } => {
                Problem::Duplicate { kind, value, first: to_position(first) }
            }
            FaultKind::Conflict { subject, expected, first, found } => {
                Problem::Conflict { subject, expected, first: to_position(first), found }
            }
            FaultKind::DuplicateAddress { address, id, other, first } => {
                Problem::DuplicateAddress { address, id, other, first: to_position(first) }
            }
        };
        InventoryError { at: to_position(self.at), problem }
    }
}
