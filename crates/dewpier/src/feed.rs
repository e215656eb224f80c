//! Lists on their way to an engine, for as long as a front runs: which protocol that speaks is nothing to them.

use crate::error::ServeError;
use crate::fleet::Fleet;
use crate::lists::Lists;
use crate::lists::resolve::Resolved;
use crate::members::Members;
use dewpier_inventory::{Backend, State};
use dewpier_plan::{Digest, MOST_COUNTED};
use gannetproxy::BackendId;
use gannetproxy::engine::{Counts, Engine, Lease, News, Upstream};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// How often planners are told what was seen.
const DIGEST_EVERY: Duration = Duration::from_secs(1);

/// Lists, and who is listed.
pub(crate) struct Feed {
    lists: Lists,
    members: Members,
    first: Resolved,
    /// Who is told of every list, if anybody.
    fleet: Option<Rc<Fleet>>,
}

impl Feed {
    /// Waits for the first list: nothing is served before there is one, and a proxy that can't have one says so
    /// and ends.
    pub async fn first(mut lists: Lists, zones: Vec<String>) -> Result<Self, ServeError> {
        let first = lists.first().await?;
        Ok(Self { lists, members: Members::new(zones), first, fleet: None })
    }

    /// For how long its lists may be gone by.
    pub fn lease(&self) -> Rc<Lease> {
        self.lists.lease()
    }

    /// From now on the fleet is told of every list.
    pub fn tells(&mut self, fleet: Rc<Fleet>) {
        self.fleet = Some(fleet);
    }

    /// Hands the first list to an engine.
    pub fn begin<U: Upstream>(&mut self, engine: &Engine<U>) {
        let first = std::mem::take(&mut self.first);
        let news = self.members.update_nodes(&pairs(&first), &self.lists.ages(), engine.clock().now());
        self.fleet.iter().for_each(|fleet| fleet.list(self.members.nodes()));
        engine.news(match news {
            News::Full(list) => News::Remembered(list),
            other => other,
        });
        self.lists.taken();
        eprintln!("dewpier: {}", summary(&first, self.lists.from()));
    }

    /// Hands on what comes after it, for ever. `reload` has the source asked at once.
    pub async fn run<U: Upstream>(self, engine: Rc<Engine<U>>, reload: &Notify) {
        let Self { mut lists, mut members, fleet, .. } = self;
        let (mut budgets, digests) = lists.planners().unzip();
        let mut digest = tokio::time::interval(DIGEST_EVERY);
        digest.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut last = Instant::now();
        loop {
            tokio::select! {
                news = lists.next() => match news {
                    Ok(list) => {
                        let news = members.update_nodes(&pairs(&list), &lists.ages(), engine.clock().now());
                        fleet.iter().for_each(|fleet| fleet.list(members.nodes()));
                        engine.news(news);
                        lists.taken();
                        members.forget_unknown_ids(|id| engine.knows(id));
                        eprintln!("dewpier: {}", summary(&list, lists.from()));
                    }
                    Err(why) => eprintln!("dewpier: the last good list serves on: {why}"),
                },
                usual = Lists::budgets(&mut budgets) => engine.news(members.update_budgets(usual)),
                _ = digest.tick(), if digests.is_some() => {
                    let span = last.elapsed();
                    last = Instant::now();
                    let seen = digested(engine.take_counts(), &members.node_names(), span);
                    digests.iter().for_each(|d| drop(d.send_replace(seen.clone())));
                }
                () = reload.notified() => lists.reload(),
            }
        }
    }
}

/// A seed for a module. The keys of the standard hasher are random; no more is needed of it.
pub(crate) fn seed() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// What was seen lately, for planners: by node for those that were sent most.
fn digested(mut seen: Vec<(BackendId, Counts)>, names: &HashMap<BackendId, &str>, span: Duration) -> Digest {
    seen.sort_by_key(|(_, counts)| Reverse((counts.sent, counts.in_flight)));
    let mut digest =
        Digest { span_ms: u32::try_from(span.as_millis()).unwrap_or(u32::MAX).max(1), ..Digest::default() };
    for (id, counts) in seen {
        match names.get(&id) {
            Some(name) if digest.nodes.len() < MOST_COUNTED => digest.nodes.push(dewpier_plan::Counts {
                id: name.to_string(),
                in_flight: counts.in_flight,
                sent: counts.sent,
                served: counts.served,
                failed: counts.failed,
                took_ms: (counts.took * 1000.0) as u64,
            }),
            _ => digest.rest = digest.rest.saturating_add(counts.served),
        }
    }
    digest
}

fn summary(list: &Resolved, file: &str) -> String {
    let serving = list.iter().filter(|(b, _)| b.state == State::Serving && b.weight > 0.0).count();
    format!("{} backends from {file}, {serving} of them serving", list.len())
}

fn pairs(list: &Resolved) -> Vec<(&Backend, SocketAddr)> {
    list.iter().map(|(backend, address)| (backend, *address)).collect()
}
