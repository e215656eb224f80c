//! Hundreds of clients that hold up memory at the same time: the process stays under its limit, and serves others
//! afterwards.

#[path = "common/sockets.rs"]
mod sockets;

use dewpier_standins::bulk::{self, BulkServer, Framing};
use serde_json::json;
use sockets::*;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

const CLIENTS: usize = 400;
/// The memory limits of the process in MB.
const MEMORY_MB: [u64; 2] = [32, 96];
/// Time for which the clients hold their connections.
const HOLD_TIME: Duration = Duration::from_millis(1000);

fn start_proxy(backend: &BulkServer, memory_mb: u64) -> Proxy {
    let list = discovery_list(1, true, &[list_entry("s-0", backend.address, "SERVING")]);
    let mut settings = settings();
    settings["caps"]["max-open"] = json!(10_000);
    settings["projects"] = json!([{"name": "acme", "quota-per-s": 100_000.0, "share": 1.0}]);
    let mut config = build_config(&settings, &list);
    config["limits"] = json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": 2048});
    config["operator"] = json!("127.0.0.1:0");
    Proxy::start_with_config(&config, idle_discovery().address)
}

/// Returns the maximum resident memory of the process so far, in kB.
fn max_memory_kb(proxy: &Proxy) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
    line.trim().strip_suffix(" kB").unwrap().parse().unwrap()
}

/// The head of a request without its framing header and its end.
fn head(class: &str, query: &str) -> String {
    let request = request_text(class, 15_000).replace("?q=1", &format!("?{query}"));
    request.split("Content-Length").next().unwrap().to_string()
}

/// Crowds run one at a time: together they would need thousands of threads and connections.
static CROWD: Mutex<()> = Mutex::new(());

/// Starts a client; it returns its connection, which is held open.
type StartClient = fn(usize, TcpStream) -> TcpStream;

fn ask_for(mut stream: TcpStream, query: &str) -> TcpStream {
    let request = format!("{}Content-Length: 0\r\n\r\n", head("order", query));
    let _ = stream.write_all(request.as_bytes());
    stream
}

/// Runs a crowd of clients of one kind at proxies with each memory limit.
fn run_crowd(start_client: StartClient) {
    let _crowd = CROWD.lock().unwrap_or_else(PoisonError::into_inner);
    for memory_mb in MEMORY_MB {
        let backend = BulkServer::start();
        let proxy = start_proxy(&backend, memory_mb);
        wait_for("positive check", || proxy.call("check").starts_with("YES"));
        let before = max_memory_kb(&proxy);
        std::thread::scope(|scope| {
            let clients = (0..CLIENTS).filter_map(|n| {
                let stream = TcpStream::connect(proxy.address).ok()?;
                stream.set_write_timeout(Some(HOLD_TIME)).unwrap();
                Some(scope.spawn(move || start_client(n, stream)))
            });
            let clients: Vec<_> = clients.collect();
            let clients: Vec<TcpStream> = clients.into_iter().map(|client| client.join().unwrap()).collect();
            std::thread::sleep(HOLD_TIME);
            drop(clients);
        });
        let after = max_memory_kb(&proxy);
        println!("limit {memory_mb} MB: {before} kB before, {after} kB after");
        assert!(after < memory_mb << 10, "{after} kB at a limit of {memory_mb} MB, {before} kB before");
        wait_for("answer to another client", || {
            let mut stream = proxy.connect();
            let sent = stream.get_mut().write_all(request_text("look", 9000).as_bytes());
            sent.is_ok() && read_message(&mut stream).is_some_and(|answer| answer.status() == 200)
        });
    }
}

#[test]
fn crowd_that_reads_long_answers_slowly() {
    run_crowd(|n, stream| {
        let framing = ["length", "chunked", "close"][n % 3];
        ask_for(stream, &format!("size={}&framing={framing}", 8 << 20))
    });
}

#[test]
fn crowd_that_reads_answers_just_above_the_limit_of_what_is_held_slowly() {
    run_crowd(|_, stream| ask_for(stream, "size=160000"));
}

#[test]
fn crowd_that_reads_answers_that_are_held_whole_slowly() {
    run_crowd(|_, mut stream| {
        // The system's buffers hold some of the answers; the client reads none.
        for _ in 0..100 {
            stream = ask_for(stream, "size=65000");
        }
        stream
    });
}

#[test]
fn crowd_that_stops_half_way_through_long_bodies() {
    run_crowd(|n, mut stream| {
        let framing = [Framing::Length, Framing::Chunked][n % 2];
        let _ = bulk::write_body(&mut stream, &head("order", "size=5"), framing, 2 << 20, Some(1 << 20));
        stream
    });
}

#[test]
fn crowd_whose_long_bodies_are_not_read() {
    run_crowd(|n, mut stream| {
        let framing = [Framing::Length, Framing::Chunked][n % 2];
        let _ = bulk::write_body(&mut stream, &head("order", "read_rate=0"), framing, 1 << 20, None);
        stream
    });
}

#[test]
fn crowd_that_stops_half_way_through_short_bodies() {
    run_crowd(|n, mut stream| {
        let framing = [Framing::Length, Framing::Chunked][n % 2];
        let _ = bulk::write_body(&mut stream, &head("order", "size=5"), framing, 60_000, Some(50_000));
        stream
    });
}

#[test]
fn crowd_with_heads_of_many_short_fields() {
    run_crowd(|n, mut stream| {
        let fields = [90, 99, 3000][n % 3];
        let mut request = head("order", "read_rate=0");
        (0..fields).for_each(|field| request += &format!("{:x}:\r\n", field + 10));
        request += "Content-Length: 1000\r\n\r\n";
        let _ = stream.write_all(request.as_bytes());
        let _ = stream.write_all(&[b'x'; 500]);
        stream
    });
}

#[test]
fn crowd_that_writes_long_heads_slowly() {
    run_crowd(|n, mut stream| {
        let request = format!("{}X-Long: {}", head("order", "size=5"), "x".repeat(15_500));
        let started = Instant::now();
        for piece in request.as_bytes().chunks(512 + n) {
            if started.elapsed() > HOLD_TIME || stream.write_all(piece).is_err() {
                break;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        stream
    });
}

#[test]
fn crowd_of_all_kinds_at_once() {
    run_crowd(|n, mut stream| {
        match n % 5 {
            0 => return ask_for(stream, &format!("size={}", 8 << 20)),
            1 => return ask_for(stream, "size=160000"),
            2 => drop(bulk::write_body(
                &mut stream,
                &head("order", "read_rate=0"),
                Framing::Length,
                1 << 20,
                None,
            )),
            3 => drop(bulk::write_body(
                &mut stream,
                &head("save", "size=5"),
                Framing::Length,
                60_000,
                Some(50_000),
            )),
            _ => drop(
                stream.write_all(format!("{}X-Long: {}", head("look", "a"), "x".repeat(15_000)).as_bytes()),
            ),
        }
        stream
    });
}

#[test]
fn slow_readers_get_their_long_answers_whole() {
    let backend = BulkServer::start();
    let proxy = start_proxy(&backend, 32);
    std::thread::scope(|scope| {
        for _ in 0..60 {
            let stream = TcpStream::connect(proxy.address).unwrap();
            scope.spawn(move || {
                stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
                let mut stream = BufReader::new(ask_for(stream, "size=1000000&framing=close"));
                let mut received = Vec::new();
                let mut buffer = vec![0; 64 << 10];
                while let Ok(read @ 1..) = stream.read(&mut buffer) {
                    received.extend_from_slice(&buffer[..read]);
                    std::thread::sleep(Duration::from_millis(20));
                }
                assert!(received.len() > 1_000_000, "{} bytes", received.len());
            });
        }
    });
}
