//! A planner's own view of membership, and what of it must not wait for any agreement: drains.

use crate::{AnnouncementVersion, MAX_NODES, Node, PlannerMessage};
use std::collections::{HashMap, VecDeque};

/// What one planner sees of membership, as news with marks.
#[derive(Debug)]
pub struct Announcer {
    me: u32,
    mark: AnnouncementVersion,
    view: Vec<Node>,
    /// Drains that were told, the last one at the end. Bounded: those beyond it are lost, and
    /// [`Announcer::since`] says so.
    news: VecDeque<(AnnouncementVersion, String)>,
    /// The last one that is lost.
    lost: AnnouncementVersion,
}

impl Announcer {
    /// The planner of that number. `epoch` is higher at each of its starts.
    pub fn new(me: u32, epoch: u64) -> Self {
        let mark = AnnouncementVersion { epoch, sequence: 0 };
        Self { me, mark, view: Vec::new(), news: VecDeque::new(), lost: AnnouncementVersion::default() }
    }

    /// The mark of what it has seen last.
    pub fn version(&self) -> AnnouncementVersion {
        self.mark
    }

    /// What it sees.
    pub fn view(&self) -> &[Node] {
        &self.view
    }

    /// Its news of that epoch count as settled elsewhere: all that it knows to drain is told anew, in a
    /// higher one.
    pub fn begin_epoch(&mut self, epoch: u64) -> Vec<PlannerMessage> {
        self.mark = AnnouncementVersion { epoch: epoch.max(self.mark.epoch + 1), sequence: 0 };
        let drained: Vec<String> = self.view.iter().filter(|n| n.draining).map(|n| n.id.clone()).collect();
        self.tell(drained)
    }

    /// Takes in the nodes that there are now, each once. Returns the drains that followers and other
    /// planners are to be told at once. The mark rises with every change.
    pub fn observe(&mut self, mut nodes: Vec<Node>) -> Vec<PlannerMessage> {
        nodes.sort_by(|a, b| a.id.cmp(&b.id));
        // How old a cold node is changes all the time, and is no news.
        let same = |a: &Node, b: &Node| *a == Node { age_ms: a.age_ms, ..b.clone() };
        // A node that appears, is elsewhere or takes requests again has just started, as far as anyone can
        // tell. What the first list has may have run for long.
        if self.mark.sequence > 0 {
            let old: HashMap<&str, &Node> = self.view.iter().map(|n| (n.id.as_str(), n)).collect();
            for node in &mut nodes {
                let stays = |o: &&&Node| o.address == node.address && (!o.draining || node.draining);
                node.age_ms = old.get(node.id.as_str()).filter(stays).map_or(Some(0), |o| o.age_ms);
            }
        }
        let alike = self.view.len() == nodes.len() && self.view.iter().zip(&nodes).all(|(a, b)| same(a, b));
        if alike && self.mark.sequence > 0 {
            return Vec::new();
        }
        let old: HashMap<&str, &Node> = self.view.iter().map(|n| (n.id.as_str(), n)).collect();
        let new: HashMap<&str, &Node> = nodes.iter().map(|n| (n.id.as_str(), n)).collect();
        // What drains in the first list is news as well: who saw it before may be gone.
        let drains =
            nodes.iter().filter(|n| n.draining && old.get(n.id.as_str()).is_none_or(|o| !o.draining));
        let gone = self.view.iter().filter(|n| !n.draining && !new.contains_key(n.id.as_str()));
        let ended: Vec<String> = drains.chain(gone).map(|n| n.id.clone()).collect();
        self.view = nodes;
        self.tell(ended)
    }

    /// What these have serving and it does not list.
    pub fn missing_nodes(&self, nodes: &[Node]) -> Vec<String> {
        let known = |id: &str| self.view.binary_search_by(|n| n.id.as_str().cmp(id)).is_ok();
        nodes.iter().filter(|n| !n.draining && !known(&n.id)).map(|n| n.id.clone()).collect()
    }

    /// Nodes that others list have ended by what it sees. Returns the drains to be told: each once in an
    /// epoch.
    pub fn announce_ended(&mut self, mut ids: Vec<String>) -> Vec<PlannerMessage> {
        let epoch = self.mark.epoch;
        ids.retain(|id| !self.news.iter().any(|(mark, told)| mark.epoch == epoch && told == id));
        if ids.is_empty() { Vec::new() } else { self.tell(ids) }
    }

    fn tell(&mut self, ended: Vec<String>) -> Vec<PlannerMessage> {
        self.mark.sequence += 1;
        let mut told = Vec::with_capacity(ended.len());
        for id in ended {
            self.mark.sequence += 1;
            if self.news.len() == MAX_NODES
                && let Some((mark, _)) = self.news.pop_front()
            {
                self.lost = mark;
            }
            self.news.push_back((self.mark, id.clone()));
            told.push(PlannerMessage::Drain { planner: self.me, announcement_version: self.mark, id });
        }
        told
    }

    /// The drains that were told after that mark; None where some of them are lost.
    pub fn drains_since(&self, heard: AnnouncementVersion) -> Option<Vec<(AnnouncementVersion, String)>> {
        if heard < self.lost {
            return None;
        }
        Some(self.news.iter().filter(|(mark, _)| *mark > heard).cloned().collect())
    }
}
