//! Twelve processes of the program under faults that are drawn from a seed: the short form. The long one is
//! `cargo run --release --example trials`.

use dewpier_trials::campaign;
use dewpier_trials::checks::{Invariant, check_avoidance, find_violations};
use dewpier_trials::harness::{FleetHarness, Settings};
use dewpier_trials::schedule::{Fault, NodeFault, ProcessFault, RunSize, Schedule, Step};

/// Seeds that are played; others by the environment variable `TRIALS_SEED`, one.
const SEEDS: [u64; 1] = [1];

#[test]
fn no_rule_and_no_bound_is_broken_under_faults() {
    let size = RunSize { proxies: 12, nodes: 8, duration_ms: 16_000, node_fault_spacing_ms: 8000 };
    let one = std::env::var("TRIALS_SEED").ok().and_then(|text| text.parse().ok());
    let seeds = one.map_or(SEEDS.to_vec(), |seed| vec![seed]);
    for seed in seeds {
        assert!(campaign::run_seed(seed, size, Settings::default(), 0), "TRIALS_SEED={seed}");
    }
}

/// Planners tell twelve forwarders what is listed. All planners are killed as a node begins to drain, one forwarder stands
/// still from before that until after its lease, half of them hear no answers of two planners at first, a node fails all the
/// while, and a planner is ended and started anew.
#[test]
fn forwarders_and_planners_keep_all_rules_and_bounds_under_faults() {
    let size = RunSize { proxies: 12, nodes: 8, duration_ms: 13_000, node_fault_spacing_ms: 8000 };
    let step = |at_ms, for_ms, fault| Step { at_ms, duration_ms: for_ms, fault };
    let half: Vec<usize> = (0..size.proxies).step_by(2).collect();
    let cut = Fault::Streams { proxies: half, planners: Vec::new(), to: vec![0, 1], responses_only: true };
    let steps = vec![
        step(300, 1500, cut),
        step(500, 9000, Fault::Node { node: 2, fault: NodeFault::Fails }),
        step(2800, 3000, Fault::Suspended { proxy: 4 }),
        step(3000, 6500, Fault::Drain { node: 5 }),
        step(3060, 2000, Fault::AllPlanners),
        step(7500, 1000, Fault::Planner { planner: 1, fault: ProcessFault::Terminated }),
    ];
    let settings = Settings { planners: 3, snapshots: true, ..Settings::default() };
    let outcome = campaign::run_schedule(
        &Schedule { seed: 9, size, planners: 3, relay_by_planners: false, steps },
        settings,
    );
    println!("{outcome:?}");
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    assert_eq!(outcome.observed_drains, size.proxies, "each was bound by the drain");
    assert!(
        outcome.avoidance_checks + outcome.avoided_unbound >= size.proxies / 2,
        "verdicts go on beside planners"
    );
}

/// Forwarders hear no planner, and what they watch themselves tells of no drain: the checker has to find what comes of it.
#[test]
fn the_bound_on_drains_is_broken_where_nothing_tells_of_one() {
    let size = RunSize { proxies: 6, nodes: 8, duration_ms: 9000, node_fault_spacing_ms: 8000 };
    let cut = |at_ms, for_ms| {
        let all = (0..size.proxies).collect();
        let fault =
            Fault::Streams { proxies: all, planners: Vec::new(), to: vec![0, 1, 2], responses_only: true };
        Step { at_ms, duration_ms: for_ms, fault }
    };
    let drain = Step { at_ms: 3000, duration_ms: 5000, fault: Fault::Drain { node: 5 } };
    let settings = Settings { planners: 3, static_own_list: true, ..Settings::default() };
    let schedule =
        Schedule { seed: 9, size, planners: 3, relay_by_planners: false, steps: vec![cut(500, 8400), drain] };
    let rules: Vec<Invariant> =
        campaign::run_schedule(&schedule, settings).violations.iter().map(|b| b.invariant).collect();
    assert!(
        rules.contains(&Invariant::DrainRespected) && rules.iter().all(|r| *r == Invariant::DrainRespected),
        "{rules:?}"
    );
}

/// A node fails while that fault lasts, of which the checker is not told: it has to find that the bound is not kept.
fn breaks_the_bound_on_avoidance(size: RunSize, settings: Settings, cut: Fault) {
    let node =
        Step { at_ms: 1000, duration_ms: 11_000, fault: Fault::Node { node: 2, fault: NodeFault::Fails } };
    let (planners, by_planners) = (settings.planners, settings.relay_by_planners);
    let told =
        Schedule { seed: 1, size, planners, relay_by_planners: by_planners, steps: vec![node.clone()] };
    let steps = vec![Step { at_ms: 0, duration_ms: size.duration_ms, fault: cut }, node];
    let stage = FleetHarness::start(1, size, settings);
    let (record, played) = stage.run_schedule(&Schedule { steps, ..told.clone() });
    let late = |schedule| {
        find_violations(&record, schedule, &stage.bounds())
            .iter()
            .filter(|b| b.invariant == Invariant::TimelyAvoidance)
            .count()
    };
    assert_eq!(late(&played), 0, "who hears nobody is promised nothing");
    assert!(check_avoidance(&record, &told, &stage.bounds()).checked > 0);
    assert!(late(&told) > 0, "the bound holds without what keeps it");
}

#[test]
fn the_bound_on_avoidance_is_broken_without_talk() {
    let size = RunSize { proxies: 12, nodes: 8, duration_ms: 12_000, node_fault_spacing_ms: 8000 };
    let all: Vec<usize> = (0..size.proxies).collect();
    let cut = Fault::Datagrams {
        from: all.clone(),
        to: all,
        lost_per_mille: 1000,
        duplicated_per_mille: 0,
        max_delay_ms: 0,
    };
    breaks_the_bound_on_avoidance(size, Settings::default(), cut);
}

#[test]
fn the_bound_on_avoidance_is_broken_where_planners_carry_nothing() {
    let size = RunSize { proxies: 12, nodes: 8, duration_ms: 12_000, node_fault_spacing_ms: 8000 };
    let all: Vec<usize> = (0..size.proxies).collect();
    let cut = Fault::Streams { proxies: all, planners: Vec::new(), to: vec![0, 1, 2], responses_only: true };
    breaks_the_bound_on_avoidance(
        size,
        Settings { planners: 3, relay_by_planners: true, ..Settings::default() },
        cut,
    );
}

/// Planners carry what twelve forwarders say to each other. One of three stands still while a node turns bad, and later
/// the streams of half of the forwarders to another one carry nothing.
#[test]
fn verdicts_go_by_way_of_planners_within_the_bound_while_one_of_them_stands_still() {
    let size = RunSize { proxies: 12, nodes: 8, duration_ms: 14_000, node_fault_spacing_ms: 8000 };
    let step = |at_ms, for_ms, fault| Step { at_ms, duration_ms: for_ms, fault };
    let half: Vec<usize> = (0..size.proxies).step_by(2).collect();
    let cut = Fault::Streams { proxies: half, planners: Vec::new(), to: vec![1], responses_only: true };
    let steps = vec![
        step(500, 6500, Fault::Planner { planner: 0, fault: ProcessFault::Suspended }),
        step(2000, 11_000, Fault::Node { node: 2, fault: NodeFault::Fails }),
        step(8000, 3000, cut),
    ];
    let settings = Settings { planners: 3, relay_by_planners: true, ..Settings::default() };
    let outcome = campaign::run_schedule(
        &Schedule { seed: 9, size, planners: 3, relay_by_planners: true, steps },
        settings,
    );
    println!("{outcome:?}");
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    assert!(
        outcome.avoidance_checks + outcome.avoided_unbound >= size.proxies / 2,
        "verdicts go by way of planners"
    );
}

/// A planner is killed, and another one before it is back: what is left of their group can let nobody in. All three agree
/// again, within the time that the checker waits.
#[test]
fn planners_of_which_a_majority_begins_anew_agree_again() {
    let size = RunSize { proxies: 3, nodes: 8, duration_ms: 10_000, node_fault_spacing_ms: 8000 };
    let step = |at_ms, for_ms, planner| Step {
        at_ms,
        duration_ms: for_ms,
        fault: Fault::Planner { planner, fault: ProcessFault::Killed },
    };
    let steps = vec![step(300, 6400, 2), step(5000, 3700, 1)];
    let settings = Settings { planners: 3, ..Settings::default() };
    let outcome = campaign::run_schedule(
        &Schedule { seed: 9, size, planners: 3, relay_by_planners: false, steps },
        settings,
    );
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
}
