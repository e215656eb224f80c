//! Lists of backends as discovery writes them, and their names in the module's terms.

use gannetproxy::engine::{Clock, Listed};
use gannetproxy::{BackendEntry, BackendId, Status};
use serde::Deserialize;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// A list as discovery writes it.
#[derive(Debug, Default, Deserialize)]
pub struct RawList {
    /// Its version.
    pub generation: u64,
    /// It is whole.
    pub reset: bool,
    /// Its entries.
    pub instances: Vec<RawEntry>,
}

/// An entry of it.
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

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Lifecycle {
    Serving,
    Draining,
    Deleted,
}

/// The number of a zone, added if it is new.
pub fn zone_index(zones: &mut Vec<String>, name: &str) -> u32 {
    let known = zones.iter().position(|z| z == name);
    known.unwrap_or_else(|| {
        zones.push(name.to_string());
        zones.len() - 1
    }) as u32
}

/// Names of discovery in the module's terms.
#[derive(Debug)]
pub struct Names {
    zones: Vec<String>,
    ids: HashMap<String, BackendId>,
    taken: HashSet<BackendId>,
}

impl Names {
    /// Names with these zones, in their order.
    pub fn new(zones: Vec<String>) -> Self {
        Self { zones, ids: HashMap::new(), taken: HashSet::new() }
    }

    /// A number for a backend's name, the same at every proxy: they share out the backends by it.
    pub fn id(&mut self, name: &str) -> BackendId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let hash = name.bytes().fold(0x811c_9dc5_u32, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
        let mut id = BackendId(hash);
        while self.taken.contains(&id) {
            id = BackendId(id.0.wrapping_add(1));
        }
        self.taken.insert(id);
        self.ids.insert(name.to_string(), id);
        id
    }

    /// Forgets the names of backends that are not known any more; one that comes back gets the
    /// number that it had, by its name.
    pub fn forget(&mut self, known: impl Fn(BackendId) -> bool) {
        self.ids.retain(|_, id| known(*id));
        self.taken.retain(|id| known(*id));
    }

    /// A list in the module's terms.
    pub fn list(&mut self, raw: Vec<RawEntry>, clock: &Clock) -> Vec<Listed> {
        let listed = |raw: RawEntry| Listed {
            entry: BackendEntry {
                id: self.id(&raw.instance_id),
                cell: raw.cell,
                zone: zone_index(&mut self.zones, &raw.zone),
                weight: raw.weight.filter(|w| w.is_finite() && *w >= 0.0).unwrap_or(1.0),
                status: match raw.lifecycle {
                    Lifecycle::Serving => Status::InService,
                    Lifecycle::Draining => Status::Draining,
                    Lifecycle::Deleted => Status::Gone,
                },
                started: (raw.started_at_ms > 0.0).then(|| clock.of_unix(raw.started_at_ms / 1000.0)),
                usual_rate: None,
            },
            address: raw.host_port,
        };
        raw.into_iter().map(listed).collect()
    }
}
