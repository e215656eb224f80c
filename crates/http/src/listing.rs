//! Parses backend lists of the discovery service and assigns numeric IDs to backends and zones.

use gannetproxy::engine::{Clock, ListedBackend};
use gannetproxy::{BackendEntry, BackendId, Status};
use serde::Deserialize;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// A backend list as the discovery service sends it.
#[derive(Debug, Default, Deserialize)]
pub struct RawList {
    /// The version of the list.
    pub generation: u64,
    /// Whether the list is complete rather than a set of changes.
    pub reset: bool,
    /// The entries.
    pub instances: Vec<RawEntry>,
}

/// An entry of a backend list.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RawEntry {
    instance_id: String,
    host_port: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    cell: u32,
    lifecycle: Lifecycle,
    weight: Option<f64>,
    #[serde(default)]
    started_at_ms: f64,
}

impl RawEntry {
    /// Returns whether the backend takes new requests.
    pub fn is_serving(&self) -> bool {
        self.lifecycle == Lifecycle::Serving
    }
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
enum Lifecycle {
    Serving,
    Draining,
    Deleted,
}

/// Returns the index of a zone, adding the zone if it is new.
pub fn zone_index(zones: &mut Vec<String>, name: &str) -> u32 {
    let index = zones.iter().position(|zone| zone == name);
    index.unwrap_or_else(|| {
        zones.push(name.to_string());
        zones.len() - 1
    }) as u32
}

/// Maps the names of backends and zones to numeric IDs.
#[derive(Debug)]
pub struct BackendIds {
    zones: Vec<String>,
    ids: HashMap<String, BackendId>,
    assigned: HashSet<BackendId>,
}

impl BackendIds {
    /// Creates the mapping with known zones in the order of their indexes.
    pub fn new(zones: Vec<String>) -> Self {
        Self { zones, ids: HashMap::new(), assigned: HashSet::new() }
    }

    /// Returns the ID for the name of a backend. It depends on the name, so that all proxies agree on it when
    /// they choose their subsets.
    pub fn id_for(&mut self, name: &str) -> BackendId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let hash = name
            .bytes()
            .fold(0x811c_9dc5_u32, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193));
        let mut id = BackendId(hash);
        while self.assigned.contains(&id) {
            id = BackendId(id.0.wrapping_add(1));
        }
        self.assigned.insert(id);
        self.ids.insert(name.to_string(), id);
        id
    }

    /// Removes the names of backends for which `is_known` returns false. A backend that returns gets the same
    /// ID, derived from its name.
    pub fn retain(&mut self, is_known: impl Fn(BackendId) -> bool) {
        self.ids.retain(|_, id| is_known(*id));
        self.assigned.retain(|id| is_known(*id));
    }

    /// Converts entries to the types of the decision module.
    pub fn convert_list(&mut self, entries: Vec<RawEntry>, clock: &Clock) -> Vec<ListedBackend> {
        let convert = |entry: RawEntry| ListedBackend {
            entry: BackendEntry {
                id: self.id_for(&entry.instance_id),
                cell: entry.cell,
                zone: zone_index(&mut self.zones, &entry.zone),
                weight: entry.weight.filter(|w| w.is_finite() && *w >= 0.0).unwrap_or(1.0),
                status: match entry.lifecycle {
                    Lifecycle::Serving => Status::InService,
                    Lifecycle::Draining => Status::Draining,
                    Lifecycle::Deleted => Status::Gone,
                },
                started: (entry.started_at_ms > 0.0)
                    .then(|| clock.convert_unix_time(entry.started_at_ms / 1000.0)),
                usual_rate: None,
            },
            address: entry.host_port,
        };
        entries.into_iter().map(convert).collect()
    }
}
