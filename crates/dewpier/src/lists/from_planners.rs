//! Provides the lists of a forwarder: from its planners, or from its own watch while all planners are silent.

use super::gated_lease::GatedLease;
use super::nodes::node_from_backend;
use super::resolve::ResolvedBackends;
use super::watched::WatchedInventory;
use crate::config::Planners;
use crate::status::{self, ForwarderStatus, NodeStatus};
use dewpier_plan::io::{FollowEvent, FollowSettings, RelayChannel, Security, follow};
use dewpier_plan::{Digest, Follower, Node, Slice, Standby, StandbySettings, lease_check_interval};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::watch;

/// Interval between checks whether to switch the source, while a switch is near or the own watch runs.
const SWITCH_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Chooses between the lists of the planners and of the own watch, and publishes the chosen one.
struct SourceSwitch {
    follower: Rc<RefCell<Follower>>,
    standby: RefCell<Standby>,
    nodes: watch::Sender<Vec<Node>>,
    budgets: watch::Sender<HashMap<String, f64>>,
    gated_lease: Rc<GatedLease>,
    start: Instant,
    name: String,
    /// When the current plan arrived.
    plan_arrived_at: Cell<Option<Instant>>,
}

impl SourceSwitch {
    /// The status to report to operators.
    fn status(&self) -> ForwarderStatus {
        let (follower, standby) = (self.follower.borrow(), self.standby.borrow());
        let lease_end = standby.send_deadline(&follower, self.start.elapsed());
        let source = match (standby.uses_own_list(), lease_end) {
            (true, _) => "own watch",
            (false, None) => "last plan",
            (false, Some(_)) => "planners",
        };
        let millis = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        let budgets = follower.budgets();
        let node_status = |node: Node| NodeStatus {
            address: node.address.to_string(),
            draining: node.draining,
            usual_rate: budgets.get(&node.id).copied(),
            id: node.id,
        };
        ForwarderStatus {
            forwarder: self.name.clone(),
            source: source.into(),
            version: follower.version().map(|v| format!("{}.{}", v.term, v.generation)),
            plan_age_ms: self.plan_arrived_at.get().map(|arrived| millis(arrived.elapsed())),
            lease_left_ms: lease_end.map(|lease_end| millis(lease_end.saturating_sub(self.start.elapsed()))),
            rejections: follower
                .rejections()
                .iter()
                .map(|(reason, count)| (reason.to_string(), *count))
                .collect(),
            nodes: standby.nodes(&follower).into_iter().map(node_status).collect(),
        }
    }

    /// Updates the choice of the source after an event and publishes the results.
    fn update(&self, follower: &Follower, event: FollowEvent) {
        let mut standby = self.standby.borrow_mut();
        let now = self.start.elapsed();
        let (was_watching, was_on_its_own) = (standby.is_watching(), standby.uses_own_list());
        // The keys of the standard hasher are random, which suffices for spreading the delays.
        let random_fraction = RandomState::new().build_hasher().finish() as f64 / u64::MAX as f64;
        let switched = standby.update(follower, now, random_fraction);
        if !was_watching && standby.is_watching() {
            eprintln!("dewpier: all planners are silent, starting the own watch");
        }
        if was_on_its_own && !standby.uses_own_list() {
            eprintln!("dewpier: planners are back");
        }
        if event == FollowEvent::NodesChanged {
            self.plan_arrived_at.set(Some(Instant::now()));
        }
        if event == FollowEvent::BudgetsChanged {
            self.budgets.send_replace(follower.budgets());
        }
        self.publish(&standby, follower, event == FollowEvent::NodesChanged || switched);
    }

    /// Publishes the list if it has changed, then the end of its lease.
    fn publish(&self, standby: &Standby, follower: &Follower, changed: bool) {
        if changed {
            // Held first: the lease set below is for this list.
            self.gated_lease.hold_until_applied();
            self.nodes.send_replace(standby.nodes(follower));
        }
        let lease_end = standby.send_deadline(follower, self.start.elapsed());
        self.gated_lease.set_expiry(lease_end.map(|lease_end| self.start + lease_end));
    }

    /// Records the last check of the own watch and requests the next one.
    fn check_own_watch(&self, watch: &WatchedInventory) {
        let mut standby = self.standby.borrow_mut();
        if let Some(started) = watch.last_check() {
            standby.record_read(started.saturating_duration_since(self.start));
        }
        standby.record_read_request();
        watch.request_check();
    }

    /// Takes a list of the own watch and publishes it if it is the one in use.
    fn take_own_list(&self, list: &ResolvedBackends) {
        let nodes: Vec<Node> =
            list.iter().map(|(backend, address)| node_from_backend(backend, *address)).collect();
        let follower = self.follower.borrow();
        let mut standby = self.standby.borrow_mut();
        if standby.receive_own_list(&follower, nodes) {
            self.publish(&standby, &follower, true);
        }
    }
}

/// Channels of the following task. Of lists, budgets and digests only the latest counts.
pub(super) struct Channels {
    /// Receives the lists.
    pub(super) nodes: watch::Sender<Vec<Node>>,
    /// Receives the budgets of cold nodes, in requests per second by node name.
    pub(super) budgets: watch::Sender<HashMap<String, f64>>,
    /// Supplies the digests for planners.
    pub(super) digests: watch::Receiver<Digest>,
    /// Messages that planners relay, if any.
    pub(super) relay: Option<RelayChannel>,
    /// The socket on which the status is reported.
    pub(super) status_socket: Option<UnixListener>,
}

/// Follows planners until it is dropped, and switches to the own watch while all planners are silent.
pub(super) async fn run(
    planners: Planners,
    security: Security,
    channels: Channels,
    gated_lease: Rc<GatedLease>,
    start: Instant,
) {
    let Planners {
        addresses,
        name,
        drain_bound,
        heartbeat_interval,
        max_nodes,
        own_inventory,
        own_watch_spread,
        ..
    } = planners;
    let slice = max_nodes.map(|max_nodes| Slice::new(&name, max_nodes));
    let follower = Rc::new(RefCell::new(Follower::with_slice(slice).with_drain_bound(drain_bound)));
    let standby_settings = StandbySettings {
        own_watch: own_inventory.is_some(),
        spread: own_watch_spread,
        lease: drain_bound.max_lease(),
    };
    let check_interval = lease_check_interval(standby_settings.lease);
    let standby = RefCell::new(Standby::new(standby_settings));
    let (nodes, budgets) = (channels.nodes, channels.budgets);
    let (plan_arrived_at, own_name) = (Cell::new(None), name.clone());
    let switch = SourceSwitch {
        follower: follower.clone(),
        standby,
        nodes,
        budgets,
        gated_lease,
        start,
        name: own_name,
        plan_arrived_at,
    };
    let following = FollowSettings { planners: addresses, name, heartbeat_interval, start, security };
    let followed = follow(following, follower, channels.digests, channels.relay, |follower, event| {
        switch.update(follower, event)
    });
    tokio::pin!(followed);
    let mut watch: Option<WatchedInventory> = None;
    let status_socket = channels.status_socket;
    let mut last_check_request = start;
    loop {
        let is_switch_near = switch.standby.borrow().is_watching() || switch.follower.borrow().is_silent();
        let update_interval = if is_switch_near { SWITCH_CHECK_INTERVAL } else { heartbeat_interval };
        tokio::select! {
            () = &mut followed => return,
            () = tokio::time::sleep(update_interval) => {
                if let Some(watched) = watch.as_ref().filter(|_| last_check_request.elapsed() >= check_interval) {
                    last_check_request = Instant::now();
                    switch.check_own_watch(watched);
                }
                switch.update(&switch.follower.borrow(), FollowEvent::LeaseChanged);
            }
            client = accept_status_client(&status_socket) => {
                tokio::task::spawn_local(status::send_status(client, switch.status()));
            }
            // Cancel-safe.
            result = next_own_list(&mut watch) => match result {
                Ok(list) => {
                    eprintln!("dewpier: {} backends from its own watch", list.len());
                    switch.take_own_list(&list);
                }
                Err(reason) => {
                    eprintln!("dewpier: the own watch has no list: {reason}");
                    switch.standby.borrow_mut().record_own_list_failure();
                }
            },
        }
        let watches = switch.standby.borrow().is_watching();
        match (&own_inventory, watches, &watch) {
            (Some(inventory), true, None) => match WatchedInventory::start(inventory.clone()) {
                Ok(watched) => watch = Some(watched),
                Err(error) => {
                    eprintln!("dewpier: the own watch cannot start: {error}");
                    switch.standby.borrow_mut().record_own_list_failure();
                    // Waits before the next try.
                    tokio::select! {
                        () = &mut followed => return,
                        () = tokio::time::sleep(Duration::from_secs(1)) => {}
                    }
                }
            },
            (_, false, Some(_)) => watch = None,
            _ => {}
        }
    }
}

/// Accepts the next client on the status socket; never returns without a socket.
async fn accept_status_client(status_socket: &Option<UnixListener>) -> UnixStream {
    loop {
        match status_socket {
            None => std::future::pending().await,
            Some(listener) => match listener.accept().await {
                Ok((stream, _)) => return stream,
                Err(_) => tokio::time::sleep(Duration::from_millis(100)).await, // such as when no descriptors are left
            },
        }
    }
}

/// The next list of the own watch; never returns while it is off.
async fn next_own_list(watch: &mut Option<WatchedInventory>) -> Result<ResolvedBackends, String> {
    match watch {
        Some(watched) => watched.next_list().await,
        None => std::future::pending().await,
    }
}
