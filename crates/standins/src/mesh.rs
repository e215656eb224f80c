//! A network between processes that talk by datagrams: each way from one to another is led over a socket of its
//! own, and loses, doubles, delays, reorders or cuts as it is told, by a seed.

use crate::reserve_addresses;
use crate::rng::Rng;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How often all ways are looked at.
const LOOK: Duration = Duration::from_millis(5);
/// Datagrams that are under way at once; what comes beyond is lost.
const MOST_UNDER_WAY: usize = 100_000;

/// What a way does to datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Nothing comes through.
    pub cut: bool,
    /// So many in a thousand are lost,
    pub lost_per_mille: u32,
    /// and so many come twice.
    pub duplicated_per_mille: u32,
    /// Each takes up to so long, so that they overtake each other.
    pub max_delay: Duration,
}

struct Shared {
    over: AtomicBool,
    /// From, to.
    ways: Mutex<Vec<Vec<LinkFaults>>>,
}

/// A network between that many processes, for as long as it is kept.
pub struct Mesh {
    /// Where each process is to listen.
    pub listen_addresses: Vec<SocketAddr>,
    inlets: Vec<Vec<SocketAddr>>,
    shared: Arc<Shared>,
}

impl Mesh {
    /// One that carries all datagrams at once.
    pub fn start(count: usize, seed: u64) -> Self {
        let bind = || UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let address = |socket: &UdpSocket| socket.local_addr().expect("an address");
        let sockets: Vec<Vec<UdpSocket>> = (0..count).map(|_| (0..count).map(|_| bind()).collect()).collect();
        // They stay free while a process is down.
        let listen = reserve_addresses(count as u16);
        let inlets = sockets.iter().map(|row| row.iter().map(address).collect()).collect();
        let ways = Mutex::new(vec![vec![LinkFaults::default(); count]; count]);
        let shared = Arc::new(Shared { over: AtomicBool::new(false), ways });
        let (known, to) = (shared.clone(), listen.clone());
        std::thread::spawn(move || carry(&sockets, &to, &known, seed));
        Self { listen_addresses: listen, inlets, shared }
    }

    /// Where a process has to send to, for another.
    pub fn send_address(&self, from: usize, to: usize) -> SocketAddr {
        self.inlets[from][to]
    }

    /// From now on the ways from one to another are like that, where `which` says so.
    pub fn set_faults(&self, way: LinkFaults, which: impl Fn(usize, usize) -> bool) {
        let mut ways = self.shared.ways.lock().unwrap_or_else(PoisonError::into_inner);
        for (from, row) in ways.iter_mut().enumerate() {
            for (to, known) in row.iter_mut().enumerate().filter(|(to, _)| which(from, *to)) {
                let _ = to;
                *known = way;
            }
        }
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::SeqCst);
    }
}

fn carry(sockets: &[Vec<UdpSocket>], listen: &[SocketAddr], shared: &Shared, seed: u64) {
    let mut rng = Rng::new(seed);
    for socket in sockets.iter().flatten() {
        socket.set_nonblocking(true).expect("a socket that does not block");
    }
    let mut under_way: Vec<(Instant, usize, usize, Vec<u8>)> = Vec::new();
    let mut buffer = [0; 2048];
    while !shared.over.load(Ordering::SeqCst) {
        let ways = shared.ways.lock().unwrap_or_else(PoisonError::into_inner).clone();
        for (from, row) in sockets.iter().enumerate() {
            for (to, socket) in row.iter().enumerate().filter(|(to, _)| *to != from) {
                let way = ways[from][to];
                while let Ok((length, _)) = socket.recv_from(&mut buffer) {
                    let copies = if (rng.below(1000) as u32) < way.duplicated_per_mille { 2 } else { 1 };
                    if way.cut || (rng.below(1000) as u32) < way.lost_per_mille {
                        continue;
                    }
                    for _ in 0..copies {
                        let wait = rng.below(way.max_delay.as_micros() as usize + 1);
                        let at = Instant::now() + Duration::from_micros(wait as u64);
                        if under_way.len() < MOST_UNDER_WAY {
                            under_way.push((at, from, to, buffer[..length].to_vec()));
                        }
                    }
                }
            }
        }
        let now = Instant::now();
        under_way.retain(|(at, from, to, bytes)| {
            if *at <= now {
                let _ = sockets[*from][*to].send_to(bytes, listen[*to]); // who does not listen loses it
            }
            *at > now
        });
        std::thread::sleep(LOOK);
    }
}
