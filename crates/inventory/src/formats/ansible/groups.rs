//! Parses the groups of an Ansible inventory with their hosts, and resolves the variables of each host.
//! Groups are merged in the order of depth, `ansible_group_priority` and name, and later groups override
//! earlier ones (Ansible's documentation, "How variables are merged").

use super::range;
use super::vars::Vars;
use crate::error::{Fault, FaultKind, RawPosition, quoted};
use crate::yaml::{Key, Node};
use std::collections::HashMap;

/// A group. `children` and `parents` are indexes into [`Groups::groups`].
pub(super) struct Group<'a> {
    pub name: &'a str,
    at: RawPosition,
    vars: Vars<'a>,
    children: Vec<usize>,
    parents: Vec<usize>,
    /// Length of the longest path from the group `all`.
    depth: usize,
    priority: i64,
}

/// A host, merged from all its occurrences.
pub(super) struct Host<'a> {
    pub name: String,
    pub at: RawPosition,
    pub vars: Vars<'a>,
    /// The port in its name, with its position.
    pub port: Option<(&'a str, RawPosition)>,
    groups: Vec<usize>,
}

/// All groups and hosts of an inventory. The first group is `all`.
#[derive(Default)]
pub(super) struct Groups<'a> {
    groups: Vec<Group<'a>>,
    groups_by_name: HashMap<&'a str, usize>,
    pub hosts: Vec<Host<'a>>,
    hosts_by_name: HashMap<String, usize>,
}

impl<'a> Groups<'a> {
    /// Parses the groups of a document with at most `max_hosts` hosts.
    pub fn read(root: &'a Node, max_hosts: usize) -> Result<Self, Fault> {
        let mut groups = Self::default();
        groups.find_or_add_group("all", root.at);
        for (key, node) in root.map("inventory")? {
            groups.parse_group(key, node, None, max_hosts)?;
        }
        // Groups without a parent are children of `all`.
        for group in 1..groups.groups.len() {
            if groups.groups[group].parents.is_empty() {
                groups.add_child(0, group);
            }
        }
        groups.compute_depths()?;
        Ok(groups)
    }

    /// Returns the index of the group with this name, which is added if necessary.
    fn find_or_add_group(&mut self, name: &'a str, at: RawPosition) -> usize {
        if let Some(&known) = self.groups_by_name.get(name) {
            return known;
        }
        let (children, parents) = (Vec::new(), Vec::new());
        let group = Group { name, at, vars: Vars::default(), children, parents, depth: 0, priority: 1 };
        self.groups.push(group);
        self.groups_by_name.insert(name, self.groups.len() - 1);
        self.groups.len() - 1
    }

    fn add_child(&mut self, parent: usize, child: usize) {
        if !self.groups[parent].children.contains(&child) {
            self.groups[parent].children.push(child);
            self.groups[child].parents.push(parent);
        }
    }

    /// Parses one occurrence of a group. The recursion is bounded by the maximum nesting depth of YAML.
    fn parse_group(
        &mut self,
        key: &'a Key,
        node: &'a Node,
        parent: Option<usize>,
        max_hosts: usize,
    ) -> Result<(), Fault> {
        let name = key.scalar.unambiguous_text(key.at, "group name")?;
        if name == "plugin" && parent.is_none() && node.scalar().is_some() {
            let found = format!("the settings of plugin {}", node.describe());
            return Err(Fault::value(key.at, "inventory", "groups and hosts", found));
        }
        let group = self.find_or_add_group(name, key.at);
        if let Some(parent) = parent {
            self.add_child(parent, group);
        }
        for (part, node) in node.map("group")? {
            match part.scalar.text.as_str() {
                "hosts" => self.parse_hosts(group, node, max_hosts)?,
                "vars" => {
                    for (name, node) in node.map("vars")? {
                        self.groups[group].vars.set(name, node)?;
                        if name.scalar.text == "ansible_group_priority" {
                            self.groups[group].priority = parse_priority(node)?;
                        }
                    }
                }
                "children" => {
                    for (child, node) in node.map("children")? {
                        self.parse_group(child, node, Some(group), max_hosts)?;
                    }
                }
                // Ansible ignores unknown keys with a warning, which would lose the hosts in them.
                other => {
                    return Err(Fault::value(
                        part.at,
                        format!("group {name}"),
                        "hosts, vars or children",
                        quoted(other),
                    ));
                }
            }
        }
        Ok(())
    }

    fn parse_hosts(&mut self, group: usize, node: &'a Node, max_hosts: usize) -> Result<(), Fault> {
        for (key, vars) in node.map("hosts")? {
            let pattern = key.scalar.unambiguous_text(key.at, "host name")?;
            let expanded = range::expand(pattern, max_hosts);
            let (names, port) =
                expanded.map_err(|expected| Fault::value(key.at, "host name", expected, quoted(pattern)))?;
            for name in names {
                let index = match self.hosts_by_name.get(&name) {
                    Some(&known) => known,
                    None if self.hosts.len() >= max_hosts => {
                        let problem = crate::Problem::LimitExceeded {
                            unit: "nodes",
                            max: max_hosts,
                            found: "more".into(),
                        };
                        return Err(Fault::new(key.at, problem));
                    }
                    None => {
                        self.hosts_by_name.insert(name.clone(), self.hosts.len());
                        let (vars, groups) = (Vars::default(), Vec::new());
                        self.hosts.push(Host { name, at: key.at, vars, port: None, groups });
                        self.hosts.len() - 1
                    }
                };
                let host = &mut self.hosts[index];
                // A host in several groups is one node, and its occurrences must not contradict each other.
                match (host.port, port) {
                    (Some((first, at)), Some(port)) if first != port => {
                        let (subject, expected, found) =
                            (format!("port of {}", host.name), quoted(first), quoted(port));
                        return Err(Fault {
                            at: key.at,
                            kind: FaultKind::Conflict { subject, expected, first: at, found },
                        });
                    }
                    _ => host.port = host.port.or(port.map(|port| (port, key.at))),
                }
                for (name, node) in vars.map("host")? {
                    host.vars.set_consistent(&host.name, name, node)?;
                }
                if !host.groups.contains(&group) {
                    host.groups.push(group);
                }
            }
        }
        Ok(())
    }

    /// Computes the depth of each group: the length of the longest path from `all`, as in Ansible. Rejects cycles.
    fn compute_depths(&mut self) -> Result<(), Fault> {
        let mut remaining_parents: Vec<usize> = self.groups.iter().map(|g| g.parents.len()).collect();
        let mut ready: Vec<usize> =
            (0..remaining_parents.len()).filter(|&g| remaining_parents[g] == 0).collect();
        let mut processed_count = 0;
        while let Some(group) = ready.pop() {
            processed_count += 1;
            for child in self.groups[group].children.clone() {
                self.groups[child].depth = self.groups[child].depth.max(self.groups[group].depth + 1);
                remaining_parents[child] -= 1;
                if remaining_parents[child] == 0 {
                    ready.push(child);
                }
            }
        }
        match (0..remaining_parents.len()).find(|&g| remaining_parents[g] > 0) {
            Some(in_cycle) if processed_count < remaining_parents.len() => {
                let group = &self.groups[in_cycle];
                let found = format!("{}, which is in itself", quoted(group.name));
                Err(Fault::value(group.at, "group", "groups that are in no loop", found))
            }
            _ => Ok(()),
        }
    }

    /// Marks, by index, the group `name` and all groups below it. None if there is no such group.
    pub fn descendants(&self, name: &str) -> Option<Vec<bool>> {
        let mut is_descendant = vec![false; self.groups.len()];
        let mut pending = vec![*self.groups_by_name.get(name)?];
        while let Some(group) = pending.pop() {
            if !std::mem::replace(&mut is_descendant[group], true) {
                pending.extend(&self.groups[group].children);
            }
        }
        Some(is_descendant)
    }

    /// The names of all groups.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.groups.iter().map(|g| g.name)
    }

    /// Whether the host is in one of the selected groups.
    pub fn has_member(&self, host: &Host<'_>, selected: &[bool]) -> bool {
        host.groups.iter().any(|&g| selected[g])
    }

    /// Resolves the variables of a host. `cache` holds the merged group variables by the host's groups.
    pub fn resolve_vars(&self, host: &Host<'a>, cache: &mut HashMap<Vec<usize>, Vars<'a>>) -> Vars<'a> {
        let group_vars = match cache.get(&host.groups) {
            Some(known) => known.clone(),
            None => {
                let mut ancestors = Vec::new();
                let mut pending = host.groups.clone();
                pending.push(0);
                while let Some(group) = pending.pop() {
                    if !ancestors.contains(&group) {
                        ancestors.push(group);
                        pending.extend(&self.groups[group].parents);
                    }
                }
                ancestors
                    .sort_by_key(|&g| (self.groups[g].depth, self.groups[g].priority, self.groups[g].name));
                let mut vars = Vars::default();
                ancestors.iter().for_each(|&g| vars.override_with(&self.groups[g].vars));
                cache.insert(host.groups.clone(), vars.clone());
                vars
            }
        };
        let mut vars = group_vars;
        vars.override_with(&host.vars);
        vars
    }
}

/// Parses the value of `ansible_group_priority`.
fn parse_priority(node: &Node) -> Result<i64, Fault> {
    let invalid = || Fault::value(node.at, "ansible_group_priority", "a whole number", node.describe());
    let scalar = node.scalar().ok_or_else(invalid)?;
    scalar.unambiguous_text(node.at, "ansible_group_priority")?.parse().map_err(|_| invalid())
}
