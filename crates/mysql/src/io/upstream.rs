//! Servers that speak MySQL: kept connections, one exchange on them at a time, and the exact end of each.

use super::wire::{Wire, WireError};
use crate::error::{self, Error, GENERAL, UNKNOWN};
use crate::login::{Credentials, Entry, MOST_PACKET, Shape, Step};
use crate::packet;
use crate::prepared::{self, Needed};
use crate::reply::{Answers, Ended, HEAD, Reply};
use crate::session::{Hold, INIT_DB, PING, RESET_CONNECTION};
use bytes::{Bytes, BytesMut};
use gannetproxy::engine::{Attempt, Begin, Budget, Done, Permit, Upstream};
use gannetproxy::{BackendId, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

/// Part of the time after which servers close idle connections up to which one is used again.
const REUSE_WITHIN: f64 = 0.7;
/// Bytes of answers are counted, and passed on, in pieces of so many.
const PIECE: usize = 16 << 10;
/// Pieces that wait for the client, of an answer that is passed on as it comes.
const AHEAD: usize = 4;
/// Of such an answer more must come within this, and be taken.
const GOES_ON_WITHIN: Duration = Duration::from_secs(60);
/// What a probe logs in as.
const PROBED: Shape = Shape { capabilities: 0, collation: 45 };

/// A connection to a server, logged in.
struct Conn {
    wire: Wire,
    _permit: Permit,
    shape: Shape,
    /// The database it is in.
    database: Option<String>,
    /// Whose it was last.
    session: u64,
    /// That session's prepared statements, by its numbers and the server's.
    prepared: HashMap<u32, u32>,
}

/// Statements that are prepared on one connection at once; the one of the lowest number goes for a further one.
const MOST_PREPARED: usize = 64;

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
    /// The prepared statement that it is about, which is prepared where it is not yet.
    pub needs: Option<Needed>,
    /// The session's number for the statement that it prepares.
    pub prepares: Option<u32>,
    /// How it is answered.
    pub answers: Answers,
    /// What its answer must look like.
    pub shape: Shape,
    /// The session's number, which no other session has.
    pub session: u64,
    /// The database that it is to run in.
    pub database: Option<String>,
    /// The one that it chooses.
    pub chooses: Option<String>,
    /// What holds its session while it runs.
    pub hold: Hold,
    /// It goes on the connection in `slot`, and no other.
    pub held: bool,
    /// Where its connection goes if the session is held to it.
    pub slot: Rc<Slot>,
}

/// What a server answered.
pub struct Served {
    /// The frames, as they go to the client.
    pub frames: Bytes,
    /// The number of the frame that comes next.
    pub next: u8,
    /// What comes behind them.
    pub rest: Rest,
    /// Their part of what answers may take.
    _room: Vec<Permit>,
}

/// What comes behind the first frames of an answer.
pub enum Rest {
    /// Nothing: how it ended, and what holds the session from there on.
    Over(Ended, Hold),
    /// More. It is whole only where it ends by [`Piece::Over`].
    Streams(mpsc::Receiver<Piece>),
}

/// A piece of an answer that is passed on as it comes.
pub enum Piece {
    /// Frames, and the number of the one that comes next.
    Frames(Bytes, u8),
    /// As [`Rest::Over`].
    Over(Ended, Hold),
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
    fn kept(&self, payload: &Payload, within: Duration) -> Option<Conn> {
        loop {
            let mut idle = self.idle.borrow_mut();
            let fits = |conn: &Conn| {
                conn.shape == payload.shape && (payload.database.is_some() || conn.database.is_none())
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
pub struct MySql {
    /// Connections that may be open at once, to all of them.
    pub connections: Rc<Budget>,
    /// Bytes of answers that may be held at once.
    pub answers: Rc<Budget>,
    /// So much of an answer is held before any of it goes to the client, in bytes: up to there it can be asked
    /// for again. Less where there is no room.
    pub held: usize,
    /// The longest packet that is carried, in bytes: a row.
    pub most_packet: usize,
    /// A connection that is not up and logged in by then never is.
    pub connect_timeout: Duration,
    /// Servers close idle connections after this.
    pub idle_close: Duration,
    /// Who the proxy is to them.
    pub own: Rc<Credentials>,
    /// What they are for.
    pub role: Role,
}

/// What an exchange needs of [`MySql`].
#[derive(Clone)]
struct Ways {
    connections: Rc<Budget>,
    answers: Rc<Budget>,
    held: usize,
    most_packet: usize,
    connect_timeout: Duration,
    keep: Duration,
    own: Rc<Credentials>,
    role: Role,
}

impl MySql {
    fn ways(&self) -> Ways {
        Ways {
            connections: self.connections.clone(),
            answers: self.answers.clone(),
            held: self.held,
            most_packet: self.most_packet,
            connect_timeout: self.connect_timeout,
            keep: self.idle_close.mul_f64(REUSE_WITHIN),
            own: self.own.clone(),
            role: self.role,
        }
    }
}

impl Upstream for MySql {
    type Payload = Payload;
    type Reply = Served;
    type Endpoint = Endpoint;

    fn endpoint(&self, address: SocketAddr) -> Endpoint {
        Endpoint { address: Cell::new(address), idle: RefCell::default(), era: Cell::new(0) }
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
        let within = self.idle_close.mul_f64(REUSE_WITHIN);
        endpoint.idle.borrow_mut().retain(|idle| idle.since.elapsed() < within && idle.conn.wire.quiet());
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
        let ways = self.ways();
        async move { exchange(&endpoint, &payload, &attempt, &ways).await }
    }

    fn probe(
        &self,
        endpoint: Rc<Endpoint>,
        attempt: Attempt<()>,
    ) -> impl Future<Output = Done<()>> + 'static {
        let ways = self.ways();
        async move {
            let within = 4 * ways.connect_timeout;
            let probed = async {
                let Some(mut conn) = ways.connect(endpoint.address.get(), PROBED, 0).await else {
                    return Outcome::NoConnection;
                };
                if !attempt.gate.may_send(&attempt.clock) {
                    return Outcome::NoConnection;
                }
                match conn.asked(&[PING]).await {
                    Ok(Ended::Whole { .. }) => Outcome::Served,
                    Ok(Ended::Error(_)) => Outcome::Error,
                    Err(_) => Outcome::Reset,
                }
            };
            Done::without_answer(timeout(within, probed).await.unwrap_or(Outcome::Timeout))
        }
    }
}

/// Why an answer can't be followed to its end.
enum Cut {
    /// The connection broke, or what came is no answer.
    Broken,
    /// A packet of it is longer than is carried.
    Long,
    /// It has begun to go out, and its client takes no more of it.
    Untaken,
}

impl From<WireError> for Cut {
    fn from(error: WireError) -> Self {
        match error {
            WireError::Frame(packet::FrameError::TooLong { .. }) => Self::Long,
            _ => Self::Broken,
        }
    }
}

/// An answer that has come to its end.
struct Answered {
    /// Its frames, or what is left of them to pass on.
    frames: BytesMut,
    next: u8,
    room: Vec<Permit>,
    ended: Ended,
    leaves: bool,
    /// Where its beginning went to.
    to: Option<mpsc::Sender<Piece>>,
}

impl Ways {
    /// A new connection, logged in.
    async fn connect(&self, address: SocketAddr, shape: Shape, session: u64) -> Option<Conn> {
        let permit = self.connections.take(1)?;
        let connected = async {
            let mut wire = Wire::new(TcpStream::connect(address).await.ok()?, MOST_PACKET);
            let mut entry = Entry::new(shape);
            loop {
                let said = wire.next().await.ok()?;
                match entry.packet(&said, &self.own) {
                    Ok(Step::Say(packet)) => wire.send(&packet).await.ok()?,
                    Ok(Step::Wait) => {}
                    Ok(Step::Done) => break,
                    Err(unfit) => {
                        eprintln!("dewpier: {address}: {unfit}");
                        return None;
                    }
                }
            }
            wire.bound(self.most_packet);
            Some(Conn { wire, _permit: permit, shape, database: None, session, prepared: HashMap::new() })
        };
        timeout(self.connect_timeout, connected).await.ok().flatten()
    }

    /// Reads an answer to its end. Past what is held it is passed on as it comes; `begun` then tells so.
    async fn answer(
        &self,
        wire: &mut Wire,
        mut reply: Reply,
        begin: &Begin<Served>,
        begun: &Cell<bool>,
    ) -> Result<Answered, Cut> {
        let (mut frames, mut room, mut to) = (BytesMut::new(), Vec::new(), None::<mpsc::Sender<Piece>>);
        loop {
            let sequence = wire.sequence();
            let packet = match &to {
                // Before it begins the engine's own timer sees to it.
                None => wire.next().await?,
                Some(_) => timeout(GOES_ON_WITHIN, wire.next()).await.map_err(|_| Cut::Broken)??,
            };
            packet::write(&mut frames, &packet, sequence);
            let head = packet.get(..HEAD).unwrap_or(&packet);
            if let Some(ended) = reply.packet(head, packet.len()).map_err(|_| Cut::Broken)? {
                let (next, leaves) = (wire.sequence(), reply.leaves());
                return Ok(Answered { frames, next, room, ended, leaves, to });
            }
            match &to {
                Some(to) if frames.len() >= PIECE => {
                    let piece = Piece::Frames(frames.split().freeze(), wire.sequence());
                    let taken = timeout(GOES_ON_WITHIN, to.send(piece)).await;
                    if !matches!(taken, Ok(Ok(()))) {
                        return Err(Cut::Untaken);
                    }
                }
                Some(_) => {}
                None => {
                    while room.len() * PIECE < frames.len() {
                        let Some(permit) = self.answers.take(PIECE) else { break };
                        room.push(permit);
                    }
                    if frames.len() > self.held || room.len() * PIECE < frames.len() {
                        let (sender, receiver) = mpsc::channel(AHEAD);
                        let (frames, next) = (frames.split().freeze(), wire.sequence());
                        let rest = Rest::Streams(receiver);
                        let _room = std::mem::take(&mut room);
                        if !begin.with(Served { frames, next, rest, _room }) {
                            return Err(Cut::Untaken);
                        }
                        begun.set(true);
                        to = Some(sender);
                    }
                }
            }
        }
    }
}

impl Conn {
    /// A command of our own, which is answered by an OK or an error.
    async fn asked(&mut self, command: &[u8]) -> Result<Ended, WireError> {
        self.wire.expect(0);
        self.wire.send(command).await?;
        let packet = self.wire.next().await?;
        let head = packet.get(..HEAD).unwrap_or(&packet);
        let ended = Reply::new(Answers::Ok, false).packet(head, packet.len());
        match ended {
            Ok(Some(ended)) => Ok(ended),
            _ => Err(std::io::Error::from(std::io::ErrorKind::InvalidData).into()),
        }
    }

    /// Makes it what a command needs: nothing of another session is left on it, and it is in the right database.
    /// None where it is spoilt; the server's error where it has no such database, or can't prepare the statement.
    async fn made_fit(&mut self, payload: &Payload) -> Option<Result<(), Error>> {
        if self.session != payload.session {
            match self.asked(&[RESET_CONNECTION]).await {
                // Statements that were prepared on it are gone with it.
                Ok(Ended::Whole { .. }) => (self.session, self.prepared) = (payload.session, HashMap::new()),
                _ => return None,
            }
        }
        match &payload.database {
            Some(name) if self.database.as_ref() != Some(name) => {
                let command = [&[INIT_DB], name.as_bytes()].concat();
                match self.asked(&command).await {
                    Ok(Ended::Whole { .. }) => self.database = Some(name.clone()),
                    Ok(Ended::Error(number)) => {
                        let text = format!("dewpier: the server has no database '{name}' for this user");
                        return Some(Err(Error::new(number, b"42000", text)));
                    }
                    Err(_) => return None,
                }
            }
            _ => {}
        }
        match &payload.needs {
            Some(needed) if !self.prepared.contains_key(&needed.number) => {
                let command = [&[prepared::PREPARE], &needed.text[..]].concat();
                match self.prepare(&command, payload).await {
                    Ok(Ok(id)) => self.keep(needed.number, id).await.ok()?,
                    Ok(Err(error)) => return Some(Err(error)),
                    Err(_) => return None,
                }
            }
            _ => {}
        }
        Some(Ok(()))
    }

    /// Has a statement prepared: the server's number for it, or its error.
    async fn prepare(&mut self, command: &[u8], payload: &Payload) -> Result<Result<u32, Error>, WireError> {
        let broken = || WireError::from(std::io::Error::from(std::io::ErrorKind::InvalidData));
        self.wire.expect(0);
        self.wire.send(command).await?;
        let mut reply = Reply::new(Answers::Prepared, payload.deprecate_eof());
        loop {
            let packet = self.wire.next().await?;
            let head = packet.get(..HEAD).unwrap_or(&packet);
            match reply.packet(head, packet.len()) {
                Ok(None) => {}
                Ok(Some(Ended::Whole { prepared: Some(prepared), .. })) => return Ok(Ok(prepared.id)),
                Ok(Some(Ended::Error(_))) => return Ok(Err(Error::read(&packet).map_err(|_| broken())?)),
                _ => return Err(broken()),
            }
        }
    }

    /// Remembers a statement that is prepared on it.
    async fn keep(&mut self, number: u32, id: u32) -> std::io::Result<()> {
        self.prepared.insert(number, id);
        if self.prepared.len() > MOST_PREPARED
            && let Some(lowest) = self.prepared.keys().filter(|known| **known != number).min().copied()
            && let Some(closed) = self.prepared.remove(&lowest)
        {
            self.wire.expect(0);
            self.wire.send(&[&[prepared::CLOSE][..], &closed.to_le_bytes()].concat()).await?; // not answered
        }
        Ok(())
    }

    /// Sends a command, and what goes ahead of it.
    async fn send(&mut self, payload: &Payload) -> std::io::Result<()> {
        let ahead = payload.needs.iter().flat_map(|needed| &needed.ahead);
        for command in ahead.chain([&payload.command]) {
            self.wire.expect(0);
            let Some(needed) = &payload.needs else {
                self.wire.send(command).await?;
                continue;
            };
            // Its number is the session's: the server has another.
            let id = self.prepared.get(&needed.number).ok_or(std::io::ErrorKind::InvalidInput)?;
            let mut command = BytesMut::from(&command[..]);
            command.get_mut(1..5).into_iter().for_each(|bytes| bytes.copy_from_slice(&id.to_le_bytes()));
            self.wire.send(&command).await?;
        }
        Ok(())
    }
}

impl Payload {
    fn deprecate_eof(&self) -> bool {
        self.shape.capabilities & crate::capability::DEPRECATE_EOF != 0
    }
}

/// An answer of one error of our own.
fn worded(error: &Error, hold: Hold) -> Served {
    let mut frames = BytesMut::new();
    let next = packet::write(&mut frames, &error.packet(), 1);
    let rest = Rest::Over(Ended::Error(error.number), hold);
    Served { frames: frames.freeze(), next, rest, _room: Vec::new() }
}

fn done(outcome: Outcome, served: Option<Served>) -> Done<Served> {
    Done { outcome, served, fallback: None, report: None }
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
) -> Done<Served> {
    let (era, whose) = (endpoint.era.get(), (ways.role, attempt.backend));
    let mut conn = loop {
        let kept = match payload.held {
            true => payload.slot.take().filter(|conn| conn.wire.quiet()),
            false => endpoint.kept(payload, ways.keep),
        };
        let new = kept.is_none();
        let conn = match (kept, payload.held) {
            (Some(conn), _) => Some(conn),
            (None, true) => None,
            (None, false) => ways.connect(endpoint.address.get(), payload.shape, payload.session).await,
        };
        let Some(mut conn) = conn else {
            return done(Outcome::NoConnection, None);
        };
        // That the whole list is over says nothing against this server.
        if !attempt.gate.lent() {
            return done(Outcome::NeverSent, None);
        }
        // The news of a drain may have come while the connection was made.
        if !attempt.gate.may_send(&attempt.clock) {
            return done(Outcome::NoConnection, None);
        }
        match conn.made_fit(payload).await {
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
    if !attempt.gate.may_send(&attempt.clock) {
        return done(Outcome::NoConnection, None);
    }
    attempt.written.set(true);
    if conn.send(payload).await.is_err() {
        return done(Outcome::Reset, None);
    }
    let reply = Reply::new(payload.answers, payload.deprecate_eof());
    let begun = Cell::new(false);
    let answered = ways.answer(&mut conn.wire, reply, &attempt.begin, &begun).await;
    let Answered { mut frames, next, room, ended, leaves, to } = match answered {
        Ok(answered) => answered,
        Err(Cut::Untaken) => return done(Outcome::Cancelled, None),
        Err(Cut::Broken) => return done(Outcome::Reset, None),
        // With the connection goes what held the session to it, or the answer has begun: that is told as a loss.
        Err(Cut::Long) if payload.hold.any() || begun.get() => return done(Outcome::Error, None),
        Err(Cut::Long) => {
            let text = format!(
                "dewpier: the statement has run; a row of its answer is over {} bytes",
                ways.most_packet
            );
            let error = Error::new(UNKNOWN, GENERAL, text);
            return done(Outcome::Served, Some(worded(&error, Hold::default())));
        }
    };
    if ended == Ended::Error(error::SERVER_SHUTDOWN) && to.is_none() {
        return done(Outcome::Error, None);
    }
    let never_ran =
        matches!(ended, Ended::Error(number) if error::never_ran(number)) && !payload.held && to.is_none();
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
        true => Done { fallback: answer, ..done(Outcome::Full, None) },
        false => done(Outcome::Served, answer),
    }
}
