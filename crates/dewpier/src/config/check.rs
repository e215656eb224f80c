//! What all parts of a configuration are checked with, and how what is wrong is told.

use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use toml::Spanned;

/// Why a configuration can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{path}: cannot read it: {error}")]
    Read {
        /// The file.
        path: String,
        /// What the system said.
        error: std::io::Error,
    },
    /// Something in it is wrong.
    #[error("{path}:{line}:{column}: {message}")]
    Wrong {
        /// The file.
        path: String,
        /// The line, from 1.
        line: usize,
        /// The column, from 1, in characters.
        column: usize,
        /// What was expected and what was found.
        message: String,
    },
}

/// Something wrong, by its place in bytes.
pub(super) struct Wrong {
    pub(super) span: Range<usize>,
    pub(super) message: String,
}

pub(super) fn wrong<T>(
    span: Range<usize>,
    what: &str,
    expected: &str,
    found: impl std::fmt::Display,
) -> Result<T, Wrong> {
    Err(Wrong { span, message: format!("{what}: expected {expected}, found {found}") })
}

/// A whole number within bounds, or its default.
pub(super) fn whole(
    value: &Option<Spanned<i64>>,
    what: &str,
    range: [i64; 2],
    default: i64,
) -> Result<i64, Wrong> {
    match value {
        None => Ok(default),
        Some(value) if (range[0]..=range[1]).contains(value.get_ref()) => Ok(*value.get_ref()),
        Some(value) => {
            let expected = format!("a whole number from {} to {}", range[0], range[1]);
            wrong(value.span(), what, &expected, value.get_ref())
        }
    }
}

/// A number within bounds, or its default.
pub(super) fn number(
    value: &Option<Spanned<f64>>,
    what: &str,
    range: [f64; 2],
    default: f64,
) -> Result<f64, Wrong> {
    match value {
        None => Ok(default),
        Some(value) if (range[0]..=range[1]).contains(value.get_ref()) => Ok(*value.get_ref()),
        Some(value) => {
            let expected = format!("a number from {} to {}", range[0], range[1]);
            wrong(value.span(), what, &expected, value.get_ref())
        }
    }
}

pub(super) fn millis(
    value: &Option<Spanned<i64>>,
    what: &str,
    range: [i64; 2],
    default: i64,
) -> Result<Duration, Wrong> {
    whole(value, what, range, default).map(|ms| Duration::from_millis(ms.unsigned_abs()))
}

pub(super) const HOUR: i64 = 3_600_000;

pub(super) fn text(path: &Path) -> Result<String, ConfigError> {
    let shown = path.display().to_string();
    std::fs::read_to_string(path).map_err(|error| ConfigError::Read { path: shown, error })
}

/// Reads a text as such a file, and checks it.
pub(super) fn parse<F: DeserializeOwned, C>(
    text: &str,
    path: &Path,
    check: impl FnOnce(F, &Path) -> Result<C, Wrong>,
) -> Result<C, ConfigError> {
    let parsed = toml::from_str::<F>(text).map_err(|error| {
        let span = error.span().unwrap_or(0..0);
        Wrong { span, message: error.message().trim().replace('\n', "; ") }
    });
    parsed.and_then(|file| check(file, path)).map_err(|Wrong { span, message }| {
        let before = text.get(..span.start).unwrap_or(text);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        ConfigError::Wrong { path: path.display().to_string(), line, column, message }
    })
}

pub(super) fn address(value: &Spanned<String>, what: &str) -> Result<SocketAddr, Wrong> {
    match value.get_ref().parse() {
        Ok(address) => Ok(address),
        Err(_) => wrong(value.span(), what, "address:port", format!("'{}'", value.get_ref())),
    }
}

/// A file that a configuration names, beside it.
pub(super) fn beside(path: &Path, file: &Path) -> PathBuf {
    path.parent().unwrap_or(Path::new("")).join(file)
}
