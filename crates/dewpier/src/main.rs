//! Entry point of `dewpier`. Without arguments it runs the platform's proxy, otherwise the command on the command
//! line.

#![forbid(unsafe_code)]

mod command;

use dewpier::platform::{self, StartError};
use std::process::ExitCode;
use tokio::task::LocalSet;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::prelude::*;

/// Writes log events of this project's crates to standard error, one per line, without timestamps.
fn init_logging() {
    let lines = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_ansi(false).without_time();
    let own_crates = Targets::new().with_target("dewpier", LevelFilter::INFO);
    tracing_subscriber::registry().with(lines.with_filter(own_crates)).init();
}

fn main() -> ExitCode {
    init_logging();
    if std::env::args_os().len() > 1 {
        return command::run();
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(StartError::from);
    match runtime.and_then(|runtime| LocalSet::new().block_on(&runtime, platform::run())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dewpier: {error}");
            ExitCode::FAILURE
        }
    }
}
