//! Reads inventory files, and watches them from a separate thread.

mod file;
mod watch;

pub use file::{CONFIRMATION_SUFFIX, ReadError, read_file};
pub use watch::{InventoryWatcher, Update, confirm};
