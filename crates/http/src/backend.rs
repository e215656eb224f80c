//! HTTP backends: their idle connections, attempts and probes, and the exact outcome of each.

use crate::body::{RequestBody, ResponseBody, ResponseSender};
use crate::connection::{BackendReply, Connection, ExchangeContext, ExchangeError, LAST_BYTE_DELAY};
use crate::headers::forward_response_headers;
use crate::late_connect::{LateConnects, NewConnection, connect_within};
use crate::limits::{Budget, MAX_BUFFERED_BODY_BYTES, Permit};
use crate::payload::Payload;
use crate::response_timing;
use crate::upload::Upload;
use dewpier_operate::metrics::AttemptCounter;
use dewpier_reuse::{HandshakePrice, LossCost, ReuseHistory, SharedHistory};
use gannetproxy::engine::{AttemptContext, Upstream, UpstreamResult};
use gannetproxy::{Outcome, Report};
use hyper::body::Body;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Method, Request, StatusCode};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Fraction of the idle timeout of backends within which a connection is reused. A request sent closer to the
/// timeout may arrive after the backend has closed the connection.
const REUSE_IDLE_FRACTION: f64 = 0.7;

/// Time after a response before its connection is reused. Stray bytes that a backend sends behind a response
/// arrive within this time and invalidate the connection, and can't be read as the next response.
const SETTLE_TIME: Duration = Duration::from_millis(25);
/// A connection that closes without a response within this time after the last byte, plus two connect
/// times, counts as stale before the request.
const SILENT_CLOSE_WINDOW: Duration = Duration::from_millis(5);

/// Largest number of idle connections to a backend that have come up late and were never used.
const MAX_UNUSED_CONNECTIONS: usize = 2;

struct IdleConnection {
    connection: Connection,
    permit: Permit,
    idle_since: Instant,
    /// It came up late and has carried no request.
    is_unused: bool,
}

/// When idle connections are reused, based on the history of all backends and the price of a handshake.
#[derive(Clone)]
pub struct ReusePolicy {
    shared_history: Rc<RefCell<SharedHistory>>,
    start: Instant,
    price: HandshakePrice,
}

impl ReusePolicy {
    /// Creates the policy for a handshake price given as a fraction of the worth of an average request, on
    /// top of what any handshake costs.
    pub fn new(price: f64) -> Self {
        Self { shared_history: Rc::default(), start: Instant::now(), price: HandshakePrice::new(price) }
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// A connection that is ready for an attempt.
struct ReadyConnection {
    connection: Connection,
    permit: Permit,
    /// How long the connection was idle, or `None` if it is new.
    idle_time: Option<Duration>,
}

/// A backend and its idle connections.
pub struct Endpoint {
    address: Cell<SocketAddr>,
    idle_connections: RefCell<Vec<IdleConnection>>,
    /// Increased to stop connections that are in use from being kept.
    generation: Cell<u64>,
    budget: Rc<Budget>,
    connect_timeout: Duration,
    max_reuse_idle: Duration,
    reuse_policy: ReusePolicy,
    history: RefCell<ReuseHistory>,
    /// How long the last connect took.
    connect_time: Cell<Duration>,
    late_connects: LateConnects,
}

impl Endpoint {
    /// Closes the idle connections, and those in use once they become idle.
    fn release(&self) {
        self.generation.set(self.generation.get() + 1);
        self.idle_connections.borrow_mut().clear();
    }

    /// Closes connections that were idle for too long or that the backend has closed.
    fn close_expired(&self) {
        let keep_usable = |idle: IdleConnection| {
            let IdleConnection { connection, permit, idle_since, is_unused } = idle;
            let Some(connection) = connection.into_reusable() else {
                self.history
                    .borrow_mut()
                    .record_close(self.reuse_policy.now(), idle_since.elapsed().as_secs_f64());
                return None;
            };
            (idle_since.elapsed() < self.max_reuse_idle).then_some(IdleConnection {
                connection,
                permit,
                idle_since,
                is_unused,
            })
        };
        let usable = self.idle_connections.take().into_iter().filter_map(keep_usable).collect();
        self.idle_connections.replace(usable);
    }

    /// Keeps a connection that no attempt waits for any more, for the next request.
    pub(crate) fn keep_late_connection(&self, new: NewConnection) {
        let NewConnection { connection, permit, generation } = new;
        let mut idle = self.idle_connections.borrow_mut();
        let unused = idle.iter().filter(|idle| idle.is_unused).count();
        if generation == self.generation.get() && unused < MAX_UNUSED_CONNECTIONS {
            idle.push(IdleConnection { connection, permit, idle_since: Instant::now(), is_unused: true });
        }
    }

    /// Returns whether a connection with this idle time is a better choice than a new one.
    fn is_worth_reusing(&self, idle_time: Duration, loss_cost: LossCost) -> bool {
        let ReusePolicy { shared_history, price, .. } = &self.reuse_policy;
        let (history, shared) = (self.history.borrow(), shared_history.borrow());
        history.is_worth_reusing(&shared, self.reuse_policy.now(), idle_time.as_secs_f64(), loss_cost, *price)
    }

    /// Records whether a connection was stale when it was used.
    fn record_use(&self, idle_time: Option<Duration>, was_stale: bool) {
        let idle_seconds = idle_time.map(|idle_time| idle_time.as_secs_f64());
        let mut shared = self.reuse_policy.shared_history.borrow_mut();
        self.history.borrow_mut().record_use(&mut shared, self.reuse_policy.now(), idle_seconds, was_stale);
    }

    /// Returns the most recently used idle connection that is settled and worth reusing, or else a new one.
    /// Without a loss cost, always returns a new one.
    async fn take_or_connect(self: &Rc<Self>, loss_cost: Option<LossCost>) -> Option<ReadyConnection> {
        while let Some(loss_cost) = loss_cost {
            let mut idle = self.idle_connections.borrow_mut();
            let settled_position = idle.iter().rposition(|idle| idle.idle_since.elapsed() >= SETTLE_TIME);
            let Some(position) = settled_position else {
                break;
            };
            let idle_time = idle[position].idle_since.elapsed();
            if idle_time < self.max_reuse_idle && !self.is_worth_reusing(idle_time, loss_cost) {
                // The new connection replaces the oldest one, which is no safer, so that the number of
                // connections to the backend doesn't grow.
                drop(idle.remove(0));
                break;
            }
            let IdleConnection { connection, permit, .. } = idle.remove(position);
            if idle_time < self.max_reuse_idle
                && let Some(connection) = connection.into_reusable()
            {
                return Some(ReadyConnection { connection, permit, idle_time: Some(idle_time) });
            }
        }
        // At the connection limit, an unsettled connection is closed to make room. Otherwise attempts fail at
        // high request rates, when more connections are settling than may be open.
        let permit = match self.budget.try_acquire(1) {
            Some(permit) => permit,
            None => {
                let mut idle = self.idle_connections.borrow_mut();
                (!idle.is_empty()).then(|| idle.remove(0).permit)?
            }
        };
        let started = Instant::now();
        let (address, generation) = (self.address.get(), self.generation.get());
        let connecting =
            connect_within(self, &self.late_connects, address, generation, permit, self.connect_timeout);
        let NewConnection { connection, permit, .. } = connecting.await?;
        self.connect_time.set(started.elapsed());
        Some(ReadyConnection { connection, permit, idle_time: None })
    }
}

/// A backend response in the form in which it is forwarded to the client.
#[derive(Debug)]
pub struct BackendResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers without those of the connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: ResponseBody,
}

/// Which responses serve a request, and how they are forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponsePolicy {
    /// The protocol of the platform: only a 200 serves a request. Its body and content type are forwarded.
    Platform,
    /// Plain HTTP: everything except server errors serves a request. A server error is forwarded only if no
    /// attempt serves the request.
    Plain,
}

impl ResponsePolicy {
    /// Returns whether a response of this status serves a request.
    fn is_served_by(self, status: StatusCode) -> bool {
        match self {
            Self::Platform => status == StatusCode::OK,
            Self::Plain => !status.is_server_error(),
        }
    }
}

/// The HTTP protocol and the settings for all backends.
pub struct HttpUpstream {
    /// Limits the open connections to all backends.
    pub connections: Rc<Budget>,
    /// Time after which a connect fails.
    pub connect_timeout: Duration,
    /// Time after which backends close idle connections.
    pub idle_close: Duration,
    /// The path of probe requests.
    pub probe_path: &'static str,
    /// When idle connections are reused.
    pub reuse_policy: ReusePolicy,
    /// Which responses serve a request.
    pub response_policy: ResponsePolicy,
    /// Counts attempts; probes don't count.
    pub attempt_counter: AttemptCounter,
}

impl Upstream for HttpUpstream {
    type Payload = Payload;
    type Reply = BackendResponse;
    type Endpoint = Endpoint;

    fn create_endpoint(&self, address: SocketAddr) -> Endpoint {
        Endpoint {
            address: Cell::new(address),
            idle_connections: RefCell::default(),
            generation: Cell::new(0),
            budget: self.connections.clone(),
            connect_timeout: self.connect_timeout,
            max_reuse_idle: self.idle_close.mul_f64(REUSE_IDLE_FRACTION),
            reuse_policy: self.reuse_policy.clone(),
            history: RefCell::default(),
            connect_time: Cell::default(),
            late_connects: LateConnects::default(),
        }
    }

    fn set_address(&self, endpoint: &Endpoint, address: SocketAddr) {
        if endpoint.address.replace(address) != address {
            endpoint.release();
        }
    }

    fn release_connections(&self, endpoint: &Endpoint) {
        endpoint.release();
    }

    fn close_expired(&self, endpoint: &Endpoint) {
        endpoint.close_expired();
    }

    fn is_full(&self) -> bool {
        self.connections.is_full()
    }

    fn oldest_idle_since(&self, endpoint: &Endpoint) -> Option<Instant> {
        endpoint.idle_connections.borrow().first().map(|idle| idle.idle_since)
    }

    fn close_oldest_idle(&self, endpoint: &Endpoint) {
        let mut idle = endpoint.idle_connections.borrow_mut();
        if !idle.is_empty() {
            drop(idle.remove(0));
        }
    }

    fn attempt(
        &self,
        endpoint: Rc<Endpoint>,
        payload: Rc<Payload>,
        attempt: AttemptContext<BackendResponse>,
    ) -> impl Future<Output = UpstreamResult<BackendResponse>> + 'static {
        let (response_policy, attempt_counter) = (self.response_policy, self.attempt_counter.clone());
        async move {
            let upload = match payload.upload() {
                // Another attempt has already taken the streamed body, so that there is nothing to send.
                Some(None) => return UpstreamResult::without_reply(Outcome::NeverSent),
                Some(upload) => upload,
                None => None,
            };
            let loss_cost = (!payload.lost_on_reused.get()).then_some(payload.loss_cost);
            let lost_on_reused = Some(&payload.lost_on_reused);
            let options = ExchangeOptions {
                response_policy,
                attempt_counter: Some(attempt_counter),
                loss_cost,
                lost_on_reused,
                upload,
                accepts_streaming: true,
            };
            let request = || payload.build_request(attempt.deadline - attempt.clock.now());
            let start_stream = |response| attempt.reply_sink.send(response);
            exchange(&endpoint, &attempt, options, payload.method == Method::HEAD, request, start_stream)
                .await
        }
    }

    fn probe(
        &self,
        endpoint: Rc<Endpoint>,
        attempt: AttemptContext<()>,
    ) -> impl Future<Output = UpstreamResult<()>> + 'static {
        let path = self.probe_path;
        async move {
            let request = || {
                let mut request = Request::new(RequestBody::default());
                *request.uri_mut() = hyper::Uri::from_static(path);
                request.headers_mut().insert("host", HeaderValue::from_static("backend"));
                Some(request)
            };
            let timeout = 4 * endpoint.connect_timeout;
            let options = ExchangeOptions {
                response_policy: ResponsePolicy::Platform,
                attempt_counter: None,
                loss_cost: Some(LossCost::Retryable),
                lost_on_reused: None,
                upload: None,
                accepts_streaming: false,
            };
            let probe = exchange(&endpoint, &attempt, options, false, request, |_| false);
            let timed_out = UpstreamResult::without_reply(Outcome::Timeout);
            let result = tokio::time::timeout(timeout, probe).await.unwrap_or(timed_out);
            let body = result.reply.as_ref().and_then(|s| match &s.body {
                ResponseBody::Buffered(body) => parse_load_report(body),
                ResponseBody::Streamed(_) => None,
            });
            UpstreamResult {
                outcome: result.outcome,
                reply: None,
                error_response: None,
                report: result.report.or(body),
            }
        }
    }
}

/// How one exchange is made.
struct ExchangeOptions<'a> {
    response_policy: ResponsePolicy,
    attempt_counter: Option<AttemptCounter>,
    /// The cost of losing the request on a reused connection, or `None` if it must use a new one.
    loss_cost: Option<LossCost>,
    /// Set if a reused connection loses the request.
    lost_on_reused: Option<&'a Cell<bool>>,
    /// The progress of a streamed request body.
    upload: Option<Upload>,
    /// Whether a response that is too long to buffer is accepted.
    accepts_streaming: bool,
}

async fn exchange<R>(
    endpoint: &Rc<Endpoint>,
    attempt: &AttemptContext<R>,
    options: ExchangeOptions<'_>,
    head_only: bool,
    request: impl Fn() -> Option<Request<RequestBody>>,
    start_stream: impl Fn(BackendResponse) -> bool,
) -> UpstreamResult<BackendResponse> {
    let ExchangeOptions {
        response_policy,
        attempt_counter,
        loss_cost,
        lost_on_reused,
        upload,
        accepts_streaming,
    } = options;
    let written = &attempt.written;
    let generation = endpoint.generation.get();
    // Without an end, the response of a probe is not passed on either.
    let attempt_end = attempt.end_instant().unwrap_or_else(Instant::now);
    let mut new_connection_failed = false;
    let (connection, permit, reply) = loop {
        let address = endpoint.address.get();
        let Some(ReadyConnection { mut connection, permit, idle_time }) =
            endpoint.take_or_connect(loss_cost).await
        else {
            return UpstreamResult::without_reply(Outcome::NoConnection);
        };
        if let Err(outcome) = attempt.check_send() {
            return UpstreamResult::without_reply(outcome);
        }
        // The list may have given the backend another address while the connection was opened.
        if address != endpoint.address.get() {
            return UpstreamResult::without_reply(Outcome::NeverSent);
        }
        if upload.is_some() && !attempt.exclusive_claim.claim() {
            return UpstreamResult::without_reply(Outcome::NeverSent);
        }
        let Some(request_to_send) = request() else {
            return UpstreamResult::without_reply(Outcome::NeverSent);
        };
        written.set(true);
        let is_new = idle_time.is_none();
        let started = Instant::now();
        let context = ExchangeContext {
            attempt_counter: attempt_counter.clone(),
            upload: upload.clone(),
            is_reused: !is_new,
            deadline: attempt_end,
            is_streamable: &|status| accepts_streaming && response_policy.is_served_by(status),
            report_stall: &|| attempt.stall_report.send(),
        };
        match connection.exchange(request_to_send, context).await {
            Ok(reply) => {
                endpoint.record_use(idle_time, false);
                break (connection, permit, reply);
            }
            // A part of the streamed body is lost with the connection.
            Err(error @ ExchangeError::Unsent) if upload.is_some() => {
                return UpstreamResult::without_reply(error.outcome());
            }
            Err(error @ (ExchangeError::ReplyTimeout | ExchangeError::ClientStalled)) => {
                return UpstreamResult::without_reply(error.outcome());
            }
            // A reused connection may have been closed meanwhile; a second failure on a new one is final.
            Err(error @ ExchangeError::Unsent) if is_new && new_connection_failed => {
                return UpstreamResult::without_reply(error.outcome());
            }
            Err(ExchangeError::Unsent) => {
                if idle_time.is_some() {
                    endpoint.record_use(idle_time, true);
                }
                new_connection_failed = new_connection_failed || is_new;
                written.set(false);
            }
            Err(error @ ExchangeError::NoReply) => {
                let closed_silently = started.elapsed()
                    < LAST_BYTE_DELAY + SILENT_CLOSE_WINDOW + 2 * endpoint.connect_time.get();
                endpoint.record_use(idle_time, closed_silently && !connection.has_received_data());
                lost_on_reused
                    .filter(|_| !is_new)
                    .into_iter()
                    .for_each(|lost_on_reused| lost_on_reused.set(true));
                return UpstreamResult::without_reply(error.outcome());
            }
        }
    };
    let keep_connection = |connection: Connection, permit: Permit| {
        if let Some(connection) = connection.into_reusable()
            && endpoint.generation.get() == generation
        {
            endpoint.idle_connections.borrow_mut().push(IdleConnection {
                connection,
                permit,
                idle_since: Instant::now(),
                is_unused: false,
            });
        }
    };
    let (head, body, streaming) = match reply {
        BackendReply::Buffered(head, body) => {
            keep_connection(connection, permit);
            (head, ResponseBody::Buffered(body), None)
        }
        BackendReply::Streamed(head, received, body) => {
            if !accepts_streaming {
                return UpstreamResult::without_reply(Outcome::Reset);
            }
            let remaining_bytes = body.size_hint().exact();
            let received_bytes = received.len();
            let (sender, stream) = ResponseSender::channel(received, remaining_bytes);
            let streaming = Some((connection, permit, body, sender, received_bytes));
            (head, ResponseBody::Streamed(stream), streaming)
        }
    };
    let is_rejected = || head.headers.get("x-turned-away").is_some_and(|v| v == "1");
    let is_plain = response_policy == ResponsePolicy::Plain;
    let outcome = match head.status {
        status if response_policy.is_served_by(status) => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_rejected() => Outcome::Rejected,
        _ => Outcome::Error,
    };
    let report = head.headers.get("x-pressure").and_then(|v| parse_load_report(v.as_bytes()));
    let mut response = None;
    if is_plain || outcome == Outcome::Served {
        let mut headers = HeaderMap::new();
        match response_policy {
            ResponsePolicy::Platform => {
                headers.extend(head.headers.get(CONTENT_TYPE).map(|v| (CONTENT_TYPE, v.clone())));
            }
            ResponsePolicy::Plain => headers = forward_response_headers(head.headers, head_only),
        }
        response = Some(BackendResponse { status: head.status, headers, body });
    }
    if let Some((mut connection, permit, mut body, sender, mut received_bytes)) = streaming {
        let Some(response) = response.filter(|_| outcome == Outcome::Served) else {
            return UpstreamResult { outcome, reply: None, error_response: None, report };
        };
        if !start_stream(response) {
            return UpstreamResult::without_reply(Outcome::Cancelled);
        }
        let mut last_byte_at = Instant::now();
        loop {
            let is_long = received_bytes > MAX_BUFFERED_BODY_BYTES;
            let end = response_timing::stream_end(is_long, last_byte_at, attempt_end);
            // Reads on once the client can take more; a disconnected client ends the attempt.
            let chunk = tokio::select! {
                chunk = connection.read_chunk(&mut body) => chunk,
                () = sender.client_disconnected() => return UpstreamResult::without_reply(Outcome::Cancelled),
                () = sleep_until(end) => return UpstreamResult::without_reply(Outcome::Reset),
            };
            match chunk {
                Ok(Some(data)) if data.is_empty() => {}
                Ok(Some(data)) => {
                    received_bytes += data.len();
                    last_byte_at = Instant::now();
                    if !sender.send_chunk(data).await {
                        return UpstreamResult::without_reply(Outcome::Cancelled);
                    }
                }
                Ok(None) => break,
                Err(_) => return UpstreamResult::without_reply(Outcome::Reset),
            }
        }
        sender.finish().await;
        keep_connection(connection, permit);
        return UpstreamResult { outcome, reply: None, error_response: None, report };
    }
    let (reply, error_response) =
        if outcome == Outcome::Served { (response, None) } else { (None, response) };
    UpstreamResult { outcome, reply, error_response, report }
}

/// Sleeps until `at`, or for ever.
async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// Parses a load report, ignoring unknown fields.
fn parse_load_report(json: &[u8]) -> Option<Report> {
    let fields: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(json).ok()?;
    let service = fields.get("avg_ms").or(fields.get("latency_ms")).and_then(|v| v.as_f64());
    Some(Report { service_time: service.filter(|ms| *ms >= 0.0).map(|ms| ms / 1000.0) })
}
