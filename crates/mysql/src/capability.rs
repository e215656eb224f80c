//! What two sides of a connection may agree on ("Capabilities Flags" in MySQL's internals manual).

/// The better flags of the old password; always set.
pub const LONG_PASSWORD: u32 = 1;
/// Counts of rows that were found, not of those that were changed.
pub const FOUND_ROWS: u32 = 1 << 1;
/// Longer flags of columns; always set.
pub const LONG_FLAG: u32 = 1 << 2;
/// A database may be named with the login.
pub const CONNECT_WITH_DB: u32 = 1 << 3;
/// Spaces before the parenthesis of a function.
pub const IGNORE_SPACE: u32 = 1 << 8;
/// The protocol of version 4.1. Without it nobody is served.
pub const PROTOCOL_41: u32 = 1 << 9;
/// Status flags tell of transactions.
pub const TRANSACTIONS: u32 = 1 << 13;
/// Answers to the login have a length of their own.
pub const SECURE_CONNECTION: u32 = 1 << 15;
/// Several results to one statement.
pub const MULTI_RESULTS: u32 = 1 << 17;
/// The method of the login is named.
pub const PLUGIN_AUTH: u32 = 1 << 19;
/// Attributes of the client come with the login.
pub const CONNECT_ATTRS: u32 = 1 << 20;
/// The answer to the login has a length of variable size.
pub const PLUGIN_AUTH_LENENC: u32 = 1 << 21;
/// An OK ends rows, where an EOF did.
pub const DEPRECATE_EOF: u32 = 1 << 24;

/// What clients are offered.
pub const OFFERED: u32 = LONG_PASSWORD
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

/// What both sides must have.
pub const NEEDED: u32 = PROTOCOL_41 | SECURE_CONNECTION;

/// Those of a client that its server's answers depend on: a connection to a server has the same.
pub const SHAPING: u32 = FOUND_ROWS | IGNORE_SPACE | MULTI_RESULTS | DEPRECATE_EOF;
