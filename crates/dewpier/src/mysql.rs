//! The MySQL front beside the HTTP one: an engine, a module and lists of its own.

use crate::config::{Inventory, MySqlConfig};
use crate::error::ServeError;
use crate::feed::{Feed, seed};
use crate::lists::Lists;
use dewpier_mysql::io::{Front, MySqlUpstream, Role};
use dewpier_mysql::login::Credentials;
use gannetproxy::engine::{Budget, Engine, EngineLimits};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// A front that listens.
pub(crate) struct Served {
    primary: Fed,
    replicas: Option<Fed>,
    front: Rc<Front>,
    listener: TcpListener,
}

/// An engine, and the lists that it is fed.
struct Fed {
    feed: Feed,
    engine: Rc<Engine<MySqlUpstream>>,
}

impl Fed {
    async fn start(
        config: &MySqlConfig,
        inventory: &Inventory,
        own: &Rc<Credentials>,
        connections: &Rc<Budget>,
        answers: &Rc<Budget>,
        role: Role,
    ) -> Result<Self, ServeError> {
        let lists = Lists::of_inventory(inventory.clone())?;
        let mut feed = Feed::first(lists, vec![config.zone.clone()]).await?;
        let upstream = MySqlUpstream {
            connection_budget: connections.clone(),
            response_budget: answers.clone(),
            max_buffered_bytes: config.held,
            max_packet_bytes: config.most_packet,
            connect_timeout: config.connect_timeout,
            server_idle_timeout: config.idle_close,
            credentials: own.clone(),
            role,
        };
        let bounds =
            EngineLimits { drain_grace: config.drain_grace, max_open_requests: config.front.max_sessions };
        let engine =
            Engine::start_with_lease(config.settings.clone(), bounds, seed(), upstream, feed.lease());
        feed.begin(&engine);
        Ok(Self { feed, engine })
    }
}

impl Served {
    /// Waits for its lists, and listens. Runs on a [`tokio::task::LocalSet`].
    pub async fn start(config: MySqlConfig) -> Result<Self, ServeError> {
        let secrets = config.secrets().map_err(|error| ServeError::Inventory(error.to_string()))?;
        let own = Rc::new(secrets.own);
        let (connections, answers) = (Budget::new(config.most_connections), Budget::new(config.most_held));
        let fed = |inventory, role| Fed::start(&config, inventory, &own, &connections, &answers, role);
        let primary = fed(&config.inventory, Role::Primary).await?;
        let replicas = match &config.replicas {
            Some(inventory) => Some(fed(inventory, Role::Replica).await?),
            None => None,
        };
        let listener = dewpier_http::server::bind(config.listen)?;
        eprintln!("dewpier: listening for MySQL on {}", listener.local_addr()?);
        let reading = replicas.as_ref().map(|fed| fed.engine.clone());
        let front = Front::new(primary.engine.clone(), reading, secrets.users, config.front);
        Ok(Self { primary, replicas, front, listener })
    }

    /// Serves until `stop`, and answers what was taken.
    pub async fn run(self, reload: &Notify, stop: impl Future<Output = ()>) {
        let also = Notify::new();
        let reading = async {
            match self.replicas {
                Some(Fed { feed, engine }) => feed.run(engine, &also).await,
                None => std::future::pending().await,
            }
        };
        let (listed, Fed { feed, engine }) = (Notify::new(), self.primary);
        let reloading = async {
            loop {
                reload.notified().await;
                listed.notify_one();
                also.notify_one();
            }
        };
        tokio::select! {
            () = self.front.run(self.listener, stop) => {}
            () = feed.run(engine, &listed) => {}
            () = reading => {}
            () = reloading => {}
        }
    }
}
