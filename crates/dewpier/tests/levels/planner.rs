//! A simulated planner: the planner's own modules and a replica of the agreed fleet state.

use dewpier_cluster::fleet::{AgreedState, Command};
use dewpier_cluster::lease_grantor::LeaseGrantor;
use dewpier_plan::{AnnouncementVersion, Announcer, Loads, Node, PlannerMessage, Publisher, SentPlan};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

pub struct Planner {
    pub number: u32,
    pub announcer: Announcer,
    pub publisher: Publisher,
    pub lease_grantor: LeaseGrantor,
    pub fleet: AgreedState,
    pub loads: Loads,
    /// The number of the consensus group that it belongs to; `u64::MAX` for none.
    pub group: u64,
    /// How many entries of the group's log it has applied.
    pub applied: usize,
    /// The latest announcement received from each other planner.
    pub received_versions: HashMap<u32, AnnouncementVersion>,
    /// When the latest reply of each other planner arrived, in microseconds.
    pub last_reply_at: HashMap<u32, u64>,
    /// Index of the latest membership state that it has read.
    pub observed_state: usize,
    /// The highest term of a plan that a forwarder has reported.
    pub highest_term: u64,
    /// The plan that was sent to each forwarder.
    pub sent_plans: HashMap<usize, SentPlan>,
}

impl Planner {
    pub fn new(number: u32, epoch: u64, lease: Duration) -> Self {
        Self {
            number,
            announcer: Announcer::new(number, epoch),
            publisher: Publisher::with_max_lease(lease),
            lease_grantor: LeaseGrantor::new((0..3).filter(|n| *n != number), lease),
            fleet: AgreedState::default(),
            loads: Loads::default(),
            group: u64::MAX,
            applied: 0,
            received_versions: HashMap::new(),
            last_reply_at: HashMap::new(),
            observed_state: 0,
            highest_term: 0,
            sent_plans: HashMap::new(),
        }
    }

    /// Returns the command that this planner proposes for its own view, and drains to send, as the program does.
    pub fn propose(&mut self) -> (Option<Command>, Vec<PlannerMessage>) {
        let planner_number = self.number;
        let current_version = self.announcer.version();
        let mut drains = Vec::new();
        let command = match self.fleet.announcement_version(planner_number) {
            _ if current_version.sequence == 0 || self.lease_grantor.is_suspended() => None,
            Some(agreed) if agreed == current_version => None,
            Some(agreed) if agreed.epoch == current_version.epoch => {
                let listed =
                    self.fleet.listed_nodes(planner_number).expect("the planner has an agreed version");
                let view = self.announcer.view();
                let view_ids: BTreeSet<&String> = view.iter().map(|n| &n.id).collect();
                let set = view.iter().filter(|n| listed.get(&n.id) != Some(n)).cloned().collect();
                let removed = listed.keys().filter(|id| !view_ids.contains(id)).cloned().collect();
                Some(Command::Change {
                    planner: planner_number,
                    from: agreed,
                    to: current_version,
                    set,
                    gone: removed,
                })
            }
            agreed => {
                let ended_epoch = self.fleet.expelled_epoch(planner_number).or(agreed.map(|m| m.epoch));
                if ended_epoch.is_some_and(|ended| ended >= current_version.epoch) {
                    drains = self.announcer.begin_epoch(ended_epoch.unwrap_or_default() + 1);
                }
                let (version, nodes) = (self.announcer.version(), self.announcer.view().to_vec());
                Some(Command::View { planner: planner_number, announcement_version: version, nodes })
            }
        };
        (command, drains)
    }

    /// Returns the send budgets of a forwarder for cold nodes, as the program does.
    pub fn budgets(&mut self, forwarder: u64, now: Duration) -> Option<PlannerMessage> {
        let cold: Vec<&Node> = self.publisher.cold_nodes(Duration::from_secs(60), now).collect();
        let serving_weight: f64 =
            self.publisher.plan().nodes.iter().filter(|n| !n.draining).map(|n| n.weight).sum();
        let warm_weight = serving_weight - cold.iter().map(|n| n.weight).sum::<f64>();
        let sent_plan = self.sent_plans.get(&(forwarder as usize));
        let sent_nodes = cold.iter().filter(|n| sent_plan.is_some_and(|plan| plan.contains(&n.id)));
        let budgets: Vec<_> = sent_nodes
            .map(|n| (n.id.clone(), self.loads.usual_rate(forwarder, n, warm_weight, now)))
            .collect();
        (!budgets.is_empty()).then_some(PlannerMessage::Budgets(budgets))
    }
}
