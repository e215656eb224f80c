//! Gathers the nodes of a file, and sees that no two clash.

use crate::error::{Fault, FaultKind, Problem, RawPosition};
use crate::fields::Fields;
use crate::{Backend, Options, Position};
use hashbrown::{DefaultHashBuilder, HashTable};
use std::hash::BuildHasher;
use std::sync::Arc;

/// Nodes gathered so far, with their spots. The tables hold places in `nodes`, so that neither ids
/// nor addresses are kept twice.
pub(crate) struct Collector<'o> {
    options: &'o Options,
    nodes: Vec<Backend>,
    spots: Vec<[RawPosition; 2]>,
    hasher: DefaultHashBuilder,
    ids: HashTable<u32>,
    addresses: HashTable<u32>,
    /// Zones are few: each is kept once.
    zones: Vec<Arc<str>>,
}

/// So many zones are looked through for one that is known; more are kept apart.
const ZONES_SOUGHT: usize = 16;

impl<'o> Collector<'o> {
    pub fn new(options: &'o Options) -> Self {
        Self {
            options,
            nodes: Vec::new(),
            spots: Vec::new(),
            hasher: DefaultHashBuilder::default(),
            ids: HashTable::new(),
            addresses: HashTable::new(),
            zones: Vec::new(),
        }
    }

    /// Makes room for so many nodes, if so many may be: growing step by step would hash and move
    /// all of them over and over.
    pub fn reserve(&mut self, nodes: usize) {
        let nodes = nodes.min(self.options.max_nodes);
        self.nodes.reserve(nodes);
        self.spots.reserve(nodes);
        self.ids.reserve(nodes, |_| 0);
        self.addresses.reserve(nodes, |_| 0);
    }

    /// Checks and takes in a node. One that has no id is named by its address.
    pub fn add(&mut self, fields: &Fields<'_>) -> Result<(), Fault> {
        let max = self.options.max_nodes;
        if self.nodes.len() >= max {
            let problem = Problem::LimitExceeded { what: "nodes", max, found: "more".into() };
            return Err(Fault::new(fields.at, problem));
        }
        let address = fields.address(self.options.default_port)?;
        let (id, id_at) = match &fields.id {
            Some(id) => (id.name("id")?.to_string(), id.at),
            None => (address.to_string(), fields.at),
        };
        let address_at = fields.address.or(fields.host).map_or(fields.at, |raw| raw.at);
        let backend = Backend {
            zone: self.zone(fields.zone.as_ref().map_or(Ok(""), |raw| raw.zone())?),
            cell: fields.cell.map_or(Ok(0), |raw| raw.cell())?,
            weight: fields.weight.map_or(Ok(1.0), |raw| raw.weight(fields.comma))?,
            state: fields.state.map_or(Ok(Default::default()), |raw| raw.state())?,
            at: Position { line: fields.at.0, column: fields.at.1 },
            id,
            address,
        };
        self.keep(backend, id_at, address_at)
    }

    fn keep(&mut self, new: Backend, id_at: RawPosition, address_at: RawPosition) -> Result<(), Fault> {
        let place = self.nodes.len() as u32; // max_nodes is bounded by memory long before this
        let Self { nodes, spots, hasher, ids, addresses, .. } = self;
        let hash = hasher.hash_one(new.id.as_str());
        if let Some(&other) = ids.find(hash, |&i| nodes[i as usize].id == new.id) {
            let first = spots[other as usize][0];
            return Err(Fault { at: id_at, what: FaultKind::Duplicate { what: "id", value: new.id, first } });
        }
        ids.insert_unique(hash, place, |&i| hasher.hash_one(nodes[i as usize].id.as_str()));
        let hash = hasher.hash_one(&new.address);
        if let Some(&other) = addresses.find(hash, |&i| nodes[i as usize].address == new.address) {
            let (first, other) = (spots[other as usize][1], nodes[other as usize].id.clone());
            let address = new.address.to_string();
            let what = FaultKind::DuplicateAddress { address, id: new.id, other, first };
            return Err(Fault { at: address_at, what });
        }
        addresses.insert_unique(hash, place, |&i| hasher.hash_one(&nodes[i as usize].address));
        self.nodes.push(new);
        self.spots.push([id_at, address_at]);
        Ok(())
    }

    fn zone(&mut self, name: &str) -> Arc<str> {
        if let Some(known) = self.zones.iter().take(ZONES_SOUGHT).find(|z| ***z == *name) {
            return known.clone();
        }
        let zone: Arc<str> = name.into();
        if self.zones.len() < ZONES_SOUGHT {
            self.zones.push(zone.clone());
        }
        zone
    }

    /// The nodes by id, with their places as the format tells them.
    pub fn finish(
        self,
        place: impl Fn(RawPosition) -> Position,
        empty: (RawPosition, &str),
    ) -> Result<Vec<Backend>, Fault> {
        let mut nodes = self.nodes;
        if nodes.is_empty() {
            return Err(Fault::new(empty.0, Problem::Empty { found: empty.1.to_string() }));
        }
        for node in &mut nodes {
            node.at = place(RawPosition(node.at.line, node.at.column));
        }
        nodes.sort_unstable_by(|a: &Backend, b| a.id.cmp(&b.id));
        Ok(nodes)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fields::Raw;

    #[test]
    fn one_address_in_two_forms_is_one() {
        let options = Options::default();
        let mut collector = Collector::new(&options);
        let raw = |text| Some(Raw { text, at: RawPosition(1, 1) });
        let node = |id, address| Fields { id: raw(id), address: raw(address), ..Fields::default() };
        collector.add(&node("a", "[::1]:80")).unwrap();
        assert!(collector.add(&node("b", "[0:0::1]:80")).is_err());
        assert_eq!(collector.nodes.len(), 1, "what is refused is not kept");
    }
}
