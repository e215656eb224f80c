//! Plays schedules of faults, each drawn from a seed, on twelve processes of the program, and prints what came of each;
//! where one breaks a rule or a bound, the least of it that still does. Ends with status 1 if any broke something.
//!
//! It starts processes of the program: `cargo build --release` first.

use clap::Parser;
use dewpier_trials::campaign;
use dewpier_trials::harness::Settings;
use dewpier_trials::schedule::{RunSize, Schedule};
use std::process::ExitCode;

/// Plays faults on a fleet of real processes.
#[derive(Parser)]
struct Told {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// How many seeds, one after the other.
    #[arg(long, default_value_t = 100)]
    seeds: u64,
    /// Processes of the program.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(3..=24))]
    proxies: u64,
    /// How long each play lasts, in milliseconds.
    #[arg(long, default_value_t = 24_000, value_parser = clap::value_parser!(u64).range(4000..=600_000))]
    length_ms: u64,
    /// Planners that tell the proxies what is listed, and suffer as well; 0 for none: each watches the list itself.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u64).range(0..=5))]
    planners: u64,
    /// They carry what proxies say to each other, in the place of datagrams.
    #[arg(long, requires = "planners")]
    by_planners: bool,
    /// Plays that are spent on finding the least schedule that still breaks something.
    #[arg(long, default_value_t = 20)]
    shrink: usize,
    /// Prints the schedules and plays nothing.
    #[arg(long)]
    show: bool,
}

fn main() -> ExitCode {
    let told = Told::parse();
    let size = RunSize {
        proxies: told.proxies as usize,
        nodes: 8,
        duration_ms: told.length_ms,
        node_fault_spacing_ms: 8000,
    };
    let settings = Settings {
        planners: told.planners as usize,
        relay_by_planners: told.by_planners && told.planners > 0,
        ..Settings::default()
    };
    let seeds = told.first..told.first.saturating_add(told.seeds);
    if told.show {
        let drawn = |seed| match settings.planners {
            0 => Schedule::generate(seed, size),
            planners => Schedule::generate(seed, size)
                .with_planners(planners)
                .with_planner_relay(settings.relay_by_planners),
        };
        seeds.for_each(|seed| println!("{}", drawn(seed).to_json()));
        return ExitCode::SUCCESS;
    }
    let broken = seeds.filter(|s| !campaign::run_seed(*s, size, settings, told.shrink)).count();
    println!("{broken} of {} seeds broke something", told.seeds);
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
