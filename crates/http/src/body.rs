//! Request and response bodies.
//!
//! A body of up to 64 KiB is buffered; a longer one is streamed. Streaming keeps little in memory: a chunk is
//! read only when the other side can take it.

use crate::clients::ClientConnection;
use crate::limits::Permit;
use crate::upload::Upload;
use bytes::Bytes;
use dewpier_operate::metrics::{OpenRequest, RequestOutcome};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

/// Chunks of a response that may wait for the client.
const MAX_PENDING_CHUNKS: usize = 2;

/// A request body that has started to arrive and is streamed to a backend.
#[derive(Debug)]
pub struct PartialBody {
    /// The bytes that have arrived.
    pub received: Bytes,
    /// The rest of the body.
    pub remaining: Incoming,
    /// The share of the memory budget that the body uses.
    pub permit: Permit,
}

/// A request body on its way to a backend.
#[derive(Debug)]
pub enum RequestBody {
    /// The whole body.
    Buffered(Full<Bytes>),
    /// A body that is streamed, and its progress.
    Streamed(PartialBody, Upload),
}

impl Default for RequestBody {
    fn default() -> Self {
        Self::Buffered(Full::default())
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut *self {
            Self::Buffered(buffered) => {
                Pin::new(buffered).poll_frame(cx).map(|f| f.map(|f| f.map_err(|never| match never {})))
            }
            Self::Streamed(partial, upload) => {
                if !partial.received.is_empty() {
                    return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut partial.received)))));
                }
                loop {
                    let frame = match ready!(Pin::new(&mut partial.remaining).poll_frame(cx)) {
                        Some(Ok(frame)) => frame,
                        Some(Err(error)) => return Poll::Ready(Some(Err(error))),
                        None => {
                            upload.mark_complete();
                            return Poll::Ready(None);
                        }
                    };
                    // Trailers belong to the client's connection and are not forwarded.
                    let Ok(data) = frame.into_data() else { continue };
                    upload.input().record_handed_on(data.len());
                    if upload.input().remaining_bytes() == Some(0) {
                        upload.mark_complete();
                    }
                    return Poll::Ready(Some(Ok(Frame::data(data))));
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(buffered) => buffered.is_end_stream(),
            Self::Streamed(partial, upload) => {
                partial.received.is_empty() && upload.input().remaining_bytes() == Some(0)
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(buffered) => buffered.size_hint(),
            Self::Streamed(partial, upload) => match upload.input().remaining_bytes() {
                Some(remaining) => SizeHint::with_exact(partial.received.len() as u64 + remaining),
                None => SizeHint::default(),
            },
        }
    }
}

/// A chunk of a streamed response. A response that is cut off ends without [`Chunk::End`].
enum Chunk {
    Data(Bytes),
    End,
}

/// The body of a backend response.
#[derive(Debug)]
pub enum ResponseBody {
    /// The whole body.
    Buffered(Bytes),
    /// A body that is streamed.
    Streamed(ResponseStream),
}

/// The receiving end of a streamed response body, on the side of the client.
pub struct ResponseStream {
    received: Bytes,
    chunks: mpsc::Receiver<Chunk>,
    remaining_bytes: Option<u64>,
}

impl std::fmt::Debug for ResponseStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Passed").field("left", &self.remaining_bytes).finish_non_exhaustive()
    }
}

/// The sending end of a streamed response body, on the side of the backend.
pub struct ResponseSender(mpsc::Sender<Chunk>);

impl ResponseSender {
    /// Creates both ends of a response body that starts with `received` and has `remaining_bytes` more, if
    /// known.
    pub fn channel(received: Bytes, remaining_bytes: Option<u64>) -> (Self, ResponseStream) {
        let (sender, chunks) = mpsc::channel(MAX_PENDING_CHUNKS);
        (Self(sender), ResponseStream { received, chunks, remaining_bytes })
    }

    /// Sends a chunk once the client can take it. Returns false if the client has disconnected.
    pub async fn send_chunk(&self, data: Bytes) -> bool {
        self.0.send(Chunk::Data(data)).await.is_ok()
    }

    /// Marks the end of the body.
    pub async fn finish(self) {
        let _ = self.0.send(Chunk::End).await; // fails if the client has disconnected
    }

    /// Waits until the client has disconnected.
    pub async fn client_disconnected(&self) {
        self.0.closed().await;
    }
}

/// A response body on its way to a client.
pub enum ClientBody {
    /// The whole body.
    Buffered(Full<Bytes>),
    /// A body that is streamed. The request ends with it.
    Streamed(Box<StreamedResponse>),
}

/// A streamed response and the request that ends with it.
pub struct StreamedResponse {
    body: ResponseStream,
    accepted_request: Option<OpenRequest>,
    client: Rc<ClientConnection>,
}

impl ClientBody {
    /// Creates the streamed response to a request of `client`.
    pub fn streamed(
        body: ResponseStream,
        accepted_request: OpenRequest,
        client: Rc<ClientConnection>,
    ) -> Self {
        client.start_response();
        Self::Streamed(Box::new(StreamedResponse { body, accepted_request: Some(accepted_request), client }))
    }
}

impl StreamedResponse {
    fn record_completed(&mut self) {
        self.accepted_request.take().into_iter().for_each(|request| request.end(RequestOutcome::Completed));
    }
}

impl Drop for StreamedResponse {
    fn drop(&mut self) {
        // A response that was cut off counts as failed when the accepted request is dropped.
        self.client.set_streaming(false);
        self.client.mark_request_answered();
    }
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let streamed = match &mut *self {
            Self::Buffered(buffered) => {
                let frame = ready!(Pin::new(buffered).poll_frame(cx));
                return Poll::Ready(frame.map(|f| f.map_err(|never| match never {})));
            }
            Self::Streamed(streamed) => streamed,
        };
        if !streamed.body.received.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut streamed.body.received)))));
        }
        match ready!(streamed.body.chunks.poll_recv(cx)) {
            Some(Chunk::Data(data)) => {
                if let Some(remaining) = &mut streamed.body.remaining_bytes {
                    *remaining = remaining.saturating_sub(data.len() as u64);
                    if *remaining == 0 {
                        streamed.record_completed();
                    }
                }
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Some(Chunk::End) => {
                streamed.record_completed();
                Poll::Ready(None)
            }
            // Closes the connection, so that the client notices the cut.
            None => Poll::Ready(Some(Err(io::Error::other("the response of the backend was cut off")))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(buffered) => buffered.is_end_stream(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(buffered) => buffered.size_hint(),
            Self::Streamed(streamed) => match streamed.body.remaining_bytes {
                Some(remaining) => SizeHint::with_exact(streamed.body.received.len() as u64 + remaining),
                None => SizeHint::default(),
            },
        }
    }
}
