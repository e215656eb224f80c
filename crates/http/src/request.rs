//! Reading a client's request and checking it, all that is wrong with it among the errors.

use crate::body::Begun;
use crate::config::WireSettings;
use crate::headers::onward;
use crate::limits::{Budget, MOST_BODY, Permit};
use crate::payload::{Carried, Payload};
use crate::routes::Routes;
use bytes::{Bytes, BytesMut};
use dewpier_reuse::Stake;
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

/// How clients speak.
#[derive(Clone, Debug)]
pub enum Dialect {
    /// As the platform's protocol has it: headers tell class, id and time left.
    Platform,
    /// Plain HTTP: the class follows from method and path, and the rest has defaults.
    Plain(Routes),
}

/// Why a request is not taken.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum Unfit {
    /// A header that is absent, double or makes no sense.
    #[error("{name}: expected {expected}")]
    Header {
        /// The header.
        name: &'static str,
        /// What it should have been.
        expected: &'static str,
    },
    /// A method that the class does not have.
    #[error("the method does not fit the class")]
    Method,
    /// A target that is no path.
    #[error("expected a path")]
    Target,
    /// Framing that might be read in two ways.
    #[error("expected one Content-Length, or 'chunked' as the only coding")]
    Framing,
    /// The body broke off.
    #[error("the body broke off")]
    Broken,
    /// The body did not come in time.
    #[error("the body did not come")]
    Late,
    /// The bodies of other requests take all the room.
    #[error("too much at once, try again")]
    NoRoom,
}

impl Unfit {
    /// The status that tells of it.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Header { .. } | Self::Method | Self::Target | Self::Framing | Self::Broken => {
                StatusCode::BAD_REQUEST
            }
            Self::Late => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// A request that has come whole, or goes on to come, and can be sent on.
pub struct Asked {
    /// What the module is told; the engine gives it an id of its own.
    pub request: Request,
    /// The id that the client gave it, if it gave one.
    pub txn: Option<u64>,
    /// What is sent on.
    pub payload: Payload,
    /// The room that its body takes; one that is passed on keeps it by itself.
    pub room: Option<Permit>,
}

/// A body that is read whole must have come so long after its head,
const BODY_WITHIN: Duration = Duration::from_millis(2300);
/// and a second later for each so many bytes of it: half of what the slowest clients send.
const SLOWEST: u32 = 32 << 10;

/// Room for bodies. Long ones have their own, lest slow uploads keep out what is short.
#[derive(Debug)]
pub struct Room {
    /// For those that are held whole, in bytes.
    pub bodies: Rc<Budget>,
    /// For those that are passed on.
    pub streams: Rc<Budget>,
}

/// Reads a request. What can be told from its head is refused before its body is read. `names_length` says whether
/// the raw head named a length, if that is known.
pub async fn read(
    request: hyper::Request<Incoming>,
    settings: &Settings,
    wire: &WireSettings,
    dialect: &Dialect,
    room: &Room,
    names_length: Option<bool>,
) -> Result<Asked, Unfit> {
    let (mut head, body) = request.into_parts();
    // hyper takes the length away where a coding came before it, and what one side reads as a body may be
    // a request to the other.
    let coded = single(&head.headers, "transfer-encoding")?;
    let lengths = head.headers.contains_key(CONTENT_LENGTH) || names_length == Some(true);
    if coded.is_some_and(|coding| lengths || !coding.eq_ignore_ascii_case("chunked")) {
        return Err(Unfit::Framing);
    }
    let length = body.size_hint().exact();
    if !head.uri.path().starts_with('/') || head.uri.scheme_str().is_some_and(|s| s != "http") {
        return Err(Unfit::Target);
    }
    // A target may name the host as well (RFC 9112, 3.2.2); what goes on is its path, and the host as named there.
    if let (Some(authority), Some(path)) = (head.uri.authority(), head.uri.path_and_query()) {
        let host = hyper::header::HeaderValue::from_str(authority.as_str()).map_err(|_| Unfit::Target)?;
        single(&head.headers, "host")?;
        head.headers.insert("host", host);
        head.uri = path.as_str().parse().map_err(|_| Unfit::Target)?;
    }
    let (txn, request) = match dialect {
        Dialect::Platform => {
            let (txn, request) = check(&head.method, &head.headers, settings, wire)?;
            (Some(txn), request)
        }
        Dialect::Plain(routes) => {
            (None, plain(&head.method, head.uri.path(), &head.headers, settings, routes)?)
        }
    };
    let long = length.is_some_and(|length| length > MOST_BODY as u64);
    let most = length.map_or(MOST_BODY, |l| usize::try_from(l).unwrap_or(MOST_BODY).min(MOST_BODY));
    let (bodies, streams) = (&room.bodies, &room.streams);
    let room = if long { streams } else { bodies }.try_acquire(most).ok_or(Unfit::NoRoom)?;
    let (body, room) = match whole(body, length).await? {
        Read::Whole(body) => (Carried::Whole(body), Some(room)),
        Read::Begun(first, rest) => {
            // One that turns out to be long goes over to the room for those.
            let room = if long { room } else { streams.try_acquire(most).ok_or(Unfit::NoRoom)? };
            let left = length.map(|length| length.saturating_sub(first.len() as u64));
            let patience = Duration::try_from_secs_f64(request.budget).unwrap_or_default();
            (Carried::Passed(RefCell::new(Some(Begun { first, rest, left, room })), patience), None)
        }
    };
    let stake = match (settings.classes[request.class].effect, &body) {
        (Effect::Unsafe, _) | (_, Carried::Passed(..)) => Stake::Whole,
        (Effect::Safe | Effect::Keyed { .. }, _) => Stake::Wait,
    };
    let lost = Cell::new(false);
    let headers = onward(head.headers);
    let payload = Payload { method: head.method, uri: head.uri, headers, body, stake, lost };
    Ok(Asked { request, txn, payload, room })
}

/// A body, or how it begins.
enum Read {
    Whole(Bytes),
    Begun(Bytes, Incoming),
}

/// Reads a body that may be held; of a longer one as much, or nothing where its length is known.
async fn whole(mut body: Incoming, length: Option<u64>) -> Result<Read, Unfit> {
    if length.is_some_and(|length| length > MOST_BODY as u64) {
        return Ok(Read::Begun(Bytes::new(), body));
    }
    let mut whole = BytesMut::with_capacity(length.map_or(0, |l| usize::try_from(l).unwrap_or(0)));
    let begun = Instant::now();
    loop {
        let until = begun + BODY_WITHIN + Duration::from_secs(1) * whole.len() as u32 / SLOWEST;
        let frame = tokio::time::timeout_at(until, body.frame()).await.map_err(|_| Unfit::Late)?;
        let Some(frame) = frame else { return Ok(Read::Whole(whole.freeze())) };
        whole.extend_from_slice(&frame.map_err(|_| Unfit::Broken)?.into_data().unwrap_or_default());
        if whole.len() > MOST_BODY {
            return Ok(Read::Begun(whole.freeze(), body));
        }
    }
}

/// The one value of a header; which of two is meant can't be known.
fn single<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Unfit> {
    let mut values = headers.get_all(name).into_iter();
    let first = values.next();
    let text = first.map(|v| v.to_str().map(str::trim)).transpose();
    match (text, values.next()) {
        (Ok(text), None) => Ok(text),
        _ => Err(Unfit::Header { name, expected: "one value, of plain text" }),
    }
}

/// The client's id and what the module is told of a request.
fn check(
    method: &Method,
    headers: &HeaderMap,
    settings: &Settings,
    wire: &WireSettings,
) -> Result<(u64, Request), Unfit> {
    let unfit = |name, expected| Unfit::Header { name, expected };
    single(headers, "host")?;
    let hex = |id: &&str| id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit());
    let txn = single(headers, "x-txn")?.filter(hex).and_then(|id| u64::from_str_radix(id, 16).ok());
    let txn = txn.ok_or(unfit("X-Txn", "16 hex digits"))?;
    let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
    let index = single(headers, "x-lane")?.and_then(|c| place(&wire.classes, c));
    let index = index.ok_or(unfit("X-Lane", "a known class"))?;
    let tenant = match single(headers, "x-org")? {
        Some(name) if !wire.tenants.is_empty() => {
            Some(place(&wire.tenants, name).ok_or(unfit("X-Org", "a known tenant"))?)
        }
        _ => None,
    };
    let class = &settings.classes[index];
    let budget = budget(headers, class)?;
    let key = single(headers, "idempotency-key")?;
    let fits = match class.effect {
        Effect::Safe => method == Method::GET,
        Effect::Keyed { .. } | Effect::Unsafe => method == Method::POST,
    };
    match class.effect {
        _ if !fits => Err(Unfit::Method),
        Effect::Keyed { .. } if key.is_none_or(str::is_empty) => {
            Err(unfit("Idempotency-Key", "a value, for this class"))
        }
        Effect::Unsafe if key.is_some() => Err(unfit("Idempotency-Key", "none, for this class")),
        _ => {
            let id = RequestId::default();
            Ok((txn, Request { id, class: index, tenant, key: subject(headers), budget }))
        }
    }
}

/// The time that the client has left. No client waits longer than its class allows; a longer wait
/// would keep timers for weeks.
fn budget(headers: &HeaderMap, class: &Class) -> Result<Time, Unfit> {
    let Some(ms) = single(headers, "x-remaining-ms")? else {
        return Ok(class.deadline);
    };
    let digits = Some(ms).filter(|ms| ms.bytes().all(|b| b.is_ascii_digit()));
    let ms = digits.and_then(|ms| ms.parse::<u32>().ok());
    let ms = ms.ok_or(Unfit::Header { name: "X-Remaining-Ms", expected: "whole milliseconds" })?;
    Ok((Time::from(ms) / 1000.0).min(class.deadline))
}

/// What the module is told of a request of a client that knows nothing of the platform.
fn plain(
    method: &Method,
    path: &str,
    headers: &HeaderMap,
    settings: &Settings,
    routes: &Routes,
) -> Result<Request, Unfit> {
    single(headers, "host")?;
    let index = routes.class(method, path).ok_or(Unfit::Method)?;
    let class = &settings.classes[index];
    let keyed = matches!(class.effect, Effect::Keyed { .. });
    if keyed && single(headers, "idempotency-key")?.is_none_or(str::is_empty) {
        return Err(Unfit::Header { name: "Idempotency-Key", expected: "a value, for this class" });
    }
    let budget = budget(headers, class)?;
    Ok(Request { id: RequestId::default(), class: index, tenant: None, key: subject(headers), budget })
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
