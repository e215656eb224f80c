//! The program. Without arguments it is the platform's proxy, with them whatever they name.

#![forbid(unsafe_code)]

mod command;

use dewpier::platform::{self, StartError};
use std::process::ExitCode;
use tokio::task::LocalSet;

fn main() -> ExitCode {
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
