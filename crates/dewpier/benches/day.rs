//! Compares forwarders with and without planners on simulated days in virtual time: ten forwarders with the decision
//! module, 24 nodes that queue requests, start cold and crash on overload, a rolling release, nodes that crash, and
//! peaks in traffic. Without planners each forwarder reads membership itself, 0.5 s to 4 s late. With planners the
//! first of three that reads a change announces it to all forwarders, and budgets for cold nodes are set from the
//! forwarders' digests. The days of one seed differ in nothing else.
//!
//! Prints the mean and its standard error over all seeds of: the fraction of requests served in time, the requests
//! sent to a node 0.5 s or more after it began to stop, and the cold nodes that crashed. The benchmark has no limits.
//!
//! `cargo bench --bench day` runs 20 seeds in a few minutes; DAY_SEEDS sets their number, DAY_SEED the first seed.

#[path = "../tests/levels/forwarder.rs"]
#[allow(dead_code)]
mod forwarder;
#[path = "../tests/levels/planner.rs"]
#[allow(dead_code)]
mod planner;

use dewpier_plan::{DrainBound, Node, Plan, PlannerMessage, Slice, Version};
use dewpier_standins::rng::Rng;
use forwarder::{Attempt, Forwarder, OpenRequest};
use gannetproxy::{Action, AttemptResult, Class, Effect, Event, Outcome, Request, RequestId, Settings};
use planner::Planner;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

/// Microseconds in a millisecond; the simulation counts time in microseconds.
const MS: u64 = 1000;
const SECOND: u64 = 1000 * MS;
const DAY: u64 = 120 * SECOND;
const FORWARDERS: usize = 10;
const PLANNERS: usize = 3;
const NODES: usize = 24;
/// The number of nodes that a forwarder with a slice uses.
const SLICE_SIZE: usize = 12;
/// The mean time that a node of speed 1 needs for a request, in seconds.
const WORK_SECONDS: f64 = 0.04;
/// The request rate, as a fraction of the capacity of all nodes.
const LOAD_FRACTION: f64 = 0.6;
const AIM_SECONDS: f64 = 0.5;
const DEADLINE_SECONDS: f64 = 1.5;
const COLD_SECONDS: f64 = 24.0;
const COLD_CAPACITY_FRACTION: f64 = 0.12;
const OVERLOAD_MULTIPLE: f64 = 3.0;
/// How long an overload lasts before a node crashes, in microseconds.
const OVERLOAD_DURATION: u64 = 2 * SECOND;
/// The one-way delay between a forwarder and a node, in microseconds.
const NETWORK_DELAY: u64 = 300;

/// Where forwarders get their node lists from. The names of the variants are printed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ListSource {
    Alone,
    Planned,
    Parts,
}

#[derive(Clone, Copy, PartialEq)]
enum NodeStatus {
    Serving,
    Draining,
    Gone,
}

/// A queued event of the simulation.
enum SimulationEvent {
    /// A client sends a request to a forwarder.
    RequestArrival(usize),
    /// A forwarder and its timer's token.
    Timer(usize, u64),
    /// An attempt arrives at a node: forwarder, request, attempt, node.
    AttemptArrival(usize, u64, usize, usize),
    /// A node completes the job that started as its given round.
    JobDone(usize, u32),
    /// An attempt ends at a forwarder: forwarder, request, attempt, outcome.
    AttemptEnd(usize, u64, usize, Outcome),
    /// The client of a forwarder's request gives up.
    ClientTimeout(usize, u64),
    /// A node changes its status.
    StatusChange(usize, NodeStatus),
    /// A forwarder or a planner reads the membership state of the given index.
    MembershipRead(usize, usize),
    /// A forwarder sends its digest.
    Digest(usize),
    /// The request rate changes by a factor.
    RateChange(f64),
}

struct Job {
    forwarder: usize,
    request: u64,
    attempt: usize,
    work: f64,
}

struct Server {
    speed: f64,
    status: NodeStatus,
    started_at: u64,
    /// When the node began to stop.
    stopped_at: u64,
    /// Whether the node has restarted since the day began.
    has_restarted: bool,
    queue: VecDeque<Job>,
    current: Option<Job>,
    /// Counts started jobs and crashes, to ignore the end of a job that was lost in a crash.
    round: u32,
    arrivals: VecDeque<u64>,
}

impl Server {
    /// The fraction of its full speed that the node has at `now`.
    fn speed_fraction(&self, now: u64) -> f64 {
        let age = (now - self.started_at) as f64 / 1e6 / COLD_SECONDS;
        if self.has_restarted {
            (COLD_CAPACITY_FRACTION + (1.0 - COLD_CAPACITY_FRACTION) * age).min(1.0)
        } else {
            1.0
        }
    }
}

/// Counts of one simulated day.
#[derive(Default)]
struct Day {
    requests: f64,
    served_in_time: f64,
    late_sends: f64,
    crashed_cold_nodes: f64,
}

struct Simulation {
    list_source: ListSource,
    rng: Rng,
    now: u64,
    event_count: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, SimulationEvent>,
    servers: Vec<Server>,
    /// All membership states, the current one last.
    membership: Vec<[NodeStatus; NODES]>,
    /// Index of the latest membership state read by each forwarder, or by the planners at index 0.
    read_states: Vec<usize>,
    forwarders: Vec<Forwarder>,
    /// Represents all three planners: it reads a change when the first of them does.
    planner: Planner,
    rate: f64,
    day: Day,
}

fn settings(instance_index: usize) -> Settings {
    let class = |effect| Class { aim: AIM_SECONDS, deadline: DEADLINE_SECONDS, effect, ..Class::default() };
    Settings {
        classes: vec![class(Effect::Safe), class(Effect::Unsafe)],
        instance_count: FORWARDERS,
        instance_index,
        max_attempts: 3,
        cold_duration: COLD_SECONDS,
        cold_capacity_fraction: COLD_CAPACITY_FRACTION,
        overload_multiple: OVERLOAD_MULTIPLE,
        overload_duration: OVERLOAD_DURATION as f64 / 1e6,
        ..Settings::default()
    }
}

/// Draws a number from 0 up to but not including 1.
fn draw_unit(rng: &mut Rng) -> f64 {
    rng.below(1 << 20) as f64 / (1 << 20) as f64
}

impl Simulation {
    /// Draws all changes of nodes and traffic first, so that they are the same in all modes.
    fn new(seed: u64, list_source: ListSource) -> Self {
        let mut rng = Rng::new(seed);
        let speeds: Vec<f64> = (0..NODES).map(|_| 0.7 + 1.3 * draw_unit(&mut rng)).collect();
        let rate = LOAD_FRACTION * speeds.iter().sum::<f64>() / WORK_SECONDS;
        let server = |speed: &f64| Server {
            speed: *speed,
            status: NodeStatus::Serving,
            started_at: 0,
            stopped_at: 0,
            has_restarted: false,
            queue: VecDeque::new(),
            current: None,
            round: 0,
            arrivals: VecDeque::new(),
        };
        let slice =
            |f: usize| (list_source == ListSource::Parts).then(|| Slice::new(&format!("f{f}"), SLICE_SIZE));
        let forwarder = |f: usize| {
            let mut forwarder =
                Forwarder::new(0, seed ^ f as u64, settings(f), slice(f), DrainBound::default());
            forwarder.lease_end = None;
            forwarder
        };
        let mut simulation = Self {
            list_source,
            now: 0,
            event_count: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            servers: speeds.iter().map(server).collect(),
            membership: vec![[NodeStatus::Serving; NODES]],
            read_states: vec![0; FORWARDERS.max(PLANNERS)],
            forwarders: (0..FORWARDERS).map(forwarder).collect(),
            planner: Planner::new(0, 1, Duration::from_millis(400)),
            rate,
            day: Day::default(),
            rng: Rng::new(seed),
        };
        // A release restarts half of the nodes one after the other; four more nodes crash.
        let mut script = Vec::new();
        for i in 0..NODES / 2 {
            let at = (5 + 8 * i as u64) * SECOND;
            script.push((at, SimulationEvent::StatusChange(2 * i, NodeStatus::Draining)));
            script.push((at + 5 * SECOND, SimulationEvent::StatusChange(2 * i, NodeStatus::Gone)));
            script.push((at + 7 * SECOND, SimulationEvent::StatusChange(2 * i, NodeStatus::Serving)));
        }
        for i in 0..4 {
            let at = 10 * SECOND + rng.below(90 * SECOND as usize) as u64;
            script.push((at, SimulationEvent::StatusChange(6 * i + 1, NodeStatus::Gone)));
            script.push((at + 12 * SECOND, SimulationEvent::StatusChange(6 * i + 1, NodeStatus::Serving)));
        }
        for _ in 0..3 {
            let at = rng.below(110 * SECOND as usize) as u64;
            script.push((at, SimulationEvent::RateChange(1.4)));
            script.push((at + 5 * SECOND, SimulationEvent::RateChange(1.0 / 1.4)));
        }
        script.into_iter().for_each(|(at, event)| simulation.schedule(at, event));
        let mut actions = Vec::new();
        let nodes = simulation.nodes(0);
        simulation.planner.announcer.observe(nodes.clone());
        match list_source {
            ListSource::Alone => {
                (0..FORWARDERS).for_each(|f| simulation.forwarders[f].apply_nodes(0, &nodes, &mut actions))
            }
            ListSource::Planned | ListSource::Parts => {
                for f in 0..FORWARDERS {
                    let (sent_plan, _) =
                        simulation.planner.publisher.start_follower(slice(f), None, Duration::ZERO);
                    simulation.planner.sent_plans.insert(f, sent_plan);
                    simulation.schedule(f as u64 * 100 * MS, SimulationEvent::Digest(f));
                }
                simulation.publish(Vec::new());
            }
        }
        (0..FORWARDERS).for_each(|f| simulation.schedule(0, SimulationEvent::RequestArrival(f)));
        simulation
    }

    /// Runs the day to its end.
    fn run(mut self) -> Day {
        while let Some(Reverse((at, index))) = self.queue.pop() {
            if at > DAY + 3 * SECOND {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&index) {
                self.step(event);
            }
        }
        self.day
    }

    fn schedule(&mut self, at: u64, event: SimulationEvent) {
        self.event_count += 1;
        self.events.insert(self.event_count, event);
        self.queue.push(Reverse((at, self.event_count)));
    }

    /// The node list of a membership state.
    fn nodes(&self, state: usize) -> Vec<Node> {
        let node = |(i, status): (usize, &NodeStatus)| Node {
            id: format!("n{i:02}"),
            address: ([10, 0, 0, 1], 1000 + i as u16).into(),
            zone: String::new(),
            cell: 0,
            weight: 1.0,
            draining: *status == NodeStatus::Draining,
            age_ms: None,
        };
        self.membership[state]
            .iter()
            .enumerate()
            .filter(|(_, status)| **status != NodeStatus::Gone)
            .map(node)
            .collect()
    }

    fn step(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::RequestArrival(f) => self.receive_request(f),
            SimulationEvent::Timer(f, token) => self.handle_event(f, Event::Timer(token)),
            SimulationEvent::AttemptArrival(f, request, attempt, node) => {
                self.receive_attempt(f, request, attempt, node)
            }
            SimulationEvent::JobDone(node, round) => self.complete_job(node, round),
            SimulationEvent::AttemptEnd(f, request, attempt, outcome) => {
                self.end_attempt(f, request, attempt, outcome)
            }
            SimulationEvent::ClientTimeout(f, request) => {
                let open = self.forwarders[f].open_requests.get_mut(&request).expect("the request is known");
                if open.answer_count == 0 {
                    open.answer_count += 1;
                    self.handle_event(f, Event::ClientDisconnected(RequestId(request)));
                }
            }
            SimulationEvent::StatusChange(node, status) => self.change_status(node, status),
            SimulationEvent::MembershipRead(reader, state) => self.read_membership(reader, state),
            SimulationEvent::Digest(f) => {
                let now = Duration::from_micros(self.now);
                let digest = self.forwarders[f].take_digest(SECOND);
                self.planner.loads.record_digest(f as u64, digest, now);
                if let Some(message) = self.planner.budgets(f as u64, now) {
                    self.forwarders[f].follower.receive(0, message);
                    let mut actions = Vec::new();
                    self.forwarders[f].apply_budgets(self.now, &mut actions);
                    self.perform(f, actions);
                }
                self.schedule(self.now + SECOND, SimulationEvent::Digest(f));
            }
            SimulationEvent::RateChange(factor) => self.rate *= factor,
        }
    }

    /// Changes the status of a node and schedules the reads of the new membership state.
    fn change_status(&mut self, node: usize, status: NodeStatus) {
        let server = &mut self.servers[node];
        if status == server.status {
            return;
        }
        if server.status == NodeStatus::Serving {
            server.stopped_at = self.now;
        }
        server.status = status;
        if status == NodeStatus::Gone {
            self.crash(node);
        } else if status == NodeStatus::Serving {
            let server = &mut self.servers[node];
            (server.started_at, server.has_restarted) = (self.now, true);
            server.arrivals.clear();
        }
        let mut state = self.membership[self.membership.len() - 1];
        state[node] = status;
        self.membership.push(state);
        let last = self.membership.len() - 1;
        for reader in 0..if self.list_source == ListSource::Alone { FORWARDERS } else { PLANNERS } {
            let delay = 500 * MS + self.rng.below(3500 * MS as usize) as u64;
            self.schedule(self.now + delay, SimulationEvent::MembershipRead(reader, last));
        }
    }

    /// Crashes a node: its current and queued jobs end without an answer.
    fn crash(&mut self, node: usize) {
        let server = &mut self.servers[node];
        server.round += 1;
        let lost: Vec<Job> = server.queue.drain(..).chain(server.current.take()).collect();
        for job in lost {
            self.schedule(
                self.now + NETWORK_DELAY,
                SimulationEvent::AttemptEnd(job.forwarder, job.request, job.attempt, Outcome::Reset),
            );
        }
    }

    fn read_membership(&mut self, reader: usize, state: usize) {
        if self.list_source == ListSource::Alone {
            if state <= self.read_states[reader] {
                return;
            }
            self.read_states[reader] = state;
            let nodes = self.nodes(state);
            let mut actions = Vec::new();
            self.forwarders[reader].apply_nodes(self.now, &nodes, &mut actions);
            self.perform(reader, actions);
        } else if state > self.read_states[0] {
            self.read_states[0] = state;
            let nodes = self.nodes(state);
            let drains = self.planner.announcer.observe(nodes);
            self.publish(drains);
        }
    }

    /// Sends drains and the plan that follows to all forwarders. Network delays are left out, as they are far below the
    /// delays of membership reads.
    fn publish(&mut self, drains: Vec<PlannerMessage>) {
        let now = Duration::from_micros(self.now);
        self.planner.highest_term += 1;
        let version = Version { term: 1, generation: self.planner.highest_term };
        let (nodes, acknowledged) =
            (self.planner.announcer.view().to_vec(), vec![(0, self.planner.announcer.version())]);
        let mut messages = self.planner.publisher.add_drains(drains);
        messages.extend(self.planner.publisher.publish(Plan { version, nodes, acknowledged }, now));
        for f in 0..FORWARDERS {
            let Planner { publisher, sent_plans, .. } = &mut self.planner;
            let sent_plan = sent_plans.get_mut(&f).expect("each forwarder was started");
            let updates: Vec<PlannerMessage> =
                messages.iter().filter_map(|m| publisher.message_for(sent_plan, m, now)).collect();
            let forwarder = &mut self.forwarders[f];
            updates.into_iter().for_each(|update| drop(forwarder.follower.receive(0, update)));
            let nodes = forwarder.follower.nodes();
            let mut actions = Vec::new();
            forwarder.apply_nodes(self.now, &nodes, &mut actions);
            self.perform(f, actions);
        }
    }

    fn receive_request(&mut self, f: usize) {
        if self.now >= DAY {
            return;
        }
        self.day.requests += 1.0;
        let class = usize::from(self.rng.below(4) == 0);
        let forwarder = &mut self.forwarders[f];
        forwarder.request_count += 1;
        let request = forwarder.request_count;
        forwarder
            .open_requests
            .insert(request, OpenRequest { is_unsafe: class == 1, answer_count: 0, attempts: Vec::new() });
        self.schedule(self.now + (DEADLINE_SECONDS * 1e6) as u64, SimulationEvent::ClientTimeout(f, request));
        let decision_request =
            Request { id: RequestId(request), class, tenant: None, key: None, budget: DEADLINE_SECONDS };
        self.handle_event(f, Event::Request(decision_request));
        let wait = -(1.0 - draw_unit(&mut self.rng)).ln() * FORWARDERS as f64 / self.rate;
        self.schedule(self.now + (wait * 1e6) as u64 + 1, SimulationEvent::RequestArrival(f));
    }

    /// Passes an event to a forwarder's decision module and performs its actions.
    fn handle_event(&mut self, f: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        self.forwarders[f].handle_event(self.now, event, &mut actions);
        self.perform(f, actions);
    }

    /// Performs the actions of a forwarder's decision module.
    fn perform(&mut self, f: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, backend, timeout, .. } => {
                    let forwarder = &mut self.forwarders[f];
                    let node = forwarder.tracker.node_names().get(&backend).and_then(|n| n[1..].parse().ok());
                    let open = forwarder.open_requests.get_mut(&id.0).expect("the request is known");
                    let attempt = open.attempts.len();
                    open.attempts.push(Attempt {
                        backend,
                        sent_at: self.now,
                        has_ended: false,
                        is_written: true,
                    });
                    forwarder.counts.entry(backend).or_default().sent += 1;
                    match node {
                        Some(node) => self.schedule(
                            self.now + NETWORK_DELAY,
                            SimulationEvent::AttemptArrival(f, id.0, attempt, node),
                        ),
                        None => self.schedule(
                            self.now,
                            SimulationEvent::AttemptEnd(f, id.0, attempt, Outcome::NoConnection),
                        ),
                    }
                    if timeout > 0.0 {
                        let timed_out = SimulationEvent::AttemptEnd(f, id.0, attempt, Outcome::Timeout);
                        self.schedule(self.now + (timeout * 1e6) as u64, timed_out);
                    }
                }
                Action::Cancel { id, attempt } => self.end_attempt(f, id.0, attempt, Outcome::Cancelled),
                Action::Reject { id, .. } | Action::Fail { id } => {
                    self.forwarders[f]
                        .open_requests
                        .get_mut(&id.0)
                        .expect("the request is known")
                        .answer_count += 1;
                }
                Action::Timer { at, token } => {
                    let at = ((at * 1e6) as u64).max(self.now) + 1;
                    self.schedule(at, SimulationEvent::Timer(f, token));
                }
                Action::Probe(backend) => {
                    self.handle_event(f, Event::Probed { backend, outcome: Outcome::Served, report: None });
                }
                Action::CloseIdleConnections(_) | Action::Watch(_) | Action::Fetch | Action::Log(_) => {}
            }
        }
    }

    fn receive_attempt(&mut self, f: usize, request: u64, attempt: usize, node: usize) {
        let end_with = |outcome| SimulationEvent::AttemptEnd(f, request, attempt, outcome);
        let work = -(1.0 - draw_unit(&mut self.rng)).ln() * WORK_SECONDS;
        let server = &mut self.servers[node];
        if server.status != NodeStatus::Serving && self.now > server.stopped_at + 500 * MS {
            self.day.late_sends += 1.0;
        }
        if server.status == NodeStatus::Gone {
            return self.schedule(self.now + NETWORK_DELAY, end_with(Outcome::NoConnection));
        }
        server.arrivals.push_back(self.now);
        while server.arrivals.front().is_some_and(|at| *at + OVERLOAD_DURATION < self.now) {
            server.arrivals.pop_front();
        }
        let capacity =
            server.speed * server.speed_fraction(self.now) / WORK_SECONDS * OVERLOAD_DURATION as f64 / 1e6;
        // A few requests never overload a node.
        if server.has_restarted && server.arrivals.len() as f64 > (OVERLOAD_MULTIPLE * capacity).max(12.0) {
            self.day.crashed_cold_nodes += 1.0;
            self.change_status(node, NodeStatus::Gone);
            self.schedule(self.now + 12 * SECOND, SimulationEvent::StatusChange(node, NodeStatus::Serving));
            return self.schedule(self.now + NETWORK_DELAY, end_with(Outcome::Reset));
        }
        server.queue.push_back(Job { forwarder: f, request, attempt, work });
        self.start_next_job(node);
    }

    fn start_next_job(&mut self, node: usize) {
        let server = &mut self.servers[node];
        while server.current.is_none() {
            let Some(job) = server.queue.pop_front() else { return };
            // Cancelled attempts are skipped.
            if self.forwarders[job.forwarder].open_requests[&job.request].attempts[job.attempt].has_ended {
                continue;
            }
            server.round += 1;
            let duration = (job.work / server.speed / server.speed_fraction(self.now) * 1e6) as u64;
            let job_done = SimulationEvent::JobDone(node, server.round);
            server.current = Some(job);
            return self.schedule(self.now + duration.max(1), job_done);
        }
    }

    fn complete_job(&mut self, node: usize, round: u32) {
        if self.servers[node].round != round {
            return;
        }
        if let Some(job) = self.servers[node].current.take() {
            self.schedule(
                self.now + NETWORK_DELAY,
                SimulationEvent::AttemptEnd(job.forwarder, job.request, job.attempt, Outcome::Served),
            );
        }
        self.start_next_job(node);
    }

    fn end_attempt(&mut self, f: usize, request: u64, attempt: usize, outcome: Outcome) {
        let forwarder = &mut self.forwarders[f];
        let open = forwarder.open_requests.get_mut(&request).expect("the request is known");
        let attempt_state = &mut open.attempts[attempt];
        if std::mem::replace(&mut attempt_state.has_ended, true) {
            return;
        }
        let (backend, duration) = (attempt_state.backend, (self.now - attempt_state.sent_at) as f64 / 1e6);
        if outcome == Outcome::Served {
            forwarder.counts.entry(backend).or_default().served += 1;
            if open.answer_count == 0 {
                open.answer_count += 1;
                let first_sent_at = open.attempts[0].sent_at;
                self.day.served_in_time +=
                    f64::from(u8::from(self.now - first_sent_at <= (AIM_SECONDS * 1e6) as u64));
            }
        }
        let is_final = open.answer_count > 0;
        let result = AttemptResult {
            id: RequestId(request),
            backend,
            attempt,
            outcome,
            duration,
            is_final,
            report: None,
        };
        self.handle_event(f, Event::Outcome(result));
    }
}

/// Returns the mean of the values and its standard error.
fn mean_and_error(values: &[f64]) -> (f64, f64) {
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n;
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
    (mean, (variance / n).sqrt())
}

fn main() {
    let variable =
        |name: &str, default: usize| std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default);
    let seeds = variable("DAY_SEEDS", 20);
    let first = variable("DAY_SEED", 1) as u64;
    println!(
        "{seeds} days from seed {first}: {FORWARDERS} forwarders, {NODES} nodes, at {LOAD_FRACTION} of their capacity"
    );
    let run = |list_source: ListSource| -> Vec<Day> {
        (0..seeds as u64).map(|n| Simulation::new(first + n, list_source).run()).collect()
    };
    let days_by_mode = [ListSource::Alone, ListSource::Planned, ListSource::Parts]
        .map(|list_source| (list_source, run(list_source)));
    type Measure = (&'static str, fn(&Day) -> f64);
    let measures: [Measure; 3] = [
        ("served in time", |d| d.served_in_time / d.requests),
        ("sent to stopping nodes, per 1,000 requests", |d| 1000.0 * d.late_sends / d.requests),
        ("cold nodes that crashed", |d| d.crashed_cold_nodes),
    ];
    for (name, measure) in measures {
        println!("{name}");
        let baseline: Vec<f64> = days_by_mode[0].1.iter().map(measure).collect();
        for (list_source, days) in &days_by_mode {
            let values: Vec<f64> = days.iter().map(measure).collect();
            let differences: Vec<f64> = values.iter().zip(&baseline).map(|(v, b)| v - b).collect();
            let ((mean, error), (difference, difference_error)) =
                (mean_and_error(&values), mean_and_error(&differences));
            println!(
                "  {:<8} {mean:>8.4} +- {error:.4}   against alone {difference:>+8.4} +- {difference_error:.4}",
                format!("{list_source:?}")
            );
        }
    }
}
