//! A connection to a server: opening it, preparing it for a command, and sending commands on it.

use super::exchange_settings::ExchangeSettings;
use super::wire::{PacketStream, ReceiveError};
use crate::capability::DEPRECATE_EOF;
use crate::connection_state::{ConnectionRequirements, ConnectionState, PreparationStep};
use crate::error::ErrPacket;
use crate::login::{ConnectionProfile, MAX_LOGIN_PACKET_BYTES, ServerLogin, ServerLoginStep};
use crate::prepared;
use crate::reply::{MAX_HEAD_BYTES, ResponseEnd, ResponseKind, ResponseTracker};
use crate::session::{COM_INIT_DB, COM_QUERY, COM_RESET_CONNECTION};
use bytes::BytesMut;
use gannetproxy::engine::Permit;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::timeout;

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
    /// What the connection holds for the session that used it last.
    pub(super) state: ConnectionState,
}

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
                state: ConnectionState::new(session_id),
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

    /// Makes the connection meet a command's requirements. None if the connection is unusable; an error if the server does
    /// not have the database, or can't prepare the statement as it was.
    pub(super) async fn meet_requirements(
        &mut self,
        required: &ConnectionRequirements,
    ) -> Option<Result<(), ErrPacket>> {
        loop {
            match self.state.next_step(required) {
                PreparationStep::Ready => return Some(Ok(())),
                PreparationStep::Impossible(error) => return Some(Err(error)),
                PreparationStep::ResetConnection => {
                    self.run_preparing_command(&[COM_RESET_CONNECTION]).await?;
                    self.state.record_reset(required.session_id);
                }
                PreparationStep::RestoreCharacterSet => {
                    self.run_preparing_command(&character_set_command(self.profile.collation)).await?;
                    self.state.record_character_set();
                }
                PreparationStep::CloseStatement(statement_id) => {
                    if let Some(closed) = self.state.record_closed(statement_id) {
                        self.close_statement(closed).await.ok()?;
                    }
                }
                PreparationStep::SelectDatabase { name, kept_statement } => {
                    match (self.select_database(name).await?, kept_statement) {
                        (Ok(()), _) => {}
                        (Err(_), Some(statement_id)) => self.state.record_unpreparable(statement_id),
                        (Err(error), None) => return Some(Err(error)),
                    }
                }
                PreparationStep::PrepareStatement { statement, is_kept } => {
                    match (self.prepare(&statement.sql, required).await.ok()?, is_kept) {
                        (Ok(server_id), _) => {
                            self.record_prepared(required, statement.statement_id, server_id).await.ok()?;
                        }
                        (Err(_), true) => self.state.record_unpreparable(statement.statement_id),
                        (Err(error), false) => return Some(Err(error)),
                    }
                }
            }
        }
    }

    /// Runs a command that a sound server does not reject. None if the connection is unusable.
    async fn run_preparing_command(&mut self, command: &[u8]) -> Option<()> {
        match self.run_command(command).await {
            Ok(ResponseEnd::Complete { .. }) => Some(()),
            _ => None,
        }
    }

    /// Selects a database. None if the connection is unusable; an error if the server does not have the database.
    async fn select_database(&mut self, name: &str) -> Option<Result<(), ErrPacket>> {
        let command = [&[COM_INIT_DB], name.as_bytes()].concat();
        match self.run_command(&command).await.ok()? {
            ResponseEnd::Complete { .. } => {
                self.state.record_database(name);
                Some(Ok(()))
            }
            ResponseEnd::Error(code) => {
                let text = format!("dewpier: the server has no database '{name}' for this user");
                Some(Err(ErrPacket::new(code, b"42000", text)))
            }
        }
    }

    /// Prepares a statement. Returns its id at the server, or the server's error.
    async fn prepare(
        &mut self,
        sql: &[u8],
        required: &ConnectionRequirements,
    ) -> Result<Result<u32, ErrPacket>, ReceiveError> {
        let broken = || ReceiveError::from(std::io::Error::from(std::io::ErrorKind::InvalidData));
        self.stream.set_sequence(0);
        self.stream.send_packet(&[&[prepared::COM_STMT_PREPARE], sql].concat()).await?;
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
        required: &ConnectionRequirements,
        statement_id: u32,
        server_statement_id: u32,
    ) -> std::io::Result<()> {
        match self.state.record_prepared(required, statement_id, server_statement_id) {
            Some(closed) => self.close_statement(closed).await,
            None => Ok(()),
        }
    }

    /// Closes a statement at the server, which has no response.
    async fn close_statement(&mut self, server_statement_id: u32) -> std::io::Result<()> {
        self.stream.set_sequence(0);
        let command = [&[prepared::COM_STMT_CLOSE][..], &server_statement_id.to_le_bytes()].concat();
        self.stream.send_packet(&command).await
    }

    /// Sends a command, after the long data of its parameters.
    pub(super) async fn send_command(
        &mut self,
        command: &[u8],
        required: &ConnectionRequirements,
    ) -> std::io::Result<()> {
        let long_data = required
            .statements
            .executed
            .iter()
            .flat_map(|statement| &statement.long_data)
            .map(|command| &command[..]);
        for command in long_data.chain([command]) {
            self.stream.set_sequence(0);
            let Some(statement) = &required.statements.executed else {
                self.stream.send_packet(command).await?;
                continue;
            };
            // The command has the session's id of the statement, which is replaced by the server's.
            let server_statement_id = self
                .state
                .server_statement_id(statement.statement_id)
                .ok_or(std::io::ErrorKind::InvalidInput)?;
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

/// The command that selects the character set that a login with this collation does. A server takes the id of a collation
/// for either kind of variable.
fn character_set_command(collation: u8) -> Vec<u8> {
    let text = format!(
        "SET @@session.character_set_client={collation},@@session.character_set_results={collation},\
         @@session.collation_connection={collation}"
    );
    [&[COM_QUERY], text.as_bytes()].concat()
}
