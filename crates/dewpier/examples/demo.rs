//! Starts stand-in backends and a proxy on an inventory file, sends mixed traffic through it, and
//! meanwhile drains, drops, kills and brings back backends, by editing that file and by force.
//! Prints what was served, refused and failed. Ends by itself, with status 1 if a request was left
//! without an answer, an order ran twice, or a drained backend got something new after the grace.

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

/// How long each of the steps lasts.
const STEP: Duration = Duration::from_millis(2500);
/// Nothing new to a backend this long after the list without it was accepted.
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

/// Writes the inventory anew, as a careful tool does: by rename.
fn write(file: &Path, backends: &[Backend], state: impl Fn(usize) -> Option<&'static str>) {
    let mut text = "id,address,zone,cell,weight,state,comment\n".to_string();
    for (i, backend) in backends.iter().enumerate() {
        if let Some(state) = state(i) {
            text += &format!("pricing-{i:02},{},alm-dc1,1,1,{state},\"түйін {i}\"\n", backend.address);
        }
    }
    let new = file.with_extension("new");
    let written = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, file));
    if let Err(error) = written {
        eprintln!("cannot write {}: {error}", file.display());
    }
}

fn report(name: &str, tally: &mut ResponseCounts) {
    let (p50, p99) = (tally.quantile(0.5), tally.quantile(0.99));
    println!(
        "{name:<12} {:>7} served, {} refused, {} failed, {} without an answer; p50 {:.1} ms, p99 {:.1} ms",
        tally.served,
        tally.rejected,
        tally.failed,
        tally.unanswered,
        p50.as_secs_f64() * 1000.0,
        p99.as_secs_f64() * 1000.0
    );
}

fn main() -> ExitCode {
    let folder = std::env::temp_dir().join(format!("dewpier-demo-{}", std::process::id()));
    let file = folder.join("nodes.csv");
    if let Err(error) = std::fs::create_dir_all(&folder) {
        eprintln!("cannot make {}: {error}", folder.display());
        return ExitCode::FAILURE;
    }
    let backends: Vec<Backend> =
        (0..5).map(|i| Backend::start(&format!("pricing-{i:02}"), Duration::from_millis(2))).collect();
    write(&file, &backends, |_| Some("serving"));
    let code = play(&folder, &file, &backends);
    let _ = std::fs::remove_dir_all(&folder);
    code
}

fn play(folder: &Path, file: &Path, backends: &[Backend]) -> ExitCode {
    let config = match Config::parse(CONFIG, &folder.join("dewpier.toml")) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let (ready, address) = channel::<SocketAddr>();
    let (stop, stopped) = oneshot::channel::<()>();
    let proxy = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let reload = Notify::new();
        let told = move |address| {
            let _ = ready.send(address);
        };
        let stop = async move { drop(stopped.await) };
        tokio::task::LocalSet::new().block_on(&runtime, run::run(config, told, &reload, stop))
    });
    let Ok(address) = address.recv() else {
        eprintln!("the proxy did not start: {:?}", proxy.join().map(|ran| ran.err()));
        return ExitCode::FAILURE;
    };
    println!("proxy on {address}, five backends in {}", file.display());

    let quote =
        |_: usize, _: u64| "GET /quotes/7 HTTP/1.1\r\nHost: shop\r\nContent-Length: 0\r\n\r\n".to_string();
    let order = |client: usize, n: u64| {
        format!(
            "POST /orders HTTP/1.1\r\nHost: shop\r\nX-Order: {client}-{n}\r\nContent-Length: 4\r\n\r\nfour"
        )
    };
    let quotes = LoadGenerator::start(address, 8, Duration::from_millis(5), Arc::new(quote));
    let orders = LoadGenerator::start(address, 4, Duration::from_millis(10), Arc::new(order));
    // When each list was written: the proxy accepts it once it has settled, so not before.
    let drains: Mutex<Vec<(usize, Instant)>> = Mutex::default();
    let step = |text: &str, act: &dyn Fn()| {
        println!("- {text}");
        act();
        std::thread::sleep(STEP);
    };
    step("all five serve", &|| {});
    step("pricing-00 drains, by the file", &|| {
        write(file, backends, |i| Some(if i == 0 { "draining" } else { "serving" }));
        drains.lock().iter_mut().for_each(|d| d.push((0, Instant::now())));
    });
    step("pricing-01 leaves the file too", &|| {
        write(file, backends, |i| {
            ["draining", "", "serving", "serving", "serving"].get(i).copied().filter(|s| !s.is_empty())
        });
        drains.lock().iter_mut().for_each(|d| d.push((1, Instant::now())));
    });
    let (late, settled) = (Mutex::new(0), Duration::from_millis(1000));
    let count_late = || {
        for (node, written) in drains.lock().iter().flat_map(|d| d.iter()) {
            let after = |at: Instant| at > *written + settled + GRACE;
            let found = backends[*node].arrivals().iter().filter(|a| after(a.received_at)).count();
            late.lock().iter_mut().for_each(|l| **l += found);
        }
    };
    count_late();
    step("both are back, cold, and pricing-02 is killed", &|| {
        write(file, backends, |_| Some("serving"));
        backends[2].kill();
    });
    step("pricing-02 is back", &|| backends[2].restart());
    step("the file is cut off in the middle of a write: it is refused, the last list serves on", &|| {
        let text = std::fs::read_to_string(file).unwrap_or_default();
        let _ = std::fs::write(file, &text[..text.len() * 2 / 3]);
    });

    let (mut quotes, mut orders) = (quotes.stop(), orders.stop());
    let _ = stop.send(());
    let ended = proxy.join().is_ok_and(|ran| ran.is_ok());
    let mut runs: HashMap<String, usize> = HashMap::new();
    for order in backends.iter().flat_map(|b| b.arrivals()).filter_map(|a| a.order_id) {
        *runs.entry(order).or_default() += 1;
    }
    let twice = runs.values().filter(|n| **n > 1).count();
    let late = late.into_inner().unwrap_or_default();
    report("quotes", &mut quotes);
    report("orders", &mut orders);
    println!("orders that ran twice: {twice}; sends to a drained backend after the grace: {late}");
    match ended && quotes.unanswered + orders.unanswered == 0 && twice == 0 && late == 0 && quotes.served > 0
    {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
