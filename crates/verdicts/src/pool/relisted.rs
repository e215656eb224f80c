//! Remembers nodes that were removed from the list and added again: another process may run at the same address, so
//! that earlier evidence must not count against it.

use crate::{AttemptCounts, NodeId, Settings, WINDOW_PARTS, WindowPart};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// The attempts in a part of a report are older than the position of the part says by at most this many parts: the
/// youngest slot is incomplete, and the ages of reports are rounded down to whole parts.
const MAX_PART_AGE_ERROR: usize = 2;

/// The number of removed nodes that are remembered. Above it the oldest ones are forgotten, and count as new if they
/// are added again.
const MAX_REMOVED_NODES: usize = 20_000;

/// The nodes that were recently removed from the list, at most [`MAX_REMOVED_NODES`], and the listed nodes that were
/// recently added again.
#[derive(Debug, Default)]
pub(super) struct RelistedNodes {
    removed_at: HashMap<NodeId, Duration>,
    relisted_at: HashMap<NodeId, Duration>,
}

impl RelistedNodes {
    /// Records that the list changed from `before` to `after`. Nodes are remembered for `max_evidence_age`.
    pub fn update(
        &mut self,
        before: &HashSet<NodeId>,
        after: &HashSet<NodeId>,
        now: Duration,
        max_evidence_age: Duration,
    ) {
        self.removed_at.retain(|_, at| now.saturating_sub(*at) <= max_evidence_age);
        self.relisted_at.retain(|_, at| now.saturating_sub(*at) <= max_evidence_age);
        for node in before.difference(after) {
            self.relisted_at.remove(node);
            self.removed_at.insert(*node, now);
        }
        if let Some(excess) =
            self.removed_at.len().checked_sub(MAX_REMOVED_NODES).filter(|excess| *excess > 0)
        {
            let mut oldest: Vec<(Duration, NodeId)> =
                self.removed_at.iter().map(|(node, at)| (*at, *node)).collect();
            oldest.sort_unstable();
            for (_, node) in oldest.into_iter().take(excess) {
                self.removed_at.remove(&node);
            }
        }
        for node in after.difference(before) {
            // Evidence on a node that was never listed counts at once.
            if self.removed_at.remove(node).is_some() {
                self.relisted_at.insert(*node, now);
            }
        }
    }

    /// Whether a node was added again within the last `window`: verdicts of other proxies may then still concern the
    /// previous process.
    pub fn was_relisted_within(&self, node: NodeId, now: Duration, window: Duration) -> bool {
        self.relisted_at.get(&node).is_some_and(|at| now.saturating_sub(*at) <= window)
    }

    /// The evidence of another proxy without all that may precede the node's return.
    pub fn restrict_to_relisted(
        &self,
        settings: &Settings,
        node: NodeId,
        counts: AttemptCounts,
        parts: [WindowPart; WINDOW_PARTS],
        now: Duration,
    ) -> (AttemptCounts, [WindowPart; WINDOW_PARTS]) {
        let Some(at) = self.relisted_at.get(&node) else { return (counts, parts) };
        let part_length = settings.window() / WINDOW_PARTS as u32;
        let whole_parts = now.saturating_sub(*at).as_nanos() / part_length.as_nanos().max(1);
        let fresh_parts = usize::try_from(whole_parts)
            .unwrap_or(WINDOW_PARTS + MAX_PART_AGE_ERROR)
            .saturating_sub(MAX_PART_AGE_ERROR)
            .min(WINDOW_PARTS);
        let mut retained = [WindowPart::default(); WINDOW_PARTS];
        retained[..fresh_parts].copy_from_slice(&parts[..fresh_parts]);
        (counts_of_parts(counts, &retained), retained)
    }
}

/// The counts of some parts. Parts don't tell the kind of failures, so that all are counted as the most frequent kind.
fn counts_of_parts(counts: AttemptCounts, parts: &[WindowPart]) -> AttemptCounts {
    let good = parts.iter().map(|p| p.good).fold(0, u32::saturating_add);
    let bad = parts.iter().map(|p| p.bad).fold(0, u32::saturating_add);
    let mut restricted = AttemptCounts { good, ..AttemptCounts::default() };
    let by_kind = [counts.unreached, counts.failed, counts.silent, counts.slow];
    let max_count = by_kind.iter().max().copied().unwrap_or_default();
    match by_kind.iter().position(|count| *count == max_count) {
        Some(0) => restricted.unreached = bad,
        Some(1) => restricted.failed = bad,
        Some(2) => restricted.silent = bad,
        _ => restricted.slow = bad,
    }
    restricted
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn evidence_from_before_a_relisting_does_not_count_and_new_nodes_count_at_once() {
        let settings = Settings { max_evidence_age: Duration::from_secs(16), ..Settings::default() };
        let (s, max_age) = (Duration::from_secs, settings.max_evidence_age);
        let (one, two) = (NodeId(1), NodeId(2));
        let (both, first) = (HashSet::from([one, two]), HashSet::from([one]));
        let mut nodes = RelistedNodes::default();
        nodes.update(&HashSet::new(), &first, s(100), max_age);
        nodes.update(&first, &both, s(101), max_age);
        let (counts, parts) = (
            AttemptCounts { silent: 8, ..AttemptCounts::default() },
            [WindowPart { good: 0, bad: 1 }; WINDOW_PARTS],
        );
        let silent_count = |nodes: &RelistedNodes, now| {
            nodes.restrict_to_relisted(&settings, two, counts, parts, s(now)).0.silent
        };
        assert_eq!(silent_count(&nodes, 101), 8, "the node is new");
        nodes.update(&both, &first, s(110), max_age);
        nodes.update(&first, &both, s(111), max_age);
        // A part is one second long here: after two more the youngest part can't precede the return.
        assert_eq!([111, 113, 114, 116, 121].map(|now| silent_count(&nodes, now)), [0, 0, 1, 3, 8]);
        assert_eq!(
            [111, 119, 120].map(|now| nodes.was_relisted_within(two, s(now), max_age / 2)),
            [true, true, false]
        );
        assert!(!nodes.was_relisted_within(one, s(111), max_age / 2));
        assert_eq!(
            nodes.restrict_to_relisted(&settings, one, counts, parts, s(111)).0,
            counts,
            "the node was listed all the time"
        );
        // Lists that change completely each time don't use unbounded memory.
        let many = |from: u64| -> HashSet<NodeId> { (from..from + 15_000).map(NodeId).collect() };
        let mut full = RelistedNodes::default();
        for (n, at) in [(1, 1u64), (2, 2), (3, 3), (4, 4)] {
            full.update(&many(n * 20_000), &many((n + 1) * 20_000), s(at), max_age);
        }
        assert_eq!(full.removed_at.len(), MAX_REMOVED_NODES);
        assert!(
            full.removed_at.contains_key(&NodeId(80_000)) && full.removed_at.values().all(|at| *at >= s(3))
        );
        // A node that was removed long ago counts as new.
        nodes.update(&both, &first, s(130), max_age);
        nodes.update(&first, &both, s(147), max_age);
        assert_eq!((silent_count(&nodes, 147), nodes.removed_at.len()), (8, 0));
    }
}
