//! A plain list of nodes: mappings with the fields of a node, or addresses.

use super::{IgnoredFields, set, value};
use crate::collect::Collector;
use crate::error::{Fault, RawPosition};
use crate::fields::Fields;
use crate::yaml::{Kind, Node};
use crate::{Backend, Options, Position};
use std::rc::Rc;

/// The names under which a list may stand.
const NAMES: [&str; 3] = ["backends", "nodes", "servers"];

/// The list that a mapping holds under one of the usual names.
pub(super) fn under(root: &Node) -> Option<&Rc<Node>> {
    let held = NAMES.iter().find_map(|name| root.get(name));
    held.filter(|node| matches!(node.kind, Kind::List(_)) || node.is_null())
}

pub(super) fn read(root: &Node, options: &Options) -> Result<(Vec<Backend>, Vec<String>), Fault> {
    let mut ignored_fields = IgnoredFields::default();
    let list = match &root.kind {
        Kind::Map(entries) => {
            for (key, _) in entries.iter().filter(|(key, _)| !NAMES.contains(&key.scalar.text.as_str())) {
                ignored_fields.add(&key.scalar.text);
            }
            under(root).map(|node| &**node)
        }
        _ => Some(root),
    };
    let items = match list.map(|list| &list.kind) {
        Some(Kind::List(items)) => items.as_slice(),
        Some(_) if list.is_some_and(Node::is_null) => &[],
        _ => return Err(Fault::value(root.at, "inventory", "a list of nodes", root.described())),
    };
    let mut collector = Collector::new(options);
    for item in items {
        let mut fields = Fields { at: item.at, ..Fields::default() };
        match &item.kind {
            Kind::Map(entries) => {
                for (key, node) in entries {
                    // A name by which tools call what is an id here.
                    let name = match key.scalar.text.as_str() {
                        "name" if item.get("id").is_none() => "id",
                        name => name,
                    };
                    if !set(&mut fields, name, node)? {
                        ignored_fields.add(name);
                    }
                }
            }
            Kind::Scalar(_) if !item.is_null() => fields.address = value(item, "address")?,
            _ => return Err(Fault::value(item.at, "node", "a mapping or an address", item.described())),
        }
        collector.add(&fields)?;
    }
    let place = |spot: RawPosition| Position { line: spot.0, column: spot.1 };
    Ok((collector.finish(place, (root.at, "an empty list"))?, ignored_fields.0))
}
