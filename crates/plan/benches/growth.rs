//! Measures how the cost of a planner grows with 10, 100 and 1,000 forwarders and with 100 and 1,000 nodes,
//! on real sockets over loopback. Prints the fraction of a core that the planner uses, the bytes per second
//! to and from all forwarders, and the times from a drain, and from a plan that changes one node, to the
//! first, the median and the last forwarder.
//!
//! The planner runs on one thread and all forwarders share another, so the time to the last forwarder is an
//! upper bound. Forwarders send ten heartbeats and one digest of 64 nodes per second, as by default. Each row
//! is measured with all nodes warm, with 16 cold nodes whose budgets answer each digest, with forwarders that
//! use slices of 64 nodes, and with relayed messages: each forwarder sends 200 bytes to each of its partners
//! (all others up to 17 forwarders, 2 log2 n above) every 250 ms, all through this planner instead of three.
//! The benchmark has no pass or fail.
//!
//! Run with `cargo bench -p dewpier-plan --bench growth`; takes about two minutes.

use dewpier_plan::io::{FollowEvent, FollowSettings, Planner, RelayChannel, Security, follow};
use dewpier_plan::wire::{write_forwarder_message, write_planner_message};
use dewpier_plan::{
    AnnouncementVersion, Digest, Follower, ForwarderMessage, MAX_DIGEST_NODES, Node, NodeCounts, Plan,
    PlannerMessage, RelayedMessage, Slice, Version,
};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::LocalSet;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
const MEASUREMENT: Duration = Duration::from_secs(3);
/// Number of repetitions for each kind of update.
const REPETITIONS: usize = 5;
/// Number of nodes in a slice.
const SLICE_SIZE: usize = 64;
const COLD_NODES: usize = 16;
/// Interval of relayed messages.
const RELAY_INTERVAL: Duration = Duration::from_millis(250);
const RELAYED_BYTES: usize = 200;
/// Time limit of each step, far above any measured time.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);

fn name(node: usize) -> String {
    format!("pricing-{node:04}.example.org")
}

fn plan(nodes: usize, cold: usize) -> Plan {
    let node = |i: usize| Node {
        id: name(i),
        address: SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 8080)),
        zone: "a".into(),
        cell: (i / 8) as u32,
        weight: 1.0,
        draining: false,
        age_ms: (i < cold).then_some(0),
    };
    let nodes = (0..nodes).map(node).collect();
    Plan { version: Version { term: 1, generation: 1 }, nodes, acknowledged: Vec::new() }
}

/// The digest of a forwarder for one second.
fn digest(nodes: usize, forwarder: usize) -> Digest {
    let counts = |i: usize| NodeCounts {
        id: name((forwarder * 7 + i) % nodes),
        in_flight: 1,
        sent: 12,
        served: 12,
        failed: 0,
        served_ms: 2400,
    };
    let named = MAX_DIGEST_NODES.min(nodes);
    Digest { interval_ms: 1000, nodes: (0..named).map(counts).collect(), other_served: 20 }
}

/// CPU time of the current thread; zero if the operating system does not report it.
fn thread_cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanoseconds = text.split(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0);
    Duration::from_nanos(nanoseconds)
}

fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().expect("a runtime")
}

/// A request for the CPU time of the planner's thread.
type CpuTimeRequest = Sender<Duration>;

fn planner_thread(
    planner: Arc<Planner>,
    address: Sender<SocketAddr>,
    mut requests: tokio::sync::mpsc::Receiver<CpuTimeRequest>,
) {
    runtime().block_on(async move {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        address.send(listener.local_addr().expect("an address")).expect("the bench waits");
        let serving = tokio::spawn(planner.serve(listener, Security::plain()));
        while let Some(request) = requests.recv().await {
            let _ = request.send(thread_cpu_time());
        }
        serving.abort();
    });
}

/// The partners of forwarder `own_index` among `count`.
fn partners(own_index: usize, count: usize) -> Vec<u64> {
    if count <= 17 {
        return (0..count).filter(|other| *other != own_index).map(|other| other as u64).collect();
    }
    let distances = (0..).map(|i| 1usize << i).take_while(|d| *d <= count / 2);
    let mut found: Vec<u64> = distances
        .flat_map(|d| [(own_index + d) % count, (own_index + count - d) % count])
        .map(|other| other as u64)
        .collect();
    found.sort_unstable();
    found.dedup();
    found
}

/// Sends relayed messages periodically and discards received ones.
fn relay_channel(own_index: usize, count: usize) -> RelayChannel {
    let (rounds, outgoing) = mpsc::channel(4);
    let (incoming, mut received) = mpsc::channel(256);
    tokio::task::spawn_local(async move {
        let mut ticks = tokio::time::interval(RELAY_INTERVAL);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    let message = |to| RelayedMessage { to, bytes: vec![own_index as u8; RELAYED_BYTES] };
                    let _ = rounds.try_send(partners(own_index, count).into_iter().map(message).collect());
                }
                _ = received.recv() => {}
            }
        }
    });
    RelayChannel { sender: own_index as u64, outgoing, incoming }
}

#[derive(Default)]
struct Progress {
    with_plan: AtomicUsize,
    update_times: Mutex<Vec<Instant>>,
}

fn forwarders_thread(
    count: usize,
    nodes: usize,
    slice_size: Option<usize>,
    relays: bool,
    planner: SocketAddr,
    progress: Arc<Progress>,
    stop: oneshot::Receiver<()>,
) {
    let local = LocalSet::new();
    for forwarder in 0..count {
        let (digests, digest_receiver) = watch::channel(Digest::default());
        let settings = FollowSettings {
            planners: vec![planner],
            name: format!("f{forwarder}"),
            heartbeat_interval: HEARTBEAT_INTERVAL,
            start: Instant::now(),
            security: Security::plain(),
        };
        let progress = progress.clone();
        local.spawn_local(async move {
            // Spreads the starts of the forwarders over a digest interval.
            tokio::time::sleep(DIGEST_INTERVAL * (forwarder % 100) as u32 / 100).await;
            let has_plan = std::cell::Cell::new(false);
            let on_event = move |follower: &Follower, event: FollowEvent| {
                if event != FollowEvent::NodesChanged || follower.version().is_none() {
                    return;
                }
                if !has_plan.replace(true) {
                    progress.with_plan.fetch_add(1, Ordering::SeqCst);
                } else {
                    progress.update_times.lock().unwrap_or_else(PoisonError::into_inner).push(Instant::now());
                }
            };
            let sending = async {
                let mut ticks = tokio::time::interval(DIGEST_INTERVAL);
                loop {
                    ticks.tick().await;
                    digests.send_replace(digest(nodes, forwarder));
                }
            };
            let follower = Rc::new(RefCell::new(Follower::with_slice(
                slice_size.map(|size| Slice::new(&format!("f{forwarder}"), size)),
            )));
            let relay = relays.then(|| relay_channel(forwarder, count));
            tokio::join!(follow(settings, follower, digest_receiver, relay, on_event), sending);
        });
    }
    runtime().block_on(local.run_until(async {
        let _ = stop.await;
    }));
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < STEP_TIMEOUT, "no {what} in time");
        std::thread::sleep(Duration::from_millis(1));
    }
}

struct Row {
    core_fraction: f64,
    /// Relayed messages per second: delivered and dropped.
    relayed: [f64; 2],
    bytes: [f64; 2],
    /// Seconds to the first, the median and the last forwarder, for a drain and for a plan.
    drain: [f64; 3],
    plan: [f64; 3],
}

fn run(forwarders: usize, nodes: usize, cold: usize, slice_size: Option<usize>, relays: bool) -> Row {
    let planner =
        Planner::new(Box::new(|| Duration::from_millis(400)), Duration::from_millis(400), 2 * forwarders);
    planner.publish(plan(nodes, cold));
    let (address_sender, address) = channel();
    let (cpu_time_requests, requests) = tokio::sync::mpsc::channel(1);
    let serving = planner.clone();
    let planner_handle = std::thread::spawn(move || planner_thread(serving, address_sender, requests));
    let address = address.recv_timeout(STEP_TIMEOUT).expect("the planner listens");
    let (stop, stopped) = oneshot::channel();
    let progress: Arc<Progress> = Arc::default();
    let thread_progress = progress.clone();
    let forwarders_handle = std::thread::spawn(move || {
        forwarders_thread(forwarders, nodes, slice_size, relays, address, thread_progress, stopped)
    });
    wait_until("plan at all forwarders", || progress.with_plan.load(Ordering::SeqCst) == forwarders);
    let planner_cpu_time = || {
        let (reply_sender, reply): (_, Receiver<Duration>) = channel();
        cpu_time_requests.blocking_send(reply_sender).expect("the planner runs");
        reply.recv_timeout(STEP_TIMEOUT).expect("the planner answers")
    };
    let before = planner.relay_counts();
    let (from, start) = (planner_cpu_time(), Instant::now());
    std::thread::sleep(MEASUREMENT);
    let core_fraction = (planner_cpu_time() - from).as_secs_f64() / start.elapsed().as_secs_f64();
    let after = planner.relay_counts();
    let per_second = |from: u64, to: u64| (to - from) as f64 / start.elapsed().as_secs_f64();
    let relayed = [per_second(before.delivered, after.delivered), per_second(before.dropped, after.dropped)];
    let measure = |send_update: &dyn Fn(u64)| {
        let mut sums = [0.0; 3];
        for number in 1..=REPETITIONS as u64 {
            let update_times = || progress.update_times.lock().unwrap_or_else(PoisonError::into_inner);
            update_times().clear();
            let sent_at = Instant::now();
            send_update(number);
            wait_until("update at all forwarders", || update_times().len() == forwarders);
            let mut times: Vec<f64> = update_times().iter().map(|at| (*at - sent_at).as_secs_f64()).collect();
            times.sort_unstable_by(f64::total_cmp);
            for (sum, at) in sums.iter_mut().zip([0, times.len() / 2, times.len() - 1]) {
                *sum += times[at] / REPETITIONS as f64;
            }
        }
        sums
    };
    let drain = measure(&|sequence| {
        let announcement_version = AnnouncementVersion { epoch: 1, sequence };
        planner.announce_drains(vec![PlannerMessage::Drain {
            planner: 0,
            announcement_version,
            id: name(nodes - sequence as usize),
        }]);
    });
    let changed = measure(&|number| {
        let mut plan = plan(nodes, cold);
        plan.version.generation = 1 + number;
        let node = number as usize * nodes / (REPETITIONS + 1);
        plan.nodes[node].draining = true;
        planner.publish(plan);
    });
    let _ = stop.send(());
    drop(cpu_time_requests);
    forwarders_handle.join().expect("the forwarders end");
    planner_handle.join().expect("the planner ends");
    // The bytes per second follow from the sizes of the frames.
    let version = Version { term: 1, generation: 1 };
    let heartbeats_per_second = 1.0 / HEARTBEAT_INTERVAL.as_secs_f64();
    let budgets = (0..cold).map(|i| (name(i), 1.0)).collect::<Vec<_>>();
    let reply = write_planner_message(&PlannerMessage::HeartbeatReply {
        number: 1000,
        version,
        lease_ms: 400,
        max_lease_ms: 400,
    })
    .len() as f64;
    let budgets =
        if cold > 0 { write_planner_message(&PlannerMessage::Budgets(budgets)).len() as f64 } else { 0.0 };
    let heartbeat = write_forwarder_message(&ForwarderMessage::Heartbeat { number: 1000 }).len() as f64;
    let digest_frame = write_forwarder_message(&ForwarderMessage::Digest(digest(nodes, 0))).len() as f64;
    let forwarder_count = forwarders as f64;
    Row {
        core_fraction,
        relayed,
        bytes: [
            forwarder_count * (heartbeats_per_second * reply + budgets),
            forwarder_count * (heartbeats_per_second * heartbeat + digest_frame),
        ],
        drain,
        plan: changed,
    }
}

fn main() {
    println!(
        "forwarders nodes cold part | core of a planner | letters/s on, dropped | KB/s out, in but for letters | ms to the first, middle, last: drain | plan"
    );
    for (cold, slice_size, relays) in [
        (0, None, false),
        (COLD_NODES, None, false),
        (0, Some(SLICE_SIZE), false),
        (0, Some(SLICE_SIZE), true),
    ] {
        for forwarders in [10, 100, 1000] {
            for nodes in [100, 1000] {
                let row = run(forwarders, nodes, cold, slice_size, relays);
                let millis = |times: [f64; 3]| times.map(|t| format!("{:>7.2}", t * 1000.0)).join(" ");
                let [out, back] = row.bytes.map(|b| b / 1000.0);
                let (core_fraction, slice_size) = (row.core_fraction, slice_size.unwrap_or(nodes));
                println!(
                    "{forwarders:>10} {nodes:>5} {cold:>4} {slice_size:>4} | {core_fraction:>17.4} | {:>8.0} {:>6.0} | {out:>7.1} {back:>7.1} | {} | {}",
                    row.relayed[0],
                    row.relayed[1],
                    millis(row.drain),
                    millis(row.plan)
                );
            }
        }
    }
}
