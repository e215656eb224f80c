//! The one place where the module meets the world: its clock, its timers, the open requests
//! and their attempts. It knows no protocol and no source of lists: attempts are made by an
//! [`Upstream`], and [`News`] of the list come as values. Events become calls of the module, its actions become I/O, and every
//! request gets exactly one final answer.

mod affine;
mod budget;
mod clock;
mod list;
mod streamed;
mod upstream;

pub use budget::{Budget, Permit};
pub use clock::Clock;
pub use list::{Ask, Listed, News};
pub use upstream::{Attempt, Begin, Done, Gate, Keep, Lease, Upstream};

use crate::{
    Action, AttemptResult, BackendEntry, BackendId, Balancer, Event, ListUpdate, Outcome, Report, Request,
    RequestId, Settings, Status, Time,
};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;

/// Time kept for the way of an answer to the client, in seconds: the module's last word comes
/// this long before the client gives up, and the engine's own, if there was none, at half of it.
const ANSWER_WAY: Time = 0.006;
/// Largest allowance for waiting in this process, in seconds.
const MOST_LAG: Time = 0.1;
/// Part of the grace of a drain after which a send that was decided before is not made.
const GRACE_USED: f64 = 0.5;
/// While nothing may be sent by the whole list, new requests are held back from the module for so long
/// at most, in seconds: a source that is to lend its list again does so within this, or not soon.
pub const MOST_HELD: Time = 0.5;
/// How often it is seen whether it is lent again, in seconds.
const LOOK: Time = 0.005;
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_millis(100);
/// Backends that are gone are forgotten at every such look.
const FORGET_EVERY: u32 = 10;

/// The final answer to a request.
pub enum Answer<R> {
    /// What a backend answered.
    Served(R),
    /// Not done; trying again is harmless, after so long if that is said. With it the last error
    /// that a backend worded, where clients are to see it.
    Refused(Option<Time>, Option<R>),
    /// It may have been done. With it the same.
    Failed(Option<R>),
}

/// What falls due.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Token(u64),
    Attempt(RequestId, usize),
    Request(RequestId),
    Held,
}

/// A point in time that can be sorted.
#[derive(Debug, PartialEq)]
struct At(Time);

impl Eq for At {}

impl PartialOrd for At {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for At {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// An event that owns what it tells.
enum Told {
    Event(Event<'static>),
    List(News),
}

struct Open<U: Upstream> {
    /// The id that the client gave it, if it gave one.
    txn: Option<u64>,
    answer: oneshot::Sender<Answer<U::Reply>>,
    payload: Rc<U::Payload>,
    until: Time,
    attempts: usize,
    /// One backend alone can do it: the module does not know of it.
    affine: bool,
    /// Its class.
    class: usize,
    /// This attempt is its only one, and sets its own time limit.
    kept: Option<usize>,
    /// The last error that a backend worded.
    fallback: Option<U::Reply>,
    /// True until it has its answer or its client has left.
    wanted: Rc<Cell<bool>>,
}

struct Running {
    backend: BackendId,
    sent: Time,
    written: Rc<Cell<bool>>,
    task: AbortHandle,
    /// As its request is.
    affine: bool,
    /// Its answer has begun, and is with the client, or what it sends can't be sent again.
    streams: bool,
    /// The latter: what comes of it is the request's answer.
    kept: bool,
}

/// What was seen of a backend since that was asked last.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Attempts that are out now.
    pub in_flight: u32,
    /// Attempts that were begun.
    pub sent: u32,
    /// Those that were served.
    pub served: u32,
    /// Those that ended otherwise, but for those that were cancelled or never left.
    pub failed: u32,
    /// How long those that were served took together, in seconds.
    pub took: Time,
}

/// A listed backend: what the list allows, the connections to it, and what was seen of it.
struct Known<U: Upstream> {
    gate: Rc<Gate>,
    endpoint: Rc<U::Endpoint>,
    counts: Counts,
}

struct State<U: Upstream> {
    balancer: Balancer,
    told: VecDeque<Told>,
    timers: BinaryHeap<Reverse<(At, u64, Due)>>,
    timers_set: u64,
    /// Requests without a final answer, by a number that is never used twice: the ids of clients
    /// may come again, while an attempt of an answered request of that id is still out.
    open: HashMap<RequestId, Open<U>>,
    /// The clients' ids of those.
    in_use: HashSet<u64>,
    requests: u64,
    running: HashMap<(RequestId, usize), Running>,
    /// Requests that the module does not know of yet, and when they came. Open ones, so that there are no
    /// more than may be open.
    held: VecDeque<(Time, Request)>,
    endpoints: HashMap<BackendId, Known<U>>,
}

/// What an observer is told of attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// One begins, of a request of that class.
    Began(BackendId, usize),
    /// It has ended.
    Ended(Outcome),
}

/// Who is told of attempts, each by its request and its number there.
type Observer = Box<dyn Fn(RequestId, usize, Seen)>;

/// Where wishes for the list go.
type Source = Box<dyn Fn(Ask)>;

/// What bounds an engine besides the module's settings.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Nothing new to a backend this long after the news that it drains or is gone.
    pub drain_grace: Duration,
    /// Requests that may be open at once; what comes beyond is refused.
    pub max_open: usize,
}

/// Drives the module, with one kind of backends.
pub struct Engine<U: Upstream> {
    this: Weak<Self>,
    state: RefCell<State<U>>,
    upstream: U,
    lease: Rc<Lease>,
    clock: Clock,
    timer_set: Notify,
    /// How late timers have fired of late: as long may a request have waited to be read.
    lag: Cell<Time>,
    listed: Cell<bool>,
    /// Where the module's wishes for the list go.
    source: RefCell<Option<Source>>,
    observer: RefCell<Option<Observer>>,
    drain_grace: Time,
    max_open: usize,
    max_attempts: usize,
}

impl<U: Upstream> Engine<U> {
    /// An engine with a module of its own, and its timers running. Its lists hold for good.
    pub fn start(settings: Settings, bounds: Bounds, seed: u64, upstream: U) -> Rc<Self> {
        Self::leased(settings, bounds, seed, upstream, Rc::default())
    }

    /// The same, with lists that are lent.
    pub fn leased(settings: Settings, bounds: Bounds, seed: u64, upstream: U, lease: Rc<Lease>) -> Rc<Self> {
        let clock = Clock::start();
        let engine = Rc::new_cyclic(|this| Self {
            this: this.clone(),
            upstream,
            lease,
            clock,
            timer_set: Notify::new(),
            lag: Cell::new(0.0),
            listed: Cell::new(false),
            source: RefCell::default(),
            observer: RefCell::default(),
            drain_grace: bounds.drain_grace.as_secs_f64(),
            max_open: bounds.max_open,
            max_attempts: settings.max_attempts,
            state: RefCell::new(State {
                balancer: Balancer::new(clock.now(), seed, settings),
                told: VecDeque::new(),
                timers: BinaryHeap::new(),
                timers_set: 0,
                open: HashMap::new(),
                in_use: HashSet::new(),
                requests: 0,
                running: HashMap::new(),
                held: VecDeque::new(),
                endpoints: HashMap::new(),
            }),
        });
        tokio::task::spawn_local(engine.clone().run_timers());
        tokio::task::spawn_local(engine.clone().sweep());
        engine
    }

    /// The kind of backends.
    pub fn upstream(&self) -> &U {
        &self.upstream
    }

    /// The module's clock.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Hands the module's wishes for the list to `source`. It is called while the engine is at
    /// work, and must not call back.
    pub fn asks(&self, source: impl Fn(Ask) + 'static) {
        *self.source.borrow_mut() = Some(Box::new(source));
    }

    /// Tells `observer` of every attempt. It is called while the engine is at work, and must not call back.
    pub fn observe(&self, observer: impl Fn(RequestId, usize, Seen) + 'static) {
        *self.observer.borrow_mut() = Some(Box::new(observer));
    }

    fn observed(&self, id: RequestId, attempt: usize, seen: Seen) {
        self.observer.borrow().iter().for_each(|observer| observer(id, attempt, seen));
    }

    /// What many proxies together hold of backends: how many times slower than normal they are, 0 taking it back.
    pub fn believe(&self, held: &[(BackendId, f64)]) {
        let mut state = self.state.borrow_mut();
        let believed = |(backend, slowness): &(BackendId, f64)| {
            Told::Event(Event::BackendHint { backend: *backend, slowness: *slowness })
        };
        state.told.extend(held.iter().map(believed));
        self.decide(state);
    }

    /// It has been listed, and not been gone for longer than sends to it may take.
    pub fn knows(&self, backend: BackendId) -> bool {
        self.state.borrow().endpoints.contains_key(&backend)
    }

    /// What was seen of each backend since this was called last, where that is anything.
    pub fn take_counts(&self) -> Vec<(BackendId, Counts)> {
        let mut state = self.state.borrow_mut();
        let seen = state.endpoints.iter_mut().filter(|(_, k)| k.counts != Counts::default());
        let take = |known: &mut Known<U>| {
            let in_flight = known.counts.in_flight;
            std::mem::replace(&mut known.counts, Counts { in_flight, ..Counts::default() })
        };
        seen.map(|(id, known)| (*id, take(known))).collect()
    }

    /// How many backends the list names, and how many of them are avoided now.
    pub fn members(&self) -> (usize, usize) {
        let state = self.state.borrow();
        let listed = state.endpoints.values().filter(|known| known.gate.listed()).count();
        (listed, state.balancer.avoided_backends().min(listed))
    }

    /// There is a list to go by.
    pub fn listed(&self) -> bool {
        self.listed.get()
    }

    /// There are requests without a final answer.
    pub fn owes_answers(&self) -> bool {
        !self.state.borrow().open.is_empty()
    }

    /// Takes in a request, perhaps named `txn` by its client, which will wait for `request.budget` seconds.
    /// The answer comes to the receiver in that time. None if the name is in use.
    pub fn request(
        &self,
        txn: Option<u64>,
        mut request: Request,
        payload: U::Payload,
    ) -> Option<(RequestId, oneshot::Receiver<Answer<U::Reply>>)> {
        let (answer, receiver) = oneshot::channel();
        let mut state = self.state.borrow_mut();
        if txn.is_some_and(|txn| state.in_use.contains(&txn)) {
            return None;
        }
        state.requests += 1;
        request.id = RequestId(state.requests);
        if state.open.len() >= self.max_open {
            let _ = answer.send(Answer::Refused(None, None)); // the receiver is still here
            return Some((request.id, receiver));
        }
        state.in_use.extend(txn);
        let now = self.clock.now();
        // The client has waited since it sent, so for as long as the request lay unread too.
        request.budget -= self.lag.get();
        let until = now + request.budget - 0.5 * ANSWER_WAY;
        request.budget -= ANSWER_WAY;
        let payload = Rc::new(payload);
        let open = Open {
            txn,
            answer,
            payload,
            until,
            attempts: 0,
            affine: false,
            class: request.class,
            kept: None,
            fallback: None,
            wanted: Rc::new(Cell::new(true)),
        };
        state.open.insert(request.id, open);
        self.set_timer(&mut state, until, Due::Request(request.id));
        let id = request.id;
        if !self.lease.holds() || !state.held.is_empty() {
            if state.held.is_empty() {
                self.set_timer(&mut state, now + LOOK, Due::Held);
            }
            state.held.push_back((now, request));
            return Some((id, receiver));
        }
        state.told.push_back(Told::Event(Event::Request(request)));
        self.decide(state);
        Some((id, receiver))
    }

    /// The client has left. Nothing happens if the request has had its answer.
    pub fn client_left(&self, id: RequestId) {
        let mut state = self.state.borrow_mut();
        let Some(open) = close(&mut state, id) else { return };
        if open.affine {
            self.observed(id, 0, Seen::Ended(Outcome::Cancelled));
            return give_up(&mut state, id, 0);
        }
        if let Some(attempt) = open.kept {
            self.observed(id, attempt, Seen::Ended(Outcome::Cancelled));
            let backend = state.running.get(&(id, attempt)).map(|running| running.backend);
            give_up(&mut state, id, attempt);
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
                state.told.push_back(Told::Event(Event::Outcome(ended)));
            }
            return self.decide(state);
        }
        if !unheld(&mut state, id) {
            state.told.push_back(Told::Event(Event::ClientDisconnected(id)));
            self.withdraw_unsent(&mut state, id, open.attempts);
            self.decide(state);
        }
    }

    /// A request is closed: those of its attempts of which nothing has gone out are not made any more.
    fn withdraw_unsent(&self, state: &mut State<U>, id: RequestId, attempts: usize) {
        for attempt in 0..attempts {
            if state.running.get(&(id, attempt)).is_some_and(|running| !running.written.get()) {
                self.ended(state, id, attempt, Done::without_answer(Outcome::NeverSent));
            }
        }
    }

    /// Gives a request its final answer, if it has had none.
    fn answer(
        &self,
        state: &mut State<U>,
        id: RequestId,
        answer: impl FnOnce(Option<U::Reply>) -> Answer<U::Reply>,
    ) {
        let attempts = state.open.get(&id).map_or(0, |open| open.attempts);
        give_answer(state, id, answer);
        self.withdraw_unsent(state, id, attempts);
    }

    /// The process is to end: what is open now has its final answer after so long at the latest.
    pub fn answer_within(&self, within: Duration) {
        let mut state = self.state.borrow_mut();
        let last = self.clock.now() + within.as_secs_f64();
        let late: Vec<RequestId> =
            state.open.iter().filter(|(_, open)| open.until > last).map(|(id, _)| *id).collect();
        for id in late {
            if let Some(open) = state.open.get_mut(&id) {
                open.until = last;
            }
            self.set_timer(&mut state, last, Due::Request(id));
        }
    }

    /// News of the list, from whichever source.
    pub fn news(&self, news: News) {
        let mut state = self.state.borrow_mut();
        // Where nothing may be sent by the list before any more, the news may be old: there is no grace.
        let grace = if self.lease.holds() { GRACE_USED * self.drain_grace } else { 0.0 };
        let last_send = self.clock.now() + grace;
        let listed: &[Listed] = match &news {
            News::Full(list) | News::Remembered(list) => {
                let named: HashSet<BackendId> = list.iter().map(|l| l.entry.id).collect();
                let gone = state.endpoints.iter().filter(|(id, _)| !named.contains(id));
                gone.for_each(|(_, known)| self.end(known, last_send));
                list
            }
            News::Changes(list) => list,
            News::Refused => &[],
        };
        for Listed { entry, address } in listed {
            if entry.status == Status::Gone {
                state.endpoints.get(&entry.id).into_iter().for_each(|known| self.end(known, last_send));
                continue;
            }
            let drained = (entry.status != Status::InService).then_some(last_send);
            let known = state.endpoints.entry(entry.id).or_insert_with(|| Known {
                gate: Rc::new(Gate::leased(self.lease.clone())),
                endpoint: Rc::new(self.upstream.endpoint(*address)),
                counts: Counts::default(),
            });
            self.upstream.moved(&known.endpoint, *address);
            if drained.is_some() {
                self.upstream.release(&known.endpoint);
            }
            known.gate.update(drained);
        }
        self.listed.set(self.listed.get() || listed.iter().any(|l| l.entry.status == Status::InService));
        state.told.push_back(Told::List(news));
        self.decide(state);
    }

    /// A backend is gone from the list.
    fn end(&self, known: &Known<U>, last_send: Time) {
        self.upstream.release(&known.endpoint);
        known.gate.end(last_send);
    }

    /// An attempt has ended by itself.
    fn attempt_done(&self, id: RequestId, attempt: usize, done: Done<U::Reply>) {
        let mut state = self.state.borrow_mut();
        self.ended(&mut state, id, attempt, done);
        self.decide(state);
    }

    /// Tells the module of the end of an attempt, once, and the client of the first answer.
    fn ended(&self, state: &mut State<U>, id: RequestId, attempt: usize, done: Done<U::Reply>) {
        let Some(running) = state.running.remove(&(id, attempt)) else {
            return; // ended otherwise before
        };
        running.task.abort();
        self.observed(id, attempt, Seen::Ended(done.outcome));
        if let Some(Known { counts, .. }) = state.endpoints.get_mut(&running.backend) {
            counts.in_flight = counts.in_flight.saturating_sub(1);
            match done.outcome {
                Outcome::Served => {
                    counts.served += 1;
                    counts.took += self.clock.now() - running.sent;
                }
                Outcome::Cancelled | Outcome::NeverSent => {}
                _ => counts.failed += 1,
            }
        }
        let mut closed = 0;
        if let Some(served) = done.served
            && let Some(open) = close(state, id)
        {
            let _ = open.answer.send(Answer::Served(served)); // if it has left, its guard tells
            closed = open.attempts;
        }
        if running.affine {
            return affine::end(state, id, done.outcome, done.fallback);
        }
        if running.kept {
            affine::end(state, id, done.outcome, done.fallback);
        } else if let (Some(fallback), Some(open)) = (done.fallback, state.open.get_mut(&id)) {
            open.fallback = Some(fallback);
        }
        state.told.push_back(Told::Event(Event::Outcome(AttemptResult {
            id,
            backend: running.backend,
            attempt,
            outcome: done.outcome,
            duration: self.clock.now() - running.sent,
            is_final: !state.open.contains_key(&id),
            report: done.report,
        })));
        self.withdraw_unsent(state, id, closed);
    }

    fn probed(&self, backend: BackendId, outcome: Outcome, report: Option<Report>) {
        let mut state = self.state.borrow_mut();
        state.told.push_back(Told::Event(Event::Probed { backend, outcome, report }));
        self.decide(state);
    }

    /// Lets the module decide on all that it has not been told yet.
    fn decide(&self, mut state: std::cell::RefMut<'_, State<U>>) {
        let mut actions = Vec::new();
        while let Some(told) = state.told.pop_front() {
            let now = self.clock.now();
            let entries =
                |list: Vec<Listed>| list.into_iter().map(|l| l.entry).collect::<Vec<BackendEntry>>();
            match told {
                Told::Event(event) => state.balancer.handle(now, event, &mut actions),
                Told::List(news) => {
                    let list;
                    let update = match news {
                        News::Changes(l) => {
                            list = entries(l);
                            ListUpdate::Changes(&list)
                        }
                        News::Full(l) => {
                            list = entries(l);
                            ListUpdate::Full(&list)
                        }
                        News::Remembered(l) => {
                            list = entries(l);
                            ListUpdate::Remembered(&list)
                        }
                        News::Refused => ListUpdate::Failed,
                    };
                    state.balancer.handle(now, Event::List(update), &mut actions);
                }
            }
            for action in actions.drain(..) {
                self.act(&mut state, action, now);
            }
        }
    }

    fn act(&self, state: &mut State<U>, action: Action, now: Time) {
        match action {
            Action::Send { id, backend, timeout } => self.send(state, id, backend, timeout, now),
            Action::Cancel { id, attempt } => {
                self.ended(state, id, attempt, Done::without_answer(Outcome::Cancelled));
            }
            Action::Reject { id, retry_after } => {
                self.answer(state, id, |fallback| Answer::Refused(retry_after, fallback));
            }
            Action::Fail { id } => self.answer(state, id, Answer::Failed),
            Action::Timer { at, token } => self.set_timer(state, at, Due::Token(token)),
            Action::Probe(backend) => self.probe(state, backend),
            Action::CloseIdleConnections(backend) => {
                let known = state.endpoints.get(&backend);
                known.into_iter().for_each(|known| self.upstream.release(&known.endpoint));
            }
            Action::Watch(on) => self.ask(Ask::Watch(on)),
            Action::Fetch => self.ask(Ask::Fetch),
            Action::Log(text) => eprintln!("{text}"),
        }
    }

    fn ask(&self, ask: Ask) {
        self.source.borrow().iter().for_each(|source| source(ask));
    }

    fn send(&self, state: &mut State<U>, id: RequestId, backend: BackendId, timeout: Time, now: Time) {
        let known = state.endpoints.get(&backend).map(|known| (known.gate.clone(), known.endpoint.clone()));
        let most = self.max_attempts;
        let open = state.open.get_mut(&id).filter(|open| open.attempts < most);
        let (Some(open), Some((gate, endpoint)), Some(engine)) = (open, known, self.this.upgrade()) else {
            let attempt = state.open.get(&id).map_or(0, |open| open.attempts);
            return state.told.push_back(Told::Event(Event::Outcome(AttemptResult {
                id,
                backend,
                attempt,
                outcome: Outcome::NeverSent,
                duration: 0.0,
                is_final: !state.open.contains_key(&id),
                report: None,
            })));
        };
        if self.upstream.full() {
            // Room for a connection that may be needed, at the cost of one that is not.
            let idle =
                |known: &Known<U>| Some((self.upstream.idle_since(&known.endpoint)?, known.endpoint.clone()));
            let longest = state.endpoints.values().filter_map(idle).min_by_key(|(since, _)| *since);
            longest.into_iter().for_each(|(_, endpoint)| self.upstream.evict(&endpoint));
        }
        let attempt = open.attempts;
        open.attempts += 1;
        let until = if timeout == 0.0 { open.until } else { (now + timeout).min(open.until) };
        let written = Rc::new(Cell::new(false));
        let (affine, wanted) = (open.affine, open.wanted.clone());
        self.observed(id, attempt, Seen::Began(backend, open.class));
        let (begin, keep) = (self.begins(id, attempt), self.keeps(id, attempt));
        let clock = self.clock;
        let made = Attempt { gate, backend, clock, until, written: written.clone(), wanted, begin, keep };
        let attempted = self.upstream.attempt(endpoint, open.payload.clone(), made);
        let task = tokio::task::spawn_local(async move {
            let done = attempted.await;
            engine.attempt_done(id, attempt, done);
        });
        let task = task.abort_handle();
        if let Some(Known { counts, .. }) = state.endpoints.get_mut(&backend) {
            counts.in_flight += 1;
            counts.sent += 1;
        }
        state.running.insert(
            (id, attempt),
            Running { backend, sent: now, written, task, affine, streams: false, kept: false },
        );
        self.set_timer(state, until, Due::Attempt(id, attempt));
    }

    fn probe(&self, state: &State<U>, backend: BackendId) {
        if let (Some(known), Some(engine)) = (state.endpoints.get(&backend), self.this.upgrade()) {
            let (gate, written) = (known.gate.clone(), Rc::default());
            let made = Attempt {
                gate,
                backend,
                clock: self.clock,
                until: Time::INFINITY,
                written,
                wanted: Rc::new(Cell::new(true)),
                begin: Begin::default(),
                keep: Keep::default(),
            };
            let probed = self.upstream.probe(known.endpoint.clone(), made);
            tokio::task::spawn_local(async move {
                let done = probed.await;
                engine.probed(backend, done.outcome, done.report);
            });
        }
    }

    /// Hands the module what was held back, where something may be sent again or it has waited for long
    /// enough: then the module refuses it.
    fn release(&self, state: &mut State<U>, now: Time) {
        let lent = self.lease.holds();
        while let Some((since, _)) = state.held.front()
            && (lent || now - since >= MOST_HELD)
        {
            let Some((since, mut request)) = state.held.pop_front() else { break };
            request.budget -= now - since;
            state.told.push_back(Told::Event(Event::Request(request)));
        }
        if !state.held.is_empty() {
            self.set_timer(state, now + LOOK, Due::Held);
        }
    }

    fn set_timer(&self, state: &mut State<U>, at: Time, due: Due) {
        let first = state.timers.peek().is_none_or(|Reverse((first, ..))| at < first.0);
        state.timers_set += 1;
        state.timers.push(Reverse((At(at), state.timers_set, due)));
        if first {
            self.timer_set.notify_one();
        }
    }

    async fn run_timers(self: Rc<Self>) {
        loop {
            let next = self.state.borrow().timers.peek().map(|Reverse((at, ..))| self.clock.at(at.0));
            match next {
                None => self.timer_set.notified().await,
                Some(next) => tokio::select! {
                    _ = tokio::time::sleep_until(next) => self.fire(),
                    _ = self.timer_set.notified() => {}
                },
            }
        }
    }

    /// Hands out all that is due.
    fn fire(&self) {
        let now = self.clock.now();
        let mut late: Time = 0.0;
        loop {
            let mut state = self.state.borrow_mut();
            let due = state.timers.peek().is_some_and(|Reverse((at, ..))| at.0 <= now);
            let Some(Reverse((at, _, due))) = due.then(|| state.timers.pop()).flatten() else {
                break;
            };
            late = late.max(now - at.0);
            match due {
                Due::Token(token) => state.told.push_back(Told::Event(Event::Timer(token))),
                Due::Attempt(id, attempt) if state.running.get(&(id, attempt)).is_some_and(|r| r.streams) => {
                }
                Due::Attempt(id, attempt) => {
                    let written = state.running.get(&(id, attempt)).is_some_and(|r| r.written.get());
                    let outcome = if written { Outcome::Timeout } else { Outcome::NoConnection };
                    self.ended(&mut state, id, attempt, Done::without_answer(outcome));
                }
                // The module has not answered in time: the client must not be left without.
                Due::Request(id) if unheld(&mut state, id) => {
                    self.answer(&mut state, id, |fallback| Answer::Refused(None, fallback));
                }
                Due::Held => self.release(&mut state, now),
                // Its time counts from the last byte that its client sends; its attempt keeps to that.
                Due::Request(id) if state.open.get(&id).is_some_and(|open| open.kept.is_some()) => {}
                Due::Request(id) => {
                    if state.open.get(&id).is_some_and(|open| open.affine) {
                        self.observed(id, 0, Seen::Ended(Outcome::Timeout));
                        affine::late(&mut state, id);
                    } else if state.open.contains_key(&id) {
                        let unsent = state.open.get(&id).is_some_and(|open| open.attempts == 0);
                        let answer = |fallback| match unsent {
                            true => Answer::Refused(None, fallback),
                            false => Answer::Failed(fallback),
                        };
                        self.answer(&mut state, id, answer);
                        state.told.push_back(Told::Event(Event::ClientDisconnected(id)));
                    }
                }
            }
            self.decide(state);
        }
        self.lag.set(late.max(0.8 * self.lag.get()).min(MOST_LAG));
    }

    async fn sweep(self: Rc<Self>) {
        let mut looks: u32 = 0;
        loop {
            tokio::time::sleep(SWEEP).await;
            looks = looks.wrapping_add(1);
            let mut state = self.state.borrow_mut();
            // Where backends are ever new, the gone ones must not be kept. The map's handle is the
            // last one when no attempt or probe is out.
            let ended = |known: &Known<U>| {
                Rc::strong_count(&known.endpoint) == 1 && known.gate.forgettable(&self.clock)
            };
            if looks.is_multiple_of(FORGET_EVERY) {
                state.endpoints.retain(|_, known| !ended(known));
            }
            state.endpoints.values().for_each(|known| self.upstream.sweep(&known.endpoint));
        }
    }
}

/// Takes out a request that has its final answer or wants none.
fn close<U: Upstream>(state: &mut State<U>, id: RequestId) -> Option<Open<U>> {
    let open = state.open.remove(&id)?;
    open.wanted.set(false);
    if let Some(txn) = open.txn {
        state.in_use.remove(&txn);
    }
    Some(open)
}

/// Ends the attempt of a request that the module does not know of.
fn give_up<U: Upstream>(state: &mut State<U>, id: RequestId, attempt: usize) {
    if let Some(running) = state.running.remove(&(id, attempt)) {
        running.task.abort();
        if let Some(known) = state.endpoints.get_mut(&running.backend) {
            known.counts.in_flight = known.counts.in_flight.saturating_sub(1);
        }
    }
}

/// Takes out a request that is held back from the module, if it is.
fn unheld<U: Upstream>(state: &mut State<U>, id: RequestId) -> bool {
    let place = state.held.iter().position(|(_, held)| held.id == id);
    place.and_then(|place| state.held.remove(place)).is_some()
}

/// Gives a request its final answer, if it has had none.
fn give_answer<U: Upstream>(
    state: &mut State<U>,
    id: RequestId,
    answer: impl FnOnce(Option<U::Reply>) -> Answer<U::Reply>,
) {
    if let Some(mut open) = close(state, id) {
        let fallback = open.fallback.take();
        let _ = open.answer.send(answer(fallback)); // if it has left, its guard tells
    }
}
