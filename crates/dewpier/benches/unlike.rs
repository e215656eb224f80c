//! Safe calls and orders between unlike nodes: three that fail one call in four in nine ways, two that
//! fail one in 25, behind `dewpier serve`; and the load on five that all fail. `cargo bench --bench unlike`.
//! `UNLIKE_SEED` changes the draws, `UNLIKE_ONLY` plays the scenes with that in their names, `UNLIKE_PROGRAM` names another build of the program to play beside.

#[path = "common/parts.rs"]
mod parts;

use dewpier_standins::faulty::{ALL_FAULTS, Fault, FaultyBackend};
use dewpier_standins::shop::{RequestCounts, RunCounts, duplicate_orders, run_clients};
use parts::program_at;
use std::path::Path;
use std::time::Duration;

/// Faults that tell at once, as a server does that has too much to do or is broken.
const AT_ONCE: [Fault; 3] = [Fault::ServerError, Fault::Unavailable, Fault::ResetAfterRead];

struct Scene {
    name: &'static str,
    /// The part that each of five nodes fails, and how.
    parts: [f64; 5],
    faults: &'static [Fault],
    clients: usize,
    requests: u64,
    pause: Duration,
}

fn main() {
    let seed = std::env::var("UNLIKE_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    println!("UNLIKE_SEED={seed}");
    let unlike = [0.25, 0.25, 0.25, 0.04, 0.04];
    let scenes = [
        Scene {
            name: "24 clients",
            parts: unlike,
            faults: &ALL_FAULTS,
            clients: 24,
            requests: 5000,
            pause: Duration::ZERO,
        },
        Scene {
            name: "3 clients, quiet",
            parts: unlike,
            faults: &ALL_FAULTS,
            clients: 3,
            requests: 450,
            pause: Duration::from_millis(30),
        },
        Scene {
            name: "all fail at once, 24 clients",
            parts: [1.0; 5],
            faults: &AT_ONCE,
            clients: 24,
            requests: 240,
            pause: Duration::from_millis(100),
        },
        Scene {
            name: "all silent, 24 clients",
            parts: [1.0; 5],
            faults: &[Fault::NoResponse],
            clients: 24,
            requests: 240,
            pause: Duration::from_millis(100),
        },
    ];
    let built = env!("CARGO_BIN_EXE_dewpier").to_string();
    let other = std::env::var("UNLIKE_PROGRAM").ok();
    println!(
        "scene | build | safe served | refused, failed | of them told when | waited p50, max | orders served | twice, lost, wrong | attempts a request | connections a request | p99 of served | span"
    );
    let only = std::env::var("UNLIKE_ONLY").unwrap_or_default();
    for scene in scenes.iter().filter(|s| s.name.contains(&only)) {
        for (label, path) in other.iter().map(|p| ("other", p)).chain([("this", &built)]) {
            run(scene, label, path, seed);
        }
    }
}

fn run(scene: &Scene, label: &str, path: &str, seed: u64) {
    let start = |(i, part): (usize, &f64)| FaultyBackend::start(seed * 100 + i as u64, *part, scene.faults);
    let nodes: Vec<FaultyBackend> = scene.parts.iter().enumerate().map(start).collect();
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
    let (_proxy, address, _) = program_at(0, path, "serve", &folder, &text);
    let address = address.parse().expect("an address");
    let RunCounts { mut safe, orders, duration: span } =
        run_clients(address, scene.clients, scene.requests, scene.pause);
    let all = (safe.total() + orders.total()) as f64;
    let sum = |of: fn(&FaultyBackend) -> usize| nodes.iter().map(of).sum::<usize>() as f64 / all;
    let of = |a: &RequestCounts| a.unanswered + a.invalid;
    safe.error_times.sort_unstable();
    safe.success_times.sort_unstable();
    let at = |times: &[Duration], part: f64| {
        let last = times.len().saturating_sub(1) as f64;
        times.get((last * part).round() as usize).map_or(0, Duration::as_millis)
    };
    println!(
        "{} | {label} | {:.2}% of {} | {}, {} | {} | {}, {} ms | {:.2}% | {}, {}, {} | {:.3} | {:.3} | {} ms | {:.1} s",
        scene.name,
        100.0 * safe.success_fraction(),
        safe.total(),
        safe.rejected,
        safe.failed,
        safe.with_retry_after,
        at(&safe.error_times, 0.5),
        at(&safe.error_times, 1.0),
        100.0 * orders.success_fraction(),
        duplicate_orders(&nodes).len(),
        safe.unanswered + orders.unanswered,
        of(&safe) + of(&orders) - safe.unanswered - orders.unanswered,
        sum(FaultyBackend::attempt_count),
        sum(FaultyBackend::connection_count),
        at(&safe.success_times, 0.99),
        span.as_secs_f64(),
    );
}
