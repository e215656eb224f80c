//! Simulates fleets of independent balancers in virtual time. Together they must not overload a cold backend:
//! at most N + 2 sqrt(N) + 2 requests may arrive in the overload duration, where N is the limit by the settings.

use gannetproxy::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const SEEDS: u64 = 1000;
/// Time at which backends restart and are cold; until then balancers observe warm ones.
const RESTART_TIME: Time = 8.0;
const END_TIME: Time = 14.0;
/// Mean answer time of a backend.
const ANSWER_TIME: Time = 0.05;

/// A fleet with random parameters.
#[derive(Debug)]
struct Fleet {
    settings: Settings,
    balancers: usize,
    backends: u32,
    cold_backends: u32,
    /// Capacity of a warm backend, in requests per second.
    capacity: f64,
    /// Request rate of each balancer, per second.
    rates: Vec<f64>,
    /// Factor on the rates from one to three seconds after the restart.
    burst_factor: f64,
}

fn random_fleet(rng: &mut SmallRng) -> Fleet {
    let balancers = rng.random_range(20..=30);
    let backends = rng.random_range(4..=8);
    let total: f64 = rng.random_range(10.0..120.0);
    // The rates are uneven, and some are several times the mean.
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
        cold_backends: rng.random_range(1..=backends / 2),
        capacity: total / f64::from(backends) / rng.random_range(0.4..0.8),
        rates: weights.iter().map(|w| total * w / sum).collect(),
        burst_factor: rng.random_range(1.0..1.8),
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Request(usize),
    Answer { balancer: usize, epoch: u32, id: u64, attempt: usize, backend: u32, sent: Time },
    Timer { balancer: usize, epoch: u32, token: u64 },
    ListUpdate(usize),
    Restart(usize),
}

/// A queue of steps by time; steps at the same time are in the order of insertion.
#[derive(Default)]
struct StepQueue {
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    steps: BTreeMap<u64, Step>,
    step_count: u64,
}

impl StepQueue {
    fn add(&mut self, at: Time, step: Step) {
        self.step_count += 1;
        self.heap.push(Reverse(((at * 1e9) as u64, self.step_count)));
        self.steps.insert(self.step_count, step);
    }

    fn next(&mut self) -> Option<(Time, Step)> {
        let Reverse((at, number)) = self.heap.pop()?;
        Some((at as f64 / 1e9, self.steps.remove(&number)?))
    }
}

/// A balancer, the number of its restarts, and the backends of its attempts by request.
struct Instance {
    balancer: Balancer,
    epoch: u32,
    attempts: BTreeMap<u64, Vec<u32>>,
}

/// Runs a fleet whose balancers use `settings`, and returns the arrival times at each cold backend.
fn arrivals_at_cold(fleet: &Fleet, settings: &Settings, rng: &mut SmallRng) -> BTreeMap<u32, Vec<Time>> {
    let warm: Vec<BackendEntry> =
        (0..fleet.backends).map(|id| BackendEntry { id: BackendId(id), ..BackendEntry::default() }).collect();
    let mut restarted = warm.clone();
    restarted
        .iter_mut()
        .take(fleet.cold_backends as usize)
        .for_each(|entry| entry.started = Some(RESTART_TIME));
    let mut steps = StepQueue::default();
    let start = |seed: u64, now: Time, index: usize, list: &[BackendEntry]| {
        let mut balancer = Balancer::new(now, seed, Settings { instance_index: index, ..settings.clone() });
        balancer.handle(now, Event::List(ListUpdate::Remembered(list)), &mut Vec::new());
        balancer
    };
    let mut instances: Vec<Instance> = (0..fleet.balancers)
        .map(|index| Instance {
            balancer: start(rng.random(), 0.0, index, &warm),
            epoch: 0,
            attempts: BTreeMap::new(),
        })
        .collect();
    for index in 0..fleet.balancers {
        steps.add(rng.random_range(0.0..1.0), Step::Request(index));
        steps.add(RESTART_TIME + rng.random_range(0.0..0.3), Step::ListUpdate(index));
    }
    steps.add(RESTART_TIME + rng.random_range(0.5..3.0), Step::Restart(rng.random_range(0..fleet.balancers)));
    let (mut last_id, mut arrivals) = (0, BTreeMap::<u32, Vec<Time>>::new());
    while let Some((now, step)) = steps.next().filter(|(now, _)| *now < END_TIME) {
        let mut actions = Vec::new();
        let index = match step {
            Step::Request(index) => {
                let is_burst = (1.0..3.0).contains(&(now - RESTART_TIME));
                let rate = fleet.rates[index] * if is_burst { fleet.burst_factor } else { 1.0 };
                steps.add(now - rng.random_range(f64::EPSILON..1.0).ln() / rate, Step::Request(index));
                last_id += 1;
                let request = Request { id: RequestId(last_id), budget: 4.0, ..Request::default() };
                instances[index].balancer.handle(now, Event::Request(request), &mut actions);
                index
            }
            Step::Answer { balancer, epoch, id, attempt, backend, sent } => {
                if instances[balancer].epoch != epoch {
                    continue;
                }
                let result = AttemptResult {
                    id: RequestId(id),
                    backend: BackendId(backend),
                    attempt,
                    outcome: Outcome::Served,
                    duration: now - sent,
                    is_final: true,
                    report: None,
                };
                instances[balancer].balancer.handle(now, Event::Outcome(result), &mut actions);
                balancer
            }
            Step::Timer { balancer, epoch, token } => {
                if instances[balancer].epoch != epoch {
                    continue;
                }
                instances[balancer].balancer.handle(now, Event::Timer(token), &mut actions);
                balancer
            }
            Step::ListUpdate(index) => {
                instances[index].balancer.handle(
                    now,
                    Event::List(ListUpdate::Full(&restarted)),
                    &mut actions,
                );
                index
            }
            Step::Restart(index) => {
                instances[index].epoch += 1;
                instances[index].balancer = start(rng.random(), now, index, &restarted);
                index
            }
        };
        let epoch = instances[index].epoch;
        for action in actions {
            match action {
                Action::Send { id, backend: BackendId(backend), .. } => {
                    let attempts = instances[index].attempts.entry(id.0).or_default();
                    attempts.push(backend);
                    let attempt = attempts.len() - 1;
                    if now >= RESTART_TIME && backend < fleet.cold_backends {
                        arrivals.entry(backend).or_default().push(now);
                    }
                    let answer =
                        Step::Answer { balancer: index, epoch, id: id.0, attempt, backend, sent: now };
                    steps.add(now + ANSWER_TIME * rng.random_range(0.5..1.5), answer);
                }
                Action::Timer { at, token } => {
                    steps.add(at.max(now), Step::Timer { balancer: index, epoch, token });
                }
                _ => {}
            }
        }
    }
    arrivals
}

/// Whether some cold backend gets more requests within the overload duration than allowed.
fn has_overload(fleet: &Fleet, arrivals: &BTreeMap<u32, Vec<Time>>) -> bool {
    let Settings { cold_duration, cold_capacity_fraction, overload_multiple, overload_duration, .. } =
        fleet.settings;
    arrivals.values().any(|times| {
        (0..times.len()).any(|last| {
            let end = times[last];
            let start = end - overload_duration;
            let count = times[..=last].iter().rev().take_while(|at| **at > start).count();
            let capacity_fraction = cold_capacity_fraction
                + (1.0 - cold_capacity_fraction)
                    * ((start.max(RESTART_TIME) - RESTART_TIME) / cold_duration).min(1.0);
            let allowed = overload_multiple * capacity_fraction * fleet.capacity * overload_duration;
            count as f64 > allowed + 2.0 * allowed.sqrt() + 2.0
        })
    })
}

/// Returns the seeds with an overload. Balancers limit requests to cold backends if `limit_cold` is set.
fn overloaded_seeds(seeds: std::ops::Range<u64>, limit_cold: bool) -> Vec<u64> {
    seeds
        .filter(|seed| {
            let mut rng = SmallRng::seed_from_u64(*seed);
            let fleet = random_fleet(&mut rng);
            // With a cold duration of zero, balancers treat cold backends like warm ones.
            let cold_duration = if limit_cold { fleet.settings.cold_duration } else { 0.0 };
            let settings = Settings { cold_duration, ..fleet.settings.clone() };
            let arrivals = arrivals_at_cold(&fleet, &settings, &mut rng);
            has_overload(&fleet, &arrivals)
        })
        .collect()
}

/// Runs [`overloaded_seeds`] on as many threads as there are cores.
fn overloaded_seeds_in_parallel(seed_count: u64, limit_cold: bool) -> Vec<u64> {
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get() as u64);
    let part = seed_count.div_ceil(threads);
    std::thread::scope(|scope| {
        let parts: Vec<_> = (0..threads)
            .map(|i| {
                scope.spawn(move || overloaded_seeds(i * part..((i + 1) * part).min(seed_count), limit_cold))
            })
            .collect();
        parts.into_iter().flat_map(|part| part.join().expect("the simulation completes")).collect()
    })
}

#[test]
fn balancers_together_do_not_overload_cold_backends() {
    let overloaded = overloaded_seeds_in_parallel(SEEDS, true);
    println!("{} of {SEEDS} seeds with an overload", overloaded.len());
    assert!(overloaded.is_empty(), "seeds {overloaded:?}");
}

#[test]
fn cold_backends_are_overloaded_without_the_limit() {
    let overloaded = overloaded_seeds_in_parallel(100, false);
    println!("{} of 100 seeds with an overload", overloaded.len());
    assert!(overloaded.len() >= 10, "the check finds too few overloads: {overloaded:?}");
}
