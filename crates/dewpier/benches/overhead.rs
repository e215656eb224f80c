//! What dewpier costs: throughput and latency through it against straight to the same stand-in
//! backends, closed loops of GETs, each of the three (clients, proxy, backends) on a core of its
//! own where there are as many. Beside `dewpier serve` a bare copy of bytes between a client and a
//! backend, as thin as a byte path can be, and `dewpier forwarder` with a planner beside it (on the
//! backends' core, as it has next to nothing to do). Prints ratios of one run; never a verdict.
//!
//! `cargo bench --bench overhead` plays 1, 16, 64 and 200 connections, three seconds each way.

#[path = "common/parts.rs"]
mod parts;

use dewpier_standins::backend::Backend;
use dewpier_standins::load::LoadGenerator;
use parts::{Part, pinned, program, used};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

const CONNECTIONS: [usize; 4] = [1, 16, 64, 200];
const BACKENDS: usize = 3;
const PLAYED: Duration = Duration::from_secs(3);

fn ourselves(core: usize, args: &[String]) -> Command {
    let path = std::env::current_exe().expect("a path of our own");
    pinned(core, &path.display().to_string(), args)
}

fn first_line(reader: impl Read) -> String {
    let mut line = String::new();
    BufReader::new(reader).read_line(&mut line).expect("a line");
    line.trim().to_string()
}

/// The part that stands in for backends: tells its addresses and stays.
fn backends() {
    let all: Vec<Backend> = (0..BACKENDS).map(|i| Backend::start(&format!("b{i}"), Duration::ZERO)).collect();
    println!("{}", all.iter().map(|b| b.address.to_string()).collect::<Vec<_>>().join(" "));
    let _ = std::io::stdin().read(&mut [0]);
}

/// The part that asks: tells requests a second, and microseconds at quantiles.
fn load(addresses: &str, connections: usize, played: Duration) {
    let get = |_: usize, _: u64| "GET /quotes/7 HTTP/1.1\r\nHost: b\r\nContent-Length: 0\r\n\r\n".to_string();
    let addresses: Vec<SocketAddr> = addresses.split(',').filter_map(|a| a.parse().ok()).collect();
    let each = |i: usize, address: &SocketAddr| {
        let some = connections / addresses.len() + usize::from(i < connections % addresses.len());
        LoadGenerator::start(*address, some, Duration::ZERO, Arc::new(get))
    };
    let loads: Vec<LoadGenerator> = addresses.iter().enumerate().map(|(i, a)| each(i, a)).collect();
    std::thread::sleep(played);
    let mut tally = dewpier_standins::load::ResponseCounts::default();
    loads.into_iter().for_each(|load| tally.add(load.stop()));
    let rate = tally.served as f64 / played.as_secs_f64();
    let micros: Vec<String> =
        [0.5, 0.99, 0.999, 1.0].map(|part| tally.quantile(part).as_micros().to_string()).to_vec();
    println!("{rate:.0} {} {}", micros.join(" "), tally.rejected + tally.failed + tally.unanswered);
}

fn ask(core: usize, addresses: &str, connections: usize) -> Vec<f64> {
    let args = ["load", addresses, &connections.to_string()].map(String::from);
    let output = ourselves(core, &args).output().expect("the load runs");
    let text = String::from_utf8_lossy(&output.stdout).to_string();
    text.split_whitespace().filter_map(|n| n.parse().ok()).collect()
}

/// The part that only copies bytes, each connection to the next backend in turn: tells its address and
/// stays.
fn copy(addresses: &str) {
    let to: Vec<SocketAddr> = addresses.split(',').filter_map(|a| a.parse().ok()).collect();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async move {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        println!("{}", listener.local_addr().expect("an address"));
        for number in 0.. {
            let Ok((mut client, _)) = listener.accept().await else { return };
            let backend = to[number % to.len()];
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
        ["backends"] => return backends(),
        ["copy", addresses] => return copy(addresses),
        ["load", addresses, connections] => {
            return load(addresses, connections.parse().expect("a number"), PLAYED);
        }
        _ => {}
    }
    let mut command = ourselves(1, &["backends".to_string()]);
    let mut standins = Part(command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().expect("backends"));
    let addresses = first_line(standins.0.stdout.take().expect("its output"));
    let folder = std::env::temp_dir().join(format!("dewpier-overhead-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let rows: String = addresses.split(' ').map(|a| format!("{a}\n")).collect();
    std::fs::write(folder.join("nodes.csv"), format!("address\n{rows}")).expect("an inventory");
    let class = "[[class]]\nname = \"get\"\neffect = \"safe\"\naim_ms = 20000\ndeadline_ms = 20000\n\
                 late_worth = 0.0\nmatch = [{}]\n";
    let inventory = "[inventory]\nfile = \"nodes.csv\"\n";
    let listen = "listen = \"127.0.0.1:0\"\n";
    let (served, serve, _) = program(2, "serve", &folder, &format!("{listen}{inventory}{class}"));
    let text = format!("{listen}plaintext = true\n{inventory}");
    let (planner, planned, _) = program(1, "planner", &folder, &text);
    let planners = format!("[planners]\nname = \"f\"\naddresses = [\"{planned}\"]\nplaintext = true\n");
    let (forwarder, forward, _) =
        program(2, "forwarder", &folder, &format!("{listen}{planners}{inventory}{class}"));
    let addresses = addresses.replace(' ', ",");
    let mut command = ourselves(2, &["copy".to_string(), addresses.clone()]);
    let mut copied = Part(command.stdout(Stdio::piped()).spawn().expect("a copy"));
    let copy = first_line(copied.0.stdout.take().expect("its output"));
    println!("connections        way    requests/s   p50 us   p99 us p99.9 us   max us   unserved");
    for connections in CONNECTIONS {
        let straight = ask(3, &addresses, connections);
        let ways =
            [("copy", &copied, &copy), ("serve", &served, &serve), ("forwarder", &forwarder, &forward)];
        let mut rows = vec![("straight", straight, [0.0; 2])];
        for (name, part, address) in ways {
            let before = used(part.0.id());
            let row = ask(3, address, connections);
            let after = used(part.0.id());
            rows.push((name, row, [0, 1].map(|i| after[i] - before[i])));
        }
        for (name, row, _) in &rows {
            print!("{connections:>11} {name:>10}  ");
            row.iter().for_each(|n| print!(" {n:>8.0}"));
            println!();
        }
        let [first, rest @ ..] = &rows[..] else { continue };
        let bare = &rows[1].1;
        for (name, row, used) in rest {
            let ([a, b, ..], [c, d, ..], [e, f, ..]) = (&first.1[..], &row[..], &bare[..]) else { continue };
            let micros = |i: usize| 1e6 * used[i] / (c * PLAYED.as_secs_f64());
            println!(
                "{connections:>11} {name:>10}   of straight: throughput {:.3}, p50 {:.1}; of the copy: {:.3}, {:.1}; its \
                 core, a request: {:.0} us of its own, {:.0} us of the system's",
                c / a,
                d / b,
                c / e,
                d / f,
                micros(0),
                micros(1)
            );
        }
    }
    drop((copied, served, forwarder, planner, standins));
    let _ = std::fs::remove_dir_all(&folder);
}
