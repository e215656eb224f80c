//! Simulates planners and forwarders with their decision modules in virtual time, under delayed and broken
//! connections, network partitions, paused processes and crashes. Planners, forwarders and decision modules run the
//! program's own code. Consensus is simulated by a log that a connected majority appends to; connections keep the
//! order of their messages, as TCP does, and lose all messages in flight when they break.
//!
//! Each drain bound is simulated: the default, 250 ms, and the minimum.
//!
//! LEVELS_SEED sets the seed of the first simulation, LEVELS_SEEDS the number of simulations with each bound.
//! LEVELS_ONE repeats the single simulation of the seed that a failure prints, with the bound LEVELS_DRAIN_MS.

mod forwarder;
mod planner;
mod world;

use dewpier_plan::DrainBound;
use dewpier_standins::rng::Rng;
use std::time::Duration;
use world::{Simulation, Statistics};

/// Runs the simulations with one drain bound for planners and one for forwarders.
fn run_simulations(planners_ms: u64, drain_ms: u64) -> Statistics {
    let [planner_bound, forwarder_bound] =
        [planners_ms, drain_ms].map(|ms| DrainBound::new(Duration::from_millis(ms)).expect("a valid bound"));
    let mut rng = Rng::from_env("LEVELS_SEED", 3);
    let variable = |name| std::env::var(name).ok().and_then(|n| n.parse::<u64>().ok());
    let seeds = variable("LEVELS_SEEDS").unwrap_or(500) as usize;
    let mut totals = Statistics::default();
    match variable("LEVELS_ONE") {
        Some(seed) => {
            let is_selected = variable("LEVELS_DRAIN_MS").is_none_or(|ms| ms == drain_ms);
            is_selected.then(|| {
                println!("{drain_ms} ms: {:?}", Simulation::run(seed, planner_bound, forwarder_bound))
            });
            return totals;
        }
        None => (0..seeds)
            .for_each(|_| totals.add(Simulation::run(rng.next_u64(), planner_bound, forwarder_bound))),
    }
    println!("{drain_ms} ms: {totals:?}");
    // The simulations must contain every kind of fault.
    let min_faults = seeds / 20;
    assert!(
        totals.served > 100 * seeds
            && totals.crashes > min_faults
            && totals.pauses > min_faults
            && totals.partitions > min_faults,
        "{totals:?}"
    );
    assert!(
        totals.observed_changes > 2 * seeds
            && totals.group_foundings > min_faults
            && totals.own_watches > min_faults
            && totals.lone_planner_crashes > min_faults,
        "{totals:?}"
    );
    totals
}

#[test]
fn invariants_hold_under_faults_of_planners_and_forwarders() {
    let totals = run_simulations(500, 500);
    assert!(totals.rejected <= totals.served / 4, "{totals:?}");
}

#[test]
fn invariants_hold_with_a_drain_bound_of_250_ms() {
    let totals = run_simulations(250, 250);
    assert!(totals.rejected <= totals.served / 4, "{totals:?}");
}

#[test]
fn invariants_hold_with_a_drain_bound_of_100_ms() {
    let totals = run_simulations(100, 100);
    assert!(totals.rejected <= totals.served, "{totals:?}");
}

#[test]
fn forwarders_keep_their_drain_bound_when_planners_have_a_longer_one() {
    let totals = run_simulations(500, 250);
    assert!(totals.rejected <= totals.served, "{totals:?}");
}
