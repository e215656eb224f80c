//! Selects the slice of the fleet that one forwarder uses, if it does not use the whole fleet.
//!
//! Rendezvous hashing (Thaler and Ravishankar 1998): each forwarder ranks the nodes by a hash of the node's
//! name and its own name, and uses those that rank highest. Every planner, and the forwarder from its own
//! watch, computes the same slice from the forwarder's name and the fleet, without communication. A node that
//! is added or removed changes few places in the slices that contain it, and no other slice.
//!
//! With each node the slice includes the next-ranked node of the same cell, because a keyed request may be
//! repeated only within the cell that it was sent to. Draining nodes do not count towards the size; nodes
//! ranked behind replace them. A draining node stays in the slice for as long as it would be in the slice if
//! it were serving, so that the forwarder sees the drain from either source.

use crate::{MAX_NODES, Node};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The size of a slice and the forwarder that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slice {
    seed: u64,
    size: usize,
}

/// Rank and index of a node; the highest rank sorts first.
type Ranked = Reverse<(u64, usize)>;

/// The nodes of a fleet, indexed for the selection of slices. Built once for all forwarders.
#[derive(Debug, Default)]
pub struct CellIndex {
    /// Hash of each node's name.
    hashes: Vec<u64>,
    /// Indices of the nodes of each cell.
    members: BTreeMap<u32, Vec<usize>>,
}

impl CellIndex {
    /// Builds the index of `nodes`.
    pub fn new(nodes: &[Node]) -> Self {
        let mut cells = Self::default();
        for (index, node) in nodes.iter().enumerate() {
            cells.hashes.push(xxh3_64(node.id.as_bytes()));
            cells.members.entry(node.cell).or_default().push(index);
        }
        cells
    }
}

/// The nodes selected so far.
struct Selection<'a> {
    nodes: &'a [Node],
    size: usize,
    serving: usize,
    draining: usize,
    selected: BTreeSet<usize>,
}

impl Selection<'_> {
    fn is_full(&self) -> bool {
        self.serving >= self.size
    }

    /// Selects a node if there is space. Returns true if the node takes requests.
    fn add(&mut self, index: usize) -> bool {
        let Some(node) = self.nodes.get(index).filter(|_| !self.is_full()) else { return false };
        if !self.selected.contains(&index) && (!node.draining || self.draining < self.size) {
            self.selected.insert(index);
            self.serving += usize::from(!node.draining);
            self.draining += usize::from(node.draining);
        }
        !node.draining
    }
}

impl Slice {
    /// The slice of the named forwarder, with `size` serving nodes. The size is clamped to 1 to
    /// [`MAX_NODES`].
    pub fn new(name: &str, size: usize) -> Self {
        Self { seed: xxh3_64(name.as_bytes()), size: size.clamp(1, MAX_NODES) }
    }

    /// Maximum number of serving nodes in the slice. It contains at most as many draining nodes in addition.
    pub fn size(&self) -> usize {
        self.size
    }

    fn rank(&self, cells: &CellIndex, index: usize) -> Ranked {
        let hash = cells.hashes.get(index).copied().unwrap_or_default();
        Reverse((xxh3_64_with_seed(&hash.to_le_bytes(), self.seed), index))
    }

    /// Selects the slice from `nodes`, in their order. `cells` must be the index of the same list.
    pub fn select<'a>(&self, nodes: &'a [Node], cells: &CellIndex) -> Vec<&'a Node> {
        let serving = nodes.iter().filter(|n| !n.draining).count();
        if serving <= self.size && nodes.len() - serving <= self.size {
            return nodes.iter().collect();
        }
        let mut ranking: Vec<Ranked> = (0..nodes.len()).map(|index| self.rank(cells, index)).collect();
        let mut selection =
            Selection { nodes, size: self.size, serving: 0, draining: 0, selected: BTreeSet::new() };
        let mut visited_cells = BTreeSet::new();
        // The ranking is sorted piece by piece; the first piece is usually enough.
        let mut rest = &mut ranking[..];
        while !rest.is_empty() && !selection.is_full() {
            let length = (2 * self.size).min(rest.len());
            if length < rest.len() {
                rest.select_nth_unstable(length - 1);
            }
            let (head, tail) = std::mem::take(&mut rest).split_at_mut(length);
            head.sort_unstable();
            for Reverse((_, index)) in head {
                selection.add(*index);
                let cell = nodes[*index].cell;
                if selection.is_full() || !visited_cells.insert(cell) {
                    continue;
                }
                let others = cells.members.get(&cell).into_iter().flatten().filter(|other| *other != index);
                let mut others: Vec<Ranked> = others.map(|other| self.rank(cells, *other)).collect();
                others.sort_unstable();
                // Stops at the first node that takes requests.
                let _ =
                    others.into_iter().any(|Reverse((_, other))| selection.add(other) || selection.is_full());
            }
            rest = tail;
        }
        selection.selected.into_iter().filter_map(|index| nodes.get(index)).collect()
    }

    /// Selects the slice from a list that is used only once.
    pub fn select_owned(&self, nodes: Vec<Node>) -> Vec<Node> {
        self.select(&nodes, &CellIndex::new(&nodes)).into_iter().cloned().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::{BTreeSet, HashMap};

    fn fleet(nodes: usize, per_cell: usize) -> Vec<Node> {
        let node = |i: usize| Node {
            id: format!("pricing-{i:05}"),
            address: ([10, 0, (i / 250) as u8, (i % 250) as u8], 80).into(),
            zone: String::new(),
            cell: (i / per_cell) as u32,
            weight: 1.0,
            draining: false,
            age_ms: None,
        };
        (0..nodes).map(node).collect()
    }

    fn ids(nodes: &[Node]) -> BTreeSet<String> {
        nodes.iter().map(|n| n.id.clone()).collect()
    }

    #[test]
    fn ranking_is_stable_across_releases() {
        // Releases that rank differently would select different slices of one plan.
        let selected_nodes = Slice::new("forwarder-1", 3).select_owned(fleet(50, 50));
        let slice_ids: Vec<&str> = selected_nodes.iter().map(|n| n.id.as_str()).collect();
        assert_eq!(slice_ids, EXPECTED_SLICE);
    }

    const EXPECTED_SLICE: [&str; 3] = ["pricing-00002", "pricing-00006", "pricing-00011"];

    #[test]
    fn slices_have_the_requested_size_and_nodes_are_spread_evenly() {
        for per_cell in [1, 4, 300, 1000] {
            let nodes = fleet(1000, per_cell);
            let cells = CellIndex::new(&nodes);
            let mut uses: HashMap<&str, usize> = HashMap::new();
            for forwarder in 0..1000 {
                let selected_nodes = Slice::new(&format!("f{forwarder}"), 64).select(&nodes, &cells);
                assert_eq!(selected_nodes.len(), 64, "{per_cell} a cell");
                assert!(
                    selected_nodes.windows(2).all(|pair| pair[0].id < pair[1].id),
                    "slice keeps the order of the list"
                );
                selected_nodes.into_iter().for_each(|n| *uses.entry(&n.id).or_default() += 1);
            }
            // 64 on average, with a standard deviation of 8; whole cells of 4 have the same distribution.
            let (min, max) = (uses.values().min().unwrap(), uses.values().max().unwrap());
            assert!(uses.len() == 1000 && *min > 25 && *max < 110, "{per_cell} a cell: {min} to {max}");
        }
    }

    #[test]
    fn slice_has_at_least_two_nodes_of_each_cell_with_several_nodes() {
        for per_cell in [1, 2, 4, 100] {
            let selected_nodes = Slice::new("f", 64).select_owned(fleet(1000, per_cell));
            let mut cells: HashMap<u32, usize> = HashMap::new();
            selected_nodes.iter().for_each(|n| *cells.entry(n.cell).or_default() += 1);
            let single = cells.values().filter(|n| **n == 1).count();
            // The node selected last may have had no space for a second node of its cell.
            assert!(if per_cell == 1 { single == 64 } else { single <= 1 }, "{per_cell} a cell: {cells:?}");
            assert!(cells.len() >= 10, "expected at least 10 cells: {cells:?}");
        }
    }

    #[test]
    fn removed_node_changes_few_entries() {
        for per_cell in [1, 4, 1000] {
            let nodes = fleet(1000, per_cell);
            let slice = Slice::new("f", 64);
            let before = ids(&slice.select_owned(nodes.clone()));
            let mut moved = 0;
            for removed in 0..1000 {
                let mut remaining = nodes.clone();
                let removed = remaining.remove(removed);
                let after = ids(&slice.select_owned(remaining));
                let dropped = before.difference(&after).count();
                assert!(dropped <= 3, "{per_cell} a cell: {dropped} of {}", removed.id);
                assert!(
                    before.contains(&removed.id) || dropped == 0,
                    "{per_cell} a cell: {} was not in the slice",
                    removed.id
                );
                moved += dropped;
            }
            assert!(
                (64..=if per_cell == 4 { 130 } else { 64 }).contains(&moved),
                "{per_cell} a cell: {moved}"
            );
        }
    }

    #[test]
    fn draining_node_is_replaced_and_stays_in_the_slice() {
        let (nodes, slice) = (fleet(200, 4), Slice::new("f", 16));
        let before = ids(&slice.select_owned(nodes.clone()));
        for at in 0..200 {
            let mut draining = nodes.clone();
            draining[at].draining = true;
            let selected_nodes = slice.select_owned(draining);
            assert_eq!(selected_nodes.iter().filter(|n| !n.draining).count(), 16);
            let after = ids(&selected_nodes);
            assert_eq!(before.difference(&after).count(), 0, "no node leaves the slice");
            assert_eq!(after.len(), if before.contains(&nodes[at].id) { 17 } else { 16 });
        }
    }

    #[test]
    fn slice_of_a_slice_is_the_same_slice_with_any_drains() {
        let mut rng = dewpier_standins::rng::Rng::from_env("SLICE_SEED", 5);
        for _ in 0..300 {
            let seed = rng.next_u64();
            let mut rng = dewpier_standins::rng::Rng::new(seed);
            let mut nodes = fleet(1 + rng.below(120), 1 + rng.below(30));
            let drained_percent = rng.below(101);
            nodes.iter_mut().for_each(|n| n.draining = rng.below(100) < drained_percent);
            let slice = Slice::new("f", 1 + rng.below(30));
            let selected_nodes = slice.select_owned(nodes.clone());
            let count = |nodes: &[Node], draining| nodes.iter().filter(|n| n.draining == draining).count();
            assert_eq!(count(&selected_nodes, false), slice.size().min(count(&nodes, false)), "seed {seed}");
            assert!(count(&selected_nodes, true) <= slice.size(), "seed {seed}: draining nodes are limited");
            assert_eq!(slice.select_owned(selected_nodes.clone()), selected_nodes, "seed {seed}");
            // A forwarder that lacks some of the drains selects only nodes of this slice.
            if count(&selected_nodes, true) < slice.size() {
                let mut stale = nodes;
                stale.iter_mut().for_each(|n| n.draining &= rng.below(2) == 0);
                assert!(ids(&slice.select_owned(stale)).is_subset(&ids(&selected_nodes)), "seed {seed}");
            }
        }
    }
}
