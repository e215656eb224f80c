//! Replaces a process of the platform's program by a new one under load, over loopback sockets: the old or the new
//! process is stopped, killed or suspended.

#[path = "common/sockets.rs"]
mod sockets;

use dewpier_standins::rng::Rng;
use serde_json::{Value, json};
use sockets::*;
use std::collections::HashSet;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

const CLIENTS: usize = 4;
/// The number of successive upgrades; the environment variable `UPGRADES` sets another one.
const UPGRADES: usize = 50;

fn folder(name: &str) -> PathBuf {
    // The path of a Unix socket must be short.
    let folder = std::env::temp_dir().join(format!("dw-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn operator_config(backends: &[&ScriptedServer]) -> Value {
    let mut config = build_config(&settings(), &known_list(backends));
    config["operator"] = json!("127.0.0.1:0");
    config
}

fn is_accepting(proxy: &Proxy) -> bool {
    proxy.call("check").starts_with("YES")
}

fn start_backend() -> ScriptedServer {
    ScriptedServer::new(|_, _| {
        std::thread::sleep(Duration::from_millis(2));
        ScriptedReply::Respond(format_response("200 OK", "done"))
    })
}

/// Starts the first proxy, waits until it accepts clients, and returns its address.
fn start_first(start: impl Fn(&str) -> Proxy) -> (Proxy, std::net::SocketAddr) {
    let proxy = start("127.0.0.1:0");
    wait_for("positive check", || is_accepting(&proxy));
    let address = proxy.address;
    (proxy, address)
}

/// Returns the request ids that reached the backends more than once.
fn duplicate_ids(backends: &[&ScriptedServer]) -> Vec<String> {
    let mut known_ids = HashSet::new();
    let mut duplicates = Vec::new();
    for backend in backends {
        for message in backend.received_requests.lock().unwrap().iter() {
            let id = message.header("x-txn").unwrap().to_string();
            if !known_ids.insert(id.clone()) {
                duplicates.push(id);
            }
        }
    }
    duplicates
}

/// Clients that send orders without pause on persistent connections.
struct Orders {
    is_over: AtomicBool,
    served: AtomicU64,
    /// Connections that were refused or closed without any byte of an answer. The client repeats the order.
    unanswered: AtomicU64,
    /// Answers with a status other than 200.
    failed: AtomicU64,
}

impl Orders {
    fn new() -> Self {
        let zero = || AtomicU64::new(0);
        Self { is_over: AtomicBool::new(false), served: zero(), unanswered: zero(), failed: zero() }
    }

    fn run(&self, address: std::net::SocketAddr) {
        let connect = || {
            let stream = TcpStream::connect(address).ok()?;
            stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
            Some(BufReader::new(stream))
        };
        let mut connection = connect();
        let add = |count: &AtomicU64| count.fetch_add(1, Ordering::SeqCst);
        while !self.is_over.load(Ordering::SeqCst) {
            let Some(stream) = &mut connection else {
                add(&self.unanswered);
                std::thread::sleep(Duration::from_millis(5));
                connection = connect();
                continue;
            };
            let sent = stream.get_mut().write_all(request_text("order", 10_000).as_bytes());
            match sent.ok().and_then(|()| read_message(stream)) {
                Some(answer) if answer.status() == 200 => {
                    add(&self.served);
                    if answer.header("connection") == Some("close") {
                        connection = connect();
                    }
                }
                None => {
                    add(&self.unanswered);
                    connection = connect();
                }
                Some(_) => {
                    add(&self.failed);
                }
            }
        }
    }

    fn counts(&self) -> [u64; 3] {
        [&self.served, &self.unanswered, &self.failed].map(|count| count.load(Ordering::SeqCst))
    }
}

/// Runs `during` while clients send orders, and returns their counts: served, unanswered, failed.
fn under_load(address: std::net::SocketAddr, during: impl FnOnce(&Orders)) -> [u64; 3] {
    let orders = Orders::new();
    std::thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| orders.run(address));
        }
        // Ends the clients also after a panic.
        struct EndOnDrop<'a>(&'a Orders);
        impl Drop for EndOnDrop<'_> {
            fn drop(&mut self) {
                self.0.is_over.store(true, Ordering::SeqCst);
            }
        }
        let end = EndOnDrop(&orders);
        during(&orders);
        drop(end);
    });
    orders.counts()
}

fn wait_for_orders(orders: &Orders) {
    let before = orders.counts()[0];
    wait_for("more orders", || orders.counts()[0] >= before + 20);
}

fn stop_in_order(mut proxy: Proxy) {
    proxy.signal("-TERM");
    wait_for("exit", || proxy.child.try_wait().unwrap().is_some());
    assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
}

#[test]
fn successive_upgrades_lose_no_order() {
    let upgrades = std::env::var("UPGRADES").ok().and_then(|s| s.parse().ok()).unwrap_or(UPGRADES);
    let mut rng = Rng::from_env("SEED", 35);
    let backends = [start_backend(), start_backend()];
    let all = [&backends[0], &backends[1]];
    let (config, folder, lists) = (operator_config(&all), folder("ups"), idle_discovery());
    let start = |address: &str| {
        Proxy::start_at(address, &config, lists.address, &folder).expect("the proxy should start")
    };
    let (mut old, address) = start_first(start);
    let counts = under_load(address, |orders| {
        for n in 0..upgrades {
            let unanswered = orders.counts()[1];
            let new = start(&address.to_string());
            wait_for("positive check of the new process", || is_accepting(&new));
            wait_for("negative check of the old process", || !is_accepting(&old));
            std::thread::sleep(Duration::from_millis(rng.next_u64() % 40));
            stop_in_order(std::mem::replace(&mut old, new));
            let unanswered = orders.counts()[1] - unanswered;
            assert!(unanswered <= 2, "{unanswered} unanswered in upgrade {n}");
        }
        wait_for_orders(orders);
    });
    let [served, unanswered, failed] = counts;
    println!("{served} served, {unanswered} unanswered in {upgrades} upgrades");
    assert_eq!(failed, 0);
    assert_eq!(duplicate_ids(&all), Vec::<String>::new());
    let received = backends.iter().map(ScriptedServer::request_count).sum::<usize>() as u64;
    assert!(
        (served..=served + unanswered).contains(&received),
        "{received} received, {served} served, {unanswered} unanswered"
    );
}

#[test]
fn new_process_serves_when_the_old_one_is_killed_or_suspended() {
    let backends = [start_backend(), start_backend()];
    let all = [&backends[0], &backends[1]];
    let (config, folder, lists) = (operator_config(&all), folder("dies"), idle_discovery());
    let start = |address: &str| {
        Proxy::start_at(address, &config, lists.address, &folder).expect("the proxy should start")
    };
    let (mut old, address) = start_first(start);
    let [_, unanswered, failed] = under_load(address, |orders| {
        for is_suspended in [false, true, false, true] {
            wait_for_orders(orders);
            if is_suspended {
                old.signal("-STOP");
            }
            let new = start(&address.to_string());
            wait_for("positive check of the new process", || is_accepting(&new));
            old.signal("-KILL");
            wait_for("exit of the old process", || old.child.try_wait().unwrap().is_some());
            old = new;
            wait_for_orders(orders);
        }
    });
    // Each client may lose its request in the killed process, and one more in the accept queue of a suspended one.
    assert!(unanswered <= 4 * 2 * CLIENTS as u64, "{unanswered}");
    assert_eq!(failed, 0);
    assert_eq!(duplicate_ids(&all), Vec::<String>::new());
}

#[test]
fn old_process_serves_when_the_new_one_dies_or_has_no_backend() {
    let backends = [start_backend(), start_backend()];
    let all = [&backends[0], &backends[1]];
    let (full_config, folder, lists) = (operator_config(&all), folder("never"), idle_discovery());
    let old = Proxy::start_at("127.0.0.1:0", &full_config, lists.address, &folder).unwrap();
    let address = old.address.to_string();
    wait_for("positive check", || is_accepting(&old));
    let [_, _, failed] = under_load(old.address, |orders| {
        // This process has no backend and receives none.
        let unlisted = Proxy::start_at(&address, &operator_config(&[]), lists.address, &folder).unwrap();
        wait_for_orders(orders);
        assert!(is_accepting(&old) && !is_accepting(&unlisted));
        // A third process starts meanwhile and listens on the same address.
        let third = Proxy::start_at(&address, &full_config, lists.address, &folder).unwrap();
        wait_for("positive check of the third process", || is_accepting(&third));
        wait_for_orders(orders);
        drop(third);
        drop(unlisted);
        wait_for_orders(orders);
        // A process that takes over and is killed at once.
        let short_lived = Proxy::start_at(&address, &full_config, lists.address, &folder).unwrap();
        wait_for("positive check", || is_accepting(&short_lived));
        wait_for("negative check", || !is_accepting(&old));
        drop(short_lived);
        wait_for("positive check after the takeover", || is_accepting(&old));
        wait_for_orders(orders);
    });
    assert_eq!(failed, 0);
    assert_eq!(duplicate_ids(&all), Vec::<String>::new());
    stop_in_order(old);
}

#[test]
fn new_process_shares_the_address_without_a_usable_folder() {
    let backends = [start_backend(), start_backend()];
    let all = [&backends[0], &backends[1]];
    let (config, lists) = (operator_config(&all), idle_discovery());
    // A stale file in place of the socket, a path that is no folder, and a path too long for a socket.
    let stale = folder("stale");
    let long = stale.join("x".repeat(120));
    std::fs::create_dir_all(&long).unwrap();
    for place in [stale.clone(), PathBuf::from("/dev/null"), long] {
        let old = Proxy::start_at("127.0.0.1:0", &config, lists.address, &place).unwrap();
        wait_for("positive check", || is_accepting(&old));
        let file = place.join(format!("dewpier-{}.handover", old.address));
        if place == stale {
            wait_for("handover socket", || file.exists());
            std::fs::remove_file(&file).unwrap();
            std::fs::write(&file, "left behind").unwrap();
        }
        let new = Proxy::start_at(&old.address.to_string(), &config, lists.address, &place).unwrap();
        wait_for("positive check of the new process", || is_accepting(&new));
        stop_in_order(old);
        assert_eq!(new.exchange(&request_text("order", 5000)).status(), 200);
        stop_in_order(new);
    }
}

#[test]
fn process_that_takes_over_requests_changes_at_once() {
    let backends = [start_backend(), start_backend()];
    let (channel, _ended) = std::sync::mpsc::channel();
    let lists = ScriptedServer::new(move |_, _| ScriptedReply::NeverRespond(channel.clone()));
    // A process without a predecessor would delay its first request.
    let mut config = operator_config(&[&backends[0], &backends[1]]);
    config["settings"]["registry-mode"] = json!("subscribe");
    config["settings"]["rules"]["ask-within"] = json!(600.0);
    let folder = folder("asks");
    let old = Proxy::start_at("127.0.0.1:0", &config, lists.address, &folder).unwrap();
    wait_for("positive check", || is_accepting(&old));
    let before = lists.request_count();
    let new = Proxy::start_at(&old.address.to_string(), &config, lists.address, &folder).unwrap();
    wait_for("positive check of the new process", || is_accepting(&new));
    wait_for("request for changes", || lists.request_count() > before);
    assert!(before <= 1 && old.address == new.address);
}

#[test]
fn stopping_process_refuses_connections_while_it_sends_its_last_answers() {
    let (held, release) = ScriptedServer::with_held_response("done");
    let mut config = operator_config(&[&held]);
    // The process serves for at least half of this time plus 0.7 s after SIGTERM.
    for class in 0..3 {
        config["settings"]["classes"][class]["hard-limit"] = json!(3.0);
    }
    let (folder, lists) = (folder("last"), idle_discovery());
    let old = Proxy::start_at("127.0.0.1:0", &config, lists.address, &folder).unwrap();
    let address = old.address;
    wait_for("positive check", || is_accepting(&old));
    // The successor receives the socket and is stopped.
    let mut successor = Proxy::start_at(&address.to_string(), &config, lists.address, &folder).unwrap();
    wait_for("positive check of the new process", || is_accepting(&successor));
    stop_in_order(old);
    successor.signal("-TERM");
    let mut stream = successor.connect();
    std::thread::sleep(Duration::from_millis(1500));
    stream.get_mut().write_all(request_text("order", 2900).as_bytes()).unwrap();
    wait_for("attempt", || held.request_count() == 1);
    wait_for("refused connection", || TcpStream::connect(address).is_err());
    assert!(successor.child.try_wait().unwrap().is_none(), "the process must stay until its last answer");
    release.send(()).unwrap();
    assert_eq!(read_message(&mut stream).expect("an answer").status(), 200);
    wait_for("exit", || successor.child.try_wait().unwrap().is_some());
    assert_eq!(successor.child.wait().unwrap().code(), Some(0));
}

#[test]
fn process_without_a_list_stops_on_sigterm() {
    let backends = [start_backend()];
    let (full_config, folder, lists) = (operator_config(&[&backends[0]]), folder("waits"), idle_discovery());
    let old = Proxy::start_at("127.0.0.1:0", &full_config, lists.address, &folder).unwrap();
    let address = old.address.to_string();
    wait_for("positive check", || is_accepting(&old));
    stop_in_order(Proxy::start_at(&address, &operator_config(&[]), lists.address, &folder).unwrap());
    assert_eq!(old.exchange(&request_text("order", 5000)).status(), 200);
    // When the old process ends first, the new one must answer.
    let remaining = Proxy::start_at(&address, &operator_config(&[]), lists.address, &folder).unwrap();
    stop_in_order(old);
    assert_eq!(remaining.exchange("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").status(), 503);
}

#[test]
fn id_that_comes_again_at_the_other_process_reaches_no_backend_twice() {
    for class in ["save", "order"] {
        for old_dies in [false, true] {
            let (ended, _end) = std::sync::mpsc::channel();
            let backend = ScriptedServer::new(move |_, _| ScriptedReply::NeverRespond(ended.clone()));
            let (config, folder, lists) = (operator_config(&[&backend]), folder("ids"), idle_discovery());
            let start = |address: &str| {
                Proxy::start_at(address, &config, lists.address, &folder).expect("the proxy should start")
            };
            let (old, address) = start_first(start);
            let (before, during) = (request_text(class, 9000), request_text(class, 9000));
            let mut clients = [old.connect(), old.connect()];
            clients[0].get_mut().write_all(before.as_bytes()).unwrap();
            wait_for("attempt", || backend.request_count() == 1);
            let new = start(&address.to_string());
            wait_for("positive check of the new process", || is_accepting(&new));
            wait_for("negative check of the old process", || !is_accepting(&old));
            // The old process still has this connection.
            clients[1].get_mut().write_all(during.as_bytes()).unwrap();
            wait_for("attempt during the upgrade", || backend.request_count() == 2);
            drop(clients);
            if old_dies {
                old.signal("-KILL");
            }
            for request in [&before, &during] {
                assert_eq!(new.exchange(request).status(), 400, "{class}, old dies: {old_dies}");
            }
            assert_eq!(backend.request_count(), 2, "{class}, old dies: {old_dies}");
            // A request that is new to both is sent.
            let mut client = new.connect();
            client.get_mut().write_all(request_text(class, 9000).as_bytes()).unwrap();
            wait_for("attempt of the new process", || backend.request_count() == 3);
        }
    }
}
