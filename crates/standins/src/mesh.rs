//! A network of processes that exchange datagrams. Each link has its own socket and can lose, duplicate, delay,
//! reorder or block datagrams, with random choices from a seed.

use crate::reserve_addresses;
use crate::rng::Rng;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Interval at which all links are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of datagrams in transit; further ones are lost.
const MAX_IN_TRANSIT: usize = 100_000;

/// Faults of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Whether all datagrams are lost.
    pub cut: bool,
    /// Lost datagrams per thousand.
    pub lost_per_mille: u32,
    /// Duplicated datagrams per thousand.
    pub duplicated_per_mille: u32,
    /// Maximum random delay; it reorders datagrams.
    pub max_delay: Duration,
}

struct Shared {
    is_stopping: AtomicBool,
    /// Faults by sender and receiver.
    links: Mutex<Vec<Vec<LinkFaults>>>,
}

/// A network of processes; it stops when dropped.
pub struct Mesh {
    /// Address on which each process must listen.
    pub listen_addresses: Vec<SocketAddr>,
    send_addresses: Vec<Vec<SocketAddr>>,
    shared: Arc<Shared>,
}

impl Mesh {
    /// Starts a network of `count` processes without faults.
    pub fn start(count: usize, seed: u64) -> Self {
        let bind = || UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let local_address = |socket: &UdpSocket| socket.local_addr().expect("the address of a bound socket");
        let sockets: Vec<Vec<UdpSocket>> = (0..count).map(|_| (0..count).map(|_| bind()).collect()).collect();
        // These addresses stay reserved while a process is down.
        let listen_addresses = reserve_addresses(count as u16);
        let send_addresses = sockets.iter().map(|row| row.iter().map(local_address).collect()).collect();
        let links = Mutex::new(vec![vec![LinkFaults::default(); count]; count]);
        let shared = Arc::new(Shared { is_stopping: AtomicBool::new(false), links });
        let (thread_shared, receivers) = (shared.clone(), listen_addresses.clone());
        std::thread::spawn(move || forward_datagrams(&sockets, &receivers, &thread_shared, seed));
        Self { listen_addresses, send_addresses, shared }
    }

    /// Returns the address to which one process must send its datagrams for another.
    pub fn send_address(&self, from: usize, to: usize) -> SocketAddr {
        self.send_addresses[from][to]
    }

    /// Sets the faults of all links for which `which(sender, receiver)` returns true.
    pub fn set_faults(&self, faults: LinkFaults, which: impl Fn(usize, usize) -> bool) {
        let mut links = self.shared.links.lock().unwrap_or_else(PoisonError::into_inner);
        for (from, row) in links.iter_mut().enumerate() {
            for (to, link) in row.iter_mut().enumerate().filter(|(to, _)| which(from, *to)) {
                let _ = to;
                *link = faults;
            }
        }
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.shared.is_stopping.store(true, Ordering::SeqCst);
    }
}

fn forward_datagrams(
    sockets: &[Vec<UdpSocket>],
    listen_addresses: &[SocketAddr],
    shared: &Shared,
    seed: u64,
) {
    let mut rng = Rng::new(seed);
    for socket in sockets.iter().flatten() {
        socket.set_nonblocking(true).expect("a socket that does not block");
    }
    let mut in_transit: Vec<(Instant, usize, usize, Vec<u8>)> = Vec::new();
    let mut buffer = [0; 2048];
    while !shared.is_stopping.load(Ordering::SeqCst) {
        let links = shared.links.lock().unwrap_or_else(PoisonError::into_inner).clone();
        for (from, row) in sockets.iter().enumerate() {
            for (to, socket) in row.iter().enumerate().filter(|(to, _)| *to != from) {
                let faults = links[from][to];
                while let Ok((length, _)) = socket.recv_from(&mut buffer) {
                    let copies = if (rng.below(1000) as u32) < faults.duplicated_per_mille { 2 } else { 1 };
                    if faults.cut || (rng.below(1000) as u32) < faults.lost_per_mille {
                        continue;
                    }
                    for _ in 0..copies {
                        let delay_micros = rng.below(faults.max_delay.as_micros() as usize + 1);
                        let at = Instant::now() + Duration::from_micros(delay_micros as u64);
                        if in_transit.len() < MAX_IN_TRANSIT {
                            in_transit.push((at, from, to, buffer[..length].to_vec()));
                        }
                    }
                }
            }
        }
        let now = Instant::now();
        in_transit.retain(|(at, from, to, bytes)| {
            if *at <= now {
                let _ = sockets[*from][*to].send_to(bytes, listen_addresses[*to]); // lost if the receiver does not listen
            }
            *at > now
        });
        std::thread::sleep(POLL_INTERVAL);
    }
}
