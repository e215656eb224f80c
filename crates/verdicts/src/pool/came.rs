//! Nodes that were gone from the list and are back: another process may be at the same address, and what was seen of the
//! one before speaks against nobody.

use crate::{AttemptCounts, NodeId, Settings, WINDOW_PARTS, WindowPart};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// What a word tells in a part is at most as old as two more parts: slots are begun ones, and ages are cut to parts.
const LATER: usize = 2;

/// Nodes that are remembered as gone: of more the oldest are forgotten, and are as new where they come back.
const MOST_LEFT: usize = 20_000;

/// Which nodes left the list lately, and which came back. Bounds: [`MOST_LEFT`] of those that left, and of those that came
/// back as many as are listed.
#[derive(Debug, Default)]
pub(super) struct Came {
    left: HashMap<NodeId, Duration>,
    back: HashMap<NodeId, Duration>,
}

impl Came {
    /// The list was this and is that from now on.
    pub fn list(
        &mut self,
        before: &HashSet<NodeId>,
        after: &HashSet<NodeId>,
        now: Duration,
        stale: Duration,
    ) {
        self.left.retain(|_, at| now.saturating_sub(*at) <= stale);
        self.back.retain(|_, at| now.saturating_sub(*at) <= stale);
        for node in before.difference(after) {
            self.back.remove(node);
            self.left.insert(*node, now);
        }
        if let Some(more) = self.left.len().checked_sub(MOST_LEFT).filter(|more| *more > 0) {
            let mut oldest: Vec<(Duration, NodeId)> =
                self.left.iter().map(|(node, at)| (*at, *node)).collect();
            oldest.sort_unstable();
            for (_, node) in oldest.into_iter().take(more) {
                self.left.remove(&node);
            }
        }
        for node in after.difference(before) {
            // Who was never here has nothing behind it, and is judged at once.
            if self.left.remove(node).is_some() {
                self.back.insert(*node, now);
            }
        }
    }

    /// It came back so lately that verdicts which others hold on it may be on the process before: for as long as somebody
    /// who has not heard of that goes by attempts there.
    pub fn lately(&self, node: NodeId, now: Duration, window: Duration) -> bool {
        self.back.get(&node).is_some_and(|at| now.saturating_sub(*at) <= window)
    }

    /// What another saw of a node, without all that may be of before it came back.
    pub fn since(
        &self,
        settings: &Settings,
        node: NodeId,
        counts: AttemptCounts,
        parts: [WindowPart; WINDOW_PARTS],
        now: Duration,
    ) -> (AttemptCounts, [WindowPart; WINDOW_PARTS]) {
        let Some(at) = self.back.get(&node) else { return (counts, parts) };
        let each = settings.window() / WINDOW_PARTS as u32;
        let whole = now.saturating_sub(*at).as_nanos() / each.as_nanos().max(1);
        let fresh =
            usize::try_from(whole).unwrap_or(WINDOW_PARTS + LATER).saturating_sub(LATER).min(WINDOW_PARTS);
        let mut kept = [WindowPart::default(); WINDOW_PARTS];
        kept[..fresh].copy_from_slice(&parts[..fresh]);
        (shrunk(counts, &kept), kept)
    }
}

/// As much of a counts as parts of it hold, what went wrong in the way that most of it did.
fn shrunk(counts: AttemptCounts, parts: &[WindowPart]) -> AttemptCounts {
    let good = parts.iter().map(|p| p.good).fold(0, u32::saturating_add);
    let bad = parts.iter().map(|p| p.bad).fold(0, u32::saturating_add);
    let mut left = AttemptCounts { good, ..AttemptCounts::default() };
    let ways = [counts.unreached, counts.failed, counts.silent, counts.slow];
    let most = ways.iter().max().copied().unwrap_or_default();
    match ways.iter().position(|count| *count == most) {
        Some(0) => left.unreached = bad,
        Some(1) => left.failed = bad,
        Some(2) => left.silent = bad,
        _ => left.slow = bad,
    }
    left
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_may_be_of_before_a_node_came_back_does_not_count_and_new_nodes_count_at_once() {
        let settings = Settings { max_evidence_age: Duration::from_secs(16), ..Settings::default() };
        let (s, stale) = (Duration::from_secs, settings.max_evidence_age);
        let (one, two) = (NodeId(1), NodeId(2));
        let (both, first) = (HashSet::from([one, two]), HashSet::from([one]));
        let mut came = Came::default();
        came.list(&HashSet::new(), &first, s(100), stale);
        came.list(&first, &both, s(101), stale);
        let (counts, parts) = (
            AttemptCounts { silent: 8, ..AttemptCounts::default() },
            [WindowPart { good: 0, bad: 1 }; WINDOW_PARTS],
        );
        let seen = |came: &Came, now| came.since(&settings, two, counts, parts, s(now)).0.silent;
        assert_eq!(seen(&came, 101), 8, "it is new");
        came.list(&both, &first, s(110), stale);
        came.list(&first, &both, s(111), stale);
        // A part is a second here: two later what the youngest one tells can't be of before.
        assert_eq!([111, 113, 114, 116, 121].map(|now| seen(&came, now)), [0, 0, 1, 3, 8]);
        assert_eq!([111, 119, 120].map(|now| came.lately(two, s(now), stale / 2)), [true, true, false]);
        assert!(!came.lately(one, s(111), stale / 2));
        assert_eq!(came.since(&settings, one, counts, parts, s(111)).0, counts, "it was here all the time");
        // Lists that are new each time fill nothing without end.
        let many = |from: u64| -> HashSet<NodeId> { (from..from + 15_000).map(NodeId).collect() };
        let mut filled = Came::default();
        for (n, at) in [(1, 1u64), (2, 2), (3, 3), (4, 4)] {
            filled.list(&many(n * 20_000), &many((n + 1) * 20_000), s(at), stale);
        }
        assert_eq!(filled.left.len(), MOST_LEFT);
        assert!(filled.left.contains_key(&NodeId(80_000)) && filled.left.values().all(|at| *at >= s(3)));
        // What left long ago is as new.
        came.list(&both, &first, s(130), stale);
        came.list(&first, &both, s(147), stale);
        assert_eq!((seen(&came, 147), came.left.len()), (8, 0));
    }
}
