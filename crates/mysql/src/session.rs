//! The state of one client session: what each command requires, which connection it may use, and what the client is
//! told when that connection is lost. No I/O.
//!
//! A session can use any connection between two statements unless it is pinned to one: by an open transaction (the
//! server's status flag reports it), by state that only that connection has (variables, temporary tables, locks, and
//! anything not understood), or, for a few statements, by a generated id or warnings that the client may still ask for.
//! It leaves a connection to a replica for whatever a replica must not run.

use crate::capability::DEPRECATE_EOF;
use crate::error::{
    self, ER_NOT_SUPPORTED_YET, ER_TOO_MANY_CONCURRENT_TRXS, ER_UNKNOWN_ERROR, ErrPacket,
    SQLSTATE_GENERAL_ERROR, SQLSTATE_RESOLUTION_UNKNOWN, SQLSTATE_SERIALIZATION_FAILURE,
};
use crate::login::{AuthenticatedClient, ConnectionProfile};
use crate::pinning::{ConnectionRelease, Pinning, TransactionState};
use crate::prepared::{self, ExecuteCommand, ExecuteError, PreparedStatements, StatementRequirements};
use crate::reply::{ResponseEnd, ResponseKind};
use crate::statement::{StatementKind, classify};
use bytes::Bytes;

/// COM_QUIT.
pub const COM_QUIT: u8 = 0x01;
/// COM_INIT_DB.
pub const COM_INIT_DB: u8 = 0x02;
/// COM_QUERY.
pub const COM_QUERY: u8 = 0x03;
const COM_FIELD_LIST: u8 = 0x04;
const COM_STATISTICS: u8 = 0x09;
/// COM_PING.
pub const COM_PING: u8 = 0x0e;
const COM_CHANGE_USER: u8 = 0x11;
const COM_STMT_FETCH: u8 = 0x1c;
const COM_SET_OPTION: u8 = 0x1b;
/// COM_RESET_CONNECTION.
pub const COM_RESET_CONNECTION: u8 = 0x1f;

/// Longest accepted name of a database: 64 characters of four bytes.
const MAX_DATABASE_NAME_BYTES: usize = 256;

/// A command that is forwarded to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedCommand {
    /// The command only reads and may be sent again.
    pub is_repeatable: bool,
    /// The command may only use the connection that the session is pinned to.
    pub is_pinned: bool,
    /// What becomes of the session's connection before the command is sent.
    pub release: ConnectionRelease,
    /// The pinning while the command runs, from which that after its response is derived.
    pub pinning: Pinning,
    /// The form of the response.
    pub response_kind: ResponseKind,
    /// The database that the command selects.
    pub selects_database: Option<String>,
    /// The command to send, if it differs from the one received.
    pub command: Option<Bytes>,
    /// The prepared statements that the command requires of its connection.
    pub statements: Box<StatementRequirements>,
    /// The session's id and the text of the statement that the command prepares.
    pub prepares: Option<(u32, Bytes)>,
    /// The command refers to the result of the previous statement.
    depends_on_previous: bool,
    /// If the connection is lost, the server rolls back the command with its transaction.
    rolled_back_on_loss: bool,
}

/// What to do with a command of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandAction {
    /// Forward the command to a server.
    Forward(ForwardedCommand),
    /// Respond with this packet.
    Respond(Bytes),
    /// Send no response.
    NoResponse,
    /// Give up the session's connection and respond with this packet.
    ResetSession(Bytes),
    /// End the session: the client quits.
    Quit,
}

/// Why a forwarded command got no response from a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CommandFailure {
    /// Nothing of the command was sent. The value is the time in seconds after which to try again, if known.
    Rejected(Option<f64>),
    /// The command may have run.
    Failed,
}

/// What to do after a forwarded command has failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailureAction {
    /// Forward the command over any connection: nothing was sent, and nothing that it needs is lost.
    RetryElsewhere(ForwardedCommand),
    /// Report this error to the client; the session goes on.
    ReportError(ErrPacket),
    /// Report this error to the client and close its connection, as the session's state is lost.
    ReportAndClose(ErrPacket),
}

/// A client's session.
#[derive(Debug)]
pub struct Session {
    /// The capabilities and the collation that its connections must have.
    pub profile: ConnectionProfile,
    /// The selected database.
    pub database: Option<String>,
    pinning: Pinning,
    prepared_statements: PreparedStatements,
    /// Longest command, and most long data for one session, in bytes.
    max_command_bytes: usize,
    /// A connection had a generated id or warnings for the session, which are lost once the session leaves it.
    had_lingering_data: bool,
}

/// An OK packet without generated id and warnings.
pub fn ok_packet() -> Bytes {
    Bytes::from_static(&[0, 0, 0, 2, 0, 0, 0])
}

fn unsupported(what: &str) -> CommandAction {
    CommandAction::Respond(
        ErrPacket::new(ER_NOT_SUPPORTED_YET, b"42000", format!("dewpier: {what} is not carried")).encode(),
    )
}

impl Session {
    /// A new session of a client, whose commands are at most `max_command_bytes` long.
    pub fn new(client: &AuthenticatedClient, max_command_bytes: usize) -> Self {
        Self {
            profile: client.profile,
            database: client.database.clone(),
            pinning: Pinning::default(),
            prepared_statements: PreparedStatements::default(),
            max_command_bytes,
            had_lingering_data: false,
        }
    }

    /// Whether rows end with an OK packet instead of an EOF packet.
    pub fn deprecate_eof(&self) -> bool {
        self.profile.capabilities & DEPRECATE_EOF != 0
    }

    /// The reasons for which the session must stay on its connection.
    pub fn pinning(&self) -> Pinning {
        self.pinning
    }

    /// Decides what to do with a command of the client.
    pub fn handle_command(&mut self, command: &[u8]) -> CommandAction {
        let Some((code, rest)) = command.split_first() else {
            return CommandAction::Respond(
                ErrPacket::new(error::ER_UNKNOWN_COM_ERROR, b"08S01", "an empty command").encode(),
            );
        };
        match *code {
            COM_QUIT => CommandAction::Quit,
            COM_PING => CommandAction::Respond(ok_packet()),
            COM_QUERY => self.plan_query(rest),
            COM_INIT_DB => match std::str::from_utf8(rest) {
                Ok(name) if (1..=MAX_DATABASE_NAME_BYTES).contains(&name.len()) => {
                    self.forward(StatementKind::UseDatabase(name.into()), ResponseKind::Ok, false)
                }
                _ => CommandAction::Respond(ErrPacket::new(1049, b"42000", "Unknown database").encode()),
            },
            COM_STATISTICS => self.forward(StatementKind::Read, ResponseKind::Text, false),
            COM_FIELD_LIST => self.forward(StatementKind::Read, ResponseKind::ColumnDefinitions, false),
            COM_RESET_CONNECTION => {
                (self.pinning, self.had_lingering_data, self.prepared_statements) =
                    (Pinning::default(), false, PreparedStatements::default());
                CommandAction::ResetSession(ok_packet())
            }
            COM_CHANGE_USER => unsupported("COM_CHANGE_USER"),
            prepared::COM_STMT_PREPARE => self.plan_prepare(rest),
            prepared::COM_STMT_EXECUTE => self.plan_execute(command),
            prepared::COM_STMT_SEND_LONG_DATA => {
                self.prepared_statements
                    .add_long_data(Bytes::copy_from_slice(command), self.max_command_bytes);
                CommandAction::NoResponse
            }
            prepared::COM_STMT_CLOSE => {
                self.prepared_statements.handle_close(command);
                CommandAction::NoResponse
            }
            prepared::COM_STMT_RESET => match self.prepared_statements.handle_reset(command) {
                Ok(()) => CommandAction::Respond(ok_packet()),
                Err(error) => CommandAction::Respond(execute_error_packet(&error).encode()),
            },
            COM_STMT_FETCH => unsupported("a cursor"),
            COM_SET_OPTION => unsupported("several statements at once"),
            code => {
                let text = format!("dewpier: command {code:#04x} is not carried");
                CommandAction::Respond(ErrPacket::new(error::ER_UNKNOWN_COM_ERROR, b"08S01", text).encode())
            }
        }
    }

    fn plan_query(&mut self, text: &[u8]) -> CommandAction {
        let (kind, depends_on_previous) =
            std::str::from_utf8(text).map_or((StatementKind::SessionState, false), classify);
        self.plan_statement(kind, depends_on_previous)
    }

    fn plan_statement(&mut self, kind: StatementKind, depends_on_previous: bool) -> CommandAction {
        let stays = self.pinning.is_pinned() && self.pinning.admits(&kind);
        if depends_on_previous && self.had_lingering_data && !stays {
            let text = "dewpier: what that asks for was left on a connection that the session no longer has";
            return CommandAction::Respond(ErrPacket::new(ER_NOT_SUPPORTED_YET, b"42000", text).encode());
        }
        self.forward(kind, ResponseKind::ResultSets, depends_on_previous)
    }

    /// Plans a COM_STMT_PREPARE, which may be repeated: preparing a statement does not run it.
    fn plan_prepare(&mut self, text: &[u8]) -> CommandAction {
        let Some(statement_id) = self.prepared_statements.allocate_id() else {
            let text = "Can't create more than max_prepared_stmt_count statements";
            return CommandAction::Respond(
                ErrPacket::new(error::ER_MAX_PREPARED_STMT_COUNT_REACHED, b"42000", text).encode(),
            );
        };
        let text = Bytes::copy_from_slice(text);
        match self.forward(StatementKind::Read, ResponseKind::PrepareOk, false) {
            CommandAction::Forward(forwarded) => {
                CommandAction::Forward(ForwardedCommand { prepares: Some((statement_id, text)), ..forwarded })
            }
            other => other,
        }
    }

    fn plan_execute(&mut self, command: &[u8]) -> CommandAction {
        let ExecuteCommand { command, required_statement, kind, depends_on_previous } =
            match self.prepared_statements.build_execute(command) {
                Ok(execute) => execute,
                Err(error) => return CommandAction::Respond(execute_error_packet(&error).encode()),
            };
        match self.plan_statement(kind, depends_on_previous) {
            CommandAction::Forward(mut forwarded) => {
                forwarded.statements.executed = Some(required_statement);
                CommandAction::Forward(ForwardedCommand { command: Some(command), ..forwarded })
            }
            other => other,
        }
    }

    fn forward(
        &mut self,
        kind: StatementKind,
        response_kind: ResponseKind,
        depends_on_previous: bool,
    ) -> CommandAction {
        let mut release = ConnectionRelease::Keep;
        if !self.pinning.admits(&kind) {
            release = self.pinning.release();
            self.pinning = Pinning::default();
        }
        let is_pinned = self.pinning.is_pinned();
        let has_session_state = self.pinning.session_state;
        let begins_session_state = kind == StatementKind::SessionState && !has_session_state;
        CommandAction::Forward(ForwardedCommand {
            statements: Box::new(StatementRequirements {
                executed: None,
                kept: match begins_session_state {
                    true => self.prepared_statements.all(),
                    false => Vec::new(),
                },
                closed: self.prepared_statements.take_removed_ids(),
                has_session_state,
            }),
            // A repeat may use another connection, which has neither the transaction nor the session state.
            is_repeatable: kind == StatementKind::Read && !is_pinned,
            is_pinned,
            release,
            pinning: Pinning {
                session_state: self.pinning.session_state || kind == StatementKind::SessionState,
                ..self.pinning
            },
            response_kind,
            rolled_back_on_loss: self.pinning.transaction == TransactionState::Open
                && matches!(
                    kind,
                    StatementKind::Read | StatementKind::ReadsDiagnostics | StatementKind::Write
                ),
            selects_database: match kind {
                StatementKind::UseDatabase(name) => Some(name),
                _ => None,
            },
            depends_on_previous,
            command: None,
            prepares: None,
        })
    }

    /// Records a response, and the pinning of the session after it.
    pub fn record_response(&mut self, command: &ForwardedCommand, end: &ResponseEnd, pinning: Pinning) {
        self.had_lingering_data = self.had_lingering_data || pinning.linger_statements > 0;
        self.pinning = pinning;
        if let (Some(name), ResponseEnd::Complete { .. }) = (&command.selects_database, end) {
            self.database = Some(name.clone());
        }
        if let (Some((statement_id, text)), ResponseEnd::Complete { prepared: Some(prepared), .. }) =
            (&command.prepares, end)
        {
            self.prepared_statements.insert(
                *statement_id,
                text.clone(),
                self.database.clone(),
                prepared.parameter_count,
            );
        }
    }

    /// Ends the pinning after a command that got no response, and decides what the client is told. The connection of the
    /// session, if it was pinned to one, is closed.
    pub fn record_failure(&mut self, command: ForwardedCommand, failure: CommandFailure) -> FailureAction {
        let pinning = std::mem::take(&mut self.pinning);
        if !command.is_pinned {
            return FailureAction::ReportError(match failure {
                CommandFailure::Rejected(retry_after) => rejected_error(retry_after),
                CommandFailure::Failed => outcome_unknown_error("it may have run"),
            });
        }
        let has_no_effect = match failure {
            CommandFailure::Rejected(_) => true,
            CommandFailure::Failed => command.rolled_back_on_loss,
        };
        if pinning.session_state {
            let text =
                "the connection to the server is lost, and with it the session's state and transaction";
            return FailureAction::ReportAndClose(match (has_no_effect, pinning.transaction) {
                (true, TransactionState::Unknown) => transaction_unknown_error(),
                (true, _) => ErrPacket::new(
                    ER_UNKNOWN_ERROR,
                    b"08006",
                    format!("dewpier: {text}; nothing of this statement stands"),
                ),
                (false, _) => outcome_unknown_error(text),
            });
        }
        match (pinning.transaction, has_no_effect) {
            (TransactionState::Unknown, true) => FailureAction::ReportError(transaction_unknown_error()),
            (TransactionState::Open, true) => FailureAction::ReportError(ErrPacket::new(
                ER_TOO_MANY_CONCURRENT_TRXS,
                SQLSTATE_SERIALIZATION_FAILURE,
                "dewpier: the connection to the server is lost; the transaction is rolled back",
            )),
            (TransactionState::Open | TransactionState::Unknown, false) => FailureAction::ReportError(
                outcome_unknown_error("the connection to the server is lost in a transaction"),
            ),
            // Only the generated id or the warnings are lost: any other statement can use another connection.
            (TransactionState::None, true) if !command.depends_on_previous => {
                FailureAction::RetryElsewhere(ForwardedCommand {
                    is_pinned: false,
                    release: ConnectionRelease::Keep,
                    pinning: Pinning { linger_statements: 0, ..command.pinning },
                    ..command
                })
            }
            (TransactionState::None, true) => FailureAction::ReportError(rejected_error(None)),
            (TransactionState::None, false) => {
                FailureAction::ReportError(outcome_unknown_error("it may have run"))
            }
        }
    }
}

fn execute_error_packet(error: &ExecuteError) -> ErrPacket {
    match error {
        ExecuteError::UnknownStatement(statement_id) => {
            let text = format!("Unknown prepared statement handler ({statement_id})");
            ErrPacket::new(error::ER_UNKNOWN_STMT_HANDLER, SQLSTATE_GENERAL_ERROR, text)
        }
        ExecuteError::MalformedPacket(malformed) => {
            ErrPacket::new(error::ER_MALFORMED_PACKET, SQLSTATE_GENERAL_ERROR, malformed.to_string())
        }
        ExecuteError::MissingTypes => ErrPacket::new(
            error::ER_WRONG_ARGUMENTS,
            SQLSTATE_GENERAL_ERROR,
            "an EXECUTE: expected types, found none",
        ),
    }
}

/// The error for a command of which nothing has run.
fn rejected_error(retry_after_seconds: Option<f64>) -> ErrPacket {
    let when =
        retry_after_seconds.map(|seconds| format!(" in {:.0} ms", seconds * 1000.0)).unwrap_or_default();
    ErrPacket::new(
        ER_TOO_MANY_CONCURRENT_TRXS,
        SQLSTATE_SERIALIZATION_FAILURE,
        format!("dewpier: not done, and trying again{when} is harmless"),
    )
}

/// The error for a command that may have run.
fn outcome_unknown_error(reason: &str) -> ErrPacket {
    ErrPacket::new(
        ER_UNKNOWN_ERROR,
        SQLSTATE_RESOLUTION_UNKNOWN,
        format!("dewpier: {reason}; whether this statement stands is not known"),
    )
}

/// The error for a command of which nothing has run, after a transaction that may have been committed.
fn transaction_unknown_error() -> ErrPacket {
    ErrPacket::new(
        ER_UNKNOWN_ERROR,
        SQLSTATE_RESOLUTION_UNKNOWN,
        "dewpier: the connection to the server is lost after an error in a transaction; nothing of this statement \
         stands, and whether the transaction does is not known",
    )
}
