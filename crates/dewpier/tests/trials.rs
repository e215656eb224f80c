//! Fault-injection runs on twelve processes of the program with schedules drawn from a seed. `cargo run --release
//! --example trials` runs many seeds.

use dewpier_trials::campaign;
use dewpier_trials::checks::{Rule, avoided, check};
use dewpier_trials::schedule::{Ends, Fault, Node, Schedule, Size, Step};
use dewpier_trials::stage::{Settings, Stage};

/// The seeds that are run; the environment variable `TRIALS_SEED` replaces them by one other seed.
const SEEDS: [u64; 1] = [1];

#[test]
fn invariants_and_bounds_hold_under_random_faults() {
    let size = Size { proxies: 12, nodes: 8, length_ms: 16_000, apart_ms: 8000 };
    let env_seed = std::env::var("TRIALS_SEED").ok().and_then(|text| text.parse().ok());
    let seeds = env_seed.map_or(SEEDS.to_vec(), |seed| vec![seed]);
    for seed in seeds {
        assert!(campaign::seed(seed, size, Settings::default(), 0), "TRIALS_SEED={seed}");
    }
}

/// Twelve forwarders with three planners: all planners are killed as a node begins to drain, one forwarder is suspended
/// past the end of its lease, half of the forwarders lose the answers of two planners at first, a node fails, and a
/// planner is restarted.
#[test]
fn forwarders_and_planners_keep_invariants_and_bounds_under_faults() {
    let size = Size { proxies: 12, nodes: 8, length_ms: 13_000, apart_ms: 8000 };
    let step = |at_ms, for_ms, fault| Step { at_ms, for_ms, fault };
    let half: Vec<usize> = (0..size.proxies).step_by(2).collect();
    let cut = Fault::Streams { proxies: half, planners: Vec::new(), to: vec![0, 1], answers: true };
    let steps = vec![
        step(300, 1500, cut),
        step(500, 9000, Fault::Node { node: 2, does: Node::Fails }),
        step(2800, 3000, Fault::Still { proxy: 4 }),
        step(3000, 6500, Fault::Drain { node: 5 }),
        step(3060, 2000, Fault::AllPlanners),
        step(7500, 1000, Fault::Planner { planner: 1, does: Ends::Ended }),
    ];
    let settings = Settings { planners: 3, snapshots: true, ..Settings::default() };
    let outcome =
        campaign::play(&Schedule { seed: 9, size, planners: 3, by_planners: false, steps }, settings);
    println!("{outcome:?}");
    assert!(outcome.broken.is_empty(), "{:?}", outcome.broken);
    assert_eq!(outcome.drains, size.proxies, "the drain bound must be checked at every proxy");
    assert!(
        outcome.avoided + outcome.early >= size.proxies / 2,
        "verdicts must be reached with planners too"
    );
}

/// Forwarders receive no plan, and their own inventory shows no drain: the checker must report the violation.
#[test]
fn checker_reports_a_violated_drain_bound_when_no_source_shows_the_drain() {
    let size = Size { proxies: 6, nodes: 8, length_ms: 9000, apart_ms: 8000 };
    let cut = |at_ms, for_ms| {
        let all = (0..size.proxies).collect();
        let fault = Fault::Streams { proxies: all, planners: Vec::new(), to: vec![0, 1, 2], answers: true };
        Step { at_ms, for_ms, fault }
    };
    let drain = Step { at_ms: 3000, for_ms: 5000, fault: Fault::Drain { node: 5 } };
    let settings = Settings { planners: 3, blind: true, ..Settings::default() };
    let schedule =
        Schedule { seed: 9, size, planners: 3, by_planners: false, steps: vec![cut(500, 8400), drain] };
    let rules: Vec<Rule> = campaign::play(&schedule, settings).broken.iter().map(|b| b.rule).collect();
    assert!(rules.contains(&Rule::Drain) && rules.iter().all(|r| *r == Rule::Drain), "{rules:?}");
}

/// Fails a node during a fault that the checker does not know, and checks that the checker reports the violated bound.
fn assert_checker_reports_late_avoidance(size: Size, settings: Settings, cut: Fault) {
    let node = Step { at_ms: 1000, for_ms: 11_000, fault: Fault::Node { node: 2, does: Node::Fails } };
    let (planners, by_planners) = (settings.planners, settings.by_planners);
    let known_schedule = Schedule { seed: 1, size, planners, by_planners, steps: vec![node.clone()] };
    let steps = vec![Step { at_ms: 0, for_ms: size.length_ms, fault: cut }, node];
    let stage = Stage::start(1, size, settings);
    let (record, run_schedule) = stage.play(&Schedule { steps, ..known_schedule.clone() });
    let count_late =
        |schedule| check(&record, schedule, &stage.bounds()).iter().filter(|b| b.rule == Rule::Late).count();
    assert_eq!(count_late(&run_schedule), 0, "the bound does not cover proxies that receive nothing");
    assert!(avoided(&record, &known_schedule, &stage.bounds()).checked > 0);
    assert!(count_late(&known_schedule) > 0, "the bound must not hold under the fault");
}

#[test]
fn checker_reports_late_avoidance_without_datagrams() {
    let size = Size { proxies: 12, nodes: 8, length_ms: 12_000, apart_ms: 8000 };
    let all: Vec<usize> = (0..size.proxies).collect();
    let cut = Fault::Talk { from: all.clone(), to: all, lost: 1000, doubled: 0, delay_ms: 0 };
    assert_checker_reports_late_avoidance(size, Settings::default(), cut);
}

#[test]
fn checker_reports_late_avoidance_without_relayed_messages() {
    let size = Size { proxies: 12, nodes: 8, length_ms: 12_000, apart_ms: 8000 };
    let all: Vec<usize> = (0..size.proxies).collect();
    let cut = Fault::Streams { proxies: all, planners: Vec::new(), to: vec![0, 1, 2], answers: true };
    assert_checker_reports_late_avoidance(
        size,
        Settings { planners: 3, by_planners: true, ..Settings::default() },
        cut,
    );
}

/// Three planners relay the messages of twelve forwarders. One planner is suspended while a node turns bad; later half of
/// the forwarders lose their streams to another planner.
#[test]
fn relayed_verdicts_keep_their_bound_while_a_planner_is_suspended() {
    let size = Size { proxies: 12, nodes: 8, length_ms: 14_000, apart_ms: 8000 };
    let step = |at_ms, for_ms, fault| Step { at_ms, for_ms, fault };
    let half: Vec<usize> = (0..size.proxies).step_by(2).collect();
    let cut = Fault::Streams { proxies: half, planners: Vec::new(), to: vec![1], answers: true };
    let steps = vec![
        step(500, 6500, Fault::Planner { planner: 0, does: Ends::Still }),
        step(2000, 11_000, Fault::Node { node: 2, does: Node::Fails }),
        step(8000, 3000, cut),
    ];
    let settings = Settings { planners: 3, by_planners: true, ..Settings::default() };
    let outcome =
        campaign::play(&Schedule { seed: 9, size, planners: 3, by_planners: true, steps }, settings);
    println!("{outcome:?}");
    assert!(outcome.broken.is_empty(), "{:?}", outcome.broken);
    assert!(outcome.avoided + outcome.early >= size.proxies / 2, "verdicts must be reached through planners");
}

/// A second planner is killed before the first one is back, so that the group has no majority. All three planners must
/// agree again within the time that the checker waits.
#[test]
fn planners_agree_again_after_the_loss_of_a_majority() {
    let size = Size { proxies: 3, nodes: 8, length_ms: 10_000, apart_ms: 8000 };
    let step = |at_ms, for_ms, planner| Step {
        at_ms,
        for_ms,
        fault: Fault::Planner { planner, does: Ends::Killed },
    };
    let steps = vec![step(300, 6400, 2), step(5000, 3700, 1)];
    let settings = Settings { planners: 3, ..Settings::default() };
    let outcome =
        campaign::play(&Schedule { seed: 9, size, planners: 3, by_planners: false, steps }, settings);
    assert!(outcome.broken.is_empty(), "{:?}", outcome.broken);
}
