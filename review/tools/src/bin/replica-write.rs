//! A read fails on a slow replica. The session's next write is to go to the primary all the same.

use review_tools::mysql::{Answer, Client, Server, write_config_with_replicas};
use review_tools::{Case, Proxy, http};
use std::thread::sleep;
use std::time::Duration;

const SESSIONS: usize = 6;

fn main() {
    let case = Case::start();
    let record = case.record.clone();
    let (primary, replica) = (Server::start("primary-1", &record), Server::start("replica-1", &record));
    let node = http::Backend::start("node-1", Duration::ZERO, &record);
    let row = |name: &str, server: &Server| {
        format!("id,address,port,state\n{name},127.0.0.1,{},serving\n", server.address.port())
    };
    let config = write_config_with_replicas(
        &case.folder,
        node.address,
        &row("primary-1", &primary),
        Some(&row("replica-1", &replica)),
    );
    let proxy = Proxy::start(&format!("serve --config {config}"), &[], &record);
    let address = proxy.wait_for_address("listening for MySQL on ");
    let mut accepted: Vec<String> = Vec::new();
    for n in 0..SESSIONS {
        let mut client = Client::log_in(&format!("c{n}"), address, &record);
        client.query("SELECT n FROM orders WHERE id = 1");
        // TROUBLE=warn: the read succeeds, with a warning.
        replica.set_slow(case.trouble == "1");
        replica.set_warnings(case.trouble == "warn");
        let read = client.query("SELECT n FROM orders WHERE id = 2");
        replica.set_slow(false);
        replica.set_warnings(false);
        record.line(format!("read: {read:?}"));
        // One statement that commits by itself, and one transaction.
        let single = format!("'order {n}'");
        if client.query(&format!("INSERT INTO orders (n) VALUES ({single})")) == Answer::Ok {
            accepted.push(single);
        }
        let whole = format!("'order {n} in a transaction'");
        client.query("BEGIN");
        client.query(&format!("INSERT INTO orders (n) VALUES ({whole})"));
        if client.query("COMMIT") == Answer::Ok {
            accepted.push(whole);
        }
        sleep(Duration::from_millis(50));
    }
    let missing: Vec<&String> = accepted.iter().filter(|text| primary.count_rows(text) == 0).collect();
    let at_replica = accepted.iter().filter(|text| replica.count_rows(text) > 0).count();
    record.line(format!(
        "{} writes were answered OK; {} of them do not stand at the primary; {at_replica} stand at the replica",
        accepted.len(),
        missing.len()
    ));
    let broken = !missing.is_empty() || at_replica > 0;
    record.line(if broken { "rule broken" } else { "rule held" });
    drop(proxy);
    std::process::exit(i32::from(broken));
}
