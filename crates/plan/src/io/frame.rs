//! Reads and writes length-prefixed frames with time limits.

use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Time limit for writing a frame; a peer that does not read is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the content of a frame, which must arrive completely within `timeout`. Fails with `InvalidData` if
/// the frame is longer than `max_bytes`. Not cancel safe: partial frames are lost.
pub async fn read(
    stream: &mut (impl AsyncRead + Unpin),
    max_bytes: usize,
    timeout: Duration,
) -> io::Result<Vec<u8>> {
    let read = async {
        let mut length = [0; 4];
        stream.read_exact(&mut length).await?;
        let length = u32::from_le_bytes(length) as usize;
        if length > max_bytes {
            // The start of the next frame is unknown, so the connection must be closed.
            let message = format!("expected a frame of at most {max_bytes} bytes, found {length}");
            return Err(io::Error::new(io::ErrorKind::InvalidData, message));
        }
        let mut bytes = Vec::with_capacity(length.min(64 << 10));
        let received = stream.take(length as u64).read_to_end(&mut bytes).await?;
        if received < length { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(bytes) }
    };
    tokio::time::timeout(timeout, read).await?
}

/// Writes a frame that begins with its length.
pub async fn write(stream: &mut (impl AsyncWrite + Unpin), frame: &[u8]) -> io::Result<()> {
    let written = async {
        stream.write_all(frame).await?;
        stream.flush().await // TLS may buffer the data
    };
    tokio::time::timeout(WRITE_TIMEOUT, written).await?
}
