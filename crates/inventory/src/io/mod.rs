//! The files themselves: reading one at once, and watching one from a thread of its own.

mod file;
mod watch;

pub use file::{CONFIRMATION_SUFFIX, ReadError, read_file};
pub use watch::{InventoryWatcher, Update, confirm};
