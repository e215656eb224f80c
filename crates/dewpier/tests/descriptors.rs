//! Idle clients on every descriptor that the process may have, while discovery is down: clients, discovery, backends
//! and operators each keep their part.

mod common;

use common::sockets::*;
use dewpier_http::discovery::schedule::STALENESS_BOUND;
use serde_json::json;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const DESCRIPTORS: usize = 64;

/// Seconds of processor time that a process has used.
fn used(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    let ticks: f64 = fields[11..=12].iter().map(|ticks| ticks.parse::<f64>().unwrap()).sum();
    ticks / 100.0
}

/// Whether a request on a new connection is served.
fn served(proxy: &Proxy, body: &[u8]) -> bool {
    let mut client = proxy.connect();
    let sent = client.get_mut().write_all(request_text("look", 9000).as_bytes());
    sent.is_ok() && read(&mut client).is_some_and(|m| m.status() == 200 && m.body == body)
}

#[test]
fn idle_clients_on_every_descriptor_keep_out_nobody_else() {
    let [old, new] = ["old", "new"].map(Played::good);
    // Nobody listens there yet.
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut config = build_config(&settings(), &known_list(&[&old]));
    config["limits"]["sockets"] = json!(DESCRIPTORS);
    config["operator"] = json!("127.0.0.1:0");
    let proxy = Proxy::start_with_descriptor_limit(&config, discovery, DESCRIPTORS);
    let connect = || TcpStream::connect(proxy.address).unwrap();
    // More than there are descriptors, of both kinds; what is closed comes back.
    let mut idle: Vec<TcpStream> = (0..3 * DESCRIPTORS).map(|_| connect()).collect();
    for client in idle.iter_mut().step_by(2) {
        let _ = client.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"); // it may be closed by now
    }
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(3) {
        idle.extend((0..8).map(|_| connect()));
        std::thread::sleep(Duration::from_millis(50));
    }
    // Operators are answered, and clients that ask are served.
    assert!(proxy.call("check").starts_with("YES"));
    wait_for("answer", || served(&proxy, b"old"));
    assert!(begun.elapsed() < Duration::from_secs(8), "{:?}", begun.elapsed());
    // Discovery can be reached again, and what it tells as well.
    let words = discovery_list(2, true, &[list_entry("s-new", new.address, "SERVING")]).to_string();
    let up = Instant::now();
    let _discovery = Played::at(discovery, move |_, message| match message.first.contains("since=2&") {
        true => Play::Silence(std::sync::mpsc::channel().0),
        false => Play::Answer(answer("200 OK", &words)),
    });
    wait_for("answer of the new backend", || served(&proxy, b"new"));
    assert!(up.elapsed() < STALENESS_BOUND, "{:?}", up.elapsed());
    // It rests while nothing happens, with all those connections open.
    let before = used(proxy.child.id());
    std::thread::sleep(Duration::from_secs(1));
    let busy = used(proxy.child.id()) - before;
    assert!(busy < 0.4, "it spins: {busy} s of one");
    drop(idle);
}
