//! The listener for MySQL clients: their logins, the commands of each session in order, and the graceful stop.

use super::answer::{Remainder, ResponseChunk, ServerResponse};
use super::pinned_slot::PinnedSlot;
use super::stall::StallTimeouts;
use super::upstream::{MySqlUpstream, Payload};
use super::wire::{PacketStream, ReceiveError};
use crate::auth::{NONCE_BYTES, PasswordHash};
use crate::connection_state::ConnectionRequirements;
use crate::error::{
    ER_CON_COUNT_ERROR, ER_NET_PACKET_TOO_LARGE, ER_NET_PACKETS_OUT_OF_ORDER, ER_NET_READ_ERROR, ErrPacket,
};
use crate::login::{AuthenticatedClient, ClientLogin, ClientLoginStep, MAX_LOGIN_PACKET_BYTES};
use crate::packet::FrameError;
use crate::pinning::Role;
use crate::session::{CommandAction, CommandFailure, FailureAction, ForwardedCommand, Session, ok_packet};
use bytes::Bytes;
use gannetproxy::engine::{Answer, Engine};
use gannetproxy::{Request, RequestId, Time};
use std::cell::Cell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

/// Time in which a client must have logged in.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a pinned session may continue after a stop was requested.
const PINNED_SESSION_GRACE: Duration = Duration::from_millis(1500);
/// Interval of the checks for open sessions during a stop, and delay after a failed accept.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of the client side.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// Server version that clients are told.
    pub server_version: String,
    /// Maximum number of concurrent sessions.
    pub max_sessions: usize,
    /// Time after which a session without commands is closed.
    pub idle_timeout: Duration,
    /// Longest command, in bytes.
    pub max_command_bytes: usize,
    /// Time after a write of a session in which its reads go to the primary.
    pub read_own_writes_window: Duration,
    /// Time limits in seconds of reads, and of statements that may write.
    pub deadlines: [Time; 2],
    /// Longest times for which a client makes no progress.
    pub stall_timeouts: StallTimeouts,
    /// Limits of a stop.
    pub stop_limits: StopLimits,
}

/// Times from the request to stop to the latest moments of what is still open.
#[derive(Clone, Copy, Debug)]
pub struct StopLimits {
    /// Every statement that is open has its answer.
    pub answers_within: Duration,
    /// All sessions are closed.
    pub ends_within: Duration,
}

/// Serves MySQL clients. Reads are requests of the engines' class 0, all other statements of class 1.
pub struct Front {
    /// The servers that handle every statement, or all but reads if there are replicas.
    primary: Rc<Engine<MySqlUpstream>>,
    /// The servers that handle reads.
    replicas: Option<Rc<Engine<MySqlUpstream>>>,
    /// Password hashes by user name.
    users: HashMap<String, PasswordHash>,
    settings: FrontSettings,
    session_count: Cell<usize>,
    /// The next id of a client connection or session; ids are not reused.
    next_id: Cell<u64>,
    closing: watch::Sender<bool>,
}

/// Reports the client's disconnect to the engine if dropped. After the response this has no effect.
struct DisconnectGuard<'a>(&'a Engine<MySqlUpstream>, RequestId);

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.0.client_disconnected(self.1);
    }
}

/// Counts a session until dropped.
struct SessionGuard(Rc<Front>);

impl Drop for SessionGuard {
    fn drop(&mut self) {
        self.0.session_count.set(self.0.session_count.get() - 1);
    }
}

impl Front {
    /// Creates a front for these users. Without replicas the primary handles the reads as well.
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
            session_count: Cell::new(0),
            next_id: Cell::new(1),
            closing,
        })
    }

    /// Serves until `stop` completes, then finishes the open requests within the limits of a stop. Runs on a
    /// [`tokio::task::LocalSet`].
    pub async fn run(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let accepting = async {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => self.clone().start_session(stream),
                    Err(error) => {
                        eprintln!("dewpier: accept: {error}");
                        tokio::time::sleep(POLL_INTERVAL).await;
                    }
                }
            }
        };
        tokio::select! {
            () = accepting => {}
            () = stop => {}
        }
        drop(listener);
        let StopLimits { answers_within, ends_within } = self.settings.stop_limits;
        self.engines().for_each(|engine| engine.end_requests_within(answers_within));
        self.closing.send_replace(true);
        // What is open after its time is closed with the process.
        let _ = timeout(ends_within, self.wait_for_sessions()).await;
    }

    /// The engines of all servers.
    fn engines(&self) -> impl Iterator<Item = &Rc<Engine<MySqlUpstream>>> {
        std::iter::once(&self.primary).chain(&self.replicas)
    }

    /// Waits until all sessions have ended, or none has had an open request for a while.
    async fn wait_for_sessions(&self) {
        // A client that does not read its response must not delay the exit until the process is killed.
        let mut quiet_time = Duration::ZERO;
        while self.session_count.get() > 0 && quiet_time < 2 * PINNED_SESSION_GRACE {
            tokio::time::sleep(POLL_INTERVAL).await;
            let has_open_requests = self.engines().any(|engine| engine.has_open_requests());
            quiet_time = if has_open_requests { Duration::ZERO } else { quiet_time + POLL_INTERVAL };
        }
    }

    fn allocate_id(&self) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        id
    }

    fn start_session(self: Rc<Self>, stream: TcpStream) {
        self.session_count.set(self.session_count.get() + 1);
        let guard = SessionGuard(self.clone());
        tokio::task::spawn_local(async move {
            let front = &guard.0;
            let mut stream = PacketStream::new(stream, MAX_LOGIN_PACKET_BYTES);
            // Far above the limit, connections are closed without an error packet.
            if front.session_count.get() > 2 * front.settings.max_sessions {
                return;
            }
            if front.session_count.get() > front.settings.max_sessions {
                let error = ErrPacket::new(ER_CON_COUNT_ERROR, b"08004", "Too many connections");
                let _ = timeout(LOGIN_TIMEOUT, stream.send_packet(&error.encode())).await;
                return stream.shutdown().await;
            }
            if let Ok(Some(client)) = timeout(LOGIN_TIMEOUT, front.login(&mut stream)).await {
                stream.set_max_bytes(front.settings.max_command_bytes);
                front.serve_session(&mut stream, client).await;
            }
            stream.shutdown().await;
        });
    }

    async fn login(&self, stream: &mut PacketStream) -> Option<AuthenticatedClient> {
        // Some clients take a zero byte for the end of the nonce.
        let nonce: [u8; NONCE_BYTES] = std::array::from_fn(|_| rand::random_range(1..=127));
        let (mut login, handshake) =
            ClientLogin::new(nonce, self.allocate_id() as u32, &self.settings.server_version);
        stream.send_packet(&handshake).await.ok()?;
        loop {
            let packet = match stream.next_packet().await {
                Ok(packet) => packet,
                Err(error) => {
                    report_receive_error(stream, &error).await;
                    return None;
                }
            };
            match login.handle_packet(&packet, &self.users) {
                ClientLoginStep::Send(packet) => stream.send_packet(&packet).await.ok()?,
                ClientLoginStep::Accepted(client, first_packet) => {
                    if let Some(first_packet) = first_packet {
                        stream.send_packet(&first_packet).await.ok()?;
                    }
                    stream.send_packet(&ok_packet()).await.ok()?;
                    return Some(client);
                }
                ClientLoginStep::Rejected(error) => {
                    let _ = stream.send_packet(&error.encode()).await; // closed either way
                    return None;
                }
            }
        }
    }

    /// Handles the commands of a session in order, until the client disconnects or violates the protocol, or the session is
    /// closed.
    async fn serve_session(&self, stream: &mut PacketStream, client: AuthenticatedClient) {
        let mut session = Session::new(&client, self.settings.max_command_bytes);
        let (mut session_id, slot) = (self.allocate_id(), Rc::new(PinnedSlot::default()));
        let last_write = Cell::new(None);
        let mut closing = self.closing.subscribe();
        loop {
            stream.set_sequence(0);
            let is_pinned = session.pinning().is_pinned();
            let stopped = async {
                let _ = closing.wait_for(|closing| *closing).await; // can't fail: self owns the sender
                if is_pinned {
                    tokio::time::sleep(PINNED_SESSION_GRACE).await;
                }
            };
            let command = tokio::select! {
                biased; // a command that has arrived is read before the session is closed
                command = self.read_command(stream) => command,
                () = stopped => return,
            };
            let command = match command {
                Some(Ok(command)) => command,
                Some(Err(error)) => return report_receive_error(stream, &error).await,
                None => return,
            };
            let sent = match session.handle_command(&command) {
                CommandAction::Quit => return,
                CommandAction::Respond(packet) => self.send_to_client(stream, &packet).await,
                CommandAction::NoResponse => continue,
                CommandAction::ResetSession(packet) => {
                    slot.clear();
                    session_id = self.allocate_id();
                    self.send_to_client(stream, &packet).await
                }
                CommandAction::Forward(forwarded) => {
                    let pending = PendingCommand {
                        command: command.freeze(),
                        received_at: Instant::now(),
                        session_id,
                        slot: &slot,
                        last_write: &last_write,
                    };
                    match self.run_command(stream, &mut session, pending, forwarded).await {
                        Some(Delivery::Complete) => Some(()),
                        Some(Delivery::Error(error)) => self.send_to_client(stream, &error.encode()).await,
                        Some(Delivery::ErrorAndClose(error)) => {
                            let _ = self.send_to_client(stream, &error.encode()).await; // closed either way
                            return;
                        }
                        None => return,
                    }
                }
            };
            if sent.is_none() {
                return;
            }
        }
    }

    /// Reads the next command. None if the client is idle for too long or the command stays incomplete.
    async fn read_command(&self, stream: &mut PacketStream) -> Option<Result<bytes::BytesMut, ReceiveError>> {
        timeout(self.settings.idle_timeout, stream.wait_readable()).await.ok()?;
        match stream.next_packet_within(self.settings.stall_timeouts.command).await {
            Err(ReceiveError::Io(error)) if error.kind() == io::ErrorKind::TimedOut => None,
            command => Some(command),
        }
    }

    /// Sends a packet to a client. None if the client does not accept it.
    async fn send_to_client(&self, stream: &mut PacketStream, packet: &[u8]) -> Option<()> {
        stream.send_packet_within(packet, self.settings.stall_timeouts.client_write).await.ok()
    }

    /// Sends a response to the client, streamed or as a whole. None if the client does not accept it. If the response breaks
    /// off, the error to send takes the next sequence number, so that the client can't mistake the response for a complete
    /// one.
    async fn send_response(
        &self,
        stream: &mut PacketStream,
        session: &mut Session,
        slot: &PinnedSlot,
        response: ServerResponse,
        forwarded: ForwardedCommand,
    ) -> Option<Delivery> {
        let ServerResponse { frames, mut next_sequence, remainder, .. } = response;
        let write_timeout = self.settings.stall_timeouts.client_write;
        stream.send_frames_within(&frames, write_timeout).await.ok()?;
        drop(frames);
        let mut chunks = match remainder {
            Remainder::Complete(end, pinning) => {
                session.record_response(&forwarded, &end, pinning);
                return Some(Delivery::Complete);
            }
            Remainder::Streaming(chunks) => chunks,
        };
        loop {
            match chunks.recv().await {
                Some(ResponseChunk::Frames(frames, sequence_after)) => {
                    stream.send_frames_within(&frames, write_timeout).await.ok()?;
                    next_sequence = sequence_after;
                }
                Some(ResponseChunk::End(end, pinning)) => {
                    session.record_response(&forwarded, &end, pinning);
                    return Some(Delivery::Complete);
                }
                None => {
                    stream.set_sequence(next_sequence);
                    slot.clear();
                    let broken_off = || {
                        let text = "dewpier: the server stopped halfway through its answer";
                        Delivery::Error(ErrPacket::new(ER_NET_READ_ERROR, b"08S01", text))
                    };
                    if forwarded.is_repeatable {
                        return Some(broken_off());
                    }
                    return Some(match session.record_failure(forwarded, CommandFailure::Failed) {
                        FailureAction::ReportError(error) => Delivery::Error(error),
                        FailureAction::ReportAndClose(error) => Delivery::ErrorAndClose(error),
                        // A part of a response can't be taken back.
                        FailureAction::RetryElsewhere(_) => broken_off(),
                    });
                }
            }
        }
    }

    /// Runs a command on a server, again elsewhere if that is harmless, and sends the response to the client. None if the
    /// client has disconnected.
    async fn run_command(
        &self,
        stream: &mut PacketStream,
        session: &mut Session,
        pending: PendingCommand<'_>,
        forwarded: ForwardedCommand,
    ) -> Option<Delivery> {
        pending.slot.release(forwarded.release);
        let mut forwarded = forwarded;
        loop {
            let answer = tokio::select! {
                answer = self.submit(session, &pending, &forwarded) => answer,
                () = stream.wait_for_disconnect() => return None,
            };
            let failure = match answer {
                Answer::Served(response)
                | Answer::Rejected(_, Some(response))
                | Answer::Failed(Some(response)) => {
                    return self.send_response(stream, session, pending.slot, response, forwarded).await;
                }
                Answer::Rejected(retry_after, None) => CommandFailure::Rejected(retry_after),
                Answer::Failed(None) => CommandFailure::Failed,
            };
            pending.slot.clear();
            match session.record_failure(forwarded, failure) {
                FailureAction::RetryElsewhere(retried) => forwarded = retried,
                FailureAction::ReportError(error) => return Some(Delivery::Error(error)),
                FailureAction::ReportAndClose(error) => return Some(Delivery::ErrorAndClose(error)),
            }
        }
    }

    /// The engine for a statement of a session that is not pinned.
    fn select_engine(
        &self,
        pending: &PendingCommand<'_>,
        forwarded: &ForwardedCommand,
    ) -> &Rc<Engine<MySqlUpstream>> {
        let has_written =
            pending.last_write.get().is_some_and(|at| at.elapsed() < self.settings.read_own_writes_window);
        let replicas = self.replicas.as_ref().filter(|_| forwarded.is_repeatable && !has_written);
        replicas.unwrap_or(&self.primary)
    }

    /// Submits a command to the engine of its server or role, and waits for the answer.
    async fn submit(
        &self,
        session: &Session,
        pending: &PendingCommand<'_>,
        forwarded: &ForwardedCommand,
    ) -> Answer<ServerResponse> {
        let payload = Payload {
            command: forwarded.command.as_ref().unwrap_or(&pending.command).clone(),
            requirements: ConnectionRequirements {
                profile: session.profile,
                session_id: pending.session_id,
                database: session.database.clone(),
                statements: forwarded.statements.clone(),
            },
            prepares: forwarded.prepares.as_ref().map(|(statement_id, _)| *statement_id),
            response_kind: forwarded.response_kind,
            selects_database: forwarded.selects_database.clone(),
            pinning: forwarded.pinning,
            is_pinned: forwarded.is_pinned,
            slot: pending.slot.clone(),
        };
        let class = usize::from(!forwarded.is_repeatable);
        let budget = self.settings.deadlines[class] - pending.received_at.elapsed().as_secs_f64();
        if budget <= 0.0 {
            return Answer::Rejected(None, None);
        }
        let engine;
        let (id, answer) = if forwarded.is_pinned {
            let Some((role, backend)) = pending.slot.backend() else { return Answer::Rejected(None, None) };
            engine = match (role, &self.replicas) {
                (Role::Replica, Some(replicas)) => replicas,
                _ => &self.primary,
            };
            engine.submit_request_to(backend, budget, payload)
        } else {
            let request = Request { class, budget, ..Request::default() };
            engine = self.select_engine(pending, forwarded);
            match engine.submit_request(None, request, payload) {
                Some(submitted) => submitted,
                None => return Answer::Rejected(None, None),
            }
        };
        if !forwarded.is_repeatable {
            pending.last_write.set(Some(Instant::now()));
        }
        let guard = DisconnectGuard(engine, id);
        let answer = answer.await;
        drop(guard); // has no effect after the answer
        if !forwarded.is_repeatable {
            pending.last_write.set(Some(Instant::now())); // the write may have taken effect only now
        }
        answer.unwrap_or(Answer::Failed(None))
    }
}

/// A command and the session that sent it.
struct PendingCommand<'a> {
    command: Bytes,
    /// Its time limit counts from here, however often it is sent.
    received_at: Instant,
    session_id: u64,
    slot: &'a Rc<PinnedSlot>,
    /// When the session last sent a statement that may write.
    last_write: &'a Cell<Option<Instant>>,
}

/// How much of the response to a command the client has.
enum Delivery {
    /// All of it.
    Complete,
    /// None, or a part: this error is to follow.
    Error(ErrPacket),
    /// As for `Error`, and the session's state is lost, so that its connection is closed after the error.
    ErrorAndClose(ErrPacket),
}

/// Tells a client why its connection is closed.
async fn report_receive_error(stream: &mut PacketStream, error: &ReceiveError) {
    let error = match error {
        ReceiveError::Io(_) => return,
        ReceiveError::Frame(reason @ FrameError::OutOfOrder { .. }) => {
            ErrPacket::new(ER_NET_PACKETS_OUT_OF_ORDER, b"08S01", reason.to_string())
        }
        ReceiveError::Frame(reason @ FrameError::TooLong { .. }) => {
            ErrPacket::new(ER_NET_PACKET_TOO_LARGE, b"08S01", reason.to_string())
        }
    };
    let _ = timeout(LOGIN_TIMEOUT, stream.send_packet(&error.encode())).await; // closed either way
}
