//! One client that sends requests at full speed on one connection: other clients are served in time, and the memory of
//! the process stays bounded.

mod common;

use common::sockets::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Time for which the client sends.
const FLOOD_TIME: Duration = Duration::from_secs(3);
/// Longest time in which another client gets its answer meanwhile.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(500);
const MEMORY_MB: u64 = 48;

/// Returns the maximum resident memory of the process so far, in kB.
fn max_memory_kb(proxy: &Proxy) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
    line.trim().strip_suffix(" kB").unwrap().parse().unwrap()
}

/// Sends what `next` returns, over and over, on one connection at a time, and reads the answers unless told not to.
fn flood(proxy: &Proxy, is_over: &AtomicBool, reads: bool, next: &dyn Fn(u64) -> Vec<u8>) -> u64 {
    let mut sent = 0;
    while !is_over.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(proxy.address) else { continue };
        stream.set_write_timeout(Some(Duration::from_millis(200))).unwrap();
        let mut answers = stream.try_clone().unwrap();
        let reading = std::thread::spawn(move || {
            let mut buffer = [0; 64 << 10];
            while reads && answers.read(&mut buffer).is_ok_and(|read| read > 0) {}
        });
        while !is_over.load(Ordering::SeqCst) {
            let batch: Vec<u8> = (0..50).flat_map(|n| next(sent + n)).collect();
            if stream.write_all(&batch).is_err() {
                break;
            }
            sent += 50;
        }
        let _ = stream.shutdown(Shutdown::Both);
        reading.join().unwrap();
    }
    sent
}

/// Runs a flood beside other clients and checks their answers and the memory of the process.
fn check_flood(name: &str, reads: bool, next: impl Fn(u64) -> Vec<u8> + Sync) {
    let backend = ScriptedServer::always_ok("hello");
    let mut settings = settings();
    settings["projects"] = json!([{"name": "acme", "quota-per-s": 100_000.0, "share": 1.0}]);
    let mut config = build_config(&settings, &known_list(&[&backend]));
    config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024});
    config["operator"] = json!("127.0.0.1:0");
    let proxy = Proxy::start_with_config(&config, idle_discovery().address);
    wait_for("positive check", || proxy.call("check").starts_with("YES"));
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let flooding = scope.spawn(|| flood(&proxy, &is_over, reads, &next));
        let started = Instant::now();
        let mut slowest = Duration::ZERO;
        let mut answers = 0;
        while started.elapsed() < FLOOD_TIME {
            let asked = Instant::now();
            let status = proxy.exchange(&request_text("look", 5000)).status();
            slowest = slowest.max(asked.elapsed());
            // A refusal is an answer too.
            assert!([200, 503].contains(&status), "{name}: {status}");
            answers += u64::from(status == 200);
            let asked = Instant::now();
            assert!(proxy.call("check").starts_with("YES"), "{name}");
            slowest = slowest.max(asked.elapsed());
            std::thread::sleep(Duration::from_millis(20));
        }
        is_over.store(true, Ordering::SeqCst);
        let sent = flooding.join().unwrap();
        let memory = max_memory_kb(&proxy);
        println!("{name}: {sent} sent, {answers} other answers, slowest {slowest:?}, {memory} kB");
        assert!(slowest < MAX_ANSWER_TIME, "{name}: {slowest:?}");
        assert!(answers > 0, "{name}: nobody else was served");
        assert!(memory < MEMORY_MB << 10, "{name}: {memory} kB");
    });
}

/// A request without its last line, under an ever new id and key.
fn new_names(class: &str, number: u64) -> String {
    let (method, key) = match class {
        "look" => ("GET", String::new()),
        "save" => ("POST", format!("Idempotency-Key: {number:x}\r\n")),
        _ => ("POST", String::new()),
    };
    format!(
        "{method} /api?q={number} HTTP/1.1\r\nHost: app{number}.svc\r\nX-Txn: {:016x}\r\nX-Lane: {class}\r\n\
         X-Org: acme\r\n{key}Cookie: sid={number:016x}\r\nX-{number}: {number}\r\nX-Remaining-Ms: 5000\r\n",
        number | 1 << 60
    )
}

#[test]
fn flood_of_checks_of_readiness() {
    for reads in [true, false] {
        check_flood("ready", reads, |_| b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n".to_vec());
    }
}

#[test]
fn flood_of_sound_requests_under_new_names() {
    for class in ["look", "save", "order"] {
        for reads in [true, false] {
            check_flood(class, reads, |n| {
                format!("{}Content-Length: 0\r\n\r\n", new_names(class, n)).into_bytes()
            });
        }
    }
}

#[test]
fn flood_of_unsound_requests() {
    check_flood("unknown class", true, |n| {
        format!("{}Content-Length: 0\r\n\r\n", new_names(&format!("class{n}"), n)).into_bytes()
    });
    check_flood("unknown tenant", true, |n| {
        let request = new_names("look", n).replace("acme", &format!("org{n}"));
        format!("{request}Content-Length: 0\r\n\r\n").into_bytes()
    });
    check_flood("noise", true, |n| format!("\x01noise {n}\r\n\r\n").into_bytes());
    check_flood("empty lines", true, |_| b"\r\n\r\n\r\n".to_vec());
    check_flood("id in use", true, |_| {
        format!("{}Content-Length: 0\r\n\r\n", new_names("order", 7)).into_bytes()
    });
}

#[test]
fn flood_of_small_chunks() {
    let head = format!("{}Transfer-Encoding: chunked\r\n\r\n", new_names("order", 1));
    check_flood("chunks of one byte", true, move |n| {
        let start = if n == 0 { head.clone() } else { String::new() };
        format!("{start}1\r\nx\r\n").into_bytes()
    });
    check_flood("chunk extensions", true, |n| {
        let start = format!("{}Transfer-Encoding: chunked\r\n\r\n", new_names("save", n));
        format!("{start}1;name{n}=value\r\nx\r\n0\r\n\r\n").into_bytes()
    });
}
