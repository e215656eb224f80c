//! Mock servers, unreliable networks and load generators for tests, examples and benchmarks. All listen on loopback
//! addresses and use plain threads, so that they share no runtime with the code under test.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backend;
pub mod bulk;
pub mod faulty;
pub mod faulty_relay;
pub mod late_backend;
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

/// Timeout of all waits; far longer than any step takes on a busy host.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Reserves addresses that stay free while this process runs, on a loopback address of its own. A free port on a
/// shared address could be assigned to another process.
pub fn reserve_addresses(count: u16) -> Vec<SocketAddr> {
    static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
    const FIRST_PORT: u16 = 7200;
    let pid = std::process::id();
    let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
    // Addresses are in 127.64.0.1 to 127.127.255.254; the second and third byte identify the process.
    let bytes = [64 + (pid >> 8 & 63), pid & 255, 1 + number % 254];
    let [a, b, c] = bytes.map(|byte| byte as u8);
    (0..count).map(|i| SocketAddr::from(([127, a, b, c], FIRST_PORT + i))).collect()
}

/// Waits until a condition holds. Panics with `what` if it does not hold within [`WAIT_TIMEOUT`].
#[track_caller]
pub fn wait_for(what: &str, mut is_met: impl FnMut() -> bool) {
    let start = Instant::now();
    while !is_met() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timeout waiting for {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Waits for the notification that a connection has closed.
#[track_caller]
pub fn wait_for_close(closed: &Receiver<()>) {
    closed.recv_timeout(WAIT_TIMEOUT).expect("the connection is closed");
}
