//! A relay to a server that breaks connections at random: it cuts, stalls or corrupts them at some byte of a message
//! in either direction. Data from one read counts as one message, which holds for request-response protocols.

use crate::rng::Rng;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Interval at which a connection checks whether the relay stops.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A fault of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageFault {
    /// The connection ends for both sides.
    Cut,
    /// Nothing is forwarded for this many milliseconds, then the connection ends.
    Stall(u64),
    /// One of the first five bytes of the message is changed.
    Garble,
}

/// The message and byte at which a fault occurs.
#[derive(Clone, Copy, Debug)]
struct FaultPosition {
    /// 0 for messages from the client, 1 for messages from the server.
    direction: usize,
    message: usize,
    /// Number of bytes that are forwarded first; values near `usize::MAX` count from the end of the message.
    byte_offset: usize,
    fault: MessageFault,
}

#[derive(Default)]
struct Shared {
    is_stopping: AtomicBool,
    failed_connections: AtomicUsize,
}

/// A relay to a server; it stops when dropped.
pub struct FaultyRelay {
    /// Address on which the relay listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

/// Byte positions of faults: before the message, within and after a packet header, later, before the last byte and at
/// the end.
const FAULT_BYTES: [usize; 9] = [0, 1, 3, 4, 5, 9, 60, usize::MAX - 1, usize::MAX];

impl FaultyRelay {
    /// Starts a relay to a server. `percent` of all connections fail, in one of their first `messages` messages.
    pub fn start(to: SocketAddr, seed: u64, percent: usize, messages: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the address of a bound socket");
        let shared: Arc<Shared> = Arc::default();
        let thread_shared = shared.clone();
        std::thread::spawn(move || {
            let mut rng = Rng::new(seed);
            for stream in listener.incoming().map_while(Result::ok) {
                if thread_shared.is_stopping.load(Ordering::SeqCst) {
                    return;
                }
                let fault = match rng.below(10) {
                    0..=4 => MessageFault::Cut,
                    5..=6 => MessageFault::Stall(50 + rng.below(250) as u64),
                    _ => MessageFault::Garble,
                };
                // Client messages are not corrupted, because the result could be another valid statement.
                let direction = if fault == MessageFault::Garble { 1 } else { rng.below(2) };
                let position = FaultPosition {
                    direction,
                    message: rng.below(messages),
                    byte_offset: *rng.pick(&FAULT_BYTES),
                    fault,
                };
                let position = (rng.below(100) < percent).then_some(position);
                let thread_shared = thread_shared.clone();
                std::thread::spawn(move || {
                    let _ = relay_connection(stream, to, position, &thread_shared); // both sides see the connection end
                });
            }
        });
        Self { address, shared }
    }

    /// Returns the number of failed connections so far.
    pub fn failed_connections(&self) -> usize {
        self.shared.failed_connections.load(Ordering::SeqCst)
    }
}

impl Drop for FaultyRelay {
    fn drop(&mut self) {
        self.shared.is_stopping.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address); // wakes the listener so that it stops
    }
}

fn relay_connection(
    from: TcpStream,
    to: SocketAddr,
    position: Option<FaultPosition>,
    shared: &Arc<Shared>,
) -> std::io::Result<()> {
    let to = TcpStream::connect(to)?;
    let ends = Arc::new(Mutex::new([from.try_clone()?, to.try_clone()?]));
    let (reply_from, reply_to) = (to.try_clone()?, from.try_clone()?);
    let (reply_shared, reply_ends) = (shared.clone(), ends.clone());
    let reply_thread =
        std::thread::spawn(move || forward(reply_from, reply_to, 1, position, &reply_shared, &reply_ends));
    let result = forward(from, to, 0, position, shared, &ends);
    let _ = reply_thread.join();
    result
}

fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    direction: usize,
    position: Option<FaultPosition>,
    shared: &Shared,
    ends: &Mutex<[TcpStream; 2]>,
) -> std::io::Result<()> {
    from.set_read_timeout(Some(POLL_INTERVAL))?;
    to.set_nodelay(true)?;
    let mut buffer = vec![0; 64 << 10];
    let mut messages = 0;
    let result = loop {
        if shared.is_stopping.load(Ordering::SeqCst) {
            break Ok(());
        }
        let read = match from.read(&mut buffer) {
            Ok(0) => break Ok(()),
            Ok(read) => read,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(error) => break Err(error),
        };
        let position =
            position.filter(|position| position.direction == direction && position.message == messages);
        messages += 1;
        let Some(FaultPosition { byte_offset, fault, .. }) = position else {
            if let Err(error) = to.write_all(&buffer[..read]) {
                break Err(error);
            }
            continue;
        };
        shared.failed_connections.fetch_add(1, Ordering::SeqCst);
        let forwarded =
            if byte_offset <= read { byte_offset } else { read - (usize::MAX - byte_offset).min(read) };
        match fault {
            MessageFault::Garble => {
                buffer[byte_offset.min(read - 1).min(4)] ^= 0x15;
                if let Err(error) = to.write_all(&buffer[..read]) {
                    break Err(error);
                }
            }
            MessageFault::Cut => break to.write_all(&buffer[..forwarded]),
            MessageFault::Stall(ms) => {
                let written = to.write_all(&buffer[..forwarded]);
                std::thread::sleep(Duration::from_millis(ms));
                break written;
            }
        }
    };
    for end in ends.lock().unwrap_or_else(PoisonError::into_inner).iter() {
        let _ = end.shutdown(Shutdown::Both);
    }
    result
}
