//! Backends that send malformed answers, extra bytes, or answers that are late.

mod common;

use common::sockets::*;
use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const GOOD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

/// A backend that answers every request with these bytes and keeps the connection open.
fn backend_sending(bytes: &'static str) -> ScriptedServer {
    ScriptedServer::new(move |_, _| ScriptedReply::Respond(bytes.to_string()))
}

#[test]
fn malformed_answer_fails_the_request_soon_without_a_retry() {
    let mut long = String::from("HTTP/1.1 200 OK\r\n");
    for i in 0..2000 {
        long += &format!("X-{i}: {}\r\n", "y".repeat(64));
    }
    let long: &'static str = long.leak();
    for bytes in [
        "\u{1}\u{2}noise noise noise\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5",
        "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
        long,
    ] {
        let backend = backend_sending(bytes);
        let proxy = Proxy::for_backends(&[&backend]);
        let start = Instant::now();
        let status = proxy.exchange(&request_text("order", 19_000)).status();
        assert!(status != 200 && status != 429 && status != 503, "{status} for {bytes:.60}");
        // The client would wait 19 s.
        assert!(start.elapsed() < Duration::from_secs(10), "{:?} for {bytes:.60}", start.elapsed());
        assert_eq!(backend.request_count(), 1, "{bytes:.60}");
    }
}

#[test]
fn bytes_after_an_answer_are_not_used_as_the_next_answer() {
    for extra in ["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", "\u{1}noise"] {
        let backend = ScriptedServer::new(move |before, _| match before {
            0 => ScriptedReply::RespondInTwoParts(
                GOOD.to_string(),
                Duration::from_millis(5),
                extra.to_string(),
            ),
            _ => ScriptedReply::Respond(GOOD.to_string()),
        });
        let proxy = Proxy::for_backends(&[&backend]);
        for _ in 0..2 {
            let reply = proxy.exchange(&request_text("order", 9000));
            assert_eq!((reply.status(), reply.body.as_slice()), (200, b"hello".as_slice()), "{extra}");
        }
        assert_eq!(backend.connection_count.load(Ordering::SeqCst), 2, "{extra}");
    }
}

#[test]
fn informational_answers_are_skipped() {
    // Informational answers do not count as the start of the answer, which may follow much later.
    let backend = ScriptedServer::new(move |_, _| {
        let informational = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
        ScriptedReply::RespondInTwoParts(
            informational.to_string(),
            Duration::from_millis(1500),
            GOOD.to_string(),
        )
    });
    let proxy = Proxy::for_backends(&[&backend]);
    let reply = proxy.exchange(&request_text("order", 19_000));
    assert_eq!((reply.status(), reply.body.as_slice()), (200, b"hello".as_slice()));
}

#[test]
fn unreadable_load_report_is_ignored() {
    for report in ["{", "[]", "{\"avg_ms\":\"x\"}", "{\"avg_ms\":-5}", "{\"avg_ms\":1e999}"] {
        let text = format!("HTTP/1.1 200 OK\r\nX-Pressure: {report}\r\nContent-Length: 5\r\n\r\nhello");
        let backend = ScriptedServer::new(move |_, _| ScriptedReply::Respond(text.clone()));
        let proxy = Proxy::for_backends(&[&backend]);
        assert_eq!(proxy.exchange(&request_text("order", 9000)).status(), 200, "{report}");
    }
}

#[test]
fn request_reset_before_its_last_byte_is_sent_again() {
    // Each connection serves one request and is reset when the next one begins.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut stream = BufReader::with_capacity(4096, stream);
                if read_message(&mut stream).is_some() {
                    stream.get_mut().write_all(GOOD.as_bytes()).unwrap();
                    // Dropping the stream with unread bytes resets the connection.
                    let _ = stream.get_mut().read(&mut [0]);
                }
            });
        }
    });
    let known = discovery_list(1, true, &[list_entry("s-1", address, "SERVING")]);
    let mut settings = settings();
    settings["caps"]["max-attempts"] = json!(1);
    let proxy = Proxy::start(&settings, &known, idle_discovery().address);
    // The proxy delays the last byte only briefly: on a busy host the reset may arrive too late.
    wait_for("second answer on a persistent connection", || {
        assert_eq!(proxy.exchange(&request_text("order", 9000)).status(), 200);
        std::thread::sleep(Duration::from_millis(100));
        proxy.exchange(&request_text("order", 9000)).status() == 200
    });
}

/// Settings of a first-tier proxy with one attempt per request and an aim of `aim_seconds`.
fn first_tier_settings(aim_seconds: f64) -> serde_json::Value {
    let mut settings = settings();
    settings["tier"] = json!(0);
    settings["caps"]["max-attempts"] = json!(1);
    for class in settings["classes"].as_array_mut().unwrap() {
        class["on-time"] = json!(aim_seconds);
    }
    settings
}

/// Backends that answer after `work_time`, and wait while `stuck` is set, for `WAIT_TIMEOUT` at most.
fn start_backends<const N: usize>(stuck: &Arc<AtomicBool>, work_time: Duration) -> [ScriptedServer; N] {
    std::array::from_fn(|_| {
        let stuck = stuck.clone();
        ScriptedServer::new(move |_, _| {
            std::thread::sleep(work_time);
            let start = Instant::now();
            while stuck.load(Ordering::SeqCst) && start.elapsed() < WAIT_TIMEOUT {
                std::thread::sleep(Duration::from_millis(5));
            }
            ScriptedReply::Respond(GOOD.to_string())
        })
    })
}

fn count_requests(backends: &[ScriptedServer]) -> usize {
    backends.iter().map(ScriptedServer::request_count).sum()
}

#[test]
fn requests_do_not_queue_at_a_hanging_backend() {
    // The other backend goes on answering and may have more requests in flight.
    let stuck = Arc::new(AtomicBool::new(false));
    let [hanging] = start_backends(&stuck, Duration::from_millis(50));
    let [working] = start_backends(&Arc::default(), Duration::from_millis(50));
    let proxy = Proxy::start(
        &first_tier_settings(20.0),
        &known_list(&[&hanging, &working]),
        idle_discovery().address,
    );
    let ask = || proxy.exchange(&request_text("order", 19_000)).status();
    wait_for("answer of each", || ask() == 200 && hanging.request_count() > 1 && working.request_count() > 1);
    stuck.store(true, Ordering::SeqCst);
    std::thread::scope(|scope| {
        let before = hanging.request_count();
        while hanging.request_count() == before {
            scope.spawn(ask);
            std::thread::sleep(Duration::from_millis(200));
        }
        std::thread::sleep(Duration::from_secs(1));
        for _ in 0..5 {
            let requests = [(); 3].map(|()| scope.spawn(ask));
            assert!(requests.into_iter().all(|request| request.join().unwrap() == 200));
        }
        assert_eq!(hanging.request_count(), before + 1);
        stuck.store(false, Ordering::SeqCst);
    });
}

#[test]
fn few_requests_per_backend_are_never_an_overload() {
    let stuck = Arc::new(AtomicBool::new(false));
    let backends: [ScriptedServer; 4] = start_backends(&stuck, Duration::ZERO);
    let mut settings = first_tier_settings(6.0);
    settings["n-instances"] = json!(2);
    let proxy = Proxy::start(&settings, &known_list(&backends.each_ref()), idle_discovery().address);
    let ask = || proxy.exchange(&request_text("order", 19_000)).status();
    (0..30).for_each(|_| assert_eq!(ask(), 200));
    stuck.store(true, Ordering::SeqCst);
    std::thread::scope(|scope| {
        for stuck_requests in 1..=4 {
            scope.spawn(ask);
            wait_for("request", || count_requests(&backends) == 30 + stuck_requests);
        }
        // Long enough to count as a lasting excess of requests in flight.
        std::thread::sleep(Duration::from_secs(3));
        let fifth = scope.spawn(ask);
        let start = Instant::now();
        while count_requests(&backends) < 35 && start.elapsed() < Duration::from_secs(10) {
            std::thread::sleep(Duration::from_millis(5));
        }
        stuck.store(false, Ordering::SeqCst);
        assert_eq!(fifth.join().unwrap(), 200);
    });
}

#[test]
fn short_stall_of_a_backend_rejects_no_request() {
    let stuck = Arc::new(AtomicBool::new(false));
    let backends: [ScriptedServer; 1] = start_backends(&stuck, Duration::ZERO);
    let proxy =
        Proxy::start(&first_tier_settings(20.0), &known_list(&backends.each_ref()), idle_discovery().address);
    let ask = || proxy.exchange(&request_text("order", 19_000)).status();
    (0..30).for_each(|_| assert_eq!(ask(), 200));
    stuck.store(true, Ordering::SeqCst);
    std::thread::scope(|scope| {
        let requests: Vec<_> = (0..30).map(|_| scope.spawn(ask)).collect();
        wait_for("requests", || count_requests(&backends) > 32);
        // Time for all requests to arrive, far below their deadline.
        std::thread::sleep(Duration::from_millis(500));
        // The stalled backend receives only some of the requests.
        assert!(count_requests(&backends) < 55, "{}", count_requests(&backends));
        stuck.store(false, Ordering::SeqCst);
        assert!(requests.into_iter().all(|request| request.join().unwrap() == 200));
    });
}

#[test]
fn long_stall_of_a_backend_rejects_requests_long_before_the_client_timeout() {
    let stuck = Arc::new(AtomicBool::new(false));
    let backends: [ScriptedServer; 1] = start_backends(&stuck, Duration::ZERO);
    let proxy =
        Proxy::start(&first_tier_settings(4.0), &known_list(&backends.each_ref()), idle_discovery().address);
    let ask = || {
        let start = Instant::now();
        let reply = proxy.exchange(&request_text("order", 19_000));
        (reply.status(), reply.header("retry-after").is_some(), start.elapsed())
    };
    (0..30).for_each(|_| assert_eq!(ask().0, 200));
    stuck.store(true, Ordering::SeqCst);
    std::thread::scope(|scope| {
        let requests: Vec<_> = (0..30).map(|_| scope.spawn(ask)).collect();
        let replies = requests.into_iter().map(|request| request.join().unwrap());
        let rejected: Vec<_> = replies.filter(|(status, ..)| [429, 503].contains(status)).collect();
        stuck.store(false, Ordering::SeqCst);
        assert!(rejected.len() > 10, "{rejected:?}");
        assert!(
            rejected.iter().all(|(_, has_retry_after, duration)| *has_retry_after && *duration < Duration::from_secs(10)),
            "{rejected:?}"
        );
    });
}
