//! A write is under way at a server that hangs when the proxy is told to end.

use review_tools::mysql::{Answer, Client, Server, write_config};
use review_tools::{Case, Proxy, http};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const TIME_TO_KILL: Duration = Duration::from_millis(3700);

fn main() {
    let case = Case::start();
    let record = case.record.clone();
    let server = Server::start("primary-1", &record);
    let node = http::Backend::start("node-1", Duration::ZERO, &record);
    let row = format!("id,address,port,state\nprimary-1,127.0.0.1,{},serving\n", server.address.port());
    let config = write_config(&case.folder, node.address, &row);
    let mut proxy = Proxy::start(&format!("serve --config {config}"), &[], &record);
    let address = proxy.wait_for_address("listening for MySQL on ");
    if case.has_trouble() {
        server.hang_at("orders");
    }
    let mut client = Client::log_in("c", address, &record);
    let asked = spawn(move || client.query("INSERT INTO orders (n) VALUES ('order')"));
    sleep(Duration::from_millis(500));
    record.line("SIGTERM");
    let at = Instant::now();
    proxy.signal("-TERM");
    while at.elapsed() < TIME_TO_KILL && !proxy.child.try_wait().is_ok_and(|status| status.is_some()) {
        sleep(Duration::from_millis(5));
    }
    record.line(format!("{} ms after SIGTERM: SIGKILL, if it has not ended", at.elapsed().as_millis()));
    let _ = proxy.child.kill();
    let told = asked.join().unwrap();
    let broken = told == Answer::Ended;
    case.finish(proxy, broken)
}
