//! Simulates the network, the processes and the membership around planners and forwarders, and checks the
//! invariants at every step.

use crate::forwarder::{Attempt, Forwarder, OpenRequest};
use crate::planner::Planner;
use dewpier_cluster::fleet::Command;
use dewpier_cluster::missing_nodes::drain_missing_nodes;
use dewpier_plan::{
    AnnouncementVersion, DrainBound, ForwarderMessage, MessageEffect, Node, PlannerMessage, Slice, Version,
    lease_check_interval,
};
use dewpier_standins::rng::Rng;
use gannetproxy::{Action, AttemptResult, Class, Effect, Event, Outcome, Request, RequestId, Settings};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

/// Microseconds in a millisecond; the simulation counts time in microseconds.
const MS: u64 = 1000;
const PLANNERS: usize = 3;
const FORWARDERS: usize = 4;
const NODES: usize = 8;
/// The number of nodes that a forwarder with a slice uses.
const SLICE_SIZE: usize = 5;
/// When faults, membership changes and new requests end.
const LAST_ACTIVITY: u64 = 6000 * MS;
/// When the simulation ends; every request must have an answer by then.
const END: u64 = 11_000 * MS;
const COLD_SECONDS: f64 = 2.0;
const COLD_CAPACITY_FRACTION: f64 = 0.2;
const OVERLOAD_MULTIPLE: f64 = 3.0;

/// Counts of what happened in one or more simulations.
#[derive(Debug, Default)]
pub struct Statistics {
    pub served: usize,
    pub rejected: usize,
    pub failed: usize,
    pub crashes: usize,
    pub pauses: usize,
    pub partitions: usize,
    pub observed_changes: usize,
    pub group_foundings: usize,
    pub own_watches: usize,
    /// Crashes of a planner that alone had read a membership change.
    pub lone_planner_crashes: usize,
    /// The maximum rate sent to a cold node, as a fraction of the rate that overloads it.
    pub max_cold_fraction: f64,
}

impl Statistics {
    pub fn add(&mut self, other: Statistics) {
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.crashes += other.crashes;
        self.pauses += other.pauses;
        self.partitions += other.partitions;
        self.observed_changes += other.observed_changes;
        self.group_foundings += other.group_foundings;
        self.own_watches += other.own_watches;
        self.lone_planner_crashes += other.lone_planner_crashes;
        self.max_cold_fraction = self.max_cold_fraction.max(other.max_cold_fraction);
    }
}

/// A process, by its kind and index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum ProcessId {
    Planner(usize),
    Forwarder(usize),
}

/// A queued event of the simulation.
#[derive(Clone, Debug)]
enum SimulationEvent {
    /// Membership changes.
    MembershipChange,
    /// A watch reads the current membership.
    ReadMembership,
    /// A process's timer: a planner checks membership and asks the other planners for their announcements; a forwarder
    /// with a list of its own checks membership.
    Tick,
    /// A planner asks another one for its announcements.
    StatusRequest {
        from: usize,
        received_version: AnnouncementVersion,
        asked_at: u64,
    },
    /// The reply to `StatusRequest`.
    StatusReply {
        from: usize,
        epoch: u64,
        version: AnnouncementVersion,
        drains: Option<Vec<(AnnouncementVersion, String)>>,
        asked_at: u64,
    },
    /// A planner applies new entries of the consensus log.
    ApplyLog,
    /// The consensus group takes its next step.
    StepGroup,
    /// A forwarder sends its heartbeats.
    Heartbeat,
    /// A forwarder's own watch checks whether membership has changed.
    CheckMembership,
    /// A forwarder sends its digest.
    Digest,
    /// A forwarder connects to a planner.
    Connect(usize),
    /// A forwarder notices that a connection has broken.
    ConnectionLost {
        planner: usize,
        connection: u64,
    },
    ToPlanner {
        forwarder: usize,
        connection: u64,
        message: ForwarderMessage,
    },
    ToForwarder {
        planner: usize,
        connection: u64,
        message: Box<PlannerMessage>,
    },
    /// A client sends a request to a forwarder.
    Request,
    /// A request waits for a valid lease before it reaches the decision module.
    QueuedRequest {
        request: u64,
        class: usize,
        received_at: u64,
    },
    /// A timer of the decision module.
    Timer(u64),
    /// An attempt has a connection: it is written if its lease and its send deadline allow that.
    WriteAttempt {
        request: u64,
        attempt: usize,
    },
    /// An attempt ends.
    EndAttempt {
        request: u64,
        attempt: usize,
        outcome: Outcome,
    },
    /// The client of a request gives up.
    ClientTimeout(u64),
    Fault,
    Restart,
}

/// The state of a process; times are in microseconds.
#[derive(Clone, Copy, Default)]
struct Process {
    /// How many times the process has started.
    incarnation: u32,
    up: bool,
    paused_until: u64,
    started_at: u64,
}

/// A node's status in one membership state.
#[derive(Clone, Copy, PartialEq)]
enum NodeStatus {
    Serving,
    Draining,
    Gone,
}

#[derive(Default)]
struct Connection {
    number: u64,
    up: bool,
    /// When the latest message arrives at the forwarder and at the planner.
    last_arrival: [u64; 2],
}

/// The consensus group: a log that a connected majority of planners appends to.
#[derive(Default)]
struct Group {
    number: u64,
    term: u64,
    log: Vec<(u64, Command)>,
    leaderless_since: Option<u64>,
}

/// The time of an event, its order, its process, the process's incarnation, and the event's index.
type QueueEntry = (u64, u64, ProcessId, u32, usize);

/// A simulation of planners, forwarders and nodes with random faults.
pub struct Simulation {
    seed: u64,
    planner_bound: DrainBound,
    /// The drain bound of forwarders, which sends must keep.
    forwarder_bound: DrainBound,
    rng: Rng,
    now: u64,
    queue: BinaryHeap<Reverse<QueueEntry>>,
    events: HashMap<usize, SimulationEvent>,
    event_count: usize,
    processes: BTreeMap<ProcessId, Process>,
    planners: Vec<Option<Planner>>,
    forwarders: Vec<Option<Forwarder>>,
    connections: HashMap<(usize, usize), Connection>,
    /// Until when the network between two processes is partitioned.
    partitions: HashMap<(ProcessId, ProcessId), u64>,
    group: Group,
    /// Planners that cannot read membership, and until when.
    blind_until: HashMap<ProcessId, u64>,
    /// The only planner that can read membership, and until when.
    lone_observer: Option<(usize, u64)>,
    /// All membership states, the current one last.
    membership: Vec<[NodeStatus; NODES]>,
    /// When a planner first read each membership state.
    first_read_by_planner: Vec<Option<u64>>,
    /// When any process first read each membership state.
    first_read: Vec<Option<u64>>,
    /// The latest plan version of each forwarder, by index and incarnation.
    plan_versions: HashMap<(usize, u32), Version>,
    /// How often each unsafe request was written, by forwarder, incarnation and request.
    unsafe_writes: HashMap<(usize, u32, u64), u32>,
    /// When requests arrived at each node.
    arrivals: Vec<Vec<u64>>,
    statistics: Statistics,
}

fn pair(a: ProcessId, b: ProcessId) -> (ProcessId, ProcessId) {
    (a.min(b), a.max(b))
}

/// Every second forwarder uses a slice of the fleet.
fn slice(forwarder: usize) -> Option<Slice> {
    (forwarder % 2 == 1).then(|| Slice::new(&format!("f{forwarder}"), SLICE_SIZE))
}

fn settings(instance_index: usize) -> Settings {
    let class = |effect| Class { aim: 0.5, deadline: 1.0, effect, ..Class::default() };
    Settings {
        classes: vec![class(Effect::Safe), class(Effect::Unsafe)],
        instance_count: FORWARDERS,
        instance_index,
        cold_duration: COLD_SECONDS,
        cold_capacity_fraction: COLD_CAPACITY_FRACTION,
        overload_multiple: OVERLOAD_MULTIPLE,
        ..Settings::default()
    }
}

impl Simulation {
    /// Runs one simulation; panics if an invariant is violated.
    pub fn run(seed: u64, planner_bound: DrainBound, forwarder_bound: DrainBound) -> Statistics {
        let mut simulation = Self {
            seed,
            planner_bound,
            forwarder_bound,
            rng: Rng::new(seed),
            now: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            event_count: 0,
            processes: BTreeMap::new(),
            planners: (0..PLANNERS).map(|_| None).collect(),
            forwarders: (0..FORWARDERS).map(|_| None).collect(),
            connections: HashMap::new(),
            partitions: HashMap::new(),
            group: Group::default(),
            blind_until: HashMap::new(),
            lone_observer: None,
            membership: vec![[NodeStatus::Serving; NODES]],
            first_read_by_planner: vec![Some(0)],
            first_read: vec![Some(0)],
            plan_versions: HashMap::new(),
            unsafe_writes: HashMap::new(),
            arrivals: vec![Vec::new(); NODES],
            statistics: Statistics::default(),
        };
        (0..PLANNERS).for_each(|p| simulation.start(ProcessId::Planner(p)));
        (0..FORWARDERS).for_each(|f| simulation.start(ProcessId::Forwarder(f)));
        // Events of no process are queued for the first planner, in any of its incarnations.
        simulation.schedule_global(1000 * MS, SimulationEvent::MembershipChange);
        simulation.schedule_global(1200 * MS, SimulationEvent::Fault);
        simulation.schedule_global(0, SimulationEvent::StepGroup);
        while let Some(Reverse((at, _, process_id, incarnation, index))) = simulation.queue.pop() {
            if at > END {
                break;
            }
            simulation.now = at;
            let event = simulation.events.remove(&index).expect("an event is queued once");
            simulation.step(process_id, incarnation, event);
        }
        simulation.check_at_end();
        simulation.statistics
    }

    fn lease(&self) -> Duration {
        self.planner_bound.max_lease()
    }

    fn heartbeat_interval(&self) -> u64 {
        self.forwarder_bound.default_heartbeat().as_micros() as u64
    }

    fn lease_check_interval(&self) -> u64 {
        lease_check_interval(self.lease()).as_micros() as u64
    }

    /// Draws a time from `from` up to but not including `to`.
    fn draw_between(&mut self, from: u64, to: u64) -> u64 {
        from + self.rng.below((to - from) as usize) as u64
    }

    /// Queues an event for an incarnation of a process.
    fn push(&mut self, at: u64, process_id: ProcessId, incarnation: u32, event: SimulationEvent) {
        self.event_count += 1;
        self.events.insert(self.event_count, event);
        self.queue.push(Reverse((at, self.event_count as u64, process_id, incarnation, self.event_count)));
    }

    /// Queues an event for the current incarnation of a process.
    fn schedule(&mut self, process_id: ProcessId, after: u64, event: SimulationEvent) {
        let incarnation = self.processes[&process_id].incarnation;
        self.push(self.now + after, process_id, incarnation, event);
    }

    /// Queues an event that belongs to no process.
    fn schedule_global(&mut self, at: u64, event: SimulationEvent) {
        self.push(at, ProcessId::Planner(0), u32::MAX, event);
    }

    fn is_partitioned(&self, a: ProcessId, b: ProcessId) -> bool {
        self.partitions.get(&pair(a, b)).is_some_and(|until| self.now < *until)
    }

    fn is_blind(&self, process_id: ProcessId) -> bool {
        self.blind_until.get(&process_id).is_some_and(|until| self.now < *until)
    }

    fn is_up(&self, process_id: ProcessId) -> bool {
        self.processes.get(&process_id).is_some_and(|p| p.up)
    }

    fn is_running(&self, process_id: ProcessId) -> bool {
        self.processes.get(&process_id).is_some_and(|p| p.up && p.paused_until <= self.now)
    }

    fn uptime(&self, process_id: ProcessId) -> Duration {
        Duration::from_micros(self.now - self.processes[&process_id].started_at)
    }

    /// The current membership as a node list.
    fn nodes(&self) -> Vec<Node> {
        let state = self.membership[self.membership.len() - 1];
        let node = |(i, is): (usize, &NodeStatus)| Node {
            id: format!("n{i}"),
            address: ([10, 0, 0, 1], 1000 + i as u16).into(),
            zone: String::new(),
            cell: 0,
            weight: 1.0,
            draining: *is == NodeStatus::Draining,
            age_ms: None,
        };
        state.iter().enumerate().filter(|(_, is)| **is != NodeStatus::Gone).map(node).collect()
    }

    // ---- Processes ----

    fn start(&mut self, process_id: ProcessId) {
        let process = self.processes.entry(process_id).or_default();
        process.incarnation += 1;
        (process.up, process.paused_until, process.started_at) = (true, 0, self.now);
        let incarnation = process.incarnation;
        match process_id {
            ProcessId::Planner(p) => {
                // A planner reads membership before it does anything else.
                let mut planner = Planner::new(p as u32, self.now / MS + 1, self.lease());
                let drains = planner.announcer.observe(self.nodes());
                planner.publisher.add_drains(drains);
                planner.observed_state = self.membership.len() - 1;
                self.planners[p] = Some(planner);
                self.record_membership_read(true);
                let first = self.draw_between(0, self.lease_check_interval());
                self.schedule(process_id, first, SimulationEvent::Tick);
            }
            ProcessId::Forwarder(f) => {
                let seed = self.rng.next_u64();
                self.forwarders[f] =
                    Some(Forwarder::new(self.now, seed, settings(f), slice(f), self.forwarder_bound));
                for p in 0..PLANNERS {
                    self.schedule(process_id, 0, SimulationEvent::Connect(p));
                }
                let first = self.draw_between(0, self.heartbeat_interval());
                self.schedule(process_id, first, SimulationEvent::Heartbeat);
                self.schedule(process_id, first, SimulationEvent::Digest);
                self.schedule(process_id, first, SimulationEvent::Tick);
                self.schedule(process_id, 300 * MS + first, SimulationEvent::Request);
                self.plan_versions.insert((f, incarnation), Version::default());
            }
        }
    }

    fn crash(&mut self, process_id: ProcessId) {
        self.statistics.crashes += 1;
        self.processes.get_mut(&process_id).expect("every process has started").up = false;
        match process_id {
            ProcessId::Planner(p) => {
                self.planners[p] = None;
                (0..FORWARDERS).for_each(|f| self.break_connection(f, p));
            }
            ProcessId::Forwarder(f) => {
                // Its open requests are lost with it.
                self.forwarders[f] = None;
                (0..PLANNERS).for_each(|p| self.break_connection(f, p));
            }
        }
        let downtime = self.draw_between(100 * MS, 1500 * MS);
        self.push(self.now + downtime, process_id, u32::MAX, SimulationEvent::Restart);
    }

    /// Breaks a connection; messages in flight are lost. The forwarder notices at once or later.
    fn break_connection(&mut self, f: usize, p: usize) {
        let connection = self.connections.entry((f, p)).or_default();
        if !std::mem::take(&mut connection.up) {
            return;
        }
        let number = connection.number;
        if let Some(planner) = &mut self.planners[p] {
            planner.loads.remove_forwarder(f as u64);
        }
        if self.is_up(ProcessId::Forwarder(f)) {
            let delay = if self.rng.below(2) == 0 { 0 } else { self.draw_between(0, 1500 * MS) };
            self.schedule(
                ProcessId::Forwarder(f),
                delay,
                SimulationEvent::ConnectionLost { planner: p, connection: number },
            );
        }
    }

    /// Injects one random fault.
    fn inject_fault(&mut self) {
        let planner = ProcessId::Planner(self.rng.below(PLANNERS));
        let forwarder = ProcessId::Forwarder(self.rng.below(FORWARDERS));
        let pause_end = self.now + self.draw_between(50 * MS, 1200 * MS);
        let partition_end = self.now + self.draw_between(100 * MS, 2000 * MS);
        match self.rng.below(14) {
            12 | 13 => {
                // Only one planner can read membership; it crashes once it has read a change.
                let until = self.now + self.draw_between(600 * MS, 2000 * MS);
                let observer = self.rng.below(PLANNERS);
                self.blind_until = (0..PLANNERS)
                    .filter(|p| *p != observer)
                    .map(|p| (ProcessId::Planner(p), until))
                    .collect();
                self.lone_observer = Some((observer, until));
            }
            0 | 1 if self.is_up(planner) => self.crash(planner),
            2 => (0..PLANNERS).map(ProcessId::Planner).for_each(|p| {
                if self.is_up(p) {
                    self.crash(p);
                }
            }),
            3 if self.is_up(forwarder) => self.crash(forwarder),
            kind @ 4..=7 => {
                let process_id = if kind < 6 { planner } else { forwarder };
                self.statistics.pauses += 1;
                self.processes.get_mut(&process_id).expect("every process has started").paused_until =
                    pause_end;
            }
            8 | 9 => {
                (0..PLANNERS).for_each(|p| self.partition(forwarder, ProcessId::Planner(p), partition_end))
            }
            10 => {
                let other = ProcessId::Planner(self.rng.below(PLANNERS));
                self.partition(planner, other, partition_end);
            }
            _ => {
                // A planner is partitioned from all other processes.
                (0..PLANNERS).map(ProcessId::Planner).for_each(|p| self.partition(planner, p, partition_end));
                (0..FORWARDERS)
                    .map(ProcessId::Forwarder)
                    .for_each(|f| self.partition(planner, f, partition_end));
            }
        }
    }

    /// Partitions the network between two processes.
    fn partition(&mut self, a: ProcessId, b: ProcessId, until: u64) {
        if a == b {
            return;
        }
        self.statistics.partitions += 1;
        self.partitions.insert(pair(a, b), until);
        if let (ProcessId::Planner(p), ProcessId::Forwarder(f)) = pair(a, b) {
            self.break_connection(f, p);
        }
    }

    // ---- Membership ----

    /// Changes the membership state of a random node.
    fn change_membership(&mut self) {
        let mut state = self.membership[self.membership.len() - 1];
        let node = self.rng.below(NODES);
        let serving = state.iter().filter(|s| **s == NodeStatus::Serving).count();
        state[node] = match state[node] {
            NodeStatus::Serving if serving <= NODES / 2 => return,
            NodeStatus::Serving if self.rng.below(4) == 0 => NodeStatus::Gone,
            NodeStatus::Serving => NodeStatus::Draining,
            NodeStatus::Draining if self.rng.below(2) == 0 => NodeStatus::Gone,
            NodeStatus::Draining | NodeStatus::Gone => NodeStatus::Serving,
        };
        self.membership.push(state);
        self.first_read_by_planner.push(None);
        self.first_read.push(None);
        for process_id in self.processes.keys().copied().collect::<Vec<_>>() {
            if self.is_up(process_id) {
                // Some watches miss the notification and read the change at their next poll.
                let is_missed = self.rng.below(4) == 0;
                let after = if is_missed {
                    self.draw_between(200 * MS, 1500 * MS)
                } else {
                    self.draw_between(2 * MS, 60 * MS)
                };
                self.schedule(process_id, after, SimulationEvent::ReadMembership);
            }
        }
    }

    /// Records that a process has read the current membership.
    fn record_membership_read(&mut self, is_planner: bool) {
        let last = self.membership.len() - 1;
        self.first_read[last].get_or_insert(self.now);
        if is_planner && self.first_read_by_planner[last].is_none() {
            self.first_read_by_planner[last] = Some(self.now);
            self.statistics.observed_changes += 1;
        }
    }

    /// Checks the drain invariant: once any planner has read that a node is not serving, no forwarder sends to that
    /// node later than the drain bound, until a process has read that it serves again.
    fn check_send(&self, node: usize, f: usize) {
        let mut drain_read_at: Option<u64> = None;
        for (state, (read_by_planner, read)) in
            self.membership.iter().zip(self.first_read_by_planner.iter().zip(&self.first_read))
        {
            if state[node] == NodeStatus::Serving {
                if read.is_some() {
                    drain_read_at = None;
                }
            } else {
                drain_read_at = drain_read_at.or(*read_by_planner);
            }
        }
        if let Some(drain_read_at) = drain_read_at {
            let delay = self.now.saturating_sub(drain_read_at);
            let bound = self.forwarder_bound.get().as_micros() as u64;
            assert!(delay <= bound, "seed {}: f{f} sends to draining n{node} after {delay} us", self.seed);
        }
    }

    // ---- Events ----

    fn step(&mut self, process_id: ProcessId, incarnation: u32, event: SimulationEvent) {
        match event {
            SimulationEvent::MembershipChange => {
                self.change_membership();
                let next = self.now + self.draw_between(150 * MS, 700 * MS);
                if next < LAST_ACTIVITY {
                    self.schedule_global(next, SimulationEvent::MembershipChange);
                }
                return;
            }
            SimulationEvent::Fault => {
                self.inject_fault();
                let next = self.now + self.draw_between(200 * MS, 1200 * MS);
                if next < LAST_ACTIVITY {
                    self.schedule_global(next, SimulationEvent::Fault);
                }
                return;
            }
            SimulationEvent::StepGroup => {
                self.step_group();
                self.schedule_global(self.now + 20 * MS, SimulationEvent::StepGroup);
                return;
            }
            SimulationEvent::Restart => return self.start(process_id),
            _ => {}
        }
        let process = self.processes[&process_id];
        if !process.up || process.incarnation != incarnation {
            return;
        }
        if process.paused_until > self.now {
            // Events of a paused process wait in order until it resumes.
            return self.push(process.paused_until, process_id, incarnation, event);
        }
        match process_id {
            ProcessId::Planner(p) => self.step_planner(p, event),
            ProcessId::Forwarder(f) => self.step_forwarder(f, event),
        }
    }

    // ---- Planners ----

    fn step_planner(&mut self, p: usize, event: SimulationEvent) {
        let process_id = ProcessId::Planner(p);
        let now = self.uptime(process_id);
        let mut planner = self.planners[p].take().expect("the process is up");
        match event {
            SimulationEvent::ReadMembership if self.is_blind(process_id) => {
                let wait = self.blind_until[&process_id] - self.now + MS;
                self.schedule(process_id, wait, SimulationEvent::ReadMembership);
            }
            SimulationEvent::ReadMembership => {
                let drains = planner.announcer.observe(self.nodes());
                planner.observed_state = self.membership.len() - 1;
                let is_first = self.first_read_by_planner[planner.observed_state].is_none();
                self.record_membership_read(true);
                let is_lone =
                    self.lone_observer.is_some_and(|(observer, until)| observer == p && self.now < until);
                if is_first && (self.rng.below(6) == 0 || is_lone) {
                    // It crashes before it announces the change.
                    self.statistics.lone_planner_crashes += usize::from(is_lone);
                    return self.crash(process_id);
                }
                self.broadcast(p, &mut planner, drains);
            }
            SimulationEvent::Tick => {
                // Membership is checked, where needed, two times in each interval between status requests.
                if planner.lease_grantor.needs_membership_read(now) && !self.is_blind(process_id) {
                    if planner.observed_state == self.membership.len() - 1 {
                        planner.lease_grantor.record_membership_read(now);
                    } else {
                        self.schedule(process_id, 20 * MS, SimulationEvent::ReadMembership); // after the settling time
                    }
                }
                if self.rng.below(2) == 0 {
                    for q in (0..PLANNERS).filter(|q| *q != p) {
                        let agreed = planner.fleet.announcement_version(q as u32).unwrap_or_default();
                        let received_version = planner
                            .received_versions
                            .get(&(q as u32))
                            .copied()
                            .unwrap_or_default()
                            .max(agreed);
                        let asked_at = self.now;
                        self.send_between(
                            p,
                            q,
                            SimulationEvent::StatusRequest { from: p, received_version, asked_at },
                        );
                    }
                }
                self.schedule(process_id, self.lease_check_interval() / 2, SimulationEvent::Tick);
            }
            SimulationEvent::StatusRequest { from, received_version, asked_at } => {
                let (version, drains) =
                    (planner.announcer.version(), planner.announcer.drains_since(received_version));
                let reply =
                    SimulationEvent::StatusReply { from: p, epoch: version.epoch, version, drains, asked_at };
                self.send_between(p, from, reply);
            }
            SimulationEvent::StatusReply { from, epoch, version, drains, asked_at } => {
                let q = from as u32;
                planner.last_reply_at.insert(q, self.now);
                if let Some(drains) = drains {
                    let message = |(version, id)| PlannerMessage::Drain {
                        planner: q,
                        announcement_version: version,
                        id,
                    };
                    self.broadcast(p, &mut planner, drains.into_iter().map(message).collect());
                    let received_version = planner.received_versions.entry(q).or_default();
                    *received_version = version.max(*received_version);
                    let start = self.processes[&process_id].started_at;
                    // Replies to the previous incarnation are ignored.
                    if asked_at >= start {
                        planner.lease_grantor.record_answer(
                            q,
                            epoch,
                            Duration::from_micros(asked_at - start),
                            now,
                        );
                    }
                }
            }
            SimulationEvent::ApplyLog => {
                if planner.group == self.group.number {
                    while planner.applied < self.group.log.len() {
                        let (term, command) = self.group.log[planner.applied].clone();
                        planner.applied += 1;
                        let _ = planner.fleet.apply(term, planner.applied as u64, command);
                    }
                    let Planner { fleet, announcer, lease_grantor, .. } = &mut planner;
                    let drains = drain_missing_nodes(fleet, p as u32, announcer, lease_grantor);
                    self.broadcast(p, &mut planner, drains);
                    if let Some(update) = planner.publisher.publish(planner.fleet.plan(), now) {
                        for f in 0..FORWARDERS {
                            let Some(sent_plan) = planner.sent_plans.get_mut(&f) else { continue };
                            let message = planner.publisher.message_for(sent_plan, &update, now);
                            message.into_iter().for_each(|message| self.send_to_forwarder(f, p, message));
                        }
                    }
                }
            }
            SimulationEvent::ToPlanner { forwarder: f, connection, message } => {
                if self.connections[&(f, p)].number == connection && self.connections[&(f, p)].up {
                    let replies = match message {
                        ForwarderMessage::Hello { plan_version, name, slice_size } => {
                            planner.highest_term =
                                planner.highest_term.max(plan_version.map_or(0, |v| v.term));
                            let slice = slice_size.map(|size| Slice::new(&name, size as usize));
                            let (sent_plan, replies) =
                                planner.publisher.start_follower(slice, plan_version, now);
                            planner.sent_plans.insert(f, sent_plan);
                            replies
                        }
                        ForwarderMessage::Resend => {
                            let sent_plan =
                                planner.sent_plans.get_mut(&f).expect("the forwarder has sent Hello");
                            planner.publisher.full_update(sent_plan, now)
                        }
                        ForwarderMessage::Heartbeat { number } => {
                            let lease = planner.lease_grantor.grantable_lease(now).as_millis() as u64;
                            vec![planner.publisher.heartbeat_reply(number, lease)]
                        }
                        // Relayed messages do not affect plans.
                        ForwarderMessage::Relay { .. } => Vec::new(),
                        ForwarderMessage::Digest(digest) => {
                            planner.loads.record_digest(f as u64, digest, now);
                            planner.budgets(f as u64, now).into_iter().collect()
                        }
                    };
                    replies.into_iter().for_each(|reply| self.send_to_forwarder(f, p, reply));
                }
            }
            other => panic!("unexpected event of a planner: {other:?}"),
        }
        self.planners[p] = Some(planner);
    }

    /// Sends drains to all connected forwarders.
    fn broadcast(&mut self, p: usize, planner: &mut Planner, drains: Vec<PlannerMessage>) {
        let messages = planner.publisher.add_drains(drains);
        self.send_to_all(p, messages);
    }

    fn send_to_all(&mut self, p: usize, messages: Vec<PlannerMessage>) {
        for message in messages {
            (0..FORWARDERS).for_each(|f| self.send_to_forwarder(f, p, message.clone()));
        }
    }

    /// Sends an event from one planner to another.
    fn send_between(&mut self, from: usize, to: usize, event: SimulationEvent) {
        if self.is_up(ProcessId::Planner(to))
            && !self.is_partitioned(ProcessId::Planner(from), ProcessId::Planner(to))
        {
            let after = self.draw_delay();
            self.schedule(ProcessId::Planner(to), after, event);
        }
    }

    /// Draws the delay of a message: mostly a few milliseconds, at times much more.
    fn draw_delay(&mut self) -> u64 {
        if self.rng.below(50) == 0 {
            self.draw_between(20 * MS, 300 * MS)
        } else {
            self.draw_between(MS / 5, 8 * MS)
        }
    }

    fn send_to_forwarder(&mut self, f: usize, p: usize, message: PlannerMessage) {
        let delay = self.draw_delay();
        let Some(connection) = self.connections.get_mut(&(f, p)).filter(|c| c.up) else { return };
        let at = (self.now + delay).max(connection.last_arrival[0] + 1);
        connection.last_arrival[0] = at;
        let event = SimulationEvent::ToForwarder {
            planner: p,
            connection: connection.number,
            message: Box::new(message),
        };
        self.schedule(ProcessId::Forwarder(f), at - self.now, event);
    }

    fn send_to_planner(&mut self, f: usize, p: usize, message: ForwarderMessage) {
        let delay = self.draw_delay();
        let Some(connection) = self.connections.get_mut(&(f, p)).filter(|c| c.up) else { return };
        let at = (self.now + delay).max(connection.last_arrival[1] + 1);
        connection.last_arrival[1] = at;
        let event = SimulationEvent::ToPlanner { forwarder: f, connection: connection.number, message };
        if self.is_up(ProcessId::Planner(p)) {
            self.schedule(ProcessId::Planner(p), at - self.now, event);
        }
    }

    // ---- Consensus ----

    /// Takes one step of the consensus group: election, proposals and expulsions.
    fn step_group(&mut self) {
        let running: Vec<usize> = (0..PLANNERS).filter(|p| self.is_running(ProcessId::Planner(*p))).collect();
        let is_member = |simulation: &Self, p: usize| {
            simulation.planners[p].as_ref().is_some_and(|planner| planner.group == simulation.group.number)
        };
        let is_connected = |simulation: &Self, p: usize, q: usize| {
            p == q || !simulation.is_partitioned(ProcessId::Planner(p), ProcessId::Planner(q))
        };
        // The leader is the first member connected to a majority of members.
        let leader = running.iter().copied().find(|p| {
            self.group.number > 0
                && is_member(self, *p)
                && running.iter().filter(|q| is_member(self, **q) && is_connected(self, *p, **q)).count() >= 2
        });
        let Some(leader) = leader else {
            let leaderless_since = *self.group.leaderless_since.get_or_insert(self.now);
            // A majority of planners outside the group founds a new one.
            let outsiders: Vec<usize> = running.iter().copied().filter(|p| !is_member(self, *p)).collect();
            if outsiders.len() >= 2
                && self.now - leaderless_since >= 300 * MS * u64::from(self.group.number > 0)
            {
                self.statistics.group_foundings += 1;
                let number = self.group.number + 1;
                self.group = Group { number, term: 1, ..Group::default() };
                outsiders.iter().for_each(|p| self.join_group(*p));
                let highest_term = outsiders.iter().map(|p| {
                    let planner = self.planners[*p].as_ref().expect("the planner is running");
                    planner.highest_term.max(planner.publisher.plan().version.term)
                });
                // The founder's clock may be slow.
                let founder_clock = (self.now / MS).saturating_sub(self.rng.clone().below(3000) as u64);
                let highest_term = highest_term.max().unwrap_or_default() >> 16;
                let base = founder_clock.max(highest_term + 1) << 16 | self.rng.below(1 << 16) as u64;
                self.group.log.push((1, Command::Base(base)));
            }
            return;
        };
        self.group.leaderless_since = None;
        if self.rng.below(50) == 0 {
            self.group.term += 1; // a new leader
        }
        for p in running.iter().copied().filter(|p| is_connected(self, *p, leader)).collect::<Vec<_>>() {
            if !is_member(self, p) {
                self.join_group(p);
            }
            let (command, drains) = self.planners[p].as_mut().expect("the planner is running").propose();
            let mut planner = self.planners[p].take().expect("the planner is running");
            self.broadcast(p, &mut planner, drains);
            self.planners[p] = Some(planner);
            // A lost proposal is repeated in the next step.
            if let Some(command) = command
                && self.rng.below(3) > 0
            {
                self.group.log.push((self.group.term, command));
            }
        }
        let leader_state = self.planners[leader].as_ref().expect("the planner is running");
        let (version, now) = (leader_state.fleet.plan().version, self.uptime(ProcessId::Planner(leader)));
        let highest_term = self.planners.iter().flatten().map(|p| p.highest_term).max().unwrap_or_default();
        let is_applied = leader_state.applied == self.group.log.len();
        let mut commands = Vec::new();
        if is_applied && highest_term > version.term {
            commands.push(Command::Base(((highest_term >> 16) + 1) << 16));
        }
        let start = self.processes[&ProcessId::Planner(leader)].started_at;
        for q in (0..PLANNERS as u32).filter(|q| *q as usize != leader) {
            let last_reply_at = leader_state.last_reply_at.get(&q).copied().unwrap_or(start);
            let is_silent = self.now - last_reply_at >= 2000 * MS
                && !leader_state.lease_grantor.grantable_lease(now).is_zero();
            if is_applied && is_silent && leader_state.fleet.expelled_epoch(q).is_none() {
                let epoch = (self.now / MS + 1)
                    .max(leader_state.fleet.announcement_version(q).map_or(0, |m| m.epoch));
                commands.push(Command::Expel { planner: q, epoch });
            }
        }
        let term = self.group.term;
        self.group.log.extend(commands.into_iter().map(|c| (term, c)));
        for p in 0..PLANNERS {
            let is_behind =
                self.planners[p].as_ref().is_some_and(|planner| planner.applied < self.group.log.len());
            if is_behind
                && is_member(self, p)
                && is_connected(self, p, leader)
                && self.is_up(ProcessId::Planner(p))
            {
                let after = self.draw_delay();
                self.schedule(ProcessId::Planner(p), after, SimulationEvent::ApplyLog);
            }
        }
    }

    fn join_group(&mut self, p: usize) {
        let planner = self.planners[p].as_mut().expect("the planner is running");
        planner.group = self.group.number;
        planner.applied = 0;
        planner.fleet = Default::default();
    }

    // ---- Forwarders ----

    fn step_forwarder(&mut self, f: usize, event: SimulationEvent) {
        let process_id = ProcessId::Forwarder(f);
        let process = self.processes[&process_id];
        let uptime = self.uptime(process_id);
        let (now, start) = (self.now, process.started_at);
        let random_fraction = self.rng.below(1000) as f64 / 1000.0;
        let mut forwarder = self.forwarders[f].take().expect("the process is up");
        let mut actions = Vec::new();
        match event {
            SimulationEvent::Heartbeat => {
                forwarder.follower.begin_round();
                for p in 0..PLANNERS {
                    let message = forwarder.follower.next_heartbeat(p, uptime);
                    self.send_to_planner(f, p, message);
                }
                forwarder.update_standby(now, start, random_fraction, false, &mut actions);
                // Its own watch begins with a read of membership.
                if forwarder.is_watching && !forwarder.standby.uses_own_list() {
                    let after = self.draw_between(MS, 20 * MS);
                    self.schedule(process_id, after, SimulationEvent::ReadMembership);
                }
                self.schedule(process_id, self.heartbeat_interval(), SimulationEvent::Heartbeat);
            }
            SimulationEvent::Tick => {
                if forwarder.standby.uses_own_list() {
                    // The reply to the previous check arrives first.
                    forwarder.standby.record_read_request();
                    self.schedule(
                        process_id,
                        self.rng.clone().below(2000) as u64,
                        SimulationEvent::CheckMembership,
                    );
                }
                self.schedule(process_id, self.lease_check_interval(), SimulationEvent::Tick);
            }
            SimulationEvent::CheckMembership => {
                if forwarder.observed_state == self.membership.len() - 1 {
                    forwarder.standby.record_read(uptime);
                    forwarder.apply_standby(now, start, false, &mut actions);
                } else {
                    self.schedule(process_id, 20 * MS, SimulationEvent::ReadMembership);
                }
            }
            SimulationEvent::Digest => {
                let digest = forwarder.take_digest(500 * MS);
                (0..PLANNERS)
                    .for_each(|p| self.send_to_planner(f, p, ForwarderMessage::Digest(digest.clone())));
                self.schedule(process_id, 500 * MS, SimulationEvent::Digest);
            }
            SimulationEvent::ReadMembership => {
                if forwarder.standby.is_watching() {
                    forwarder.own_watches += usize::from(!forwarder.standby.uses_own_list());
                    let nodes = self.nodes();
                    self.record_membership_read(false);
                    forwarder.observed_state = self.membership.len() - 1;
                    if forwarder.standby.receive_own_list(&forwarder.follower, nodes) {
                        forwarder.apply_standby(now, start, true, &mut actions);
                    }
                }
            }
            SimulationEvent::Connect(p) => {
                if self.is_up(ProcessId::Planner(p))
                    && !self.is_partitioned(process_id, ProcessId::Planner(p))
                {
                    let connection = self.connections.entry((f, p)).or_default();
                    (connection.number, connection.up) = (connection.number + 1, true);
                    connection.last_arrival = [now, now];
                    let plan_version = forwarder.follower.version();
                    let slice_size = forwarder.follower.slice().map(|slice| slice.size() as u32);
                    self.send_to_planner(
                        f,
                        p,
                        ForwarderMessage::Hello { name: format!("f{f}"), plan_version, slice_size },
                    );
                } else {
                    let after = self.draw_between(50 * MS, 200 * MS);
                    self.schedule(process_id, after, SimulationEvent::Connect(p));
                }
            }
            SimulationEvent::ConnectionLost { planner: p, connection } => {
                if self.connections[&(f, p)].number == connection {
                    forwarder.follower.remove_connection(p);
                    self.schedule(process_id, 50 * MS, SimulationEvent::Connect(p));
                }
            }
            SimulationEvent::ToForwarder { planner: p, connection, message } => {
                let current = &self.connections[&(f, p)];
                if current.number == connection && current.up {
                    let effect = forwarder.follower.receive(p, *message);
                    let mut changed = false;
                    match effect {
                        MessageEffect::NodesChanged => {
                            changed = true;
                            let message = forwarder.follower.next_heartbeat(p, uptime);
                            self.send_to_planner(f, p, message);
                        }
                        MessageEffect::Request(message) => self.send_to_planner(f, p, message),
                        MessageEffect::BudgetsChanged => forwarder.apply_budgets(now, &mut actions),
                        MessageEffect::Accepted | MessageEffect::Rejected(_) => {}
                    }
                    let last_version = self
                        .plan_versions
                        .get_mut(&(f, process.incarnation))
                        .expect("the forwarder has started");
                    let version = forwarder.follower.version().unwrap_or_default();
                    assert!(
                        version >= *last_version,
                        "seed {}: f{f} goes back to plan {version:?}",
                        self.seed
                    );
                    *last_version = version;
                    forwarder.update_standby(now, start, random_fraction, changed, &mut actions);
                }
            }
            SimulationEvent::Request => {
                let class = usize::from(self.rng.below(4) == 0);
                forwarder.request_count += 1;
                let request = forwarder.request_count;
                let open = OpenRequest { is_unsafe: class == 1, answer_count: 0, attempts: Vec::new() };
                forwarder.open_requests.insert(request, open);
                self.schedule(process_id, 995 * MS, SimulationEvent::ClientTimeout(request));
                self.schedule(
                    process_id,
                    0,
                    SimulationEvent::QueuedRequest { request, class, received_at: now },
                );
                if now < LAST_ACTIVITY {
                    let after = self.draw_between(5 * MS, 35 * MS);
                    self.schedule(process_id, after, SimulationEvent::Request);
                }
            }
            SimulationEvent::QueuedRequest { request, class, received_at } => {
                if forwarder.open_requests[&request].answer_count > 0 {
                    // The client has given up.
                } else if forwarder.has_lease(now) || now - received_at >= 500 * MS {
                    let budget = 1.0 - (now - received_at) as f64 / 1e6 - 0.006;
                    let request = Request { id: RequestId(request), class, tenant: None, key: None, budget };
                    forwarder.handle_event(now, Event::Request(request), &mut actions);
                } else {
                    self.schedule(
                        process_id,
                        5 * MS,
                        SimulationEvent::QueuedRequest { request, class, received_at },
                    );
                }
            }
            SimulationEvent::Timer(token) => forwarder.handle_event(now, Event::Timer(token), &mut actions),
            SimulationEvent::WriteAttempt { request, attempt } => {
                self.write_attempt(f, &mut forwarder, request, attempt)
            }
            SimulationEvent::EndAttempt { request, attempt, outcome } => {
                self.end_attempt(&mut forwarder, request, attempt, outcome, &mut actions);
            }
            SimulationEvent::ClientTimeout(request) => {
                let open = forwarder.open_requests.get_mut(&request).expect("the request is known");
                if open.answer_count == 0 {
                    open.answer_count += 1;
                    self.statistics.failed += 1;
                    forwarder.handle_event(now, Event::ClientDisconnected(RequestId(request)), &mut actions);
                }
            }
            other => panic!("unexpected event of a forwarder: {other:?}"),
        }
        while !actions.is_empty() {
            for action in std::mem::take(&mut actions) {
                self.perform(f, &mut forwarder, action, &mut actions);
            }
        }
        self.statistics.own_watches += std::mem::take(&mut forwarder.own_watches);
        self.forwarders[f] = Some(forwarder);
    }

    /// Performs an action of the decision module.
    fn perform(&mut self, f: usize, forwarder: &mut Forwarder, action: Action, further: &mut Vec<Action>) {
        let process_id = ProcessId::Forwarder(f);
        match action {
            Action::Send { id, backend, timeout, .. } => {
                let open = forwarder.open_requests.get_mut(&id.0).expect("the request is known");
                let attempt = open.attempts.len();
                open.attempts.push(Attempt {
                    backend,
                    sent_at: self.now,
                    has_ended: false,
                    is_written: false,
                });
                let counts = forwarder.counts.entry(backend).or_default();
                counts.sent += 1;
                // The time to find or open a connection.
                let after = self.draw_between(0, 3 * MS);
                self.schedule(process_id, after, SimulationEvent::WriteAttempt { request: id.0, attempt });
                if timeout > 0.0 {
                    let timed_out =
                        SimulationEvent::EndAttempt { request: id.0, attempt, outcome: Outcome::Timeout };
                    self.schedule(process_id, (timeout * 1e6) as u64, timed_out);
                }
            }
            Action::Cancel { id, attempt } => {
                self.end_attempt(forwarder, id.0, attempt, Outcome::Cancelled, further);
            }
            Action::Reject { id, .. } => self.answer_unserved(forwarder, id.0, false),
            Action::Fail { id } => self.answer_unserved(forwarder, id.0, true),
            Action::Timer { at, token } => {
                let after = ((at * 1e6) as u64).saturating_sub(self.now) + 1;
                self.schedule(process_id, after, SimulationEvent::Timer(token));
            }
            Action::Probe(backend) => {
                let event = Event::Probed { backend, outcome: Outcome::Served, report: None };
                forwarder.handle_event(self.now, event, further);
            }
            Action::CloseIdleConnections(_) | Action::Watch(_) | Action::Fetch | Action::Log(_) => {}
        }
    }

    /// Answers a request without a node's response.
    fn answer_unserved(&mut self, forwarder: &mut Forwarder, request: u64, failed: bool) {
        let open = forwarder.open_requests.get_mut(&request).expect("the request is known");
        open.answer_count += 1;
        assert_eq!(open.answer_count, 1, "seed {}: request {request} is answered more than once", self.seed);
        if failed { self.statistics.failed += 1 } else { self.statistics.rejected += 1 }
    }

    /// Writes an attempt to its node if the lease and the send deadline allow it.
    fn write_attempt(&mut self, f: usize, forwarder: &mut Forwarder, request: u64, attempt: usize) {
        let now = self.now;
        let has_lease = forwarder.has_lease(now);
        let attempt_state =
            &mut forwarder.open_requests.get_mut(&request).expect("the request is known").attempts[attempt];
        if attempt_state.has_ended {
            return; // cancelled
        }
        let is_open = forwarder
            .send_deadlines
            .get(&attempt_state.backend)
            .copied()
            .flatten()
            .is_none_or(|deadline| now < deadline);
        let (backend, process_id) = (attempt_state.backend, ProcessId::Forwarder(f));
        if !has_lease || !is_open {
            let outcome = if has_lease { Outcome::NoConnection } else { Outcome::NeverSent };
            return self.schedule(process_id, 0, SimulationEvent::EndAttempt { request, attempt, outcome });
        }
        attempt_state.is_written = true;
        let names = forwarder.tracker.node_names();
        // A node that has left the list keeps its id until its send deadline.
        let node = names.get(&backend).and_then(|name| name[1..].parse::<usize>().ok());
        if let Some(node) = node {
            self.check_send(node, f);
            self.arrivals[node].push(now);
        }
        if forwarder.open_requests[&request].is_unsafe {
            let writes =
                self.unsafe_writes.entry((f, self.processes[&process_id].incarnation, request)).or_default();
            *writes += 1;
            assert_eq!(*writes, 1, "seed {}: request {request} of f{f} is written more than once", self.seed);
        }
        // One answer in a hundred is lost.
        if self.rng.below(100) > 0 {
            let after = self.draw_between(MS, 5 * MS);
            let outcome = if self.rng.below(100) == 0 { Outcome::Error } else { Outcome::Served };
            self.schedule(process_id, after, SimulationEvent::EndAttempt { request, attempt, outcome });
        }
    }

    /// Records the outcome of an attempt and reports it to the decision module.
    fn end_attempt(
        &mut self,
        forwarder: &mut Forwarder,
        request: u64,
        attempt: usize,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let open = forwarder.open_requests.get_mut(&request).expect("the request is known");
        let attempt_state = &mut open.attempts[attempt];
        if std::mem::replace(&mut attempt_state.has_ended, true) {
            return;
        }
        let outcome = match outcome {
            Outcome::Timeout if !attempt_state.is_written => Outcome::NoConnection,
            other => other,
        };
        let counts = forwarder.counts.entry(attempt_state.backend).or_default();
        if outcome == Outcome::Served {
            counts.served += 1;
            if open.answer_count == 0 {
                open.answer_count += 1;
                self.statistics.served += 1;
            }
        }
        let duration = (self.now - attempt_state.sent_at) as f64 / 1e6;
        let (backend, is_final) = (attempt_state.backend, open.answer_count > 0);
        let result = AttemptResult {
            id: RequestId(request),
            backend,
            attempt,
            outcome,
            duration,
            is_final,
            report: None,
        };
        forwarder.handle_event(self.now, Event::Outcome(result), actions);
    }

    // ---- Final checks ----

    fn check_at_end(&mut self) {
        for forwarder in self.forwarders.iter().flatten() {
            for (request, open) in &forwarder.open_requests {
                assert_eq!(open.answer_count, 1, "seed {}: request {request} has no answer", self.seed);
            }
        }
        self.check_cold_nodes();
    }

    /// Checks the invariant of cold nodes: in any second all forwarders together send a started node at most
    /// `OVERLOAD_MULTIPLE` times its current capacity, a fraction of the rate of the busiest node.
    fn check_cold_nodes(&mut self) {
        for node in 0..NODES {
            let mut previous = NodeStatus::Serving;
            let mut starts: Vec<u64> = Vec::new();
            for (state, first_read) in self.membership.iter().zip(&self.first_read) {
                if state[node] == NodeStatus::Serving && previous != NodeStatus::Serving {
                    starts.extend(*first_read);
                }
                previous = state[node];
            }
            for start in starts {
                let steps = (COLD_SECONDS * 4.0) as u64;
                for step in 0..steps {
                    let (from, to) = (start + step * 250 * MS, start + step * 250 * MS + 1000 * MS);
                    if to > LAST_ACTIVITY {
                        break;
                    }
                    let count_arrivals =
                        |n: usize| self.arrivals[n].iter().filter(|a| (from..to).contains(*a)).count();
                    let sent = count_arrivals(node);
                    let busiest = (0..NODES).map(count_arrivals).max().unwrap_or_default();
                    let age = (to - start) as f64 / 1e6 / COLD_SECONDS;
                    let capacity_fraction =
                        (COLD_CAPACITY_FRACTION + (1.0 - COLD_CAPACITY_FRACTION) * age).min(1.0);
                    let limit = OVERLOAD_MULTIPLE * capacity_fraction * busiest as f64;
                    // Counts this small vary too much by chance.
                    if sent > 8 {
                        let fraction = sent as f64 / limit;
                        assert!(
                            fraction <= 1.0,
                            "seed {}: n{node} is sent {sent} requests in a second, expected at most {limit}",
                            self.seed
                        );
                        self.statistics.max_cold_fraction = self.statistics.max_cold_fraction.max(fraction);
                    }
                }
            }
        }
    }
}
