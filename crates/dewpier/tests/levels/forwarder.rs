//! A simulated forwarder: its plan follower, its decision module and the engine's handling of leases and send
//! deadlines.

use dewpier::lists::nodes::backend_from_node;
use dewpier::members::NodeTracker;
use dewpier_plan::{Digest, DrainBound, Follower, Node, NodeCounts, Slice, Standby, StandbySettings};
use gannetproxy::engine::{BackendListUpdate, ListedBackend};
use gannetproxy::{Action, BackendEntry, BackendId, Balancer, Event, ListUpdate, Settings, Status};
use std::collections::HashMap;
use std::time::Duration;

/// A request that the forwarder has received.
pub struct OpenRequest {
    pub is_unsafe: bool,
    pub answer_count: u32,
    pub attempts: Vec<Attempt>,
}

/// One attempt of a request at a backend.
pub struct Attempt {
    pub backend: BackendId,
    /// When the attempt was sent, in microseconds.
    pub sent_at: u64,
    pub has_ended: bool,
    pub is_written: bool,
}

pub struct Forwarder {
    pub follower: Follower,
    pub standby: Standby,
    pub tracker: NodeTracker,
    pub balancer: Balancer,
    /// When the lease on the backend list ends, in microseconds; `None` for a lease without an end.
    pub lease_end: Option<u64>,
    /// When sends to each backend must end, in microseconds; `None` for a backend in service.
    pub send_deadlines: HashMap<BackendId, Option<u64>>,
    pub open_requests: HashMap<u64, OpenRequest>,
    pub request_count: u64,
    pub counts: HashMap<BackendId, NodeCounts>,
    pub has_list: bool,
    pub is_watching: bool,
    /// Index of the latest membership state that its own watch has read.
    pub observed_state: usize,
    pub own_watches: usize,
    /// How long sends to a draining backend go on, in microseconds.
    grace: u64,
}

impl Forwarder {
    pub fn new(now: u64, seed: u64, settings: Settings, slice: Option<Slice>, drains: DrainBound) -> Self {
        let standby_settings = StandbySettings {
            own_watch: true,
            spread: drains.remaining_lease(drains.default_heartbeat()),
            lease: drains.max_lease(),
        };
        Self {
            follower: Follower::with_slice(slice).with_drain_bound(drains),
            // Half of the maximum grace period.
            grace: drains.max_grace().as_micros() as u64 / 2,
            standby: Standby::new(standby_settings),
            tracker: NodeTracker::new(Vec::new()),
            balancer: Balancer::new(now as f64 / 1e6, seed, settings),
            lease_end: Some(now),
            send_deadlines: HashMap::new(),
            open_requests: HashMap::new(),
            request_count: 0,
            counts: HashMap::new(),
            has_list: false,
            is_watching: false,
            observed_state: 0,
            own_watches: 0,
        }
    }

    pub fn has_lease(&self, now: u64) -> bool {
        self.lease_end.is_none_or(|end| now < end)
    }

    /// Updates the standby after the follower has received or sent a message; `changed` if its nodes may have changed.
    pub fn update_standby(
        &mut self,
        now: u64,
        start: u64,
        random_fraction: f64,
        changed: bool,
        actions: &mut Vec<Action>,
    ) {
        let uptime = Duration::from_micros(now - start);
        let switched = self.standby.update(&self.follower, uptime, random_fraction);
        self.apply_standby(now, start, changed || switched, actions);
        self.is_watching = self.standby.is_watching();
    }

    /// Applies the nodes of the current source if they have changed, and the end of its lease.
    pub fn apply_standby(&mut self, now: u64, start: u64, changed: bool, actions: &mut Vec<Action>) {
        if changed {
            let nodes = self.standby.nodes(&self.follower);
            self.apply_nodes(now, &nodes, actions);
        }
        let send_deadline = self.standby.send_deadline(&self.follower, Duration::from_micros(now - start));
        self.lease_end = send_deadline.map(|deadline| start + deadline.as_micros() as u64);
    }

    /// Applies a node list: sets the send deadlines and passes the list to the decision module.
    pub fn apply_nodes(&mut self, now: u64, nodes: &[Node], actions: &mut Vec<Action>) {
        let list: Vec<_> = nodes.iter().map(backend_from_node).collect();
        let addressed: Vec<_> = list.iter().map(|(b, a)| (b, *a)).collect();
        let age = |n: &Node| Some((n.id.clone(), n.age_ms? as f64 / 1000.0));
        let ages = nodes.iter().filter_map(age).collect();
        let grace = if self.has_lease(now) { self.grace } else { 0 };
        let update = self.tracker.update_nodes(&addressed, &ages, now as f64 / 1e6);
        let BackendListUpdate::Full(list) = update else { panic!("{update:?}") };
        for (id, deadline) in &mut self.send_deadlines {
            if list.iter().all(|l| l.entry.id != *id) {
                deadline.get_or_insert(now + grace);
            }
        }
        for ListedBackend { entry, .. } in &list {
            let deadline = self.send_deadlines.entry(entry.id).or_default();
            match entry.status {
                Status::InService => *deadline = None,
                _ => *deadline = Some(deadline.unwrap_or(now + grace)),
            }
        }
        let entries: Vec<BackendEntry> = list.into_iter().map(|l| l.entry).collect();
        let update =
            if self.has_list { ListUpdate::Full(&entries) } else { ListUpdate::Remembered(&entries) };
        self.has_list = true;
        self.handle_event(now, Event::List(update), actions);
    }

    pub fn apply_budgets(&mut self, now: u64, actions: &mut Vec<Action>) {
        if let BackendListUpdate::Changes(list) = self.tracker.update_budgets(self.follower.budgets()) {
            let entries: Vec<BackendEntry> = list.into_iter().map(|l| l.entry).collect();
            self.handle_event(now, Event::List(ListUpdate::Changes(&entries)), actions);
        }
    }

    pub fn handle_event(&mut self, now: u64, event: Event<'_>, actions: &mut Vec<Action>) {
        self.balancer.handle(now as f64 / 1e6, event, actions);
    }

    /// Builds the digest of an interval in microseconds and resets the counts.
    pub fn take_digest(&mut self, interval: u64) -> Digest {
        let names = self.tracker.node_names();
        let with_name = |(id, counts): (BackendId, NodeCounts)| {
            Some(NodeCounts { id: names.get(&id)?.to_string(), ..counts })
        };
        let nodes = self.counts.drain().filter_map(with_name).collect();
        Digest { interval_ms: (interval / 1000) as u32, nodes, other_served: 0 }
    }
}
