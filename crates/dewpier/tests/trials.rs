//! Fault-injection runs on twelve processes of the program with schedules drawn from a seed. `cargo run --release
//! --example trials` runs many seeds.

use dewpier_trials::campaign;
use dewpier_trials::checks::{Invariant, check_avoidance, find_violations};
use dewpier_trials::harness::{FleetHarness, Settings};
use dewpier_trials::schedule::{Fault, NodeFault, ProcessFault, RunSize, Schedule, Step};

/// The seeds that are run; the environment variable `TRIALS_SEED` replaces them by one other seed.
const SEEDS: [u64; 1] = [1];

#[test]
fn invariants_and_bounds_hold_under_random_faults() {
    let size = RunSize { proxies: 12, nodes: 8, duration_ms: 16_000, node_fault_spacing_ms: 8000 };
    let env_seed = std::env::var("TRIALS_SEED").ok().and_then(|text| text.parse().ok());
    let seeds = env_seed.map_or(SEEDS.to_vec(), |seed| vec![seed]);
    for seed in seeds {
        assert!(campaign::run_seed(seed, size, Settings::default(), 0), "TRIALS_SEED={seed}");
    }
}

/// Twelve forwarders with three planners: all planners are killed as a node begins to drain, one forwarder is suspended
/// past the end of its lease, half of the forwarders lose the answers of two planners at first, a node fails, and a
/// planner is restarted.
#[test]
fn forwarders_and_planners_keep_invariants_and_bounds_under_faults() {
    let size = RunSize { proxies: 12, nodes: 8, duration_ms: 13_000, node_fault_spacing_ms: 8000 };
    let step = |at_ms, duration_ms, fault| Step { at_ms, duration_ms, fault };
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
    assert_eq!(outcome.observed_drains, size.proxies, "the drain bound must be checked at every proxy");
    assert!(
        outcome.avoidance_checks + outcome.avoided_unbound >= size.proxies / 2,
        "verdicts must be reached with planners too"
    );
}

/// Forwarders receive no plan, and their own inventory shows no drain: the checker must report the violation.
#[test]
fn checker_reports_a_violated_drain_bound_when_no_source_shows_the_drain() {
    let size = RunSize { proxies: 6, nodes: 8, duration_ms: 9000, node_fault_spacing_ms: 8000 };
    let cut = |at_ms, duration_ms| {
        let all = (0..size.proxies).collect();
        let fault =
            Fault::Streams { proxies: all, planners: Vec::new(), to: vec![0, 1, 2], responses_only: true };
        Step { at_ms, duration_ms, fault }
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

/// Fails a node during a fault that the checker does not know, and checks that the checker reports the violated bound.
fn assert_checker_reports_late_avoidance(size: RunSize, settings: Settings, cut: Fault) {
    let node =
        Step { at_ms: 1000, duration_ms: 11_000, fault: Fault::Node { node: 2, fault: NodeFault::Fails } };
    let (planners, relay_by_planners) = (settings.planners, settings.relay_by_planners);
    let known_schedule = Schedule { seed: 1, size, planners, relay_by_planners, steps: vec![node.clone()] };
    let steps = vec![Step { at_ms: 0, duration_ms: size.duration_ms, fault: cut }, node];
    let harness = FleetHarness::start(1, size, settings);
    let (record, run_schedule) = harness.run_schedule(&Schedule { steps, ..known_schedule.clone() });
    let count_late = |schedule| {
        find_violations(&record, schedule, &harness.bounds())
            .iter()
            .filter(|b| b.invariant == Invariant::TimelyAvoidance)
            .count()
    };
    assert_eq!(count_late(&run_schedule), 0, "the bound does not cover proxies that receive nothing");
    assert!(check_avoidance(&record, &known_schedule, &harness.bounds()).checked > 0);
    assert!(count_late(&known_schedule) > 0, "the bound must not hold under the fault");
}

#[test]
fn checker_reports_late_avoidance_without_datagrams() {
    let size = RunSize { proxies: 12, nodes: 8, duration_ms: 12_000, node_fault_spacing_ms: 8000 };
    let all: Vec<usize> = (0..size.proxies).collect();
    let cut = Fault::Datagrams {
        from: all.clone(),
        to: all,
        lost_per_mille: 1000,
        duplicated_per_mille: 0,
        max_delay_ms: 0,
    };
    assert_checker_reports_late_avoidance(size, Settings::default(), cut);
}

#[test]
fn checker_reports_late_avoidance_without_relayed_messages() {
    let size = RunSize { proxies: 12, nodes: 8, duration_ms: 12_000, node_fault_spacing_ms: 8000 };
    let all: Vec<usize> = (0..size.proxies).collect();
    let cut = Fault::Streams { proxies: all, planners: Vec::new(), to: vec![0, 1, 2], responses_only: true };
    assert_checker_reports_late_avoidance(
        size,
        Settings { planners: 3, relay_by_planners: true, ..Settings::default() },
        cut,
    );
}

/// Three planners relay the messages of twelve forwarders. One planner is suspended while a node turns bad; later half of
/// the forwarders lose their streams to another planner.
#[test]
fn relayed_verdicts_keep_their_bound_while_a_planner_is_suspended() {
    let size = RunSize { proxies: 12, nodes: 8, duration_ms: 14_000, node_fault_spacing_ms: 8000 };
    let step = |at_ms, duration_ms, fault| Step { at_ms, duration_ms, fault };
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
        "verdicts must be reached through planners"
    );
}

/// A second planner is killed before the first one is back, so that the group has no majority. All three planners must
/// agree again within the time that the checker waits.
#[test]
fn planners_agree_again_after_the_loss_of_a_majority() {
    let size = RunSize { proxies: 3, nodes: 8, duration_ms: 10_000, node_fault_spacing_ms: 8000 };
    let step = |at_ms, duration_ms, planner| Step {
        at_ms,
        duration_ms,
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
