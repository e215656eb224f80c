//! The program. Without arguments it is the platform's proxy, with them whatever they name.

#![forbid(unsafe_code)]

mod command;

use dewpier::platform::{self, StartError};
use std::process::ExitCode;
use tokio::task::LocalSet;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::prelude::*;

/// Events of our own crates go to standard error, a line each, which whoever keeps the log puts a time to.
fn log_events() {
    let lines = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_ansi(false).without_time();
    let own = Targets::new().with_target("dewpier", LevelFilter::INFO);
    tracing_subscriber::registry().with(lines.with_filter(own)).init();
}

fn main() -> ExitCode {
    log_events();
    if std::env::args_os().len() > 1 {
        return command::run();
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ran = runtime.map_err(StartError::from);
    match ran.and_then(|runtime| LocalSet::new().block_on(&runtime, platform::run())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dewpier: {error}");
            ExitCode::FAILURE
        }
    }
}
