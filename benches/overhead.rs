//! What dewpier costs: throughput and latency through it against straight to the same stand-in
//! backends, closed loops of GETs, each of the three (clients, proxy, backends) on a core of its
//! own where there are as many. Prints ratios of one run; never a verdict.
//!
//! `cargo bench --bench overhead` plays 1, 16, 64 and 200 connections, three seconds each.

use dewpier_standins::backend::Backend;
use dewpier_standins::load::Load;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

const CONNECTIONS: [usize; 4] = [1, 16, 64, 200];
const BACKENDS: usize = 3;
const PLAYED: Duration = Duration::from_secs(3);

/// A process of this run, on that core; ended when it is dropped.
struct Part(Child);

impl Drop for Part {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A command on a core of its own, where the system lets us say so.
fn pinned(core: usize, program: &str, args: &[String]) -> Command {
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
    let can =
        Command::new("taskset").arg("--version").stdout(Stdio::null()).status().is_ok_and(|s| s.success());
    let mut command = match can && cores > core {
        true => {
            let mut command = Command::new("taskset");
            command.args(["-c", &core.to_string(), program]);
            command
        }
        false => Command::new(program),
    };
    command.args(args);
    command
}

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
        Load::start(*address, some, Duration::ZERO, Arc::new(get))
    };
    let loads: Vec<Load> = addresses.iter().enumerate().map(|(i, a)| each(i, a)).collect();
    std::thread::sleep(played);
    let mut tally = dewpier_standins::load::Tally::default();
    loads.into_iter().for_each(|load| tally.add(load.stop()));
    let rate = tally.served as f64 / played.as_secs_f64();
    let micros: Vec<String> =
        [0.5, 0.99, 0.999, 1.0].map(|part| tally.quantile(part).as_micros().to_string()).to_vec();
    println!("{rate:.0} {} {}", micros.join(" "), tally.refused + tally.failed + tally.lost);
}

fn ask(core: usize, addresses: &str, connections: usize) -> Vec<f64> {
    let args = ["load", addresses, &connections.to_string()].map(String::from);
    let output = ourselves(core, &args).output().expect("the load runs");
    let text = String::from_utf8_lossy(&output.stdout).to_string();
    text.split_whitespace().filter_map(|n| n.parse().ok()).collect()
}

/// What a process has used of its core so far, in its own code and in the system's, in seconds
/// (proc(5): the 14th and 15th field, in hundredths).
fn used(process: u32) -> [f64; 2] {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let field = |n: usize| after_name.split_whitespace().nth(n).and_then(|f| f.parse::<f64>().ok());
    [11, 12].map(|n| field(n).unwrap_or(0.0) / 100.0)
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).filter(|a| a != "--bench").collect();
    match args.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["backends"] => return backends(),
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
    let config = "listen = \"127.0.0.1:0\"\n[inventory]\nfile = \"nodes.csv\"\n[[class]]\nname = \"get\"\n\
                  effect = \"safe\"\naim_ms = 20000\ndeadline_ms = 20000\nlate_worth = 0.0\n";
    let config = format!("{config}match = [{{}}]\n");
    std::fs::write(folder.join("dewpier.toml"), config).expect("a configuration");
    let path = folder.join("dewpier.toml").display().to_string();
    let mut command = pinned(2, env!("CARGO_BIN_EXE_dewpier"), &["serve".into(), "--config".into(), path]);
    let mut proxy = Part(command.stderr(Stdio::piped()).spawn().expect("the proxy"));
    let log = BufReader::new(proxy.0.stderr.take().expect("its log"));
    let listening = |line: String| line.strip_prefix("dewpier: listening on ").map(String::from);
    let through = log.lines().map_while(Result::ok).find_map(listening).expect("an address");
    println!("connections        way    requests/s   p50 us   p99 us p99.9 us   max us   unserved");
    for connections in CONNECTIONS {
        let straight = ask(3, &addresses.replace(' ', ","), connections);
        let before = used(proxy.0.id());
        let through = ask(3, &through, connections);
        let after = used(proxy.0.id());
        for (name, row) in [("straight", &straight), ("through", &through)] {
            print!("{connections:>11} {name:>10}  ");
            row.iter().for_each(|n| print!(" {n:>8.0}"));
            println!();
        }
        if let ([a, b, ..], [c, d, ..]) = (&straight[..], &through[..]) {
            let micros = |i: usize| 1e6 * (after[i] - before[i]) / (c * PLAYED.as_secs_f64());
            println!(
                "{connections:>11}      ratio   throughput {:.3}, p50 {:.1}; the proxy's core, a request: {:.0} us \
                 of its own, {:.0} us of the system's",
                c / a,
                d / b,
                micros(0),
                micros(1)
            );
        }
    }
    drop((proxy, standins));
    let _ = std::fs::remove_dir_all(&folder);
}
