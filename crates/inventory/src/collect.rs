//! Collects the nodes of a file and rejects duplicate ids and addresses.

use crate::error::{Fault, FaultKind, Problem, RawPosition};
use crate::fields::Fields;
use crate::{Backend, Options, Position};
use hashbrown::{DefaultHashBuilder, HashTable};
use std::hash::BuildHasher;
use std::sync::Arc;

/// The validated nodes of a file. The hash tables hold indexes into `nodes` instead of copies of ids and
/// addresses.
pub(crate) struct Collector<'o> {
    options: &'o Options,
    nodes: Vec<Backend>,
    /// The positions of the id and the address of each node.
    positions: Vec<[RawPosition; 2]>,
    hasher: DefaultHashBuilder,
    ids: HashTable<u32>,
    addresses: HashTable<u32>,
    /// Zone names that nodes share.
    zones: Vec<Arc<str>>,
}

/// Maximum number of shared zone names. Nodes of further zones hold copies of the name.
const MAX_SHARED_ZONES: usize = 16;

impl<'o> Collector<'o> {
    pub fn new(options: &'o Options) -> Self {
        Self {
            options,
            nodes: Vec::new(),
            positions: Vec::new(),
            hasher: DefaultHashBuilder::default(),
            ids: HashTable::new(),
            addresses: HashTable::new(),
            zones: Vec::new(),
        }
    }

    /// Reserves capacity for a number of nodes, bounded by the maximum.
    pub fn reserve(&mut self, count: usize) {
        let count = count.min(self.options.max_nodes);
        self.nodes.reserve(count);
        self.positions.reserve(count);
        self.ids.reserve(count, |_| 0);
        self.addresses.reserve(count, |_| 0);
    }

    /// Validates and adds a node. The id of a node without one is its address.
    pub fn add(&mut self, fields: &Fields<'_>) -> Result<(), Fault> {
        let max = self.options.max_nodes;
        if self.nodes.len() >= max {
            let problem = Problem::LimitExceeded { unit: "nodes", max, found: "more".into() };
            return Err(Fault::new(fields.at, problem));
        }
        let address = fields.parse_address(self.options.default_port)?;
        let (id, id_at) = match &fields.id {
            Some(id) => (id.parse_name("id")?.to_string(), id.at),
            None => (address.to_string(), fields.at),
        };
        let address_at = fields.address.or(fields.host).map_or(fields.at, |raw| raw.at);
        let backend = Backend {
            zone: self.shared_zone(fields.zone.as_ref().map_or(Ok(""), |raw| raw.parse_zone())?),
            cell: fields.cell.map_or(Ok(0), |raw| raw.parse_cell())?,
            weight: fields.weight.map_or(Ok(1.0), |raw| raw.parse_weight(fields.allow_comma))?,
            state: fields.state.map_or(Ok(Default::default()), |raw| raw.parse_state())?,
            at: Position { line: fields.at.0, column: fields.at.1 },
            id,
            address,
        };
        self.insert(backend, id_at, address_at)
    }

    fn insert(&mut self, new: Backend, id_at: RawPosition, address_at: RawPosition) -> Result<(), Fault> {
        let index = self.nodes.len() as u32; // node counts stay far below u32::MAX
        let Self { nodes, positions, hasher, ids, addresses, .. } = self;
        let hash = hasher.hash_one(new.id.as_str());
        if let Some(&other) = ids.find(hash, |&i| nodes[i as usize].id == new.id) {
            let first = positions[other as usize][0];
            return Err(Fault { at: id_at, kind: FaultKind::Duplicate { kind: "id", value: new.id, first } });
        }
        ids.insert_unique(hash, index, |&i| hasher.hash_one(nodes[i as usize].id.as_str()));
        let hash = hasher.hash_one(&new.address);
        if let Some(&other) = addresses.find(hash, |&i| nodes[i as usize].address == new.address) {
            let (first, other) = (positions[other as usize][1], nodes[other as usize].id.clone());
            let address = new.address.to_string();
            let kind = FaultKind::DuplicateAddress { address, id: new.id, other, first };
            return Err(Fault { at: address_at, kind });
        }
        addresses.insert_unique(hash, index, |&i| hasher.hash_one(&nodes[i as usize].address));
        self.nodes.push(new);
        self.positions.push([id_at, address_at]);
        Ok(())
    }

    fn shared_zone(&mut self, name: &str) -> Arc<str> {
        if let Some(known) = self.zones.iter().take(MAX_SHARED_ZONES).find(|z| ***z == *name) {
            return known.clone();
        }
        let zone: Arc<str> = name.into();
        if self.zones.len() < MAX_SHARED_ZONES {
            self.zones.push(zone.clone());
        }
        zone
    }

    /// The nodes sorted by id. `to_position` converts their positions; `empty` is the position and the content
    /// that the error of an empty list reports.
    pub fn finish(
        self,
        to_position: impl Fn(RawPosition) -> Position,
        empty: (RawPosition, &str),
    ) -> Result<Vec<Backend>, Fault> {
        let mut nodes = self.nodes;
        if nodes.is_empty() {
            return Err(Fault::new(empty.0, Problem::Empty { found: empty.1.to_string() }));
        }
        for node in &mut nodes {
            node.at = to_position(RawPosition(node.at.line, node.at.column));
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
    fn address_in_two_spellings_is_a_duplicate() {
        let options = Options::default();
        let mut collector = Collector::new(&options);
        let raw = |text| Some(Raw { text, at: RawPosition(1, 1) });
        let node = |id, address| Fields { id: raw(id), address: raw(address), ..Fields::default() };
        collector.add(&node("a", "[::1]:80")).unwrap();
        assert!(collector.add(&node("b", "[0:0::1]:80")).is_err());
        assert_eq!(collector.nodes.len(), 1, "a rejected node is not added");
    }
}
