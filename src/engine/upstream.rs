//! The interface between the engine and a backend protocol.
//!
//! An [`Upstream`] makes single attempts and reports exactly how each ended. `crates/http` implements it for
//! HTTP; other protocols have crates of their own.

use super::clock::Clock;
use crate::{BackendId, Outcome, Report, Time};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;

/// The time until which the backend list may be used, if its source leases it.
///
/// It follows the monotonic clock and is checked right before the first byte of a request is sent, so that a
/// process that was suspended sends nothing by an expired list.
#[derive(Debug, Default)]
pub struct Lease {
    expires_at: Cell<Option<std::time::Instant>>,
}

impl Lease {
    /// Sets the expiry time. `None` means that the list doesn't expire.
    pub fn set_expiry(&self, expires_at: Option<std::time::Instant>) {
        self.expires_at.set(expires_at);
    }

    /// Returns whether the list may still be used.
    pub fn is_valid(&self) -> bool {
        self.expires_at.get().is_none_or(|expires_at| std::time::Instant::now() < expires_at)
    }
}

/// Decides whether a backend may be sent requests.
///
/// The engine updates the gate from the backend list; an attempt checks it right before its first byte is
/// sent.
#[derive(Debug, Default)]
pub struct SendGate {
    lease: Rc<Lease>,
    /// When sends must end, set while the backend drains or is gone.
    send_deadline: Cell<Option<Time>>,
    /// The list marks the backend as gone or no longer names it.
    gone: Cell<bool>,
}

impl SendGate {
    /// Creates a gate that rejects sends while `lease` is expired.
    pub fn with_lease(lease: Rc<Lease>) -> Self {
        Self { lease, ..Self::default() }
    }

    /// Sets the time at which sends must end, or clears it with `None`. Setting it again during the same
    /// drain doesn't extend the grace period.
    pub fn set_send_deadline(&self, send_deadline: Option<Time>) {
        let earlier = self.send_deadline.get().filter(|_| send_deadline.is_some());
        self.send_deadline.set(earlier.or(send_deadline));
        self.gone.set(false);
    }

    /// Marks the backend as gone from the list: sends must end by `send_deadline`.
    pub fn mark_gone(&self, send_deadline: Time) {
        self.set_send_deadline(Some(send_deadline));
        self.gone.set(true);
    }

    /// Returns whether the lease of the backend list is valid.
    pub fn is_lease_valid(&self) -> bool {
        self.lease.is_valid()
    }

    /// Returns whether a new request may be sent now.
    pub fn can_send(&self, clock: &Clock) -> bool {
        self.is_lease_valid() && !self.is_past_deadline(clock)
    }

    /// Returns whether the send deadline has passed.
    fn is_past_deadline(&self, clock: &Clock) -> bool {
        self.send_deadline.get().is_some_and(|deadline| clock.now() >= deadline)
    }

    /// Returns whether the list still names the backend.
    pub fn is_listed(&self) -> bool {
        !self.gone.get()
    }

    /// Returns whether the backend is gone and its send deadline has passed.
    pub fn can_be_removed(&self, clock: &Clock) -> bool {
        self.gone.get() && self.is_past_deadline(clock)
    }
}

/// The context of an attempt besides its payload. Replies are of type `R`.
#[derive(Clone, Debug)]
pub struct AttemptContext<R> {
    /// Checked right before the first byte is sent. If it rejects the send, the attempt ends with
    /// [`Outcome::NoConnection`], or with [`Outcome::NeverSent`] if the lease has expired.
    pub gate: Rc<SendGate>,
    /// The backend that the attempt goes to.
    pub backend: BackendId,
    /// The clock of the engine.
    pub clock: Clock,
    /// The latest time until which the engine waits.
    pub deadline: Time,
    /// The latest time of the first byte, as the decision module has set it.
    pub send_by: Time,
    /// Set by the attempt as soon as any byte of the request may have been sent, and cleared once the request
    /// is known not to have run. While set, a broken connection may hide a request that ran.
    pub written: Rc<Cell<bool>>,
    /// Whether the request still needs an answer; checked along with the gate. If its client has disconnected
    /// or another attempt has answered, the attempt ends with [`Outcome::NeverSent`].
    pub is_request_open: Rc<Cell<bool>>,
    /// Receives a reply that is streamed.
    pub reply_sink: ReplySink<R>,
    /// Makes the attempt the only one of its request, if the payload can't be sent twice.
    pub exclusive_claim: ExclusiveClaim,
    /// Receives the news that the reply has begun and seems to have stalled.
    pub stall_report: StallReport,
}

impl<R> AttemptContext<R> {
    /// Returns the deadline as an instant that a task can sleep until, or `None` without one.
    pub fn end_instant(&self) -> Option<Instant> {
        self.deadline.is_finite().then(|| self.clock.instant_at(self.deadline))
    }

    /// Checks whether the first byte may be sent now. If not, the attempt ends with the returned outcome.
    ///
    /// The client may have disconnected, the backend may have started to drain and the time for a repeat may have
    /// passed while the connection was opened. Only a drain says something about the backend.
    pub fn check_send(&self) -> Result<(), Outcome> {
        if !self.is_request_open.get() || !self.gate.is_lease_valid() || self.clock.now() >= self.send_by {
            return Err(Outcome::NeverSent);
        }
        match self.gate.can_send(&self.clock) {
            true => Ok(()),
            false => Err(Outcome::NoConnection),
        }
    }
}

/// Makes an attempt the only one of its request from then on, so that its outcome is the answer of the
/// request.
///
/// The engine sets no time limit afterwards; the attempt has to.
#[derive(Clone, Default)]
pub struct ExclusiveClaim(pub(super) Option<Rc<dyn Fn() -> bool>>);

impl ExclusiveClaim {
    /// Claims the request. Returns false if it has been answered or its client has disconnected: the attempt
    /// must end.
    pub fn claim(&self) -> bool {
        self.0.as_ref().is_some_and(|claim| claim())
    }
}

impl std::fmt::Debug for ExclusiveClaim {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ExclusiveClaim")
    }
}

/// Tells the decision module that the reply of an attempt has begun and seems to have stalled. The attempt goes on, and
/// its request may be repeated.
#[derive(Clone, Default)]
pub struct StallReport(pub(super) Option<Rc<dyn Fn()>>);

impl StallReport {
    /// Sends the report.
    pub fn send(&self) {
        self.0.iter().for_each(|send| send());
    }
}

impl std::fmt::Debug for StallReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("StallReport")
    }
}

/// Receives a reply whose body is still arriving and makes it the answer of the request.
///
/// No other attempt is made or waited for, and the engine sets no time limit afterwards. The attempt goes on
/// until the whole reply has arrived.
pub struct ReplySink<R>(pub(super) Option<Rc<dyn Fn(R) -> bool>>);

impl<R> ReplySink<R> {
    /// Hands over the reply. Returns false if the request has been answered or its client has disconnected:
    /// the attempt must end.
    pub fn send(&self, reply: R) -> bool {
        self.0.as_ref().is_some_and(|send| send(reply))
    }
}

impl<R> Default for ReplySink<R> {
    fn default() -> Self {
        Self(None)
    }
}

impl<R> Clone for ReplySink<R> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<R> std::fmt::Debug for ReplySink<R> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ReplySink")
    }
}

/// The result of an attempt or a probe.
#[derive(Debug)]
pub struct UpstreamResult<R> {
    /// How it ended.
    pub outcome: Outcome,
    /// The reply, if the request was served.
    pub reply: Option<R>,
    /// The reply for the client if the request ends without being served: an error response of the backend
    /// that clients may see.
    pub error_response: Option<R>,
    /// The load report of the backend.
    pub report: Option<Report>,
}

impl<R> UpstreamResult<R> {
    /// Creates a result without reply and load report.
    pub fn without_reply(outcome: Outcome) -> Self {
        Self { outcome, reply: None, error_response: None, report: None }
    }
}

/// A backend protocol. All methods run on the thread of the engine.
pub trait Upstream: 'static {
    /// The request that is sent.
    type Payload: 'static;
    /// The reply to a served request.
    type Reply: 'static;
    /// One backend and the connections to it.
    type Endpoint: 'static;

    /// Creates the endpoint of a backend at `address` without opening a connection.
    fn create_endpoint(&self, address: SocketAddr) -> Self::Endpoint;

    /// Sets the address of a backend. If it changes, nothing new is sent on connections to the previous
    /// address.
    fn set_address(&self, endpoint: &Self::Endpoint, address: SocketAddr);

    /// Closes the idle connections, and those in use once they become idle.
    fn release_connections(&self, endpoint: &Self::Endpoint);

    /// Closes idle connections that must not be reused. Called about ten times a second.
    fn close_expired(&self, endpoint: &Self::Endpoint);

    /// Returns whether no further connection can be opened until one is closed.
    fn is_full(&self) -> bool;

    /// Returns since when the oldest idle connection has been idle.
    fn oldest_idle_since(&self, endpoint: &Self::Endpoint) -> Option<Instant>;

    /// Closes the oldest idle connection.
    fn close_oldest_idle(&self, endpoint: &Self::Endpoint);

    /// Makes one attempt and reports exactly how it ended. A request that isn't known to be unsent may have
    /// run. Dropping the future cancels the attempt: its connection must not be reused.
    fn attempt(
        &self,
        endpoint: Rc<Self::Endpoint>,
        payload: Rc<Self::Payload>,
        attempt: AttemptContext<Self::Reply>,
    ) -> impl Future<Output = UpstreamResult<Self::Reply>> + 'static;

    /// Checks whether a backend answers, within a time limit of its own.
    fn probe(
        &self,
        endpoint: Rc<Self::Endpoint>,
        attempt: AttemptContext<()>,
    ) -> impl Future<Output = UpstreamResult<()>> + 'static;
}
