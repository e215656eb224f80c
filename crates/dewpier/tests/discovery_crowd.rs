//! Many proxies that call one discovery service after its outage. Uses real processes over loopback.

mod common;

use common::serial_discovery::{SerialQueue, watch_wait};
use common::sockets::*;
use dewpier_http::discovery::schedule::STALENESS_BOUND;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const PROXIES: usize = 40;
/// How long the service works on one call, also if the caller has been rejected meanwhile. All proxies need 4.8 s.
const SERVICE_TIME: Duration = Duration::from_millis(120);
/// Time in the queue after which a call is rejected.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);
/// Calls in the queue beyond which further ones are rejected at once.
const QUEUE_LIMIT: usize = 24;
/// Longer than the longest time that a proxy waits before its first call.
const OUTAGE: Duration = Duration::from_secs(8);
/// The grace period of [`settings`], in which a draining backend may still get requests.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// The version of the list in which the old backend drains.
const VERSION: u64 = 2;

#[test]
fn drain_reaches_every_proxy_in_time_after_an_outage_of_a_slow_discovery() {
    let [old, new] = ["old", "new"].map(ScriptedServer::always_ok);
    let list = discovery_list(
        VERSION,
        true,
        &[list_entry("s-0", old.address, "DRAINING"), list_entry("s-new", new.address, "SERVING")],
    );
    let is_up = Arc::new(AtomicBool::new(false));
    let (service_is_up, queue) =
        (is_up.clone(), SerialQueue::start(SERVICE_TIME, QUEUE_TIMEOUT, QUEUE_LIMIT));
    let discovery = ScriptedServer::new(move |_, message| {
        let rejected = || ScriptedReply::Respond(format_response("503 Service Unavailable", ""));
        if !service_is_up.load(Ordering::SeqCst) {
            return rejected();
        }
        if message.start_line.contains(&format!("since={VERSION}&")) {
            std::thread::sleep(watch_wait(&message.start_line));
            let unchanged = discovery_list(VERSION, false, &[]).to_string();
            return ScriptedReply::Respond(format_response("200 OK", &unchanged));
        }
        match queue.is_completed() {
            true => ScriptedReply::Respond(format_response("200 OK", &list.to_string())),
            false => rejected(),
        }
    });
    let mut settings = settings();
    settings["registry-mode"] = json!("subscribe");
    settings["n-instances"] = json!(PROXIES);
    let known = known_list(&[&old]);
    let proxies: Vec<Proxy> = (0..PROXIES)
        .map(|index| {
            let mut config = build_config(&settings, &known);
            config["seed"] = json!(format!("{index:016x}"));
            config["settings"]["me"] = json!(index);
            Proxy::start_with_config(&config, discovery.address)
        })
        .collect();
    std::thread::sleep(OUTAGE);
    is_up.store(true, Ordering::SeqCst);
    std::thread::sleep(STALENESS_BOUND + DRAIN_GRACE);
    let sent_before = old.request_count();
    let late =
        proxies.iter().filter(|proxy| proxy.exchange(&request_text("look", 9000)).body != b"new").count();
    assert_eq!(late, 0, "proxies of {PROXIES} that send to the draining backend after its grace period");
    assert_eq!(old.request_count(), sent_before);
}
