//! The state that the planners agree on: each planner's view of membership, and the plan that results from
//! the views. A state machine without I/O or a clock: the same commands in the same order give the same plan.
//!
//! - A node is in the plan while any planner lists it. The entry of the planner with the lowest number
//!   counts.
//! - A node drains while any planner lists it as draining, or listed it before and no longer does. A planner
//!   that does not know of a drain yet cannot end it. When a new view begins beside others, the order of
//!   their reads is unknown, so a node that only some of them list drains until all have listed it.
//! - The view of a planner that is silent for long is removed ([`Command::Expel`]) once the others have read
//!   membership again. It returns with a view of a higher epoch.

use dewpier_plan::{AnnouncementVersion, MAX_NAME_BYTES, MAX_NODES, MAX_PLANNERS, Node, Plan, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// The commands that planners agree on, in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Raises the base of plan terms; ignored unless it is higher than the current base.
    Base(u64),
    /// The complete view of a planner that begins an epoch.
    View {
        /// Number of the planner.
        planner: u32,
        /// Version of the view.
        #[serde(rename = "mark")]
        announcement_version: AnnouncementVersion,
        /// The nodes that the planner lists.
        nodes: Vec<Node>,
    },
    /// A change in a planner's view.
    Change {
        /// Number of the planner.
        planner: u32,
        /// Version of the view that changes.
        from: AnnouncementVersion,
        /// Version of the view that results.
        to: AnnouncementVersion,
        /// Nodes that are new or changed.
        set: Vec<Node>,
        /// Ids of nodes that the planner no longer lists.
        gone: Vec<String>,
    },
    /// Removes the view of a planner. All its announcements up to the epoch count as settled.
    Expel {
        /// Number of the planner.
        planner: u32,
        /// The latest epoch that is settled.
        epoch: u64,
    },
}

/// Why a command changes nothing. The proposer reads the current state and proposes again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum CommandRejection {
    /// The command belongs to an earlier epoch, or changes a view that is not the current one.
    #[error("the command does not apply to the current view of its planner")]
    #[serde(rename = "Old")]
    Outdated,
    /// More planners or nodes than allowed.
    #[error("the command exceeds the number of planners or nodes")]
    #[serde(rename = "TooMuch")]
    LimitExceeded,
    /// A node is invalid: its name is empty, its name or zone is too long, or its weight is not a finite
    /// number above 0.
    #[error("the command contains an invalid node")]
    #[serde(rename = "Unsound")]
    InvalidNode,
}

fn has_invalid_node(nodes: &[Node]) -> bool {
    let has_valid_length = |text: &str, min_bytes: usize| (min_bytes..=MAX_NAME_BYTES).contains(&text.len());
    let is_valid = |n: &Node| {
        has_valid_length(&n.id, 1) && has_valid_length(&n.zone, 0) && n.weight.is_finite() && n.weight > 0.0
    };
    !nodes.iter().all(is_valid)
}

/// One planner's view.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct View {
    #[serde(rename = "mark")]
    version: AnnouncementVersion,
    nodes: BTreeMap<String, Node>,
    /// Nodes that this planner listed before and no longer lists, while others still do.
    #[serde(rename = "ended")]
    removed: BTreeSet<String>,
    expelled: bool,
}

/// The agreed state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AgreedState {
    base: u64,
    views: BTreeMap<u32, View>,
    term: u64,
    generation: u64,
}

impl AgreedState {
    /// The base of the terms of plans.
    pub fn base(&self) -> u64 {
        self.base
    }

    /// Version of the agreed view of a planner. None without a view or after it was expelled.
    pub fn announcement_version(&self, planner: u32) -> Option<AnnouncementVersion> {
        self.views.get(&planner).filter(|v| !v.expelled).map(|v| v.version)
    }

    /// The last settled epoch of a planner that is expelled.
    pub fn expelled_epoch(&self, planner: u32) -> Option<u64> {
        self.views.get(&planner).filter(|v| v.expelled).map(|v| v.version.epoch)
    }

    /// The nodes that a planner lists.
    pub fn listed_nodes(&self, planner: u32) -> Option<&BTreeMap<String, Node>> {
        self.views.get(&planner).filter(|v| !v.expelled).map(|v| &v.nodes)
    }

    /// Applies a command of the Raft log with the given term of the leader and log index; each pair belongs
    /// to a single command. Returns whether the plan changed.
    pub fn apply(&mut self, term: u64, index: u64, command: Command) -> Result<bool, CommandRejection> {
        match command {
            Command::View { nodes, .. } if has_invalid_node(&nodes) => {
                return Err(CommandRejection::InvalidNode);
            }
            Command::Change { set, .. } if has_invalid_node(&set) => {
                return Err(CommandRejection::InvalidNode);
            }
            Command::Base(base) if base <= self.base => return Ok(false),
            Command::Base(base) => self.base = base,
            Command::View { planner, announcement_version, nodes } => {
                if nodes.len() > MAX_NODES
                    || (self.views.len() >= MAX_PLANNERS && !self.views.contains_key(&planner))
                {
                    return Err(CommandRejection::LimitExceeded);
                }
                if announcement_version.epoch
                    <= self.views.get(&planner).map_or(0, |known| known.version.epoch)
                {
                    return Err(CommandRejection::Outdated);
                }
                // The new view is the result of a recent read, so nodes that only the others list count as
                // gone for this planner.
                let others = self.views.iter().filter(|(number, view)| **number != planner && !view.expelled);
                let others: Vec<String> = others.flat_map(|(_, view)| view.nodes.keys().cloned()).collect();
                let known = self.views.entry(planner).or_default();
                let nodes: BTreeMap<String, Node> = nodes.into_iter().map(|n| (n.id.clone(), n)).collect();
                let mut removed = std::mem::take(&mut known.removed);
                removed.extend(known.nodes.keys().cloned().chain(others));
                removed.retain(|id| !nodes.contains_key(id));
                // A node of the new view that another view lacks counts as gone for that other planner, whose
                // read may be the later one. If the other view lacks most of the list, that planner has read
                // an incomplete inventory.
                let listed: Vec<String> = nodes.keys().cloned().collect();
                *known = View { version: announcement_version, nodes, removed, expelled: false };
                for (_, view) in self.views.iter_mut().filter(|(q, v)| **q != planner && !v.expelled) {
                    let missing: Vec<&String> =
                        listed.iter().filter(|id| !view.nodes.contains_key(*id)).collect();
                    if 2 * missing.len() <= listed.len() {
                        view.removed.extend(missing.into_iter().cloned());
                    }
                }
            }
            Command::Change { planner, from, to, set, gone } => {
                let view = self.views.get_mut(&planner).filter(|v| !v.expelled && v.version == from);
                let Some(view) = view.filter(|_| to > from && to.epoch == from.epoch) else {
                    return Err(CommandRejection::Outdated);
                };
                if view.nodes.len() + set.len() > 2 * MAX_NODES {
                    return Err(CommandRejection::LimitExceeded);
                }
                view.version = to;
                for id in gone {
                    view.nodes.remove(&id);
                    view.removed.insert(id);
                }
                for node in set {
                    view.removed.remove(&node.id);
                    view.nodes.insert(node.id.clone(), node);
                }
            }
            Command::Expel { planner, epoch } => {
                if self.views.len() >= MAX_PLANNERS && !self.views.contains_key(&planner) {
                    return Err(CommandRejection::LimitExceeded);
                }
                let view = self.views.entry(planner).or_default();
                if epoch <= view.version.epoch && view.expelled || epoch < view.version.epoch {
                    return Err(CommandRejection::Outdated);
                }
                view.version = AnnouncementVersion { epoch, sequence: u64::MAX };
                view.expelled = true;
            }
        }
        // Forgets removed nodes that no planner lists any more.
        let active_views = || self.views.values().filter(|v| !v.expelled);
        let listed: BTreeSet<String> = active_views().flat_map(|v| v.nodes.keys().cloned()).collect();
        self.views.values_mut().for_each(|v| v.removed.retain(|id| listed.contains(id)));
        (self.term, self.generation) = (term, index);
        Ok(true)
    }

    /// The plan that results from the views. Its generation is 0 while no planner has a view.
    pub fn plan(&self) -> Plan {
        let active_views = || self.views.values().filter(|v| !v.expelled);
        let generation = if active_views().next().is_some() { self.generation } else { 0 };
        let mut nodes: BTreeMap<&String, Node> = BTreeMap::new();
        for view in active_views() {
            for (id, node) in &view.nodes {
                let known = nodes.entry(id).or_insert_with(|| node.clone());
                known.draining |= node.draining;
                // A planner that started after the node does not know the node's age.
                known.age_ms = known.age_ms.into_iter().chain(node.age_ms).min();
            }
        }
        for id in active_views().flat_map(|v| &v.removed) {
            if let Some(node) = nodes.get_mut(id) {
                node.draining = true;
            }
        }
        Plan {
            version: Version { term: self.base.saturating_add(self.term), generation },
            nodes: nodes.into_values().take(MAX_NODES).collect(),
            acknowledged: self.views.iter().map(|(planner, view)| (*planner, view.version)).collect(),
        }
    }
}
