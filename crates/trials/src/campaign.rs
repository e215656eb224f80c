//! Runs schedules of faults one after the other and prints the result of each.

use crate::checks::{Violation, check_avoidance, find_violations};
use crate::harness::{FleetHarness, Settings};
use crate::schedule::{RunSize, Schedule};
use crate::shrink::shrink_schedule;
use std::time::Duration;

/// Longest stall of the host in a valid run; a run with a longer stall is void and repeated.
const MAX_STALL: Duration = Duration::from_millis(400);
/// Maximum number of void runs before a result counts in spite of a stall.
const MAX_VOID_RUNS: usize = 3;

/// Result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Violated invariants and bounds.
    pub violations: Vec<Violation>,
    /// Number of client requests.
    pub requests: usize,
    /// Number of requests that reached a node and must run only once.
    pub run_once_arrivals: usize,
    /// Number of pairs of a proxy and a bad node for which the bound on avoidance was checked.
    pub avoidance_checks: usize,
    /// Number of pairs without a bound in which the proxy still avoided the node.
    pub avoided_unbound: usize,
    /// Number of drains that took effect, counted per proxy.
    pub observed_drains: usize,
    /// Number of verdict readings compared with the observations at the nodes.
    pub verdict_readings: usize,
    /// Longest stall of the host.
    pub longest_stall: Duration,
    /// Number of void runs before this one.
    pub void_runs: usize,
}

/// Runs a schedule on a new fleet, and repeats it after a stall of the host. After too many void runs the result of
/// the last one counts.
pub fn run_schedule(schedule: &Schedule, settings: Settings) -> Outcome {
    let mut void_runs = 0;
    loop {
        let harness = FleetHarness::start(schedule.seed, schedule.size, settings);
        let (record, executed) = harness.run_schedule(schedule);
        let bounds = harness.bounds();
        drop(harness);
        if record.longest_stall > MAX_STALL && void_runs < MAX_VOID_RUNS {
            void_runs += 1;
            println!("seed {}: void run, the host stalled for {:?}", schedule.seed, record.longest_stall);
            continue;
        }
        let avoidance = check_avoidance(&record, &executed, &bounds);
        return Outcome {
            violations: find_violations(&record, &executed, &bounds),
            requests: record.requests.len(),
            run_once_arrivals: record.arrivals.iter().filter(|a| a.must_run_once).count(),
            avoidance_checks: avoidance.checked,
            avoided_unbound: avoidance.avoided_unbound,
            observed_drains: record.drains.iter().filter(|d| d.notified_at < d.ended_at).count(),
            verdict_readings: record.verdict_readings.len(),
            longest_stall: record.longest_stall,
            void_runs,
        };
    }
}

/// Runs the schedule of a seed and prints one line about it. After a violation it also prints the smallest schedule
/// that still violates the same invariant, found in at most `max_runs` further runs. Returns whether there was no
/// violation.
pub fn run_seed(seed: u64, size: RunSize, settings: Settings, max_runs: usize) -> bool {
    let schedule = match settings.planners {
        0 => Schedule::generate(seed, size),
        planners => Schedule::generate(seed, size)
            .with_planners(planners)
            .with_planner_relay(settings.relay_by_planners),
    };
    // Half of the seeds run with snapshots.
    let settings = Settings { snapshots: settings.snapshots || !seed.is_multiple_of(2), ..settings };
    let outcome = run_schedule(&schedule, settings);
    println!(
        "seed {seed}: {} steps, {} requests, {} that must run once, {} verdict readings, bound on avoidance checked {} times, {} avoided without a bound, {} drains, stall {} ms, {} void runs: {} violations",
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
    outcome.violations.iter().take(10).for_each(|violation| println!("  {violation}"));
    println!("  {}", schedule.to_json());
    let invariant = outcome.violations[0].invariant;
    let smallest = shrink_schedule(&schedule, max_runs, |smaller| {
        run_schedule(smaller, settings).violations.iter().any(|violation| violation.invariant == invariant)
    });
    if smallest != schedule {
        println!("  smallest schedule that violates {invariant:?}: {}", smallest.to_json());
    }
    false
}
