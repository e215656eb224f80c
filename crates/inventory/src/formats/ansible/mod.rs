//! Parses Ansible inventories in YAML: nested groups of hosts, with variables of groups and hosts.

mod groups;
mod range;
mod vars;

use super::{field_value, weight_value};
use crate::collect::Collector;
use crate::error::{Fault, RawPosition, quoted};
use crate::fields::{Fields, Raw};
use crate::yaml::Node;
use crate::{Backend, Options, Position};
use groups::Groups;
use std::collections::HashMap;

pub(super) fn read(root: &Node, options: &Options) -> Result<(Vec<Backend>, Vec<String>), Fault> {
    let groups = Groups::read(root, options.max_nodes)?;
    let group_name = options.group.as_deref().unwrap_or("all");
    let Some(selected) = groups.descendants(group_name) else {
        let names: Vec<&str> = groups.names().take(8).collect();
        let expected = format!("the group {}", quoted(group_name));
        return Err(Fault::value(root.at, "inventory", expected, format!("the groups {}", names.join(", "))));
    };
    let mut collector = Collector::new(options);
    let mut group_vars = HashMap::new();
    for host in groups.hosts.iter().filter(|host| group_name == "all" || groups.has_member(host, &selected)) {
        let vars = groups.resolve_vars(host, &mut group_vars);
        let get = |preferred: &str, fallback: &str| match vars.get_either(preferred, fallback) {
            Some(node) => field_value(node, fallback),
            None => Ok(None),
        };
        let host_name = Raw { text: host.name.as_str(), at: host.at };
        let port_in_name = host.port.map(|(text, at)| Raw { text, at });
        collector.add(&Fields {
            at: host.at,
            id: Some(host_name),
            host: get("dewpier_host", "ansible_host")?.or(Some(host_name)),
            port: get("dewpier_port", "ansible_port")?.or(port_in_name),
            zone: get("dewpier_zone", "zone")?,
            cell: get("dewpier_cell", "cell")?,
            weight: vars.get_either("dewpier_weight", "weight").map_or(Ok(None), weight_value)?,
            state: get("dewpier_state", "state")?,
            ..Fields::default()
        })?;
    }
    let to_position = |raw: RawPosition| Position { line: raw.0, column: raw.1 };
    Ok((collector.finish(to_position, (root.at, "no host"))?, Vec::new()))
}
