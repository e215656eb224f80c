//! Capability flags, on which both sides of a connection agree at login ("Capabilities Flags" in MySQL's internals
//! manual).

/// The newer form of the old passwords; always set.
pub const LONG_PASSWORD: u32 = 1;
/// Affected rows are those found rather than those changed.
pub const FOUND_ROWS: u32 = 1 << 1;
/// Longer column flags; always set.
pub const LONG_FLAG: u32 = 1 << 2;
/// The login may name a database.
pub const CONNECT_WITH_DB: u32 = 1 << 3;
/// Spaces are allowed before the parenthesis of a function call.
pub const IGNORE_SPACE: u32 = 1 << 8;
/// The protocol of version 4.1, which the proxy requires.
pub const PROTOCOL_41: u32 = 1 << 9;
/// Status flags report transactions.
pub const TRANSACTIONS: u32 = 1 << 13;
/// The authentication response has a length.
pub const SECURE_CONNECTION: u32 = 1 << 15;
/// A statement may have several results.
pub const MULTI_RESULTS: u32 = 1 << 17;
/// The login names the authentication plugin.
pub const PLUGIN_AUTH: u32 = 1 << 19;
/// The login has attributes of the client.
pub const CONNECT_ATTRS: u32 = 1 << 20;
/// The authentication response has a length-encoded length.
pub const PLUGIN_AUTH_LENENC: u32 = 1 << 21;
/// Rows end with an OK packet instead of an EOF packet.
pub const DEPRECATE_EOF: u32 = 1 << 24;

/// Capabilities offered to clients.
pub const OFFERED_CAPABILITIES: u32 = LONG_PASSWORD
    | FOUND_ROWS
    | LONG_FLAG
    | CONNECT_WITH_DB
    | IGNORE_SPACE
    | PROTOCOL_41
    | TRANSACTIONS
    | SECURE_CONNECTION
    | MULTI_RESULTS
    | PLUGIN_AUTH
    | CONNECT_ATTRS
    | PLUGIN_AUTH_LENENC
    | DEPRECATE_EOF;

/// Capabilities that clients and servers must have.
pub const REQUIRED_CAPABILITIES: u32 = PROTOCOL_41 | SECURE_CONNECTION;

/// Capabilities that affect a server's responses. A server connection needs the same ones as its client.
pub const RESPONSE_CAPABILITIES: u32 = FOUND_ROWS | IGNORE_SPACE | MULTI_RESULTS | DEPRECATE_EOF;
