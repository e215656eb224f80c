//! Converts between the nodes of a plan and the backends of an inventory.

use dewpier_inventory::{Address, Backend, Host, State};
use dewpier_plan::Node;

/// Converts a node of a plan to a backend of an inventory and its address.
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

/// Converts a backend of an inventory to a node of a plan.
pub fn node_from_backend(backend: &Backend, address: std::net::SocketAddr) -> Node {
    Node {
        id: backend.id.clone(),
        address,
        zone: backend.zone.to_string(),
        cell: backend.cell,
        // A weight of 0 drains the node.
        weight: if backend.weight > 0.0 { backend.weight } else { 1.0 },
        draining: backend.state == State::Draining || backend.weight <= 0.0,
        age_ms: None,
    }
}
