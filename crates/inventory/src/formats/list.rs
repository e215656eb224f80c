//! Parses a plain YAML list of nodes. Each item is a mapping with the fields of a node, or an address.

use super::{IgnoredFields, field_value, set_field};
use crate::collect::Collector;
use crate::error::{Fault, RawPosition};
use crate::fields::Fields;
use crate::yaml::{Kind, Node};
use crate::{Backend, Options, Position};
use std::rc::Rc;

/// The keys under which a top-level mapping may hold the list.
const LIST_KEYS: [&str; 3] = ["backends", "nodes", "servers"];

/// Finds the list of a top-level mapping under one of [`LIST_KEYS`]. An empty value counts as a list.
pub(super) fn find_list(root: &Node) -> Option<&Rc<Node>> {
    let value = LIST_KEYS.iter().find_map(|name| root.get(name));
    value.filter(|node| matches!(node.kind, Kind::List(_)) || node.is_null())
}

pub(super) fn read(root: &Node, options: &Options) -> Result<(Vec<Backend>, Vec<String>), Fault> {
    let mut ignored_fields = IgnoredFields::default();
    let list = match &root.kind {
        Kind::Map(entries) => {
            for (key, _) in entries.iter().filter(|(key, _)| !LIST_KEYS.contains(&key.scalar.text.as_str())) {
                ignored_fields.add(&key.scalar.text);
            }
            find_list(root).map(|node| &**node)
        }
        _ => Some(root),
    };
    let items = match list.map(|list| &list.kind) {
        Some(Kind::List(items)) => items.as_slice(),
        Some(_) if list.is_some_and(Node::is_null) => &[],
        _ => return Err(Fault::value(root.at, "inventory", "a list of nodes", root.describe())),
    };
    let mut collector = Collector::new(options);
    for item in items {
        let mut fields = Fields { at: item.at, ..Fields::default() };
        match &item.kind {
            Kind::Map(entries) => {
                for (key, node) in entries {
                    // `name` is an alias of `id`.
                    let name = match key.scalar.text.as_str() {
                        "name" if item.get("id").is_none() => "id",
                        name => name,
                    };
                    if !set_field(&mut fields, name, node)? {
                        ignored_fields.add(name);
                    }
                }
            }
            Kind::Scalar(_) if !item.is_null() => fields.address = field_value(item, "address")?,
            _ => return Err(Fault::value(item.at, "node", "a mapping or an address", item.describe())),
        }
        collector.add(&fields)?;
    }
    let to_position = |raw: RawPosition| Position { line: raw.0, column: raw.1 };
    Ok((collector.finish(to_position, (root.at, "an empty list"))?, ignored_fields.0))
}
