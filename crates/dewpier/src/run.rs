//! Runs a proxy or a forwarder from a checked configuration: connects its list source, engine, server, MySQL front,
//! fleet and operator calls.

use crate::config::{Config, ListSourceConfig, TransportConfig};
use crate::error::ServeError;
use crate::fleet::FleetParticipant;
use crate::fleet_transport::{self, FleetTransport};
use crate::list_updater::{ListUpdater, random_seed};
use crate::lists::ListSource;
use crate::mysql::MySqlService;
use dewpier_http::backend::{HttpUpstream, ResponsePolicy, ReusePolicy};
use dewpier_http::limits::{Budget, ResourceLimits};
use dewpier_http::request::Dialect;
use dewpier_http::server::{self, Server};
use dewpier_operate::io as operators;
use dewpier_operate::metrics::Metrics;
use dewpier_peers::ProxyId;
use gannetproxy::engine::Engine;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};

/// Serves until SIGTERM. SIGHUP makes the inventory be read at once. Fails as [`run`] does.
pub async fn run_until_sigterm(config: Config) -> Result<(), ServeError> {
    // Installed first, because a signal without a handler ends the process.
    let mut hangup = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let (reload, stop) = (Notify::new(), async move { terminate.recv().await.unwrap_or_default() });
    let reloading = async {
        while hangup.recv().await.is_some() {
            reload.notify_one();
        }
        std::future::pending().await
    };
    let on_listening = |address| eprintln!("dewpier: listening on {address}");
    tokio::select! {
        result = run(config, on_listening, &reload, stop) => result,
        () = reloading => Ok(()),
    }
}

/// Serves until `stop`. `on_listening` is called with the address that clients connect to, and `reload` makes the
/// inventory be read at once. Fails if there is no backend list, a file cannot be used or an address cannot be bound.
/// Runs on a [`tokio::task::LocalSet`].
pub async fn run(
    config: Config,
    on_listening: impl FnOnce(SocketAddr),
    reload: &Notify,
    stop: impl Future<Output = ()>,
) -> Result<(), ServeError> {
    let Config {
        listen,
        operator,
        max_descriptors,
        memory_bytes,
        list_source,
        settings,
        wire,
        routes,
        mysql,
        zone,
        fleet,
    } = config;
    let (relay_transport, relay) = match &fleet {
        Some(config) if config.carrier == TransportConfig::Planners => {
            let (transport, relay) = fleet_transport::planner_relay(ProxyId::from_name(&config.name));
            (Some(transport), Some(relay))
        }
        _ => (None, None),
    };
    let source = match list_source {
        ListSourceConfig::Inventory(inventory) => ListSource::from_inventory(inventory)?,
        ListSourceConfig::Planners(planners) => ListSource::from_planners(*planners, relay)?,
    };
    let mut list_updater = ListUpdater::start(source, wire.zones.clone()).await?;

    let metrics = Metrics::new(wire.classes.clone());
    let limits = ResourceLimits::new(max_descriptors, memory_bytes);
    let upstream = HttpUpstream {
        connections: Budget::new(limits.backend_connections),
        connect_timeout: wire.connect_timeout,
        idle_close: wire.idle_close,
        probe_path: "/-/healthy",
        reuse_policy: ReusePolicy::new(wire.handshake_price),
        response_policy: ResponsePolicy::Plain,
        attempt_counter: metrics.attempt_counter(),
    };
    let listener = server::bind(listen)?;
    let address = listener.local_addr()?;
    let operator_listener = operator.map(server::bind).transpose()?;
    if let Some(operator_listener) = &operator_listener {
        eprintln!("dewpier: operators call at {}", operator_listener.local_addr()?);
    }
    let engine = Engine::start_with_lease(
        settings.clone(),
        wire.engine_limits(),
        random_seed(),
        upstream,
        list_updater.lease(),
    );
    let carrier = fleet.as_ref().map(|config| config.carrier.clone());
    let fleet = fleet.map(|config| FleetParticipant::start(config, &zone, wire.classes.clone()));
    let transport = match carrier {
        Some(carrier) => Some(FleetTransport::start(&carrier, relay_transport).await?),
        None => None,
    };
    if let Some(fleet) = &fleet {
        fleet.observe_attempts(&engine);
        list_updater.notify_fleet(fleet.clone());
    }
    list_updater.apply_first_list(&engine);
    let mysql = match mysql {
        Some(mysql) => Some(MySqlService::start(mysql).await?),
        None => None,
    };
    on_listening(address);
    let server = Server::new(engine.clone(), settings, wire, Dialect::Plain(routes), limits, metrics);
    let (answering_server, answering_fleet) = (server.clone(), fleet.clone());
    let answer = move |call| match &answering_fleet {
        Some(fleet) => fleet.operate(call, |call| answering_server.handle_operator_call(call)),
        None => answering_server.handle_operator_call(call),
    };
    let operating = async move {
        match operator_listener {
            Some(listener) => operators::serve(listener, Rc::new(answer)).await,
            None => std::future::pending().await,
        }
    };
    let (stopping, stopped) = watch::channel(false);
    let wait_for_stop = || {
        let mut stopped = stopped.clone();
        async move {
            let _ = stopped.wait_for(|stopped| *stopped).await; // the sender outlives this future
        }
    };
    let (reload_list, reload_mysql) = (Notify::new(), Notify::new());
    let serving = async {
        let serving_mysql = async {
            if let Some(mysql) = mysql {
                mysql.run(&reload_mysql, wait_for_stop()).await;
            }
        };
        tokio::join!(server.run(Rc::new(listener), wait_for_stop()), serving_mysql)
    };
    let signals = async {
        let reloading = async {
            loop {
                reload.notified().await;
                reload_list.notify_one();
                reload_mysql.notify_one();
            }
        };
        tokio::select! {
            () = stop => {}
            () = reloading => {}
        }
        stopping.send_replace(true);
        std::future::pending::<()>().await;
    };
    let exchanging = {
        let engine = engine.clone();
        async move {
            match fleet.zip(transport) {
                Some((fleet, transport)) => fleet.run(transport, engine).await,
                None => std::future::pending().await,
            }
        }
    };
    tokio::select! {
        _ = serving => {}
        result = exchanging => return result,
        () = list_updater.run(engine, &reload_list) => {}
        () = signals => {}
        () = operating => {}
    }
    Ok(())
}
