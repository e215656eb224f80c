//! Why a session must stay on its connection, and how each response changes that. No I/O.

use crate::reply::{ResponseEnd, ResponseKind};
use crate::statement::StatementKind;

/// Status flag of a server: a transaction is open.
const SERVER_STATUS_IN_TRANS: u16 = 0x0001;
/// Statements for which a session stays on a connection that has a generated id or warnings for it; ProxySQL calls
/// this `auto_increment_delay_multiplex`.
pub const LINGER_STATEMENTS: u8 = 5;

/// The statements that the servers of a list handle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// All statements.
    #[default]
    Primary,
    /// Reads only.
    Replica,
}

/// What is known of a connection's transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    #[default]
    None,
    /// A transaction is open: the server rolls it back if the connection is lost.
    Open,
    /// A transaction was open, and the server has not said since an error whether it still is: a deadlock rolls it
    /// back, and a statement that defines a table commits it even if it then fails.
    Unknown,
}

impl TransactionState {
    /// Whether a transaction may be open.
    pub fn may_be_open(self) -> bool {
        self != Self::None
    }

    /// The state after a response. Error packets have no status flags, so that an error leaves the state of an open
    /// transaction unknown. Other responses without flags leave it as it was.
    fn after_response(self, response_kind: ResponseKind, end: &ResponseEnd) -> Self {
        match end {
            ResponseEnd::Error(_) if self == Self::Open => Self::Unknown,
            ResponseEnd::Error(_) => self,
            ResponseEnd::Complete { .. }
                if matches!(response_kind, ResponseKind::PrepareOk | ResponseKind::Text) =>
            {
                self
            }
            ResponseEnd::Complete { status_flags, .. } if status_flags & SERVER_STATUS_IN_TRANS != 0 => {
                Self::Open
            }
            ResponseEnd::Complete { .. } => Self::None,
        }
    }
}

/// The reasons for which a session must stay on its connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pinning {
    /// The role of the server that the connection leads to.
    pub role: Role,
    /// The connection has session state; this holds until the session is reset or ends.
    pub session_state: bool,
    /// What is known of the transaction.
    pub transaction: TransactionState,
    /// Further statements for which the session stays because of a generated id or warnings.
    pub linger_statements: u8,
}

/// What becomes of the connection that a session is pinned to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionRelease {
    /// The session stays on its connection, if it has one.
    Keep,
    /// The session leaves the connection, which any session may use.
    Reuse,
    /// The session leaves the connection, which is closed for what it holds.
    Close,
}

impl Pinning {
    /// The same pinning on a connection to a server of this role.
    pub fn at_server(self, role: Role) -> Self {
        Self { role, ..self }
    }

    /// Whether the session must stay on its connection.
    pub fn is_pinned(&self) -> bool {
        self.session_state || self.transaction.may_be_open() || self.linger_statements > 0
    }

    /// Whether a statement of this kind may run on the connection. A replica gets nothing but reads: those of an open
    /// transaction, which see its snapshot, and those that ask for what the previous statement has left there. Any
    /// other read may choose its server anew.
    pub fn admits(&self, kind: &StatementKind) -> bool {
        match (self.role, kind) {
            (Role::Primary, _) | (Role::Replica, StatementKind::ReadsDiagnostics) => true,
            (Role::Replica, StatementKind::Read) => self.transaction.may_be_open(),
            (Role::Replica, _) => false,
        }
    }

    /// What becomes of the connection if the session leaves it. An open transaction ends with it.
    pub fn release(&self) -> ConnectionRelease {
        match (self.is_pinned(), self.session_state || self.transaction.may_be_open()) {
            (false, _) => ConnectionRelease::Keep,
            (true, false) => ConnectionRelease::Reuse,
            (true, true) => ConnectionRelease::Close,
        }
    }

    /// The pinning after a response.
    pub fn after_response(
        self,
        response_kind: ResponseKind,
        end: &ResponseEnd,
        has_insert_id_or_warnings: bool,
    ) -> Self {
        let transaction = self.transaction.after_response(response_kind, end);
        let lingers = has_insert_id_or_warnings || matches!(end, ResponseEnd::Error(_));
        let linger_statements =
            if lingers { LINGER_STATEMENTS } else { self.linger_statements.saturating_sub(1) };
        Self { transaction, linger_statements, ..self }
    }
}
