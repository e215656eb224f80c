//! The prepared statements of a session. Clients know them by ids of the session; they are prepared again on each
//! connection on which they are executed. No I/O.
//!
//! Cursors are not opened: a server may respond with the rows even if a cursor was requested, so the proxy removes the
//! request.

use crate::fields::{FieldReader, MalformedPacket};
use crate::statement::{StatementKind, classify};
use bytes::{BufMut, Bytes, BytesMut};
use std::collections::HashMap;

/// COM_STMT_PREPARE.
pub const COM_STMT_PREPARE: u8 = 0x16;
/// COM_STMT_EXECUTE.
pub const COM_STMT_EXECUTE: u8 = 0x17;
/// COM_STMT_SEND_LONG_DATA.
pub const COM_STMT_SEND_LONG_DATA: u8 = 0x18;
/// COM_STMT_CLOSE.
pub const COM_STMT_CLOSE: u8 = 0x19;
/// COM_STMT_RESET.
pub const COM_STMT_RESET: u8 = 0x1a;
/// Prepared statements that one session may have.
pub const MAX_PREPARED_STATEMENTS: usize = 1024;

/// A prepared statement that a connection must have before a command is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequiredStatement {
    /// The session's id of the statement, which stands in the command in place of the server's.
    pub statement_id: u32,
    /// The text of the statement.
    pub sql: Bytes,
    /// The database that was selected when the client prepared it, which a server keeps for it.
    pub database: Option<String>,
    /// COM_STMT_SEND_LONG_DATA commands to send first; they have no response.
    pub long_data: Vec<Bytes>,
}

/// What a command requires of the prepared statements of its connection.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StatementRequirements {
    /// The statement that the command executes. It is prepared first if the connection does not have it.
    pub executed: Option<RequiredStatement>,
    /// All statements of the session, if the command may change the state in which they would be prepared later. They are
    /// prepared first if the connection does not have them.
    pub kept: Vec<RequiredStatement>,
    /// Ids of statements that the session has closed.
    pub closed: Vec<u32>,
    /// The connection has state of the session that is not known here, so that nothing can be prepared as it was before.
    pub has_session_state: bool,
}

#[derive(Debug)]
struct PreparedStatement {
    sql: Bytes,
    database: Option<String>,
    kind: StatementKind,
    depends_on_previous: bool,
    parameter_count: u16,
    /// The parameter types sent last. A client may omit them after the first execution, as each server remembers them.
    parameter_types: Option<Bytes>,
    long_data: Vec<Bytes>,
}

impl PreparedStatement {
    /// Returns what a connection needs to have of the statement, without long data.
    fn to_required(&self, statement_id: u32) -> RequiredStatement {
        RequiredStatement {
            statement_id,
            sql: self.sql.clone(),
            database: self.database.clone(),
            long_data: Vec::new(),
        }
    }
}

/// The prepared statements of a session.
#[derive(Debug, Default)]
pub struct PreparedStatements {
    by_id: HashMap<u32, PreparedStatement>,
    /// Ids of statements that were removed and that the session's connection may still have.
    removed_ids: Vec<u32>,
    last_id: u32,
    /// Total length of the stored long data commands.
    long_data_bytes: usize,
}

/// A COM_STMT_EXECUTE for a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecuteCommand {
    /// The command, with all parameter types and without a cursor.
    pub command: Bytes,
    /// The statement that the connection must have.
    pub required_statement: RequiredStatement,
    /// The effect of the statement on its session.
    pub kind: StatementKind,
    /// The statement asks for data that the previous one has left on the connection.
    pub depends_on_previous: bool,
}

/// Why a statement can't be executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecuteError {
    /// The session has no statement with this id.
    UnknownStatement(u32),
    /// The command is malformed.
    MalformedPacket(MalformedPacket),
    /// The parameter types were never sent.
    MissingTypes,
}

impl From<MalformedPacket> for ExecuteError {
    fn from(malformed: MalformedPacket) -> Self {
        Self::MalformedPacket(malformed)
    }
}

/// Parses the statement id of a command.
fn parse_statement_id(command: &[u8]) -> Result<u32, MalformedPacket> {
    let mut fields = FieldReader::new("a command on a statement", command);
    fields.read_u8("a command")?;
    Ok(fields.read_fixed_int(4, "a statement's number")? as u32)
}

impl PreparedStatements {
    /// Allocates an id for a new statement. None if the session has too many statements.
    pub fn allocate_id(&mut self) -> Option<u32> {
        if self.by_id.len() >= MAX_PREPARED_STATEMENTS {
            return None;
        }
        self.last_id = self.last_id.wrapping_add(1).max(1);
        while self.by_id.contains_key(&self.last_id) {
            self.last_id = self.last_id.wrapping_add(1).max(1);
        }
        Some(self.last_id)
    }

    /// Adds a statement that a server has prepared while `database` was selected.
    pub fn insert(&mut self, statement_id: u32, sql: Bytes, database: Option<String>, parameter_count: u16) {
        let (kind, depends_on_previous) =
            std::str::from_utf8(&sql).map_or((StatementKind::SessionState, false), classify);
        let prepared = PreparedStatement {
            sql,
            database,
            kind,
            depends_on_previous,
            parameter_count,
            parameter_types: None,
            long_data: Vec::new(),
        };
        self.by_id.insert(statement_id, prepared);
    }

    /// Stores a COM_STMT_SEND_LONG_DATA, up to `max_bytes` for the session. Returns false and removes the statement if that
    /// is exceeded.
    pub fn add_long_data(&mut self, command: Bytes, max_bytes: usize) -> bool {
        let Ok(statement_id) = parse_statement_id(&command) else { return true }; // the command has no response
        let Some(prepared) = self.by_id.get_mut(&statement_id) else { return true };
        if self.long_data_bytes + command.len() > max_bytes {
            self.remove(statement_id);
            return false;
        }
        self.long_data_bytes += command.len();
        prepared.long_data.push(command);
        true
    }

    /// Builds the command for a COM_STMT_EXECUTE of the client, with the long data stored for it.
    pub fn build_execute(&mut self, command: &[u8]) -> Result<ExecuteCommand, ExecuteError> {
        let statement_id = parse_statement_id(command)?;
        let prepared =
            self.by_id.get_mut(&statement_id).ok_or(ExecuteError::UnknownStatement(statement_id))?;
        let mut fields = FieldReader::new("an EXECUTE", command);
        fields.read_bytes(5, "a statement's number")?;
        fields.read_u8("flags")?;
        let iteration_count = fields.read_bytes(4, "a count")?;
        let mut out = BytesMut::with_capacity(command.len() + 2 * usize::from(prepared.parameter_count));
        out.put_u8(COM_STMT_EXECUTE);
        out.put_u32_le(statement_id);
        out.put_u8(0);
        out.put_slice(iteration_count);
        let parameter_count = usize::from(prepared.parameter_count);
        if parameter_count > 0 {
            out.put_slice(fields.read_bytes(parameter_count.div_ceil(8), "nulls")?);
            if fields.read_u8("whether types follow")? == 1 {
                prepared.parameter_types =
                    Some(Bytes::copy_from_slice(fields.read_bytes(2 * parameter_count, "types")?));
            }
            out.put_u8(1);
            out.put_slice(prepared.parameter_types.as_ref().ok_or(ExecuteError::MissingTypes)?);
        }
        out.put_slice(fields.remaining());
        let long_data = std::mem::take(&mut prepared.long_data);
        self.long_data_bytes -= long_data.iter().map(Bytes::len).sum::<usize>();
        Ok(ExecuteCommand {
            command: out.freeze(),
            required_statement: RequiredStatement { long_data, ..prepared.to_required(statement_id) },
            kind: prepared.kind.clone(),
            depends_on_previous: prepared.depends_on_previous,
        })
    }

    /// Handles a COM_STMT_RESET: removes the stored long data.
    pub fn handle_reset(&mut self, command: &[u8]) -> Result<(), ExecuteError> {
        let statement_id = parse_statement_id(command)?;
        let prepared =
            self.by_id.get_mut(&statement_id).ok_or(ExecuteError::UnknownStatement(statement_id))?;
        self.long_data_bytes -= prepared.long_data.drain(..).map(|command| command.len()).sum::<usize>();
        Ok(())
    }

    /// Handles a COM_STMT_CLOSE, which has no response, not even an error.
    pub fn handle_close(&mut self, command: &[u8]) {
        parse_statement_id(command).into_iter().for_each(|statement_id| self.remove(statement_id));
    }

    /// Returns all statements, without their long data, in the order of their ids.
    pub fn all(&self) -> Vec<RequiredStatement> {
        let mut all: Vec<_> = self.by_id.iter().map(|(id, prepared)| prepared.to_required(*id)).collect();
        all.sort_by_key(|statement| statement.statement_id);
        all
    }

    /// Returns the ids of the statements that were removed since the last call.
    pub fn take_removed_ids(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.removed_ids)
    }

    fn remove(&mut self, statement_id: u32) {
        if let Some(prepared) = self.by_id.remove(&statement_id) {
            self.removed_ids.push(statement_id);
            self.long_data_bytes -= prepared.long_data.iter().map(Bytes::len).sum::<usize>();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use dewpier_standins::rng::Rng;

    fn encode_execute(
        statement_id: u32,
        flags: u8,
        nulls: &[u8],
        types: Option<&[u8]>,
        values: &[u8],
    ) -> Vec<u8> {
        let types_flag = [u8::from(types.is_some())];
        [
            &[COM_STMT_EXECUTE][..],
            &statement_id.to_le_bytes(),
            &[flags, 1, 0, 0, 0],
            nulls,
            &types_flag,
            types.unwrap_or(&[]),
            values,
        ]
        .concat()
    }

    fn insert_one(sql: &'static str, parameter_count: u16) -> (PreparedStatements, u32) {
        let mut statements = PreparedStatements::default();
        let statement_id = statements.allocate_id().unwrap();
        statements.insert(statement_id, sql.into(), None, parameter_count);
        (statements, statement_id)
    }

    #[test]
    fn omitted_types_are_added_and_cursor_is_removed() {
        let (mut statements, statement_id) = insert_one("SELECT a FROM t WHERE b = ? AND c = ?", 2);
        assert_eq!(
            statements.build_execute(&encode_execute(statement_id, 0, &[0], None, &[7])),
            Err(ExecuteError::MissingTypes)
        );
        let types = [3, 0, 0xfd, 0];
        let complete = encode_execute(statement_id, 0, &[2], Some(&types), &[9, 0, 0, 0]);
        let first = statements
            .build_execute(&encode_execute(statement_id, 1, &[2], Some(&types), &[9, 0, 0, 0]))
            .unwrap();
        assert_eq!((first.kind, &first.command[..]), (StatementKind::Read, &complete[..]));
        let second =
            statements.build_execute(&encode_execute(statement_id, 0, &[2], None, &[9, 0, 0, 0])).unwrap();
        assert_eq!(&second.command[..], &complete[..]);
    }

    #[test]
    fn long_data_is_bounded_and_sent_with_next_execute_only() {
        let (mut statements, statement_id) = insert_one("INSERT INTO t VALUES (?)", 1);
        let long_data_command = |size| {
            Bytes::from(
                [&[COM_STMT_SEND_LONG_DATA][..], &statement_id.to_le_bytes(), &[0, 0], &vec![b'x'; size]]
                    .concat(),
            )
        };
        assert!(
            statements.add_long_data(long_data_command(40), 100)
                && statements.add_long_data(long_data_command(40), 100)
        );
        let command = encode_execute(statement_id, 0, &[0], Some(&[0xfc, 0]), &[]);
        assert_eq!(statements.build_execute(&command).unwrap().required_statement.long_data.len(), 2);
        assert_eq!(statements.build_execute(&command).unwrap().required_statement.long_data.len(), 0);
        assert!(statements.add_long_data(long_data_command(40), 100));
        statements.handle_reset(&long_data_command(0)).unwrap();
        assert!(
            statements.add_long_data(long_data_command(90), 100)
                && !statements.add_long_data(long_data_command(90), 100)
        );
        assert_eq!(statements.build_execute(&command), Err(ExecuteError::UnknownStatement(statement_id)));
        assert_eq!(statements.long_data_bytes, 0);
    }

    #[test]
    fn ids_are_exhausted_at_limit_and_available_after_close() {
        let mut statements = PreparedStatements::default();
        for _ in 0..MAX_PREPARED_STATEMENTS {
            let statement_id = statements.allocate_id().unwrap();
            statements.insert(statement_id, "SELECT 1".into(), None, 0);
        }
        assert_eq!(statements.allocate_id(), None);
        statements.handle_close(&[&[COM_STMT_CLOSE][..], &7u32.to_le_bytes()].concat());
        assert!(statements.allocate_id().is_some());
    }

    #[test]
    fn random_commands_do_not_panic() {
        let mut rng = Rng::from_env("PREPARED_SEED", 37);
        let (mut statements, statement_id) = insert_one("SELECT ?, ?, ?", 3);
        for _ in 0..5000 {
            let complete = encode_execute(statement_id, 0, &[0], Some(&[3, 0, 3, 0, 3, 0]), &[1; 12]);
            let mut bytes = complete[..rng.below(complete.len() + 1)].to_vec();
            for _ in 0..rng.below(3) {
                let index = rng.below(bytes.len().max(1));
                bytes.get_mut(index).into_iter().for_each(|byte| *byte = rng.next_u64() as u8);
            }
            let _ = (statements.build_execute(&bytes), statements.handle_reset(&bytes));
        }
    }
}
