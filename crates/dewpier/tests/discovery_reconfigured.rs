//! New configurations in quick succession that move discovery. Uses real processes over loopback.

mod common;

use common::serial_discovery::{SerialQueue, watch_wait};
use common::sockets::*;
use dewpier_http::discovery::schedule::STALENESS_BOUND;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::time::Duration;

const PROXIES: usize = 8;
/// How long the service works on one call, also if the caller has given up. One call of each proxy needs 2.6 s.
const SERVICE_TIME: Duration = Duration::from_millis(330);
/// Time in the queue after which a call is rejected.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(3);
/// More calls than the test makes.
const QUEUE_LIMIT: usize = 1000;
/// When each proxy gets its configurations, counted from the first one.
const CONFIGURATIONS_MS: [u64; 4] = [0, 300, 700, 1600];
/// Time between the first configurations of two proxies.
const PROXY_INTERVAL: Duration = Duration::from_millis(100);
/// Longer than the longest time that a proxy waits before its first call, and all of them together need.
const START_TIME: Duration = Duration::from_secs(6);
/// The grace period of [`settings`], in which a draining backend may still get requests.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
const OLD_VERSION: u64 = 1;
const NEW_VERSION: u64 = 2;

/// Starts the mock discovery service at one address. It knows the lists before and after the change.
fn start_discovery(
    queue: &Arc<SerialQueue>,
    is_changed: &Arc<AtomicBool>,
    lists: [Value; 2],
    silent_after_change: bool,
) -> ScriptedServer {
    let (queue, is_changed) = (queue.clone(), is_changed.clone());
    ScriptedServer::new(move |_, message| {
        let changed = is_changed.load(Ordering::SeqCst);
        let version = if changed { NEW_VERSION } else { OLD_VERSION };
        if message.start_line.contains(&format!("since={version}&")) {
            std::thread::sleep(watch_wait(&message.start_line));
            if silent_after_change && is_changed.load(Ordering::SeqCst) {
                return ScriptedReply::NeverRespond(channel().0);
            }
            let unchanged = discovery_list(version, false, &[]).to_string();
            return ScriptedReply::Respond(format_response("200 OK", &unchanged));
        }
        if silent_after_change && changed {
            return ScriptedReply::NeverRespond(channel().0);
        }
        match queue.is_completed() {
            true => {
                let list = &lists[usize::from(is_changed.load(Ordering::SeqCst))];
                ScriptedReply::Respond(format_response("200 OK", &list.to_string()))
            }
            false => ScriptedReply::Respond(format_response("503 Service Unavailable", "")),
        }
    })
}

/// Gives one proxy its configurations, each with another address of discovery.
fn reconfigure(proxy: &Proxy, config: &Value, addresses: &[SocketAddr], times_ms: &[u64]) {
    let mut config = config.clone();
    let mut elapsed_ms = 0;
    for (address, at_ms) in addresses.iter().zip(times_ms.iter().copied()) {
        std::thread::sleep(Duration::from_millis(at_ms - elapsed_ms));
        elapsed_ms = at_ms;
        config["discovery"] = json!(address.to_string());
        proxy.write_config(&config);
        proxy.signal("-HUP");
    }
}

/// Gives each proxy configurations at `times_ms` while a backend drains, and returns the number of requests of `PROXIES`
/// proxies to that backend after its grace period.
fn late_requests_after_configurations(times_ms: &[u64]) -> usize {
    let [old, new] = ["old", "new"].map(ScriptedServer::always_ok);
    let list = |version, state| {
        let entries = [list_entry("s-0", old.address, state), list_entry("s-new", new.address, "SERVING")];
        discovery_list(version, true, &entries)
    };
    let lists = [list(OLD_VERSION, "SERVING"), list(NEW_VERSION, "DRAINING")];
    let queue = Arc::new(SerialQueue::start(SERVICE_TIME, QUEUE_TIMEOUT, QUEUE_LIMIT));
    let is_changed = Arc::new(AtomicBool::new(false));
    let first = start_discovery(&queue, &is_changed, lists.clone(), true);
    let later = CONFIGURATIONS_MS.map(|_| start_discovery(&queue, &is_changed, lists.clone(), false));
    let later = later.each_ref().map(|server| server.address);
    let mut settings = settings();
    settings["registry-mode"] = json!("subscribe");
    settings["n-instances"] = json!(PROXIES);
    settings["rules"]["ask-within"] = json!(2.0);
    let known = known_list(&[&old]);
    let proxies: Vec<(Proxy, Value)> = (0..PROXIES)
        .map(|index| {
            let mut config = build_config(&settings, &known);
            config["seed"] = json!(format!("{index:016x}"));
            config["settings"]["me"] = json!(index);
            (Proxy::start_with_config(&config, first.address), config)
        })
        .collect();
    std::thread::sleep(START_TIME);
    is_changed.store(true, Ordering::SeqCst);
    std::thread::scope(|scope| {
        for (index, (proxy, config)) in (0..).zip(&proxies) {
            scope.spawn(move || {
                std::thread::sleep(PROXY_INTERVAL * index);
                reconfigure(proxy, config, &later, times_ms);
            });
        }
        std::thread::sleep(STALENESS_BOUND + DRAIN_GRACE);
    });
    let sent_before = old.request_count();
    (0..20).for_each(|_| {
        proxies.iter().for_each(|(proxy, _)| drop(proxy.exchange(&request_text("look", 9000))));
    });
    old.request_count() - sent_before
}

#[test]
fn drain_reaches_every_proxy_in_time_beside_one_configuration() {
    assert_eq!(late_requests_after_configurations(&CONFIGURATIONS_MS[..1]), 0);
}

#[test]
fn drain_reaches_every_proxy_in_time_beside_configurations_in_quick_succession() {
    assert_eq!(late_requests_after_configurations(&CONFIGURATIONS_MS), 0);
}
