//! Errors that end a proxy, a forwarder or a planner.

use std::io;
use thiserror::Error;

/// Why a process does not start or stops serving.
#[derive(Debug, Error)]
pub enum ServeError {
    /// An operating system error.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// No usable backend list, or a needed file cannot be used.
    #[error("{0}")]
    BadInput(String),
}
