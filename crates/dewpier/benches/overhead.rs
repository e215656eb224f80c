//! Measures the overhead of dewpier: throughput and latency of closed loops of GET requests through the proxy, compared
//! with direct connections to the same mock backends. Clients, proxy and backends each run on their own core, if there
//! are enough. `dewpier serve` and `dewpier forwarder` are compared with a process that only copies bytes. The planner
//! shares the backends' core, as it is nearly idle. Prints the ratios of one run. The benchmark has no limits.
//!
//! `cargo bench --bench overhead` runs 1, 16, 64 and 200 connections for three seconds on each path.

#[path = "common/parts.rs"]
mod parts;

use dewpier_standins::backend::Backend;
use dewpier_standins::load::LoadGenerator;
use parts::{ChildProcess, cpu_seconds, pinned_command, start_program};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

const CONNECTIONS: [usize; 4] = [1, 16, 64, 200];
const BACKENDS: usize = 3;
/// The duration of each measurement.
const RUN_TIME: Duration = Duration::from_secs(3);

/// A command that runs this benchmark with arguments.
fn own_command(core: usize, args: &[String]) -> Command {
    let path = std::env::current_exe().expect("the path of this benchmark");
    pinned_command(core, &path.display().to_string(), args)
}

fn first_line(reader: impl Read) -> String {
    let mut line = String::new();
    BufReader::new(reader).read_line(&mut line).expect("a line");
    line.trim().to_string()
}

/// The process of the mock backends: prints their addresses and runs until its input ends.
fn run_backends() {
    let all: Vec<Backend> = (0..BACKENDS).map(|i| Backend::start(&format!("b{i}"), Duration::ZERO)).collect();
    println!("{}", all.iter().map(|b| b.address.to_string()).collect::<Vec<_>>().join(" "));
    let _ = std::io::stdin().read(&mut [0]);
}

/// The process of the clients: prints the requests per second, latency quantiles in microseconds, and the number of
/// requests that were not served.
fn run_load(addresses: &str, connections: usize, duration: Duration) {
    let get = |_: usize, _: u64| "GET /quotes/7 HTTP/1.1\r\nHost: b\r\nContent-Length: 0\r\n\r\n".to_string();
    let addresses: Vec<SocketAddr> = addresses.split(',').filter_map(|a| a.parse().ok()).collect();
    let start_load = |i: usize, address: &SocketAddr| {
        let client_count = connections / addresses.len() + usize::from(i < connections % addresses.len());
        LoadGenerator::start(*address, client_count, Duration::ZERO, Arc::new(get))
    };
    let loads: Vec<LoadGenerator> = addresses.iter().enumerate().map(|(i, a)| start_load(i, a)).collect();
    std::thread::sleep(duration);
    let mut counts = dewpier_standins::load::ResponseCounts::default();
    loads.into_iter().for_each(|load| counts.add(load.stop()));
    let rate = counts.served as f64 / duration.as_secs_f64();
    let micros: Vec<String> =
        [0.5, 0.99, 0.999, 1.0].map(|fraction| counts.quantile(fraction).as_micros().to_string()).to_vec();
    println!("{rate:.0} {} {}", micros.join(" "), counts.rejected + counts.failed + counts.unanswered);
}

/// Runs the clients in a process and returns the numbers that it prints.
fn measure(core: usize, addresses: &str, connections: usize) -> Vec<f64> {
    let args = ["load", addresses, &connections.to_string()].map(String::from);
    let output = own_command(core, &args).output().expect("the load runs");
    let text = String::from_utf8_lossy(&output.stdout).to_string();
    text.split_whitespace().filter_map(|n| n.parse().ok()).collect()
}

/// The process that only copies bytes, with each connection to the next backend: prints its address and runs until it is
/// killed.
fn run_copy(addresses: &str) {
    let backends: Vec<SocketAddr> = addresses.split(',').filter_map(|a| a.parse().ok()).collect();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async move {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        println!("{}", listener.local_addr().expect("an address"));
        for number in 0.. {
            let Ok((mut client, _)) = listener.accept().await else { return };
            let backend = backends[number % backends.len()];
            tokio::spawn(async move {
                let Ok(mut backend) = tokio::net::TcpStream::connect(backend).await else { return };
                if client.set_nodelay(true).and(backend.set_nodelay(true)).is_ok() {
                    let _ = tokio::io::copy_bidirectional(&mut client, &mut backend).await;
                }
            });
        }
    });
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).filter(|a| a != "--bench").collect();
    match args.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["backends"] => return run_backends(),
        ["copy", addresses] => return run_copy(addresses),
        ["load", addresses, connections] => {
            return run_load(addresses, connections.parse().expect("a number"), RUN_TIME);
        }
        _ => {}
    }
    let mut command = own_command(1, &["backends".to_string()]);
    let mut backends =
        ChildProcess(command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().expect("backends"));
    let addresses = first_line(backends.0.stdout.take().expect("its output"));
    let folder = std::env::temp_dir().join(format!("dewpier-overhead-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let rows: String = addresses.split(' ').map(|a| format!("{a}\n")).collect();
    std::fs::write(folder.join("nodes.csv"), format!("address\n{rows}")).expect("an inventory");
    let class = "[[class]]\nname = \"get\"\neffect = \"safe\"\naim_ms = 20000\ndeadline_ms = 20000\n\
                 late_worth = 0.0\nmatch = [{}]\n";
    let inventory = "[inventory]\nfile = \"nodes.csv\"\n";
    let listen = "listen = \"127.0.0.1:0\"\n";
    let (serve, serve_address, _) =
        start_program(2, "serve", &folder, &format!("{listen}{inventory}{class}"));
    let text = format!("{listen}plaintext = true\n{inventory}");
    let (planner, planner_address, _) = start_program(1, "planner", &folder, &text);
    let planners =
        format!("[planners]\nname = \"f\"\naddresses = [\"{planner_address}\"]\nplaintext = true\n");
    let (forwarder, forwarder_address, _) =
        start_program(2, "forwarder", &folder, &format!("{listen}{planners}{inventory}{class}"));
    let addresses = addresses.replace(' ', ",");
    let mut command = own_command(2, &["copy".to_string(), addresses.clone()]);
    let mut copy = ChildProcess(command.stdout(Stdio::piped()).spawn().expect("a copy"));
    let copy_address = first_line(copy.0.stdout.take().expect("its output"));
    println!("connections       path    requests/s   p50 us   p99 us p99.9 us   max us   unserved");
    for connections in CONNECTIONS {
        let direct = measure(3, &addresses, connections);
        let paths = [
            ("copy", &copy, &copy_address),
            ("serve", &serve, &serve_address),
            ("forwarder", &forwarder, &forwarder_address),
        ];
        let mut rows = vec![("direct", direct, [0.0; 2])];
        for (name, process, address) in paths {
            let before = cpu_seconds(process.0.id());
            let row = measure(3, address, connections);
            let after = cpu_seconds(process.0.id());
            rows.push((name, row, [0, 1].map(|i| after[i] - before[i])));
        }
        for (name, row, _) in &rows {
            print!("{connections:>11} {name:>10}  ");
            row.iter().for_each(|n| print!(" {n:>8.0}"));
            println!();
        }
        let [direct_row, rest @ ..] = &rows[..] else { continue };
        let copy_row = &rows[1].1;
        for (name, row, cpu) in rest {
            let ([a, b, ..], [c, d, ..], [e, f, ..]) = (&direct_row.1[..], &row[..], &copy_row[..]) else {
                continue;
            };
            let micros = |i: usize| 1e6 * cpu[i] / (c * RUN_TIME.as_secs_f64());
            println!(
                "{connections:>11} {name:>10}   ratio to direct: throughput {:.3}, p50 {:.1}; to copy: {:.3}, {:.1}; CPU \
                 per request: {:.0} us user, {:.0} us system",
                c / a,
                d / b,
                c / e,
                d / f,
                micros(0),
                micros(1)
            );
        }
    }
    drop((copy, serve, forwarder, planner, backends));
    let _ = std::fs::remove_dir_all(&folder);
}
