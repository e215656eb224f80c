//! A session's prepared statements: known to the client by numbers of the session's own, and prepared again on
//! whichever connection one is executed. No I/O.
//!
//! Cursors are not opened: a server may answer an EXECUTE that asks for one with its rows at once, and so does the
//! proxy, by asking for none.

use crate::fields::{Fields, Short};
use crate::statement::{Kind, kind};
use bytes::{BufMut, Bytes, BytesMut};
use std::collections::HashMap;

/// COM_STMT_PREPARE.
pub const PREPARE: u8 = 0x16;
/// COM_STMT_EXECUTE.
pub const EXECUTE: u8 = 0x17;
/// COM_STMT_SEND_LONG_DATA.
pub const LONG_DATA: u8 = 0x18;
/// COM_STMT_CLOSE.
pub const CLOSE: u8 = 0x19;
/// COM_STMT_RESET.
pub const RESET: u8 = 0x1a;
/// Statements of one session, as many as the servers' `max_prepared_stmt_count` lets one that is modest have.
pub const MOST: usize = 1024;

/// A statement that is to be on the connection before a command goes out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Needed {
    /// The session's number for it: the command has it where the server's is to stand.
    pub number: u32,
    /// Its text.
    pub text: Bytes,
    /// Parameters that were sent ahead: commands that are not answered.
    pub ahead: Vec<Bytes>,
}

#[derive(Debug)]
struct Prepared {
    text: Bytes,
    kind: Kind,
    looks_back: bool,
    parameters: u16,
    /// The types of its parameters, as they were sent last: servers remember them, each its own.
    types: Option<Bytes>,
    ahead: Vec<Bytes>,
}

/// Those of a session.
#[derive(Debug, Default)]
pub struct Statements {
    known: HashMap<u32, Prepared>,
    last: u32,
    /// Bytes that were sent ahead and wait.
    ahead: usize,
}

/// What an EXECUTE comes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Executed {
    /// The command, with the types of all parameters, and no wish for a cursor.
    pub command: Bytes,
    /// The statement.
    pub needed: Needed,
    /// What it is.
    pub kind: Kind,
    /// It looks back on the one before.
    pub looks_back: bool,
}

/// Why one is not executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unfit {
    /// There is none of that number.
    Unknown(u32),
    /// It is too short for what it says.
    Short(Short),
    /// Its parameters' types were never sent.
    NoTypes,
}

impl From<Short> for Unfit {
    fn from(short: Short) -> Self {
        Self::Short(short)
    }
}

/// The number in a command on a statement.
fn number(command: &[u8]) -> Result<u32, Short> {
    let mut fields = Fields::of("a command on a statement", command);
    fields.one("a command")?;
    Ok(fields.fixed(4, "a statement's number")? as u32)
}

impl Statements {
    /// A number for a further one; none where there are too many.
    pub fn number(&mut self) -> Option<u32> {
        if self.known.len() >= MOST {
            return None;
        }
        self.last = self.last.wrapping_add(1).max(1);
        while self.known.contains_key(&self.last) {
            self.last = self.last.wrapping_add(1).max(1);
        }
        Some(self.last)
    }

    /// A server has prepared it.
    pub fn prepared(&mut self, number: u32, text: Bytes, parameters: u16) {
        let (kind, looks_back) = std::str::from_utf8(&text).map_or((Kind::State, false), kind);
        let prepared = Prepared { text, kind, looks_back, parameters, types: None, ahead: Vec::new() };
        self.known.insert(number, prepared);
    }

    /// Parameters that are sent ahead, up to so many bytes in all. False where they are too long: they are dropped,
    /// and the statement with them.
    pub fn long_data(&mut self, command: Bytes, most: usize) -> bool {
        let Ok(number) = number(&command) else { return true }; // never answered, whatever it is
        let Some(prepared) = self.known.get_mut(&number) else { return true };
        if self.ahead + command.len() > most {
            self.close(number);
            return false;
        }
        self.ahead += command.len();
        prepared.ahead.push(command);
        true
    }

    /// It is executed.
    pub fn execute(&mut self, command: &[u8]) -> Result<Executed, Unfit> {
        let number = number(command)?;
        let prepared = self.known.get_mut(&number).ok_or(Unfit::Unknown(number))?;
        let mut fields = Fields::of("an EXECUTE", command);
        fields.bytes(5, "a statement's number")?;
        fields.one("flags")?;
        let times = fields.bytes(4, "a count")?;
        let mut out = BytesMut::with_capacity(command.len() + 2 * usize::from(prepared.parameters));
        out.put_u8(EXECUTE);
        out.put_u32_le(number);
        out.put_u8(0);
        out.put_slice(times);
        let parameters = usize::from(prepared.parameters);
        if parameters > 0 {
            out.put_slice(fields.bytes(parameters.div_ceil(8), "nulls")?);
            if fields.one("whether types follow")? == 1 {
                prepared.types = Some(Bytes::copy_from_slice(fields.bytes(2 * parameters, "types")?));
            }
            out.put_u8(1);
            out.put_slice(prepared.types.as_ref().ok_or(Unfit::NoTypes)?);
        }
        out.put_slice(fields.rest());
        let ahead = std::mem::take(&mut prepared.ahead);
        self.ahead -= ahead.iter().map(Bytes::len).sum::<usize>();
        Ok(Executed {
            command: out.freeze(),
            needed: Needed { number, text: prepared.text.clone(), ahead },
            kind: prepared.kind.clone(),
            looks_back: prepared.looks_back,
        })
    }

    /// What was sent ahead is dropped. False where there is no such statement.
    pub fn reset(&mut self, command: &[u8]) -> Result<(), Unfit> {
        let number = number(command)?;
        let prepared = self.known.get_mut(&number).ok_or(Unfit::Unknown(number))?;
        self.ahead -= prepared.ahead.drain(..).map(|command| command.len()).sum::<usize>();
        Ok(())
    }

    /// It is closed. Never answered, whatever it is.
    pub fn closed(&mut self, command: &[u8]) {
        number(command).into_iter().for_each(|number| self.close(number));
    }

    fn close(&mut self, number: u32) {
        if let Some(prepared) = self.known.remove(&number) {
            self.ahead -= prepared.ahead.iter().map(Bytes::len).sum::<usize>();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use dewpier_standins::rng::Rng;

    fn execute(number: u32, flags: u8, nulls: &[u8], types: Option<&[u8]>, values: &[u8]) -> Vec<u8> {
        let bound = [u8::from(types.is_some())];
        [
            &[EXECUTE][..],
            &number.to_le_bytes(),
            &[flags, 1, 0, 0, 0],
            nulls,
            &bound,
            types.unwrap_or(&[]),
            values,
        ]
        .concat()
    }

    fn one(text: &'static str, parameters: u16) -> (Statements, u32) {
        let mut statements = Statements::default();
        let number = statements.number().unwrap();
        statements.prepared(number, text.into(), parameters);
        (statements, number)
    }

    #[test]
    fn types_that_a_client_leaves_out_are_put_in_and_a_cursor_is_not_asked_for() {
        let (mut statements, number) = one("SELECT a FROM t WHERE b = ? AND c = ?", 2);
        assert_eq!(statements.execute(&execute(number, 0, &[0], None, &[7])), Err(Unfit::NoTypes));
        let types = [3, 0, 0xfd, 0];
        let full = execute(number, 0, &[2], Some(&types), &[9, 0, 0, 0]);
        let first = statements.execute(&execute(number, 1, &[2], Some(&types), &[9, 0, 0, 0])).unwrap();
        assert_eq!((first.kind, &first.command[..]), (Kind::Read, &full[..]));
        let again = statements.execute(&execute(number, 0, &[2], None, &[9, 0, 0, 0])).unwrap();
        assert_eq!(&again.command[..], &full[..]);
    }

    #[test]
    fn what_is_sent_ahead_goes_with_the_next_execute_once_and_is_bounded() {
        let (mut statements, number) = one("INSERT INTO t VALUES (?)", 1);
        let part = |size| {
            Bytes::from([&[LONG_DATA][..], &number.to_le_bytes(), &[0, 0], &vec![b'x'; size]].concat())
        };
        assert!(statements.long_data(part(40), 100) && statements.long_data(part(40), 100));
        let command = execute(number, 0, &[0], Some(&[0xfc, 0]), &[]);
        assert_eq!(statements.execute(&command).unwrap().needed.ahead.len(), 2);
        assert_eq!(statements.execute(&command).unwrap().needed.ahead.len(), 0);
        assert!(statements.long_data(part(40), 100));
        statements.reset(&part(0)).unwrap();
        assert!(statements.long_data(part(90), 100) && !statements.long_data(part(90), 100));
        assert_eq!(statements.execute(&command), Err(Unfit::Unknown(number)));
        assert_eq!(statements.ahead, 0);
    }

    #[test]
    fn numbers_end_at_the_bound_and_come_back_when_closed() {
        let mut statements = Statements::default();
        for _ in 0..MOST {
            let number = statements.number().unwrap();
            statements.prepared(number, "SELECT 1".into(), 0);
        }
        assert_eq!(statements.number(), None);
        statements.closed(&[&[CLOSE][..], &7u32.to_le_bytes()].concat());
        assert!(statements.number().is_some());
    }

    #[test]
    fn whatever_comes_nothing_panics() {
        let mut rng = Rng::from_env("PREPARED_SEED", 37);
        let (mut statements, number) = one("SELECT ?, ?, ?", 3);
        for _ in 0..5000 {
            let whole = execute(number, 0, &[0], Some(&[3, 0, 3, 0, 3, 0]), &[1; 12]);
            let mut bytes = whole[..rng.below(whole.len() + 1)].to_vec();
            for _ in 0..rng.below(3) {
                let at = rng.below(bytes.len().max(1));
                bytes.get_mut(at).into_iter().for_each(|byte| *byte = rng.next_u64() as u8);
            }
            let _ = (statements.execute(&bytes), statements.reset(&bytes));
        }
    }
}
