//! Simulates a fleet of proxies in virtual time, for tests and benchmarks.

#![allow(dead_code)] // each test and benchmark uses a part of it

use dewpier_peers::{Key, Peers, Process, ProxyId, TopicHandler};
use dewpier_verdicts::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::time::Duration;

pub const STEP: Duration = Duration::from_millis(250);

/// How a simulated node responds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeBehaviour {
    Healthy,
    /// Answers this fraction of requests with errors.
    Failing(f64),
    Hanging,
    Gone,
    Slow,
    /// Can't be reached from this zone.
    UnreachableFromZone(usize),
}

#[derive(Clone)]
pub struct SimulationConfig {
    pub proxies: usize,
    pub nodes: usize,
    /// Requests a second of the whole fleet.
    pub request_rate: f64,
    pub zones: usize,
    /// The fraction of datagrams that are lost.
    pub loss: f64,
    /// Proxies exchange their evidence.
    pub pooled: bool,
    pub seed: u64,
    pub settings: Settings,
}

impl Default for SimulationConfig {
    fn default() -> Self {
        let settings = Settings::default();
        Self {
            proxies: 24,
            nodes: 8,
            request_rate: 12.0,
            zones: 1,
            loss: 0.0,
            pooled: true,
            seed: 1,
            settings,
        }
    }
}

pub struct SimulatedProxy {
    pub verdicts: Verdicts,
    pub peers: Peers,
    pub zone: usize,
    /// Sends [`FalseReports`] in place of its evidence.
    pub sends_false_reports: bool,
    pub suspended_until: Duration,
    pub receives: bool,
}

pub struct Simulation {
    pub proxies: Vec<SimulatedProxy>,
    pub proxy_indices: HashMap<ProxyId, usize>,
    pub rng: SmallRng,
    pub now: Duration,
    pub config: SimulationConfig,
    pub behaviours: Vec<NodeBehaviour>,
    /// Datagrams by arrival time and receiver.
    pub in_flight: Vec<(Duration, usize, Vec<u8>)>,
    /// Ends of attempts by time, proxy and attempt id.
    pub pending_ends: Vec<(Duration, usize, u64, AttemptEnd)>,
    pub attempts: u64,
    /// The times of the attempts at each node.
    pub attempt_times: Vec<Vec<Duration>>,
    /// Checks that found a healthy node avoided.
    pub false_avoidances: u64,
    /// Checks of a healthy node by a proxy, one in each step.
    pub checks: u64,
    pub bytes_sent: u64,
    /// Whether the link from a proxy to another one is cut at a time.
    pub is_link_cut: Box<dyn Fn(Duration, usize, usize) -> bool>,
}

pub fn node_id(i: usize) -> NodeId {
    NodeId::new(&format!("node-{i}"), "address")
}

impl Simulation {
    pub fn new(config: SimulationConfig) -> Self {
        let fleet: Vec<ProxyId> =
            (0..config.proxies).map(|i| ProxyId::from_name(&format!("proxy-{i}"))).collect();
        let proxies: Vec<SimulatedProxy> = (0..config.proxies)
            .map(|i| {
                let own_process = Process { proxy: fleet[i], incarnation: 7 };
                let mut settings = config.settings.clone();
                settings.fleet_size = config.proxies;
                let key = Key::from_secret(b"x");
                let (send_interval, max_echo_age) = (STEP, settings.max_evidence_age);
                let peer_settings = dewpier_peers::Settings {
                    own_process,
                    fleet: fleet.clone(),
                    send_interval,
                    max_echo_age,
                    max_datagrams_per_second: 100_000,
                    key,
                };
                let peers = Peers::new(peer_settings, Duration::ZERO);
                let zone = i % config.zones;
                let zone_name = format!("zone-{zone}");
                let mut verdicts = Verdicts::new(
                    settings,
                    own_process,
                    &zone_name,
                    1,
                    peers.partners().len(),
                    Duration::ZERO,
                );
                verdicts.set_nodes(
                    (0..config.nodes).map(|n| ListedNode { node: node_id(n), cell: 0 }).collect(),
                    Duration::ZERO,
                );
                SimulatedProxy {
                    verdicts,
                    peers,
                    zone,
                    sends_false_reports: false,
                    suspended_until: Duration::ZERO,
                    receives: true,
                }
            })
            .collect();
        let proxy_indices = fleet.iter().copied().zip(0..).collect();
        let rng = SmallRng::seed_from_u64(config.seed);
        Self {
            proxies,
            proxy_indices,
            rng,
            now: Duration::ZERO,
            behaviours: vec![NodeBehaviour::Healthy; config.nodes],
            in_flight: Vec::new(),
            pending_ends: Vec::new(),
            attempts: 0,
            attempt_times: vec![Vec::new(); config.nodes],
            false_avoidances: 0,
            checks: 0,
            bytes_sent: 0,
            is_link_cut: Box::new(|_, _, _| false),
            config,
        }
    }

    pub fn avoids(&self, proxy: usize, node: usize) -> bool {
        self.proxies[proxy].verdicts.avoided_nodes(self.now).iter().any(|(n, _)| *n == node_id(node))
    }

    /// The number of proxies with a verdict that ejects a node, including those that send it trials.
    pub fn count_ejecting(&self, node: usize) -> usize {
        let ejects = |proxy: &SimulatedProxy| {
            proxy
                .verdicts
                .summaries(self.now)
                .iter()
                .any(|summary| summary.node == node_id(node) && summary.ejected)
        };
        self.proxies.iter().filter(|proxy| ejects(proxy)).count()
    }

    /// The kinds of the verdicts of a proxy.
    pub fn kinds(&self, proxy: usize) -> Vec<Kind> {
        self.proxies[proxy].verdicts.summaries(self.now).iter().map(|summary| summary.kind).collect()
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending_ends).into_iter().partition(|end| end.0 <= now);
        self.pending_ends = later;
        for (at, proxy, id, end) in due {
            self.proxies[proxy].verdicts.record_end((id, 0), end, at);
        }
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|datagram| datagram.0 <= now);
        self.in_flight = later;
        for (at, receiver, bytes) in due {
            let proxy = &mut self.proxies[receiver];
            if now < proxy.suspended_until || !proxy.receives {
                self.in_flight.push((at, receiver, bytes));
                continue;
            }
            let _ = proxy.peers.receive(&bytes, now, &mut [&mut proxy.verdicts]);
        }
        let requests_per_step = self.config.request_rate * STEP.as_secs_f64() / self.config.proxies as f64;
        for proxy in 0..self.config.proxies {
            if now < self.proxies[proxy].suspended_until {
                continue;
            }
            // Draws the number of requests from a Poisson distribution.
            let mut requests = 0;
            let mut arrival = -(1.0 - self.rng.random::<f64>()).ln();
            while arrival < requests_per_step {
                requests += 1;
                arrival -= (1.0 - self.rng.random::<f64>()).ln();
            }
            let avoided: Vec<NodeId> =
                self.proxies[proxy].verdicts.avoided_nodes(now).into_iter().map(|(n, _)| n).collect();
            let usable: Vec<usize> =
                (0..self.config.nodes).filter(|n| !avoided.contains(&node_id(*n))).collect();
            for _ in 0..requests {
                let node = usable[self.rng.random_range(0..usable.len())];
                self.attempts += 1;
                self.attempt_times[node].push(now);
                self.proxies[proxy].verdicts.record_start((self.attempts, 0), node_id(node), 0, now);
                let served = (self.rng.random_range(8..15), AttemptEnd::Served);
                let (latency_ms, end) = match self.behaviours[node] {
                    NodeBehaviour::Failing(fraction) if self.rng.random_bool(fraction) => {
                        (1, AttemptEnd::Failed)
                    }
                    NodeBehaviour::UnreachableFromZone(zone) if self.proxies[proxy].zone == zone => {
                        (1, AttemptEnd::Unreached)
                    }
                    NodeBehaviour::Gone => (1, AttemptEnd::Unreached),
                    NodeBehaviour::Hanging => (10_000, AttemptEnd::Silent),
                    NodeBehaviour::Slow => (self.rng.random_range(80..150), AttemptEnd::Served),
                    _ if self.rng.random_bool(0.003) => (5, AttemptEnd::Failed),
                    _ => served,
                };
                self.pending_ends.push((now + Duration::from_millis(latency_ms), proxy, self.attempts, end));
            }
        }
        for sender in 0..self.config.proxies {
            if now < self.proxies[sender].suspended_until {
                continue;
            }
            let proxy = &mut self.proxies[sender];
            proxy.verdicts.set_answering_partners(proxy.peers.count_answering_partners(now));
            proxy.verdicts.tick(now);
            let datagrams = if self.config.pooled {
                let mut false_reports = FalseReports;
                let handler: &mut dyn TopicHandler =
                    if proxy.sends_false_reports { &mut false_reports } else { &mut proxy.verdicts };
                proxy.peers.write_round(now, &mut [handler])
            } else {
                Vec::new()
            };
            for datagram in datagrams {
                self.bytes_sent += datagram.bytes.len() as u64;
                let receiver = self.proxy_indices[&datagram.to];
                let delay = Duration::from_millis(self.rng.random_range(0..60));
                if !self.rng.random_bool(self.config.loss) && !(self.is_link_cut)(now, sender, receiver) {
                    self.in_flight.push((now + delay, receiver, datagram.bytes));
                }
            }
            let avoided = self.proxies[sender].verdicts.avoided_nodes(now);
            self.checks += self.behaviours.iter().filter(|b| **b == NodeBehaviour::Healthy).count() as u64;
            let is_healthy = |n: &NodeId| {
                (0..self.config.nodes)
                    .any(|i| node_id(i) == *n && self.behaviours[i] == NodeBehaviour::Healthy)
            };
            self.false_avoidances += avoided.iter().filter(|(n, _)| is_healthy(n)).count() as u64;
            // Checks the limit on the age of reports in every step of every proxy.
            for summary in self.proxies[sender].verdicts.summaries(now) {
                let window_ms = self.config.settings.window().as_millis() as u64;
                assert!(
                    summary.oldest_report_ms <= window_ms,
                    "seed {}: a verdict is based on a report of {} ms ago",
                    self.config.seed,
                    summary.oldest_report_ms
                );
            }
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until the condition is true, and returns how long that took; None after the timeout.
    pub fn run_until(&mut self, timeout: Duration, condition: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now < start + timeout {
            self.step();
            if condition(self) {
                return Some(self.now - start);
            }
        }
        None
    }

    /// The number of attempts at a node after a time.
    pub fn count_attempts_since(&self, node: usize, since: Duration) -> usize {
        self.attempt_times[node].iter().filter(|at| **at > since).count()
    }
}

/// Sends reports that every node fails, with a claim on each.
pub struct FalseReports;

impl TopicHandler for FalseReports {
    fn topic(&self) -> dewpier_peers::Topic {
        EVIDENCE_TOPIC
    }

    fn write_payload(&mut self, _: ProxyId, _: usize, now: Duration) -> Vec<u8> {
        let mut bytes = Vec::new();
        for n in 0..8u32 {
            let counts = AttemptCounts { failed: 250, ..AttemptCounts::default() };
            let entry = EvidenceEntry {
                version: now.as_millis() as u32,
                node: node_id(n as usize),
                counts,
                claim: Some((Claim { severe: true, kind: Kind::Gone }, 0)),
                ..EvidenceEntry::default()
            };
            entry.write(&mut bytes);
        }
        bytes
    }

    fn receive(&mut self, _: Process, _: Duration, _: &[u8], _: Duration) -> bool {
        true
    }
}

pub const BOOT_ID: u128 = 0x1234_5678_9abc_def0;

pub fn key() -> Key {
    Key::from_secret(b"x")
}

pub fn proxy_id(proxy: usize) -> ProxyId {
    ProxyId::from_name(&format!("proxy-{proxy}"))
}

/// The encoded snapshot of a simulated proxy.
pub fn encoded_snapshot(simulation: &mut Simulation, proxy: usize) -> Vec<u8> {
    let now = simulation.now;
    let mut overrides = OperatorOverrides::new(ProcessId(1));
    let classes = ["read".to_string()];
    let verdicts = &mut simulation.proxies[proxy].verdicts;
    let snapshot =
        Snapshot::capture(&LiveState { verdicts, overrides: &mut overrides, classes: &classes }, now);
    snapshot.encode(&key(), proxy_id(proxy), BootTime { boot_id: BOOT_ID, since_boot: now }).unwrap()
}

/// Ends all processes and starts others after a downtime, with or without the snapshots. Without `counts_downtime` the
/// new processes take the snapshots to be of the present.
pub fn restart(
    simulation: &mut Simulation,
    downtime: Duration,
    with_snapshots: bool,
    counts_downtime: bool,
) -> Restored {
    let snapshots: Vec<Vec<u8>> =
        (0..simulation.proxies.len()).map(|p| encoded_snapshot(simulation, p)).collect();
    // Datagrams in flight are lost.
    (simulation.in_flight, simulation.pending_ends) = (Vec::new(), Vec::new());
    simulation.now += downtime;
    let mut new = Simulation::new(simulation.config.clone());
    let mut restored = Restored::default();
    for (p, (proxy, bytes)) in new.proxies.iter_mut().zip(&snapshots).enumerate() {
        if with_snapshots {
            let now = BootTime { boot_id: BOOT_ID, since_boot: simulation.now };
            let (snapshot, elapsed) = Snapshot::decode(bytes, &key(), proxy_id(p), now).unwrap();
            let elapsed = if counts_downtime { elapsed } else { Duration::ZERO };
            let mut overrides = OperatorOverrides::new(ProcessId(1));
            let classes = ["read".to_string()];
            let mut state =
                LiveState { verdicts: &mut proxy.verdicts, overrides: &mut overrides, classes: &classes };
            let is_peer = |other: ProxyId| other != proxy_id(p);
            restored = snapshot.restore(&mut state, is_peer, elapsed, simulation.now);
        }
    }
    simulation.proxies = new.proxies;
    restored
}

/// The number of attempts at a bad node in the 10 s after a restart of the whole fleet with 2 s of downtime.
pub fn attempts_at_bad_node_after_restart(proxies: usize, seed: u64, with_snapshots: bool) -> usize {
    let seconds = Duration::from_secs;
    let mut simulation = Simulation::new(SimulationConfig {
        proxies,
        seed,
        request_rate: 24.0,
        ..SimulationConfig::default()
    });
    simulation.run(seconds(30));
    simulation.behaviours[2] = NodeBehaviour::Failing(1.0);
    simulation.run_until(seconds(12), |s| s.count_ejecting(2) == proxies);
    restart(&mut simulation, seconds(2), with_snapshots, true);
    let restarted_at = simulation.now;
    simulation.run(seconds(10));
    simulation.count_attempts_since(2, restarted_at)
}
