//! Makes every decision of the balancer; its input and output types are in `interface.rs`.
//!
//! Repeats follow Hong, Huang and Yan, "Controlling Retransmission Rate For Mitigating SIP Overload": when
//! one of a call's doubling timers fires and the call is unanswered or failed, it is sent again with
//! probability p. p falls from 1 as the number of unanswered calls rises from the lower threshold, the
//! average send rate times T1, to the upper one. By Little's law, p thus compares the mean wait with T1.

use crate::interface::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slotmap::{DefaultKey as Slot, Key, KeyData, SlotMap};
use std::collections::{HashMap, VecDeque};

/// Minimum probability of a repeat (the paper's P_min), which covers lost messages.
const MIN_REPEAT_PROBABILITY: f64 = 0.1;
/// Ratio of the upper to the lower threshold of unanswered calls (3 in the paper, where repeats cost less).
const THRESHOLD_RATIO: f64 = 1.5;
/// Minimum of the lower threshold in calls, so that a single call doesn't reduce its own repeat probability.
const MIN_LOWER_THRESHOLD: f64 = 1.0;
/// Time constant of the average send rate, in maximum T1s of the class with the longest aim.
const SEND_RATE_TIME_CONSTANT_T1S: f64 = 20.0;
/// Excess of unanswered calls, in standard deviations, that counts as chance while the mean excess is low.
const MAX_EXCESS_TOLERANCE: f64 = 3.5;
/// Excess of unanswered calls, in standard deviations, that counts as chance while the mean excess is high.
const MIN_EXCESS_TOLERANCE: f64 = 0.5;
/// Minimum standard deviation of the number of unanswered calls, as a fraction of the expected number.
const MIN_DEVIATION_FRACTION: f64 = 0.2;
/// Decrease of the excess tolerance per standard deviation of mean excess above [`LOW_MEAN_EXCESS`].
const TOLERANCE_DECREASE: f64 = 4.0;
/// Mean excess, in standard deviations, up to which [`MAX_EXCESS_TOLERANCE`] applies.
const LOW_MEAN_EXCESS: f64 = 0.4;
/// Time constant of the mean excess, as a fraction of the time constant of the send rate.
const EXCESS_TIME_CONSTANT_FRACTION: f64 = 0.15;
/// A member this many times slower than the best one is an outlier, whose calls don't indicate an overload.
const OUTLIER_SLOWNESS_RATIO: f64 = 2.5;
/// Calls in flight per backend up to which there is no pressure: one slow backend can cause that many.
const MIN_OVERLOAD_CALLS_PER_BACKEND: f64 = 2.0;
/// Time constant of the answer rate, in mean answer times; short enough to follow a loss of capacity.
const ANSWER_RATE_TIME_CONSTANT_ANSWER_TIMES: f64 = 8.0;
/// A call is not started with less time left than this fraction of the normal answer time.
const MIN_TIME_LEFT_FRACTION: f64 = 0.6;
/// T1 exceeds the mean answer time by this many mean deviations, as TCP's retransmission timeout does.
const T1_DEVIATIONS: f64 = 4.0;
/// Maximum of T1 as a fraction of the time left, so that a repeat can still be answered in time.
const MAX_T1_FRACTION: f64 = 0.4;
/// An attempt is lost once its backend has answered another one sent this many normal answer times later.
/// Overloaded backends answer in about the order of arrival, so their attempts don't count as lost.
const LOST_ANSWER_TIMES: f64 = 8.0;
/// Jitter of T1 as a fraction in both directions, which keeps balancers from repeating in step.
const T1_JITTER_FRACTION: f64 = 0.1;
/// EWMA weight of a sample in an answer-time estimate with many samples.
const ANSWER_TIME_EWMA_WEIGHT: f64 = 0.02;
/// Maximum sample of an answer time as a fraction of the aim; longer waits are those of an overload.
const MAX_SAMPLE_AIM_FRACTION: f64 = 0.25;
/// Factor on the EWMA weight of answer times under pressure, so that T1 doesn't follow an overload's waits.
const PRESSURE_WEIGHT_FACTOR: f64 = 0.05;
/// EWMA weight of a sample in the slowness of a backend.
const SLOWNESS_EWMA_WEIGHT: f64 = 0.2;
/// Slowness sample of a failed attempt, and the maximum of all samples.
const FAILURE_SLOWNESS: f64 = 8.0;
/// A failure within this fraction of the normal answer time is a fast failure.
const FAST_FAILURE_FRACTION: f64 = 0.5;
/// EWMA weight of a fast failure in the slowness of a backend.
const FAST_FAILURE_EWMA_WEIGHT: f64 = 0.5;
/// Time over which an unused share of a quota accumulates, in seconds.
const QUOTA_BURST: Time = 1.0;
/// Time constant with which slowness decays after a failure, as a fraction of that of the send rate.
const SLOWNESS_TIME_CONSTANT_FRACTION: f64 = 0.5;
/// Time constant with which slowness decays without a recent failure, in mean answer times, if shorter.
const SLOW_TIME_CONSTANT_ANSWER_TIMES: f64 = 100.0;
/// Maximum wait for admission under pressure, as a fraction of the call's time left.
const ADMISSION_WAIT_FRACTION: f64 = 0.25;
/// Minimum subset size in inner tiers. Smaller random subsets often hold only slow backends.
const MIN_SUBSET_SIZE: usize = 5;
/// Minimum subset size in the first tier.
const MIN_FIRST_TIER_SUBSET_SIZE: usize = 3;
/// Subset members per average call in flight, where connections are free and where they have a cost.
const MEMBERS_PER_CALL: [f64; 2] = [1.0, 0.25];
/// Minimum number of subset members in other zones, where crossing zones has a cost.
const REMOTE_MEMBERS: usize = 2;
/// Increase of the load of a backend in another zone per unit of cross-zone cost.
const REMOTE_LOAD: f64 = 40.0;
/// EWMA weight of a report in the service time of a backend.
const SERVICE_TIME_EWMA_WEIGHT: f64 = 0.3;
/// Sends per probe, where only probes bring load reports.
const SENDS_PER_PROBE: usize = 3;
/// All balancers together plan to send a cold backend this fraction of the rate that overloads it.
const COLD_RATE_FRACTION: f64 = 0.6;
/// Requests by which the budget of a cold backend may be overdrawn if no other backend can be used.
const MAX_COLD_OVERDRAFT: f64 = 0.2;
/// Timer token for the request of the backend list; tokens of calls are greater.
const LIST_TOKEN: u64 = 0;
/// Kind of a call's timer that may trigger a repeat.
const REPEAT_TIMER: u64 = 0;
/// Kind of a call's timer that marks the end of its time.
const DEADLINE_TIMER: u64 = 1;
/// Kind of a queued call's timer that ends its wait for admission or for its key to settle.
const QUEUE_TIMER: u64 = 2;

/// A token bucket, filled at the rate that is given at each refill.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    filled_at: Time,
}

impl TokenBucket {
    fn refill(&mut self, now: Time, rate: f64, capacity: f64) -> f64 {
        self.tokens = (self.tokens + rate * (now - self.filled_at).max(0.0)).min(capacity);
        self.filled_at = now;
        self.tokens
    }
}

/// A rate with exponential decay; until its time constant has passed, it is the plain mean.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingRate {
    count: f64,
    duration: Time,
    updated_at: Time,
}

impl DecayingRate {
    fn new(now: Time) -> Self {
        Self { count: 0.0, duration: 0.0, updated_at: now }
    }

    fn decay(&mut self, now: Time, time_constant: Time) {
        let retained = (-(now - self.updated_at).max(0.0) / time_constant).exp();
        self.count *= retained;
        self.duration = self.duration * retained + time_constant * (1.0 - retained);
        self.updated_at = now;
    }

    fn increment(&mut self, now: Time, time_constant: Time) {
        self.decay(now, time_constant);
        self.count += 1.0;
    }

    fn per_second(&self) -> f64 {
        if self.duration > 0.0 { self.count / self.duration } else { 0.0 }
    }
}

/// Mean and mean deviation of answer times.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerTimes {
    sample_count: f64,
    mean: Time,
    deviation: Time,
}

impl AnswerTimes {
    fn add_sample(&mut self, sample: Time, without_pressure: bool) {
        self.sample_count += 1.0;
        let under_pressure = !without_pressure && self.sample_count > 1.0 / ANSWER_TIME_EWMA_WEIGHT;
        let weight = ANSWER_TIME_EWMA_WEIGHT.max(1.0 / self.sample_count)
            * if under_pressure { PRESSURE_WEIGHT_FACTOR } else { 1.0 };
        self.deviation += weight * ((sample - self.mean).abs() - self.deviation);
        self.mean += weight * (sample - self.mean);
    }
}

#[derive(Debug)]
struct Backend {
    entry: BackendEntry,
    /// Attempts without an outcome, those of ended calls included.
    in_flight: usize,
    lost_attempts: usize,
    /// Attempts of open calls that refer to this backend.
    references: usize,
    /// Recent answer time divided by the normal one of the class.
    slowness: f64,
    slowness_updated_at: Time,
    last_failed_at: Time,
    last_answered_at: Time,
    /// Latest send time among the attempts that it has answered.
    last_answered_send: Time,
    /// When it last showed that it works, or got an attempt while it had none.
    last_alive_at: Time,
    /// Budget while the backend is cold, in requests. Below zero it gets none; its turn begins at zero.
    cold_budget: TokenBucket,
    /// Service time of a request, by its load reports.
    service_time: Option<Time>,
    /// Slowness by the last [`Event::BackendHint`], and when that arrived.
    hint: (f64, Time),
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    backend: usize,
    cell: u32,
    zone: u32,
    sent_at: Time,
    outcome: Option<Outcome>,
    /// It has no outcome, and its backend has answered much later attempts.
    is_lost: bool,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        use Outcome::*;
        !matches!(self.outcome, Some(Rejected | NoConnection | NeverSent))
    }
}

/// A request without a final answer.
#[derive(Debug)]
struct Call {
    id: RequestId,
    class: usize,
    tenant: Option<usize>,
    /// When it arrived or, if it was queued, when it was started.
    started_at: Time,
    /// Latest time for its final answer.
    deadline: Time,
    t1: Time,
    timers_fired: i32,
    has_repeat_timer: bool,
    attempts: Vec<Attempt>,
    /// The key whose requests run in order, where its class asks for that.
    order_key: Option<u64>,
    /// It waits in the queue of its key or for admission, and has no attempt.
    is_queued: bool,
    /// It arrived when its tenant's share was used up.
    over_share: bool,
    /// Fraction of the arrivals that are worth less for their work; it waits while pressure is higher.
    rank: f64,
    /// Its last attempt was rejected or not connected, and it waits to be sent again.
    is_rejected: bool,
    /// All attempts without an outcome are lost.
    is_lost: bool,
    /// The second choice of the last draw, which the next attempt is sent to if it is usable.
    alternative: Option<usize>,
}

impl Call {
    fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|a| a.outcome.is_none())
    }
}

/// The queue of an ordered key. Its first call may be started once no attempt of an ended call is in flight
/// and the key has settled.
#[derive(Debug)]
struct KeyQueue {
    /// Calls in the order of arrival; the first one may be running.
    calls: VecDeque<Slot>,
    /// Attempts of ended calls without an outcome.
    open_attempts: usize,
    settles_at: Time,
}

/// The backends that a call may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Scope {
    Anywhere,
    Zone(u32),
    Cell(u32),
}

impl Scope {
    fn contains(self, entry: &BackendEntry) -> bool {
        match self {
            Scope::Anywhere => true,
            Scope::Zone(zone) => entry.zone == zone,
            Scope::Cell(cell) => entry.cell == cell,
        }
    }
}

/// The decision state machine of one balancer.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    rng: SmallRng,
    now: Time,
    calls: SlotMap<Slot, Call>,
    call_slots: HashMap<RequestId, Slot>,
    /// Calls that wait for admission, by ascending rank.
    admission_queue: Vec<Slot>,
    /// Number of calls that wait for admission or in the queue of a key.
    queued_calls: usize,
    /// Number of calls whose last attempt was rejected or not connected.
    rejected_calls: usize,
    /// Number of calls whose attempts without an outcome are all lost.
    lost_calls: usize,
    /// Mean excess of unanswered calls, in standard deviations.
    mean_excess: f64,
    excess_updated_at: Time,
    key_queues: HashMap<u64, KeyQueue>,
    /// Number of key queues at which idle ones are removed.
    key_queue_limit: usize,
    /// Attempts without an outcome of ended calls with an ordered key, and the key.
    orphaned_attempts: HashMap<(RequestId, usize), u64>,
    backends: Vec<Backend>,
    backend_indices: HashMap<BackendId, usize>,
    /// Indices of removed backends, for new ones.
    vacant_indices: Vec<usize>,
    /// Indices of the backends in service, ascending.
    in_service: Vec<usize>,
    /// Backends in service by zone and by cell, for repeats of keyed requests.
    in_service_by_scope: HashMap<Scope, Vec<usize>>,
    subset: Vec<usize>,
    /// Rate of first sends.
    send_rate: DecayingRate,
    /// Answers of warm subset members per second and member: its time is counted in member-seconds.
    warm_answer_rate: DecayingRate,
    warm_member_seconds: Time,
    warm_updated_at: Time,
    answer_rate: DecayingRate,
    class_answer_times: Vec<AnswerTimes>,
    /// Answer times over all classes.
    answer_times: AnswerTimes,
    /// Arrivals by class, within and over the share of their tenants.
    arrival_rates: Vec<[DecayingRate; 2]>,
    /// This balancer's part of each tenant's quota, in requests per second, and what is left of it.
    quota_shares: Vec<(f64, TokenBucket)>,
    /// Time constant of the send rate.
    rate_time_constant: Time,
    /// Largest subset size that the calls in flight have required so far.
    busy_subset_size: usize,
    mean_service_time: Time,
    send_count: usize,
    has_list_timer: bool,
    list_backoff: Time,
}

impl Balancer {
    /// Creates a balancer that starts at `now`. The same seed, settings and events give the same actions.
    pub fn new(now: Time, seed: u64, settings: Settings) -> Self {
        // Greater than zero, whatever the settings hold: rates are divided by it.
        let min_aim = settings.quantum.max(f64::EPSILON);
        let share = |rate: f64| (rate, TokenBucket { tokens: (rate * QUOTA_BURST).max(1.0), filled_at: now });
        let longest_aim = settings.classes.iter().map(|c| c.aim).fold(min_aim, f64::max);
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now,
            calls: SlotMap::new(),
            call_slots: HashMap::new(),
            admission_queue: Vec::new(),
            queued_calls: 0,
            rejected_calls: 0,
            lost_calls: 0,
            mean_excess: 0.0,
            excess_updated_at: now,
            key_queues: HashMap::new(),
            key_queue_limit: 16,
            orphaned_attempts: HashMap::new(),
            backends: Vec::new(),
            backend_indices: HashMap::new(),
            vacant_indices: Vec::new(),
            in_service: Vec::new(),
            in_service_by_scope: HashMap::new(),
            subset: Vec::new(),
            send_rate: DecayingRate::new(now),
            warm_answer_rate: DecayingRate::new(0.0),
            warm_member_seconds: 0.0,
            warm_updated_at: now,
            answer_rate: DecayingRate::new(now),
            answer_times: AnswerTimes::default(),
            class_answer_times: vec![AnswerTimes::default(); settings.classes.len()],
            arrival_rates: vec![[DecayingRate::new(now); 2]; settings.classes.len()],
            quota_shares: settings
                .quotas
                .iter()
                .map(|quota| quota / settings.instance_count.max(1) as f64)
                .map(share)
                .collect(),
            rate_time_constant: SEND_RATE_TIME_CONSTANT_T1S * MAX_T1_FRACTION * longest_aim,
            busy_subset_size: 0,
            mean_service_time: 0.0,
            send_count: 0,
            has_list_timer: false,
            list_backoff: settings.list_request_deadline / 10.0,
            settings,
        }
    }

    /// Number of requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.call_slots.len()
    }

    /// Number of backends that the balancer keeps state for.
    pub fn known_backends(&self) -> usize {
        self.backend_indices.len()
    }

    /// Number of backends avoided now: those that drain, and subset members far slower than the best.
    pub fn avoided_backends(&self) -> usize {
        let draining = self.backends.iter().filter(|b| b.entry.status == Status::Draining).count();
        draining + self.subset.len() - self.healthy_members().count()
    }

    /// Handles an event that happens at `now`, and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Time, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.settings.must_watch && !self.has_list_timer {
            // The random delay spreads the list requests of balancers that start together.
            self.has_list_timer = true;
            let delay = self.rng.random::<f64>() * 0.5 * self.settings.list_request_deadline;
            actions.push(Action::Timer { at: self.now + delay, token: LIST_TOKEN });
        }
        match event {
            Event::Request(request) => self.handle_request(request, actions),
            Event::StreamStarted { id, attempt } => self.close_request(id, Some(attempt), actions),
            Event::Outcome(result) => self.handle_attempt_result(result, actions),
            Event::ClientDisconnected(id) => self.close_request(id, None, actions),
            Event::Timer(LIST_TOKEN) => actions.push(Action::Watch(true)),
            Event::Timer(token) => self.handle_timer(token, actions),
            Event::Probed { backend, report, .. } => self.record_load_report(backend, report),
            Event::List(update) => self.update_list(update, actions),
            Event::BackendHint { backend, slowness } => {
                let known = self.backend_indices.get(&backend).copied();
                known.into_iter().for_each(|b| self.backends[b].hint = (slowness, now));
            }
        }
        self.admit_queued_calls(actions);
    }

    // ---- Arrival and admission ----

    fn handle_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        let class = &self.settings.classes[request.class];
        // Two quanta cover the rounding of timers. A worthless late answer is not waited for.
        let mut time_left = request.budget - 2.0 * self.settings.quantum;
        if class.late_worth <= 0.0 {
            time_left = time_left.min(class.aim);
        }
        let order_key = request.key.filter(|_| class.in_order);
        let over_share = self.record_arrival(request.class, request.tenant);
        let t1 = self.t1(request.class, time_left);
        let ahead = order_key.and_then(|key| self.key_queues.get(&key)).map_or(0, |queue| queue.calls.len());
        let needed =
            MIN_TIME_LEFT_FRACTION * self.class_answer_times[request.class].mean * (ahead + 1) as f64;
        let rank = self.draw_rank(request.class, over_share);
        let must_wait = !self.can_admit(rank);
        if time_left <= needed || must_wait && order_key.is_some() {
            return actions.push(Action::Reject { id: request.id, retry_after: self.retry_after(t1) });
        }
        let deadline = self.now + time_left;
        let call = Call {
            id: request.id,
            class: request.class,
            tenant: request.tenant,
            started_at: self.now,
            deadline,
            t1,
            timers_fired: 0,
            has_repeat_timer: false,
            attempts: Vec::new(),
            order_key,
            is_queued: must_wait || order_key.is_some(),
            over_share,
            rank,
            is_rejected: false,
            is_lost: false,
            alternative: None,
        };
        let slot = self.calls.insert(call);
        self.call_slots.insert(request.id, slot);
        actions.push(Action::Timer { at: deadline, token: timer_token(slot, DEADLINE_TIMER) });
        self.queued_calls += usize::from(self.calls[slot].is_queued);
        if must_wait {
            self.enqueue_for_admission(slot);
            let at = self.now + ADMISSION_WAIT_FRACTION * time_left;
            return actions.push(Action::Timer { at, token: timer_token(slot, QUEUE_TIMER) });
        }
        let Some(key) = order_key else {
            return self.start_call(slot, actions);
        };
        if self.key_queues.len() >= self.key_queue_limit {
            let now = self.now;
            self.key_queues.retain(|_, q| !q.calls.is_empty() || q.open_attempts > 0 || q.settles_at > now);
            self.key_queue_limit = 16.max(2 * self.key_queues.len());
        }
        let empty = || KeyQueue { calls: VecDeque::new(), open_attempts: 0, settles_at: f64::NEG_INFINITY };
        self.key_queues.entry(key).or_insert_with(empty).calls.push_back(slot);
        self.advance_key_queue(key, actions);
    }

    fn start_call(&mut self, slot: Slot, actions: &mut Vec<Action>) {
        self.set_repeat_timer(slot, actions);
        self.send_rate.increment(self.now, self.rate_time_constant);
        if let Some((_, share)) = self.calls[slot].tenant.and_then(|t| self.quota_shares.get_mut(t)) {
            share.tokens = (share.tokens - 1.0).max(0.0);
        }
        let previous_size = self.busy_subset_size;
        if self.subset_size() > previous_size && self.busy_subset_size > previous_size {
            self.rebuild_subset();
        }
        if !self.send(slot, actions) && !self.calls[slot].has_repeat_timer {
            self.finish_unserved(slot, actions);
        }
    }

    /// Inserts a call into the admission queue. Calls of the same worth exchange their randomly drawn ranks
    /// so that the oldest has the highest one and no younger call overtakes it.
    fn enqueue_for_admission(&mut self, slot: Slot) {
        let (class, over_share, rank) =
            (self.calls[slot].class, self.calls[slot].over_share, self.calls[slot].rank);
        let position = self.admission_queue.partition_point(|s| self.calls[*s].rank < rank);
        let mut next = slot;
        for i in 0..position {
            let (queued, queued_rank) = (self.admission_queue[i], self.calls[self.admission_queue[i]].rank);
            if (self.calls[queued].class, self.calls[queued].over_share) == (class, over_share) {
                self.calls[next].rank = queued_rank;
                next = std::mem::replace(&mut self.admission_queue[i], next);
            }
        }
        self.calls[next].rank = rank;
        self.admission_queue.insert(position, next);
    }

    /// Starts the first call of a key's queue if the order of the key permits it: no earlier request is
    /// unfinished or has an open attempt, and the key has settled after an attempt that may still run.
    fn advance_key_queue(&mut self, key: u64, actions: &mut Vec<Action>) {
        let Some((queue, &slot)) = self.key_queues.get(&key).and_then(|q| Some((q, q.calls.front()?))) else {
            return;
        };
        if queue.open_attempts > 0 || !self.calls[slot].is_queued {
            return;
        }
        if self.now < queue.settles_at {
            let at = queue.settles_at;
            return actions.push(Action::Timer { at, token: timer_token(slot, QUEUE_TIMER) });
        }
        self.start_queued_call(slot, actions);
    }

    fn start_queued_call(&mut self, slot: Slot, actions: &mut Vec<Action>) {
        self.queued_calls -= 1;
        let (now, class, deadline) = (self.now, self.calls[slot].class, self.calls[slot].deadline);
        let t1 = self.t1(class, deadline - now);
        let call = &mut self.calls[slot];
        (call.is_queued, call.started_at, call.t1) = (false, now, t1);
        if deadline - now <= MIN_TIME_LEFT_FRACTION * self.class_answer_times[class].mean {
            return self.finish_unserved(slot, actions);
        }
        self.start_call(slot, actions);
    }

    /// Counts an arrival, and returns whether its tenant's share is used up. Only started calls use up the
    /// share: clients retry rejected requests, and in an overload their retries would exhaust every share.
    fn record_arrival(&mut self, class: usize, tenant: Option<usize>) -> bool {
        let now = self.now;
        let share = tenant.and_then(|t| self.quota_shares.get_mut(t));
        let over_share = share
            .is_some_and(|(rate, tokens)| tokens.refill(now, *rate, (*rate * QUOTA_BURST).max(1.0)) < 1.0);
        self.arrival_rates[class][usize::from(over_share)].increment(self.now, self.rate_time_constant);
        over_share
    }

    /// Whether a call may start under the current pressure. Only the first tier holds calls back, as no work
    /// has been done for them there.
    fn can_admit(&mut self, rank: f64) -> bool {
        self.settings.tier > 0 || rank >= self.pressure()
    }

    /// Returns the fraction of arrivals that are worth less for their work than this one. Arrivals of the
    /// same worth are ordered at random.
    fn draw_rank(&mut self, class: usize, over_share: bool) -> f64 {
        let value = |class: usize, over_share: bool| {
            let share_worth = if over_share { self.settings.over_share_worth } else { 1.0 };
            let work = self.class_answer_times[class].mean.max(self.settings.quantum);
            share_worth * self.settings.classes[class].worth / work
        };
        let own_value = value(class, over_share);
        let (mut lower, mut equal, mut total) = (0.0, 0.0, 0.0);
        for (c, rates) in self.arrival_rates.iter().enumerate() {
            for (o, rate) in rates.iter().enumerate() {
                let mut rate = *rate;
                rate.decay(self.now, self.rate_time_constant);
                let rate = rate.per_second();
                total += rate;
                lower += if value(c, o == 1) < own_value { rate } else { 0.0 };
                equal += if value(c, o == 1) == own_value { rate } else { 0.0 };
            }
        }
        (lower + equal * self.rng.random::<f64>()) / total.max(f64::MIN_POSITIVE)
    }

    /// Starts queued calls in descending rank as far as the pressure permits. The short wait avoids rejecting
    /// calls for a momentary excess, whose clients would retry at once.
    fn admit_queued_calls(&mut self, actions: &mut Vec<Action>) {
        while let Some(&best) = self.admission_queue.last()
            && self.can_admit(self.calls[best].rank)
        {
            self.admission_queue.pop();
            self.start_queued_call(best, actions);
        }
    }

    /// Delay after which a rejected client should retry, where clients heed one.
    fn retry_after(&self, t1: Time) -> Option<Time> {
        Some(t1.min(self.settings.max_retry_after)).filter(|delay| *delay > 0.0)
    }

    /// Returns how far the unanswered calls exceed the number that the answer rate and answer times explain:
    /// 0 within a tolerance, 1 from twice that. An excess that lasts is not chance and lowers the tolerance.
    fn pressure(&mut self) -> f64 {
        self.send_rate.decay(self.now, self.rate_time_constant);
        self.answer_rate.decay(self.now, self.answer_rate_time_constant());
        let expected = self.answer_rate.per_second() * self.answer_times.mean;
        let excess = (self.load_indicating_calls() - expected)
            / expected.max(1.0).sqrt().max(MIN_DEVIATION_FRACTION * expected);
        let decay = (-(self.now - self.excess_updated_at)
            / (EXCESS_TIME_CONSTANT_FRACTION * self.rate_time_constant))
            .exp();
        self.mean_excess = excess + (self.mean_excess - excess) * decay;
        self.excess_updated_at = self.now;
        let tolerance = (MAX_EXCESS_TOLERANCE - TOLERANCE_DECREASE * (self.mean_excess - LOW_MEAN_EXCESS))
            .clamp(MIN_EXCESS_TOLERANCE, MAX_EXCESS_TOLERANCE);
        if self.calls_per_backend() <= MIN_OVERLOAD_CALLS_PER_BACKEND {
            return 0.0;
        }
        (excess / tolerance - 1.0).clamp(0.0, 1.0)
    }

    fn answer_rate_time_constant(&self) -> Time {
        ANSWER_RATE_TIME_CONSTANT_ANSWER_TIMES * self.answer_times.mean.max(self.settings.quantum)
    }

    /// Estimated calls in flight per healthy backend, if all balancers have as many as this one.
    fn calls_per_backend(&self) -> f64 {
        let capacity = self.healthy_members().map(|b| self.capacity_fraction(b)).sum::<f64>();
        let sharing =
            (self.settings.instance_count * self.subset.len()) as f64 / self.in_service.len().max(1) as f64;
        self.load_indicating_calls() * sharing.max(1.0) / capacity.max(1.0)
    }

    /// Calls in flight at healthy members, and those that wait after a rejection. Each call counts once, and
    /// lost attempts don't count.
    fn load_indicating_calls(&self) -> f64 {
        let attempts = self
            .healthy_members()
            .map(|b| self.backends[b].in_flight.saturating_sub(self.backends[b].lost_attempts))
            .sum::<usize>()
            + self.rejected_calls;
        attempts.min(self.unanswered_calls()) as f64
    }

    /// Started calls without an answer, except lost ones.
    fn unanswered_calls(&self) -> usize {
        self.call_slots.len() - self.queued_calls - self.lost_calls
    }

    /// Subset members that are not far slower than the best warm one. A cold member is not used as the
    /// reference: it gets too few calls to appear slow, and busy members would count as outliers.
    fn healthy_members(&self) -> impl Iterator<Item = usize> {
        let slowness = |b: &usize| self.observed_slowness(&self.backends[*b]);
        let warm = self.subset.iter().filter(|b| self.capacity_fraction(**b) >= 1.0);
        let best = warm.map(slowness).fold(f64::INFINITY, f64::min);
        self.subset.iter().copied().filter(move |b| slowness(b) <= OUTLIER_SLOWNESS_RATIO * best)
    }

    /// T1 of a call: above the normal answer time, but early enough for a repeat in the time left.
    fn t1(&mut self, class: usize, time_left: Time) -> Time {
        let (normal, max) = (&self.class_answer_times[class], MAX_T1_FRACTION * time_left);
        let estimate = normal.mean + T1_DEVIATIONS * normal.deviation;
        (if normal.sample_count > 0.0 { estimate.min(max) } else { max }).max(self.settings.quantum)
    }

    // ---- Timers and repeats ----

    /// The paper's p, from the unanswered calls of this balancer and its average rate of first sends.
    fn repeat_probability(&mut self, t1: Time) -> f64 {
        self.send_rate.decay(self.now, self.rate_time_constant);
        let unanswered = self.unanswered_calls() as f64;
        let min = (self.send_rate.per_second() * t1).max(MIN_LOWER_THRESHOLD);
        let max = THRESHOLD_RATIO * min;
        let position = ((unanswered - min) / (max - min)).clamp(0.0, 1.0);
        1.0 - (1.0 - MIN_REPEAT_PROBABILITY) * position
    }

    /// Sets the next repeat timer: T1 after the start, then at intervals of 2 T1, 4 T1 and so on.
    fn set_repeat_timer(&mut self, slot: Slot, actions: &mut Vec<Action>) {
        let token = timer_token(slot, REPEAT_TIMER);
        let max_attempts = self.settings.max_attempts;
        let jitter = 1.0 + T1_JITTER_FRACTION * (2.0 * self.rng.random::<f64>() - 1.0);
        let call = &mut self.calls[slot];
        let at = call.started_at + call.t1 * jitter * (2f64.powi(call.timers_fired + 1) - 1.0);
        call.has_repeat_timer = at < call.deadline && call.attempts.len() < max_attempts;
        if call.has_repeat_timer {
            actions.push(Action::Timer { at, token });
        }
    }

    fn handle_timer(&mut self, token: u64, actions: &mut Vec<Action>) {
        let (kind, slot) = ((token - 1) & 3, Slot::from(KeyData::from_ffi((token - 1) >> 2)));
        if !self.calls.contains_key(slot) {
            return; // the call has ended
        }
        if let (QUEUE_TIMER, Some(key)) = (kind, self.calls[slot].order_key) {
            return self.advance_key_queue(key, actions);
        }
        if kind == QUEUE_TIMER {
            // The pressure has lasted for the whole wait for admission.
            if self.calls[slot].is_queued {
                let (id, t1) = (self.calls[slot].id, self.calls[slot].t1);
                actions.push(Action::Reject { id, retry_after: self.retry_after(t1) });
                self.finish(slot, None, actions);
            }
            return;
        }
        if kind == DEADLINE_TIMER {
            // The timeout of an attempt arrives after the call has ended, so its slowness is recorded here.
            self.check_open_attempts(slot, true);
            return self.finish_unserved(slot, actions);
        }
        self.calls[slot].timers_fired += 1;
        self.set_repeat_timer(slot, actions);
        // A backend that has answered since is alive, and a repeat would only double a long request's work.
        let is_alive = self.check_open_attempts(slot, false);
        let probability = (self.repeat_probability(self.calls[slot].t1) * (1.0 - self.pressure()))
            .max(MIN_REPEAT_PROBABILITY);
        if !is_alive && self.allowed_scope(slot).is_some() && self.rng.random::<f64>() < probability {
            self.send(slot, actions);
        }
        let call = &self.calls[slot];
        if !call.has_repeat_timer && !call.has_open_attempt() {
            self.finish_unserved(slot, actions);
        }
    }

    // ---- Selection of a backend ----

    /// The backends that a call may be sent to now, for the first time or again, if it may be sent at all.
    fn allowed_scope(&self, slot: Slot) -> Option<Scope> {
        let call = &self.calls[slot];
        if call.attempts.len() >= self.settings.max_attempts || self.now >= call.deadline {
            return None;
        }
        if !self.settings.allow_concurrent_attempts && call.has_open_attempt() {
            return None;
        }
        let Some(first) = call.attempts.iter().find(|a| a.may_have_run()) else {
            return Some(Scope::Anywhere);
        };
        match self.settings.classes[call.class].effect {
            Effect::Safe => Some(Scope::Anywhere),
            Effect::Unsafe => None,
            Effect::Keyed { window, .. } if self.now >= first.sent_at + window => None,
            Effect::Keyed { group: DedupGroup::All, .. } => Some(Scope::Anywhere),
            Effect::Keyed { group: DedupGroup::Zone, .. } => Some(Scope::Zone(first.zone)),
            Effect::Keyed { group: DedupGroup::Cell, .. } => Some(Scope::Cell(first.cell)),
        }
    }

    /// Sends a call for the first time or again, and returns whether it may be sent and a backend is usable.
    fn send(&mut self, slot: Slot, actions: &mut Vec<Action>) -> bool {
        let Some(backend) = self.allowed_scope(slot).and_then(|s| self.choose_backend(slot, s)) else {
            return false;
        };
        let (now, deadline) = (self.now, self.calls[slot].deadline);
        let b = &mut self.backends[backend];
        if b.in_flight == 0 {
            b.last_alive_at = now;
        }
        b.in_flight += 1;
        b.references += 1;
        let tokens = -self.draw_turn_interval();
        let b = &mut self.backends[backend];
        b.cold_budget.tokens = tokens;
        let (cell, zone, id) = (b.entry.cell, b.entry.zone, b.entry.id);
        let call = &mut self.calls[slot];
        call.attempts.push(Attempt { backend, cell, zone, sent_at: now, outcome: None, is_lost: false });
        self.lost_calls -= usize::from(std::mem::take(&mut call.is_lost));
        self.rejected_calls -= usize::from(std::mem::take(&mut call.is_rejected));
        actions.push(Action::Send { id: call.id, backend: id, timeout: deadline - now });
        self.send_count += 1;
        let (probe_number, members) = (self.send_count / SENDS_PER_PROBE, self.subset.len());
        if self.settings.probe_for_reports && self.send_count.is_multiple_of(SENDS_PER_PROBE) && members > 0 {
            actions.push(Action::Probe(self.backends[self.subset[probe_number % members]].entry.id));
        }
        true
    }

    /// Chooses the less loaded of two random subset members; for a repeat the other one of them if it is
    /// usable, else a new choice. Where no member is usable, other backends of the scope are drawn.
    fn choose_backend(&mut self, slot: Slot, scope: Scope) -> Option<usize> {
        let tried: Vec<usize> = self.calls[slot].attempts.iter().map(|a| a.backend).collect();
        let alternative = self.calls[slot].alternative.take();
        if let Some(alternative) = alternative.filter(|b| scope.contains(&self.backends[*b].entry))
            && !tried.contains(&alternative)
            && self.is_usable(alternative)
        {
            return Some(alternative);
        }
        let mut usable = self.subset.clone();
        usable
            .retain(|b| scope.contains(&self.backends[*b].entry) && !tried.contains(b) && self.is_usable(*b));
        if usable.is_empty() {
            let in_scope = match scope {
                Scope::Anywhere => &self.in_service,
                _ => self.in_service_by_scope.get(&scope)?,
            };
            for _ in 0..2 * MIN_SUBSET_SIZE {
                let drawn = *in_scope.get(self.rng.random_range(0..in_scope.len().max(1)))?;
                if !tried.contains(&drawn) && !usable.contains(&drawn) {
                    usable.push(drawn);
                }
            }
            usable.retain(|b| self.is_usable(*b));
        }
        if usable.is_empty() {
            // A reset connection doesn't show that its backend is faulty, so the backend may be tried again.
            let resets = self.calls[slot].attempts.iter().filter(|a| a.outcome == Some(Outcome::Reset));
            let resets: Vec<usize> = resets.map(|a| a.backend).collect();
            usable =
                self.subset.iter().copied().filter(|b| scope.contains(&self.backends[*b].entry)).collect();
            let reset = |b: &usize| resets.contains(b);
            usable.retain(|b| reset(b) && self.is_usable(*b) || !tried.contains(b) && self.can_overdraw(*b));
        }
        // Backends above the mean load are excluded: a pair of slow ones would otherwise be overloaded.
        let mean = usable.iter().map(|b| self.load(*b)).sum::<f64>() / usable.len() as f64;
        usable.retain(|b| self.load(*b) <= mean * (1.0 + f64::EPSILON * 16.0));
        let one = usable.swap_remove(self.random_index(usable.len())?);
        let Some(two) = self.random_index(usable.len()).map(|i| usable[i]) else {
            return Some(one);
        };
        let (first, second) = if self.load(two) < self.load(one) { (two, one) } else { (one, two) };
        self.calls[slot].alternative = Some(second);
        Some(first)
    }

    fn random_index(&mut self, len: usize) -> Option<usize> {
        (len > 0).then(|| self.rng.random_range(0..len))
    }

    /// Load of a backend: its calls in flight, including the next one, times its relative service time and
    /// its slowness, divided by its weight. Without slowness, a fast-failing or hung backend would seem idle.
    fn load(&self, backend: usize) -> f64 {
        let b = &self.backends[backend];
        let zone_load =
            if self.is_remote(backend) { 1.0 + REMOTE_LOAD * self.settings.cross_zone_cost } else { 1.0 };
        let service_load = match (b.service_time, self.mean_service_time) {
            (Some(own), mean) if mean > 0.0 => own / mean,
            _ => 1.0,
        };
        zone_load * (b.in_flight + 1) as f64 * service_load * self.slowness(b)
            / b.entry.weight.max(f64::MIN_POSITIVE)
    }

    /// Whether a backend is in service and, if it is cold, has budget left for a request of this balancer.
    fn is_usable(&mut self, backend: usize) -> bool {
        if self.backends[backend].entry.status != Status::InService {
            return false;
        }
        let capacity = self.capacity_fraction(backend);
        if capacity >= 1.0 {
            return true;
        }
        if !self.subset.contains(&backend) {
            return false; // its budget is divided among the balancers that have it in their subset
        }
        // Turns that are unused for the overload duration expire, so that they don't accumulate.
        let rate = self.cold_send_rate(backend);
        let max_tokens = rate * self.settings.overload_duration;
        let tokens = self.backends[backend].cold_budget.refill(self.now, rate, f64::INFINITY);
        if tokens > max_tokens {
            let expired = self.rng.random::<f64>() < (-max_tokens).exp();
            self.backends[backend].cold_budget.tokens =
                if expired { -self.draw_turn_interval() } else { 0.0 };
        }
        self.backends[backend].cold_budget.tokens >= 0.0
    }

    /// Whether a request may be sent to a cold backend shortly before its next turn. An idle fleet of only
    /// cold backends would otherwise reject requests.
    fn can_overdraw(&self, backend: usize) -> bool {
        let b = &self.backends[backend];
        let has_budget = b.entry.usual_rate.is_none_or(|rate| rate > 0.0);
        b.entry.status == Status::InService && has_budget && b.cold_budget.tokens >= -MAX_COLD_OVERDRAFT
    }

    /// Draws the budget between two turns of a cold backend, in requests: exponentially distributed with a
    /// mean of one, so that the turns of many balancers are spread at random.
    fn draw_turn_interval(&mut self) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln()
    }

    /// Rate in requests per second at which this balancer may send to a cold member: a fraction of the rate
    /// that overloads it, estimated from the answers of warm members or, without any, from own requests.
    fn cold_send_rate(&mut self, backend: usize) -> f64 {
        self.update_warm_time();
        let members = self.subset.len().max(1) as f64;
        let overload_duration = self.settings.overload_duration;
        let requested = self.send_rate.count / (self.send_rate.duration + overload_duration) / members;
        let rate = (self.warm_answer_rate.count + requested * overload_duration)
            / (self.warm_answer_rate.duration + overload_duration).max(f64::EPSILON);
        let rate = self.backends[backend].entry.usual_rate.map_or(rate, |usual| usual.min(rate));
        rate * self.capacity_fraction(backend) * COLD_RATE_FRACTION * self.settings.overload_multiple
    }

    /// Adds the time since the last update to the seconds that members have been warm.
    fn update_warm_time(&mut self) {
        let warm = self.subset.iter().filter(|b| self.capacity_fraction(**b) >= 1.0).count() as f64;
        self.warm_member_seconds += warm * (self.now - self.warm_updated_at);
        self.warm_updated_at = self.now;
        self.warm_answer_rate
            .decay(self.warm_member_seconds, self.rate_time_constant * self.subset.len().max(1) as f64);
    }

    /// Minimum fraction of its full capacity that a backend has now; 1 once it is warm.
    fn capacity_fraction(&self, backend: usize) -> f64 {
        let (initial, duration) = (self.settings.cold_capacity_fraction, self.settings.cold_duration);
        let started = self.backends[backend].entry.started.filter(|s| self.now < s + duration);
        started.map_or(1.0, |s| initial + (1.0 - initial) * ((self.now - s) / duration).clamp(0.0, 1.0))
    }

    // ---- End of attempts and calls ----

    /// Closes a request whose stream has started or whose client has disconnected.
    fn close_request(&mut self, id: RequestId, winner: Option<usize>, actions: &mut Vec<Action>) {
        self.call_slots.get(&id).copied().into_iter().for_each(|slot| self.finish(slot, winner, actions));
    }

    fn handle_attempt_result(&mut self, result: AttemptResult, actions: &mut Vec<Action>) {
        use Outcome::*;
        let slot = self.call_slots.get(&result.id).copied();
        if let Some(&backend) = self.backend_indices.get(&result.backend) {
            let b = &mut self.backends[backend];
            b.in_flight = b.in_flight.saturating_sub(1);
            if matches!(result.outcome, Served | Error | Rejected | Reset) {
                b.last_alive_at = self.now;
            }
            self.record_load_report(result.backend, result.report);
            self.close_idle_if_draining(backend, actions);
            if let Some(slot) = slot {
                let class = self.calls[slot].class;
                match result.outcome {
                    Served => {
                        let b = &mut self.backends[backend];
                        b.last_answered_at = self.now;
                        b.last_answered_send = b.last_answered_send.max(self.now - result.duration);
                        if self.capacity_fraction(backend) >= 1.0 {
                            self.update_warm_time();
                            self.warm_answer_rate.count += 1.0;
                        }
                        self.answer_rate.increment(self.now, self.answer_rate_time_constant());
                        self.record_slowness(backend, class, result.duration, false);
                        let without_pressure = self.pressure() <= 0.0;
                        let sample =
                            result.duration.min(MAX_SAMPLE_AIM_FRACTION * self.settings.classes[class].aim);
                        self.class_answer_times[class].add_sample(sample, without_pressure);
                        self.answer_times.add_sample(sample, without_pressure);
                    }
                    Cancelled | NeverSent => {}
                    _ => self.record_slowness(backend, class, result.duration, true),
                }
            }
        }
        // An open attempt of an ended request may have blocked its key.
        let orphan = self.orphaned_attempts.remove(&(result.id, result.attempt));
        let key = slot.map_or(orphan, |slot| self.calls[slot].order_key);
        if let Some(queue) = key.and_then(|key| self.key_queues.get_mut(&key)) {
            queue.open_attempts -= usize::from(orphan.is_some());
            if matches!(result.outcome, Timeout | Reset | Cancelled) {
                // The quantum covers the rounding of clocks.
                queue.settles_at = self.now + self.settings.key_settle_time + self.settings.quantum;
            }
        }
        let Some(slot) = slot else {
            return orphan.into_iter().for_each(|key| self.advance_key_queue(key, actions));
        };
        if let Some(attempt) = self.calls[slot].attempts.get_mut(result.attempt) {
            attempt.outcome = Some(result.outcome);
            self.backends[attempt.backend].lost_attempts -= usize::from(std::mem::take(&mut attempt.is_lost));
        }
        if !self.calls[slot].has_open_attempt() {
            self.lost_calls -= usize::from(std::mem::take(&mut self.calls[slot].is_lost));
        }
        if result.is_final {
            return self.finish(slot, Some(result.attempt), actions);
        }
        if self.calls[slot].has_open_attempt() {
            return; // another attempt may still be answered
        }
        if matches!(result.outcome, Rejected | NoConnection) {
            self.rejected_calls += 1;
            self.calls[slot].is_rejected = true;
        }
        // Without a further timer or an allowed backend, the failed call can't be repeated.
        if !self.calls[slot].has_repeat_timer || self.allowed_scope(slot).is_none() {
            self.finish_unserved(slot, actions);
        }
    }

    /// Answers a call that was not served: with a rejection if a retry is harmless, else with a failure.
    fn finish_unserved(&mut self, slot: Slot, actions: &mut Vec<Action>) {
        let call = &self.calls[slot];
        let is_harmless = match self.settings.classes[call.class].effect {
            Effect::Safe | Effect::Keyed { group: DedupGroup::All, .. } => true,
            _ => !call.attempts.iter().any(Attempt::may_have_run),
        };
        let (id, t1) = (call.id, call.t1);
        actions.push(match is_harmless {
            true => Action::Reject { id, retry_after: self.retry_after(t1) },
            false => Action::Fail { id },
        });
        self.finish(slot, None, actions);
    }

    /// Removes a call and cancels its open attempts, except the one whose answer is used.
    fn finish(&mut self, slot: Slot, winner: Option<usize>, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(slot) else {
            return;
        };
        self.call_slots.remove(&call.id);
        for (i, attempt) in call.attempts.iter().enumerate() {
            self.backends[attempt.backend].references -= 1;
            self.backends[attempt.backend].lost_attempts -= usize::from(attempt.is_lost);
            if self.settings.can_cancel && attempt.outcome.is_none() && winner != Some(i) {
                actions.push(Action::Cancel { id: call.id, attempt: i });
            }
        }
        if call.is_queued {
            self.queued_calls -= 1;
            self.admission_queue.retain(|s| *s != slot);
        }
        self.rejected_calls -= usize::from(call.is_rejected);
        self.lost_calls -= usize::from(call.is_lost);
        let Some((key, queue)) = call.order_key.and_then(|k| Some((k, self.key_queues.get_mut(&k)?))) else {
            return;
        };
        queue.calls.retain(|s| *s != slot);
        for i in (0..call.attempts.len()).filter(|i| call.attempts[*i].outcome.is_none()) {
            queue.open_attempts += 1;
            self.orphaned_attempts.insert((call.id, i), key);
        }
        self.advance_key_queue(key, actions);
    }

    // ---- Observations of backends ----

    /// Updates the slowness of a backend with the time that an attempt took or has been open.
    fn record_slowness(&mut self, backend: usize, class: usize, duration: Time, failed: bool) {
        let normal = self.class_answer_times[class].mean;
        if normal <= 0.0 && !failed {
            return;
        }
        let sample = if failed { FAILURE_SLOWNESS } else { duration / normal };
        // A backend that fails fast has few calls in flight, and would be chosen repeatedly.
        let is_fast_failure = failed && duration < FAST_FAILURE_FRACTION * normal;
        let weight = if is_fast_failure { FAST_FAILURE_EWMA_WEIGHT } else { SLOWNESS_EWMA_WEIGHT };
        let known = self.observed_slowness(&self.backends[backend]);
        let b = &mut self.backends[backend];
        b.slowness = known + weight * (sample.min(FAILURE_SLOWNESS) - known);
        b.slowness_updated_at = self.now;
        if failed {
            b.last_failed_at = self.now;
        }
    }

    /// Marks lost attempts of a call, and records the slowness of its open attempts at backends that have
    /// answered nothing since the send. Returns whether a backend of another open attempt has answered.
    fn check_open_attempts(&mut self, slot: Slot, failed: bool) -> bool {
        let mut is_alive = false;
        for i in 0..self.calls[slot].attempts.len() {
            let Attempt { backend, sent_at, outcome, is_lost, .. } = self.calls[slot].attempts[i];
            let class = self.calls[slot].class;
            if outcome.is_some() {
                continue;
            }
            let has_answered = self.backends[backend].last_answered_at > sent_at;
            if self.backends[backend].last_answered_send - sent_at
                > LOST_ANSWER_TIMES * self.class_answer_times[class].mean
            {
                self.calls[slot].attempts[i].is_lost = true;
                self.backends[backend].lost_attempts += usize::from(!is_lost);
            } else if has_answered {
                is_alive = true;
                continue;
            }
            self.record_slowness(backend, class, self.now - sent_at, failed);
        }
        let call = &mut self.calls[slot];
        let mut open = call.attempts.iter().filter(|a| a.outcome.is_none()).peekable();
        if !call.is_lost && open.peek().is_some() && open.all(|a| a.is_lost) {
            call.is_lost = true;
            self.lost_calls += 1;
        }
        is_alive
    }

    /// Maximum of the observed slowness, the hint, and the silence of a backend with attempts in flight. The
    /// silence reveals a stalled backend before its attempts time out; a busy one goes on answering.
    fn slowness(&self, backend: &Backend) -> f64 {
        let (hint, since) = backend.hint;
        let known =
            self.observed_slowness(backend).max(if backend.last_answered_send > since { 0.0 } else { hint });
        if backend.in_flight == 0 || self.answer_times.mean <= 0.0 {
            return known;
        }
        known.max(((self.now - backend.last_alive_at) / self.answer_times.mean).min(FAILURE_SLOWNESS))
    }

    /// Observed slowness, which decays towards 1 so that an avoided backend is tried again.
    fn observed_slowness(&self, backend: &Backend) -> f64 {
        let max = SLOWNESS_TIME_CONSTANT_FRACTION * self.rate_time_constant;
        let failed = self.now - backend.last_failed_at < max;
        let time_constant =
            if failed { max } else { max.min(SLOW_TIME_CONSTANT_ANSWER_TIMES * self.answer_times.mean) };
        let age = (self.now - backend.slowness_updated_at) / time_constant.max(f64::EPSILON);
        1.0 + (backend.slowness - 1.0) * (-age).exp()
    }

    /// Updates the service time of a backend, and the mean of all backends, with a load report.
    fn record_load_report(&mut self, backend: BackendId, report: Option<Report>) {
        let service_time = report.and_then(|r| r.service_time).filter(|s| *s > 0.0);
        if let (Some(&backend), Some(service_time)) = (self.backend_indices.get(&backend), service_time) {
            let known = self.backends[backend].service_time.get_or_insert(service_time);
            *known += SERVICE_TIME_EWMA_WEIGHT * (service_time - *known);
            let mean = if self.mean_service_time > 0.0 { self.mean_service_time } else { service_time };
            self.mean_service_time = mean + ANSWER_TIME_EWMA_WEIGHT * (service_time - mean);
        }
    }

    // ---- Backend list and subset ----

    /// Requests the closing of idle connections to a draining backend. Each attempt that ends there during
    /// the drain leaves another idle connection.
    fn close_idle_if_draining(&self, backend: usize, actions: &mut Vec<Action>) {
        let entry = &self.backends[backend].entry;
        if self.settings.connection_release_deadline.is_some() && entry.status == Status::Draining {
            actions.push(Action::CloseIdleConnections(entry.id));
        }
    }

    fn update_list(&mut self, update: ListUpdate<'_>, actions: &mut Vec<Action>) {
        match update {
            ListUpdate::Failed => {
                // Exponential backoff with jitter, since the source may be overloaded.
                let delay = self.list_backoff * (0.5 + self.rng.random::<f64>());
                self.list_backoff = (2.0 * self.list_backoff).min(self.settings.list_request_deadline);
                actions.push(Action::Timer { at: self.now + delay, token: LIST_TOKEN });
                return;
            }
            ListUpdate::Full(entries) | ListUpdate::Remembered(entries) => {
                self.backends.iter_mut().for_each(|b| b.entry.status = Status::Gone);
                entries.iter().for_each(|e| self.update_backend(e, actions));
            }
            ListUpdate::Changes(entries) => entries.iter().for_each(|e| self.update_backend(e, actions)),
        }
        self.list_backoff = self.settings.list_request_deadline / 10.0;
        self.rebuild_subset();
        self.remove_unreferenced_backends();
    }

    /// Removes backends that are gone and to which no attempt or open call refers, which bounds memory.
    fn remove_unreferenced_backends(&mut self) {
        for (i, b) in self.backends.iter().enumerate() {
            let is_unreferenced = b.entry.status == Status::Gone && b.in_flight == 0 && b.references == 0;
            if is_unreferenced && self.backend_indices.get(&b.entry.id) == Some(&i) {
                self.backend_indices.remove(&b.entry.id);
                self.vacant_indices.push(i);
            }
        }
    }

    fn update_backend(&mut self, entry: &BackendEntry, actions: &mut Vec<Action>) {
        let cold_budget = TokenBucket { tokens: -self.draw_turn_interval(), filled_at: self.now };
        let index = self.backend_indices.get(&entry.id).copied().unwrap_or_else(|| {
            let new = Backend {
                entry: entry.clone(),
                in_flight: 0,
                lost_attempts: 0,
                references: 0,
                slowness: 1.0,
                slowness_updated_at: self.now,
                last_failed_at: f64::NEG_INFINITY,
                last_answered_at: f64::NEG_INFINITY,
                last_answered_send: f64::NEG_INFINITY,
                last_alive_at: self.now,
                cold_budget,
                service_time: None,
                hint: (0.0, self.now),
            };
            let index = self.vacant_indices.pop().unwrap_or(self.backends.len());
            self.backend_indices.insert(entry.id, index);
            match self.backends.get_mut(index) {
                Some(vacant) => *vacant = new,
                None => self.backends.push(new),
            }
            index
        });
        let b = &mut self.backends[index];
        if b.entry.started != entry.started {
            (b.slowness, b.slowness_updated_at, b.cold_budget) = (1.0, self.now, cold_budget);
        }
        b.entry = entry.clone();
        self.close_idle_if_draining(index, actions);
    }

    /// Subset size: enough for all subsets together to cover all backends, and more for a balancer with more
    /// calls in flight, which Little's law gives as the send rate times the mean answer time.
    fn subset_size(&mut self) -> usize {
        if self.send_rate.duration > 0.5 * self.rate_time_constant {
            let members_per_call = MEMBERS_PER_CALL[usize::from(self.settings.costly_connections)];
            let members = members_per_call * self.send_rate.per_second() * self.answer_times.mean;
            self.busy_subset_size = self.busy_subset_size.max(members as usize);
        }
        self.min_subset_size().max(self.busy_subset_size)
    }

    /// Subset size at which the subsets of all balancers cover all backends, with a minimum per tier.
    fn min_subset_size(&self) -> usize {
        let min = if self.settings.tier == 0 { MIN_FIRST_TIER_SUBSET_SIZE } else { MIN_SUBSET_SIZE };
        min.max(self.in_service.len().div_ceil(self.settings.instance_count.max(1)))
    }

    /// Recomputes the backends in service and the subset, which keeps its members where possible. Where
    /// crossing zones has a cost, most members are in the balancer's zone and a few in others.
    fn rebuild_subset(&mut self) {
        let previous: Vec<usize> = std::mem::take(&mut self.in_service);
        let in_service = |b: &usize| self.backends[*b].entry.status == Status::InService;
        self.in_service = (0..self.backends.len()).filter(in_service).collect();
        self.in_service_by_scope.clear();
        for &b in &self.in_service {
            let entry = &self.backends[b].entry;
            self.in_service_by_scope.entry(Scope::Zone(entry.zone)).or_default().push(b);
            self.in_service_by_scope.entry(Scope::Cell(entry.cell)).or_default().push(b);
        }
        let (local, remote): (Vec<usize>, Vec<usize>) =
            self.in_service.iter().partition(|b| !self.is_remote(**b));
        let size = self.subset_size();
        let mut assigned = self.assign_members(local, self.min_subset_size(), size);
        assigned.extend(self.assign_members(
            remote,
            REMOTE_MEMBERS.max(self.min_subset_size() - REMOTE_MEMBERS),
            0,
        ));
        let size = assigned.len();
        let in_service = &self.in_service;
        self.subset.retain(|b| in_service.binary_search(b).is_ok());
        for &b in &assigned {
            let is_new = previous.binary_search(&b).is_err();
            if !self.subset.contains(&b) && (is_new || self.subset.len() < size) {
                self.subset.push(b);
            }
        }
        while self.subset.len() > size {
            let removed = self.subset.iter().position(|b| !assigned.contains(b)).unwrap_or(0);
            self.subset.remove(removed);
        }
    }

    /// Assigns this balancer its part of `backends`, which each round of balancers shares out in a shuffle of
    /// its own. Every backend is then in about as many subsets as any other, and none is left out.
    fn assign_members(&self, mut backends: Vec<usize>, min_size: usize, size: usize) -> Vec<usize> {
        let count = backends.len();
        let base = min_size.min(count);
        let subsets = count.div_ceil(base.max(1)).max(1);
        let (round, position) =
            (self.settings.instance_index / subsets, self.settings.instance_index % subsets);
        // The last round may have fewer balancers, whose parts are spread evenly.
        let in_round = subsets.min(self.settings.instance_count.saturating_sub(round * subsets)).max(1);
        let start = position * count / in_round;
        backends.sort_by_cached_key(|b| (hash_id(self.backends[*b].entry.id, round as u64), *b));
        (0..size.max(base).min(count)).map(|i| backends[(start + i) % count]).collect()
    }

    /// Whether sending to a backend crosses zones at a cost.
    fn is_remote(&self, backend: usize) -> bool {
        self.settings.cross_zone_cost > 0.0 && self.backends[backend].entry.zone != self.settings.zone
    }
}

/// Returns the token of a call's timer, which is never used for a later call.
fn timer_token(slot: Slot, kind: u64) -> u64 {
    1 + (slot.data().as_ffi() << 2 | kind)
}

/// Hashes a backend id, differently for each round (the finalizer of SplitMix64).
fn hash_id(id: BackendId, round: u64) -> u64 {
    let mut z = (u64::from(id.0) << 24 ^ round).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
