//! Measures how often a healthy node is avoided: 300 proxies and 60 nodes in virtual time, with datagram loss and, for
//! every other seed, one failing node. Each step checks every healthy node at every proxy. Fails if more than the
//! fraction [`Settings::false_rate`] of the checks finds a healthy node avoided.
//!
//! `cargo bench -p dewpier-verdicts --bench false_rate`; `DEWPIER_SEEDS` sets the number of seeds, 1,000 by default.
//!
//! [`Settings::false_rate`]: dewpier_verdicts::Settings::false_rate

#[path = "../tests/common/mod.rs"]
mod common;

use common::{NodeBehaviour, Simulation, SimulationConfig};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const PROXIES: usize = 300;
const NODES: usize = 60;
/// Requests a second of the whole fleet.
const REQUEST_RATE: f64 = 600.0;
/// The simulated time for each seed.
const LENGTH: Duration = Duration::from_secs(12);
/// The simulated time at which the failing node starts to fail.
const FAILURE_START: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Totals {
    false_avoidances: AtomicU64,
    checks: AtomicU64,
    /// Proxies that eject the failing node at the end.
    ejecting_proxies: AtomicU64,
    /// Proxies of all seeds with a failing node.
    proxies_with_failing_node: AtomicU64,
    seeds_with_false_avoidances: AtomicU64,
    seeds_done: AtomicU64,
}

fn run_seed(seed: u64, totals: &Totals) {
    let loss = if seed.is_multiple_of(3) { 0.1 } else { 0.01 };
    let config = SimulationConfig {
        proxies: PROXIES,
        nodes: NODES,
        request_rate: REQUEST_RATE,
        loss,
        seed,
        ..SimulationConfig::default()
    };
    let mut simulation = Simulation::new(config);
    simulation.run(FAILURE_START);
    let has_failing_node = seed.is_multiple_of(2);
    if has_failing_node {
        simulation.behaviours[2] = NodeBehaviour::Failing(1.0);
    }
    simulation.run(LENGTH - FAILURE_START);
    let add = |total: &AtomicU64, count: u64| {
        total.fetch_add(count, Ordering::Relaxed);
    };
    add(&totals.false_avoidances, simulation.false_avoidances);
    add(&totals.checks, simulation.checks);
    add(&totals.seeds_with_false_avoidances, u64::from(simulation.false_avoidances > 0));
    if has_failing_node {
        add(&totals.ejecting_proxies, simulation.count_ejecting(2) as u64);
        add(&totals.proxies_with_failing_node, PROXIES as u64);
    }
    let seeds_done = totals.seeds_done.fetch_add(1, Ordering::Relaxed) + 1;
    if seeds_done.is_multiple_of(100) {
        let [false_avoidances, checks] =
            [&totals.false_avoidances, &totals.checks].map(|total| total.load(Ordering::Relaxed));
        println!("{seeds_done} seeds: {false_avoidances} of {checks} checks");
    }
    if simulation.false_avoidances > 0 {
        println!("seed {seed}: {} checks found a healthy node avoided", simulation.false_avoidances);
    }
}

fn main() -> ExitCode {
    let seeds = std::env::var("DEWPIER_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(1000u64);
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    let (next_seed, totals, start) = (AtomicU64::new(0), Totals::default(), Instant::now());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds {
                        return;
                    }
                    run_seed(seed, &totals);
                }
            });
        }
    });
    let [false_avoidances, checks, ejecting_proxies, proxies_with_failing_node, seeds_with_false_avoidances] =
        [
            &totals.false_avoidances,
            &totals.checks,
            &totals.ejecting_proxies,
            &totals.proxies_with_failing_node,
            &totals.seeds_with_false_avoidances,
        ]
        .map(|total| total.load(Ordering::Relaxed));
    let allowed_rate = dewpier_verdicts::Settings::default().false_rate;
    println!(
        "{PROXIES} proxies, {NODES} nodes, {REQUEST_RATE} requests a second, {seeds} seeds of {LENGTH:?}: {false_avoidances} of {checks} checks of healthy nodes found one avoided ({:.2e}; {allowed_rate:.0e} is allowed), in {seeds_with_false_avoidances} seeds; the failing node is ejected by {ejecting_proxies} of {proxies_with_failing_node}; {:.0?} on {threads} threads",
        false_avoidances as f64 / checks.max(1) as f64,
        start.elapsed()
    );
    if false_avoidances as f64 <= allowed_rate * checks as f64 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
