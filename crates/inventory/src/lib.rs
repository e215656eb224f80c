//! Inventories: lists of backends as spreadsheets and configuration tools keep them.
//!
//! [`read`] turns the bytes of a file into a checked [`Inventory`], or into one [`InventoryError`] that
//! says where, what was expected and what was found. It does no I/O and keeps nothing between
//! calls: the same bytes and [`Options`] give the same result. A file is taken whole or not at all.
//! [`reload`] decides when a file that changes is read and what of it is taken, without I/O too;
//! [`io`] is the thin part that touches files.
//!
//! Four forms are read: CSV (RFC 4180), Ansible's YAML inventories, Prometheus' `file_sd` target
//! groups, and a plain YAML list of nodes. JSON is read as the YAML that it is.
//!
//! Bounds: a file holds at most [`Options::max_bytes`] bytes and [`Options::max_nodes`] nodes, YAML
//! is nested at most 64 deep and expands to at most 16 values a permitted node, aliases included, and a
//! line of CSV holds at most 64 KiB;
//! what goes beyond is refused. Reading CSV takes about 250 bytes a node beside the text, Ansible's
//! form 700, and YAML 200 bytes a value, as long as it is read.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod address;
mod collect;
mod encoding;
mod error;
mod fields;
mod formats;
pub mod io;
pub mod reload;
mod yaml;

pub use address::{Address, Host};
pub use encoding::Encoding;
pub use error::{InventoryError, Position, Problem};
pub use formats::{Format, read};

use std::sync::Arc;

/// How a file is to be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Its form; found out from the file's name and text if it is not said.
    pub format: Option<Format>,
    /// Its encoding. If it is not said, the byte order mark tells, and without one it is UTF-8:
    /// a single-byte encoding is never guessed.
    pub encoding: Option<Encoding>,
    /// Of an Ansible inventory, the group whose hosts are wanted (with those of its children).
    pub group: Option<String>,
    /// The port of nodes that state none.
    pub default_port: Option<u16>,
    /// The most bytes that a file may hold.
    pub max_bytes: usize,
    /// The most nodes that it may list.
    pub max_nodes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            format: None,
            encoding: None,
            group: None,
            default_port: None,
            max_bytes: 16 << 20,
            max_nodes: 100_000,
        }
    }
}

/// A list that was read whole and checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Inventory {
    /// The form that it was read in.
    pub format: Format,
    /// The encoding that it was read in.
    pub encoding: Encoding,
    /// Its nodes, by id.
    pub backends: Vec<Backend>,
    /// The text shows its own end: its last line is complete, or it is one closed bracket. A file
    /// cut off in the middle of its last line has no such end.
    pub has_complete_end: bool,
    /// Where it ends.
    pub end: Position,
    /// Columns or keys that mean nothing here and were passed over.
    pub ignored_fields: Vec<String>,
}

/// One node.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Its name: 1 to 253 bytes, no control characters, no white space at its ends.
    pub id: String,
    /// Where it listens.
    pub address: Address,
    /// Its zone; empty if none is stated.
    pub zone: Arc<str>,
    /// Its cell; 0 if none is stated.
    pub cell: u32,
    /// Its size beside the others': finite, not below 0; 1 if none is stated. Nothing new goes to
    /// a node of weight 0.
    pub weight: f64,
    /// Whether it takes requests.
    pub state: State,
    /// Where the file names it.
    pub at: Position,
}

/// Whether a node takes requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// It does.
    #[default]
    Serving,
    /// It completes what it has, and gets nothing new.
    Draining,
}

impl State {
    /// Its word in files.
    pub fn name(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Draining => "draining",
        }
    }
}
