//! Bodies and answers of any size through the platform's program, in little memory, over loopback sockets.

#[path = "common/sockets.rs"]
mod sockets;

use dewpier_standins::bulk::{self, Bulk, Came, Framing};
use dewpier_standins::message::read_head;
use dewpier_standins::rng::Rng;
use gannetproxy::engine::{
    Answer, Attempt, BackendListUpdate, Engine, EngineLimits, ListedBackend, Upstream, UpstreamResult,
};
use gannetproxy::{BackendEntry, BackendId, Class, Effect, Outcome, Request, Settings};
use serde_json::json;
use sockets::*;
use std::cell::RefCell;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const MB: usize = 1 << 20;
/// Streams at once in each direction, and their size; more by the environment variable `STREAM_MB`.
const STREAMS: usize = 100;
const STREAM_MB: usize = 4;
/// What the process may hold of memory while they are under way, in kB.
const MOST_KB: u64 = 48 << 10;

fn proxy(bulk: &Bulk) -> Proxy {
    let listed = discovery_list(1, true, &[list_entry("s-0", bulk.address, "SERVING")]);
    let mut settings = settings();
    settings["projects"] = json!([{"name": "acme", "quota-per-s": 100_000.0, "share": 1.0}]);
    let mut config = build_config(&settings, &listed);
    config["limits"] = json!({"cores": 1.0, "memory_mb": 48, "sockets": 1024});
    config["operator"] = json!("127.0.0.1:0");
    let proxy = Proxy::start_with_config(&config, idle_discovery().address);
    wait_for("a yes", || proxy.call("check").starts_with("YES"));
    proxy
}

/// How long streams are, in bytes, and who they go through.
fn streaming() -> (usize, Bulk, Proxy) {
    let mb = std::env::var("STREAM_MB").ok().and_then(|mb| mb.parse().ok()).unwrap_or(STREAM_MB);
    let bulk = Bulk::start();
    let proxy = proxy(&bulk);
    (mb * MB, bulk, proxy)
}

/// A request's head, its framing and its end left off.
fn head(class: &str, query: &str) -> String {
    let request = request_text(class, 20_000).replace("?q=1", &format!("?{query}"));
    request.split("Content-Length").next().unwrap().to_string()
}

/// The most memory that the process has held, in kB.
fn most_held(proxy: &Proxy) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
    line.trim().strip_suffix(" kB").unwrap().parse().unwrap()
}

/// An answer to a request without a body: its status and how its body came.
fn fetch(stream: &mut BufReader<TcpStream>, head: &str, wait: impl FnMut(usize)) -> (u16, Came) {
    stream.get_mut().write_all(format!("{head}Content-Length: 0\r\n\r\n").as_bytes()).unwrap();
    let answer = read_head(stream).expect("an answer");
    (answer.status(), bulk::read(stream, &answer.headers, wait))
}

#[test]
fn long_answers_pass_by_the_hundred_in_little_memory() {
    let (size, _bulk, proxy) = streaming();
    std::thread::scope(|scope| {
        for n in 0..STREAMS {
            let (proxy, framing) = (&proxy, ["length", "chunked", "close"][n % 3]);
            scope.spawn(move || {
                let mut stream = proxy.connect();
                let (status, came) =
                    fetch(&mut stream, &head("order", &format!("size={size}&framing={framing}")), |_| {});
                assert_eq!((status, came), (200, Came { size, right: true, whole: true }), "{framing}");
                // The connection goes on.
                let (status, came) = fetch(&mut stream, &head("look", "size=70000"), |_| {});
                assert_eq!((status, came.size, came.right), (200, 70_000, true));
            });
        }
    });
    assert!(most_held(&proxy) < MOST_KB, "{} kB", most_held(&proxy));
    wait_for("all counted", || proxy.metric("pending") == 0);
    assert_eq!(proxy.metric("downstream_requests.order.completed"), STREAMS as u64);
    assert_eq!(proxy.metric("upstream_requests"), 2 * STREAMS as u64);
}

#[test]
fn long_bodies_pass_by_the_hundred_in_little_memory() {
    let (size, bulk, proxy) = streaming();
    std::thread::scope(|scope| {
        for n in 0..STREAMS {
            let (proxy, framing) = (&proxy, [Framing::Length, Framing::Chunked][n % 2]);
            scope.spawn(move || {
                let mut stream = proxy.connect();
                bulk::write(stream.get_mut(), &head("order", "size=5"), framing, size, None).unwrap();
                let answer = read(&mut stream).expect("an answer");
                assert_eq!(answer.status(), 200, "{framing:?}");
                // The connection goes on, unless it is said to end.
                if answer.header("connection") == Some("close") {
                    stream = proxy.connect();
                }
                assert_eq!(ask(&mut stream, &request_text("look", 9000)).status(), 200);
            });
        }
    });
    assert!(most_held(&proxy) < MOST_KB, "{} kB", most_held(&proxy));
    let looks = bulk.bodies[1].load(Ordering::SeqCst);
    assert_eq!(bulk.bodies[0].load(Ordering::SeqCst) + looks, 2 * STREAMS);
    assert_eq!(looks, STREAMS, "short bodies are others than these");
}

#[test]
fn bodies_of_every_framing_and_size_arrive_as_they_are() {
    let bulk = Bulk::start();
    let proxy = proxy(&bulk);
    let mut stream = proxy.connect();
    let sizes = [0, 1, 65_535, 65_536, 65_537, 131_072, MB + 1];
    for size in sizes {
        for framing in [Framing::Length, Framing::Chunked] {
            for class in ["look", "save", "order"] {
                bulk::write(stream.get_mut(), &head(class, "size=3"), framing, size, None).unwrap();
                let answer = read(&mut stream).unwrap_or_else(|| panic!("no answer: {size} {framing:?}"));
                assert_eq!(answer.status(), 200, "{size} {framing:?}");
                // hyper keeps no connection on which trailers came, and says so.
                if answer.header("connection") == Some("close") {
                    stream = proxy.connect();
                }
            }
        }
    }
    // An empty one goes on without a length.
    assert_eq!(bulk.bodies[0].load(Ordering::SeqCst), (sizes.len() - 1) * 6);
    // A client of an older version, one that names the host in its target, and one that waits to be told to go on.
    let old = head("look", "size=70000&framing=chunked").replace("HTTP/1.1", "HTTP/1.0");
    let mut stream = proxy.connect();
    let (status, came) = fetch(&mut stream, &old, |_| {});
    assert_eq!((status, came), (200, Came { size: 70_000, right: true, whole: true }));
    let whole = head("look", "size=9").replace("GET /", "GET http://other.svc/");
    assert_eq!(fetch(&mut proxy.connect(), &whole, |_| {}).0, 200);
    let mut stream = proxy.connect();
    let expects =
        format!("{}Expect: 100-continue\r\nContent-Length: 100000\r\n\r\n", head("order", "size=1"));
    stream.get_mut().write_all(expects.as_bytes()).unwrap();
    assert_eq!(read_head(&mut stream).expect("a word").status(), 100);
    let mut at = 0;
    while at < 100_000 {
        let piece = bulk::part(at, 100_000 - at);
        stream.get_mut().write_all(piece).unwrap();
        at += piece.len();
    }
    assert_eq!(read(&mut stream).expect("an answer").status(), 200);
    // Two requests in one piece.
    let mut stream = proxy.connect();
    let mut both = Vec::new();
    bulk::write(&mut both, &head("look", "size=2"), Framing::Length, 100, None).unwrap();
    both.extend_from_slice(request_text("look", 9000).as_bytes());
    stream.get_mut().write_all(&both).unwrap();
    assert_eq!([read(&mut stream).unwrap().status(), read(&mut stream).unwrap().status()], [200, 200]);
}

#[test]
fn answers_that_break_off_are_seen_to() {
    let bulk = Bulk::start();
    let proxy = proxy(&bulk);
    let mut rng = Rng::from_env("SEED", 35);
    for n in 0..40 {
        let framing = ["length", "chunked"][n % 2];
        let size = 70_000 + rng.below(MB);
        let cut = 66_000 + rng.below(size - 66_000);
        let query = format!("size={size}&framing={framing}&cut={cut}");
        let (status, came) = fetch(&mut proxy.connect(), &head("order", &query), |_| {});
        assert_eq!((status, came.right, came.whole), (200, true, false), "{query}");
        assert!(came.size <= cut, "{query}: {came:?}");
    }
    wait_for("all counted", || proxy.metric("pending") == 0);
    assert_eq!(proxy.metric("downstream_requests.order.failed"), 40);
    assert_eq!(proxy.metric("downstream_requests.order.completed"), 0);
}

#[test]
fn bodies_that_break_off_never_arrive_whole() {
    let bulk = Bulk::start();
    let proxy = proxy(&bulk);
    let mut rng = Rng::from_env("SEED", 36);
    for n in 0..40 {
        let framing = [Framing::Length, Framing::Chunked][n % 2];
        let size = 70_000 + rng.below(MB);
        let cut = 66_000 + rng.below(size - 66_000);
        let mut stream = proxy.connect();
        bulk::write(stream.get_mut(), &head("order", "size=5"), framing, size, Some(cut)).unwrap();
        stream.get_mut().shutdown(std::net::Shutdown::Write).unwrap();
        let answer = read(&mut stream).map(|answer| answer.status());
        assert!(answer.is_none_or(|status| status >= 400), "{answer:?}");
    }
    wait_for("all ended", || proxy.metric("pending") == 0);
    assert_eq!(bulk.bodies[0].load(Ordering::SeqCst), 0);
    assert_eq!(proxy.metric("upstream_requests"), 0, "none was written whole");
}

#[test]
fn an_answer_before_the_body_has_come_is_passed_on() {
    let bulk = Bulk::start();
    let proxy = proxy(&bulk);
    let mut stream = proxy.connect();
    let text = format!("{}Content-Length: {}\r\n\r\n", head("order", "early=1"), 8 * MB);
    stream.get_mut().write_all(text.as_bytes()).unwrap();
    stream.get_mut().write_all(bulk::part(0, 60_000)).unwrap();
    assert_eq!(read(&mut stream).expect("an answer").status(), 503);
}

#[test]
fn slow_peers_are_served_by_their_rate() {
    let bulk = Bulk::start();
    let proxy = proxy(&bulk);
    std::thread::scope(|scope| {
        // 64 kB a second, for 4 s: longer than any fixed time that a short request has.
        let uploads = scope.spawn(|| {
            let mut stream = proxy.connect();
            let head = format!("{}Content-Length: 256000\r\n\r\n", head("order", "size=5"));
            for byte in head.as_bytes().chunks(head.len() / 10) {
                stream.get_mut().write_all(byte).unwrap();
                std::thread::sleep(Duration::from_millis(150));
            }
            let mut at = 0;
            while at < 256_000 {
                let piece = bulk::part(at, 6400.min(256_000 - at));
                stream.get_mut().write_all(piece).unwrap();
                at += piece.len();
                std::thread::sleep(Duration::from_millis(100));
            }
            assert_eq!(read(&mut stream).expect("an answer").status(), 200);
        });
        let reads = scope.spawn(|| {
            let begun = Instant::now();
            let (mut stream, size) = (proxy.connect(), 6 * MB);
            let query = format!("size={size}&framing=chunked");
            let (status, came) = fetch(&mut stream, &head("order", &query), |read| {
                std::thread::sleep(Duration::from_secs(4).mul_f64(read as f64 / size as f64));
            });
            assert_eq!((status, came), (200, Came { size, right: true, whole: true }));
            assert!(begun.elapsed() > Duration::from_secs(3), "it was not slow");
        });
        uploads.join().unwrap();
        reads.join().unwrap();
    });
}

#[test]
fn long_bodies_that_do_not_come_keep_no_short_one_out() {
    let bulk = Bulk::start();
    let proxy = proxy(&bulk);
    // Twice as many as there is room for.
    let mut stay = Vec::new();
    let mut refused = 0;
    for _ in 0..200 {
        let mut stream = proxy.connect();
        let text = format!("{}Content-Length: {MB}\r\n\r\n", head("order", "size=5"));
        stream.get_mut().write_all(text.as_bytes()).unwrap();
        // Who is refused is told at once; the others are asked for nothing.
        stream.get_mut().set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        refused += usize::from(read(&mut stream).is_some_and(|answer| answer.status() == 503));
        stay.push(stream);
    }
    assert!(refused > 0, "there is room for all of them");
    assert_eq!(proxy.exchange(&request_text("save", 9000)).status(), 200);
}

/// An upstream whose attempts wait, then want to be the only one.
struct Waits(Rc<RefCell<Vec<bool>>>);

impl Upstream for Waits {
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
        attempt: Attempt<()>,
    ) -> impl Future<Output = UpstreamResult<()>> + 'static {
        let seen = self.0.clone();
        async move {
            // Until another attempt is out too.
            let out = seen.clone();
            out.borrow_mut().push(false);
            while out.borrow().len() < 2 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            let only = attempt.exclusive_claim.claim();
            seen.borrow_mut().push(only);
            tokio::time::sleep(Duration::from_millis(50)).await;
            match only {
                true => UpstreamResult { reply: Some(()), ..UpstreamResult::without_reply(Outcome::Served) },
                false => UpstreamResult::without_reply(Outcome::NeverSent),
            }
        }
    }

    fn probe(&self, _: Rc<()>, _: Attempt<()>) -> impl Future<Output = UpstreamResult<()>> + 'static {
        std::future::ready(UpstreamResult::without_reply(Outcome::Served))
    }
}

#[test]
fn of_two_attempts_one_alone_gets_a_body_that_goes_once() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let seen: Rc<RefCell<Vec<bool>>> = Rc::default();
        let class = Class { aim: 0.2, deadline: 20.0, effect: Effect::Safe, ..Class::default() };
        // Attempts that lost are not cancelled, so that both get as far.
        let settings = Settings {
            classes: vec![class],
            can_cancel: false,
            allow_concurrent_attempts: true,
            max_attempts: 4,
            ..Settings::default()
        };
        let bounds = EngineLimits { drain_grace: LONG, max_open_requests: 10 };
        let engine = Engine::start(settings, bounds, 7, Waits(seen.clone()));
        let listed = |n| ListedBackend {
            entry: BackendEntry { id: BackendId(n), ..BackendEntry::default() },
            address: ([127, 0, 0, 1], 1).into(),
        };
        engine.update_list(BackendListUpdate::Remembered(vec![listed(1), listed(2), listed(3)]));
        let request = Request { budget: 15.0, ..Request::default() };
        let (_, answer) = engine.submit_request(None, request, ()).unwrap();
        let answered = tokio::time::timeout(LONG, answer).await.expect("an answer in time");
        assert!(matches!(answered, Ok(Answer::Served(()))));
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(seen.borrow().iter().filter(|only| **only).count(), 1, "{:?}", seen.borrow());
        assert!(seen.borrow().len() >= 4, "a second one was out: {:?}", seen.borrow());
    });
}
