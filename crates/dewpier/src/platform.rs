//! The platform's proxy: starts it, has it read its configuration again on SIGHUP, stops it on SIGTERM.

use crate::beside;
use dewpier_http::backend::{Answers, Http, Reuse};
use dewpier_http::config::{Config, ConfigError, Wins};
use dewpier_http::discovery::Discovery;
use dewpier_http::limits::{Budget, Caps};
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
    let config = Config::from_env(Wins::Environment)?;
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
    let figures = Metrics::new(config.wire.classes.clone());
    let caps = Caps::new(config.sockets, config.memory);
    let upstream = Http {
        connections: Budget::new(caps.backends),
        connect_timeout: config.wire.connect_timeout,
        idle_close: config.wire.idle_close,
        probe_path: if config.settings.probe_for_reports { "/-/load" } else { "/-/healthy" },
        reuse: Reuse::new(config.wire.handshake_price),
        answers: Answers::Platform,
        attempts: figures.attempt_counter(),
    };
    let engine = Engine::start(config.settings.clone(), config.wire.bounds(), config.seed, upstream);
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
        discovery.watch(true);
    }
    let reloading = async move {
        while reload.recv().await.is_some() {
            // What can't be used changes nothing.
            match Config::from_env(Wins::File) {
                Ok(config) => discovery.move_to(config.discovery),
                Err(error) => eprintln!("dewpier: not reloaded: {error}"),
            }
        }
        std::future::pending().await
    };
    let server = Server::new(engine, config.settings, config.wire, Dialect::Platform, caps, figures);
    let asked = server.clone();
    let operating = async move {
        match operators {
            Some(listener) => operators::serve(listener, Rc::new(move |call| asked.operate(call))).await,
            None => std::future::pending().await,
        }
    };
    // What comes while this process knows no backend is for the other one.
    server.beside(before.runs());
    let (joins, joined) = (server.clone(), Notify::new());
    let serving = async {
        if before.shares_queue() {
            let listed = async {
                while !joins.listed() {
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
            joins.beside(false);
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
