//! Clients that leave: seen in whatever state their request is, also behind bytes that nobody has read, and nothing is
//! sent for them any more.

mod common;

use common::sockets::*;
use dewpier_standins::message::reset;
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// The operators' term is 0.1 s; the rest is for a busy machine, and far below any timer of the requests here.
const SEEN_WITHIN: Duration = Duration::from_millis(700);

/// A backend that says nothing, and tells when an attempt there is given up.
fn silent() -> (Played, Receiver<()>) {
    let (ended, end) = channel();
    (Played::new(move |_, _| Play::Silence(ended.clone())), end)
}

/// What a client may have sent behind its request when it leaves.
fn behind() -> [(&'static str, Vec<u8>); 5] {
    [
        ("nothing", Vec::new()),
        ("half a head", b"GET /api HTTP/1.1\r\nHost: a".to_vec()),
        ("a whole request", request_text("look", 9000).into_bytes()),
        ("as much as is kept", vec![b'x'; 15 << 10]),
        ("more than is kept", vec![b'x'; 3 << 20]),
    ]
}

#[test]
fn a_client_that_leaves_is_seen_behind_what_it_sent_last() {
    type Leave = fn(BufReader<TcpStream>);
    let ways: [(&str, Leave); 2] =
        [("closes", |client| drop(client)), ("resets", |client| reset(client.into_inner()))];
    for (how, leave) in ways {
        for (what, bytes) in behind() {
            let (backend, end) = silent();
            let proxy = Proxy::for_backends(&[&backend]);
            let mut client = proxy.connect();
            client.get_mut().write_all(request_text("order", 20_000).as_bytes()).unwrap();
            wait_for("attempt", || backend.count() == 1);
            client.get_mut().write_all(&bytes).unwrap();
            let left = Instant::now();
            leave(client);
            heard(&end);
            assert!(left.elapsed() < SEEN_WITHIN, "{how} behind {what}: {:?}", left.elapsed());
        }
    }
}

#[test]
fn nothing_is_sent_again_for_a_client_that_has_left() {
    let ((first, first_end), (second, second_end)) = (silent(), silent());
    let proxy = Proxy::for_backends(&[&first, &second]);
    let mut client = proxy.connect();
    // Its timer for a repeat fires after four tenths of this.
    client.get_mut().write_all(request_text("look", 2500).as_bytes()).unwrap();
    wait_for("attempt", || first.count() + second.count() == 1);
    client.get_mut().write_all(request_text("look", 2500).as_bytes()).unwrap();
    drop(client);
    let end = if first.count() == 1 { first_end } else { second_end };
    heard(&end);
    // By the end of its time every timer of it has fired.
    std::thread::sleep(Duration::from_millis(2700));
    assert_eq!(first.count() + second.count(), 1, "an attempt after the client had left");
}

#[test]
fn a_request_behind_an_open_one_is_read_as_it_came() {
    let (backend, release) = Played::held("hello");
    let proxy = Proxy::for_backends(&[&backend]);
    let mut client = proxy.connect();
    client.get_mut().write_all(request_text("look", 9000).as_bytes()).unwrap();
    wait_for("attempt", || backend.count() == 1);
    (0..3).for_each(|_| client.get_mut().write_all(request_text("order", 9000).as_bytes()).unwrap());
    release.send(()).unwrap();
    for _ in 0..4 {
        assert_eq!(read(&mut client).expect("an answer").status(), 200);
    }
    assert_eq!(backend.count(), 4);
}

#[test]
fn what_floods_a_connection_behind_a_request_ends_it_with_the_answer() {
    let (backend, release) = Played::held("hello");
    let proxy = Proxy::for_backends(&[&backend]);
    let mut client = proxy.connect();
    client.get_mut().write_all(request_text("look", 9000).as_bytes()).unwrap();
    wait_for("attempt", || backend.count() == 1);
    client.get_mut().write_all(&vec![b'x'; 3 << 20]).unwrap();
    release.send(()).unwrap();
    let answer = read(&mut client).expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(read(&mut client).is_none());
    assert_eq!(backend.count(), 1);
}

/// A backend on which connections come up late: its queue is full of others until it accepts.
struct Late {
    listener: TcpListener,
    address: SocketAddr,
    _filling: Vec<Socket>,
}

impl Late {
    fn start() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let filling = (0..4)
            .map(|_| {
                let filling = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
                filling.set_nonblocking(true).unwrap();
                let _ = filling.connect(&address.into()); // under way, or waiting for a place
                filling
            })
            .collect();
        Self { listener, address, _filling: filling }
    }

    /// Accepts everything that comes within that time, and tells which bytes came on it.
    fn read_for(self, time: Duration) -> Vec<u8> {
        self.listener.set_nonblocking(true).unwrap();
        let (mut streams, mut came, start) = (Vec::new(), Vec::new(), Instant::now());
        while start.elapsed() < time {
            while let Ok((stream, _)) = self.listener.accept() {
                stream.set_nonblocking(true).unwrap();
                streams.push(stream);
            }
            let mut space = [0; 4096];
            for stream in &mut streams {
                while let Ok(read @ 1..) = stream.read(&mut space) {
                    came.extend_from_slice(&space[..read]);
                }
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        came
    }
}

#[test]
fn a_connection_that_comes_up_after_the_client_has_left_is_not_used() {
    // Attempts may not be withdrawn here: nothing but the last look before the first byte keeps it back.
    for (leaves, expected) in [(false, true), (true, false)] {
        let late = Late::start();
        let mut settings = settings();
        settings["caps"]["cancel"] = json!(false);
        settings["caps"]["connect-timeout"] = json!(20.0);
        let known = discovery_list(1, true, &[list_entry("s-0", late.address, "SERVING")]);
        let proxy = Proxy::start(&settings, &known, idle_discovery().address);
        let mut client = proxy.connect();
        client.get_mut().write_all(request_text("order", 20_000).as_bytes()).unwrap();
        // Another client's answer tells that the request has been read.
        assert_eq!(proxy.exchange("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").status(), 200);
        let kept = (!leaves).then_some(client);
        // The system tries again after 1 s and after 3 s.
        let came = late.read_for(Duration::from_secs(5));
        assert_eq!(!came.is_empty(), expected, "leaves: {leaves}: {}", String::from_utf8_lossy(&came));
        drop(kept);
    }
}
