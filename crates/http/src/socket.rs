//! The socket of a client connection.
//!
//! While a request waits for its answer, the socket reads ahead, so that a disconnected client is noticed
//! even behind unread bytes. On shutdown it drains the input, so that the last response arrives.

use crate::clients::ClientConnection;
use bytes::{Buf, BytesMut};
use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// Largest number of bytes that are read ahead and kept for the next request. Any more are discarded and the
/// connection ends with the current response, because the next request is incomplete.
pub const MAX_READ_AHEAD_BYTES: usize = 16 << 10;
/// Largest number of bytes of a streamed request body that are read ahead while its backend takes no more.
pub const MAX_UPLOAD_READ_AHEAD_BYTES: usize = 32 << 10;
/// How long input is drained after the write side was shut down.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest number of bytes that are drained. Closing a socket with unread input would make the kernel discard
/// the response.
const MAX_DISCARDED_BYTES: usize = 512 << 10;
/// Number of bytes per read.
const READ_CHUNK_BYTES: usize = 4096;

struct SocketState {
    stream: TcpStream,
    client: Rc<ClientConnection>,
    /// Bytes that were read ahead and not yet passed on.
    read_ahead: BytesMut,
    /// More was received than is kept, so that no request can follow `read_ahead`.
    read_ahead_full: bool,
    linger: Option<Pin<Box<Sleep>>>,
    discarded_bytes: usize,
}

/// A client socket as the HTTP library reads and writes it.
pub struct ClientSocket(Rc<RefCell<SocketState>>);

/// The same socket as the task of the connection watches it.
pub struct DisconnectWatch(Rc<RefCell<SocketState>>);

impl ClientSocket {
    /// Creates the socket of a connection and the watch on it.
    pub fn new(stream: TcpStream, client: Rc<ClientConnection>) -> (Self, DisconnectWatch) {
        let state = SocketState {
            stream,
            client,
            read_ahead: BytesMut::new(),
            read_ahead_full: false,
            linger: None,
            discarded_bytes: 0,
        };
        let state = Rc::new(RefCell::new(state));
        (Self(state.clone()), DisconnectWatch(state))
    }
}

impl DisconnectWatch {
    /// Is ready once the client has disconnected while its request waits for an answer. Must be polled by the
    /// task that polls the socket.
    pub fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.0.borrow_mut().poll_disconnected(cx)
    }

    /// Returns whether more was read ahead than is kept, so that the connection must end with the response.
    pub fn is_read_ahead_full(&self) -> bool {
        self.0.borrow().read_ahead_full
    }
}

impl SocketState {
    fn poll_disconnected(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; READ_CHUNK_BYTES];
        while self.client.is_awaiting_answer() {
            let mut buffer = ReadBuf::new(&mut bytes);
            if ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer)).is_err() {
                return Poll::Ready(());
            }
            let read = buffer.filled();
            if read.is_empty() {
                return Poll::Ready(());
            }
            self.client.record_read(read);
            self.read_ahead_full |= self.read_ahead.len() + read.len() > MAX_READ_AHEAD_BYTES;
            if !self.read_ahead_full {
                self.read_ahead.extend_from_slice(read);
            }
        }
        // The answer to a request is due by its last byte, and a client that has gone needs none: both are seen only
        // if the body is read although its backend takes no more.
        while self.client.is_uploading() && self.read_ahead.len() < MAX_UPLOAD_READ_AHEAD_BYTES {
            let free = MAX_UPLOAD_READ_AHEAD_BYTES - self.read_ahead.len();
            let mut buffer = ReadBuf::new(&mut bytes[..free.min(READ_CHUNK_BYTES)]);
            let Poll::Ready(read) = Pin::new(&mut self.stream).poll_read(cx, &mut buffer) else {
                if self.client.input().is_certainly_incomplete(self.read_ahead.len()) {
                    self.client.input().record_waiting(Instant::now());
                }
                return Poll::Pending;
            };
            if read.is_err() || buffer.filled().is_empty() {
                return Poll::Ready(());
            }
            self.client.record_read(buffer.filled());
            self.read_ahead.extend_from_slice(buffer.filled());
        }
        Poll::Pending
    }

    fn poll_read(&mut self, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if !self.read_ahead.is_empty() {
            let size = self.read_ahead.len().min(buffer.remaining());
            buffer.put_slice(&self.read_ahead[..size]);
            self.read_ahead.advance(size);
            if self.read_ahead.is_empty() {
                self.read_ahead = BytesMut::new();
            }
            return Poll::Ready(Ok(()));
        }
        if self.read_ahead_full {
            return Poll::Ready(Ok(())); // end of the readable input
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.client.record_read(&buffer.filled()[before..]);
        }
        if read.is_pending() {
            // The HTTP library reads only if it holds no more of the body.
            self.client.input().record_waiting(Instant::now());
        }
        read
    }

    fn poll_shutdown(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            self.linger = Some(Box::pin(tokio::time::sleep(LINGER_TIMEOUT)));
        }
        // Closing a socket with unread input resets it, and the response may be lost.
        let mut bytes = [0; READ_CHUNK_BYTES];
        while self.discarded_bytes < MAX_DISCARDED_BYTES {
            let mut buffer = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(cx, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    self.discarded_bytes += buffer.filled().len();
                }
                Poll::Ready(_) => return Poll::Ready(Ok(())),
                // An evicted connection drains only the input that has already arrived.
                Poll::Pending if self.client.is_evicted() => return Poll::Ready(Ok(())),
                Poll::Pending => {
                    let elapsed = self.linger.as_mut().map(|linger| linger.as_mut().poll(cx));
                    return elapsed.unwrap_or(Poll::Ready(())).map(Ok);
                }
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.0.borrow_mut().poll_read(cx, buffer)
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(data)])
    }

    // The HTTP library would copy each response into a buffer that the connection keeps.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.0.borrow_mut();
        let written = Pin::new(&mut state.stream).poll_write_vectored(cx, parts);
        if matches!(written, Poll::Ready(Ok(n)) if n > 0) {
            state.client.record_write();
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.borrow_mut().poll_shutdown(cx)
    }
}
