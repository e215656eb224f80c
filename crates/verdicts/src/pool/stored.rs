//! Converts reports of other proxies and active verdicts to and from their form in a snapshot.

use super::{ActiveVerdict, MAX_REPORTS_PER_NODE, PeerReport, Verdicts};
use crate::judge::{Claim, Kind};
use crate::snapshot::{StoredReport, StoredVerdict, millis_rounded_up};
use crate::wire::{ENTRY_BYTES, EvidenceEntry};
use crate::{NodeId, Settings};
use dewpier_peers::ProxyId;
use std::collections::BTreeMap;
use std::time::Duration;

/// The kinds by their stored number; part of the format of snapshots.
const STORED_KINDS: [Kind; 5] = [Kind::Gone, Kind::Failing, Kind::Silent, Kind::Slow, Kind::Link];

/// Converts an age at the time of storing to a time on this process's clock; None if it is beyond the window.
fn time_of(settings: &Settings, age_ms: u64, elapsed: Duration, now: Duration) -> Option<Duration> {
    let age = elapsed.checked_add(Duration::from_millis(age_ms))?;
    now.checked_sub(age).filter(|_| age <= settings.window())
}

impl Verdicts {
    /// The reports of other proxies to store in a snapshot, the youngest first.
    pub(crate) fn stored_reports(&self, now: Duration) -> Vec<StoredReport> {
        let all =
            self.reports.iter().flat_map(|(node, reports)| reports.iter().map(move |report| (node, report)));
        let store = |(node, (proxy, report)): (&NodeId, (&ProxyId, &PeerReport))| {
            let mut bytes = Vec::with_capacity(ENTRY_BYTES);
            EvidenceEntry { node: *node, ..report.entry }.write(&mut bytes);
            let entry = <[u8; ENTRY_BYTES]>::try_from(bytes).ok()?;
            let age_ms = millis_rounded_up(now.saturating_sub(report.written_at));
            let claim_evidence_age_ms =
                report.claim_evidence_at.map(|at| millis_rounded_up(now.saturating_sub(at)));
            Some(StoredReport {
                proxy: proxy.0,
                incarnation: report.incarnation,
                age_ms,
                claim_evidence_age_ms,
                entry,
            })
        };
        let mut reports: Vec<StoredReport> = all.filter_map(store).collect();
        reports.sort_by_key(|report| (report.age_ms, report.proxy));
        reports
    }

    /// The active verdicts to store in a snapshot, without their evidence.
    pub(crate) fn stored_verdicts(&self, now: Duration) -> Vec<StoredVerdict> {
        let store = |(node, verdict): (&NodeId, &ActiveVerdict)| {
            let kind = STORED_KINDS.iter().position(|kind| *kind == verdict.kind)? as u8;
            Some(StoredVerdict {
                node: node.0,
                kind,
                severe: verdict.claim.severe,
                age_ms: millis_rounded_up(now.saturating_sub(verdict.since)),
                evidence_age_ms: millis_rounded_up(now.saturating_sub(verdict.latest_evidence_at)),
                sent_from_here: verdict.sent_from_here,
                senders: verdict.senders.iter().map(|proxy| proxy.0).collect(),
            })
        };
        self.active.iter().filter_map(store).collect()
    }

    /// Restores reports that a predecessor stored `elapsed` ago: those of peers, on listed nodes, that have not
    /// expired. Returns their number.
    pub(crate) fn restore_reports(
        &mut self,
        stored: &[StoredReport],
        is_peer: impl Fn(ProxyId) -> bool,
        elapsed: Duration,
        now: Duration,
    ) -> usize {
        let mut restored = 0;
        for item in stored.iter().filter(|item| is_peer(ProxyId(item.proxy))) {
            let entry = EvidenceEntry::read(&item.entry);
            let Some(written_at) = time_of(&self.settings, item.age_ms, elapsed, now) else { continue };
            if !self.listed_ids.contains(&entry.node) {
                continue;
            }
            let claim_evidence_at =
                item.claim_evidence_age_ms.and_then(|age_ms| time_of(&self.settings, age_ms, elapsed, now));
            let reports: &mut BTreeMap<ProxyId, PeerReport> = self.reports.entry(entry.node).or_default();
            // A report received since the start is younger.
            if reports.len() < MAX_REPORTS_PER_NODE && !reports.contains_key(&ProxyId(item.proxy)) {
                reports.insert(
                    ProxyId(item.proxy),
                    PeerReport { incarnation: item.incarnation, entry, written_at, claim_evidence_at },
                );
                restored += 1;
            }
        }
        restored
    }

    /// Restores verdicts that a predecessor stored `elapsed` ago, and returns their number. The next judgement ends
    /// those that the remaining evidence does not support.
    pub(crate) fn restore_verdicts(
        &mut self,
        stored: &[StoredVerdict],
        elapsed: Duration,
        now: Duration,
    ) -> usize {
        let mut restored = 0;
        for item in stored {
            let node = NodeId(item.node);
            let Some(kind) = STORED_KINDS.get(usize::from(item.kind)).copied() else { continue };
            let Some(latest_evidence_at) = time_of(&self.settings, item.evidence_age_ms, elapsed, now) else {
                continue;
            };
            if !self.listed_ids.contains(&node) || self.active.contains_key(&node) {
                continue;
            }
            let since = now.saturating_sub(elapsed.saturating_add(Duration::from_millis(item.age_ms)));
            let senders =
                item.senders.iter().take(MAX_REPORTS_PER_NODE).map(|proxy| ProxyId(*proxy)).collect();
            let claim = Claim { severe: item.severe, kind };
            let verdict = ActiveVerdict {
                senders,
                sent_from_here: item.sent_from_here,
                kind,
                claim,
                since,
                latest_evidence_at,
                log_odds: 0.0,
                observers: 0,
            };
            self.active.insert(node, verdict);
            restored += 1;
        }
        restored
    }
}
