//! A planner: its cores, and a replica of what is agreed.

use dewpier_cluster::fleet::{Command, Fleet};
use dewpier_cluster::lease_grantor::LeaseGrantor;
use dewpier_plan::{AnnouncementVersion, Announcer, Loads, Node, PlannerMessage, Publisher, SentPlan};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

pub struct Planner {
    pub number: u32,
    pub announcer: Announcer,
    pub publisher: Publisher,
    pub vouch: LeaseGrantor,
    pub fleet: Fleet,
    pub loads: Loads,
    /// The group that it is in, and how much of its log it has applied.
    pub group: u64,
    pub applied: usize,
    pub heard: HashMap<u32, AnnouncementVersion>,
    pub heard_at: HashMap<u32, u64>,
    /// The state of membership that it has seen.
    pub seen: usize,
    pub highest: u64,
    /// What each forwarder has been told.
    pub parts: HashMap<usize, SentPlan>,
}

impl Planner {
    pub fn new(number: u32, epoch: u64, lease: Duration) -> Self {
        Self {
            number,
            announcer: Announcer::new(number, epoch),
            publisher: Publisher::with_max_lease(lease),
            vouch: LeaseGrantor::new((0..3).filter(|n| *n != number), lease),
            fleet: Fleet::default(),
            loads: Loads::default(),
            group: u64::MAX, // in none
            applied: 0,
            heard: HashMap::new(),
            heard_at: HashMap::new(),
            seen: 0,
            highest: 0,
            parts: HashMap::new(),
        }
    }

    /// What it would have agreed of its own view, as the program has it.
    pub fn proposal(&mut self) -> (Option<Command>, Vec<PlannerMessage>) {
        let me = self.number;
        let mark = self.announcer.version();
        let mut drains = Vec::new();
        let command = match self.fleet.announcement_version(me) {
            _ if mark.sequence == 0 || self.vouch.is_suspended() => None,
            Some(agreed) if agreed == mark => None,
            Some(agreed) if agreed.epoch == mark.epoch => {
                let listed = self.fleet.listed_nodes(me).expect("it has a mark");
                let view = self.announcer.view();
                let ids: BTreeSet<&String> = view.iter().map(|n| &n.id).collect();
                let set = view.iter().filter(|n| listed.get(&n.id) != Some(n)).cloned().collect();
                let gone = listed.keys().filter(|id| !ids.contains(id)).cloned().collect();
                Some(Command::Change { planner: me, from: agreed, to: mark, set, gone })
            }
            agreed => {
                let over = self.fleet.expelled_epoch(me).or(agreed.map(|m| m.epoch));
                if over.is_some_and(|over| over >= mark.epoch) {
                    drains = self.announcer.begin_epoch(over.unwrap_or_default() + 1);
                }
                let (mark, nodes) = (self.announcer.version(), self.announcer.view().to_vec());
                Some(Command::View { planner: me, announcement_version: mark, nodes })
            }
        };
        (command, drains)
    }

    /// What a forwarder may send cold nodes, as the program has it.
    pub fn budgets(&mut self, forwarder: u64, now: Duration) -> Option<PlannerMessage> {
        let cold: Vec<&Node> = self.publisher.cold_nodes(Duration::from_secs(60), now).collect();
        let serving: f64 = self.publisher.plan().nodes.iter().filter(|n| !n.draining).map(|n| n.weight).sum();
        let warm = serving - cold.iter().map(|n| n.weight).sum::<f64>();
        let part = self.parts.get(&(forwarder as usize));
        let its = cold.iter().filter(|n| part.is_some_and(|part| part.contains(&n.id)));
        let usual: Vec<_> =
            its.map(|n| (n.id.clone(), self.loads.usual_rate(forwarder, n, warm, now))).collect();
        (!usual.is_empty()).then_some(PlannerMessage::Budgets(usual))
    }
}
