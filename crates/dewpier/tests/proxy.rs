//! The real proxy, from outside: its program between a client, backends and a discovery that the
//! test plays over loopback sockets.

mod common;

use common::sockets::*;
use dewpier_http::backend::{HttpUpstream, ResponsePolicy, ReusePolicy};
use dewpier_http::limits::Budget;
use dewpier_http::payload::{Payload, PayloadBody};
use gannetproxy::engine::{Attempt, Clock, SendGate, Upstream};
use gannetproxy::{BackendId, Outcome};
use serde_json::json;
use std::io::Write;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

#[test]
fn a_request_goes_on_unchanged_and_so_does_its_answer() {
    let backend = Played::good("hello");
    let proxy = Proxy::for_backends(&[&backend]);
    assert_eq!(proxy.exchange("GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status(), 200);
    let text = request_text("save", 9000);
    let answer = proxy.exchange(&text);
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"hello".as_slice()));
    let seen = backend.requests.lock().unwrap()[0].clone();
    assert_eq!((seen.first.as_str(), seen.body.as_slice()), ("POST /api?q=1 HTTP/1.1", b"body".as_slice()));
    assert!(text.contains(&format!("X-Txn: {}\r\n", seen.header("x-txn").unwrap())));
    assert_eq!(seen.header("idempotency-key"), Some("5c0f6e1a"));
    let left: u64 = seen.header("x-remaining-ms").unwrap().parse().unwrap();
    assert!((1..9000).contains(&left), "{left}");
}

#[test]
fn what_is_malformed_gets_a_plain_4xx() {
    let backend = Played::good("hello");
    let proxy = Proxy::for_backends(&[&backend]);
    let good = request_text("look", 9000);
    for (from, to) in [
        ("X-Lane: look", "X-Lane: unheard-of"),
        ("X-Org: acme", "X-Org: unheard-of"),
        ("X-Remaining-Ms: 9000", "X-Remaining-Ms: soon"),
        ("X-Txn: 0", "X-Txn: "),
        ("GET /api?q=1 HTTP/1.1", "nonsense"),
    ] {
        assert_eq!(proxy.exchange(&good.replace(from, to)).status(), 400, "{to}");
    }
    assert_eq!(backend.count(), 0);
    assert_eq!(proxy.exchange(&good).status(), 200);
}

#[test]
fn a_bad_configuration_is_told_in_one_line() {
    let mut lacking = settings();
    lacking["rules"].as_object_mut().unwrap().remove("cold");
    let known = discovery_list(1, true, &[]);
    for text in ["{".to_string(), build_config(&lacking, &known).to_string()] {
        let output = command(&text, idle_discovery().address).0.output().unwrap();
        let told = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        assert!(told.starts_with("dewpier: ") && told.lines().count() == 1, "{told}");
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_and_not_sent_again() {
    let backends = [Played::new(|_, _| Play::Close), Played::new(|_, _| Play::Close)];
    let proxy = Proxy::for_backends(&[&backends[0], &backends[1]]);
    let status = proxy.exchange(&request_text("order", 9000)).status();
    assert!(status != 200 && status != 429 && status != 503, "{status}");
    assert_eq!(backends[0].count() + backends[1].count(), 1);
}

#[test]
fn an_unsafe_request_that_met_no_backend_is_refused() {
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let known = discovery_list(1, true, &[list_entry("s-1", closed, "SERVING")]);
    let proxy = Proxy::start(&settings(), &known, idle_discovery().address);
    assert_eq!(proxy.exchange(&request_text("order", 1000)).status(), 503);
}

#[test]
fn a_connection_that_the_backend_has_closed_is_not_used_again() {
    let (closed, end) = channel();
    let backend = Played::new(move |_, _| Play::AnswerAndClose(answer("200 OK", "hello"), closed.clone()));
    let proxy = Proxy::for_backends(&[&backend]);
    for _ in 0..5 {
        assert_eq!(proxy.exchange(&request_text("order", 9000)).status(), 200);
        heard(&end);
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 5);
}

#[test]
fn a_connection_is_used_again() {
    let backend = Played::good("hello");
    let proxy = Proxy::for_backends(&[&backend]);
    for _ in 0..10 {
        assert_eq!(proxy.exchange(&request_text("order", 9000)).status(), 200);
        std::thread::sleep(Duration::from_millis(100)); // not before it has settled
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 1);
}

#[test]
fn a_connection_near_the_idle_limit_is_not_used_again() {
    let backend = Played::good("hello");
    let mut settings = settings();
    settings["caps"]["idle-close"] = json!(0.2);
    let proxy = Proxy::start(&settings, &known_list(&[&backend]), idle_discovery().address);
    for _ in 0..2 {
        assert_eq!(proxy.exchange(&request_text("order", 9000)).status(), 200);
        std::thread::sleep(Duration::from_millis(180));
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 2);
}

#[test]
fn a_silent_backend_leaves_no_client_without_an_answer() {
    let (ended, end) = channel();
    let backend = Played::new(move |_, _| Play::Silence(ended.clone()));
    let proxy = Proxy::for_backends(&[&backend]);
    let start = Instant::now();
    let status = proxy.exchange(&request_text("order", 1500)).status();
    assert!(status != 200 && status != 429 && status != 503, "{status}");
    // The proxy counts from when it reads the request, which on a busy machine is later than here.
    assert!(start.elapsed() < Duration::from_millis(2000), "{:?}", start.elapsed());
    heard(&end);
}

#[test]
fn an_attempt_ends_when_its_client_leaves() {
    let (ended, end) = channel();
    let backend = Played::new(move |_, _| Play::Silence(ended.clone()));
    let proxy = Proxy::for_backends(&[&backend]);
    let mut client = proxy.connect();
    client.get_mut().write_all(request_text("order", 20_000).as_bytes()).unwrap();
    wait_for("attempt", || backend.count() == 1);
    let left = Instant::now();
    drop(client);
    heard(&end);
    assert!(left.elapsed() < Duration::from_secs(10));
}

#[test]
fn sigterm_loses_nothing_that_was_taken() {
    let (backend, release) = Played::held("hello");
    let mut proxy = Proxy::for_backends(&[&backend]);
    let mut idle = proxy.connect();
    assert_eq!(ask(&mut idle, "GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status(), 200);
    let mut busy = proxy.connect();
    busy.get_mut().write_all(request_text("order", 20_000).as_bytes()).unwrap();
    wait_for("attempt", || backend.count() == 1);
    proxy.signal("-TERM");
    // Requests on old connections and on new ones are served on, each more than once, and the
    // connections then end.
    wait_for("stop", || proxy.exchange("GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status() == 503);
    let mut new = [proxy.connect(), proxy.connect()];
    let [first, unused] = &mut new;
    for stream in [0, 1, 0, 1] {
        let stream = if stream == 0 { &mut idle } else { &mut *first };
        assert_eq!(ask(stream, &request_text("look", 20_000)).status(), 200);
    }
    for stream in [&mut idle, first, unused] {
        assert!(read(stream).is_none(), "an idle connection is ended");
    }
    release.send(()).unwrap();
    assert_eq!(read(&mut busy).expect("an answer").status(), 200);
    wait_for("exit", || proxy.child.try_wait().unwrap().is_some());
    assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
}

#[test]
fn a_request_that_never_comes_whole_does_not_hold_up_the_exit() {
    let backend = Played::good("hello");
    let mut proxy = Proxy::for_backends(&[&backend]);
    let mut slow = proxy.connect();
    slow.get_mut().write_all(request_text("look", 9000).strip_suffix("dy").unwrap().as_bytes()).unwrap();
    // Another connection's answer tells that this one has been accepted before.
    assert_eq!(proxy.exchange(&request_text("look", 9000)).status(), 200);
    proxy.signal("-TERM");
    wait_for("exit", || proxy.child.try_wait().unwrap().is_some());
    assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
}

#[test]
fn nothing_goes_out_on_a_connection_that_comes_up_after_the_grace() {
    let backend = Played::good("hello");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let attempt = |last_send: Option<f64>| {
        let connections = Budget::new(4);
        let http = HttpUpstream {
            connections,
            connect_timeout: LONG,
            idle_close: LONG,
            probe_path: "/",
            reuse_policy: ReusePolicy::new(0.0),
            response_policy: ResponsePolicy::Platform,
            attempt_counter: Default::default(),
        };
        let gate = std::rc::Rc::new(SendGate::default());
        gate.set_send_deadline(last_send);
        let made = Attempt {
            gate,
            backend: BackendId(1),
            clock: Clock::start(),
            deadline: 20.0,
            written: Default::default(),
            request_open: std::rc::Rc::new(std::cell::Cell::new(true)),
            reply_sink: Default::default(),
            exclusive_claim: Default::default(),
        };
        let payload = Payload {
            method: "POST".parse().unwrap(),
            uri: "/api".parse().unwrap(),
            headers: [("host".parse().unwrap(), "app.svc".parse().unwrap())].into_iter().collect(),
            body: PayloadBody::Buffered("body".into()),
            loss_cost: dewpier_reuse::LossCost::NotRetryable,
            lost_on_reused: Default::default(),
        };
        let attempted = http.attempt(http.create_endpoint(backend.address).into(), payload.into(), made);
        runtime.block_on(attempted).outcome
    };
    assert_eq!(attempt(Some(0.0)), Outcome::NoConnection);
    assert_eq!(backend.count(), 0);
    assert_eq!(attempt(None), Outcome::Served);
}

#[test]
fn discovery_that_talks_nonsense_is_asked_again_and_the_last_list_kept() {
    let (old, new) = (Played::good("old"), Played::good("new"));
    let news = discovery_list(
        2,
        false,
        &[list_entry("s-0", old.address, "DELETED"), list_entry("s-1", new.address, "SERVING")],
    );
    let good = Arc::new(AtomicUsize::new(0));
    let (may, told) = (good.clone(), news.to_string());
    let discovery = Played::new(move |before, _| match (before, may.load(Ordering::SeqCst)) {
        (0, _) => Play::Close,
        (1, _) => Play::Answer(answer("503 Service Unavailable", "")),
        (_, 0) => Play::Answer(answer("200 OK", "{\"generation\":")),
        (_, 1) => Play::Answer(answer("200 OK", &told)),
        _ => Play::Silence(channel().0),
    });
    let proxy = Proxy::start(&settings(), &known_list(&[&old]), discovery.address);
    wait_for("further call", || discovery.count() >= 3);
    assert_eq!(proxy.exchange(&request_text("look", 20_000)).body, b"old");
    good.store(1, Ordering::SeqCst);
    let asked_for_more = |m: &Message| m.first.contains("since=2&");
    wait_for("list", || discovery.requests.lock().unwrap().iter().any(asked_for_more));
    assert_eq!(proxy.exchange(&request_text("look", 20_000)).body, b"new");
}

/// What a watch names: the version that it has, and how long it asks to wait, in milliseconds.
fn since_and_wait(first: &str) -> (u64, u64) {
    let numbers =
        first.strip_prefix("GET /api/targets?since=").and_then(|rest| rest.strip_suffix(" HTTP/1.1"));
    let (since, wait) = numbers.and_then(|n| n.split_once("&timeout_ms=")).expect(first);
    (since.parse().expect(first), wait.parse().expect(first))
}

#[test]
fn a_pushed_watch_that_falls_silent_is_made_again_before_its_news_count_as_told() {
    // They count as told 2 s after the wait that the call named. It named 10 s and was waited for as long as
    // that and 2 s more, so that a drain was known only after it had counted.
    let (old, new) = (Played::good("old"), Played::good("new"));
    let all = discovery_list(7, true, &[list_entry("s-1", new.address, "SERVING")]).to_string();
    let discovery = Played::new(move |before, _| match before {
        1 => Play::Answer(answer("200 OK", &all)),
        _ => Play::Silence(channel().0),
    });
    let proxy = Proxy::start(&settings(), &known_list(&[&old]), discovery.address);
    wait_for("third call", || discovery.count() >= 3);
    let calls = discovery.requests.lock().unwrap();
    let waits: Vec<(u64, u64)> = calls.iter().map(|call| since_and_wait(&call.first)).collect();
    assert!(waits[0].0 == 1 && (1..=2000).contains(&waits[0].1), "{}", calls[0].first);
    assert_eq!(waits[1], (1, 0), "{}", calls[1].first);
    assert!(waits[2].0 == 7 && (1..=2000).contains(&waits[2].1), "{}", calls[2].first);
    drop(calls);
    assert_eq!(proxy.exchange(&request_text("look", 20_000)).body, b"new");
}

#[test]
fn where_the_list_must_be_asked_for_a_call_that_failed_is_made_again() {
    let (old, new) = (Played::good("old"), Played::good("new"));
    let all = discovery_list(7, true, &[list_entry("s-1", new.address, "SERVING")]).to_string();
    let discovery = Played::new(move |before, _| match before {
        0 | 1 => Play::Answer(answer("503 Service Unavailable", "")),
        2 => Play::Answer(answer("200 OK", &all)),
        _ => Play::Silence(channel().0),
    });
    let mut settings = settings();
    settings["registry-mode"] = json!("subscribe");
    settings["rules"]["ask-within"] = json!(1.0);
    let proxy = Proxy::start(&settings, &known_list(&[&old]), discovery.address);
    wait_for("further watch", || discovery.count() >= 4);
    let watch = discovery.requests.lock().unwrap()[3].first.clone();
    let (since, wait) = since_and_wait(&watch);
    assert!(since == 7 && (1..=1000).contains(&wait), "{watch}");
    assert_eq!(proxy.exchange(&request_text("look", 20_000)).body, b"new");
}

#[test]
fn a_list_that_stalls_half_way_is_asked_for_again_long_before_its_wait_is_over() {
    let (old, new) = (Played::good("old"), Played::good("new"));
    let news = discovery_list(
        2,
        false,
        &[list_entry("s-0", old.address, "DELETED"), list_entry("s-1", new.address, "SERVING")],
    );
    let whole = answer("200 OK", &news.to_string());
    let discovery = Played::new(move |before, _| match before {
        0 => Play::AnswerThen(whole[..whole.len() / 2].to_string(), 4 * LONG, String::new()),
        1 => Play::Answer(whole.clone()),
        _ => Play::Silence(channel().0),
    });
    let mut settings = settings();
    settings["registry-mode"] = json!("subscribe");
    // A call may wait for so long, far longer than this test does; what failed is asked again after a tenth.
    settings["rules"]["ask-within"] = json!(40.0);
    let proxy = Proxy::start(&settings, &known_list(&[&old]), discovery.address);
    wait_for("the new list", || proxy.exchange(&request_text("look", 20_000)).body == b"new");
    assert!(discovery.count() >= 2);
}
