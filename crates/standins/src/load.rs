//! Clients that ask without pause, each on a connection of its own, and what became of it.

use crate::message::read_message;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// What became of requests. Every one that was sent is in exactly one of the four.
#[derive(Clone, Debug, Default)]
pub struct ResponseCounts {
    /// Answered below 500.
    pub served: u64,
    /// Answered 429 or 503.
    pub rejected: u64,
    /// Answered with another status from 500 on.
    pub failed: u64,
    /// Not answered: the connection broke or stayed silent.
    pub unanswered: u64,
    /// How long each that was served took.
    pub response_times: Vec<Duration>,
}

impl ResponseCounts {
    /// Adds another.
    pub fn add(&mut self, other: Self) {
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.unanswered += other.unanswered;
        self.response_times.extend(other.response_times);
    }

    /// All requests.
    pub fn total(&self) -> u64 {
        self.served + self.rejected + self.failed + self.unanswered
    }

    /// The time that this part of the served requests stayed within, from 0 to 1.
    pub fn quantile(&mut self, part: f64) -> Duration {
        self.response_times.sort_unstable();
        let last = self.response_times.len().saturating_sub(1);
        self.response_times.get((last as f64 * part).round() as usize).copied().unwrap_or_default()
    }
}

/// A request that is sent, by the number of the client and that of the request.
pub type RequestScript = dyn Fn(usize, u64) -> String + Send + Sync;

/// Clients at work.
pub struct LoadGenerator {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<ResponseCounts>>,
    sent_requests: Arc<AtomicU64>,
}

/// Longer than any answer may take.
const PATIENCE: Duration = Duration::from_secs(30);

impl LoadGenerator {
    /// So many clients, who wait so long between an answer and the next request.
    pub fn start(address: SocketAddr, clients: usize, pause: Duration, script: Arc<RequestScript>) -> Self {
        let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let client = |number: usize| {
            let (stop, sent, script) = (stop.clone(), sent.clone(), script.clone());
            std::thread::spawn(move || run(address, number, pause, &*script, &stop, &sent))
        };
        let clients = (0..clients).map(client).collect();
        Self { stop, clients, sent_requests: sent }
    }

    /// Requests sent so far.
    pub fn sent_requests(&self) -> u64 {
        self.sent_requests.load(Ordering::SeqCst)
    }

    /// Has each client end after the answer that it waits for, and tells what became of all.
    pub fn stop(self) -> ResponseCounts {
        self.stop.store(true, Ordering::SeqCst);
        let mut tally = ResponseCounts::default();
        self.clients.into_iter().filter_map(|c| c.join().ok()).for_each(|one| tally.add(one));
        tally
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
    let mut tally = ResponseCounts::default();
    let mut kept: Option<BufReader<TcpStream>> = None;
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        let stream = match kept.take() {
            Some(stream) => Ok(stream),
            None => connect(address),
        };
        let Ok(mut stream) = stream else {
            tally.unanswered += 1;
            std::thread::sleep(Duration::from_millis(10));
            continue;
        };
        let text = script(number, count);
        count += 1;
        sent.fetch_add(1, Ordering::SeqCst);
        let start = Instant::now();
        let answer =
            stream.get_mut().write_all(text.as_bytes()).ok().and_then(|()| read_message(&mut stream));
        match answer.as_ref().map(|a| a.status()) {
            None => tally.unanswered += 1,
            Some(429 | 503) => tally.rejected += 1,
            Some(500..) => tally.failed += 1,
            Some(_) => {
                tally.served += 1;
                tally.response_times.push(start.elapsed());
            }
        }
        let closing = |a: &crate::message::Message| a.header("connection").is_some_and(|c| c == "close");
        kept = answer.filter(|a| !closing(a)).map(|_| stream);
        if !pause.is_zero() {
            std::thread::sleep(pause);
        }
    }
    tally
}

fn connect(address: SocketAddr) -> std::io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    Ok(BufReader::new(stream))
}
