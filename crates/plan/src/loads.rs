//! Sums the load of all forwarders and divides the budget of each cold node among them.
//!
//! A node that has just started is sent a fraction of its usual rate that grows with its age; the decision
//! module of each forwarder computes the fraction. A single forwarder can only estimate the usual rate from
//! its own requests, and the estimates of many forwarders need not add up. Planners receive the digests of
//! all forwarders. They compute the usual rate of a node as the total rate times the node's fraction of the
//! warm weight, and divide it so that the shares add up to it.

use crate::{Digest, Node};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Digests older than this are ignored.
const MAX_DIGEST_AGE: Duration = Duration::from_secs(5);
/// Fraction of a cold node's usual rate that is reserved for forwarders that do not use the node yet.
const NEW_USER_FRACTION: f64 = 0.1;
/// Rates are stored as whole millionths of a request per second, so that adding and removing digests causes
/// no rounding drift.
const UNITS_PER_REQUEST: f64 = 1e6;

#[derive(Debug)]
struct Load {
    received_at: Duration,
    rate: u128,
    /// The nodes that the forwarder sent requests to or has open requests at.
    used_nodes: Vec<String>,
}

/// The total rate and the number of the forwarders that use a node.
#[derive(Clone, Copy, Debug, Default)]
struct Users {
    rate: u128,
    count: usize,
}

/// The latest digest of each forwarder, by the number of its connection.
///
/// The sums for the budgets are updated with each digest, so the cost of a digest grows with the nodes that
/// it names and with the cold nodes, not with the number of forwarders. Memory is bounded by
/// [`crate::MAX_DIGEST_NODES`] names for each connected forwarder.
#[derive(Debug, Default)]
pub struct Loads {
    loads: HashMap<u64, Load>,
    /// The same forwarders, ordered by the time of their digest.
    by_time: BTreeSet<(Duration, u64)>,
    total: u128,
    users: HashMap<String, Users>,
}

impl Loads {
    /// Replaces the digest of a forwarder.
    pub fn record_digest(&mut self, forwarder: u64, digest: Digest, now: Duration) {
        self.remove_forwarder(forwarder);
        let served: u64 = digest.nodes.iter().map(|n| u64::from(n.served)).sum();
        let served = u128::from(served + u64::from(digest.other_served));
        let rate = served * 1000 * UNITS_PER_REQUEST as u128 / u128::from(digest.interval_ms.max(1));
        let used_ids = digest.nodes.into_iter().filter(|n| n.sent > 0 || n.in_flight > 0).map(|n| n.id);
        // A digest may name a node more than once.
        let used_nodes: Vec<String> = used_ids.collect::<BTreeSet<_>>().into_iter().collect();
        for id in &used_nodes {
            let users = self.users.entry(id.clone()).or_default();
            users.rate += rate;
            users.count += 1;
        }
        self.total += rate;
        self.by_time.insert((now, forwarder));
        self.loads.insert(forwarder, Load { received_at: now, rate, used_nodes });
    }

    /// Removes a forwarder and its digest.
    pub fn remove_forwarder(&mut self, forwarder: u64) {
        let Some(load) = self.loads.remove(&forwarder) else { return };
        self.by_time.remove(&(load.received_at, forwarder));
        self.total -= load.rate;
        for id in load.used_nodes {
            let Some(users) = self.users.get_mut(&id) else { continue };
            users.rate -= load.rate;
            users.count -= 1;
            if users.count == 0 {
                self.users.remove(&id);
            }
        }
    }

    /// Removes digests that are too old.
    fn remove_expired(&mut self, now: Duration) {
        while let Some(&(at, forwarder)) = self.by_time.first()
            && now.saturating_sub(at) > MAX_DIGEST_AGE
        {
            self.remove_forwarder(forwarder);
        }
    }

    /// The rate that all forwarders together serve, in requests per second.
    pub fn total_rate(&mut self, now: Duration) -> f64 {
        self.remove_expired(now);
        self.total as f64 / UNITS_PER_REQUEST
    }

    /// The usual rate of one forwarder to a cold node, in requests per second. `warm_weight` is the total
    /// weight of all warm nodes. The rates of all forwarders add up to the node's fraction of the total rate.
    /// A forwarder without a recent digest has no share.
    pub fn usual_rate(&mut self, forwarder: u64, node: &Node, warm_weight: f64, now: Duration) -> f64 {
        // Without warm nodes only the total rate is known.
        let node_rate =
            self.total_rate(now) * node.weight / if warm_weight > 0.0 { warm_weight } else { node.weight };
        let Some(own) = self.loads.get(&forwarder) else {
            return 0.0;
        };
        let users = self.users.get(&node.id).copied().unwrap_or_default();
        let is_user = own.used_nodes.binary_search(&node.id).is_ok();
        let mixed = users.count > 0 && users.count < self.loads.len();
        let group_rate = if is_user { users.rate } else { self.total - users.rate };
        let fraction = match (mixed, is_user) {
            (false, _) => 1.0,
            (true, true) => 1.0 - NEW_USER_FRACTION,
            (true, false) => NEW_USER_FRACTION,
        };
        if group_rate > 0 { node_rate * fraction * own.rate as f64 / group_rate as f64 } else { 0.0 }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::NodeCounts;

    fn digest(nodes: &[(&str, u32)]) -> Digest {
        let counts = |(id, n): &(&str, u32)| NodeCounts {
            id: id.to_string(),
            sent: *n,
            served: *n,
            ..NodeCounts::default()
        };
        Digest { interval_ms: 500, nodes: nodes.iter().map(counts).collect(), other_served: 0 }
    }

    fn node(id: &str, weight: f64) -> Node {
        Node {
            id: id.into(),
            address: "10.0.0.1:80".parse().unwrap(),
            zone: String::new(),
            cell: 0,
            weight,
            draining: false,
            age_ms: Some(0),
        }
    }

    #[test]
    fn shares_of_all_forwarders_add_up_to_the_usual_rate() {
        let (mut loads, now) = (Loads::default(), Duration::from_secs(10));
        loads.record_digest(1, digest(&[("a", 100), ("b", 100)]), now);
        loads.record_digest(2, digest(&[("a", 50), ("c", 50)]), now);
        loads.record_digest(3, digest(&[("b", 100)]), now);
        assert_eq!(loads.total_rate(now), 800.0);
        let sum = |loads: &mut Loads, node: &Node| -> f64 {
            (1..=3).map(|f| loads.usual_rate(f, node, 4.0, now)).sum()
        };
        // The node is used by no forwarder yet, by one, and by all. Its weight is 2 of a warm weight of 4.
        let cold = node("new", 2.0);
        assert_eq!((sum(&mut loads, &cold), loads.usual_rate(1, &cold, 4.0, now)), (400.0, 200.0));
        loads.record_digest(2, digest(&[("a", 50), ("new", 50)]), now);
        assert_eq!((sum(&mut loads, &cold), loads.usual_rate(2, &cold, 4.0, now)), (400.0, 360.0));
        loads.record_digest(1, digest(&[("new", 200)]), now);
        loads.record_digest(3, digest(&[("new", 100)]), now);
        assert_eq!((sum(&mut loads, &cold), loads.usual_rate(2, &cold, 4.0, now)), (400.0, 100.0));
        // A forwarder that is gone or silent has no share; the others divide it.
        loads.remove_forwarder(1);
        let later = now + Duration::from_secs(6);
        loads.record_digest(3, digest(&[("new", 100)]), later);
        assert_eq!(
            (loads.usual_rate(2, &cold, 4.0, later), loads.usual_rate(3, &cold, 4.0, later)),
            (0.0, 100.0)
        );
        assert_eq!(loads.usual_rate(9, &cold, 4.0, later), 0.0, "unknown forwarder");
        assert_eq!(loads.usual_rate(3, &cold, 0.0, later), 200.0, "no node is warm");
    }
}
