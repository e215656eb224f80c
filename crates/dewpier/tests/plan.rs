//! Forwarders that follow a planner's plan, over real sockets and under load: nodes drain, the planner is killed and
//! restarted.

use dewpier_standins::backend::Backend;
use dewpier_standins::load::{LoadGenerator, ResponseCounts};
use dewpier_standins::{reserve_addresses, wait_for};
use dewpier_trials::process::*;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

fn start_load(address: SocketAddr, name: &'static str) -> LoadGenerator {
    start_order_load(address, name, 4, Duration::from_millis(1))
}

/// Returns the table with its first `count` rows draining.
fn with_draining_rows(table: &str, count: usize) -> String {
    let row = |(i, l): (usize, &str)| match (1..=count).contains(&i) {
        true => l.replace("serving", "draining") + "\n",
        false => format!("{l}\n"),
    };
    table.lines().enumerate().map(row).collect()
}

#[test]
fn forwarders_keep_the_last_plan_when_their_planner_dies() {
    let backends: Vec<Backend> =
        (0..6).map(|i| Backend::start(&format!("b{i}"), Duration::from_micros(200))).collect();
    let file = create_test_folder("plan").join("nodes.csv");
    let good = inventory_csv(&backends);
    std::fs::write(&file, &good).unwrap();
    let with_drained = |from: usize, to: usize| -> String {
        let is_drained = |l: &str| (from..to).any(|i| l.starts_with(&format!("pricing-{i:02}")));
        good.lines()
            .map(|l| if is_drained(l) { l.replace("serving", "draining") } else { l.into() } + "\n")
            .collect()
    };
    let mut planner = DewpierProcess::start_planner(&reserve_addresses(1)[0].to_string(), &file);
    let address = planner.address;
    let forwarders = [
        DewpierProcess::start_forwarder("f0", &[address]),
        DewpierProcess::start_forwarder("f1", &[address]),
    ];
    let loads = [start_load(forwarders[0].address, "f0"), start_load(forwarders[1].address, "f1")];
    wait_for("load on all", || backends.iter().all(|b| b.request_count() > 2));

    // A node drains; the time counts from when the planner logs the new list.
    let lines = planner.log_line_count();
    replace_file(&file, with_drained(0, 1).as_bytes());
    let (drained_at, _) = planner.wait_for_log(lines, "backends from");
    std::thread::sleep(Duration::from_millis(1200));
    assert_eq!(count_after_drain_grace(&backends[0], drained_at), 0);

    // Invalid bytes from strangers change nothing.
    for bytes in
        [&b"\xff\xff\xff\xff"[..], b"\x03\x00\x00\x00abc", b"\x00\x00\x00\x00", b"GET / HTTP/1.1\r\n\r\n"]
    {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(dewpier_standins::WAIT_TIMEOUT)).unwrap();
        stream.write_all(bytes).unwrap();
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        assert!(answer.is_empty(), "{answer:?}");
    }

    // The planner dies: forwarders go on with the last plan and send nothing to the draining node.
    planner.child.kill().unwrap();
    planner.child.wait().unwrap();
    // The decision module chooses among the remaining nodes.
    let sum = |from: usize| backends.iter().skip(from).map(Backend::request_count).sum::<usize>();
    let before = sum(1);
    wait_for("load without planner", || sum(1) > before + 500);
    assert_eq!(count_after_drain_grace(&backends[0], drained_at), 0);

    // A new planner starts with another drain and without the first one.
    replace_file(&file, with_drained(1, 2).as_bytes());
    let restarted = DewpierProcess::start_planner(&address.to_string(), &file);
    for forwarder in &forwarders {
        wait_for("new plan", || {
            forwarder.log_lines().iter().filter(|l| l.contains("backends from")).count() >= 3
        });
    }
    let second_drained_at = Instant::now();
    std::thread::sleep(Duration::from_millis(1200));
    assert_eq!(count_after_drain_grace(&backends[1], second_drained_at), 0);
    let before = backends[0].request_count();
    wait_for("load on the returned node", || backends[0].request_count() > before + 5);

    let mut tally = ResponseCounts::default();
    loads.into_iter().for_each(|load| tally.add(load.stop()));
    // Requests may be rejected between the end of the lease and the detection that all planners are silent; every
    // request gets an answer.
    assert_eq!((tally.failed, tally.unanswered), (0, 0), "of {}", tally.total());
    assert!(tally.served > 1000 && tally.rejected < tally.served / 50, "{} refused", tally.rejected);
    let mut orders: HashMap<String, usize> = HashMap::new();
    for order in backends.iter().flat_map(|b| b.arrivals()).filter_map(|a| a.order_id) {
        *orders.entry(order).or_default() += 1;
    }
    assert!(orders.len() > 100 && orders.values().all(|n| *n == 1), "an order ran more than once");
    forwarders.into_iter().for_each(DewpierProcess::terminate);
    restarted.terminate();
}

#[test]
fn forwarder_keeps_its_shorter_drain_bound_under_a_planner_with_a_longer_one() {
    let bound = Duration::from_millis(250);
    for planner_settings in ["drain_ms = 250", ""] {
        let backends: Vec<Backend> =
            (0..4).map(|i| Backend::start(&format!("b{i}"), Duration::from_micros(200))).collect();
        let file = create_test_folder("bound").join("nodes.csv");
        let good = inventory_csv(&backends);
        std::fs::write(&file, &good).unwrap();
        let mut planner = DewpierProcess::start_planner_with("127.0.0.1:0", &file, planner_settings);
        // Requests would be late if the forwarder used the planner's lease to its end.
        let settings = format!("drain_ms = 250\n{}", inventory_settings(&file));
        let forwarder = DewpierProcess::start_forwarder_with("f0", &[planner.address], &settings);
        let load = start_load(forwarder.address, "f0");
        wait_for("load on all", || backends.iter().all(|b| b.request_count() > 2));
        for drained in 0..2 {
            let text = with_draining_rows(&good, drained + 1);
            let lines = planner.log_line_count();
            // The second drain is read by a planner that is killed before it can announce it.
            replace_file(&file, text.as_bytes());
            let (drained_at, _) = planner.wait_for_log(lines, "backends from");
            if drained == 1 {
                planner.child.kill().unwrap();
                planner.child.wait().unwrap();
                forwarder.wait_for_log(0, "backends from its own watch");
            }
            let sum = || backends.iter().skip(2).map(Backend::request_count).sum::<usize>();
            let before = sum();
            wait_for("load on the rest", || sum() > before + 300);
            assert_eq!(count_after(&backends[drained], drained_at, bound), 0, "{planner_settings}");
        }
        let tally = load.stop();
        assert_eq!((tally.failed, tally.unanswered), (0, 0), "of {}", tally.total());
        forwarder.terminate();
    }
}

#[test]
fn resumed_forwarder_sends_nothing_to_nodes_drained_meanwhile() {
    let backends: Vec<Backend> =
        (0..4).map(|i| Backend::start(&format!("b{i}"), Duration::from_micros(200))).collect();
    let file = create_test_folder("paused").join("nodes.csv");
    let good = inventory_csv(&backends);
    std::fs::write(&file, &good).unwrap();
    let planner = DewpierProcess::start_planner("127.0.0.1:0", &file);
    let forwarder = DewpierProcess::start_forwarder("f0", &[planner.address]);
    let load = start_load(forwarder.address, "f0");
    wait_for("load on all", || backends.iter().all(|b| b.request_count() > 2));
    for drained in 0..2 {
        forwarder.send_signal("-STOP");
        std::thread::sleep(Duration::from_millis(100)); // open attempts end
        let text = with_draining_rows(&good, drained + 1);
        let lines = planner.log_line_count();
        replace_file(&file, text.as_bytes());
        let (drained_at, _) = planner.wait_for_log(lines, "backends from");
        std::thread::sleep(Duration::from_millis(1500));
        // Its clients' requests wait in its sockets.
        forwarder.send_signal("-CONT");
        let sum = || backends.iter().skip(2).map(Backend::request_count).sum::<usize>();
        let before = sum();
        wait_for("load on the rest", || sum() > before + 40);
        assert_eq!(count_after_drain_grace(&backends[drained], drained_at), 0);
    }
    let tally = load.stop();
    assert_eq!((tally.failed, tally.unanswered), (0, 0), "of {}", tally.total());
    forwarder.terminate();
    planner.terminate();
}

#[test]
fn forwarder_without_a_planner_uses_its_own_watch_until_the_planner_returns() {
    let backends: Vec<Backend> =
        (0..6).map(|i| Backend::start(&format!("b{i}"), Duration::from_micros(200))).collect();
    let file = create_test_folder("standby").join("nodes.csv");
    let good = inventory_csv(&backends);
    std::fs::write(&file, &good).unwrap();
    let with_drained = |n: usize| -> String {
        let is_drained = |l: &str| (0..n).any(|i| l.starts_with(&format!("pricing-{i:02}")));
        good.lines()
            .map(|l| if is_drained(l) { l.replace("serving", "draining") } else { l.into() } + "\n")
            .collect()
    };
    let mut planner = DewpierProcess::start_planner_with("127.0.0.1:0", &file, "lease_ms = 250");
    let address = planner.address;
    // The random delay may exceed the remaining lease: requests are queued meanwhile.
    let settings = |socket: &Path| {
        format!("own_watch_spread_ms = 400\nstatus = \"{}\"\n{}", socket.display(), inventory_settings(&file))
    };
    // The path of a Unix socket must be short.
    let socket = |name: &str| std::env::temp_dir().join(format!("dewpier-{}-{name}", std::process::id()));
    let forwarders: Vec<DewpierProcess> = ["f0", "f1"]
        .map(|name| DewpierProcess::start_forwarder_with(name, &[address], &settings(&socket(name))))
        .into();
    let loads: Vec<LoadGenerator> =
        forwarders.iter().zip(["f0", "f1"]).map(|(f, name)| start_load(f.address, name)).collect();
    wait_for("load on all", || backends.iter().all(|b| b.request_count() > 2));
    let assert_shown = |words: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_dewpier"))
            .args(["plan", "show", "--config"])
            .arg(&forwarders[0].config_file)
            .output()
            .unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        assert!(output.status.success() && words.iter().all(|w| text.contains(w)), "{words:?} {text}");
    };
    assert_shown(&["f0: by planners, plan ", " ms ago", "it holds for ", "pricing-00", "serving"]);
    // The planner is killed right after it has read a drain. Another node drains while no planner runs.
    let lines = planner.log_line_count();
    replace_file(&file, with_drained(1).as_bytes());
    let (drained_at, _) = planner.wait_for_log(lines, "backends from");
    planner.child.kill().unwrap();
    planner.child.wait().unwrap();
    for forwarder in &forwarders {
        forwarder.wait_for_log(0, "backends from its own watch");
    }
    assert_shown(&["f0: by own watch", "it holds for ", "draining"]);
    let before: usize = backends.iter().skip(1).map(Backend::request_count).sum();
    wait_for("load with its own list", || {
        backends.iter().skip(1).map(Backend::request_count).sum::<usize>() > before + 500
    });
    assert_eq!(count_after_drain_grace(&backends[0], drained_at), 0);
    let lines: Vec<usize> = forwarders.iter().map(DewpierProcess::log_line_count).collect();
    replace_file(&file, with_drained(2).as_bytes());
    for (forwarder, from) in forwarders.iter().zip(&lines) {
        forwarder.wait_for_log(*from, "backends from its own watch");
    }
    let second_drained_at = Instant::now();
    std::thread::sleep(Duration::from_millis(1200));
    assert_eq!(count_after_drain_grace(&backends[1], second_drained_at), 0);
    // The planner returns with the list that the forwarders have already.
    let restarted = DewpierProcess::start_planner_with(&address.to_string(), &file, "lease_ms = 250");
    for forwarder in &forwarders {
        forwarder.wait_for_log(0, "planners are back");
    }
    let counts = || backends.iter().skip(2).map(Backend::request_count).collect::<Vec<_>>();
    let before = counts();
    wait_for("load with the planners", || counts().iter().zip(&before).all(|(now, then)| *now > then + 50));
    assert_eq!(
        (
            count_after_drain_grace(&backends[0], drained_at),
            count_after_drain_grace(&backends[1], second_drained_at)
        ),
        (0, 0)
    );
    let mut tally = ResponseCounts::default();
    loads.into_iter().for_each(|load| tally.add(load.stop()));
    assert_eq!((tally.failed, tally.unanswered), (0, 0), "of {}", tally.total());
    assert!(tally.rejected <= 20, "{} of {} refused", tally.rejected, tally.total());
    forwarders.into_iter().for_each(DewpierProcess::terminate);
    restarted.terminate();
    ["f0", "f1"].iter().for_each(|name| std::fs::remove_file(socket(name)).unwrap());
}
