//! Parses Prometheus target groups: `targets`, each a host and a port, and `labels`, which apply to all
//! targets of a group. The id of a node is its target, or the label `id` of a group with one target.

use super::{IgnoredFields, field_value, set_field};
use crate::collect::Collector;
use crate::error::{Fault, RawPosition};
use crate::fields::Fields;
use crate::yaml::{Kind, Node};
use crate::{Backend, Options, Position};

pub(super) fn read(root: &Node, options: &Options) -> Result<(Vec<Backend>, Vec<String>), Fault> {
    let Kind::List(groups) = &root.kind else {
        return Err(Fault::value(root.at, "inventory", "a list of target groups", root.describe()));
    };
    let mut ignored_fields = IgnoredFields::default();
    let mut collector = Collector::new(options);
    for group in groups {
        let mut shared = Fields::default();
        let mut targets = None;
        for (key, node) in group.map("target group")? {
            match key.scalar.text.as_str() {
                "targets" => targets = Some(node),
                "labels" => {
                    for (label, node) in node.map("labels")? {
                        let name = label.scalar.text.as_str();
                        // The address of a node comes from its target only.
                        let is_known = !matches!(name, "address" | "host" | "port")
                            && set_field(&mut shared, name, node)?;
                        if !is_known {
                            ignored_fields.add(name);
                        }
                    }
                }
                name => {
                    return Err(Fault::value(
                        key.at,
                        "target group",
                        "targets and labels",
                        crate::error::quoted(name),
                    ));
                }
            }
        }
        let Some(Kind::List(targets)) = targets.map(|node| &node.kind) else {
            let found = targets.map_or("none".into(), |node| node.describe());
            return Err(Fault::value(group.at, "targets", "a list of host:port", found));
        };
        if let Some(id) = shared.id.filter(|_| targets.len() > 1) {
            let found = format!("one for {} targets", targets.len());
            return Err(Fault::value(id.at, "label id", "one target in its group", found));
        }
        for target in targets {
            let address = field_value(target, "target")?;
            if address.is_none() {
                return Err(Fault::value(target.at, "target", "host:port", "nothing"));
            }
            collector.add(&Fields { at: target.at, address, ..shared })?;
        }
    }
    let to_position = |raw: RawPosition| Position { line: raw.0, column: raw.1 };
    Ok((collector.finish(to_position, (root.at, "no target"))?, ignored_fields.0))
}
