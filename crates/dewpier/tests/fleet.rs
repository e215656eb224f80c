//! Twelve processes of the program with eight nodes and little traffic share evidence; nodes turn bad, and links between
//! the processes fail.

use dewpier_peers::{Key, Peers, Process, ProxyId, Topic, TopicHandler};
use dewpier_standins::backend::Backend;
use dewpier_standins::mesh::LinkFaults;
use dewpier_standins::{WAIT_TIMEOUT, wait_for};
use dewpier_trials::harness::{FLEET_KEY, FleetHarness, Settings};
use dewpier_trials::record::HeldVerdict;
use dewpier_trials::schedule::RunSize;
use dewpier_verdicts::{AttemptCounts, Claim, EvidenceEntry, Kind, NodeId};
use std::collections::HashSet;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const PROXIES: usize = 12;
const NODES: usize = 8;
/// The interval between datagrams, in milliseconds.
const SEND_INTERVAL_MS: u64 = 100;
/// The age at which evidence expires, in milliseconds.
const STALE_MS: u64 = 16_000;
/// The time after which an unanswered attempt counts as silent, in milliseconds.
const SILENT_MS: u64 = 500;
/// The number of proxies whose evidence suffices for a verdict while less than one attempt in twenty fails at other nodes:
/// each adds at least ln(0.5 / 0.05) to the required 9.2. A node is in the subsets of four or five proxies.
const SUFFICIENT_PROXIES: usize = 4;
/// Extra time for late timers and a busy host.
const SLACK: Duration = Duration::from_secs(3);

/// A running fleet.
struct Fleet(FleetHarness);

impl Fleet {
    fn start(seed: u64, unused_places: usize) -> Self {
        let ms = Duration::from_millis;
        let size = RunSize { proxies: PROXIES, nodes: NODES, duration_ms: 0, node_fault_spacing_ms: 0 };
        let settings = Settings {
            send_interval: ms(SEND_INTERVAL_MS),
            max_evidence_age: ms(STALE_MS),
            silent_after: ms(SILENT_MS),
            unused_places,
            ..Settings::default()
        };
        Self(FleetHarness::start(seed, size, settings))
    }

    /// Returns the verdicts of a proxy and checks the age of their evidence.
    fn verdicts_of(&self, proxy: usize) -> Vec<HeldVerdict> {
        let verdicts = self.0.read_verdicts(proxy).expect("an answer in time");
        let max_age = Duration::from_millis(STALE_MS / 2 + SEND_INTERVAL_MS + 1000);
        let old = verdicts.iter().find(|v| v.oldest_report_age > max_age);
        assert!(old.is_none(), "proxy {proxy}: verdict with expired evidence: {old:?}");
        verdicts
    }

    fn ejects(&self, proxy: usize, node: usize) -> bool {
        self.verdicts_of(proxy).iter().any(|v| v.node == node && v.is_ejected)
    }

    fn count_ejecting(&self, node: usize) -> usize {
        (0..PROXIES).filter(|p| self.ejects(*p, node)).count()
    }

    /// Returns when the mock node had received requests of `count` proxies after `since` within the evidence window.
    fn reached_by(&self, node: usize, since: Instant, count: usize) -> Option<Instant> {
        let window = Duration::from_millis(STALE_MS / 2);
        let mut arrivals = self.0.nodes[node].arrivals();
        arrivals.retain(|a| a.received_at > since);
        let count_senders = |until: Instant| {
            let within = arrivals.iter().filter(|a| a.received_at <= until && a.received_at + window > until);
            within.map(|a| &a.order_id).collect::<HashSet<_>>().len()
        };
        arrivals.iter().map(|a| a.received_at).find(|at| count_senders(*at) >= count)
    }
}

/// Makes a node bad; returns whether it was avoided within the bound.
fn is_avoided_in_time(fleet: &Fleet, node: usize, lost: f64, make_bad: impl Fn(&Backend)) -> bool {
    let since = Instant::now();
    make_bad(&fleet.0.nodes[node]);
    loop {
        if fleet.count_ejecting(node) * 20 >= PROXIES * 19 {
            return true;
        }
        let reached_at = fleet.reached_by(node, since, SUFFICIENT_PROXIES);
        if reached_at.is_some_and(|at| at.elapsed() > fleet.0.bounds().avoidance_delay(lost) + SLACK) {
            break;
        }
        assert!(
            reached_at.is_some() || since.elapsed() < 2 * WAIT_TIMEOUT,
            "too few proxies send to the node"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    for proxy in 0..PROXIES {
        println!("{proxy}: {}", fleet.0.call_operator(proxy, "verdicts").unwrap_or_default());
    }
    println!("{}", fleet.0.call_operator(0, "vars").unwrap_or_default());
    false
}

#[test]
fn bad_node_is_avoided_within_the_bound_unless_all_datagrams_are_lost() {
    let fleet = Fleet::start(1, 0);
    assert!(
        is_avoided_in_time(&fleet, 2, 0.0, |b| b.set_response_time(Duration::from_secs(60))),
        "a hanging node"
    );
    assert!(fleet.verdicts_of(0).iter().any(|v| v.node == 2 && v.kind == "silent"));
    // Half of all datagrams are lost, some are duplicated, and some are reordered.
    let delay = Duration::from_millis(50);
    fleet.0.datagram_network.set_faults(
        LinkFaults { lost_per_mille: 500, duplicated_per_mille: 200, max_delay: delay, cut: false },
        |_, _| true,
    );
    assert!(is_avoided_in_time(&fleet, 5, 0.5, |b| b.set_failing(true)), "a node that answers 500");
    assert!(fleet.0.read_metric(3, "datagrams_refused.doubled") > Some(0));
    // Without datagrams no proxy ejects a node, as its own evidence does not suffice.
    fleet.0.datagram_network.set_faults(LinkFaults { cut: true, ..LinkFaults::default() }, |_, _| true);
    fleet.0.nodes[2].set_response_time(Duration::from_millis(30));
    fleet.0.nodes[5].set_failing(false);
    wait_for("expiry of the verdicts", || (0..PROXIES).all(|p| !fleet.ejects(p, 2) && !fleet.ejects(p, 5)));
    assert!(
        !is_avoided_in_time(&fleet, 6, 0.0, |b| b.set_failing(true)),
        "the bound must not hold without datagrams"
    );
}

#[test]
fn partitioned_deceived_and_suspended_proxies_use_no_expired_or_false_evidence() {
    // One proxy reports falsely that all nodes fail. Its reports alone cause no verdict, and trials of other proxies end an
    // existing one.
    let fleet = Fleet::start(2, 1);
    let false_reporter = FalseReporter::start(&fleet);
    // Proxy 4 receives nothing, and nothing of proxy 5 arrives.
    fleet
        .0
        .datagram_network
        .set_faults(LinkFaults { cut: true, ..LinkFaults::default() }, |from, to| to == 4 || from == 5);
    fleet.0.nodes[2].set_failing(true);
    wait_for("verdict of all connected proxies", || {
        (0..PROXIES).filter(|p| ![4, 5].contains(p)).all(|p| fleet.ejects(p, 2))
    });
    assert!(!fleet.ejects(4, 2), "proxy 4 receives no evidence");
    // Proxy 7 is suspended with the verdict; meanwhile the node recovers.
    fleet.0.send_signal(7, "-STOP");
    fleet.0.nodes[2].set_failing(false);
    let suspended_at = Instant::now();
    // False reports keep the verdict until two trials succeed within half of the bound. A proxy drawn for trials may not
    // have the node in its subset, so that several turns of a quarter of the bound may pass.
    let is_lifted = || (0..PROXIES).filter(|p| *p != 7).all(|p| !fleet.ejects(p, 2));
    while !is_lifted() {
        assert!(suspended_at.elapsed() < 4 * WAIT_TIMEOUT, "trials must end the verdict");
        std::thread::sleep(Duration::from_millis(50));
    }
    println!("trials ended the verdict after {:?}", suspended_at.elapsed());
    std::thread::sleep(Duration::from_millis(STALE_MS / 2 + 500).saturating_sub(suspended_at.elapsed()));
    fleet.0.send_signal(7, "-CONT");
    // The socket of the resumed proxy is full of old datagrams; its next verdicts follow within a round.
    std::thread::sleep(Duration::from_millis(5 * SEND_INTERVAL_MS));
    assert!(!fleet.ejects(7, 2), "the resumed proxy uses old evidence");
    fleet.0.datagram_network.set_faults(LinkFaults::default(), |_, _| true);
    wait_for("datagrams between all proxies", || {
        (0..PROXIES).all(|p| fleet.0.read_metric(p, "partners_answering") == Some(PROXIES as u64))
    });
    // A busy host may cause short verdicts.
    wait_for("end of the false verdicts", || (0..NODES).all(|node| fleet.count_ejecting(node) == 0));
    assert!(false_reporter.accepted() > 0, "the false reports must arrive");
}

/// A process with the key of the fleet that reports that all nodes fail.
struct FalseReporter {
    is_over: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<u64>>,
    accepted: Arc<std::sync::atomic::AtomicU64>,
}

/// Writes false evidence on these nodes, with increasing version numbers.
struct FalseEvidence(Vec<NodeId>, u32);

impl TopicHandler for FalseEvidence {
    fn topic(&self) -> Topic {
        dewpier_verdicts::EVIDENCE_TOPIC
    }

    fn write_payload(&mut self, _: ProxyId, _: usize, _: Duration) -> Vec<u8> {
        let mut bytes = Vec::new();
        self.1 += 1;
        for node in &self.0 {
            let counts = AttemptCounts { failed: 200, ..AttemptCounts::default() };
            let claim = Some((Claim { severe: true, kind: Kind::Gone }, 0));
            EvidenceEntry { version: self.1, node: *node, counts, claim, ..EvidenceEntry::default() }
                .write(&mut bytes);
        }
        bytes
    }

    fn receive(&mut self, _: Process, _: Duration, _: &[u8], _: Duration) -> bool {
        true
    }
}

impl FalseReporter {
    fn start(fleet: &Fleet) -> Self {
        let name = |i: usize| ProxyId::from_name(&format!("proxy-{i}"));
        let socket = UdpSocket::bind(fleet.0.datagram_network.listen_addresses[PROXIES]).unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
        let destinations: Vec<(ProxyId, SocketAddr)> =
            (0..PROXIES).map(|i| (name(i), fleet.0.datagram_network.send_address(PROXIES, i))).collect();
        let id = |(i, b): (usize, &Backend)| NodeId::new(&format!("pricing-{i:02}"), &b.address.to_string());
        let nodes: Vec<NodeId> = fleet.0.nodes.iter().enumerate().map(id).collect();
        let is_over = Arc::new(AtomicBool::new(false));
        let accepted = Arc::new(std::sync::atomic::AtomicU64::new(0));
        let (is_stopped, count) = (is_over.clone(), accepted.clone());
        let thread = std::thread::spawn(move || {
            let start = Instant::now();
            let (send_interval, max_echo_age) =
                (Duration::from_millis(SEND_INTERVAL_MS), Duration::from_secs(4));
            let own_process = Process { proxy: name(PROXIES), incarnation: 1 };
            let key = Key::from_secret(FLEET_KEY);
            let fleet = (0..PROXIES).map(name).collect();
            let settings = dewpier_peers::Settings {
                own_process,
                fleet,
                send_interval,
                max_echo_age,
                max_datagrams_per_second: 10_000,
                key,
            };
            let (mut peers, mut evidence) = (Peers::new(settings, Duration::ZERO), FalseEvidence(nodes, 0));
            let mut next = Duration::ZERO;
            let mut buffer = [0; 300];
            while !is_stopped.load(Ordering::SeqCst) {
                if let Ok(length) = socket.recv(&mut buffer) {
                    let _ = peers.receive(&buffer[..length], start.elapsed(), &mut [&mut evidence]);
                    count.store(peers.counts.accepted, Ordering::SeqCst);
                }
                if start.elapsed() >= next {
                    next = start.elapsed() + send_interval;
                    for datagram in peers.write_round(start.elapsed(), &mut [&mut evidence]) {
                        let address = destinations.iter().find(|(name, _)| *name == datagram.to).unwrap().1;
                        let _ = socket.send_to(&datagram.bytes, address);
                    }
                }
            }
            peers.counts.accepted
        });
        Self { is_over, thread: Some(thread), accepted }
    }

    /// Returns the number of accepted datagrams; their senders accepted the false reports.
    fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }
}

impl Drop for FalseReporter {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        self.thread.take().into_iter().for_each(|t| drop(t.join()));
    }
}
