//! Servers that speak MySQL: kept connections, one exchange on them at a time, and the exact end of each.

use super::answer::{Answered, Cut, GOES_ON_WITHIN, Piece, Rest, Served, worded};
use super::conn::{Conn, Wanted};
use super::ways::Ways;
use crate::error::{self, Error, GENERAL, UNKNOWN};
use crate::login::{Credentials, Shape};
use crate::packet;
use crate::reply::{Answers, Ended, Reply};
use crate::session::{Hold, PING};
use bytes::Bytes;
use gannetproxy::engine::{Attempt, Budget, Upstream, UpstreamResult};
use gannetproxy::{BackendId, Outcome};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Part of the time after which servers close idle connections up to which one is used again.
const REUSE_WITHIN: f64 = 0.7;
/// What a probe logs in as.
const PROBED: Shape = Shape { capabilities: 0, collation: 45 };

struct Idle {
    conn: Conn,
    since: Instant,
}

/// What a list of servers is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// All statements.
    Primary,
    /// Reads alone.
    Replica,
}

/// Where a session keeps the connection that it is held to.
#[derive(Default)]
pub struct Slot(RefCell<Option<(Role, BackendId, Conn)>>);

impl Slot {
    /// Whose connection it is.
    pub fn backend(&self) -> Option<(Role, BackendId)> {
        self.0.borrow().as_ref().map(|(role, backend, _)| (*role, *backend))
    }

    /// Lets it go: the server undoes what was not committed.
    pub fn clear(&self) {
        self.0.take();
    }

    fn take(&self) -> Option<Conn> {
        self.0.take().map(|(.., conn)| conn)
    }
}

/// A command, and on what connection it may go.
pub struct Payload {
    /// The packet.
    pub command: Bytes,
    /// What it needs of its connection.
    pub wanted: Wanted,
    /// The session's number for the statement that it prepares.
    pub prepares: Option<u32>,
    /// How it is answered.
    pub answers: Answers,
    /// The one that it chooses.
    pub chooses: Option<String>,
    /// What holds its session while it runs.
    pub hold: Hold,
    /// It goes on the connection in `slot`, and no other.
    pub held: bool,
    /// Where its connection goes if the session is held to it.
    pub slot: Rc<Slot>,
}

/// A server and the connections to it.
pub struct Endpoint {
    address: Cell<SocketAddr>,
    idle: RefCell<Vec<Idle>>,
    /// Goes up when its connections are no longer to be kept.
    era: Cell<u64>,
}

impl Endpoint {
    fn release(&self) {
        self.era.set(self.era.get() + 1);
        self.idle.borrow_mut().clear();
    }

    /// The one used last that fits. One in a database can't be made to be in none.
    fn kept(&self, wanted: &Wanted, within: Duration) -> Option<Conn> {
        loop {
            let mut idle = self.idle.borrow_mut();
            let fits = |conn: &Conn| {
                conn.shape == wanted.shape && (wanted.database.is_some() || conn.database.is_none())
            };
            let place = idle.iter().rposition(|idle| fits(&idle.conn) && idle.since.elapsed() < within)?;
            let Idle { conn, .. } = idle.remove(place);
            if conn.wire.quiet() {
                return Some(conn);
            }
        }
    }
}

/// All servers, and what holds for each.
pub struct MySqlUpstream {
    /// Connections that may be open at once, to all of them.
    pub connection_budget: Rc<Budget>,
    /// Bytes of answers that may be held at once.
    pub response_budget: Rc<Budget>,
    /// So much of an answer is held before any of it goes to the client, in bytes: up to there it can be asked
    /// for again. Less where there is no room.
    pub max_buffered_bytes: usize,
    /// The longest packet that is carried, in bytes: a row.
    pub max_packet_bytes: usize,
    /// A connection that is not up and logged in by then never is.
    pub connect_timeout: Duration,
    /// Servers close idle connections after this.
    pub server_idle_timeout: Duration,
    /// Who the proxy is to them.
    pub credentials: Rc<Credentials>,
    /// What they are for.
    pub role: Role,
}

impl MySqlUpstream {
    fn ways(&self) -> Ways {
        Ways {
            connection_budget: self.connection_budget.clone(),
            response_budget: self.response_budget.clone(),
            max_buffered_bytes: self.max_buffered_bytes,
            max_packet_bytes: self.max_packet_bytes,
            connect_timeout: self.connect_timeout,
            reuse_timeout: self.server_idle_timeout.mul_f64(REUSE_WITHIN),
            credentials: self.credentials.clone(),
        }
    }
}

impl Upstream for MySqlUpstream {
    type Payload = Payload;
    type Reply = Served;
    type Endpoint = Endpoint;

    fn create_endpoint(&self, address: SocketAddr) -> Endpoint {
        Endpoint { address: Cell::new(address), idle: RefCell::default(), era: Cell::new(0) }
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
        let within = self.server_idle_timeout.mul_f64(REUSE_WITHIN);
        endpoint.idle.borrow_mut().retain(|idle| idle.since.elapsed() < within && idle.conn.wire.quiet());
    }

    fn is_full(&self) -> bool {
        self.connection_budget.is_full()
    }

    fn oldest_idle_since(&self, endpoint: &Endpoint) -> Option<Instant> {
        endpoint.idle.borrow().first().map(|idle| idle.since)
    }

    fn close_oldest_idle(&self, endpoint: &Endpoint) {
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
    ) -> impl Future<Output = UpstreamResult<Served>> + 'static {
        let (ways, role) = (self.ways(), self.role);
        async move { exchange(&endpoint, &payload, &attempt, &ways, role).await }
    }

    fn probe(
        &self,
        endpoint: Rc<Endpoint>,
        attempt: Attempt<()>,
    ) -> impl Future<Output = UpstreamResult<()>> + 'static {
        let ways = self.ways();
        async move {
            let within = 4 * ways.connect_timeout;
            let probed = async {
                let Some(mut conn) = ways.connect(endpoint.address.get(), PROBED, 0).await else {
                    return Outcome::NoConnection;
                };
                if !attempt.gate.can_send(&attempt.clock) {
                    return Outcome::NoConnection;
                }
                match conn.asked(&[PING]).await {
                    Ok(Ended::Whole { .. }) => Outcome::Served,
                    Ok(Ended::Error(_)) => Outcome::Error,
                    Err(_) => Outcome::Reset,
                }
            };
            UpstreamResult::without_reply(timeout(within, probed).await.unwrap_or(Outcome::Timeout))
        }
    }
}

fn done(outcome: Outcome, served: Option<Served>) -> UpstreamResult<Served> {
    UpstreamResult { outcome, reply: served, fallback: None, report: None }
}

/// Puts a connection where it belongs after an exchange: with its session, or where others find it.
fn put(endpoint: &Endpoint, era: u64, payload: &Payload, whose: (Role, BackendId), conn: Conn, hold: Hold) {
    if hold.any() {
        payload.slot.0.replace(Some((whose.0, whose.1, conn)));
    } else if conn.wire.quiet() && endpoint.era.get() == era {
        endpoint.idle.borrow_mut().push(Idle { conn, since: Instant::now() });
    }
}

async fn exchange(
    endpoint: &Endpoint,
    payload: &Payload,
    attempt: &Attempt<Served>,
    ways: &Ways,
    role: Role,
) -> UpstreamResult<Served> {
    let (era, whose) = (endpoint.era.get(), (role, attempt.backend));
    let mut conn = loop {
        let kept = match payload.held {
            true => payload.slot.take().filter(|conn| conn.wire.quiet()),
            false => endpoint.kept(&payload.wanted, ways.reuse_timeout),
        };
        let new = kept.is_none();
        let conn = match (kept, payload.held) {
            (Some(conn), _) => Some(conn),
            (None, true) => None,
            (None, false) => {
                ways.connect(endpoint.address.get(), payload.wanted.shape, payload.wanted.session).await
            }
        };
        let Some(mut conn) = conn else {
            return done(Outcome::NoConnection, None);
        };
        // Its client may have left while the connection was made; and that the whole list is over says nothing
        // against this server.
        if !attempt.request_open.get() || !attempt.gate.is_lease_valid() {
            return done(Outcome::NeverSent, None);
        }
        // The news of a drain may have come while the connection was made.
        if !attempt.gate.can_send(&attempt.clock) {
            return done(Outcome::NoConnection, None);
        }
        match conn.made_fit(&payload.wanted).await {
            Some(Ok(())) => break conn,
            Some(Err(error)) => {
                let hold = payload.hold.after(payload.answers, &Ended::Error(error.number), false);
                let hold = if payload.held { hold } else { Hold::default() };
                put(endpoint, era, payload, whose, conn, hold);
                return done(Outcome::Served, Some(worded(&error, hold)));
            }
            // A kept one may have been closed meanwhile. What it was asked for does nothing.
            None if new => return done(Outcome::NoConnection, None),
            None => {}
        }
    };
    if !attempt.request_open.get() {
        return done(Outcome::NeverSent, None);
    }
    if !attempt.gate.can_send(&attempt.clock) {
        return done(Outcome::NoConnection, None);
    }
    attempt.written.set(true);
    if conn.send(&payload.command, &payload.wanted).await.is_err() {
        return done(Outcome::Reset, None);
    }
    let reply = Reply::new(payload.answers, payload.wanted.deprecate_eof());
    let begun = Cell::new(false);
    let answered = ways.answer(&mut conn.wire, reply, &attempt.reply_sink, &begun).await;
    let Answered { mut frames, next, room, ended, leaves, to } = match answered {
        Ok(answered) => answered,
        Err(Cut::Untaken) => return done(Outcome::Cancelled, None),
        Err(Cut::Broken) => return done(Outcome::Reset, None),
        // With the connection goes what held the session to it, or the answer has begun: that is told as a loss.
        Err(Cut::Long) if payload.hold.any() || begun.get() => return done(Outcome::Error, None),
        Err(Cut::Long) => {
            let text = format!(
                "dewpier: the statement has run; a row of its answer is over {} bytes",
                ways.max_packet_bytes
            );
            let error = Error::new(UNKNOWN, GENERAL, text);
            return done(Outcome::Served, Some(worded(&error, Hold::default())));
        }
    };
    if ended == Ended::Error(error::SERVER_SHUTDOWN) && to.is_none() {
        return done(Outcome::Error, None);
    }
    // Of what may be a procedure a part may have run before the server said no.
    let may_be_parts = payload.held || payload.hold.state;
    let never_ran =
        matches!(ended, Ended::Error(number) if error::never_ran(number)) && !may_be_parts && to.is_none();
    if let (Some(name), Ended::Whole { .. }) = (&payload.chooses, ended) {
        conn.database = Some(name.clone());
    }
    if let (Some(number), Ended::Whole { prepared: Some(prepared), .. }) = (payload.prepares, ended) {
        // The client knows it by the session's number.
        let id = packet::HEADER + 1..packet::HEADER + 5;
        frames.get_mut(id).into_iter().for_each(|bytes| bytes.copy_from_slice(&number.to_le_bytes()));
        if conn.keep(number, prepared.id).await.is_err() {
            return done(Outcome::Reset, None);
        }
    }
    let hold = if never_ran { Hold::default() } else { payload.hold.after(payload.answers, &ended, leaves) };
    put(endpoint, era, payload, whose, conn, hold);
    if let Some(to) = to {
        // Whoever takes it sees by the end that it is whole.
        let last = async {
            to.send(Piece::Frames(frames.freeze(), next)).await?;
            to.send(Piece::Over(ended, hold)).await
        };
        return match timeout(GOES_ON_WITHIN, last).await {
            Ok(Ok(())) => done(Outcome::Served, None),
            _ => done(Outcome::Cancelled, None),
        };
    }
    let answer = Some(Served { frames: frames.freeze(), next, rest: Rest::Over(ended, hold), _room: room });
    match never_ran {
        // Another server may do it; else the client hears what this one said.
        true => UpstreamResult { fallback: answer, ..done(Outcome::Rejected, None) },
        false => done(Outcome::Served, answer),
    }
}
