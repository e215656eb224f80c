//! What an operator says of a node at one of eight processes holds at all that hear it, ends everywhere in time, and is
//! heard by who starts anew.

use dewpier_standins::mesh::LinkFaults;
use dewpier_standins::wait_for;
use dewpier_trials::harness::{FleetHarness, Settings};
use dewpier_trials::schedule::RunSize;
use std::time::{Duration, Instant};

const PROXIES: usize = 8;
/// For machines and timers that are late.
const SLACK: Duration = Duration::from_secs(2);

fn out(stage: &FleetHarness, proxy: usize, node: usize) -> bool {
    let held = stage.read_verdicts(proxy).expect("an answer in time");
    held.iter().any(|h| h.node == node && h.is_ejected)
}

fn says(stage: &FleetHarness, proxy: usize, call: &str) -> String {
    stage.call_operator(proxy, call).expect("an answer in time")
}

/// Proxies that have sent to a node since then.
fn senders(stage: &FleetHarness, node: usize, since: Instant) -> Vec<String> {
    let arrivals = stage.nodes[node].arrivals().into_iter().filter(|a| a.received_at > since);
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
fn an_operators_word_holds_everywhere_and_ends_in_time() {
    let stage = start(3);
    let all = |out: &dyn Fn(usize) -> bool| (0..PROXIES).all(out);
    // Seven of eight nodes would be far more than a verdict may keep out.
    for node in 0..3 {
        assert!(says(&stage, node, &format!("avoid 600 pricing-{node:02}")).starts_with("YES"));
    }
    let said = Instant::now();
    wait_for("all to go by it", || all(&|p| (0..3).all(|node| out(&stage, p, node))));
    // One round to say it, one to judge, by loopback.
    assert!(said.elapsed() < settings().send_interval * 2 + SLACK, "{:?}", said.elapsed());
    let since = Instant::now() + Duration::from_millis(500);
    std::thread::sleep(Duration::from_secs(4));
    for node in 0..3 {
        assert!(senders(&stage, node, since).is_empty(), "{:?} sent to {node}", senders(&stage, node, since));
    }
    // One that hears nobody keeps what was taken back, no longer than it was said for.
    assert!(says(&stage, 1, "avoid 8 pricing-05").starts_with("YES"));
    let ends = Instant::now() + Duration::from_secs(8);
    wait_for("all to go by it", || all(&|p| out(&stage, p, 5)));
    stage.datagram_network.set_faults(LinkFaults { cut: true, ..LinkFaults::default() }, |_, to| to == 6);
    assert!(says(&stage, 4, "as-seen pricing-05").starts_with("YES"));
    wait_for("it to be taken back", || all(&|p| p == 6 || !out(&stage, p, 5)));
    assert!(Instant::now() > ends || out(&stage, 6, 5), "it can't have heard");
    wait_for("its end", || Instant::now() > ends);
    std::thread::sleep(settings().send_interval + SLACK);
    assert!(!out(&stage, 6, 5), "it goes by it after its end");
    // Heard again by who starts with nothing, and it may be taken back there.
    stage.datagram_network.set_faults(LinkFaults::default(), |_, _| true);
    stage.restart(2);
    wait_for("the new process to hear", || {
        (0..3).all(|node| stage.read_verdicts(2).is_some() && out(&stage, 2, node))
    });
    for node in 0..3 {
        assert!(says(&stage, 2, &format!("as-seen pricing-{node:02}")).starts_with("YES"));
    }
    wait_for("all to be back", || all(&|p| (0..3).all(|node| !out(&stage, p, node))));
    let since = Instant::now();
    wait_for("traffic there", || (0..3).all(|node| !senders(&stage, node, since).is_empty()));
}

#[test]
fn a_trusted_node_is_kept_out_by_no_verdict_and_what_can_not_be_said_is_refused() {
    let stage = start(4);
    assert!(says(&stage, 3, "trust 600 pricing-01").starts_with("YES"));
    let trusted = |p: usize| says(&stage, p, "verdicts").contains("pricing-01: trust");
    wait_for("all to hear", || (0..PROXIES).all(trusted));
    stage.nodes[1].set_failing(true);
    let judged = |p: usize| {
        stage.read_verdicts(p).is_some_and(|h| h.iter().any(|h| h.node == 1 && h.kind == "failing"))
    };
    wait_for("a verdict", || (0..PROXIES).any(judged));
    assert!((0..PROXIES).all(|p| !out(&stage, p, 1)), "{}", says(&stage, 0, "verdicts"));
    // Without it the verdict keeps the node out: trust is what kept it in.
    assert!(says(&stage, 5, "as-seen pricing-01").starts_with("YES"));
    wait_for("the verdict to count", || (0..PROXIES).any(|p| out(&stage, p, 1)));
    for (call, why) in [
        ("avoid 600 pricing-99", "expected the name of one listed node"),
        ("avoid 0 pricing-02", "expected 1 to 604800 s"),
        ("avoid 604801 pricing-02", "expected 1 to 604800 s"),
        ("as-seen pricing-02", "expected one to take back"),
        ("avoid soon pricing-02", "expected check"),
    ] {
        let told = says(&stage, 0, call);
        assert!(told.starts_with("NO ") && told.contains(why), "{call}: {told}");
    }
    // It was taken back at another proxy: this one hears of it in a round or two.
    wait_for("no ruling to hold", || stage.read_metric(0, "rulings") == Some(0));
}
