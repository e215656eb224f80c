//! Error packets ("ERR_Packet" in MySQL's internals manual), and the error codes and SQLSTATEs that the proxy uses.

use crate::fields::{FieldReader, MalformedPacket};
use bytes::{BufMut, Bytes, BytesMut};

/// Too many connections; no statement has run.
pub const ER_CON_COUNT_ERROR: u16 = 1040;
/// Wrong user name or password.
pub const ER_ACCESS_DENIED_ERROR: u16 = 1045;
/// Unknown command.
pub const ER_UNKNOWN_COM_ERROR: u16 = 1047;
/// The server is shutting down and may abort running statements.
pub const ER_SERVER_SHUTDOWN: u16 = 1053;
/// An error without a code of its own.
pub const ER_UNKNOWN_ERROR: u16 = 1105;
/// The response of a server broke off.
pub const ER_NET_READ_ERROR: u16 = 1158;
/// A packet has the wrong sequence number.
pub const ER_NET_PACKETS_OUT_OF_ORDER: u16 = 1156;
/// A packet is too long.
pub const ER_NET_PACKET_TOO_LARGE: u16 = 1153;
/// A user has too many connections; no statement has run.
pub const ER_TOO_MANY_USER_CONNECTIONS: u16 = 1203;
/// Wrong arguments.
pub const ER_WRONG_ARGUMENTS: u16 = 1210;
/// Not supported.
pub const ER_NOT_SUPPORTED_YET: u16 = 1235;
/// An option of the server, such as `read_only`, forbids the statement; it has not run.
pub const ER_OPTION_PREVENTS_STATEMENT: u16 = 1290;
/// Unknown prepared statement.
pub const ER_UNKNOWN_STMT_HANDLER: u16 = 1243;
/// Too many prepared statements.
pub const ER_MAX_PREPARED_STMT_COUNT_REACHED: u16 = 1461;
/// A prepared statement has to be prepared again by its client; it has not run.
pub const ER_NEED_REPREPARE: u16 = 1615;
/// Too many transactions are open; the statement has not run.
pub const ER_TOO_MANY_CONCURRENT_TRXS: u16 = 1637;
/// Malformed packet.
pub const ER_MALFORMED_PACKET: u16 = 1835;
/// The server is read-only; the statement has not run.
pub const ER_READ_ONLY_MODE: u16 = 1836;

/// SQLSTATE of a statement that can be retried without harm (serialization failure).
pub const SQLSTATE_SERIALIZATION_FAILURE: &[u8; 5] = b"40001";
/// SQLSTATE of a statement that may have run (transaction resolution unknown).
pub const SQLSTATE_RESOLUTION_UNKNOWN: &[u8; 5] = b"08007";
/// SQLSTATE of an error that has no other.
pub const SQLSTATE_GENERAL_ERROR: &[u8; 5] = b"HY000";

/// An error packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrPacket {
    /// The error code.
    pub code: u16,
    /// The SQLSTATE.
    pub sqlstate: [u8; 5],
    /// The message.
    pub message: String,
}

impl ErrPacket {
    /// Creates an error of the proxy.
    pub fn new(code: u16, sqlstate: &[u8; 5], message: impl Into<String>) -> Self {
        Self { code, sqlstate: *sqlstate, message: message.into() }
    }

    /// Encodes the packet.
    pub fn encode(&self) -> Bytes {
        let mut out = BytesMut::with_capacity(9 + self.message.len());
        out.put_u8(0xff);
        out.put_u16_le(self.code);
        out.put_u8(b'#');
        out.put_slice(&self.sqlstate);
        out.put_slice(self.message.as_bytes());
        out.freeze()
    }

    /// Parses a packet that begins with the header byte of an error.
    pub fn parse(packet: &[u8]) -> Result<Self, MalformedPacket> {
        let mut fields = FieldReader::new("an error", packet);
        fields.read_u8("its mark")?;
        let code = fields.read_fixed_int(2, "a code")? as u16;
        let mut sqlstate = *SQLSTATE_GENERAL_ERROR;
        // Servers may omit the SQLSTATE until the login is complete.
        if fields.remaining().first() == Some(&b'#') {
            fields.read_u8("its mark")?;
            sqlstate.copy_from_slice(fields.read_bytes(5, "an SQLSTATE")?);
        }
        Ok(Self { code, sqlstate, message: String::from_utf8_lossy(fields.remaining()).into_owned() })
    }
}

/// Whether an error code shows that the server has run no part of the statement.
pub fn is_rejected_before_execution(code: u16) -> bool {
    matches!(
        code,
        ER_CON_COUNT_ERROR | ER_TOO_MANY_USER_CONNECTIONS | ER_OPTION_PREVENTS_STATEMENT | ER_READ_ONLY_MODE
    )
}
