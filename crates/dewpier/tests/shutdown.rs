//! SIGTERM at awkward moments: everything that was read is answered, nothing that comes too late is sent on, and the
//! process ends by itself before SIGKILL.

mod common;

use common::sockets::*;
use dewpier_standins::message::read_head;
use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// The earliest SIGKILL after SIGTERM, with deadlines of 3 s and more.
const KILLED_AFTER: Duration = Duration::from_millis(3700);

const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n";

/// Ends well, before it would have been killed.
fn ends_in_time(mut proxy: Proxy, told: Instant) {
    wait_for("exit", || proxy.child.try_wait().unwrap().is_some());
    let took = told.elapsed();
    assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
    assert!(took < KILLED_AFTER, "{took:?}");
}

/// A client that has had an answer and rests.
fn resting(proxy: &Proxy) -> BufReader<TcpStream> {
    let mut client = proxy.connect();
    assert_eq!(ask(&mut client, &request_text("look", 9000)).status(), 200);
    client
}

#[test]
fn a_request_that_crosses_the_end_of_its_connection_is_not_sent_on() {
    let backend = Played::good("hello");
    let proxy = Proxy::for_backends(&[&backend]);
    let mut clients: Vec<_> = (0..8).map(|_| resting(&proxy)).collect();
    let before = backend.count();
    let told = Instant::now();
    proxy.signal("-TERM");
    for client in &mut clients {
        // The end is seen, and the request goes out at that very moment.
        assert_eq!(client.read(&mut [0; 64]).unwrap(), 0);
        client.get_mut().write_all(request_text("order", 9000).as_bytes()).unwrap();
    }
    // What is read and discarded is not answered by a reset: the end stands.
    for client in &mut clients {
        assert_eq!(client.read(&mut [0; 64]).unwrap(), 0);
    }
    ends_in_time(proxy, told);
    assert_eq!(backend.count(), before, "sent on after the end");
}

#[test]
fn a_request_of_which_half_had_come_is_answered() {
    let backend = Played::good("hello");
    let proxy = Proxy::for_backends(&[&backend]);
    let mut idle = resting(&proxy);
    let text = request_text("order", 9000);
    // In the middle of its head, and behind it.
    let cuts = [20, text.len() - 4];
    let mut halves: Vec<_> = cuts.iter().map(|_| resting(&proxy)).collect();
    for (client, cut) in halves.iter_mut().zip(cuts) {
        client.get_mut().write_all(&text.as_bytes()[..cut]).unwrap();
    }
    // Another answer tells that they have been read.
    assert_eq!(proxy.exchange(READY).status(), 200);
    let told = Instant::now();
    proxy.signal("-TERM");
    assert!(read(&mut idle).is_none(), "idle connections are ended");
    for (client, cut) in halves.iter_mut().zip(cuts) {
        client.get_mut().write_all(&text.as_bytes()[cut..]).unwrap();
        let answer = read(client).unwrap_or_else(|| panic!("no answer behind {cut} bytes"));
        // The second one has the name of the first, which is no longer in use.
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    }
    ends_in_time(proxy, told);
}

#[test]
fn hanging_backends_keep_nobody_without_an_answer() {
    let (ended, end) = channel();
    let backend = Played::new(move |_, _| Play::Silence(ended.clone()));
    let mut settings = settings();
    // Its clients would wait for longer than the process lives.
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
    wait_for("attempts", || backend.count() >= 3);
    let told = Instant::now();
    proxy.signal("-TERM");
    let answers: Vec<_> = clients.iter_mut().map(|client| read_head(client).expect("an answer")).collect();
    assert!(told.elapsed() < KILLED_AFTER, "{:?}", told.elapsed());
    let order = answers[2].status();
    assert!(order != 200 && order != 429 && order != 503, "what may have run is not refused: {order}");
    ends_in_time(proxy, told);
    heard(&end);
}

#[test]
fn signals_may_come_together_and_again() {
    for signals in [["-TERM", "-HUP"], ["-HUP", "-TERM"], ["-TERM", "-TERM"]] {
        let (backend, release) = Played::held("hello");
        let (first, second) = (idle_discovery(), idle_discovery());
        let mut config = build_config(&settings(), &known_list(&[&backend]));
        let proxy = Proxy::start_with_config(&config, first.address);
        let mut client = proxy.connect();
        client.get_mut().write_all(request_text("order", 3000).as_bytes()).unwrap();
        wait_for("attempt", || backend.count() == 1);
        config["discovery"] = json!(second.address.to_string());
        proxy.write_config(&config);
        let told = Instant::now();
        signals.iter().for_each(|signal| proxy.signal(signal));
        wait_for("stop", || proxy.exchange(READY).status() == 503);
        release.send(()).unwrap();
        assert_eq!(read(&mut client).expect("an answer").status(), 200, "{signals:?}");
        drop(client);
        ends_in_time(proxy, told);
    }
}

#[test]
fn one_that_knows_no_backend_yet_ends_at_once_in_order() {
    let proxy = Proxy::start(&settings(), &known_list(&[]), idle_discovery().address);
    assert_eq!(proxy.exchange(READY).status(), 503);
    let told = Instant::now();
    proxy.signal("-TERM");
    ends_in_time(proxy, told);
}

#[test]
fn a_client_that_neither_asks_nor_reads_does_not_keep_it() {
    let big: &'static str = Box::leak("x".repeat(60_000).into_boxed_str());
    let backend = Played::good(big);
    let proxy = Proxy::for_backends(&[&backend]);
    let mut deaf = proxy.connect();
    // More answers than its buffers hold, and it reads none.
    let texts: String = (0..200).map(|_| request_text("look", 9000)).collect();
    deaf.get_mut().write_all(texts.as_bytes()).unwrap();
    let mut half = proxy.connect();
    half.get_mut().write_all(b"GET /api HT").unwrap();
    assert_eq!(proxy.exchange(READY).status(), 200);
    let told = Instant::now();
    proxy.signal("-TERM");
    ends_in_time(proxy, told);
    drop((deaf, half));
}
