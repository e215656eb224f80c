//! The clients' side: the listener, requests and their answers, readiness and the graceful stop.

use super::backend::MOST_BODY;
use super::config::WireSettings;
use super::engine::{Answer, Engine, Payload};
use crate::{Effect, Request, RequestId, Settings, Time};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderMap, HeaderName, RETRY_AFTER};
use hyper::header::{HeaderValue, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

/// How long after SIGTERM clients are still accepted: the front goes on for a moment.
const LINGER: Duration = Duration::from_millis(550);
/// So many steps without a request in hand, after that, and connections are no longer waited for.
const IDLE_STEPS: usize = 10;
const STEP: Duration = Duration::from_millis(50);
/// A head or body that takes longer to arrive is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// So much of a body that is too large is read, so that the client gets to see the answer.
const MOST_DISCARDED: usize = 16 * MOST_BODY;
/// Largest head of a request.
const MOST_HEAD: usize = 32 << 10;
/// Connections beyond the limit that are answered with a refusal, as a part of the limit.
const OVERFLOW: usize = 8;

type Reply = Response<Full<Bytes>>;

/// Answers clients.
pub struct Server {
    engine: Rc<Engine>,
    settings: Settings,
    wire: WireSettings,
    /// SIGTERM has come.
    stopping: Cell<bool>,
    /// Idle connections are to be closed.
    closing: watch::Sender<bool>,
    connections: Cell<usize>,
    most: usize,
    closed: Notify,
}

/// Counts a connection while it is open.
struct Counted(Rc<Server>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
        self.0.closed.notify_one();
    }
}

/// Tells the engine that the client has left, if it is dropped before the answer.
struct Leaving<'a>(&'a Engine, RequestId);

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        self.0.client_left(self.1);
    }
}

fn plain(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *reply.status_mut() = status;
    reply
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim)
}

impl Server {
    /// A server with at most `connections` from clients.
    pub fn new(engine: Rc<Engine>, settings: Settings, wire: WireSettings, connections: usize) -> Rc<Self> {
        Rc::new(Self {
            engine,
            settings,
            wire,
            stopping: Cell::new(false),
            closing: watch::Sender::new(false),
            connections: Cell::new(0),
            most: connections,
            closed: Notify::new(),
        })
    }

    /// Serves until `stop`, then goes on for a moment, answers all that was taken, and returns.
    pub async fn run(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let accepting = self.clone().accept(&listener);
        let stopped = async {
            stop.await;
            self.stopping.set(true);
            tokio::time::sleep(LINGER).await;
        };
        tokio::select! {
            () = accepting => {}
            () = stopped => {}
        }
        // What the system has accepted for us is ours to answer too.
        while let Ok(Ok((stream, _))) = tokio::time::timeout(Duration::ZERO, listener.accept()).await {
            self.clone().serve(stream);
        }
        drop(listener);
        self.closing.send_replace(true);
        // A client that neither finishes its request nor goes away must not keep us until SIGKILL.
        let mut idle = 0;
        while self.connections.get() > 0 && idle < IDLE_STEPS {
            let _ = tokio::time::timeout(STEP, self.closed.notified()).await;
            idle = if self.engine.owes_answers() { 0 } else { idle + 1 };
        }
    }

    async fn accept(self: Rc<Self>, listener: &TcpListener) {
        loop {
            while self.connections.get() >= self.most + self.most / OVERFLOW {
                self.closed.notified().await;
            }
            match listener.accept().await {
                Ok((stream, _)) => self.clone().serve(stream),
                Err(error) => {
                    eprintln!("accept: {error}");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    fn serve(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true); // it still works if not
        self.connections.set(self.connections.get() + 1);
        let full = self.connections.get() > self.most;
        let counted = Counted(self.clone());
        tokio::task::spawn_local(async move {
            let server = &counted.0;
            let mut closing = server.closing.subscribe();
            let service = service_fn(|request| async move {
                let mut reply = server.reply(request, full).await;
                if full || server.stopping.get() {
                    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(reply)
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(READ_TIMEOUT)
                .max_buf_size(MOST_HEAD)
                .serve_connection(TokioIo::new(stream), service);
            let mut connection = std::pin::pin!(connection);
            tokio::select! {
                biased; // a request that has come is read before the connection is closed
                _ = connection.as_mut() => return, // its end is no news: clients come and go
                _ = closing.wait_for(|closing| *closing) => {}
            }
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        });
    }

    async fn reply(&self, request: hyper::Request<Incoming>, full: bool) -> Reply {
        if request.uri().path() == "/-/ready" {
            return match self.engine.listed() && !self.stopping.get() {
                true => plain(StatusCode::OK, "ready\n"),
                false => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            };
        }
        let (head, body) = request.into_parts();
        let body = match tokio::time::timeout(READ_TIMEOUT, read(body)).await {
            Ok(Ok(body)) => body,
            Ok(Err(problem)) => return problem,
            Err(_) => return plain(StatusCode::REQUEST_TIMEOUT, "the body did not come\n"),
        };
        let request = match self.request(&head.headers) {
            Ok(request) => request,
            Err(problem) => return plain(StatusCode::BAD_REQUEST, problem),
        };
        if full {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "too many connections\n");
        }
        let id = request.id;
        let headers = onward(head.headers);
        let payload = Payload { method: head.method, uri: head.uri, headers, body };
        let Some(answer) = self.engine.request(request, payload) else {
            return plain(StatusCode::BAD_REQUEST, "X-Txn is in use\n");
        };
        let leaving = Leaving(&self.engine, id);
        let answer = answer.await;
        drop(leaving); // it has had its answer: nothing is told
        match answer {
            Ok(Answer::Served(served)) => {
                let mut reply = Response::new(Full::new(served.body));
                if let Some(content_type) = served.content_type {
                    reply.headers_mut().insert(CONTENT_TYPE, content_type);
                }
                reply
            }
            Ok(Answer::Refused(wait)) => {
                let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "refused, try again\n");
                if let Some(wait) = wait.and_then(|w| HeaderValue::from_str(&format!("{w:.3}")).ok()) {
                    reply.headers_mut().insert(RETRY_AFTER, wait);
                }
                reply
            }
            Ok(Answer::Failed) | Err(_) => plain(StatusCode::BAD_GATEWAY, "failed\n"),
        }
    }

    /// What the module is told of a request, or what is wrong with it.
    fn request(&self, headers: &HeaderMap) -> Result<Request, &'static str> {
        let id = header(headers, "x-txn").filter(|id| id.len() == 16);
        let id =
            id.and_then(|id| u64::from_str_radix(id, 16).ok()).ok_or("X-Txn: expected 16 hex digits\n")?;
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let class = header(headers, "x-lane").and_then(|c| place(&self.wire.classes, c));
        let class = class.ok_or("X-Lane: expected a known class\n")?;
        let tenant = match header(headers, "x-org") {
            Some(name) if !self.wire.tenants.is_empty() => {
                Some(place(&self.wire.tenants, name).ok_or("X-Org: expected a known tenant\n")?)
            }
            _ => None,
        };
        let deadline = self.settings.classes[class].deadline;
        let budget = match headers.contains_key("x-remaining-ms") {
            true => header(headers, "x-remaining-ms")
                .and_then(|ms| ms.parse::<u32>().ok())
                .map(|ms| Time::from(ms) / 1000.0)
                .ok_or("X-Remaining-Ms: expected whole milliseconds\n")?,
            false => deadline,
        };
        if matches!(self.settings.classes[class].effect, Effect::Keyed { .. })
            && !headers.contains_key("idempotency-key")
        {
            return Err("Idempotency-Key: expected for this class\n");
        }
        Ok(Request { id: RequestId(id), class, tenant, key: subject(headers), budget })
    }
}

/// What a request is about: the cookie `sid`, as it is if it is a key, else scattered.
fn subject(headers: &HeaderMap) -> Option<u64> {
    let cookies = headers.get_all("cookie").into_iter().filter_map(|v| v.to_str().ok());
    let mut pairs = cookies.flat_map(|v| v.split(';')).filter_map(|pair| pair.trim().split_once('='));
    let (_, sid) = pairs.find(|(name, _)| *name == "sid")?;
    let scattered = || {
        sid.bytes().fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
    };
    Some(u64::from_str_radix(sid, 16).unwrap_or_else(|_| scattered()))
}

/// The headers that go on to backends: all but those of the connection itself.
fn onward(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .into_iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != HOST)
        .collect();
    let own = [CONNECTION, CONTENT_LENGTH, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
    for name in named.iter().chain(&own) {
        headers.remove(name);
    }
    for name in ["keep-alive", "proxy-connection", "expect"] {
        headers.remove(name);
    }
    headers
}

/// Reads a body of bounded size. One that is too large is read on for a while and dropped, so
/// that the client is done writing when the answer comes.
async fn read(mut body: Incoming) -> Result<Bytes, Reply> {
    let mut whole = BytesMut::with_capacity(body.size_hint().lower().min(MOST_BODY as u64) as usize);
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| plain(StatusCode::BAD_REQUEST, "the body broke off\n"))?;
        let data = frame.into_data().unwrap_or_default();
        length += data.len();
        if length <= MOST_BODY {
            whole.extend_from_slice(&data);
        } else if length > MOST_DISCARDED {
            break;
        }
    }
    match length <= MOST_BODY {
        true => Ok(whole.freeze()),
        false => Err(plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n")),
    }
}

/// Binds the listener.
pub fn bind(address: std::net::SocketAddr) -> io::Result<TcpListener> {
    let socket = match address.is_ipv4() {
        true => tokio::net::TcpSocket::new_v4()?,
        false => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}
