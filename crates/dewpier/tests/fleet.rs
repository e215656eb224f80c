//! Twelve processes of the program before eight nodes, with little traffic each, that tell each other what they
//! see; nodes turn bad, and links between the processes fail.

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
/// Settings of all, in milliseconds.
const EVERY: u64 = 100;
const STALE: u64 = 16_000;
const SILENT: u64 = 500;
/// As long as less than one attempt in twenty goes wrong at other nodes, whatever the machine does, so many proxies are
/// enough: each adds at least ln(0.5 / 0.05) to the 9.2 that one false verdict in 10,000 asks for. A node is in the
/// subsets of four or five of the proxies, three nodes in each.
const ENOUGH: usize = 4;
/// For timers and machines that are late.
const SLACK: Duration = Duration::from_secs(3);

struct World(FleetHarness);

impl World {
    fn start(seed: u64, empty: usize) -> Self {
        let ms = Duration::from_millis;
        let size = RunSize { proxies: PROXIES, nodes: NODES, duration_ms: 0, node_fault_spacing_ms: 0 };
        let settings = Settings {
            send_interval: ms(EVERY),
            max_evidence_age: ms(STALE),
            silent_after: ms(SILENT),
            unused_places: empty,
            ..Settings::default()
        };
        Self(FleetHarness::start(seed, size, settings))
    }

    /// What a proxy holds. The bound on staleness is checked with it.
    fn held(&self, proxy: usize) -> Vec<HeldVerdict> {
        let held = self.0.read_verdicts(proxy).expect("an answer in time");
        let most = Duration::from_millis(STALE / 2 + EVERY + 1000);
        let old = held.iter().find(|h| h.oldest_report_age > most);
        assert!(old.is_none(), "proxy {proxy}: rests on an old word: {old:?}");
        held
    }

    fn keeps(&self, proxy: usize, node: usize) -> bool {
        self.held(proxy).iter().any(|h| h.node == node && h.is_ejected)
    }

    fn keep_out(&self, node: usize) -> usize {
        (0..PROXIES).filter(|p| self.keeps(*p, node)).count()
    }

    /// When so many different proxies had sent to a node since then within the time in which attempts count, at the
    /// stand-in.
    fn seen_by(&self, node: usize, since: Instant, count: usize) -> Option<Instant> {
        let window = Duration::from_millis(STALE / 2);
        let mut arrivals = self.0.nodes[node].arrivals();
        arrivals.retain(|a| a.received_at > since);
        let met = |until: Instant| {
            let within = arrivals.iter().filter(|a| a.received_at <= until && a.received_at + window > until);
            within.map(|a| &a.order_id).collect::<HashSet<_>>().len()
        };
        arrivals.iter().map(|a| a.received_at).find(|at| met(*at) >= count)
    }
}

/// Plays a node that turns bad; true where the bound was kept.
fn turns_bad(world: &World, node: usize, lost: f64, bad: impl Fn(&Backend)) -> bool {
    let since = Instant::now();
    bad(&world.0.nodes[node]);
    loop {
        if world.keep_out(node) * 20 >= PROXIES * 19 {
            return true;
        }
        let met = world.seen_by(node, since, ENOUGH);
        if met.is_some_and(|met| met.elapsed() > world.0.bounds().avoidance_delay(lost) + SLACK) {
            break;
        }
        assert!(
            met.is_some() || since.elapsed() < 2 * WAIT_TIMEOUT,
            "too few proxies send there to try anything"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    for proxy in 0..PROXIES {
        println!("{proxy}: {}", world.0.call_operator(proxy, "verdicts").unwrap_or_default());
    }
    println!("{}", world.0.call_operator(0, "vars").unwrap_or_default());
    false
}

#[test]
fn a_node_that_turns_bad_is_avoided_within_the_bound_and_not_where_nothing_is_heard() {
    let world = World::start(1, 0);
    assert!(turns_bad(&world, 2, 0.0, |b| b.set_response_time(Duration::from_secs(60))), "it hangs");
    assert!(world.held(0).iter().any(|h| h.node == 2 && h.kind == "silent"));
    // Half of all datagrams are lost, some come twice, and they overtake each other.
    let delay = Duration::from_millis(50);
    world.0.datagram_network.set_faults(
        LinkFaults { lost_per_mille: 500, duplicated_per_mille: 200, max_delay: delay, cut: false },
        |_, _| true,
    );
    assert!(turns_bad(&world, 5, 0.5, |b| b.set_failing(true)), "it answers 500");
    assert!(world.0.read_metric(3, "datagrams_refused.doubled") > Some(0));
    // Where the proxies don't hear each other none condemns anything, as one alone is not believed.
    world.0.datagram_network.set_faults(LinkFaults { cut: true, ..LinkFaults::default() }, |_, _| true);
    world.0.nodes[2].set_response_time(Duration::from_millis(30));
    world.0.nodes[5].set_failing(false);
    wait_for("verdicts to lapse", || (0..PROXIES).all(|p| !world.keeps(p, 2) && !world.keeps(p, 5)));
    assert!(!turns_bad(&world, 6, 0.0, |b| b.set_failing(true)), "the bound holds without what keeps it");
}

#[test]
fn cut_off_lied_to_and_standing_still_proxies_go_by_nothing_old_or_false() {
    // One of the three that have to agree is a liar: all nodes fail, it says, and it holds a verdict on each. Its word
    // brings none about, and one that stands is lifted by the trials of others.
    let world = World::start(2, 1);
    let liar = Liar::start(&world);
    // One hears nobody, one is heard by nobody, so that nobody answers its questions.
    world
        .0
        .datagram_network
        .set_faults(LinkFaults { cut: true, ..LinkFaults::default() }, |from, to| to == 4 || from == 5);
    world.0.nodes[2].set_failing(true);
    wait_for("a verdict of all that hear", || {
        (0..PROXIES).filter(|p| ![4, 5].contains(p)).all(|p| world.keeps(p, 2))
    });
    assert!(!world.keeps(4, 2), "it hears nobody");
    // One stands still while it holds the verdict; meanwhile the node recovers and everybody knows.
    world.0.send_signal(7, "-STOP");
    world.0.nodes[2].set_failing(false);
    let stopped = Instant::now();
    // A liar's word keeps it up until two trials go well within half of the bound. Who is drawn to try may not have
    // the node in its subset, so that several turns, of a quarter of the bound each, can go by.
    let lifted = || (0..PROXIES).filter(|p| *p != 7).all(|p| !world.keeps(p, 2));
    while !lifted() {
        assert!(stopped.elapsed() < 4 * WAIT_TIMEOUT, "trials lift it");
        std::thread::sleep(Duration::from_millis(50));
    }
    println!("trials lifted it after {:?}", stopped.elapsed());
    std::thread::sleep(Duration::from_millis(STALE / 2 + 500).saturating_sub(stopped.elapsed()));
    world.0.send_signal(7, "-CONT");
    // Its socket is full of what was said then. Its first judgement is a round away.
    std::thread::sleep(Duration::from_millis(5 * EVERY));
    assert!(!world.keeps(7, 2), "after it stood still");
    world.0.datagram_network.set_faults(LinkFaults::default(), |_, _| true);
    wait_for("talk of all with all", || {
        (0..PROXIES).all(|p| world.0.read_metric(p, "partners_answering") == Some(PROXIES as u64))
    });
    // A busy machine may make three others complain of a node now and then, never for long.
    wait_for("the liar alone to be disbelieved", || (0..NODES).all(|node| world.keep_out(node) == 0));
    assert!(liar.heard() > 0, "it was listened to");
}

/// A process that has the key and says that all nodes fail.
struct Liar {
    over: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<u64>>,
    taken: Arc<std::sync::atomic::AtomicU64>,
}

struct Lies(Vec<NodeId>, u32);

impl TopicHandler for Lies {
    fn topic(&self) -> Topic {
        dewpier_verdicts::EVIDENCE_TOPIC
    }

    fn write_payload(&mut self, _: ProxyId, _: usize, _: Duration) -> Vec<u8> {
        let mut bytes = Vec::new();
        self.1 += 1;
        for node in &self.0 {
            let tally = AttemptCounts { failed: 200, ..AttemptCounts::default() };
            let claim = Some((Claim { severe: true, kind: Kind::Gone }, 0));
            EvidenceEntry { version: self.1, node: *node, counts: tally, claim, ..EvidenceEntry::default() }
                .write(&mut bytes);
        }
        bytes
    }

    fn receive(&mut self, _: Process, _: Duration, _: &[u8], _: Duration) -> bool {
        true
    }
}

impl Liar {
    fn start(world: &World) -> Self {
        let name = |i: usize| ProxyId::from_name(&format!("proxy-{i}"));
        let socket = UdpSocket::bind(world.0.datagram_network.listen_addresses[PROXIES]).unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
        let to: Vec<(ProxyId, SocketAddr)> =
            (0..PROXIES).map(|i| (name(i), world.0.datagram_network.send_address(PROXIES, i))).collect();
        let id = |(i, b): (usize, &Backend)| NodeId::new(&format!("pricing-{i:02}"), &b.address.to_string());
        let nodes: Vec<NodeId> = world.0.nodes.iter().enumerate().map(id).collect();
        let over = Arc::new(AtomicBool::new(false));
        let taken = Arc::new(std::sync::atomic::AtomicU64::new(0));
        let (known, count) = (over.clone(), taken.clone());
        let thread = std::thread::spawn(move || {
            let start = Instant::now();
            let (every, stale) = (Duration::from_millis(EVERY), Duration::from_secs(4));
            let me = Process { proxy: name(PROXIES), incarnation: 1 };
            let key = Key::from_secret(FLEET_KEY);
            let others = (0..PROXIES).map(name).collect();
            let settings = dewpier_peers::Settings {
                own_process: me,
                fleet: others,
                send_interval: every,
                max_echo_age: stale,
                max_datagrams_per_second: 10_000,
                key,
            };
            let (mut peers, mut lies) = (Peers::new(settings, Duration::ZERO), Lies(nodes, 0));
            let mut next = Duration::ZERO;
            let mut buffer = [0; 300];
            while !known.load(Ordering::SeqCst) {
                if let Ok(length) = socket.recv(&mut buffer) {
                    let _ = peers.receive(&buffer[..length], start.elapsed(), &mut [&mut lies]);
                    count.store(peers.counts.accepted, Ordering::SeqCst);
                }
                if start.elapsed() >= next {
                    next = start.elapsed() + every;
                    for out in peers.write_round(start.elapsed(), &mut [&mut lies]) {
                        let at = to.iter().find(|(name, _)| *name == out.to).unwrap().1;
                        let _ = socket.send_to(&out.bytes, at);
                    }
                }
            }
            peers.counts.accepted
        });
        Self { over, thread: Some(thread), taken }
    }

    /// Datagrams that answered it: whoever sent them took its own for good.
    fn heard(&self) -> u64 {
        self.taken.load(Ordering::SeqCst)
    }
}

impl Drop for Liar {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        self.thread.take().into_iter().for_each(|t| drop(t.join()));
    }
}
