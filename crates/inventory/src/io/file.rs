//! Reading a file that others may be writing.

use crate::reload::FileStamp;
use crate::{Inventory, InventoryError, Options};
use std::fs::{self, File, Metadata};
use std::io::{self, Read};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// What is put behind a file's name for that of the operator's confirmation.
pub const CONFIRMATION_SUFFIX: &str = ".confirm";
/// The largest confirmation that is read.
const MOST_CONFIRMATION: u64 = 4096;

/// Why a file gives no list.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The system doesn't give it out.
    #[error("{path}: cannot read it: {error}")]
    Io {
        /// The file.
        path: String,
        /// What the system said.
        error: io::Error,
    },
    /// It can't be used.
    #[error("{path}:{refusal}")]
    Invalid {
        /// The file.
        path: String,
        /// Where and why.
        refusal: InventoryError,
    },
}

/// Reads a file as it is now.
pub fn read_file(path: &Path, options: &Options) -> Result<Inventory, ReadError> {
    let shown = path.display().to_string();
    let bytes =
        bytes(path, options.max_bytes).map_err(|error| ReadError::Io { path: shown.clone(), error })?;
    crate::read(&bytes, &shown, options).map_err(|refusal| ReadError::Invalid { path: shown, refusal })
}

/// All bytes of a file, or one more than may be: it is refused for it then.
pub(super) fn bytes(path: &Path, most: usize) -> io::Result<Vec<u8>> {
    // A pipe or a device might never end, or never begin.
    if !fs::metadata(path)?.is_file() {
        return Err(io::Error::other("expected a file, found something else"));
    }
    let mut bytes = Vec::new();
    File::open(path)?.take(most as u64 + 1).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Where the confirmation of a file stands.
pub(super) fn confirmation(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(CONFIRMATION_SUFFIX);
    name.into()
}

/// What the operator has confirmed, if anything.
pub(super) fn confirmed(path: &Path) -> Option<String> {
    let mut text = String::new();
    File::open(confirmation(path)).ok()?.take(MOST_CONFIRMATION).read_to_string(&mut text).ok()?;
    Some(text)
}

/// What stands at a path; links are followed.
pub(super) fn stamp(path: &Path) -> Option<FileStamp> {
    let nanos = |seconds: i64, nanos: i64| i128::from(seconds) * 1_000_000_000 + i128::from(nanos);
    let modified = |m: &Metadata| nanos(m.mtime(), m.mtime_nsec());
    let m = fs::metadata(path).ok()?;
    let beside = fs::metadata(confirmation(path)).ok();
    Some(FileStamp {
        device_and_inode: (m.dev(), m.ino()),
        size_bytes: m.size(),
        modified_nanos: modified(&m),
        status_changed_nanos: nanos(m.ctime(), m.ctime_nsec()),
        confirmation: beside.map(|b| (b.ino(), modified(&b))),
    })
}
