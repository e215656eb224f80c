//! Limits on the time for which a peer makes no progress. A peer that takes or gives bytes steadily is never cut off,
//! however long the whole takes.

use std::io;
use std::time::Duration;
use tokio::time::timeout;

/// Longest times without progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallTimeouts {
    /// Without a byte of a command that a client has begun to send.
    pub command: Duration,
    /// Without a byte of a response that a client takes.
    pub client_write: Duration,
    /// Without a byte of a streamed response that a server gives.
    pub response: Duration,
}

impl Default for StallTimeouts {
    fn default() -> Self {
        Self {
            command: Duration::from_secs(30),
            client_write: Duration::from_secs(60),
            response: Duration::from_secs(60),
        }
    }
}

/// Waits for one read or write, which is an error if it takes longer than `limit`.
pub(super) async fn within<T>(
    limit: Duration,
    operation: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    timeout(limit, operation).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}
