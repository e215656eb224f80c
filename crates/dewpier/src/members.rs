//! Inventories as news of the list: which nodes are new, which return, which go. No I/O.

use crate::fleet::Node;
use dewpier_http::listing::{self, Names};
use dewpier_inventory::{Backend, State};
use dewpier_verdicts::NodeId;
use gannetproxy::engine::{Listed, News};
use gannetproxy::{Entry, Status, Time};
use std::collections::HashMap;
use std::net::SocketAddr;

/// What is remembered of a node that is listed.
#[derive(Clone, Debug)]
struct Member {
    entry: Entry,
    address: SocketAddr,
    serving: bool,
}

/// The nodes of the last list. Bounded by the inventory's own bound: what leaves is forgotten.
#[derive(Debug)]
pub struct Members {
    names: Names,
    zones: Vec<String>,
    members: HashMap<String, Member>,
    first: bool,
    /// What cold ones may be sent, as planners say.
    usual: HashMap<String, f64>,
}

/// Zones that are told apart. Nodes of further ones count as of no zone: zone names come from a
/// file that may change for ever, and their numbers are kept for good.
const MOST_ZONES: usize = 4096;

impl Members {
    /// No list yet. `zones` are those that have numbers.
    pub fn new(zones: Vec<String>) -> Self {
        Self {
            names: Names::new(Vec::new()),
            zones,
            members: HashMap::new(),
            first: true,
            usual: HashMap::new(),
        }
    }

    /// A list as news, at `now`. Nodes of the first one count as warm. A node that appears later,
    /// takes requests again after it drained, or is at another address, is a process that has just
    /// started, as far as anyone can tell: it is sent only what a cold one can take. Which number
    /// it has follows from its id alone, whatever its row or address. `ages` says how long ago nodes started,
    /// in seconds, where somebody else has watched for longer.
    pub fn update_nodes(
        &mut self,
        list: &[(&Backend, SocketAddr)],
        ages: &HashMap<String, f64>,
        now: Time,
    ) -> News {
        let before = std::mem::take(&mut self.members);
        let mut listed = Vec::with_capacity(list.len());
        for (backend, address) in list {
            // A weight of 0 is, as elsewhere, a way to say that nothing new is wanted.
            let serving = backend.state == State::Serving && backend.weight > 0.0;
            let known = before.get(&backend.id).filter(|m| m.address == *address && (m.serving || !serving));
            let started = match (known, ages.get(&backend.id)) {
                (Some(member), _) => member.entry.started,
                (None, Some(age)) => Some(now - age),
                (None, None) if self.first => None,
                (None, None) => Some(now),
            };
            let entry = Entry {
                id: self.names.id(&backend.id),
                cell: backend.cell,
                zone: self.zone(&backend.zone),
                weight: if backend.weight > 0.0 { backend.weight } else { 1.0 },
                status: if serving { Status::InService } else { Status::Draining },
                started,
                usual: self.usual.get(&backend.id).copied(),
            };
            let member = Member { entry: entry.clone(), address: *address, serving };
            self.members.insert(backend.id.clone(), member);
            listed.push(Listed { entry, address: *address });
        }
        self.first = false;
        News::Full(listed)
    }

    /// What cold nodes may be sent, as planners say now. The news is of those for which that has changed.
    pub fn update_budgets(&mut self, usual: HashMap<String, f64>) -> News {
        let before = std::mem::replace(&mut self.usual, usual);
        let mut changed = Vec::new();
        for id in before.keys().chain(self.usual.keys()) {
            let Some(member) = self.members.get_mut(id) else { continue };
            let usual = self.usual.get(id).copied();
            if member.entry.usual != usual {
                member.entry.usual = usual;
                changed.push(Listed { entry: member.entry.clone(), address: member.address });
            }
        }
        News::Changes(changed)
    }

    /// The nodes, as a fleet knows them.
    pub(crate) fn nodes(&self) -> Vec<Node> {
        let node = |(name, member): (&String, &Member)| Node {
            backend: member.entry.id,
            name: name.clone(),
            id: NodeId::of(name, &member.address.to_string()),
            cell: member.entry.cell,
            serving: member.serving,
        };
        self.members.iter().map(node).collect()
    }

    /// The names of nodes by their numbers.
    pub fn node_names(&self) -> HashMap<gannetproxy::BackendId, &str> {
        self.members.iter().map(|(name, member)| (member.entry.id, name.as_str())).collect()
    }

    /// Forgets the numbers of nodes that nothing names any more.
    pub fn forget_unknown_ids(&mut self, known: impl Fn(gannetproxy::BackendId) -> bool) {
        self.names.forget(known);
    }

    fn zone(&mut self, name: &str) -> u32 {
        match self.zones.len() < MOST_ZONES || self.zones.iter().any(|z| z == name) {
            true => listing::zone_index(&mut self.zones, name),
            false => MOST_ZONES as u32,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use dewpier_inventory::Options;

    fn list(members: &mut Members, text: &str, now: Time) -> Vec<Listed> {
        let read = dewpier_inventory::read(text.as_bytes(), "n.csv", &Options::default()).unwrap();
        let all: Vec<_> = read.backends.iter().map(|b| (b, b.address.socket().unwrap())).collect();
        match members.update_nodes(&all, &HashMap::new(), now) {
            News::Full(list) => list,
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn a_node_keeps_its_number_over_rows_and_addresses() {
        let mut members = Members::new(Vec::new());
        let one = list(&mut members, "id,address\na,10.0.0.1:1\nb,10.0.0.1:2\n", 0.0);
        let two = list(&mut members, "id,address\nb,10.0.0.1:2\na,10.0.0.1:3\n", 1.0);
        assert_eq!(one[0].entry.id, two[0].entry.id);
        assert_eq!(one[1].entry.id, two[1].entry.id);
        assert_eq!([two[0].entry.started, two[1].entry.started], [Some(1.0), None], "a is elsewhere now");
    }

    #[test]
    fn what_returns_is_cold_and_what_stays_is_not() {
        let mut members = Members::new(Vec::new());
        let started = |l: &[Listed]| l.iter().map(|l| l.entry.started).collect::<Vec<_>>();
        let row = |state: &str| format!("id,address,state\na,10.0.0.1:1,\nb,10.0.0.1:2,{state}\n");
        assert_eq!(started(&list(&mut members, &row("serving"), 0.0)), [None, None]);
        let drained = list(&mut members, &row("draining"), 1.0);
        assert_eq!(drained[1].entry.status, Status::Draining);
        assert_eq!(started(&drained), [None, None]);
        assert_eq!(started(&list(&mut members, &row("draining"), 2.0)), [None, None]);
        assert_eq!(
            started(&list(&mut members, &row("serving"), 3.0)),
            [None, Some(3.0)],
            "it took none for a while"
        );
        assert_eq!(started(&list(&mut members, &row("serving"), 4.0)), [None, Some(3.0)]);
        list(&mut members, "id,address\na,10.0.0.1:1\n", 5.0);
        assert_eq!(started(&list(&mut members, &row("serving"), 6.0)), [None, Some(6.0)]);
    }

    #[test]
    fn ages_that_others_know_count_and_budgets_are_told_once() {
        let mut members = Members::new(Vec::new());
        let read = dewpier_inventory::read(
            b"id,address\na,10.0.0.1:1\nb,10.0.0.1:2\n",
            "n.csv",
            &Options::default(),
        );
        let read = read.unwrap();
        let all: Vec<_> = read.backends.iter().map(|b| (b, b.address.socket().unwrap())).collect();
        let ages = HashMap::from([("b".to_string(), 3.0)]);
        let News::Full(list) = members.update_nodes(&all, &ages, 10.0) else { panic!() };
        assert_eq!([list[0].entry.started, list[1].entry.started], [None, Some(7.0)]);
        // What it has seen itself is not forgotten for it.
        let News::Full(list) = members.update_nodes(&all, &HashMap::from([("a".to_string(), 0.0)]), 12.0)
        else {
            panic!()
        };
        assert_eq!([list[0].entry.started, list[1].entry.started], [None, Some(7.0)]);
        let mut told = |usual: &[(&str, f64)]| {
            let usual = usual.iter().map(|(id, rate)| (id.to_string(), *rate)).collect();
            let News::Changes(list) = members.update_budgets(usual) else { panic!() };
            list.iter().map(|l| l.entry.usual).collect::<Vec<_>>()
        };
        assert_eq!(told(&[("b", 5.0), ("unknown", 1.0)]), [Some(5.0)]);
        assert_eq!(told(&[("b", 5.0)]), [None; 0]);
        assert_eq!(told(&[("b", 6.0)]), [Some(6.0)]);
        assert_eq!(told(&[]), [None]);
    }

    #[test]
    fn a_weight_of_nothing_drains() {
        let mut members = Members::new(Vec::new());
        let all = list(&mut members, "id,address,weight\na,10.0.0.1:1,0\nb,10.0.0.1:2,0.5\n", 0.0);
        assert_eq!([all[0].entry.status, all[1].entry.status], [Status::Draining, Status::InService]);
    }
}
