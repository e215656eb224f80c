//! The 99th percentile of requests while a list of 10,000 nodes is reloaded each second, against
//! none, in one run: at most 1.5 times. Ten nodes answer; the others are named and drain, so that
//! the list is long and the load is the same.
//!
//! `cargo bench --bench reload`

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
const PART: Duration = Duration::from_secs(5);
const ROUNDS: usize = 3;

fn write(file: &Path, backends: &[Backend], version: usize) {
    let mut text = "id,address,weight,state,comment\n".to_string();
    for i in 0..NODES {
        // Each list differs from the one before in a hundred nodes.
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
    write(&file, &backends, 0);
    let config = "listen = \"127.0.0.1:0\"\n[inventory]\nfile = \"nodes.csv\"\nsettle_ms = 50\n";
    std::fs::write(folder.join("dewpier.toml"), config).expect("a configuration");
    let mut command = Command::new(env!("CARGO_BIN_EXE_dewpier"));
    command.args(["serve", "--config"]).arg(folder.join("dewpier.toml")).stderr(Stdio::piped());
    let mut proxy = command.spawn().expect("the proxy");
    let mut log = BufReader::new(proxy.stderr.take().expect("its log")).lines().map_while(Result::ok);
    let listening = |line: String| line.strip_prefix("dewpier: listening on ").and_then(|a| a.parse().ok());
    let address: SocketAddr = log.find_map(listening).expect("an address");
    let reloads = std::thread::spawn(move || log.filter(|l| l.contains("backends from")).count());

    let get = |_: usize, _: u64| "GET /quotes/7 HTTP/1.1\r\nHost: b\r\nContent-Length: 0\r\n\r\n".to_string();
    let part = |reloading: bool, version: &mut usize| {
        let load = LoadGenerator::start(address, 16, Duration::from_millis(5), Arc::new(get));
        let start = Instant::now();
        while start.elapsed() < PART {
            if reloading {
                *version += 1;
                write(&file, &backends, *version);
            }
            std::thread::sleep(Duration::from_secs(1));
        }
        load.stop()
    };
    let mut version = 0;
    part(false, &mut version); // warm
    let (mut without, mut with) = (Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        without.push(part(false, &mut version));
        with.push(part(true, &mut version));
    }
    let sum = |all: Vec<dewpier_standins::load::ResponseCounts>| {
        let mut sum = dewpier_standins::load::ResponseCounts::default();
        all.into_iter().for_each(|one| sum.add(one));
        sum
    };
    let (mut without, mut with) = (sum(without), sum(with));
    let _ = proxy.kill();
    let _ = proxy.wait();
    let taken = reloads.join().unwrap_or(0);
    let _ = std::fs::remove_dir_all(&folder);
    let ms = |d: Duration| d.as_secs_f64() * 1000.0;
    for (name, tally) in [("no reload", &mut without), ("a reload a second", &mut with)] {
        let unserved = tally.total() - tally.served;
        let (p50, p99, p999) = (tally.quantile(0.5), tally.quantile(0.99), tally.quantile(0.999));
        println!(
            "{name:>18}: {} served, {unserved} not, p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms",
            tally.served,
            ms(p50),
            ms(p99),
            ms(p999)
        );
    }
    let ratio = with.quantile(0.99).as_secs_f64() / without.quantile(0.99).as_secs_f64();
    println!("{taken} lists of {NODES} taken; ratio of p99 {ratio:.2} (limit 1.5)");
}
