//! Starts three planners, six forwarders and thirty stand-in nodes, sends traffic through all forwarders,
//! and meanwhile drains nodes and kills planners: one, then all of them. Prints what was served, refused
//! and failed. Ends by itself, with status 1 if a request was left without an answer, an order ran twice,
//! or a drained node got something new half a second after a planner was told.
//!
//! Processes are killed, so that it needs the program: `cargo build --release` first.

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
/// How long each of the steps lasts.
const STEP: Duration = Duration::from_millis(2000);
const GRACE: Duration = Duration::from_millis(500);
const STARTS_WITHIN: Duration = Duration::from_secs(30);

type Failure = Box<dyn Error>;

/// One process, and when it said that it has read a list.
struct Process {
    child: Child,
    lists: Arc<Mutex<Vec<Instant>>>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

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
    let lists: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let (ready, address) = channel();
    let read = lists.clone();
    std::thread::spawn(move || {
        for line in stderr.lines().map_while(Result::ok) {
            if line.contains("backends from") {
                read.lock().iter_mut().for_each(|l| l.push(Instant::now()));
            }
            if line.contains("listening on")
                && let Some(Ok(address)) = line.rsplit(' ').next().map(str::parse)
            {
                let _ = ready.send(address);
            }
        }
    });
    Ok((Process { child, lists }, address))
}

struct Fleet {
    program: PathBuf,
    folder: PathBuf,
    file: PathBuf,
    listen: Vec<SocketAddr>,
    talk: Vec<SocketAddr>,
}

impl Fleet {
    fn inventory(&self) -> String {
        format!("[inventory]\nfile = \"{}\"\nsettle_ms = 50\n", self.file.display())
    }

    fn planner(&self, number: usize) -> Result<Process, Failure> {
        let talk: Vec<String> = self.talk.iter().map(|a| format!("\"{a}\"")).collect();
        let text = format!(
            "listen = \"{}\"\nplaintext = true\nnumber = {number}\n[cluster]\nplanners = [{}]\n{}",
            self.listen[number],
            talk.join(", "),
            self.inventory()
        );
        Ok(start(&self.program, &self.folder, "planner", &format!("planner-{number}"), &text)?.0)
    }

    fn forwarder(&self, number: usize) -> Result<(Process, SocketAddr), Failure> {
        let listen: Vec<String> = self.listen.iter().map(|a| format!("\"{a}\"")).collect();
        let text = format!(
            "listen = \"127.0.0.1:0\"\n[planners]\nname = \"forwarder-{number}\"\nplaintext = true\naddresses = [{}]\n{}",
            listen.join(", "),
            self.inventory()
        );
        let (process, address) =
            start(&self.program, &self.folder, "forwarder", &format!("forwarder-{number}"), &text)?;
        Ok((process, address.recv_timeout(STARTS_WITHIN)?))
    }

    /// Writes the inventory anew, with the first nodes draining, by rename.
    fn write(&self, nodes: &[Backend], draining: usize) -> Result<(), Failure> {
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

/// When any of these processes read its latest list, if that was after `since`.
fn told(processes: &[Process], since: Instant) -> Option<Instant> {
    let read = |p: &Process| p.lists.lock().ok()?.iter().copied().find(|at| *at > since);
    processes.iter().filter_map(read).min()
}

fn play(fleet: &Fleet) -> Result<bool, Failure> {
    let nodes: Vec<Backend> =
        (0..NODES).map(|i| Backend::start(&format!("node-{i:02}"), Duration::from_millis(1))).collect();
    fleet.write(&nodes, 0)?;
    let mut planners = (0..PLANNERS).map(|n| fleet.planner(n)).collect::<Result<Vec<_>, _>>()?;
    let forwarders = (0..FORWARDERS).map(|n| fleet.forwarder(n)).collect::<Result<Vec<_>, _>>()?;
    println!("{PLANNERS} planners, {FORWARDERS} forwarders, {NODES} nodes");
    let load = |(number, (_, address)): (usize, &(Process, SocketAddr))| {
        let script = move |client: usize, n: u64| {
            let order = n.is_multiple_of(4);
            let method = if order { "POST" } else { "GET" };
            let named = if order { format!("X-Order: {number}-{client}-{n}\r\n") } else { String::new() };
            format!("{method} /orders HTTP/1.1\r\nHost: shop\r\n{named}Content-Length: 0\r\n\r\n")
        };
        LoadGenerator::start(*address, 3, Duration::from_millis(5), Arc::new(script))
    };
    let loads: Vec<LoadGenerator> = forwarders.iter().enumerate().map(load).collect();
    let mut drains: Vec<(usize, Instant)> = Vec::new();
    std::thread::sleep(STEP);

    println!("- node-00 drains");
    let at = Instant::now();
    fleet.write(&nodes, 1)?;
    std::thread::sleep(STEP);
    drains.extend(told(&planners, at).map(|at| (0, at)));

    println!("- node-01 drains, and planner 0 is killed");
    let at = Instant::now();
    fleet.write(&nodes, 2)?;
    std::thread::sleep(Duration::from_millis(100));
    planners[0].child.kill()?;
    std::thread::sleep(STEP);
    drains.extend(told(&planners, at).map(|at| (1, at)));

    println!("- all planners are killed");
    planners.clear();
    std::thread::sleep(STEP);
    println!("- node-02 drains while there is no planner");
    fleet.write(&nodes, 3)?;
    std::thread::sleep(STEP);
    println!("- planners are back, and node-03 drains");
    planners = (0..PLANNERS).map(|n| fleet.planner(n)).collect::<Result<Vec<_>, _>>()?;
    std::thread::sleep(STEP);
    drains.extend(told(&planners, at).map(|at| (2, at)));
    let at = Instant::now();
    fleet.write(&nodes, 4)?;
    std::thread::sleep(STEP);
    drains.extend(told(&planners, at).map(|at| (3, at)));

    let mut tally = ResponseCounts::default();
    loads.into_iter().for_each(|load| tally.add(load.stop()));
    let mut runs: HashMap<String, usize> = HashMap::new();
    for order in nodes.iter().flat_map(|b| b.arrivals()).filter_map(|a| a.order_id) {
        *runs.entry(order).or_default() += 1;
    }
    let twice = runs.values().filter(|n| **n > 1).count();
    let after = |(node, at): &(usize, Instant)| {
        nodes[*node].arrivals().iter().filter(|a| a.received_at > *at + GRACE).count()
    };
    let late: usize = drains.iter().map(after).sum();
    let (p50, p99) = (tally.quantile(0.5), tally.quantile(0.99));
    println!(
        "{} served, {} refused, {} failed, {} without an answer; p50 {:.1} ms, p99 {:.1} ms",
        tally.served,
        tally.rejected,
        tally.failed,
        tally.unanswered,
        p50.as_secs_f64() * 1000.0,
        p99.as_secs_f64() * 1000.0
    );
    println!("orders that ran twice: {twice}; {} drains, sends after their grace: {late}", drains.len());
    Ok(tally.unanswered == 0 && twice == 0 && late == 0 && tally.served > 1000 && drains.len() == 4)
}

fn main() -> ExitCode {
    let folder = std::env::temp_dir().join(format!("dewpier-levels-{}", std::process::id()));
    let played = || {
        std::fs::create_dir_all(&folder)?;
        // Beside the folder of the examples.
        let own = std::env::current_exe()?;
        let program = own.parent().and_then(Path::parent).ok_or("no folder")?.join("dewpier");
        if !program.is_file() {
            return Err(
                format!("{}: expected the program, found none: build it first", program.display()).into()
            );
        }
        // Free ones, as both sides must know them before.
        let held =
            (0..2 * PLANNERS).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<Vec<_>, _>>()?;
        let mut listen = held.iter().map(TcpListener::local_addr).collect::<Result<Vec<_>, _>>()?;
        let talk = listen.split_off(PLANNERS);
        drop(held);
        let (file, folder) = (folder.join("nodes.csv"), folder.clone());
        play(&Fleet { program, folder, file, listen, talk })
    };
    let played: Result<bool, Failure> = played();
    let _ = std::fs::remove_dir_all(&folder);
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
