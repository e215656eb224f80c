//! Checks shared by all parts of a configuration file, and their errors.

use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use toml::Spanned;

/// Why a configuration file is not accepted.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{path}: cannot read it: {error}")]
    Read {
        /// The file's path.
        path: String,
        /// The operating system's error.
        error: std::io::Error,
    },
    /// The file's syntax or one of its values is invalid.
    #[error("{path}:{line}:{column}: {message}")]
    Invalid {
        /// The file's path.
        path: String,
        /// The line, from 1.
        line: usize,
        /// The column, from 1, in characters.
        column: usize,
        /// The expected and the found value.
        message: String,
    },
}

/// An invalid value and its position in the file, in bytes.
pub(super) struct InvalidValue {
    pub(super) span: Range<usize>,
    pub(super) message: String,
}

/// The error for a key with an invalid value.
pub(super) fn invalid<T>(
    span: Range<usize>,
    key: &str,
    expected: &str,
    found: impl std::fmt::Display,
) -> Result<T, InvalidValue> {
    Err(InvalidValue { span, message: format!("{key}: expected {expected}, found {found}") })
}

/// An integer within the bounds, both included, or its default.
pub(super) fn check_integer(
    value: &Option<Spanned<i64>>,
    key: &str,
    range: [i64; 2],
    default: i64,
) -> Result<i64, InvalidValue> {
    match value {
        None => Ok(default),
        Some(value) if (range[0]..=range[1]).contains(value.get_ref()) => Ok(*value.get_ref()),
        Some(value) => {
            let expected = format!("a whole number from {} to {}", range[0], range[1]);
            invalid(value.span(), key, &expected, value.get_ref())
        }
    }
}

/// A number within the bounds, both included, or its default.
pub(super) fn check_number(
    value: &Option<Spanned<f64>>,
    key: &str,
    range: [f64; 2],
    default: f64,
) -> Result<f64, InvalidValue> {
    match value {
        None => Ok(default),
        Some(value) if (range[0]..=range[1]).contains(value.get_ref()) => Ok(*value.get_ref()),
        Some(value) => {
            let expected = format!("a number from {} to {}", range[0], range[1]);
            invalid(value.span(), key, &expected, value.get_ref())
        }
    }
}

/// A duration in whole milliseconds within the bounds, both included, or its default.
pub(super) fn check_millis(
    value: &Option<Spanned<i64>>,
    key: &str,
    range: [i64; 2],
    default: i64,
) -> Result<Duration, InvalidValue> {
    check_integer(value, key, range, default).map(|ms| Duration::from_millis(ms.unsigned_abs()))
}

/// An hour in milliseconds.
pub(super) const HOUR_MILLIS: i64 = 3_600_000;

/// Reads a whole file.
pub(super) fn read_text(path: &Path) -> Result<String, ConfigError> {
    let shown = path.display().to_string();
    std::fs::read_to_string(path).map_err(|error| ConfigError::Read { path: shown, error })
}

/// Parses the text of a configuration file and checks it. Errors name the position as line and column.
pub(super) fn parse<F: DeserializeOwned, C>(
    text: &str,
    path: &Path,
    check: impl FnOnce(F, &Path) -> Result<C, InvalidValue>,
) -> Result<C, ConfigError> {
    let parsed = toml::from_str::<F>(text).map_err(|error| {
        let span = error.span().unwrap_or(0..0);
        InvalidValue { span, message: error.message().trim().replace('\n', "; ") }
    });
    parsed.and_then(|file| check(file, path)).map_err(|InvalidValue { span, message }| {
        let before = text.get(..span.start).unwrap_or(text);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        ConfigError::Invalid { path: path.display().to_string(), line, column, message }
    })
}

/// An IP address with a port.
pub(super) fn parse_address(value: &Spanned<String>, key: &str) -> Result<SocketAddr, InvalidValue> {
    match value.get_ref().parse() {
        Ok(address) => Ok(address),
        Err(_) => invalid(value.span(), key, "address:port", format!("'{}'", value.get_ref())),
    }
}

/// Resolves the path of a file that a configuration names, relative to the configuration's folder.
pub(super) fn resolve_path(config_path: &Path, file: &Path) -> PathBuf {
    config_path.parent().unwrap_or(Path::new("")).join(file)
}
