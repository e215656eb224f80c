//! Mock backends that can be slow, fail, stop and restart, and that record the requests they receive.

use crate::faulty::reset_stream;
use crate::message::{Message, format_response, read_message};
use crate::wait_for;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A request that reached a backend.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When its first byte arrived.
    pub received_at: Instant,
    /// Its method.
    pub method: String,
    /// Its `X-Order` header, which identifies a request that must run only once.
    pub order_id: Option<String>,
    /// Whether it was not answered normally, because of a fault of the backend or of the path.
    pub is_faulty: bool,
}

/// A fault of the path between one caller and a backend. The part of `X-Order` before the first `-` identifies the
/// caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathFault {
    /// Requests are held until the fault ends.
    RequestsHeld,
    /// Responses are held until the fault ends.
    ResponsesHeld,
    /// The connection is reset before the request has run.
    ResetBeforeRequest,
    /// The connection is reset after the request has run.
    ResetAfterRequest,
    /// Responses arrive byte by byte, each after this many milliseconds.
    SlowResponse(u64),
}

/// A response that takes longer than this multiple of the normal time counts as faulty.
const FAULTY_DELAY_RATIO: u64 = 4;
/// Interval at which a held request checks whether its fault has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of recorded requests; later ones are only counted.
const MAX_RECORDED_REQUESTS: usize = 200_000;

#[derive(Default)]
struct Shared {
    is_running: AtomicBool,
    /// Current response time in microseconds.
    response_micros: AtomicU64,
    /// Normal response time in microseconds.
    normal_response_micros: AtomicU64,
    is_failing: AtomicBool,
    /// One in this many requests fails; 0 for none.
    failure_interval: AtomicUsize,
    path_faults: Mutex<HashMap<String, PathFault>>,
    count: AtomicUsize,
    arrivals: Mutex<Vec<Arrival>>,
    /// Copies of the open connections, by number.
    connections: Mutex<HashMap<usize, TcpStream>>,
    accepted_connections: AtomicUsize,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A mock backend that answers 200 with its name, on one thread per connection; it stops when dropped.
pub struct Backend {
    /// Address on which it listens.
    pub address: SocketAddr,
    name: String,
    shared: Arc<Shared>,
}

impl Backend {
    /// Starts a backend with a normal response time.
    pub fn start(name: &str, response_time: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the address of a bound socket");
        let backend = Self { address, name: name.into(), shared: Arc::default() };
        backend.set_response_time(response_time);
        backend.shared.normal_response_micros.store(response_time.as_micros() as u64, Ordering::SeqCst);
        backend.listen(listener);
        backend
    }

    fn listen(&self, listener: TcpListener) {
        self.shared.is_running.store(true, Ordering::SeqCst);
        let (shared, name) = (self.shared.clone(), self.name.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if !shared.is_running.load(Ordering::SeqCst) {
                    return;
                }
                let number = shared.accepted_connections.fetch_add(1, Ordering::SeqCst);
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

    /// Sets the response time.
    pub fn set_response_time(&self, response_time: Duration) {
        self.shared.response_micros.store(response_time.as_micros() as u64, Ordering::SeqCst);
    }

    /// Sets whether every request is answered with 500.
    pub fn set_failing(&self, is_failing: bool) {
        self.shared.is_failing.store(is_failing, Ordering::SeqCst);
    }

    /// Sets that one in `count` requests is answered with 500; 0 for none.
    pub fn set_failure_interval(&self, count: usize) {
        self.shared.failure_interval.store(count, Ordering::SeqCst);
    }

    /// Sets or clears the fault of the path from a caller.
    pub fn set_path_fault(&self, caller: &str, path_fault: Option<PathFault>) {
        let mut path_faults = lock(&self.shared.path_faults);
        match path_fault {
            Some(path_fault) => drop(path_faults.insert(caller.into(), path_fault)),
            None => drop(path_faults.remove(caller)),
        }
    }

    /// Stops: connections break, and new ones are refused.
    pub fn kill(&self) {
        if self.shared.is_running.swap(false, Ordering::SeqCst) {
            // Wakes the listener so that it stops.
            let _ = TcpStream::connect(self.address);
            for (_, stream) in lock(&self.shared.connections).drain() {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Restarts at the same address. Panics if the address is not free within [`crate::WAIT_TIMEOUT`].
    pub fn restart(&self) {
        let mut bound = None;
        wait_for("a free address", || {
            bound = TcpListener::bind(self.address).ok();
            bound.is_some()
        });
        bound.into_iter().for_each(|listener| self.listen(listener));
    }

    /// Returns the number of requests received.
    pub fn request_count(&self) -> usize {
        self.shared.count.load(Ordering::SeqCst)
    }

    /// Returns the number of connections accepted.
    pub fn connection_count(&self) -> usize {
        self.shared.accepted_connections.load(Ordering::SeqCst)
    }

    /// Returns the recorded requests in the order of arrival.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.shared.arrivals).clone()
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads the next request and returns when it began.
fn read_request(stream: &mut BufReader<TcpStream>) -> Option<(Instant, Message)> {
    stream.fill_buf().ok()?;
    let at = Instant::now();
    Some((at, read_message(stream)?))
}

impl Shared {
    fn path_fault(&self, caller: &str) -> Option<PathFault> {
        lock(&self.path_faults).get(caller).copied()
    }

    /// Waits until the path from the caller no longer has this fault.
    fn wait_while(&self, caller: &str, path_fault: PathFault) {
        while self.path_fault(caller) == Some(path_fault) && self.is_running.load(Ordering::SeqCst) {
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

fn serve(stream: TcpStream, shared: &Shared, name: &str) {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    while let Some((received_at, request)) = read_request(&mut stream) {
        let order_id = request.header("x-order").map(String::from);
        let caller = order_id.as_deref().and_then(|o| o.split('-').next()).unwrap_or_default().to_string();
        let path_fault = shared.path_fault(&caller);
        match path_fault {
            Some(PathFault::RequestsHeld) => shared.wait_while(&caller, PathFault::RequestsHeld),
            Some(PathFault::ResetBeforeRequest) => return reset_stream(stream.get_ref()),
            _ => {}
        }
        let count = shared.count.fetch_add(1, Ordering::SeqCst) + 1;
        let failure_interval = shared.failure_interval.load(Ordering::SeqCst);
        let is_failing = shared.is_failing.load(Ordering::SeqCst)
            || failure_interval > 0 && count.is_multiple_of(failure_interval);
        let response_micros = shared.response_micros.load(Ordering::SeqCst);
        let is_late = response_micros
            > FAULTY_DELAY_RATIO * shared.normal_response_micros.load(Ordering::SeqCst).max(1);
        let method = request.start_line.split(' ').next().unwrap_or_default().to_string();
        {
            let mut arrivals = lock(&shared.arrivals);
            if arrivals.len() < MAX_RECORDED_REQUESTS {
                arrivals.push(Arrival {
                    received_at,
                    method,
                    order_id,
                    is_faulty: is_failing || is_late || path_fault.is_some(),
                });
            }
        }
        if response_micros > 0 {
            std::thread::sleep(Duration::from_micros(response_micros));
        }
        match path_fault {
            Some(PathFault::ResponsesHeld) => shared.wait_while(&caller, PathFault::ResponsesHeld),
            Some(PathFault::ResetAfterRequest) => return reset_stream(stream.get_ref()),
            _ => {}
        }
        let status = if is_failing { "500 Internal Server Error" } else { "200 OK" };
        let text = format_response(status, name);
        let written = match path_fault {
            Some(PathFault::SlowResponse(interval_ms)) => text.bytes().try_for_each(|byte| {
                std::thread::sleep(Duration::from_millis(interval_ms));
                stream.get_mut().write_all(&[byte])
            }),
            _ => stream.get_mut().write_all(text.as_bytes()),
        };
        if written.is_err() {
            return;
        }
    }
}
