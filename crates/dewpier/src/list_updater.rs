//! Applies the lists of a source to an engine of any protocol, and reports what the engine counts to planners.

use crate::error::ServeError;
use crate::fleet::FleetParticipant;
use crate::lists::ListSource;
use crate::lists::resolve::ResolvedBackends;
use crate::members::NodeTracker;
use dewpier_inventory::{Backend, State};
use dewpier_plan::{Digest, MAX_DIGEST_NODES};
use gannetproxy::BackendId;
use gannetproxy::engine::{BackendCounts, BackendListUpdate, Engine, Lease, Upstream};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Interval between digests to planners.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the backend list of an engine up to date.
pub(crate) struct ListUpdater {
    source: ListSource,
    tracker: NodeTracker,
    first_list: ResolvedBackends,
    /// The fleet that is notified of every list, if any.
    fleet: Option<Rc<FleetParticipant>>,
}

impl ListUpdater {
    /// Waits for the first list, without which nothing can be served. Fails if the source has none.
    pub async fn start(mut source: ListSource, zones: Vec<String>) -> Result<Self, ServeError> {
        let first_list = source.first_list().await?;
        Ok(Self { source, tracker: NodeTracker::new(zones), first_list, fleet: None })
    }

    /// The lease that limits how long the lists may be used.
    pub fn lease(&self) -> Rc<Lease> {
        self.source.lease()
    }

    /// Notifies the fleet of every list from now on.
    pub fn notify_fleet(&mut self, fleet: Rc<FleetParticipant>) {
        self.fleet = Some(fleet);
    }

    /// Applies the first list to an engine.
    pub fn apply_first_list<U: Upstream>(&mut self, engine: &Engine<U>) {
        let first_list = std::mem::take(&mut self.first_list);
        let update =
            self.tracker.update_nodes(&as_pairs(&first_list), &self.source.node_ages(), engine.clock().now());
        self.fleet.iter().for_each(|fleet| fleet.set_nodes(self.tracker.nodes()));
        engine.update_list(match update {
            BackendListUpdate::Full(list) => BackendListUpdate::Remembered(list),
            other => other,
        });
        self.source.mark_applied();
        eprintln!("dewpier: {}", summarize(&first_list, self.source.source_name()));
    }

    /// Applies all further lists until it is dropped. `reload` makes the source read its files at once.
    pub async fn run<U: Upstream>(self, engine: Rc<Engine<U>>, reload: &Notify) {
        let Self { mut source, mut tracker, fleet, .. } = self;
        let (mut budgets, digests) = source.planner_channels().unzip();
        let mut digest_ticks = tokio::time::interval(DIGEST_INTERVAL);
        digest_ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut last_digest = Instant::now();
        loop {
            tokio::select! {
                result = source.next_list() => match result {
                    Ok(list) => {
                        let update = tracker.update_nodes(&as_pairs(&list), &source.node_ages(), engine.clock().now());
                        fleet.iter().for_each(|fleet| fleet.set_nodes(tracker.nodes()));
                        engine.update_list(update);
                        source.mark_applied();
                        tracker.forget_unknown_ids(|id| engine.has_backend(id));
                        eprintln!("dewpier: {}", summarize(&list, source.source_name()));
                    }
                    Err(reason) => eprintln!("dewpier: the last good list serves on: {reason}"),
                },
                latest = ListSource::next_budgets(&mut budgets) => engine.update_list(tracker.update_budgets(latest)),
                _ = digest_ticks.tick(), if digests.is_some() => {
                    let interval = last_digest.elapsed();
                    last_digest = Instant::now();
                    let digest = build_digest(engine.take_counts(), &tracker.node_names(), interval);
                    digests.iter().for_each(|sender| drop(sender.send_replace(digest.clone())));
                }
                () = reload.notified() => source.reload(),
            }
        }
    }
}

/// A seed for a decision module, from the random keys of the standard hasher.
pub(crate) fn random_seed() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Builds the digest for planners: counts by node for the nodes that were sent most, and a sum for the others.
fn build_digest(
    mut counts_by_id: Vec<(BackendId, BackendCounts)>,
    names: &HashMap<BackendId, &str>,
    interval: Duration,
) -> Digest {
    counts_by_id.sort_by_key(|(_, counts)| Reverse((counts.sent, counts.in_flight)));
    let mut digest = Digest {
        interval_ms: u32::try_from(interval.as_millis()).unwrap_or(u32::MAX).max(1),
        ..Digest::default()
    };
    for (id, counts) in counts_by_id {
        match names.get(&id) {
            Some(name) if digest.nodes.len() < MAX_DIGEST_NODES => {
                digest.nodes.push(dewpier_plan::NodeCounts {
                    id: name.to_string(),
                    in_flight: counts.in_flight,
                    sent: counts.sent,
                    served: counts.served,
                    failed: counts.failed,
                    served_ms: (counts.served_time * 1000.0) as u64,
                })
            }
            _ => digest.other_served = digest.other_served.saturating_add(counts.served),
        }
    }
    digest
}

/// Describes an applied list for the log.
fn summarize(list: &ResolvedBackends, source_name: &str) -> String {
    let serving =
        list.iter().filter(|(backend, _)| backend.state == State::Serving && backend.weight > 0.0).count();
    format!("{} backends from {source_name}, {serving} of them serving", list.len())
}

/// Borrows the backends of a list.
fn as_pairs(list: &ResolvedBackends) -> Vec<(&Backend, SocketAddr)> {
    list.iter().map(|(backend, address)| (backend, *address)).collect()
}
