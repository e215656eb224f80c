//! Every decision of the balancer. The types it speaks in are in `interface.rs`.
//!
//! The mechanism is that of Hong, Huang and Yan, "Controlling Retransmission Rate For Mitigating SIP
//! Overload": a call unanswered or failed when one of its doubling timers fires is sent once more with
//! probability p, which falls as unanswered calls rise from one to three T1-worths of the average send rate.
//! By Little's law that number over that rate is the mean wait, so p compares the mean wait with T1.

use crate::interface::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slotmap::{DefaultKey as Slot, Key, KeyData, SlotMap};
use std::collections::{HashMap, VecDeque};

/// Least chance of a repeat, as in the paper: what it needs to get past lost messages.
const P_MIN: f64 = 0.1;
/// Ratio of the thresholds between which p falls: under the paper's 3, as copies cost whole work.
const ALPHA: f64 = 1.5;
/// Least lower threshold, in calls. Guards against quiet balancers, where rate x T1 is under
/// one and a waiting call would cut its own chance.
const FLOOR: f64 = 1.0;
/// Memory of the send rate, in T1s of the longest class: the paper's weight, slots of T1 / 25.
const RATE_MEMORY: f64 = 20.0;
/// Calls beyond the usual number that chance explains, in roots of it, and where they last.
const CHANCE: [f64; 2] = [3.5, 0.5];
/// At a busy balancer the root is small beside this part of the usual number, which stands instead.
const USUAL_SPREAD: f64 = 0.2;
/// It narrows by this for each root of mean excess
const NARROWING: f64 = 4.0;
/// beyond this one, averaged over
const CALM_EXCESS: f64 = 0.4;
/// this part of the memory of the send rate.
const EXCESS_MEMORY: f64 = 0.15;
/// A member this many times slower than the best one says nothing of the fleet's load.
const FAR_SLOWER: f64 = 2.5;
/// So many calls in flight at each backend are no overload, however far beyond the usual.
const FEW: f64 = 2.0;
/// Calls that are answered at the rate of so many normal answer times past explain themselves.
const ANSWER_MEMORY: f64 = 8.0;
/// A call with less than this part of the normal answer time left would be given up half done.
const HOPELESS: f64 = 0.6;
/// T1 lies this many mean deviations above the mean answer time, as TCP's timer does.
const T1_DEVIATIONS: f64 = 4.0;
/// T1 is at most this part of the time left, so that a repeat can still be answered in it.
const T1_REACH: f64 = 0.4;
/// A call whose backend has answered another that was sent so many normal answer times later is lost and
/// not merely long: it may be repeated, and tells of no load. Where a backend has too much to do it answers
/// in about the order in which it was asked, so that none is overtaken by as much. Guards against calls
/// that a backend has dropped while it goes on with others: they would wait for all of their time, and the
/// unsafe ones among them, which nothing can help, would cut the chance of all others. Where no backend
/// answers none is lost, so that a storm is met as before.
const LOST: f64 = 8.0;
/// T1 is spread by this part, lest failed calls of many balancers return on shared beats.
const T1_SPREAD: f64 = 0.1;
/// Weight of a sample in the normal answer time of a class, once there are many.
const NORMAL_WEIGHT: f64 = 0.02;
/// No answer time beyond this part of the aim is normal: one that starts in a jam would learn it.
const NORMAL_REACH: f64 = 0.25;
/// Part of that weight under pressure: a T1 that followed the waits of a jam would hide it.
const PRESSED_WEIGHT: f64 = 0.05;
/// Weight of a sample in what is known of a backend.
const HEALTH_WEIGHT: f64 = 0.2;
/// How much slower than normal a failed attempt makes its backend look.
const FAILED_SLOWNESS: f64 = 8.0;
/// A failure within this part of the normal answer time is no sign of load,
const FAST_FAILURE: f64 = 0.5;
/// and weighs this much.
const FAST_FAILURE_WEIGHT: f64 = 0.5;
/// A tenant's unused share is kept for so many seconds: quotas are given by the second.
const SHARE_BURST: Time = 1.0;
/// What is known of a backend is forgotten over this part of the memory of the send rate.
const HEALTH_MEMORY: f64 = 0.5;
/// or, where it has only been slow and nothing has failed, over so many normal answer times if that
/// is shorter. Guards against a backend whose first calls met a busy moment and that is passed over
/// for as long as a failed one, while the others have next to nothing to do.
const SLOW_MEMORY: f64 = 100.0;
/// Under pressure a request waits at the entry, up to this part of its patience, before it is
/// turned away: where few calls are in flight the excess comes and goes within a few answers.
const ENTRY_WAIT: f64 = 0.25;
/// Least number of members of a subset. Guards against draws of slow machines alone: of two members both are
/// among the slower half for every fourth balancer, which then drives them over while others idle.
const SUBSET: usize = 5;
/// The same at the entry, where more of them even out what each happens to get.
const ENTRY_SUBSET: usize = 3;
/// Members for each call in flight on average: more tell backends apart, fewer reuse connections
/// and stay under backends' caps on them. The first where connections are free, else the second.
const MEMBERS_PER_CALL: [f64; 2] = [1.0, 0.25];
/// Members in other zones, where crossing zones is priced.
const AWAY_SUBSET: usize = 2;
/// How much more load they count as having, for all of the worth that a crossing may cost.
const AWAY_LOAD: f64 = 40.0;
/// Weight of a new report in the service time of a backend.
const SERVICE_WEIGHT: f64 = 0.3;
/// Where only probes bring reports, one member is probed for each so many sends.
const SENDS_A_PROBE: usize = 3;
/// Part of what would tip a cold backend over that all balancers together plan to send it.
const COLD_MARGIN: f64 = 0.6;
/// So much of a turn there may be had in advance where nothing else can be sent to: e to the power of this
/// times the part above, in all.
const BORROWED: f64 = 0.2;
/// The token of the timer that asks for the list; tokens of calls are above it.
const LIST_TOKEN: u64 = 0;
/// Kinds of timers of calls: a firing, the end of its time, its turn in a lane.
const FIRING: u64 = 0;
const LAST: u64 = 1;
const TURN: u64 = 2;

/// Room for requests that grows with time, up to a bound.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    room: f64,
    at: Time,
}

impl Bucket {
    fn fill(&mut self, now: Time, rate: f64, most: f64) -> f64 {
        self.room = (self.room + rate * (now - self.at).max(0.0)).min(most);
        self.at = now;
        self.room
    }
}

/// A count that forgets, over the time that it covers: at first the plain mean rate.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    count: f64,
    span: Time,
    at: Time,
}

impl Rate {
    fn new(now: Time) -> Self {
        Self { count: 0.0, span: 0.0, at: now }
    }

    fn age(&mut self, now: Time, memory: Time) {
        let keep = (-(now - self.at).max(0.0) / memory).exp();
        self.count *= keep;
        self.span = self.span * keep + memory * (1.0 - keep);
        self.at = now;
    }

    fn add(&mut self, now: Time, memory: Time) {
        self.age(now, memory);
        self.count += 1.0;
    }

    fn per_second(&self) -> f64 {
        if self.span > 0.0 { self.count / self.span } else { 0.0 }
    }
}

/// Mean and mean deviation of the answer times of a class.
#[derive(Clone, Copy, Debug, Default)]
struct Normal {
    samples: f64,
    mean: Time,
    deviation: Time,
}

impl Normal {
    fn add(&mut self, took: Time, calm: bool) {
        self.samples += 1.0;
        let pressed = !calm && self.samples > 1.0 / NORMAL_WEIGHT;
        let weight = NORMAL_WEIGHT.max(1.0 / self.samples) * if pressed { PRESSED_WEIGHT } else { 1.0 };
        self.deviation += weight * ((took - self.mean).abs() - self.deviation);
        self.mean += weight * (took - self.mean);
    }
}

#[derive(Debug)]
struct Backend {
    entry: BackendEntry,
    in_flight: usize,
    /// Those of them that are lost.
    lost: usize,
    /// Attempts of calls without a final answer that name it.
    named: usize,
    /// Recent answer time over the normal one of the class; 1 is normal.
    slowness: f64,
    slowness_at: Time,
    /// When an attempt there last failed.
    failed_at: Time,
    answered_at: Time,
    /// When the latest of those was sent that it has answered.
    answered_sent: Time,
    /// When it last showed that it works, or was given a call while it had none.
    alive_at: Time,
    /// While it is cold: what has fallen to it since the last call there, less what the next one takes.
    cold: Bucket,
    /// How long a request takes it, by its reports.
    service: Option<Time>,
    /// What others hold of it, and since when.
    believed: (f64, Time),
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    backend: usize,
    cell: u32,
    zone: u32,
    sent: Time,
    outcome: Option<Outcome>,
    /// It is out, and lost.
    lost: bool,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        use Outcome::*;
        !matches!(self.outcome, Some(Rejected | NoConnection | NeverSent))
    }
}

#[derive(Debug)]
struct Call {
    id: RequestId,
    class: usize,
    tenant: Option<usize>,
    arrived: Time,
    /// When its final answer is due at the latest.
    until: Time,
    t1: Time,
    /// Number of timers that have fired.
    fired: i32,
    /// A further timer is set.
    timer_set: bool,
    attempts: Vec<Attempt>,
    /// The key that orders it, where its class asks for order.
    lane: Option<u64>,
    /// It waits for its turn in the lane or at the entry; no attempt of it has been sent.
    held: bool,
    /// It came beyond its tenant's share.
    over: bool,
    /// Its place among those that come, 1 being the best: it waits while pressure is above that.
    rank: f64,
    /// It was turned away for want of room, and waits to be sent again.
    turned_away: bool,
    /// All that is out of it is lost.
    lost: bool,
    /// The one of the two members drawn that was not taken; a repeat goes to it.
    other: Option<usize>,
}

impl Call {
    fn waits(&self) -> bool {
        self.attempts.iter().any(|a| a.outcome.is_none())
    }
}

/// The requests of one key, where order is asked for. They run singly: the front one may be
/// sent once no attempt of an ended one is out and the key has rested.
#[derive(Debug)]
struct Lane {
    /// Requests without a final answer, in the order in which they came.
    queue: VecDeque<Slot>,
    /// Attempts still out of requests that have ended.
    out: usize,
    rests_until: Time,
}

/// Where a call may be sent (again).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Scope {
    Anywhere,
    Zone(u32),
    Cell(u32),
}

impl Scope {
    fn holds(self, entry: &BackendEntry) -> bool {
        match self {
            Scope::Anywhere => true,
            Scope::Zone(zone) => entry.zone == zone,
            Scope::Cell(cell) => entry.cell == cell,
        }
    }
}

/// The decisions of one balancer.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    rng: SmallRng,
    now: Time,
    calls: SlotMap<Slot, Call>,
    by_id: HashMap<RequestId, Slot>,
    /// Calls that wait at the entry, the best last.
    queue: Vec<Slot>,
    /// Calls that wait for their turn there or in a lane, and those that were turned away.
    held: usize,
    turned_away: usize,
    /// Calls of which all that is out is lost.
    lost: usize,
    /// Mean excess of unanswered calls over a while, in roots of the usual number.
    excess: f64,
    excess_at: Time,
    lanes: HashMap<u64, Lane>,
    /// When so many lanes are kept, the idle ones are dropped.
    most_lanes: usize,
    /// Attempts that are still out of ended requests with a key that orders, and the key.
    orphans: HashMap<(RequestId, usize), u64>,
    backends: Vec<Backend>,
    by_backend: HashMap<BackendId, usize>,
    /// Places of forgotten backends, for new ones.
    vacant: Vec<usize>,
    /// Backends in service, by index.
    listed: Vec<usize>,
    /// The same by zone and by cell, for repeats of keyed requests.
    groups: HashMap<Scope, Vec<usize>>,
    subset: Vec<usize>,
    sent: Rate,
    /// Calls that warm members answered, by the seconds that each of them was one.
    warm: Rate,
    warm_time: Time,
    warm_at: Time,
    /// Calls answered of late.
    lately: Rate,
    normal: Vec<Normal>,
    /// The same over all classes.
    wait: Normal,
    /// Arrivals by class, within and over the share of their tenants.
    arrivals: Vec<[Rate; 2]>,
    /// This balancer's part of each tenant's quota, and what is left of it.
    shares: Vec<(f64, Bucket)>,
    memory: Time,
    /// Members that the calls in flight have called for so far.
    grown: usize,
    /// Mean of the service times that backends report.
    service: Time,
    /// Attempts sent so far.
    sends: usize,
    watch_asked: bool,
    watch_wait: Time,
}

impl Balancer {
    /// A balancer that starts at `now`. Same seed, settings and events, same actions.
    pub fn new(now: Time, seed: u64, settings: Settings) -> Self {
        // Never zero, whatever the settings hold: rates are counts over this.
        let least = settings.quantum.max(f64::EPSILON);
        let share = |rate: f64| (rate, Bucket { room: (rate * SHARE_BURST).max(1.0), at: now });
        let longest = settings.classes.iter().map(|c| c.aim).fold(least, f64::max);
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now,
            calls: SlotMap::new(),
            by_id: HashMap::new(),
            queue: Vec::new(),
            held: 0,
            turned_away: 0,
            lost: 0,
            excess: 0.0,
            excess_at: now,
            lanes: HashMap::new(),
            most_lanes: 16,
            orphans: HashMap::new(),
            backends: Vec::new(),
            by_backend: HashMap::new(),
            vacant: Vec::new(),
            listed: Vec::new(),
            groups: HashMap::new(),
            subset: Vec::new(),
            sent: Rate::new(now),
            warm: Rate::new(0.0),
            warm_time: 0.0,
            warm_at: now,
            lately: Rate::new(now),
            wait: Normal::default(),
            normal: vec![Normal::default(); settings.classes.len()],
            arrivals: vec![[Rate::new(now); 2]; settings.classes.len()],
            shares: settings
                .quotas
                .iter()
                .map(|q| q / settings.instance_count.max(1) as f64)
                .map(share)
                .collect(),
            memory: RATE_MEMORY * T1_REACH * longest,
            grown: 0,
            service: 0.0,
            sends: 0,
            watch_asked: false,
            watch_wait: settings.list_request_deadline / 10.0,
            settings,
        }
    }

    /// Requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.by_id.len()
    }

    /// Backends that are kept in mind.
    pub fn known_backends(&self) -> usize {
        self.by_backend.len()
    }

    /// Listed backends that it avoids now: those that drain, and members far slower than the best.
    pub fn avoided_backends(&self) -> usize {
        let drains = self.backends.iter().filter(|b| b.entry.status == Status::Draining).count();
        drains + self.subset.len() - self.sound().count()
    }

    /// Decides what to do about `event`, which happens at `now`.
    pub fn handle(&mut self, now: Time, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.settings.must_watch && !self.watch_asked {
            // Balancers often start together: they ask for the list one after another.
            self.watch_asked = true;
            let wait = self.rng.random::<f64>() * 0.5 * self.settings.list_request_deadline;
            actions.push(Action::Timer { at: self.now + wait, token: LIST_TOKEN });
        }
        match event {
            Event::Request(request) => self.arrive(request, actions),
            Event::StreamStarted { id, attempt } => self.end(id, Some(attempt), actions),
            Event::Outcome(ended) => self.ended(ended, actions),
            Event::ClientDisconnected(id) => self.end(id, None, actions),
            Event::Timer(LIST_TOKEN) => actions.push(Action::Watch(true)),
            Event::Timer(token) => self.timer(token, actions),
            Event::Probed { backend, report, .. } => self.take_report(backend, report),
            Event::List(update) => self.list(update, actions),
            Event::BackendHint { backend, slowness } => {
                let known = self.by_backend.get(&backend).copied();
                known.into_iter().for_each(|b| self.backends[b].believed = (slowness, now));
            }
        }
        self.let_in(actions);
    }

    // ---- A request arrives ----

    fn arrive(&mut self, request: Request, actions: &mut Vec<Action>) {
        let class = &self.settings.classes[request.class];
        // The answer must be out before the client gives up, and timers come once a quantum.
        // Where a late answer is worth nothing, waiting for one only keeps backends busy.
        let mut patience = request.budget - 2.0 * self.settings.quantum;
        if class.late_worth <= 0.0 {
            patience = patience.min(class.aim);
        }
        let lane = request.key.filter(|_| class.in_order);
        let over = self.count_arrival(request.class, request.tenant);
        let t1 = self.t1(request.class, patience);
        let ahead = lane.and_then(|key| self.lanes.get(&key)).map_or(0, |lane| lane.queue.len());
        let needed = HOPELESS * self.normal[request.class].mean * (ahead + 1) as f64;
        let rank = self.rank(request.class, over);
        let waits = !self.admits(rank);
        if patience <= needed || waits && lane.is_some() {
            return actions.push(Action::Reject { id: request.id, retry_after: self.retry_after(t1) });
        }
        let until = self.now + patience;
        let call = Call {
            id: request.id,
            class: request.class,
            tenant: request.tenant,
            arrived: self.now,
            until,
            t1,
            fired: 0,
            timer_set: false,
            attempts: Vec::new(),
            lane,
            held: waits || lane.is_some(),
            over,
            rank,
            turned_away: false,
            lost: false,
            other: None,
        };
        let slot = self.calls.insert(call);
        self.by_id.insert(request.id, slot);
        actions.push(Action::Timer { at: until, token: token(slot, LAST) });
        self.held += usize::from(self.calls[slot].held);
        if waits {
            self.wait_at_entry(slot);
            let at = self.now + ENTRY_WAIT * patience;
            return actions.push(Action::Timer { at, token: token(slot, TURN) });
        }
        let Some(key) = lane else {
            return self.begin(slot, actions);
        };
        if self.lanes.len() >= self.most_lanes {
            let now = self.now;
            self.lanes.retain(|_, l| !l.queue.is_empty() || l.out > 0 || l.rests_until > now);
            self.most_lanes = 16.max(2 * self.lanes.len());
        }
        let empty = || Lane { queue: VecDeque::new(), out: 0, rests_until: f64::NEG_INFINITY };
        self.lanes.entry(key).or_insert_with(empty).queue.push_back(slot);
        self.advance(key, actions);
    }

    fn begin(&mut self, slot: Slot, actions: &mut Vec<Action>) {
        self.set_timer(slot, actions);
        self.sent.add(self.now, self.memory);
        if let Some((_, left)) = self.calls[slot].tenant.and_then(|t| self.shares.get_mut(t)) {
            left.room = (left.room - 1.0).max(0.0);
        }
        let grown = self.grown;
        if self.subset_size() > grown && self.grown > grown {
            self.relist();
        }
        if !self.send(slot, actions) && !self.calls[slot].timer_set {
            self.finish_unserved(slot, actions);
        }
    }

    /// Puts a call in line at the entry. Those of one class within their shares, or those that are not,
    /// are worth the same, and the lots they drew go by age: the oldest gets the best. Guards against a
    /// call that drew badly and is passed by younger ones until its time at the entry is over.
    fn wait_at_entry(&mut self, slot: Slot) {
        let (class, over, rank) = (self.calls[slot].class, self.calls[slot].over, self.calls[slot].rank);
        let place = self.queue.partition_point(|s| self.calls[*s].rank < rank);
        let mut next = slot;
        for i in 0..place {
            let (there, its) = (self.queue[i], self.calls[self.queue[i]].rank);
            if (self.calls[there].class, self.calls[there].over) == (class, over) {
                self.calls[next].rank = its;
                next = std::mem::replace(&mut self.queue[i], next);
            }
        }
        self.calls[next].rank = rank;
        self.queue.insert(place, next);
    }

    /// Lets the next request of a key run, if it may. Guards the order of keys: a request waits
    /// while an earlier one is unfinished or has an attempt without its outcome, whoever ended
    /// it, and while the key rests after an attempt that may still be running.
    fn advance(&mut self, key: u64, actions: &mut Vec<Action>) {
        let Some((lane, &slot)) = self.lanes.get(&key).and_then(|l| Some((l, l.queue.front()?))) else {
            return;
        };
        if lane.out > 0 || !self.calls[slot].held {
            return;
        }
        if self.now < lane.rests_until {
            let at = lane.rests_until;
            return actions.push(Action::Timer { at, token: token(slot, TURN) });
        }
        self.take_turn(slot, actions);
    }

    /// Begins a call that was held.
    fn take_turn(&mut self, slot: Slot, actions: &mut Vec<Action>) {
        self.held -= 1;
        let (now, class, until) = (self.now, self.calls[slot].class, self.calls[slot].until);
        let t1 = self.t1(class, until - now);
        let call = &mut self.calls[slot];
        (call.held, call.arrived, call.t1) = (false, now, t1);
        if until - now <= HOPELESS * self.normal[class].mean {
            return self.finish_unserved(slot, actions);
        }
        self.begin(slot, actions);
    }

    /// Counts a request, and tells whether it lies beyond its tenant's share: whether those
    /// admitted use up this balancer's part of the quota. Refused ones don't count, for clients
    /// try them again, and in a jam these retries would put every tenant over its share.
    fn count_arrival(&mut self, class: usize, tenant: Option<usize>) -> bool {
        let now = self.now;
        let share = tenant.and_then(|t| self.shares.get_mut(t));
        let over =
            share.is_some_and(|(rate, room)| room.fill(now, *rate, (*rate * SHARE_BURST).max(1.0)) < 1.0);
        self.arrivals[class][usize::from(over)].add(self.now, self.memory);
        over
    }

    /// Sheds at the entry, where no work has been done yet: with the pressure that lowers p, the
    /// requests of least worth for their work wait, and are refused if it lasts.
    fn admits(&mut self, rank: f64) -> bool {
        self.settings.tier > 0 || rank >= self.pressure()
    }

    /// The part of the requests that come that are worth less for their work than this one; those
    /// worth the same draw lots.
    fn rank(&mut self, class: usize, over: bool) -> f64 {
        let value = |class: usize, over: bool| {
            let share = if over { self.settings.over_share_worth } else { 1.0 };
            let work = self.normal[class].mean.max(self.settings.quantum);
            share * self.settings.classes[class].worth / work
        };
        let mine = value(class, over);
        let (mut below, mut same, mut all) = (0.0, 0.0, 0.0);
        for (c, pair) in self.arrivals.iter().enumerate() {
            for (o, rate) in pair.iter().enumerate() {
                let mut rate = *rate;
                rate.age(self.now, self.memory);
                let rate = rate.per_second();
                all += rate;
                below += if value(c, o == 1) < mine { rate } else { 0.0 };
                same += if value(c, o == 1) == mine { rate } else { 0.0 };
            }
        }
        (below + same * self.rng.random::<f64>()) / all.max(f64::MIN_POSITIVE)
    }

    /// Begins calls that wait at the entry, the best first, as far as the pressure lets them in.
    /// Guards against refusals by chance: with four calls in flight one more or less is the
    /// difference between calm and overload, and clients that are refused mostly come back at
    /// once, to be refused again. It does harm where the pressure lasts: what is refused in the
    /// end has then waited for nothing, which is why the wait is a small part of the patience.
    fn let_in(&mut self, actions: &mut Vec<Action>) {
        while let Some(&best) = self.queue.last()
            && self.admits(self.calls[best].rank)
        {
            self.queue.pop();
            self.take_turn(best, actions);
        }
    }

    /// When a client that is refused should come again, where clients listen.
    fn retry_after(&self, t1: Time) -> Option<Time> {
        Some(t1.min(self.settings.max_retry_after)).filter(|wait| *wait > 0.0)
    }

    /// How far the unanswered calls exceed those that the rate of answers and the normal answer
    /// time explain: 0 within chance, 1 far outside it. An excess seen once may be
    /// chance, one that lasts is not: what passes as chance narrows with its mean over a while.
    fn pressure(&mut self) -> f64 {
        self.sent.age(self.now, self.memory);
        self.lately.age(self.now, self.lately_memory());
        let usual = self.lately.per_second() * self.wait.mean;
        let beyond = (self.crowd() - usual) / usual.max(1.0).sqrt().max(USUAL_SPREAD * usual);
        let keep = (-(self.now - self.excess_at) / (EXCESS_MEMORY * self.memory)).exp();
        self.excess = beyond + (self.excess - beyond) * keep;
        self.excess_at = self.now;
        let chance = (CHANCE[0] - NARROWING * (self.excess - CALM_EXCESS)).clamp(CHANCE[1], CHANCE[0]);
        if self.each() <= FEW {
            return 0.0;
        }
        (beyond / chance - 1.0).clamp(0.0, 1.0)
    }

    fn lately_memory(&self) -> Time {
        ANSWER_MEMORY * self.wait.mean.max(self.settings.quantum)
    }

    /// Calls in flight at each sound backend, if all balancers have as many as this one.
    fn each(&self) -> f64 {
        let sound = self.sound().map(|b| self.ramp(b)).sum::<f64>();
        let sharing =
            (self.settings.instance_count * self.subset.len()) as f64 / self.listed.len().max(1) as f64;
        self.crowd() * sharing.max(1.0) / sound.max(1.0)
    }

    /// Calls in flight, but for those at members far slower than the best, which tell of bad
    /// backends and not of a fleet that has too much to do; those turned away for want of room
    /// count while they wait, copies of a call do not.
    fn crowd(&self) -> f64 {
        let out = self
            .sound()
            .map(|b| self.backends[b].in_flight.saturating_sub(self.backends[b].lost))
            .sum::<usize>()
            + self.turned_away;
        out.min(self.unanswered()) as f64
    }

    /// Calls that wait for an answer, but for those that are lost.
    fn unanswered(&self) -> usize {
        self.by_id.len() - self.held - self.lost
    }

    /// The members that are not far slower than the best. A cold one is no measure: it gets so little that
    /// nothing is known of it, and would make all that do the work look bad and an overload look like calm.
    fn sound(&self) -> impl Iterator<Item = usize> {
        let slow = |b: &usize| self.seen(&self.backends[*b]);
        let warm = self.subset.iter().filter(|b| self.ramp(**b) >= 1.0);
        let best = warm.map(slow).fold(f64::INFINITY, f64::min);
        self.subset.iter().copied().filter(move |b| slow(b) <= FAR_SLOWER * best)
    }

    /// T1 lies above the normal answer time and leaves room for a repeat in the time left.
    fn t1(&mut self, class: usize, patience: Time) -> Time {
        let (normal, most) = (&self.normal[class], T1_REACH * patience);
        let seen = normal.mean + T1_DEVIATIONS * normal.deviation;
        (if normal.samples > 0.0 { seen.min(most) } else { most }).max(self.settings.quantum)
    }

    // ---- It waits, and is repeated ----

    /// The paper's p, from the calls unanswered here and the average rate of original sends.
    fn repeat_chance(&mut self, t1: Time) -> f64 {
        self.sent.age(self.now, self.memory);
        let unanswered = self.unanswered() as f64;
        let min = (self.sent.per_second() * t1).max(FLOOR);
        let max = ALPHA * min;
        let over = ((unanswered - min) / (max - min)).clamp(0.0, 1.0);
        1.0 - (1.0 - P_MIN) * over
    }

    /// Sets the timer for the next firing: T1, then 2 T1, 4 T1 ... after the one before.
    fn set_timer(&mut self, slot: Slot, actions: &mut Vec<Action>) {
        let token = token(slot, FIRING);
        let most = self.settings.max_attempts;
        let spread = 1.0 + T1_SPREAD * (2.0 * self.rng.random::<f64>() - 1.0);
        let call = &mut self.calls[slot];
        let at = call.arrived + call.t1 * spread * (2f64.powi(call.fired + 1) - 1.0);
        call.timer_set = at < call.until && call.attempts.len() < most;
        if call.timer_set {
            actions.push(Action::Timer { at, token });
        }
    }

    fn timer(&mut self, token: u64, actions: &mut Vec<Action>) {
        let (kind, slot) = ((token - 1) & 3, Slot::from(KeyData::from_ffi((token - 1) >> 2)));
        if !self.calls.contains_key(slot) {
            return; // of a call that has ended
        }
        if let (TURN, Some(key)) = (kind, self.calls[slot].lane) {
            return self.advance(key, actions);
        }
        if kind == TURN {
            // The pressure has lasted: refused at once, and before any work was done.
            if self.calls[slot].held {
                let (id, t1) = (self.calls[slot].id, self.calls[slot].t1);
                actions.push(Action::Reject { id, retry_after: self.retry_after(t1) });
                self.finish(slot, None, actions);
            }
            return;
        }
        if kind == LAST {
            // Its time is up. Its attempt's time-out finds the call gone: a hung backend is noticed here.
            self.learn_waiting(slot, true);
            return self.finish_unserved(slot, actions);
        }
        self.calls[slot].fired += 1;
        self.set_timer(slot, actions);
        // A backend that has answered since is alive, and the call merely long: a copy would double it.
        let alive = self.learn_waiting(slot, false);
        let chance = (self.repeat_chance(self.calls[slot].t1) * (1.0 - self.pressure())).max(P_MIN);
        if !alive && self.may_send(slot).is_some() && self.rng.random::<f64>() < chance {
            self.send(slot, actions);
        }
        let call = &self.calls[slot];
        if !call.timer_set && !call.waits() {
            self.finish_unserved(slot, actions);
        }
    }

    // ---- Where it may go, and where it goes ----

    /// May this call be sent (again), and where? Asked before every send.
    fn may_send(&self, slot: Slot) -> Option<Scope> {
        let call = &self.calls[slot];
        if call.attempts.len() >= self.settings.max_attempts || self.now >= call.until {
            return None;
        }
        if !self.settings.allow_concurrent_attempts && call.waits() {
            return None;
        }
        let Some(first) = call.attempts.iter().find(|a| a.may_have_run()) else {
            return Some(Scope::Anywhere);
        };
        match self.settings.classes[call.class].effect {
            Effect::Safe => Some(Scope::Anywhere),
            Effect::Unsafe => None,
            Effect::Keyed { window, .. } if self.now >= first.sent + window => None,
            Effect::Keyed { group: DedupGroup::All, .. } => Some(Scope::Anywhere),
            Effect::Keyed { group: DedupGroup::Zone, .. } => Some(Scope::Zone(first.zone)),
            Effect::Keyed { group: DedupGroup::Cell, .. } => Some(Scope::Cell(first.cell)),
        }
    }

    /// Sends a call, the first time or again, if it may be and a backend can be found.
    fn send(&mut self, slot: Slot, actions: &mut Vec<Action>) -> bool {
        let Some(backend) = self.may_send(slot).and_then(|scope| self.place(slot, scope)) else {
            return false;
        };
        let (now, until) = (self.now, self.calls[slot].until);
        let b = &mut self.backends[backend];
        if b.in_flight == 0 {
            b.alive_at = now;
        }
        b.in_flight += 1;
        b.named += 1;
        let next = -self.wait_for_turn();
        let b = &mut self.backends[backend];
        b.cold.room = next;
        let (cell, zone, id) = (b.entry.cell, b.entry.zone, b.entry.id);
        let call = &mut self.calls[slot];
        call.attempts.push(Attempt { backend, cell, zone, sent: now, outcome: None, lost: false });
        self.lost -= usize::from(std::mem::take(&mut call.lost));
        self.turned_away -= usize::from(std::mem::take(&mut call.turned_away));
        actions.push(Action::Send { id: call.id, backend: id, timeout: until - now });
        self.sends += 1;
        let (turn, members) = (self.sends / SENDS_A_PROBE, self.subset.len());
        if self.settings.probe_for_reports && self.sends.is_multiple_of(SENDS_A_PROBE) && members > 0 {
            actions.push(Action::Probe(self.backends[self.subset[turn % members]].entry.id));
        }
        true
    }

    /// Of two random members of the subset the one with fewer calls in flight; for a repeat
    /// the other one, or two new ones. Where no member can be used, any backend of the scope.
    fn place(&mut self, slot: Slot, scope: Scope) -> Option<usize> {
        let tried: Vec<usize> = self.calls[slot].attempts.iter().map(|a| a.backend).collect();
        let other = self.calls[slot].other.take();
        if let Some(other) = other.filter(|o| scope.holds(&self.backends[*o].entry))
            && !tried.contains(&other)
            && self.usable(other)
        {
            return Some(other);
        }
        let mut pool = self.subset.clone();
        pool.retain(|b| scope.holds(&self.backends[*b].entry) && !tried.contains(b) && self.usable(*b));
        if pool.is_empty() {
            let wide = match scope {
                Scope::Anywhere => &self.listed,
                _ => self.groups.get(&scope)?,
            };
            for _ in 0..2 * SUBSET {
                let drawn = *wide.get(self.rng.random_range(0..wide.len().max(1)))?;
                if !tried.contains(&drawn) && !pool.contains(&drawn) {
                    pool.push(drawn);
                }
            }
            pool.retain(|b| self.usable(*b));
        }
        if pool.is_empty() {
            // A lost connection says little of its backend: where two are all there is, both may lose one.
            let lost = self.calls[slot].attempts.iter().filter(|a| a.outcome == Some(Outcome::Reset));
            let lost: Vec<usize> = lost.map(|a| a.backend).collect();
            pool = self.subset.iter().copied().filter(|b| scope.holds(&self.backends[*b].entry)).collect();
            let again = |b: &usize| lost.contains(b);
            pool.retain(|b| again(b) && self.usable(*b) || !tried.contains(b) && self.may_borrow(*b));
        }
        // Those of more than mean load are left out: slow machines would be crowded where both drawn are.
        let mean = pool.iter().map(|b| self.load(*b)).sum::<f64>() / pool.len() as f64;
        pool.retain(|b| self.load(*b) <= mean * (1.0 + f64::EPSILON * 16.0));
        let one = pool.swap_remove(self.draw(pool.len())?);
        let Some(two) = self.draw(pool.len()).map(|i| pool[i]) else {
            return Some(one);
        };
        let (first, second) = if self.load(two) < self.load(one) { (two, one) } else { (one, two) };
        self.calls[slot].other = Some(second);
        Some(first)
    }

    fn draw(&mut self, len: usize) -> Option<usize> {
        (len > 0).then(|| self.rng.random_range(0..len))
    }

    /// Own calls in flight, this one included, and those of others that it has reported, per weight. What
    /// fails fast or hangs looks idle to such a count, so slowness and failures seen there count as load.
    fn load(&self, backend: usize) -> f64 {
        let b = &self.backends[backend];
        let away = if self.away(backend) { 1.0 + AWAY_LOAD * self.settings.cross_zone_cost } else { 1.0 };
        let slow = match (b.service, self.service) {
            (Some(own), mean) if mean > 0.0 => own / mean,
            _ => 1.0,
        };
        away * (b.in_flight + 1) as f64 * slow * self.slowness(b) / b.entry.weight.max(f64::MIN_POSITIVE)
    }

    /// In service, and, while it is cold, within this balancer's part of what it can take.
    fn usable(&mut self, backend: usize) -> bool {
        if self.backends[backend].entry.status != Status::InService {
            return false;
        }
        let ramp = self.ramp(backend);
        if ramp >= 1.0 {
            return true;
        }
        if !self.subset.contains(&backend) {
            return false; // its budget is the members'
        }
        // A turn that was not used stands as long as the rule counts: what was saved for longer would come
        // at once from many balancers.
        let rate = self.cold_rate(backend);
        let most = rate * self.settings.overload_duration;
        let room = self.backends[backend].cold.fill(self.now, rate, f64::INFINITY);
        if room > most {
            let none = self.rng.random::<f64>() < (-most).exp();
            self.backends[backend].cold.room = if none { -self.wait_for_turn() } else { 0.0 };
        }
        self.backends[backend].cold.room >= 0.0
    }

    /// Where all that it could be sent to is cold and had its part, one whose next turn is near may be sent
    /// to before it. Guards against a fleet of newcomers alone, which turned requests away while idle.
    fn may_borrow(&self, backend: usize) -> bool {
        let b = &self.backends[backend];
        let lent = b.entry.usual_rate.is_none_or(|usual| usual > 0.0);
        b.entry.status == Status::InService && lent && b.cold.room >= -BORROWED
    }

    /// What has to fall to a cold backend before its next turn, in requests: one on average, drawn so that
    /// the turns of many balancers come at random times.
    fn wait_for_turn(&mut self) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln()
    }

    /// What this balancer may send to a cold member, in requests a second. All members that do likewise
    /// together send it what warm ones are seen to do, times the least capacity that it can have now, times a
    /// margin. Guards against a rate that follows what is served: where all members are cold that fell with
    /// what it allowed, until nothing was sent. Who has seen no warm ones goes by what is asked of it.
    fn cold_rate(&mut self, backend: usize) -> f64 {
        self.age_warm();
        let members = self.subset.len().max(1) as f64;
        let tip = self.settings.overload_duration;
        let asked = self.sent.count / (self.sent.span + tip) / members;
        let rate = (self.warm.count + asked * tip) / (self.warm.span + tip).max(f64::EPSILON);
        let rate = self.backends[backend].entry.usual_rate.map_or(rate, |usual| usual.min(rate));
        rate * self.ramp(backend) * COLD_MARGIN * self.settings.overload_multiple
    }

    /// Counts on how long how many members have been warm.
    fn age_warm(&mut self) {
        let warm = self.subset.iter().filter(|b| self.ramp(**b) >= 1.0).count() as f64;
        self.warm_time += warm * (self.now - self.warm_at);
        self.warm_at = self.now;
        self.warm.age(self.warm_time, self.memory * self.subset.len().max(1) as f64);
    }

    /// Part of its capacity that a backend has at the least.
    fn ramp(&self, backend: usize) -> f64 {
        let (from, cold) = (self.settings.cold_capacity_fraction, self.settings.cold_duration);
        let started = self.backends[backend].entry.started.filter(|s| self.now < s + cold);
        started.map_or(1.0, |s| from + (1.0 - from) * ((self.now - s) / cold).clamp(0.0, 1.0))
    }

    // ---- It ends ----

    /// It ends from outside: its stream has begun, or its caller has left.
    fn end(&mut self, id: RequestId, keep: Option<usize>, actions: &mut Vec<Action>) {
        self.by_id.get(&id).copied().into_iter().for_each(|slot| self.finish(slot, keep, actions));
    }

    fn ended(&mut self, ended: AttemptResult, actions: &mut Vec<Action>) {
        use Outcome::*;
        let slot = self.by_id.get(&ended.id).copied();
        if let Some(&backend) = self.by_backend.get(&ended.backend) {
            let b = &mut self.backends[backend];
            b.in_flight = b.in_flight.saturating_sub(1);
            if matches!(ended.outcome, Served | Error | Rejected | Reset) {
                b.alive_at = self.now;
            }
            self.take_report(ended.backend, ended.report);
            self.release_if_draining(backend, actions);
            if let Some(slot) = slot {
                let class = self.calls[slot].class;
                match ended.outcome {
                    Served => {
                        let b = &mut self.backends[backend];
                        b.answered_at = self.now;
                        b.answered_sent = b.answered_sent.max(self.now - ended.duration);
                        if self.ramp(backend) >= 1.0 {
                            self.age_warm();
                            self.warm.count += 1.0;
                        }
                        self.lately.add(self.now, self.lately_memory());
                        self.learn(backend, class, ended.duration, false);
                        let calm = self.pressure() <= 0.0;
                        let took = ended.duration.min(NORMAL_REACH * self.settings.classes[class].aim);
                        self.normal[class].add(took, calm);
                        self.wait.add(took, calm);
                    }
                    Cancelled | NeverSent => {}
                    _ => self.learn(backend, class, ended.duration, true),
                }
            }
        }
        // An attempt of an ended request may have held up its key.
        let orphan = self.orphans.remove(&(ended.id, ended.attempt));
        let key = slot.map_or(orphan, |slot| self.calls[slot].lane);
        if let Some(lane) = key.and_then(|key| self.lanes.get_mut(&key)) {
            lane.out -= usize::from(orphan.is_some());
            if matches!(ended.outcome, Timeout | Reset | Cancelled) {
                // A quantum more, as clocks are rounded.
                lane.rests_until = self.now + self.settings.key_settle_time + self.settings.quantum;
            }
        }
        let Some(slot) = slot else {
            return orphan.into_iter().for_each(|key| self.advance(key, actions));
        };
        if let Some(attempt) = self.calls[slot].attempts.get_mut(ended.attempt) {
            attempt.outcome = Some(ended.outcome);
            self.backends[attempt.backend].lost -= usize::from(std::mem::take(&mut attempt.lost));
        }
        if !self.calls[slot].waits() {
            self.lost -= usize::from(std::mem::take(&mut self.calls[slot].lost));
        }
        if ended.is_final {
            return self.finish(slot, Some(ended.attempt), actions);
        }
        if self.calls[slot].waits() {
            return; // a copy may still answer
        }
        if matches!(ended.outcome, Rejected | NoConnection) {
            self.turned_away += 1;
            self.calls[slot].turned_away = true;
        }
        // A failed call waits for its next timer, if it has one and may be sent then.
        if !self.calls[slot].timer_set || self.may_send(slot).is_none() {
            self.finish_unserved(slot, actions);
        }
    }

    /// Gives the final answer to a call that was not served: a refusal if trying it again is
    /// harmless, else a failure.
    fn finish_unserved(&mut self, slot: Slot, actions: &mut Vec<Action>) {
        let call = &self.calls[slot];
        let harmless = match self.settings.classes[call.class].effect {
            Effect::Safe | Effect::Keyed { group: DedupGroup::All, .. } => true,
            _ => !call.attempts.iter().any(Attempt::may_have_run),
        };
        let (id, t1) = (call.id, call.t1);
        actions.push(match harmless {
            true => Action::Reject { id, retry_after: self.retry_after(t1) },
            false => Action::Fail { id },
        });
        self.finish(slot, None, actions);
    }

    /// Drops a call, and cancels its attempts but for the one that answered.
    fn finish(&mut self, slot: Slot, keep: Option<usize>, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(slot) else {
            return;
        };
        self.by_id.remove(&call.id);
        for (i, attempt) in call.attempts.iter().enumerate() {
            self.backends[attempt.backend].named -= 1;
            self.backends[attempt.backend].lost -= usize::from(attempt.lost);
            if self.settings.can_cancel && attempt.outcome.is_none() && keep != Some(i) {
                actions.push(Action::Cancel { id: call.id, attempt: i });
            }
        }
        if call.held {
            self.held -= 1;
            self.queue.retain(|s| *s != slot);
        }
        self.turned_away -= usize::from(call.turned_away);
        self.lost -= usize::from(call.lost);
        let Some((key, lane)) = call.lane.and_then(|key| Some((key, self.lanes.get_mut(&key)?))) else {
            return;
        };
        lane.queue.retain(|s| *s != slot);
        for i in (0..call.attempts.len()).filter(|i| call.attempts[*i].outcome.is_none()) {
            lane.out += 1;
            self.orphans.insert((call.id, i), key);
        }
        self.advance(key, actions);
    }

    // ---- What is learnt of backends ----

    /// Takes in how long an attempt took or has been waiting, beside what is normal.
    fn learn(&mut self, backend: usize, class: usize, took: Time, failed: bool) {
        let normal = self.normal[class].mean;
        if normal <= 0.0 && !failed {
            return;
        }
        let sample = if failed { FAILED_SLOWNESS } else { took / normal };
        // One that fails at once is idle in between, and would be chosen again and again.
        let fast = failed && took < FAST_FAILURE * normal;
        let weight = if fast { FAST_FAILURE_WEIGHT } else { HEALTH_WEIGHT };
        let known = self.seen(&self.backends[backend]);
        let b = &mut self.backends[backend];
        b.slowness = known + weight * (sample.min(FAILED_SLOWNESS) - known);
        b.slowness_at = self.now;
        if failed {
            b.failed_at = self.now;
        }
    }

    /// Learns from the attempts of a call that are still out, where their backends have answered
    /// nothing since; tells whether one has.
    fn learn_waiting(&mut self, slot: Slot, failed: bool) -> bool {
        let mut alive = false;
        for i in 0..self.calls[slot].attempts.len() {
            let Attempt { backend, sent, outcome, lost, .. } = self.calls[slot].attempts[i];
            let class = self.calls[slot].class;
            if outcome.is_some() {
                continue;
            }
            let answers = self.backends[backend].answered_at > sent;
            if self.backends[backend].answered_sent - sent > LOST * self.normal[class].mean {
                self.calls[slot].attempts[i].lost = true;
                self.backends[backend].lost += usize::from(!lost);
            } else if answers {
                alive = true;
                continue;
            }
            self.learn(backend, class, self.now - sent, failed);
        }
        let call = &mut self.calls[slot];
        let mut out = call.attempts.iter().filter(|a| a.outcome.is_none()).peekable();
        if !call.lost && out.peek().is_some() && out.all(|a| a.lost) {
            call.lost = true;
            self.lost += 1;
        }
        alive
    }

    /// What is known of it, or how long it has been silent with calls in flight, if that is worse.
    /// Guards against backends that stand still, whatever the cause: one costly call on the only
    /// core, a pause, a lost machine. Their calls end too late to tell, and until then new ones
    /// would pile up behind them. One that is busy goes on answering, however many wait. It could
    /// do harm where answers are rare and long: silence is then normal, at all members alike.
    fn slowness(&self, backend: &Backend) -> f64 {
        let (believed, since) = backend.believed;
        let seen = self.seen(backend).max(if backend.answered_sent > since { 0.0 } else { believed });
        if backend.in_flight == 0 || self.wait.mean <= 0.0 {
            return seen;
        }
        seen.max(((self.now - backend.alive_at) / self.wait.mean).min(FAILED_SLOWNESS))
    }

    /// What was seen of a backend fades, so that it is tried again.
    fn seen(&self, backend: &Backend) -> f64 {
        let long = HEALTH_MEMORY * self.memory;
        let failed = self.now - backend.failed_at < long;
        let memory = if failed { long } else { long.min(SLOW_MEMORY * self.wait.mean) };
        let age = (self.now - backend.slowness_at) / memory.max(f64::EPSILON);
        1.0 + (backend.slowness - 1.0) * (-age).exp()
    }

    /// Takes in how long requests take a backend, as it reports.
    fn take_report(&mut self, backend: BackendId, report: Option<Report>) {
        let service = report.and_then(|r| r.service_time).filter(|s| *s > 0.0);
        if let (Some(&backend), Some(service)) = (self.by_backend.get(&backend), service) {
            let known = self.backends[backend].service.get_or_insert(service);
            *known += SERVICE_WEIGHT * (service - *known);
            let mean = if self.service > 0.0 { self.service } else { service };
            self.service = mean + NORMAL_WEIGHT * (service - mean);
        }
    }

    // ---- The list ----

    /// Closes idle connections to a draining backend: on the notice, and after each outcome
    /// there, as what was out at the notice leaves a connection behind.
    fn release_if_draining(&self, backend: usize, actions: &mut Vec<Action>) {
        let entry = &self.backends[backend].entry;
        if self.settings.connection_release_deadline.is_some() && entry.status == Status::Draining {
            actions.push(Action::CloseIdleConnections(entry.id));
        }
    }

    fn list(&mut self, update: ListUpdate<'_>, actions: &mut Vec<Action>) {
        match update {
            ListUpdate::Failed => {
                // Asked again later and later, and not all at once: what failed may be busy.
                let wait = self.watch_wait * (0.5 + self.rng.random::<f64>());
                self.watch_wait = (2.0 * self.watch_wait).min(self.settings.list_request_deadline);
                actions.push(Action::Timer { at: self.now + wait, token: LIST_TOKEN });
                return;
            }
            ListUpdate::Full(entries) | ListUpdate::Remembered(entries) => {
                self.backends.iter_mut().for_each(|b| b.entry.status = Status::Gone);
                entries.iter().for_each(|e| self.take_in(e, actions));
            }
            ListUpdate::Changes(entries) => entries.iter().for_each(|e| self.take_in(e, actions)),
        }
        self.watch_wait = self.settings.list_request_deadline / 10.0;
        self.relist();
        self.forget();
    }

    /// Forgets backends that are gone and that nothing names: ever new ones would grow without end.
    fn forget(&mut self) {
        for (i, b) in self.backends.iter().enumerate() {
            let unnamed = b.entry.status == Status::Gone && b.in_flight == 0 && b.named == 0;
            if unnamed && self.by_backend.get(&b.entry.id) == Some(&i) {
                self.by_backend.remove(&b.entry.id);
                self.vacant.push(i);
            }
        }
    }

    fn take_in(&mut self, entry: &BackendEntry, actions: &mut Vec<Action>) {
        let fresh = Bucket { room: -self.wait_for_turn(), at: self.now };
        let known = self.by_backend.get(&entry.id).copied().unwrap_or_else(|| {
            let new = Backend {
                entry: entry.clone(),
                in_flight: 0,
                lost: 0,
                named: 0,
                slowness: 1.0,
                slowness_at: self.now,
                failed_at: f64::NEG_INFINITY,
                answered_at: f64::NEG_INFINITY,
                answered_sent: f64::NEG_INFINITY,
                alive_at: self.now,
                cold: fresh,
                service: None,
                believed: (0.0, self.now),
            };
            let place = self.vacant.pop().unwrap_or(self.backends.len());
            self.by_backend.insert(entry.id, place);
            match self.backends.get_mut(place) {
                Some(vacant) => *vacant = new,
                None => self.backends.push(new),
            }
            place
        });
        let b = &mut self.backends[known];
        if b.entry.started != entry.started {
            (b.slowness, b.slowness_at, b.cold) = (1.0, self.now, fresh);
        }
        b.entry = entry.clone();
        self.release_if_draining(known, actions);
    }

    /// Number of members wanted: never fewer than cover all backends, and more for a balancer
    /// that has more calls in flight, by Little's law.
    fn subset_size(&mut self) -> usize {
        if self.sent.span > 0.5 * self.memory {
            let each = MEMBERS_PER_CALL[usize::from(self.settings.costly_connections)];
            let busy = each * self.sent.per_second() * self.wait.mean;
            self.grown = self.grown.max(busy as usize);
        }
        self.least_subset().max(self.grown)
    }

    /// Members without which some backends would be in no subset, and two to choose from.
    fn least_subset(&self) -> usize {
        let least = if self.settings.tier == 0 { ENTRY_SUBSET } else { SUBSET };
        least.max(self.listed.len().div_ceil(self.settings.instance_count.max(1)))
    }

    /// Draws the subset, keeping the members that are still in service. Where crossing zones is
    /// priced, most members are of this zone, and a few of others for what it cannot carry.
    fn relist(&mut self) {
        let before: Vec<usize> = std::mem::take(&mut self.listed);
        let in_service = |b: &usize| self.backends[*b].entry.status == Status::InService;
        self.listed = (0..self.backends.len()).filter(in_service).collect();
        self.groups.clear();
        for &b in &self.listed {
            let entry = &self.backends[b].entry;
            self.groups.entry(Scope::Zone(entry.zone)).or_default().push(b);
            self.groups.entry(Scope::Cell(entry.cell)).or_default().push(b);
        }
        let (home, away): (Vec<usize>, Vec<usize>) = self.listed.iter().partition(|b| !self.away(**b));
        let size = self.subset_size();
        let mut mine = self.deal(home, self.least_subset(), size);
        mine.extend(self.deal(away, AWAY_SUBSET.max(self.least_subset() - AWAY_SUBSET), 0));
        let size = mine.len();
        let listed = &self.listed;
        self.subset.retain(|b| listed.binary_search(b).is_ok());
        for &b in &mine {
            let new = before.binary_search(&b).is_err();
            if !self.subset.contains(&b) && (new || self.subset.len() < size) {
                self.subset.push(b);
            }
        }
        while self.subset.len() > size {
            let out = self.subset.iter().position(|b| !mine.contains(b)).unwrap_or(0);
            self.subset.remove(out);
        }
    }

    /// Deals out backends in rounds, each a shuffle of its own, so that every one is in as many
    /// subsets as the next: with few balancers a plain random draw would leave some in none.
    fn deal(&self, mut from: Vec<usize>, least: usize, size: usize) -> Vec<usize> {
        let count = from.len();
        let base = least.min(count);
        let subsets = count.div_ceil(base.max(1)).max(1);
        let (round, place) = (self.settings.instance_index / subsets, self.settings.instance_index % subsets);
        // Those of the last round are fewer, and spread as evenly.
        let in_round = subsets.min(self.settings.instance_count.saturating_sub(round * subsets)).max(1);
        let start = place * count / in_round;
        from.sort_by_cached_key(|b| (mix(self.backends[*b].entry.id, round as u64), *b));
        (0..size.max(base).min(count)).map(|i| from[(start + i) % count]).collect()
    }

    /// A call to it would cross zones, and that is priced.
    fn away(&self, backend: usize) -> bool {
        self.settings.cross_zone_cost > 0.0 && self.backends[backend].entry.zone != self.settings.zone
    }
}

/// The token of a call's timer; it fits no later call.
fn token(slot: Slot, kind: u64) -> u64 {
    1 + (slot.data().as_ffi() << 2 | kind)
}

/// Scatters ids, in a different way for each round (the finalizer of SplitMix64).
fn mix(id: BackendId, round: u64) -> u64 {
    let mut z = (u64::from(id.0) << 24 ^ round).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
