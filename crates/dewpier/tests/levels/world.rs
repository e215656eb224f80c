//! The world round both levels, and the rules that are checked in it at every step.

use crate::forwarder::{Attempt, Forwarder, Open};
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

const MS: u64 = 1000;
const PLANNERS: usize = 3;
const FORWARDERS: usize = 4;
const NODES: usize = 8;
/// Nodes of a part.
const PART: usize = 5;
/// When nothing new happens any more, and when the last answer must have been given.
const QUIET: u64 = 6000 * MS;
const END: u64 = 11_000 * MS;
const COLD: f64 = 2.0;
const COLD_SHARE: f64 = 0.2;
const FALL: f64 = 3.0;

#[derive(Debug, Default)]
pub struct Tally {
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    pub crashes: usize,
    pub pauses: usize,
    pub cuts: usize,
    pub told: usize,
    pub foundings: usize,
    pub own_watches: usize,
    /// Planners who alone had heard something, and died.
    pub alone: usize,
    /// The largest part of what tips a cold node over that one was sent within a second.
    pub cold: f64,
}

impl Tally {
    pub fn add(&mut self, other: Tally) {
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.crashes += other.crashes;
        self.pauses += other.pauses;
        self.cuts += other.cuts;
        self.told += other.told;
        self.foundings += other.foundings;
        self.own_watches += other.own_watches;
        self.alone += other.alone;
        self.cold = self.cold.max(other.cold);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Who {
    P(usize),
    F(usize),
}

#[derive(Clone, Debug)]
enum What {
    /// Membership changes.
    Change,
    /// A watch notices.
    Notice,
    /// A planner looks, asks the others, proposes.
    Tick,
    Ask {
        from: usize,
        heard: AnnouncementVersion,
        asked: u64,
    },
    Answer {
        from: usize,
        epoch: u64,
        mark: AnnouncementVersion,
        news: Option<Vec<(AnnouncementVersion, String)>>,
        asked: u64,
    },
    /// What is agreed is applied.
    Apply,
    /// Agreement moves on.
    Group,
    Beat,
    /// A forwarder's own watch looks.
    Look,
    Digest,
    Connect(usize),
    Down {
        planner: usize,
        connection: u64,
    },
    ToPlanner {
        forwarder: usize,
        connection: u64,
        asked: ForwarderMessage,
    },
    ToForwarder {
        planner: usize,
        connection: u64,
        told: Box<PlannerMessage>,
    },
    Request,
    Held {
        request: u64,
        class: usize,
        since: u64,
    },
    Timer(u64),
    Gate {
        request: u64,
        attempt: usize,
    },
    Done {
        request: u64,
        attempt: usize,
        outcome: Outcome,
    },
    Patience(u64),
    Fault,
    Restart,
}

/// A process: which life it is in, whether it runs, and until when it stands still.
#[derive(Clone, Copy, Default)]
struct Process {
    life: u32,
    up: bool,
    paused: u64,
    start: u64,
}

/// A node's state in one state of membership.
#[derive(Clone, Copy, PartialEq)]
enum Is {
    Serving,
    Draining,
    Gone,
}

#[derive(Default)]
struct Connection {
    number: u64,
    up: bool,
    /// When the last message each way arrives.
    last: [u64; 2],
}

/// A log that a connected majority appends to.
#[derive(Default)]
struct Group {
    number: u64,
    term: u64,
    log: Vec<(u64, Command)>,
    dead_since: Option<u64>,
}

/// When, in which order, for whom in which life, and what.
type Queued = (u64, u64, Who, u32, usize);

pub struct World {
    seed: u64,
    /// The bound on drains of planners, and that of forwarders, which is what must be kept.
    planned: DrainBound,
    drains: DrainBound,
    rng: Rng,
    now: u64,
    queue: BinaryHeap<Reverse<Queued>>,
    whats: HashMap<usize, What>,
    count: usize,
    processes: BTreeMap<Who, Process>,
    planners: Vec<Option<Planner>>,
    forwarders: Vec<Option<Forwarder>>,
    connections: HashMap<(usize, usize), Connection>,
    cuts: HashMap<(Who, Who), u64>,
    group: Group,
    /// Planners to whom membership says nothing, and until when; the one who still hears, and for how long.
    blind: HashMap<Who, u64>,
    alone: Option<(usize, u64)>,
    /// All states of membership, the last one at the end.
    truth: Vec<[Is; NODES]>,
    /// When each was first seen by a planner, and by anyone.
    told: Vec<Option<u64>>,
    seen: Vec<Option<u64>>,
    versions: HashMap<(usize, u32), Version>,
    runs: HashMap<(usize, u32, u64), u32>,
    arrivals: Vec<Vec<u64>>,
    tally: Tally,
}

fn pair(a: Who, b: Who) -> (Who, Who) {
    (a.min(b), a.max(b))
}

/// Every second forwarder uses but a part of the fleet.
fn slice(me: usize) -> Option<Slice> {
    (me % 2 == 1).then(|| Slice::new(&format!("f{me}"), PART))
}

fn settings(me: usize) -> Settings {
    let class = |effect| Class { aim: 0.5, deadline: 1.0, effect, ..Class::default() };
    Settings {
        classes: vec![class(Effect::Safe), class(Effect::Unsafe)],
        instance_count: FORWARDERS,
        instance_index: me,
        cold_duration: COLD,
        cold_capacity_fraction: COLD_SHARE,
        overload_multiple: FALL,
        ..Settings::default()
    }
}

impl World {
    pub fn play(seed: u64, planned: DrainBound, drains: DrainBound) -> Tally {
        let mut world = Self {
            seed,
            planned,
            drains,
            rng: Rng::new(seed),
            now: 0,
            queue: BinaryHeap::new(),
            whats: HashMap::new(),
            count: 0,
            processes: BTreeMap::new(),
            planners: (0..PLANNERS).map(|_| None).collect(),
            forwarders: (0..FORWARDERS).map(|_| None).collect(),
            connections: HashMap::new(),
            cuts: HashMap::new(),
            group: Group::default(),
            blind: HashMap::new(),
            alone: None,
            truth: vec![[Is::Serving; NODES]],
            told: vec![Some(0)],
            seen: vec![Some(0)],
            versions: HashMap::new(),
            runs: HashMap::new(),
            arrivals: vec![Vec::new(); NODES],
            tally: Tally::default(),
        };
        (0..PLANNERS).for_each(|p| world.start(Who::P(p)));
        (0..FORWARDERS).for_each(|f| world.start(Who::F(f)));
        // What belongs to no process is kept by the first planner's place, and no life of it matters.
        world.at(1000 * MS, What::Change);
        world.at(1200 * MS, What::Fault);
        world.at(0, What::Group);
        while let Some(Reverse((at, _, who, life, index))) = world.queue.pop() {
            if at > END {
                break;
            }
            world.now = at;
            let what = world.whats.remove(&index).expect("each is queued once");
            world.step(who, life, what);
        }
        world.finish();
        world.tally
    }

    fn lease(&self) -> Duration {
        self.planned.max_lease()
    }

    fn beat(&self) -> u64 {
        self.drains.default_heartbeat().as_micros() as u64
    }

    fn asked_every(&self) -> u64 {
        lease_check_interval(self.lease()).as_micros() as u64
    }

    fn below(&mut self, from: u64, to: u64) -> u64 {
        from + self.rng.below((to - from) as usize) as u64
    }

    fn push(&mut self, at: u64, who: Who, life: u32, what: What) {
        self.count += 1;
        self.whats.insert(self.count, what);
        self.queue.push(Reverse((at, self.count as u64, who, life, self.count)));
    }

    /// For a process in the life that it is in.
    fn later(&mut self, who: Who, after: u64, what: What) {
        let life = self.processes[&who].life;
        self.push(self.now + after, who, life, what);
    }

    /// For the world itself.
    fn at(&mut self, at: u64, what: What) {
        self.push(at, Who::P(0), u32::MAX, what);
    }

    fn cut(&self, a: Who, b: Who) -> bool {
        self.cuts.get(&pair(a, b)).is_some_and(|until| self.now < *until)
    }

    fn blind(&self, who: Who) -> bool {
        self.blind.get(&who).is_some_and(|until| self.now < *until)
    }

    fn up(&self, who: Who) -> bool {
        self.processes.get(&who).is_some_and(|p| p.up)
    }

    fn runs(&self, who: Who) -> bool {
        self.processes.get(&who).is_some_and(|p| p.up && p.paused <= self.now)
    }

    fn since(&self, who: Who) -> Duration {
        Duration::from_micros(self.now - self.processes[&who].start)
    }

    fn nodes(&self) -> Vec<Node> {
        let state = self.truth[self.truth.len() - 1];
        let node = |(i, is): (usize, &Is)| Node {
            id: format!("n{i}"),
            address: ([10, 0, 0, 1], 1000 + i as u16).into(),
            zone: String::new(),
            cell: 0,
            weight: 1.0,
            draining: *is == Is::Draining,
            age_ms: None,
        };
        state.iter().enumerate().filter(|(_, is)| **is != Is::Gone).map(node).collect()
    }

    // ---- Processes ----

    fn start(&mut self, who: Who) {
        let process = self.processes.entry(who).or_default();
        process.life += 1;
        (process.up, process.paused, process.start) = (true, 0, self.now);
        let life = process.life;
        match who {
            Who::P(p) => {
                // It reads membership before anything else.
                let mut planner = Planner::new(p as u32, self.now / MS + 1, self.lease());
                let drains = planner.announcer.observe(self.nodes());
                planner.publisher.add_drains(drains);
                planner.seen = self.truth.len() - 1;
                self.planners[p] = Some(planner);
                self.observed(true);
                let first = self.below(0, self.asked_every());
                self.later(who, first, What::Tick);
            }
            Who::F(f) => {
                let seed = self.rng.next_u64();
                self.forwarders[f] = Some(Forwarder::new(self.now, seed, settings(f), slice(f), self.drains));
                for p in 0..PLANNERS {
                    self.later(who, 0, What::Connect(p));
                }
                let first = self.below(0, self.beat());
                self.later(who, first, What::Beat);
                self.later(who, first, What::Digest);
                self.later(who, first, What::Tick);
                self.later(who, 300 * MS + first, What::Request);
                self.versions.insert((f, life), Version::default());
            }
        }
    }

    fn crash(&mut self, who: Who) {
        self.tally.crashes += 1;
        self.processes.get_mut(&who).expect("all have started").up = false;
        match who {
            Who::P(p) => {
                self.planners[p] = None;
                (0..FORWARDERS).for_each(|f| self.broken(f, p));
            }
            Who::F(f) => {
                // What it owed is lost with it.
                self.forwarders[f] = None;
                (0..PLANNERS).for_each(|p| self.broken(f, p));
            }
        }
        let back = self.below(100 * MS, 1500 * MS);
        self.push(self.now + back, who, u32::MAX, What::Restart);
    }

    /// A connection is gone, with all that was under way on it. The forwarder notices now or later.
    fn broken(&mut self, f: usize, p: usize) {
        let connection = self.connections.entry((f, p)).or_default();
        if !std::mem::take(&mut connection.up) {
            return;
        }
        let number = connection.number;
        if let Some(planner) = &mut self.planners[p] {
            planner.loads.remove_forwarder(f as u64);
        }
        if self.up(Who::F(f)) {
            let late = if self.rng.below(2) == 0 { 0 } else { self.below(0, 1500 * MS) };
            self.later(Who::F(f), late, What::Down { planner: p, connection: number });
        }
    }

    fn fault(&mut self) {
        let planner = Who::P(self.rng.below(PLANNERS));
        let forwarder = Who::F(self.rng.below(FORWARDERS));
        let pause = self.now + self.below(50 * MS, 1200 * MS);
        let cut = self.now + self.below(100 * MS, 2000 * MS);
        match self.rng.below(14) {
            12 | 13 => {
                // Membership answers one planner only, who dies once it has heard something.
                let until = self.now + self.below(600 * MS, 2000 * MS);
                let heard = self.rng.below(PLANNERS);
                self.blind = (0..PLANNERS).filter(|p| *p != heard).map(|p| (Who::P(p), until)).collect();
                self.alone = Some((heard, until));
            }
            0 | 1 if self.up(planner) => self.crash(planner),
            2 => (0..PLANNERS).map(Who::P).for_each(|p| {
                if self.up(p) {
                    self.crash(p);
                }
            }),
            3 if self.up(forwarder) => self.crash(forwarder),
            who @ 4..=7 => {
                let who = if who < 6 { planner } else { forwarder };
                self.tally.pauses += 1;
                self.processes.get_mut(&who).expect("all have started").paused = pause;
            }
            8 | 9 => (0..PLANNERS).for_each(|p| self.sever(forwarder, Who::P(p), cut)),
            10 => {
                let other = Who::P(self.rng.below(PLANNERS));
                self.sever(planner, other, cut);
            }
            _ => {
                // A planner is cut off from all.
                (0..PLANNERS).map(Who::P).for_each(|p| self.sever(planner, p, cut));
                (0..FORWARDERS).map(Who::F).for_each(|f| self.sever(planner, f, cut));
            }
        }
    }

    fn sever(&mut self, a: Who, b: Who, until: u64) {
        if a == b {
            return;
        }
        self.tally.cuts += 1;
        self.cuts.insert(pair(a, b), until);
        if let (Who::P(p), Who::F(f)) = pair(a, b) {
            self.broken(f, p);
        }
    }

    // ---- Membership ----

    fn change(&mut self) {
        let mut state = self.truth[self.truth.len() - 1];
        let node = self.rng.below(NODES);
        let serving = state.iter().filter(|s| **s == Is::Serving).count();
        state[node] = match state[node] {
            Is::Serving if serving <= NODES / 2 => return,
            Is::Serving if self.rng.below(4) == 0 => Is::Gone,
            Is::Serving => Is::Draining,
            Is::Draining if self.rng.below(2) == 0 => Is::Gone,
            Is::Draining | Is::Gone => Is::Serving,
        };
        self.truth.push(state);
        self.told.push(None);
        self.seen.push(None);
        for who in self.processes.keys().copied().collect::<Vec<_>>() {
            if self.up(who) {
                // Some watches are told of nothing, and find it when they next look by themselves.
                let slow = self.rng.below(4) == 0;
                let after = if slow { self.below(200 * MS, 1500 * MS) } else { self.below(2 * MS, 60 * MS) };
                self.later(who, after, What::Notice);
            }
        }
    }

    /// Someone has read membership as it is now.
    fn observed(&mut self, planner: bool) {
        let last = self.truth.len() - 1;
        self.seen[last].get_or_insert(self.now);
        if planner && self.told[last].is_none() {
            self.told[last] = Some(self.now);
            self.tally.told += 1;
        }
    }

    /// The drain rule: from the moment that any planner was told that a node takes nothing new, no
    /// forwarder begins anything there after the bound, until somebody has seen it serving again.
    fn check_send(&self, node: usize, f: usize) {
        let mut first: Option<u64> = None;
        for (state, (told, seen)) in self.truth.iter().zip(self.told.iter().zip(&self.seen)) {
            if state[node] == Is::Serving {
                if seen.is_some() {
                    first = None;
                }
            } else {
                first = first.or(*told);
            }
        }
        if let Some(told) = first {
            let late = self.now.saturating_sub(told);
            let bound = self.drains.get().as_micros() as u64;
            assert!(late <= bound, "seed {}: n{node} gets something from f{f} {late} us after", self.seed);
        }
    }

    // ---- What happens ----

    fn step(&mut self, who: Who, life: u32, what: What) {
        match what {
            What::Change => {
                self.change();
                let next = self.now + self.below(150 * MS, 700 * MS);
                if next < QUIET {
                    self.at(next, What::Change);
                }
                return;
            }
            What::Fault => {
                self.fault();
                let next = self.now + self.below(200 * MS, 1200 * MS);
                if next < QUIET {
                    self.at(next, What::Fault);
                }
                return;
            }
            What::Group => {
                self.agree();
                self.at(self.now + 20 * MS, What::Group);
                return;
            }
            What::Restart => return self.start(who),
            _ => {}
        }
        let process = self.processes[&who];
        if !process.up || process.life != life {
            return;
        }
        if process.paused > self.now {
            // It stands still: all that comes waits for it, in order.
            return self.push(process.paused, who, life, what);
        }
        match who {
            Who::P(p) => self.planner(p, what),
            Who::F(f) => self.forwarder(f, what),
        }
    }

    // ---- Planners ----

    fn planner(&mut self, p: usize, what: What) {
        let who = Who::P(p);
        let now = self.since(who);
        let mut planner = self.planners[p].take().expect("it is up");
        match what {
            What::Notice if self.blind(who) => {
                let wait = self.blind[&who] - self.now + MS;
                self.later(who, wait, What::Notice);
            }
            What::Notice => {
                let drains = planner.announcer.observe(self.nodes());
                planner.seen = self.truth.len() - 1;
                let first = self.told[planner.seen].is_none();
                self.observed(true);
                let alone = self.alone.is_some_and(|(heard, until)| heard == p && self.now < until);
                if first && (self.rng.below(6) == 0 || alone) {
                    // It dies with its news untold.
                    self.tally.alone += usize::from(alone);
                    return self.crash(who);
                }
                self.broadcast(p, &mut planner, drains);
            }
            What::Tick => {
                // Twice in the time between two questions to the others a look where one is wanted.
                if planner.vouch.needs_membership_read(now) && !self.blind(who) {
                    if planner.seen == self.truth.len() - 1 {
                        planner.vouch.record_membership_read(now);
                    } else {
                        self.later(who, 20 * MS, What::Notice); // once it has settled
                    }
                }
                if self.rng.below(2) == 0 {
                    for q in (0..PLANNERS).filter(|q| *q != p) {
                        let agreed = planner.fleet.announcement_version(q as u32).unwrap_or_default();
                        let heard = planner.heard.get(&(q as u32)).copied().unwrap_or_default().max(agreed);
                        let asked = self.now;
                        self.between(p, q, What::Ask { from: p, heard, asked });
                    }
                }
                self.later(who, self.asked_every() / 2, What::Tick);
            }
            What::Ask { from, heard, asked } => {
                let (mark, news) = (planner.announcer.version(), planner.announcer.drains_since(heard));
                let answer = What::Answer { from: p, epoch: mark.epoch, mark, news, asked };
                self.between(p, from, answer);
            }
            What::Answer { from, epoch, mark, news, asked } => {
                let q = from as u32;
                planner.heard_at.insert(q, self.now);
                if let Some(news) = news {
                    let told =
                        |(mark, id)| PlannerMessage::Drain { planner: q, announcement_version: mark, id };
                    self.broadcast(p, &mut planner, news.into_iter().map(told).collect());
                    let heard = planner.heard.entry(q).or_default();
                    *heard = mark.max(*heard);
                    let start = self.processes[&who].start;
                    // An answer to the life before says nothing.
                    if asked >= start {
                        planner.vouch.record_answer(q, epoch, Duration::from_micros(asked - start), now);
                    }
                }
            }
            What::Apply => {
                if planner.group == self.group.number {
                    while planner.applied < self.group.log.len() {
                        let (term, command) = self.group.log[planner.applied].clone();
                        planner.applied += 1;
                        let _ = planner.fleet.apply(term, planner.applied as u64, command);
                    }
                    let Planner { fleet, announcer, vouch, .. } = &mut planner;
                    let drains = drain_missing_nodes(fleet, p as u32, announcer, vouch);
                    self.broadcast(p, &mut planner, drains);
                    if let Some(told) = planner.publisher.publish(planner.fleet.plan(), now) {
                        for f in 0..FORWARDERS {
                            let Some(part) = planner.parts.get_mut(&f) else { continue };
                            let told = planner.publisher.message_for(part, &told, now);
                            told.into_iter().for_each(|told| self.send_down(f, p, told));
                        }
                    }
                }
            }
            What::ToPlanner { forwarder: f, connection, asked } => {
                if self.connections[&(f, p)].number == connection && self.connections[&(f, p)].up {
                    let told = match asked {
                        ForwarderMessage::Hello { plan_version: has, name, slice_size: nodes } => {
                            planner.highest = planner.highest.max(has.map_or(0, |v| v.term));
                            let slice = nodes.map(|nodes| Slice::new(&name, nodes as usize));
                            let (part, told) = planner.publisher.start_follower(slice, has, now);
                            planner.parts.insert(f, part);
                            told
                        }
                        ForwarderMessage::Resend => {
                            let part = planner.parts.get_mut(&f).expect("it has said hello");
                            planner.publisher.full_update(part, now)
                        }
                        ForwarderMessage::Heartbeat { number } => {
                            let lease = planner.vouch.grantable_lease(now).as_millis() as u64;
                            vec![planner.publisher.heartbeat_reply(number, lease)]
                        }
                        // What planners carry is no matter of plans.
                        ForwarderMessage::Relay { .. } => Vec::new(),
                        ForwarderMessage::Digest(digest) => {
                            planner.loads.record_digest(f as u64, digest, now);
                            planner.budgets(f as u64, now).into_iter().collect()
                        }
                    };
                    told.into_iter().for_each(|told| self.send_down(f, p, told));
                }
            }
            other => panic!("a planner: {other:?}"),
        }
        self.planners[p] = Some(planner);
    }

    /// To all forwarders that are connected, drains ahead of any plan.
    fn broadcast(&mut self, p: usize, planner: &mut Planner, drains: Vec<PlannerMessage>) {
        let told = planner.publisher.add_drains(drains);
        self.tell(p, told);
    }

    fn tell(&mut self, p: usize, told: Vec<PlannerMessage>) {
        for told in told {
            (0..FORWARDERS).for_each(|f| self.send_down(f, p, told.clone()));
        }
    }

    fn between(&mut self, from: usize, to: usize, what: What) {
        if self.up(Who::P(to)) && !self.cut(Who::P(from), Who::P(to)) {
            let after = self.delay();
            self.later(Who::P(to), after, what);
        }
    }

    /// Mostly a few milliseconds, at times much more.
    fn delay(&mut self) -> u64 {
        if self.rng.below(50) == 0 { self.below(20 * MS, 300 * MS) } else { self.below(MS / 5, 8 * MS) }
    }

    fn send_down(&mut self, f: usize, p: usize, told: PlannerMessage) {
        let delay = self.delay();
        let Some(connection) = self.connections.get_mut(&(f, p)).filter(|c| c.up) else { return };
        let at = (self.now + delay).max(connection.last[0] + 1);
        connection.last[0] = at;
        let what = What::ToForwarder { planner: p, connection: connection.number, told: Box::new(told) };
        self.later(Who::F(f), at - self.now, what);
    }

    fn send_up(&mut self, f: usize, p: usize, asked: ForwarderMessage) {
        let delay = self.delay();
        let Some(connection) = self.connections.get_mut(&(f, p)).filter(|c| c.up) else { return };
        let at = (self.now + delay).max(connection.last[1] + 1);
        connection.last[1] = at;
        let what = What::ToPlanner { forwarder: f, connection: connection.number, asked };
        if self.up(Who::P(p)) {
            self.later(Who::P(p), at - self.now, what);
        }
    }

    // ---- Agreement ----

    fn agree(&mut self) {
        let runs: Vec<usize> = (0..PLANNERS).filter(|p| self.runs(Who::P(*p))).collect();
        let member = |w: &Self, p: usize| w.planners[p].as_ref().is_some_and(|x| x.group == w.group.number);
        let met = |w: &Self, p: usize, q: usize| p == q || !w.cut(Who::P(p), Who::P(q));
        // The leader is one who can reach a majority of members.
        let leader = runs.iter().copied().find(|p| {
            self.group.number > 0
                && member(self, *p)
                && runs.iter().filter(|q| member(self, **q) && met(self, *p, **q)).count() >= 2
        });
        let Some(leader) = leader else {
            let since = *self.group.dead_since.get_or_insert(self.now);
            // A majority that is in no group founds one: those who started since, or all at first.
            let idle: Vec<usize> = runs.iter().copied().filter(|p| !member(self, *p)).collect();
            if idle.len() >= 2 && self.now - since >= 300 * MS * u64::from(self.group.number > 0) {
                self.tally.foundings += 1;
                let number = self.group.number + 1;
                self.group = Group { number, term: 1, ..Group::default() };
                idle.iter().for_each(|p| self.join(*p));
                let highest = idle.iter().map(|p| {
                    let planner = self.planners[*p].as_ref().expect("it runs");
                    planner.highest.max(planner.publisher.plan().version.term)
                });
                // The clock of the founder may be behind.
                let clock = (self.now / MS).saturating_sub(self.rng.clone().below(3000) as u64);
                let highest = highest.max().unwrap_or_default() >> 16;
                let base = clock.max(highest + 1) << 16 | self.rng.below(1 << 16) as u64;
                self.group.log.push((1, Command::Base(base)));
            }
            return;
        };
        self.group.dead_since = None;
        if self.rng.below(50) == 0 {
            self.group.term += 1; // another one leads
        }
        for p in runs.iter().copied().filter(|p| met(self, *p, leader)).collect::<Vec<_>>() {
            if !member(self, p) {
                self.join(p);
            }
            let (command, drains) = self.planners[p].as_mut().expect("it runs").proposal();
            let mut planner = self.planners[p].take().expect("it runs");
            self.broadcast(p, &mut planner, drains);
            self.planners[p] = Some(planner);
            // A proposal is agreed, or lost and made anew.
            if let Some(command) = command
                && self.rng.below(3) > 0
            {
                self.group.log.push((self.group.term, command));
            }
        }
        let lead = self.planners[leader].as_ref().expect("it runs");
        let (version, now) = (lead.fleet.plan().version, self.since(Who::P(leader)));
        let highest = self.planners.iter().flatten().map(|p| p.highest).max().unwrap_or_default();
        let applied = lead.applied == self.group.log.len();
        let mut commands = Vec::new();
        if applied && highest > version.term {
            commands.push(Command::Base(((highest >> 16) + 1) << 16));
        }
        let start = self.processes[&Who::P(leader)].start;
        for q in (0..PLANNERS as u32).filter(|q| *q as usize != leader) {
            let last = lead.heard_at.get(&q).copied().unwrap_or(start);
            let silent = self.now - last >= 2000 * MS && !lead.vouch.grantable_lease(now).is_zero();
            if applied && silent && lead.fleet.expelled_epoch(q).is_none() {
                let epoch =
                    (self.now / MS + 1).max(lead.fleet.announcement_version(q).map_or(0, |m| m.epoch));
                commands.push(Command::Expel { planner: q, epoch });
            }
        }
        let term = self.group.term;
        self.group.log.extend(commands.into_iter().map(|c| (term, c)));
        for p in 0..PLANNERS {
            let behind = self.planners[p].as_ref().is_some_and(|x| x.applied < self.group.log.len());
            if behind && member(self, p) && met(self, p, leader) && self.up(Who::P(p)) {
                let after = self.delay();
                self.later(Who::P(p), after, What::Apply);
            }
        }
    }

    fn join(&mut self, p: usize) {
        let planner = self.planners[p].as_mut().expect("it runs");
        planner.group = self.group.number;
        planner.applied = 0;
        planner.fleet = Default::default();
    }

    // ---- Forwarders ----

    fn forwarder(&mut self, f: usize, what: What) {
        let who = Who::F(f);
        let process = self.processes[&who];
        let own = self.since(who);
        let (now, start) = (self.now, process.start);
        let lot = self.rng.below(1000) as f64 / 1000.0;
        let mut forwarder = self.forwarders[f].take().expect("it is up");
        let mut actions = Vec::new();
        match what {
            What::Beat => {
                forwarder.follower.begin_round();
                for p in 0..PLANNERS {
                    let asked = forwarder.follower.next_heartbeat(p, own);
                    self.send_up(f, p, asked);
                }
                forwarder.see(now, start, lot, false, &mut actions);
                // While it turns it looks more often; and its own watch begins with a read.
                if forwarder.watches && !forwarder.standby.uses_own_list() {
                    let after = self.below(MS, 20 * MS);
                    self.later(who, after, What::Notice);
                }
                self.later(who, self.beat(), What::Beat);
            }
            What::Tick => {
                if forwarder.standby.uses_own_list() {
                    // The answer to the look before comes first.
                    forwarder.standby.record_read_request();
                    self.later(who, self.rng.clone().below(2000) as u64, What::Look);
                }
                self.later(who, self.asked_every(), What::Tick);
            }
            What::Look => {
                if forwarder.seen == self.truth.len() - 1 {
                    forwarder.standby.record_read(own);
                    forwarder.hand_on(now, start, false, &mut actions);
                } else {
                    self.later(who, 20 * MS, What::Notice);
                }
            }
            What::Digest => {
                let digest = forwarder.digest(500 * MS);
                (0..PLANNERS).for_each(|p| self.send_up(f, p, ForwarderMessage::Digest(digest.clone())));
                self.later(who, 500 * MS, What::Digest);
            }
            What::Notice => {
                if forwarder.standby.is_watching() {
                    forwarder.own_watches += usize::from(!forwarder.standby.uses_own_list());
                    let nodes = self.nodes();
                    self.observed(false);
                    forwarder.seen = self.truth.len() - 1;
                    if forwarder.standby.receive_own_list(&forwarder.follower, nodes) {
                        forwarder.hand_on(now, start, true, &mut actions);
                    }
                }
            }
            What::Connect(p) => {
                if self.up(Who::P(p)) && !self.cut(who, Who::P(p)) {
                    let connection = self.connections.entry((f, p)).or_default();
                    (connection.number, connection.up) = (connection.number + 1, true);
                    connection.last = [now, now];
                    let has = forwarder.follower.version();
                    let nodes = forwarder.follower.slice().map(|slice| slice.size() as u32);
                    self.send_up(
                        f,
                        p,
                        ForwarderMessage::Hello {
                            name: format!("f{f}"),
                            plan_version: has,
                            slice_size: nodes,
                        },
                    );
                } else {
                    let after = self.below(50 * MS, 200 * MS);
                    self.later(who, after, What::Connect(p));
                }
            }
            What::Down { planner: p, connection } => {
                if self.connections[&(f, p)].number == connection {
                    forwarder.follower.remove_connection(p);
                    self.later(who, 50 * MS, What::Connect(p));
                }
            }
            What::ToForwarder { planner: p, connection, told } => {
                let known = &self.connections[&(f, p)];
                if known.number == connection && known.up {
                    let heard = forwarder.follower.receive(p, *told);
                    let mut changed = false;
                    match heard {
                        MessageEffect::NodesChanged => {
                            changed = true;
                            let asked = forwarder.follower.next_heartbeat(p, own);
                            self.send_up(f, p, asked);
                        }
                        MessageEffect::Request(asked) => self.send_up(f, p, asked),
                        MessageEffect::BudgetsChanged => forwarder.budgets(now, &mut actions),
                        MessageEffect::Accepted | MessageEffect::Rejected(_) => {}
                    }
                    let last = self.versions.get_mut(&(f, process.life)).expect("it has started");
                    let version = forwarder.follower.version().unwrap_or_default();
                    assert!(version >= *last, "seed {}: f{f} goes back to {version:?}", self.seed);
                    *last = version;
                    forwarder.see(now, start, lot, changed, &mut actions);
                }
            }
            What::Request => {
                let class = usize::from(self.rng.below(4) == 0);
                forwarder.requests += 1;
                let request = forwarder.requests;
                let open = Open { unsafe_: class == 1, answers: 0, attempts: Vec::new() };
                forwarder.open.insert(request, open);
                self.later(who, 995 * MS, What::Patience(request));
                self.later(who, 0, What::Held { request, class, since: now });
                if now < QUIET {
                    let after = self.below(5 * MS, 35 * MS);
                    self.later(who, after, What::Request);
                }
            }
            What::Held { request, class, since } => {
                if forwarder.open[&request].answers > 0 {
                    // Its client has left.
                } else if forwarder.lent(now) || now - since >= 500 * MS {
                    let budget = 1.0 - (now - since) as f64 / 1e6 - 0.006;
                    let request = Request { id: RequestId(request), class, tenant: None, key: None, budget };
                    forwarder.event(now, Event::Request(request), &mut actions);
                } else {
                    self.later(who, 5 * MS, What::Held { request, class, since });
                }
            }
            What::Timer(token) => forwarder.event(now, Event::Timer(token), &mut actions),
            What::Gate { request, attempt } => self.gate(f, &mut forwarder, request, attempt),
            What::Done { request, attempt, outcome } => {
                self.done(&mut forwarder, request, attempt, outcome, &mut actions);
            }
            What::Patience(request) => {
                let open = forwarder.open.get_mut(&request).expect("it came");
                if open.answers == 0 {
                    open.answers += 1;
                    self.tally.failed += 1;
                    forwarder.event(now, Event::ClientDisconnected(RequestId(request)), &mut actions);
                }
            }
            other => panic!("a forwarder: {other:?}"),
        }
        while !actions.is_empty() {
            for action in std::mem::take(&mut actions) {
                self.act(f, &mut forwarder, action, &mut actions);
            }
        }
        self.tally.own_watches += std::mem::take(&mut forwarder.own_watches);
        self.forwarders[f] = Some(forwarder);
    }

    fn act(&mut self, f: usize, forwarder: &mut Forwarder, action: Action, further: &mut Vec<Action>) {
        let who = Who::F(f);
        match action {
            Action::Send { id, backend, timeout } => {
                let open = forwarder.open.get_mut(&id.0).expect("it came");
                let attempt = open.attempts.len();
                open.attempts.push(Attempt { backend, sent: self.now, ended: false, written: false });
                let counts = forwarder.counts.entry(backend).or_default();
                counts.sent += 1;
                // A connection is made, or one is there.
                let after = self.below(0, 3 * MS);
                self.later(who, after, What::Gate { request: id.0, attempt });
                if timeout > 0.0 {
                    let late = What::Done { request: id.0, attempt, outcome: Outcome::Timeout };
                    self.later(who, (timeout * 1e6) as u64, late);
                }
            }
            Action::Cancel { id, attempt } => {
                self.done(forwarder, id.0, attempt, Outcome::Cancelled, further);
            }
            Action::Reject { id, .. } => self.answer(forwarder, id.0, false),
            Action::Fail { id } => self.answer(forwarder, id.0, true),
            Action::Timer { at, token } => {
                let after = ((at * 1e6) as u64).saturating_sub(self.now) + 1;
                self.later(who, after, What::Timer(token));
            }
            Action::Probe(backend) => {
                let event = Event::Probed { backend, outcome: Outcome::Served, report: None };
                forwarder.event(self.now, event, further);
            }
            Action::CloseIdleConnections(_) | Action::Watch(_) | Action::Fetch | Action::Log(_) => {}
        }
    }

    fn answer(&mut self, forwarder: &mut Forwarder, request: u64, failed: bool) {
        let open = forwarder.open.get_mut(&request).expect("it came");
        open.answers += 1;
        assert_eq!(open.answers, 1, "seed {}: request {request} is answered again", self.seed);
        if failed { self.tally.failed += 1 } else { self.tally.refused += 1 }
    }

    fn gate(&mut self, f: usize, forwarder: &mut Forwarder, request: u64, attempt: usize) {
        let now = self.now;
        let lent = forwarder.lent(now);
        let made = &mut forwarder.open.get_mut(&request).expect("it came").attempts[attempt];
        if made.ended {
            return; // it was cancelled
        }
        let open = forwarder.gates.get(&made.backend).copied().flatten().is_none_or(|last| now < last);
        let (backend, who) = (made.backend, Who::F(f));
        if !lent || !open {
            let outcome = if lent { Outcome::NoConnection } else { Outcome::NeverSent };
            return self.later(who, 0, What::Done { request, attempt, outcome });
        }
        made.written = true;
        let names = forwarder.members.node_names();
        // What has left the list keeps its number for as long as something may be sent there.
        let node = names.get(&backend).and_then(|name| name[1..].parse::<usize>().ok());
        if let Some(node) = node {
            self.check_send(node, f);
            self.arrivals[node].push(now);
        }
        if forwarder.open[&request].unsafe_ {
            let runs = self.runs.entry((f, self.processes[&who].life, request)).or_default();
            *runs += 1;
            assert_eq!(*runs, 1, "seed {}: request {request} of f{f} runs twice", self.seed);
        }
        // Few answers are lost, and then nobody ever hears of them.
        if self.rng.below(100) > 0 {
            let after = self.below(MS, 5 * MS);
            let outcome = if self.rng.below(100) == 0 { Outcome::Error } else { Outcome::Served };
            self.later(who, after, What::Done { request, attempt, outcome });
        }
    }

    fn done(
        &mut self,
        forwarder: &mut Forwarder,
        request: u64,
        attempt: usize,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let open = forwarder.open.get_mut(&request).expect("it came");
        let made = &mut open.attempts[attempt];
        if std::mem::replace(&mut made.ended, true) {
            return;
        }
        let outcome = match outcome {
            Outcome::Timeout if !made.written => Outcome::NoConnection,
            other => other,
        };
        let counts = forwarder.counts.entry(made.backend).or_default();
        if outcome == Outcome::Served {
            counts.served += 1;
            if open.answers == 0 {
                open.answers += 1;
                self.tally.served += 1;
            }
        }
        let took = (self.now - made.sent) as f64 / 1e6;
        let (backend, over) = (made.backend, open.answers > 0);
        let ended = AttemptResult {
            id: RequestId(request),
            backend,
            attempt,
            outcome,
            duration: took,
            is_final: over,
            report: None,
        };
        forwarder.event(self.now, Event::Outcome(ended), actions);
    }

    // ---- At the end ----

    fn finish(&mut self) {
        for forwarder in self.forwarders.iter().flatten() {
            for (request, open) in &forwarder.open {
                assert_eq!(open.answers, 1, "seed {}: request {request} has no answer", self.seed);
            }
        }
        self.check_cold();
    }

    /// The cold rule, over all forwarders together: within any second a node that has started is sent no more
    /// than so many times its capacity of the moment, which is a part of what others are sent.
    fn check_cold(&mut self) {
        for node in 0..NODES {
            let mut before = Is::Serving;
            let mut starts: Vec<u64> = Vec::new();
            for (state, seen) in self.truth.iter().zip(&self.seen) {
                if state[node] == Is::Serving && before != Is::Serving {
                    starts.extend(*seen);
                }
                before = state[node];
            }
            for start in starts {
                let steps = (COLD * 4.0) as u64;
                for step in 0..steps {
                    let (from, to) = (start + step * 250 * MS, start + step * 250 * MS + 1000 * MS);
                    if to > QUIET {
                        break;
                    }
                    let within =
                        |n: usize| self.arrivals[n].iter().filter(|a| (from..to).contains(*a)).count();
                    let sent = within(node);
                    let usual = (0..NODES).map(within).max().unwrap_or_default();
                    let age = (to - start) as f64 / 1e6 / COLD;
                    let ramp = (COLD_SHARE + (1.0 - COLD_SHARE) * age).min(1.0);
                    let most = FALL * ramp * usual as f64;
                    // A handful tips nothing over: chance rules there.
                    if sent > 8 {
                        let part = sent as f64 / most;
                        assert!(part <= 1.0, "seed {}: n{node} is sent {sent} of {most}", self.seed);
                        self.tally.cold = self.tally.cold.max(part);
                    }
                }
            }
        }
    }
}
