//! Decides when the discovery service is called and which answers apply. No I/O and no clock.
//!
//! A call that is out is never cancelled for a newer one: the service may work on it all the same, and its answer may
//! be the first to come. The answer of the service that was asked last takes precedence; until it comes, answers of
//! previous services apply. An answer with an older version than that of the list in use is dropped if both are of the
//! same service.
//!
//! Times are measured from any fixed moment.

use super::schedule::{CallFailure, CallTiming, Schedule};
use std::net::SocketAddr;
use std::time::Duration;

/// Largest number of calls without answer. One more replaces the oldest.
pub const MAX_PENDING_CALLS: usize = 3;
/// Shortest time between the starts of two calls for another service or for the whole list, unless the first one fails.
/// Each of them is a new call to the service, while a watch that goes on is cheap.
const MIN_SUPERSEDING_INTERVAL: Duration = Duration::from_secs(2);
/// Shortest time between the start of an answered call and of the next one.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which older lists are dropped. A service that still returns them has restarted its numbering.
const OLDER_LIST_TIMEOUT: Duration = Duration::from_secs(4);

/// Identifies a call of one proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A call to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Identifies the call in the answer.
    pub id: CallId,
    /// Address of the service.
    pub address: SocketAddr,
    /// The version whose changes are requested.
    pub since: u64,
    /// Whether the answer must be the whole list.
    pub is_full: bool,
    /// Whether the whole list is requested without a version.
    pub use_list_endpoint: bool,
    /// How long the service is asked to wait for changes.
    pub wait: Duration,
    /// The timeout, counted from the start of the call.
    pub timeout: Duration,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Make this call.
    Start(Call),
    /// Ask again at this time, or earlier after an event.
    WaitUntil(Duration),
    /// Ask again after an event.
    WaitForEvent,
}

/// What becomes of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The list is applied.
    Apply,
    /// A service that was asked later has answered already, or another answer made the call obsolete.
    Obsolete,
    /// The list is older than the one in use.
    Older,
    /// The whole list was requested, and the answer contains changes.
    NotFull,
}

/// A call without answer.
#[derive(Clone, Copy, Debug)]
struct PendingCall {
    call: Call,
    /// The number of the service that was called.
    service: u64,
    started_at: Duration,
}

/// The state of the call that was started last.
#[derive(Clone, Copy, Debug)]
enum LastCall {
    /// No answer yet.
    Pending,
    /// Ended with an answer; the next call may start at this time.
    Answered { next_at: Duration },
    /// Failed; it is repeated at this time.
    Failed { retry_at: Duration },
}

/// Plans the calls of one proxy.
#[derive(Clone, Debug)]
pub struct CallPlanner {
    schedule: Schedule,
    address: SocketAddr,
    /// Number of the current service. Each change of the address begins a new one.
    service: u64,
    /// Number of the service that returned the list in use.
    listing_service: u64,
    /// The version of the list in use.
    version: u64,
    is_watching: bool,
    /// Whether the whole list is requested once.
    needs_full_list: bool,
    /// Whether the whole list needs the list endpoint, because a watch from version 0 doesn't return it.
    use_list_endpoint: bool,
    /// Oldest first.
    pending: Vec<PendingCall>,
    last_call: LastCall,
    /// Number of the service that was called last, and whether the whole list was requested.
    last_requested: (u64, bool),
    /// When a call was last started because something else was requested.
    last_superseding_at: Option<Duration>,
    /// When the service first returned an older list, unless it has returned a newer one since.
    older_since: Option<Duration>,
    next_id: u64,
}

impl CallPlanner {
    /// Creates the planner of a proxy that has a list of `version`. `seed` spreads the calls of many proxies.
    pub fn new(address: SocketAddr, version: u64, is_watching: bool, timing: CallTiming, seed: u64) -> Self {
        Self {
            schedule: Schedule::new(timing, seed),
            address,
            service: 0,
            listing_service: 0,
            version,
            is_watching,
            needs_full_list: false,
            use_list_endpoint: false,
            pending: Vec::new(),
            last_call: LastCall::Answered { next_at: Duration::ZERO },
            last_requested: (0, false),
            last_superseding_at: None,
            older_since: None,
            next_id: 0,
        }
    }

    /// Returns the number of failures since the last answer that was applied.
    pub fn failures(&self) -> u32 {
        self.schedule.failures()
    }

    /// Returns whether the answer to a call is still of use.
    pub fn is_pending(&self, id: CallId) -> bool {
        self.pending.iter().any(|pending| pending.call.id == id)
    }

    /// Returns the number of calls without answer.
    pub fn pending_calls(&self) -> usize {
        self.pending.len()
    }

    /// Switches to the service at `address`, and returns whether that is another one. Its whole list is requested.
    pub fn change_address(&mut self, address: SocketAddr) -> bool {
        if self.address == address {
            return false;
        }
        self.address = address;
        self.service += 1;
        self.is_watching = true;
        self.needs_full_list = false;
        self.use_list_endpoint = false;
        self.older_since = None;
        self.schedule.record_success();
        true
    }

    /// Starts or stops the watch.
    pub fn set_watching(&mut self, is_watching: bool) {
        self.is_watching = is_watching;
    }

    /// Requests the whole list once.
    pub fn request_full_list(&mut self) {
        self.needs_full_list = true;
    }

    /// Returns what to do at `now`.
    pub fn next_step(&mut self, now: Duration) -> NextStep {
        match self.next_start() {
            None => NextStep::WaitForEvent,
            Some(at) if at > now => NextStep::WaitUntil(at),
            Some(_) => NextStep::Start(self.start_call(now)),
        }
    }

    /// Records that a call has failed, was rejected or timed out.
    pub fn record_failure(&mut self, id: CallId, failure: CallFailure, now: Duration) {
        if let Some(pending) = self.take_pending(id) {
            self.fail(pending, failure, now);
        }
    }

    /// Requests the whole list from the list endpoint from now on, as the service knows no watch from version 0.
    pub fn avoid_watch_for_full_list(&mut self) {
        self.use_list_endpoint = true;
    }

    /// Records a list that a call has returned and decides whether it applies.
    pub fn record_list(&mut self, id: CallId, version: u64, is_full: bool, now: Duration) -> Verdict {
        let Some(pending) = self.take_pending(id) else {
            return Verdict::Obsolete;
        };
        if pending.service < self.listing_service {
            self.end_last_call(pending, LastCall::Answered { next_at: pending.next_start() });
            return Verdict::Obsolete;
        }
        if pending.call.is_full && !is_full {
            self.reject_partial_list(pending, now);
            return Verdict::NotFull;
        }
        // Versions of different services are not compared.
        let is_older = pending.service == self.listing_service && version < self.version;
        if is_older && !self.accepts_older_list(is_full, now) {
            self.fail(pending, CallFailure::InvalidResponse, now);
            return Verdict::Older;
        }
        self.apply(pending, version, is_full);
        Verdict::Apply
    }

    /// Returns when the next call starts, unless it depends on an event.
    fn next_start(&self) -> Option<Duration> {
        if !self.is_watching && !self.needs_full_list {
            return None;
        }
        let superseding_at = self.is_superseded().then(|| self.earliest_superseding_start());
        match (self.last_call, superseding_at) {
            (LastCall::Answered { next_at }, at) => Some(next_at.max(at.unwrap_or_default())),
            (LastCall::Failed { retry_at }, at) => Some(retry_at.min(at.unwrap_or(retry_at))),
            (LastCall::Pending, Some(at)) => Some(self.unanswered_until().map_or(at, |until| until.min(at))),
            (LastCall::Pending, None) => self.unanswered_until(),
        }
    }

    /// Returns when the last call counts as unanswered, so that another one starts beside it. A watch has a short
    /// timeout instead.
    fn unanswered_until(&self) -> Option<Duration> {
        let last = self.pending.last().filter(|last| last.call.wait.is_zero())?;
        Some(last.started_at + self.schedule.unanswered_interval(self.pending.len()))
    }

    /// Returns whether something else was requested after the start of the last call.
    fn is_superseded(&self) -> bool {
        let (service, is_full) = self.last_requested;
        service != self.service || (self.needs_full_list && !is_full)
    }

    fn earliest_superseding_start(&self) -> Duration {
        self.last_superseding_at.map_or(Duration::ZERO, |at| at + MIN_SUPERSEDING_INTERVAL)
    }

    fn start_call(&mut self, now: Duration) -> Call {
        if self.is_superseded() {
            self.last_superseding_at = Some(now);
        }
        let is_full =
            self.needs_full_list || self.older_since.is_some() || self.listing_service != self.service;
        let is_watch = !is_full && self.schedule.failures() == 0;
        let wait = if is_watch { self.schedule.draw_wait() } else { Duration::ZERO };
        let timing = self.schedule.timing();
        let timeout = if is_watch { wait + timing.response_timeout } else { timing.overload_timeout };
        let call = Call {
            id: CallId(self.next_id),
            address: self.address,
            since: if is_full { 0 } else { self.version },
            is_full,
            use_list_endpoint: is_full && self.use_list_endpoint,
            wait,
            timeout,
        };
        self.next_id += 1;
        if self.pending.len() == MAX_PENDING_CALLS {
            self.pending.remove(0);
        }
        self.pending.push(PendingCall { call, service: self.service, started_at: now });
        self.last_call = LastCall::Pending;
        self.last_requested = (self.service, is_full);
        call
    }

    fn take_pending(&mut self, id: CallId) -> Option<PendingCall> {
        let index = self.pending.iter().position(|pending| pending.call.id == id)?;
        Some(self.pending.remove(index))
    }

    /// Records the end of a call if it was started last.
    fn end_last_call(&mut self, ended: PendingCall, state: LastCall) {
        if ended.call.id.0 + 1 == self.next_id {
            self.last_call = state;
        }
    }

    fn fail(&mut self, failed: PendingCall, failure: CallFailure, now: Duration) {
        let duration = now.saturating_sub(failed.started_at);
        // Failures of a previous service say nothing about the current one.
        if failed.service == self.service {
            self.schedule.record_failure(failure);
        }
        let retry_at = now + self.schedule.draw_retry_delay(duration);
        self.end_last_call(failed, LastCall::Failed { retry_at });
    }

    /// Records changes in place of the whole list. The list endpoint is tried next.
    fn reject_partial_list(&mut self, pending: PendingCall, now: Duration) {
        if pending.call.use_list_endpoint || pending.service != self.service {
            return self.fail(pending, CallFailure::InvalidResponse, now);
        }
        self.use_list_endpoint = true;
        self.end_last_call(pending, LastCall::Answered { next_at: pending.next_start() });
    }

    /// Returns whether a list with an older version applies. Changes never do: the whole list is requested in their
    /// place.
    fn accepts_older_list(&mut self, is_full: bool, now: Duration) -> bool {
        let since = *self.older_since.get_or_insert(now);
        is_full && now.saturating_sub(since) >= OLDER_LIST_TIMEOUT
    }

    fn apply(&mut self, answered: PendingCall, version: u64, is_full: bool) {
        self.listing_service = answered.service;
        self.version = version;
        self.older_since = None;
        if is_full {
            self.needs_full_list = false;
        }
        let needs_full_list = self.needs_full_list;
        self.pending
            .retain(|other| other.service > answered.service || (needs_full_list && other.call.is_full));
        let is_last_pending = self.pending.iter().any(|other| other.call.id.0 + 1 == self.next_id);
        let (last_service, _) = self.last_requested;
        if !is_last_pending && last_service <= answered.service {
            self.last_call = LastCall::Answered { next_at: answered.next_start() };
        }
        if answered.service == self.service {
            self.schedule.record_success();
        }
    }
}

impl PendingCall {
    /// Returns when the next call may start if this one was answered.
    fn next_start(&self) -> Duration {
        self.started_at + MIN_CALL_INTERVAL
    }
}
