//! The platform's proxy: starts it, has it read its configuration again on SIGHUP, stops it on SIGTERM.

use crate::beside;
use dewpier_http::backend::{HttpUpstream, ResponsePolicy, ReusePolicy};
use dewpier_http::config::{Config, ConfigError, DiscoveryPrecedence};
use dewpier_http::discovery::Discovery;
use dewpier_http::limits::{Budget, ResourceLimits};
use dewpier_http::request::Dialect;
use dewpier_http::server::{self, Server};
use dewpier_operate::figures::Figures;
use dewpier_operate::io as operators;
use gannetproxy::engine::Engine;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;

/// How often a process that takes over looks whether it knows a backend.
const LOOK: Duration = Duration::from_millis(5);

/// Why it does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// Its configuration can't be used.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The system does not let it.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// Serves until SIGTERM. Runs on a [`tokio::task::LocalSet`].
pub async fn run() -> Result<(), StartError> {
    // The handlers come first: a signal that finds none ends the program.
    let mut reload = signal(SignalKind::hangup())?;
    let mut stop = signal(SignalKind::terminate())?;
    let config = Config::from_env(DiscoveryPrecedence::Environment)?;
    let place = beside::place(config.listen);
    let (listener, mut before) = beside::listener(config.listen, place.as_deref()).await?;
    let address = listener.local_addr()?;
    eprintln!("dewpier: listening on {address}");
    let listener = Rc::new(listener);
    let given = Rc::downgrade(&listener);
    let operators = config.operator.map(server::bind).transpose()?;
    if let Some(operators) = &operators {
        eprintln!("dewpier: operators call at {}", operators.local_addr()?);
    }
    let figures = Figures::new(config.wire.classes.clone());
    let limits = ResourceLimits::new(config.sockets, config.memory);
    let upstream = HttpUpstream {
        connections: Budget::new(limits.backend_connections),
        connect_timeout: config.wire.connect_timeout,
        idle_close: config.wire.idle_close,
        probe_path: if config.settings.probe_for_reports { "/-/load" } else { "/-/healthy" },
        reuse_policy: ReusePolicy::new(config.wire.handshake_price),
        response_policy: ResponsePolicy::Platform,
        attempt_counter: figures.attempts_counter(),
    };
    let engine = Engine::start(config.settings.clone(), config.wire.engine_limits(), config.seed, upstream);
    let discovery = Discovery::start(
        config.discovery,
        config.known,
        &config.wire,
        &config.settings,
        config.seed,
        engine.clone(),
    );
    if before.runs() {
        // What discovery tells is told to both. The module spreads the first calls of proxies that start together;
        // one that takes over starts alone, and would go by an old list meanwhile.
        discovery.set_watching(true);
    }
    let reloading = async move {
        while reload.recv().await.is_some() {
            // What can't be used changes nothing.
            match Config::from_env(DiscoveryPrecedence::File) {
                Ok(config) => discovery.change_address(config.discovery),
                Err(error) => eprintln!("dewpier: not reloaded: {error}"),
            }
        }
        std::future::pending().await
    };
    let server = Server::new(engine, config.settings, config.wire, Dialect::Platform, limits, figures);
    let asked = server.clone();
    let operating = async move {
        match operators {
            Some(listener) => {
                operators::serve(listener, Rc::new(move |call| asked.handle_operator_call(call))).await
            }
            None => std::future::pending().await,
        }
    };
    // What comes while this process knows no backend is for the other one.
    server.update_limit_sharing(before.runs());
    let (joins, joined) = (server.clone(), Notify::new());
    let serving = async {
        if before.shares_queue() {
            let listed = async {
                while !joins.has_list() {
                    tokio::time::sleep(LOOK).await;
                }
            };
            tokio::select! {
                () = listed => {}
                () = before.ended() => {} // nobody else looks after what comes
                _ = stop.recv() => return, // nothing was taken
            }
        }
        before.taking().await;
        if before.yields() {
            joined.notify_one();
        }
        let ended = async {
            before.ended().await;
            joins.update_limit_sharing(false);
            std::future::pending().await
        };
        tokio::select! {
            () = server.run(listener, async move { stop.recv().await.unwrap_or_default() }) => {}
            () = ended => {}
        }
    };
    // The place is this one's once it serves: a newer one is to ask the process that does.
    let (gives, place) = (joins.clone(), beside::place(address));
    let giving = async {
        joined.notified().await;
        beside::give(place.as_deref(), given, gives).await;
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = serving => {}
        () = giving => {}
        () = reloading => {}
        () = operating => {}
    }
    Ok(())
}
