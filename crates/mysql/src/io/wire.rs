//! Reads and writes packets on a socket.

use super::stall;
use crate::packet::{FrameError, PacketReader, write_packet};
use bytes::BytesMut;
use socket2::SockRef;
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;

/// Bytes that the system holds unsent for a peer.
const MAX_UNSENT_BYTES: u32 = 64 << 10;
/// Bytes requested from the socket at a time.
const READ_BYTES: usize = 16 << 10;
/// How often a disconnect is checked for while received bytes are unread.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why no packet was received.
#[derive(Debug, Error)]
pub(super) enum ReceiveError {
    /// The connection broke or was closed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The frames violate the protocol.
    #[error("{0}")]
    Frame(#[from] FrameError),
}

/// One end of a connection.
pub(super) struct PacketStream {
    stream: TcpStream,
    buffer: BytesMut,
    reader: PacketReader,
}

impl PacketStream {
    /// Wraps a connection from which packets of at most `max_bytes` are read.
    pub fn new(stream: TcpStream, max_bytes: usize) -> Self {
        // The connection works without these. The limit lets a write that completes show that the peer takes bytes.
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
        Self { stream, buffer: BytesMut::new(), reader: PacketReader::new(max_bytes) }
    }

    /// Changes the longest packet that is read.
    pub fn set_max_bytes(&mut self, max_bytes: usize) {
        self.reader.set_max_bytes(max_bytes);
    }

    /// Sets the sequence number of the next frame.
    pub fn set_sequence(&mut self, sequence: u8) {
        self.reader.set_sequence(sequence);
    }

    /// The sequence number of the next frame.
    pub fn sequence(&self) -> u8 {
        self.reader.sequence()
    }

    /// Reads the next packet. Cancel safe: what was read stays in the buffer.
    pub async fn next_packet(&mut self) -> Result<BytesMut, ReceiveError> {
        loop {
            if let Some(packet) = self.reader.next_packet(&mut self.buffer)? {
                return Ok(packet);
            }
            self.fill_buffer().await?;
        }
    }

    /// Reads the next packet, with an error once no byte arrives for `stall_timeout`.
    pub async fn next_packet_within(&mut self, stall_timeout: Duration) -> Result<BytesMut, ReceiveError> {
        loop {
            if let Some(packet) = self.reader.next_packet(&mut self.buffer)? {
                return Ok(packet);
            }
            stall::within(stall_timeout, self.fill_buffer()).await?;
        }
    }

    async fn fill_buffer(&mut self) -> io::Result<()> {
        self.buffer.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Waits until a part of the next packet has arrived, or the peer has disconnected.
    pub async fn wait_readable(&self) {
        if self.buffer.is_empty() {
            let _ = self.stream.peek(&mut [0]).await; // an error is reported by the next read
        }
    }

    /// Writes a packet with the next sequence number.
    pub async fn send_packet(&mut self, payload: &[u8]) -> io::Result<()> {
        let mut out = BytesMut::with_capacity(payload.len() + 64);
        let next_sequence = write_packet(&mut out, payload, self.reader.sequence());
        self.reader.set_sequence(next_sequence);
        self.stream.write_all(&out).await
    }

    /// Writes a packet as [`Self::send_packet`], with an error once the peer takes no byte for `stall_timeout`.
    pub async fn send_packet_within(&mut self, payload: &[u8], stall_timeout: Duration) -> io::Result<()> {
        let mut out = BytesMut::with_capacity(payload.len() + 64);
        let next_sequence = write_packet(&mut out, payload, self.reader.sequence());
        self.reader.set_sequence(next_sequence);
        self.send_frames_within(&out, stall_timeout).await
    }

    /// Writes frames unchanged, with an error once the peer takes no byte for `stall_timeout`.
    pub async fn send_frames_within(&mut self, frames: &[u8], stall_timeout: Duration) -> io::Result<()> {
        let mut unsent = frames;
        while !unsent.is_empty() {
            let written = stall::within(stall_timeout, self.stream.write(unsent)).await?;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            unsent = &unsent[written..];
        }
        Ok(())
    }

    /// Whether nothing was received and the peer has not closed. Between two exchanges anything else makes the connection
    /// unusable.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [0];
        let no_data =
            matches!(self.stream.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        no_data && self.buffer.is_empty()
    }

    /// Waits until the peer has disconnected, even if bytes that it sent before are unread.
    pub async fn wait_for_disconnect(&self) {
        loop {
            match self.stream.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => {}
                _ => return,
            }
            match self.stream.peek(&mut [0]).await {
                Ok(1..) => tokio::time::sleep(DISCONNECT_POLL_INTERVAL).await, // readiness does not report a close behind unread bytes
                _ => return,
            }
        }
    }

    /// Shuts down the sending side, so that the peer reads what was written last before the close.
    pub async fn shutdown(mut self) {
        let _ = self.stream.shutdown().await; // the connection is dropped either way
    }
}
