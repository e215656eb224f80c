//! A planner: watches an inventory, and tells forwarders what they may use.

use super::config::PlannerConfig;
use super::lists::{Lists, node};
use super::run::ServeError;
use crate::proxy::server;
use dewpier_plan::Publisher;
use dewpier_plan::io::Planner;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::signal::unix::{SignalKind, signal};

/// Plans until SIGTERM. SIGHUP has the inventory read at once.
pub async fn until_signals(config: PlannerConfig) -> Result<(), ServeError> {
    let mut hangup = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut lists = Lists::of_inventory(config.inventory)?;
    let first = lists.first().await?;
    let listener = server::bind(config.listen)?;
    let address = listener.local_addr()?;
    // Without agreement among planners, the one that started last leads: its term is the time. A
    // clock that was set back makes it one that nobody follows, never one that misleads.
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let started = u64::try_from(started).unwrap_or(u64::MAX);
    let publisher = Publisher::new(config.number, started, started);
    let planner = Planner::new(publisher, config.lease, config.most);
    let take = |list: &super::resolve::Resolved, from: &str| {
        let version = planner.update(list.iter().map(|(b, a)| node(b, *a)).collect());
        let (term, generation) = (version.term, version.generation);
        eprintln!("dewpier: {} backends from {from}: plan {term}.{generation}", list.len());
    };
    take(&first, lists.from());
    eprintln!("dewpier: planning on {address}");
    tokio::spawn(planner.clone().serve(listener));
    loop {
        tokio::select! {
            news = lists.next() => match news {
                Ok(list) => take(&list, lists.from()),
                Err(why) => eprintln!("dewpier: the last good list serves on: {why}"),
            },
            _ = hangup.recv() => lists.reload(),
            _ = terminate.recv() => return Ok(()),
        }
    }
}
