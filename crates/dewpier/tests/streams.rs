//! Request and answer bodies of any size through the platform's program, with bounded memory, over loopback sockets.

#[path = "common/sockets.rs"]
mod sockets;

use dewpier_standins::bulk::{self, BulkServer, Framing, ReceivedBody};
use dewpier_standins::message::read_head;
use dewpier_standins::rng::Rng;
use gannetproxy::engine::{
    Answer, AttemptContext, BackendListUpdate, Engine, EngineLimits, ListedBackend, Upstream, UpstreamResult,
};
use gannetproxy::{BackendEntry, BackendId, Class, Effect, Outcome, Request, Settings};
use serde_json::json;
use sockets::*;
use std::cell::RefCell;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const MB: usize = 1 << 20;
/// The number of concurrent streams in each direction.
const STREAMS: usize = 100;
/// The size of a stream; the environment variable `STREAM_MB` sets another one.
const STREAM_MB: usize = 4;
/// The maximum resident memory of the process during the streams, in kB.
const MAX_MEMORY_KB: u64 = 48 << 10;

fn start_proxy(bulk: &BulkServer) -> Proxy {
    let list = discovery_list(1, true, &[list_entry("s-0", bulk.address, "SERVING")]);
    let mut settings = settings();
    settings["projects"] = json!([{"name": "acme", "quota-per-s": 100_000.0, "share": 1.0}]);
    let mut config = build_config(&settings, &list);
    config["limits"] = json!({"cores": 1.0, "memory_mb": 48, "sockets": 1024});
    config["operator"] = json!("127.0.0.1:0");
    let proxy = Proxy::start_with_config(&config, idle_discovery().address);
    wait_for("positive check", || proxy.call("check").starts_with("YES"));
    proxy
}

/// Returns the size of a stream in bytes, the backend and the proxy.
fn start_streaming() -> (usize, BulkServer, Proxy) {
    let mb = std::env::var("STREAM_MB").ok().and_then(|mb| mb.parse().ok()).unwrap_or(STREAM_MB);
    let bulk = BulkServer::start();
    let proxy = start_proxy(&bulk);
    (mb * MB, bulk, proxy)
}

/// The head of a request without its framing header and its end.
fn head(class: &str, query: &str) -> String {
    let request = request_text(class, 20_000).replace("?q=1", &format!("?{query}"));
    request.split("Content-Length").next().unwrap().to_string()
}

/// Returns the maximum resident memory of the process so far, in kB.
fn max_memory_kb(proxy: &Proxy) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
    line.trim().strip_suffix(" kB").unwrap().parse().unwrap()
}

/// Sends a request without a body and returns the answer's status and the received body.
fn fetch(stream: &mut BufReader<TcpStream>, head: &str, wait: impl FnMut(usize)) -> (u16, ReceivedBody) {
    stream.get_mut().write_all(format!("{head}Content-Length: 0\r\n\r\n").as_bytes()).unwrap();
    let answer = read_head(stream).expect("an answer");
    (answer.status(), bulk::read_body(stream, &answer.headers, wait))
}

#[test]
fn a_hundred_long_answers_need_little_memory() {
    let (size, _bulk, proxy) = start_streaming();
    std::thread::scope(|scope| {
        for n in 0..STREAMS {
            let (proxy, framing) = (&proxy, ["length", "chunked", "close"][n % 3]);
            scope.spawn(move || {
                let mut stream = proxy.connect();
                let (status, received) =
                    fetch(&mut stream, &head("order", &format!("size={size}&framing={framing}")), |_| {});
                assert_eq!(
                    (status, received),
                    (200, ReceivedBody { size, is_correct: true, is_complete: true }),
                    "{framing}"
                );
                // The connection stays usable.
                let (status, received) = fetch(&mut stream, &head("look", "size=70000"), |_| {});
                assert_eq!((status, received.size, received.is_correct), (200, 70_000, true));
            });
        }
    });
    assert!(max_memory_kb(&proxy) < MAX_MEMORY_KB, "{} kB", max_memory_kb(&proxy));
    wait_for("end of all requests", || proxy.metric("pending") == 0);
    assert_eq!(proxy.metric("downstream_requests.order.completed"), STREAMS as u64);
    assert_eq!(proxy.metric("upstream_requests"), 2 * STREAMS as u64);
}

#[test]
fn a_hundred_long_request_bodies_need_little_memory() {
    let (size, bulk, proxy) = start_streaming();
    std::thread::scope(|scope| {
        for n in 0..STREAMS {
            let (proxy, framing) = (&proxy, [Framing::Length, Framing::Chunked][n % 2]);
            scope.spawn(move || {
                let mut stream = proxy.connect();
                bulk::write_body(stream.get_mut(), &head("order", "size=5"), framing, size, None).unwrap();
                let answer = read_message(&mut stream).expect("an answer");
                assert_eq!(answer.status(), 200, "{framing:?}");
                // The connection stays usable unless the answer closes it.
                if answer.header("connection") == Some("close") {
                    stream = proxy.connect();
                }
                assert_eq!(exchange(&mut stream, &request_text("look", 9000)).status(), 200);
            });
        }
    });
    assert!(max_memory_kb(&proxy) < MAX_MEMORY_KB, "{} kB", max_memory_kb(&proxy));
    let short_bodies = bulk.body_counts[1].load(Ordering::SeqCst);
    assert_eq!(bulk.body_counts[0].load(Ordering::SeqCst) + short_bodies, 2 * STREAMS);
    assert_eq!(short_bodies, STREAMS, "short bodies are counted separately");
}

#[test]
fn request_bodies_of_every_framing_and_size_arrive_unchanged() {
    let bulk = BulkServer::start();
    let proxy = start_proxy(&bulk);
    let mut stream = proxy.connect();
    let sizes = [0, 1, 65_535, 65_536, 65_537, 131_072, MB + 1];
    for size in sizes {
        for framing in [Framing::Length, Framing::Chunked] {
            for class in ["look", "save", "order"] {
                bulk::write_body(stream.get_mut(), &head(class, "size=3"), framing, size, None).unwrap();
                let answer =
                    read_message(&mut stream).unwrap_or_else(|| panic!("no answer: {size} {framing:?}"));
                assert_eq!(answer.status(), 200, "{size} {framing:?}");
                // hyper closes a connection after trailers and announces it.
                if answer.header("connection") == Some("close") {
                    stream = proxy.connect();
                }
            }
        }
    }
    // Empty bodies are forwarded without a length and are not counted.
    assert_eq!(bulk.body_counts[0].load(Ordering::SeqCst), (sizes.len() - 1) * 6);
    // An HTTP/1.0 client, a request target with the host, and a client that expects 100-continue.
    let old = head("look", "size=70000&framing=chunked").replace("HTTP/1.1", "HTTP/1.0");
    let mut stream = proxy.connect();
    let (status, received) = fetch(&mut stream, &old, |_| {});
    assert_eq!((status, received), (200, ReceivedBody { size: 70_000, is_correct: true, is_complete: true }));
    let absolute = head("look", "size=9").replace("GET /", "GET http://other.svc/");
    assert_eq!(fetch(&mut proxy.connect(), &absolute, |_| {}).0, 200);
    let mut stream = proxy.connect();
    let expects =
        format!("{}Expect: 100-continue\r\nContent-Length: 100000\r\n\r\n", head("order", "size=1"));
    stream.get_mut().write_all(expects.as_bytes()).unwrap();
    assert_eq!(read_head(&mut stream).expect("an interim answer").status(), 100);
    let mut sent = 0;
    while sent < 100_000 {
        let piece = bulk::pattern_bytes(sent, 100_000 - sent);
        stream.get_mut().write_all(piece).unwrap();
        sent += piece.len();
    }
    assert_eq!(read_message(&mut stream).expect("an answer").status(), 200);
    // Two requests in one write.
    let mut stream = proxy.connect();
    let mut both = Vec::new();
    bulk::write_body(&mut both, &head("look", "size=2"), Framing::Length, 100, None).unwrap();
    both.extend_from_slice(request_text("look", 9000).as_bytes());
    stream.get_mut().write_all(&both).unwrap();
    assert_eq!(
        [read_message(&mut stream).unwrap().status(), read_message(&mut stream).unwrap().status()],
        [200, 200]
    );
}

#[test]
fn truncated_answers_are_reported_as_truncated() {
    let bulk = BulkServer::start();
    let proxy = start_proxy(&bulk);
    let mut rng = Rng::from_env("SEED", 35);
    for n in 0..40 {
        let framing = ["length", "chunked"][n % 2];
        let size = 70_000 + rng.below(MB);
        let cut = 66_000 + rng.below(size - 66_000);
        let query = format!("size={size}&framing={framing}&cut={cut}");
        let (status, received) = fetch(&mut proxy.connect(), &head("order", &query), |_| {});
        assert_eq!((status, received.is_correct, received.is_complete), (200, true, false), "{query}");
        assert!(received.size <= cut, "{query}: {received:?}");
    }
    wait_for("end of all requests", || proxy.metric("pending") == 0);
    assert_eq!(proxy.metric("downstream_requests.order.failed"), 40);
    assert_eq!(proxy.metric("downstream_requests.order.completed"), 0);
}

#[test]
fn truncated_request_bodies_never_arrive_as_complete() {
    let bulk = BulkServer::start();
    let proxy = start_proxy(&bulk);
    let mut rng = Rng::from_env("SEED", 36);
    for n in 0..40 {
        let framing = [Framing::Length, Framing::Chunked][n % 2];
        let size = 70_000 + rng.below(MB);
        let cut = 66_000 + rng.below(size - 66_000);
        let mut stream = proxy.connect();
        bulk::write_body(stream.get_mut(), &head("order", "size=5"), framing, size, Some(cut)).unwrap();
        stream.get_mut().shutdown(std::net::Shutdown::Write).unwrap();
        let answer = read_message(&mut stream).map(|answer| answer.status());
        assert!(answer.is_none_or(|status| status >= 400), "{answer:?}");
    }
    wait_for("end of all requests", || proxy.metric("pending") == 0);
    assert_eq!(bulk.body_counts[0].load(Ordering::SeqCst), 0);
    assert_eq!(proxy.metric("upstream_requests"), 0, "no complete request was sent");
}

#[test]
fn answer_before_the_end_of_the_request_body_is_forwarded() {
    let bulk = BulkServer::start();
    let proxy = start_proxy(&bulk);
    let mut stream = proxy.connect();
    let text = format!("{}Content-Length: {}\r\n\r\n", head("order", "early=1"), 8 * MB);
    stream.get_mut().write_all(text.as_bytes()).unwrap();
    stream.get_mut().write_all(bulk::pattern_bytes(0, 60_000)).unwrap();
    assert_eq!(read_message(&mut stream).expect("an answer").status(), 503);
}

#[test]
fn slow_clients_with_a_sufficient_rate_are_served() {
    let bulk = BulkServer::start();
    let proxy = start_proxy(&bulk);
    std::thread::scope(|scope| {
        // 64 kB per second for 4 s, longer than any fixed limit of a short request.
        let uploads = scope.spawn(|| {
            let mut stream = proxy.connect();
            let head = format!("{}Content-Length: 256000\r\n\r\n", head("order", "size=5"));
            for piece in head.as_bytes().chunks(head.len() / 10) {
                stream.get_mut().write_all(piece).unwrap();
                std::thread::sleep(Duration::from_millis(150));
            }
            let mut sent = 0;
            while sent < 256_000 {
                let piece = bulk::pattern_bytes(sent, 6400.min(256_000 - sent));
                stream.get_mut().write_all(piece).unwrap();
                sent += piece.len();
                std::thread::sleep(Duration::from_millis(100));
            }
            assert_eq!(read_message(&mut stream).expect("an answer").status(), 200);
        });
        let reads = scope.spawn(|| {
            let started_at = Instant::now();
            let (mut stream, size) = (proxy.connect(), 6 * MB);
            let query = format!("size={size}&framing=chunked");
            let (status, received) = fetch(&mut stream, &head("order", &query), |read| {
                std::thread::sleep(Duration::from_secs(4).mul_f64(read as f64 / size as f64));
            });
            assert_eq!((status, received), (200, ReceivedBody { size, is_correct: true, is_complete: true }));
            assert!(started_at.elapsed() > Duration::from_secs(3), "the client did not read slowly");
        });
        uploads.join().unwrap();
        reads.join().unwrap();
    });
}

/// Guards against a stall limit that measures what the system accepts for a client and not what the client takes: with
/// some megabytes accepted, a client that reads 64 kB a second shows no progress for longer than the limit.
#[test]
fn clients_that_read_steadily_are_not_cut_off_and_those_that_stop_are() {
    const RATE: f64 = 64_000.0;
    /// Longer than the stall limit of 15 s. A client that was cut off goes on reading what its system has for longer.
    const READ_TIME: Duration = Duration::from_secs(30);
    let bulk = BulkServer::start();
    let proxy = start_proxy(&bulk);
    let size = 32 * MB;
    let begin = || {
        let mut stream = proxy.connect();
        let head = head("order", &format!("size={size}&framing=length"));
        stream.get_mut().write_all(format!("{head}Content-Length: 0\r\n\r\n").as_bytes()).unwrap();
        assert_eq!(read_head(&mut stream).expect("an answer").status(), 200);
        stream
    };
    std::thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| {
                let (mut stream, started_at, mut received) = (begin(), Instant::now(), 0);
                let mut piece = [0; 6400];
                while started_at.elapsed() < READ_TIME {
                    let read = stream.read(&mut piece).expect("more of the answer");
                    assert!(read > 0, "cut off after {received} bytes, {:?}", started_at.elapsed());
                    received += read;
                    let due = Duration::from_secs_f64(received as f64 / RATE);
                    std::thread::sleep(due.saturating_sub(started_at.elapsed()));
                }
                // The rest at full speed.
                let mut piece = vec![0; 1 << 20];
                while received < size {
                    let read = stream.read(&mut piece).unwrap_or_default();
                    assert!(read > 0, "cut off after {received} bytes");
                    received += read;
                }
            });
        }
        scope.spawn(|| {
            let mut stopped = begin();
            std::thread::sleep(READ_TIME);
            let mut received = 0;
            let mut piece = [0; 64 << 10];
            while let Ok(read) = stopped.read(&mut piece)
                && read > 0
            {
                received += read;
            }
            assert!(received < size, "the client that stopped was cut off");
        });
    });
}

#[test]
fn stalled_long_bodies_do_not_block_short_requests() {
    let bulk = BulkServer::start();
    let proxy = start_proxy(&bulk);
    // More than the capacity, at once: a client that has stalled is sent away after some seconds.
    let mut stalled = Vec::new();
    for _ in 0..250 {
        let mut stream = proxy.connect();
        let text = format!("{}Content-Length: {MB}\r\n\r\n", head("order", "size=5"));
        stream.get_mut().write_all(text.as_bytes()).unwrap();
        stalled.push(stream);
    }
    assert_eq!(proxy.exchange(&request_text("save", 9000)).status(), 200);
    // A rejection arrives at once; the other requests get no such answer.
    let mut rejected = 0;
    for stream in &mut stalled {
        stream.get_mut().set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        rejected += usize::from(read_message(stream).is_some_and(|answer| answer.status() == 503));
    }
    assert!(rejected > 0, "no request was rejected");
}

/// An upstream whose attempts wait for another attempt and then request the exclusive claim.
struct ClaimingUpstream(Rc<RefCell<Vec<bool>>>);

impl Upstream for ClaimingUpstream {
    type Payload = ();
    type Reply = ();
    type Endpoint = ();

    fn create_endpoint(&self, _: std::net::SocketAddr) {}
    fn set_address(&self, _: &(), _: std::net::SocketAddr) {}
    fn release_connections(&self, _: &()) {}
    fn close_expired(&self, _: &()) {}
    fn is_full(&self) -> bool {
        false
    }
    fn oldest_idle_since(&self, _: &()) -> Option<tokio::time::Instant> {
        None
    }
    fn close_oldest_idle(&self, _: &()) {}

    fn attempt(
        &self,
        _: Rc<()>,
        _: Rc<()>,
        attempt: AttemptContext<()>,
    ) -> impl Future<Output = UpstreamResult<()>> + 'static {
        let claims = self.0.clone();
        async move {
            // Waits for a second attempt.
            let started = claims.clone();
            started.borrow_mut().push(false);
            while started.borrow().len() < 2 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            let is_claimed = attempt.exclusive_claim.claim();
            claims.borrow_mut().push(is_claimed);
            tokio::time::sleep(Duration::from_millis(50)).await;
            match is_claimed {
                true => UpstreamResult { reply: Some(()), ..UpstreamResult::without_reply(Outcome::Served) },
                false => UpstreamResult::without_reply(Outcome::NeverSent),
            }
        }
    }

    fn probe(&self, _: Rc<()>, _: AttemptContext<()>) -> impl Future<Output = UpstreamResult<()>> + 'static {
        std::future::ready(UpstreamResult::without_reply(Outcome::Served))
    }
}

#[test]
fn only_one_of_two_attempts_claims_a_body_that_cannot_be_repeated() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let claims: Rc<RefCell<Vec<bool>>> = Rc::default();
        let class = Class { aim: 0.2, deadline: 20.0, effect: Effect::Safe, ..Class::default() };
        // Attempts are not cancelled, so that both try to claim the body.
        let settings = Settings {
            classes: vec![class],
            can_cancel: false,
            allow_concurrent_attempts: true,
            max_attempts: 4,
            ..Settings::default()
        };
        let limits = EngineLimits { drain_grace: WAIT_TIMEOUT, max_open_requests: 10 };
        let engine = Engine::start(settings, limits, 7, ClaimingUpstream(claims.clone()));
        let listed_backend = |n| ListedBackend {
            entry: BackendEntry { id: BackendId(n), ..BackendEntry::default() },
            address: ([127, 0, 0, 1], 1).into(),
        };
        engine.update_list(BackendListUpdate::Remembered(vec![
            listed_backend(1),
            listed_backend(2),
            listed_backend(3),
        ]));
        let request = Request { budget: 15.0, ..Request::default() };
        let (_, answer) = engine.submit_request(None, request, ()).unwrap();
        let result = tokio::time::timeout(WAIT_TIMEOUT, answer).await.expect("an answer in time");
        assert!(matches!(result, Ok(Answer::Served(()))));
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(
            claims.borrow().iter().filter(|is_claimed| **is_claimed).count(),
            1,
            "{:?}",
            claims.borrow()
        );
        assert!(claims.borrow().len() >= 4, "there was no second attempt: {:?}", claims.borrow());
    });
}
