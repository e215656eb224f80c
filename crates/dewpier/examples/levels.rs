//! Starts three planners, six forwarders and thirty mock nodes, and sends traffic through all forwarders while nodes are
//! drained and planners are killed: one, then all of them. Prints how many requests were served, rejected and failed.
//! Exits with status 1 if a request got no answer, an order ran more than once, or a drained node got a request 0.5 s
//! after a planner had read the drain.
//!
//! It starts the program itself, so run `cargo build --release` first.

use dewpier_standins::backend::Backend;
use dewpier_standins::load::{LoadGenerator, ResponseCounts};
use std::collections::HashMap;
use std::error::Error;
use std::fmt::Write;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PLANNERS: usize = 3;
const FORWARDERS: usize = 6;
const NODES: usize = 30;
/// The duration of each step.
const STEP: Duration = Duration::from_millis(2000);
/// How long after a planner has read a drain requests may still be sent to the node.
const GRACE: Duration = Duration::from_millis(500);
/// The maximum time that a process may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(30);

type Failure = Box<dyn Error>;

/// A process of the program, and when it logged that it had read a list.
struct Process {
    child: Child,
    list_times: Arc<Mutex<Vec<Instant>>>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts the program with a configuration. Returns the process and a channel that receives its address.
fn start(
    program: &Path,
    folder: &Path,
    command: &str,
    name: &str,
    text: &str,
) -> Result<(Process, Receiver<SocketAddr>), Failure> {
    let config = folder.join(format!("{name}.toml"));
    std::fs::write(&config, text)?;
    let mut child =
        Command::new(program).arg(command).arg("--config").arg(&config).stderr(Stdio::piped()).spawn()?;
    let stderr = BufReader::new(child.stderr.take().ok_or("no output")?);
    let list_times: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let (address_sender, address) = channel();
    let logged_times = list_times.clone();
    std::thread::spawn(move || {
        for line in stderr.lines().map_while(Result::ok) {
            if line.contains("backends from") {
                logged_times.lock().iter_mut().for_each(|l| l.push(Instant::now()));
            }
            if line.contains("listening on")
                && let Some(Ok(address)) = line.rsplit(' ').next().map(str::parse)
            {
                let _ = address_sender.send(address);
            }
        }
    });
    Ok((Process { child, list_times }, address))
}

struct Fleet {
    program: PathBuf,
    folder: PathBuf,
    file: PathBuf,
    /// Addresses of the planners for forwarders.
    listen: Vec<SocketAddr>,
    /// Addresses of the planners for each other.
    cluster: Vec<SocketAddr>,
}

impl Fleet {
    fn inventory_settings(&self) -> String {
        format!("[inventory]\nfile = \"{}\"\nsettle_ms = 50\n", self.file.display())
    }

    fn start_planner(&self, number: usize) -> Result<Process, Failure> {
        let cluster: Vec<String> = self.cluster.iter().map(|a| format!("\"{a}\"")).collect();
        let text = format!(
            "listen = \"{}\"\nplaintext = true\nnumber = {number}\n[cluster]\nplanners = [{}]\n{}",
            self.listen[number],
            cluster.join(", "),
            self.inventory_settings()
        );
        Ok(start(&self.program, &self.folder, "planner", &format!("planner-{number}"), &text)?.0)
    }

    fn start_forwarder(&self, number: usize) -> Result<(Process, SocketAddr), Failure> {
        let listen: Vec<String> = self.listen.iter().map(|a| format!("\"{a}\"")).collect();
        let text = format!(
            "listen = \"127.0.0.1:0\"\n[planners]\nname = \"forwarder-{number}\"\nplaintext = true\naddresses = [{}]\n{}",
            listen.join(", "),
            self.inventory_settings()
        );
        let (process, address) =
            start(&self.program, &self.folder, "forwarder", &format!("forwarder-{number}"), &text)?;
        Ok((process, address.recv_timeout(START_TIMEOUT)?))
    }

    /// Replaces the inventory file by a rename, with the first `draining` nodes draining.
    fn write_inventory(&self, nodes: &[Backend], draining: usize) -> Result<(), Failure> {
        let mut text = "id,address,state\n".to_string();
        for (i, node) in nodes.iter().enumerate() {
            let state = if i < draining { "draining" } else { "serving" };
            writeln!(text, "node-{i:02},{},{state}", node.address)?;
        }
        let new = self.file.with_extension("new");
        std::fs::write(&new, text)?;
        Ok(std::fs::rename(&new, &self.file)?)
    }
}

/// Returns when the first of these processes read a list after `since`.
fn first_read(processes: &[Process], since: Instant) -> Option<Instant> {
    let read_time = |p: &Process| p.list_times.lock().ok()?.iter().copied().find(|at| *at > since);
    processes.iter().filter_map(read_time).min()
}

/// Runs all steps; returns whether all checks hold.
fn run_steps(fleet: &Fleet) -> Result<bool, Failure> {
    let nodes: Vec<Backend> =
        (0..NODES).map(|i| Backend::start(&format!("node-{i:02}"), Duration::from_millis(1))).collect();
    fleet.write_inventory(&nodes, 0)?;
    let mut planners = (0..PLANNERS).map(|n| fleet.start_planner(n)).collect::<Result<Vec<_>, _>>()?;
    let forwarders = (0..FORWARDERS).map(|n| fleet.start_forwarder(n)).collect::<Result<Vec<_>, _>>()?;
    println!("{PLANNERS} planners, {FORWARDERS} forwarders, {NODES} nodes");
    let start_load = |(number, (_, address)): (usize, &(Process, SocketAddr))| {
        let script = move |client: usize, n: u64| {
            let is_order = n.is_multiple_of(4);
            let method = if is_order { "POST" } else { "GET" };
            let order_header =
                if is_order { format!("X-Order: {number}-{client}-{n}\r\n") } else { String::new() };
            format!("{method} /orders HTTP/1.1\r\nHost: shop\r\n{order_header}Content-Length: 0\r\n\r\n")
        };
        LoadGenerator::start(*address, 3, Duration::from_millis(5), Arc::new(script))
    };
    let loads: Vec<LoadGenerator> = forwarders.iter().enumerate().map(start_load).collect();
    let mut drains: Vec<(usize, Instant)> = Vec::new();
    std::thread::sleep(STEP);

    println!("- node-00 drains");
    let at = Instant::now();
    fleet.write_inventory(&nodes, 1)?;
    std::thread::sleep(STEP);
    drains.extend(first_read(&planners, at).map(|at| (0, at)));

    println!("- node-01 drains, and planner 0 is killed");
    let at = Instant::now();
    fleet.write_inventory(&nodes, 2)?;
    std::thread::sleep(Duration::from_millis(100));
    planners[0].child.kill()?;
    std::thread::sleep(STEP);
    drains.extend(first_read(&planners, at).map(|at| (1, at)));

    println!("- all planners are killed");
    planners.clear();
    std::thread::sleep(STEP);
    println!("- node-02 drains while no planner runs");
    fleet.write_inventory(&nodes, 3)?;
    std::thread::sleep(STEP);
    println!("- planners restart, and node-03 drains");
    planners = (0..PLANNERS).map(|n| fleet.start_planner(n)).collect::<Result<Vec<_>, _>>()?;
    std::thread::sleep(STEP);
    drains.extend(first_read(&planners, at).map(|at| (2, at)));
    let at = Instant::now();
    fleet.write_inventory(&nodes, 4)?;
    std::thread::sleep(STEP);
    drains.extend(first_read(&planners, at).map(|at| (3, at)));

    let mut counts = ResponseCounts::default();
    loads.into_iter().for_each(|load| counts.add(load.stop()));
    let mut runs: HashMap<String, usize> = HashMap::new();
    for order in nodes.iter().flat_map(|b| b.arrivals()).filter_map(|a| a.order_id) {
        *runs.entry(order).or_default() += 1;
    }
    let duplicates = runs.values().filter(|n| **n > 1).count();
    let count_late = |(node, at): &(usize, Instant)| {
        nodes[*node].arrivals().iter().filter(|a| a.received_at > *at + GRACE).count()
    };
    let late: usize = drains.iter().map(count_late).sum();
    let (p50, p99) = (counts.quantile(0.5), counts.quantile(0.99));
    println!(
        "{} served, {} rejected, {} failed, {} without an answer; p50 {:.1} ms, p99 {:.1} ms",
        counts.served,
        counts.rejected,
        counts.failed,
        counts.unanswered,
        p50.as_secs_f64() * 1000.0,
        p99.as_secs_f64() * 1000.0
    );
    println!(
        "orders that ran more than once: {duplicates}; {} drains, requests after their grace period: {late}",
        drains.len()
    );
    Ok(counts.unanswered == 0 && duplicates == 0 && late == 0 && counts.served > 1000 && drains.len() == 4)
}

fn main() -> ExitCode {
    let folder = std::env::temp_dir().join(format!("dewpier-levels-{}", std::process::id()));
    let run = || {
        std::fs::create_dir_all(&folder)?;
        // The program is in the parent of the examples' folder.
        let own_path = std::env::current_exe()?;
        let program = own_path.parent().and_then(Path::parent).ok_or("no folder")?.join("dewpier");
        if !program.is_file() {
            return Err(format!(
                "{}: the program does not exist: run `cargo build --release` first",
                program.display()
            )
            .into());
        }
        // Free addresses, as planners and forwarders must know them before the start.
        let listeners =
            (0..2 * PLANNERS).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<Vec<_>, _>>()?;
        let mut listen = listeners.iter().map(TcpListener::local_addr).collect::<Result<Vec<_>, _>>()?;
        let cluster = listen.split_off(PLANNERS);
        drop(listeners);
        let (file, folder) = (folder.join("nodes.csv"), folder.clone());
        run_steps(&Fleet { program, folder, file, listen, cluster })
    };
    let result: Result<bool, Failure> = run();
    let _ = std::fs::remove_dir_all(&folder);
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
