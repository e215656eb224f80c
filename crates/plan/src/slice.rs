//! Which part of a fleet one forwarder uses, where it does not use all of it.
//!
//! Rendezvous hashing (Thaler and Ravishankar 1998): each forwarder ranks the nodes by a hash of their names
//! with its own, and uses those that rank highest. Whoever knows the forwarder's name and the fleet comes to
//! the same part without asking anyone: all planners, and the forwarder by its own watch. A node that comes
//! or goes changes few places in the parts that it is in, and no other part.
//!
//! A node brings the next of its cell along, as a keyed request may be repeated only within the cell that it
//! was sent to. Draining nodes don't count to the size: those that rank behind stand in for them. What
//! drains stays in the part as draining for as long as it would be in it were it serving: so a forwarder
//! knows of it whichever source it turns to.

use crate::{MAX_NODES, Node};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How large a part is, and whose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slice {
    seed: u64,
    size: usize,
}

/// A rank and the place in the list of who has it: the highest comes first.
type Ranked = Reverse<(u64, usize)>;

/// The nodes of a fleet as slices are cut from them. Made once for all forwarders.
#[derive(Debug, Default)]
pub struct CellIndex {
    /// The hash of each node's name.
    hashes: Vec<u64>,
    /// The places of each cell's nodes.
    members: BTreeMap<u32, Vec<usize>>,
}

impl CellIndex {
    /// Of these nodes.
    pub fn new(nodes: &[Node]) -> Self {
        let mut cells = Self::default();
        for (place, node) in nodes.iter().enumerate() {
            cells.hashes.push(xxh3_64(node.id.as_bytes()));
            cells.members.entry(node.cell).or_default().push(place);
        }
        cells
    }
}

/// What has been taken so far.
struct Taken<'a> {
    nodes: &'a [Node],
    size: usize,
    serving: usize,
    draining: usize,
    places: BTreeSet<usize>,
}

impl Taken<'_> {
    fn full(&self) -> bool {
        self.serving >= self.size
    }

    /// Takes that node, if there is room. True where it takes requests.
    fn take(&mut self, place: usize) -> bool {
        let Some(node) = self.nodes.get(place).filter(|_| !self.full()) else { return false };
        if !self.places.contains(&place) && (!node.draining || self.draining < self.size) {
            self.places.insert(place);
            self.serving += usize::from(!node.draining);
            self.draining += usize::from(node.draining);
        }
        !node.draining
    }
}

impl Slice {
    /// The part of the forwarder of that name, of so many nodes that take requests. A size below 1 is
    /// taken as 1, one over [`MAX_NODES`] as that.
    pub fn new(name: &str, size: usize) -> Self {
        Self { seed: xxh3_64(name.as_bytes()), size: size.clamp(1, MAX_NODES) }
    }

    /// Nodes that take requests in the part, where there are so many. At most as many draining ones are
    /// in it beside them.
    pub fn size(&self) -> usize {
        self.size
    }

    fn ranked(&self, cells: &CellIndex, place: usize) -> Ranked {
        let hash = cells.hashes.get(place).copied().unwrap_or_default();
        Reverse((xxh3_64_with_seed(&hash.to_le_bytes(), self.seed), place))
    }

    /// The part of these nodes, in their order. `cells` are those of the same list.
    pub fn select<'a>(&self, nodes: &'a [Node], cells: &CellIndex) -> Vec<&'a Node> {
        let serving = nodes.iter().filter(|n| !n.draining).count();
        if serving <= self.size && nodes.len() - serving <= self.size {
            return nodes.iter().collect();
        }
        let mut order: Vec<Ranked> = (0..nodes.len()).map(|place| self.ranked(cells, place)).collect();
        let mut taken = Taken { nodes, size: self.size, serving: 0, draining: 0, places: BTreeSet::new() };
        let mut together = BTreeSet::new();
        // Sorted piece by piece: mostly the first is enough.
        let mut rest = &mut order[..];
        while !rest.is_empty() && !taken.full() {
            let piece = (2 * self.size).min(rest.len());
            if piece < rest.len() {
                rest.select_nth_unstable(piece - 1);
            }
            let (first, after) = std::mem::take(&mut rest).split_at_mut(piece);
            first.sort_unstable();
            for Reverse((_, place)) in first {
                taken.take(*place);
                let cell = nodes[*place].cell;
                if taken.full() || !together.insert(cell) {
                    continue;
                }
                let others = cells.members.get(&cell).into_iter().flatten().filter(|other| *other != place);
                let mut others: Vec<Ranked> = others.map(|other| self.ranked(cells, *other)).collect();
                others.sort_unstable();
                // Up to the first that takes requests.
                let _ = others.into_iter().any(|Reverse((_, other))| taken.take(other) || taken.full());
            }
            rest = after;
        }
        taken.places.into_iter().filter_map(|place| nodes.get(place)).collect()
    }

    /// The same of a list that nobody else needs.
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
    fn ranks_are_the_same_for_every_release() {
        // Two releases that ranked differently would cut two parts of one plan.
        let part = Slice::new("forwarder-1", 3).select_owned(fleet(50, 50));
        let part: Vec<&str> = part.iter().map(|n| n.id.as_str()).collect();
        assert_eq!(part, PINNED);
    }

    const PINNED: [&str; 3] = ["pricing-00002", "pricing-00006", "pricing-00011"];

    #[test]
    fn parts_are_of_their_size_and_every_node_is_in_as_many_as_chance_has_it() {
        for per_cell in [1, 4, 300, 1000] {
            let nodes = fleet(1000, per_cell);
            let cells = CellIndex::new(&nodes);
            let mut uses: HashMap<&str, usize> = HashMap::new();
            for forwarder in 0..1000 {
                let part = Slice::new(&format!("f{forwarder}"), 64).select(&nodes, &cells);
                assert_eq!(part.len(), 64, "{per_cell} a cell");
                assert!(part.windows(2).all(|pair| pair[0].id < pair[1].id), "in the order of the list");
                part.into_iter().for_each(|n| *uses.entry(&n.id).or_default() += 1);
            }
            // 64 on average with a deviation of 8; whole cells of 4 have the same.
            let (least, most) = (uses.values().min().unwrap(), uses.values().max().unwrap());
            assert!(uses.len() == 1000 && *least > 25 && *most < 110, "{per_cell} a cell: {least} to {most}");
        }
    }

    #[test]
    fn no_cell_but_those_of_one_node_has_a_single_node_in_a_part() {
        for per_cell in [1, 2, 4, 100] {
            let part = Slice::new("f", 64).select_owned(fleet(1000, per_cell));
            let mut cells: HashMap<u32, usize> = HashMap::new();
            part.iter().for_each(|n| *cells.entry(n.cell).or_default() += 1);
            let single = cells.values().filter(|n| **n == 1).count();
            // The last one that was taken may have left no room.
            assert!(if per_cell == 1 { single == 64 } else { single <= 1 }, "{per_cell} a cell: {cells:?}");
            assert!(cells.len() >= 10, "spread over cells: {cells:?}");
        }
    }

    #[test]
    fn a_node_that_leaves_changes_few_places() {
        for per_cell in [1, 4, 1000] {
            let nodes = fleet(1000, per_cell);
            let slice = Slice::new("f", 64);
            let before = ids(&slice.select_owned(nodes.clone()));
            let mut moved = 0;
            for gone in 0..1000 {
                let mut less = nodes.clone();
                let gone = less.remove(gone);
                let after = ids(&slice.select_owned(less));
                let left = before.difference(&after).count();
                assert!(left <= 3, "{per_cell} a cell: {left} of {}", gone.id);
                assert!(
                    before.contains(&gone.id) || left == 0,
                    "{per_cell} a cell: {} was not in it",
                    gone.id
                );
                moved += left;
            }
            assert!(
                (64..=if per_cell == 4 { 130 } else { 64 }).contains(&moved),
                "{per_cell} a cell: {moved}"
            );
        }
    }

    #[test]
    fn the_next_one_stands_in_for_a_node_that_drains_which_stays_listed() {
        let (nodes, slice) = (fleet(200, 4), Slice::new("f", 16));
        let before = ids(&slice.select_owned(nodes.clone()));
        for at in 0..200 {
            let mut drains = nodes.clone();
            drains[at].draining = true;
            let part = slice.select_owned(drains);
            assert_eq!(part.iter().filter(|n| !n.draining).count(), 16);
            let after = ids(&part);
            assert_eq!(before.difference(&after).count(), 0, "nothing that was in it leaves");
            assert_eq!(after.len(), if before.contains(&nodes[at].id) { 17 } else { 16 });
        }
    }

    #[test]
    fn a_part_of_a_part_is_that_part_whatever_drains() {
        let mut rng = dewpier_standins::rng::Rng::from_env("SLICE_SEED", 5);
        for _ in 0..300 {
            let seed = rng.number();
            let mut rng = dewpier_standins::rng::Rng::new(seed);
            let mut nodes = fleet(1 + rng.below(120), 1 + rng.below(30));
            let drained = rng.below(101);
            nodes.iter_mut().for_each(|n| n.draining = rng.below(100) < drained);
            let slice = Slice::new("f", 1 + rng.below(30));
            let part = slice.select_owned(nodes.clone());
            let count = |nodes: &[Node], draining| nodes.iter().filter(|n| n.draining == draining).count();
            assert_eq!(count(&part, false), slice.size().min(count(&nodes, false)), "seed {seed}");
            assert!(count(&part, true) <= slice.size(), "seed {seed}: however many drain");
            assert_eq!(slice.select_owned(part.clone()), part, "seed {seed}");
            // Who has not heard of some of the drains comes to no node that is not in this part.
            if count(&part, true) < slice.size() {
                let mut stale = nodes;
                stale.iter_mut().for_each(|n| n.draining &= rng.below(2) == 0);
                assert!(ids(&slice.select_owned(stale)).is_subset(&ids(&part)), "seed {seed}");
            }
        }
    }
}
