//! Measures the cost of inventory changes in a fleet of proxies by the size of the inventory: each proxy watches the
//! inventory itself, or three planners watch it and forwarders follow them, with the whole plan or with a slice of 64
//! nodes. Uses real processes on loopback without traffic.
//!
//! Prints the bytes read and the processor time of all processes per change, and the resident memory and the open
//! descriptors of one proxy. The benchmark has no limits.
//!
//! `cargo bench --bench fleet` takes two minutes.

#[path = "common/parts.rs"]
mod parts;

use parts::{ChildProcess, cpu_seconds, start_program};
use std::fmt::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const PROXIES: usize = 20;
const CHANGES: usize = 5;
/// The time between two changes, in which they reach all proxies.
const STEP: Duration = Duration::from_millis(700);
/// The time for all processes to settle after their start.
const SETTLING_TIME: Duration = Duration::from_secs(2);
const INVENTORY: &str = "[inventory]\nfile = \"nodes.csv\"\nsettle_ms = 50\n";

/// Where proxies get their node lists from.
#[derive(Clone, Copy, PartialEq)]
enum ListSource {
    OwnInventory,
    WholePlan,
    Slice,
}

/// Replaces the inventory by a rename, with one node draining, and returns its size in bytes. Nothing listens at the
/// addresses.
fn write_inventory(folder: &Path, nodes: usize, draining: usize) -> u64 {
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

fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
    listeners.iter().map(|l| l.local_addr().expect("an address")).collect()
}

fn quoted(addresses: &[SocketAddr]) -> String {
    addresses.iter().map(|a| format!("\"{a}\"")).collect::<Vec<_>>().join(", ")
}

/// A process and the number of lists that it has read.
type Started = (ChildProcess, Arc<AtomicUsize>);

/// Starts the planners, if any, and the proxies.
fn start_fleet(list_source: ListSource, folder: &Path) -> (Vec<Started>, Vec<Started>) {
    let start_process = |core, command, text: String| {
        let (process, _, lists) = start_program(core, command, folder, &text);
        (process, lists)
    };
    let listen = "listen = \"127.0.0.1:0\"\n";
    if list_source == ListSource::OwnInventory {
        let proxy = |_| start_process(2, "serve", format!("{listen}{INVENTORY}"));
        return (Vec::new(), (0..PROXIES).map(proxy).collect());
    }
    let mut listen_addresses = free_addresses(6);
    let cluster_addresses = listen_addresses.split_off(3);
    let planner = |n: usize| {
        let cluster = format!("[cluster]\nplanners = [{}]\n", quoted(&cluster_addresses));
        let text = format!(
            "listen = \"{}\"\nplaintext = true\nnumber = {n}\n{cluster}{INVENTORY}",
            listen_addresses[n]
        );
        start_process(1, "planner", text)
    };
    let planners = (0..3).map(planner).collect();
    let slice = if list_source == ListSource::Slice { "nodes = 64\n" } else { "" };
    let forwarder = |n: usize| {
        let planners = format!(
            "name = \"f{n}\"\naddresses = [{}]\nplaintext = true\n{slice}",
            quoted(&listen_addresses)
        );
        start_process(2, "forwarder", format!("{listen}[planners]\n{planners}{INVENTORY}"))
    };
    (planners, (0..PROXIES).map(forwarder).collect())
}

/// Returns the resident memory of a process in kB, and the number of its open descriptors.
fn resident_kb_and_descriptors(process: u32) -> (f64, usize) {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB"));
    let open = std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, |d| d.count());
    (resident.and_then(|n| n.parse().ok()).unwrap_or(0.0), open)
}

fn main() {
    println!("{PROXIES} proxies, {CHANGES} changes");
    println!(
        "  nodes    source | reads per change, MB | CPU ms per change: planners, proxies | per proxy: MB, descriptors"
    );
    for nodes in [100, 1000, 10_000] {
        for (list_source, name) in [
            (ListSource::OwnInventory, "alone"),
            (ListSource::WholePlan, "planned"),
            (ListSource::Slice, "part"),
        ] {
            let folder = std::env::temp_dir().join(format!("dewpier-fleet-{}", std::process::id()));
            std::fs::create_dir_all(&folder).expect("a folder");
            let size = write_inventory(&folder, nodes, nodes);
            let (planners, proxies) = start_fleet(list_source, &folder);
            std::thread::sleep(SETTLING_TIME);
            let cpu_total =
                |all: &[Started]| all.iter().flat_map(|(p, _)| cpu_seconds(p.0.id())).sum::<f64>();
            let read_total =
                |all: &[Started]| all.iter().map(|(_, n)| n.load(Ordering::SeqCst)).sum::<usize>();
            // The processor time without changes is subtracted.
            let idle = [cpu_total(&planners), cpu_total(&proxies)];
            std::thread::sleep(STEP * CHANGES as u32);
            let (cpu_before, lists_before) =
                ([cpu_total(&planners), cpu_total(&proxies)], read_total(&planners) + read_total(&proxies));
            let idle = [cpu_before[0] - idle[0], cpu_before[1] - idle[1]];
            for change in 0..CHANGES {
                write_inventory(&folder, nodes, change * nodes / CHANGES);
                std::thread::sleep(STEP);
            }
            let reads = (read_total(&planners) + read_total(&proxies) - lists_before) as f64 / CHANGES as f64;
            let cpu = [
                cpu_total(&planners) - cpu_before[0] - idle[0],
                cpu_total(&proxies) - cpu_before[1] - idle[1],
            ];
            let [planner_ms, proxy_ms] = cpu.map(|c| c.max(0.0) * 1000.0 / CHANGES as f64);
            let (resident_kb, descriptors) = resident_kb_and_descriptors(proxies[0].0.0.id());
            println!(
                "{nodes:>7} {name:>9} | {reads:>6.1} {:>12.3} | {planner_ms:>10.1} {proxy_ms:>20.1} | {:>16.1} {descriptors:>12}",
                reads * size as f64 / 1e6,
                resident_kb / 1024.0
            );
            drop((planners, proxies));
            let _ = std::fs::remove_dir_all(&folder);
        }
    }
}
