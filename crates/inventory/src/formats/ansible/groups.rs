//! Groups of an Ansible inventory: who is whose child, which hosts they hold, and which of their
//! variables reach a host (Ansible's documentation, "How variables are merged": by depth, then by
//! `ansible_group_priority`, then by name; what comes later holds).

use super::range;
use super::vars::Vars;
use crate::error::{Fault, FaultKind, RawPosition, shown};
use crate::yaml::{Key, Node};
use std::collections::HashMap;

/// A group.
pub(super) struct Group<'a> {
    pub name: &'a str,
    at: RawPosition,
    vars: Vars<'a>,
    children: Vec<usize>,
    parents: Vec<usize>,
    depth: usize,
    priority: i64,
}

/// A host, wherever and however often it is named.
pub(super) struct Host<'a> {
    pub name: String,
    pub at: RawPosition,
    pub vars: Vars<'a>,
    /// The port in its name, and where.
    pub port: Option<(&'a str, RawPosition)>,
    groups: Vec<usize>,
}

/// All of them.
#[derive(Default)]
pub(super) struct Groups<'a> {
    groups: Vec<Group<'a>>,
    by_name: HashMap<&'a str, usize>,
    pub hosts: Vec<Host<'a>>,
    hosts_by_name: HashMap<String, usize>,
}

impl<'a> Groups<'a> {
    /// Reads the groups of a document, `most` hosts at the most.
    pub fn read(root: &'a Node, max_hosts: usize) -> Result<Self, Fault> {
        let mut groups = Self::default();
        groups.group("all", root.at);
        for (key, node) in root.map("inventory")? {
            groups.take(key, node, None, max_hosts)?;
        }
        // Groups that are nobody's children are those of `all`.
        for group in 1..groups.groups.len() {
            if groups.groups[group].parents.is_empty() {
                groups.adopt(0, group);
            }
        }
        groups.measure()?;
        Ok(groups)
    }

    fn group(&mut self, name: &'a str, at: RawPosition) -> usize {
        if let Some(&known) = self.by_name.get(name) {
            return known;
        }
        let (children, parents) = (Vec::new(), Vec::new());
        let group = Group { name, at, vars: Vars::default(), children, parents, depth: 0, priority: 1 };
        self.groups.push(group);
        self.by_name.insert(name, self.groups.len() - 1);
        self.groups.len() - 1
    }

    fn adopt(&mut self, parent: usize, child: usize) {
        if !self.groups[parent].children.contains(&child) {
            self.groups[parent].children.push(child);
            self.groups[child].parents.push(parent);
        }
    }

    /// Takes in one place that names a group. Its nesting is that of the document, so bounded.
    fn take(
        &mut self,
        key: &'a Key,
        node: &'a Node,
        parent: Option<usize>,
        max_hosts: usize,
    ) -> Result<(), Fault> {
        let name = key.scalar.certain(key.at, "group name")?;
        if name == "plugin" && parent.is_none() && node.scalar().is_some() {
            let found = format!("the settings of plugin {}", node.described());
            return Err(Fault::value(key.at, "inventory", "groups and hosts", found));
        }
        let group = self.group(name, key.at);
        if let Some(parent) = parent {
            self.adopt(parent, group);
        }
        for (part, node) in node.map("group")? {
            match part.scalar.text.as_str() {
                "hosts" => self.take_hosts(group, node, max_hosts)?,
                "vars" => {
                    for (name, node) in node.map("vars")? {
                        self.groups[group].vars.set(name, node)?;
                        if name.scalar.text == "ansible_group_priority" {
                            self.groups[group].priority = priority(node)?;
                        }
                    }
                }
                "children" => {
                    for (child, node) in node.map("children")? {
                        self.take(child, node, Some(group), max_hosts)?;
                    }
                }
                // Ansible passes these over with a warning, and the hosts in them are lost.
                other => {
                    return Err(Fault::value(
                        part.at,
                        format!("group {name}"),
                        "hosts, vars or children",
                        shown(other),
                    ));
                }
            }
        }
        Ok(())
    }

    fn take_hosts(&mut self, group: usize, node: &'a Node, max_hosts: usize) -> Result<(), Fault> {
        for (key, vars) in node.map("hosts")? {
            let pattern = key.scalar.certain(key.at, "host name")?;
            let expanded = range::expand(pattern, max_hosts);
            let (names, port) =
                expanded.map_err(|expected| Fault::value(key.at, "host name", expected, shown(pattern)))?;
            for name in names {
                let host = match self.hosts_by_name.get(&name) {
                    Some(&known) => known,
                    None if self.hosts.len() >= max_hosts => {
                        let problem = crate::Problem::LimitExceeded {
                            what: "nodes",
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
                let host = &mut self.hosts[host];
                // A host in two groups is one node; but what the two places say of it must agree.
                match (host.port, port) {
                    (Some((first, at)), Some(port)) if first != port => {
                        let (what, expected, found) =
                            (format!("port of {}", host.name), shown(first), shown(port));
                        return Err(Fault {
                            at: key.at,
                            what: FaultKind::Conflict { what, expected, first: at, found },
                        });
                    }
                    _ => host.port = host.port.or(port.map(|port| (port, key.at))),
                }
                for (name, node) in vars.map("host")? {
                    host.vars.agree(&host.name, name, node)?;
                }
                if !host.groups.contains(&group) {
                    host.groups.push(group);
                }
            }
        }
        Ok(())
    }

    /// Finds how deep each group lies: the longest way from `all`, as in Ansible. Groups that are
    /// in themselves are refused.
    fn measure(&mut self) -> Result<(), Fault> {
        let mut left: Vec<usize> = self.groups.iter().map(|g| g.parents.len()).collect();
        let mut ready: Vec<usize> = (0..left.len()).filter(|&g| left[g] == 0).collect();
        let mut measured = 0;
        while let Some(group) = ready.pop() {
            measured += 1;
            for child in self.groups[group].children.clone() {
                self.groups[child].depth = self.groups[child].depth.max(self.groups[group].depth + 1);
                left[child] -= 1;
                if left[child] == 0 {
                    ready.push(child);
                }
            }
        }
        match (0..left.len()).find(|&g| left[g] > 0) {
            Some(looped) if measured < left.len() => {
                let group = &self.groups[looped];
                let found = format!("{}, which is in itself", shown(group.name));
                Err(Fault::value(group.at, "group", "groups that are in no loop", found))
            }
            _ => Ok(()),
        }
    }

    /// Which groups are `name` or lie in it.
    pub fn within(&self, name: &str) -> Option<Vec<bool>> {
        let mut within = vec![false; self.groups.len()];
        let mut open = vec![*self.by_name.get(name)?];
        while let Some(group) = open.pop() {
            if !std::mem::replace(&mut within[group], true) {
                open.extend(&self.groups[group].children);
            }
        }
        Some(within)
    }

    /// The names of all groups.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.groups.iter().map(|g| g.name)
    }

    /// The host is in one of these groups.
    pub fn is_in(&self, host: &Host<'_>, within: &[bool]) -> bool {
        host.groups.iter().any(|&g| within[g])
    }

    /// The variables that hold for a host. `order` caches what follows from its groups alone.
    pub fn vars(&self, host: &Host<'a>, order: &mut HashMap<Vec<usize>, Vars<'a>>) -> Vars<'a> {
        let shared = match order.get(&host.groups) {
            Some(known) => known.clone(),
            None => {
                let mut all = Vec::new();
                let mut open = host.groups.clone();
                open.push(0);
                while let Some(group) = open.pop() {
                    if !all.contains(&group) {
                        all.push(group);
                        open.extend(&self.groups[group].parents);
                    }
                }
                all.sort_by_key(|&g| (self.groups[g].depth, self.groups[g].priority, self.groups[g].name));
                let mut vars = Vars::default();
                all.iter().for_each(|&g| vars.overlay(&self.groups[g].vars));
                order.insert(host.groups.clone(), vars.clone());
                vars
            }
        };
        let mut vars = shared;
        vars.overlay(&host.vars);
        vars
    }
}

fn priority(node: &Node) -> Result<i64, Fault> {
    let bad = || Fault::value(node.at, "ansible_group_priority", "a whole number", node.described());
    let scalar = node.scalar().ok_or_else(bad)?;
    scalar.certain(node.at, "ansible_group_priority")?.parse().map_err(|_| bad())
}
