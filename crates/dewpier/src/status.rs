//! Reports the plan that a forwarder uses, as JSON over a Unix socket that only the owner of its process may open.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{UnixListener, UnixStream};

/// Time in which a report must be sent, and in which each read of it must succeed.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest report that is read, in bytes.
const MAX_REPORT_BYTES: u64 = 16 << 20;

/// The plan that a forwarder uses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwarderStatus {
    /// The forwarder's name.
    pub forwarder: String,
    /// The source of its list: `planners`, `own watch`, or `last plan` if neither is available.
    #[serde(rename = "by")]
    pub source: String,
    /// The version of the plan: term and generation.
    pub version: Option<String>,
    /// Time since the plan arrived, in milliseconds.
    pub plan_age_ms: Option<u64>,
    /// How much longer the plan may be used, in milliseconds; none if there is no limit.
    pub lease_left_ms: Option<u64>,
    /// Number of rejected planner messages by reason.
    #[serde(rename = "refused")]
    pub rejections: BTreeMap<String, u64>,
    /// The nodes in use.
    pub nodes: Vec<NodeStatus>,
}

/// A node that a forwarder uses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node's name.
    pub id: String,
    /// The address on which it listens.
    pub address: String,
    /// Whether it is draining and gets no new requests.
    pub draining: bool,
    /// Requests per second that this forwarder would usually send to it, if it is cold.
    #[serde(rename = "usual")]
    pub usual_rate: Option<f64>,
}

/// Listens on a Unix socket that only the owner of the process may open. Replaces a socket on which no process
/// listens.
pub fn listen(path: &Path) -> io::Result<UnixListener> {
    if std::os::unix::net::UnixStream::connect(path).is_ok() {
        return Err(io::Error::other(format!("{}: another process listens there", path.display())));
    }
    match std::fs::symlink_metadata(path) {
        Ok(metadata) if std::os::unix::fs::FileTypeExt::is_socket(&metadata.file_type()) => {
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

/// Sends the status on a connection. Errors and timeouts are ignored.
pub async fn send_status(mut stream: UnixStream, status: ForwarderStatus) {
    let Ok(text) = serde_json::to_vec(&status) else { return };
    // A client that doesn't read is disconnected.
    let _ = tokio::time::timeout(IO_TIMEOUT, stream.write_all(&text)).await;
}

/// Reads the status of the forwarder that listens at `path`.
pub fn read_status(path: &Path) -> io::Result<ForwarderStatus> {
    let stream = std::os::unix::net::UnixStream::connect(path)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    let mut text = Vec::new();
    stream.take(MAX_REPORT_BYTES).read_to_end(&mut text)?;
    serde_json::from_slice(&text).map_err(io::Error::other)
}
