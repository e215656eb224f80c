//! A relay between two peers whose traffic can be blocked in either direction. Nothing is lost and no connection
//! closes: bytes wait until the relay is unblocked. With several targets it distributes connections like a load
//! balancer.

use socket2::{Domain, SockRef, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Interval at which a connection checks whether it is blocked or the relay stops.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Size of the receive buffers of a slow relay, so that it does not take much ahead. Several segments of the loopback
/// interface, as a peer waits long to send less than one.
const SLOW_BUFFER_BYTES: usize = 256 << 10;
/// Maximum number of open connections; further ones are closed.
const MAX_CONNECTIONS: usize = 256;

#[derive(Default)]
struct Shared {
    /// Whether data from and to the connecting side is blocked.
    is_blocked: [AtomicBool; 2],
    /// Bytes a second that pass in each direction, if they are limited.
    rate: Option<f64>,
    is_stopping: AtomicBool,
    open_connections: AtomicUsize,
    /// Targets, used in turn.
    to: Mutex<Vec<SocketAddr>>,
    accepted: AtomicUsize,
}

/// A relay; it stops when dropped.
pub struct Relay {
    /// Address on which the relay listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Relay {
    /// Starts a relay to one target, which need not listen yet.
    pub fn start(to: SocketAddr) -> Self {
        Self::round_robin(vec![to])
    }

    /// Starts a relay to one target that reads steadily in small steps, `bytes_per_second` in each direction.
    pub fn slow(to: SocketAddr, bytes_per_second: f64) -> Self {
        Self::start_with(vec![to], Some(bytes_per_second))
    }

    /// Starts a relay that distributes connections over targets in turn; without targets it closes them.
    pub fn round_robin(to: Vec<SocketAddr>) -> Self {
        Self::start_with(to, None)
    }

    fn start_with(to: Vec<SocketAddr>, rate: Option<f64>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        if rate.is_some() {
            SockRef::from(&listener).set_recv_buffer_size(SLOW_BUFFER_BYTES).expect("a size that is allowed");
        }
        let address = listener.local_addr().expect("the address of a bound socket");
        let shared = Arc::new(Shared { to: Mutex::new(to), rate, ..Shared::default() });
        let thread_shared = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if thread_shared.is_stopping.load(Ordering::SeqCst) {
                    return;
                }
                if thread_shared.open_connections.load(Ordering::SeqCst) < MAX_CONNECTIONS {
                    thread_shared.open_connections.fetch_add(1, Ordering::SeqCst);
                    let thread_shared = thread_shared.clone();
                    std::thread::spawn(move || {
                        let _ = relay_connection(stream, &thread_shared); // both sides see the connection end
                        thread_shared.open_connections.fetch_sub(1, Ordering::SeqCst);
                    });
                }
            }
        });
        Self { address, shared }
    }

    /// Replaces the targets of new connections.
    pub fn set_targets(&self, to: Vec<SocketAddr>) {
        *self.shared.to.lock().unwrap_or_else(PoisonError::into_inner) = to;
    }

    /// Blocks or unblocks data from the connecting side (`requests`) and to it (`responses`).
    pub fn set_blocked(&self, requests: bool, responses: bool) {
        self.shared.is_blocked[0].store(requests, Ordering::SeqCst);
        self.shared.is_blocked[1].store(responses, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.is_stopping.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address); // wakes the listener so that it stops
    }
}

fn relay_connection(from: TcpStream, shared: &Arc<Shared>) -> std::io::Result<()> {
    // No new connection is established while a direction is blocked.
    while shared.is_blocked.iter().any(|c| c.load(Ordering::SeqCst)) {
        if shared.is_stopping.load(Ordering::SeqCst) {
            return Ok(());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    let accepted = shared.accepted.fetch_add(1, Ordering::SeqCst);
    let to = {
        let to = shared.to.lock().unwrap_or_else(PoisonError::into_inner);
        to.get(accepted % to.len().max(1)).copied().ok_or(ErrorKind::NotConnected)?
    };
    let to = connect(to, shared.rate.is_some())?;
    let (reply_from, reply_to) = (to.try_clone()?, from.try_clone()?);
    let thread_shared = shared.clone();
    let reply_thread = std::thread::spawn(move || forward(reply_from, reply_to, &thread_shared, 1));
    let result = forward(from, to, shared, 0);
    let _ = reply_thread.join();
    result
}

/// Connects to a target. A slow relay has a small receive buffer from the start, as a smaller one later drops bytes.
fn connect(to: SocketAddr, is_slow: bool) -> std::io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, None)?;
    if is_slow {
        socket.set_recv_buffer_size(SLOW_BUFFER_BYTES)?;
    }
    socket.connect(&to.into())?;
    Ok(socket.into())
}

fn forward(mut from: TcpStream, mut to: TcpStream, shared: &Shared, direction: usize) -> std::io::Result<()> {
    from.set_read_timeout(Some(POLL_INTERVAL))?;
    to.set_nodelay(true)?;
    let mut buffer = vec![0; 16 << 10];
    let result = loop {
        if shared.is_stopping.load(Ordering::SeqCst) {
            break Ok(());
        }
        if shared.is_blocked[direction].load(Ordering::SeqCst) {
            std::thread::sleep(POLL_INTERVAL);
            continue;
        }
        match from.read(&mut buffer) {
            Ok(0) => break Ok(()),
            Ok(read) => {
                // The relay may have been blocked during the read.
                while shared.is_blocked[direction].load(Ordering::SeqCst)
                    && !shared.is_stopping.load(Ordering::SeqCst)
                {
                    std::thread::sleep(POLL_INTERVAL);
                }
                if let Some(rate) = shared.rate {
                    std::thread::sleep(Duration::from_secs_f64(read as f64 / rate));
                }
                if let Err(error) = to.write_all(&buffer[..read]) {
                    break Err(error);
                }
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => break Err(error),
        }
    };
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
    result
}
