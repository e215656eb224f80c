//! Operator overrides: an override set at one of eight processes holds at all processes that receive it, ends everywhere
//! in time, and reaches restarted processes.

use dewpier_standins::mesh::LinkFaults;
use dewpier_standins::wait_for;
use dewpier_trials::harness::{FleetHarness, Settings};
use dewpier_trials::schedule::RunSize;
use std::time::{Duration, Instant};

const PROXIES: usize = 8;
/// Extra time for late timers and a busy host.
const SLACK: Duration = Duration::from_secs(2);

fn is_ejected(harness: &FleetHarness, proxy: usize, node: usize) -> bool {
    let verdicts = harness.read_verdicts(proxy).expect("an answer in time");
    verdicts.iter().any(|v| v.node == node && v.is_ejected)
}

fn call(harness: &FleetHarness, proxy: usize, call: &str) -> String {
    harness.call_operator(proxy, call).expect("an answer in time")
}

/// Returns the proxies that have sent to a node after `since`.
fn senders(harness: &FleetHarness, node: usize, since: Instant) -> Vec<String> {
    let arrivals = harness.nodes[node].arrivals().into_iter().filter(|a| a.received_at > since);
    let mut senders: Vec<String> =
        arrivals.filter_map(|a| Some(a.order_id?.split('-').next()?.to_string())).collect();
    senders.sort();
    senders.dedup();
    senders
}

fn settings() -> Settings {
    Settings::default()
}

fn start(seed: u64) -> FleetHarness {
    FleetHarness::start(
        seed,
        RunSize { proxies: PROXIES, nodes: 8, duration_ms: 0, node_fault_spacing_ms: 0 },
        settings(),
    )
}

#[test]
fn override_holds_at_all_proxies_and_ends_in_time() {
    let harness = start(3);
    let all_proxies = |condition: &dyn Fn(usize) -> bool| (0..PROXIES).all(condition);
    // Overrides have no limit on the number of avoided nodes, unlike verdicts.
    for node in 0..3 {
        assert!(call(&harness, node, &format!("avoid 600 pricing-{node:02}")).starts_with("YES"));
    }
    let set_at = Instant::now();
    wait_for("override at all proxies", || {
        all_proxies(&|p| (0..3).all(|node| is_ejected(&harness, p, node)))
    });
    // One round to send the override and one to apply it.
    assert!(set_at.elapsed() < settings().send_interval * 2 + SLACK, "{:?}", set_at.elapsed());
    let since = Instant::now() + Duration::from_millis(500);
    std::thread::sleep(Duration::from_secs(4));
    for node in 0..3 {
        assert!(
            senders(&harness, node, since).is_empty(),
            "{:?} sent to avoided node {node}",
            senders(&harness, node, since)
        );
    }
    // A partitioned proxy keeps a cancelled override until the override's end.
    assert!(call(&harness, 1, "avoid 8 pricing-05").starts_with("YES"));
    let ends_at = Instant::now() + Duration::from_secs(8);
    wait_for("override at all proxies", || all_proxies(&|p| is_ejected(&harness, p, 5)));
    harness.datagram_network.set_faults(LinkFaults { cut: true, ..LinkFaults::default() }, |_, to| to == 6);
    assert!(call(&harness, 4, "as-seen pricing-05").starts_with("YES"));
    wait_for("cancellation of the override", || all_proxies(&|p| p == 6 || !is_ejected(&harness, p, 5)));
    assert!(
        Instant::now() > ends_at || is_ejected(&harness, 6, 5),
        "the partitioned proxy must keep the override"
    );
    wait_for("end of the override", || Instant::now() > ends_at);
    std::thread::sleep(settings().send_interval + SLACK);
    assert!(!is_ejected(&harness, 6, 5), "the override holds after its end");
    // A restarted proxy receives the overrides and can cancel them.
    harness.datagram_network.set_faults(LinkFaults::default(), |_, _| true);
    harness.restart(2);
    wait_for("overrides at the new process", || {
        (0..3).all(|node| harness.read_verdicts(2).is_some() && is_ejected(&harness, 2, node))
    });
    for node in 0..3 {
        assert!(call(&harness, 2, &format!("as-seen pricing-{node:02}")).starts_with("YES"));
    }
    wait_for("return of all nodes", || all_proxies(&|p| (0..3).all(|node| !is_ejected(&harness, p, node))));
    let since = Instant::now();
    wait_for("traffic to the nodes", || (0..3).all(|node| !senders(&harness, node, since).is_empty()));
}

#[test]
fn trusted_node_is_not_ejected_and_invalid_overrides_are_rejected() {
    let harness = start(4);
    assert!(call(&harness, 3, "trust 600 pricing-01").starts_with("YES"));
    let is_trusted = |p: usize| call(&harness, p, "verdicts").contains("pricing-01: trust");
    wait_for("trust at all proxies", || (0..PROXIES).all(is_trusted));
    harness.nodes[1].set_failing(true);
    let has_verdict = |p: usize| {
        harness.read_verdicts(p).is_some_and(|h| h.iter().any(|h| h.node == 1 && h.kind == "failing"))
    };
    wait_for("verdict", || (0..PROXIES).any(has_verdict));
    assert!((0..PROXIES).all(|p| !is_ejected(&harness, p, 1)), "{}", call(&harness, 0, "verdicts"));
    // The verdict ejects the node once the trust is cancelled.
    assert!(call(&harness, 5, "as-seen pricing-01").starts_with("YES"));
    wait_for("ejection of the node", || (0..PROXIES).any(|p| is_ejected(&harness, p, 1)));
    for (text, reason) in [
        ("avoid 600 pricing-99", "expected the name of one listed node"),
        ("avoid 0 pricing-02", "expected 1 to 604800 s"),
        ("avoid 604801 pricing-02", "expected 1 to 604800 s"),
        ("as-seen pricing-02", "expected one to take back"),
        ("avoid soon pricing-02", "expected check"),
    ] {
        let reply = call(&harness, 0, text);
        assert!(reply.starts_with("NO ") && reply.contains(reason), "{text}: {reply}");
    }
    // The override was cancelled at another proxy; the cancellation arrives within two rounds.
    wait_for("end of all overrides", || harness.read_metric(0, "rulings") == Some(0));
}
