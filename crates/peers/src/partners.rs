//! With whom a proxy talks: with all in a small fleet, in a larger one with those at doubling distances round a
//! ring of all names.

use crate::ProxyId;
use std::collections::BTreeSet;

/// Up to so many others there is a datagram from each to each.
pub const ALL_TO_ALL: usize = 16;

/// The partners of a proxy among all names. Whoever has the same names comes to the same pairs, and each pair
/// is mutual, as questions have to come back. With `n` names there are at most 2 log2(n) + 1 of them, and news
/// reach everybody in at most log2(n) steps, in half of that on average; where one partner is gone there are
/// other ways.
///
/// Names are put in the order of their hashes, so that neighbours in the list of an operator, who often fail
/// together, are not neighbours here.
pub fn partners(me: ProxyId, all: &[ProxyId]) -> Vec<ProxyId> {
    let ring: Vec<ProxyId> = all.iter().copied().chain([me]).collect::<BTreeSet<_>>().into_iter().collect();
    let Ok(place) = ring.binary_search(&me) else { return Vec::new() };
    let count = ring.len();
    if count <= ALL_TO_ALL + 1 {
        return ring.into_iter().filter(|name| *name != me).collect();
    }
    let mut found = BTreeSet::new();
    let mut distance = 1;
    while distance <= count / 2 {
        found.insert((place + distance) % count);
        found.insert((place + count - distance) % count);
        distance *= 2;
    }
    found.into_iter().filter(|at| *at != place).map(|at| ring[at]).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::{HashMap, VecDeque};

    fn names(count: u64) -> Vec<ProxyId> {
        (0..count).map(|i| ProxyId::from_name(&format!("proxy-{i}"))).collect()
    }

    #[test]
    fn pairs_are_mutual_and_reach_all_in_few_steps() {
        for (count, most, steps) in
            [(1, 0, 0), (2, 1, 1), (17, 16, 1), (18, 8, 5), (300, 17, 9), (1000, 19, 10)]
        {
            let all = names(count);
            let of: HashMap<ProxyId, Vec<ProxyId>> = all.iter().map(|n| (*n, partners(*n, &all))).collect();
            for (name, theirs) in &of {
                assert!(theirs.len() <= most, "{count}: {}", theirs.len());
                assert!(theirs.iter().all(|other| of[other].contains(name)), "{count}: a pair of one side");
            }
            let mut reached = HashMap::from([(all[0], 0)]);
            let mut next = VecDeque::from([all[0]]);
            while let Some(name) = next.pop_front() {
                for other in &of[&name] {
                    if !reached.contains_key(other) {
                        reached.insert(*other, reached[&name] + 1);
                        next.push_back(*other);
                    }
                }
            }
            assert_eq!(reached.len() as u64, count);
            let farthest = reached.values().max().copied().unwrap_or_default();
            assert!(farthest <= steps, "{count}: {farthest} steps");
        }
    }

    #[test]
    fn it_is_found_among_names_that_do_not_hold_it_and_doubled_ones() {
        let mut all = names(5);
        all.extend(names(5));
        let others = partners(ProxyId::from_name("new"), &all);
        assert_eq!(others.len(), 5);
    }
}
