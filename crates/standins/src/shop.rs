//! Clients in a closed loop that send safe requests and orders in turn and count the result of each.

use crate::faulty::FaultyBackend;
use crate::message::{Message, read_message};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Timeout of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Results of the requests of one method.
#[derive(Clone, Debug, Default)]
pub struct RequestCounts {
    /// Answered with status 200 and the expected body.
    pub succeeded: u64,
    /// Answered with 429 or 503.
    pub rejected: u64,
    /// Those of the rejected requests whose response has a `retry-after` header.
    pub with_retry_after: u64,
    /// Answered with another status from 500 on.
    pub failed: u64,
    /// Not answered, or with an incomplete response.
    pub unanswered: u64,
    /// Answered with another status, or with 200 and the wrong body.
    pub invalid: u64,
    /// Sent again on a new connection, because the reused one was closed before any byte of a response.
    pub resent: u64,
    /// Response times of rejected and failed requests.
    pub error_times: Vec<Duration>,
    /// Response times of successful requests.
    pub success_times: Vec<Duration>,
}

impl RequestCounts {
    /// Returns the number of all requests.
    pub fn total(&self) -> u64 {
        self.succeeded + self.rejected + self.failed + self.unanswered + self.invalid
    }

    /// Returns the fraction of successful requests.
    pub fn success_fraction(&self) -> f64 {
        self.succeeded as f64 / self.total().max(1) as f64
    }

    fn record(&mut self, response: Option<Message>, id: &str, response_time: Duration) {
        let Some(response) = response else {
            self.unanswered += 1;
            return;
        };
        match response.status() {
            200 if response.body == id.as_bytes() => {
                self.succeeded += 1;
                self.success_times.push(response_time);
            }
            429 | 503 => {
                self.rejected += 1;
                let seconds = response.header("retry-after").and_then(|s| s.parse::<u64>().ok());
                self.with_retry_after += u64::from(seconds.is_some());
                self.error_times.push(response_time);
            }
            500.. => {
                self.failed += 1;
                self.error_times.push(response_time);
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

/// Results of all requests of a run.
#[derive(Clone, Debug, Default)]
pub struct RunCounts {
    /// Results of safe requests.
    pub safe: RequestCounts,
    /// Results of orders.
    pub orders: RequestCounts,
    /// Duration of the run.
    pub duration: Duration,
}

/// Runs clients until they have sent `requests` requests in total, every second one an order with a unique name. Each
/// client waits for the response, and then for `pause`, before its next request.
pub fn run_clients(address: SocketAddr, clients: usize, requests: u64, pause: Duration) -> RunCounts {
    let next_number = AtomicU64::new(0);
    let start = Instant::now();
    let client = || {
        let mut counts = RunCounts::default();
        let mut idle_connection = None;
        loop {
            let number = next_number.fetch_add(1, Ordering::SeqCst);
            if number >= requests {
                return counts;
            }
            let id = format!("n{number}");
            let text = match number % 2 {
                0 => format!("GET /quotes HTTP/1.1\r\nHost: shop\r\nX-Id: {id}\r\n\r\n"),
                _ => format!(
                    "POST /orders HTTP/1.1\r\nHost: shop\r\nX-Id: {id}\r\nX-Order: {id}\r\nContent-Length: 2\r\n\r\nok"
                ),
            };
            let sent_at = Instant::now();
            let exchange = |mut stream: BufReader<TcpStream>| {
                stream.get_mut().write_all(text.as_bytes()).ok()?;
                // The connection ended or was reset before any byte of a response.
                let is_closed =
                    stream.fill_buf().map_or_else(|e| e.kind() != ErrorKind::WouldBlock, <[u8]>::is_empty);
                if is_closed {
                    return None;
                }
                let response = read_message(&mut stream);
                let is_closing =
                    response.as_ref().is_none_or(|a| a.header("connection").is_some_and(|c| c == "close"));
                Some((response, (!is_closing).then_some(stream)))
            };
            let request_counts = if number.is_multiple_of(2) { &mut counts.safe } else { &mut counts.orders };
            let on_idle_connection = idle_connection.take().and_then(|stream| {
                let exchanged = exchange(stream);
                request_counts.resent += u64::from(exchanged.is_none());
                exchanged
            });
            let exchanged = on_idle_connection.or_else(|| exchange(connect(address)?));
            let (response, still_open) = exchanged.unwrap_or_default();
            idle_connection = still_open;
            request_counts.record(response, &id, sent_at.elapsed());
            std::thread::sleep(pause);
        }
    };
    let mut totals = RunCounts::default();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..clients).map(|_| scope.spawn(client)).collect();
        for counts in threads.into_iter().filter_map(|c| c.join().ok()) {
            totals.safe.add(counts.safe);
            totals.orders.add(counts.orders);
        }
    });
    totals.duration = start.elapsed();
    totals
}

fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
    Some(BufReader::new(stream))
}

/// Returns the orders that ran more than once, over all backends.
pub fn duplicate_orders(backends: &[FaultyBackend]) -> Vec<String> {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for (order, count) in backends.iter().flat_map(|b| b.executions_by_order()) {
        *runs.entry(order).or_default() += count;
    }
    runs.into_iter().filter(|(_, count)| *count > 1).map(|(order, _)| order).collect()
}
