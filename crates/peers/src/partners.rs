//! Selects a proxy's partners: all others in a small fleet, and in a larger one those at power-of-two distances on a
//! ring of all proxies.

use crate::ProxyId;
use std::collections::BTreeSet;

/// With at most this many other proxies every proxy is a partner of every other one.
pub const MAX_FULL_MESH_PEERS: usize = 16;

/// Returns the partners of a proxy. Every proxy that is given the same fleet computes the same pairs, and the pairs
/// are mutual, as timestamps have to be echoed. With `n` proxies each has at most 2 log2(n) + 1 partners, and
/// information reaches every proxy in at most log2(n) hops, half of that on average, by several paths.
///
/// Proxies are ordered by the hashes of their names, because neighbours in an operator's list often fail together.
pub fn select_partners(own_id: ProxyId, fleet: &[ProxyId]) -> Vec<ProxyId> {
    let ring: Vec<ProxyId> =
        fleet.iter().copied().chain([own_id]).collect::<BTreeSet<_>>().into_iter().collect();
    let Ok(position) = ring.binary_search(&own_id) else { return Vec::new() };
    let count = ring.len();
    if count <= MAX_FULL_MESH_PEERS + 1 {
        return ring.into_iter().filter(|proxy| *proxy != own_id).collect();
    }
    let mut positions = BTreeSet::new();
    let mut distance = 1;
    while distance <= count / 2 {
        positions.insert((position + distance) % count);
        positions.insert((position + count - distance) % count);
        distance *= 2;
    }
    positions.into_iter().filter(|at| *at != position).map(|at| ring[at]).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::{HashMap, VecDeque};

    fn proxies(count: u64) -> Vec<ProxyId> {
        (0..count).map(|i| ProxyId::from_name(&format!("proxy-{i}"))).collect()
    }

    #[test]
    fn pairs_are_mutual_and_connect_the_fleet_in_few_hops() {
        for (count, max_partners, max_hops) in
            [(1, 0, 0), (2, 1, 1), (17, 16, 1), (18, 8, 5), (300, 17, 9), (1000, 19, 10)]
        {
            let fleet = proxies(count);
            let partners_of: HashMap<ProxyId, Vec<ProxyId>> =
                fleet.iter().map(|proxy| (*proxy, select_partners(*proxy, &fleet))).collect();
            for (proxy, own_partners) in &partners_of {
                assert!(own_partners.len() <= max_partners, "{count}: {}", own_partners.len());
                assert!(
                    own_partners.iter().all(|other| partners_of[other].contains(proxy)),
                    "{count}: a pair is not mutual"
                );
            }
            let mut hops_to = HashMap::from([(fleet[0], 0)]);
            let mut next = VecDeque::from([fleet[0]]);
            while let Some(proxy) = next.pop_front() {
                for other in &partners_of[&proxy] {
                    if !hops_to.contains_key(other) {
                        hops_to.insert(*other, hops_to[&proxy] + 1);
                        next.push_back(*other);
                    }
                }
            }
            assert_eq!(hops_to.len() as u64, count);
            let farthest = hops_to.values().max().copied().unwrap_or_default();
            assert!(farthest <= max_hops, "{count}: {farthest} hops");
        }
    }

    #[test]
    fn unlisted_own_id_and_duplicate_ids_are_accepted() {
        let mut fleet = proxies(5);
        fleet.extend(proxies(5));
        let others = select_partners(ProxyId::from_name("new"), &fleet);
        assert_eq!(others.len(), 5);
    }
}
