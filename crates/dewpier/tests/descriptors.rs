//! Idle clients occupy every descriptor of the process while discovery is down: clients, discovery, backends and
//! operators each keep their reserved descriptors.

mod common;

use common::sockets::*;
use dewpier_http::discovery::schedule::STALENESS_BOUND;
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

const DESCRIPTORS: usize = 64;

/// Returns the seconds of processor time that a process has used.
fn cpu_seconds(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    let ticks: f64 = fields[11..=12].iter().map(|ticks| ticks.parse::<f64>().unwrap()).sum();
    ticks / 100.0
}

/// Whether a request on a new connection is answered with `body`.
fn is_served(proxy: &Proxy, body: &[u8]) -> bool {
    let mut client = proxy.connect();
    let sent = client.get_mut().write_all(request_text("look", 9000).as_bytes());
    sent.is_ok() && read_message(&mut client).is_some_and(|m| m.status() == 200 && m.body == body)
}

#[test]
fn idle_clients_do_not_take_the_descriptors_of_others() {
    let [old, new] = ["old", "new"].map(ScriptedServer::always_ok);
    // Nothing listens at this address yet.
    let discovery = reserve_addresses(1)[0];
    let mut config = build_config(&settings(), &known_list(&[&old]));
    config["limits"]["sockets"] = json!(DESCRIPTORS);
    config["operator"] = json!("127.0.0.1:0");
    let proxy = Proxy::start_with_descriptor_limit(&config, discovery, DESCRIPTORS);
    let connect = || TcpStream::connect(proxy.address).unwrap();
    // More connections than descriptors, with and without a request; closed ones are replaced.
    let mut idle: Vec<TcpStream> = (0..3 * DESCRIPTORS).map(|_| connect()).collect();
    for client in idle.iter_mut().step_by(2) {
        let _ = client.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"); // the connection may be closed already
    }
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(3) {
        idle.extend((0..8).map(|_| connect()));
        std::thread::sleep(Duration::from_millis(50));
    }
    // Operators' calls are answered, and clients' requests are served.
    assert!(proxy.call("check").starts_with("YES"));
    wait_for("answer", || is_served(&proxy, b"old"));
    assert!(begun.elapsed() < Duration::from_secs(8), "{:?}", begun.elapsed());
    // Discovery returns with a new list.
    let new_list = discovery_list(2, true, &[list_entry("s-new", new.address, "SERVING")]).to_string();
    let started_at = Instant::now();
    let _discovery =
        ScriptedServer::bind(discovery, move |_, message| match message.start_line.contains("since=2&") {
            true => ScriptedReply::NeverRespond(std::sync::mpsc::channel().0),
            false => ScriptedReply::Respond(format_response("200 OK", &new_list)),
        });
    wait_for("answer of the new backend", || is_served(&proxy, b"new"));
    assert!(started_at.elapsed() < STALENESS_BOUND, "{:?}", started_at.elapsed());
    // The process is idle while nothing happens, with all those connections open.
    let before = cpu_seconds(proxy.child.id());
    std::thread::sleep(Duration::from_secs(1));
    let used = cpu_seconds(proxy.child.id()) - before;
    assert!(used < 0.4, "an idle process used {used} s of processor time in 1 s");
    drop(idle);
}
