//! What all forwarders send together, and what of it a cold node may get from each.
//!
//! A node that has just started is sent a part of what it would usually be sent, that grows with its age;
//! the decision module of each forwarder says which. What is usual it can only guess from its own
//! requests, and with many forwarders the guesses need not add up. Planners hear all of them: what a node
//! would usually be sent by all is their rate over the weights of the nodes that are warm, and that is
//! dealt out here, so that the parts add up to it.

use crate::{Digest, Node};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// A digest that is older does not count.
const FRESH: Duration = Duration::from_secs(5);
/// The part of what is usual for a cold node that is kept for forwarders that don't use it yet.
const NEWCOMERS: f64 = 0.1;
/// Rates are kept in millionths of a request a second: whole numbers, as sums that digests come into
/// and go out of must not drift.
const UNIT: f64 = 1e6;

#[derive(Debug)]
struct Load {
    at: Duration,
    rate: u128,
    /// The nodes that it has requests at or has sent some.
    uses: Vec<String>,
}

/// What those who use a node serve together, and how many they are.
#[derive(Clone, Copy, Debug, Default)]
struct Users {
    rate: u128,
    count: usize,
}

/// The last digest of each forwarder, by the number of its connection: there are as many as are let in.
///
/// The sums that budgets come from are kept along, so that the cost of a digest grows with the nodes
/// that it names and with the cold ones, not with the number of forwarders. Bound: the names of
/// [`crate::MAX_DIGEST_NODES`] nodes for each forwarder that is let in.
#[derive(Debug, Default)]
pub struct Loads {
    loads: HashMap<u64, Load>,
    /// The same by when they came.
    order: BTreeSet<(Duration, u64)>,
    total: u128,
    users: HashMap<String, Users>,
}

impl Loads {
    /// A forwarder sends a digest.
    pub fn record_digest(&mut self, forwarder: u64, digest: Digest, now: Duration) {
        self.remove_forwarder(forwarder);
        let served: u64 = digest.nodes.iter().map(|n| u64::from(n.served)).sum();
        let served = u128::from(served + u64::from(digest.other_served));
        let rate = served * 1000 * UNIT as u128 / u128::from(digest.interval_ms.max(1));
        let used = digest.nodes.into_iter().filter(|n| n.sent > 0 || n.in_flight > 0).map(|n| n.id);
        // Each once, whatever a digest says.
        let uses: Vec<String> = used.collect::<BTreeSet<_>>().into_iter().collect();
        for id in &uses {
            let users = self.users.entry(id.clone()).or_default();
            users.rate += rate;
            users.count += 1;
        }
        self.total += rate;
        self.order.insert((now, forwarder));
        self.loads.insert(forwarder, Load { at: now, rate, uses });
    }

    /// It is gone.
    pub fn remove_forwarder(&mut self, forwarder: u64) {
        let Some(load) = self.loads.remove(&forwarder) else { return };
        self.order.remove(&(load.at, forwarder));
        self.total -= load.rate;
        for id in load.uses {
            let Some(users) = self.users.get_mut(&id) else { continue };
            users.rate -= load.rate;
            users.count -= 1;
            if users.count == 0 {
                self.users.remove(&id);
            }
        }
    }

    /// Forgets digests that are too old.
    fn age(&mut self, now: Duration) {
        while let Some(&(at, forwarder)) = self.order.first()
            && now.saturating_sub(at) > FRESH
        {
            self.remove_forwarder(forwarder);
        }
    }

    /// What all of them serve, in requests a second.
    pub fn total_rate(&mut self, now: Duration) -> f64 {
        self.age(now);
        self.total as f64 / UNIT
    }

    /// What that forwarder would usually send a cold node, in requests a second. `warm` is the weight of all
    /// nodes that are warm. The parts of all forwarders add up to the node's part of what all serve, but for
    /// a forwarder that has sent no digest lately: it gets none of it.
    pub fn usual_rate(&mut self, forwarder: u64, node: &Node, warm: f64, now: Duration) -> f64 {
        // Where no node is warm there is nothing to go by but what is served.
        let all = self.total_rate(now) * node.weight / if warm > 0.0 { warm } else { node.weight };
        let Some(own) = self.loads.get(&forwarder) else {
            return 0.0;
        };
        let users = self.users.get(&node.id).copied().unwrap_or_default();
        let uses = own.uses.binary_search(&node.id).is_ok();
        let mixed = users.count > 0 && users.count < self.loads.len();
        let alike = if uses { users.rate } else { self.total - users.rate };
        let part = match (mixed, uses) {
            (false, _) => 1.0,
            (true, true) => 1.0 - NEWCOMERS,
            (true, false) => NEWCOMERS,
        };
        if alike > 0 { all * part * own.rate as f64 / alike as f64 } else { 0.0 }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Counts;

    fn digest(nodes: &[(&str, u32)]) -> Digest {
        let counts =
            |(id, n): &(&str, u32)| Counts { id: id.to_string(), sent: *n, served: *n, ..Counts::default() };
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
    fn the_parts_of_all_add_up_to_what_is_usual() {
        let (mut loads, now) = (Loads::default(), Duration::from_secs(10));
        loads.record_digest(1, digest(&[("a", 100), ("b", 100)]), now);
        loads.record_digest(2, digest(&[("a", 50), ("c", 50)]), now);
        loads.record_digest(3, digest(&[("b", 100)]), now);
        assert_eq!(loads.total_rate(now), 800.0);
        let sum = |loads: &mut Loads, node: &Node| -> f64 {
            (1..=3).map(|f| loads.usual_rate(f, node, 4.0, now)).sum()
        };
        // Nobody uses it yet, one does, all do: a node twice as large as one of four.
        let cold = node("new", 2.0);
        assert_eq!((sum(&mut loads, &cold), loads.usual_rate(1, &cold, 4.0, now)), (400.0, 200.0));
        loads.record_digest(2, digest(&[("a", 50), ("new", 50)]), now);
        assert_eq!((sum(&mut loads, &cold), loads.usual_rate(2, &cold, 4.0, now)), (400.0, 360.0));
        loads.record_digest(1, digest(&[("new", 200)]), now);
        loads.record_digest(3, digest(&[("new", 100)]), now);
        assert_eq!((sum(&mut loads, &cold), loads.usual_rate(2, &cold, 4.0, now)), (400.0, 100.0));
        // One that is gone or silent has no part, and the others have it.
        loads.remove_forwarder(1);
        let later = now + Duration::from_secs(6);
        loads.record_digest(3, digest(&[("new", 100)]), later);
        assert_eq!(
            (loads.usual_rate(2, &cold, 4.0, later), loads.usual_rate(3, &cold, 4.0, later)),
            (0.0, 100.0)
        );
        assert_eq!(loads.usual_rate(9, &cold, 4.0, later), 0.0, "a stranger");
        assert_eq!(loads.usual_rate(3, &cold, 0.0, later), 200.0, "no node is warm");
    }
}
