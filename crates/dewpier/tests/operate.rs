//! Operators' calls, figures and drains of the platform's program, over loopback sockets.

#[path = "common/sockets.rs"]
mod sockets;

use serde_json::{Value, json};
use sockets::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

fn operated(settings: &Value, backends: &[&Played]) -> Proxy {
    let mut config = build_config(settings, &known_list(backends));
    config["operator"] = json!("127.0.0.1:0");
    Proxy::start_with_config(&config, idle_discovery().address)
}

#[test]
fn calls_are_answered_whatever_other_callers_do() {
    let backend = Played::good("a");
    let proxy = operated(&settings(), &[&backend]);
    let at = proxy.operator.unwrap();
    // Callers that say nothing, half a call, too much, or anything at all; they stay.
    let mut stay = Vec::new();
    for n in 0..200 {
        let mut caller = TcpStream::connect(at).unwrap();
        let said: &[u8] = match n % 5 {
            0 => b"",
            1 => b"che",
            2 => &[b'x'; 9000],
            3 => b"\xff\0\r\r\n",
            _ => b"vars\nvars\nvars\n",
        };
        let _ = caller.write_all(said);
        stay.push(caller);
        if n % 20 == 0 {
            let asked = Instant::now();
            assert!(proxy.call("check").starts_with("YES"));
            assert!(asked.elapsed() < Duration::from_secs(10), "it waits for others");
        }
    }
    let no = proxy.call("set-fire");
    assert!(no.starts_with("NO") && no.contains("drain-on"), "{no}");
    let vars = proxy.call("vars");
    assert!(vars.ends_with("\nEND\n") && vars.contains("edge_relay.members=1\n"), "{vars}");
    // Who says nothing is let go.
    stay[195].set_read_timeout(Some(LONG)).unwrap();
    assert_eq!(stay[195].read(&mut [0; 64]).unwrap_or(0), 0);
}

#[test]
fn without_an_address_nobody_is_listened_to() {
    let backend = Played::good("a");
    let proxy = Proxy::for_backends(&[&backend]);
    assert_eq!(proxy.operator, None);
    let listens = |table: &str| {
        let table = std::fs::read_to_string(format!("/proc/{}/net/{table}", proxy.child.id())).unwrap();
        let fds = std::fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).unwrap();
        let links = fds.filter_map(|fd| std::fs::read_link(fd.unwrap().path()).ok());
        let inodes: Vec<_> =
            links.filter_map(|l| l.to_str()?.strip_prefix("socket:[").map(|i| i.replace(']', ""))).collect();
        let rows = table.lines().skip(1).map(|l| l.split_whitespace().collect::<Vec<_>>());
        rows.filter(|r| r[3] == "0A" && inodes.iter().any(|i| i == r[9])).count()
    };
    assert_eq!(listens("tcp") + listens("tcp6"), 1, "the clients' address alone");
}

#[test]
fn a_drain_empties_it_and_is_undone() {
    let backend = Played::good("a");
    let proxy = operated(&settings(), &[&backend]);
    let ready = "GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n";
    wait_for("a yes", || proxy.exchange(ready).status() == 200);
    let (mut rests, mut mute, mut asks) = (proxy.connect(), proxy.connect(), proxy.connect());
    assert_eq!(ask(&mut rests, &request_text("look", 5000)).status(), 200);
    assert!(proxy.call("drain-on").starts_with("YES"));
    assert!(proxy.call("drain-on").starts_with("YES"), "twice");
    assert_eq!(proxy.exchange(ready).status(), 503);
    assert!(proxy.call("check").starts_with("NO"));
    // One that goes on is served, and told with its answer.
    let told = ask(&mut asks, &request_text("look", 5000));
    assert_eq!((told.status(), told.header("connection")), (200, Some("close")));
    // So is one that comes although it drains.
    let late = proxy.exchange(&request_text("look", 5000));
    assert_eq!((late.status(), late.header("connection")), (200, Some("close")));
    // Those that ask for nothing are closed, whether or not they have ever asked.
    assert_eq!(rests.read(&mut [0]).unwrap(), 0);
    assert_eq!(mute.read(&mut [0]).unwrap(), 0);
    assert!(proxy.call("drain-off").starts_with("YES"));
    assert_eq!(proxy.exchange(ready).status(), 200);
    assert!(proxy.call("check").starts_with("YES"));
    let mut stays = proxy.connect();
    for _ in 0..2 {
        let served = ask(&mut stays, &request_text("look", 5000));
        assert_eq!((served.status(), served.header("connection")), (200, None));
    }
}

#[test]
fn clients_that_never_pause_lose_nothing_by_drains() {
    let backend = Played::good("a");
    let proxy = operated(&settings(), &[&backend]);
    wait_for("a yes", || proxy.call("check").starts_with("YES"));
    let over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let client = || {
            let (mut served, mut told) = (0, 0);
            let mut stream = proxy.connect();
            while !over.load(Ordering::SeqCst) {
                let answer = ask(&mut stream, &request_text("order", 10_000));
                assert_eq!(answer.status(), 200);
                served += 1;
                if answer.header("connection") == Some("close") {
                    told += 1;
                    stream = proxy.connect();
                }
            }
            (served, told)
        };
        let clients: Vec<_> = (0..4).map(|_| scope.spawn(client)).collect();
        for _ in 0..2 {
            std::thread::sleep(Duration::from_millis(200));
            assert!(proxy.call("drain-on").starts_with("YES"));
            std::thread::sleep(Duration::from_millis(700));
            assert!(proxy.call("drain-off").starts_with("YES"));
        }
        over.store(true, Ordering::SeqCst);
        let counts: Vec<(u64, u64)> = clients.into_iter().map(|c| c.join().unwrap()).collect();
        assert!(counts.iter().all(|(_, told)| *told > 0), "{counts:?}");
        let served: u64 = counts.iter().map(|(served, _)| served).sum();
        assert_eq!(proxy.metric("downstream_requests.order.completed"), served);
        assert_eq!(backend.count() as u64, served);
    });
}

#[test]
fn figures_are_what_the_peers_saw() {
    // One that closes instead of every fifth answer, and one that turns every third request away.
    let spoils = Played::new(|n, _| match n % 5 {
        0 => Play::Close,
        _ => Play::Answer(answer("200 OK", "a")),
    });
    let full = Played::new(|n, _| match n % 3 {
        0 => Play::Answer("HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n".into()),
        _ => Play::Answer(answer("200 OK", "b")),
    });
    let proxy = operated(&settings(), &[&spoils, &full]);
    wait_for("a yes", || proxy.call("check").starts_with("YES"));
    let mut seen = std::collections::BTreeMap::<(String, &str), u64>::new();
    for n in 0..300 {
        let class = ["look", "save", "order"][n % 3];
        let ended = match proxy.exchange(&request_text(class, 5000)).status() {
            200 => "completed",
            429 | 503 => "rejected",
            _ => "failed",
        };
        *seen.entry((class.to_string(), ended)).or_default() += 1;
    }
    assert!(
        seen.keys().any(|(_, ended)| *ended == "failed"),
        "orders fail where they may have run: {seen:?}"
    );
    for class in ["look", "save", "order"] {
        for ended in ["completed", "rejected", "failed"] {
            let counted = proxy.metric(&format!("downstream_requests.{class}.{ended}"));
            assert_eq!(
                counted,
                seen.get(&(class.to_string(), ended)).copied().unwrap_or(0),
                "{class} {ended}"
            );
        }
    }
    assert_eq!(proxy.metric("upstream_requests"), (spoils.count() + full.count()) as u64);
    assert_eq!(proxy.metric("pending"), 0);
    // One whose client leaves has ended too, and one that is out is pending.
    let (ended, _hears) = std::sync::mpsc::channel();
    let silent = Played::new(move |_, _| Play::Silence(ended.clone()));
    let proxy = operated(&settings(), &[&silent]);
    wait_for("a yes", || proxy.call("check").starts_with("YES"));
    let mut leaves = proxy.connect();
    leaves.get_mut().write_all(request_text("order", 20_000).as_bytes()).unwrap();
    wait_for("a pending request", || proxy.metric("pending") == 1);
    wait_for("an attempt", || proxy.metric("upstream_requests") == 1);
    drop(leaves);
    wait_for("its end", || proxy.metric("pending") == 0);
}

#[test]
fn the_program_asks_one_that_serves_an_inventory() {
    let folder = std::env::temp_dir().join(format!("dw-operate-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let backend = Played::good("a");
    std::fs::write(folder.join("nodes.csv"), format!("id,address\na,{}\n", backend.address)).unwrap();
    let config = folder.join("dewpier.toml");
    let text = "listen = \"127.0.0.1:0\"\noperator = \"127.0.0.1:0\"\n[inventory]\nfile = \"nodes.csv\"\n";
    std::fs::write(&config, text).unwrap();
    let program = || std::process::Command::new(env!("CARGO_BIN_EXE_dewpier"));
    let mut serves = program();
    serves.arg("serve").arg("--config").arg(&config).stderr(std::process::Stdio::piped());
    let mut child = serves.spawn().unwrap();
    let mut log = std::io::BufReader::new(child.stderr.take().unwrap());
    let mut at = String::new();
    while !at.contains("operators call at ") {
        at.clear();
        assert!(std::io::BufRead::read_line(&mut log, &mut at).unwrap() > 0, "it ended");
    }
    let at = at.trim().rsplit(' ').next().unwrap().to_string();
    let call = |call: &str, at: &str| {
        let done = program().args(["operate", call, "--at", at]).output().unwrap();
        (done.status.code(), String::from_utf8(done.stdout).unwrap())
    };
    wait_for("a yes", || call("check", &at).0 == Some(0));
    assert_eq!(call("drain-on", &at).0, Some(0));
    let (code, told) = call("check", &at);
    assert!(code == Some(1) && told.starts_with("NO"), "{told}");
    assert_eq!(call("drain-off", &at).0, Some(0));
    let (code, told) = call("vars", &at);
    assert!(code == Some(0) && told.contains("edge_relay.members=1\n"), "{told}");
    assert_eq!(call("check", "127.0.0.1:1").0, Some(2));
    child.kill().unwrap();
    child.wait().unwrap();
}

/// The platform's program tells other proxies nothing, whatever its settings allow: it opens no socket for datagrams, and
/// keeps nothing on a disk.
#[test]
fn the_platforms_program_belongs_to_no_fleet() {
    let backend = Played::good("a");
    let mut config = build_config(&settings(), &known_list(&[&backend]));
    config["operator"] = json!("127.0.0.1:0");
    config["peers"] = json!(["127.0.0.1:9"]);
    config["peer_listen"] = json!("127.0.0.1:0");
    let kept = std::env::temp_dir().join(format!("dewpier-known-{}", std::process::id()));
    config["fleet"] = json!({"name": "p", "snapshot_file": kept.display().to_string()});
    let started = Instant::now();
    let proxy = Proxy::start_with_config(&config, idle_discovery().address);
    assert_eq!(proxy.exchange("GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status(), 200);
    let mut stream = TcpStream::connect(proxy.operator.unwrap()).unwrap();
    stream.write_all(b"verdicts\n").unwrap();
    let mut told = String::new();
    stream.read_to_string(&mut told).unwrap();
    assert!(told.starts_with("NO it belongs to no fleet"), "{told}");
    let files = std::fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).unwrap();
    let open: Vec<String> = files
        .filter_map(|file| Some(std::fs::read_link(file.ok()?.path()).ok()?.display().to_string()))
        .collect();
    assert!(open.iter().any(|file| file.starts_with("socket:")), "{open:?}");
    for table in ["udp", "udp6"] {
        let Ok(text) = std::fs::read_to_string(format!("/proc/net/{table}")) else { continue };
        let inodes = text.lines().skip(1).filter_map(|line| line.split_whitespace().nth(9));
        for inode in inodes {
            assert!(!open.contains(&format!("socket:[{inode}]")), "it has a socket for datagrams");
        }
    }
    // A process of a fleet keeps what it knows each second.
    std::thread::sleep(Duration::from_millis(2500).saturating_sub(started.elapsed()));
    assert!(!kept.exists(), "{}", kept.display());
}
