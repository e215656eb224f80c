//! Starts a proxy from a checked configuration, and feeds it the lists that its inventory or its
//! planners give.

use crate::config::{Config, ListFrom};
use crate::error::ServeError;
use crate::lists::Lists;
use crate::lists::resolve::Resolved;
use crate::members::Members;
use dewpier_http::backend::{Answers, Http, Reuse};
use dewpier_http::limits::{Budget, Caps};
use dewpier_http::request::Dialect;
use dewpier_http::server::{self, Server};
use dewpier_inventory::{Backend, State};
use dewpier_plan::{Digest, MOST_COUNTED};
use gannetproxy::BackendId;
use gannetproxy::engine::{Counts, Engine, News};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;

/// How often planners are told what was seen.
const DIGEST_EVERY: Duration = Duration::from_secs(1);

/// Serves until SIGTERM. SIGHUP has the inventory read at once.
pub async fn until_signals(config: Config) -> Result<(), ServeError> {
    // The handlers come first: a signal that finds none ends the program.
    let mut hangup = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let (reload, stop) = (Notify::new(), async move { terminate.recv().await.unwrap_or_default() });
    let reloading = async {
        while hangup.recv().await.is_some() {
            reload.notify_one();
        }
        std::future::pending().await
    };
    let ready = |address| eprintln!("dewpier: listening on {address}");
    tokio::select! {
        ran = run(config, ready, &reload, stop) => ran,
        () = reloading => Ok(()),
    }
}

/// Serves until `stop`, on the address that `ready` is told. `reload` has the inventory read at once.
/// Runs on a [`tokio::task::LocalSet`].
pub async fn run(
    config: Config,
    ready: impl FnOnce(SocketAddr),
    reload: &Notify,
    stop: impl Future<Output = ()>,
) -> Result<(), ServeError> {
    let Config { listen, descriptors, memory, source, settings, wire, routes } = config;
    let mut lists = match source {
        ListFrom::Inventory(inventory) => Lists::of_inventory(inventory)?,
        ListFrom::Planners(planners) => Lists::of_planners(*planners)?,
    };
    // Nothing is served before there is a list, and a proxy that can't have one says so and ends.
    let mut members = Members::new(wire.zones.clone());
    let first = lists.first().await?;

    let caps = Caps::new(descriptors, memory);
    let upstream = Http {
        connections: Budget::new(caps.backends),
        connect_timeout: wire.connect_timeout,
        idle_close: wire.idle_close,
        probe_path: "/-/healthy",
        reuse: Reuse::new(wire.handshake_price),
        answers: Answers::Plain,
    };
    let listener = server::bind(listen)?;
    let address = listener.local_addr()?;
    // The keys of the standard hasher are random; no more is needed of a seed.
    let seed = RandomState::new().build_hasher().finish();
    let engine = Engine::leased(settings.clone(), wire.bounds(), seed, upstream, lists.lease());
    let remembered = match members.news(&pairs(&first), &lists.ages(), engine.clock().now()) {
        News::Full(list) => News::Remembered(list),
        other => other,
    };
    engine.news(remembered);
    lists.taken();
    eprintln!("dewpier: {}", summary(&first, lists.from()));
    ready(address);
    let server = Server::new(engine.clone(), settings, wire, Dialect::Plain(routes), caps);
    let (mut budgets, digests) = lists.planners().unzip();
    let mut digest = tokio::time::interval(DIGEST_EVERY);
    digest.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last = Instant::now();
    let listing = async move {
        loop {
            tokio::select! {
                news = lists.next() => match news {
                    Ok(list) => {
                        engine.news(members.news(&pairs(&list), &lists.ages(), engine.clock().now()));
                        lists.taken();
                        members.forget(|id| engine.knows(id));
                        eprintln!("dewpier: {}", summary(&list, lists.from()));
                    }
                    Err(why) => eprintln!("dewpier: the last good list serves on: {why}"),
                },
                usual = Lists::budgets(&mut budgets) => engine.news(members.budgets(usual)),
                _ = digest.tick(), if digests.is_some() => {
                    let span = last.elapsed();
                    last = Instant::now();
                    let seen = digested(engine.take_counts(), &members.names(), span);
                    digests.iter().for_each(|d| drop(d.send_replace(seen.clone())));
                }
                () = reload.notified() => lists.reload(),
            }
        }
    };
    tokio::select! {
        () = server.run(listener, stop) => {}
        () = listing => {}
    }
    Ok(())
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
