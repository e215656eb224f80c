//! What a fleet of proxies costs its discovery and each of its machines, by the size of the inventory: each
//! proxy watching the inventory alone, against three planners who watch it and forwarders who follow them,
//! with the whole plan and with a part of 64 nodes. Real processes on loopback; no traffic.
//!
//! Prints, for each change of the inventory, how often it was read and by how many bytes, and the time that
//! all processes ran for it; and of one proxy the memory that it keeps (resident, proc(5)) and its open
//! descriptors. Never a verdict.
//!
//! `cargo bench --bench fleet`, two minutes.

#[path = "common/parts.rs"]
mod parts;

use parts::{Part, program, used};
use std::fmt::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const PROXIES: usize = 20;
const CHANGES: usize = 5;
/// Between two changes: time for all to have heard.
const STEP: Duration = Duration::from_millis(700);
const SETTLES: Duration = Duration::from_secs(2);
const INVENTORY: &str = "[inventory]\nfile = \"nodes.csv\"\nsettle_ms = 50\n";

#[derive(Clone, Copy, PartialEq)]
enum Way {
    Alone,
    Whole,
    Part,
}

/// Writes the inventory anew, with one node draining, by rename. Nothing listens at these addresses.
fn write(folder: &Path, nodes: usize, draining: usize) -> u64 {
    let mut text = "id,address,zone,cell,state\n".to_string();
    for i in 0..nodes {
        let state = if i == draining { "draining" } else { "serving" };
        let address = format!("127.{}.{}.{}:8080", 1 + i / 62_500, i / 250 % 250, 1 + i % 250);
        writeln!(text, "pricing-{i:05}.example.org,{address},a,{},{state}", i / 4).expect("a string");
    }
    let new = folder.join("nodes.new");
    std::fs::write(&new, &text).expect("an inventory");
    std::fs::rename(new, folder.join("nodes.csv")).expect("an inventory");
    text.len() as u64
}

fn free(count: usize) -> Vec<SocketAddr> {
    let held: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
    held.iter().map(|l| l.local_addr().expect("an address")).collect()
}

fn quoted(addresses: &[SocketAddr]) -> String {
    addresses.iter().map(|a| format!("\"{a}\"")).collect::<Vec<_>>().join(", ")
}

type Started = (Part, Arc<AtomicUsize>);

/// The planners, if any, and the proxies.
fn start(way: Way, folder: &Path) -> (Vec<Started>, Vec<Started>) {
    let started = |core, command, text: String| {
        let (part, _, lists) = program(core, command, folder, &text);
        (part, lists)
    };
    let listen = "listen = \"127.0.0.1:0\"\n";
    if way == Way::Alone {
        let proxy = |_| started(2, "serve", format!("{listen}{INVENTORY}"));
        return (Vec::new(), (0..PROXIES).map(proxy).collect());
    }
    let mut to = free(6);
    let talk = to.split_off(3);
    let planner = |n: usize| {
        let cluster = format!("[cluster]\nplanners = [{}]\n", quoted(&talk));
        let text = format!("listen = \"{}\"\nplaintext = true\nnumber = {n}\n{cluster}{INVENTORY}", to[n]);
        started(1, "planner", text)
    };
    let planners = (0..3).map(planner).collect();
    let part = if way == Way::Part { "nodes = 64\n" } else { "" };
    let forwarder = |n: usize| {
        let planners = format!("name = \"f{n}\"\naddresses = [{}]\nplaintext = true\n{part}", quoted(&to));
        started(2, "forwarder", format!("{listen}[planners]\n{planners}{INVENTORY}"))
    };
    (planners, (0..PROXIES).map(forwarder).collect())
}

/// Kilobytes that a process keeps, and its open descriptors.
fn keeps(process: u32) -> (f64, usize) {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB"));
    let open = std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, |d| d.count());
    (resident.and_then(|n| n.parse().ok()).unwrap_or(0.0), open)
}

fn main() {
    println!("{PROXIES} proxies, {CHANGES} changes");
    println!(
        "  nodes       way | reads a change, MB | ms of a core a change: planners, proxies | a proxy: MB, descriptors"
    );
    for nodes in [100, 1000, 10_000] {
        for (way, name) in [(Way::Alone, "alone"), (Way::Whole, "planned"), (Way::Part, "part")] {
            let folder = std::env::temp_dir().join(format!("dewpier-fleet-{}", std::process::id()));
            std::fs::create_dir_all(&folder).expect("a folder");
            let size = write(&folder, nodes, nodes);
            let (planners, proxies) = start(way, &folder);
            std::thread::sleep(SETTLES);
            let ran = |all: &[Started]| all.iter().flat_map(|(p, _)| used(p.0.id())).sum::<f64>();
            let read = |all: &[Started]| all.iter().map(|(_, n)| n.load(Ordering::SeqCst)).sum::<usize>();
            // What they run for while nothing changes is not the change's.
            let idle = [ran(&planners), ran(&proxies)];
            std::thread::sleep(STEP * CHANGES as u32);
            let (from, lists) = ([ran(&planners), ran(&proxies)], read(&planners) + read(&proxies));
            let idle = [from[0] - idle[0], from[1] - idle[1]];
            for change in 0..CHANGES {
                write(&folder, nodes, change * nodes / CHANGES);
                std::thread::sleep(STEP);
            }
            let reads = (read(&planners) + read(&proxies) - lists) as f64 / CHANGES as f64;
            let cost = [ran(&planners) - from[0] - idle[0], ran(&proxies) - from[1] - idle[1]];
            let [plan, serve] = cost.map(|c| c.max(0.0) * 1000.0 / CHANGES as f64);
            let (kept, open) = keeps(proxies[0].0.0.id());
            println!(
                "{nodes:>7} {name:>9} | {reads:>6.1} {:>12.3} | {plan:>10.1} {serve:>20.1} | {:>16.1} {open:>12}",
                reads * size as f64 / 1e6,
                kept / 1024.0
            );
            drop((planners, proxies));
            let _ = std::fs::remove_dir_all(&folder);
        }
    }
}
