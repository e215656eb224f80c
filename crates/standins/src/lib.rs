//! Stand-ins that tests, the demo and the benchmarks share: played servers, backends that are slow,
//! die and count what reaches them, and clients that ask without pause. All on loopback, all with
//! plain threads, so that nothing here shares a runtime with what it is to try.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backend;
pub mod bulk;
pub mod faulty;
pub mod load;
pub mod message;
pub mod mysql;
pub mod played;
pub mod relay;
pub mod rng;
pub mod shop;
pub mod spoiler;

use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// Far beyond what any step takes, on a busy machine too.
pub const LONG: Duration = Duration::from_secs(30);

/// Waits until something is seen. Panics, naming it, if it is not within [`LONG`].
#[track_caller]
pub fn wait_for(what: &str, mut seen: impl FnMut() -> bool) {
    let start = Instant::now();
    while !seen() {
        assert!(start.elapsed() < LONG, "no {what} in time");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Waits until it is told that a connection has ended.
#[track_caller]
pub fn heard(ended: &Receiver<()>) {
    ended.recv_timeout(LONG).expect("the connection is ended");
}
