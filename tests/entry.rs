//! Requests that wait at the entry, in closed loops: while backends have room nothing waits, and
//! of those that wait the oldest goes first.

use gannetproxy::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Nanoseconds, so that the order of events is exact.
type Nanos = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrive(u64),
    Outcome(u64, u32, usize),
    Timer(u64),
}

/// A closed loop: so many clients, each of which asks again as soon as it is answered, before
/// backends that take `work` a request and have `slots` of them.
struct Loop {
    balancer: Balancer,
    due: BinaryHeap<Reverse<(Nanos, u64, Due)>>,
    order: u64,
    now: Nanos,
    arrived: HashMap<u64, Nanos>,
    attempts: HashMap<u64, usize>,
    requests: u64,
    work: Nanos,
    slots: usize,
    /// When the slots of each backend are free again.
    free: HashMap<u32, Vec<Nanos>>,
    waits: Vec<f64>,
    refused: u64,
    /// The order in which requests were first sent.
    first_sends: Vec<u64>,
    /// Those that were not sent as soon as they came.
    held: Vec<u64>,
}

impl Loop {
    /// The clients come after a quiet half minute.
    fn new(settings: Settings, clients: u64, backends: u32, work: f64, slots: usize) -> Self {
        let mut balancer = Balancer::new(0.0, 7, settings);
        let list: Vec<BackendEntry> =
            (0..backends).map(|i| BackendEntry { id: BackendId(i), ..BackendEntry::default() }).collect();
        balancer.handle(0.0, Event::List(ListUpdate::Remembered(&list)), &mut Vec::new());
        let mut new = Self {
            balancer,
            due: BinaryHeap::new(),
            order: 0,
            now: 0,
            arrived: HashMap::new(),
            attempts: HashMap::new(),
            requests: 0,
            work: (work * 1e9) as Nanos,
            slots,
            free: HashMap::new(),
            waits: Vec::new(),
            refused: 0,
            first_sends: Vec::new(),
            held: Vec::new(),
        };
        for client in 0..clients {
            new.at(30_000_000_000 + 1000 * client, Due::Arrive(client));
        }
        new
    }

    fn at(&mut self, at: Nanos, due: Due) {
        self.order += 1;
        self.due.push(Reverse((at, self.order, due)));
    }

    fn run(&mut self, until: f64) {
        while let Some(Reverse((at, _, due))) = self.due.pop() {
            if at as f64 / 1e9 > until {
                return;
            }
            self.now = at;
            let now = at as f64 / 1e9;
            let mut actions = Vec::new();
            match due {
                Due::Arrive(_) => {
                    self.requests += 1;
                    let id = RequestId(self.requests);
                    self.arrived.insert(id.0, at);
                    let request = Request { id, budget: 20.0, ..Request::default() };
                    self.balancer.handle(now, Event::Request(request), &mut actions);
                    let mine = |a: &Action| match a {
                        Action::Send { id: i, .. } | Action::Reject { id: i, .. } => *i == id,
                        _ => false,
                    };
                    if !actions.iter().any(mine) {
                        self.held.push(id.0);
                    }
                }
                Due::Timer(token) => self.balancer.handle(now, Event::Timer(token), &mut actions),
                Due::Outcome(id, backend, attempt) => {
                    let over = self.arrived.contains_key(&id);
                    self.answered(id);
                    let ended = AttemptResult {
                        id: RequestId(id),
                        backend: BackendId(backend),
                        attempt,
                        outcome: Outcome::Served,
                        duration: self.work as f64 / 1e9,
                        is_final: over,
                        report: None,
                    };
                    self.balancer.handle(now, Event::Outcome(ended), &mut actions);
                }
            }
            for action in actions {
                self.act(action);
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { id, backend, .. } => {
                let attempt = self.attempts.entry(id.0).or_default();
                if *attempt == 0 {
                    self.first_sends.push(id.0);
                }
                let number = *attempt;
                *attempt += 1;
                let free = self.free.entry(backend.0).or_insert_with(|| vec![0; self.slots]);
                let (now, work) = (self.now, self.work);
                let slot = free.iter_mut().min().expect("a slot");
                *slot = (*slot).max(now) + work;
                let done = *slot;
                self.at(done, Due::Outcome(id.0, backend.0, number));
            }
            Action::Reject { id, .. } | Action::Fail { id } => {
                self.refused += 1;
                self.answered(id.0);
            }
            Action::Timer { at, token } => self.at(((at * 1e9) as Nanos).max(self.now), Due::Timer(token)),
            _ => {}
        }
    }

    fn answered(&mut self, id: u64) {
        if let Some(arrived) = self.arrived.remove(&id) {
            self.waits.push((self.now - arrived) as f64 / 1e9);
            self.at(self.now + 1000, Due::Arrive(0));
        }
    }

    fn longest(&self) -> f64 {
        self.waits
            .iter()
            .copied()
            .chain(self.arrived.values().map(|a| (self.now - a) as f64 / 1e9))
            .fold(0.0, f64::max)
    }
}

fn one_class() -> Settings {
    let class = Class { aim: 20.0, deadline: 20.0, ..Class::default() };
    Settings { classes: vec![class], max_retry_after: 1.0, ..Settings::default() }
}

#[test]
fn while_backends_have_room_nothing_waits() {
    // A step from nothing to full load was read as an excess for as long as the average rate takes
    // to follow, which with an aim of 20 s is minutes; and a request with a bad lot waited for 5 s.
    for clients in [8, 32, 64, 200] {
        let mut looped = Loop::new(one_class(), clients, 3, 0.0025, 1000);
        looped.run(35.0);
        let (longest, answered) = (looped.longest(), looped.waits.len());
        println!("{clients}: {answered} answered, {} refused, longest {longest} s", looped.refused);
        assert!(longest < 0.05, "{clients}: {longest}");
        assert_eq!(looped.refused, 0);
        assert!(answered as f64 > 0.9 * clients as f64 * 5.0 / 0.0025, "{answered}");
    }
}

#[test]
fn of_those_that_wait_the_oldest_goes_first() {
    // Backends with one slot each: most of what comes has to wait at the entry.
    let mut looped = Loop::new(one_class(), 60, 3, 0.05, 1);
    looped.run(60.0);
    // A request that found no pressure passes; those that were held go in their order. So among
    // all of them no one is overtaken by many that came after it and waited too.
    let held: Vec<u64> = looped.held.clone();
    assert!(held.len() > 100, "{} waited", held.len());
    let sent: Vec<u64> = looped.first_sends.iter().copied().filter(|id| held.contains(id)).collect();
    assert!(sent.len() > 50, "{} of {} were sent", sent.len(), held.len());
    assert!(sent.is_sorted(), "overtaken");
}

#[test]
fn members_that_are_cold_do_not_make_an_overload_look_like_calm() {
    // Six of ten had been replaced. The newcomers were given next to nothing, so that nothing bad was seen
    // of them: beside them those that did all the work counted as bad ones, whose calls are no overload.
    // The entry let everything in, until all answers came too late.
    let queued = |newcomers: u32| {
        let settings = Settings {
            cold_duration: 1000.0,
            cold_capacity_fraction: 0.01,
            overload_multiple: 3.0,
            ..one_class()
        };
        let mut looped = Loop::new(settings, 100, 3, 0.2, 1);
        let started = |i| (i >= 3).then_some(30.0);
        let list: Vec<BackendEntry> = (0..3 + newcomers)
            .map(|i| BackendEntry { id: BackendId(i), started: started(i), ..BackendEntry::default() })
            .collect();
        looped.balancer.handle(30.0, Event::List(ListUpdate::Full(&list)), &mut Vec::new());
        looped.run(80.0);
        let ends = (0..3).map(|warm| looped.free[&warm][0].saturating_sub(looped.now) / looped.work);
        ends.sum::<u64>()
    };
    let (alone, beside) = (queued(0), queued(2));
    println!("waiting at the warm ones: {alone} alone, {beside} beside cold ones");
    assert!(alone < 40, "{alone}");
    assert!(beside < 40, "{beside}");
}
