//! What exchanges with servers are bound by.

use crate::login::Credentials;
use gannetproxy::engine::Budget;
use std::rc::Rc;
use std::time::Duration;

/// The bounds, and who the proxy is to servers.
#[derive(Clone)]
pub(super) struct Ways {
    pub(super) connections: Rc<Budget>,
    pub(super) answers: Rc<Budget>,
    pub(super) held: usize,
    pub(super) most_packet: usize,
    pub(super) connect_timeout: Duration,
    pub(super) keep: Duration,
    pub(super) own: Rc<Credentials>,
}
