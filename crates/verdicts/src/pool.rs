//! What all proxies say, what comes of it, and what is said to others.

mod came;
mod kept;

use crate::evidence::{AttemptCounts, AttemptEnd, Observer, WINDOW_PARTS, WindowPart};
use crate::judge::{Claim, Kind, ProxyEvidence, judge_node};
use crate::wire::{AGE_UNIT, ENTRY_BYTES, EvidenceEntry, MOST_AGE};
use crate::{NodeId, OverrideKind, Settings, trial};
use dewpier_peers::{Process, ProxyId, Topic, TopicHandler};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

/// What proxies tell each other of nodes. A form that older ones can't read has another topic, so that they pass it over:
/// 1 was evidence without parts.
pub const EVIDENCE_TOPIC: Topic = Topic(3);
/// What is kept of a node: so many words of others, the youngest.
const MOST_WORDS: usize = 64;

/// One start of a proxy, as an observer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProcessId(pub u32);

impl ProcessId {
    /// That of a process.
    pub fn from_process(process: Process) -> Self {
        let mut bytes = process.proxy.0.to_be_bytes().to_vec();
        bytes.extend(process.incarnation.to_be_bytes());
        Self(xxhash_rust::xxh3::xxh3_64(&bytes) as u32)
    }
}

/// A node that is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedNode {
    /// Which.
    pub node: NodeId,
    /// Its cell.
    pub cell: u32,
}

/// A word of another proxy.
#[derive(Clone, Copy, Debug)]
struct Word {
    incarnation: u32,
    entry: EvidenceEntry,
    /// It was said no earlier, on this clock.
    made: Duration,
    /// What its verdict rests on was said no earlier, if it holds one.
    rests: Option<Duration>,
}

/// A verdict that stands.
#[derive(Clone, Debug)]
struct Standing {
    /// Who has sent there since it began, or shortly before: others do not, as the node is not among those that they
    /// draw from, and can't try it. At most as many as there are words.
    met: BTreeSet<ProxyId>,
    /// This proxy is one of them.
    mine: bool,
    kind: Kind,
    claim: Claim,
    since: Duration,
    /// The youngest word that speaks for it was said no earlier.
    rests: Duration,
    odds: f64,
    observers: usize,
}

/// A verdict, as it is told.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct VerdictSummary {
    /// On which node.
    #[serde(skip)]
    pub node: NodeId,
    /// What holds of it.
    pub kind: Kind,
    /// It is kept out; otherwise as many others are out as may be.
    #[serde(rename = "out")]
    pub ejected: bool,
    /// This proxy is among those that try it.
    #[serde(rename = "tries")]
    pub sends_trials: bool,
    /// What an operator says of it, and for how many milliseconds still.
    #[serde(rename = "ruling")]
    pub operator_override: Option<(OverrideKind, u64)>,
    /// For how long it has held, in milliseconds.
    #[serde(rename = "for_ms")]
    pub active_ms: u64,
    /// How old the oldest word is that it rests on, at most; with it goes what that one saw before, for as long
    /// as half of the bound.
    #[serde(rename = "oldest_ms")]
    pub oldest_report_ms: u64,
    /// How many proxies saw something go wrong.
    pub observers: usize,
    /// The logarithm of the odds, and what was needed.
    #[serde(rename = "odds")]
    pub log_odds: f64,
    /// What is needed for a new verdict.
    #[serde(rename = "needed")]
    pub required_log_odds: f64,
    /// Attempts as this proxy and others saw them.
    pub good: u32,
    /// Never connected.
    pub unreached: u32,
    /// Failed.
    pub failed: u32,
    /// Silent.
    pub silent: u32,
    /// Slow.
    pub slow: u32,
}

/// What is known at a proxy. Bounds: [`MOST_WORDS`] words for each listed node; nothing of nodes that are not listed.
#[derive(Debug)]
pub struct Verdicts {
    settings: Settings,
    origin: ProcessId,
    zone: u16,
    listed: Vec<ListedNode>,
    known: HashSet<NodeId>,
    came: came::Came,
    /// By node, by who saw it.
    words: HashMap<NodeId, BTreeMap<ProxyId, Word>>,
    standing: HashMap<NodeId, Standing>,
    out: HashSet<NodeId>,
    /// Those that an operator keeps out.
    ruled: HashSet<NodeId>,
    seen: HashMap<NodeId, AttemptCounts>,
    parts: HashMap<NodeId, [WindowPart; WINDOW_PARTS]>,
    /// All of that together, but for nodes that verdicts stand on.
    sum: [WindowPart; WINDOW_PARTS],
    /// What this proxy sees.
    pub observer: Observer,
    /// What operators say, and until when: it goes before what is seen.
    said: BTreeMap<NodeId, (OverrideKind, Duration)>,
    version: u32,
    /// Not all others are partners: what they hold counts too, where they saw what this one does not hear.
    sampled: bool,
    partners: usize,
    answering: usize,
    /// Where the next datagram to each partner begins among what there is to say.
    turns: BTreeMap<ProxyId, usize>,
}

impl Verdicts {
    /// That of a process in a zone, with so many partners to talk to.
    pub fn new(
        settings: Settings,
        me: Process,
        zone: &str,
        classes: usize,
        partners: usize,
        now: Duration,
    ) -> Self {
        let sampled = partners + 1 < settings.fleet_size;
        Self {
            observer: Observer::new(settings.clone(), classes, now),
            said: BTreeMap::new(),
            settings,
            origin: ProcessId::from_process(me),
            zone: xxhash_rust::xxh3::xxh3_64(zone.as_bytes()) as u16,
            listed: Vec::new(),
            known: HashSet::new(),
            came: came::Came::default(),
            words: HashMap::new(),
            standing: HashMap::new(),
            out: HashSet::new(),
            ruled: HashSet::new(),
            seen: HashMap::new(),
            parts: HashMap::new(),
            sum: Default::default(),
            version: 0,
            sampled,
            partners,
            answering: partners,
            turns: BTreeMap::new(),
        }
    }

    /// The nodes in service. What is known of others is forgotten; one that comes back is judged by what is seen of it
    /// from then on, as another process may be there.
    pub fn set_nodes(&mut self, listed: Vec<ListedNode>, now: Duration) {
        let before = std::mem::replace(&mut self.known, listed.iter().map(|m| m.node).collect());
        self.came.list(&before, &self.known, now, self.settings.max_evidence_age);
        self.listed = listed;
        let known = &self.known;
        self.observer.keep(|node| known.contains(node));
        self.words.retain(|node, _| known.contains(node));
        self.standing.retain(|node, _| known.contains(node));
        self.out.retain(|node| known.contains(node));
        self.ruled.retain(|node| known.contains(node));
    }

    /// So many of its partners answer, which says how many proxies there are to share trials with.
    pub fn set_answering_partners(&mut self, answering: usize) {
        self.answering = answering;
    }

    /// An attempt begins.
    pub fn record_start(&mut self, attempt: (u64, usize), node: NodeId, class: usize, now: Duration) {
        self.observer.record_start(attempt, node, class, now);
    }

    /// An attempt has ended.
    pub fn record_end(&mut self, attempt: (u64, usize), end: AttemptEnd, now: Duration) {
        self.observer.record_end(attempt, end, now);
    }

    /// What operators say of nodes and for how long still, all of it. Counts from the next judgement on, as long as that.
    pub fn set_overrides(
        &mut self,
        said: impl Iterator<Item = (NodeId, OverrideKind, Duration)>,
        now: Duration,
    ) {
        self.said = said.map(|(node, says, left)| (node, (says, now + left))).collect();
    }

    /// What an operator says of a node now, and for how long.
    fn said(&self, node: &NodeId, now: Duration) -> Option<(OverrideKind, Duration)> {
        let (says, until) = self.said.get(node).filter(|(_, until)| *until > now)?;
        Some((*says, *until - now))
    }

    /// The part of this proxy's attempts at all other nodes that went badly, but for those that a verdict stands
    /// on: what is known to be bad is not what its like do. The worst of all spans up to now: what goes wrong
    /// everywhere since a moment ago is no node's own. One more than all, as a proxy that has sent little must not doubt
    /// itself for one failure.
    fn others(&self, node: NodeId) -> f64 {
        let own = match self.standing.contains_key(&node) {
            true => Default::default(),
            false => self.parts.get(&node).copied().unwrap_or_default(),
        };
        let (mut bad, mut all, mut worst) = (0, 0, 0.0f64);
        for (sum, own) in self.sum.iter().zip(&own) {
            bad += sum.bad.saturating_sub(own.bad);
            all += (sum.good + sum.bad).saturating_sub(own.good + own.bad);
            worst = worst.max(f64::from(bad) / f64::from(all + 1));
        }
        worst
    }

    /// Drops what is too old and judges anew. To be called several times a second, and to be followed by
    /// [`Verdicts::avoided_nodes`].
    pub fn tick(&mut self, now: Duration) {
        self.observer.tick(now);
        self.seen = self.observer.counts_by_node();
        self.parts = self.observer.parts_by_node(now);
        self.sum = Default::default();
        for (_, parts) in self.parts.iter().filter(|(node, _)| !self.standing.contains_key(node)) {
            for (sum, part) in self.sum.iter_mut().zip(parts) {
                sum.good = sum.good.saturating_add(part.good);
                sum.bad = sum.bad.saturating_add(part.bad);
            }
        }
        let window = self.settings.window();
        for words in self.words.values_mut() {
            words.retain(|_, word| now.saturating_sub(word.made) <= window);
            for word in words.values_mut() {
                word.rests = word.rests.filter(|at| now.saturating_sub(*at) <= window);
            }
        }
        self.words.retain(|_, words| !words.is_empty());
        let mut standing = HashMap::new();
        for member in &self.listed {
            let stood = self.standing.get(&member.node);
            let judged = judge_node(&self.settings, &self.weighed(member.node, now), stood.is_some());
            if let Some(kind) = judged.kind {
                let since = stood.map_or(now, |s| s.since);
                let mut met = stood.map(|s| s.met.clone()).unwrap_or_default();
                let words = self.words.get(&member.node).into_iter().flatten();
                let told = words.filter(|(_, word)| word.entry.counts.total() > 0).map(|(name, _)| *name);
                met.extend(told.take(MOST_WORDS.saturating_sub(met.len())));
                let own = self.seen.get(&member.node).is_some_and(|counts| counts.total() > 0);
                let mine = own || stood.is_some_and(|s| s.mine);
                let rests = self.rests(member.node, now);
                let claim = Claim { severe: judged.severe, kind };
                let (odds, observers) = (judged.odds, judged.observers);
                let found = Standing { met, mine, kind, claim, since, rests, odds, observers };
                standing.insert(member.node, found);
            }
        }
        // The sum is of those that no verdict stood on before: the next round has it right.
        self.standing = standing;
        self.keep_out(now);
    }

    /// What each proxy brings.
    fn weighed(&self, node: NodeId, now: Duration) -> Vec<ProxyEvidence> {
        let each = self.settings.window() / WINDOW_PARTS as u32;
        let own = self.seen.get(&node).map(|counts| ProxyEvidence {
            claims: None,
            near: true,
            counts: *counts,
            parts: self.parts.get(&node).copied().unwrap_or_default(),
            others: self.others(node),
        });
        let lately = self.came.lately(node, now, self.settings.window());
        let words = self.words.get(&node).into_iter().flat_map(BTreeMap::values).map(|word| {
            let parts = older_by(word.entry.parts, now.saturating_sub(word.made), each);
            let (counts, parts) = self.came.since(&self.settings, node, word.entry.counts, parts, now);
            ProxyEvidence {
                claims: word.rests.and(word.entry.claim).filter(|_| !lately).map(|(claim, _)| claim),
                near: word.entry.zone == self.zone,
                counts,
                parts,
                others: f64::from(word.entry.others) / 255.0,
            }
        });
        own.into_iter().chain(words).collect()
    }

    /// When the youngest word was said that speaks for a verdict. For a claim that is when what it rests on was, so
    /// that proxies can't keep a verdict alive by telling each other: nothing here is younger than what somebody saw.
    fn rests(&self, node: NodeId, now: Duration) -> Duration {
        let own = self.seen.get(&node).filter(|counts| counts.bad() > 0).map(|_| now);
        let words = self.words.get(&node).into_iter().flat_map(BTreeMap::values);
        let words =
            words.filter_map(|word| word.rests.or((word.entry.counts.bad() > 0).then_some(word.made)));
        own.into_iter().chain(words).max().unwrap_or_default()
    }

    /// What operators say is out, and behind that the worst, as many as may be; never the last of a cell.
    fn keep_out(&mut self, now: Duration) {
        let most = (self.settings.max_ejected * self.listed.len() as f64) as usize;
        let cells: HashMap<NodeId, u32> = self.listed.iter().map(|m| (m.node, m.cell)).collect();
        let mut left: HashMap<u32, usize> = HashMap::new();
        self.listed.iter().for_each(|m| *left.entry(m.cell).or_default() += 1);
        let mut take = |node: &NodeId| {
            let in_cell = cells.get(node).and_then(|cell| left.get_mut(cell)).filter(|left| **left > 1);
            in_cell.map(|left| *left -= 1).is_some()
        };
        let says = |node: &NodeId| self.said(node, now).map(|(says, _)| says);
        let avoided = self.listed.iter().filter(|m| says(&m.node) == Some(OverrideKind::Avoid));
        let ruled = avoided.map(|m| m.node).filter(|node| take(node)).collect();
        let judged = self.standing.iter().filter(|(node, _)| says(node).is_none());
        let mut worst: Vec<(&NodeId, &Standing)> = judged.collect();
        // What is out stays so before one that is as bad, lest they take turns.
        worst.sort_by(|a, b| {
            let key = |(node, s): &(&NodeId, &Standing)| (s.odds, self.out.contains(node), **node);
            let ((x, was_x, i), (y, was_y, j)) = (key(a), key(b));
            y.total_cmp(&x).then(was_y.cmp(&was_x)).then(i.cmp(&j))
        });
        let mut out = HashSet::new();
        for (node, _) in worst {
            if out.len() < most && take(node) {
                out.insert(*node);
            }
        }
        self.out = out;
        self.ruled = ruled;
    }

    /// Attempts a second that this proxy would send to each node that it uses.
    fn each(&self) -> f64 {
        let all: u32 = self.seen.values().map(AttemptCounts::total).sum();
        f64::from(all) / self.settings.window().as_secs_f64() / self.seen.len().max(1) as f64
    }

    /// Nodes that this proxy is to avoid now, and what holds of them: those that an operator keeps out, and those that
    /// a verdict does, but for those that it is among the few to try.
    pub fn avoided_nodes(&self, now: Duration) -> Vec<(NodeId, Kind)> {
        let ruled = self.ruled.iter().map(|node| (*node, Kind::Ruled));
        let out = self.out.iter().filter_map(|node| Some((*node, self.standing.get(node)?)));
        let out = out.filter(|(node, s)| !self.tries(*node, s, now)).map(|(node, s)| (node, s.kind));
        ruled.chain(out).collect()
    }

    fn tries(&self, node: NodeId, standing: &Standing, now: Duration) -> bool {
        // Those that are not heard are as many again, in a fleet where not all hear all; those that are gone try nothing.
        let others = self.settings.fleet_size.saturating_sub(1) as f64 / self.partners.max(1) as f64;
        let answering = self.answering as f64 / self.partners.max(1) as f64;
        let fleet = (1.0 + standing.met.len() as f64 * others * answering) * self.each();
        standing.mine
            && trial::tries(&self.settings, self.origin, node, now.saturating_sub(standing.since), fleet)
    }

    /// All verdicts that stand, and nodes that operators speak of; the clearest first.
    pub fn summaries(&self, now: Duration) -> Vec<VerdictSummary> {
        let mut reports = self.judged(now);
        for node in self.said.keys().copied().filter(|node| self.known.contains(node)) {
            let Some((says, left)) = self.said(&node, now) else { continue };
            let ruling = Some((says, left.as_millis() as u64));
            match reports.iter_mut().find(|report| report.node == node) {
                Some(report) => report.operator_override = ruling,
                None => reports.push(VerdictSummary {
                    node,
                    kind: Kind::Ruled,
                    ejected: false,
                    sends_trials: false,
                    operator_override: ruling,
                    active_ms: 0,
                    oldest_report_ms: 0,
                    observers: 0,
                    log_odds: 0.0,
                    required_log_odds: self.settings.required_log_odds(),
                    good: 0,
                    unreached: 0,
                    failed: 0,
                    silent: 0,
                    slow: 0,
                }),
            }
        }
        for report in &mut reports {
            report.ejected |= self.ruled.contains(&report.node);
        }
        reports.sort_by(|a, b| b.log_odds.total_cmp(&a.log_odds).then(a.node.cmp(&b.node)));
        reports
    }

    fn judged(&self, now: Duration) -> Vec<VerdictSummary> {
        let reports: Vec<VerdictSummary> = self
            .standing
            .iter()
            .map(|(node, standing)| {
                let mut sum = AttemptCounts::default();
                self.weighed(*node, now).iter().for_each(|w| sum.add(&w.counts));
                let words = self.words.get(node).into_iter().flat_map(BTreeMap::values);
                let ages = words.map(|word| now.saturating_sub(word.rests.unwrap_or(word.made)));
                let oldest = ages.max().unwrap_or_default();
                VerdictSummary {
                    node: *node,
                    kind: standing.kind,
                    ejected: self.out.contains(node),
                    sends_trials: self.out.contains(node) && self.tries(*node, standing, now),
                    operator_override: None,
                    active_ms: now.saturating_sub(standing.since).as_millis() as u64,
                    oldest_report_ms: oldest.as_millis() as u64,
                    observers: standing.observers,
                    log_odds: standing.odds,
                    required_log_odds: self.settings.required_log_odds(),
                    good: sum.good,
                    unreached: sum.unreached,
                    failed: sum.failed,
                    silent: sum.silent,
                    slow: sum.slow,
                }
            })
            .collect();
        reports
    }

    /// What this proxy has seen of a node, and what it holds of it, as it says so.
    fn own(&self, node: NodeId, counts: AttemptCounts, now: Duration) -> EvidenceEntry {
        let others = (self.others(node) * 255.0).round() as u8;
        let held = self.standing.get(&node).filter(|s| self.sampled && s.kind != Kind::Link);
        let age = |s: &Standing| {
            u16::try_from(now.saturating_sub(s.rests).as_millis().div_ceil(u128::from(AGE_UNIT)))
        };
        let claim = held.and_then(|s| Some((s.claim, age(s).ok().filter(|age| *age <= MOST_AGE)?)));
        let parts = self.parts.get(&node).copied().unwrap_or_default();
        EvidenceEntry { version: self.version, zone: self.zone, node, counts, parts, others, claim }
    }
}

/// A verdict or something that went wrong makes a node one that all are asked of.
fn in_question(verdicts: &Verdicts, node: NodeId) -> bool {
    verdicts.standing.contains_key(&node)
        || verdicts.seen.get(&node).is_some_and(|counts| counts.bad() > 0)
        || verdicts.words.get(&node).is_some_and(|words| words.values().any(|w| w.entry.counts.bad() > 0))
}

impl TopicHandler for Verdicts {
    fn topic(&self) -> Topic {
        EVIDENCE_TOPIC
    }

    /// What was seen of nodes that are in question, in turns where there is more than fits.
    fn write_payload(&mut self, to: ProxyId, room: usize, now: Duration) -> Vec<u8> {
        self.version = self.version.wrapping_add(1);
        let fits = room / ENTRY_BYTES;
        let seen = |node: NodeId| self.seen.get(&node).copied().unwrap_or_default();
        let all = self.listed.iter().map(|m| m.node).filter(|node| in_question(self, *node));
        let mut own: Vec<EvidenceEntry> = all.map(|node| self.own(node, seen(node), now)).collect();
        own.retain(|entry| entry.counts.total() > 0 || entry.claim.is_some());
        if own.len() > fits {
            // For each partner by itself: a count over all would show each always the same part, where their number fits.
            let turn = self.turns.entry(to).or_default();
            let by = *turn % own.len();
            *turn = by + fits;
            own.rotate_left(by);
        }
        let mut bytes = Vec::with_capacity(room);
        own.iter().take(fits).for_each(|entry| entry.write(&mut bytes));
        bytes
    }

    fn receive(&mut self, from: Process, age: Duration, bytes: &[u8], now: Duration) -> bool {
        let Some(entries) = EvidenceEntry::read_all(bytes) else { return false };
        let window = self.settings.window();
        if age > window {
            return true;
        }
        let made = now.saturating_sub(age);
        for entry in entries {
            if !self.known.contains(&entry.node) {
                continue;
            }
            // What lies beyond the window speaks for nothing any more.
            let rested =
                |(_, rested)| age.saturating_add(Duration::from_millis(AGE_UNIT * u64::from(rested)));
            let rested = entry.claim.map(rested).filter(|rested| self.sampled && *rested <= window);
            let rests = rested.map(|rested| now.saturating_sub(rested));
            let words = self.words.entry(entry.node).or_default();
            let new = Word { incarnation: from.incarnation, entry, made, rests };
            match words.get_mut(&from.proxy) {
                // It came late: what is here was said after it.
                Some(word)
                    if word.incarnation == from.incarnation && older(entry.version, word.entry.version) => {}
                Some(word) => *word = new,
                None => {
                    words.insert(from.proxy, new);
                }
            }
            if words.len() > MOST_WORDS {
                let oldest = words.iter().min_by_key(|(_, word)| word.made).map(|(name, _)| *name);
                oldest.map(|name| words.remove(&name));
            }
        }
        true
    }
}

/// What was seen, by parts, once it is so much older: what leaves the window is in none.
fn older_by(parts: [WindowPart; WINDOW_PARTS], age: Duration, each: Duration) -> [WindowPart; WINDOW_PARTS] {
    let by =
        usize::try_from(age.as_nanos() / each.as_nanos().max(1)).unwrap_or(WINDOW_PARTS).min(WINDOW_PARTS);
    let mut older = [WindowPart::default(); WINDOW_PARTS];
    older[by..].copy_from_slice(&parts[..WINDOW_PARTS - by]);
    older
}

/// Versions begin anew behind the last one.
fn older(version: u32, than: u32) -> bool {
    version.wrapping_sub(than) > u32::MAX / 2
}
