//! Plays of schedules, one after the other.

use crate::checks::{Broken, avoided, check};
use crate::schedule::{Schedule, Size};
use crate::shrink::shrink;
use crate::stage::{Settings, Stage};
use std::time::Duration;

/// Where the machine stood still for longer, a play is void and played again,
const STALL: Duration = Duration::from_millis(400);
/// so many times at most.
const MOST_VOID: usize = 3;

/// What came of a play.
#[derive(Debug)]
pub struct Outcome {
    /// The rules and bounds that it broke.
    pub broken: Vec<Broken>,
    /// Requests of clients, and effects that must not happen twice.
    pub requests: usize,
    /// Of these,
    pub once: usize,
    /// Proxies and bad nodes for which the bound on avoidance said something.
    pub avoided: usize,
    /// Those that avoided one where it said nothing: before so many had met it, or shortly before its end.
    pub early: usize,
    /// Drains that bound a proxy, each counted for each.
    pub drains: usize,
    /// Looks at verdicts that were held against what was seen at the nodes.
    pub looks: usize,
    /// How long the machine stood still at worst.
    pub stall: Duration,
    /// Plays that were void before.
    pub void: usize,
}

/// Plays a schedule on a fleet of its own, anew where the machine stood still. After too many void plays what the
/// last one broke counts.
pub fn play(schedule: &Schedule, settings: Settings) -> Outcome {
    let mut void = 0;
    loop {
        let stage = Stage::start(schedule.seed, schedule.size, settings);
        let (record, played) = stage.play(schedule);
        let bounds = stage.bounds();
        drop(stage);
        if record.stall > STALL && void < MOST_VOID {
            void += 1;
            println!("seed {}: void, the machine stood still for {:?}", schedule.seed, record.stall);
            continue;
        }
        let avoided = avoided(&record, &played, &bounds);
        return Outcome {
            broken: check(&record, &played, &bounds),
            requests: record.asked.len(),
            once: record.arrivals.iter().filter(|a| a.once).count(),
            avoided: avoided.checked,
            early: avoided.early,
            drains: record.drains.iter().filter(|d| d.told < d.until).count(),
            looks: record.looks.len(),
            stall: record.stall,
            void,
        };
    }
}

/// Plays the schedule of a seed, with as many planners as the settings say, and prints a line of it; where it breaks something, the least that still does,
/// in at most so many plays. True where nothing was broken.
pub fn seed(seed: u64, size: Size, settings: Settings, most: usize) -> bool {
    let schedule = match settings.planners {
        0 => Schedule::draw(seed, size),
        planners => Schedule::draw(seed, size).with_planners(planners).carried(settings.by_planners),
    };
    // Half of all plays with processes that go on from what the ones before them knew.
    let settings = Settings { snapshots: settings.snapshots || !seed.is_multiple_of(2), ..settings };
    let outcome = play(&schedule, settings);
    println!(
        "seed {seed}: {} steps, {} requests, {} that must not run twice, {} looks, bound on avoidance checked {} times and {} sooner, {} drains told, stall {} ms, {} void: {} broken",
        schedule.steps.len(),
        outcome.requests,
        outcome.once,
        outcome.looks,
        outcome.avoided,
        outcome.early,
        outcome.drains,
        outcome.stall.as_millis(),
        outcome.void,
        outcome.broken.len()
    );
    if outcome.broken.is_empty() {
        return true;
    }
    outcome.broken.iter().take(10).for_each(|broken| println!("  {broken}"));
    println!("  {}", schedule.text());
    let rule = outcome.broken[0].rule;
    let least =
        shrink(&schedule, most, |smaller| play(smaller, settings).broken.iter().any(|b| b.rule == rule));
    if least != schedule {
        println!("  least that breaks {rule:?}: {}", least.text());
    }
    false
}
