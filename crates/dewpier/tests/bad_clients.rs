//! Clients that stay idle, send partial or malformed requests: they are rejected soon, reach no backend, and do not
//! keep other clients from being served.

mod common;

use common::sockets::*;
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Reads an error answer or the end of the connection, and returns the status of the answer.
fn read_rejection(stream: &mut BufReader<TcpStream>) -> Option<u16> {
    let status = read_message(stream).map(|m| m.status());
    assert!(status.is_none_or(|s| s >= 400), "{status:?}");
    status
}

#[test]
fn idle_connections_are_closed_for_new_clients() {
    let backend = ScriptedServer::always_ok("hello");
    let mut config = build_config(&settings(), &known_list(&[&backend]));
    config["limits"]["sockets"] = json!(64);
    let proxy = Proxy::start_with_config(&config, idle_discovery().address);
    // Sends a request on a new connection until one is served; a closed or rejected one is repeated.
    let connect_and_serve = || {
        let mut connection = proxy.connect();
        wait_for("answer", || {
            let sent = connection.get_mut().write_all(request_text("look", 9000).as_bytes());
            let is_served = sent.is_ok() && read_message(&mut connection).is_some_and(|m| m.status() == 200);
            if !is_served {
                connection = proxy.connect();
                std::thread::sleep(Duration::from_millis(50));
            }
            is_served
        });
        connection
    };
    // More connections of each kind than the proxy has descriptors.
    let served: Vec<_> = (0..70).map(|_| connect_and_serve()).collect();
    let silent: Vec<_> = (0..70).map(|_| proxy.connect()).collect();
    connect_and_serve();
    drop((served, silent));
}

#[test]
fn client_that_replaces_a_silent_connection_is_served() {
    let backend = ScriptedServer::always_ok("hello");
    let mut config = build_config(&settings(), &known_list(&[&backend]));
    config["limits"]["sockets"] = json!(64); // capacity for 21 clients
    let proxy = Proxy::start_with_config(&config, idle_discovery().address);
    let silent: Vec<_> = (0..21).map(|_| proxy.connect()).collect();
    // Longer than a silent connection is kept while other clients wait.
    std::thread::sleep(Duration::from_secs(1));
    let mut served = Vec::new();
    for n in 0..15 {
        let mut stream = proxy.connect();
        assert_eq!(exchange(&mut stream, &request_text("look", 9000)).status(), 200, "client {n}");
        served.push(stream);
    }
    drop(silent);
}

#[test]
fn new_client_replaces_a_connection_that_is_idle_between_requests() {
    let backend = ScriptedServer::always_ok("hello");
    let mut config = build_config(&settings(), &known_list(&[&backend]));
    config["limits"]["sockets"] = json!(64); // capacity for 21 clients
    let proxy = Proxy::start_with_config(&config, idle_discovery().address);
    let mut idle = Vec::new();
    for n in 0..63 {
        let mut stream = proxy.connect();
        assert_eq!(exchange(&mut stream, &request_text("look", 9000)).status(), 200, "client {n}");
        idle.push(stream);
        // The longest idle time stays between 0.1 s and 2 s.
        std::thread::sleep(Duration::from_millis(40));
    }
}

#[test]
fn connection_with_an_open_request_is_not_closed_for_new_clients() {
    let (backend, release) = ScriptedServer::with_held_response("hello");
    let mut config = build_config(&settings(), &known_list(&[&backend]));
    config["limits"]["sockets"] = json!(64);
    let proxy = Proxy::start_with_config(&config, idle_discovery().address);
    let mut busy = proxy.connect();
    busy.get_mut().write_all(request_text("order", 20_000).as_bytes()).unwrap();
    wait_for("attempt", || backend.request_count() == 1);
    let silent: Vec<_> = (0..60).map(|_| proxy.connect()).collect();
    // All silent connections are closed in time; the one with an open request is not.
    for mut stream in silent {
        assert_eq!(read_rejection(&mut stream), None);
    }
    release.send(()).unwrap();
    assert_eq!(read_message(&mut busy).expect("an answer").status(), 200);
}

#[test]
fn incomplete_requests_are_given_up_within_three_seconds() {
    let backend = ScriptedServer::always_ok("hello");
    let proxy = Proxy::for_backends(&[&backend]);
    let good = request_text("look", 9000);
    let start = Instant::now();
    let parts = ["", "GET /api HT", good.strip_suffix("dy").unwrap()];
    let mut streams = parts.map(|part| {
        let mut stream = proxy.connect();
        stream.get_mut().write_all(part.as_bytes()).unwrap();
        stream
    });
    // The limit also holds on a connection that has already served a request.
    let mut second = proxy.connect();
    assert_eq!(exchange(&mut second, &request_text("look", 9000)).status(), 200);
    second.get_mut().write_all(b"GET /api HT").unwrap();
    let statuses = streams.each_mut().map(read_rejection);
    assert_eq!(statuses, [None, None, Some(408)]);
    read_rejection(&mut second);
    // The limit is 3 s; a busy host may need longer.
    assert!(start.elapsed() < Duration::from_secs(15), "{:?}", start.elapsed());
    assert_eq!(backend.request_count(), 1);
}

#[test]
fn idle_connection_is_kept() {
    let backend = ScriptedServer::always_ok("hello");
    let proxy = Proxy::for_backends(&[&backend]);
    let mut stream = proxy.connect();
    assert_eq!(exchange(&mut stream, &request_text("look", 9000)).status(), 200);
    std::thread::sleep(Duration::from_millis(3500));
    assert_eq!(exchange(&mut stream, &request_text("look", 9000)).status(), 200);
}

#[test]
fn requests_with_ambiguous_framing_are_rejected() {
    let backend = ScriptedServer::always_ok("hello");
    let proxy = Proxy::for_backends(&[&backend]);
    let good = request_text("save", 9000);
    let hidden = format!("0\r\n\r\n{}", request_text("save", 9000));
    for coding in [
        format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n{hidden}", hidden.len()),
        format!("Transfer-Encoding: chunked\r\nContent-Length: {}\r\n\r\n{hidden}", hidden.len()),
        "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n".to_string(),
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n".to_string(),
        "Transfer-Encoding: identity\r\n\r\nbody".to_string(),
        "Transfer-Encoding: chunked\r\n\r\n4x\r\nbody\r\n0\r\n\r\n".to_string(),
        "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody".to_string(),
        "Content-Length: -4\r\n\r\nbody".to_string(),
        "Content-Length: +4\r\n\r\nbody".to_string(),
        "Content-Length: 99999999999999999999999\r\n\r\nbody".to_string(),
    ] {
        let mut stream = proxy.connect();
        let text = good.replace("Content-Length: 4\r\n\r\nbody", &coding);
        stream.get_mut().write_all(text.as_bytes()).unwrap();
        read_rejection(&mut stream);
        // Bytes after the request are not answered either.
        assert!(read_message(&mut stream).is_none(), "{coding}");
    }
    assert_eq!(backend.request_count(), 0);
}

#[test]
fn malformed_request_is_rejected_and_its_connection_closed() {
    let backend = ScriptedServer::always_ok("hello");
    let proxy = Proxy::for_backends(&[&backend]);
    let (look, save, order) =
        (request_text("look", 9000), request_text("save", 9000), request_text("order", 9000));
    let id = look.lines().find(|l| l.starts_with("X-Txn")).unwrap();
    for text in [
        look.replace("GET ", "POST "),
        save.replace("POST ", "GET "),
        order.replace("POST ", "PUT "),
        order.replace("X-Org", "Idempotency-Key: 5c0f6e1a\r\nX-Org"),
        save.replace("Idempotency-Key: 5c0f6e1a\r\n", ""),
        look.replace("X-Txn: 0", "X-Txn: +"),
        look.replace(id, &format!("{id}\r\n{id}")),
        look.replace(&format!("{id}\r\n"), ""),
        look.replace("X-Lane: look", "X-Lane: look\r\nX-Lane: save"),
        look.replace("X-Remaining-Ms: 9000", "X-Remaining-Ms: -1"),
        look.replace("X-Remaining-Ms: 9000", "X-Remaining-Ms: +9000"),
        look.replace("X-Remaining-Ms: 9000", "X-Remaining-Ms: 99999999999999"),
        look.replace("GET /api?q=1", "CONNECT elsewhere:80"),
    ] {
        let mut stream = proxy.connect();
        let reply = exchange(&mut stream, &text);
        assert_eq!((reply.status(), reply.header("connection")), (400, Some("close")), "{text}");
        assert!(read_message(&mut stream).is_none(), "{text}");
    }
    assert_eq!(backend.request_count(), 0);
    // A remaining time above the maximum of the class is reduced to it.
    assert_eq!(proxy.exchange(&look.replace("9000", "4294967295")).status(), 200);
    let sent = backend.received_requests.lock().unwrap()[0].clone();
    assert!(sent.header("x-remaining-ms").unwrap().parse::<u64>().unwrap() <= 30_000);
}

#[test]
fn endless_request_head_is_rejected() {
    let backend = ScriptedServer::always_ok("hello");
    let proxy = Proxy::for_backends(&[&backend]);
    let mut stream = proxy.connect();
    let _ = stream.get_mut().write_all(b"GET /api HTTP/1.1\r\n");
    for i in 0..2000 {
        // The proxy may have closed the connection.
        if stream.get_mut().write_all(format!("X-{i}: {}\r\n", "y".repeat(64)).as_bytes()).is_err() {
            break;
        }
    }
    read_rejection(&mut stream);
    assert_eq!(backend.request_count(), 0);
}

#[test]
fn duplicate_id_of_an_open_request_is_rejected_without_effect_on_it() {
    let (backend, release) = ScriptedServer::with_held_response("hello");
    let proxy = Proxy::for_backends(&[&backend]);
    let text = request_text("order", 20_000);
    let mut first = proxy.connect();
    first.get_mut().write_all(text.as_bytes()).unwrap();
    wait_for("attempt", || backend.request_count() == 1);
    assert_eq!(proxy.exchange(&text).status(), 400);
    release.send(()).unwrap();
    assert_eq!(read_message(&mut first).expect("an answer").status(), 200);
    assert_eq!(backend.request_count(), 1);
}

#[test]
fn reused_id_is_not_answered_by_a_late_attempt_of_the_first_request() {
    // The answers are late, and attempts are not cancelled.
    let backend = ScriptedServer::new(move |before, _| {
        std::thread::sleep(Duration::from_millis(1500));
        let body = if before < 2 { "late" } else { "again" };
        ScriptedReply::Respond(format_response("200 OK", body))
    });
    let mut settings = settings();
    settings["caps"]["cancel"] = json!(false);
    let proxy = Proxy::start(&settings, &known_list(&[&backend]), idle_discovery().address);
    let ask_again = |text: &str| {
        let again = text.replace("X-Remaining-Ms: 600", "X-Remaining-Ms: 20000");
        let again = proxy.exchange(&again);
        (again.status(), again.body)
    };
    // An order may still run: its id is taken, also once the late answer has come.
    let order = request_text("order", 600);
    let status = proxy.exchange(&order).status();
    assert!(status != 200 && status != 503, "{status}");
    for pause_ms in [0, 1500] {
        std::thread::sleep(Duration::from_millis(pause_ms));
        let (status, body) = ask_again(&order);
        assert_eq!(status, 400, "{}", String::from_utf8_lossy(&body));
    }
    assert_eq!(backend.request_count(), 1);
    // A read may run again, and gets an answer of its own.
    let read = request_text("look", 600);
    assert_ne!(proxy.exchange(&read).status(), 200);
    assert_eq!(ask_again(&read), (200, b"again".to_vec()));
    assert_eq!(backend.request_count(), 3);
}
