//! Runs fault schedules drawn from seeds on a fleet of real processes and prints the outcome of each. If a schedule
//! violates an invariant or a bound, it is shrunk to a smaller one that still does. Exits with status 1 after a
//! violation.
//!
//! It starts the program itself, so run `cargo build --release` first.

use clap::Parser;
use dewpier_trials::campaign;
use dewpier_trials::harness::Settings;
use dewpier_trials::schedule::{RunSize, Schedule};
use std::process::ExitCode;

/// Runs fault schedules on a fleet of real processes.
#[derive(Parser)]
struct Arguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// The number of successive seeds.
    #[arg(long, default_value_t = 100)]
    seeds: u64,
    /// The number of proxies.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(3..=24))]
    proxies: u64,
    /// The duration of each run, in milliseconds.
    #[arg(long, default_value_t = 24_000, value_parser = clap::value_parser!(u64).range(4000..=600_000))]
    length_ms: u64,
    /// The number of planners, which fail too; with 0 each proxy watches its own inventory.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u64).range(0..=5))]
    planners: u64,
    /// The planners relay the messages between proxies, in place of datagrams.
    #[arg(long, requires = "planners")]
    by_planners: bool,
    /// The maximum number of runs to shrink a schedule with a violation.
    #[arg(long = "shrink", default_value_t = 20)]
    shrink_runs: usize,
    /// Prints the schedules without running them.
    #[arg(long)]
    show: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let size = RunSize {
        proxies: arguments.proxies as usize,
        nodes: 8,
        duration_ms: arguments.length_ms,
        node_fault_spacing_ms: 8000,
    };
    let settings = Settings {
        planners: arguments.planners as usize,
        relay_by_planners: arguments.by_planners && arguments.planners > 0,
        ..Settings::default()
    };
    let seeds = arguments.first..arguments.first.saturating_add(arguments.seeds);
    if arguments.show {
        let schedule = |seed| match settings.planners {
            0 => Schedule::generate(seed, size),
            planners => Schedule::generate(seed, size)
                .with_planners(planners)
                .with_planner_relay(settings.relay_by_planners),
        };
        seeds.for_each(|seed| println!("{}", schedule(seed).to_json()));
        return ExitCode::SUCCESS;
    }
    let failed = seeds.filter(|s| !campaign::run_seed(*s, size, settings, arguments.shrink_runs)).count();
    println!("{failed} of {} seeds violated an invariant or a bound", arguments.seeds);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
