//! A planner: watches an inventory, agrees with other planners, and tells forwarders what they may use.

use crate::config::PlannerConfig;
use crate::error::ServeError;
use crate::lists::nodes::node_from_backend;
use crate::lists::resolve::Resolved;
use crate::lists::watched::Watched;
use crate::tls;
use dewpier_cluster::{Cluster, Settings};
use dewpier_http::server;
use tokio::signal::unix::{SignalKind, signal};

/// How often it is seen whether the inventory is to be looked at: so many times in a lease.
const LOOKS: u32 = 16;

/// Plans until SIGTERM. SIGHUP has the inventory read at once.
pub async fn until_signals(config: PlannerConfig) -> Result<(), ServeError> {
    let mut hangup = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let lease = config.lease;
    let mut lists = Watched::start(config.inventory)?;
    let first = lists.first().await?;
    let security = tls::security(config.tls)?;
    let listener = server::bind(config.listen)?;
    let address = listener.local_addr()?;
    let others = config.planners.get(config.number as usize).copied();
    let talk = others.map(server::bind).transpose()?;
    let own = others.unwrap_or(address);
    let planners = if config.planners.is_empty() { vec![own] } else { config.planners };
    let cluster = Cluster::new(Settings {
        number: config.number,
        planners: (0..).zip(planners).collect(),
        lease,
        expel_after: config.expel_after,
        most: config.most,
        security: security.clone(),
    });
    let take = |list: &Resolved, from: &str| {
        cluster.observe(list.iter().map(|(b, a)| node_from_backend(b, *a)).collect());
        eprintln!("dewpier: {} backends from {from}", list.len());
    };
    take(&first, lists.from());
    eprintln!("dewpier: planning on {address}");
    tokio::spawn(cluster.planner().clone().serve(listener, security.clone()));
    tokio::spawn(cluster.clone().run(talk));
    let mut look = tokio::time::interval(lease / LOOKS);
    look.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut fleet = cluster.fleet();
    loop {
        tokio::select! {
            news = lists.next() => match news {
                Ok(list) => take(&list, lists.from()),
                Err(why) => eprintln!("dewpier: the last good list serves on: {why}"),
            },
            _ = look.tick() => {
                // In this order: what a look found is told by the time that it counts.
                lists.looked().into_iter().for_each(|began| cluster.looked(began));
                if cluster.wants_look() {
                    lists.look();
                }
            }
            Ok(()) = fleet.changed() => {
                let plan = fleet.borrow_and_update().plan();
                let (term, generation) = (plan.version.term, plan.version.generation);
                let draining = plan.nodes.iter().filter(|n| n.draining).count();
                let nodes = plan.nodes.len();
                eprintln!("dewpier: plan {term}.{generation}: {nodes} nodes, {draining} of them draining");
            }
            _ = hangup.recv() => {
                lists.reload();
                tls::reload(&security);
            }
            _ = terminate.recv() => return Ok(()),
        }
    }
}
