//! Measures the 99th percentile of the latency while a list of 10,000 nodes is reloaded each second, compared with no
//! reloads; the limit is a ratio of 1.5. Ten nodes serve; the others are listed as draining, so that the list is long
//! and the load is the same.
//!
//! Run with `cargo bench --bench reload`.

use dewpier_standins::backend::Backend;
use dewpier_standins::load::LoadGenerator;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

const NODES: usize = 10_000;
const SERVING: usize = 10;
/// The duration of each measurement.
const MEASURE_TIME: Duration = Duration::from_secs(5);
const ROUNDS: usize = 3;

/// Replaces the inventory file by a rename.
fn write_inventory(file: &Path, backends: &[Backend], version: usize) {
    let mut text = "id,address,weight,state,comment\n".to_string();
    for i in 0..NODES {
        // The weight of a hundred nodes changes with each list.
        let weight = if i / 100 == version % (NODES / 100) { 2 } else { 1 };
        let (address, state) = match backends.get(i) {
            Some(backend) => (backend.address.to_string(), "serving"),
            None => (format!("127.{}.{}.{}:9", 1 + (i >> 16), i >> 8 & 255, i & 255), "draining"),
        };
        text += &format!("node-{i:05},{address},{weight},{state},v{version}\n");
    }
    let new = file.with_extension("new");
    std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, file)).expect("an inventory");
}

fn main() {
    let backends: Vec<Backend> =
        (0..SERVING).map(|i| Backend::start(&format!("b{i}"), Duration::from_millis(2))).collect();
    let folder = std::env::temp_dir().join(format!("dewpier-reload-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("nodes.csv");
    write_inventory(&file, &backends, 0);
    let config = "listen = \"127.0.0.1:0\"\n[inventory]\nfile = \"nodes.csv\"\nsettle_ms = 50\n";
    std::fs::write(folder.join("dewpier.toml"), config).expect("a configuration");
    let mut command = Command::new(env!("CARGO_BIN_EXE_dewpier"));
    command.args(["serve", "--config"]).arg(folder.join("dewpier.toml")).stderr(Stdio::piped());
    let mut proxy = command.spawn().expect("the proxy");
    let mut log = BufReader::new(proxy.stderr.take().expect("its log")).lines().map_while(Result::ok);
    let parse_address =
        |line: String| line.strip_prefix("dewpier: listening on ").and_then(|a| a.parse().ok());
    let address: SocketAddr = log.find_map(parse_address).expect("an address");
    let reloads = std::thread::spawn(move || log.filter(|l| l.contains("backends from")).count());

    let get = |_: usize, _: u64| "GET /quotes/7 HTTP/1.1\r\nHost: b\r\nContent-Length: 0\r\n\r\n".to_string();
    let measure = |is_reloading: bool, version: &mut usize| {
        let load = LoadGenerator::start(address, 16, Duration::from_millis(5), Arc::new(get));
        let start = Instant::now();
        while start.elapsed() < MEASURE_TIME {
            if is_reloading {
                *version += 1;
                write_inventory(&file, &backends, *version);
            }
            std::thread::sleep(Duration::from_secs(1));
        }
        load.stop()
    };
    let mut version = 0;
    measure(false, &mut version); // warm-up
    let (mut without_reloads, mut with_reloads) = (Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        without_reloads.push(measure(false, &mut version));
        with_reloads.push(measure(true, &mut version));
    }
    let sum = |all: Vec<dewpier_standins::load::ResponseCounts>| {
        let mut sum = dewpier_standins::load::ResponseCounts::default();
        all.into_iter().for_each(|one| sum.add(one));
        sum
    };
    let (mut without_reloads, mut with_reloads) = (sum(without_reloads), sum(with_reloads));
    let _ = proxy.kill();
    let _ = proxy.wait();
    let list_count = reloads.join().unwrap_or(0);
    let _ = std::fs::remove_dir_all(&folder);
    let ms = |d: Duration| d.as_secs_f64() * 1000.0;
    for (name, counts) in [("no reload", &mut without_reloads), ("reload per second", &mut with_reloads)] {
        let unserved = counts.total() - counts.served;
        let (p50, p99, p999) = (counts.quantile(0.5), counts.quantile(0.99), counts.quantile(0.999));
        println!(
            "{name:>18}: {} served, {unserved} not served, p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms",
            counts.served,
            ms(p50),
            ms(p99),
            ms(p999)
        );
    }
    let ratio = with_reloads.quantile(0.99).as_secs_f64() / without_reloads.quantile(0.99).as_secs_f64();
    println!("{list_count} lists of {NODES} nodes applied; ratio of p99 {ratio:.2} (limit 1.5)");
}
