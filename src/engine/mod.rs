//! Runs a decision module for one kind of backend.
//!
//! The engine owns the clock, the timers, the open requests and their attempts. Events become calls of the
//! decision module and its actions become I/O. Attempts are made by an [`Upstream`], and the backend list
//! arrives as [`BackendListUpdate`] values from any source. Every request gets exactly one final answer.

mod affinity;
mod budget;
mod clock;
mod expiry;
mod list;
mod request_ids;
mod streamed;
mod upstream;

pub use budget::{Budget, Permit};
pub use clock::Clock;
pub use list::{BackendListUpdate, ListRequest, ListedBackend};
pub use upstream::{
    AttemptContext, ExclusiveClaim, Lease, ReplySink, SendGate, StallReport, Upstream, UpstreamResult,
};

use crate::{
    Action, AttemptResult, BackendEntry, BackendId, Balancer, Effect, Event, ListUpdate, Outcome, Report,
    Request, RequestId, Settings, Status, Time,
};
use request_ids::RequestIds;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;

/// Time in seconds reserved for delivering the answer before the client gives up. The decision module must
/// answer by then; the engine answers after half of it.
const ANSWER_DELIVERY_SECONDS: Time = 0.006;
/// Largest delay of timers that is compensated, in seconds.
const MAX_TIMER_DELAY_SECONDS: Time = 0.1;
/// Fraction of the drain grace period after which a send that was already decided is dropped.
const DRAIN_GRACE_FRACTION: f64 = 0.5;
/// Longest time in seconds that new requests are queued while the lease of the backend list is expired.
pub const MAX_QUEUED_SECONDS: Time = 0.5;
/// Interval in seconds at which the lease is checked while requests are queued.
const LEASE_CHECK_SECONDS: Time = 0.005;
/// Interval at which idle connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Number of such checks after which gone backends are removed.
const SWEEPS_PER_CLEANUP: u32 = 10;

/// The final answer to a request.
pub enum Answer<R> {
    /// The reply of a backend.
    Served(R),
    /// The request was not run and may be retried, after the given time in seconds if any. Carries the last
    /// error response of a backend, if clients may see it.
    Rejected(Option<Time>, Option<R>),
    /// The request may have run. Carries the last error response of a backend, if clients may see it.
    Failed(Option<R>),
}

/// What happens when a timer is due.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    Token(u64),
    Attempt(RequestId, usize),
    Request(RequestId),
    QueuedRequests,
    /// All requests end, as the process is stopping.
    EndOfRequests,
}

/// A point in time with a total order.
#[derive(Debug, PartialEq)]
struct TimerTime(Time);

impl Eq for TimerTime {}

impl PartialOrd for TimerTime {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimerTime {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// An event that waits for the decision module and owns its data.
enum QueuedEvent {
    Event(Event<'static>),
    List(BackendListUpdate),
}

struct OpenRequest<U: Upstream> {
    /// The ID that the client gave the request, if any.
    client_request_id: Option<u64>,
    answer: oneshot::Sender<Answer<U::Reply>>,
    payload: Rc<U::Payload>,
    deadline: Time,
    attempts: usize,
    /// Only one backend can run the request, and the decision module doesn't know it.
    has_affinity: bool,
    /// The index of the request class.
    class: usize,
    /// The attempt that became the only one and sets its own time limit.
    exclusive: Option<usize>,
    /// The last error response of a backend.
    error_response: Option<U::Reply>,
    /// False once the request is answered or its client has disconnected.
    is_request_open: Rc<Cell<bool>>,
}

struct RunningAttempt {
    backend: BackendId,
    sent_at: Time,
    written: Rc<Cell<bool>>,
    task: AbortHandle,
    /// The request has backend affinity.
    has_affinity: bool,
    /// The reply is being streamed to the client, or the payload can't be sent twice: the engine sets no time
    /// limit.
    streaming: bool,
    /// The attempt is the only one of its request, so that its outcome is the answer.
    exclusive: bool,
    /// The client ID that the attempt holds, if the request can't simply be repeated.
    held_request_id: Option<u64>,
}

/// Attempt counts of a backend since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackendCounts {
    /// Attempts that are in flight now.
    pub in_flight: u32,
    /// Attempts that were started.
    pub sent: u32,
    /// Attempts that were served.
    pub served: u32,
    /// Attempts that ended in any other way, except those that were cancelled or never sent.
    pub failed: u32,
    /// Total duration of the served attempts, in seconds.
    pub served_time: Time,
}

/// A known backend: its gate, its connections and its counts.
struct KnownBackend<U: Upstream> {
    address: SocketAddr,
    gate: Rc<SendGate>,
    endpoint: Rc<U::Endpoint>,
    counts: BackendCounts,
}

struct State<U: Upstream> {
    balancer: Balancer,
    event_queue: VecDeque<QueuedEvent>,
    timers: BinaryHeap<Reverse<(TimerTime, u64, TimerKind)>>,
    timers_set: u64,
    /// Requests without a final answer, by a number that is never reused. A client may reuse its own ID while
    /// an attempt of an answered request with that ID is still running.
    open_requests: HashMap<RequestId, OpenRequest<U>>,
    /// The client IDs of requests that are open or may still run.
    request_ids: RequestIds,
    last_request_number: u64,
    running_attempts: HashMap<(RequestId, usize), RunningAttempt>,
    /// Requests that the decision module doesn't know yet, with their arrival times. They count as open.
    queued_requests: VecDeque<(Time, Request)>,
    known_backends: HashMap<BackendId, KnownBackend<U>>,
}

/// An event in the life of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// An attempt to a backend started, for a request of the given class.
    Started(BackendId, usize),
    /// The attempt ended.
    Ended(Outcome),
}

/// Called for each attempt event with the request and the number of the attempt.
type Observer = Box<dyn Fn(RequestId, usize, AttemptEvent)>;

/// Called for each request to the list source.
type ListSource = Box<dyn Fn(ListRequest)>;

/// When an attempt is made, how long it may take and the latest time of its first byte.
#[derive(Clone, Copy, Debug)]
struct SendTiming {
    now: Time,
    timeout: Time,
    send_by: Time,
}

/// Limits of an engine besides the settings of the decision module.
#[derive(Clone, Copy, Debug)]
pub struct EngineLimits {
    /// Time after which nothing new is sent to a backend that drains or is gone.
    pub drain_grace: Duration,
    /// Requests that may be open at once; further ones are rejected.
    pub max_open_requests: usize,
}

/// Drives a decision module with one kind of backend.
pub struct Engine<U: Upstream> {
    this: Weak<Self>,
    state: RefCell<State<U>>,
    upstream: U,
    lease: Rc<Lease>,
    clock: Clock,
    timer_set: Notify,
    /// Recent delay of timers. A request may have waited as long before it was read.
    timer_delay: Cell<Time>,
    has_list: Cell<bool>,
    /// Receives the requests of the decision module for the backend list.
    list_source: RefCell<Option<ListSource>>,
    observer: RefCell<Option<Observer>>,
    drain_grace: Time,
    max_open_requests: usize,
    max_attempts: usize,
    /// Whether requests of each class are safe to repeat.
    is_safe_class: Vec<bool>,
    /// When all requests end, if the process is stopping.
    requests_end_at: Cell<Option<Time>>,
}

impl<U: Upstream> Engine<U> {
    /// Starts an engine with its own decision module. Its backend list doesn't expire.
    pub fn start(settings: Settings, limits: EngineLimits, seed: u64, upstream: U) -> Rc<Self> {
        Self::start_with_lease(settings, limits, seed, upstream, Rc::default())
    }

    /// Starts an engine whose backend list is leased.
    pub fn start_with_lease(
        settings: Settings,
        limits: EngineLimits,
        seed: u64,
        upstream: U,
        lease: Rc<Lease>,
    ) -> Rc<Self> {
        let clock = Clock::start();
        let engine = Rc::new_cyclic(|this| Self {
            this: this.clone(),
            upstream,
            lease,
            clock,
            timer_set: Notify::new(),
            timer_delay: Cell::new(0.0),
            has_list: Cell::new(false),
            list_source: RefCell::default(),
            observer: RefCell::default(),
            drain_grace: limits.drain_grace.as_secs_f64(),
            max_open_requests: limits.max_open_requests,
            max_attempts: settings.max_attempts,
            is_safe_class: settings.classes.iter().map(|class| class.effect == Effect::Safe).collect(),
            requests_end_at: Cell::new(None),
            state: RefCell::new(State {
                balancer: Balancer::new(clock.now(), seed, settings),
                event_queue: VecDeque::new(),
                timers: BinaryHeap::new(),
                timers_set: 0,
                open_requests: HashMap::new(),
                request_ids: RequestIds::default(),
                last_request_number: 0,
                running_attempts: HashMap::new(),
                queued_requests: VecDeque::new(),
                known_backends: HashMap::new(),
            }),
        });
        tokio::task::spawn_local(engine.clone().run_timers());
        tokio::task::spawn_local(engine.clone().run_sweeps());
        engine
    }

    /// Returns the backend protocol.
    pub fn upstream(&self) -> &U {
        &self.upstream
    }

    /// Returns the clock of the engine.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Sets the receiver of requests for the backend list. It is called while the engine is borrowed and must
    /// not call the engine.
    pub fn set_list_source(&self, source: impl Fn(ListRequest) + 'static) {
        *self.list_source.borrow_mut() = Some(Box::new(source));
    }

    /// Sets the observer of all attempts. It is called while the engine is borrowed and must not call the
    /// engine.
    pub fn set_observer(&self, observer: impl Fn(RequestId, usize, AttemptEvent) + 'static) {
        *self.observer.borrow_mut() = Some(Box::new(observer));
    }

    fn notify_observer(&self, id: RequestId, attempt: usize, event: AttemptEvent) {
        self.observer.borrow().iter().for_each(|observer| observer(id, attempt, event));
    }

    /// Passes on backend hints of the fleet: the factor by which each backend is slower than normal. A factor
    /// of 0 withdraws the hint.
    pub fn apply_backend_hints(&self, hints: &[(BackendId, f64)]) {
        let mut state = self.state.borrow_mut();
        let to_event = |(backend, slowness): &(BackendId, f64)| {
            QueuedEvent::Event(Event::BackendHint { backend: *backend, slowness: *slowness })
        };
        state.event_queue.extend(hints.iter().map(to_event));
        self.decide(state);
    }

    /// Returns whether a backend is listed, or has been gone for no longer than sends to it may take.
    pub fn has_backend(&self, backend: BackendId) -> bool {
        self.state.borrow().known_backends.contains_key(&backend)
    }

    /// Returns the counts of each backend since the last call, omitting those without any.
    pub fn take_counts(&self) -> Vec<(BackendId, BackendCounts)> {
        let mut state = self.state.borrow_mut();
        let nonempty =
            state.known_backends.iter_mut().filter(|(_, known)| known.counts != BackendCounts::default());
        let take = |known: &mut KnownBackend<U>| {
            let in_flight = known.counts.in_flight;
            std::mem::replace(&mut known.counts, BackendCounts { in_flight, ..BackendCounts::default() })
        };
        nonempty.map(|(id, known)| (*id, take(known))).collect()
    }

    /// Returns the number of listed backends and how many of them are avoided now.
    pub fn count_backends(&self) -> (usize, usize) {
        let state = self.state.borrow();
        let listed = state.known_backends.values().filter(|known| known.gate.is_listed()).count();
        (listed, state.balancer.avoided_backends().min(listed))
    }

    /// Returns whether a backend list with a backend in service has been received.
    pub fn has_list(&self) -> bool {
        self.has_list.get()
    }

    /// Returns the client IDs of requests that are open or may still run.
    pub fn taken_request_ids(&self) -> Vec<u64> {
        self.state.borrow().request_ids.taken()
    }

    /// Returns whether any request has no final answer yet.
    pub fn has_open_requests(&self) -> bool {
        !self.state.borrow().open_requests.is_empty()
    }

    /// Submits a request whose client waits for `request.budget` seconds; the receiver gets the answer within
    /// that time. Returns `None` if another request that is open or may still run has the same
    /// `client_request_id`.
    pub fn submit_request(
        &self,
        client_request_id: Option<u64>,
        mut request: Request,
        payload: U::Payload,
    ) -> Option<(RequestId, oneshot::Receiver<Answer<U::Reply>>)> {
        let (answer, receiver) = oneshot::channel();
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        if client_request_id.is_some_and(|id| !state.request_ids.claim(id, now)) {
            return None;
        }
        state.last_request_number += 1;
        request.id = RequestId(state.last_request_number);
        let time_left = self.time_until_end(now);
        let is_ended = time_left.is_some_and(|time_left| time_left <= 0.0);
        if is_ended || state.open_requests.len() >= self.max_open_requests {
            let _ = answer.send(Answer::Rejected(None, None)); // the receiver still exists
            client_request_id.into_iter().for_each(|id| state.request_ids.release(id, false, now));
            return Some((request.id, receiver));
        }
        // The request may have waited unread for as long as timers are delayed.
        request.budget -= self.timer_delay.get();
        if let Some(time_left) = time_left {
            request.budget = request.budget.min(time_left);
        }
        let deadline = now + request.budget - 0.5 * ANSWER_DELIVERY_SECONDS;
        request.budget -= ANSWER_DELIVERY_SECONDS;
        let payload = Rc::new(payload);
        let open = OpenRequest {
            client_request_id,
            answer,
            payload,
            deadline,
            attempts: 0,
            has_affinity: false,
            class: request.class,
            exclusive: None,
            error_response: None,
            is_request_open: Rc::new(Cell::new(true)),
        };
        state.open_requests.insert(request.id, open);
        self.set_timer(&mut state, deadline, TimerKind::Request(request.id));
        let id = request.id;
        if !self.lease.is_valid() || !state.queued_requests.is_empty() {
            if state.queued_requests.is_empty() {
                self.set_timer(&mut state, now + LEASE_CHECK_SECONDS, TimerKind::QueuedRequests);
            }
            state.queued_requests.push_back((now, request));
            return Some((id, receiver));
        }
        state.event_queue.push_back(QueuedEvent::Event(Event::Request(request)));
        self.decide(state);
        Some((id, receiver))
    }

    /// Withdraws a request whose client has disconnected. Does nothing if the request has been answered.
    pub fn client_disconnected(&self, id: RequestId) {
        let mut state = self.state.borrow_mut();
        let Some(open) = close_request(&mut state, id, self.clock.now()) else { return };
        if open.has_affinity {
            self.notify_observer(id, 0, AttemptEvent::Ended(Outcome::Cancelled));
            return abort_attempt(&mut state, id, 0, self.clock.now());
        }
        if let Some(attempt) = open.exclusive {
            self.notify_observer(id, attempt, AttemptEvent::Ended(Outcome::Cancelled));
            let backend = state.running_attempts.get(&(id, attempt)).map(|running| running.backend);
            abort_attempt(&mut state, id, attempt, self.clock.now());
            if let Some(backend) = backend {
                let ended = AttemptResult {
                    id,
                    backend,
                    attempt,
                    outcome: Outcome::Cancelled,
                    duration: 0.0,
                    is_final: true,
                    report: None,
                };
                state.event_queue.push_back(QueuedEvent::Event(Event::Outcome(ended)));
            }
            return self.decide(state);
        }
        if !remove_queued(&mut state, id) {
            state.event_queue.push_back(QueuedEvent::Event(Event::ClientDisconnected(id)));
            self.cancel_unsent_attempts(&mut state, id, open.attempts);
            self.decide(state);
        }
    }

    /// Ends the attempts of a closed request of which nothing has been sent.
    fn cancel_unsent_attempts(&self, state: &mut State<U>, id: RequestId, attempts: usize) {
        for attempt in 0..attempts {
            if state.running_attempts.get(&(id, attempt)).is_some_and(|running| !running.written.get()) {
                self.end_attempt(state, id, attempt, UpstreamResult::without_reply(Outcome::NeverSent));
            }
        }
    }

    /// Answers a request and ends its unsent attempts. Does nothing if the request has been answered.
    fn answer_request(
        &self,
        state: &mut State<U>,
        id: RequestId,
        answer: impl FnOnce(Option<U::Reply>) -> Answer<U::Reply>,
    ) {
        let attempts = state.open_requests.get(&id).map_or(0, |open| open.attempts);
        send_answer(state, id, self.clock.now(), answer);
        self.cancel_unsent_attempts(state, id, attempts);
    }

    /// Takes in an update of the backend list.
    pub fn update_list(&self, update: BackendListUpdate) {
        let mut state = self.state.borrow_mut();
        // With an expired lease the update may be late, so that there is no grace period.
        let grace = if self.lease.is_valid() { DRAIN_GRACE_FRACTION * self.drain_grace } else { 0.0 };
        let send_deadline = self.clock.now() + grace;
        let listed: &[ListedBackend] = match &update {
            BackendListUpdate::Full(list) | BackendListUpdate::Remembered(list) => {
                let listed_ids: HashSet<BackendId> = list.iter().map(|l| l.entry.id).collect();
                let gone = state.known_backends.iter().filter(|(id, _)| !listed_ids.contains(id));
                gone.for_each(|(_, known)| self.mark_backend_gone(known, send_deadline));
                list
            }
            BackendListUpdate::Changes(list) => list,
            BackendListUpdate::Failed => &[],
        };
        for ListedBackend { entry, address } in listed {
            if entry.status == Status::Gone {
                state
                    .known_backends
                    .get(&entry.id)
                    .into_iter()
                    .for_each(|known| self.mark_backend_gone(known, send_deadline));
                continue;
            }
            let drain_deadline = (entry.status != Status::InService).then_some(send_deadline);
            let known = state.known_backends.entry(entry.id).or_insert_with(|| KnownBackend {
                address: *address,
                gate: Rc::new(SendGate::with_lease(self.lease.clone())),
                endpoint: Rc::new(self.upstream.create_endpoint(*address)),
                counts: BackendCounts::default(),
            });
            known.address = *address;
            self.upstream.set_address(&known.endpoint, *address);
            if drain_deadline.is_some() {
                self.upstream.release_connections(&known.endpoint);
            }
            known.gate.set_send_deadline(drain_deadline);
        }
        self.close_replaced_backends(&state.known_backends, listed);
        self.has_list.set(self.has_list.get() || listed.iter().any(|l| l.entry.status == Status::InService));
        state.event_queue.push_back(QueuedEvent::List(update));
        self.decide(state);
    }

    /// Ends sends to backends that drain or are gone and whose address another backend has: what is sent there reaches
    /// the other one.
    fn close_replaced_backends(
        &self,
        known_backends: &HashMap<BackendId, KnownBackend<U>>,
        listed: &[ListedBackend],
    ) {
        let present = listed.iter().filter(|listed| listed.entry.status != Status::Gone);
        let owners: HashMap<SocketAddr, BackendId> =
            present.map(|listed| (listed.address, listed.entry.id)).collect();
        let now = self.clock.now();
        for (id, known) in known_backends {
            let is_replaced = owners.get(&known.address).is_some_and(|owner| owner != id);
            if is_replaced && known.gate.is_closing() {
                self.upstream.release_connections(&known.endpoint);
                known.gate.close(now);
            }
        }
    }

    /// Handles a backend that is gone from the list.
    fn mark_backend_gone(&self, known: &KnownBackend<U>, send_deadline: Time) {
        self.upstream.release_connections(&known.endpoint);
        known.gate.mark_gone(send_deadline);
    }

    /// Handles an attempt that ended by itself.
    fn handle_attempt_result(&self, id: RequestId, attempt: usize, result: UpstreamResult<U::Reply>) {
        let mut state = self.state.borrow_mut();
        self.end_attempt(&mut state, id, attempt, result);
        self.decide(state);
    }

    /// Reports the end of an attempt to the decision module, once, and answers the client with the first
    /// reply.
    fn end_attempt(
        &self,
        state: &mut State<U>,
        id: RequestId,
        attempt: usize,
        result: UpstreamResult<U::Reply>,
    ) {
        let Some(running) = state.running_attempts.remove(&(id, attempt)) else {
            return; // has ended before
        };
        running.task.abort();
        running.release_request_id(&mut state.request_ids, Some(result.outcome), self.clock.now());
        self.notify_observer(id, attempt, AttemptEvent::Ended(result.outcome));
        if let Some(KnownBackend { counts, .. }) = state.known_backends.get_mut(&running.backend) {
            counts.in_flight = counts.in_flight.saturating_sub(1);
            match result.outcome {
                Outcome::Served => {
                    counts.served += 1;
                    counts.served_time += self.clock.now() - running.sent_at;
                }
                Outcome::Cancelled | Outcome::NeverSent => {}
                _ => counts.failed += 1,
            }
        }
        let mut attempts_made = 0;
        if let Some(reply) = result.reply
            && let Some(open) = close_request(state, id, self.clock.now())
        {
            let _ = open.answer.send(Answer::Served(reply)); // fails if the client has disconnected
            attempts_made = open.attempts;
        }
        if running.has_affinity {
            return affinity::end_request(state, id, self.clock.now(), result.outcome, result.error_response);
        }
        if running.exclusive {
            affinity::end_request(state, id, self.clock.now(), result.outcome, result.error_response);
        } else if let (Some(error_response), Some(open)) =
            (result.error_response, state.open_requests.get_mut(&id))
        {
            open.error_response = Some(error_response);
        }
        state.event_queue.push_back(QueuedEvent::Event(Event::Outcome(AttemptResult {
            id,
            backend: running.backend,
            attempt,
            outcome: result.outcome,
            duration: self.clock.now() - running.sent_at,
            is_final: !state.open_requests.contains_key(&id),
            report: result.report,
        })));
        self.cancel_unsent_attempts(state, id, attempts_made);
    }

    fn handle_probe_result(&self, backend: BackendId, outcome: Outcome, report: Option<Report>) {
        let mut state = self.state.borrow_mut();
        state.event_queue.push_back(QueuedEvent::Event(Event::Probed { backend, outcome, report }));
        self.decide(state);
    }

    /// Lets the decision module handle all queued events.
    fn decide(&self, mut state: std::cell::RefMut<'_, State<U>>) {
        let mut actions = Vec::new();
        while let Some(queued_event) = state.event_queue.pop_front() {
            let now = self.clock.now();
            let entries =
                |list: Vec<ListedBackend>| list.into_iter().map(|l| l.entry).collect::<Vec<BackendEntry>>();
            match queued_event {
                QueuedEvent::Event(event) => state.balancer.handle(now, event, &mut actions),
                QueuedEvent::List(update) => {
                    let list;
                    let update = match update {
                        BackendListUpdate::Changes(l) => {
                            list = entries(l);
                            ListUpdate::Changes(&list)
                        }
                        BackendListUpdate::Full(l) => {
                            list = entries(l);
                            ListUpdate::Full(&list)
                        }
                        BackendListUpdate::Remembered(l) => {
                            list = entries(l);
                            ListUpdate::Remembered(&list)
                        }
                        BackendListUpdate::Failed => ListUpdate::Failed,
                    };
                    state.balancer.handle(now, Event::List(update), &mut actions);
                }
            }
            for action in actions.drain(..) {
                self.execute(&mut state, action, now);
            }
        }
    }

    fn execute(&self, state: &mut State<U>, action: Action, now: Time) {
        match action {
            Action::Send { id, backend, timeout, send_by } => {
                self.send(state, id, backend, SendTiming { now, timeout, send_by });
            }
            Action::Cancel { id, attempt } => {
                self.end_attempt(state, id, attempt, UpstreamResult::without_reply(Outcome::Cancelled));
            }
            Action::Reject { id, retry_after } => {
                self.answer_request(state, id, |error_response| {
                    Answer::Rejected(retry_after, error_response)
                });
            }
            Action::Fail { id } => self.answer_request(state, id, Answer::Failed),
            Action::Timer { at, token } => self.set_timer(state, at, TimerKind::Token(token)),
            Action::Probe(backend) => self.probe(state, backend),
            Action::CloseIdleConnections(backend) => {
                let known = state.known_backends.get(&backend);
                known.into_iter().for_each(|known| self.upstream.release_connections(&known.endpoint));
            }
            Action::Watch(on) => self.send_list_request(ListRequest::Watch(on)),
            Action::Fetch => self.send_list_request(ListRequest::Fetch),
            Action::Log(text) => eprintln!("{text}"),
        }
    }

    fn send_list_request(&self, request: ListRequest) {
        self.list_source.borrow().iter().for_each(|source| source(request));
    }

    fn send(&self, state: &mut State<U>, id: RequestId, backend: BackendId, timing: SendTiming) {
        let SendTiming { now, timeout, send_by } = timing;
        let known =
            state.known_backends.get(&backend).map(|known| (known.gate.clone(), known.endpoint.clone()));
        let max_attempts = self.max_attempts;
        let open = state.open_requests.get_mut(&id).filter(|open| open.attempts < max_attempts);
        let (Some(open), Some((gate, endpoint)), Some(engine)) = (open, known, self.this.upgrade()) else {
            let attempt = state.open_requests.get(&id).map_or(0, |open| open.attempts);
            return state.event_queue.push_back(QueuedEvent::Event(Event::Outcome(AttemptResult {
                id,
                backend,
                attempt,
                outcome: Outcome::NeverSent,
                duration: 0.0,
                is_final: !state.open_requests.contains_key(&id),
                report: None,
            })));
        };
        if self.upstream.is_full() {
            // Closes the oldest idle connection to make room for one that may be needed.
            let idle = |known: &KnownBackend<U>| {
                Some((self.upstream.oldest_idle_since(&known.endpoint)?, known.endpoint.clone()))
            };
            let oldest = state.known_backends.values().filter_map(idle).min_by_key(|(since, _)| *since);
            oldest.into_iter().for_each(|(_, endpoint)| self.upstream.close_oldest_idle(&endpoint));
        }
        let attempt = open.attempts;
        open.attempts += 1;
        let deadline = if timeout == 0.0 { open.deadline } else { (now + timeout).min(open.deadline) };
        let written = Rc::new(Cell::new(false));
        let (has_affinity, is_request_open) = (open.has_affinity, open.is_request_open.clone());
        self.notify_observer(id, attempt, AttemptEvent::Started(backend, open.class));
        let (reply_sink, exclusive_claim) = (self.reply_sink(id, attempt), self.exclusive_claim(id, attempt));
        let stall_report = self.stall_report(id, attempt);
        let clock = self.clock;
        let attempt_context = AttemptContext {
            gate,
            backend,
            clock,
            deadline,
            send_by,
            written: written.clone(),
            is_request_open,
            reply_sink,
            exclusive_claim,
            stall_report,
        };
        let running_attempt = self.upstream.attempt(endpoint, open.payload.clone(), attempt_context);
        let is_safe = self.is_safe_class.get(open.class).is_some_and(|is_safe| *is_safe);
        let held_request_id = open.client_request_id.filter(|_| !is_safe);
        held_request_id.into_iter().for_each(|id| state.request_ids.hold(id));
        let task = tokio::task::spawn_local(async move {
            let result = running_attempt.await;
            engine.handle_attempt_result(id, attempt, result);
        });
        let task = task.abort_handle();
        if let Some(KnownBackend { counts, .. }) = state.known_backends.get_mut(&backend) {
            counts.in_flight += 1;
            counts.sent += 1;
        }
        state.running_attempts.insert(
            (id, attempt),
            RunningAttempt {
                backend,
                sent_at: now,
                written,
                task,
                has_affinity,
                streaming: false,
                exclusive: false,
                held_request_id,
            },
        );
        self.set_timer(state, deadline, TimerKind::Attempt(id, attempt));
    }

    fn probe(&self, state: &State<U>, backend: BackendId) {
        if let (Some(known), Some(engine)) = (state.known_backends.get(&backend), self.this.upgrade()) {
            let (gate, written) = (known.gate.clone(), Rc::default());
            let attempt_context = AttemptContext {
                gate,
                backend,
                clock: self.clock,
                deadline: Time::INFINITY,
                send_by: Time::INFINITY,
                written,
                is_request_open: Rc::new(Cell::new(true)),
                reply_sink: ReplySink::default(),
                exclusive_claim: ExclusiveClaim::default(),
                stall_report: StallReport::default(),
            };
            let probe = self.upstream.probe(known.endpoint.clone(), attempt_context);
            tokio::task::spawn_local(async move {
                let result = probe.await;
                engine.handle_probe_result(backend, result.outcome, result.report);
            });
        }
    }

    /// Passes queued requests to the decision module if the lease is valid again or they have waited too
    /// long; the module then rejects them.
    fn release_queued(&self, state: &mut State<U>, now: Time) {
        let lease_valid = self.lease.is_valid();
        while let Some((since, _)) = state.queued_requests.front()
            && (lease_valid || now - since >= MAX_QUEUED_SECONDS)
        {
            let Some((since, mut request)) = state.queued_requests.pop_front() else { break };
            request.budget -= now - since;
            state.event_queue.push_back(QueuedEvent::Event(Event::Request(request)));
        }
        if !state.queued_requests.is_empty() {
            self.set_timer(state, now + LEASE_CHECK_SECONDS, TimerKind::QueuedRequests);
        }
    }

    fn set_timer(&self, state: &mut State<U>, at: Time, kind: TimerKind) {
        let is_first = state.timers.peek().is_none_or(|Reverse((first, ..))| at < first.0);
        state.timers_set += 1;
        state.timers.push(Reverse((TimerTime(at), state.timers_set, kind)));
        if is_first {
            self.timer_set.notify_one();
        }
    }

    async fn run_timers(self: Rc<Self>) {
        loop {
            let next = self.state.borrow().timers.peek().map(|Reverse((at, ..))| self.clock.instant_at(at.0));
            match next {
                None => self.timer_set.notified().await,
                Some(next) => tokio::select! {
                    _ = tokio::time::sleep_until(next) => self.fire_timers(),
                    _ = self.timer_set.notified() => {}
                },
            }
        }
    }

    /// Handles all timers that are due.
    fn fire_timers(&self) {
        let now = self.clock.now();
        let mut max_delay: Time = 0.0;
        loop {
            let mut state = self.state.borrow_mut();
            let is_due = state.timers.peek().is_some_and(|Reverse((at, ..))| at.0 <= now);
            let Some(Reverse((at, _, kind))) = is_due.then(|| state.timers.pop()).flatten() else {
                break;
            };
            max_delay = max_delay.max(now - at.0);
            match kind {
                TimerKind::Token(token) => {
                    state.event_queue.push_back(QueuedEvent::Event(Event::Timer(token)))
                }
                TimerKind::Attempt(id, attempt)
                    if state.running_attempts.get(&(id, attempt)).is_some_and(|r| r.streaming) => {}
                TimerKind::Attempt(id, attempt) => self.expire_attempt(&mut state, id, attempt),
                TimerKind::QueuedRequests => self.release_queued(&mut state, now),
                TimerKind::Request(id) => self.handle_deadline(&mut state, id),
                TimerKind::EndOfRequests => self.end_open_requests(&mut state),
            }
            self.decide(state);
        }
        self.timer_delay.set(max_delay.max(0.8 * self.timer_delay.get()).min(MAX_TIMER_DELAY_SECONDS));
    }

    async fn run_sweeps(self: Rc<Self>) {
        let mut sweeps: u32 = 0;
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            sweeps = sweeps.wrapping_add(1);
            let mut state = self.state.borrow_mut();
            // Removes gone backends, so that the map stays small while backends are replaced. The map holds
            // the last handle once no attempt or probe is running.
            let can_be_removed = |known: &KnownBackend<U>| {
                Rc::strong_count(&known.endpoint) == 1 && known.gate.can_be_removed(&self.clock)
            };
            if sweeps.is_multiple_of(SWEEPS_PER_CLEANUP) {
                state.request_ids.release_expired(self.clock.now());
                state.known_backends.retain(|_, known| !can_be_removed(known));
            }
            state.known_backends.values().for_each(|known| self.upstream.close_expired(&known.endpoint));
        }
    }
}

impl RunningAttempt {
    /// Releases the client ID of an attempt that ended with `outcome`, if that is known.
    fn release_request_id(&self, request_ids: &mut RequestIds, outcome: Option<Outcome>, now: Time) {
        let has_not_run =
            matches!(outcome, Some(Outcome::Rejected | Outcome::NoConnection | Outcome::NeverSent));
        let may_have_run = self.written.get() && !has_not_run;
        self.held_request_id.into_iter().for_each(|id| request_ids.release(id, may_have_run, now));
    }
}

/// Removes a request that is answered or whose client has disconnected.
fn close_request<U: Upstream>(state: &mut State<U>, id: RequestId, now: Time) -> Option<OpenRequest<U>> {
    let open = state.open_requests.remove(&id)?;
    open.is_request_open.set(false);
    if let Some(client_request_id) = open.client_request_id {
        state.request_ids.release(client_request_id, false, now);
    }
    Some(open)
}

/// Ends an attempt without reporting it to the decision module.
fn abort_attempt<U: Upstream>(state: &mut State<U>, id: RequestId, attempt: usize, now: Time) {
    if let Some(running) = state.running_attempts.remove(&(id, attempt)) {
        running.task.abort();
        running.release_request_id(&mut state.request_ids, None, now);
        if let Some(known) = state.known_backends.get_mut(&running.backend) {
            known.counts.in_flight = known.counts.in_flight.saturating_sub(1);
        }
    }
}

/// Removes a request from the queue. Returns whether it was queued.
fn remove_queued<U: Upstream>(state: &mut State<U>, id: RequestId) -> bool {
    let position = state.queued_requests.iter().position(|(_, queued)| queued.id == id);
    position.and_then(|position| state.queued_requests.remove(position)).is_some()
}

/// Answers a request. Does nothing if the request has been answered.
fn send_answer<U: Upstream>(
    state: &mut State<U>,
    id: RequestId,
    now: Time,
    answer: impl FnOnce(Option<U::Reply>) -> Answer<U::Reply>,
) {
    if let Some(mut open) = close_request(state, id, now) {
        let error_response = open.error_response.take();
        let _ = open.answer.send(answer(error_response)); // fails if the client has disconnected
    }
}
