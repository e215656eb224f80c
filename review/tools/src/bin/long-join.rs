//! One client's statement joins 2,000 tables, which a MySQL server answers with error 1116. Another one's write runs.

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
    let mut proxy = Proxy::start(&format!("serve --config {config}"), &[], &record);
    let address = proxy.wait_for_address("listening for MySQL on ");
    let mut other = Client::log_in("other", address, &record);
    other.query("BEGIN");
    let joins = if case.has_trouble() { 2000 } else { 60 };
    let told = Client::log_in("joins", address, &record)
        .query(&format!("SELECT * FROM a{}", " JOIN a".repeat(joins)));
    sleep(Duration::from_millis(300));
    let others = other.query("INSERT INTO orders (n) VALUES ('order')");
    let ended = proxy.child.try_wait().ok().flatten();
    record.line(format!("{joins} joins: told {told:?}; the other client: {others:?}; the proxy: {ended:?}"));
    let broken = ended.is_some() || others == Answer::Ended;
    case.finish(proxy, broken)
}
