//! Parses and validates client requests.

use crate::body::PartialBody;
use crate::config::WireSettings;
use crate::headers::forward_request_headers;
use crate::limits::{Budget, MAX_BUFFERED_BODY_BYTES, Permit};
use crate::payload::{Payload, PayloadBody};
use crate::routes::Routes;
use crate::upload::{CLIENT_STALL_TIMEOUT, ClientInput, Upload};
use bytes::{Bytes, BytesMut};
use dewpier_reuse::LossCost;
use gannetproxy::{Class, Effect, Request, RequestId, Settings, Time};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, HeaderMap};
use hyper::{Method, StatusCode};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// The protocol of the clients.
#[derive(Clone, Debug)]
pub enum Dialect {
    /// The protocol of the platform: headers carry the class, ID and remaining time.
    Platform,
    /// Plain HTTP: the class follows from method and path, and everything else has defaults.
    Plain(Routes),
}

/// Why a request is rejected.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum RequestError {
    /// A header that is missing, repeated or malformed.
    #[error("{name}: expected {expected}")]
    Header {
        /// The name of the header.
        name: &'static str,
        /// The expected value.
        expected: &'static str,
    },
    /// A method that the class doesn't allow.
    #[error("the method does not fit the class")]
    Method,
    /// A target that isn't a path.
    #[error("expected a path")]
    Target,
    /// Ambiguous message framing.
    #[error("expected one Content-Length, or 'chunked' as the only coding")]
    Framing,
    /// The body was cut off.
    #[error("the body broke off")]
    BodyIncomplete,
    /// The body did not arrive in time.
    #[error("the body did not come")]
    BodyTimeout,
    /// The memory for request bodies is used up.
    #[error("too much at once, try again")]
    BodyMemoryFull,
}

impl RequestError {
    /// Returns the status of the error response.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Header { .. } | Self::Method | Self::Target | Self::Framing | Self::BodyIncomplete => {
                StatusCode::BAD_REQUEST
            }
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::BodyMemoryFull => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// A request that can be submitted, with a body that is buffered or streamed.
pub struct ParsedRequest {
    /// The request for the decision module. The engine assigns the ID.
    pub request: Request,
    /// The ID that the client gave the request, if any.
    pub client_request_id: Option<u64>,
    /// The request to forward.
    pub payload: Payload,
    /// The memory of a buffered body. A streamed body holds its own permit.
    pub body_permit: Option<Permit>,
}

/// Time within which a body that is buffered must arrive, counted from its head.
const BODY_BASE_TIMEOUT: Duration = Duration::from_millis(2300);
/// Rate in bytes per second at which this time is extended with the bytes received.
const MIN_BODY_BYTES_PER_SECOND: u32 = 32 << 10;

/// Memory for request bodies. Streamed bodies have a budget of their own, so that slow uploads can't block
/// short requests.
#[derive(Debug)]
pub struct BodyBudgets {
    /// The budget for buffered bodies, in bytes.
    pub buffered: Rc<Budget>,
    /// The budget for streamed bodies, in bytes.
    pub streamed: Rc<Budget>,
}

/// Reads and validates a request. Errors in the head are reported before the body is read.
/// `raw_content_length` is whether the raw head has a Content-Length header, or `None` if unknown.
pub async fn read_request(
    request: hyper::Request<Incoming>,
    settings: &Settings,
    wire: &WireSettings,
    dialect: &Dialect,
    budgets: &BodyBudgets,
    raw_content_length: Option<bool>,
    input: &Rc<ClientInput>,
) -> Result<ParsedRequest, RequestError> {
    let (mut head, body) = request.into_parts();
    // hyper drops Content-Length if Transfer-Encoding precedes it. Both together are rejected, because a
    // backend might take the body for another request.
    let transfer_coding = single_header(&head.headers, "transfer-encoding")?;
    let has_length = head.headers.contains_key(CONTENT_LENGTH) || raw_content_length == Some(true);
    if transfer_coding.is_some_and(|coding| has_length || !coding.eq_ignore_ascii_case("chunked")) {
        return Err(RequestError::Framing);
    }
    let length = body.size_hint().exact();
    if !head.uri.path().starts_with('/') || head.uri.scheme_str().is_some_and(|s| s != "http") {
        return Err(RequestError::Target);
    }
    // A target in absolute form also names the host (RFC 9112, section 3.2.2). The path is forwarded with
    // that host.
    if let (Some(authority), Some(path)) = (head.uri.authority(), head.uri.path_and_query()) {
        let host =
            hyper::header::HeaderValue::from_str(authority.as_str()).map_err(|_| RequestError::Target)?;
        single_header(&head.headers, "host")?;
        head.headers.insert("host", host);
        head.uri = path.as_str().parse().map_err(|_| RequestError::Target)?;
    }
    let (client_request_id, request) = match dialect {
        Dialect::Platform => {
            let (client_request_id, request) =
                parse_platform_request(&head.method, &head.headers, settings, wire)?;
            (Some(client_request_id), request)
        }
        Dialect::Plain(routes) => {
            (None, parse_plain_request(&head.method, head.uri.path(), &head.headers, settings, routes)?)
        }
    };
    let is_long = length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES as u64);
    let reserved_bytes = length.map_or(MAX_BUFFERED_BODY_BYTES, |l| {
        usize::try_from(l).unwrap_or(MAX_BUFFERED_BODY_BYTES).min(MAX_BUFFERED_BODY_BYTES)
    });
    let (buffered, streamed) = (&budgets.buffered, &budgets.streamed);
    let permit = if is_long { streamed } else { buffered }
        .try_acquire(reserved_bytes)
        .ok_or(RequestError::BodyMemoryFull)?;
    input.begin_body(Instant::now(), length);
    let (body, body_permit) = match read_body(body, length).await? {
        ReadBody::Complete(body) => {
            input.end_body(Instant::now());
            (PayloadBody::Buffered(body), Some(permit))
        }
        ReadBody::Partial(received, remaining) => {
            // A body that turns out to be long moves to the budget for streamed bodies.
            let permit = if is_long {
                permit
            } else {
                streamed.try_acquire(reserved_bytes).ok_or(RequestError::BodyMemoryFull)?
            };
            let response_timeout = Duration::try_from_secs_f64(request.budget).unwrap_or_default();
            (
                PayloadBody::Streamed(
                    RefCell::new(Some(PartialBody { received, remaining, permit })),
                    Upload::new(input.clone(), response_timeout),
                ),
                None,
            )
        }
    };
    let loss_cost = match (settings.classes[request.class].effect, &body) {
        (Effect::Unsafe, _) | (_, PayloadBody::Streamed(..)) => LossCost::NotRetryable,
        (Effect::Safe | Effect::Keyed { .. }, _) => LossCost::Retryable,
    };
    let lost_on_reused = Cell::new(false);
    let headers = forward_request_headers(head.headers);
    let payload = Payload { method: head.method, uri: head.uri, headers, body, loss_cost, lost_on_reused };
    Ok(ParsedRequest { request, client_request_id, payload, body_permit })
}

/// A body that was read completely, or its start.
enum ReadBody {
    Complete(Bytes),
    Partial(Bytes, Incoming),
}

/// Reads a body up to the buffering limit. Reads nothing of a body that is known to be longer.
async fn read_body(mut body: Incoming, length: Option<u64>) -> Result<ReadBody, RequestError> {
    if length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES as u64) {
        return Ok(ReadBody::Partial(Bytes::new(), body));
    }
    let mut received = BytesMut::with_capacity(length.map_or(0, |l| usize::try_from(l).unwrap_or(0)));
    let started = Instant::now();
    let mut last_byte_at = started;
    loop {
        let slowest_end = started
            + BODY_BASE_TIMEOUT
            + Duration::from_secs(1) * received.len() as u32 / MIN_BODY_BYTES_PER_SECOND;
        let deadline = slowest_end.min(last_byte_at + CLIENT_STALL_TIMEOUT);
        let frame =
            tokio::time::timeout_at(deadline, body.frame()).await.map_err(|_| RequestError::BodyTimeout)?;
        let Some(frame) = frame else { return Ok(ReadBody::Complete(received.freeze())) };
        last_byte_at = Instant::now();
        received.extend_from_slice(
            &frame.map_err(|_| RequestError::BodyIncomplete)?.into_data().unwrap_or_default(),
        );
        if received.len() > MAX_BUFFERED_BODY_BYTES {
            return Ok(ReadBody::Partial(received.freeze(), body));
        }
    }
}

/// Returns the only value of a header. Repeated headers are rejected as ambiguous.
fn single_header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).into_iter();
    let first = values.next();
    let text = first.map(|v| v.to_str().map(str::trim)).transpose();
    match (text, values.next()) {
        (Ok(text), None) => Ok(text),
        _ => Err(RequestError::Header { name, expected: "one value, of plain text" }),
    }
}

/// Returns the client request ID and the request for the decision module.
fn parse_platform_request(
    method: &Method,
    headers: &HeaderMap,
    settings: &Settings,
    wire: &WireSettings,
) -> Result<(u64, Request), RequestError> {
    let invalid = |name, expected| RequestError::Header { name, expected };
    single_header(headers, "host")?;
    let is_hex_id = |id: &&str| id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit());
    let client_request_id =
        single_header(headers, "x-txn")?.filter(is_hex_id).and_then(|id| u64::from_str_radix(id, 16).ok());
    let client_request_id = client_request_id.ok_or(invalid("X-Txn", "16 hex digits"))?;
    let find_position = |names: &[String], name: &str| names.iter().position(|n| n == name);
    let class_index = single_header(headers, "x-lane")?.and_then(|c| find_position(&wire.classes, c));
    let class_index = class_index.ok_or(invalid("X-Lane", "a known class"))?;
    let tenant = match single_header(headers, "x-org")? {
        Some(name) if !wire.tenants.is_empty() => {
            Some(find_position(&wire.tenants, name).ok_or(invalid("X-Org", "a known tenant"))?)
        }
        _ => None,
    };
    let class = &settings.classes[class_index];
    let budget = parse_budget(headers, class)?;
    let key = single_header(headers, "idempotency-key")?;
    let method_allowed = match class.effect {
        Effect::Safe => method == Method::GET,
        Effect::Keyed { .. } | Effect::Unsafe => method == Method::POST,
    };
    match class.effect {
        _ if !method_allowed => Err(RequestError::Method),
        Effect::Keyed { .. } if key.is_none_or(str::is_empty) => {
            Err(invalid("Idempotency-Key", "a value, for this class"))
        }
        Effect::Unsafe if key.is_some() => Err(invalid("Idempotency-Key", "none, for this class")),
        _ => {
            let id = RequestId::default();
            Ok((
                client_request_id,
                Request { id, class: class_index, tenant, key: ordering_key(headers), budget },
            ))
        }
    }
}

/// Returns the time that the client has left, at most the deadline of the class. An unbounded time would keep
/// timers for weeks.
fn parse_budget(headers: &HeaderMap, class: &Class) -> Result<Time, RequestError> {
    let Some(ms) = single_header(headers, "x-remaining-ms")? else {
        return Ok(class.deadline);
    };
    let digits = Some(ms).filter(|ms| ms.bytes().all(|b| b.is_ascii_digit()));
    let ms = digits.and_then(|ms| ms.parse::<u32>().ok());
    let ms = ms.ok_or(RequestError::Header { name: "X-Remaining-Ms", expected: "whole milliseconds" })?;
    Ok((Time::from(ms) / 1000.0).min(class.deadline))
}

/// Returns the request for the decision module of a client that doesn't use the protocol of the platform.
fn parse_plain_request(
    method: &Method,
    path: &str,
    headers: &HeaderMap,
    settings: &Settings,
    routes: &Routes,
) -> Result<Request, RequestError> {
    single_header(headers, "host")?;
    let class_index = routes.find_class(method, path).ok_or(RequestError::Method)?;
    let class = &settings.classes[class_index];
    let is_keyed = matches!(class.effect, Effect::Keyed { .. });
    if is_keyed && single_header(headers, "idempotency-key")?.is_none_or(str::is_empty) {
        return Err(RequestError::Header { name: "Idempotency-Key", expected: "a value, for this class" });
    }
    let budget = parse_budget(headers, class)?;
    Ok(Request {
        id: RequestId::default(),
        class: class_index,
        tenant: None,
        key: ordering_key(headers),
        budget,
    })
}

/// Returns the ordering key: the cookie `sid` as a hexadecimal number, or else its hash.
fn ordering_key(headers: &HeaderMap) -> Option<u64> {
    let cookies = headers.get_all("cookie").into_iter().filter_map(|v| v.to_str().ok());
    let mut pairs = cookies.flat_map(|v| v.split(';')).filter_map(|pair| pair.trim().split_once('='));
    let (_, sid) = pairs.find(|(name, _)| *name == "sid")?;
    let hashed = || {
        sid.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
        })
    };
    Some(u64::from_str_radix(sid, 16).unwrap_or_else(|_| hashed()))
}
