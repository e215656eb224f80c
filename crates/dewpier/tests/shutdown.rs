//! SIGTERM during open requests, pending requests and reloads: every request that was read is answered, none that
//! arrives too late is forwarded, and the process exits before SIGKILL.

mod common;

use common::sockets::*;
use dewpier_standins::message::read_head;
use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// The earliest SIGKILL after SIGTERM, with deadlines of 3 s or more.
const MIN_TIME_TO_KILL: Duration = Duration::from_millis(3700);

const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n";

/// Checks that the proxy exits with status 0 before the earliest SIGKILL.
fn assert_exit_in_time(mut proxy: Proxy, signalled_at: Instant) {
    wait_for("exit", || proxy.child.try_wait().unwrap().is_some());
    let duration = signalled_at.elapsed();
    assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
    assert!(duration < MIN_TIME_TO_KILL, "{duration:?}");
}

/// Connects a client that has received an answer and is idle.
fn connect_idle(proxy: &Proxy) -> BufReader<TcpStream> {
    let mut client = proxy.connect();
    assert_eq!(exchange(&mut client, &request_text("look", 9000)).status(), 200);
    client
}

#[test]
fn request_sent_after_the_connection_was_closed_is_not_forwarded() {
    let backend = ScriptedServer::always_ok("hello");
    let proxy = Proxy::for_backends(&[&backend]);
    let mut clients: Vec<_> = (0..8).map(|_| connect_idle(&proxy)).collect();
    let before = backend.request_count();
    let signalled_at = Instant::now();
    proxy.signal("-TERM");
    for client in &mut clients {
        // The client sends a request as soon as it sees the end of the connection.
        assert_eq!(client.read(&mut [0; 64]).unwrap(), 0);
        client.get_mut().write_all(request_text("order", 9000).as_bytes()).unwrap();
    }
    // The proxy discards the request without a reset.
    for client in &mut clients {
        assert_eq!(client.read(&mut [0; 64]).unwrap(), 0);
    }
    assert_exit_in_time(proxy, signalled_at);
    assert_eq!(backend.request_count(), before, "forwarded after the connection was closed");
}

#[test]
fn half_received_request_is_answered() {
    let backend = ScriptedServer::always_ok("hello");
    let proxy = Proxy::for_backends(&[&backend]);
    let mut idle = connect_idle(&proxy);
    let text = request_text("order", 9000);
    // In the middle of the head, and after it.
    let cuts = [20, text.len() - 4];
    let mut halves: Vec<_> = cuts.iter().map(|_| connect_idle(&proxy)).collect();
    for (client, cut) in halves.iter_mut().zip(cuts) {
        client.get_mut().write_all(&text.as_bytes()[..cut]).unwrap();
    }
    // An answer to another client shows that they have been read.
    assert_eq!(proxy.exchange(READY).status(), 200);
    let signalled_at = Instant::now();
    proxy.signal("-TERM");
    assert!(read_message(&mut idle).is_none(), "idle connections are ended");
    for (client, cut) in halves.iter_mut().zip(cuts) {
        client.get_mut().write_all(&text.as_bytes()[cut..]).unwrap();
        let answer =
            read_message(client).unwrap_or_else(|| panic!("no answer to the request cut at {cut} bytes"));
        // The second request has the id of the first, which has ended.
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    }
    assert_exit_in_time(proxy, signalled_at);
}

#[test]
fn clients_of_hanging_backends_are_answered_before_the_exit() {
    let (ended, end) = channel();
    let backend = ScriptedServer::new(move |_, _| ScriptedReply::NeverRespond(ended.clone()));
    let mut settings = settings();
    // These clients wait longer than the process runs.
    for class in settings["classes"].as_array_mut().unwrap() {
        class["late-worth"] = json!(0.5);
    }
    let proxy = Proxy::start(&settings, &known_list(&[&backend]), idle_discovery().address);
    let mut clients: Vec<_> = ["look", "save", "order"]
        .iter()
        .map(|class| {
            let mut client = proxy.connect();
            client.get_mut().write_all(request_text(class, 19_000).as_bytes()).unwrap();
            client
        })
        .collect();
    wait_for("attempts", || backend.request_count() >= 3);
    let signalled_at = Instant::now();
    proxy.signal("-TERM");
    let answers: Vec<_> = clients.iter_mut().map(|client| read_head(client).expect("an answer")).collect();
    assert!(signalled_at.elapsed() < MIN_TIME_TO_KILL, "{:?}", signalled_at.elapsed());
    let order = answers[2].status();
    assert!(
        order != 200 && order != 429 && order != 503,
        "a request that may have run is not rejected: {order}"
    );
    assert_exit_in_time(proxy, signalled_at);
    wait_for_close(&end);
}

#[test]
fn combined_and_repeated_signals_still_stop_the_proxy_in_order() {
    for signals in [["-TERM", "-HUP"], ["-HUP", "-TERM"], ["-TERM", "-TERM"]] {
        let (backend, release) = ScriptedServer::with_held_response("hello");
        let (first, second) = (idle_discovery(), idle_discovery());
        let mut config = build_config(&settings(), &known_list(&[&backend]));
        let proxy = Proxy::start_with_config(&config, first.address);
        let mut client = proxy.connect();
        client.get_mut().write_all(request_text("order", 3000).as_bytes()).unwrap();
        wait_for("attempt", || backend.request_count() == 1);
        config["discovery"] = json!(second.address.to_string());
        proxy.write_config(&config);
        let signalled_at = Instant::now();
        signals.iter().for_each(|signal| proxy.signal(signal));
        wait_for("stop of the proxy", || proxy.exchange(READY).status() == 503);
        release.send(()).unwrap();
        assert_eq!(read_message(&mut client).expect("an answer").status(), 200, "{signals:?}");
        drop(client);
        assert_exit_in_time(proxy, signalled_at);
    }
}

#[test]
fn proxy_without_a_backend_exits_at_once() {
    let proxy = Proxy::start(&settings(), &known_list(&[]), idle_discovery().address);
    assert_eq!(proxy.exchange(READY).status(), 503);
    let signalled_at = Instant::now();
    proxy.signal("-TERM");
    assert_exit_in_time(proxy, signalled_at);
}

#[test]
fn client_that_does_not_read_does_not_delay_the_exit() {
    let big: &'static str = Box::leak("x".repeat(60_000).into_boxed_str());
    let backend = ScriptedServer::always_ok(big);
    let proxy = Proxy::for_backends(&[&backend]);
    let mut not_reading = proxy.connect();
    // More answers than the socket buffers hold; the client reads none.
    let texts: String = (0..200).map(|_| request_text("look", 9000)).collect();
    not_reading.get_mut().write_all(texts.as_bytes()).unwrap();
    let mut half = proxy.connect();
    half.get_mut().write_all(b"GET /api HT").unwrap();
    assert_eq!(proxy.exchange(READY).status(), 200);
    let signalled_at = Instant::now();
    proxy.signal("-TERM");
    assert_exit_in_time(proxy, signalled_at);
    drop((not_reading, half));
}
