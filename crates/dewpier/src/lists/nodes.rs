//! Nodes of plans as backends of inventories, and the other way round.

use dewpier_inventory::{Address, Backend, Host, State};
use dewpier_plan::Node;

/// A node of a plan as a backend of an inventory, and where it listens.
pub fn backend_from_node(node: &Node) -> (Backend, std::net::SocketAddr) {
    let backend = Backend {
        id: node.id.clone(),
        address: Address { host: Host::Ip(node.address.ip()), port: node.address.port() },
        zone: node.zone.as_str().into(),
        cell: node.cell,
        weight: node.weight,
        state: if node.draining { State::Draining } else { State::Serving },
        at: Default::default(),
    };
    (backend, node.address)
}

/// A node as a planner tells of it.
pub fn node_from_backend(backend: &Backend, address: std::net::SocketAddr) -> Node {
    Node {
        id: backend.id.clone(),
        address,
        zone: backend.zone.to_string(),
        cell: backend.cell,
        // As elsewhere, a weight of 0 says that nothing new is wanted.
        weight: if backend.weight > 0.0 { backend.weight } else { 1.0 },
        draining: backend.state == State::Draining || backend.weight <= 0.0,
        age_ms: None,
    }
}
