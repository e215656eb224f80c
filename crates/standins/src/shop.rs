//! Clients of a shop in a closed loop, half of what they ask safe and half of it orders, and an
//! exact account of what became of each.

use crate::faulty::FaultyBackend;
use crate::message::{Message, read_message};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Longer than any answer may take.
const PATIENCE: Duration = Duration::from_secs(30);

/// What became of the requests of one method.
#[derive(Clone, Debug, Default)]
pub struct RequestCounts {
    /// The right answer came.
    pub succeeded: u64,
    /// Answered 429 or 503.
    pub rejected: u64,
    /// Those of them that said after how many seconds to come again.
    pub with_retry_after: u64,
    /// Answered with another error.
    pub failed: u64,
    /// No answer, or half of one.
    pub unanswered: u64,
    /// A good status, and not the right body.
    pub invalid: u64,
    /// Sent once more, as their connection was closed between two requests without a word of an answer.
    pub resent: u64,
    /// How long the refused and failed ones waited.
    pub error_times: Vec<Duration>,
    /// How long the served ones took.
    pub success_times: Vec<Duration>,
}

impl RequestCounts {
    /// All requests.
    pub fn total(&self) -> u64 {
        self.succeeded + self.rejected + self.failed + self.unanswered + self.invalid
    }

    /// The part that was served, from 0 to 1.
    pub fn success_fraction(&self) -> f64 {
        self.succeeded as f64 / self.total().max(1) as f64
    }

    fn record(&mut self, answer: Option<Message>, id: &str, took: Duration) {
        let Some(answer) = answer else {
            self.unanswered += 1;
            return;
        };
        match answer.status() {
            200 if answer.body == id.as_bytes() => {
                self.succeeded += 1;
                self.success_times.push(took);
            }
            429 | 503 => {
                self.rejected += 1;
                let seconds = answer.header("retry-after").and_then(|s| s.parse::<u64>().ok());
                self.with_retry_after += u64::from(seconds.is_some());
                self.error_times.push(took);
            }
            500.. => {
                self.failed += 1;
                self.error_times.push(took);
            }
            _ => self.invalid += 1,
        }
    }

    fn add(&mut self, other: Self) {
        self.succeeded += other.succeeded;
        self.rejected += other.rejected;
        self.with_retry_after += other.with_retry_after;
        self.failed += other.failed;
        self.unanswered += other.unanswered;
        self.invalid += other.invalid;
        self.resent += other.resent;
        self.error_times.extend(other.error_times);
        self.success_times.extend(other.success_times);
    }
}

/// What became of all requests of a play.
#[derive(Clone, Debug, Default)]
pub struct RunCounts {
    /// Safe requests.
    pub safe: RequestCounts,
    /// Orders.
    pub orders: RequestCounts,
    /// How long the play took.
    pub duration: Duration,
}

/// So many clients ask for `requests` altogether, every second one an order of its own name, each
/// client one request after the other. With `pause` they wait so long between two.
pub fn run_clients(address: SocketAddr, clients: usize, requests: u64, pause: Duration) -> RunCounts {
    let next = AtomicU64::new(0);
    let start = Instant::now();
    let client = || {
        let mut accounts = RunCounts::default();
        let mut kept = None;
        loop {
            let number = next.fetch_add(1, Ordering::SeqCst);
            if number >= requests {
                return accounts;
            }
            let id = format!("n{number}");
            let text = match number % 2 {
                0 => format!("GET /quotes HTTP/1.1\r\nHost: shop\r\nX-Id: {id}\r\n\r\n"),
                _ => format!(
                    "POST /orders HTTP/1.1\r\nHost: shop\r\nX-Id: {id}\r\nX-Order: {id}\r\nContent-Length: 2\r\n\r\nok"
                ),
            };
            let asked = Instant::now();
            let ask = |mut stream: BufReader<TcpStream>| {
                stream.get_mut().write_all(text.as_bytes()).ok()?;
                // Nothing but the end, or a reset: nobody has read the request.
                let closed =
                    stream.fill_buf().map_or_else(|e| e.kind() != ErrorKind::WouldBlock, <[u8]>::is_empty);
                if closed {
                    return None;
                }
                let answer = read_message(&mut stream);
                let closes =
                    answer.as_ref().is_none_or(|a| a.header("connection").is_some_and(|c| c == "close"));
                Some((answer, (!closes).then_some(stream)))
            };
            let account = if number.is_multiple_of(2) { &mut accounts.safe } else { &mut accounts.orders };
            let on_kept = kept.take().and_then(|stream| {
                let asked = ask(stream);
                account.resent += u64::from(asked.is_none());
                asked
            });
            let answered = on_kept.or_else(|| ask(connect(address)?));
            let (answer, still) = answered.unwrap_or_default();
            kept = still;
            account.record(answer, &id, asked.elapsed());
            std::thread::sleep(pause);
        }
    };
    let mut all = RunCounts::default();
    std::thread::scope(|scope| {
        let started: Vec<_> = (0..clients).map(|_| scope.spawn(client)).collect();
        for one in started.into_iter().filter_map(|c| c.join().ok()) {
            all.safe.add(one.safe);
            all.orders.add(one.orders);
        }
    });
    all.duration = start.elapsed();
    all
}

fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    Some(BufReader::new(stream))
}

/// Orders that have run more than once, over all these backends.
pub fn duplicate_orders(backends: &[FaultyBackend]) -> Vec<String> {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for (order, count) in backends.iter().flat_map(|b| b.executions_by_order()) {
        *runs.entry(order).or_default() += count;
    }
    runs.into_iter().filter(|(_, count)| *count > 1).map(|(order, _)| order).collect()
}
