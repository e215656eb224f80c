//! Backends that close, reset or silently drop idle connections between two requests: no order runs more than once, every
//! request is answered, safe requests are served while one backend works, and orders fail only until the proxy has
//! learnt the idle timeout.

use dewpier_standins::faulty::{ALL_FAULTS, Fault, FaultyBackend};
use dewpier_standins::shop::{RunCounts, duplicate_orders, run_clients};
use dewpier_trials::process::DewpierProcess;
use std::time::Duration;

const CLASSES: &str = "[[class]]\nname = \"quote\"\neffect = \"safe\"\naim_ms = 5000\ndeadline_ms = 20000\nmatch = [{ methods = [\"GET\"] }]\n\
[[class]]\nname = \"order\"\neffect = \"unsafe\"\naim_ms = 5000\ndeadline_ms = 20000\nmatch = [{ methods = [\"POST\"] }]\n";

fn start_proxy(nodes: &[FaultyBackend]) -> DewpierProcess {
    let rows: String = nodes.iter().enumerate().map(|(i, n)| format!("node-{i},{}\n", n.address)).collect();
    DewpierProcess::serve_inventory("nodes.csv", format!("id,address\n{rows}").as_bytes(), CLASSES)
}

/// Sends quotes and orders to these backends, and checks that every request is answered and no order runs more than once.
fn run_checked_clients(nodes: &[FaultyBackend], clients: usize, requests: u64, pause: Duration) -> RunCounts {
    let proxy = start_proxy(nodes);
    let accounts = run_clients(proxy.address, clients, requests, pause);
    assert_eq!(duplicate_orders(nodes), Vec::<String>::new());
    for account in [&accounts.safe, &accounts.orders] {
        assert_eq!((account.unanswered, account.invalid), (0, 0), "{account:?}");
    }
    accounts
}

fn healthy(seed: u64) -> FaultyBackend {
    FaultyBackend::start(seed, 0.0, &[])
}

#[test]
fn connections_closed_by_idle_timeouts_fail_no_request() {
    // Two idle timeouts, and clients with pauses near the shorter one.
    let nodes = [healthy(1), healthy(2)];
    nodes[0].set_idle_close_after(Duration::from_millis(300));
    nodes[1].set_idle_close_after(Duration::from_millis(1000));
    let accounts = run_checked_clients(&nodes, 4, 120, Duration::from_millis(290));
    assert_eq!((accounts.safe.succeeded, accounts.orders.succeeded), (60, 60), "{accounts:?}");
}

#[test]
fn connections_closed_right_before_a_request_fail_no_request() {
    let nodes = [healthy(1), healthy(2)];
    nodes.iter().for_each(|n| n.set_idle_close_after(Duration::from_secs(5)));
    let accounts = run_checked_clients(&nodes, 16, 48, Duration::from_millis(5050));
    assert_eq!((accounts.safe.succeeded, accounts.orders.succeeded), (24, 24), "{accounts:?}");
}

#[test]
fn connections_closed_after_each_tenth_answer_fail_no_request() {
    let nodes = [1, 2].map(|seed| FaultyBackend::start(seed, 0.1, &[Fault::CloseAfterResponse]));
    let accounts = run_checked_clients(&nodes, 8, 1000, Duration::from_millis(2));
    assert_eq!((accounts.safe.succeeded, accounts.orders.succeeded), (500, 500), "{accounts:?}");
}

#[test]
fn idle_timeout_of_connections_that_lose_late_requests_is_learnt() {
    let nodes = [healthy(1), healthy(2)];
    nodes.iter().for_each(|n| n.set_idle_reset_after(Duration::from_millis(100)));
    // The pauses are longer than the connections stay usable.
    let accounts = run_checked_clients(&nodes, 2, 160, Duration::from_millis(130));
    assert_eq!(accounts.safe.succeeded, 80, "{accounts:?}");
    // Without learning nearly all orders would fail on idle connections.
    assert!(accounts.orders.failed <= 16, "{accounts:?}");
}

#[test]
fn safe_request_lost_on_a_stale_connection_is_repeated_on_a_new_one() {
    let nodes = [healthy(1), healthy(2)];
    // The resets are too late to distinguish from those of a busy backend, so that the proxy learns nothing from them.
    for node in &nodes {
        node.set_idle_reset_after(Duration::from_millis(100));
        node.set_reset_delay(Duration::from_millis(60));
    }
    let proxy = start_proxy(&nodes);
    run_clients(proxy.address, 16, 32, Duration::from_millis(10));
    let connected = nodes.each_ref().map(FaultyBackend::connection_count);
    assert!(connected.iter().all(|count| *count > 1), "both nodes need idle connections: {connected:?}");
    std::thread::sleep(Duration::from_millis(200));
    let quote = run_clients(proxy.address, 1, 1, Duration::ZERO);
    assert_eq!(quote.safe.succeeded, 1, "{quote:?}");
}

#[test]
fn backend_that_resets_one_request_in_ten_fails_no_safe_request() {
    let nodes = [FaultyBackend::start(1, 0.1, &[Fault::ResetBeforeRead]), healthy(2)];
    let accounts = run_checked_clients(&nodes, 8, 1000, Duration::from_millis(2));
    assert_eq!(accounts.safe.succeeded, 500, "{accounts:?}");
}

#[test]
fn safe_requests_are_served_when_some_nodes_fail_often() {
    let fault_fraction = |i: usize| if i < 3 { 0.25 } else { 0.04 };
    let nodes: Vec<FaultyBackend> =
        (0..5).map(|i| FaultyBackend::start(10 + i as u64, fault_fraction(i), &ALL_FAULTS)).collect();
    let accounts = run_checked_clients(&nodes, 24, 2000, Duration::ZERO);
    let unserved = accounts.safe.total() - accounts.safe.succeeded;
    // The target is one in 200.
    assert!(unserved <= 15, "{accounts:?}");
    assert_eq!(
        accounts.safe.with_retry_after, accounts.safe.rejected,
        "each rejection names the time of a retry"
    );
}
