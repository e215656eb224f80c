//! What the engine needs of a kind of backend: to make one attempt, and to say exactly how it
//! ended. HTTP implements it in `crates/http`; other protocols do so in crates of their own.

use super::clock::Clock;
use crate::{BackendId, Outcome, Report, Time};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;

/// Until when the whole list may be gone by, where its source lends it for a time only. It counts on
/// the system's monotonic clock and is asked right before a first byte goes out, so that a process
/// that stood still sends nothing by a list that is over.
#[derive(Debug, Default)]
pub struct Lease {
    until: Cell<Option<std::time::Instant>>,
}

impl Lease {
    /// Until then; None: for good.
    pub fn set_expiry(&self, until: Option<std::time::Instant>) {
        self.until.set(until);
    }

    /// The list may be gone by.
    pub fn is_valid(&self) -> bool {
        self.until.get().is_none_or(|until| std::time::Instant::now() < until)
    }
}

/// When sends to a backend must end, and whether it is gone: the engine sets it by the list, and
/// an attempt asks it right before its first byte goes out.
#[derive(Debug, Default)]
pub struct SendGate {
    lease: Rc<Lease>,
    /// Set while it drains or is gone.
    last_send: Cell<Option<Time>>,
    /// The list says so, or no longer names it.
    gone: Cell<bool>,
}

impl SendGate {
    /// A gate that is shut while the lease on the list is over.
    pub fn with_lease(lease: Rc<Lease>) -> Self {
        Self { lease, ..Self::default() }
    }

    /// What the list now says: nothing against it, or when sends must end. Hearing of the same
    /// drain again doesn't extend the grace.
    pub fn set_send_deadline(&self, last_send: Option<Time>) {
        let earlier = self.last_send.get().filter(|_| last_send.is_some());
        self.last_send.set(earlier.or(last_send));
        self.gone.set(false);
    }

    /// It is gone from the list: sends must end by `last_send`.
    pub fn mark_gone(&self, last_send: Time) {
        self.set_send_deadline(Some(last_send));
        self.gone.set(true);
    }

    /// The list that names it may be gone by.
    pub fn is_lease_valid(&self) -> bool {
        self.lease.is_valid()
    }

    /// Something new may be sent now.
    pub fn can_send(&self, clock: &Clock) -> bool {
        self.is_lease_valid() && !self.ended(clock)
    }

    /// Its last send is past.
    fn ended(&self, clock: &Clock) -> bool {
        self.last_send.get().is_some_and(|last| clock.now() >= last)
    }

    /// The list still names it.
    pub fn is_listed(&self) -> bool {
        !self.gone.get()
    }

    /// It is gone, and its grace is over.
    pub fn can_be_forgotten(&self, clock: &Clock) -> bool {
        self.gone.get() && self.ended(clock)
    }
}

/// What the engine gives an attempt besides its payload; its replies are of type `R`.
#[derive(Clone, Debug)]
pub struct Attempt<R> {
    /// To be asked right before the first byte goes out: where it says no, the attempt ends with
    /// [`Outcome::NoConnection`], or with [`Outcome::NeverSent`] where the whole list is not lent any more.
    pub gate: Rc<SendGate>,
    /// Which backend it goes to.
    pub backend: BackendId,
    /// The engine's clock.
    pub clock: Clock,
    /// When the engine stops waiting, at the latest.
    pub deadline: Time,
    /// To be set as soon as any of the request may have gone out, and back where it is known that
    /// it can't have run: from then on a break may hide a request that runs.
    pub written: Rc<Cell<bool>>,
    /// Its request still wants an answer: to be asked along with the gate. Where it does not (its client has left, or
    /// another attempt has answered), the attempt ends with [`Outcome::NeverSent`].
    pub request_open: Rc<Cell<bool>>,
    /// How it hands on an answer that has begun and goes on.
    pub reply_sink: ReplySink<R>,
    /// How it makes itself the request's only attempt, where what it sends can't be sent again.
    pub exclusive_claim: ExclusiveClaim,
}

/// Makes an attempt the only one that its request has, from here on: what comes of it is the request's answer. The
/// engine sets no time limit any more; the attempt does.
#[derive(Clone, Default)]
pub struct ExclusiveClaim(pub(super) Option<Rc<dyn Fn() -> bool>>);

impl ExclusiveClaim {
    /// Does so. False where the request has had its answer, or its client has left: the attempt is to end.
    pub fn claim(&self) -> bool {
        self.0.as_ref().is_some_and(|keep| keep())
    }
}

impl std::fmt::Debug for ExclusiveClaim {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Keep")
    }
}

/// Takes an answer that has begun: it is the request's one answer from there on, no other attempt is made or
/// waited for, and the engine sets no time limit any more. The attempt goes on until all of it has come.
pub struct ReplySink<R>(pub(super) Option<Rc<dyn Fn(R) -> bool>>);

impl<R> ReplySink<R> {
    /// Hands it on. False where the request has had its answer, or its client has left: the attempt is to end.
    pub fn send(&self, reply: R) -> bool {
        self.0.as_ref().is_some_and(|begin| begin(reply))
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
        f.write_str("Begin")
    }
}

/// How an attempt or probe ended.
#[derive(Debug)]
pub struct AttemptResult<R> {
    /// The outcome.
    pub outcome: Outcome,
    /// The answer, if it was served.
    pub reply: Option<R>,
    /// What the client is answered if the request ends without being served after all: an error
    /// that the backend worded, where clients are to see it.
    pub fallback: Option<R>,
    /// The load report that came along.
    pub report: Option<Report>,
}

impl<R> AttemptResult<R> {
    /// An end that brought nothing.
    pub fn without_reply(outcome: Outcome) -> Self {
        Self { outcome, reply: None, fallback: None, report: None }
    }
}

/// A kind of backend. Everything here runs on the engine's thread.
pub trait Upstream: 'static {
    /// What is sent.
    type Payload: 'static;
    /// What a served request is answered with.
    type Reply: 'static;
    /// One backend and the connections to it.
    type Endpoint: 'static;

    /// A backend at `address`; nothing is opened yet.
    fn create_endpoint(&self, address: SocketAddr) -> Self::Endpoint;

    /// The backend listens at `address` now. Where that is another one, nothing new goes out on
    /// connections to the old one.
    fn set_address(&self, endpoint: &Self::Endpoint, address: SocketAddr);

    /// Closes the idle connections, and those in use once they become idle.
    fn release_connections(&self, endpoint: &Self::Endpoint);

    /// Closes connections that are no longer to be used. Called about ten times a second.
    fn close_expired(&self, endpoint: &Self::Endpoint);

    /// No further connection can be opened unless one is closed.
    fn is_full(&self) -> bool;

    /// Since when its longest idle connection has been idle.
    fn oldest_idle_since(&self, endpoint: &Self::Endpoint) -> Option<Instant>;

    /// Closes that connection.
    fn close_oldest_idle(&self, endpoint: &Self::Endpoint);

    /// Makes one attempt, and says exactly how it ended; what is not known to have been kept from
    /// the backend may have run. Dropping the future gives the attempt up: its connection must
    /// not be used again.
    fn attempt(
        &self,
        endpoint: Rc<Self::Endpoint>,
        payload: Rc<Self::Payload>,
        attempt: Attempt<Self::Reply>,
    ) -> impl Future<Output = AttemptResult<Self::Reply>> + 'static;

    /// Sees whether a backend answers, within a time limit of its own.
    fn probe(
        &self,
        endpoint: Rc<Self::Endpoint>,
        attempt: Attempt<()>,
    ) -> impl Future<Output = AttemptResult<()>> + 'static;
}
