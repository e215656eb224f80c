//! Lists of backends as they come, from the file of an inventory or from planners.

pub mod lent;
pub mod nodes;
mod planned;
pub mod resolve;
pub mod watched;

use self::lent::Lent;
use self::nodes::backend_from_node;
use self::planned::Ends;
use self::resolve::Resolved;
use self::watched::{Watched, in_time};
use crate::config::{Inventory, Planners};
use crate::error::ServeError;
use crate::{status, tls};
use dewpier_plan::io::{Mail, Security};
use dewpier_plan::{Digest, Node};
use gannetproxy::engine::Lease;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// How often it is seen whether the first list may be gone by.
const LOOK: Duration = Duration::from_millis(5);

/// What each cold node would usually be sent, in requests a second, as planners say last.
pub type Budgets = watch::Receiver<HashMap<String, f64>>;

/// Lists, one after another.
pub struct Lists(Feed);

enum Feed {
    Inventory(Watched),
    Planners(Told),
}

/// What planners tell. Only the latest is kept: what is older is of no use.
struct Told {
    latest: watch::Receiver<Vec<Node>>,
    budgets: Budgets,
    digests: watch::Sender<Digest>,
    following: AbortHandle,
    lent: Rc<Lent>,
    security: Security,
    from: String,
}

impl Drop for Told {
    fn drop(&mut self) {
        self.following.abort();
    }
}

impl Lists {
    /// The lists of a file.
    pub fn of_inventory(inventory: Inventory) -> io::Result<Self> {
        Ok(Self(Feed::Inventory(Watched::start(inventory)?)))
    }

    /// The lists that planners tell, who carry letters to and fro as well where there are to be any. Runs on a
    /// [`tokio::task::LocalSet`].
    pub fn of_planners(planners: Planners, mail: Option<Mail>) -> Result<Self, ServeError> {
        let from = format!("{} planners", planners.addresses.len());
        let (told, latest) = watch::channel(Vec::new());
        let start = Instant::now();
        let lent = Lent::new(start);
        let (budget, budgets) = watch::channel(HashMap::new());
        let (digests, digest) = watch::channel(Digest::default());
        let status = planners.status.as_deref().map(status::listen).transpose()?;
        let ends = Ends { told, budgets: budget, digests: digest, mail, status };
        let security = tls::security(planners.tls.clone())?;
        let following = planned::run(planners, security.clone(), ends, lent.clone(), start);
        let following = tokio::task::spawn_local(following).abort_handle();
        Ok(Self(Feed::Planners(Told { latest, budgets, digests, following, lent, security, from })))
    }

    /// Where they come from.
    pub fn from(&self) -> &str {
        match &self.0 {
            Feed::Inventory(watched) => watched.from(),
            Feed::Planners(told) => &told.from,
        }
    }

    /// For how long its lists may be gone by.
    pub fn lease(&self) -> Rc<Lease> {
        match &self.0 {
            Feed::Planners(told) => told.lent.lease.clone(),
            Feed::Inventory(_) => Rc::default(),
        }
    }

    /// The list that [`Lists::next`] gave last is gone by from here on. What is lent for it begins to
    /// count now, unless there is a newer one already.
    pub fn taken(&self) {
        if let Feed::Planners(told) = &self.0
            && !told.latest.has_changed().unwrap_or(false)
        {
            told.lent.taken();
        }
    }

    /// Has the source asked at once, where that makes a difference.
    pub fn reload(&self) {
        match &self.0 {
            Feed::Inventory(watched) => watched.reload(),
            Feed::Planners(told) => tls::reload(&told.security),
        }
    }

    /// The next list, or why there is none. Nothing is lost if it is dropped before.
    pub async fn next(&mut self) -> Result<Resolved, String> {
        match &mut self.0 {
            Feed::Inventory(watched) => watched.next().await,
            Feed::Planners(Told { latest, .. }) => {
                while latest.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
                Ok(latest.borrow_and_update().iter().map(backend_from_node).collect())
            }
        }
    }

    /// How long ago nodes started, in seconds, where planners say so.
    pub fn ages(&self) -> HashMap<String, f64> {
        let Feed::Planners(told) = &self.0 else { return HashMap::new() };
        let nodes = told.latest.borrow();
        nodes.iter().filter_map(|n| Some((n.id.clone(), n.age_ms? as f64 / 1000.0))).collect()
    }

    /// What cold nodes may be sent, where planners say so. Nothing is lost if it is dropped before.
    pub async fn budgets(budgets: &mut Option<Budgets>) -> HashMap<String, f64> {
        if let Some(budgets) = budgets
            && budgets.changed().await.is_ok()
        {
            return budgets.borrow_and_update().clone();
        }
        std::future::pending().await
    }

    /// Where those come, and where digests are to go, for one who has planners.
    pub fn planners(&self) -> Option<(Budgets, watch::Sender<Digest>)> {
        match &self.0 {
            Feed::Planners(told) => Some((told.budgets.clone(), told.digests.clone())),
            Feed::Inventory(_) => None,
        }
    }

    fn would_hold(&self) -> bool {
        match &self.0 {
            Feed::Planners(told) => told.lent.would_hold(),
            Feed::Inventory(_) => true,
        }
    }

    /// The first list, without which there is nothing to serve.
    pub async fn first(&mut self) -> Result<Resolved, ServeError> {
        let from = self.from().to_string();
        let first = async {
            let list = self.next().await;
            // One that may not be gone by yet is none to serve by.
            while !self.would_hold() {
                tokio::time::sleep(LOOK).await;
            }
            list
        };
        in_time(&from, first).await
    }
}
