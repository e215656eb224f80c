//! The platform's proxy: starts it, has it read its configuration again on SIGHUP, stops it on SIGTERM.

#![forbid(unsafe_code)]

mod command;

use gannetproxy::engine::Engine;
use gannetproxy::proxy::backend::{Answers, Http, Reuse};
use gannetproxy::proxy::config::{Config, ConfigError, Wins};
use gannetproxy::proxy::discovery::Discovery;
use gannetproxy::proxy::limits::{Budget, Caps};
use gannetproxy::proxy::request::Dialect;
use gannetproxy::proxy::server::{self, Server};
use std::process::ExitCode;
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

#[derive(Debug, Error)]
enum StartError {
    #[error("{0}")]
    Config(#[from] ConfigError),
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

async fn run() -> Result<(), StartError> {
    // The handlers come first: a signal that finds none ends the program.
    let mut reload = signal(SignalKind::hangup())?;
    let mut stop = signal(SignalKind::terminate())?;
    let config = Config::from_env(Wins::Environment)?;
    let listener = server::bind(config.listen)?;
    let address = listener.local_addr()?;
    eprintln!("dewpier: listening on {address}");
    let caps = Caps::new(config.sockets, config.memory);
    let upstream = Http {
        connections: Budget::new(caps.backends),
        connect_timeout: config.wire.connect_timeout,
        idle_close: config.wire.idle_close,
        probe_path: if config.settings.probe_for_reports { "/-/load" } else { "/-/healthy" },
        reuse: Reuse::new(config.wire.handshake_price),
        answers: Answers::Platform,
    };
    let engine = Engine::start(config.settings.clone(), config.wire.bounds(), config.seed, upstream);
    let discovery =
        Discovery::start(config.discovery, config.known, &config.wire, &config.settings, engine.clone());
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
    let server = Server::new(engine, config.settings, config.wire, Dialect::Platform, caps);
    tokio::select! {
        () = server.run(listener, async move { stop.recv().await.unwrap_or_default() }) => {}
        () = reloading => {}
    }
    Ok(())
}

fn main() -> ExitCode {
    if std::env::args_os().len() > 1 {
        return command::run();
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ran = runtime.map_err(StartError::from);
    match ran.and_then(|runtime| LocalSet::new().block_on(&runtime, run())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dewpier: {error}");
            ExitCode::FAILURE
        }
    }
}
