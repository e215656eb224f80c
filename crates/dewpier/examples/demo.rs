//! Starts mock backends and a proxy with an inventory file, and sends mixed traffic through the proxy while backends are
//! drained, removed, killed and restarted. Prints how many requests were served, rejected and failed. Exits with status 1
//! if a request got no answer, an order ran more than once, or a drained backend got a request after the grace period.

use dewpier::{config::Config, run};
use dewpier_standins::backend::Backend;
use dewpier_standins::load::{LoadGenerator, ResponseCounts};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, oneshot};

/// The duration of each step.
const STEP: Duration = Duration::from_millis(2500);
/// How long after a drain is accepted requests may still be sent to the backend.
const GRACE: Duration = Duration::from_millis(500);

const CONFIG: &str = r#"
listen = "127.0.0.1:0"
[inventory]
file = "nodes.csv"
settle_ms = 100
[backends]
cold_ms = 2000
[[class]]
name = "place-order"
effect = "unsafe"
worth = 24.0
match = [{ methods = ["POST"], path = "/orders" }]
[[class]]
name = "quote"
effect = "safe"
worth = 8.0
match = [{ methods = ["GET"], path = "/quotes" }]
"#;

/// Replaces the inventory file by a rename.
fn write_inventory(file: &Path, backends: &[Backend], state: impl Fn(usize) -> Option<&'static str>) {
    let mut text = "id,address,zone,cell,weight,state,comment\n".to_string();
    for (i, backend) in backends.iter().enumerate() {
        if let Some(state) = state(i) {
            text += &format!("pricing-{i:02},{},alm-dc1,1,1,{state},\"түйін {i}\"\n", backend.address);
        }
    }
    let new = file.with_extension("new");
    let result = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, file));
    if let Err(error) = result {
        eprintln!("cannot write {}: {error}", file.display());
    }
}

fn print_counts(name: &str, counts: &mut ResponseCounts) {
    let (p50, p99) = (counts.quantile(0.5), counts.quantile(0.99));
    println!(
        "{name:<12} {:>7} served, {} rejected, {} failed, {} without an answer; p50 {:.1} ms, p99 {:.1} ms",
        counts.served,
        counts.rejected,
        counts.failed,
        counts.unanswered,
        p50.as_secs_f64() * 1000.0,
        p99.as_secs_f64() * 1000.0
    );
}

fn main() -> ExitCode {
    let folder = std::env::temp_dir().join(format!("dewpier-demo-{}", std::process::id()));
    let file = folder.join("nodes.csv");
    if let Err(error) = std::fs::create_dir_all(&folder) {
        eprintln!("cannot create {}: {error}", folder.display());
        return ExitCode::FAILURE;
    }
    let backends: Vec<Backend> =
        (0..5).map(|i| Backend::start(&format!("pricing-{i:02}"), Duration::from_millis(2))).collect();
    write_inventory(&file, &backends, |_| Some("serving"));
    let code = run_demo(&folder, &file, &backends);
    let _ = std::fs::remove_dir_all(&folder);
    code
}

fn run_demo(folder: &Path, file: &Path, backends: &[Backend]) -> ExitCode {
    let config = match Config::parse(CONFIG, &folder.join("dewpier.toml")) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let (address_sender, address) = channel::<SocketAddr>();
    let (stop, stopped) = oneshot::channel::<()>();
    let proxy = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let reload = Notify::new();
        let on_ready = move |address| {
            let _ = address_sender.send(address);
        };
        let stop = async move { drop(stopped.await) };
        tokio::task::LocalSet::new().block_on(&runtime, run::run(config, on_ready, &reload, stop))
    });
    let Ok(address) = address.recv() else {
        eprintln!("the proxy did not start: {:?}", proxy.join().map(|ran| ran.err()));
        return ExitCode::FAILURE;
    };
    println!("proxy on {address} with five backends in {}", file.display());

    let quote =
        |_: usize, _: u64| "GET /quotes/7 HTTP/1.1\r\nHost: shop\r\nContent-Length: 0\r\n\r\n".to_string();
    let order = |client: usize, n: u64| {
        format!(
            "POST /orders HTTP/1.1\r\nHost: shop\r\nX-Order: {client}-{n}\r\nContent-Length: 4\r\n\r\nfour"
        )
    };
    let quotes = LoadGenerator::start(address, 8, Duration::from_millis(5), Arc::new(quote));
    let orders = LoadGenerator::start(address, 4, Duration::from_millis(10), Arc::new(order));
    // When each list was written; the proxy accepts it after the settling time.
    let drains: Mutex<Vec<(usize, Instant)>> = Mutex::default();
    let run_step = |text: &str, action: &dyn Fn()| {
        println!("- {text}");
        action();
        std::thread::sleep(STEP);
    };
    run_step("all five serve", &|| {});
    run_step("pricing-00 drains in the inventory file", &|| {
        write_inventory(file, backends, |i| Some(if i == 0 { "draining" } else { "serving" }));
        drains.lock().iter_mut().for_each(|d| d.push((0, Instant::now())));
    });
    run_step("pricing-01 is removed from the file", &|| {
        write_inventory(file, backends, |i| {
            ["draining", "", "serving", "serving", "serving"].get(i).copied().filter(|s| !s.is_empty())
        });
        drains.lock().iter_mut().for_each(|d| d.push((1, Instant::now())));
    });
    let (late, settling_time) = (Mutex::new(0), Duration::from_millis(1000));
    let count_late = || {
        for (node, written) in drains.lock().iter().flat_map(|d| d.iter()) {
            let is_late = |at: Instant| at > *written + settling_time + GRACE;
            let found = backends[*node].arrivals().iter().filter(|a| is_late(a.received_at)).count();
            late.lock().iter_mut().for_each(|l| **l += found);
        }
    };
    count_late();
    run_step("both return as cold backends, and pricing-02 is killed", &|| {
        write_inventory(file, backends, |_| Some("serving"));
        backends[2].kill();
    });
    run_step("pricing-02 restarts", &|| backends[2].restart());
    run_step("the file is truncated: it is rejected, and the last list stays in use", &|| {
        let text = std::fs::read_to_string(file).unwrap_or_default();
        let _ = std::fs::write(file, &text[..text.len() * 2 / 3]);
    });

    let (mut quotes, mut orders) = (quotes.stop(), orders.stop());
    let _ = stop.send(());
    let has_stopped = proxy.join().is_ok_and(|ran| ran.is_ok());
    let mut runs: HashMap<String, usize> = HashMap::new();
    for order in backends.iter().flat_map(|b| b.arrivals()).filter_map(|a| a.order_id) {
        *runs.entry(order).or_default() += 1;
    }
    let duplicates = runs.values().filter(|n| **n > 1).count();
    let late = late.into_inner().unwrap_or_default();
    print_counts("quotes", &mut quotes);
    print_counts("orders", &mut orders);
    println!(
        "orders that ran more than once: {duplicates}; requests to a drained backend after the grace period: {late}"
    );
    match has_stopped
        && quotes.unanswered + orders.unanswered == 0
        && duplicates == 0
        && late == 0
        && quotes.served > 0
    {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
