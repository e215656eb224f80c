//! The planner's side: the plan that holds, and what brings a follower up to it.

use crate::{Delta, Mark, Node, Plan, Told, Version};
use std::collections::{HashMap, VecDeque};

/// Changes that are kept for followers that are behind; one that is further behind gets the whole
/// plan.
const KEPT: usize = 64;

/// The plans of one term.
#[derive(Debug)]
pub struct Publisher {
    me: u32,
    mark: Mark,
    plan: Plan,
    /// The changes that led to it, the last one at the end.
    changes: VecDeque<Delta>,
}

impl Publisher {
    /// The planner of that number, in that term. `epoch` is higher at each of its starts. Its first
    /// plan is empty and of generation 0: no follower takes that one.
    pub fn new(me: u32, term: u64, epoch: u64) -> Self {
        let plan = Plan { version: Version { term, generation: 0 }, ..Plan::default() };
        Self { me, mark: Mark { epoch, sequence: 0 }, plan, changes: VecDeque::new() }
    }

    /// The plan that holds.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Takes in the nodes that there are now, each once. Returns what followers are to be told, in
    /// that order: drains first, ahead of the plan, as they are what must not wait.
    pub fn update(&mut self, mut nodes: Vec<Node>) -> Vec<Told> {
        nodes.sort_by(|a, b| a.id.cmp(&b.id));
        let old: HashMap<&str, &Node> = self.plan.nodes.iter().map(|n| (n.id.as_str(), n)).collect();
        let new: HashMap<&str, &Node> = nodes.iter().map(|n| (n.id.as_str(), n)).collect();
        // How old a cold node is changes all the time, and is no news.
        let same = |a: &Node, b: &Node| *a == Node { age_ms: a.age_ms, ..b.clone() };
        let differs = |n: &&Node| old.get(n.id.as_str()).is_none_or(|known| !same(known, n));
        let set: Vec<Node> = nodes.iter().filter(differs).cloned().collect();
        let gone: Vec<String> =
            old.keys().filter(|id| !new.contains_key(*id)).map(|id| id.to_string()).collect();
        if set.is_empty() && gone.is_empty() {
            return Vec::new();
        }
        let ends = |id: &str| new.get(id).is_none_or(|n| n.draining);
        let drained: Vec<String> =
            self.plan.nodes.iter().filter(|n| !n.draining && ends(&n.id)).map(|n| n.id.clone()).collect();
        let mut told = Vec::new();
        for id in drained {
            self.mark.sequence += 1;
            told.push(Told::Drain { planner: self.me, mark: self.mark, id });
        }
        let from = self.plan.version;
        let to = Version { generation: from.generation + 1, ..from };
        let heard = vec![(self.me, self.mark)];
        let delta = Delta { from, to, set, gone, heard: heard.clone() };
        self.plan = Plan { version: to, nodes, heard };
        if self.changes.len() == KEPT {
            self.changes.pop_front();
        }
        self.changes.push_back(delta.clone());
        told.push(Told::Delta(delta));
        told
    }

    /// What brings a follower with that plan up to the one that holds.
    pub fn catch_up(&self, has: Option<Version>) -> Vec<Told> {
        if self.plan.version.generation == 0 || has == Some(self.plan.version) {
            return Vec::new();
        }
        let known = has.and_then(|has| self.changes.iter().position(|c| c.from == has));
        match known {
            Some(first) => self.changes.iter().skip(first).cloned().map(Told::Delta).collect(),
            None => vec![Told::Full(self.plan.clone())],
        }
    }

    /// The answer to a beat.
    pub fn beat(&self, number: u64, lease_ms: u64) -> Told {
        Told::Beat { number, version: self.plan.version, lease_ms }
    }
}
