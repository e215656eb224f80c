//! Settings of the exchanges with servers.

use crate::login::Credentials;
use gannetproxy::engine::Budget;
use std::rc::Rc;
use std::time::Duration;

/// A copy of the upstream's settings that an exchange owns.
#[derive(Clone)]
pub(super) struct ExchangeSettings {
    pub(super) connection_budget: Rc<Budget>,
    pub(super) response_budget: Rc<Budget>,
    pub(super) max_buffered_bytes: usize,
    pub(super) max_packet_bytes: usize,
    pub(super) connect_timeout: Duration,
    pub(super) response_stall_timeout: Duration,
    pub(super) reuse_timeout: Duration,
    pub(super) credentials: Rc<Credentials>,
}
