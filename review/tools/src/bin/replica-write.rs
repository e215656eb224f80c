//! One replica of seven fails reads. What a session asks next is to go to the primary all the same, unless it is a read.

use review_tools::mysql::{Answer, Client, Server, write_config_with_replicas};
use review_tools::{Case, Proxy, cannot_run, http};
use std::net::SocketAddr;
use std::time::Duration;

/// With the primary eight servers, one of which fails: the share that the page of the standing test names.
const REPLICAS: usize = 7;
const SESSIONS: usize = 10;
/// Reads of a session before it asks for anything else; it stops early at one that fails.
const READS: usize = 60;

/// A session that has read. Whether one of its reads failed.
fn session_after_reads(name: &str, address: SocketAddr, case: &Case) -> (Client, bool) {
    let mut client = Client::log_in(name, address, &case.record);
    let reads = if case.trouble == "0" { READS / 5 } else { READS };
    for _ in 0..reads {
        if matches!(client.query("SELECT n FROM orders WHERE id = 1"), Answer::Error(..)) {
            return (client, true);
        }
    }
    (client, false)
}

fn main() {
    let case = Case::start();
    let record = case.record.clone();
    let primary = Server::start("primary-1", &record);
    let replicas: Vec<Server> =
        (1..=REPLICAS).map(|n| Server::start(&format!("replica-{n}"), &record)).collect();
    let node = http::Backend::start("node-1", Duration::ZERO, &record);
    let row = |name: String, server: &Server| format!("{name},127.0.0.1,{},serving\n", server.address.port());
    let head = "id,address,port,state\n";
    let rows: String =
        replicas.iter().enumerate().map(|(n, s)| row(format!("replica-{}", n + 1), s)).collect();
    let config = write_config_with_replicas(
        &case.folder,
        node.address,
        &format!("{head}{}", row("primary-1".into(), &primary)),
        Some(&format!("{head}{rows}")),
    );
    let proxy = Proxy::start(&format!("serve --config {config}"), &[], &record);
    let address = proxy.wait_for_address("listening for MySQL on ");
    let mut failed_reads = 0;
    replicas[0].set_failing(case.trouble == "1");
    replicas[0].set_warnings(case.trouble == "warn"); // the reads succeed, with a warning

    // All replicas are `super_read_only`. One session holds a named lock; no other may be told that it has it.
    replicas.iter().for_each(|replica| replica.set_read_only(true));
    let lock = "SELECT GET_LOCK('schedule', 0)";
    let mut holder = Client::log_in("holder", address, &record);
    if holder.query(lock) != Answer::Value("1".into()) {
        cannot_run("the first session did not get the lock");
    }
    let mut second_holders = 0;
    for n in 0..SESSIONS {
        let (mut client, failed) = session_after_reads(&format!("lock-{n}"), address, &case);
        failed_reads += usize::from(failed);
        if client.query(lock) == Answer::Value("1".into()) {
            second_holders += 1;
            record.line(format!("RULE: lock-{n} has the lock that holder has; it was asked of a replica"));
        }
    }

    // The replicas are writable, as a MySQL server is if it is not set otherwise.
    replicas.iter().for_each(|replica| replica.set_read_only(false));
    let mut accepted: Vec<String> = Vec::new();
    for n in 0..SESSIONS {
        let (mut client, failed) = session_after_reads(&format!("write-{n}"), address, &case);
        failed_reads += usize::from(failed);
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
    }
    let missing = accepted.iter().filter(|text| primary.count_rows(text) == 0).count();
    let at_replicas =
        accepted.iter().filter(|text| replicas.iter().any(|replica| replica.count_rows(text) > 0)).count();
    record.line(format!("{failed_reads} of {} sessions had a read that failed", 2 * SESSIONS));
    record.line(format!("a lock that one session held was given to {second_holders} of {SESSIONS} more"));
    record.line(format!(
        "{} writes were answered OK; {missing} of them do not stand at the primary, {at_replicas} stand at a replica",
        accepted.len(),
    ));
    if case.trouble == "1" && failed_reads == 0 {
        cannot_run("no read met the replica that fails");
    }
    case.finish(proxy, second_holders > 0 || missing > 0)
}
