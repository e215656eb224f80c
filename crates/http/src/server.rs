//! Accepts client connections, answers requests and shuts down gracefully.

use crate::backend::{BackendResponse, HttpUpstream};
use crate::body::{ClientBody, ResponseBody};
use crate::clients::{self, ClientConnection, ClientConnections, ConnectionGuard};
use crate::config::WireSettings;
use crate::limits::{Budget, MAX_HEAD_BYTES, ResourceLimits, ResponseMemory};
use crate::payload::PayloadBody;
use crate::request::{self, BodyBudgets, Dialect, ParsedRequest, RequestError};
use crate::socket::ClientSocket;
use bytes::Bytes;
use dewpier_operate::calls::{self, Call};
use dewpier_operate::lifecycle::Lifecycle;
use dewpier_operate::metrics::{BackendCounts, Metrics, RequestOutcome};
use gannetproxy::engine::{Answer, Engine};
use gannetproxy::{Effect, RequestId, Settings, Time};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// Number of consecutive checks without work after which a shutdown stops waiting for connections.
const MAX_IDLE_CHECKS: usize = 10;
/// Interval at which a stopping process checks for clients and work that are left.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time that a connection without a request has to end once it is being closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay after a failed accept, because the missing resource doesn't return at once.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Interval at which a connection that is being closed is checked for a partly received request.
const READ_CHECK_INTERVAL: Duration = Duration::from_millis(10);

type Reply = Response<ClientBody>;

/// Claims the ID of a request among all processes that serve the address. Returns false if it is taken.
pub type IdClaims = Box<dyn FnMut(u64) -> bool>;

/// Answers client requests.
pub struct Server {
    engine: Rc<Engine<HttpUpstream>>,
    settings: Settings,
    wire: WireSettings,
    dialect: Dialect,
    start: Instant,
    /// The lifecycle of the process: whether it accepts clients and when they are closed.
    lifecycle: RefCell<Lifecycle>,
    metrics: Rc<Metrics>,
    /// Set once idle connections are to be closed.
    closing: watch::Sender<bool>,
    clients: Rc<ClientConnections>,
    /// An accepted connection that waits for room, kept here so that a shutdown still serves it.
    pending_stream: Cell<Option<TcpStream>>,
    body_budgets: BodyBudgets,
    limits: ResourceLimits,
    /// Number of other processes that share the resource limits.
    other_processes: Cell<usize>,
    /// Notified when accepting may start or stop.
    accepting_changed: Notify,
    /// Claims the IDs of requests while another process serves the address too.
    id_claims: RefCell<Option<IdClaims>>,
}

/// Reports a disconnected client to the engine if dropped before the answer.
struct DisconnectGuard<'a>(&'a Engine<HttpUpstream>, RequestId);

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.0.client_disconnected(self.1);
    }
}

/// Marks a response of the proxy itself to an invalid request, as opposed to a 4xx response of a backend.
#[derive(Clone)]
struct ClientErrorMarker;

fn plain_reply(status: StatusCode, text: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(ClientBody::Buffered(Full::new(text.into())));
    if status.is_client_error() {
        reply.extensions_mut().insert(ClientErrorMarker);
    }
    *reply.status_mut() = status;
    reply
}

/// Builds the reply from a buffered backend response.
fn backend_reply(response: BackendResponse, memory: &ResponseMemory) -> Reply {
    let body = match response.body {
        ResponseBody::Buffered(body) => memory.hold(body),
        // This is not reached, as error responses are never streamed.
        ResponseBody::Streamed(_) => return plain_reply(StatusCode::BAD_GATEWAY, "failed\n"),
    };
    let mut reply = Response::new(ClientBody::Buffered(Full::new(body)));
    *reply.status_mut() = response.status;
    *reply.headers_mut() = response.headers;
    reply
}

/// Sets Retry-After, if known: in milliseconds precision on the platform, and otherwise in whole seconds (RFC
/// 9110, section 10.2.3).
fn set_retry_after(reply: &mut Reply, wait: Option<Time>, dialect: &Dialect) {
    let text = |wait: Time| match dialect {
        Dialect::Platform => format!("{wait:.3}"),
        Dialect::Plain(_) => format!("{:.0}", wait.ceil().max(1.0)),
    };
    if let Some(wait) = wait.and_then(|w| HeaderValue::from_str(&text(w)).ok()) {
        reply.headers_mut().insert(RETRY_AFTER, wait);
    }
}

fn invalid_request_reply(error: &RequestError) -> Reply {
    plain_reply(error.status(), format!("{error}\n"))
}

impl Server {
    /// Creates a server that keeps to `limits`.
    pub fn new(
        engine: Rc<Engine<HttpUpstream>>,
        settings: Settings,
        wire: WireSettings,
        dialect: Dialect,
        limits: ResourceLimits,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        let longest_deadline = settings.classes.iter().map(|c| c.deadline).fold(0.0, Time::max);
        Rc::new(Self {
            engine,
            settings,
            wire,
            dialect,
            start: Instant::now(),
            lifecycle: RefCell::new(Lifecycle::new(longest_deadline)),
            metrics,
            closing: watch::Sender::new(false),
            clients: ClientConnections::new(limits.client_connections),
            pending_stream: Cell::new(None),
            body_budgets: BodyBudgets {
                buffered: Budget::new(limits.buffered_body_bytes),
                streamed: Budget::new(limits.streamed_body_bytes),
                responses: ResponseMemory::new(limits.unread_response_bytes),
            },
            limits,
            other_processes: Cell::new(0),
            accepting_changed: Notify::new(),
            id_claims: RefCell::default(),
        })
    }

    /// Serves until `stop`, then finishes gracefully: it keeps serving for a while, answers all accepted
    /// requests and returns. The listener is closed before the last answers, so that other owners must hold
    /// it weakly.
    pub async fn run(self: Rc<Self>, listener: Rc<TcpListener>, stop: impl Future<Output = ()>) {
        let accepting = self.clone().accept(&listener);
        let stopped = async {
            stop.await;
            let serve_time = self.lifecycle.borrow_mut().begin_stop(self.now());
            let time_left = self.lifecycle.borrow().request_time_left(self.now());
            time_left.into_iter().for_each(|time_left| self.engine.end_requests_within(time_left));
            let clients_gone = async {
                // After a handover no client connects, and the remaining ones are closed with their next
                // response.
                while self.lifecycle.borrow().is_accepting() || !self.clients.is_empty() {
                    tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
                }
            };
            // Ends early once all clients are gone.
            let _ = tokio::time::timeout(serve_time, clients_gone).await;
        };
        tokio::select! {
            () = accepting => {}
            () = self.close_overdue_clients() => {}
            () = stopped => {}
        }
        // Connections that the kernel has already accepted are served too.
        if let Some(stream) = self.pending_stream.take() {
            self.clone().serve(stream, self.clients.add());
        }
        while self.lifecycle.borrow().is_accepting()
            && let Some(stream) = accept_pending(&listener)
        {
            self.clone().serve(stream, self.clients.add());
        }
        drop(listener);
        self.closing.send_replace(true);
        // A client that neither completes its request nor disconnects must not delay the exit until SIGKILL.
        let mut idle_checks = 0;
        while !self.clients.is_empty() && idle_checks < MAX_IDLE_CHECKS && self.has_time_left() {
            self.clients.wait_for_close(IDLE_CHECK_INTERVAL).await;
            let may_wait = self
                .lifecycle
                .borrow()
                .request_time_left(self.now())
                .is_none_or(|time_left| !time_left.is_zero());
            let is_receiving = self.metrics.pending() > 0 || self.clients.is_any_reading();
            let has_work = self.engine.has_open_requests() || (is_receiving && may_wait);
            idle_checks = if has_work { 0 } else { idle_checks + 1 };
        }
    }

    /// Returns whether the process has time left before it must end.
    fn has_time_left(&self) -> bool {
        self.lifecycle.borrow().time_until_exit(self.now()).is_none_or(|time_left| !time_left.is_zero())
    }

    /// Returns whether a backend list has been received.
    pub fn has_list(&self) -> bool {
        self.engine.has_list()
    }

    /// Records that another process started or stopped sharing the resource limits.
    pub fn update_limit_sharing(&self, joined: bool) {
        let other_processes = self.other_processes.get();
        self.other_processes.set(if joined {
            other_processes + 1
        } else {
            other_processes.saturating_sub(1)
        });
        let limits = self.limits.for_processes(self.other_processes.get() > 0);
        self.clients.set_capacity(limits.client_connections);
        self.body_budgets.buffered.set_capacity(limits.buffered_body_bytes);
        self.body_budgets.streamed.set_capacity(limits.streamed_body_bytes);
        self.engine.upstream().connections.set_capacity(limits.backend_connections);
    }

    /// Shares the IDs of requests with the other processes that serve the address, those that are taken now included;
    /// `None` ends that.
    pub fn share_request_ids(&self, claims: Option<IdClaims>) {
        let mut claims = claims;
        if let Some(claim) = &mut claims {
            self.engine.taken_request_ids().into_iter().for_each(|id| {
                claim(id);
            });
        }
        self.id_claims.replace(claims);
    }

    /// Returns whether other processes share the resource limits.
    pub fn is_sharing(&self) -> bool {
        self.other_processes.get() > 0
    }

    /// Claims the ID of a request that can't simply be repeated among all processes that serve the address.
    fn claim_shared_id(&self, class: usize, client_request_id: Option<u64>) -> bool {
        let is_safe = self.settings.classes[class].effect == Effect::Safe;
        match (&mut *self.id_claims.borrow_mut(), client_request_id) {
            (Some(claim), Some(id)) if !is_safe => claim(id),
            _ => true,
        }
    }

    /// Stops accepting, because another process takes over the address.
    pub fn hand_over(&self) {
        self.lifecycle.borrow_mut().hand_over(self.now());
        self.accepting_changed.notify_one();
    }

    /// Accepts again, because the other process is gone.
    pub fn resume_accepting(&self) {
        self.lifecycle.borrow_mut().resume_accepting();
        self.accepting_changed.notify_one();
    }

    /// Answers an operator.
    pub fn handle_operator_call(&self, call: Call) -> String {
        let mut lifecycle = self.lifecycle.borrow_mut();
        match call {
            Call::Check if !self.engine.has_list() => "NO no list of backends yet\n".into(),
            Call::Check if !lifecycle.is_taking_clients() => "NO takes no clients\n".into(),
            Call::Check => "YES takes clients\n".into(),
            Call::Vars => {
                let (listed, avoided) = self.engine.count_backends();
                calls::format_metrics(&self.metrics, BackendCounts { listed, avoided })
            }
            Call::Verdicts | Call::VerdictsJson | Call::Override { .. } => {
                "NO it belongs to no fleet\n".into()
            }
            Call::DrainOn => {
                lifecycle.start_drain(self.now());
                "YES drains\n".into()
            }
            Call::DrainOff => {
                lifecycle.cancel_drain();
                match lifecycle.is_taking_clients() {
                    true => "YES takes clients\n".into(),
                    false => "NO it stops, or another process has its address\n".into(),
                }
            }
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    async fn close_overdue_clients(&self) {
        loop {
            tokio::time::sleep(clients::SWEEP_INTERVAL).await;
            let max_idle_time = self.lifecycle.borrow().idle_close_threshold(self.now());
            self.clients.close_overdue(max_idle_time);
        }
    }

    async fn accept(self: Rc<Self>, listener: &TcpListener) {
        let mut failing = false;
        loop {
            if !self.lifecycle.borrow().is_accepting() {
                self.accepting_changed.notified().await;
                continue;
            }
            let accepted = tokio::select! {
                biased; // leaves pending connections to the other process
                () = self.accepting_changed.notified() => continue,
                accepted = listener.accept() => accepted,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    // The failure is logged once per failure period, so that clients can't fill the log.
                    if !std::mem::replace(&mut failing, true) {
                        tracing::warn!(%error, "cannot accept client connections");
                    }
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            failing = false;
            // Room is made only once a new connection has arrived.
            self.pending_stream.set(Some(stream));
            // Connections that are being closed still hold descriptors.
            self.clients.make_room();
            while self.clients.is_overflow_full() {
                self.clients.wait_for_close(IDLE_CHECK_INTERVAL).await;
                self.clients.make_room();
            }
            if let Some(stream) = self.pending_stream.take() {
                self.clone().serve(stream, self.clients.add());
            }
        }
    }

    fn serve(self: Rc<Self>, stream: TcpStream, guard: ConnectionGuard) {
        let _ = stream.set_nodelay(true); // the connection works without it
        let is_full = self.clients.is_full();
        tokio::task::spawn_local(async move {
            let (server, client) = (&self, guard.client());
            let mut closing = server.closing.subscribe();
            let (socket, watch) = ClientSocket::new(stream, client.clone());
            let disconnect_watch = &watch;
            let service = service_fn(|request| async move {
                // With unknown framing, nothing may be read behind the request.
                let is_transfer_coded = request.headers().contains_key(TRANSFER_ENCODING);
                let has_unknown_framing = is_transfer_coded && client.has_content_length().is_none();
                let mut reply = server.reply(request, client, is_full).await;
                if let ClientBody::Buffered(_) = reply.body() {
                    client.mark_request_answered();
                }
                // After an invalid request, the rest of the input can't be trusted.
                let is_client_error = reply.extensions().get::<ClientErrorMarker>().is_some();
                let is_closing =
                    server.lifecycle.borrow().is_announcing_close(server.now()) || *server.closing.borrow();
                if is_full
                    || is_client_error
                    || is_closing
                    || has_unknown_framing
                    || disconnect_watch.is_read_ahead_full()
                {
                    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(reply)
            });
            let connection = http1::Builder::new()
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(socket), service);
            let mut connection = std::pin::pin!(connection);
            // Ends without logging when the client closes, and at once if it disconnects before its answer.
            let mut serving = std::future::poll_fn(|cx| match connection.as_mut().poll(cx) {
                Poll::Ready(_) => Poll::Ready(()),
                Poll::Pending => watch.poll_disconnected(cx),
            });
            let close_timeout = tokio::select! {
                biased; // reads a request that has arrived before closing
                () = &mut serving => return,
                () = client.wait_for_close() => Some(CLOSE_TIMEOUT),
                // A partly received request is served first, and its response closes the connection.
                () = server.wait_for_shutdown(client, &mut closing) => None,
            };
            connection.as_mut().graceful_shutdown();
            let serving = std::future::poll_fn(|cx| match connection.as_mut().poll(cx) {
                Poll::Ready(_) => Poll::Ready(()),
                Poll::Pending => watch.poll_disconnected(cx),
            });
            match close_timeout {
                Some(close_timeout) => drop(tokio::time::timeout(close_timeout, serving).await),
                None => serving.await,
            }
        });
    }

    /// Waits until connections are to be closed and no request is partly received.
    async fn wait_for_shutdown(&self, client: &ClientConnection, closing: &mut watch::Receiver<bool>) {
        let _ = closing.wait_for(|closing| *closing).await; // the sender outlives the receiver
        while client.is_reading() {
            tokio::time::sleep(READ_CHECK_INTERVAL).await;
        }
    }

    async fn parse_request(
        &self,
        request: hyper::Request<Incoming>,
        client: &ClientConnection,
    ) -> Result<ParsedRequest, RequestError> {
        request::read_request(
            request,
            &self.settings,
            &self.wire,
            &self.dialect,
            &self.body_budgets,
            client.has_content_length(),
            client.input(),
        )
        .await
    }

    async fn reply(
        &self,
        request: hyper::Request<Incoming>,
        client: &Rc<ClientConnection>,
        is_full: bool,
    ) -> Reply {
        if request.uri().path() == "/-/ready" {
            return match self.engine.has_list() && self.lifecycle.borrow().is_ready() {
                true => plain_reply(StatusCode::OK, "ready\n"),
                false => plain_reply(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            };
        }
        client.start_body();
        let parsed = match self.parse_request(request, client).await {
            Ok(parsed) => parsed,
            Err(error) => return invalid_request_reply(&error),
        };
        client.mark_request_received();
        if let PayloadBody::Streamed(..) = parsed.payload.body {
            client.set_streaming(true);
        }
        let _body_permit = parsed.body_permit;
        let accepted_request = self.metrics.begin_request(parsed.request.class);
        if is_full {
            accepted_request.end(RequestOutcome::Rejected);
            return plain_reply(StatusCode::SERVICE_UNAVAILABLE, "too many connections\n");
        }
        let submitted = self
            .claim_shared_id(parsed.request.class, parsed.client_request_id)
            .then(|| self.engine.submit_request(parsed.client_request_id, parsed.request, parsed.payload));
        let Some((id, answer)) = submitted.flatten() else {
            return plain_reply(StatusCode::BAD_REQUEST, "X-Txn is in use\n");
        };
        let disconnect_guard = DisconnectGuard(&self.engine, id);
        let submitted = Instant::now();
        let answer = answer.await;
        drop(disconnect_guard); // the request is answered, so that the guard has no effect
        if let Ok(Answer::Served(_)) = answer {
            self.lifecycle.borrow_mut().record_served(self.now(), submitted.elapsed());
        }
        let answer = match answer {
            Ok(Answer::Served(BackendResponse { status, headers, body: ResponseBody::Streamed(stream) })) => {
                let stream = stream.counted_in(self.body_budgets.responses.clone());
                let mut reply = Response::new(ClientBody::streamed(stream, accepted_request, client.clone()));
                *reply.status_mut() = status;
                *reply.headers_mut() = headers;
                return reply;
            }
            answer => answer,
        };
        accepted_request.end(match answer {
            Ok(Answer::Served(_)) => RequestOutcome::Completed,
            Ok(Answer::Rejected(..)) => RequestOutcome::Rejected,
            Ok(Answer::Failed(_)) | Err(_) => RequestOutcome::Failed,
        });
        match answer {
            // A 503 means that a retry is harmless, so that a 503 of a backend isn't forwarded if the request
            // may have run.
            Ok(Answer::Failed(Some(served))) if served.status == StatusCode::SERVICE_UNAVAILABLE => {
                let mut reply = backend_reply(served, &self.body_budgets.responses);
                *reply.status_mut() = StatusCode::BAD_GATEWAY;
                *reply.headers_mut() = Default::default();
                reply
            }
            Ok(Answer::Served(served)) | Ok(Answer::Failed(Some(served))) => {
                backend_reply(served, &self.body_budgets.responses)
            }
            Ok(Answer::Rejected(wait, Some(served))) => {
                let mut reply = backend_reply(served, &self.body_budgets.responses);
                if !reply.headers().contains_key(RETRY_AFTER) {
                    set_retry_after(&mut reply, wait, &self.dialect);
                }
                reply
            }
            Ok(Answer::Rejected(_, None)) if client.input().is_stalled(Instant::now()) => {
                invalid_request_reply(&RequestError::BodyTimeout)
            }
            Ok(Answer::Rejected(wait, None)) => {
                let mut reply = plain_reply(StatusCode::SERVICE_UNAVAILABLE, "refused, try again\n");
                set_retry_after(&mut reply, wait, &self.dialect);
                reply
            }
            Ok(Answer::Failed(None)) | Err(_) => plain_reply(StatusCode::BAD_GATEWAY, "failed\n"),
        }
    }
}

/// Accepts a pending connection directly from the kernel, because the runtime may not have noticed it yet.
fn accept_pending(listener: &TcpListener) -> Option<TcpStream> {
    let (socket, _) = socket2::SockRef::from(listener).accept().ok()?;
    socket.set_nonblocking(true).ok()?;
    TcpStream::from_std(socket.into()).ok()
}

/// Binds a listener.
pub fn bind(address: std::net::SocketAddr) -> io::Result<TcpListener> {
    bind_listener(address, false)
}

/// Binds a listener to an address that other processes of this user may share.
pub fn bind_shared(address: std::net::SocketAddr) -> io::Result<TcpListener> {
    bind_listener(address, true)
}

fn bind_listener(address: std::net::SocketAddr, share_port: bool) -> io::Result<TcpListener> {
    let socket = match address.is_ipv4() {
        true => tokio::net::TcpSocket::new_v4()?,
        false => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(share_port)?;
    socket.bind(address)?;
    socket.listen(1024)
}
