//! A server ends a transaction with an error; later its connection dies. What stands is not to be told as undone.

use review_tools::mysql::{Answer, Client, Server, write_config};
use review_tools::{Case, Proxy, cannot_run, http};
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
    let mut broken = false;

    // A deadlock rolls the transaction back. The client goes on with a statement of its own, which commits at once.
    let mut client = Client::log_in("A", address, &record);
    client.query("BEGIN");
    client.query("INSERT INTO orders (n) VALUES ('order A, step 1')");
    if !matches!(client.query("UPDATE stock SET n = n - 1 /* deadlock */"), Answer::Error(1213, ..)) {
        cannot_run("no deadlock");
    }
    let order = "INSERT INTO orders (n) VALUES ('order A alone')";
    if case.has_trouble() {
        server.break_after("order A alone");
    }
    let told = client.query(order);
    let stands = server.count_rows("order A alone");
    record.line(format!("order A: told {told:?}; rows that stand: {stands}"));
    if told.is_refused() && stands > 0 {
        record.line("RULE: told as undone and harmless to repeat, but it stands");
        broken = true;
        // A sound client does what the refusal allows.
        client.query(order);
        record.line(format!(
            "order A, repeated as allowed: rows that stand: {}",
            server.count_rows("order A alone")
        ));
    }

    // A statement that defines a table commits the transaction before it runs and fails.
    let mut client = Client::log_in("B", address, &record);
    client.query("BEGIN");
    client.query("INSERT INTO orders (n) VALUES ('order B')");
    if !matches!(client.query("CREATE TABLE orders (n TEXT)"), Answer::Error(1050, ..)) {
        cannot_run("no error");
    }
    if case.has_trouble() {
        record.line("the server's connections die while they rest");
        server.close_connections();
        sleep(Duration::from_millis(200));
    }
    let told = client.query("INSERT INTO orders (n) VALUES ('parts of order B')");
    let stands = server.count_rows("'order B'");
    record.line(format!("order B: told {told:?}; rows of the transaction that stand: {stands}"));
    if told.is_refused() && stands > 0 {
        record.line("RULE: the transaction is told as rolled back and harmless to repeat, but it stands");
        broken = true;
        for text in [
            "BEGIN",
            "INSERT INTO orders (n) VALUES ('order B')",
            "INSERT INTO orders (n) VALUES ('parts of order B')",
            "COMMIT",
        ] {
            client.query(text);
        }
        record.line(format!(
            "order B, repeated as allowed: rows that stand: {}",
            server.count_rows("'order B'")
        ));
    }
    case.finish(proxy, broken)
}
