//! Reads and validates inventories: lists of backends in CSV and YAML files.
//!
//! [`read`] parses the bytes of a file into an [`Inventory`], or returns one [`InventoryError`] with the
//! position, the expected and the found input. It is a pure function of the bytes and the [`Options`].
//! A file with any error is rejected as a whole.
//! [`reload`] decides when a changed file is read and whether its list is accepted, also without I/O.
//! [`io`] reads and watches the files.
//!
//! Four formats are supported: CSV (RFC 4180), Ansible's YAML inventories, Prometheus `file_sd` target
//! groups, and a plain YAML list of nodes. JSON is parsed as a subset of YAML.
//!
//! Limits: a file holds at most [`Options::max_bytes`] bytes and [`Options::max_nodes`] nodes. YAML is
//! nested at most 64 levels deep and expands to at most 16 values per permitted node, aliases included.
//! A line of CSV holds at most 64 KiB. A file over a limit is rejected. While it is read, memory use
//! is about 250 bytes per node for CSV, in addition to the text, 700 bytes per node for Ansible
//! inventories, and 200 bytes per value for other YAML.
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

/// How a file is parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The format; detected from the file's name and text if not given.
    pub format: Option<Format>,
    /// The encoding. If not given, it is taken from the byte order mark; without a mark it is UTF-8.
    /// A single-byte encoding is never guessed.
    pub encoding: Option<Encoding>,
    /// The group of an Ansible inventory to which the list is limited; its child groups are included.
    pub group: Option<String>,
    /// The port of nodes without one.
    pub default_port: Option<u16>,
    /// Maximum size of a file in bytes.
    pub max_bytes: usize,
    /// Maximum number of nodes in a file.
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

/// A complete, validated list of backends.
#[derive(Clone, Debug, PartialEq)]
pub struct Inventory {
    /// The format of the file.
    pub format: Format,
    /// The encoding of the file.
    pub encoding: Encoding,
    /// The nodes, sorted by id.
    pub backends: Vec<Backend>,
    /// Whether the text ends in a line break or in the closing bracket of the whole document. A file
    /// truncated within its last line has no such end.
    pub has_complete_end: bool,
    /// The position of the end of the text.
    pub end: Position,
    /// Unknown columns or keys, which were ignored.
    pub ignored_fields: Vec<String>,
}

/// A node of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Unique name: 1 to 253 bytes without control characters or surrounding white space.
    pub id: String,
    /// The address on which it listens.
    pub address: Address,
    /// The zone; empty if the file has none.
    pub zone: Arc<str>,
    /// The cell; 0 if the file has none.
    pub cell: u32,
    /// Relative capacity: finite and not negative; 1 if the file has none. A node of weight 0 receives
    /// no new requests.
    pub weight: f64,
    /// Whether it receives new requests.
    pub state: State,
    /// Its position in the file.
    pub at: Position,
}

/// Whether a node receives new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// It receives new requests.
    #[default]
    Serving,
    /// It completes its open requests and receives no new ones.
    Draining,
}

impl State {
    /// The name of the state in files.
    pub fn name(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Draining => "draining",
        }
    }
}
