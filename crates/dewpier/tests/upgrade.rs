//! A new process of the platform's program beside the old one, under load, over loopback sockets: the old one is
//! stopped, killed or hung, or the new one is.

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
/// How many upgrades in a row; more by the environment variable `UPGRADES`.
const UPGRADES: usize = 50;

fn folder(name: &str) -> PathBuf {
    // A Unix socket's path is short.
    let folder = std::env::temp_dir().join(format!("dw-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn config(backends: &[&Played]) -> Value {
    let mut config = build_config(&settings(), &known_list(backends));
    config["operator"] = json!("127.0.0.1:0");
    config
}

fn takes(proxy: &Proxy) -> bool {
    proxy.call("check").starts_with("YES")
}

fn backend() -> Played {
    Played::new(|_, _| {
        std::thread::sleep(Duration::from_millis(2));
        Play::Answer(answer("200 OK", "done"))
    })
}

/// One that takes clients, and where.
fn first(start: impl Fn(&str) -> Proxy) -> (Proxy, std::net::SocketAddr) {
    let proxy = start("127.0.0.1:0");
    wait_for("a yes", || takes(&proxy));
    let address = proxy.address;
    (proxy, address)
}

/// Ids that reached any of them more than once.
fn twice(backends: &[&Played]) -> Vec<String> {
    let mut seen = HashSet::new();
    let mut twice = Vec::new();
    for backend in backends {
        for message in backend.requests.lock().unwrap().iter() {
            let id = message.header("x-txn").unwrap().to_string();
            if !seen.insert(id.clone()) {
                twice.push(id);
            }
        }
    }
    twice
}

/// Clients that order without pause on kept connections, until told.
struct Orders {
    over: AtomicBool,
    served: AtomicU64,
    /// Turned back unheard: the connection was refused, or ended with no byte of an answer. They ask again.
    back: AtomicU64,
    /// Anything else than a whole answer.
    other: AtomicU64,
}

impl Orders {
    fn new() -> Self {
        let none = || AtomicU64::new(0);
        Self { over: AtomicBool::new(false), served: none(), back: none(), other: none() }
    }

    fn run(&self, address: std::net::SocketAddr) {
        let connect = || {
            let stream = TcpStream::connect(address).ok()?;
            stream.set_read_timeout(Some(LONG)).unwrap();
            Some(BufReader::new(stream))
        };
        let mut kept = connect();
        let add = |count: &AtomicU64| count.fetch_add(1, Ordering::SeqCst);
        while !self.over.load(Ordering::SeqCst) {
            let Some(stream) = &mut kept else {
                add(&self.back);
                std::thread::sleep(Duration::from_millis(5));
                kept = connect();
                continue;
            };
            let sent = stream.get_mut().write_all(request_text("order", 10_000).as_bytes());
            match sent.ok().and_then(|()| read(stream)) {
                Some(answer) if answer.status() == 200 => {
                    add(&self.served);
                    if answer.header("connection") == Some("close") {
                        kept = connect();
                    }
                }
                None => {
                    add(&self.back);
                    kept = connect();
                }
                Some(_) => {
                    add(&self.other);
                }
            }
        }
    }

    fn counts(&self) -> [u64; 3] {
        [&self.served, &self.back, &self.other].map(|count| count.load(Ordering::SeqCst))
    }
}

/// Runs `during` while clients order; what they counted.
fn under_load(address: std::net::SocketAddr, during: impl FnOnce(&Orders)) -> [u64; 3] {
    let orders = Orders::new();
    std::thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| orders.run(address));
        }
        // However it ends, the clients end too.
        struct Over<'a>(&'a Orders);
        impl Drop for Over<'_> {
            fn drop(&mut self) {
                self.0.over.store(true, Ordering::SeqCst);
            }
        }
        let over = Over(&orders);
        during(&orders);
        drop(over);
    });
    orders.counts()
}

fn served_on(orders: &Orders) {
    let before = orders.counts()[0];
    wait_for("more orders", || orders.counts()[0] >= before + 20);
}

fn ended_well(mut proxy: Proxy) {
    proxy.signal("-TERM");
    wait_for("exit", || proxy.child.try_wait().unwrap().is_some());
    assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
}

#[test]
fn upgrades_one_after_the_other_turn_nobody_back() {
    let upgrades = std::env::var("UPGRADES").ok().and_then(|s| s.parse().ok()).unwrap_or(UPGRADES);
    let mut rng = Rng::from_env("SEED", 35);
    let backends = [backend(), backend()];
    let all = [&backends[0], &backends[1]];
    let (config, folder, lists) = (config(&all), folder("ups"), idle_discovery());
    let start = |address: &str| Proxy::start_at(address, &config, lists.address, &folder).expect("it starts");
    let (mut old, address) = first(start);
    let counts = under_load(address, |orders| {
        for n in 0..upgrades {
            let back = orders.counts()[1];
            let new = start(&address.to_string());
            wait_for("a yes of the new one", || takes(&new));
            wait_for("a no of the old one", || !takes(&old));
            std::thread::sleep(Duration::from_millis(rng.number() % 40));
            ended_well(std::mem::replace(&mut old, new));
            let back = orders.counts()[1] - back;
            assert!(back <= 2, "{back} turned back in upgrade {n}");
        }
        served_on(orders);
    });
    let [served, back, other] = counts;
    println!("{served} served, {back} turned back in {upgrades} upgrades");
    assert_eq!(other, 0);
    assert_eq!(twice(&all), Vec::<String>::new());
    let done = backends.iter().map(Played::count).sum::<usize>() as u64;
    assert!((served..=served + back).contains(&done), "{done} done, {served} served, {back} turned back");
}

#[test]
fn an_old_one_that_is_killed_or_hangs_keeps_no_new_one_from_serving() {
    let backends = [backend(), backend()];
    let all = [&backends[0], &backends[1]];
    let (config, folder, lists) = (config(&all), folder("dies"), idle_discovery());
    let start = |address: &str| Proxy::start_at(address, &config, lists.address, &folder).expect("it starts");
    let (mut old, address) = first(start);
    let [_, back, other] = under_load(address, |orders| {
        for hung in [false, true, false, true] {
            served_on(orders);
            if hung {
                old.signal("-STOP");
            }
            let new = start(&address.to_string());
            wait_for("a yes of the new one", || takes(&new));
            old.signal("-KILL");
            wait_for("its end", || old.child.try_wait().unwrap().is_some());
            old = new;
            served_on(orders);
        }
    });
    // What a killed process held is the client's to ask again: its request, and in the hung one's queue another.
    assert!(back <= 4 * 2 * CLIENTS as u64, "{back}");
    assert_eq!(other, 0);
    assert_eq!(twice(&all), Vec::<String>::new());
}

#[test]
fn a_new_one_that_dies_or_never_knows_a_backend_leaves_the_old_one_serving() {
    let backends = [backend(), backend()];
    let all = [&backends[0], &backends[1]];
    let (whole, folder, lists) = (config(&all), folder("never"), idle_discovery());
    let old = Proxy::start_at("127.0.0.1:0", &whole, lists.address, &folder).unwrap();
    let address = old.address.to_string();
    wait_for("a yes", || takes(&old));
    let [_, _, other] = under_load(old.address, |orders| {
        // It knows no backend and is told of none.
        let unlisted = Proxy::start_at(&address, &config(&[]), lists.address, &folder).unwrap();
        served_on(orders);
        assert!(takes(&old) && !takes(&unlisted));
        // Another one comes meanwhile, and listens beside.
        let third = Proxy::start_at(&address, &whole, lists.address, &folder).unwrap();
        wait_for("a yes of the third", || takes(&third));
        served_on(orders);
        drop(third);
        drop(unlisted);
        served_on(orders);
        // One that takes over and dies at once.
        let short = Proxy::start_at(&address, &whole, lists.address, &folder).unwrap();
        wait_for("a yes", || takes(&short));
        wait_for("a no", || !takes(&old));
        drop(short);
        wait_for("a yes again", || takes(&old));
        served_on(orders);
    });
    assert_eq!(other, 0);
    assert_eq!(twice(&all), Vec::<String>::new());
    ended_well(old);
}

#[test]
fn without_a_folder_that_can_be_used_it_listens_beside() {
    let backends = [backend(), backend()];
    let all = [&backends[0], &backends[1]];
    let (config, lists) = (config(&all), idle_discovery());
    // A stale file in the way, a folder that is none, and a path that is too long for a socket.
    let stale = folder("stale");
    let long = stale.join("x".repeat(120));
    std::fs::create_dir_all(&long).unwrap();
    for place in [stale.clone(), PathBuf::from("/dev/null"), long] {
        let old = Proxy::start_at("127.0.0.1:0", &config, lists.address, &place).unwrap();
        wait_for("a yes", || takes(&old));
        let file = place.join(format!("dewpier-{}.handover", old.address));
        if place == stale {
            wait_for("its door", || file.exists());
            std::fs::remove_file(&file).unwrap();
            std::fs::write(&file, "left behind").unwrap();
        }
        let new = Proxy::start_at(&old.address.to_string(), &config, lists.address, &place).unwrap();
        wait_for("a yes of the new one", || takes(&new));
        ended_well(old);
        assert_eq!(new.exchange(&request_text("order", 5000)).status(), 200);
        ended_well(new);
    }
}

#[test]
fn one_that_takes_over_asks_for_news_at_once() {
    let backends = [backend(), backend()];
    let (channel, _ended) = std::sync::mpsc::channel();
    let lists = Played::new(move |_, _| Play::Silence(channel.clone()));
    // Those that start together would take their time.
    let mut config = config(&[&backends[0], &backends[1]]);
    config["settings"]["registry-mode"] = json!("subscribe");
    config["settings"]["rules"]["ask-within"] = json!(600.0);
    let folder = folder("asks");
    let old = Proxy::start_at("127.0.0.1:0", &config, lists.address, &folder).unwrap();
    wait_for("a yes", || takes(&old));
    let before = lists.count();
    let new = Proxy::start_at(&old.address.to_string(), &config, lists.address, &folder).unwrap();
    wait_for("a yes of the new one", || takes(&new));
    wait_for("a call for news", || lists.count() > before);
    assert!(before <= 1 && old.address == new.address);
}

#[test]
fn who_stops_takes_nothing_more_while_it_gives_its_last_answers() {
    let (held, release) = Played::held("done");
    let mut config = config(&[&held]);
    // So long is served after SIGTERM at the least: half of that and 0.7 s.
    for class in 0..3 {
        config["settings"]["classes"][class]["hard-limit"] = json!(3.0);
    }
    let (folder, lists) = (folder("last"), idle_discovery());
    let old = Proxy::start_at("127.0.0.1:0", &config, lists.address, &folder).unwrap();
    let address = old.address;
    wait_for("a yes", || takes(&old));
    // Its successor has the socket from it, and is the one that stops.
    let mut last = Proxy::start_at(&address.to_string(), &config, lists.address, &folder).unwrap();
    wait_for("a yes of the new one", || takes(&last));
    ended_well(old);
    last.signal("-TERM");
    let mut stream = last.connect();
    std::thread::sleep(Duration::from_millis(1500));
    stream.get_mut().write_all(request_text("order", 2900).as_bytes()).unwrap();
    wait_for("an attempt", || held.count() == 1);
    wait_for("a refusal", || TcpStream::connect(address).is_err());
    assert!(last.child.try_wait().unwrap().is_none(), "it has an answer to give yet");
    release.send(()).unwrap();
    assert_eq!(read(&mut stream).expect("an answer").status(), 200);
    wait_for("exit", || last.child.try_wait().unwrap().is_some());
    assert_eq!(last.child.wait().unwrap().code(), Some(0));
}

#[test]
fn one_that_waits_for_a_list_stops_when_it_is_told() {
    let backends = [backend()];
    let (whole, folder, lists) = (config(&[&backends[0]]), folder("waits"), idle_discovery());
    let old = Proxy::start_at("127.0.0.1:0", &whole, lists.address, &folder).unwrap();
    let address = old.address.to_string();
    wait_for("a yes", || takes(&old));
    ended_well(Proxy::start_at(&address, &config(&[]), lists.address, &folder).unwrap());
    assert_eq!(old.exchange(&request_text("order", 5000)).status(), 200);
    // Where the old one ends meanwhile, somebody must answer.
    let alone = Proxy::start_at(&address, &config(&[]), lists.address, &folder).unwrap();
    ended_well(old);
    assert_eq!(alone.exchange("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").status(), 503);
}
