//! Measures the cost of fleet verdicts per request: the decision module alone, and with an observer of every attempt,
//! reports of sixteen other proxies on all nodes and an update of the verdicts every 250 ms, at 100 requests per second.
//! Both cases handle the same requests and answers without I/O. Prints the time per request in each case and their ratio.
//!
//! Run with `cargo bench --bench decision`.

use dewpier_peers::{Process, ProxyId, TopicHandler};
use dewpier_verdicts::{
    AttemptCounts, AttemptEnd, EvidenceEntry, ListedNode, NodeId, Settings as VerdictSettings, Verdicts,
};
use gannetproxy::{
    Action, AttemptResult, BackendEntry as Listed, BackendId, Balancer, Class, Event, ListUpdate, Outcome,
    Request, RequestId, Settings,
};
use std::hint::black_box;
use std::time::{Duration, Instant};

const NODES: u32 = 20;
const REQUESTS: u64 = 30_000;
/// Requests per second of one proxy.
const REQUEST_RATE: f64 = 100.0;
const ROUNDS: usize = 7;

fn node(backend: BackendId) -> NodeId {
    NodeId::new(&format!("node-{}", backend.0), "address")
}

/// The verdicts of a proxy in a fleet.
struct FleetVerdicts {
    verdicts: Verdicts,
    updated_at: Duration,
}

impl FleetVerdicts {
    fn new() -> Self {
        let now = Duration::from_secs(60);
        let settings = VerdictSettings { fleet_size: 17, ..VerdictSettings::default() };
        let mut verdicts =
            Verdicts::new(settings, Process { proxy: ProxyId(1), incarnation: 1 }, "a", 1, 16, now);
        verdicts.set_nodes(
            (0..NODES).map(|n| ListedNode { node: node(BackendId(n + 1)), cell: 0 }).collect(),
            now,
        );
        Self { verdicts, updated_at: now }
    }

    /// Receives the reports of all other proxies and updates the verdicts.
    fn run_round(&mut self, now: Duration) {
        for other in 2..18 {
            let mut bytes = Vec::new();
            for n in 0..NODES {
                let counts = AttemptCounts {
                    good: 9,
                    failed: u32::from(n.is_multiple_of(7)),
                    ..AttemptCounts::default()
                };
                let version = now.as_millis() as u32;
                EvidenceEntry { version, node: node(BackendId(n + 1)), counts, ..EvidenceEntry::default() }
                    .write(&mut bytes);
            }
            let sender = Process { proxy: ProxyId(other), incarnation: 1 };
            black_box(self.verdicts.receive(sender, Duration::from_millis(5), &bytes, now));
        }
        self.verdicts.tick(now);
        black_box(self.verdicts.avoided_nodes(now));
        self.updated_at = now;
    }
}

/// Handles all requests and returns the nanoseconds per request.
fn measure(mut fleet: Option<FleetVerdicts>) -> f64 {
    let settings = Settings { classes: vec![Class::default()], ..Settings::default() };
    let mut balancer = Balancer::new(0.0, 7, settings);
    let list: Vec<Listed> = (1..=NODES).map(|id| Listed { id: BackendId(id), ..Listed::default() }).collect();
    let mut actions = Vec::new();
    balancer.handle(0.0, Event::List(ListUpdate::Remembered(&list)), &mut actions);
    let start = Instant::now();
    for n in 0..REQUESTS {
        let at = n as f64 / REQUEST_RATE;
        let now = Duration::from_secs(60) + Duration::from_secs_f64(at);
        actions.clear();
        let request = Request { id: RequestId(n + 1), budget: 1.0, ..Request::default() };
        balancer.handle(at, Event::Request(request), &mut actions);
        let sent = actions.iter().find_map(|action| match action {
            Action::Send { backend, .. } => Some(*backend),
            _ => None,
        });
        let Some(backend) = sent else { continue };
        if let Some(fleet) = &mut fleet {
            fleet.verdicts.record_start((n, 0), node(backend), 0, now);
        }
        actions.clear();
        let result = AttemptResult {
            id: RequestId(n + 1),
            backend,
            attempt: 0,
            outcome: Outcome::Served,
            duration: 0.004,
            is_final: true,
            report: None,
        };
        balancer.handle(at + 0.004, Event::Outcome(result), &mut actions);
        if let Some(fleet) = &mut fleet {
            fleet.verdicts.record_end((n, 0), AttemptEnd::Served, now + Duration::from_millis(4));
            if now - fleet.updated_at >= Duration::from_millis(250) {
                fleet.run_round(now);
            }
        }
        black_box(&actions);
    }
    start.elapsed().as_nanos() as f64 / REQUESTS as f64
}

fn main() {
    let (mut alone, mut with_verdicts): (Vec<f64>, Vec<f64>) = (Vec::new(), Vec::new());
    // Alternating rounds, so that changes of the host's speed affect both cases.
    for _ in 0..ROUNDS {
        alone.push(measure(None));
        with_verdicts.push(measure(Some(FleetVerdicts::new())));
    }
    let median = |values: &mut Vec<f64>| {
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    let (alone, with_verdicts) = (median(&mut alone), median(&mut with_verdicts));
    println!(
        "{NODES} nodes, 16 other proxies, {REQUEST_RATE} requests per second: medians of {ROUNDS} rounds of {REQUESTS} requests"
    );
    println!(
        "| decision module alone, ns per request | with fleet verdicts, ns per request | ratio | fraction of a core at that rate |"
    );
    println!("| --- | --- | --- | --- |");
    println!(
        "| {alone:.0} | {with_verdicts:.0} | {:.2} | {:.5} |",
        with_verdicts / alone,
        (with_verdicts - alone) * REQUEST_RATE / 1e9
    );
}
