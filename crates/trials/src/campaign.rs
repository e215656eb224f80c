//! Plays of schedules, one after the other.

use crate::checks::{Violation, check_avoidance, find_violations};
use crate::harness::{FleetHarness, Settings};
use crate::schedule::{RunSize, Schedule};
use crate::shrink::shrink_schedule;
use std::time::Duration;

/// Where the machine stood still for longer, a play is void and played again,
const MAX_STALL: Duration = Duration::from_millis(400);
/// so many times at most.
const MAX_VOID_RUNS: usize = 3;

/// What came of a play.
#[derive(Debug)]
pub struct Outcome {
    /// The rules and bounds that it broke.
    pub violations: Vec<Violation>,
    /// Requests of clients, and effects that must not happen twice.
    pub requests: usize,
    /// Of these,
    pub run_once_arrivals: usize,
    /// Proxies and bad nodes for which the bound on avoidance said something.
    pub avoidance_checks: usize,
    /// Those that avoided one where it said nothing: before so many had met it, or shortly before its end.
    pub avoided_unbound: usize,
    /// Drains that bound a proxy, each counted for each.
    pub observed_drains: usize,
    /// Looks at verdicts that were held against what was seen at the nodes.
    pub verdict_readings: usize,
    /// How long the machine stood still at worst.
    pub longest_stall: Duration,
    /// Plays that were void before.
    pub void_runs: usize,
}

/// Plays a schedule on a fleet of its own, anew where the machine stood still. After too many void plays what the
/// last one broke counts.
pub fn run_schedule(schedule: &Schedule, settings: Settings) -> Outcome {
    let mut void = 0;
    loop {
        let stage = FleetHarness::start(schedule.seed, schedule.size, settings);
        let (record, played) = stage.run_schedule(schedule);
        let bounds = stage.bounds();
        drop(stage);
        if record.longest_stall > MAX_STALL && void < MAX_VOID_RUNS {
            void += 1;
            println!("seed {}: void, the machine stood still for {:?}", schedule.seed, record.longest_stall);
            continue;
        }
        let avoided = check_avoidance(&record, &played, &bounds);
        return Outcome {
            violations: find_violations(&record, &played, &bounds),
            requests: record.requests.len(),
            run_once_arrivals: record.arrivals.iter().filter(|a| a.must_run_once).count(),
            avoidance_checks: avoided.checked,
            avoided_unbound: avoided.avoided_unbound,
            observed_drains: record.drains.iter().filter(|d| d.notified_at < d.ended_at).count(),
            verdict_readings: record.verdict_readings.len(),
            longest_stall: record.longest_stall,
            void_runs: void,
        };
    }
}

/// Plays the schedule of a seed, with as many planners as the settings say, and prints a line of it; where it breaks something, the least that still does,
/// in at most so many plays. True where nothing was broken.
pub fn run_seed(seed: u64, size: RunSize, settings: Settings, most: usize) -> bool {
    let schedule = match settings.planners {
        0 => Schedule::generate(seed, size),
        planners => Schedule::generate(seed, size)
            .with_planners(planners)
            .with_planner_relay(settings.relay_by_planners),
    };
    // Half of all plays with processes that go on from what the ones before them knew.
    let settings = Settings { snapshots: settings.snapshots || !seed.is_multiple_of(2), ..settings };
    let outcome = run_schedule(&schedule, settings);
    println!(
        "seed {seed}: {} steps, {} requests, {} that must not run twice, {} looks, bound on avoidance checked {} times and {} sooner, {} drains told, stall {} ms, {} void: {} broken",
        schedule.steps.len(),
        outcome.requests,
        outcome.run_once_arrivals,
        outcome.verdict_readings,
        outcome.avoidance_checks,
        outcome.avoided_unbound,
        outcome.observed_drains,
        outcome.longest_stall.as_millis(),
        outcome.void_runs,
        outcome.violations.len()
    );
    if outcome.violations.is_empty() {
        return true;
    }
    outcome.violations.iter().take(10).for_each(|broken| println!("  {broken}"));
    println!("  {}", schedule.to_json());
    let rule = outcome.violations[0].invariant;
    let least = shrink_schedule(&schedule, most, |smaller| {
        run_schedule(smaller, settings).violations.iter().any(|b| b.invariant == rule)
    });
    if least != schedule {
        println!("  least that breaks {rule:?}: {}", least.to_json());
    }
    false
}
