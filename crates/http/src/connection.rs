//! A connection to a backend or to the discovery service, and one request and response on it.

use crate::body::RequestBody;
use crate::limits::{MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES};
use crate::response_timing::{HeldResponse, NextStep, STALL_SUSPECTED_AFTER, STALL_TIMEOUT};
use crate::upload::{Upload, UploadEnd};
use bytes::{Bytes, BytesMut};
use dewpier_operate::metrics::AttemptCounter;
use gannetproxy::Outcome;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// Interval at which a response that has not started is checked.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// When a byte of the current response was last received.
#[derive(Clone, Default)]
struct LastReceived(Arc<Mutex<Option<Instant>>>);

impl LastReceived {
    fn set(&self, at: Option<Instant>) {
        if let Ok(mut last_received) = self.0.lock() {
            *last_received = at;
        }
    }

    fn is_set(&self) -> bool {
        self.0.lock().is_ok_and(|last_received| last_received.is_some())
    }

    fn get(&self) -> Option<Instant> {
        self.0.lock().ok().and_then(|last_received| *last_received)
    }

    /// Returns once nothing has arrived for `timeout` since the last byte of a response that has started.
    async fn wait_until_stalled(&self, timeout: Duration) {
        loop {
            let stalled_at = self.get().map(|at| at + timeout);
            if stalled_at.is_some_and(|at| Instant::now() >= at) {
                return;
            }
            tokio::time::sleep_until(stalled_at.unwrap_or(Instant::now() + STALL_CHECK_INTERVAL)).await;
        }
    }
}

/// How long the last byte of a request is held back.
///
/// A backend starts a request when its last byte arrives. A connection that breaks earlier, because the
/// backend closed or reset it, has not run the request, so that another connection may be used.
pub const LAST_BYTE_DELAY: Duration = Duration::from_millis(1);

/// The transmission state of the current request.
#[derive(Default)]
struct RequestTransmission {
    /// All bytes have been sent.
    sent: Cell<bool>,
    /// Counts the attempt once it has been sent, if set.
    attempt_counter: Cell<Option<AttemptCounter>>,
    /// The progress of the request body, if it is streamed.
    upload: RefCell<Option<Upload>>,
    /// Bytes received before the request is sent are an error, as they belong to an earlier request.
    reject_early_data: Cell<bool>,
}

impl RequestTransmission {
    fn begin(&self, attempt_counter: Option<AttemptCounter>, upload: Option<Upload>, reused: bool) {
        self.reject_early_data.set(reused && upload.is_none());
        self.upload.replace(upload);
        self.sent.set(false);
        self.attempt_counter.set(attempt_counter);
    }

    /// Returns whether received bytes invalidate the connection at this point.
    fn rejects_early_data(&self) -> bool {
        self.reject_early_data.get() && !self.sent.get()
    }

    /// Returns whether more of the request body is to come.
    fn is_upload_in_progress(&self) -> bool {
        self.upload.borrow().as_ref().is_some_and(|upload| !upload.is_complete())
    }

    fn mark_sent(&self) {
        self.sent.set(true);
        // The counter is removed, because a request may be flushed repeatedly.
        self.attempt_counter.take().into_iter().for_each(|attempts| attempts.increment());
    }
}

/// A socket that records when bytes were received and holds back the last byte of a request.
struct DelayedStream {
    stream: TcpStream,
    last_received: LastReceived,
    transmission: Rc<RequestTransmission>,
    held_byte: Option<u8>,
    /// Fires when the held byte may be sent.
    hold_timer: Pin<Box<Sleep>>,
}

impl DelayedStream {
    /// Writes the held byte, if any.
    fn poll_held_byte(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Some(byte) = self.held_byte {
            ready!(Pin::new(&mut self.stream).poll_write(cx, &[byte]))?;
            self.held_byte = None;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for DelayedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.last_received.set(Some(Instant::now()));
        }
        read
    }
}

impl AsyncWrite for DelayedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        // More data follows, so that the held byte is not the last one.
        ready!(self.poll_held_byte(cx))?;
        let Some((last, rest)) = data.split_last() else {
            return Poll::Ready(Ok(0));
        };
        if !rest.is_empty() {
            let written = ready!(Pin::new(&mut self.stream).poll_write(cx, rest))?;
            if written < rest.len() {
                return Poll::Ready(Ok(written));
            }
        }
        self.held_byte = Some(*last);
        self.hold_timer.as_mut().reset(Instant::now() + LAST_BYTE_DELAY);
        Poll::Ready(Ok(data.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.held_byte.is_some() && self.transmission.is_upload_in_progress() {
            ready!(self.poll_held_byte(cx))?;
        } else if self.held_byte.is_some() {
            ready!(self.hold_timer.as_mut().poll(cx));
            if self.transmission.rejects_early_data() && self.last_received.is_set() {
                return Poll::Ready(Err(io::Error::other(
                    "the backend sent data before the request was complete",
                )));
            }
            ready!(self.poll_held_byte(cx))?;
            self.transmission.mark_sent();
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// An HTTP/1 connection and the task that drives it. I/O happens only while the owner waits on the
/// connection, so that dropping it ends both.
pub struct Connection {
    sender: http1::SendRequest<RequestBody>,
    driver: ConnectionDriver,
    last_received: LastReceived,
    transmission: Rc<RequestTransmission>,
}

struct ConnectionDriver {
    connection: Pin<Box<http1::Connection<TokioIo<DelayedStream>, RequestBody>>>,
    ended: bool,
}

/// The error of hyper for a request that got no response.
pub type SendError = hyper::client::conn::TrySendError<Request<RequestBody>>;

/// Why a request got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// The last byte was not sent.
    Unsent,
    /// The request was sent, and the connection failed, closed or stalled, or the response was invalid.
    NoReply,
    /// The request was sent, and no response arrived in time.
    ReplyTimeout,
    /// The client stopped sending the request.
    ClientStalled,
}

impl ExchangeError {
    /// Returns the outcome of the attempt. Until the last byte of a request is sent it can't have run.
    /// Afterwards it may have run, whatever happens to the connection.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Unsent => Outcome::NoConnection,
            Self::NoReply => Outcome::Reset,
            Self::ReplyTimeout => Outcome::Timeout,
            Self::ClientStalled => Outcome::NeverSent,
        }
    }
}

/// A response to a request.
pub enum BackendReply {
    /// The whole response.
    Buffered(Parts, Bytes),
    /// The head, the bytes received so far, and the rest of a body that is too long to buffer.
    Streamed(Parts, Bytes, Incoming),
}

/// Returns once a streamed request body or the response to it is not waited for any more. Never returns for other
/// requests.
async fn wait_for_upload_end(upload: Option<&Upload>) -> UploadEnd {
    match upload {
        Some(upload) => upload.wait_for_end().await,
        None => std::future::pending().await,
    }
}

/// How a request is sent and its response is received.
pub struct ExchangeContext<'a> {
    /// Counts the request once it is sent.
    pub attempt_counter: Option<AttemptCounter>,
    /// The progress of a streamed request body.
    pub upload: Option<Upload>,
    /// The connection has carried other requests.
    pub is_reused: bool,
    /// When the response must have begun to be passed on, if its request body is not streamed.
    pub deadline: Instant,
    /// Whether a response of this status may be passed on before it is whole.
    pub is_streamable: &'a dyn Fn(StatusCode) -> bool,
    /// Called if the response seems to have stalled.
    pub report_stall: &'a dyn Fn(),
}

/// Connects to `address`.
pub async fn connect(address: SocketAddr, connect_timeout: Duration) -> io::Result<Connection> {
    let stream = tokio::time::timeout(connect_timeout, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let last_received = LastReceived::default();
    let transmission = Rc::new(RequestTransmission::default());
    let hold_timer = Box::pin(tokio::time::sleep(Duration::ZERO));
    let stream = DelayedStream {
        stream,
        last_received: last_received.clone(),
        transmission: transmission.clone(),
        held_byte: None,
        hold_timer,
    };
    // Bounds the size of a response head.
    let builder = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream));
    let (sender, connection) = builder.await.map_err(io::Error::other)?;
    Ok(Connection {
        sender,
        driver: ConnectionDriver { connection: Box::pin(connection), ended: false },
        last_received,
        transmission,
    })
}

impl Connection {
    /// Waits for `future` while driving the connection. Returns `None` if the connection ends first.
    pub async fn drive<F: Future>(&mut self, future: F) -> Option<F::Output> {
        self.driver.drive(future).await
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Option<Result<Response<Incoming>, SendError>> {
        self.driver.drive(self.sender.try_send_request(request)).await
    }

    /// Sends a request and waits for the response: its whole body, or its start if the body is too long to
    /// buffer or arrives slowly.
    ///
    /// A response that stalls or has ambiguous framing is an error. On a connection that was reused, bytes
    /// received before the request was sent belong to an earlier request and are an error too.
    pub async fn exchange(
        &mut self,
        request: Request<RequestBody>,
        context: ExchangeContext<'_>,
    ) -> Result<BackendReply, ExchangeError> {
        self.last_received.set(None);
        let ExchangeContext { attempt_counter, upload, is_reused, .. } = &context;
        self.transmission.begin(attempt_counter.clone(), upload.clone(), *is_reused);
        let transmission = self.transmission.clone();
        let upload = upload.clone();
        tokio::select! {
            reply = self.receive(request, &context) => reply,
            end = wait_for_upload_end(upload.as_ref()) => Err(match end {
                UploadEnd::ClientStalled => ExchangeError::ClientStalled,
                UploadEnd::AnswerDue if transmission.sent.get() => ExchangeError::ReplyTimeout,
                // A backend begins a request with its last byte.
                UploadEnd::AnswerDue => ExchangeError::Unsent,
            }),
        }
    }

    async fn receive(
        &mut self,
        request: Request<RequestBody>,
        context: &ExchangeContext<'_>,
    ) -> Result<BackendReply, ExchangeError> {
        let (head, body) = self.receive_head(request).await?.into_parts();
        let has_ambiguous_length =
            [TRANSFER_ENCODING, CONTENT_LENGTH].iter().all(|n| head.headers.contains_key(n));
        if has_ambiguous_length || head.status.is_informational() {
            return Err(ExchangeError::NoReply);
        }
        self.receive_body(head, body, context).await
    }

    /// Sends a request and waits for the head of its final response.
    async fn receive_head(
        &mut self,
        mut request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let (last_received, transmission) = (self.last_received.clone(), self.transmission.clone());
        // Informational responses may arrive long before the final one.
        let informational_reset = last_received.clone();
        hyper::ext::on_informational(&mut request, move |_| informational_reset.set(None));
        let response = tokio::select! {
            response = self.send(request) => response,
            () = last_received.wait_until_stalled(STALL_TIMEOUT) => return Err(ExchangeError::NoReply),
        };
        match response {
            Some(Ok(_)) if transmission.rejects_early_data() => Err(ExchangeError::Unsent),
            Some(Ok(response)) => Ok(response),
            // The connection ended before the request was sent.
            _ if !transmission.sent.get() => Err(ExchangeError::Unsent),
            _ => Err(ExchangeError::NoReply),
        }
    }

    /// Receives a body, until it is whole or is to be passed on as it arrives.
    async fn receive_body(
        &mut self,
        head: Parts,
        mut body: Incoming,
        context: &ExchangeContext<'_>,
    ) -> Result<BackendReply, ExchangeError> {
        let head_at = Instant::now();
        let last_received = self.last_received.clone();
        let length = body.size_hint().exact();
        let mut held = HeldResponse {
            is_streamable: (context.is_streamable)(head.status),
            is_long: length.map(|length| length > MAX_BUFFERED_BODY_BYTES as u64),
            head_at,
            body_at: None,
            last_byte_at: head_at,
        };
        let capacity = body.size_hint().lower().min(MAX_BUFFERED_BODY_BYTES as u64) as usize;
        let mut received = BytesMut::with_capacity(capacity);
        let mut is_stall_reported = false;
        loop {
            let now = Instant::now();
            held.last_byte_at = last_received.get().unwrap_or(head_at).max(head_at);
            let deadline = context.upload.as_ref().map_or(context.deadline, |upload| upload.due(now));
            let wait_until = match held.next_step(now, deadline) {
                NextStep::GiveUp => return Err(ExchangeError::NoReply),
                NextStep::Stream => return Ok(BackendReply::Streamed(head, received.freeze(), body)),
                NextStep::WaitUntil(at) => at,
            };
            let suspected_at = held.last_byte_at + STALL_SUSPECTED_AFTER;
            if now >= suspected_at && !std::mem::replace(&mut is_stall_reported, true) {
                (context.report_stall)();
            }
            let wake_at = if is_stall_reported { wait_until } else { wait_until.min(suspected_at) };
            let frame = tokio::select! {
                frame = self.drive(body.frame()) => frame,
                () = tokio::time::sleep_until(wake_at) => continue,
            };
            match frame {
                Some(Some(Ok(frame))) => received.extend_from_slice(&frame.into_data().unwrap_or_default()),
                Some(None) => return Ok(BackendReply::Buffered(head, received.freeze())),
                _ => return Err(ExchangeError::NoReply),
            }
            if received.len() > MAX_BUFFERED_BODY_BYTES {
                return Ok(BackendReply::Streamed(head, received.freeze(), body));
            }
            if !received.is_empty() {
                held.body_at.get_or_insert_with(Instant::now);
            }
        }
    }

    /// Reads the next chunk of a streamed response. Returns `None` at the end of the body.
    pub async fn read_chunk(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, ExchangeError> {
        match self.drive(body.frame()).await {
            Some(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
            Some(None) => Ok(None),
            _ => Err(ExchangeError::NoReply),
        }
    }

    /// Returns whether any byte of the response to the last request was received.
    pub fn has_received_data(&self) -> bool {
        self.last_received.is_set()
    }

    /// Returns the connection if it can take another request and the backend has not closed it. Doesn't wait,
    /// so that the response isn't delayed.
    pub fn into_reusable(mut self) -> Option<Self> {
        self.driver.poll(&mut Context::from_waker(Waker::noop()));
        (!self.driver.ended && self.sender.is_ready()).then_some(self)
    }
}

impl ConnectionDriver {
    fn poll(&mut self, cx: &mut Context<'_>) {
        // The end is recorded, because the sender still reports that it is ready afterwards.
        self.ended = self.ended || self.connection.as_mut().poll(cx).is_ready();
    }

    async fn drive<F: Future>(&mut self, future: F) -> Option<F::Output> {
        let mut future = pin!(future);
        std::future::poll_fn(|cx| {
            self.poll(cx);
            match future.as_mut().poll(cx) {
                Poll::Ready(output) => Poll::Ready(Some(output)),
                Poll::Pending if self.ended => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            }
        })
        .await
    }
}
