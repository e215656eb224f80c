//! Reads an inventory file, its metadata and its confirmation file.

use crate::reload::FileStamp;
use crate::{Inventory, InventoryError, Options};
use std::fs::{self, File, Metadata};
use std::io::{self, Read};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Suffix that is appended to a file's name for the operator's confirmation file.
pub const CONFIRMATION_SUFFIX: &str = ".confirm";
/// Maximum number of bytes that are read of a confirmation file.
const MAX_CONFIRMATION_BYTES: u64 = 4096;

/// Why a file could not be read as an inventory.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The file cannot be read.
    #[error("{path}: cannot read it: {error}")]
    Io {
        /// The file's path.
        path: String,
        /// The I/O error.
        error: io::Error,
    },
    /// The contents are invalid.
    #[error("{path}:{refusal}")]
    Invalid {
        /// The file's path.
        path: String,
        /// The problem and its position.
        refusal: InventoryError,
    },
}

/// Reads and parses a file.
pub fn read_file(path: &Path, options: &Options) -> Result<Inventory, ReadError> {
    let path_text = path.display().to_string();
    let bytes = read_bytes(path, options.max_bytes)
        .map_err(|error| ReadError::Io { path: path_text.clone(), error })?;
    crate::read(&bytes, &path_text, options)
        .map_err(|refusal| ReadError::Invalid { path: path_text, refusal })
}

/// Reads a file, but at most one byte more than `max_bytes`, so that the parser detects an oversized file.
pub(super) fn read_bytes(path: &Path, max_bytes: usize) -> io::Result<Vec<u8>> {
    // Opening or reading a pipe or a device may block forever.
    if !fs::metadata(path)?.is_file() {
        return Err(io::Error::other("expected a file, found something else"));
    }
    let mut bytes = Vec::new();
    File::open(path)?.take(max_bytes as u64 + 1).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// The path of a file's confirmation file.
pub(super) fn confirmation_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(CONFIRMATION_SUFFIX);
    name.into()
}

/// Reads the confirmation file of a file, if it exists.
pub(super) fn read_confirmation(path: &Path) -> Option<String> {
    let mut text = String::new();
    File::open(confirmation_path(path)).ok()?.take(MAX_CONFIRMATION_BYTES).read_to_string(&mut text).ok()?;
    Some(text)
}

/// Returns the stamp of the file at a path, or None if there is none. Symbolic links are followed.
pub(super) fn read_stamp(path: &Path) -> Option<FileStamp> {
    let to_nanos = |seconds: i64, nanos: i64| i128::from(seconds) * 1_000_000_000 + i128::from(nanos);
    let modified_nanos = |m: &Metadata| to_nanos(m.mtime(), m.mtime_nsec());
    let metadata = fs::metadata(path).ok()?;
    let confirmation = fs::metadata(confirmation_path(path)).ok();
    Some(FileStamp {
        device_and_inode: (metadata.dev(), metadata.ino()),
        size_bytes: metadata.size(),
        modified_nanos: modified_nanos(&metadata),
        status_changed_nanos: to_nanos(metadata.ctime(), metadata.ctime_nsec()),
        confirmation: confirmation.map(|metadata| (metadata.ino(), modified_nanos(&metadata))),
    })
}
