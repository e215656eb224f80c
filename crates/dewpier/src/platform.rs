//! Runs the platform's proxy: starts it, reloads its configuration on SIGHUP and stops it on SIGTERM.

use crate::takeover;
use dewpier_http::backend::{HttpUpstream, ResponsePolicy, ReusePolicy};
use dewpier_http::config::{Config, ConfigError, DiscoveryPrecedence};
use dewpier_http::discovery::Discovery;
use dewpier_http::limits::{Budget, ResourceLimits};
use dewpier_http::request::Dialect;
use dewpier_http::server::{self, Server};
use dewpier_operate::io as operators;
use dewpier_operate::metrics::Metrics;
use gannetproxy::engine::Engine;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;

/// Interval at which a process that takes over checks whether it has a backend list.
const LIST_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Why the proxy does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The configuration cannot be used.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// An operating system error.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// Serves until SIGTERM. Runs on a [`tokio::task::LocalSet`]. Fails if the configuration cannot be used or an address
/// cannot be bound.
pub async fn run() -> Result<(), StartError> {
    // Installed first, because a signal without a handler ends the process.
    let mut hangup = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let config = Config::from_env(DiscoveryPrecedence::Environment)?;
    let handover_path = takeover::handover_path(config.listen);
    let (listener, mut predecessor) =
        takeover::take_over_listener(config.listen, handover_path.as_deref()).await?;
    let address = listener.local_addr()?;
    eprintln!("dewpier: listening on {address}");
    let listener = Rc::new(listener);
    let weak_listener = Rc::downgrade(&listener);
    let operator_listener = config.operator.map(server::bind).transpose()?;
    if let Some(operator_listener) = &operator_listener {
        eprintln!("dewpier: operators call at {}", operator_listener.local_addr()?);
    }
    let metrics = Metrics::new(config.wire.classes.clone());
    let limits = ResourceLimits::new(config.sockets, config.memory);
    let upstream = HttpUpstream {
        connections: Budget::new(limits.backend_connections),
        connect_timeout: config.wire.connect_timeout,
        idle_close: config.wire.idle_close,
        probe_path: if config.settings.probe_for_reports { "/-/load" } else { "/-/healthy" },
        reuse_policy: ReusePolicy::new(config.wire.handshake_price),
        response_policy: ResponsePolicy::Platform,
        attempt_counter: metrics.attempt_counter(),
    };
    let engine = Engine::start(config.settings.clone(), config.wire.engine_limits(), config.seed, upstream);
    let discovery = Discovery::start(
        config.discovery,
        config.known,
        &config.wire,
        &config.settings,
        config.seed,
        engine.clone(),
        metrics.clone(),
    );
    if predecessor.is_running() {
        // Starts the watch without the random delay that spreads proxies starting together: a successor starts alone,
        // and would use an outdated list meanwhile.
        discovery.set_watching(true);
    }
    let reloading = async move {
        while hangup.recv().await.is_some() {
            // An invalid configuration leaves the current one in use.
            match Config::from_env(DiscoveryPrecedence::File) {
                Ok(config) => discovery.change_address(config.discovery),
                Err(error) => eprintln!("dewpier: not reloaded: {error}"),
            }
        }
        std::future::pending().await
    };
    let server = Server::new(engine, config.settings, config.wire, Dialect::Platform, limits, metrics);
    let answering_server = server.clone();
    let operating = async move {
        match operator_listener {
            Some(listener) => {
                operators::serve(listener, Rc::new(move |call| answering_server.handle_operator_call(call)))
                    .await
            }
            None => std::future::pending().await,
        }
    };
    // The limits are shared with the predecessor.
    server.update_limit_sharing(predecessor.is_running());
    let (accepting_server, may_hand_over) = (server.clone(), Notify::new());
    let serving = async {
        if predecessor.shares_accept_queue() {
            // Until there is a backend list, the predecessor accepts the connections.
            let listed = async {
                while !accepting_server.has_list() {
                    tokio::time::sleep(LIST_CHECK_INTERVAL).await;
                }
            };
            tokio::select! {
                () = listed => {}
                () = predecessor.wait_for_exit() => {} // no other process accepts connections
                _ = terminate.recv() => return, // nothing was accepted
            }
        }
        predecessor.announce_accepting().await;
        if predecessor.yields_handover_socket() {
            may_hand_over.notify_one();
        }
        let predecessor_exited = async {
            predecessor.wait_for_exit().await;
            accepting_server.update_limit_sharing(false);
            std::future::pending().await
        };
        tokio::select! {
            () = server.run(listener, async move { terminate.recv().await.unwrap_or_default() }) => {}
            () = predecessor_exited => {}
        }
    };
    // The handover socket is replaced once this process serves, so that a newer process asks this one.
    let (handover_server, handover_path) = (accepting_server.clone(), takeover::handover_path(address));
    let handovers = async {
        may_hand_over.notified().await;
        takeover::serve_handovers(handover_path.as_deref(), weak_listener, handover_server).await;
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = serving => {}
        () = handovers => {}
        () = reloading => {}
        () = operating => {}
    }
    Ok(())
}
