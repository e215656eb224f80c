//! Both levels in virtual time: planners that agree, forwarders with their decision modules, and a network
//! that is late, breaks and is cut; processes pause, crash and start anew. The cores are the program's own;
//! what stands in for the rest: agreement (openraft's part) is a log that a connected majority appends to,
//! connections keep the order of what they carry, as TCP does, and break with all that is under way.
//!
//! Seeded: LEVELS_SEED names the first of them, LEVELS_SEEDS how many are played, and LEVELS_ONE a single
//! one, as a failure tells it.

mod forwarder;
mod planner;
mod world;

use dewpier_standins::rng::Rng;
use world::{Tally, World};

#[test]
fn whatever_fails_on_both_levels_the_rules_are_kept() {
    let mut rng = Rng::from_env("LEVELS_SEED", 3);
    let seeds = std::env::var("LEVELS_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(1000);
    if let Some(one) = std::env::var("LEVELS_ONE").ok().and_then(|n| n.parse().ok()) {
        println!("{:?}", World::play(one));
        return;
    }
    let mut all = Tally::default();
    for _ in 0..seeds {
        let seed = rng.number();
        all.add(World::play(seed));
    }
    println!("{all:?}");
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
    assert!(all.refused < all.served / 4, "{all:?}");
}
