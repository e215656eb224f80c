//! The MySQL upstream of the engine: idle connections to each server, and one exchange at a time on a connection.

use super::answer::{
    CompletedResponse, ReadFailure, Remainder, ResponseChunk, ServerResponse, error_response,
};
use super::conn::ServerConnection;
use super::exchange_settings::ExchangeSettings;
use super::pinned_slot::{PinnedConnection, PinnedSlot};
use crate::connection_state::ConnectionRequirements;
use crate::error::{self, ER_UNKNOWN_ERROR, ErrPacket, SQLSTATE_GENERAL_ERROR};
use crate::login::{ConnectionProfile, Credentials};
use crate::packet;
use crate::pinning::{Pinning, Role};
use crate::reply::{ResponseEnd, ResponseKind, ResponseTracker};
use crate::session::COM_PING;
use bytes::Bytes;
use gannetproxy::engine::{AttemptContext, Budget, Upstream, UpstreamResult};
use gannetproxy::{BackendId, Outcome};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Fraction of the servers' idle timeout after which an idle connection is no longer reused.
const REUSE_IDLE_FRACTION: f64 = 0.7;
/// The connection profile of probes.
const PROBE_PROFILE: ConnectionProfile = ConnectionProfile { capabilities: 0, collation: 45 };

struct IdleConnection {
    connection: ServerConnection,
    idle_since: Instant,
}

/// A command, and the connection that it may use.
pub struct Payload {
    /// The command packet.
    pub command: Bytes,
    /// What the command requires of its connection.
    pub requirements: ConnectionRequirements,
    /// The session's id for the statement that the command prepares.
    pub prepares: Option<u32>,
    /// The form of the response.
    pub response_kind: ResponseKind,
    /// The database that the command selects.
    pub selects_database: Option<String>,
    /// The session's pinning while the command runs.
    pub pinning: Pinning,
    /// The command may only use the connection in `slot`.
    pub is_pinned: bool,
    /// Receives the connection if the session is pinned to it after the response.
    pub slot: Rc<PinnedSlot>,
}

/// A server and the idle connections to it.
pub struct Endpoint {
    address: Cell<SocketAddr>,
    idle: RefCell<Vec<IdleConnection>>,
    /// Incremented when the present connections must not be reused.
    generation: Cell<u64>,
}

impl Endpoint {
    fn release(&self) {
        self.generation.set(self.generation.get() + 1);
        self.idle.borrow_mut().clear();
    }

    /// Keeps a connection for the next command, unless it was last used in an earlier generation.
    pub(super) fn keep_idle(&self, connection: ServerConnection, generation: u64) {
        if connection.stream.is_quiet() && self.generation.get() == generation {
            self.idle.borrow_mut().push(IdleConnection { connection, idle_since: Instant::now() });
        }
    }

    /// Takes the most recently used suitable connection.
    fn take_idle(
        &self,
        requirements: &ConnectionRequirements,
        max_idle: Duration,
    ) -> Option<ServerConnection> {
        loop {
            let mut idle = self.idle.borrow_mut();
            let is_suitable = |connection: &ServerConnection| {
                connection.profile == requirements.profile && connection.state.is_suitable(requirements)
            };
            let index = idle
                .iter()
                .rposition(|idle| is_suitable(&idle.connection) && idle.idle_since.elapsed() < max_idle)?;
            let IdleConnection { connection, .. } = idle.remove(index);
            if connection.stream.is_quiet() {
                return Some(connection);
            }
        }
    }
}

/// The upstream of an engine: the settings and budgets for all servers of one list.
pub struct MySqlUpstream {
    /// Limits the open connections to all servers.
    pub connection_budget: Rc<Budget>,
    /// Limits the bytes buffered for all responses.
    pub response_budget: Rc<Budget>,
    /// Bytes of a response that are buffered before any of it is sent to the client, if the budget has room. Until then the
    /// statement can be retried.
    pub max_buffered_bytes: usize,
    /// Longest packet that is accepted, in bytes. This limits the length of a row.
    pub max_packet_bytes: usize,
    /// Time in which a connection must be established and logged in.
    pub connect_timeout: Duration,
    /// Time after which servers close idle connections.
    pub server_idle_timeout: Duration,
    /// Time without a byte of a streamed response after which its server has stalled.
    pub response_stall_timeout: Duration,
    /// User and password of the proxy at the servers.
    pub credentials: Rc<Credentials>,
    /// The statements that the servers handle.
    pub role: Role,
}

impl MySqlUpstream {
    fn exchange_settings(&self) -> ExchangeSettings {
        ExchangeSettings {
            connection_budget: self.connection_budget.clone(),
            response_budget: self.response_budget.clone(),
            max_buffered_bytes: self.max_buffered_bytes,
            max_packet_bytes: self.max_packet_bytes,
            connect_timeout: self.connect_timeout,
            response_stall_timeout: self.response_stall_timeout,
            reuse_timeout: self.server_idle_timeout.mul_f64(REUSE_IDLE_FRACTION),
            credentials: self.credentials.clone(),
        }
    }
}

impl Upstream for MySqlUpstream {
    type Payload = Payload;
    type Reply = ServerResponse;
    type Endpoint = Endpoint;

    fn create_endpoint(&self, address: SocketAddr) -> Endpoint {
        Endpoint { address: Cell::new(address), idle: RefCell::default(), generation: Cell::new(0) }
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
        let max_idle = self.server_idle_timeout.mul_f64(REUSE_IDLE_FRACTION);
        endpoint
            .idle
            .borrow_mut()
            .retain(|idle| idle.idle_since.elapsed() < max_idle && idle.connection.stream.is_quiet());
    }

    fn is_full(&self) -> bool {
        self.connection_budget.is_full()
    }

    fn oldest_idle_since(&self, endpoint: &Endpoint) -> Option<Instant> {
        endpoint.idle.borrow().first().map(|idle| idle.idle_since)
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
        attempt: AttemptContext<ServerResponse>,
    ) -> impl Future<Output = UpstreamResult<ServerResponse>> + 'static {
        let (settings, role) = (self.exchange_settings(), self.role);
        async move { exchange(&endpoint, &payload, &attempt, &settings, role).await }
    }

    fn probe(
        &self,
        endpoint: Rc<Endpoint>,
        attempt: AttemptContext<()>,
    ) -> impl Future<Output = UpstreamResult<()>> + 'static {
        let settings = self.exchange_settings();
        async move {
            let probe_timeout = 4 * settings.connect_timeout;
            let probe = async {
                let Some(mut connection) = settings.connect(endpoint.address.get(), PROBE_PROFILE, 0).await
                else {
                    return Outcome::NoConnection;
                };
                if !attempt.gate.can_send(&attempt.clock) {
                    return Outcome::NoConnection;
                }
                match connection.run_command(&[COM_PING]).await {
                    Ok(ResponseEnd::Complete { .. }) => Outcome::Served,
                    Ok(ResponseEnd::Error(_)) => Outcome::Error,
                    Err(_) => Outcome::Reset,
                }
            };
            UpstreamResult::without_reply(timeout(probe_timeout, probe).await.unwrap_or(Outcome::Timeout))
        }
    }
}

fn upstream_result(outcome: Outcome, reply: Option<ServerResponse>) -> UpstreamResult<ServerResponse> {
    UpstreamResult { outcome, reply, error_response: None, report: None }
}

/// Stores a connection after an exchange: in the slot of its session if that is pinned, otherwise with the idle ones.
fn store_connection(
    endpoint: &Rc<Endpoint>,
    generation: u64,
    payload: &Payload,
    backend: BackendId,
    connection: ServerConnection,
    pinning: Pinning,
) {
    if pinning.is_pinned() {
        payload.slot.store(PinnedConnection {
            role: pinning.role,
            backend,
            endpoint: endpoint.clone(),
            generation,
            connection,
        });
    } else {
        endpoint.keep_idle(connection, generation);
    }
}

/// Sends a command to a server and reads the response.
async fn exchange(
    endpoint: &Rc<Endpoint>,
    payload: &Payload,
    attempt: &AttemptContext<ServerResponse>,
    settings: &ExchangeSettings,
    role: Role,
) -> UpstreamResult<ServerResponse> {
    let generation = endpoint.generation.get();
    let pinning_before = payload.pinning.at_server(role);
    let (mut connection, address) = loop {
        let address = endpoint.address.get();
        let reused = match payload.is_pinned {
            true => payload.slot.take().filter(|connection| connection.stream.is_quiet()),
            false => endpoint.take_idle(&payload.requirements, settings.reuse_timeout),
        };
        let is_new = reused.is_none();
        let connection = match (reused, payload.is_pinned) {
            (Some(connection), _) => Some(connection),
            (None, true) => None,
            (None, false) => {
                settings.connect(address, payload.requirements.profile, payload.requirements.session_id).await
            }
        };
        let Some(mut connection) = connection else {
            return upstream_result(Outcome::NoConnection, None);
        };
        if let Err(outcome) = attempt.check_send() {
            return upstream_result(outcome, None);
        }
        match connection.meet_requirements(&payload.requirements).await {
            Some(Ok(())) => break (connection, address),
            Some(Err(error)) => {
                let pinning = pinning_before.after_response(
                    payload.response_kind,
                    &ResponseEnd::Error(error.code),
                    false,
                );
                let pinning = if payload.is_pinned { pinning } else { Pinning::default() };
                store_connection(endpoint, generation, payload, attempt.backend, connection, pinning);
                return upstream_result(Outcome::Served, Some(error_response(&error, pinning)));
            }
            // The server may have closed a reused connection. The preparing commands have no effect, so another
            // connection is tried.
            None if is_new => return upstream_result(Outcome::NoConnection, None),
            None => {}
        }
    };
    if let Err(outcome) = attempt.check_send() {
        return upstream_result(outcome, None);
    }
    // The list may have given the server another address while the connection was opened.
    if !payload.is_pinned && address != endpoint.address.get() {
        return upstream_result(Outcome::NeverSent, None);
    }
    attempt.written.set(true);
    if connection.send_command(&payload.command, &payload.requirements).await.is_err() {
        return upstream_result(Outcome::Reset, None);
    }
    let tracker = ResponseTracker::new(payload.response_kind, payload.requirements.deprecate_eof());
    let streaming_started = Cell::new(false);
    let response = settings
        .read_response(&mut connection.stream, tracker, &attempt.reply_sink, &streaming_started)
        .await;
    let CompletedResponse {
        mut frames,
        next_sequence,
        permits,
        end,
        has_insert_id_or_warnings,
        chunk_sender,
    } = match response {
        Ok(completed) => completed,
        Err(ReadFailure::NotConsumed) => return upstream_result(Outcome::Cancelled, None),
        Err(ReadFailure::ConnectionBroken) => return upstream_result(Outcome::Reset, None),
        // The pinned session loses its connection, or a part of the response was sent: both are reported as a failure.
        Err(ReadFailure::PacketTooLong) if payload.pinning.is_pinned() || streaming_started.get() => {
            return upstream_result(Outcome::Error, None);
        }
        Err(ReadFailure::PacketTooLong) => {
            let text = format!(
                "dewpier: the statement has run; a row of its answer is over {} bytes",
                settings.max_packet_bytes
            );
            let error = ErrPacket::new(ER_UNKNOWN_ERROR, SQLSTATE_GENERAL_ERROR, text);
            return upstream_result(Outcome::Served, Some(error_response(&error, Pinning::default())));
        }
    };
    if end == ResponseEnd::Error(error::ER_SERVER_SHUTDOWN) && chunk_sender.is_none() {
        return upstream_result(Outcome::Error, None);
    }
    // A stored procedure may have run in part before the server rejected a statement of it.
    let may_have_run_in_part = payload.is_pinned || payload.pinning.session_state;
    let is_unexecuted = matches!(end, ResponseEnd::Error(code) if error::is_rejected_before_execution(code))
        && !may_have_run_in_part
        && chunk_sender.is_none();
    if let (Some(name), ResponseEnd::Complete { .. }) = (&payload.selects_database, end) {
        connection.state.record_database(name);
    }
    if let (Some(statement_id), ResponseEnd::Complete { prepared: Some(prepared), .. }) =
        (payload.prepares, end)
    {
        // The client knows the statement by the session's id.
        let id_range = packet::HEADER_BYTES + 1..packet::HEADER_BYTES + 5;
        frames
            .get_mut(id_range)
            .into_iter()
            .for_each(|bytes| bytes.copy_from_slice(&statement_id.to_le_bytes()));
        let recorded =
            connection.record_prepared(&payload.requirements, statement_id, prepared.statement_id).await;
        if recorded.is_err() {
            return upstream_result(Outcome::Reset, None);
        }
    }
    let pinning = if is_unexecuted {
        Pinning::default()
    } else {
        pinning_before.after_response(payload.response_kind, &end, has_insert_id_or_warnings)
    };
    store_connection(endpoint, generation, payload, attempt.backend, connection, pinning);
    if let Some(sender) = chunk_sender {
        // The end tells the receiver that the response is complete.
        let last_chunks = async {
            sender.send(ResponseChunk::Frames(frames.freeze(), next_sequence)).await?;
            sender.send(ResponseChunk::End(end, pinning)).await
        };
        // The receiver is dropped once the client makes no progress.
        return match last_chunks.await {
            Ok(()) => upstream_result(Outcome::Served, None),
            Err(_) => upstream_result(Outcome::Cancelled, None),
        };
    }
    let response = Some(ServerResponse {
        frames: frames.freeze(),
        next_sequence,
        remainder: Remainder::Complete(end, pinning),
        _permits: permits,
    });
    match is_unexecuted {
        // Another server may run the command; otherwise the client gets this server's response.
        true => UpstreamResult { error_response: response, ..upstream_result(Outcome::Rejected, None) },
        false => upstream_result(Outcome::Served, response),
    }
}
