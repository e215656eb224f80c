//! Measures safe requests and orders through `dewpier serve` to nodes that fail differently often: three fail one request
//! in four in nine ways, two fail one in 25. Also measures the load on five nodes that all fail.
//!
//! Run with `cargo bench --bench unlike`. `UNLIKE_SEED` sets the seed, `UNLIKE_ONLY` selects scenarios by a part of their
//! names, `UNLIKE_PROGRAM` names another build of the program to compare with.

#[path = "common/parts.rs"]
mod parts;

use dewpier_standins::faulty::{ALL_FAULTS, Fault, FaultyBackend};
use dewpier_standins::shop::{RequestCounts, RunCounts, duplicate_orders, run_clients};
use parts::start_program_at;
use std::path::Path;
use std::time::Duration;

/// Faults that end a request at once, as of an overloaded or broken server.
const IMMEDIATE_FAULTS: [Fault; 3] = [Fault::ServerError, Fault::Unavailable, Fault::ResetAfterRead];

struct Scenario {
    name: &'static str,
    /// The fraction of requests that each of five nodes fails.
    fault_fractions: [f64; 5],
    faults: &'static [Fault],
    clients: usize,
    requests: u64,
    pause: Duration,
}

fn main() {
    let seed = std::env::var("UNLIKE_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    println!("UNLIKE_SEED={seed}");
    let mixed_fractions = [0.25, 0.25, 0.25, 0.04, 0.04];
    let scenarios = [
        Scenario {
            name: "24 clients",
            fault_fractions: mixed_fractions,
            faults: &ALL_FAULTS,
            clients: 24,
            requests: 5000,
            pause: Duration::ZERO,
        },
        Scenario {
            name: "3 clients, quiet",
            fault_fractions: mixed_fractions,
            faults: &ALL_FAULTS,
            clients: 3,
            requests: 450,
            pause: Duration::from_millis(30),
        },
        Scenario {
            name: "all fail at once, 24 clients",
            fault_fractions: [1.0; 5],
            faults: &IMMEDIATE_FAULTS,
            clients: 24,
            requests: 240,
            pause: Duration::from_millis(100),
        },
        Scenario {
            name: "all silent, 24 clients",
            fault_fractions: [1.0; 5],
            faults: &[Fault::NoResponse],
            clients: 24,
            requests: 240,
            pause: Duration::from_millis(100),
        },
    ];
    let this_program = env!("CARGO_BIN_EXE_dewpier").to_string();
    let other_program = std::env::var("UNLIKE_PROGRAM").ok();
    println!(
        "scenario | build | safe served | rejected, failed | with Retry-After | time of errors p50, max | orders served | duplicate, unanswered, invalid | attempts per request | connections per request | p99 of served | duration"
    );
    let name_filter = std::env::var("UNLIKE_ONLY").unwrap_or_default();
    for scenario in scenarios.iter().filter(|s| s.name.contains(&name_filter)) {
        for (label, path) in other_program.iter().map(|p| ("other", p)).chain([("this", &this_program)]) {
            run_scenario(scenario, label, path, seed);
        }
    }
}

fn run_scenario(scenario: &Scenario, label: &str, path: &str, seed: u64) {
    let start = |(i, fraction): (usize, &f64)| {
        FaultyBackend::start(seed * 100 + i as u64, *fraction, scenario.faults)
    };
    let nodes: Vec<FaultyBackend> = scenario.fault_fractions.iter().enumerate().map(start).collect();
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("unlike");
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("nodes.csv");
    let rows: String = nodes.iter().enumerate().map(|(i, n)| format!("node-{i},{}\n", n.address)).collect();
    std::fs::write(&file, format!("id,address\n{rows}")).expect("an inventory");
    let class = |name: &str, effect: &str, method: &str| {
        format!(
            "[[class]]\nname = \"{name}\"\neffect = \"{effect}\"\naim_ms = 2000\ndeadline_ms = 5000\nmatch = [{{ methods = [\"{method}\"] }}]\n"
        )
    };
    let text = format!(
        "listen = \"127.0.0.1:0\"\n[inventory]\nfile = \"{}\"\n{}{}",
        file.display(),
        class("quote", "safe", "GET"),
        class("order", "unsafe", "POST")
    );
    let (_proxy, address, _) = start_program_at(0, path, "serve", &folder, &text);
    let address = address.parse().expect("an address");
    let RunCounts { mut safe, orders, duration } =
        run_clients(address, scenario.clients, scenario.requests, scenario.pause);
    let request_total = (safe.total() + orders.total()) as f64;
    let per_request =
        |count: fn(&FaultyBackend) -> usize| nodes.iter().map(count).sum::<usize>() as f64 / request_total;
    let errors = |a: &RequestCounts| a.unanswered + a.invalid;
    safe.error_times.sort_unstable();
    safe.success_times.sort_unstable();
    let quantile_ms = |times: &[Duration], fraction: f64| {
        let last = times.len().saturating_sub(1) as f64;
        times.get((last * fraction).round() as usize).map_or(0, Duration::as_millis)
    };
    println!(
        "{} | {label} | {:.2}% of {} | {}, {} | {} | {}, {} ms | {:.2}% | {}, {}, {} | {:.3} | {:.3} | {} ms | {:.1} s",
        scenario.name,
        100.0 * safe.success_fraction(),
        safe.total(),
        safe.rejected,
        safe.failed,
        safe.with_retry_after,
        quantile_ms(&safe.error_times, 0.5),
        quantile_ms(&safe.error_times, 1.0),
        100.0 * orders.success_fraction(),
        duplicate_orders(&nodes).len(),
        safe.unanswered + orders.unanswered,
        errors(&safe) + errors(&orders) - safe.unanswered - orders.unanswered,
        per_request(FaultyBackend::attempt_count),
        per_request(FaultyBackend::connection_count),
        quantile_ms(&safe.success_times, 0.99),
        duration.as_secs_f64(),
    );
}
