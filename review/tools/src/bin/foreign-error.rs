//! A list mixes a primary and a read-only replica. A write that the replica turned away runs on the primary, whose
//! connection dies before the answer. The client is not to be told that it has not run.

use review_tools::mysql::{Answer, Client, Server, write_config};
use review_tools::{Case, Proxy, http};
use std::sync::Arc;
use std::thread::spawn;
use std::time::Duration;

const WRITES: usize = 12;

fn main() {
    let case = Case::start();
    let record = case.record.clone();
    let (primary, replica) = (Server::start("primary-1", &record), Server::start("replica-1", &record));
    replica.set_read_only(true);
    let node = http::Backend::start("node-1", Duration::ZERO, &record);
    let rows = format!(
        "id,address,port,state\nprimary-1,127.0.0.1,{},serving\nreplica-1,127.0.0.1,{},serving\n",
        primary.address.port(),
        replica.address.port()
    );
    let config = write_config(&case.folder, node.address, &rows);
    let proxy = Proxy::start(&format!("serve --config {config}"), &[], &record);
    let address = proxy.wait_for_address("listening for MySQL on ");
    let primary = Arc::new(primary);
    let clients: Vec<_> = (0..WRITES)
        .map(|n| {
            let order = format!("'order {n}.'");
            if case.has_trouble() {
                primary.break_after(&order);
            }
            let mut client = Client::log_in(&format!("c{n}"), address, &record);
            let (primary, record) = (primary.clone(), record.clone());
            spawn(move || {
                let told = client.query(&format!("INSERT INTO orders (n) VALUES ({order})"));
                let stands = primary.count_rows(&order);
                let is_wrong = matches!(told, Answer::Error(1290 | 1637, ..)) && stands > 0;
                if is_wrong {
                    record
                        .line(format!("RULE: order {n} stands at the primary; the client is told {told:?}"));
                }
                (told, is_wrong)
            })
        })
        .collect();
    let told: Vec<(Answer, bool)> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    let served = told.iter().filter(|(told, _)| *told == Answer::Ok).count();
    let told_rightly =
        told.iter().filter(|(told, _)| matches!(told, Answer::Error(1105, s, _) if s == "08007")).count();
    let wrong = told.iter().filter(|(_, is_wrong)| *is_wrong).count();
    record.line(format!(
        "{WRITES} writes: {served} answered OK, {told_rightly} told that they may have run, {wrong} that stand told as \
         not run; rows at the primary: {}",
        primary.rows("orders").len()
    ));
    case.finish(proxy, wrong > 0)
}
