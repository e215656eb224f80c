//! Sources of backend lists: an inventory file, or planners.

mod from_planners;
pub mod gated_lease;
pub mod nodes;
pub mod resolve;
pub mod watched;

use self::from_planners::Channels;
use self::gated_lease::GatedLease;
use self::nodes::backend_from_node;
use self::resolve::ResolvedBackends;
use self::watched::{WatchedInventory, await_first_list};
use crate::config::{Inventory, Planners};
use crate::error::ServeError;
use crate::{status, tls};
use dewpier_plan::io::{RelayChannel, Security};
use dewpier_plan::{Digest, Node};
use gannetproxy::engine::Lease;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// Interval between checks whether the first list has a valid lease.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The planners' latest budgets of cold nodes: usual requests per second by node name.
pub type BudgetReceiver = watch::Receiver<HashMap<String, f64>>;

/// A source of backend lists.
pub struct ListSource(SourceKind);

enum SourceKind {
    Inventory(WatchedInventory),
    Planners(PlannerLists),
}

/// The lists of planners, of which only the latest is kept. Dropping it ends the task that follows the planners.
struct PlannerLists {
    nodes: watch::Receiver<Vec<Node>>,
    budgets: BudgetReceiver,
    digests: watch::Sender<Digest>,
    following: AbortHandle,
    gated_lease: Rc<GatedLease>,
    security: Security,
    source_name: String,
}

impl Drop for PlannerLists {
    fn drop(&mut self) {
        self.following.abort();
    }
}

impl ListSource {
    /// Creates the source of the lists of an inventory file. Fails if its watch cannot start.
    pub fn from_inventory(inventory: Inventory) -> io::Result<Self> {
        Ok(Self(SourceKind::Inventory(WatchedInventory::start(inventory)?)))
    }

    /// Creates the source of the lists of planners, which also relay the messages of `relay`, if any. Fails if the TLS
    /// files or the status socket cannot be used. Runs on a [`tokio::task::LocalSet`].
    pub fn from_planners(planners: Planners, relay: Option<RelayChannel>) -> Result<Self, ServeError> {
        let source_name = format!("{} planners", planners.addresses.len());
        let (node_sender, nodes) = watch::channel(Vec::new());
        let start = Instant::now();
        let gated_lease = GatedLease::new(start);
        let (budget_sender, budgets) = watch::channel(HashMap::new());
        let (digests, digest_receiver) = watch::channel(Digest::default());
        let status_socket = planners.status_socket.as_deref().map(status::listen).transpose()?;
        let channels = Channels {
            nodes: node_sender,
            budgets: budget_sender,
            digests: digest_receiver,
            relay,
            status_socket,
        };
        let security = tls::load_security(planners.tls.clone())?;
        let following = from_planners::run(planners, security.clone(), channels, gated_lease.clone(), start);
        let following = tokio::task::spawn_local(following).abort_handle();
        Ok(Self(SourceKind::Planners(PlannerLists {
            nodes,
            budgets,
            digests,
            following,
            gated_lease,
            security,
            source_name,
        })))
    }

    /// The name of the source in log lines.
    pub fn source_name(&self) -> &str {
        match &self.0 {
            SourceKind::Inventory(watched) => watched.file_name(),
            SourceKind::Planners(lists) => &lists.source_name,
        }
    }

    /// The lease that limits how long the lists may be used.
    pub fn lease(&self) -> Rc<Lease> {
        match &self.0 {
            SourceKind::Planners(lists) => lists.gated_lease.lease.clone(),
            SourceKind::Inventory(_) => Rc::default(),
        }
    }

    /// Records that the list last returned by [`ListSource::next_list`] is in use. Its lease takes effect now, unless
    /// a newer list is already pending.
    pub fn mark_applied(&self) {
        if let SourceKind::Planners(lists) = &self.0
            && !lists.nodes.has_changed().unwrap_or(false)
        {
            lists.gated_lease.mark_applied();
        }
    }

    /// Reads an inventory at once, or the TLS files for planners again.
    pub fn reload(&self) {
        match &self.0 {
            SourceKind::Inventory(watched) => watched.reload(),
            SourceKind::Planners(lists) => tls::reload_security(&lists.security),
        }
    }

    /// The next list, or why a list was rejected. Cancel-safe.
    pub async fn next_list(&mut self) -> Result<ResolvedBackends, String> {
        match &mut self.0 {
            SourceKind::Inventory(watched) => watched.next_list().await,
            SourceKind::Planners(PlannerLists { nodes, .. }) => {
                while nodes.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
                Ok(nodes.borrow_and_update().iter().map(backend_from_node).collect())
            }
        }
    }

    /// Time since nodes started, in seconds by node name, as far as planners know it.
    pub fn node_ages(&self) -> HashMap<String, f64> {
        let SourceKind::Planners(lists) = &self.0 else { return HashMap::new() };
        let nodes = lists.nodes.borrow();
        nodes.iter().filter_map(|node| Some((node.id.clone(), node.age_ms? as f64 / 1000.0))).collect()
    }

    /// The next budgets of cold nodes; never returns without planners. Cancel-safe.
    pub async fn next_budgets(budgets: &mut Option<BudgetReceiver>) -> HashMap<String, f64> {
        if let Some(budgets) = budgets
            && budgets.changed().await.is_ok()
        {
            return budgets.borrow_and_update().clone();
        }
        std::future::pending().await
    }

    /// The channels of budgets and digests, if the source is planners.
    pub fn planner_channels(&self) -> Option<(BudgetReceiver, watch::Sender<Digest>)> {
        match &self.0 {
            SourceKind::Planners(lists) => Some((lists.budgets.clone(), lists.digests.clone())),
            SourceKind::Inventory(_) => None,
        }
    }

    /// Whether the latest list has a valid lease once it is applied.
    fn has_valid_lease(&self) -> bool {
        match &self.0 {
            SourceKind::Planners(lists) => lists.gated_lease.is_valid_once_applied(),
            SourceKind::Inventory(_) => true,
        }
    }

    /// Waits for the first list with a valid lease. Fails if the list is rejected or takes too long.
    pub async fn first_list(&mut self) -> Result<ResolvedBackends, ServeError> {
        let source_name = self.source_name().to_string();
        let first = async {
            let list = self.next_list().await;
            while !self.has_valid_lease() {
                tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
            }
            list
        };
        await_first_list(&source_name, first).await
    }
}
