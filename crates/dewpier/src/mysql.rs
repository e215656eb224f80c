//! Runs the front for MySQL clients next to the HTTP server, with engines and backend lists of its own.

use crate::config::{Inventory, MySqlConfig};
use crate::error::ServeError;
use crate::list_updater::{ListUpdater, random_seed};
use crate::lists::ListSource;
use dewpier_mysql::io::{Front, MySqlUpstream, Role};
use dewpier_mysql::login::Credentials;
use gannetproxy::engine::{Budget, Engine, EngineLimits};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// A front for MySQL clients with its listening socket.
pub(crate) struct MySqlService {
    primary: ServerGroup,
    replicas: Option<ServerGroup>,
    front: Rc<Front>,
    listener: TcpListener,
}

/// The servers of one role: their engine, and the updater of its list.
struct ServerGroup {
    list_updater: ListUpdater,
    engine: Rc<Engine<MySqlUpstream>>,
}

impl ServerGroup {
    /// Waits for the first list of servers and starts their engine.
    async fn start(
        config: &MySqlConfig,
        inventory: &Inventory,
        credentials: &Rc<Credentials>,
        connection_budget: &Rc<Budget>,
        response_budget: &Rc<Budget>,
        role: Role,
    ) -> Result<Self, ServeError> {
        let source = ListSource::from_inventory(inventory.clone())?;
        let mut list_updater = ListUpdater::start(source, vec![config.zone.clone()]).await?;
        let upstream = MySqlUpstream {
            connection_budget: connection_budget.clone(),
            response_budget: response_budget.clone(),
            max_buffered_bytes: config.hold_bytes,
            max_packet_bytes: config.max_packet_bytes,
            connect_timeout: config.connect_timeout,
            server_idle_timeout: config.idle_close,
            credentials: credentials.clone(),
            role,
        };
        let limits =
            EngineLimits { drain_grace: config.drain_grace, max_open_requests: config.front.max_sessions };
        let engine = Engine::start_with_lease(
            config.settings.clone(),
            limits,
            random_seed(),
            upstream,
            list_updater.lease(),
        );
        list_updater.apply_first_list(&engine);
        Ok(Self { list_updater, engine })
    }
}

impl MySqlService {
    /// Waits for the lists of servers and binds the listening socket. Fails if a list or a file of secrets cannot be
    /// used or the address cannot be bound. Runs on a [`tokio::task::LocalSet`].
    pub async fn start(config: MySqlConfig) -> Result<Self, ServeError> {
        let secrets = config.read_secrets().map_err(|error| ServeError::BadInput(error.to_string()))?;
        let credentials = Rc::new(secrets.server_credentials);
        let (connection_budget, response_budget) =
            (Budget::new(config.max_connections), Budget::new(config.max_held_bytes));
        let start_group = |inventory, role| {
            ServerGroup::start(&config, inventory, &credentials, &connection_budget, &response_budget, role)
        };
        let primary = start_group(&config.inventory, Role::Primary).await?;
        let replicas = match &config.replicas {
            Some(inventory) => Some(start_group(inventory, Role::Replica).await?),
            None => None,
        };
        let listener = dewpier_http::server::bind(config.listen)?;
        eprintln!("dewpier: listening for MySQL on {}", listener.local_addr()?);
        let replica_engine = replicas.as_ref().map(|group| group.engine.clone());
        let front = Front::new(primary.engine.clone(), replica_engine, secrets.users, config.front);
        Ok(Self { primary, replicas, front, listener })
    }

    /// Serves until `stop`, then completes the requests already received. `reload` makes the inventories be read at
    /// once.
    pub async fn run(self, reload: &Notify, stop: impl Future<Output = ()>) {
        let reload_replicas = Notify::new();
        let updating_replicas = async {
            match self.replicas {
                Some(ServerGroup { list_updater, engine }) => {
                    list_updater.run(engine, &reload_replicas).await
                }
                None => std::future::pending().await,
            }
        };
        let (reload_primary, ServerGroup { list_updater, engine }) = (Notify::new(), self.primary);
        let reloading = async {
            loop {
                reload.notified().await;
                reload_primary.notify_one();
                reload_replicas.notify_one();
            }
        };
        tokio::select! {
            () = self.front.run(self.listener, stop) => {}
            () = list_updater.run(engine, &reload_primary) => {}
            () = updating_replicas => {}
            () = reloading => {}
        }
    }
}
