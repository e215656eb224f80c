//! How a planner's cost grows: 10, 100 and 1,000 forwarders by 100 and 1,000 nodes, on real sockets
//! over loopback. Prints the part of a core that the planner takes, the bytes a second to and from all
//! forwarders, and the time from a drain's news, and from a plan that changes one node, to the first, the
//! middle and the last forwarder.
//!
//! One planner on a thread of its own; all forwarders share another, so that the time to the last of
//! them is an upper bound: there each has a machine of its own. Forwarders ask ten times and send a
//! digest of 64 nodes once a second, as they do by default. Each row once with all nodes warm, once with
//! 16 cold ones, which every digest is answered with a budget for, and once with forwarders that use 64
//! nodes each, and once with letters: each forwarder writes 200 bytes to each of its partners (all others up to 17,
//! 2 log2 n above) every 250 ms, all of it by this planner, where three would share it. Never a verdict.
//!
//! `cargo bench -p dewpier-plan --bench growth`, two minutes.

use dewpier_plan::io::{FollowEvent, FollowSettings, Planner, RelayChannel, Security, follow};
use dewpier_plan::wire::{write_forwarder_message, write_planner_message};
use dewpier_plan::{
    AnnouncementVersion, Counts, Digest, Follower, ForwarderMessage, MAX_DIGEST_NODES, Node, Plan,
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

const BEAT: Duration = Duration::from_millis(100);
const DIGEST: Duration = Duration::from_secs(1);
const MEASURED: Duration = Duration::from_secs(3);
/// So often each kind of news is told.
const TOLD: usize = 5;
/// Nodes of a part.
const PART: usize = 64;
const COLD: usize = 16;
/// How often letters are written, and how long they are.
const LETTERS: Duration = Duration::from_millis(250);
const LETTER: usize = 200;
/// Far beyond what any step takes.
const LONG: Duration = Duration::from_secs(60);

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

/// What a forwarder saw in a second, of the nodes that it sent most.
fn digest(nodes: usize, forwarder: usize) -> Digest {
    let counts = |i: usize| Counts {
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

/// How long this thread has run on a core, where the system tells.
fn on_core() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanoseconds = text.split(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0);
    Duration::from_nanos(nanoseconds)
}

fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().expect("a runtime")
}

/// Asks the planner's thread how long it has run.
type Question = Sender<Duration>;

fn planner_thread(
    planner: Arc<Planner>,
    told: Sender<SocketAddr>,
    mut asked: tokio::sync::mpsc::Receiver<Question>,
) {
    runtime().block_on(async move {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        told.send(listener.local_addr().expect("an address")).expect("the bench waits");
        let serving = tokio::spawn(planner.serve(listener, Security::plain()));
        while let Some(question) = asked.recv().await {
            let _ = question.send(on_core());
        }
        serving.abort();
    });
}

/// To whom a forwarder of so many writes.
fn partners(me: usize, count: usize) -> Vec<u64> {
    if count <= 17 {
        return (0..count).filter(|other| *other != me).map(|other| other as u64).collect();
    }
    let distances = (0..).map(|i| 1usize << i).take_while(|d| *d <= count / 2);
    let mut found: Vec<u64> = distances
        .flat_map(|d| [(me + d) % count, (me + count - d) % count])
        .map(|other| other as u64)
        .collect();
    found.sort_unstable();
    found.dedup();
    found
}

/// Writes letters, and takes those that come.
fn mail(me: usize, count: usize) -> RelayChannel {
    let (rounds, out) = mpsc::channel(4);
    let (into, mut came) = mpsc::channel(256);
    tokio::task::spawn_local(async move {
        let mut ticks = tokio::time::interval(LETTERS);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    let letter = |to| RelayedMessage { to, bytes: vec![me as u8; LETTER] };
                    let _ = rounds.try_send(partners(me, count).into_iter().map(letter).collect());
                }
                _ = came.recv() => {}
            }
        }
    });
    RelayChannel { sender: me as u64, outgoing: out, incoming: into }
}

#[derive(Default)]
struct Board {
    planned: AtomicUsize,
    told: Mutex<Vec<Instant>>,
}

fn forwarders_thread(
    count: usize,
    nodes: usize,
    part: Option<usize>,
    letters: bool,
    planner: SocketAddr,
    board: Arc<Board>,
    over: oneshot::Receiver<()>,
) {
    let local = LocalSet::new();
    for forwarder in 0..count {
        let (digests, heard) = watch::channel(Digest::default());
        let following = FollowSettings {
            planners: vec![planner],
            name: format!("f{forwarder}"),
            heartbeat_interval: BEAT,
            start: Instant::now(),
            security: Security::plain(),
        };
        let board = board.clone();
        local.spawn_local(async move {
            // They did not all start in one moment.
            tokio::time::sleep(DIGEST * (forwarder % 100) as u32 / 100).await;
            let planned = std::cell::Cell::new(false);
            let seen = move |follower: &Follower, seen: FollowEvent| {
                if seen != FollowEvent::NodesChanged || follower.version().is_none() {
                    return;
                }
                if !planned.replace(true) {
                    board.planned.fetch_add(1, Ordering::SeqCst);
                } else {
                    board.told.lock().unwrap_or_else(PoisonError::into_inner).push(Instant::now());
                }
            };
            let sending = async {
                let mut ticks = tokio::time::interval(DIGEST);
                loop {
                    ticks.tick().await;
                    digests.send_replace(digest(nodes, forwarder));
                }
            };
            let follower = Rc::new(RefCell::new(Follower::with_slice(
                part.map(|part| Slice::new(&format!("f{forwarder}"), part)),
            )));
            let mail = letters.then(|| mail(forwarder, count));
            tokio::join!(follow(following, follower, heard, mail, seen), sending);
        });
    }
    runtime().block_on(local.run_until(async {
        let _ = over.await;
    }));
}

fn wait(what: &str, mut seen: impl FnMut() -> bool) {
    let start = Instant::now();
    while !seen() {
        assert!(start.elapsed() < LONG, "no {what} in time");
        std::thread::sleep(Duration::from_millis(1));
    }
}

struct Row {
    core: f64,
    /// Letters a second that were handed on, and dropped.
    carried: [f64; 2],
    bytes: [f64; 2],
    /// First, middle and last, in seconds: a drain, and a plan.
    drain: [f64; 3],
    plan: [f64; 3],
}

fn played(forwarders: usize, nodes: usize, cold: usize, part: Option<usize>, letters: bool) -> Row {
    let planner =
        Planner::new(Box::new(|| Duration::from_millis(400)), Duration::from_millis(400), 2 * forwarders);
    planner.publish(plan(nodes, cold));
    let (told, address) = channel();
    let (questions, asked) = tokio::sync::mpsc::channel(1);
    let serving = planner.clone();
    let planning = std::thread::spawn(move || planner_thread(serving, told, asked));
    let address = address.recv_timeout(LONG).expect("the planner listens");
    let (over, ends) = oneshot::channel();
    let board: Arc<Board> = Arc::default();
    let seen = board.clone();
    let following =
        std::thread::spawn(move || forwarders_thread(forwarders, nodes, part, letters, address, seen, ends));
    wait("plan at all forwarders", || board.planned.load(Ordering::SeqCst) == forwarders);
    let ran = || {
        let (tell, told): (_, Receiver<Duration>) = channel();
        questions.blocking_send(tell).expect("the planner runs");
        told.recv_timeout(LONG).expect("the planner answers")
    };
    let before = planner.relay_counts();
    let (from, start) = (ran(), Instant::now());
    std::thread::sleep(MEASURED);
    let core = (ran() - from).as_secs_f64() / start.elapsed().as_secs_f64();
    let after = planner.relay_counts();
    let per_second = |from: u64, to: u64| (to - from) as f64 / start.elapsed().as_secs_f64();
    let carried = [per_second(before.delivered, after.delivered), per_second(before.dropped, after.dropped)];
    let heard = |tell: &dyn Fn(u64)| {
        let mut sums = [0.0; 3];
        for number in 1..=TOLD as u64 {
            let told = || board.told.lock().unwrap_or_else(PoisonError::into_inner);
            told().clear();
            let news = Instant::now();
            tell(number);
            wait("news at all forwarders", || told().len() == forwarders);
            let mut times: Vec<f64> = told().iter().map(|at| (*at - news).as_secs_f64()).collect();
            times.sort_unstable_by(f64::total_cmp);
            for (sum, at) in sums.iter_mut().zip([0, times.len() / 2, times.len() - 1]) {
                *sum += times[at] / TOLD as f64;
            }
        }
        sums
    };
    let drain = heard(&|sequence| {
        let mark = AnnouncementVersion { epoch: 1, sequence };
        planner.announce_drains(vec![PlannerMessage::Drain {
            planner: 0,
            announcement_version: mark,
            id: name(nodes - sequence as usize),
        }]);
    });
    let changed = heard(&|number| {
        let mut plan = plan(nodes, cold);
        plan.version.generation = 1 + number;
        let node = number as usize * nodes / (TOLD + 1);
        plan.nodes[node].draining = true;
        planner.publish(plan);
    });
    let _ = over.send(());
    drop(questions);
    following.join().expect("the forwarders end");
    planning.join().expect("the planner ends");
    // What is sent in a second is known from what the frames are.
    let version = Version { term: 1, generation: 1 };
    let beats = 1.0 / BEAT.as_secs_f64();
    let budgets = (0..cold).map(|i| (name(i), 1.0)).collect::<Vec<_>>();
    let answer = write_planner_message(&PlannerMessage::HeartbeatReply {
        number: 1000,
        version,
        lease_ms: 400,
        max_lease_ms: 400,
    })
    .len() as f64;
    let budgets =
        if cold > 0 { write_planner_message(&PlannerMessage::Budgets(budgets)).len() as f64 } else { 0.0 };
    let question = write_forwarder_message(&ForwarderMessage::Heartbeat { number: 1000 }).len() as f64;
    let digests = write_forwarder_message(&ForwarderMessage::Digest(digest(nodes, 0))).len() as f64;
    let all = forwarders as f64;
    Row {
        core,
        carried,
        bytes: [all * (beats * answer + budgets), all * (beats * question + digests)],
        drain,
        plan: changed,
    }
}

fn main() {
    println!(
        "forwarders nodes cold part | core of a planner | letters/s on, dropped | KB/s out, in but for letters | ms to the first, middle, last: drain | plan"
    );
    for (cold, part, letters) in
        [(0, None, false), (COLD, None, false), (0, Some(PART), false), (0, Some(PART), true)]
    {
        for forwarders in [10, 100, 1000] {
            for nodes in [100, 1000] {
                let row = played(forwarders, nodes, cold, part, letters);
                let millis = |times: [f64; 3]| times.map(|t| format!("{:>7.2}", t * 1000.0)).join(" ");
                let [out, back] = row.bytes.map(|b| b / 1000.0);
                let (core, part) = (row.core, part.unwrap_or(nodes));
                println!(
                    "{forwarders:>10} {nodes:>5} {cold:>4} {part:>4} | {core:>17.4} | {:>8.0} {:>6.0} | {out:>7.1} {back:>7.1} | {} | {}",
                    row.carried[0],
                    row.carried[1],
                    millis(row.drain),
                    millis(row.plan)
                );
            }
        }
    }
}
