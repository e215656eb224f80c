//! Stand-ins that tests, the demo and the benchmarks share: played servers, backends that are slow,
//! die and count what reaches them, and clients that ask without pause. All on loopback, all with
//! plain threads, so that nothing here shares a runtime with what it is to try.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backend;
pub mod bulk;
pub mod faulty;
pub mod faulty_relay;
pub mod load;
pub mod mesh;
pub mod message;
pub mod mysql;
pub mod relay;
pub mod rng;
pub mod scripted_server;
pub mod shop;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// Far beyond what any step takes, on a busy machine too.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Addresses that nobody else takes while this process runs: a loopback address of its own, as a port that was free a
/// moment ago may be given to anybody who asks for one.
pub fn reserve_addresses(count: u16) -> Vec<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    const FIRST_PORT: u16 = 7200;
    let pid = std::process::id();
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    // 127.64.0.1 to 127.127.255.254; tests of one process share the number of the process.
    let parts = [64 + (pid >> 8 & 63), pid & 255, 1 + number % 254];
    let [a, b, c] = parts.map(|part| part as u8);
    (0..count).map(|i| SocketAddr::from(([127, a, b, c], FIRST_PORT + i))).collect()
}

/// Waits until something is seen. Panics, naming it, if it is not within [`LONG`].
#[track_caller]
pub fn wait_for(what: &str, mut seen: impl FnMut() -> bool) {
    let start = Instant::now();
    while !seen() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "no {what} in time");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Waits until it is told that a connection has ended.
#[track_caller]
pub fn wait_for_close(ended: &Receiver<()>) {
    ended.recv_timeout(WAIT_TIMEOUT).expect("the connection is ended");
}
