//! Collects the evidence of all proxies, keeps the verdicts that follow from it, and writes this proxy's own evidence
//! for the others.

mod relisted;
mod stored;

use crate::evidence::{AttemptCounts, AttemptEnd, Observer, WINDOW_PARTS, WindowPart};
use crate::judge::{Claim, Kind, ProxyEvidence, judge_node};
use crate::wire::{CLAIM_AGE_UNIT_MS, ENTRY_BYTES, EvidenceEntry, MAX_CLAIM_AGE};
use crate::{NodeId, OverrideKind, Settings, trial};
use dewpier_peers::{Process, ProxyId, Topic, TopicHandler};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

/// The topic of evidence. An incompatible format gets a new topic, which older proxies skip; topic 1 was evidence
/// without window parts.
pub const EVIDENCE_TOPIC: Topic = Topic(3);
/// The number of reports kept for each node, the youngest ones.
const MAX_REPORTS_PER_NODE: usize = 64;

/// Identifies a process of a proxy by a hash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProcessId(pub u32);

impl ProcessId {
    /// Hashes the proxy and the incarnation of a process.
    pub fn from_process(process: Process) -> Self {
        let mut bytes = process.proxy.0.to_be_bytes().to_vec();
        bytes.extend(process.incarnation.to_be_bytes());
        Self(xxhash_rust::xxh3::xxh3_64(&bytes) as u32)
    }
}

/// A node in the list of nodes in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedNode {
    /// The node's id.
    pub node: NodeId,
    /// The cell that the node belongs to.
    pub cell: u32,
}

/// The latest evidence of another proxy on a node.
#[derive(Clone, Copy, Debug)]
struct PeerReport {
    /// The process that sent the report.
    incarnation: u32,
    entry: EvidenceEntry,
    /// The earliest time at which the report can have been written, on this process's clock.
    written_at: Duration,
    /// The earliest time of the latest evidence behind the verdict that the report claims, if it claims one.
    claim_evidence_at: Option<Duration>,
}

/// A verdict that holds at present.
#[derive(Clone, Debug)]
struct ActiveVerdict {
    /// Other proxies that have sent to the node since shortly before the verdict, at most [`MAX_REPORTS_PER_NODE`]. Only
    /// they, and this proxy, have the node in their subset and can send trials.
    senders: BTreeSet<ProxyId>,
    /// This proxy has sent to the node since shortly before the verdict.
    sent_from_here: bool,
    kind: Kind,
    claim: Claim,
    since: Duration,
    /// The earliest time of the latest evidence for the verdict.
    latest_evidence_at: Duration,
    log_odds: f64,
    observers: usize,
}

/// A verdict or override on a node, in the form shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct VerdictSummary {
    /// The node.
    #[serde(skip)]
    pub node: NodeId,
    /// What is wrong with the node.
    pub kind: Kind,
    /// The node is ejected. A bad node is not ejected if the limit is reached or an operator trusts it.
    #[serde(rename = "out")]
    pub ejected: bool,
    /// This proxy is among those that send trial attempts to the ejected node.
    #[serde(rename = "tries")]
    pub sends_trials: bool,
    /// The operator's override on the node, with its remaining time in milliseconds.
    #[serde(rename = "ruling")]
    pub operator_override: Option<(OverrideKind, u64)>,
    /// How long the verdict has been active, in milliseconds.
    #[serde(rename = "for_ms")]
    pub active_ms: u64,
    /// The largest possible age of the oldest report behind the verdict, in milliseconds. A report covers the
    /// attempts of half the maximum evidence age before it.
    #[serde(rename = "oldest_ms")]
    pub oldest_report_ms: u64,
    /// The number of proxies with evidence against the node.
    pub observers: usize,
    /// The natural logarithm of the odds that the node is bad.
    #[serde(rename = "odds")]
    pub log_odds: f64,
    /// The log odds that a new verdict requires.
    #[serde(rename = "needed")]
    pub required_log_odds: f64,
    /// Attempts of all proxies that were answered within the typical time.
    pub good: u32,
    /// Attempts without a connection.
    pub unreached: u32,
    /// Attempts answered with an error, or disconnected.
    pub failed: u32,
    /// Attempts without an answer.
    pub silent: u32,
    /// Attempts answered late.
    pub slow: u32,
}

/// The evidence and the verdicts that a proxy has. Its memory is bounded by [`MAX_REPORTS_PER_NODE`] reports for each
/// listed node; nothing is kept for other nodes.
#[derive(Debug)]
pub struct Verdicts {
    settings: Settings,
    own_id: ProcessId,
    zone_hash: u16,
    listed: Vec<ListedNode>,
    listed_ids: HashSet<NodeId>,
    relisted: relisted::RelistedNodes,
    reports: HashMap<NodeId, BTreeMap<ProxyId, PeerReport>>,
    active: HashMap<NodeId, ActiveVerdict>,
    /// Nodes ejected by verdicts.
    ejected: HashSet<NodeId>,
    /// Nodes that operators' overrides keep out.
    avoided_by_override: HashSet<NodeId>,
    own_counts: HashMap<NodeId, AttemptCounts>,
    own_parts: HashMap<NodeId, [WindowPart; WINDOW_PARTS]>,
    /// The sum of this proxy's counts at all nodes without an active verdict.
    own_parts_sum: [WindowPart; WINDOW_PARTS],
    /// Counts the attempts of this proxy.
    pub observer: Observer,
    /// Operators' overrides with the times at which they end.
    overrides: BTreeMap<NodeId, (OverrideKind, Duration)>,
    version: u32,
    /// Not all other proxies are partners. Partners then also send the verdicts that they hold, which rest on
    /// the evidence of proxies that send nothing to this one.
    is_partial_mesh: bool,
    partners: usize,
    answering_partners: usize,
    /// The position of the first entry in the next datagram to each partner.
    next_position: BTreeMap<ProxyId, usize>,
}

impl Verdicts {
    /// Creates the state of a process in a zone, with a number of request classes and of partners.
    pub fn new(
        settings: Settings,
        own_process: Process,
        zone: &str,
        classes: usize,
        partners: usize,
        now: Duration,
    ) -> Self {
        let is_partial_mesh = partners + 1 < settings.fleet_size;
        Self {
            observer: Observer::new(settings.clone(), classes, now),
            overrides: BTreeMap::new(),
            settings,
            own_id: ProcessId::from_process(own_process),
            zone_hash: xxhash_rust::xxh3::xxh3_64(zone.as_bytes()) as u16,
            listed: Vec::new(),
            listed_ids: HashSet::new(),
            relisted: relisted::RelistedNodes::default(),
            reports: HashMap::new(),
            active: HashMap::new(),
            ejected: HashSet::new(),
            avoided_by_override: HashSet::new(),
            own_counts: HashMap::new(),
            own_parts: HashMap::new(),
            own_parts_sum: Default::default(),
            version: 0,
            is_partial_mesh,
            partners,
            answering_partners: partners,
            next_position: BTreeMap::new(),
        }
    }

    /// Sets the list of nodes in service and discards the evidence on all others. A node that returns to the list may be
    /// another process, so that only evidence from after its return counts.
    pub fn set_nodes(&mut self, listed: Vec<ListedNode>, now: Duration) {
        let before = std::mem::replace(&mut self.listed_ids, listed.iter().map(|m| m.node).collect());
        self.relisted.update(&before, &self.listed_ids, now, self.settings.max_evidence_age);
        self.listed = listed;
        let listed_ids = &self.listed_ids;
        self.observer.retain_nodes(|node| listed_ids.contains(node));
        self.reports.retain(|node, _| listed_ids.contains(node));
        self.active.retain(|node, _| listed_ids.contains(node));
        self.ejected.retain(|node| listed_ids.contains(node));
        self.avoided_by_override.retain(|node| listed_ids.contains(node));
    }

    /// Sets the number of partners that answer, from which the number of proxies that share trials is estimated.
    pub fn set_answering_partners(&mut self, answering_partners: usize) {
        self.answering_partners = answering_partners;
    }

    /// Records the start of an attempt, given as request id and number of the attempt.
    pub fn record_start(&mut self, attempt: (u64, usize), node: NodeId, class: usize, now: Duration) {
        self.observer.record_start(attempt, node, class, now);
    }

    /// Records the end of an attempt.
    pub fn record_end(&mut self, attempt: (u64, usize), end: AttemptEnd, now: Duration) {
        self.observer.record_end(attempt, end, now);
    }

    /// Replaces all operators' overrides, given with their remaining times. They apply from the next
    /// [`Verdicts::tick`] on.
    pub fn set_overrides(
        &mut self,
        overrides: impl Iterator<Item = (NodeId, OverrideKind, Duration)>,
        now: Duration,
    ) {
        self.overrides = overrides.map(|(node, kind, remaining)| (node, (kind, now + remaining))).collect();
    }

    /// The override on a node, with its remaining time.
    fn active_override(&self, node: &NodeId, now: Duration) -> Option<(OverrideKind, Duration)> {
        let (kind, ends_at) = self.overrides.get(node).filter(|(_, ends_at)| *ends_at > now)?;
        Some((*kind, *ends_at - now))
    }

    /// The fraction of this proxy's attempts at all other nodes that went wrong, without nodes that have an active
    /// verdict, as these say nothing about healthy ones. It is the largest fraction over all intervals up to now, as
    /// recent failures at all nodes do not show that this node is bad. The number of attempts is raised by one, so that
    /// the evidence of a proxy with few attempts still counts after a single failure.
    fn bad_fraction_elsewhere(&self, node: NodeId) -> f64 {
        let at_node = match self.active.contains_key(&node) {
            true => Default::default(),
            false => self.own_parts.get(&node).copied().unwrap_or_default(),
        };
        let (mut bad, mut all, mut max_fraction) = (0, 0, 0.0f64);
        for (sum, at_node) in self.own_parts_sum.iter().zip(&at_node) {
            bad += sum.bad.saturating_sub(at_node.bad);
            all += (sum.good + sum.bad).saturating_sub(at_node.good + at_node.bad);
            max_fraction = max_fraction.max(f64::from(bad) / f64::from(all + 1));
        }
        max_fraction
    }

    /// Discards expired evidence and judges all nodes again. To be called several times a second;
    /// [`Verdicts::avoided_nodes`] then returns the result.
    pub fn tick(&mut self, now: Duration) {
        self.observer.tick(now);
        self.own_counts = self.observer.counts_by_node();
        self.own_parts = self.observer.parts_by_node(now);
        self.own_parts_sum = Default::default();
        for (_, parts) in self.own_parts.iter().filter(|(node, _)| !self.active.contains_key(node)) {
            for (sum, part) in self.own_parts_sum.iter_mut().zip(parts) {
                sum.good = sum.good.saturating_add(part.good);
                sum.bad = sum.bad.saturating_add(part.bad);
            }
        }
        let window = self.settings.window();
        for reports in self.reports.values_mut() {
            reports.retain(|_, report| now.saturating_sub(report.written_at) <= window);
            for report in reports.values_mut() {
                report.claim_evidence_at =
                    report.claim_evidence_at.filter(|at| now.saturating_sub(*at) <= window);
            }
        }
        self.reports.retain(|_, reports| !reports.is_empty());
        let mut active = HashMap::new();
        for member in &self.listed {
            let previous = self.active.get(&member.node);
            let judgement =
                judge_node(&self.settings, &self.collect_evidence(member.node, now), previous.is_some());
            if let Some(kind) = judgement.kind {
                let since = previous.map_or(now, |p| p.since);
                let mut senders = previous.map(|p| p.senders.clone()).unwrap_or_default();
                let reports = self.reports.get(&member.node).into_iter().flatten();
                let reporting =
                    reports.filter(|(_, report)| report.entry.counts.total() > 0).map(|(proxy, _)| *proxy);
                senders.extend(reporting.take(MAX_REPORTS_PER_NODE.saturating_sub(senders.len())));
                let has_own_counts =
                    self.own_counts.get(&member.node).is_some_and(|counts| counts.total() > 0);
                let sent_from_here = has_own_counts || previous.is_some_and(|p| p.sent_from_here);
                let latest_evidence_at = self.latest_evidence_at(member.node, now);
                let claim = Claim { severe: judgement.severe, kind };
                let (log_odds, observers) = (judgement.log_odds, judgement.observers);
                let verdict = ActiveVerdict {
                    senders,
                    sent_from_here,
                    kind,
                    claim,
                    since,
                    latest_evidence_at,
                    log_odds,
                    observers,
                };
                active.insert(member.node, verdict);
            }
        }
        // `own_parts_sum` still follows the previous verdicts until the next tick.
        self.active = active;
        self.eject_worst(now);
    }

    /// The evidence of this proxy and of all reports on a node.
    fn collect_evidence(&self, node: NodeId, now: Duration) -> Vec<ProxyEvidence> {
        let part_length = self.settings.window() / WINDOW_PARTS as u32;
        let own = self.own_counts.get(&node).map(|counts| ProxyEvidence {
            claim: None,
            same_zone: true,
            counts: *counts,
            parts: self.own_parts.get(&node).copied().unwrap_or_default(),
            bad_fraction_elsewhere: self.bad_fraction_elsewhere(node),
        });
        let ignores_claims = self.relisted.was_relisted_within(node, now, self.settings.window());
        let reports = self.reports.get(&node).into_iter().flat_map(BTreeMap::values).map(|report| {
            let parts = shift_parts(report.entry.parts, now.saturating_sub(report.written_at), part_length);
            let (counts, parts) =
                self.relisted.restrict_to_relisted(&self.settings, node, report.entry.counts, parts, now);
            ProxyEvidence {
                claim: report
                    .claim_evidence_at
                    .and(report.entry.claim)
                    .filter(|_| !ignores_claims)
                    .map(|(claim, _)| claim),
                same_zone: report.entry.zone == self.zone_hash,
                counts,
                parts,
                bad_fraction_elsewhere: f64::from(report.entry.bad_elsewhere_255ths) / 255.0,
            }
        });
        own.into_iter().chain(reports).collect()
    }

    /// The earliest time of the latest evidence against a node. A claim counts with the time of the evidence behind it,
    /// so that proxies can't keep a verdict alive by repeating it to each other.
    fn latest_evidence_at(&self, node: NodeId, now: Duration) -> Duration {
        let own = self.own_counts.get(&node).filter(|counts| counts.bad() > 0).map(|_| now);
        let reports = self.reports.get(&node).into_iter().flat_map(BTreeMap::values);
        let reports = reports.filter_map(|report| {
            report.claim_evidence_at.or((report.entry.counts.bad() > 0).then_some(report.written_at))
        });
        own.into_iter().chain(reports).max().unwrap_or_default()
    }

    /// Keeps out the nodes that operators avoid, then ejects the worst nodes with verdicts up to the limit; never the
    /// last node of a cell.
    fn eject_worst(&mut self, now: Duration) {
        let max_ejected = (self.settings.max_ejected * self.listed.len() as f64) as usize;
        let cells: HashMap<NodeId, u32> = self.listed.iter().map(|m| (m.node, m.cell)).collect();
        let mut remaining: HashMap<u32, usize> = HashMap::new();
        self.listed.iter().for_each(|m| *remaining.entry(m.cell).or_default() += 1);
        let mut remove_from_cell = |node: &NodeId| {
            let in_cell =
                cells.get(node).and_then(|cell| remaining.get_mut(cell)).filter(|remaining| **remaining > 1);
            in_cell.map(|remaining| *remaining -= 1).is_some()
        };
        let override_kind = |node: &NodeId| self.active_override(node, now).map(|(kind, _)| kind);
        let avoided = self.listed.iter().filter(|m| override_kind(&m.node) == Some(OverrideKind::Avoid));
        let avoided_by_override = avoided.map(|m| m.node).filter(|node| remove_from_cell(node)).collect();
        let not_overridden = self.active.iter().filter(|(node, _)| override_kind(node).is_none());
        let mut worst: Vec<(&NodeId, &ActiveVerdict)> = not_overridden.collect();
        // Of equally bad nodes those already ejected come first, so that nodes don't alternate.
        worst.sort_by(|a, b| {
            let key = |(node, verdict): &(&NodeId, &ActiveVerdict)| {
                (verdict.log_odds, self.ejected.contains(node), **node)
            };
            let ((odds_a, ejected_a, node_a), (odds_b, ejected_b, node_b)) = (key(a), key(b));
            odds_b.total_cmp(&odds_a).then(ejected_b.cmp(&ejected_a)).then(node_a.cmp(&node_b))
        });
        let mut ejected = HashSet::new();
        for (node, _) in worst {
            if ejected.len() < max_ejected && remove_from_cell(node) {
                ejected.insert(*node);
            }
        }
        self.ejected = ejected;
        self.avoided_by_override = avoided_by_override;
    }

    /// The mean number of attempts a second that this proxy makes at each node that it uses.
    fn attempts_per_second_per_node(&self) -> f64 {
        let all: u32 = self.own_counts.values().map(AttemptCounts::total).sum();
        f64::from(all) / self.settings.window().as_secs_f64() / self.own_counts.len().max(1) as f64
    }

    /// The nodes that this proxy has to avoid now, with the reasons: those that operators' overrides keep out, and the
    /// ejected ones to which this proxy sends no trials.
    pub fn avoided_nodes(&self, now: Duration) -> Vec<(NodeId, Kind)> {
        let by_override = self.avoided_by_override.iter().map(|node| (*node, Kind::Ruled));
        let ejected = self.ejected.iter().filter_map(|node| Some((*node, self.active.get(node)?)));
        let ejected = ejected
            .filter(|(node, verdict)| !self.sends_trials(*node, verdict, now))
            .map(|(node, verdict)| (node, verdict.kind));
        by_override.chain(ejected).collect()
    }

    fn sends_trials(&self, node: NodeId, verdict: &ActiveVerdict, now: Duration) -> bool {
        // Scales the known senders up to the whole fleet, and down by the partners that don't answer.
        let peers_per_partner =
            self.settings.fleet_size.saturating_sub(1) as f64 / self.partners.max(1) as f64;
        let answering_fraction = self.answering_partners as f64 / self.partners.max(1) as f64;
        let fleet_rate = (1.0 + verdict.senders.len() as f64 * peers_per_partner * answering_fraction)
            * self.attempts_per_second_per_node();
        verdict.sent_from_here
            && trial::is_selected_for_trials(
                &self.settings,
                self.own_id,
                node,
                now.saturating_sub(verdict.since),
                fleet_rate,
            )
    }

    /// Summaries of all active verdicts and overrides, sorted by descending log odds.
    pub fn summaries(&self, now: Duration) -> Vec<VerdictSummary> {
        let mut summaries = self.verdict_summaries(now);
        for node in self.overrides.keys().copied().filter(|node| self.listed_ids.contains(node)) {
            let Some((kind, remaining)) = self.active_override(&node, now) else { continue };
            let operator_override = Some((kind, remaining.as_millis() as u64));
            match summaries.iter_mut().find(|summary| summary.node == node) {
                Some(summary) => summary.operator_override = operator_override,
                None => summaries.push(VerdictSummary {
                    node,
                    kind: Kind::Ruled,
                    ejected: false,
                    sends_trials: false,
                    operator_override,
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
        for summary in &mut summaries {
            summary.ejected |= self.avoided_by_override.contains(&summary.node);
        }
        summaries.sort_by(|a, b| b.log_odds.total_cmp(&a.log_odds).then(a.node.cmp(&b.node)));
        summaries
    }

    fn verdict_summaries(&self, now: Duration) -> Vec<VerdictSummary> {
        let summaries: Vec<VerdictSummary> = self
            .active
            .iter()
            .map(|(node, verdict)| {
                let mut sum = AttemptCounts::default();
                self.collect_evidence(*node, now).iter().for_each(|evidence| sum.add(&evidence.counts));
                let reports = self.reports.get(node).into_iter().flat_map(BTreeMap::values);
                let ages = reports
                    .map(|report| now.saturating_sub(report.claim_evidence_at.unwrap_or(report.written_at)));
                let oldest = ages.max().unwrap_or_default();
                VerdictSummary {
                    node: *node,
                    kind: verdict.kind,
                    ejected: self.ejected.contains(node),
                    sends_trials: self.ejected.contains(node) && self.sends_trials(*node, verdict, now),
                    operator_override: None,
                    active_ms: now.saturating_sub(verdict.since).as_millis() as u64,
                    oldest_report_ms: oldest.as_millis() as u64,
                    observers: verdict.observers,
                    log_odds: verdict.log_odds,
                    required_log_odds: self.settings.required_log_odds(),
                    good: sum.good,
                    unreached: sum.unreached,
                    failed: sum.failed,
                    silent: sum.silent,
                    slow: sum.slow,
                }
            })
            .collect();
        summaries
    }

    /// The entry with this proxy's counts and, in a partial mesh, its verdict on a node.
    fn own_entry(&self, node: NodeId, counts: AttemptCounts, now: Duration) -> EvidenceEntry {
        let bad_elsewhere_255ths = (self.bad_fraction_elsewhere(node) * 255.0).round() as u8;
        let claimable =
            self.active.get(&node).filter(|verdict| self.is_partial_mesh && verdict.kind != Kind::Link);
        let evidence_age = |verdict: &ActiveVerdict| {
            u16::try_from(
                now.saturating_sub(verdict.latest_evidence_at)
                    .as_millis()
                    .div_ceil(u128::from(CLAIM_AGE_UNIT_MS)),
            )
        };
        let claim = claimable.and_then(|verdict| {
            Some((verdict.claim, evidence_age(verdict).ok().filter(|age| *age <= MAX_CLAIM_AGE)?))
        });
        let parts = self.own_parts.get(&node).copied().unwrap_or_default();
        EvidenceEntry {
            version: self.version,
            zone: self.zone_hash,
            node,
            counts,
            parts,
            bad_elsewhere_255ths,
            claim,
        }
    }
}

/// Whether there is a verdict or any evidence against a node, so that proxies exchange their evidence on it.
fn is_suspect(verdicts: &Verdicts, node: NodeId) -> bool {
    verdicts.active.contains_key(&node)
        || verdicts.own_counts.get(&node).is_some_and(|counts| counts.bad() > 0)
        || verdicts
            .reports
            .get(&node)
            .is_some_and(|reports| reports.values().any(|report| report.entry.counts.bad() > 0))
}

impl TopicHandler for Verdicts {
    fn topic(&self) -> Topic {
        EVIDENCE_TOPIC
    }

    /// Writes entries on suspect nodes. If there are more than fit, each datagram to a partner continues where the
    /// previous one ended.
    fn write_payload(&mut self, to: ProxyId, capacity: usize, now: Duration) -> Vec<u8> {
        self.version = self.version.wrapping_add(1);
        let max_entries = capacity / ENTRY_BYTES;
        let own_counts = |node: NodeId| self.own_counts.get(&node).copied().unwrap_or_default();
        let suspects = self.listed.iter().map(|m| m.node).filter(|node| is_suspect(self, *node));
        let mut entries: Vec<EvidenceEntry> =
            suspects.map(|node| self.own_entry(node, own_counts(node), now)).collect();
        entries.retain(|entry| entry.counts.total() > 0 || entry.claim.is_some());
        if entries.len() > max_entries {
            // One position for all partners could show each partner the same entries every time.
            let next_position = self.next_position.entry(to).or_default();
            let start = *next_position % entries.len();
            *next_position = start + max_entries;
            entries.rotate_left(start);
        }
        let mut bytes = Vec::with_capacity(capacity);
        entries.iter().take(max_entries).for_each(|entry| entry.write(&mut bytes));
        bytes
    }

    fn receive(&mut self, from: Process, age: Duration, bytes: &[u8], now: Duration) -> bool {
        let Some(entries) = EvidenceEntry::read_all(bytes) else { return false };
        let window = self.settings.window();
        if age > window {
            return true;
        }
        let written_at = now.saturating_sub(age);
        for entry in entries {
            if !self.listed_ids.contains(&entry.node) {
                continue;
            }
            let evidence_age = |(_, claim_age)| {
                age.saturating_add(Duration::from_millis(CLAIM_AGE_UNIT_MS * u64::from(claim_age)))
            };
            // A claim whose evidence is older than the window is ignored.
            let evidence_age = entry
                .claim
                .map(evidence_age)
                .filter(|evidence_age| self.is_partial_mesh && *evidence_age <= window);
            let claim_evidence_at = evidence_age.map(|evidence_age| now.saturating_sub(evidence_age));
            let reports = self.reports.entry(entry.node).or_default();
            let new = PeerReport { incarnation: from.incarnation, entry, written_at, claim_evidence_at };
            match reports.get_mut(&from.proxy) {
                // The datagram was overtaken by a later one.
                Some(report)
                    if report.incarnation == from.incarnation
                        && is_older_version(entry.version, report.entry.version) => {}
                Some(report) => *report = new,
                None => {
                    reports.insert(from.proxy, new);
                }
            }
            if reports.len() > MAX_REPORTS_PER_NODE {
                let oldest =
                    reports.iter().min_by_key(|(_, report)| report.written_at).map(|(proxy, _)| *proxy);
                oldest.map(|proxy| reports.remove(&proxy));
            }
        }
        true
    }
}

/// Shifts the parts of a report by its age; attempts beyond the window are dropped.
fn shift_parts(
    parts: [WindowPart; WINDOW_PARTS],
    age: Duration,
    part_length: Duration,
) -> [WindowPart; WINDOW_PARTS] {
    let shift = usize::try_from(age.as_nanos() / part_length.as_nanos().max(1))
        .unwrap_or(WINDOW_PARTS)
        .min(WINDOW_PARTS);
    let mut shifted = [WindowPart::default(); WINDOW_PARTS];
    shifted[shift..].copy_from_slice(&parts[..WINDOW_PARTS - shift]);
    shifted
}

/// Whether a version precedes another one; versions wrap around.
fn is_older_version(version: u32, than: u32) -> bool {
    version.wrapping_sub(than) > u32::MAX / 2
}
