//! What carrying statements costs, and what it saves. Both sides of each ratio are played in one run, on stand-in
//! servers, by the clients of a real library.
//!
//! 1. Statements a second and their time, straight to a server and through the proxy, at 1, 16 and 128 connections.
//! 2. The slow replica: three replicas, one ten times slower; p99 of reads dealt out in turn by the clients
//!    themselves, and through the proxy. The limit is a third.
//!
//! READS_MS sets how long each part is played, in milliseconds (2000).

#[path = "../tests/common/mod.rs"]
mod common;

use common::{OWN, Proxy, client, one};
use dewpier_standins::mysql::{MySqlServer, Reply};
use hdrhistogram::Histogram;
use mysql::prelude::Queryable;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const TEXT: &str = "SELECT a FROM t WHERE id = 7";

/// Reads without pause, by so many clients; each goes through these connections in turn.
fn load(clients: usize, open: impl Fn(usize) -> Vec<mysql::Conn> + Sync) -> Histogram<u64> {
    let span = std::env::var("READS_MS").ok().and_then(|ms| ms.parse().ok()).unwrap_or(2000);
    let all = Mutex::new(Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("a range"));
    std::thread::scope(|scope| {
        for number in 0..clients {
            let (all, open) = (&all, &open);
            scope.spawn(move || {
                let mut connections = open(number);
                let mut took = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("a range");
                // The first ones find out who is slow.
                let warm = Instant::now() + Duration::from_millis(span / 4);
                let end = warm + Duration::from_millis(span);
                for turn in number.. {
                    let begun = Instant::now();
                    if begun >= end {
                        break;
                    }
                    let turn = turn % connections.len();
                    connections[turn].query_drop(TEXT).expect("a read is served");
                    if begun >= warm {
                        took.saturating_record(begun.elapsed().as_micros() as u64);
                    }
                }
                *all.lock().expect("no client panicked") += took;
            });
        }
    });
    all.into_inner().expect("no client panicked")
}

fn shown(name: &str, clients: usize, took: &Histogram<u64>, span: f64) {
    let at = |part| took.value_at_quantile(part) as f64 / 1000.0;
    println!(
        "{name:<10} {clients:>4} connections {:>8.0} a second   p50 {:>7.2} ms   p99 {:>7.2} ms",
        took.len() as f64 / span,
        at(0.5),
        at(0.99)
    );
}

fn main() {
    let span =
        std::env::var("READS_MS").ok().and_then(|ms| ms.parse::<f64>().ok()).unwrap_or(2000.0) / 1000.0;
    println!("carrying a read of one row");
    let server = MySqlServer::start(OWN, |_| one("7"));
    let proxy = Proxy::before(&[&server]);
    for clients in [1, 16, 128] {
        let straight = load(clients, |_| vec![client(server.address, "dewpier", OWN).expect("it is let in")]);
        let through = load(clients, |_| vec![proxy.client()]);
        shown("straight", clients, &straight, span);
        shown("through", clients, &through, span);
        let added = through.value_at_quantile(0.5) as f64 - straight.value_at_quantile(0.5) as f64;
        println!(
            "           {:.2} of straight, {added:.0} us more at the median",
            through.len() as f64 / straight.len() as f64
        );
    }
    println!("one of three replicas ten times slower (2 and 20 ms), 12 connections");
    let replicas: [MySqlServer; 3] = std::array::from_fn(|i| {
        let work = Duration::from_millis(if i == 0 { 20 } else { 2 });
        MySqlServer::start(OWN, move |_| Reply::Delayed(work, Box::new(one("7"))))
    });
    let proxy = Proxy::before(&[&replicas[0], &replicas[1], &replicas[2]]);
    let turns = load(12, |_| {
        replicas.iter().map(|r| client(r.address, "dewpier", OWN).expect("it is let in")).collect()
    });
    let before = replicas[0].statements().len();
    let through = load(12, |_| vec![proxy.client()]);
    let slow = replicas[0].statements().len() - before;
    shown("in turn", 12, &turns, span);
    shown("through", 12, &through, span);
    let ratio = through.value_at_quantile(0.99) as f64 / turns.value_at_quantile(0.99) as f64;
    println!("p99 through / in turn: {ratio:.3} (limit 0.333); {slow} statements reached the slow one");
}
