//! A fleet of cores in virtual time, that tests and the measurement share.

#![allow(dead_code)] // not both need all of it

use dewpier_peers::{Key, Peers, Process, ProxyId, TopicHandler};
use dewpier_verdicts::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::time::Duration;

pub const STEP: Duration = Duration::from_millis(250);

/// What a node does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Does {
    Well,
    Fails(f64),
    Hangs,
    IsGone,
    IsSlow,
    FailsIn(usize),
}

#[derive(Clone)]
pub struct World {
    pub proxies: usize,
    pub nodes: usize,
    /// Requests a second of the whole fleet.
    pub rate: f64,
    pub zones: usize,
    pub loss: f64,
    pub pooled: bool,
    pub seed: u64,
    pub settings: Settings,
}

impl Default for World {
    fn default() -> Self {
        let settings = Settings::default();
        Self { proxies: 24, nodes: 8, rate: 12.0, zones: 1, loss: 0.0, pooled: true, seed: 1, settings }
    }
}

pub struct Proxy {
    pub verdicts: Verdicts,
    pub peers: Peers,
    pub zone: usize,
    /// What it says of every node, whatever it saw.
    pub lies: bool,
    pub stands_until: Duration,
    pub reads: bool,
}

pub struct Played {
    pub proxies: Vec<Proxy>,
    pub names: HashMap<ProxyId, usize>,
    pub rng: SmallRng,
    pub now: Duration,
    pub world: World,
    pub does: Vec<Does>,
    pub under_way: Vec<(Duration, usize, Vec<u8>)>,
    pub answers: Vec<(Duration, usize, u64, AttemptEnd)>,
    pub attempts: u64,
    /// Attempts at each node by the second.
    pub at_nodes: Vec<Vec<Duration>>,
    /// Steps in which a sound node was avoided by some proxy, and nodes times steps.
    pub false_avoids: u64,
    pub looks: u64,
    pub bytes: u64,
    /// Which ways are cut, from and to.
    pub cut: Box<dyn Fn(Duration, usize, usize) -> bool>,
}

pub fn node(i: usize) -> NodeId {
    NodeId::new(&format!("node-{i}"), "address")
}

impl Played {
    pub fn new(world: World) -> Self {
        let all: Vec<ProxyId> =
            (0..world.proxies).map(|i| ProxyId::from_name(&format!("proxy-{i}"))).collect();
        let proxies: Vec<Proxy> = (0..world.proxies)
            .map(|i| {
                let me = Process { proxy: all[i], incarnation: 7 };
                let mut settings = world.settings.clone();
                settings.fleet_size = world.proxies;
                let key = Key::from_secret(b"x");
                let (every, stale) = (STEP, settings.max_evidence_age);
                let told = dewpier_peers::Settings {
                    own_process: me,
                    fleet: all.clone(),
                    send_interval: every,
                    max_echo_age: stale,
                    max_datagrams_per_second: 100_000,
                    key,
                };
                let peers = Peers::new(told, Duration::ZERO);
                let zone = i % world.zones;
                let zone_name = format!("zone-{zone}");
                let mut verdicts =
                    Verdicts::new(settings, me, &zone_name, 1, peers.partners().len(), Duration::ZERO);
                verdicts.set_nodes(
                    (0..world.nodes).map(|n| ListedNode { node: node(n), cell: 0 }).collect(),
                    Duration::ZERO,
                );
                Proxy { verdicts, peers, zone, lies: false, stands_until: Duration::ZERO, reads: true }
            })
            .collect();
        let names = all.iter().copied().zip(0..).collect();
        let rng = SmallRng::seed_from_u64(world.seed);
        Self {
            proxies,
            names,
            rng,
            now: Duration::ZERO,
            does: vec![Does::Well; world.nodes],
            under_way: Vec::new(),
            answers: Vec::new(),
            attempts: 0,
            at_nodes: vec![Vec::new(); world.nodes],
            false_avoids: 0,
            looks: 0,
            bytes: 0,
            cut: Box::new(|_, _, _| false),
            world,
        }
    }

    pub fn avoids(&self, proxy: usize, which: usize) -> bool {
        self.proxies[proxy].verdicts.avoided_nodes(self.now).iter().any(|(n, _)| *n == node(which))
    }

    /// How many proxies hold a verdict that keeps it out, whether they are among those that try it or not.
    pub fn out_at(&self, which: usize) -> usize {
        let out =
            |p: &Proxy| p.verdicts.summaries(self.now).iter().any(|r| r.node == node(which) && r.ejected);
        self.proxies.iter().filter(|p| out(p)).count()
    }

    pub fn kinds(&self, proxy: usize) -> Vec<Kind> {
        self.proxies[proxy].verdicts.summaries(self.now).iter().map(|r| r.kind).collect()
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.answers).into_iter().partition(|a| a.0 <= now);
        self.answers = later;
        for (at, who, id, end) in due {
            self.proxies[who].verdicts.record_end((id, 0), end, at);
        }
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.under_way).into_iter().partition(|a| a.0 <= now);
        self.under_way = later;
        for (at, who, bytes) in due {
            let proxy = &mut self.proxies[who];
            if now < proxy.stands_until || !proxy.reads {
                self.under_way.push((at, who, bytes));
                continue;
            }
            let _ = proxy.peers.receive(&bytes, now, &mut [&mut proxy.verdicts]);
        }
        let each = self.world.rate * STEP.as_secs_f64() / self.world.proxies as f64;
        for who in 0..self.world.proxies {
            if now < self.proxies[who].stands_until {
                continue;
            }
            // A Poisson draw.
            let mut sends = 0;
            let mut left = -(1.0 - self.rng.random::<f64>()).ln();
            while left < each {
                sends += 1;
                left -= (1.0 - self.rng.random::<f64>()).ln();
            }
            let avoided: Vec<NodeId> =
                self.proxies[who].verdicts.avoided_nodes(now).into_iter().map(|(n, _)| n).collect();
            let open: Vec<usize> = (0..self.world.nodes).filter(|n| !avoided.contains(&node(*n))).collect();
            for _ in 0..sends {
                let to = open[self.rng.random_range(0..open.len())];
                self.attempts += 1;
                self.at_nodes[to].push(now);
                self.proxies[who].verdicts.record_start((self.attempts, 0), node(to), 0, now);
                let well = (self.rng.random_range(8..15), AttemptEnd::Served);
                let (ms, end) = match self.does[to] {
                    Does::Fails(part) if self.rng.random_bool(part) => (1, AttemptEnd::Failed),
                    Does::FailsIn(zone) if self.proxies[who].zone == zone => (1, AttemptEnd::Unreached),
                    Does::IsGone => (1, AttemptEnd::Unreached),
                    Does::Hangs => (10_000, AttemptEnd::Silent),
                    Does::IsSlow => (self.rng.random_range(80..150), AttemptEnd::Served),
                    _ if self.rng.random_bool(0.003) => (5, AttemptEnd::Failed),
                    _ => well,
                };
                self.answers.push((now + Duration::from_millis(ms), who, self.attempts, end));
            }
        }
        for who in 0..self.world.proxies {
            if now < self.proxies[who].stands_until {
                continue;
            }
            let proxy = &mut self.proxies[who];
            proxy.verdicts.set_answering_partners(proxy.peers.count_answering_partners(now));
            proxy.verdicts.tick(now);
            let outs = if self.world.pooled {
                let mut liar = Liar;
                let carried: &mut dyn TopicHandler = if proxy.lies { &mut liar } else { &mut proxy.verdicts };
                proxy.peers.write_round(now, &mut [carried])
            } else {
                Vec::new()
            };
            for out in outs {
                self.bytes += out.bytes.len() as u64;
                let to = self.names[&out.to];
                let wait = Duration::from_millis(self.rng.random_range(0..60));
                if !self.rng.random_bool(self.world.loss) && !(self.cut)(now, who, to) {
                    self.under_way.push((now + wait, to, out.bytes));
                }
            }
            let avoided = self.proxies[who].verdicts.avoided_nodes(now);
            self.looks += self.does.iter().filter(|d| **d == Does::Well).count() as u64;
            let sound =
                |n: &NodeId| (0..self.world.nodes).any(|i| node(i) == *n && self.does[i] == Does::Well);
            self.false_avoids += avoided.iter().filter(|(n, _)| sound(n)).count() as u64;
            // The bound, at every step of every proxy.
            for report in self.proxies[who].verdicts.summaries(now) {
                let window = self.world.settings.window().as_millis() as u64;
                assert!(
                    report.oldest_report_ms <= window,
                    "seed {}: rests on {} ms",
                    self.world.seed,
                    report.oldest_report_ms
                );
            }
        }
    }

    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    pub fn run_until(&mut self, most: Duration, seen: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now < start + most {
            self.step();
            if seen(self) {
                return Some(self.now - start);
            }
        }
        None
    }

    pub fn since(&self, which: usize, at: Duration) -> usize {
        self.at_nodes[which].iter().filter(|t| **t > at).count()
    }
}

/// Says that every node fails, and that it holds a verdict on each.
pub struct Liar;

impl TopicHandler for Liar {
    fn topic(&self) -> dewpier_peers::Topic {
        EVIDENCE_TOPIC
    }

    fn write_payload(&mut self, _: ProxyId, _: usize, now: Duration) -> Vec<u8> {
        let mut bytes = Vec::new();
        for n in 0..8u32 {
            let counts = AttemptCounts { failed: 250, ..AttemptCounts::default() };
            let entry = EvidenceEntry {
                version: now.as_millis() as u32,
                node: node(n as usize),
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

pub const BOOT: u128 = 0x1234_5678_9abc_def0;

pub fn key() -> Key {
    Key::from_secret(b"x")
}

pub fn name(proxy: usize) -> ProxyId {
    ProxyId::from_name(&format!("proxy-{proxy}"))
}

/// What a proxy of a played fleet keeps.
pub fn kept(played: &mut Played, proxy: usize) -> Vec<u8> {
    let now = played.now;
    let mut rulings = OperatorOverrides::new(ProcessId(1));
    let classes = ["read".to_string()];
    let verdicts = &mut played.proxies[proxy].verdicts;
    let snapshot =
        Snapshot::capture(&LiveState { verdicts, overrides: &mut rulings, classes: &classes }, now);
    snapshot.encode(&key(), name(proxy), BootTime { boot_id: BOOT, since_boot: now }).unwrap()
}

/// All processes of a fleet end, and others start in their places after that time, with what was kept or with nothing.
/// `ages` is false for processes that forget to count the time between.
pub fn restart(played: &mut Played, gap: Duration, keeps: bool, ages: bool) -> Restored {
    let files: Vec<Vec<u8>> = (0..played.proxies.len()).map(|p| kept(played, p)).collect();
    // What is on its way finds nobody.
    (played.under_way, played.answers) = (Vec::new(), Vec::new());
    played.now += gap;
    let mut new = Played::new(played.world.clone());
    let mut taken = Restored::default();
    for (p, (proxy, bytes)) in new.proxies.iter_mut().zip(&files).enumerate() {
        if keeps {
            let now = BootTime { boot_id: BOOT, since_boot: played.now };
            let (snapshot, since) = Snapshot::decode(bytes, &key(), name(p), now).unwrap();
            let since = if ages { since } else { Duration::ZERO };
            let mut rulings = OperatorOverrides::new(ProcessId(1));
            let classes = ["read".to_string()];
            let mut known =
                LiveState { verdicts: &mut proxy.verdicts, overrides: &mut rulings, classes: &classes };
            let others = |other: ProxyId| other != name(p);
            taken = snapshot.restore(&mut known, others, since, played.now);
        }
    }
    played.proxies = new.proxies;
    taken
}

/// Attempts at a bad node in the 10 s after all processes of a fleet started anew, after 2 s in which none ran.
pub fn wasted(proxies: usize, seed: u64, keeps: bool) -> usize {
    let seconds = Duration::from_secs;
    let mut played = Played::new(World { proxies, seed, rate: 24.0, ..World::default() });
    played.run(seconds(30));
    played.does[2] = Does::Fails(1.0);
    played.run_until(seconds(12), |p| p.out_at(2) == proxies);
    restart(&mut played, seconds(2), keeps, true);
    let since = played.now;
    // Every step checks the bound on staleness.
    played.run(seconds(10));
    played.since(2, since)
}
