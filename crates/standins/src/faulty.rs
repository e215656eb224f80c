//! Backends that answer at once and fail a part of what they are asked, in every way in which a
//! connection can fail, drawn from a seed.

use crate::message::{Message, format_response, read_message};
use crate::rng::Rng;
use socket2::SockRef;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The ways in which a request may fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection is reset while nothing of the request has been read.
    ResetBeforeRead,
    /// It is reset once all of it has been read.
    ResetAfterRead,
    /// Half of the answer comes, then the connection ends.
    PartialResponse,
    /// Nothing comes for [`SILENT`], then the connection ends.
    NoResponse,
    /// The answer is 500.
    ServerError,
    /// The answer is 503, without a word on whether it has run.
    Unavailable,
    /// The right answer comes after [`SLOW`].
    DelayedResponse,
    /// What comes is no HTTP.
    InvalidResponse,
    /// The right answer comes, and the connection is closed behind it without a word.
    CloseAfterResponse,
}

/// All of them.
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

/// How long [`Fault::Silent`] lasts.
pub const NO_RESPONSE_DURATION: Duration = Duration::from_secs(4);
/// How late [`Fault::Slow`] is.
pub const RESPONSE_DELAY: Duration = Duration::from_millis(400);

struct Shared {
    /// Faults in a million requests.
    part: AtomicU64,
    faults: Vec<Fault>,
    /// Idle times, in microseconds, 0 for none: after the first a connection is closed, after the second
    /// it is kept, and what comes on it is read and not answered.
    closes_after: AtomicU64,
    swallows_after: AtomicU64,
    /// How long it then takes until the reset.
    swallows_for: AtomicU64,
    rng: Mutex<Rng>,
    /// Requests that were read whole, and those that were not read.
    begun: AtomicUsize,
    unread: AtomicUsize,
    connected: AtomicUsize,
    /// How often each order has run, by its header `X-Order`.
    orders: Mutex<HashMap<String, usize>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A stand-in that answers each request with its header `X-Id`, or fails it. Its thread ends with
/// the process.
pub struct FaultyBackend {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl FaultyBackend {
    /// One that fails this part of its requests, in one of these ways each.
    pub fn start(seed: u64, part: f64, faults: &[Fault]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            part: AtomicU64::new(0),
            faults: faults.to_vec(),
            closes_after: AtomicU64::new(0),
            swallows_after: AtomicU64::new(0),
            swallows_for: AtomicU64::new(0),
            rng: Mutex::new(Rng::new(seed)),
            begun: AtomicUsize::new(0),
            unread: AtomicUsize::new(0),
            connected: AtomicUsize::new(0),
            orders: Mutex::default(),
        });
        let faulty = Self { address, shared: shared.clone() };
        faulty.set_failure_fraction(part);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                shared.connected.fetch_add(1, Ordering::SeqCst);
                let shared = shared.clone();
                std::thread::spawn(move || serve(stream, &shared));
            }
        });
        faulty
    }

    /// From now on it fails this part.
    pub fn set_failure_fraction(&self, part: f64) {
        self.shared.part.store((part * 1e6) as u64, Ordering::SeqCst);
    }

    /// From now on it closes a connection that has stood idle for so long.
    pub fn set_idle_close_after(&self, idle: Duration) {
        self.shared.closes_after.store(idle.as_micros() as u64, Ordering::SeqCst);
    }

    /// From now on it keeps such a connection open, and resets it without a word and without running
    /// anything once a whole request has come on it: as does a server, or what stands between, that has
    /// forgotten the connection.
    pub fn set_idle_reset_after(&self, idle: Duration) {
        self.shared.swallows_after.store(idle.as_micros() as u64, Ordering::SeqCst);
    }

    /// The reset comes so long after the request, as where the way is long or the machine busy.
    pub fn set_reset_delay(&self, wait: Duration) {
        self.shared.swallows_for.store(wait.as_micros() as u64, Ordering::SeqCst);
    }

    /// How many attempts have reached it, read or not.
    pub fn attempt_count(&self) -> usize {
        self.shared.begun.load(Ordering::SeqCst) + self.shared.unread.load(Ordering::SeqCst)
    }

    /// How often it was connected to.
    pub fn connection_count(&self) -> usize {
        self.shared.connected.load(Ordering::SeqCst)
    }

    /// How often each order has run.
    pub fn executions_by_order(&self) -> HashMap<String, usize> {
        lock(&self.shared.orders).clone()
    }
}

impl Shared {
    fn draw(&self) -> Option<Fault> {
        let mut rng = lock(&self.rng);
        let fails = (rng.below(1_000_000) as u64) < self.part.load(Ordering::SeqCst);
        (fails && !self.faults.is_empty()).then(|| *rng.pick(&self.faults))
    }

    fn run(&self, message: &Message) {
        self.begun.fetch_add(1, Ordering::SeqCst);
        if let Some(order) = message.header("x-order") {
            *lock(&self.orders).entry(order.to_string()).or_default() += 1;
        }
    }
}

/// Ends a connection so that its other side sees a reset.
pub(crate) fn reset_stream(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

fn serve(stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    let mut answered = false;
    loop {
        let idle = Instant::now();
        let after = |limit: &AtomicU64| Duration::from_micros(limit.load(Ordering::SeqCst));
        let closes = Some(after(&shared.closes_after)).filter(|limit| answered && !limit.is_zero());
        let _ = stream.get_ref().set_read_timeout(closes);
        // Something has come, and is not read yet.
        if !matches!(stream.get_ref().peek(&mut [0]), Ok(1)) {
            return;
        }
        let _ = stream.get_ref().set_read_timeout(None);
        let swallows = after(&shared.swallows_after);
        if answered && !swallows.is_zero() && idle.elapsed() > swallows {
            let _ = read_message(&mut stream);
            std::thread::sleep(after(&shared.swallows_for));
            shared.unread.fetch_add(1, Ordering::SeqCst);
            return reset_stream(stream.get_ref());
        }
        let fault = shared.draw();
        if fault == Some(Fault::ResetBeforeRead) {
            shared.unread.fetch_add(1, Ordering::SeqCst);
            return reset_stream(stream.get_ref());
        }
        let Some(message) = read_message(&mut stream) else { return };
        shared.run(&message);
        let right = format_response("200 OK", message.header("x-id").unwrap_or_default());
        let said = match fault {
            None | Some(Fault::CloseAfterResponse) => right,
            Some(Fault::ResetBeforeRead | Fault::ResetAfterRead) => return reset_stream(stream.get_ref()),
            Some(Fault::PartialResponse) => right[..right.len() / 2].to_string(),
            Some(Fault::NoResponse) => return std::thread::sleep(NO_RESPONSE_DURATION),
            Some(Fault::ServerError) => format_response("500 Internal Server Error", "error"),
            Some(Fault::Unavailable) => format_response("503 Service Unavailable", "busy"),
            Some(Fault::InvalidResponse) => "\u{1}\u{2}nothing of the kind\r\n\r\n".to_string(),
            Some(Fault::DelayedResponse) => {
                std::thread::sleep(RESPONSE_DELAY);
                right
            }
        };
        let written = stream.get_mut().write_all(said.as_bytes());
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
