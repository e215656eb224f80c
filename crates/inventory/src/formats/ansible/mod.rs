//! Ansible inventories in YAML: hosts in groups in groups, with variables at each level.

mod groups;
mod range;
mod vars;

use super::{value, weight};
use crate::collect::Collector;
use crate::error::{Fault, RawPosition, shown};
use crate::fields::{Fields, Raw};
use crate::yaml::Node;
use crate::{Backend, Options, Position};
use groups::Groups;
use std::collections::HashMap;

pub(super) fn read(root: &Node, options: &Options) -> Result<(Vec<Backend>, Vec<String>), Fault> {
    let groups = Groups::read(root, options.max_nodes)?;
    let wanted = options.group.as_deref().unwrap_or("all");
    let Some(within) = groups.within(wanted) else {
        let names: Vec<&str> = groups.names().take(8).collect();
        let expected = format!("the group {}", shown(wanted));
        return Err(Fault::value(root.at, "inventory", expected, format!("the groups {}", names.join(", "))));
    };
    let mut collector = Collector::new(options);
    let mut order = HashMap::new();
    for host in groups.hosts.iter().filter(|host| wanted == "all" || groups.is_in(host, &within)) {
        let vars = groups.vars(host, &mut order);
        let get = |first: &str, second: &str| match vars.either(first, second) {
            Some(node) => value(node, second),
            None => Ok(None),
        };
        let named = Raw { text: host.name.as_str(), at: host.at };
        let in_name = host.port.map(|(text, at)| Raw { text, at });
        collector.add(&Fields {
            at: host.at,
            id: Some(named),
            host: get("dewpier_host", "ansible_host")?.or(Some(named)),
            port: get("dewpier_port", "ansible_port")?.or(in_name),
            zone: get("dewpier_zone", "zone")?,
            cell: get("dewpier_cell", "cell")?,
            weight: vars.either("dewpier_weight", "weight").map_or(Ok(None), weight)?,
            state: get("dewpier_state", "state")?,
            ..Fields::default()
        })?;
    }
    let place = |spot: RawPosition| Position { line: spot.0, column: spot.1 };
    Ok((collector.finish(place, (root.at, "no host"))?, Vec::new()))
}
