//! Mock backends that answer at once and fail a fraction of their requests in every way in which a connection can
//! fail, at random from a seed.

use crate::message::{Message, format_response, read_message};
use crate::rng::Rng;
use socket2::SockRef;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A way in which a request fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection is reset before the request is read.
    ResetBeforeRead,
    /// The connection is reset after the request was read.
    ResetAfterRead,
    /// Half of the response is sent, then the connection ends.
    PartialResponse,
    /// Nothing is sent for [`NO_RESPONSE_DURATION`], then the connection ends.
    NoResponse,
    /// The response is 500.
    ServerError,
    /// The response is 503, and does not say whether the request has run.
    Unavailable,
    /// The correct response is sent after [`RESPONSE_DELAY`].
    DelayedResponse,
    /// The response is not HTTP.
    InvalidResponse,
    /// The correct response is sent, and the connection closes without notice.
    CloseAfterResponse,
}

/// All faults.
pub const ALL_FAULTS: [Fault; 9] = [
    Fault::ResetBeforeRead,
    Fault::ResetAfterRead,
    Fault::PartialResponse,
    Fault::NoResponse,
    Fault::ServerError,
    Fault::Unavailable,
    Fault::DelayedResponse,
    Fault::InvalidResponse,
    Fault::CloseAfterResponse,
];

/// Duration of [`Fault::NoResponse`].
pub const NO_RESPONSE_DURATION: Duration = Duration::from_secs(4);
/// Delay of [`Fault::DelayedResponse`].
pub const RESPONSE_DELAY: Duration = Duration::from_millis(400);

struct Shared {
    /// Failures per million requests.
    failures_per_million: AtomicU64,
    faults: Vec<Fault>,
    /// Idle times in microseconds, 0 for none: after the first a connection is closed; after the second it stays
    /// open, but requests on it are read and not executed.
    idle_close_micros: AtomicU64,
    idle_reset_micros: AtomicU64,
    /// Time in microseconds from such a request to the reset of its connection.
    reset_delay_micros: AtomicU64,
    rng: Mutex<Rng>,
    /// Requests that were read completely, and requests that were not executed.
    executed: AtomicUsize,
    not_executed: AtomicUsize,
    accepted_connections: AtomicUsize,
    /// Executions of each order, by its `X-Order` header.
    orders: Mutex<HashMap<String, usize>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A mock backend that answers each request with its `X-Id` header, or fails it. Its thread ends with the process.
pub struct FaultyBackend {
    /// Address on which it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl FaultyBackend {
    /// Starts a backend that fails `fraction` of its requests, each with one of `faults`.
    pub fn start(seed: u64, fraction: f64, faults: &[Fault]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the address of a bound socket");
        let shared = Arc::new(Shared {
            failures_per_million: AtomicU64::new(0),
            faults: faults.to_vec(),
            idle_close_micros: AtomicU64::new(0),
            idle_reset_micros: AtomicU64::new(0),
            reset_delay_micros: AtomicU64::new(0),
            rng: Mutex::new(Rng::new(seed)),
            executed: AtomicUsize::new(0),
            not_executed: AtomicUsize::new(0),
            accepted_connections: AtomicUsize::new(0),
            orders: Mutex::default(),
        });
        let backend = Self { address, shared: shared.clone() };
        backend.set_failure_fraction(fraction);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                shared.accepted_connections.fetch_add(1, Ordering::SeqCst);
                let shared = shared.clone();
                std::thread::spawn(move || serve(stream, &shared));
            }
        });
        backend
    }

    /// Sets the fraction of requests that fail.
    pub fn set_failure_fraction(&self, fraction: f64) {
        self.shared.failures_per_million.store((fraction * 1e6) as u64, Ordering::SeqCst);
    }

    /// Sets the idle time after which connections are closed.
    pub fn set_idle_close_after(&self, idle: Duration) {
        self.shared.idle_close_micros.store(idle.as_micros() as u64, Ordering::SeqCst);
    }

    /// Sets the idle time after which a connection stays open, but is reset without executing anything once a
    /// complete request has arrived, as by a server or a firewall that has dropped the connection from its tables.
    pub fn set_idle_reset_after(&self, idle: Duration) {
        self.shared.idle_reset_micros.store(idle.as_micros() as u64, Ordering::SeqCst);
    }

    /// Sets the delay from such a request to the reset, as on a slow network or a busy host.
    pub fn set_reset_delay(&self, wait: Duration) {
        self.shared.reset_delay_micros.store(wait.as_micros() as u64, Ordering::SeqCst);
    }

    /// Returns the number of attempts received, executed or not.
    pub fn attempt_count(&self) -> usize {
        self.shared.executed.load(Ordering::SeqCst) + self.shared.not_executed.load(Ordering::SeqCst)
    }

    /// Returns the number of connections accepted.
    pub fn connection_count(&self) -> usize {
        self.shared.accepted_connections.load(Ordering::SeqCst)
    }

    /// Returns how often each order was executed.
    pub fn executions_by_order(&self) -> HashMap<String, usize> {
        lock(&self.shared.orders).clone()
    }
}

impl Shared {
    fn draw_fault(&self) -> Option<Fault> {
        let mut rng = lock(&self.rng);
        let is_failing = (rng.below(1_000_000) as u64) < self.failures_per_million.load(Ordering::SeqCst);
        (is_failing && !self.faults.is_empty()).then(|| *rng.pick(&self.faults))
    }

    fn record_execution(&self, message: &Message) {
        self.executed.fetch_add(1, Ordering::SeqCst);
        if let Some(order) = message.header("x-order") {
            *lock(&self.orders).entry(order.to_string()).or_default() += 1;
        }
    }
}

/// Resets a connection when it is closed.
pub(crate) fn reset_stream(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

fn serve(stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    let mut answered = false;
    loop {
        let idle_since = Instant::now();
        let duration = |limit: &AtomicU64| Duration::from_micros(limit.load(Ordering::SeqCst));
        let idle_timeout =
            Some(duration(&shared.idle_close_micros)).filter(|limit| answered && !limit.is_zero());
        let _ = stream.get_ref().set_read_timeout(idle_timeout);
        // Data has arrived and is not read yet.
        if !matches!(stream.get_ref().peek(&mut [0]), Ok(1)) {
            return;
        }
        let _ = stream.get_ref().set_read_timeout(None);
        let reset_after_idle = duration(&shared.idle_reset_micros);
        if answered && !reset_after_idle.is_zero() && idle_since.elapsed() > reset_after_idle {
            let _ = read_message(&mut stream);
            std::thread::sleep(duration(&shared.reset_delay_micros));
            shared.not_executed.fetch_add(1, Ordering::SeqCst);
            return reset_stream(stream.get_ref());
        }
        let fault = shared.draw_fault();
        if fault == Some(Fault::ResetBeforeRead) {
            shared.not_executed.fetch_add(1, Ordering::SeqCst);
            return reset_stream(stream.get_ref());
        }
        let Some(message) = read_message(&mut stream) else { return };
        shared.record_execution(&message);
        let correct = format_response("200 OK", message.header("x-id").unwrap_or_default());
        let response = match fault {
            None | Some(Fault::CloseAfterResponse) => correct,
            Some(Fault::ResetBeforeRead | Fault::ResetAfterRead) => return reset_stream(stream.get_ref()),
            Some(Fault::PartialResponse) => correct[..correct.len() / 2].to_string(),
            Some(Fault::NoResponse) => return std::thread::sleep(NO_RESPONSE_DURATION),
            Some(Fault::ServerError) => format_response("500 Internal Server Error", "error"),
            Some(Fault::Unavailable) => format_response("503 Service Unavailable", "busy"),
            Some(Fault::InvalidResponse) => "\u{1}\u{2}nothing of the kind\r\n\r\n".to_string(),
            Some(Fault::DelayedResponse) => {
                std::thread::sleep(RESPONSE_DELAY);
                correct
            }
        };
        let written = stream.get_mut().write_all(response.as_bytes());
        if written.is_err()
            || matches!(
                fault,
                Some(Fault::PartialResponse | Fault::InvalidResponse | Fault::CloseAfterResponse)
            )
        {
            return;
        }
        answered = true;
    }
}
