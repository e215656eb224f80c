//! Backends that take their time, die, come back, and remember what reached them and when.

use crate::faulty::reset_stream;
use crate::message::{Message, format_response, read_message};
use crate::wait_for;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What reached a backend.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When its first byte was there: a send counts from there where a drain is concerned.
    pub received_at: Instant,
    /// Its method.
    pub method: String,
    /// Its header `X-Order`, by which tests name what must not run twice.
    pub order_id: Option<String>,
    /// It was not answered as usual: by the node's fault, or that of the way.
    pub is_faulty: bool,
}

/// What becomes of requests on the way from one caller, and of their answers. Callers are told apart by what comes
/// before the first `-` in `X-Order`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathFault {
    /// Requests wait until the way is mended.
    RequestsHeld,
    /// Answers wait until the way is mended.
    ResponsesHeld,
    /// The connection is reset before a request has run.
    ResetBeforeRequest,
    /// It is reset once the request has run.
    ResetAfterRequest,
    /// Answers come byte by byte, each after so many milliseconds.
    SlowResponse(u64),
}

/// An answer that takes so many times what is usual is a bad one.
const BAD_TIMES: u64 = 4;
/// How often a way that is held looks whether it is mended.
const LOOK: Duration = Duration::from_millis(5);

/// Arrivals that are remembered; later ones are only counted.
const MOST_REMEMBERED: usize = 200_000;

#[derive(Default)]
struct Shared {
    alive: AtomicBool,
    /// How long an answer takes, in microseconds.
    work: AtomicU64,
    /// How long it takes as long as nothing is wrong.
    usual: AtomicU64,
    failing: AtomicBool,
    /// Each of so many fails; 0 for none.
    one_in: AtomicUsize,
    paths: Mutex<HashMap<String, PathFault>>,
    count: AtomicUsize,
    arrivals: Mutex<Vec<Arrival>>,
    /// A copy of each open connection, by its number.
    connections: Mutex<HashMap<usize, TcpStream>>,
    connected: AtomicUsize,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A stand-in backend. It answers 200 with its name, each connection on a thread of its own, and
/// ends when it is dropped.
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    name: String,
    shared: Arc<Shared>,
}

impl Backend {
    /// One that takes so long for an answer.
    pub fn start(name: &str, work: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let backend = Self { address, name: name.into(), shared: Arc::default() };
        backend.set_response_time(work);
        backend.shared.usual.store(work.as_micros() as u64, Ordering::SeqCst);
        backend.listen(listener);
        backend
    }

    fn listen(&self, listener: TcpListener) {
        self.shared.alive.store(true, Ordering::SeqCst);
        let (shared, name) = (self.shared.clone(), self.name.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if !shared.alive.load(Ordering::SeqCst) {
                    return;
                }
                let number = shared.connected.fetch_add(1, Ordering::SeqCst);
                if let Ok(copy) = stream.try_clone() {
                    lock(&shared.connections).insert(number, copy);
                }
                let (shared, name) = (shared.clone(), name.clone());
                std::thread::spawn(move || {
                    serve(stream, &shared, &name);
                    lock(&shared.connections).remove(&number);
                });
            }
        });
    }

    /// From now on an answer takes so long.
    pub fn set_response_time(&self, work: Duration) {
        self.shared.work.store(work.as_micros() as u64, Ordering::SeqCst);
    }

    /// From now on it answers 500, or no longer.
    pub fn set_failing(&self, failing: bool) {
        self.shared.failing.store(failing, Ordering::SeqCst);
    }

    /// From now on every so manieth request is answered 500; 0 for none.
    pub fn set_failure_interval(&self, count: usize) {
        self.shared.one_in.store(count, Ordering::SeqCst);
    }

    /// From now on the way from that caller is like this, or well.
    pub fn set_path_fault(&self, caller: &str, path: Option<PathFault>) {
        let mut paths = lock(&self.shared.paths);
        match path {
            Some(path) => drop(paths.insert(caller.into(), path)),
            None => drop(paths.remove(caller)),
        }
    }

    /// Dies: its connections break, and new ones are refused.
    pub fn kill(&self) {
        if self.shared.alive.swap(false, Ordering::SeqCst) {
            // The listener wakes up to see that it is over, and goes.
            let _ = TcpStream::connect(self.address);
            for (_, stream) in lock(&self.shared.connections).drain() {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Comes back at its old address. Panics where that is not free again within [`crate::LONG`].
    pub fn restart(&self) {
        let mut bound = None;
        wait_for("free address", || {
            bound = TcpListener::bind(self.address).ok();
            bound.is_some()
        });
        bound.into_iter().for_each(|listener| self.listen(listener));
    }

    /// How many requests have reached it.
    pub fn request_count(&self) -> usize {
        self.shared.count.load(Ordering::SeqCst)
    }

    /// How often it was connected to.
    pub fn connection_count(&self) -> usize {
        self.shared.connected.load(Ordering::SeqCst)
    }

    /// What has reached it, in order.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.shared.arrivals).clone()
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The next request, and when it began.
fn next(stream: &mut BufReader<TcpStream>) -> Option<(Instant, Message)> {
    stream.fill_buf().ok()?;
    let at = Instant::now();
    Some((at, read_message(stream)?))
}

impl Shared {
    fn path(&self, caller: &str) -> Option<PathFault> {
        lock(&self.paths).get(caller).copied()
    }

    /// Waits until the way is another one than this.
    fn wait(&self, caller: &str, path: PathFault) {
        while self.path(caller) == Some(path) && self.alive.load(Ordering::SeqCst) {
            std::thread::sleep(LOOK);
        }
    }
}

fn serve(stream: TcpStream, shared: &Shared, name: &str) {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    while let Some((at, message)) = next(&mut stream) {
        let order = message.header("x-order").map(String::from);
        let caller = order.as_deref().and_then(|o| o.split('-').next()).unwrap_or_default().to_string();
        let path = shared.path(&caller);
        match path {
            Some(PathFault::RequestsHeld) => shared.wait(&caller, PathFault::RequestsHeld),
            Some(PathFault::ResetBeforeRequest) => return reset_stream(stream.get_ref()),
            _ => {}
        }
        let count = shared.count.fetch_add(1, Ordering::SeqCst) + 1;
        let one_in = shared.one_in.load(Ordering::SeqCst);
        let failing = shared.failing.load(Ordering::SeqCst) || one_in > 0 && count.is_multiple_of(one_in);
        let work = shared.work.load(Ordering::SeqCst);
        let late = work > BAD_TIMES * shared.usual.load(Ordering::SeqCst).max(1);
        let method = message.start_line.split(' ').next().unwrap_or_default().to_string();
        {
            let mut arrivals = lock(&shared.arrivals);
            if arrivals.len() < MOST_REMEMBERED {
                arrivals.push(Arrival {
                    received_at: at,
                    method,
                    order_id: order,
                    is_faulty: failing || late || path.is_some(),
                });
            }
        }
        if work > 0 {
            std::thread::sleep(Duration::from_micros(work));
        }
        match path {
            Some(PathFault::ResponsesHeld) => shared.wait(&caller, PathFault::ResponsesHeld),
            Some(PathFault::ResetAfterRequest) => return reset_stream(stream.get_ref()),
            _ => {}
        }
        let status = if failing { "500 Internal Server Error" } else { "200 OK" };
        let text = format_response(status, name);
        let said = match path {
            Some(PathFault::SlowResponse(each)) => text.bytes().try_for_each(|byte| {
                std::thread::sleep(Duration::from_millis(each));
                stream.get_mut().write_all(&[byte])
            }),
            _ => stream.get_mut().write_all(text.as_bytes()),
        };
        if said.is_err() {
            return;
        }
    }
}
