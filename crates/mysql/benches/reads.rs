//! The cost of proxying statements, and the gain with a slow replica. Both sides of each ratio are measured in one run, with
//! mock servers and a real client library.
//!
//! 1. Statements per second and their latency, directly to a server and through the proxy, with 1, 16 and 128
//!    connections.
//! 2. Three replicas, one ten times slower: p99 of reads that the clients distribute round robin, and of reads through the
//!    proxy. The limit is a third.
//!
//! READS_MS sets the duration of each part in milliseconds (2000).

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Proxy, SERVER_PASSWORD, connect_client, single_value};
use dewpier_standins::mysql::{MySqlServer, Reply};
use hdrhistogram::Histogram;
use mysql::prelude::Queryable;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const TEXT: &str = "SELECT a FROM t WHERE id = 7";

/// Runs reads without pause by `client_count` clients, each of which uses its connections in turn. Returns the latencies
/// in microseconds.
fn run_load(client_count: usize, connect: impl Fn(usize) -> Vec<mysql::Conn> + Sync) -> Histogram<u64> {
    let duration_ms = std::env::var("READS_MS").ok().and_then(|ms| ms.parse().ok()).unwrap_or(2000);
    let all = Mutex::new(Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("a range"));
    std::thread::scope(|scope| {
        for number in 0..client_count {
            let (all, connect) = (&all, &connect);
            scope.spawn(move || {
                let mut connections = connect(number);
                let mut latencies = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("a range");
                // Warm-up, in which the proxy detects the slow replica.
                let warm_up_end = Instant::now() + Duration::from_millis(duration_ms / 4);
                let end = warm_up_end + Duration::from_millis(duration_ms);
                for turn in number.. {
                    let started = Instant::now();
                    if started >= end {
                        break;
                    }
                    let turn = turn % connections.len();
                    connections[turn].query_drop(TEXT).expect("a read is served");
                    if started >= warm_up_end {
                        latencies.saturating_record(started.elapsed().as_micros() as u64);
                    }
                }
                *all.lock().expect("no client panicked") += latencies;
            });
        }
    });
    all.into_inner().expect("no client panicked")
}

fn print_result(name: &str, connections: usize, latencies: &Histogram<u64>, seconds: f64) {
    let milliseconds_at = |quantile| latencies.value_at_quantile(quantile) as f64 / 1000.0;
    println!(
        "{name:<10} {connections:>4} connections {:>8.0} a second   p50 {:>7.2} ms   p99 {:>7.2} ms",
        latencies.len() as f64 / seconds,
        milliseconds_at(0.5),
        milliseconds_at(0.99)
    );
}

fn main() {
    let seconds =
        std::env::var("READS_MS").ok().and_then(|ms| ms.parse::<f64>().ok()).unwrap_or(2000.0) / 1000.0;
    println!("carrying a read of one row");
    let server = MySqlServer::start(SERVER_PASSWORD, |_| single_value("7"));
    let proxy = Proxy::start(&[&server]);
    for client_count in [1, 16, 128] {
        let direct = run_load(client_count, |_| {
            vec![connect_client(server.address, "dewpier", SERVER_PASSWORD).expect("the login succeeds")]
        });
        let proxied = run_load(client_count, |_| vec![proxy.connect()]);
        print_result("straight", client_count, &direct, seconds);
        print_result("through", client_count, &proxied, seconds);
        let added_us = proxied.value_at_quantile(0.5) as f64 - direct.value_at_quantile(0.5) as f64;
        println!(
            "           {:.2} of straight, {added_us:.0} us more at the median",
            proxied.len() as f64 / direct.len() as f64
        );
    }
    println!("one of three replicas ten times slower (2 and 20 ms), 12 connections");
    let replicas: [MySqlServer; 3] = std::array::from_fn(|i| {
        let service_time = Duration::from_millis(if i == 0 { 20 } else { 2 });
        MySqlServer::start(SERVER_PASSWORD, move |_| {
            Reply::Delayed(service_time, Box::new(single_value("7")))
        })
    });
    let proxy = Proxy::start(&[&replicas[0], &replicas[1], &replicas[2]]);
    let round_robin = run_load(12, |_| {
        replicas
            .iter()
            .map(|r| connect_client(r.address, "dewpier", SERVER_PASSWORD).expect("the login succeeds"))
            .collect()
    });
    let slow_before = replicas[0].statements().len();
    let proxied = run_load(12, |_| vec![proxy.connect()]);
    let slow = replicas[0].statements().len() - slow_before;
    print_result("in turn", 12, &round_robin, seconds);
    print_result("through", 12, &proxied, seconds);
    let ratio = proxied.value_at_quantile(0.99) as f64 / round_robin.value_at_quantile(0.99) as f64;
    println!("p99 through / in turn: {ratio:.3} (limit 0.333); {slow} statements reached the slow one");
}
