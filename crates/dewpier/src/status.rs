//! What a forwarder goes by, told on a socket of the file system to those who may open it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{UnixListener, UnixStream};

/// Whoever asks must take the answer within this.
const TAKEN_WITHIN: Duration = Duration::from_secs(2);
/// The longest answer that is read, in bytes.
const MOST_SHOWN: u64 = 16 << 20;

/// What a forwarder goes by.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shown {
    /// Its name.
    pub forwarder: String,
    /// `planners`, `own watch`, or `last plan` where there is nothing better.
    pub by: String,
    /// The version of the plan: term and generation.
    pub version: Option<String>,
    /// How long ago that came, in milliseconds.
    pub plan_age_ms: Option<u64>,
    /// For how long it may still go by it, in milliseconds; none where there is no limit.
    pub lease_left_ms: Option<u64>,
    /// Messages that were refused, by reason.
    pub refused: BTreeMap<String, u64>,
    /// The nodes.
    pub nodes: Vec<ShownNode>,
}

/// One of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShownNode {
    /// Its name.
    pub id: String,
    /// Where it listens.
    pub address: String,
    /// It gets nothing new.
    pub draining: bool,
    /// What it would usually be sent from here, in requests a second, where it is cold.
    pub usual: Option<f64>,
}

/// Listens there, for the owner of the process alone. A socket that nobody answers on is replaced.
pub fn listen(path: &Path) -> io::Result<UnixListener> {
    if std::os::unix::net::UnixStream::connect(path).is_ok() {
        return Err(io::Error::other(format!("{}: another process listens there", path.display())));
    }
    match std::fs::symlink_metadata(path) {
        Ok(found) if std::os::unix::fs::FileTypeExt::is_socket(&found.file_type()) => {
            std::fs::remove_file(path)?
        }
        Ok(_) => {
            return Err(io::Error::other(format!(
                "{}: expected a socket, found another file",
                path.display()
            )));
        }
        Err(_) => {}
    }
    let listener = UnixListener::bind(path)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
    Ok(listener)
}

/// Answers one who asks.
pub async fn answer(mut stream: UnixStream, shown: Shown) {
    let Ok(text) = serde_json::to_vec(&shown) else { return };
    // One that takes nothing is let go.
    let _ = tokio::time::timeout(TAKEN_WITHIN, stream.write_all(&text)).await;
}

/// Asks the forwarder that listens there.
pub fn ask(path: &Path) -> io::Result<Shown> {
    let stream = std::os::unix::net::UnixStream::connect(path)?;
    stream.set_read_timeout(Some(TAKEN_WITHIN))?;
    let mut text = Vec::new();
    stream.take(MOST_SHOWN).read_to_end(&mut text)?;
    serde_json::from_slice(&text).map_err(io::Error::other)
}
