//! What a connection to a server holds for the session that uses it: the selected database, the character set and the
//! prepared statements. Decides which commands bring the connection to what a command of a session requires. No I/O.
//!
//! A server keeps for a prepared statement what its connection had at the PREPARE: the database, the character set, the SQL
//! mode. A statement that moves to another connection is therefore prepared there in the database of its first PREPARE and
//! before the session changes anything else; where that is impossible it is not prepared again at all.

use crate::error::{ER_NEED_REPREPARE, ErrPacket, SQLSTATE_GENERAL_ERROR};
use crate::login::ConnectionProfile;
use crate::prepared::{RequiredStatement, StatementRequirements};
use std::collections::{HashMap, HashSet};

/// Statements that may be prepared on one connection that sessions share; beyond it the one with the lowest id is closed.
const MAX_PREPARED_PER_CONNECTION: usize = 64;

/// What a command requires of its connection.
#[derive(Clone, Debug)]
pub struct ConnectionRequirements {
    /// Capabilities and collation.
    pub profile: ConnectionProfile,
    /// Id of the session, unique within the process.
    pub session_id: u64,
    /// The database in which the command runs.
    pub database: Option<String>,
    /// The prepared statements.
    pub statements: Box<StatementRequirements>,
}

/// What a connection holds.
#[derive(Debug)]
pub struct ConnectionState {
    /// The session that used the connection last.
    session_id: u64,
    /// The selected database.
    database: Option<String>,
    /// Whether the character set is that of the login. A reset takes the server's default.
    has_login_character_set: bool,
    /// Ids of the session's prepared statements at the server, by the session's ids.
    prepared_ids: HashMap<u32, u32>,
    /// Statements that the server could not prepare again, by the session's ids.
    unpreparable: HashSet<u32>,
}

/// The next command that a connection needs before it meets the requirements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PreparationStep<'a> {
    /// Remove the state of another session.
    ResetConnection,
    /// Select the character set of the login again.
    RestoreCharacterSet,
    /// Close the statement with this id of the session.
    CloseStatement(u32),
    /// Select a database: that of the command, or that in which a statement was prepared.
    SelectDatabase {
        /// The database.
        name: &'a str,
        /// The kept statement for which it is selected; the command does without it.
        kept_statement: Option<u32>,
    },
    /// Prepare a statement.
    PrepareStatement {
        /// The statement.
        statement: &'a RequiredStatement,
        /// The statement is kept for later, and the command does without it.
        is_kept: bool,
    },
    /// The requirements are met.
    Ready,
    /// They can't be met.
    Impossible(ErrPacket),
}

impl ConnectionState {
    /// The state of a new connection that is logged in for a session.
    pub fn new(session_id: u64) -> Self {
        Self {
            session_id,
            database: None,
            has_login_character_set: true,
            prepared_ids: HashMap::new(),
            unpreparable: HashSet::new(),
        }
    }

    /// Returns the server's id of a statement of the session.
    pub fn server_statement_id(&self, statement_id: u32) -> Option<u32> {
        self.prepared_ids.get(&statement_id).copied()
    }

    /// Whether the connection can meet the requirements. A server can't go back to no database, so that a connection with one
    /// suits neither a session without nor a statement that was prepared without.
    pub fn is_suitable(&self, required: &ConnectionRequirements) -> bool {
        let needs_none = |statement: &RequiredStatement| {
            statement.database.is_none() && !self.has_prepared(required, statement.statement_id)
        };
        let mut statements = required.statements.kept.iter().chain(&required.statements.executed);
        self.database.is_none() || required.database.is_some() && !statements.any(needs_none)
    }

    fn has_prepared(&self, required: &ConnectionRequirements, statement_id: u32) -> bool {
        self.session_id == required.session_id && self.prepared_ids.contains_key(&statement_id)
    }

    /// Decides on the next command. Each recorded command brings the connection closer to the requirements.
    pub fn next_step<'a>(&self, required: &'a ConnectionRequirements) -> PreparationStep<'a> {
        if self.session_id != required.session_id {
            return PreparationStep::ResetConnection;
        }
        if !self.has_login_character_set {
            return PreparationStep::RestoreCharacterSet;
        }
        if let Some(closed) = required.statements.closed.iter().find(|id| self.prepared_ids.contains_key(id))
        {
            return PreparationStep::CloseStatement(*closed);
        }
        if let Some((statement, is_kept)) = self.missing_statement(required) {
            return self.prepare_step(required, statement, is_kept);
        }
        match &required.database {
            Some(name) if self.database.as_ref() != Some(name) => {
                PreparationStep::SelectDatabase { name, kept_statement: None }
            }
            _ => PreparationStep::Ready,
        }
    }

    /// Returns the next statement to prepare, and whether the command does without it.
    fn missing_statement<'a>(
        &self,
        required: &'a ConnectionRequirements,
    ) -> Option<(&'a RequiredStatement, bool)> {
        let is_missing =
            |statement: &&RequiredStatement| !self.prepared_ids.contains_key(&statement.statement_id);
        let can_keep = |statement: &&RequiredStatement| {
            !self.unpreparable.contains(&statement.statement_id)
                && (statement.database.is_some() || self.database.is_none())
        };
        let mut kept = required.statements.kept.iter().filter(is_missing).filter(can_keep);
        // Statements without a database come before one is selected.
        let kept = kept.clone().find(|statement| statement.database.is_none()).or_else(|| kept.next());
        let executed = required.statements.executed.as_ref().filter(is_missing);
        kept.map(|statement| (statement, true)).or(executed.map(|statement| (statement, false)))
    }

    fn prepare_step<'a>(
        &self,
        required: &ConnectionRequirements,
        statement: &'a RequiredStatement,
        is_kept: bool,
    ) -> PreparationStep<'a> {
        if required.statements.has_session_state {
            return PreparationStep::Impossible(needs_prepare_error(statement.statement_id));
        }
        match (&statement.database, &self.database) {
            (None, Some(_)) => PreparationStep::Impossible(needs_prepare_error(statement.statement_id)),
            (Some(name), selected) if selected.as_ref() != Some(name) => PreparationStep::SelectDatabase {
                name,
                kept_statement: is_kept.then_some(statement.statement_id),
            },
            _ => PreparationStep::PrepareStatement { statement, is_kept },
        }
    }

    /// Records a reset of the connection for a session. It has closed the prepared statements and kept the database.
    pub fn record_reset(&mut self, session_id: u64) {
        self.session_id = session_id;
        self.has_login_character_set = false;
        self.prepared_ids.clear();
        self.unpreparable.clear();
    }

    /// Records that the character set is that of the login again.
    pub fn record_character_set(&mut self) {
        self.has_login_character_set = true;
    }

    /// Records that a database was selected.
    pub fn record_database(&mut self, name: &str) {
        self.database = Some(name.to_string());
    }

    /// Records a prepared statement. Returns the server's id of another one to close, if there are too many and the
    /// session can prepare it again.
    pub fn record_prepared(
        &mut self,
        required: &ConnectionRequirements,
        statement_id: u32,
        server_statement_id: u32,
    ) -> Option<u32> {
        self.prepared_ids.insert(statement_id, server_statement_id);
        let must_keep_all = required.statements.has_session_state || !required.statements.kept.is_empty();
        if must_keep_all || self.prepared_ids.len() <= MAX_PREPARED_PER_CONNECTION {
            return None;
        }
        let lowest = self.prepared_ids.keys().filter(|id| **id != statement_id).min().copied()?;
        self.prepared_ids.remove(&lowest)
    }

    /// Records that the server could not prepare a statement again.
    pub fn record_unpreparable(&mut self, statement_id: u32) {
        self.unpreparable.insert(statement_id);
    }

    /// Records that a statement is closed. Returns the server's id of it.
    pub fn record_closed(&mut self, statement_id: u32) -> Option<u32> {
        self.prepared_ids.remove(&statement_id)
    }
}

/// The error for a statement that can't be prepared as it was. Nothing has run.
fn needs_prepare_error(statement_id: u32) -> ErrPacket {
    let text = format!(
        "Prepared statement {statement_id} needs to be re-prepared: dewpier: its connection is lost, and the session has \
         changed since"
    );
    ErrPacket::new(ER_NEED_REPREPARE, SQLSTATE_GENERAL_ERROR, text)
}
