//! The inventory gives a server's name another address. Sessions go on writing to the server at the old one.

use review_tools::mysql::{Answer, Client, Server, write_config};
use review_tools::{Case, Proxy, cannot_run, http};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// `drain_grace_ms` (the default), and the 50 ms by which each limit is longer on sockets.
const GRACE: Duration = Duration::from_millis(550);

fn main() {
    let case = Case::start();
    let record = case.record.clone();
    let (old, new) = (Server::start("old", &record), Server::start("new", &record));
    let node = http::Backend::start("node-1", Duration::ZERO, &record);
    let row = |server: &Server| {
        format!("id,address,port,state\nprimary-1,127.0.0.1,{},serving\n", server.address.port())
    };
    let config = write_config(&case.folder, node.address, &row(&old));
    let proxy = Proxy::start(&format!("serve --config {config}"), &[], &record);
    let address = proxy.wait_for_address("listening for MySQL on ");
    let end = Instant::now() + Duration::from_secs(14);
    let clients: Vec<_> = (0..4)
        .map(|n| {
            let mut client = Client::log_in(&format!("c{n}"), address, &record);
            spawn(move || {
                // As connectors do after a login; two clients say nothing of the kind.
                if n < 2 {
                    client.query("SET NAMES utf8mb4");
                }
                let mut accepted = 0;
                for i in 0.. {
                    if Instant::now() >= end {
                        break;
                    }
                    let answer = client.query(&format!("INSERT INTO orders (n) VALUES ('c{n} {i}')"));
                    accepted += usize::from(answer == Answer::Ok);
                    if answer == Answer::Ended {
                        break;
                    }
                    sleep(Duration::from_millis(200));
                }
                accepted
            })
        })
        .collect();
    sleep(Duration::from_secs(3));
    let mut told_at = None;
    if case.has_trouble() {
        let from = proxy.log_len();
        record.line("the inventory names the new address");
        let new_file = case.folder.join("mysql-servers.csv.new");
        let written = std::fs::write(&new_file, row(&new))
            .and_then(|()| std::fs::rename(&new_file, case.folder.join("mysql-servers.csv")));
        written.unwrap_or_else(|e| cannot_run(&e.to_string()));
        told_at = Some(proxy.wait_for_log(from, "1 backends from").0);
    }
    let accepted: usize = clients.into_iter().map(|c| c.join().unwrap()).sum();
    let late = old.statements().into_iter().filter(|s| told_at.is_some_and(|at| s.at > at + GRACE));
    let late: Vec<_> = late.collect();
    record.line(format!(
        "accepted {accepted}; rows at the old server {}, at the new one {}; statements at the old server later than \
         the grace: {}",
        old.rows("orders").len(),
        new.rows("orders").len(),
        late.len()
    ));
    if let (Some(last), Some(at)) = (late.last(), told_at) {
        record.line(format!("the last {} ms after the news: {}", (last.at - at).as_millis(), last.text));
    }
    case.finish(proxy, !late.is_empty())
}
