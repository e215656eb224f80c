//! Load generators: clients in a closed loop, each on its own connection, and the results of their requests.

use crate::message::read_message;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Results of requests; each request counts in exactly one of the four.
#[derive(Clone, Debug, Default)]
pub struct ResponseCounts {
    /// Answered with a status below 500, except 429.
    pub served: u64,
    /// Answered with 429 or 503.
    pub rejected: u64,
    /// Answered with another status from 500 on.
    pub failed: u64,
    /// Not answered, because the connection broke or the response timed out.
    pub unanswered: u64,
    /// Response times of the served requests.
    pub response_times: Vec<Duration>,
}

impl ResponseCounts {
    /// Adds the counts of another client.
    pub fn add(&mut self, other: Self) {
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.unanswered += other.unanswered;
        self.response_times.extend(other.response_times);
    }

    /// Returns the number of all requests.
    pub fn total(&self) -> u64 {
        self.served + self.rejected + self.failed + self.unanswered
    }

    /// Returns a quantile of the response times; `fraction` is between 0 and 1.
    pub fn quantile(&mut self, fraction: f64) -> Duration {
        self.response_times.sort_unstable();
        let last = self.response_times.len().saturating_sub(1);
        self.response_times.get((last as f64 * fraction).round() as usize).copied().unwrap_or_default()
    }
}

/// Formats a request, given the number of the client and of its request.
pub type RequestScript = dyn Fn(usize, u64) -> String + Send + Sync;

/// Running clients.
pub struct LoadGenerator {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<ResponseCounts>>,
    sent_requests: Arc<AtomicU64>,
}

/// Timeout of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

impl LoadGenerator {
    /// Starts clients that wait for `pause` between a response and the next request.
    pub fn start(address: SocketAddr, clients: usize, pause: Duration, script: Arc<RequestScript>) -> Self {
        let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let client = |number: usize| {
            let (stop, sent, script) = (stop.clone(), sent.clone(), script.clone());
            std::thread::spawn(move || run(address, number, pause, &*script, &stop, &sent))
        };
        let clients = (0..clients).map(client).collect();
        Self { stop, clients, sent_requests: sent }
    }

    /// Returns the number of requests sent so far.
    pub fn sent_requests(&self) -> u64 {
        self.sent_requests.load(Ordering::SeqCst)
    }

    /// Stops each client after its current response, and returns all results.
    pub fn stop(self) -> ResponseCounts {
        self.stop.store(true, Ordering::SeqCst);
        let mut total = ResponseCounts::default();
        self.clients.into_iter().filter_map(|c| c.join().ok()).for_each(|counts| total.add(counts));
        total
    }
}

fn run(
    address: SocketAddr,
    number: usize,
    pause: Duration,
    script: &RequestScript,
    stop: &AtomicBool,
    sent: &AtomicU64,
) -> ResponseCounts {
    let mut counts = ResponseCounts::default();
    let mut idle_connection: Option<BufReader<TcpStream>> = None;
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        let stream = match idle_connection.take() {
            Some(stream) => Ok(stream),
            None => connect(address),
        };
        let Ok(mut stream) = stream else {
            counts.unanswered += 1;
            std::thread::sleep(Duration::from_millis(10));
            continue;
        };
        let text = script(number, count);
        count += 1;
        sent.fetch_add(1, Ordering::SeqCst);
        let start = Instant::now();
        let response =
            stream.get_mut().write_all(text.as_bytes()).ok().and_then(|()| read_message(&mut stream));
        match response.as_ref().map(|a| a.status()) {
            None => counts.unanswered += 1,
            Some(429 | 503) => counts.rejected += 1,
            Some(500..) => counts.failed += 1,
            Some(_) => {
                counts.served += 1;
                counts.response_times.push(start.elapsed());
            }
        }
        let is_closing = |a: &crate::message::Message| a.header("connection").is_some_and(|c| c == "close");
        idle_connection = response.filter(|a| !is_closing(a)).map(|_| stream);
        if !pause.is_zero() {
            std::thread::sleep(pause);
        }
    }
    counts
}

fn connect(address: SocketAddr) -> std::io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    Ok(BufReader::new(stream))
}
