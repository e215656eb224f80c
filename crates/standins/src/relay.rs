//! A way between two peers that can be cut, as a network is: nothing is lost on it and nothing closed, bytes
//! wait until it is mended. Where it leads to several, it is a front that deals out connections.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// How often a pump sees whether its way is cut or over.
const LOOK: Duration = Duration::from_millis(5);
/// Connections that are carried at once; further ones are closed.
const MOST: usize = 256;

#[derive(Default)]
struct Shared {
    /// From those who connect, and back to them.
    cut: [AtomicBool; 2],
    over: AtomicBool,
    carried: AtomicUsize,
    /// Where connections go, in turn.
    to: Mutex<Vec<SocketAddr>>,
    dealt: AtomicUsize,
}

/// Carries connections to an address for as long as it is kept.
pub struct Relay {
    /// Where to connect instead.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Relay {
    /// To that address, which need not listen yet.
    pub fn start(to: SocketAddr) -> Self {
        Self::round_robin(vec![to])
    }

    /// To these, one connection after the other; where there are none connections are closed.
    pub fn round_robin(to: Vec<SocketAddr>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared { to: Mutex::new(to), ..Shared::default() });
        let known = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if known.over.load(Ordering::SeqCst) {
                    return;
                }
                if known.carried.load(Ordering::SeqCst) < MOST {
                    known.carried.fetch_add(1, Ordering::SeqCst);
                    let known = known.clone();
                    std::thread::spawn(move || {
                        let _ = carry(stream, &known); // whatever ends it, both ends see it end
                        known.carried.fetch_sub(1, Ordering::SeqCst);
                    });
                }
            }
        });
        Self { address, shared }
    }

    /// From now on connections go there.
    pub fn set_targets(&self, to: Vec<SocketAddr>) {
        *self.shared.to.lock().unwrap_or_else(PoisonError::into_inner) = to;
    }

    /// Holds back what those who connect say, and what they are told.
    pub fn set_blocked(&self, said: bool, told: bool) {
        self.shared.cut[0].store(said, Ordering::SeqCst);
        self.shared.cut[1].store(told, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address); // the listener wakes up to see that it is over
    }
}

fn carry(from: TcpStream, shared: &Arc<Shared>) -> std::io::Result<()> {
    // A connection is no more made over a cut way than a byte sent.
    while shared.cut.iter().any(|c| c.load(Ordering::SeqCst)) {
        if shared.over.load(Ordering::SeqCst) {
            return Ok(());
        }
        std::thread::sleep(LOOK);
    }
    let dealt = shared.dealt.fetch_add(1, Ordering::SeqCst);
    let to = {
        let to = shared.to.lock().unwrap_or_else(PoisonError::into_inner);
        to.get(dealt % to.len().max(1)).copied().ok_or(ErrorKind::NotConnected)?
    };
    let to = TcpStream::connect(to)?;
    let (back_from, back_to) = (to.try_clone()?, from.try_clone()?);
    let known = shared.clone();
    let back = std::thread::spawn(move || pump(back_from, back_to, &known, 1));
    let ended = pump(from, to, shared, 0);
    let _ = back.join();
    ended
}

fn pump(mut from: TcpStream, mut to: TcpStream, shared: &Shared, way: usize) -> std::io::Result<()> {
    from.set_read_timeout(Some(LOOK))?;
    to.set_nodelay(true)?;
    let mut buffer = vec![0; 16 << 10];
    let ended = loop {
        if shared.over.load(Ordering::SeqCst) {
            break Ok(());
        }
        if shared.cut[way].load(Ordering::SeqCst) {
            std::thread::sleep(LOOK);
            continue;
        }
        match from.read(&mut buffer) {
            Ok(0) => break Ok(()),
            Ok(read) => {
                // It may have been cut while this waited to read.
                while shared.cut[way].load(Ordering::SeqCst) && !shared.over.load(Ordering::SeqCst) {
                    std::thread::sleep(LOOK);
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
    ended
}
