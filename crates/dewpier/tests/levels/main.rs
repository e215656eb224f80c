//! Both levels in virtual time: planners that agree, forwarders with their decision modules, and a network
//! that is late, breaks and is cut; processes pause, crash and start anew. The cores are the program's own;
//! what stands in for the rest: agreement (openraft's part) is a log that a connected majority appends to,
//! connections keep the order of what they carry, as TCP does, and break with all that is under way.
//!
//! Each bound on drains is played: the default, that of a deployment which asks for 250 ms, and the least.
//!
//! Seeded: LEVELS_SEED names the first of them, LEVELS_SEEDS how many are played with each bound, and LEVELS_ONE
//! a single one, as a failure tells it, with the bound of LEVELS_DRAIN_MS.

mod forwarder;
mod planner;
mod world;

use dewpier_plan::DrainBound;
use dewpier_standins::rng::Rng;
use std::time::Duration;
use world::{Tally, World};

/// Plays so many worlds with planners of the one bound and forwarders of the other.
fn play(planners_ms: u64, drain_ms: u64) -> Tally {
    let [planned, drains] =
        [planners_ms, drain_ms].map(|ms| DrainBound::new(Duration::from_millis(ms)).expect("it is one"));
    let mut rng = Rng::from_env("LEVELS_SEED", 3);
    let number = |name| std::env::var(name).ok().and_then(|n| n.parse::<u64>().ok());
    let seeds = number("LEVELS_SEEDS").unwrap_or(500) as usize;
    let mut all = Tally::default();
    match number("LEVELS_ONE") {
        Some(one) => {
            let only = number("LEVELS_DRAIN_MS").is_none_or(|ms| ms == drain_ms);
            only.then(|| println!("{drain_ms} ms: {:?}", World::play(one, planned, drains)));
            return all;
        }
        None => (0..seeds).for_each(|_| all.add(World::play(rng.next_u64(), planned, drains))),
    }
    println!("{drain_ms} ms: {all:?}");
    // The faults do reach what they are for.
    let each = seeds / 20;
    assert!(
        all.served > 100 * seeds && all.crashes > each && all.pauses > each && all.cuts > each,
        "{all:?}"
    );
    assert!(
        all.told > 2 * seeds && all.foundings > each && all.own_watches > each && all.alone > each,
        "{all:?}"
    );
    all
}

#[test]
fn whatever_fails_on_both_levels_the_rules_are_kept() {
    let all = play(500, 500);
    assert!(all.refused <= all.served / 4, "{all:?}");
}

#[test]
fn they_are_kept_where_drains_have_a_quarter_of_a_second() {
    let all = play(250, 250);
    assert!(all.refused <= all.served / 4, "{all:?}");
}

#[test]
fn they_are_kept_where_drains_have_a_tenth_of_a_second() {
    let all = play(100, 100);
    assert!(all.refused <= all.served, "{all:?}");
}

#[test]
fn a_planner_with_a_longer_bound_does_not_stretch_that_of_forwarders() {
    let all = play(500, 250);
    assert!(all.refused <= all.served, "{all:?}");
}
