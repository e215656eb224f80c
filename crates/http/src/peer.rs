//! One connection to a backend or to discovery, and one exchange on it.

use crate::body::{Outgoing, Progress};
use crate::limits::{MOST_BODY, MOST_HEAD};
use bytes::{Bytes, BytesMut};
use dewpier_operate::metrics::AttemptCounter;
use gannetproxy::Outcome;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

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

    fn is_set(&self) -> bool {
        self.0.lock().is_ok_and(|heard| heard.is_some())
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
pub const HELD: Duration = Duration::from_millis(1);

/// What is known of a request's way out.
#[derive(Default)]
struct Way {
    /// All that was to be written has gone out.
    whole: AtomicBool,
    /// Where to count that, if it is to be counted.
    counts: Mutex<Option<AttemptCounter>>,
    /// How far its body has come, where that is passed on.
    progress: Mutex<Option<Progress>>,
    /// Nothing may come before all of it has gone out: what does is left over from an exchange before.
    first_word: AtomicBool,
}

impl Way {
    fn begin(&self, counts: Option<AttemptCounter>, progress: Option<Progress>, kept: bool) {
        self.first_word.store(kept && progress.is_none(), Ordering::Relaxed);
        if let Ok(mut followed) = self.progress.lock() {
            *followed = progress;
        }
        self.whole.store(false, Ordering::Relaxed);
        if let Ok(mut counted) = self.counts.lock() {
            *counted = counts;
        }
    }

    /// Something that has come by now spoils the connection.
    fn has_first_word(&self) -> bool {
        self.first_word.load(Ordering::Relaxed) && !self.whole.load(Ordering::Relaxed)
    }

    /// More of its body is to come.
    fn goes_on(&self) -> bool {
        self.progress.lock().is_ok_and(|p| p.as_ref().is_some_and(|p| p.ended().is_none()))
    }

    fn end(&self) {
        self.whole.store(true, Ordering::Relaxed);
        // Taken, as one request may be flushed more than once.
        if let Some(attempts) = self.counts.lock().ok().and_then(|mut counts| counts.take()) {
            attempts.increment();
        }
    }
}

/// A socket that notes when something came, and holds the last byte back.
struct Line {
    stream: TcpStream,
    heard: Heard,
    way: Arc<Way>,
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
        if self.held.is_some() && self.way.goes_on() {
            ready!(self.poll_held(cx))?;
        } else if self.held.is_some() {
            ready!(self.wait.as_mut().poll(cx));
            if self.way.has_first_word() && self.heard.is_set() {
                return Poll::Ready(Err(io::Error::other("something came before it was asked for")));
            }
            ready!(self.poll_held(cx))?;
            self.way.end();
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
    sender: http1::SendRequest<Outgoing>,
    io: Io,
    heard: Heard,
    way: Arc<Way>,
}

struct Io {
    connection: Pin<Box<http1::Connection<TokioIo<Line>, Outgoing>>>,
    ended: bool,
}

/// What hyper says of a request that got no answer.
pub type Sent = hyper::client::conn::TrySendError<Request<Outgoing>>;

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoilt {
    /// Its last byte has not gone out.
    Unsent,
    /// All of it has gone out, and the connection broke, ended, stood still or brought no answer.
    Sent,
    /// All of it has gone out, and it has no more time.
    Late,
}

impl Spoilt {
    /// What proves that a request never ran, and what does not: a backend begins it when its last byte has come.
    /// Until that byte goes out nothing can have run, whatever was written before; from then on nothing that a
    /// connection does proves anything, neither a reset nor an end without a word.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Unsent => Outcome::NoConnection,
            Self::Sent => Outcome::Reset,
            Self::Late => Outcome::Timeout,
        }
    }
}

/// An answer, or how it begins.
pub enum Came {
    /// All of it.
    Whole(Parts, Bytes),
    /// More than is held: so much has come, and the rest is to be read from the connection.
    Begun(Parts, Bytes, Incoming),
}

/// Returns once a body that is passed on has ended for longer than its client waits.
async fn late(passes: Option<(Progress, Duration)>) {
    let Some((progress, patience)) = passes else { return std::future::pending().await };
    while progress.ended().is_none_or(|at| at.elapsed() < patience) {
        tokio::time::sleep(LOOK).await;
    }
}

/// Connects.
pub async fn connect(address: SocketAddr, within: Duration) -> io::Result<Peer> {
    let stream = tokio::time::timeout(within, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let heard = Heard::default();
    let way = Arc::new(Way::default());
    let wait = Box::pin(tokio::time::sleep(Duration::ZERO));
    let line = Line { stream, heard: heard.clone(), way: way.clone(), held: None, wait };
    // A head without end must not grow without bound.
    let builder = http1::Builder::new().max_buf_size(MOST_HEAD).handshake(TokioIo::new(line));
    let (sender, io) = builder.await.map_err(io::Error::other)?;
    Ok(Peer { sender, io: Io { connection: Box::pin(io), ended: false }, heard, way })
}

impl Peer {
    /// Waits for `wanted` while the connection works. None if it ends without it.
    pub async fn drive<F: Future>(&mut self, wanted: F) -> Option<F::Output> {
        self.io.drive(wanted).await
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(&mut self, request: Request<Outgoing>) -> Option<Result<Response<Incoming>, Sent>> {
        self.io.drive(self.sender.try_send_request(request)).await
    }

    /// Sends a request and waits for the answer, which must come whole, or be too long for that, and be nothing
    /// else: one that stands still half way before that, or might be read in two ways, is none. On a connection
    /// that was `kept` from an exchange before, what comes before the request has gone out whole belongs to that one.
    /// That it has gone out whole is counted, where it is to be.
    pub async fn exchange(
        &mut self,
        mut request: Request<Outgoing>,
        counts: Option<AttemptCounter>,
        passes: Option<(Progress, Duration)>,
        kept: bool,
    ) -> Result<Came, Spoilt> {
        let heard = self.heard.clone();
        heard.set(None);
        let way = self.way.clone();
        way.begin(counts, passes.as_ref().map(|(progress, _)| progress.clone()), kept);
        let begun_anew = heard.clone();
        // 1xx answers come ahead of the one that counts, perhaps long ahead.
        hyper::ext::on_informational(&mut request, move |_| begun_anew.set(None));
        let answered = async {
            let answer = match self.send(request).await {
                Some(Ok(_)) if way.has_first_word() => return Err(Spoilt::Unsent),
                Some(Ok(answer)) => answer,
                // The connection had ended before all of it was written.
                _ if !way.whole.load(Ordering::Relaxed) => return Err(Spoilt::Unsent),
                _ => return Err(Spoilt::Sent),
            };
            let (head, mut body) = answer.into_parts();
            let double = [TRANSFER_ENCODING, CONTENT_LENGTH].iter().all(|n| head.headers.contains_key(n));
            if double || head.status.is_informational() {
                return Err(Spoilt::Sent);
            }
            let mut first = BytesMut::with_capacity(body.size_hint().lower().min(MOST_BODY as u64) as usize);
            loop {
                match self.drive(body.frame()).await {
                    Some(Some(Ok(frame))) => first.extend_from_slice(&frame.into_data().unwrap_or_default()),
                    Some(None) => return Ok(Came::Whole(head, first.freeze())),
                    _ => return Err(Spoilt::Sent),
                }
                if first.len() > MOST_BODY {
                    return Ok(Came::Begun(head, first.freeze(), body));
                }
            }
        };
        tokio::select! {
            answered = answered => answered,
            () = heard.stalled() => Err(Spoilt::Sent),
            () = late(passes) => Err(Spoilt::Late),
        }
    }

    /// The next piece of an answer that goes on: none at its end, an error where it breaks.
    pub async fn piece(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, Spoilt> {
        match self.drive(body.frame()).await {
            Some(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
            Some(None) => Ok(None),
            _ => Err(Spoilt::Sent),
        }
    }

    /// Something has come of the answer to the last request.
    pub fn heard(&self) -> bool {
        self.heard.is_set()
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
