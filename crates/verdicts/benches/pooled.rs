//! Compares pooled evidence with each proxy's own evidence at the same load of the whole fleet: attempts at a bad node
//! until it is avoided, time, and the cost of the datagrams. Virtual time; each number is a mean over seeds, most with
//! twice its standard error.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{NodeBehaviour, Simulation, SimulationConfig, attempts_at_bad_node_after_restart};
use std::time::{Duration, Instant};

/// The mean and twice its standard error.
fn mean_and_error(values: &[f64]) -> (f64, f64) {
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n;
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
    (mean, 2.0 * (variance / n).sqrt())
}

fn main() {
    let seeds = std::env::var("DEWPIER_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(6u64);
    println!(
        "8 nodes, 40 requests a second in all, one node answers with errors for 60 s; {seeds} seeds, 10% of datagrams lost"
    );
    println!(
        "| proxies | attempts at the node, pooled | not pooled | ratio | s until 95% avoid it | datagrams a second a proxy | KB a second a proxy | cores a proxy |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for proxies in [10usize, 100, 300, 1000] {
        let (
            mut attempts_pooled,
            mut attempts_alone,
            mut seconds_until_avoided,
            mut datagrams,
            mut kilobytes,
            mut cores,
        ) = (Vec::new(), Vec::new(), Vec::new(), Vec::new(), Vec::new(), Vec::new());
        for seed in 0..seeds {
            for pooled in [true, false] {
                let config = SimulationConfig {
                    proxies,
                    request_rate: 40.0,
                    loss: 0.1,
                    pooled,
                    seed,
                    ..SimulationConfig::default()
                };
                let mut simulation = Simulation::new(config);
                simulation.run(Duration::from_secs(30));
                let turned_bad_at = simulation.now;
                let sent_before: u64 = simulation.proxies.iter().map(|p| p.peers.counts.sent).sum();
                let bytes_before = simulation.bytes_sent;
                let start = Instant::now();
                simulation.behaviours[2] = NodeBehaviour::Failing(1.0);
                if pooled {
                    let timeout = Duration::from_secs(60);
                    let avoided_after =
                        simulation.run_until(timeout, |s| s.count_ejecting(2) * 20 >= proxies * 19);
                    seconds_until_avoided.push(avoided_after.unwrap_or(timeout).as_secs_f64());
                }
                simulation.run(turned_bad_at + Duration::from_secs(60) - simulation.now);
                if pooled {
                    let proxy_seconds = 60.0 * proxies as f64;
                    let sent_now: u64 = simulation.proxies.iter().map(|p| p.peers.counts.sent).sum();
                    datagrams.push((sent_now - sent_before) as f64 / proxy_seconds);
                    kilobytes.push((simulation.bytes_sent - bytes_before) as f64 / proxy_seconds / 1024.0);
                    cores.push(start.elapsed().as_secs_f64() / proxy_seconds);
                }
                let attempts = simulation.count_attempts_since(2, turned_bad_at) as f64;
                if pooled { attempts_pooled.push(attempts) } else { attempts_alone.push(attempts) }
            }
        }
        let ratio: Vec<f64> = attempts_pooled.iter().zip(&attempts_alone).map(|(a, b)| a / b).collect();
        let [attempts_pooled, attempts_alone, ratio, seconds_until_avoided] =
            [&attempts_pooled, &attempts_alone, &ratio, &seconds_until_avoided].map(|v| mean_and_error(v));
        let [datagrams, kilobytes, cores] = [&datagrams, &kilobytes, &cores].map(|v| mean_and_error(v).0);
        println!(
            "| {proxies} | {:.0} +- {:.0} | {:.0} +- {:.0} | {:.2} +- {:.2} | {:.1} +- {:.1} | {datagrams:.0} | {kilobytes:.1} | {cores:.4} |",
            attempts_pooled.0,
            attempts_pooled.1,
            attempts_alone.0,
            attempts_alone.1,
            ratio.0,
            ratio.1,
            seconds_until_avoided.0,
            seconds_until_avoided.1
        );
    }
    println!(
        "\nAll processes restart with 2 s of downtime, 24 requests a second in all: attempts at the bad node in 10 s"
    );
    println!("| proxies | with snapshots | without | ratio |");
    println!("| --- | --- | --- | --- |");
    for proxies in [10usize, 24, 100] {
        let attempts = |with_snapshots| -> Vec<f64> {
            (0..seeds)
                .map(|seed| attempts_at_bad_node_after_restart(proxies, seed, with_snapshots) as f64)
                .collect()
        };
        let (with, without) = (attempts(true), attempts(false));
        let ratio: Vec<f64> = with.iter().zip(&without).map(|(a, b)| a / b.max(1.0)).collect();
        let [with, without, ratio] = [&with, &without, &ratio].map(|v| mean_and_error(v));
        println!(
            "| {proxies} | {:.0} +- {:.0} | {:.0} +- {:.0} | {:.2} +- {:.2} |",
            with.0, with.1, without.0, without.1, ratio.0, ratio.1
        );
    }
}
