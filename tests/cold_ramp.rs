//! What all balancers of a fleet together send to cold backends, each deciding alone: no more than the operators'
//! budget, N + 2 root N + 2 requests in the time that the settings name. The real module in virtual time, 1,000 seeds.

use gannetproxy::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const SEEDS: u64 = 1000;
/// Backends start cold at this time, in seconds; until then balancers learn what warm ones do.
const STARTS: Time = 8.0;
const ENDS: Time = 14.0;
/// How long a request takes a warm backend.
const TAKES: Time = 0.05;

/// What a seed draws.
#[derive(Debug)]
struct Fleet {
    settings: Settings,
    balancers: usize,
    backends: u32,
    cold: u32,
    /// Requests a second that a warm backend can do.
    capacity: f64,
    /// Requests a second of each balancer.
    rates: Vec<f64>,
    /// So much more comes from one to three seconds after the start.
    burst: f64,
}

fn drawn(rng: &mut SmallRng) -> Fleet {
    let balancers = rng.random_range(20..=30);
    let backends = rng.random_range(4..=8);
    let total: f64 = rng.random_range(10.0..120.0);
    // Uneven: some get several times the mean.
    let weights: Vec<f64> = (0..balancers).map(|_| -rng.random_range(0.02..1.0f64).ln() + 0.05).collect();
    let sum: f64 = weights.iter().sum();
    let class = Class { aim: 2.0, deadline: 4.0, effect: Effect::Safe, ..Class::default() };
    let settings = Settings {
        classes: vec![class],
        instance_count: balancers,
        tier: 1,
        cold_duration: rng.random_range(4.0..12.0),
        cold_capacity_fraction: rng.random_range(0.08..0.4),
        overload_multiple: rng.random_range(2.0..4.0),
        overload_duration: rng.random_range(1.0..2.0),
        ..Settings::default()
    };
    Fleet {
        settings,
        balancers,
        backends,
        cold: rng.random_range(1..=backends / 2),
        capacity: total / f64::from(backends) / rng.random_range(0.4..0.8),
        rates: weights.iter().map(|w| total * w / sum).collect(),
        burst: rng.random_range(1.0..1.8),
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Arrives(usize),
    Answers { balancer: usize, epoch: u32, id: u64, attempt: usize, backend: u32, sent: Time },
    Timer { balancer: usize, epoch: u32, token: u64 },
    Told(usize),
    Restarts(usize),
}

/// Steps in the order of time, and of their making where that is the same.
#[derive(Default)]
struct Steps {
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    steps: BTreeMap<u64, Step>,
    made: u64,
}

impl Steps {
    fn add(&mut self, at: Time, step: Step) {
        self.made += 1;
        self.heap.push(Reverse(((at * 1e9) as u64, self.made)));
        self.steps.insert(self.made, step);
    }

    fn next(&mut self) -> Option<(Time, Step)> {
        let Reverse((at, number)) = self.heap.pop()?;
        Some((at as f64 / 1e9, self.steps.remove(&number)?))
    }
}

/// A balancer's module, what it has sent, and how often it was started.
struct Node {
    module: Balancer,
    epoch: u32,
    attempts: BTreeMap<u64, Vec<u32>>,
}

/// When requests came to each cold backend. `told` is what the modules believe of the ramp.
fn arrivals_at_cold(fleet: &Fleet, told: &Settings, rng: &mut SmallRng) -> BTreeMap<u32, Vec<Time>> {
    let warm: Vec<BackendEntry> =
        (0..fleet.backends).map(|id| BackendEntry { id: BackendId(id), ..BackendEntry::default() }).collect();
    let mut now_cold = warm.clone();
    now_cold.iter_mut().take(fleet.cold as usize).for_each(|entry| entry.started = Some(STARTS));
    let mut steps = Steps::default();
    let start = |seed: u64, now: Time, me: usize, list: &[BackendEntry]| {
        let mut module = Balancer::new(now, seed, Settings { instance_index: me, ..told.clone() });
        module.handle(now, Event::List(ListUpdate::Remembered(list)), &mut Vec::new());
        module
    };
    let mut nodes: Vec<Node> = (0..fleet.balancers)
        .map(|me| Node { module: start(rng.random(), 0.0, me, &warm), epoch: 0, attempts: BTreeMap::new() })
        .collect();
    for me in 0..fleet.balancers {
        steps.add(rng.random_range(0.0..1.0), Step::Arrives(me));
        steps.add(STARTS + rng.random_range(0.0..0.3), Step::Told(me));
    }
    steps.add(STARTS + rng.random_range(0.5..3.0), Step::Restarts(rng.random_range(0..fleet.balancers)));
    let (mut ids, mut came) = (0, BTreeMap::<u32, Vec<Time>>::new());
    while let Some((now, step)) = steps.next().filter(|(now, _)| *now < ENDS) {
        let mut actions = Vec::new();
        let at = match step {
            Step::Arrives(me) => {
                let busy = (1.0..3.0).contains(&(now - STARTS));
                let rate = fleet.rates[me] * if busy { fleet.burst } else { 1.0 };
                steps.add(now - rng.random_range(f64::EPSILON..1.0).ln() / rate, Step::Arrives(me));
                ids += 1;
                let request = Request { id: RequestId(ids), budget: 4.0, ..Request::default() };
                nodes[me].module.handle(now, Event::Request(request), &mut actions);
                me
            }
            Step::Answers { balancer, epoch, id, attempt, backend, sent } => {
                if nodes[balancer].epoch != epoch {
                    continue;
                }
                let ended = AttemptResult {
                    id: RequestId(id),
                    backend: BackendId(backend),
                    attempt,
                    outcome: Outcome::Served,
                    duration: now - sent,
                    is_final: true,
                    report: None,
                };
                nodes[balancer].module.handle(now, Event::Outcome(ended), &mut actions);
                balancer
            }
            Step::Timer { balancer, epoch, token } => {
                if nodes[balancer].epoch != epoch {
                    continue;
                }
                nodes[balancer].module.handle(now, Event::Timer(token), &mut actions);
                balancer
            }
            Step::Told(me) => {
                nodes[me].module.handle(now, Event::List(ListUpdate::Full(&now_cold)), &mut actions);
                me
            }
            Step::Restarts(me) => {
                nodes[me].epoch += 1;
                nodes[me].module = start(rng.random(), now, me, &now_cold);
                me
            }
        };
        let epoch = nodes[at].epoch;
        for action in actions {
            match action {
                Action::Send { id, backend: BackendId(backend), .. } => {
                    let attempts = nodes[at].attempts.entry(id.0).or_default();
                    attempts.push(backend);
                    let attempt = attempts.len() - 1;
                    if now >= STARTS && backend < fleet.cold {
                        came.entry(backend).or_default().push(now);
                    }
                    let answers =
                        Step::Answers { balancer: at, epoch, id: id.0, attempt, backend, sent: now };
                    steps.add(now + TAKES * rng.random_range(0.5..1.5), answers);
                }
                Action::Timer { at: due, token } => {
                    steps.add(due.max(now), Step::Timer { balancer: at, epoch, token });
                }
                _ => {}
            }
        }
    }
    came
}

/// A cold backend got more in some window than it may, by how much in the worst one.
fn falls(fleet: &Fleet, came: &BTreeMap<u32, Vec<Time>>) -> bool {
    let Settings { cold_duration, cold_capacity_fraction, overload_multiple, overload_duration, .. } =
        fleet.settings;
    came.values().any(|times| {
        (0..times.len()).any(|last| {
            let end = times[last];
            let since = end - overload_duration;
            let count = times[..=last].iter().rev().take_while(|at| **at > since).count();
            let ramp = cold_capacity_fraction
                + (1.0 - cold_capacity_fraction) * ((since.max(STARTS) - STARTS) / cold_duration).min(1.0);
            let allowed = overload_multiple * ramp * fleet.capacity * overload_duration;
            count as f64 > allowed + 2.0 * allowed.sqrt() + 2.0
        })
    })
}

/// Seeds on which a cold backend falls, with the ramp and without it.
fn fallen(seeds: std::ops::Range<u64>, with_ramp: bool) -> Vec<u64> {
    seeds
        .filter(|seed| {
            let mut rng = SmallRng::seed_from_u64(*seed);
            let fleet = drawn(&mut rng);
            // A module that is told of no cold time sends newcomers what it sends to all others.
            let cold_duration = if with_ramp { fleet.settings.cold_duration } else { 0.0 };
            let told = Settings { cold_duration, ..fleet.settings.clone() };
            let came = arrivals_at_cold(&fleet, &told, &mut rng);
            falls(&fleet, &came)
        })
        .collect()
}

/// The same on as many threads as there are cores.
fn fallen_of(seeds: u64, with_ramp: bool) -> Vec<u64> {
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get() as u64);
    let part = seeds.div_ceil(threads);
    std::thread::scope(|scope| {
        let parts: Vec<_> = (0..threads)
            .map(|i| scope.spawn(move || fallen(i * part..((i + 1) * part).min(seeds), with_ramp)))
            .collect();
        parts.into_iter().flat_map(|part| part.join().expect("it plays")).collect()
    })
}

#[test]
fn the_sum_of_all_balancers_pushes_no_cold_backend_over() {
    let fallen = fallen_of(SEEDS, true);
    println!("{} of {SEEDS} seeds", fallen.len());
    assert!(fallen.is_empty(), "seeds {fallen:?}");
}

#[test]
fn without_the_ramp_it_does() {
    let fallen = fallen_of(100, false);
    println!("{} of 100 seeds", fallen.len());
    assert!(fallen.len() >= 10, "the test would not see a break: {fallen:?}");
}
