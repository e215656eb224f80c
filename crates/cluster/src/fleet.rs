//! What the planners agree on: the view that each has of membership, and the plan that follows from
//! these. A state machine without I/O or clock: the same commands in the same order give the same plan.
//!
//! - A node is in the plan while any planner lists it, as the one with the lowest number has it.
//! - It drains while any planner says so, or has listed it before and does so no more: a planner that has
//!   not heard yet can't bring it back. Where a view begins beside others it is not known whose word is
//!   the later one: what only some of them list drains, too, until all have listed it.
//! - The view of a planner that was silent for long is taken out ([`Command::Expel`]), once the others
//!   have read membership anew; it comes back with a view of a higher epoch.

use dewpier_plan::{AnnouncementVersion, MAX_NAME_BYTES, MAX_NODES, MAX_PLANNERS, Node, Plan, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// What planners agree on, one after another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Terms of plans count from here on, if that is higher than what they count from now.
    Base(u64),
    /// The whole view of a planner that begins an epoch.
    View {
        /// Its number.
        planner: u32,
        /// Of the view.
        #[serde(rename = "mark")]
        announcement_version: AnnouncementVersion,
        /// What it lists.
        nodes: Vec<Node>,
    },
    /// What has changed in a planner's view.
    Change {
        /// Its number.
        planner: u32,
        /// Of the view that changes,
        from: AnnouncementVersion,
        /// and of what comes of it.
        to: AnnouncementVersion,
        /// Nodes that are new or differ.
        set: Vec<Node>,
        /// Nodes that it lists no more.
        gone: Vec<String>,
    },
    /// The view of a planner no longer counts, and all that it told in epochs up to that one is settled.
    Expel {
        /// Its number.
        planner: u32,
        /// The epoch.
        epoch: u64,
    },
}

/// Why a command changes nothing. It is no failure: who proposed it sees what holds and proposes anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum CommandRejection {
    /// It is of an epoch that is over, or changes a view that does not hold.
    #[error("it is of a view that does not hold")]
    #[serde(rename = "Old")]
    Outdated,
    /// More planners or nodes than there may be.
    #[error("it is more than there may be")]
    #[serde(rename = "TooMuch")]
    LimitExceeded,
    /// A node of it can't be: a name without length or over its bound, a weight that is no number above 0.
    #[error("a node of it makes no sense")]
    #[serde(rename = "Unsound")]
    InvalidNode,
}

fn unsound(nodes: &[Node]) -> bool {
    let named = |text: &str, least: usize| (least..=MAX_NAME_BYTES).contains(&text.len());
    let sound = |n: &Node| named(&n.id, 1) && named(&n.zone, 0) && n.weight.is_finite() && n.weight > 0.0;
    !nodes.iter().all(sound)
}

/// One planner's view.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct View {
    mark: AnnouncementVersion,
    nodes: BTreeMap<String, Node>,
    /// What it listed once and lists no more, while others still do.
    ended: BTreeSet<String>,
    expelled: bool,
}

/// What is agreed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    base: u64,
    views: BTreeMap<u32, View>,
    term: u64,
    generation: u64,
}

impl Fleet {
    /// From where the terms of its plans count.
    pub fn base(&self) -> u64 {
        self.base
    }

    /// The mark of a planner's view that is agreed. None where it has none or was expelled.
    pub fn announcement_version(&self, planner: u32) -> Option<AnnouncementVersion> {
        self.views.get(&planner).filter(|v| !v.expelled).map(|v| v.mark)
    }

    /// Up to which epoch a planner was expelled, if it is.
    pub fn expelled_epoch(&self, planner: u32) -> Option<u64> {
        self.views.get(&planner).filter(|v| v.expelled).map(|v| v.mark.epoch)
    }

    /// What a planner lists.
    pub fn listed_nodes(&self, planner: u32) -> Option<&BTreeMap<String, Node>> {
        self.views.get(&planner).filter(|v| !v.expelled).map(|v| &v.nodes)
    }

    /// Applies the command that stands at that place of the log of agreement: in the term of that
    /// leader, with that index, which no other command has ever had. Returns whether the plan changes.
    pub fn apply(&mut self, term: u64, index: u64, command: Command) -> Result<bool, CommandRejection> {
        match command {
            Command::View { nodes, .. } if unsound(&nodes) => return Err(CommandRejection::InvalidNode),
            Command::Change { set, .. } if unsound(&set) => return Err(CommandRejection::InvalidNode),
            Command::Base(base) if base <= self.base => return Ok(false),
            Command::Base(base) => self.base = base,
            Command::View { planner, announcement_version: mark, nodes } => {
                if nodes.len() > MAX_NODES
                    || (self.views.len() >= MAX_PLANNERS && !self.views.contains_key(&planner))
                {
                    return Err(CommandRejection::LimitExceeded);
                }
                if mark.epoch <= self.views.get(&planner).map_or(0, |known| known.mark.epoch) {
                    return Err(CommandRejection::Outdated);
                }
                // What the others list and it doesn't has ended by its word: it has just looked.
                let others = self.views.iter().filter(|(number, view)| **number != planner && !view.expelled);
                let others: Vec<String> = others.flat_map(|(_, view)| view.nodes.keys().cloned()).collect();
                let known = self.views.entry(planner).or_default();
                let nodes: BTreeMap<String, Node> = nodes.into_iter().map(|n| (n.id.clone(), n)).collect();
                let mut ended = std::mem::take(&mut known.ended);
                ended.extend(known.nodes.keys().cloned().chain(others));
                ended.retain(|id| !nodes.contains_key(id));
                // And what it lists and another does not has ended by that other's word, which may be the
                // later one. Where that is most of the list, the other has read a wrong one.
                let listed: Vec<String> = nodes.keys().cloned().collect();
                *known = View { mark, nodes, ended, expelled: false };
                for (_, view) in self.views.iter_mut().filter(|(q, v)| **q != planner && !v.expelled) {
                    let lacks: Vec<&String> =
                        listed.iter().filter(|id| !view.nodes.contains_key(*id)).collect();
                    if 2 * lacks.len() <= listed.len() {
                        view.ended.extend(lacks.into_iter().cloned());
                    }
                }
            }
            Command::Change { planner, from, to, set, gone } => {
                let view = self.views.get_mut(&planner).filter(|v| !v.expelled && v.mark == from);
                let Some(view) = view.filter(|_| to > from && to.epoch == from.epoch) else {
                    return Err(CommandRejection::Outdated);
                };
                if view.nodes.len() + set.len() > 2 * MAX_NODES {
                    return Err(CommandRejection::LimitExceeded);
                }
                view.mark = to;
                for id in gone {
                    view.nodes.remove(&id);
                    view.ended.insert(id);
                }
                for node in set {
                    view.ended.remove(&node.id);
                    view.nodes.insert(node.id.clone(), node);
                }
            }
            Command::Expel { planner, epoch } => {
                if self.views.len() >= MAX_PLANNERS && !self.views.contains_key(&planner) {
                    return Err(CommandRejection::LimitExceeded);
                }
                let view = self.views.entry(planner).or_default();
                if epoch <= view.mark.epoch && view.expelled || epoch < view.mark.epoch {
                    return Err(CommandRejection::Outdated);
                }
                view.mark = AnnouncementVersion { epoch, sequence: u64::MAX };
                view.expelled = true;
            }
        }
        // What nobody lists any more need not be known to have ended.
        let live = || self.views.values().filter(|v| !v.expelled);
        let listed: BTreeSet<String> = live().flat_map(|v| v.nodes.keys().cloned()).collect();
        self.views.values_mut().for_each(|v| v.ended.retain(|id| listed.contains(id)));
        (self.term, self.generation) = (term, index);
        Ok(true)
    }

    /// The plan that follows. Its generation is 0 while no planner has a view.
    pub fn plan(&self) -> Plan {
        let live = || self.views.values().filter(|v| !v.expelled);
        let generation = if live().next().is_some() { self.generation } else { 0 };
        let mut nodes: BTreeMap<&String, Node> = BTreeMap::new();
        for view in live() {
            for (id, node) in &view.nodes {
                let known = nodes.entry(id).or_insert_with(|| node.clone());
                known.draining |= node.draining;
                // A planner that started after the node does not know that it may be cold.
                known.age_ms = known.age_ms.into_iter().chain(node.age_ms).min();
            }
        }
        for id in live().flat_map(|v| &v.ended) {
            if let Some(node) = nodes.get_mut(id) {
                node.draining = true;
            }
        }
        Plan {
            version: Version { term: self.base.saturating_add(self.term), generation },
            nodes: nodes.into_values().take(MAX_NODES).collect(),
            acknowledged: self.views.iter().map(|(planner, view)| (*planner, view.mark)).collect(),
        }
    }
}
