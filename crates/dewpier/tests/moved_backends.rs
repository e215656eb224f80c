//! Backends whose addresses change or are taken by others: nothing that was meant for one process reaches another.

mod common;

use common::sockets::*;
use dewpier_standins::late_backend::LateBackend;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// What the next list says of the address to which a request is connecting.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// The backend has another address.
    Moved,
    /// The backend is gone, and another one that drains has its address.
    Replaced,
    /// The backend drains, and another one that drains has its address.
    ReplacedDuringDrain,
}

/// The entries of the list after the change, where `elsewhere` serves.
fn changed_entries(change: Change, address: SocketAddr, elsewhere: SocketAddr) -> Vec<Value> {
    match change {
        Change::Moved => vec![list_entry("s-0", elsewhere, "SERVING")],
        Change::Replaced => {
            vec![list_entry("s-1", elsewhere, "SERVING"), list_entry("s-2", address, "DRAINING")]
        }
        Change::ReplacedDuringDrain => vec![
            list_entry("s-0", address, "DRAINING"),
            list_entry("s-1", elsewhere, "SERVING"),
            list_entry("s-2", address, "DRAINING"),
        ],
    }
}

/// A discovery service that tells `entries` once the flag is set.
fn start_discovery(entries: Vec<Value>) -> (ScriptedServer, Arc<AtomicBool>) {
    let has_changed = Arc::new(AtomicBool::new(false));
    let flag = has_changed.clone();
    let discovery = ScriptedServer::new(move |_, _| {
        let started = Instant::now();
        while !flag.load(Ordering::SeqCst) && started.elapsed() < WAIT_TIMEOUT {
            std::thread::sleep(Duration::from_millis(5));
        }
        let list = discovery_list(2, true, &entries).to_string();
        ScriptedReply::Respond(format_response("200 OK", &list))
    });
    (discovery, has_changed)
}

/// Accepts connections for `time` and returns all bytes received on them.
fn read_for(listener: &TcpListener, time: Duration) -> Vec<u8> {
    listener.set_nonblocking(true).unwrap();
    let (mut streams, mut received, start) = (Vec::new(), Vec::new(), Instant::now());
    while start.elapsed() < time {
        while let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(true).unwrap();
            streams.push(stream);
        }
        let mut buffer = [0; 4096];
        for stream in &mut streams {
            while let Ok(read @ 1..) = stream.read(&mut buffer) {
                received.extend_from_slice(&buffer[..read]);
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    received
}

#[test]
fn request_is_not_sent_to_the_next_process_at_the_address_of_its_backend() {
    std::thread::scope(|scope| {
        for change in [Change::Moved, Change::Replaced, Change::ReplacedDuringDrain] {
            for class in ["look", "save", "order"] {
                scope.spawn(move || {
                    let (late, elsewhere) = (LateBackend::start(), ScriptedServer::always_ok("elsewhere"));
                    let entries = changed_entries(change, late.address, elsewhere.address);
                    let (discovery, has_changed) = start_discovery(entries);
                    let mut settings = settings();
                    settings["registry-mode"] = json!("subscribe");
                    settings["caps"]["connect-timeout"] = json!(20.0);
                    settings["caps"]["max-attempts"] = json!(1);
                    settings["rules"]["drain-grace"] = json!(40.0);
                    let known = discovery_list(1, true, &[list_entry("s-0", late.address, "SERVING")]);
                    let proxy = Proxy::start(&settings, &known, discovery.address);
                    let mut client = proxy.connect();
                    client.get_mut().write_all(request_text(class, 20_000).as_bytes()).unwrap();
                    // The connect has begun once the answer to another client has come.
                    assert_eq!(proxy.exchange("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").status(), 200);
                    std::thread::sleep(Duration::from_millis(200));
                    has_changed.store(true, Ordering::SeqCst);
                    wait_for("the new list", || {
                        proxy.exchange(&request_text("look", 500)).body.as_slice() == b"elsewhere"
                    });
                    // The operating system repeats the connect after 1, 3 and 7 s.
                    let received = read_for(&late.open(), Duration::from_secs(8));
                    let text = String::from_utf8_lossy(&received);
                    assert!(!text.contains("/api"), "{class} {change:?}: {text}");
                    drop(client);
                });
            }
        }
    });
}
