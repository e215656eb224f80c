//! Operators' calls, metrics and drains of the platform's program, over loopback sockets.

#[path = "common/sockets.rs"]
mod sockets;

use serde_json::{Value, json};
use sockets::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

fn start_with_operator(settings: &Value, backends: &[&ScriptedServer]) -> Proxy {
    let mut config = build_config(settings, &known_list(backends));
    config["operator"] = json!("127.0.0.1:0");
    Proxy::start_with_config(&config, idle_discovery().address)
}

#[test]
fn calls_are_answered_despite_silent_and_malformed_callers() {
    let backend = ScriptedServer::always_ok("a");
    let proxy = start_with_operator(&settings(), &[&backend]);
    let at = proxy.operator.unwrap();
    // Callers that send nothing, half a call, too many bytes or malformed calls, and stay connected.
    let mut callers = Vec::new();
    for n in 0..200 {
        let mut caller = TcpStream::connect(at).unwrap();
        let bytes: &[u8] = match n % 5 {
            0 => b"",
            1 => b"che",
            2 => &[b'x'; 9000],
            3 => b"\xff\0\r\r\n",
            _ => b"vars\nvars\nvars\n",
        };
        let _ = caller.write_all(bytes);
        callers.push(caller);
        if n % 20 == 0 {
            let called_at = Instant::now();
            assert!(proxy.call("check").starts_with("YES"));
            assert!(called_at.elapsed() < Duration::from_secs(10), "the call waits for other callers");
        }
    }
    let reply = proxy.call("set-fire");
    assert!(reply.starts_with("NO") && reply.contains("drain-on"), "{reply}");
    let vars = proxy.call("vars");
    assert!(vars.ends_with("\nEND\n") && vars.contains("edge_relay.members=1\n"), "{vars}");
    // A silent caller is disconnected.
    callers[195].set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    assert_eq!(callers[195].read(&mut [0; 64]).unwrap_or(0), 0);
}

#[test]
fn no_operator_socket_is_opened_without_an_address() {
    let backend = ScriptedServer::always_ok("a");
    let proxy = Proxy::for_backends(&[&backend]);
    assert_eq!(proxy.operator, None);
    let count_listeners = |table: &str| {
        let table = std::fs::read_to_string(format!("/proc/{}/net/{table}", proxy.child.id())).unwrap();
        let fds = std::fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).unwrap();
        let links = fds.filter_map(|fd| std::fs::read_link(fd.unwrap().path()).ok());
        let inodes: Vec<_> =
            links.filter_map(|l| l.to_str()?.strip_prefix("socket:[").map(|i| i.replace(']', ""))).collect();
        let rows = table.lines().skip(1).map(|l| l.split_whitespace().collect::<Vec<_>>());
        rows.filter(|r| r[3] == "0A" && inodes.iter().any(|i| i == r[9])).count()
    };
    assert_eq!(count_listeners("tcp") + count_listeners("tcp6"), 1, "only the clients' address");
}

#[test]
fn drain_closes_all_connections_and_can_be_cancelled() {
    let backend = ScriptedServer::always_ok("a");
    let proxy = start_with_operator(&settings(), &[&backend]);
    let ready = "GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n";
    wait_for("positive check", || proxy.exchange(ready).status() == 200);
    let (mut idle, mut silent, mut active) = (proxy.connect(), proxy.connect(), proxy.connect());
    assert_eq!(exchange(&mut idle, &request_text("look", 5000)).status(), 200);
    assert!(proxy.call("drain-on").starts_with("YES"));
    assert!(proxy.call("drain-on").starts_with("YES"), "repeated");
    assert_eq!(proxy.exchange(ready).status(), 503);
    assert!(proxy.call("check").starts_with("NO"));
    // An active client is served, and its connection is closed with the answer.
    let answer = exchange(&mut active, &request_text("look", 5000));
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    // A new client is served in the same way.
    let late_answer = proxy.exchange(&request_text("look", 5000));
    assert_eq!((late_answer.status(), late_answer.header("connection")), (200, Some("close")));
    // Idle connections are closed, with and without an earlier request.
    assert_eq!(idle.read(&mut [0]).unwrap(), 0);
    assert_eq!(silent.read(&mut [0]).unwrap(), 0);
    assert!(proxy.call("drain-off").starts_with("YES"));
    assert_eq!(proxy.exchange(ready).status(), 200);
    assert!(proxy.call("check").starts_with("YES"));
    let mut client = proxy.connect();
    for _ in 0..2 {
        let answer = exchange(&mut client, &request_text("look", 5000));
        assert_eq!((answer.status(), answer.header("connection")), (200, None));
    }
}

#[test]
fn drains_lose_no_request_of_busy_clients() {
    let backend = ScriptedServer::always_ok("a");
    let proxy = start_with_operator(&settings(), &[&backend]);
    wait_for("positive check", || proxy.call("check").starts_with("YES"));
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let client = || {
            let (mut served, mut closed) = (0, 0);
            let mut stream = proxy.connect();
            while !is_over.load(Ordering::SeqCst) {
                let answer = exchange(&mut stream, &request_text("order", 10_000));
                assert_eq!(answer.status(), 200);
                served += 1;
                if answer.header("connection") == Some("close") {
                    closed += 1;
                    stream = proxy.connect();
                }
            }
            (served, closed)
        };
        let clients: Vec<_> = (0..4).map(|_| scope.spawn(client)).collect();
        for _ in 0..2 {
            std::thread::sleep(Duration::from_millis(200));
            assert!(proxy.call("drain-on").starts_with("YES"));
            std::thread::sleep(Duration::from_millis(700));
            assert!(proxy.call("drain-off").starts_with("YES"));
        }
        is_over.store(true, Ordering::SeqCst);
        let counts: Vec<(u64, u64)> = clients.into_iter().map(|c| c.join().unwrap()).collect();
        assert!(counts.iter().all(|(_, closed)| *closed > 0), "{counts:?}");
        let served: u64 = counts.iter().map(|(served, _)| served).sum();
        assert_eq!(proxy.metric("downstream_requests.order.completed"), served);
        assert_eq!(backend.request_count() as u64, served);
    });
}

#[test]
fn metrics_match_what_clients_and_backends_saw() {
    // One backend closes the connection instead of every fifth answer, the other rejects every third request.
    let closing = ScriptedServer::new(|n, _| match n % 5 {
        0 => ScriptedReply::Close,
        _ => ScriptedReply::Respond(format_response("200 OK", "a")),
    });
    let rejecting = ScriptedServer::new(|n, _| match n % 3 {
        0 => ScriptedReply::Respond(
            "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n".into(),
        ),
        _ => ScriptedReply::Respond(format_response("200 OK", "b")),
    });
    let proxy = start_with_operator(&settings(), &[&closing, &rejecting]);
    wait_for("positive check", || proxy.call("check").starts_with("YES"));
    let mut outcomes = std::collections::BTreeMap::<(String, &str), u64>::new();
    for n in 0..300 {
        let class = ["look", "save", "order"][n % 3];
        let outcome = match proxy.exchange(&request_text(class, 5000)).status() {
            200 => "completed",
            429 | 503 => "rejected",
            _ => "failed",
        };
        *outcomes.entry((class.to_string(), outcome)).or_default() += 1;
    }
    assert!(
        outcomes.keys().any(|(_, outcome)| *outcome == "failed"),
        "orders that may have run must fail: {outcomes:?}"
    );
    for class in ["look", "save", "order"] {
        for outcome in ["completed", "rejected", "failed"] {
            let count = proxy.metric(&format!("downstream_requests.{class}.{outcome}"));
            assert_eq!(
                count,
                outcomes.get(&(class.to_string(), outcome)).copied().unwrap_or(0),
                "{class} {outcome}"
            );
        }
    }
    assert_eq!(
        proxy.metric("upstream_requests"),
        (closing.request_count() + rejecting.request_count()) as u64
    );
    assert_eq!(proxy.metric("pending"), 0);
    // An open request is pending, and it ends when its client disconnects.
    let (ended, _end) = std::sync::mpsc::channel();
    let silent = ScriptedServer::new(move |_, _| ScriptedReply::NeverRespond(ended.clone()));
    let proxy = start_with_operator(&settings(), &[&silent]);
    wait_for("positive check", || proxy.call("check").starts_with("YES"));
    let mut client = proxy.connect();
    client.get_mut().write_all(request_text("order", 20_000).as_bytes()).unwrap();
    wait_for("pending request", || proxy.metric("pending") == 1);
    wait_for("attempt", || proxy.metric("upstream_requests") == 1);
    drop(client);
    wait_for("end of the request", || proxy.metric("pending") == 0);
}

#[test]
fn operate_command_calls_a_proxy_with_an_inventory() {
    let folder = std::env::temp_dir().join(format!("dw-operate-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let backend = ScriptedServer::always_ok("a");
    std::fs::write(folder.join("nodes.csv"), format!("id,address\na,{}\n", backend.address)).unwrap();
    let config = folder.join("dewpier.toml");
    let text = "listen = \"127.0.0.1:0\"\noperator = \"127.0.0.1:0\"\n[inventory]\nfile = \"nodes.csv\"\n";
    std::fs::write(&config, text).unwrap();
    let program = || std::process::Command::new(env!("CARGO_BIN_EXE_dewpier"));
    let mut serve = program();
    serve.arg("serve").arg("--config").arg(&config).stderr(std::process::Stdio::piped());
    let mut child = serve.spawn().unwrap();
    let mut log = std::io::BufReader::new(child.stderr.take().unwrap());
    let mut line = String::new();
    while !line.contains("operators call at ") {
        line.clear();
        assert!(std::io::BufRead::read_line(&mut log, &mut line).unwrap() > 0, "the process ended");
    }
    let address = line.trim().rsplit(' ').next().unwrap().to_string();
    let call = |call: &str, address: &str| {
        let output = program().args(["operate", call, "--at", address]).output().unwrap();
        (output.status.code(), String::from_utf8(output.stdout).unwrap())
    };
    wait_for("positive check", || call("check", &address).0 == Some(0));
    assert_eq!(call("drain-on", &address).0, Some(0));
    let (code, reply) = call("check", &address);
    assert!(code == Some(1) && reply.starts_with("NO"), "{reply}");
    assert_eq!(call("drain-off", &address).0, Some(0));
    let (code, reply) = call("vars", &address);
    assert!(code == Some(0) && reply.contains("edge_relay.members=1\n"), "{reply}");
    assert_eq!(call("check", "127.0.0.1:1").0, Some(2));
    child.kill().unwrap();
    child.wait().unwrap();
}

/// The platform's program ignores fleet settings: it opens no datagram socket and writes no snapshot file.
#[test]
fn the_platforms_program_belongs_to_no_fleet() {
    let backend = ScriptedServer::always_ok("a");
    let mut config = build_config(&settings(), &known_list(&[&backend]));
    config["operator"] = json!("127.0.0.1:0");
    config["peers"] = json!(["127.0.0.1:9"]);
    config["peer_listen"] = json!("127.0.0.1:0");
    let snapshot_file = std::env::temp_dir().join(format!("dewpier-known-{}", std::process::id()));
    config["fleet"] = json!({"name": "p", "snapshot_file": snapshot_file.display().to_string()});
    let started_at = Instant::now();
    let proxy = Proxy::start_with_config(&config, idle_discovery().address);
    assert_eq!(proxy.exchange("GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status(), 200);
    let mut stream = TcpStream::connect(proxy.operator.unwrap()).unwrap();
    stream.write_all(b"verdicts\n").unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).unwrap();
    assert!(reply.starts_with("NO it belongs to no fleet"), "{reply}");
    let files = std::fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).unwrap();
    let open_files: Vec<String> = files
        .filter_map(|file| Some(std::fs::read_link(file.ok()?.path()).ok()?.display().to_string()))
        .collect();
    assert!(open_files.iter().any(|file| file.starts_with("socket:")), "{open_files:?}");
    for table in ["udp", "udp6"] {
        let Ok(text) = std::fs::read_to_string(format!("/proc/net/{table}")) else { continue };
        let inodes = text.lines().skip(1).filter_map(|line| line.split_whitespace().nth(9));
        for inode in inodes {
            assert!(!open_files.contains(&format!("socket:[{inode}]")), "the process has a datagram socket");
        }
    }
    // A process of a fleet writes a snapshot each second.
    std::thread::sleep(Duration::from_millis(2500).saturating_sub(started_at.elapsed()));
    assert!(!snapshot_file.exists(), "{}", snapshot_file.display());
}
