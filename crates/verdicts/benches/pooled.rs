//! What it costs until a bad node is avoided, pooled against alone, at the same load for the whole fleet, and what
//! the talk costs. Virtual time; each figure is a mean over seeds with twice its standard error.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Does, Played, World, wasted};
use std::time::{Duration, Instant};

/// Mean and twice its standard error.
fn bar(values: &[f64]) -> (f64, f64) {
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
        "| proxies | attempts there, pooled | without talk | of it | s until 95% avoid it | datagrams a second a proxy | KB a second a proxy | of a core a proxy |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for proxies in [10usize, 100, 300, 1000] {
        let (mut with, mut without, mut until, mut sent, mut bytes, mut cpu) =
            (Vec::new(), Vec::new(), Vec::new(), Vec::new(), Vec::new(), Vec::new());
        for seed in 0..seeds {
            for pooled in [true, false] {
                let world = World { proxies, rate: 40.0, loss: 0.1, pooled, seed, ..World::default() };
                let mut played = Played::new(world);
                played.run(Duration::from_secs(30));
                let turned = played.now;
                let before: u64 = played.proxies.iter().map(|p| p.peers.counts.sent).sum();
                let bytes_before = played.bytes;
                let start = Instant::now();
                played.does[2] = Does::Fails(1.0);
                if pooled {
                    let most = Duration::from_secs(60);
                    let found = played.run_until(most, |p| p.out_at(2) * 20 >= proxies * 19);
                    until.push(found.unwrap_or(most).as_secs_f64());
                }
                played.run(turned + Duration::from_secs(60) - played.now);
                if pooled {
                    let per = 60.0 * proxies as f64;
                    let now: u64 = played.proxies.iter().map(|p| p.peers.counts.sent).sum();
                    sent.push((now - before) as f64 / per);
                    bytes.push((played.bytes - bytes_before) as f64 / per / 1024.0);
                    cpu.push(start.elapsed().as_secs_f64() / per);
                }
                let wasted = played.since(2, turned) as f64;
                if pooled { with.push(wasted) } else { without.push(wasted) }
            }
        }
        let ratio: Vec<f64> = with.iter().zip(&without).map(|(a, b)| a / b).collect();
        let [with, without, ratio, until] = [&with, &without, &ratio, &until].map(|v| bar(v));
        let [sent, bytes, cpu] = [&sent, &bytes, &cpu].map(|v| bar(v).0);
        println!(
            "| {proxies} | {:.0} +- {:.0} | {:.0} +- {:.0} | {:.2} +- {:.2} | {:.1} +- {:.1} | {sent:.0} | {bytes:.1} | {cpu:.4} |",
            with.0, with.1, without.0, without.1, ratio.0, ratio.1, until.0, until.1
        );
    }
    println!(
        "\nAll processes start anew after 2 s in which none ran, 24 requests a second in all: attempts at the bad node in 10 s"
    );
    println!("| proxies | with what was kept | with nothing | of it |");
    println!("| --- | --- | --- | --- |");
    for proxies in [10usize, 24, 100] {
        let of = |keeps| -> Vec<f64> { (0..seeds).map(|seed| wasted(proxies, seed, keeps) as f64).collect() };
        let (with, without) = (of(true), of(false));
        let ratio: Vec<f64> = with.iter().zip(&without).map(|(a, b)| a / b.max(1.0)).collect();
        let [with, without, ratio] = [&with, &without, &ratio].map(|v| bar(v));
        println!(
            "| {proxies} | {:.0} +- {:.0} | {:.0} +- {:.0} | {:.2} +- {:.2} |",
            with.0, with.1, without.0, without.1, ratio.0, ratio.1
        );
    }
}
