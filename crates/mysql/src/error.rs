//! Errors as servers word them ("ERR_Packet" in MySQL's internals manual), those of servers and our own.

use crate::fields::{Fields, Short};
use bytes::{BufMut, Bytes, BytesMut};

/// Too many connections: nothing of a statement has run.
pub const CON_COUNT: u16 = 1040;
/// A wrong name or password.
pub const ACCESS_DENIED: u16 = 1045;
/// A command that is not known.
pub const UNKNOWN_COMMAND: u16 = 1047;
/// The server is going: what runs may be ended.
pub const SERVER_SHUTDOWN: u16 = 1053;
/// Anything.
pub const UNKNOWN: u16 = 1105;
/// What a server sent broke off.
pub const NET_READ: u16 = 1158;
/// A packet out of order.
pub const PACKETS_OUT_OF_ORDER: u16 = 1156;
/// A packet that is too long.
pub const PACKET_TOO_LARGE: u16 = 1153;
/// A user has too many connections.
pub const TOO_MANY_USER_CONNECTIONS: u16 = 1203;
/// Arguments that don't fit.
pub const WRONG_ARGUMENTS: u16 = 1210;
/// Not carried.
pub const NOT_SUPPORTED: u16 = 1235;
/// An option of the server, such as that it is read only, forbids it: nothing has run.
pub const OPTION_PREVENTS: u16 = 1290;
/// A prepared statement that is not known.
pub const UNKNOWN_STATEMENT: u16 = 1243;
/// Too many prepared statements.
pub const TOO_MANY_STATEMENTS: u16 = 1461;
/// Too much is going on: nothing has run.
pub const TOO_MANY_CONCURRENT: u16 = 1637;
/// A packet that is not what it says.
pub const MALFORMED_PACKET: u16 = 1835;
/// The server reads only: nothing has run.
pub const READ_ONLY_MODE: u16 = 1836;

/// The SQLSTATE of what may be tried again without harm (serialization failure).
pub const TRY_AGAIN: &[u8; 5] = b"40001";
/// The SQLSTATE of what is not known to have run or not (transaction resolution unknown).
pub const MAY_HAVE_RUN: &[u8; 5] = b"08007";
/// The SQLSTATE of what has none of its own.
pub const GENERAL: &[u8; 5] = b"HY000";

/// An error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Its number.
    pub number: u16,
    /// Its SQLSTATE.
    pub state: [u8; 5],
    /// Its words.
    pub text: String,
}

impl Error {
    /// One of our own.
    pub fn new(number: u16, state: &[u8; 5], text: impl Into<String>) -> Self {
        Self { number, state: *state, text: text.into() }
    }

    /// As a packet.
    pub fn packet(&self) -> Bytes {
        let mut out = BytesMut::with_capacity(9 + self.text.len());
        out.put_u8(0xff);
        out.put_u16_le(self.number);
        out.put_u8(b'#');
        out.put_slice(&self.state);
        out.put_slice(self.text.as_bytes());
        out.freeze()
    }

    /// Of a packet that begins as an error does.
    pub fn read(packet: &[u8]) -> Result<Self, Short> {
        let mut fields = Fields::of("an error", packet);
        fields.one("its mark")?;
        let number = fields.fixed(2, "a number")? as u16;
        let mut state = *GENERAL;
        // Before the login is over servers may leave it out.
        if fields.rest().first() == Some(&b'#') {
            fields.one("its mark")?;
            state.copy_from_slice(fields.bytes(5, "an SQLSTATE")?);
        }
        Ok(Self { number, state, text: String::from_utf8_lossy(fields.rest()).into_owned() })
    }
}

/// A server that answers a statement so has run nothing of it, and another one may.
pub fn never_ran(number: u16) -> bool {
    matches!(number, CON_COUNT | TOO_MANY_USER_CONNECTIONS | OPTION_PREVENTS | READ_ONLY_MODE)
}
