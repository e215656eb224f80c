//! A resting connection to a server ends. What only it knew is asked for later.

use review_tools::mysql::{Answer, Client, Server, write_config};
use review_tools::{Case, Proxy, http};
use std::thread::sleep;
use std::time::Duration;

fn main() {
    let case = Case::start();
    let record = case.record.clone();
    let server = Server::start("primary-1", &record);
    let node = http::Backend::start("node-1", Duration::ZERO, &record);
    let row = format!("id,address,port,state\nprimary-1,127.0.0.1,{},serving\n", server.address.port());
    let config = write_config(&case.folder, node.address, &row);
    let proxy = Proxy::start(&format!("serve --config {config}"), &[], &record);
    let address = proxy.wait_for_address("listening for MySQL on ");
    let end_connections = || {
        if case.has_trouble() {
            record.line("the server closes its resting connections");
            server.close_connections();
            sleep(Duration::from_millis(300));
        }
    };
    let mut broken = false;

    let mut client = Client::log_in("A", address, &record);
    client.query("UPDATE stock SET n = n - 1 WHERE n > 0");
    end_connections();
    let rows = client.query("SELECT ROW_COUNT()");
    if matches!(&rows, Answer::Value(rows) if rows != "3") {
        record.line(format!("RULE: three rows were changed; told {rows:?}"));
        broken = true;
    }

    let mut client = Client::log_in("B", address, &record);
    client.query("INSERT INTO numbered (n) VALUES ('order')");
    end_connections();
    client.query("UPDATE stock SET n = 'many' /* warns */");
    client.query("INSERT INTO lines (order_id) VALUES (LAST_INSERT_ID())");
    let lines = server.rows("lines");
    record.line(format!("lines that stand: {lines:?}"));
    if lines.iter().any(|line| !line.contains("(41)")) {
        record.line("RULE: the order has the id 41; its line was written with another one");
        broken = true;
    }
    case.finish(proxy, broken)
}
