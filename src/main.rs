//! The real proxy: starts it, and stops it on SIGTERM.

#![forbid(unsafe_code)]

use gannetproxy::proxy::config::Config;
use gannetproxy::proxy::discovery::Discovery;
use gannetproxy::proxy::engine::Engine;
use gannetproxy::proxy::server::{self, Server};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

/// Descriptors kept for what is neither a client nor a backend.
const OWN_DESCRIPTORS: usize = 48;

async fn run(config: Config) -> std::io::Result<()> {
    let mut stop = signal(SignalKind::terminate())?;
    let listener = server::bind(config.listen)?;
    let address = listener.local_addr()?;
    eprintln!("dewpier: listening on {address}");
    let each = config.sockets.saturating_sub(OWN_DESCRIPTORS).min(1024) / 5;
    let engine = Engine::start(config.settings.clone(), &config.wire, config.seed, 2 * each);
    let _discovery =
        Discovery::start(config.discovery, config.known, &config.wire, &config.settings, engine.clone());
    let server = Server::new(engine, config.settings, config.wire, 2 * each);
    server.run(listener, async move { stop.recv().await.unwrap_or_default() }).await;
    Ok(())
}

fn main() -> ExitCode {
    let config = match Config::from_env() {
        Ok(config) => config,
        Err(error) => {
            eprintln!("dewpier: {error}");
            return ExitCode::FAILURE;
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime.and_then(|runtime| LocalSet::new().block_on(&runtime, run(config))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dewpier: {error}");
            ExitCode::FAILURE
        }
    }
}
