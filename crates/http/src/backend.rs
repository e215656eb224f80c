//! Backends that speak HTTP: their idle connections, attempts and probes on them, and the exact
//! outcome of each.

use crate::body::{Given, Outgoing, Passing, Progress};
use crate::headers::end_to_end;
use crate::limits::{Budget, Permit};
use crate::payload::Payload;
use crate::peer::{Came, HELD, Peer, Spoilt, connect};
use dewpier_operate::metrics::AttemptCounter;
use dewpier_reuse::{Odds, Price, Shared, Stake};
use gannetproxy::engine::{Attempt, Done, Upstream};
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

/// Part of the idle limit of backends up to which a connection is used again: one that is used
/// close to the limit crosses the backend's closing, and the request on it is lost.
const REUSE_WITHIN: f64 = 0.7;

/// A connection is used again only so long after its last answer: what a backend writes behind an
/// answer comes by then, spoils the connection, and is not taken for the answer to what is sent next.
const SETTLED: Duration = Duration::from_millis(25);
/// What ends so soon after its last byte went out, and without a word, was written to a connection
/// that was spoilt before: nothing has begun to work on it, as far as can be told. To that comes the way there and
/// back, as the connection's making showed it.
const SWALLOWED: Duration = Duration::from_millis(5);

struct Idle {
    peer: Peer,
    permit: Permit,
    since: Instant,
}

/// What is known of connections to all backends, and what a new one costs.
#[derive(Clone)]
pub struct Reuse {
    shared: Rc<RefCell<Shared>>,
    start: Instant,
    price: Price,
}

impl Reuse {
    /// Where a new connection costs so much beyond what it always does, in parts of the worth of an
    /// average request.
    pub fn new(price: f64) -> Self {
        Self { shared: Rc::default(), start: Instant::now(), price: Price::new(price) }
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// A connection to make an attempt on.
struct Ready {
    peer: Peer,
    permit: Permit,
    /// How long it had stood idle; none for a new one.
    idle: Option<Duration>,
}

/// A backend and its idle connections.
pub struct Endpoint {
    address: Cell<SocketAddr>,
    idle: RefCell<Vec<Idle>>,
    /// Goes up when its connections are no longer to be kept.
    era: Cell<u64>,
    budget: Rc<Budget>,
    connect_timeout: Duration,
    reuse_within: Duration,
    reuse: Reuse,
    odds: RefCell<Odds>,
    /// How long it last took to connect.
    way: Cell<Duration>,
}

impl Endpoint {
    /// Closes the idle connections, and those in use once they become idle.
    fn release(&self) {
        self.era.set(self.era.get() + 1);
        self.idle.borrow_mut().clear();
    }

    /// Closes connections that have been idle too long, or that the backend has closed.
    fn sweep(&self) {
        let fresh = |idle: Idle| {
            let Idle { peer, permit, since } = idle;
            let Some(peer) = peer.checked() else {
                self.odds.borrow_mut().closed(self.reuse.now(), since.elapsed().as_secs_f64());
                return None;
            };
            (since.elapsed() < self.reuse_within).then_some(Idle { peer, permit, since })
        };
        let swept = self.idle.take().into_iter().filter_map(fresh).collect();
        self.idle.replace(swept);
    }

    /// Whether one that has stood idle for so long is a better choice than a new one.
    fn worth_using(&self, idle: Duration, stake: Stake) -> bool {
        let Reuse { shared, price, .. } = &self.reuse;
        let (odds, shared) = (self.odds.borrow(), shared.borrow());
        odds.worth_using(&shared, self.reuse.now(), idle.as_secs_f64(), stake, *price)
    }

    /// What became of what was written to a connection.
    fn used(&self, idle: Option<Duration>, spoilt: bool) {
        let idle = idle.map(|idle| idle.as_secs_f64());
        let mut shared = self.reuse.shared.borrow_mut();
        self.odds.borrow_mut().used(&mut shared, self.reuse.now(), idle, spoilt);
    }

    /// An idle connection that has settled and is worth it, the one used last, or a new one; without a stake a new one.
    async fn peer(&self, stake: Option<Stake>) -> Option<Ready> {
        while let Some(stake) = stake {
            let mut idle = self.idle.borrow_mut();
            let settled = idle.iter().rposition(|i| i.since.elapsed() >= SETTLED);
            let Some(place) = settled else {
                break;
            };
            let stood = idle[place].since.elapsed();
            if stood < self.reuse_within && !self.worth_using(stood, stake) {
                // The new one takes the place of the oldest, which is no safer than this: the backend
                // holds no more of them than before.
                drop(idle.remove(0));
                break;
            }
            let Idle { peer, permit, .. } = idle.remove(place);
            if stood < self.reuse_within
                && let Some(peer) = peer.checked()
            {
                return Some(Ready { peer, permit, idle: Some(stood) });
            }
        }
        // Where there is no room for one more, a connection that still has to settle goes for it.
        // Guards against attempts that fail while the backend is idle: at many requests a second
        // more connections settle than may be open.
        let permit = match self.budget.take(1) {
            Some(permit) => permit,
            None => {
                let mut idle = self.idle.borrow_mut();
                (!idle.is_empty()).then(|| idle.remove(0).permit)?
            }
        };
        let begun = Instant::now();
        let peer = connect(self.address.get(), self.connect_timeout).await.ok()?;
        self.way.set(begun.elapsed());
        Some(Ready { peer, permit, idle: None })
    }
}

/// An answer of a backend, as it goes to the client.
#[derive(Debug)]
pub struct Served {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, but for those of the connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Given,
}

/// Which answers of a backend serve a request, and what of them goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answers {
    /// As the platform has it: 200 alone, with its body and what that is.
    Platform,
    /// Plain HTTP: all but server errors, with their headers. A server error is passed on if the
    /// request comes to nothing better.
    Plain,
}

/// All backends that speak HTTP, and what holds for each.
pub struct Http {
    /// Connections that may be open at once, to all of them.
    pub connections: Rc<Budget>,
    /// A connection not up by then never comes up.
    pub connect_timeout: Duration,
    /// Backends close idle connections after this.
    pub idle_close: Duration,
    /// The path of a probe.
    pub probe_path: &'static str,
    /// When a kept connection is used again.
    pub reuse: Reuse,
    /// What counts as served.
    pub answers: Answers,
    /// Where attempts are counted; probes are none.
    pub attempts: AttemptCounter,
}

impl Upstream for Http {
    type Payload = Payload;
    type Reply = Served;
    type Endpoint = Endpoint;

    fn endpoint(&self, address: SocketAddr) -> Endpoint {
        Endpoint {
            address: Cell::new(address),
            idle: RefCell::default(),
            era: Cell::new(0),
            budget: self.connections.clone(),
            connect_timeout: self.connect_timeout,
            reuse_within: self.idle_close.mul_f64(REUSE_WITHIN),
            reuse: self.reuse.clone(),
            odds: RefCell::default(),
            way: Cell::default(),
        }
    }

    fn moved(&self, endpoint: &Endpoint, address: SocketAddr) {
        if endpoint.address.replace(address) != address {
            endpoint.release();
        }
    }

    fn release(&self, endpoint: &Endpoint) {
        endpoint.release();
    }

    fn sweep(&self, endpoint: &Endpoint) {
        endpoint.sweep();
    }

    fn full(&self) -> bool {
        self.connections.full()
    }

    fn idle_since(&self, endpoint: &Endpoint) -> Option<Instant> {
        endpoint.idle.borrow().first().map(|idle| idle.since)
    }

    fn evict(&self, endpoint: &Endpoint) {
        let mut idle = endpoint.idle.borrow_mut();
        if !idle.is_empty() {
            drop(idle.remove(0));
        }
    }

    fn attempt(
        &self,
        endpoint: Rc<Endpoint>,
        payload: Rc<Payload>,
        attempt: Attempt<Served>,
    ) -> impl Future<Output = Done<Served>> + 'static {
        let (answers, attempts) = (self.answers, self.attempts.clone());
        async move {
            let passes = match payload.passes() {
                // What is passed on is out already, with another attempt: this one has nothing to send.
                Some(None) => return Done::without_answer(Outcome::NeverSent),
                Some(passes) => passes,
                None => None,
            };
            let stake = (!payload.lost.get()).then_some(payload.stake);
            let lost = Some(&payload.lost);
            let asks = Asks { answers, counts: Some(attempts), stake, lost, passes, long: true };
            let request =
                |progress: Option<&Progress>| payload.request(attempt.until - attempt.clock.now(), progress);
            let long = |served| attempt.begin.with(served);
            exchange(&endpoint, &attempt, asks, payload.method == Method::HEAD, request, long).await
        }
    }

    fn probe(
        &self,
        endpoint: Rc<Endpoint>,
        attempt: Attempt<()>,
    ) -> impl Future<Output = Done<()>> + 'static {
        let path = self.probe_path;
        async move {
            let request = |_: Option<&Progress>| {
                let mut request = Request::new(Outgoing::default());
                *request.uri_mut() = hyper::Uri::from_static(path);
                request.headers_mut().insert("host", HeaderValue::from_static("backend"));
                Some(request)
            };
            let within = 4 * endpoint.connect_timeout;
            let asks = Asks {
                answers: Answers::Platform,
                counts: None,
                stake: Some(Stake::Wait),
                lost: None,
                passes: None,
                long: false,
            };
            let probed = exchange(&endpoint, &attempt, asks, false, request, |_| false);
            let late = Done::without_answer(Outcome::Timeout);
            let done = tokio::time::timeout(within, probed).await.unwrap_or(late);
            let body = done.served.as_ref().and_then(|s| match &s.body {
                Given::Whole(body) => report(body),
                Given::Passed(_) => None,
            });
            Done { outcome: done.outcome, served: None, fallback: None, report: done.report.or(body) }
        }
    }
}

/// How an exchange goes.
struct Asks<'a> {
    answers: Answers,
    counts: Option<AttemptCounter>,
    /// What is lost with a kept connection; none: it may not go on one.
    stake: Option<Stake>,
    /// Set where a kept connection loses it.
    lost: Option<&'a Cell<bool>>,
    /// How far its body has come, where that is passed on, and how long the answer may take from its end on.
    passes: Option<(Progress, Duration)>,
    /// An answer of any length will do.
    long: bool,
}

async fn exchange<R>(
    endpoint: &Endpoint,
    attempt: &Attempt<R>,
    asks: Asks<'_>,
    head_only: bool,
    request: impl Fn(Option<&Progress>) -> Option<Request<Outgoing>>,
    begin: impl Fn(Served) -> bool,
) -> Done<Served> {
    let Asks { answers, counts, stake, lost, passes, long } = asks;
    let written = &attempt.written;
    let era = endpoint.era.get();
    let mut again = false;
    let (peer, permit, came) = loop {
        let Some(Ready { mut peer, permit, idle }) = endpoint.peer(stake).await else {
            return Done::without_answer(Outcome::NoConnection);
        };
        // Its client may have left while the connection was made; and that the whole list is over says nothing
        // against this backend.
        if !attempt.wanted.get() || !attempt.gate.lent() {
            return Done::without_answer(Outcome::NeverSent);
        }
        // The news of a drain may have come while the connection was made.
        if !attempt.gate.may_send(&attempt.clock) {
            return Done::without_answer(Outcome::NoConnection);
        }
        if passes.is_some() && !attempt.keep.only() {
            return Done::without_answer(Outcome::NeverSent);
        }
        let Some(outgoing) = request(passes.as_ref().map(|(progress, _)| progress)) else {
            return Done::without_answer(Outcome::NeverSent);
        };
        written.set(true);
        let new = idle.is_none();
        let begun = Instant::now();
        match peer.exchange(outgoing, counts.clone(), passes.clone(), !new).await {
            Ok(came) => {
                endpoint.used(idle, false);
                break (peer, permit, came);
            }
            // Some of what is passed on is gone with it.
            Err(spoilt @ Spoilt::Unsent) if passes.is_some() => {
                return Done::without_answer(spoilt.outcome());
            }
            Err(spoilt @ Spoilt::Late) => return Done::without_answer(spoilt.outcome()),
            // One that was kept may have ended meanwhile; a second new one would end again.
            Err(spoilt @ Spoilt::Unsent) if new && again => return Done::without_answer(spoilt.outcome()),
            Err(Spoilt::Unsent) => {
                if idle.is_some() {
                    endpoint.used(idle, true);
                }
                again = again || new;
                written.set(false);
            }
            Err(spoilt @ Spoilt::Sent) => {
                let soon = begun.elapsed() < HELD + SWALLOWED + 2 * endpoint.way.get();
                endpoint.used(idle, soon && !peer.heard());
                lost.filter(|_| !new).into_iter().for_each(|lost| lost.set(true));
                return Done::without_answer(spoilt.outcome());
            }
        }
    };
    let keep = |peer: Peer, permit: Permit| {
        if let Some(peer) = peer.checked()
            && endpoint.era.get() == era
        {
            endpoint.idle.borrow_mut().push(Idle { peer, permit, since: Instant::now() });
        }
    };
    let (head, body, rest) = match came {
        Came::Whole(head, body) => {
            keep(peer, permit);
            (head, Given::Whole(body), None)
        }
        Came::Begun(head, first, body) => {
            if !long {
                return Done::without_answer(Outcome::Reset);
            }
            let left = body.size_hint().exact();
            let (passing, passed) = Passing::begin(first, left);
            (head, Given::Passed(passed), Some((peer, permit, body, passing)))
        }
    };
    let turned_away = || head.headers.get("x-turned-away").is_some_and(|v| v == "1");
    let plain = answers == Answers::Plain;
    let outcome = match head.status {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away() => Outcome::Rejected,
        status if plain && !status.is_server_error() => Outcome::Served,
        _ => Outcome::Error,
    };
    let report = head.headers.get("x-pressure").and_then(|v| report(v.as_bytes()));
    let mut answer = None;
    if plain || outcome == Outcome::Served {
        let mut headers = HeaderMap::new();
        match answers {
            Answers::Platform => {
                headers.extend(head.headers.get(CONTENT_TYPE).map(|v| (CONTENT_TYPE, v.clone())));
            }
            Answers::Plain => headers = end_to_end(head.headers, head_only),
        }
        answer = Some(Served { status: head.status, headers, body });
    }
    if let Some((mut peer, permit, mut body, passing)) = rest {
        let Some(answer) = answer.filter(|_| outcome == Outcome::Served) else {
            return Done { outcome, served: None, fallback: None, report };
        };
        if !begin(answer) {
            return Done::without_answer(Outcome::Cancelled);
        }
        loop {
            // Read on where there is room for it; a client that leaves ends it.
            let piece = tokio::select! {
                piece = peer.piece(&mut body) => piece,
                () = passing.gone() => return Done::without_answer(Outcome::Cancelled),
            };
            match piece {
                Ok(Some(data)) if data.is_empty() => {}
                Ok(Some(data)) => {
                    if !passing.piece(data).await {
                        return Done::without_answer(Outcome::Cancelled);
                    }
                }
                Ok(None) => break,
                Err(_) => return Done::without_answer(Outcome::Reset),
            }
        }
        passing.end().await;
        keep(peer, permit);
        return Done { outcome, served: None, fallback: None, report };
    }
    let (served, fallback) = if outcome == Outcome::Served { (answer, None) } else { (None, answer) };
    Done { outcome, served, fallback, report }
}

/// Reads a load report; what the decisions can't use is skipped.
fn report(json: &[u8]) -> Option<Report> {
    let fields: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(json).ok()?;
    let service = fields.get("avg_ms").or(fields.get("latency_ms")).and_then(|v| v.as_f64());
    Some(Report { service_time: service.filter(|ms| *ms >= 0.0).map(|ms| ms / 1000.0) })
}
