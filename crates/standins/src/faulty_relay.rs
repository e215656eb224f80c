//! A way to a server on which connections go wrong, by a seed: cut, stalled or garbled at a place in some message of
//! either side. Messages are what one write brought, as servers and clients of a request-answer protocol have it.

use crate::rng::Rng;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// How often a pump sees whether it is over.
const LOOK: Duration = Duration::from_millis(20);

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageFault {
    /// The connection ends, for both.
    Cut,
    /// Nothing more comes for so many milliseconds; then it ends.
    Stall(u64),
    /// A byte of the first five is another one.
    Garble,
}

/// Where.
#[derive(Clone, Copy, Debug)]
struct Place {
    /// 0 for what clients say, 1 for what they are told.
    way: usize,
    message: usize,
    /// So many bytes of it go through; where that is more than it has, counted from its end.
    bytes: usize,
    wrong: MessageFault,
}

#[derive(Default)]
struct Shared {
    over: AtomicBool,
    spoilt: AtomicUsize,
}

/// Carries connections to a server for as long as it is kept.
pub struct FaultyRelay {
    /// Where to connect instead.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

/// Behind nothing, within a header, behind it, behind the first byte, somewhere, before the last byte, behind all.
const PLACES: [usize; 9] = [0, 1, 3, 4, 5, 9, 60, usize::MAX - 1, usize::MAX];

impl FaultyRelay {
    /// To that server. Of a hundred connections so many go wrong, in one of their first `messages`.
    pub fn start(to: SocketAddr, seed: u64, of_hundred: usize, messages: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared: Arc<Shared> = Arc::default();
        let known = shared.clone();
        std::thread::spawn(move || {
            let mut rng = Rng::new(seed);
            for stream in listener.incoming().map_while(Result::ok) {
                if known.over.load(Ordering::SeqCst) {
                    return;
                }
                let wrong = match rng.below(10) {
                    0..=4 => MessageFault::Cut,
                    5..=6 => MessageFault::Stall(50 + rng.below(250) as u64),
                    _ => MessageFault::Garble,
                };
                // What clients say is not garbled: a statement may mean something else then, and be one.
                let way = if wrong == MessageFault::Garble { 1 } else { rng.below(2) };
                let place = Place { way, message: rng.below(messages), bytes: *rng.pick(&PLACES), wrong };
                let place = (rng.below(100) < of_hundred).then_some(place);
                let known = known.clone();
                std::thread::spawn(move || {
                    let _ = carry(stream, to, place, &known); // whatever ends it, both ends see it end
                });
            }
        });
        Self { address, shared }
    }

    /// Connections that went wrong.
    pub fn failed_connections(&self) -> usize {
        self.shared.spoilt.load(Ordering::SeqCst)
    }
}

impl Drop for FaultyRelay {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address); // the listener wakes up to see that it is over
    }
}

fn carry(from: TcpStream, to: SocketAddr, place: Option<Place>, shared: &Arc<Shared>) -> std::io::Result<()> {
    let to = TcpStream::connect(to)?;
    let ends = Arc::new(Mutex::new([from.try_clone()?, to.try_clone()?]));
    let (back_from, back_to) = (to.try_clone()?, from.try_clone()?);
    let (known, also) = (shared.clone(), ends.clone());
    let back = std::thread::spawn(move || pump(back_from, back_to, 1, place, &known, &also));
    let ended = pump(from, to, 0, place, shared, &ends);
    let _ = back.join();
    ended
}

fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    way: usize,
    place: Option<Place>,
    shared: &Shared,
    ends: &Mutex<[TcpStream; 2]>,
) -> std::io::Result<()> {
    from.set_read_timeout(Some(LOOK))?;
    to.set_nodelay(true)?;
    let mut buffer = vec![0; 64 << 10];
    let mut messages = 0;
    let ended = loop {
        if shared.over.load(Ordering::SeqCst) {
            break Ok(());
        }
        let read = match from.read(&mut buffer) {
            Ok(0) => break Ok(()),
            Ok(read) => read,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(error) => break Err(error),
        };
        let place = place.filter(|place| place.way == way && place.message == messages);
        messages += 1;
        let Some(Place { bytes, wrong, .. }) = place else {
            if let Err(error) = to.write_all(&buffer[..read]) {
                break Err(error);
            }
            continue;
        };
        shared.spoilt.fetch_add(1, Ordering::SeqCst);
        let through = if bytes <= read { bytes } else { read - (usize::MAX - bytes).min(read) };
        match wrong {
            MessageFault::Garble => {
                buffer[bytes.min(read - 1).min(4)] ^= 0x15;
                if let Err(error) = to.write_all(&buffer[..read]) {
                    break Err(error);
                }
            }
            MessageFault::Cut => break to.write_all(&buffer[..through]),
            MessageFault::Stall(ms) => {
                let written = to.write_all(&buffer[..through]);
                std::thread::sleep(Duration::from_millis(ms));
                break written;
            }
        }
    };
    for end in ends.lock().unwrap_or_else(PoisonError::into_inner).iter() {
        let _ = end.shutdown(Shutdown::Both);
    }
    ended
}
