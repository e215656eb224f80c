//! SIGTERM during open requests, pending requests and reloads: every request that was read is answered, none that
//! arrives too late is forwarded, and the process exits before SIGKILL.

mod common;

use common::sockets::*;
use dewpier_standins::bulk::{self, Framing};
use dewpier_standins::message::read_head;
use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
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
    // An id that may have run is taken, so that each has one of its own.
    let texts = [request_text("order", 9000), request_text("order", 9000)];
    // In the middle of the head, and after it.
    let cuts = [20, texts[1].len() - 4];
    let mut halves: Vec<_> = cuts.iter().map(|_| connect_idle(&proxy)).collect();
    for ((client, cut), text) in halves.iter_mut().zip(cuts).zip(&texts) {
        client.get_mut().write_all(&text.as_bytes()[..cut]).unwrap();
    }
    // An answer to another client shows that they have been read.
    assert_eq!(proxy.exchange(READY).status(), 200);
    let signalled_at = Instant::now();
    proxy.signal("-TERM");
    assert!(read_message(&mut idle).is_none(), "idle connections are ended");
    for ((client, cut), text) in halves.iter_mut().zip(cuts).zip(&texts) {
        client.get_mut().write_all(&text.as_bytes()[cut..]).unwrap();
        let answer =
            read_message(client).unwrap_or_else(|| panic!("no answer to the request cut at {cut} bytes"));
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

/// A body that is streamed, and fits into the buffers of the system.
const LONG_BODY_BYTES: usize = 200_000;
/// A body that does not fit into them.
const VERY_LONG_BODY_BYTES: usize = 32 << 20;

/// The head of an order, without its framing header and its end, of a client that waits longer than the process runs.
fn order_head() -> String {
    let request = request_text("order", 19_000);
    request.split("Content-Length").next().unwrap().to_string()
}

/// How far a request with a long body has got at SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LongBody {
    /// Its backend has it whole and hangs.
    Sent(Framing),
    /// Its backend reads nothing.
    BackendReadsNothing,
    /// Its client has sent a part, and no more.
    ClientStopped,
    /// It is sent after SIGTERM.
    SentAfterStop,
}

/// Starts a backend that reads requests with bodies of any framing and never responds. Returns its address and the number
/// of requests that it has whole.
fn start_hanging_backend() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, request_count) = (listener.local_addr().unwrap(), Arc::<AtomicUsize>::default());
    let counter = request_count.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let counter = counter.clone();
            std::thread::spawn(move || {
                let mut stream = BufReader::new(stream);
                while let Some(head) = read_head(&mut stream) {
                    let body = bulk::read_body(&mut stream, &head.headers, |_| {});
                    counter.fetch_add(usize::from(body.is_complete), Ordering::SeqCst);
                }
            });
        }
    });
    (address, request_count)
}

/// Runs a request in this phase through a stop, and returns the status of its answer.
fn status_of_long_body(phase: LongBody) -> u16 {
    let (backend, request_count) = start_hanging_backend();
    let deaf = TcpListener::bind("127.0.0.1:0").unwrap(); // its connections come up and are not read
    let address = if phase == LongBody::BackendReadsNothing { deaf.local_addr().unwrap() } else { backend };
    let list = discovery_list(1, true, &[list_entry("s-0", address, "SERVING")]);
    let proxy = Proxy::start(&settings(), &list, idle_discovery().address);
    assert_eq!(proxy.exchange(READY).status(), 200);
    let mut client = proxy.connect();
    let mut writer = client.get_ref().try_clone().unwrap();
    let (framing, size, cut) = match phase {
        LongBody::Sent(framing) => (framing, LONG_BODY_BYTES, None),
        LongBody::BackendReadsNothing => (Framing::Length, VERY_LONG_BODY_BYTES, None),
        LongBody::ClientStopped => (Framing::Length, LONG_BODY_BYTES, Some(LONG_BODY_BYTES / 2)),
        LongBody::SentAfterStop => (Framing::Length, LONG_BODY_BYTES, None),
    };
    let mut signalled_at = Instant::now();
    if phase == LongBody::SentAfterStop {
        proxy.signal("-TERM");
        wait_for("stop of the proxy", || proxy.exchange(READY).status() == 503);
    }
    // Fails where the proxy closes the connection before it has read the body.
    let writing = std::thread::spawn(move || {
        let _ = bulk::write_body(&mut writer, &order_head(), framing, size, cut);
    });
    match phase {
        LongBody::Sent(_) | LongBody::SentAfterStop => {
            wait_for("attempt", || request_count.load(Ordering::SeqCst) == 1);
        }
        // No sign tells how far these are.
        LongBody::BackendReadsNothing | LongBody::ClientStopped => {
            std::thread::sleep(Duration::from_millis(300));
        }
    }
    if phase != LongBody::SentAfterStop {
        signalled_at = Instant::now();
        proxy.signal("-TERM");
    }
    let answer = read_head(&mut client).unwrap_or_else(|| panic!("{phase:?}: no answer"));
    assert!(signalled_at.elapsed() < MIN_TIME_TO_KILL, "{phase:?}: {:?}", signalled_at.elapsed());
    drop(client);
    assert_exit_in_time(proxy, signalled_at);
    writing.join().unwrap();
    answer.status()
}

/// Guards against: orders with long bodies at backends that hang through a stop got no answer.
#[test]
fn long_body_in_every_phase_is_answered_before_the_exit() {
    let phases = [
        LongBody::Sent(Framing::Length),
        LongBody::Sent(Framing::Chunked),
        LongBody::BackendReadsNothing,
        LongBody::ClientStopped,
        LongBody::SentAfterStop,
    ];
    std::thread::scope(|scope| {
        let running = phases.map(|phase| (phase, scope.spawn(move || status_of_long_body(phase))));
        for (phase, status) in running {
            let status = status.join().unwrap_or_else(|_| panic!("{phase:?} failed"));
            // A client that stops is told so before the end of the stop.
            let expected = if phase == LongBody::ClientStopped { 408 } else { 502 };
            assert_eq!(status, expected, "{phase:?}");
        }
    });
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
