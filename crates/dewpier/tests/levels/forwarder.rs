//! A forwarder: its cores, its decision module, and what the engine does round it.

use dewpier::lists::nodes::backend_from_node;
use dewpier::members::Members;
use dewpier_plan::{Counts, Digest, DrainBound, Follower, Node, Slice, Standby, StandbySettings};
use gannetproxy::engine::{BackendListUpdate, ListedBackend};
use gannetproxy::{Action, BackendEntry, BackendId, Balancer, Event, ListUpdate, Settings, Status};
use std::collections::HashMap;
use std::time::Duration;

pub struct Open {
    pub unsafe_: bool,
    pub answers: u32,
    pub attempts: Vec<Attempt>,
}

pub struct Attempt {
    pub backend: BackendId,
    pub sent: u64,
    pub ended: bool,
    pub written: bool,
}

pub struct Forwarder {
    pub follower: Follower,
    pub standby: Standby,
    pub members: Members,
    pub balancer: Balancer,
    /// Until when something may be sent at all; none for good.
    pub lease: Option<u64>,
    pub gates: HashMap<BackendId, Option<u64>>,
    pub open: HashMap<u64, Open>,
    pub requests: u64,
    pub counts: HashMap<BackendId, Counts>,
    pub listed: bool,
    pub watches: bool,
    /// The state of membership that its own watch has seen.
    pub seen: usize,
    pub own_watches: usize,
    grace: u64,
}

impl Forwarder {
    pub fn new(now: u64, seed: u64, settings: Settings, slice: Option<Slice>, drains: DrainBound) -> Self {
        let rules = StandbySettings {
            own_watch: true,
            spread: drains.remaining_lease(drains.default_heartbeat()),
            lease: drains.max_lease(),
        };
        Self {
            follower: Follower::with_slice(slice).with_drain_bound(drains),
            // Of the grace of a drain, half is used.
            grace: drains.max_grace().as_micros() as u64 / 2,
            standby: Standby::new(rules),
            members: Members::new(Vec::new()),
            balancer: Balancer::new(now as f64 / 1e6, seed, settings),
            lease: Some(now),
            gates: HashMap::new(),
            open: HashMap::new(),
            requests: 0,
            counts: HashMap::new(),
            listed: false,
            watches: false,
            seen: 0,
            own_watches: 0,
        }
    }

    pub fn lent(&self, now: u64) -> bool {
        self.lease.is_none_or(|until| now < until)
    }

    /// After all that its follower hears or asks; `changed` where the nodes may differ.
    pub fn see(&mut self, now: u64, start: u64, lot: f64, changed: bool, actions: &mut Vec<Action>) {
        let own = Duration::from_micros(now - start);
        let turned = self.standby.update(&self.follower, own, lot);
        self.hand_on(now, start, changed || turned, actions);
        self.watches = self.standby.is_watching();
    }

    pub fn hand_on(&mut self, now: u64, start: u64, changed: bool, actions: &mut Vec<Action>) {
        if changed {
            let nodes = self.standby.nodes(&self.follower);
            self.take(now, &nodes, actions);
        }
        let until = self.standby.send_deadline(&self.follower, Duration::from_micros(now - start));
        self.lease = until.map(|until| start + until.as_micros() as u64);
    }

    pub fn take(&mut self, now: u64, nodes: &[Node], actions: &mut Vec<Action>) {
        let list: Vec<_> = nodes.iter().map(backend_from_node).collect();
        let pairs: Vec<_> = list.iter().map(|(b, a)| (b, *a)).collect();
        let age = |n: &Node| Some((n.id.clone(), n.age_ms? as f64 / 1000.0));
        let ages = nodes.iter().filter_map(age).collect();
        let grace = if self.lent(now) { self.grace } else { 0 };
        let news = self.members.update_nodes(&pairs, &ages, now as f64 / 1e6);
        let BackendListUpdate::Full(list) = news else { panic!("{news:?}") };
        for (id, gate) in &mut self.gates {
            if list.iter().all(|l| l.entry.id != *id) {
                gate.get_or_insert(now + grace);
            }
        }
        for ListedBackend { entry, .. } in &list {
            let gate = self.gates.entry(entry.id).or_default();
            match entry.status {
                Status::InService => *gate = None,
                _ => *gate = Some(gate.unwrap_or(now + grace)),
            }
        }
        let entries: Vec<BackendEntry> = list.into_iter().map(|l| l.entry).collect();
        let update = if self.listed { ListUpdate::Full(&entries) } else { ListUpdate::Remembered(&entries) };
        self.listed = true;
        self.event(now, Event::List(update), actions);
    }

    pub fn budgets(&mut self, now: u64, actions: &mut Vec<Action>) {
        if let BackendListUpdate::Changes(list) = self.members.update_budgets(self.follower.budgets()) {
            let entries: Vec<BackendEntry> = list.into_iter().map(|l| l.entry).collect();
            self.event(now, Event::List(ListUpdate::Changes(&entries)), actions);
        }
    }

    pub fn event(&mut self, now: u64, event: Event<'_>, actions: &mut Vec<Action>) {
        self.balancer.handle(now as f64 / 1e6, event, actions);
    }

    pub fn digest(&mut self, span: u64) -> Digest {
        let names = self.members.node_names();
        let named =
            |(id, counts): (BackendId, Counts)| Some(Counts { id: names.get(&id)?.to_string(), ..counts });
        let nodes = self.counts.drain().filter_map(named).collect();
        Digest { interval_ms: (span / 1000) as u32, nodes, other_served: 0 }
    }
}
