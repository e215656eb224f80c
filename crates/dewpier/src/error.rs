//! Why a proxy or a planner does not start.

use std::io;
use thiserror::Error;

/// Why it does not.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The system does not let it.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// There is no list that can be used, or a file that is needed for one can't be.
    #[error("{0}")]
    Inventory(String),
}
