//! Runs a planner: watches an inventory, agrees with the other planners on a plan, and sends it to forwarders.

use crate::config::PlannerConfig;
use crate::error::ServeError;
use crate::lists::nodes::node_from_backend;
use crate::lists::resolve::ResolvedBackends;
use crate::lists::watched::WatchedInventory;
use crate::tls;
use dewpier_cluster::{Cluster, Settings};
use dewpier_http::server;
use tokio::signal::unix::{SignalKind, signal};

/// How many times per lease the planner looks for results of inventory checks and for requests for one.
const CHECKS_PER_LEASE: u32 = 16;

/// Runs a planner until SIGTERM. SIGHUP makes it read the inventory and the TLS files at once. Fails if the inventory
/// or a TLS file cannot be used or an address cannot be bound.
pub async fn run_until_sigterm(config: PlannerConfig) -> Result<(), ServeError> {
    let mut hangup = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let lease = config.lease;
    let mut inventory = WatchedInventory::start(config.inventory)?;
    let first_list = inventory.first_list().await?;
    let security = tls::load_security(config.tls)?;
    let listener = server::bind(config.listen)?;
    let address = listener.local_addr()?;
    let cluster_address = config.planner_addresses.get(config.number as usize).copied();
    let cluster_listener = cluster_address.map(server::bind).transpose()?;
    let own_address = cluster_address.unwrap_or(address);
    let planners =
        if config.planner_addresses.is_empty() { vec![own_address] } else { config.planner_addresses };
    let cluster = Cluster::new(Settings {
        number: config.number,
        planners: (0..).zip(planners).collect(),
        lease,
        expel_after: config.expel_after,
        max_forwarders: config.max_forwarders,
        security: security.clone(),
    });
    let observe = |list: &ResolvedBackends, file_name: &str| {
        cluster.observe(list.iter().map(|(backend, address)| node_from_backend(backend, *address)).collect());
        eprintln!("dewpier: {} backends from {file_name}", list.len());
    };
    observe(&first_list, inventory.file_name());
    eprintln!("dewpier: planning on {address}");
    tokio::spawn(cluster.planner().clone().serve(listener, security.clone()));
    tokio::spawn(cluster.clone().run(cluster_listener));
    let mut check_ticks = tokio::time::interval(lease / CHECKS_PER_LEASE);
    check_ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut fleet = cluster.fleet();
    loop {
        tokio::select! {
            result = inventory.next_list() => match result {
                Ok(list) => observe(&list, inventory.file_name()),
                Err(reason) => eprintln!("dewpier: the last good list serves on: {reason}"),
            },
            _ = check_ticks.tick() => {
                // Records a finished check before the cluster decides whether it needs another one.
                inventory.last_check().into_iter().for_each(|started| cluster.record_membership_read(started));
                if cluster.needs_membership_read() {
                    inventory.request_check();
                }
            }
            Ok(()) = fleet.changed() => {
                let plan = fleet.borrow_and_update().plan();
                let (term, generation) = (plan.version.term, plan.version.generation);
                let draining = plan.nodes.iter().filter(|node| node.draining).count();
                let nodes = plan.nodes.len();
                eprintln!("dewpier: plan {term}.{generation}: {nodes} nodes, {draining} of them draining");
            }
            _ = hangup.recv() => {
                inventory.reload();
                tls::reload_security(&security);
            }
            _ = terminate.recv() => return Ok(()),
        }
    }
}
