//! A planner's own view of membership, and the drains that it announces before the planners agree on a plan.

use crate::{AnnouncementVersion, MAX_NODES, Node, PlannerMessage};
use std::collections::{HashMap, VecDeque};

/// One planner's view of membership and its versioned announcements.
#[derive(Debug)]
pub struct Announcer {
    planner_number: u32,
    version: AnnouncementVersion,
    view: Vec<Node>,
    /// Announced drains, oldest first. Bounded by [`MAX_NODES`]; [`Announcer::drains_since`] reports when
    /// older ones were discarded.
    drains: VecDeque<(AnnouncementVersion, String)>,
    /// Version of the last drain that was discarded.
    last_discarded: AnnouncementVersion,
}

impl Announcer {
    /// Creates the announcer of a planner. `epoch` must rise with each start of the planner.
    pub fn new(planner_number: u32, epoch: u64) -> Self {
        let version = AnnouncementVersion { epoch, sequence: 0 };
        Self {
            planner_number,
            version,
            view: Vec::new(),
            drains: VecDeque::new(),
            last_discarded: AnnouncementVersion::default(),
        }
    }

    /// Version of the latest announcement.
    pub fn version(&self) -> AnnouncementVersion {
        self.version
    }

    /// The nodes that the planner sees.
    pub fn view(&self) -> &[Node] {
        &self.view
    }

    /// Begins an epoch above `epoch`, whose announcements the others count as settled. Returns all known
    /// drains as new announcements.
    pub fn begin_epoch(&mut self, epoch: u64) -> Vec<PlannerMessage> {
        self.version = AnnouncementVersion { epoch: epoch.max(self.version.epoch + 1), sequence: 0 };
        let drained: Vec<String> = self.view.iter().filter(|n| n.draining).map(|n| n.id.clone()).collect();
        self.announce(drained)
    }

    /// Updates the view to the current nodes, each listed once. Returns the drains to send to followers and
    /// other planners at once. The version rises with every change.
    pub fn observe(&mut self, mut nodes: Vec<Node>) -> Vec<PlannerMessage> {
        nodes.sort_by(|a, b| a.id.cmp(&b.id));
        // The age of a cold node rises all the time and is not a change.
        let is_same = |a: &Node, b: &Node| *a == Node { age_ms: a.age_ms, ..b.clone() };
        // A node that is added, moves to another address or ends a drain counts as started now. Nodes of the
        // first list may have run for any time.
        if self.version.sequence > 0 {
            let old: HashMap<&str, &Node> = self.view.iter().map(|n| (n.id.as_str(), n)).collect();
            for node in &mut nodes {
                let is_same_start = |o: &&&Node| o.address == node.address && (!o.draining || node.draining);
                node.age_ms = old.get(node.id.as_str()).filter(is_same_start).map_or(Some(0), |o| o.age_ms);
            }
        }
        let unchanged =
            self.view.len() == nodes.len() && self.view.iter().zip(&nodes).all(|(a, b)| is_same(a, b));
        if unchanged && self.version.sequence > 0 {
            return Vec::new();
        }
        let old: HashMap<&str, &Node> = self.view.iter().map(|n| (n.id.as_str(), n)).collect();
        let new: HashMap<&str, &Node> = nodes.iter().map(|n| (n.id.as_str(), n)).collect();
        // Drains in the first list are announced too, because the planner that saw them first may be gone.
        let drains =
            nodes.iter().filter(|n| n.draining && old.get(n.id.as_str()).is_none_or(|o| !o.draining));
        let gone = self.view.iter().filter(|n| !n.draining && !new.contains_key(n.id.as_str()));
        let ended: Vec<String> = drains.chain(gone).map(|n| n.id.clone()).collect();
        self.view = nodes;
        self.announce(ended)
    }

    /// Ids of the nodes that serve in `nodes` and are not in the view.
    pub fn missing_nodes(&self, nodes: &[Node]) -> Vec<String> {
        let is_known = |id: &str| self.view.binary_search_by(|n| n.id.as_str().cmp(id)).is_ok();
        nodes.iter().filter(|n| !n.draining && !is_known(&n.id)).map(|n| n.id.clone()).collect()
    }

    /// Announces the drain of nodes that other planners list and this one does not. Returns the
    /// announcements; each node is announced once in an epoch.
    pub fn announce_ended(&mut self, mut ids: Vec<String>) -> Vec<PlannerMessage> {
        let epoch = self.version.epoch;
        ids.retain(|id| {
            !self.drains.iter().any(|(version, announced)| version.epoch == epoch && announced == id)
        });
        if ids.is_empty() { Vec::new() } else { self.announce(ids) }
    }

    fn announce(&mut self, ids: Vec<String>) -> Vec<PlannerMessage> {
        self.version.sequence += 1;
        let mut messages = Vec::with_capacity(ids.len());
        for id in ids {
            self.version.sequence += 1;
            if self.drains.len() == MAX_NODES
                && let Some((version, _)) = self.drains.pop_front()
            {
                self.last_discarded = version;
            }
            self.drains.push_back((self.version, id.clone()));
            messages.push(PlannerMessage::Drain {
                planner: self.planner_number,
                announcement_version: self.version,
                id,
            });
        }
        messages
    }

    /// The drains announced after `acknowledged`. None if some of them were discarded.
    pub fn drains_since(
        &self,
        acknowledged: AnnouncementVersion,
    ) -> Option<Vec<(AnnouncementVersion, String)>> {
        if acknowledged < self.last_discarded {
            return None;
        }
        Some(self.drains.iter().filter(|(version, _)| *version > acknowledged).cloned().collect())
    }
}
