//! The proxy's program between a client, mock backends and a mock discovery service over loopback sockets.

mod common;

use common::sockets::*;
use dewpier_http::backend::{HttpUpstream, ResponsePolicy, ReusePolicy};
use dewpier_http::limits::Budget;
use dewpier_http::payload::{Payload, PayloadBody};
use gannetproxy::engine::{AttemptContext, Clock, SendGate, Upstream};
use gannetproxy::{BackendId, Outcome};
use serde_json::json;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

#[test]
fn request_and_answer_are_forwarded_unchanged() {
    let backend = ScriptedServer::always_ok("hello");
    let proxy = Proxy::for_backends(&[&backend]);
    assert_eq!(proxy.exchange("GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status(), 200);
    let text = request_text("save", 9000);
    let answer = proxy.exchange(&text);
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"hello".as_slice()));
    let forwarded = backend.received_requests.lock().unwrap()[0].clone();
    assert_eq!(
        (forwarded.start_line.as_str(), forwarded.body.as_slice()),
        ("POST /api?q=1 HTTP/1.1", b"body".as_slice())
    );
    assert!(text.contains(&format!("X-Txn: {}\r\n", forwarded.header("x-txn").unwrap())));
    assert_eq!(forwarded.header("idempotency-key"), Some("5c0f6e1a"));
    let remaining_ms: u64 = forwarded.header("x-remaining-ms").unwrap().parse().unwrap();
    assert!((1..9000).contains(&remaining_ms), "{remaining_ms}");
}

#[test]
fn malformed_requests_get_status_400() {
    let backend = ScriptedServer::always_ok("hello");
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
    assert_eq!(backend.request_count(), 0);
    assert_eq!(proxy.exchange(&good).status(), 200);
}

#[test]
fn invalid_configuration_is_reported_in_one_line() {
    let mut incomplete = settings();
    incomplete["rules"].as_object_mut().unwrap().remove("cold");
    let known = discovery_list(1, true, &[]);
    for text in ["{".to_string(), build_config(&incomplete, &known).to_string()] {
        let output = command(&text, idle_discovery().address).0.output().unwrap();
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        assert!(message.starts_with("dewpier: ") && message.lines().count() == 1, "{message}");
    }
}

#[test]
fn unsafe_request_that_may_have_run_fails_without_a_retry() {
    let backends =
        [ScriptedServer::new(|_, _| ScriptedReply::Close), ScriptedServer::new(|_, _| ScriptedReply::Close)];
    let proxy = Proxy::for_backends(&[&backends[0], &backends[1]]);
    let status = proxy.exchange(&request_text("order", 9000)).status();
    assert!(status != 200 && status != 429 && status != 503, "{status}");
    assert_eq!(backends[0].request_count() + backends[1].request_count(), 1);
}

#[test]
fn unsafe_request_that_reached_no_backend_is_rejected() {
    let closed = reserve_addresses(1)[0];
    let known = discovery_list(1, true, &[list_entry("s-1", closed, "SERVING")]);
    let proxy = Proxy::start(&settings(), &known, idle_discovery().address);
    assert_eq!(proxy.exchange(&request_text("order", 1000)).status(), 503);
}

#[test]
fn connection_closed_by_the_backend_is_not_reused() {
    let (closed, end) = channel();
    let backend = ScriptedServer::new(move |_, _| {
        ScriptedReply::RespondAndClose(format_response("200 OK", "hello"), closed.clone())
    });
    let proxy = Proxy::for_backends(&[&backend]);
    for _ in 0..5 {
        assert_eq!(proxy.exchange(&request_text("order", 9000)).status(), 200);
        wait_for_close(&end);
    }
    assert_eq!(backend.connection_count.load(Ordering::SeqCst), 5);
}

#[test]
fn connection_is_reused() {
    let backend = ScriptedServer::always_ok("hello");
    let proxy = Proxy::for_backends(&[&backend]);
    for _ in 0..10 {
        assert_eq!(proxy.exchange(&request_text("order", 9000)).status(), 200);
        std::thread::sleep(Duration::from_millis(100)); // a new connection must settle before it is reused
    }
    assert_eq!(backend.connection_count.load(Ordering::SeqCst), 1);
}

#[test]
fn connection_near_its_idle_limit_is_not_reused() {
    let backend = ScriptedServer::always_ok("hello");
    let mut settings = settings();
    settings["caps"]["idle-close"] = json!(0.2);
    let proxy = Proxy::start(&settings, &known_list(&[&backend]), idle_discovery().address);
    for _ in 0..2 {
        assert_eq!(proxy.exchange(&request_text("order", 9000)).status(), 200);
        std::thread::sleep(Duration::from_millis(180));
    }
    assert_eq!(backend.connection_count.load(Ordering::SeqCst), 2);
}

#[test]
fn client_of_a_silent_backend_gets_an_answer() {
    let (ended, end) = channel();
    let backend = ScriptedServer::new(move |_, _| ScriptedReply::NeverRespond(ended.clone()));
    let proxy = Proxy::for_backends(&[&backend]);
    let start = Instant::now();
    let status = proxy.exchange(&request_text("order", 1500)).status();
    assert!(status != 200 && status != 429 && status != 503, "{status}");
    // The proxy counts from when it reads the request, which may be later on a busy host.
    assert!(start.elapsed() < Duration::from_millis(2000), "{:?}", start.elapsed());
    wait_for_close(&end);
}

#[test]
fn attempt_ends_when_its_client_disconnects() {
    let (ended, end) = channel();
    let backend = ScriptedServer::new(move |_, _| ScriptedReply::NeverRespond(ended.clone()));
    let proxy = Proxy::for_backends(&[&backend]);
    let mut client = proxy.connect();
    client.get_mut().write_all(request_text("order", 20_000).as_bytes()).unwrap();
    wait_for("attempt", || backend.request_count() == 1);
    let disconnected_at = Instant::now();
    drop(client);
    wait_for_close(&end);
    assert!(disconnected_at.elapsed() < Duration::from_secs(10));
}

#[test]
fn sigterm_loses_no_accepted_request() {
    let (backend, release) = ScriptedServer::with_held_response("hello");
    let mut proxy = Proxy::for_backends(&[&backend]);
    let mut idle = proxy.connect();
    assert_eq!(exchange(&mut idle, "GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status(), 200);
    let mut busy = proxy.connect();
    busy.get_mut().write_all(request_text("order", 20_000).as_bytes()).unwrap();
    wait_for("attempt", || backend.request_count() == 1);
    proxy.signal("-TERM");
    // Existing and new connections each serve more than one further request and are then closed.
    wait_for("stop of the proxy", || {
        proxy.exchange("GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status() == 503
    });
    let mut new = [proxy.connect(), proxy.connect()];
    let [first, unused] = &mut new;
    for stream in [0, 1, 0, 1] {
        let stream = if stream == 0 { &mut idle } else { &mut *first };
        assert_eq!(exchange(stream, &request_text("look", 20_000)).status(), 200);
    }
    for stream in [&mut idle, first, unused] {
        assert!(read_message(stream).is_none(), "an idle connection is closed");
    }
    release.send(()).unwrap();
    assert_eq!(read_message(&mut busy).expect("an answer").status(), 200);
    wait_for("exit", || proxy.child.try_wait().unwrap().is_some());
    assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
}

#[test]
fn incomplete_request_does_not_delay_the_exit() {
    let backend = ScriptedServer::always_ok("hello");
    let mut proxy = Proxy::for_backends(&[&backend]);
    let mut slow = proxy.connect();
    slow.get_mut().write_all(request_text("look", 9000).strip_suffix("dy").unwrap().as_bytes()).unwrap();
    // An answer on another connection shows that this one has been accepted.
    assert_eq!(proxy.exchange(&request_text("look", 9000)).status(), 200);
    proxy.signal("-TERM");
    wait_for("exit", || proxy.child.try_wait().unwrap().is_some());
    assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
}

#[test]
fn nothing_is_sent_on_a_connection_established_after_the_grace_period() {
    let backend = ScriptedServer::always_ok("hello");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let send = |send_deadline: Option<f64>| {
        let connections = Budget::new(4);
        let http = HttpUpstream {
            connections,
            connect_timeout: WAIT_TIMEOUT,
            idle_close: WAIT_TIMEOUT,
            probe_path: "/",
            reuse_policy: ReusePolicy::new(0.0),
            response_policy: ResponsePolicy::Platform,
            attempt_counter: Default::default(),
        };
        let gate = std::rc::Rc::new(SendGate::default());
        gate.set_send_deadline(send_deadline);
        let attempt = AttemptContext {
            gate,
            backend: BackendId(1),
            clock: Clock::start(),
            deadline: 20.0,
            send_by: f64::INFINITY,
            written: Default::default(),
            is_request_open: std::rc::Rc::new(std::cell::Cell::new(true)),
            reply_sink: Default::default(),
            exclusive_claim: Default::default(),
            stall_report: Default::default(),
        };
        let payload = Payload {
            method: "POST".parse().unwrap(),
            uri: "/api".parse().unwrap(),
            headers: [("host".parse().unwrap(), "app.svc".parse().unwrap())].into_iter().collect(),
            body: PayloadBody::Buffered("body".into()),
            loss_cost: dewpier_reuse::LossCost::NotRetryable,
            lost_on_reused: Default::default(),
        };
        let result = http.attempt(http.create_endpoint(backend.address).into(), payload.into(), attempt);
        tokio::task::LocalSet::new().block_on(&runtime, result).outcome
    };
    assert_eq!(send(Some(0.0)), Outcome::NoConnection);
    assert_eq!(backend.request_count(), 0);
    assert_eq!(send(None), Outcome::Served);
}

#[test]
fn invalid_discovery_answers_are_retried_and_the_last_list_is_kept() {
    let (old, new) = (ScriptedServer::always_ok("old"), ScriptedServer::always_ok("new"));
    let changes = discovery_list(
        2,
        false,
        &[list_entry("s-0", old.address, "DELETED"), list_entry("s-1", new.address, "SERVING")],
    );
    let phase = Arc::new(AtomicUsize::new(0));
    let (current_phase, text) = (phase.clone(), changes.to_string());
    let discovery =
        ScriptedServer::new(move |before, _| match (before, current_phase.load(Ordering::SeqCst)) {
            (0, _) => ScriptedReply::Close,
            (1, _) => ScriptedReply::Respond(format_response("503 Service Unavailable", "")),
            (_, 0) => ScriptedReply::Respond(format_response("200 OK", "{\"generation\":")),
            (_, 1) => ScriptedReply::Respond(format_response("200 OK", &text)),
            _ => ScriptedReply::NeverRespond(channel().0),
        });
    let proxy = Proxy::start(&settings(), &known_list(&[&old]), discovery.address);
    wait_for("further request", || discovery.request_count() >= 3);
    assert_eq!(proxy.exchange(&request_text("look", 20_000)).body, b"old");
    phase.store(1, Ordering::SeqCst);
    let is_next_watch = |m: &Message| m.start_line.contains("since=2&");
    wait_for("list", || discovery.received_requests.lock().unwrap().iter().any(is_next_watch));
    assert_eq!(proxy.exchange(&request_text("look", 20_000)).body, b"new");
}

/// Returns the version and the wait in milliseconds that a watch request names.
fn since_and_wait(first: &str) -> (u64, u64) {
    let numbers =
        first.strip_prefix("GET /api/targets?since=").and_then(|rest| rest.strip_suffix(" HTTP/1.1"));
    let (since, wait) = numbers.and_then(|n| n.split_once("&timeout_ms=")).expect(first);
    (since.parse().expect(first), wait.parse().expect(first))
}

#[test]
fn silent_watch_is_repeated_before_its_changes_count_as_received() {
    // Changes count as received 2 s after the wait that the request names, so that wait must be short.
    let (old, new) = (ScriptedServer::always_ok("old"), ScriptedServer::always_ok("new"));
    let whole_list = discovery_list(7, true, &[list_entry("s-1", new.address, "SERVING")]).to_string();
    let discovery = ScriptedServer::new(move |before, _| match before {
        1 => ScriptedReply::Respond(format_response("200 OK", &whole_list)),
        _ => ScriptedReply::NeverRespond(channel().0),
    });
    let proxy = Proxy::start(&settings(), &known_list(&[&old]), discovery.address);
    wait_for("third request", || discovery.request_count() >= 3);
    let calls = discovery.received_requests.lock().unwrap();
    let waits: Vec<(u64, u64)> = calls.iter().map(|call| since_and_wait(&call.start_line)).collect();
    assert!(waits[0].0 == 1 && (1..=2000).contains(&waits[0].1), "{}", calls[0].start_line);
    assert_eq!(waits[1], (1, 0), "{}", calls[1].start_line);
    assert!(waits[2].0 == 7 && (1..=2000).contains(&waits[2].1), "{}", calls[2].start_line);
    drop(calls);
    assert_eq!(proxy.exchange(&request_text("look", 20_000)).body, b"new");
}

#[test]
fn failed_list_request_is_repeated_in_subscribe_mode() {
    let (old, new) = (ScriptedServer::always_ok("old"), ScriptedServer::always_ok("new"));
    let whole_list = discovery_list(7, true, &[list_entry("s-1", new.address, "SERVING")]).to_string();
    let discovery = ScriptedServer::new(move |before, _| match before {
        0 | 1 => ScriptedReply::Respond(format_response("503 Service Unavailable", "")),
        2 => ScriptedReply::Respond(format_response("200 OK", &whole_list)),
        _ => ScriptedReply::NeverRespond(channel().0),
    });
    let mut settings = settings();
    settings["registry-mode"] = json!("subscribe");
    settings["rules"]["ask-within"] = json!(1.0);
    let proxy = Proxy::start(&settings, &known_list(&[&old]), discovery.address);
    wait_for("further watch", || discovery.request_count() >= 4);
    let watch = discovery.received_requests.lock().unwrap()[3].start_line.clone();
    let (since, wait) = since_and_wait(&watch);
    assert!(since == 7 && (1..=1000).contains(&wait), "{watch}");
    assert_eq!(proxy.exchange(&request_text("look", 20_000)).body, b"new");
}

#[test]
fn stalled_list_answer_is_requested_again_long_before_its_deadline() {
    let (old, new) = (ScriptedServer::always_ok("old"), ScriptedServer::always_ok("new"));
    let changes = discovery_list(
        2,
        false,
        &[list_entry("s-0", old.address, "DELETED"), list_entry("s-1", new.address, "SERVING")],
    );
    let whole_answer = format_response("200 OK", &changes.to_string());
    let discovery = ScriptedServer::new(move |before, _| match before {
        0 => ScriptedReply::RespondInTwoParts(
            whole_answer[..whole_answer.len() / 2].to_string(),
            4 * WAIT_TIMEOUT,
            String::new(),
        ),
        1 => ScriptedReply::Respond(whole_answer.clone()),
        _ => ScriptedReply::NeverRespond(channel().0),
    });
    let mut settings = settings();
    settings["registry-mode"] = json!("subscribe");
    // The deadline is far longer than this test; a failed request is repeated after a tenth of it.
    settings["rules"]["ask-within"] = json!(40.0);
    let proxy = Proxy::start(&settings, &known_list(&[&old]), discovery.address);
    wait_for("new list", || proxy.exchange(&request_text("look", 20_000)).body == b"new");
    assert!(discovery.request_count() >= 2);
}
