//! A connection to a server: opening it, preparing it for a command, and sending commands on it.

use super::exchange_settings::ExchangeSettings;
use super::wire::{PacketStream, ReceiveError};
use crate::capability::DEPRECATE_EOF;
use crate::error::ErrPacket;
use crate::login::{ConnectionProfile, MAX_LOGIN_PACKET_BYTES, ServerLogin, ServerLoginStep};
use crate::prepared::{self, RequiredStatement};
use crate::reply::{MAX_HEAD_BYTES, ResponseEnd, ResponseKind, ResponseTracker};
use crate::session::{COM_INIT_DB, COM_RESET_CONNECTION};
use bytes::BytesMut;
use gannetproxy::engine::Permit;
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// What a command requires of its connection.
#[derive(Clone, Debug)]
pub struct ConnectionRequirements {
    /// Capabilities and collation.
    pub profile: ConnectionProfile,
    /// Id of the session, unique within the process.
    pub session_id: u64,
    /// The database in which the command runs.
    pub database: Option<String>,
    /// The prepared statement that the command executes. It is prepared first if the connection does not have it.
    pub required_statement: Option<RequiredStatement>,
}

impl ConnectionRequirements {
    /// Whether rows end with an OK packet instead of an EOF packet.
    pub(super) fn deprecate_eof(&self) -> bool {
        self.profile.capabilities & DEPRECATE_EOF != 0
    }
}

/// A connection to a server, logged in.
pub(super) struct ServerConnection {
    pub(super) stream: PacketStream,
    _permit: Permit,
    pub(super) profile: ConnectionProfile,
    /// The selected database.
    pub(super) database: Option<String>,
    /// The session that used the connection last.
    pub(super) session_id: u64,
    /// Ids of that session's prepared statements at the server, by the session's ids.
    pub(super) prepared_ids: HashMap<u32, u32>,
}

/// Statements that may be prepared on one connection; beyond it the one with the lowest id is closed.
const MAX_PREPARED_PER_CONNECTION: usize = 64;

impl ExchangeSettings {
    /// Opens a connection and logs in. None if that fails or takes too long.
    pub(super) async fn connect(
        &self,
        address: SocketAddr,
        profile: ConnectionProfile,
        session_id: u64,
    ) -> Option<ServerConnection> {
        let permit = self.connection_budget.try_acquire(1)?;
        let connecting = async {
            let mut stream =
                PacketStream::new(TcpStream::connect(address).await.ok()?, MAX_LOGIN_PACKET_BYTES);
            let mut login = ServerLogin::new(profile);
            loop {
                let packet = stream.next_packet().await.ok()?;
                match login.handle_packet(&packet, &self.credentials) {
                    Ok(ServerLoginStep::Send(packet)) => stream.send_packet(&packet).await.ok()?,
                    Ok(ServerLoginStep::Receive) => {}
                    Ok(ServerLoginStep::Done) => break,
                    Err(error) => {
                        eprintln!("dewpier: login to {address} failed: {error}");
                        return None;
                    }
                }
            }
            stream.set_max_bytes(self.max_packet_bytes);
            Some(ServerConnection {
                stream,
                _permit: permit,
                profile,
                database: None,
                session_id,
                prepared_ids: HashMap::new(),
            })
        };
        timeout(self.connect_timeout, connecting).await.ok().flatten()
    }
}

impl ServerConnection {
    /// Runs a command of the proxy to which the server responds with an OK or an error.
    pub(super) async fn run_command(&mut self, command: &[u8]) -> Result<ResponseEnd, ReceiveError> {
        self.stream.set_sequence(0);
        self.stream.send_packet(command).await?;
        let packet = self.stream.next_packet().await?;
        let head = packet.get(..MAX_HEAD_BYTES).unwrap_or(&packet);
        let end = ResponseTracker::new(ResponseKind::Ok, false).track_packet(head, packet.len());
        match end {
            Ok(Some(end)) => Ok(end),
            _ => Err(std::io::Error::from(std::io::ErrorKind::InvalidData).into()),
        }
    }

    /// Makes the connection meet a command's requirements: removes the state of another session, selects the database and
    /// prepares the statement. None if the connection is unusable; an error if the server does not have the database or
    /// can't prepare the statement.
    pub(super) async fn meet_requirements(
        &mut self,
        required: &ConnectionRequirements,
    ) -> Option<Result<(), ErrPacket>> {
        if self.session_id != required.session_id {
            match self.run_command(&[COM_RESET_CONNECTION]).await {
                // The reset has also closed the prepared statements.
                Ok(ResponseEnd::Complete { .. }) => {
                    (self.session_id, self.prepared_ids) = (required.session_id, HashMap::new())
                }
                _ => return None,
            }
        }
        match &required.database {
            Some(name) if self.database.as_ref() != Some(name) => {
                let command = [&[COM_INIT_DB], name.as_bytes()].concat();
                match self.run_command(&command).await {
                    Ok(ResponseEnd::Complete { .. }) => self.database = Some(name.clone()),
                    Ok(ResponseEnd::Error(code)) => {
                        let text = format!("dewpier: the server has no database '{name}' for this user");
                        return Some(Err(ErrPacket::new(code, b"42000", text)));
                    }
                    Err(_) => return None,
                }
            }
            _ => {}
        }
        match &required.required_statement {
            Some(statement) if !self.prepared_ids.contains_key(&statement.statement_id) => {
                let command = [&[prepared::COM_STMT_PREPARE], &statement.sql[..]].concat();
                match self.prepare(&command, required).await {
                    Ok(Ok(server_statement_id)) => {
                        self.record_prepared(statement.statement_id, server_statement_id).await.ok()?
                    }
                    Ok(Err(error)) => return Some(Err(error)),
                    Err(_) => return None,
                }
            }
            _ => {}
        }
        Some(Ok(()))
    }

    /// Prepares a statement. Returns its id at the server, or the server's error.
    async fn prepare(
        &mut self,
        command: &[u8],
        required: &ConnectionRequirements,
    ) -> Result<Result<u32, ErrPacket>, ReceiveError> {
        let broken = || ReceiveError::from(std::io::Error::from(std::io::ErrorKind::InvalidData));
        self.stream.set_sequence(0);
        self.stream.send_packet(command).await?;
        let mut tracker = ResponseTracker::new(ResponseKind::PrepareOk, required.deprecate_eof());
        loop {
            let packet = self.stream.next_packet().await?;
            let head = packet.get(..MAX_HEAD_BYTES).unwrap_or(&packet);
            match tracker.track_packet(head, packet.len()) {
                Ok(None) => {}
                Ok(Some(ResponseEnd::Complete { prepared: Some(prepared), .. })) => {
                    return Ok(Ok(prepared.statement_id));
                }
                Ok(Some(ResponseEnd::Error(_))) => {
                    return Ok(Err(ErrPacket::parse(&packet).map_err(|_| broken())?));
                }
                _ => return Err(broken()),
            }
        }
    }

    /// Records a prepared statement, and closes another if there are too many.
    pub(super) async fn record_prepared(
        &mut self,
        statement_id: u32,
        server_statement_id: u32,
    ) -> std::io::Result<()> {
        self.prepared_ids.insert(statement_id, server_statement_id);
        if self.prepared_ids.len() > MAX_PREPARED_PER_CONNECTION
            && let Some(lowest) = self.prepared_ids.keys().filter(|id| **id != statement_id).min().copied()
            && let Some(closed) = self.prepared_ids.remove(&lowest)
        {
            self.stream.set_sequence(0);
            self.stream
                .send_packet(&[&[prepared::COM_STMT_CLOSE][..], &closed.to_le_bytes()].concat())
                .await?; // not answered
        }
        Ok(())
    }

    /// Sends a command, after the long data of its parameters.
    pub(super) async fn send_command(
        &mut self,
        command: &[u8],
        required: &ConnectionRequirements,
    ) -> std::io::Result<()> {
        let long_data = required
            .required_statement
            .iter()
            .flat_map(|statement| &statement.long_data)
            .map(|command| &command[..]);
        for command in long_data.chain([command]) {
            self.stream.set_sequence(0);
            let Some(statement) = &required.required_statement else {
                self.stream.send_packet(command).await?;
                continue;
            };
            // The command has the session's id of the statement, which is replaced by the server's.
            let server_statement_id =
                self.prepared_ids.get(&statement.statement_id).ok_or(std::io::ErrorKind::InvalidInput)?;
            let mut command = BytesMut::from(command);
            command
                .get_mut(1..5)
                .into_iter()
                .for_each(|bytes| bytes.copy_from_slice(&server_statement_id.to_le_bytes()));
            self.stream.send_packet(&command).await?;
        }
        Ok(())
    }
}
