//! Service on the same simulated day with planners against without: ten forwarders with the decision module,
//! 24 nodes that queue, start cold and fall over where they are overdriven, a rolling release, nodes that
//! die unannounced, and jumps in traffic; in virtual time. Without planners each forwarder hears of membership
//! by itself, half a second to four late; with them the first of three that hears tells all, and what cold
//! nodes may be sent is dealt out by the forwarders' digests. Days of one seed are the same but for that.
//!
//! Prints, over all seeds, the mean and its standard error of: the part of requests served in the time that
//! they want; requests that went to a node half a second and more after it had begun to stop; cold nodes
//! that fell over. Never a verdict.
//!
//! `cargo bench --bench day` plays 20 seeds in some minutes; DAY_SEEDS says otherwise, DAY_SEED is the first.

#[path = "../tests/levels/forwarder.rs"]
#[allow(dead_code)]
mod forwarder;
#[path = "../tests/levels/planner.rs"]
#[allow(dead_code)]
mod planner;

use dewpier_plan::{DrainBound, Node, Plan, PlannerMessage, Slice, Version};
use dewpier_standins::rng::Rng;
use forwarder::{Attempt, Forwarder, Open};
use gannetproxy::{Action, AttemptResult, Class, Effect, Event, Outcome, Request, RequestId, Settings};
use planner::Planner;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

const MS: u64 = 1000;
const SECOND: u64 = 1000 * MS;
const DAY: u64 = 120 * SECOND;
const FORWARDERS: usize = 10;
const PLANNERS: usize = 3;
const NODES: usize = 24;
/// Nodes of a part, where forwarders use one.
const PART: usize = 12;
/// What a request costs a node of speed 1, in seconds, and how much of what all can do is asked for.
const WORK: f64 = 0.04;
const LOAD: f64 = 0.6;
const AIM: f64 = 0.5;
const DEADLINE: f64 = 1.5;
const COLD: f64 = 24.0;
const COLD_SHARE: f64 = 0.12;
const FALL: f64 = 3.0;
const TIP: u64 = 2 * SECOND;
/// On the way to a node, and back.
const WAY: u64 = 300;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Alone,
    Planned,
    Parts,
}

#[derive(Clone, Copy, PartialEq)]
enum Is {
    Serving,
    Draining,
    Gone,
}

enum What {
    Arrive(usize),
    Timer(usize, u64),
    Reach(usize, u64, usize, usize),
    Worked(usize, u32),
    Ended(usize, u64, usize, Outcome),
    Patience(usize, u64),
    Becomes(usize, Is),
    /// A forwarder or a planner hears of the states of membership up to that one.
    Hears(usize, usize),
    Digest(usize),
    Jump(f64),
}

struct Job {
    forwarder: usize,
    request: u64,
    attempt: usize,
    work: f64,
}

struct Server {
    speed: f64,
    is: Is,
    since: u64,
    /// When it began to stop.
    stops: u64,
    /// Started anew since the day began.
    cold: bool,
    queue: VecDeque<Job>,
    busy: Option<Job>,
    /// Which of its works is under way: what was begun before it died ends nothing.
    round: u32,
    arrivals: VecDeque<u64>,
}

impl Server {
    /// The part of its speed that it has.
    fn warmth(&self, now: u64) -> f64 {
        let age = (now - self.since) as f64 / 1e6 / COLD;
        if self.cold { (COLD_SHARE + (1.0 - COLD_SHARE) * age).min(1.0) } else { 1.0 }
    }
}

#[derive(Default)]
struct Day {
    asked: f64,
    served: f64,
    late: f64,
    fallen: f64,
}

struct World {
    way: Way,
    rng: Rng,
    now: u64,
    count: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    whats: HashMap<u64, What>,
    servers: Vec<Server>,
    truth: Vec<[Is; NODES]>,
    heard: Vec<usize>,
    forwarders: Vec<Forwarder>,
    /// The first planner that hears stands for all three.
    planner: Planner,
    rate: f64,
    day: Day,
}

fn settings(me: usize) -> Settings {
    let class = |effect| Class { aim: AIM, deadline: DEADLINE, effect, ..Class::default() };
    Settings {
        classes: vec![class(Effect::Safe), class(Effect::Unsafe)],
        instance_count: FORWARDERS,
        instance_index: me,
        max_attempts: 3,
        cold_duration: COLD,
        cold_capacity_fraction: COLD_SHARE,
        overload_multiple: FALL,
        overload_duration: TIP as f64 / 1e6,
        ..Settings::default()
    }
}

fn unit(rng: &mut Rng) -> f64 {
    rng.below(1 << 20) as f64 / (1 << 20) as f64
}

impl World {
    /// All that happens to nodes and to traffic is drawn first, so that it is the same whoever tells of it.
    fn new(seed: u64, way: Way) -> Self {
        let mut rng = Rng::new(seed);
        let speeds: Vec<f64> = (0..NODES).map(|_| 0.7 + 1.3 * unit(&mut rng)).collect();
        let rate = LOAD * speeds.iter().sum::<f64>() / WORK;
        let server = |speed: &f64| Server {
            speed: *speed,
            is: Is::Serving,
            since: 0,
            stops: 0,
            cold: false,
            queue: VecDeque::new(),
            busy: None,
            round: 0,
            arrivals: VecDeque::new(),
        };
        let slice = |f: usize| (way == Way::Parts).then(|| Slice::new(&format!("f{f}"), PART));
        let forwarder = |f: usize| {
            let mut forwarder =
                Forwarder::new(0, seed ^ f as u64, settings(f), slice(f), DrainBound::default());
            forwarder.lease = None;
            forwarder
        };
        let mut world = Self {
            way,
            now: 0,
            count: 0,
            queue: BinaryHeap::new(),
            whats: HashMap::new(),
            servers: speeds.iter().map(server).collect(),
            truth: vec![[Is::Serving; NODES]],
            heard: vec![0; FORWARDERS.max(PLANNERS)],
            forwarders: (0..FORWARDERS).map(forwarder).collect(),
            planner: Planner::new(0, 1, Duration::from_millis(400)),
            rate,
            day: Day::default(),
            rng: Rng::new(seed),
        };
        // A release rolls over half of the nodes; four more die, as they do.
        let mut script = Vec::new();
        for i in 0..NODES / 2 {
            let at = (5 + 8 * i as u64) * SECOND;
            script.push((at, What::Becomes(2 * i, Is::Draining)));
            script.push((at + 5 * SECOND, What::Becomes(2 * i, Is::Gone)));
            script.push((at + 7 * SECOND, What::Becomes(2 * i, Is::Serving)));
        }
        for i in 0..4 {
            let at = 10 * SECOND + rng.below(90 * SECOND as usize) as u64;
            script.push((at, What::Becomes(6 * i + 1, Is::Gone)));
            script.push((at + 12 * SECOND, What::Becomes(6 * i + 1, Is::Serving)));
        }
        for _ in 0..3 {
            let at = rng.below(110 * SECOND as usize) as u64;
            script.push((at, What::Jump(1.4)));
            script.push((at + 5 * SECOND, What::Jump(1.0 / 1.4)));
        }
        script.into_iter().for_each(|(at, what)| world.at(at, what));
        let mut actions = Vec::new();
        let nodes = world.nodes(0);
        world.planner.announcer.observe(nodes.clone());
        match way {
            Way::Alone => (0..FORWARDERS).for_each(|f| world.forwarders[f].take(0, &nodes, &mut actions)),
            Way::Planned | Way::Parts => {
                for f in 0..FORWARDERS {
                    let (part, _) = world.planner.publisher.start_follower(slice(f), None, Duration::ZERO);
                    world.planner.parts.insert(f, part);
                    world.at(f as u64 * 100 * MS, What::Digest(f));
                }
                world.publish(Vec::new());
            }
        }
        (0..FORWARDERS).for_each(|f| world.at(0, What::Arrive(f)));
        world
    }

    fn play(mut self) -> Day {
        while let Some(Reverse((at, index))) = self.queue.pop() {
            if at > DAY + 3 * SECOND {
                break;
            }
            self.now = at;
            if let Some(what) = self.whats.remove(&index) {
                self.step(what);
            }
        }
        self.day
    }

    fn at(&mut self, at: u64, what: What) {
        self.count += 1;
        self.whats.insert(self.count, what);
        self.queue.push(Reverse((at, self.count)));
    }

    fn nodes(&self, state: usize) -> Vec<Node> {
        let node = |(i, is): (usize, &Is)| Node {
            id: format!("n{i:02}"),
            address: ([10, 0, 0, 1], 1000 + i as u16).into(),
            zone: String::new(),
            cell: 0,
            weight: 1.0,
            draining: *is == Is::Draining,
            age_ms: None,
        };
        self.truth[state].iter().enumerate().filter(|(_, is)| **is != Is::Gone).map(node).collect()
    }

    fn step(&mut self, what: What) {
        match what {
            What::Arrive(f) => self.arrive(f),
            What::Timer(f, token) => self.event(f, Event::Timer(token)),
            What::Reach(f, request, attempt, node) => self.reach(f, request, attempt, node),
            What::Worked(node, round) => self.worked(node, round),
            What::Ended(f, request, attempt, outcome) => self.ended(f, request, attempt, outcome),
            What::Patience(f, request) => {
                let open = self.forwarders[f].open.get_mut(&request).expect("it came");
                if open.answers == 0 {
                    open.answers += 1;
                    self.event(f, Event::ClientDisconnected(RequestId(request)));
                }
            }
            What::Becomes(node, is) => self.becomes(node, is),
            What::Hears(who, state) => self.hears(who, state),
            What::Digest(f) => {
                let now = Duration::from_micros(self.now);
                let digest = self.forwarders[f].digest(SECOND);
                self.planner.loads.record_digest(f as u64, digest, now);
                if let Some(told) = self.planner.budgets(f as u64, now) {
                    self.forwarders[f].follower.receive(0, told);
                    let mut actions = Vec::new();
                    self.forwarders[f].budgets(self.now, &mut actions);
                    self.act(f, actions);
                }
                self.at(self.now + SECOND, What::Digest(f));
            }
            What::Jump(times) => self.rate *= times,
        }
    }

    fn becomes(&mut self, node: usize, is: Is) {
        let server = &mut self.servers[node];
        if is == server.is {
            return;
        }
        if server.is == Is::Serving {
            server.stops = self.now;
        }
        server.is = is;
        if is == Is::Gone {
            self.die(node);
        } else if is == Is::Serving {
            let server = &mut self.servers[node];
            (server.since, server.cold) = (self.now, true);
            server.arrivals.clear();
        }
        let mut state = self.truth[self.truth.len() - 1];
        state[node] = is;
        self.truth.push(state);
        let last = self.truth.len() - 1;
        for who in 0..if self.way == Way::Alone { FORWARDERS } else { PLANNERS } {
            let late = 500 * MS + self.rng.below(3500 * MS as usize) as u64;
            self.at(self.now + late, What::Hears(who, last));
        }
    }

    /// All that it has ends unanswered.
    fn die(&mut self, node: usize) {
        let server = &mut self.servers[node];
        server.round += 1;
        let lost: Vec<Job> = server.queue.drain(..).chain(server.busy.take()).collect();
        for job in lost {
            self.at(self.now + WAY, What::Ended(job.forwarder, job.request, job.attempt, Outcome::Reset));
        }
    }

    fn hears(&mut self, who: usize, state: usize) {
        if self.way == Way::Alone {
            if state <= self.heard[who] {
                return;
            }
            self.heard[who] = state;
            let nodes = self.nodes(state);
            let mut actions = Vec::new();
            self.forwarders[who].take(self.now, &nodes, &mut actions);
            self.act(who, actions);
        } else if state > self.heard[0] {
            self.heard[0] = state;
            let nodes = self.nodes(state);
            let drains = self.planner.announcer.observe(nodes);
            self.publish(drains);
        }
    }

    /// Drains, and the plan that follows, to all forwarders: what is on the way is far below what hearing takes.
    fn publish(&mut self, drains: Vec<PlannerMessage>) {
        let now = Duration::from_micros(self.now);
        self.planner.highest += 1;
        let version = Version { term: 1, generation: self.planner.highest };
        let (nodes, heard) =
            (self.planner.announcer.view().to_vec(), vec![(0, self.planner.announcer.version())]);
        let mut told = self.planner.publisher.add_drains(drains);
        told.extend(self.planner.publisher.publish(Plan { version, nodes, acknowledged: heard }, now));
        for f in 0..FORWARDERS {
            let Planner { publisher, parts, .. } = &mut self.planner;
            let part = parts.get_mut(&f).expect("each was welcomed");
            let told: Vec<PlannerMessage> =
                told.iter().filter_map(|t| publisher.message_for(part, t, now)).collect();
            let forwarder = &mut self.forwarders[f];
            told.into_iter().for_each(|told| drop(forwarder.follower.receive(0, told)));
            let nodes = forwarder.follower.nodes();
            let mut actions = Vec::new();
            forwarder.take(self.now, &nodes, &mut actions);
            self.act(f, actions);
        }
    }

    fn arrive(&mut self, f: usize) {
        if self.now >= DAY {
            return;
        }
        self.day.asked += 1.0;
        let class = usize::from(self.rng.below(4) == 0);
        let forwarder = &mut self.forwarders[f];
        forwarder.requests += 1;
        let request = forwarder.requests;
        forwarder.open.insert(request, Open { unsafe_: class == 1, answers: 0, attempts: Vec::new() });
        self.at(self.now + (DEADLINE * 1e6) as u64, What::Patience(f, request));
        let asked = Request { id: RequestId(request), class, tenant: None, key: None, budget: DEADLINE };
        self.event(f, Event::Request(asked));
        let wait = -(1.0 - unit(&mut self.rng)).ln() * FORWARDERS as f64 / self.rate;
        self.at(self.now + (wait * 1e6) as u64 + 1, What::Arrive(f));
    }

    fn event(&mut self, f: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        self.forwarders[f].event(self.now, event, &mut actions);
        self.act(f, actions);
    }

    fn act(&mut self, f: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, backend, timeout } => {
                    let forwarder = &mut self.forwarders[f];
                    let node = forwarder.members.node_names().get(&backend).and_then(|n| n[1..].parse().ok());
                    let open = forwarder.open.get_mut(&id.0).expect("it came");
                    let attempt = open.attempts.len();
                    open.attempts.push(Attempt { backend, sent: self.now, ended: false, written: true });
                    forwarder.counts.entry(backend).or_default().sent += 1;
                    match node {
                        Some(node) => self.at(self.now + WAY, What::Reach(f, id.0, attempt, node)),
                        None => self.at(self.now, What::Ended(f, id.0, attempt, Outcome::NoConnection)),
                    }
                    if timeout > 0.0 {
                        let late = What::Ended(f, id.0, attempt, Outcome::Timeout);
                        self.at(self.now + (timeout * 1e6) as u64, late);
                    }
                }
                Action::Cancel { id, attempt } => self.ended(f, id.0, attempt, Outcome::Cancelled),
                Action::Reject { id, .. } | Action::Fail { id } => {
                    self.forwarders[f].open.get_mut(&id.0).expect("it came").answers += 1;
                }
                Action::Timer { at, token } => {
                    let at = ((at * 1e6) as u64).max(self.now) + 1;
                    self.at(at, What::Timer(f, token));
                }
                Action::Probe(backend) => {
                    self.event(f, Event::Probed { backend, outcome: Outcome::Served, report: None });
                }
                Action::CloseIdleConnections(_) | Action::Watch(_) | Action::Fetch | Action::Log(_) => {}
            }
        }
    }

    fn reach(&mut self, f: usize, request: u64, attempt: usize, node: usize) {
        let back = |outcome| What::Ended(f, request, attempt, outcome);
        let work = -(1.0 - unit(&mut self.rng)).ln() * WORK;
        let server = &mut self.servers[node];
        if server.is != Is::Serving && self.now > server.stops + 500 * MS {
            self.day.late += 1.0;
        }
        if server.is == Is::Gone {
            return self.at(self.now + WAY, back(Outcome::NoConnection));
        }
        server.arrivals.push_back(self.now);
        while server.arrivals.front().is_some_and(|at| *at + TIP < self.now) {
            server.arrivals.pop_front();
        }
        let can = server.speed * server.warmth(self.now) / WORK * TIP as f64 / 1e6;
        // A handful tips nothing over.
        if server.cold && server.arrivals.len() as f64 > (FALL * can).max(12.0) {
            self.day.fallen += 1.0;
            self.becomes(node, Is::Gone);
            self.at(self.now + 12 * SECOND, What::Becomes(node, Is::Serving));
            return self.at(self.now + WAY, back(Outcome::Reset));
        }
        server.queue.push_back(Job { forwarder: f, request, attempt, work });
        self.begin(node);
    }

    fn begin(&mut self, node: usize) {
        let server = &mut self.servers[node];
        while server.busy.is_none() {
            let Some(job) = server.queue.pop_front() else { return };
            // What was given up meanwhile is not begun.
            if self.forwarders[job.forwarder].open[&job.request].attempts[job.attempt].ended {
                continue;
            }
            server.round += 1;
            let took = (job.work / server.speed / server.warmth(self.now) * 1e6) as u64;
            let worked = What::Worked(node, server.round);
            server.busy = Some(job);
            return self.at(self.now + took.max(1), worked);
        }
    }

    fn worked(&mut self, node: usize, round: u32) {
        if self.servers[node].round != round {
            return;
        }
        if let Some(job) = self.servers[node].busy.take() {
            self.at(self.now + WAY, What::Ended(job.forwarder, job.request, job.attempt, Outcome::Served));
        }
        self.begin(node);
    }

    fn ended(&mut self, f: usize, request: u64, attempt: usize, outcome: Outcome) {
        let forwarder = &mut self.forwarders[f];
        let open = forwarder.open.get_mut(&request).expect("it came");
        let made = &mut open.attempts[attempt];
        if std::mem::replace(&mut made.ended, true) {
            return;
        }
        let (backend, took) = (made.backend, (self.now - made.sent) as f64 / 1e6);
        if outcome == Outcome::Served {
            forwarder.counts.entry(backend).or_default().served += 1;
            if open.answers == 0 {
                open.answers += 1;
                let first = open.attempts[0].sent;
                self.day.served += f64::from(u8::from(self.now - first <= (AIM * 1e6) as u64));
            }
        }
        let over = open.answers > 0;
        let ended = AttemptResult {
            id: RequestId(request),
            backend,
            attempt,
            outcome,
            duration: took,
            is_final: over,
            report: None,
        };
        self.event(f, Event::Outcome(ended));
    }
}

/// Mean and standard error.
fn spread(values: &[f64]) -> (f64, f64) {
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n;
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
    (mean, (variance / n).sqrt())
}

fn main() {
    let number =
        |name: &str, default: usize| std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default);
    let seeds = number("DAY_SEEDS", 20);
    let first = number("DAY_SEED", 1) as u64;
    println!(
        "{seeds} days from seed {first}: {FORWARDERS} forwarders, {NODES} nodes, at {LOAD} of what they can do"
    );
    let play =
        |way: Way| -> Vec<Day> { (0..seeds as u64).map(|n| World::new(first + n, way).play()).collect() };
    let ways = [Way::Alone, Way::Planned, Way::Parts].map(|way| (way, play(way)));
    type Figure = (&'static str, fn(&Day) -> f64);
    let figures: [Figure; 3] = [
        ("served in time", |d| d.served / d.asked),
        ("sent to stopping nodes, of 1,000 asked", |d| 1000.0 * d.late / d.asked),
        ("cold nodes that fell", |d| d.fallen),
    ];
    for (name, figure) in figures {
        println!("{name}");
        let base: Vec<f64> = ways[0].1.iter().map(figure).collect();
        for (way, days) in &ways {
            let values: Vec<f64> = days.iter().map(figure).collect();
            let apart: Vec<f64> = values.iter().zip(&base).map(|(v, b)| v - b).collect();
            let ((mean, error), (gain, of)) = (spread(&values), spread(&apart));
            println!(
                "  {:<8} {mean:>8.4} +- {error:.4}   against alone {gain:>+8.4} +- {of:.4}",
                format!("{way:?}")
            );
        }
    }
}
