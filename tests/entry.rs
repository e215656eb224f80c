//! Admission under load from closed-loop clients: nothing waits while backends have free capacity, and the
//! oldest waiting request is admitted first.

use gannetproxy::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Time in nanoseconds, which gives events an exact order.
type Nanos = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(u64),
    Outcome(u64, u32, usize),
    Timer(u64),
}

/// A simulation of clients that each send a new request once the previous one is answered, and of backends
/// that serve `slots` requests at a time in `service_time` each.
struct ClosedLoop {
    balancer: Balancer,
    steps: BinaryHeap<Reverse<(Nanos, u64, Step)>>,
    step_count: u64,
    now: Nanos,
    arrived_at: HashMap<u64, Nanos>,
    attempts: HashMap<u64, usize>,
    request_count: u64,
    service_time: Nanos,
    slots: usize,
    /// When each slot of each backend is free again.
    slots_free_at: HashMap<u32, Vec<Nanos>>,
    answer_times: Vec<f64>,
    rejected: u64,
    /// Requests in the order of their first sends.
    first_sends: Vec<u64>,
    /// Requests that were not sent on arrival.
    queued: Vec<u64>,
}

impl ClosedLoop {
    /// Clients start after 30 seconds without requests.
    fn new(settings: Settings, clients: u64, backends: u32, service_time: f64, slots: usize) -> Self {
        let mut balancer = Balancer::new(0.0, 7, settings);
        let list: Vec<BackendEntry> =
            (0..backends).map(|i| BackendEntry { id: BackendId(i), ..BackendEntry::default() }).collect();
        balancer.handle(0.0, Event::List(ListUpdate::Remembered(&list)), &mut Vec::new());
        let mut simulation = Self {
            balancer,
            steps: BinaryHeap::new(),
            step_count: 0,
            now: 0,
            arrived_at: HashMap::new(),
            attempts: HashMap::new(),
            request_count: 0,
            service_time: (service_time * 1e9) as Nanos,
            slots,
            slots_free_at: HashMap::new(),
            answer_times: Vec::new(),
            rejected: 0,
            first_sends: Vec::new(),
            queued: Vec::new(),
        };
        for client in 0..clients {
            simulation.schedule(30_000_000_000 + 1000 * client, Step::Arrive(client));
        }
        simulation
    }

    fn schedule(&mut self, at: Nanos, step: Step) {
        self.step_count += 1;
        self.steps.push(Reverse((at, self.step_count, step)));
    }

    fn run_until(&mut self, until: f64) {
        while let Some(Reverse((at, _, step))) = self.steps.pop() {
            if at as f64 / 1e9 > until {
                return;
            }
            self.now = at;
            let now = at as f64 / 1e9;
            let mut actions = Vec::new();
            match step {
                Step::Arrive(_) => {
                    self.request_count += 1;
                    let id = RequestId(self.request_count);
                    self.arrived_at.insert(id.0, at);
                    let request = Request { id, budget: 20.0, ..Request::default() };
                    self.balancer.handle(now, Event::Request(request), &mut actions);
                    let is_own = |a: &Action| match a {
                        Action::Send { id: i, .. } | Action::Reject { id: i, .. } => *i == id,
                        _ => false,
                    };
                    if !actions.iter().any(is_own) {
                        self.queued.push(id.0);
                    }
                }
                Step::Timer(token) => self.balancer.handle(now, Event::Timer(token), &mut actions),
                Step::Outcome(id, backend, attempt) => {
                    let is_final = self.arrived_at.contains_key(&id);
                    self.record_answer(id);
                    let result = AttemptResult {
                        id: RequestId(id),
                        backend: BackendId(backend),
                        attempt,
                        outcome: Outcome::Served,
                        duration: self.service_time as f64 / 1e9,
                        is_final,
                        report: None,
                    };
                    self.balancer.handle(now, Event::Outcome(result), &mut actions);
                }
            }
            for action in actions {
                self.handle_action(action);
            }
        }
    }

    fn handle_action(&mut self, action: Action) {
        match action {
            Action::Send { id, backend, .. } => {
                let attempt = self.attempts.entry(id.0).or_default();
                if *attempt == 0 {
                    self.first_sends.push(id.0);
                }
                let attempt_number = *attempt;
                *attempt += 1;
                let free_at = self.slots_free_at.entry(backend.0).or_insert_with(|| vec![0; self.slots]);
                let (now, service_time) = (self.now, self.service_time);
                let slot = free_at.iter_mut().min().expect("at least one slot");
                *slot = (*slot).max(now) + service_time;
                let done_at = *slot;
                self.schedule(done_at, Step::Outcome(id.0, backend.0, attempt_number));
            }
            Action::Reject { id, .. } | Action::Fail { id } => {
                self.rejected += 1;
                self.record_answer(id.0);
            }
            Action::Timer { at, token } => {
                self.schedule(((at * 1e9) as Nanos).max(self.now), Step::Timer(token))
            }
            _ => {}
        }
    }

    fn record_answer(&mut self, id: u64) {
        if let Some(arrived_at) = self.arrived_at.remove(&id) {
            self.answer_times.push((self.now - arrived_at) as f64 / 1e9);
            self.schedule(self.now + 1000, Step::Arrive(0));
        }
    }

    fn longest_wait(&self) -> f64 {
        self.answer_times
            .iter()
            .copied()
            .chain(self.arrived_at.values().map(|a| (self.now - a) as f64 / 1e9))
            .fold(0.0, f64::max)
    }
}

fn one_class() -> Settings {
    let class = Class { aim: 20.0, deadline: 20.0, ..Class::default() };
    Settings { classes: vec![class], max_retry_after: 1.0, ..Settings::default() }
}

#[test]
fn nothing_waits_while_backends_have_free_capacity() {
    // A step from no load to full load is not an overload, although the average rate follows slowly.
    for clients in [8, 32, 64, 200] {
        let mut simulation = ClosedLoop::new(one_class(), clients, 3, 0.0025, 1000);
        simulation.run_until(35.0);
        let (longest, answered) = (simulation.longest_wait(), simulation.answer_times.len());
        println!("{clients}: {answered} answered, {} rejected, longest {longest} s", simulation.rejected);
        assert!(longest < 0.05, "{clients}: {longest}");
        assert_eq!(simulation.rejected, 0);
        assert!(answered as f64 > 0.9 * clients as f64 * 5.0 / 0.0025, "{answered}");
    }
}

#[test]
fn oldest_waiting_request_is_admitted_first() {
    // With one slot per backend, most requests have to wait for admission.
    let mut simulation = ClosedLoop::new(one_class(), 60, 3, 0.05, 1);
    simulation.run_until(60.0);
    // Requests that arrive without pressure are sent at once; the others are sent in the order of arrival.
    let queued: Vec<u64> = simulation.queued.clone();
    assert!(queued.len() > 100, "{} were queued", queued.len());
    let sent: Vec<u64> = simulation.first_sends.iter().copied().filter(|id| queued.contains(id)).collect();
    assert!(sent.len() > 50, "{} of {} were sent", sent.len(), queued.len());
    assert!(sent.is_sorted(), "a request overtook an older one");
}

#[test]
fn cold_members_do_not_hide_an_overload() {
    // Cold members get few calls and have short answer times. Overloaded warm members must not count as
    // outliers next to them, because the calls of outliers don't indicate an overload.
    let queue_length = |cold_backends: u32| {
        let settings = Settings {
            cold_duration: 1000.0,
            cold_capacity_fraction: 0.01,
            overload_multiple: 3.0,
            ..one_class()
        };
        let mut simulation = ClosedLoop::new(settings, 100, 3, 0.2, 1);
        let started = |i| (i >= 3).then_some(30.0);
        let list: Vec<BackendEntry> = (0..3 + cold_backends)
            .map(|i| BackendEntry { id: BackendId(i), started: started(i), ..BackendEntry::default() })
            .collect();
        simulation.balancer.handle(30.0, Event::List(ListUpdate::Full(&list)), &mut Vec::new());
        simulation.run_until(80.0);
        let queues = (0..3).map(|warm| {
            simulation.slots_free_at[&warm][0].saturating_sub(simulation.now) / simulation.service_time
        });
        queues.sum::<u64>()
    };
    let (alone, with_cold) = (queue_length(0), queue_length(2));
    println!("queued at warm backends: {alone} alone, {with_cold} beside cold ones");
    assert!(alone < 40, "{alone}");
    assert!(with_cold < 40, "{with_cold}");
}
