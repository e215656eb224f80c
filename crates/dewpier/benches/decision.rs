//! What verdicts of the fleet cost a request: the decision module alone against the module with an observer of every attempt,
//! words of sixteen other proxies on all nodes and a judgement every 250 ms, at 100 requests a second of one proxy. No I/O; the same
//! requests and answers in both. Prints the processor time of a request in each and their ratio. `cargo bench --bench decision`.

use dewpier_peers::{Process, ProxyId, TopicHandler};
use dewpier_verdicts::{
    AttemptCounts, AttemptEnd, EvidenceEntry, ListedNode, NodeId, Settings as Rules, Verdicts,
};
use gannetproxy::{
    Action, AttemptResult, BackendEntry as Listed, BackendId, Balancer, Class, Event, ListUpdate, Outcome,
    Request, RequestId, Settings,
};
use std::hint::black_box;
use std::time::{Duration, Instant};

const NODES: u32 = 20;
const REQUESTS: u64 = 30_000;
/// Of one proxy, in a second.
const RATE: f64 = 100.0;
const ROUNDS: usize = 7;

fn node(backend: BackendId) -> NodeId {
    NodeId::new(&format!("node-{}", backend.0), "address")
}

/// All that a proxy of a fleet does beside the module.
struct Beside {
    verdicts: Verdicts,
    judged: Duration,
}

impl Beside {
    fn new() -> Self {
        let now = Duration::from_secs(60);
        let rules = Rules { fleet_size: 17, ..Rules::default() };
        let mut verdicts =
            Verdicts::new(rules, Process { proxy: ProxyId(1), incarnation: 1 }, "a", 1, 16, now);
        verdicts.set_nodes(
            (0..NODES).map(|n| ListedNode { node: node(BackendId(n + 1)), cell: 0 }).collect(),
            now,
        );
        Self { verdicts, judged: now }
    }

    fn round(&mut self, now: Duration) {
        for other in 2..18 {
            let mut bytes = Vec::new();
            for n in 0..NODES {
                let tally = AttemptCounts {
                    good: 9,
                    failed: u32::from(n.is_multiple_of(7)),
                    ..AttemptCounts::default()
                };
                let version = now.as_millis() as u32;
                EvidenceEntry {
                    version,
                    node: node(BackendId(n + 1)),
                    counts: tally,
                    ..EvidenceEntry::default()
                }
                .write(&mut bytes);
            }
            let from = Process { proxy: ProxyId(other), incarnation: 1 };
            black_box(self.verdicts.receive(from, Duration::from_millis(5), &bytes, now));
        }
        self.verdicts.tick(now);
        black_box(self.verdicts.avoided_nodes(now));
        self.judged = now;
    }
}

/// Nanoseconds a request.
fn played(mut beside: Option<Beside>) -> f64 {
    let settings = Settings { classes: vec![Class::default()], ..Settings::default() };
    let mut balancer = Balancer::new(0.0, 7, settings);
    let list: Vec<Listed> = (1..=NODES).map(|id| Listed { id: BackendId(id), ..Listed::default() }).collect();
    let mut actions = Vec::new();
    balancer.handle(0.0, Event::List(ListUpdate::Remembered(&list)), &mut actions);
    let start = Instant::now();
    for n in 0..REQUESTS {
        let at = n as f64 / RATE;
        let now = Duration::from_secs(60) + Duration::from_secs_f64(at);
        actions.clear();
        let request = Request { id: RequestId(n + 1), budget: 1.0, ..Request::default() };
        balancer.handle(at, Event::Request(request), &mut actions);
        let sent = actions.iter().find_map(|action| match action {
            Action::Send { backend, .. } => Some(*backend),
            _ => None,
        });
        let Some(backend) = sent else { continue };
        if let Some(beside) = &mut beside {
            beside.verdicts.record_start((n, 0), node(backend), 0, now);
        }
        actions.clear();
        let ended = AttemptResult {
            id: RequestId(n + 1),
            backend,
            attempt: 0,
            outcome: Outcome::Served,
            duration: 0.004,
            is_final: true,
            report: None,
        };
        balancer.handle(at + 0.004, Event::Outcome(ended), &mut actions);
        if let Some(beside) = &mut beside {
            beside.verdicts.record_end((n, 0), AttemptEnd::Served, now + Duration::from_millis(4));
            if now - beside.judged >= Duration::from_millis(250) {
                beside.round(now);
            }
        }
        black_box(&actions);
    }
    start.elapsed().as_nanos() as f64 / REQUESTS as f64
}

fn main() {
    let (mut alone, mut with): (Vec<f64>, Vec<f64>) = (Vec::new(), Vec::new());
    // In turn, so that a machine that drifts does so for both.
    for _ in 0..ROUNDS {
        alone.push(played(None));
        with.push(played(Some(Beside::new())));
    }
    let median = |values: &mut Vec<f64>| {
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    let (alone, with) = (median(&mut alone), median(&mut with));
    println!(
        "{NODES} nodes, 16 others, {RATE} requests a second: medians of {ROUNDS} rounds of {REQUESTS} requests"
    );
    println!(
        "| the module alone, ns a request | with verdicts of the fleet | ratio | of a core at that rate |"
    );
    println!("| --- | --- | --- | --- |");
    println!("| {alone:.0} | {with:.0} | {:.2} | {:.5} |", with / alone, (with - alone) * RATE / 1e9);
}
