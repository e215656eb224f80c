//! Makes every decision of the balancer; its input and output types are in `interface.rs`.
//! The state and the dispatch of events are here, and the decisions in one module for each job.
//!
//! Repeats follow Hong, Huang and Yan, "Controlling Retransmission Rate For Mitigating SIP Overload": when
//! one of a call's doubling timers fires and the call is unanswered or failed, it is sent again with
//! probability p. p falls from 1 as the number of unanswered calls rises from the lower threshold, the
//! average send rate times T1, to the upper one. By Little's law, p thus compares the mean wait with T1.

mod admission;
mod calls;
mod cold_start;
mod estimates;
mod membership;
mod outcomes;
mod pressure;
mod repeats;
mod selection;
mod slowness;

use crate::interface::{Action, BackendEntry, BackendId, Event, RequestId, Settings, Status, Time};
use admission::QUOTA_BURST;
use calls::{Call, KeyQueue, Scope};
use estimates::{AnswerTimes, DecayingRate, TokenBucket};
use membership::LIST_TOKEN;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use repeats::MAX_T1_FRACTION;
use slotmap::{DefaultKey as Slot, SlotMap};
use std::collections::HashMap;

/// Time constant of the average send rate, in maximum T1s of the class with the longest aim.
const SEND_RATE_TIME_CONSTANT_T1S: f64 = 20.0;

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
}
