//! One of three planners dies, and the inventory gives a node another address. Does the old address get anything new?

use stand_ins_2::http::{format_answer, serve, Client};
use stand_ins_2::{begin, free_addresses, lock, replace, sleep};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// `drain_ms` of planners and forwarders, and the slack of time limits on sockets.
const BOUND: f64 = 0.5 + 0.05;

fn main() {
    let case = begin();
    let read_at: Arc<Mutex<Option<f64>>> = Arc::default();
    let late: Arc<Mutex<Vec<f64>>> = Arc::default();
    let first_address = Arc::new(AtomicUsize::new(0));
    let mut nodes: Vec<(String, SocketAddr)> = Vec::new();
    for i in 0..3 {
        let name = format!("pricing-{i}");
        let (own_name, read_at, late) = (name.clone(), read_at.clone(), late.clone());
        let first_address = first_address.clone();
        let address = serve(move |message| {
            // A send counts from its first byte.
            let now = message.began_at.map_or(case.now(), |moment| case.at(moment));
            if own_name == "pricing-2" {
                first_address.fetch_add(1, SeqCst);
            }
            case.note(&format!("{own_name} at its first address runs {}", message.first_line));
            if let Some(at) = lock(&read_at).filter(|at| own_name == "pricing-2" && now > at + BOUND) {
                lock(&late).push(now - at);
                case.note(&format!("LATE: {own_name} at its old address got a request {:.3} s after a planner had read that it has moved", now - at));
            }
            sleep(0.01);
            format_answer("200 OK", "", "done")
        });
        nodes.push((name, address));
    }
    let moved = serve(|message| {
        case.note(&format!("pricing-2 at its new address runs {}", message.first_line));
        sleep(0.01);
        format_answer("200 OK", "", "done")
    });
    let rows: String = nodes.iter().map(|(name, address)| format!("{name},{address}\n")).collect();
    let inventory = format!("id,address\n{rows}");
    let new_inventory = inventory.replace(&nodes[2].1.to_string(), &moved.to_string());
    let file = case.write("nodes.csv", &inventory);
    let [p0, p1, p2, c0, c1, c2, listen] = free_addresses();
    let (planners, cluster) = ([p0, p1, p2], [c0, c1, c2]);
    let quoted = |addresses: &[SocketAddr]| {
        addresses.iter().map(|address| format!("\"{address}\"")).collect::<Vec<_>>().join(", ")
    };
    for number in 0..3 {
        case.write(
            &format!("planner-{number}.toml"),
            &format!(
                "listen = \"{}\"\nnumber = {number}\nplaintext = true\n[cluster]\nplanners = [{}]\n[inventory]\nfile = \"nodes.csv\"\n",
                planners[number],
                quoted(&cluster)
            ),
        );
    }
    let config = case.write(
        "forwarder.toml",
        &format!(
            "listen = \"{listen}\"\n[planners]\nname = \"forwarder-1\"\naddresses = [{}]\nplaintext = true\n",
            quoted(&planners)
        ),
    );
    let temporary = case.temporary.clone();
    let start = |number: usize| {
        let path = temporary.join(format!("planner-{number}.toml"));
        let command = format!("exec target/release/dewpier planner --config {}", path.display());
        case.start(&format!("planner-{number}"), &command, &[])
    };
    let ids: Vec<u32> = (0..3).map(&start).collect();
    let forwarder = case.start(
        "forwarder",
        &format!("exec target/release/dewpier forwarder --config {}", config.display()),
        &[],
    );
    let patience = Duration::from_secs(16);
    let ready = "GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n";
    case.wait_long_for("the forwarder to be ready", 25.0, || {
        Client::new(listen).exchange(ready, patience).is_ok_and(|answer| answer.status() == 200)
    });
    let sent = Arc::new(AtomicUsize::new(1));
    for _ in 0..4 {
        let sent = sent.clone();
        std::thread::spawn(move || {
            let mut client = Client::new(listen);
            loop {
                let id = sent.fetch_add(1, SeqCst);
                let request =
                    format!("POST /orders?{id} HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 4\r\n\r\nbody");
                case.note(&format!("client sends {id}"));
                match client.exchange(&request, patience) {
                    Ok(answer) => case.note(&format!("client gets {id}: {}", answer.status())),
                    Err(error) => case.note(&format!("client gets {id}: no answer: {error}")),
                }
                sleep(0.02);
            }
        });
    }
    sleep(3.0);
    let reads = || {
        (0..3)
            .map(|number| case.log(&format!("planner-{number}")).matches("3 backends from").count())
            .sum::<usize>()
    };
    if case.trouble {
        case.kill(ids[0]);
        // The others have a leader again.
        sleep(2.0);
    }
    assert!(first_address.load(SeqCst) > 0, "the node gets requests before it moves");
    let before = reads();
    replace(&file, &new_inventory);
    case.note(&format!("the inventory gives pricing-2 the address {moved} in place of {}", nodes[2].1));
    case.wait_for("a planner to read the inventory", || reads() > before);
    *lock(&read_at) = Some(case.now());
    case.note("a planner has read that pricing-2 has moved");
    sleep(12.0);
    for number in 0..3 {
        case.log(&format!("planner-{number}"))
            .lines()
            .for_each(|line| case.note(&format!("planner-{number}: {line}")));
    }
    case.log("forwarder").lines().for_each(|line| case.note(&format!("forwarder: {line}")));
    let late = lock(&late);
    let last = late.last().copied().unwrap_or(0.0);
    case.note(&format!("{} requests came to the old address of pricing-2 after the bound, the last {last:.3} s after the read", late.len()));
    assert!(!case.has_ended(forwarder), "the forwarder runs to the end");
    case.judge(!late.is_empty());
}
