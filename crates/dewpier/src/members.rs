//! Tracks the listed nodes and turns each new list into an update for the engine: which nodes are new, have returned
//! or have left. No I/O.

use crate::fleet::FleetNode;
use dewpier_http::listing::{self, BackendIds};
use dewpier_inventory::{Backend, State};
use dewpier_verdicts::NodeId;
use gannetproxy::engine::{BackendListUpdate, ListedBackend};
use gannetproxy::{BackendEntry, Status, Time};
use std::collections::HashMap;
use std::net::SocketAddr;

/// A listed node.
#[derive(Clone, Debug)]
struct ListedNode {
    entry: BackendEntry,
    address: SocketAddr,
    serving: bool,
}

/// The nodes of the last list. The inventory's limit bounds their number, as nodes that leave are removed.
#[derive(Debug)]
pub struct NodeTracker {
    backend_ids: BackendIds,
    /// Zone names by index.
    zones: Vec<String>,
    /// The listed nodes by name.
    listed_nodes: HashMap<String, ListedNode>,
    /// Whether no list has been taken yet.
    is_first_list: bool,
    /// The planners' budgets of cold nodes, in requests per second by node name.
    budgets: HashMap<String, f64>,
}

/// Maximum number of zones with an index of their own; nodes of further zones share one. Indexes are never freed,
/// while the zone names of the inventory may change any number of times.
const MAX_ZONES: usize = 4096;

impl NodeTracker {
    /// Creates a tracker without nodes. `zones` already have indexes, in this order.
    pub fn new(zones: Vec<String>) -> Self {
        Self {
            backend_ids: BackendIds::new(Vec::new()),
            zones,
            listed_nodes: HashMap::new(),
            is_first_list: true,
            budgets: HashMap::new(),
        }
    }

    /// Takes a new list at `now` and returns the update for the engine. Nodes of the first list count as warm. A node
    /// that appears later, serves again after a drain or has another address counts as just started, hence cold. A
    /// node's backend id depends on its name alone, not on its row or address. `ages` holds the time since nodes started,
    /// in seconds by name, as far as planners know it.
    pub fn update_nodes(
        &mut self,
        list: &[(&Backend, SocketAddr)],
        ages: &HashMap<String, f64>,
        now: Time,
    ) -> BackendListUpdate {
        let previous = std::mem::take(&mut self.listed_nodes);
        let mut listed = Vec::with_capacity(list.len());
        for (backend, address) in list {
            // A weight of 0 drains the node.
            let serving = backend.state == State::Serving && backend.weight > 0.0;
            let unchanged = previous
                .get(&backend.id)
                .filter(|listed_node| listed_node.address == *address && (listed_node.serving || !serving));
            let started = match (unchanged, ages.get(&backend.id)) {
                (Some(listed_node), _) => listed_node.entry.started,
                (None, Some(age)) => Some(now - age),
                (None, None) if self.is_first_list => None,
                (None, None) => Some(now),
            };
            let entry = BackendEntry {
                id: self.backend_ids.id_for(&backend.id),
                cell: backend.cell,
                zone: self.zone_index(&backend.zone),
                weight: if backend.weight > 0.0 { backend.weight } else { 1.0 },
                status: if serving { Status::InService } else { Status::Draining },
                started,
                usual_rate: self.budgets.get(&backend.id).copied(),
            };
            let listed_node = ListedNode { entry: entry.clone(), address: *address, serving };
            self.listed_nodes.insert(backend.id.clone(), listed_node);
            listed.push(ListedBackend { entry, address: *address });
        }
        self.is_first_list = false;
        BackendListUpdate::Full(listed)
    }

    /// Takes the planners' new budgets of cold nodes and returns an update with the nodes whose budget has changed.
    pub fn update_budgets(&mut self, budgets: HashMap<String, f64>) -> BackendListUpdate {
        let previous = std::mem::replace(&mut self.budgets, budgets);
        let mut changed = Vec::new();
        for id in previous.keys().chain(self.budgets.keys()) {
            let Some(listed_node) = self.listed_nodes.get_mut(id) else { continue };
            let budget = self.budgets.get(id).copied();
            if listed_node.entry.usual_rate != budget {
                listed_node.entry.usual_rate = budget;
                changed
                    .push(ListedBackend { entry: listed_node.entry.clone(), address: listed_node.address });
            }
        }
        BackendListUpdate::Changes(changed)
    }

    /// The listed nodes as the fleet identifies them.
    pub(crate) fn nodes(&self) -> Vec<FleetNode> {
        let fleet_node = |(name, listed_node): (&String, &ListedNode)| FleetNode {
            backend: listed_node.entry.id,
            name: name.clone(),
            id: NodeId::new(name, &listed_node.address.to_string()),
            cell: listed_node.entry.cell,
            serving: listed_node.serving,
        };
        self.listed_nodes.iter().map(fleet_node).collect()
    }

    /// The names of the listed nodes by backend id.
    pub fn node_names(&self) -> HashMap<gannetproxy::BackendId, &str> {
        self.listed_nodes.iter().map(|(name, listed_node)| (listed_node.entry.id, name.as_str())).collect()
    }

    /// Frees the backend ids that `is_known` rejects.
    pub fn forget_unknown_ids(&mut self, is_known: impl Fn(gannetproxy::BackendId) -> bool) {
        self.backend_ids.retain(is_known);
    }

    /// The index of a zone.
    fn zone_index(&mut self, name: &str) -> u32 {
        match self.zones.len() < MAX_ZONES || self.zones.iter().any(|zone| zone == name) {
            true => listing::zone_index(&mut self.zones, name),
            false => MAX_ZONES as u32,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use dewpier_inventory::Options;

    fn apply_list(tracker: &mut NodeTracker, text: &str, now: Time) -> Vec<ListedBackend> {
        let inventory = dewpier_inventory::read(text.as_bytes(), "n.csv", &Options::default()).unwrap();
        let backends: Vec<_> =
            inventory.backends.iter().map(|b| (b, b.address.socket_address().unwrap())).collect();
        match tracker.update_nodes(&backends, &HashMap::new(), now) {
            BackendListUpdate::Full(list) => list,
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn node_keeps_its_id_when_its_row_or_address_changes() {
        let mut tracker = NodeTracker::new(Vec::new());
        let first = apply_list(&mut tracker, "id,address\na,10.0.0.1:1\nb,10.0.0.1:2\n", 0.0);
        let second = apply_list(&mut tracker, "id,address\nb,10.0.0.1:2\na,10.0.0.1:3\n", 1.0);
        assert_eq!(first[0].entry.id, second[0].entry.id);
        assert_eq!(first[1].entry.id, second[1].entry.id);
        assert_eq!(
            [second[0].entry.started, second[1].entry.started],
            [Some(1.0), None],
            "a has another address"
        );
    }

    #[test]
    fn returning_nodes_are_cold_and_remaining_ones_are_not() {
        let mut tracker = NodeTracker::new(Vec::new());
        let started =
            |list: &[ListedBackend]| list.iter().map(|listed| listed.entry.started).collect::<Vec<_>>();
        let row = |state: &str| format!("id,address,state\na,10.0.0.1:1,\nb,10.0.0.1:2,{state}\n");
        assert_eq!(started(&apply_list(&mut tracker, &row("serving"), 0.0)), [None, None]);
        let drained = apply_list(&mut tracker, &row("draining"), 1.0);
        assert_eq!(drained[1].entry.status, Status::Draining);
        assert_eq!(started(&drained), [None, None]);
        assert_eq!(started(&apply_list(&mut tracker, &row("draining"), 2.0)), [None, None]);
        assert_eq!(
            started(&apply_list(&mut tracker, &row("serving"), 3.0)),
            [None, Some(3.0)],
            "it was draining before"
        );
        assert_eq!(started(&apply_list(&mut tracker, &row("serving"), 4.0)), [None, Some(3.0)]);
        apply_list(&mut tracker, "id,address\na,10.0.0.1:1\n", 5.0);
        assert_eq!(started(&apply_list(&mut tracker, &row("serving"), 6.0)), [None, Some(6.0)]);
    }

    #[test]
    fn ages_apply_to_new_nodes_and_unchanged_budgets_are_not_repeated() {
        let mut tracker = NodeTracker::new(Vec::new());
        let inventory = dewpier_inventory::read(
            b"id,address\na,10.0.0.1:1\nb,10.0.0.1:2\n",
            "n.csv",
            &Options::default(),
        );
        let inventory = inventory.unwrap();
        let backends: Vec<_> =
            inventory.backends.iter().map(|b| (b, b.address.socket_address().unwrap())).collect();
        let ages = HashMap::from([("b".to_string(), 3.0)]);
        let BackendListUpdate::Full(list) = tracker.update_nodes(&backends, &ages, 10.0) else { panic!() };
        assert_eq!([list[0].entry.started, list[1].entry.started], [None, Some(7.0)]);
        // An age does not replace a start that is already known.
        let BackendListUpdate::Full(list) =
            tracker.update_nodes(&backends, &HashMap::from([("a".to_string(), 0.0)]), 12.0)
        else {
            panic!()
        };
        assert_eq!([list[0].entry.started, list[1].entry.started], [None, Some(7.0)]);
        let mut changed_budgets = |budgets: &[(&str, f64)]| {
            let budgets = budgets.iter().map(|(id, rate)| (id.to_string(), *rate)).collect();
            let BackendListUpdate::Changes(list) = tracker.update_budgets(budgets) else { panic!() };
            list.iter().map(|listed| listed.entry.usual_rate).collect::<Vec<_>>()
        };
        assert_eq!(changed_budgets(&[("b", 5.0), ("unknown", 1.0)]), [Some(5.0)]);
        assert_eq!(changed_budgets(&[("b", 5.0)]), [None; 0]);
        assert_eq!(changed_budgets(&[("b", 6.0)]), [Some(6.0)]);
        assert_eq!(changed_budgets(&[]), [None]);
    }

    #[test]
    fn weight_of_zero_drains_the_node() {
        let mut tracker = NodeTracker::new(Vec::new());
        let list = apply_list(&mut tracker, "id,address,weight\na,10.0.0.1:1,0\nb,10.0.0.1:2,0.5\n", 0.0);
        assert_eq!([list[0].entry.status, list[1].entry.status], [Status::Draining, Status::InService]);
    }
}
