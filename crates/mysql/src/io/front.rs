//! Where MySQL clients connect: logins, their commands one after the other, and the graceful stop.

use super::answer::{Piece, Rest, Served};
use super::conn::Wanted;
use super::upstream::{MySqlUpstream, Payload, Role, Slot};
use super::wire::{Wire, WireError};
use crate::auth::{NONCE, PasswordHash};
use crate::error::{CON_COUNT, Error, NET_READ, PACKET_TOO_LARGE, PACKETS_OUT_OF_ORDER};
use crate::login::{Door, Guest, MOST_PACKET, Next};
use crate::packet::FrameError;
use crate::session::{Lost, Plan, Sent, Session, Then, ok};
use bytes::Bytes;
use gannetproxy::engine::{Answer, Engine};
use gannetproxy::{Request, RequestId, Time};
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

/// A login must be over within this.
const LOGIN_WITHIN: Duration = Duration::from_secs(10);
/// A command that has begun must have come whole within this,
const READ_WITHIN: Duration = Duration::from_secs(30);
/// and an answer be taken.
const TAKEN_WITHIN: Duration = Duration::from_secs(60);
/// On a stop a session that is held to its connection may go on for so long.
const HELD_AFTER_STOP: Duration = Duration::from_millis(1500);
const STEP: Duration = Duration::from_millis(20);

/// What a front is told.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// The version that clients are told.
    pub server_version: String,
    /// Sessions at once.
    pub max_sessions: usize,
    /// A session that asks for nothing for so long is closed.
    pub idle_timeout: Duration,
    /// The longest command, in bytes.
    pub max_command_bytes: usize,
    /// So long after a session has written its reads go to the primary as well.
    pub read_own_writes_window: Duration,
    /// The patience of statements that read, and of those that may write, in seconds.
    pub deadlines: [Time; 2],
}

/// Answers MySQL clients. Reads are of an engine's class 0, all else of class 1.
pub struct Front {
    /// The servers that do all, or all but reads.
    primary: Rc<Engine<MySqlUpstream>>,
    /// Those that read.
    replicas: Option<Rc<Engine<MySqlUpstream>>>,
    /// Clients, and what is kept of their passwords.
    users: HashMap<String, PasswordHash>,
    settings: FrontSettings,
    sessions: Cell<usize>,
    /// Numbers that are never used twice.
    numbers: Cell<u64>,
    closing: watch::Sender<bool>,
}

/// Tells the engine that the client has left, if it is dropped before the answer.
struct Leaving<'a>(&'a Engine<MySqlUpstream>, RequestId);

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        self.0.client_disconnected(self.1);
    }
}

struct Counted(Rc<Front>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.sessions.set(self.0.sessions.get() - 1);
    }
}

impl Front {
    /// One before such servers, for clients of whose passwords that is kept. Where there are replicas, what only
    /// reads goes to them.
    pub fn new(
        primary: Rc<Engine<MySqlUpstream>>,
        replicas: Option<Rc<Engine<MySqlUpstream>>>,
        users: HashMap<String, PasswordHash>,
        settings: FrontSettings,
    ) -> Rc<Self> {
        let closing = watch::Sender::new(false);
        Rc::new(Self {
            primary,
            replicas,
            users,
            settings,
            sessions: Cell::new(0),
            numbers: Cell::new(1),
            closing,
        })
    }

    /// Serves until `stop`, answers what was taken, and returns. Runs on a [`tokio::task::LocalSet`].
    pub async fn run(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let accepting = async {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => self.clone().admit(stream),
                    Err(error) => {
                        eprintln!("dewpier: accept: {error}");
                        tokio::time::sleep(STEP).await;
                    }
                }
            }
        };
        tokio::select! {
            () = accepting => {}
            () = stop => {}
        }
        drop(listener);
        self.closing.send_replace(true);
        // A client that does not take its answer must not keep us until SIGKILL.
        let mut idle = Duration::ZERO;
        while self.sessions.get() > 0 && idle < 2 * HELD_AFTER_STOP {
            tokio::time::sleep(STEP).await;
            let owes =
                self.primary.has_open_requests() || self.replicas.iter().any(|r| r.has_open_requests());
            idle = if owes { Duration::ZERO } else { idle + STEP };
        }
    }

    fn number(&self) -> u64 {
        let number = self.numbers.get();
        self.numbers.set(number + 1);
        number
    }

    fn admit(self: Rc<Self>, stream: TcpStream) {
        self.sessions.set(self.sessions.get() + 1);
        let counted = Counted(self.clone());
        tokio::task::spawn_local(async move {
            let front = &counted.0;
            let mut wire = Wire::new(stream, MOST_PACKET);
            // Beyond that newcomers are not even told.
            if front.sessions.get() > 2 * front.settings.max_sessions {
                return;
            }
            if front.sessions.get() > front.settings.max_sessions {
                let error = Error::new(CON_COUNT, b"08004", "Too many connections");
                let _ = timeout(LOGIN_WITHIN, wire.send(&error.packet())).await;
                return wire.close().await;
            }
            if let Ok(Some(guest)) = timeout(LOGIN_WITHIN, front.login(&mut wire)).await {
                wire.bound(front.settings.max_command_bytes);
                front.serve(&mut wire, guest).await;
            }
            wire.close().await;
        });
    }

    async fn login(&self, wire: &mut Wire) -> Option<Guest> {
        // Clients that take a zero for the end of the nonce would make another proof.
        let nonce: [u8; NONCE] = std::array::from_fn(|_| rand::random_range(1..=127));
        let (mut door, greeting) = Door::new(nonce, self.number() as u32, &self.settings.server_version);
        wire.send(&greeting).await.ok()?;
        loop {
            let packet = match wire.next().await {
                Ok(packet) => packet,
                Err(error) => {
                    refuse(wire, &error).await;
                    return None;
                }
            };
            match door.packet(&packet, &self.users) {
                Next::Ask(packet) => wire.send(&packet).await.ok()?,
                Next::In(guest, first) => {
                    if let Some(first) = first {
                        wire.send(&first).await.ok()?;
                    }
                    wire.send(&ok()).await.ok()?;
                    return Some(guest);
                }
                Next::Out(error) => {
                    let _ = wire.send(&error.packet()).await; // it has been told, or has left
                    return None;
                }
            }
        }
    }

    /// One command after the other, until the client leaves, is to be closed, or breaks the protocol.
    async fn serve(&self, wire: &mut Wire, guest: Guest) {
        let mut session = Session::new(&guest, self.settings.max_command_bytes);
        let (mut number, slot) = (self.number(), Rc::new(Slot::default()));
        let wrote = Cell::new(None);
        let mut closing = self.closing.subscribe();
        loop {
            wire.expect(0);
            let held = session.hold().any();
            let stopped = async {
                let _ = closing.wait_for(|closing| *closing).await; // the sender is in self
                if held {
                    tokio::time::sleep(HELD_AFTER_STOP).await;
                }
            };
            let command = tokio::select! {
                biased; // a command that has come is read before the session is closed
                command = self.command(wire) => command,
                () = stopped => return,
            };
            let command = match command {
                Some(Ok(command)) => command,
                Some(Err(error)) => return refuse(wire, &error).await,
                None => return,
            };
            let told = match session.command(&command) {
                Plan::Quit => return,
                Plan::Answer(packet) => tell(wire, &packet).await,
                Plan::Silent => continue,
                Plan::Reset(packet) => {
                    slot.clear();
                    number = self.number();
                    tell(wire, &packet).await
                }
                Plan::Send(sent) => {
                    let asked = Asked { command: command.freeze(), number, slot: &slot, wrote: &wrote };
                    match self.send(wire, &mut session, asked, sent).await {
                        Some(Told::Frames(answer)) => {
                            let (served, sent) = *answer;
                            match self.pass(wire, &mut session, &slot, served, sent).await {
                                Some(Then::Tell(error)) => tell(wire, &error.packet()).await,
                                Some(Then::End(error)) => {
                                    let _ = tell(wire, &error.packet()).await; // it has been told, or has left
                                    return;
                                }
                                Some(Then::Anywhere(_)) => Some(()),
                                None => return, // it does not take its answer
                            }
                        }
                        Some(Told::Error(error)) => tell(wire, &error.packet()).await,
                        Some(Told::End(error)) => {
                            let _ = tell(wire, &error.packet()).await; // it has been told, or has left
                            return;
                        }
                        None => return,
                    }
                }
            };
            if told.is_none() {
                return;
            }
        }
    }

    /// The next command; none where the client has been idle for too long or stops halfway.
    async fn command(&self, wire: &mut Wire) -> Option<Result<bytes::BytesMut, WireError>> {
        timeout(self.settings.idle_timeout, wire.begun()).await.ok()?;
        timeout(READ_WITHIN, wire.next()).await.ok()
    }

    /// Passes on an answer: all of it, or as it comes. None where the client does not take it. What is told behind it
    /// where it breaks off comes as the next frame, so that the client can't take it for a whole one; `Anywhere`
    /// stands for nothing to tell.
    async fn pass(
        &self,
        wire: &mut Wire,
        session: &mut Session,
        slot: &Slot,
        served: Served,
        sent: Sent,
    ) -> Option<Then> {
        let Served { frames, mut next, rest, .. } = served;
        timeout(TAKEN_WITHIN, wire.pass(&frames)).await.ok()?.ok()?;
        drop(frames);
        let mut pieces = match rest {
            Rest::Over(ended, hold) => {
                session.answered(&sent, &ended, hold);
                return Some(Then::Anywhere(sent));
            }
            Rest::Streams(pieces) => pieces,
        };
        loop {
            match pieces.recv().await {
                Some(Piece::Frames(frames, after)) => {
                    timeout(TAKEN_WITHIN, wire.pass(&frames)).await.ok()?.ok()?;
                    next = after;
                }
                Some(Piece::Over(ended, hold)) => {
                    session.answered(&sent, &ended, hold);
                    return Some(Then::Anywhere(sent));
                }
                None => {
                    wire.expect(next);
                    slot.clear();
                    if sent.read {
                        let text = "dewpier: the server stopped halfway through its answer";
                        return Some(Then::Tell(Error::new(NET_READ, b"08S01", text)));
                    }
                    return Some(session.lost(sent, Lost::Failed));
                }
            }
        }
    }

    /// Has a command done. None where the client has left.
    async fn send(&self, wire: &Wire, session: &mut Session, asked: Asked<'_>, sent: Sent) -> Option<Told> {
        let mut sent = sent;
        loop {
            let answer = tokio::select! {
                answer = self.ask(session, &asked, &sent) => answer,
                () = wire.left() => return None,
            };
            let lost = match answer {
                Answer::Served(served) | Answer::Rejected(_, Some(served)) | Answer::Failed(Some(served)) => {
                    return Some(Told::Frames(Box::new((served, sent))));
                }
                Answer::Rejected(wait, None) => Lost::Refused(wait),
                Answer::Failed(None) => Lost::Failed,
            };
            asked.slot.clear();
            match session.lost(sent, lost) {
                Then::Anywhere(again) => sent = again,
                Then::Tell(error) => return Some(Told::Error(error)),
                Then::End(error) => return Some(Told::End(error)),
            }
        }
    }

    /// Where a statement goes that no connection holds.
    fn engine(&self, asked: &Asked<'_>, sent: &Sent) -> &Rc<Engine<MySqlUpstream>> {
        let wrote = asked.wrote.get().is_some_and(|at| at.elapsed() < self.settings.read_own_writes_window);
        let replicas = self.replicas.as_ref().filter(|_| sent.read && !wrote);
        replicas.unwrap_or(&self.primary)
    }

    async fn ask(&self, session: &Session, asked: &Asked<'_>, sent: &Sent) -> Answer<Served> {
        let payload = Payload {
            command: sent.command.as_ref().unwrap_or(&asked.command).clone(),
            wanted: Wanted {
                shape: session.shape,
                session: asked.number,
                database: session.database.clone(),
                needs: sent.needs.clone(),
            },
            prepares: sent.prepares.as_ref().map(|(number, _)| *number),
            answers: sent.answers,
            chooses: sent.chooses.clone(),
            hold: sent.hold,
            held: sent.held,
            slot: asked.slot.clone(),
        };
        let class = usize::from(!sent.read);
        let budget = self.settings.deadlines[class];
        let engine;
        let (id, answer) = if sent.held {
            let Some((role, backend)) = asked.slot.backend() else { return Answer::Rejected(None, None) };
            engine = match (role, &self.replicas) {
                (Role::Replica, Some(replicas)) => replicas,
                _ => &self.primary,
            };
            engine.submit_request_to(backend, budget, payload)
        } else {
            let request = Request { class, budget, ..Request::default() };
            engine = self.engine(asked, sent);
            match engine.submit_request(None, request, payload) {
                Some(asked) => asked,
                None => return Answer::Rejected(None, None),
            }
        };
        if !sent.read {
            asked.wrote.set(Some(Instant::now()));
        }
        let leaving = Leaving(engine, id);
        let answer = answer.await;
        drop(leaving); // it has had its answer: nothing is told
        if !sent.read {
            asked.wrote.set(Some(Instant::now())); // it may have taken its time
        }
        answer.unwrap_or(Answer::Failed(None))
    }
}

/// A command, whose it is, and where that one's connection is kept.
struct Asked<'a> {
    command: Bytes,
    number: u64,
    slot: &'a Rc<Slot>,
    /// When the session last sent what may write.
    wrote: &'a Cell<Option<Instant>>,
}

/// What a client is told.
enum Told {
    Frames(Box<(Served, Sent)>),
    Error(Error),
    End(Error),
}

/// Tells a client something. None where it does not take it.
async fn tell(wire: &mut Wire, packet: &[u8]) -> Option<()> {
    timeout(TAKEN_WITHIN, wire.send(packet)).await.ok()?.ok()
}

/// Tells a client why nothing more is read of it.
async fn refuse(wire: &mut Wire, error: &WireError) {
    let error = match error {
        WireError::Io(_) => return,
        WireError::Frame(why @ FrameError::OutOfOrder { .. }) => {
            Error::new(PACKETS_OUT_OF_ORDER, b"08S01", why.to_string())
        }
        WireError::Frame(why @ FrameError::TooLong { .. }) => {
            Error::new(PACKET_TOO_LARGE, b"08S01", why.to_string())
        }
    };
    let _ = timeout(LOGIN_WITHIN, wire.send(&error.packet())).await; // it has been told, or has left
}
