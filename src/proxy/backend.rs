//! Connections to backends, attempts and probes on them, and the exact outcome of each.

use super::engine::{Clock, Payload};
use super::limits::{Budget, MOST_BODY, MOST_HEAD, Permit};
use crate::{Outcome, Report, Time};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// Part of the idle limit of backends up to which a connection is used again: one that is used
/// close to the limit crosses the backend's closing, and the request on it is lost.
const REUSE_WITHIN: f64 = 0.7;

/// A connection is used again only so long after its last answer: what a backend writes behind an
/// answer comes by then, spoils the connection, and is not taken for the answer to what is sent next.
const SETTLED: Duration = Duration::from_millis(25);
/// An answer that has begun and then stands still for so long is given up as spoilt.
const STALLED: Duration = Duration::from_millis(500);
/// How often that is looked at.
const LOOK: Duration = Duration::from_millis(100);

/// When something was last heard of an answer that has begun.
#[derive(Clone, Default)]
struct Heard(Arc<Mutex<Option<Instant>>>);

impl Heard {
    fn set(&self, at: Option<Instant>) {
        if let Ok(mut heard) = self.0.lock() {
            *heard = at;
        }
    }

    /// Returns once an answer stands still.
    async fn stalled(&self) {
        let stands = || self.0.lock().is_ok_and(|h| h.is_some_and(|at| at.elapsed() >= STALLED));
        while !stands() {
            tokio::time::sleep(LOOK).await;
        }
    }
}

/// The last byte of a request is held back for so long. A backend begins a request when its last
/// byte has come, so what breaks before that has never run and may go elsewhere: guards against
/// connections that the other side has given up without a word, or resets as it accepts them.
const HELD: Duration = Duration::from_millis(1);

/// A socket that notes when something came, and holds the last byte back.
struct Line {
    stream: TcpStream,
    heard: Heard,
    /// All that was to be written has gone out.
    whole: Arc<AtomicBool>,
    held: Option<u8>,
    /// Until when it is held.
    wait: Pin<Box<Sleep>>,
}

impl Line {
    /// Writes the byte that is held, if one is.
    fn poll_held(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Some(byte) = self.held {
            ready!(Pin::new(&mut self.stream).poll_write(cx, &[byte]))?;
            self.held = None;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for Line {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.heard.set(Some(Instant::now()));
        }
        read
    }
}

impl AsyncWrite for Line {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        // What is held is not the last byte after all.
        ready!(self.poll_held(cx))?;
        let Some((last, rest)) = data.split_last() else {
            return Poll::Ready(Ok(0));
        };
        if !rest.is_empty() {
            let written = ready!(Pin::new(&mut self.stream).poll_write(cx, rest))?;
            if written < rest.len() {
                return Poll::Ready(Ok(written));
            }
        }
        self.held = Some(*last);
        self.wait.as_mut().reset(Instant::now() + HELD);
        Poll::Ready(Ok(data.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.held.is_some() {
            ready!(self.wait.as_mut().poll(cx));
            ready!(self.poll_held(cx))?;
            self.whole.store(true, Ordering::Relaxed);
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A connection and what drives it. Nothing is read or written but while its owner waits on it,
/// so that dropping it ends both at once.
pub struct Peer {
    sender: http1::SendRequest<Full<Bytes>>,
    io: Io,
    heard: Heard,
    whole: Arc<AtomicBool>,
}

struct Io {
    connection: Pin<Box<http1::Connection<TokioIo<Line>, Full<Bytes>>>>,
    ended: bool,
}

type Sent = hyper::client::conn::TrySendError<Request<Full<Bytes>>>;

/// Why there is no answer.
enum Spoilt {
    /// Its last byte has not gone out: it never ran.
    Unsent,
    /// It may have run.
    Sent,
}

/// Connects.
pub async fn connect(address: SocketAddr, within: Duration) -> io::Result<Peer> {
    let stream = tokio::time::timeout(within, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let heard = Heard::default();
    let whole = Arc::new(AtomicBool::new(false));
    let wait = Box::pin(tokio::time::sleep(Duration::ZERO));
    let line = Line { stream, heard: heard.clone(), whole: whole.clone(), held: None, wait };
    // A head without end must not grow without bound.
    let builder = http1::Builder::new().max_buf_size(MOST_HEAD).handshake(TokioIo::new(line));
    let (sender, io) = builder.await.map_err(io::Error::other)?;
    Ok(Peer { sender, io: Io { connection: Box::pin(io), ended: false }, heard, whole })
}

impl Peer {
    /// Waits for `wanted` while the connection works. None if it ends without it.
    pub async fn drive<F: Future>(&mut self, wanted: F) -> Option<F::Output> {
        self.io.drive(wanted).await
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Option<Result<Response<Incoming>, Sent>> {
        self.io.drive(self.sender.try_send_request(request)).await
    }

    /// Sends a request and waits for the answer, which must come whole and be nothing but that:
    /// one that stands still half way, or is too long, or might be read in two ways, is none.
    async fn exchange(&mut self, mut request: Request<Full<Bytes>>) -> Result<(Parts, Bytes), Spoilt> {
        let heard = self.heard.clone();
        heard.set(None);
        let whole = self.whole.clone();
        whole.store(false, Ordering::Relaxed);
        let begun_anew = heard.clone();
        // 1xx answers come ahead of the one that counts, perhaps long ahead.
        hyper::ext::on_informational(&mut request, move |_| begun_anew.set(None));
        let answered = async {
            let answer = match self.send(request).await {
                Some(Ok(answer)) => answer,
                // The connection had ended before all of it was written.
                _ if !whole.load(Ordering::Relaxed) => return Err(Spoilt::Unsent),
                _ => return Err(Spoilt::Sent),
            };
            let (head, body) = answer.into_parts();
            let double = [TRANSFER_ENCODING, CONTENT_LENGTH].iter().all(|n| head.headers.contains_key(n));
            let long = body.size_hint().lower() > MOST_BODY as u64;
            if double || long || head.status.is_informational() {
                return Err(Spoilt::Sent);
            }
            match self.drive(Limited::new(body, MOST_BODY).collect()).await {
                Some(Ok(body)) => Ok((head, body.to_bytes())),
                _ => Err(Spoilt::Sent),
            }
        };
        tokio::select! {
            answered = answered => answered,
            () = heard.stalled() => Err(Spoilt::Sent),
        }
    }

    /// It, if it can carry another request and the other side has not closed it meanwhile. Waits
    /// for nothing: an answer that has come must not be held up by its connection.
    pub fn checked(mut self) -> Option<Self> {
        self.io.poll(&mut Context::from_waker(Waker::noop()));
        (!self.io.ended && self.sender.is_ready()).then_some(self)
    }
}

impl Io {
    fn poll(&mut self, cx: &mut Context<'_>) {
        // Remembered, as the sender goes on saying that it is ready after the end: a connection
        // that the backend closed right behind its answer would be kept and used again.
        self.ended = self.ended || self.connection.as_mut().poll(cx).is_ready();
    }

    async fn drive<F: Future>(&mut self, wanted: F) -> Option<F::Output> {
        let mut wanted = pin!(wanted);
        std::future::poll_fn(|cx| {
            self.poll(cx);
            match wanted.as_mut().poll(cx) {
                Poll::Ready(output) => Poll::Ready(Some(output)),
                Poll::Pending if self.ended => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            }
        })
        .await
    }
}

struct Idle {
    peer: Peer,
    permit: Permit,
    since: Instant,
}

/// A backend, its idle connections, and when sends to it must end.
pub struct Endpoint {
    address: Cell<SocketAddr>,
    idle: RefCell<Vec<Idle>>,
    /// Set while it drains or is gone.
    last_send: Cell<Option<Time>>,
    /// The list says so, or no longer names it.
    gone: Cell<bool>,
    /// Goes up when its connections are no longer to be kept.
    era: Cell<u64>,
    budget: Rc<Budget>,
    connect_timeout: Duration,
    reuse_within: Duration,
}

impl Endpoint {
    /// A backend at `address`.
    pub fn new(address: SocketAddr, budget: Rc<Budget>, connect_timeout: Duration, idle: Duration) -> Self {
        Self {
            address: Cell::new(address),
            idle: RefCell::default(),
            last_send: Cell::new(None),
            gone: Cell::new(false),
            era: Cell::new(0),
            budget,
            connect_timeout,
            reuse_within: idle.mul_f64(REUSE_WITHIN),
        }
    }

    /// What the list now says: where it is and, if it drains or is gone, when sends must end.
    pub fn update(&self, address: SocketAddr, last_send: Option<Time>) {
        if self.address.replace(address) != address || last_send.is_some() {
            self.release();
        }
        // Hearing of the same drain again doesn't extend the grace.
        let earlier = self.last_send.get().filter(|_| last_send.is_some());
        self.last_send.set(earlier.or(last_send));
        self.gone.set(false);
    }

    /// It is gone from the list: sends must end by `last_send`.
    pub fn end(&self, last_send: Time) {
        self.update(self.address.get(), Some(last_send));
        self.gone.set(true);
    }

    /// It is gone, and its grace is over.
    pub fn forgettable(&self, clock: &Clock) -> bool {
        self.gone.get() && !self.may_send(clock)
    }

    /// Closes the idle connections, and those in use once they become idle.
    pub fn release(&self) {
        self.era.set(self.era.get() + 1);
        self.idle.borrow_mut().clear();
    }

    /// Closes connections that have been idle too long, or that the backend has closed.
    pub fn sweep(&self) {
        let fresh = |idle: Idle| {
            let Idle { peer, permit, since } = idle;
            let peer = peer.checked().filter(|_| since.elapsed() < self.reuse_within)?;
            Some(Idle { peer, permit, since })
        };
        let swept = self.idle.take().into_iter().filter_map(fresh).collect();
        self.idle.replace(swept);
    }

    /// Since when its longest idle connection has been idle.
    pub fn idle_since(&self) -> Option<Instant> {
        self.idle.borrow().first().map(|idle| idle.since)
    }

    /// Closes that connection.
    pub fn evict(&self) {
        let mut idle = self.idle.borrow_mut();
        if !idle.is_empty() {
            drop(idle.remove(0));
        }
    }

    fn may_send(&self, clock: &Clock) -> bool {
        self.last_send.get().is_none_or(|last| clock.now() < last)
    }

    /// An idle connection that has settled, the one used last, or a new one; and whether it is new.
    async fn peer(&self) -> Option<(Peer, Permit, bool)> {
        loop {
            let mut idle = self.idle.borrow_mut();
            let settled = idle.iter().rposition(|i| i.since.elapsed() >= SETTLED);
            let Some(Idle { peer, permit, since }) = settled.map(|i| idle.remove(i)) else {
                break;
            };
            if since.elapsed() < self.reuse_within
                && let Some(peer) = peer.checked()
            {
                return Some((peer, permit, false));
            }
        }
        let permit = self.budget.take(1)?;
        let peer = connect(self.address.get(), self.connect_timeout).await.ok()?;
        Some((peer, permit, true))
    }
}

/// An answer of a backend.
pub struct Served {
    /// Its body.
    pub body: Bytes,
    /// What the body is.
    pub content_type: Option<HeaderValue>,
}

/// How an attempt or probe ended.
pub struct Done {
    /// The outcome.
    pub outcome: Outcome,
    /// The answer, if it was served.
    pub served: Option<Served>,
    /// The load report that came along.
    pub report: Option<Report>,
}

impl Done {
    fn without_answer(outcome: Outcome) -> Self {
        Self { outcome, served: None, report: None }
    }
}

/// Makes one attempt. `written` is set as soon as any of the request may have gone out: from then
/// on a break may hide a request that runs, and is told as a reset.
pub async fn attempt(
    endpoint: Rc<Endpoint>,
    payload: Rc<Payload>,
    clock: Clock,
    until: Time,
    written: Rc<Cell<bool>>,
) -> Done {
    exchange(&endpoint, &clock, &written, || payload.request(until - clock.now())).await
}

/// Makes one probe of `path`.
pub async fn probe(endpoint: Rc<Endpoint>, path: &'static str, clock: Clock) -> Done {
    let request = || {
        let mut request = Request::new(Full::default());
        *request.uri_mut() = hyper::Uri::from_static(path);
        request.headers_mut().insert("host", HeaderValue::from_static("backend"));
        request
    };
    let within = 4 * endpoint.connect_timeout;
    let written = Cell::new(false);
    let probed = exchange(&endpoint, &clock, &written, request);
    tokio::time::timeout(within, probed).await.unwrap_or(Done::without_answer(Outcome::Timeout))
}

async fn exchange(
    endpoint: &Endpoint,
    clock: &Clock,
    written: &Cell<bool>,
    request: impl Fn() -> Request<Full<Bytes>>,
) -> Done {
    let era = endpoint.era.get();
    let mut again = false;
    let (peer, permit, head, body) = loop {
        let Some((mut peer, permit, new)) = endpoint.peer().await else {
            return Done::without_answer(Outcome::NoConnection);
        };
        // The news of a drain may have come while the connection was made.
        if !endpoint.may_send(clock) {
            return Done::without_answer(Outcome::NoConnection);
        }
        written.set(true);
        match peer.exchange(request()).await {
            Ok((head, body)) => break (peer, permit, head, body),
            // One that was kept may have ended meanwhile; a second new one would end again.
            Err(Spoilt::Unsent) if new && again => return Done::without_answer(Outcome::NoConnection),
            Err(Spoilt::Unsent) => {
                again = again || new;
                written.set(false);
            }
            Err(Spoilt::Sent) => return Done::without_answer(Outcome::Reset),
        }
    };
    if let Some(peer) = peer.checked()
        && endpoint.era.get() == era
    {
        endpoint.idle.borrow_mut().push(Idle { peer, permit, since: Instant::now() });
    }
    let turned_away = || head.headers.get("x-turned-away").is_some_and(|v| v == "1");
    let outcome = match head.status {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away() => Outcome::Full,
        _ => Outcome::Error,
    };
    let report = head.headers.get("x-pressure").and_then(|v| report(v.as_bytes()));
    let content_type = head.headers.get(CONTENT_TYPE).cloned();
    let served = (outcome == Outcome::Served).then_some(Served { body, content_type });
    Done { outcome, served, report }
}

/// Reads a load report; what the decisions can't use is skipped.
pub fn report(json: &[u8]) -> Option<Report> {
    let fields: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(json).ok()?;
    let service = fields.get("avg_ms").or(fields.get("latency_ms")).and_then(|v| v.as_f64());
    Some(Report { service: service.filter(|ms| *ms >= 0.0).map(|ms| ms / 1000.0) })
}
