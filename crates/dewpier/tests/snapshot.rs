//! Processes of a fleet that are killed all at once and go on from what they knew, and what becomes of a file that can't
//! be gone by; and a node that is another process, of which what is known must not count.

use dewpier_peers::{Key, ProxyId};
use dewpier_standins::wait_for;
use dewpier_trials::schedule::Size;
use dewpier_trials::stage::{SECRET, Settings, Stage};
use std::time::{Duration, Instant};

const PROXIES: usize = 12;
const BAD: usize = 2;

fn start(seed: u64, snapshots: bool) -> Stage {
    let size = Size { proxies: PROXIES, nodes: 8, length_ms: 0, apart_ms: 0 };
    // Four or five of them have a node in their subset: two that agree, so that a busy machine delays nothing for long.
    let stale = Duration::from_secs(24);
    Stage::start(seed, size, Settings { snapshots, quorum: 2, stale, ..Settings::default() })
}

fn out(stage: &Stage, proxy: usize, node: usize) -> bool {
    stage.held(proxy).is_some_and(|held| held.iter().any(|h| h.node == node && h.out))
}

/// All are killed and started anew. How many hold the bad node out, and one that an operator speaks of, from their first
/// judgement on: none can have heard another.
fn all_anew(snapshots: bool) -> (usize, usize) {
    let stage = start(5, snapshots);
    stage.nodes[BAD].fail(true);
    wait_for("a verdict of all", || (0..PROXIES).all(|p| out(&stage, p, BAD)));
    assert!(stage.call(4, "avoid 600 pricing-06").is_some_and(|told| told.starts_with("YES")));
    wait_for("all to hear what an operator says", || (0..PROXIES).all(|p| out(&stage, p, 6)));
    if snapshots {
        let written = |p: usize| stage.figure(p, "snapshots_written").unwrap_or_default();
        let before: Vec<u64> = (0..PROXIES).map(written).collect();
        wait_for("all to keep it", || (0..PROXIES).all(|p| written(p) >= before[p] + 2));
    }
    // Nobody hears anybody from here on: what a new process holds it has from the one before.
    let cut = dewpier_standins::mesh::Way { cut: true, ..Default::default() };
    stage.mesh.set(cut, |_, _| true);
    let killed = Instant::now();
    stage.restart_all();
    let held = |node: usize| (0..PROXIES).filter(|p| out(&stage, *p, node)).count();
    if snapshots {
        wait_for("the first judgement of all", || held(6) == PROXIES);
    } else {
        std::thread::sleep(stage.bounds().every * 10);
    }
    let (bad, ruled) = (held(BAD), held(6));
    println!("all anew after {:?}: {bad} keep the bad one out, {ruled} the other", killed.elapsed());
    if snapshots {
        // What was kept ages on: with nothing new that goes wrong it lapses within the bound, and the operator's word
        // does not.
        stage.nodes[BAD].fail(false);
        wait_for("the verdict to lapse", || held(BAD) == 0);
        let most = stage.bounds().stale + stage.bounds().every + Duration::from_secs(2);
        assert!(killed.elapsed() < most, "it lapsed after {:?}", killed.elapsed());
        assert_eq!(held(6), PROXIES);
    }
    (bad, ruled)
}

#[test]
fn all_go_on_from_what_they_knew_and_begin_with_nothing_where_it_is_not_kept() {
    // The verdict of one may lapse by trials that are drawn.
    let (bad, ruled) = all_anew(true);
    assert!(bad >= PROXIES - 2 && ruled == PROXIES, "{bad} and {ruled} of {PROXIES}");
    assert_eq!(all_anew(false), (0, 0));
}

#[test]
fn a_file_that_can_not_be_gone_by_is_told_once_and_the_process_begins_with_nothing() {
    let stage = start(6, true);
    assert!(stage.call(0, "avoid 600 pricing-06").is_some_and(|told| told.starts_with("YES")));
    wait_for("all to hear what an operator says", || (0..PROXIES).all(|p| out(&stage, p, 6)));
    let written = |p: usize| stage.figure(p, "snapshots_written").unwrap_or_default();
    let before: Vec<u64> = (0..PROXIES).map(written).collect();
    wait_for("all to keep it", || (0..PROXIES).all(|p| written(p) >= before[p] + 2));
    let cut = dewpier_standins::mesh::Way { cut: true, ..Default::default() };
    stage.mesh.set(cut, |_, _| true);
    let whole = std::fs::read(stage.kept(1)).unwrap();
    let mut spoilt = whole.clone();
    spoilt[40] ^= 1;
    let other = std::fs::read(stage.kept(2)).unwrap();
    let mut version = whole.clone();
    version[9] = 77;
    let cases: [(usize, &[u8], &str); 5] = [
        (1, &spoilt, "the authentication tag does not match"),
        (2, &whole, "the authentication tag does not match"),
        (3, &other[..20], "20 bytes: expected 50 to 1048576"),
        (4, &version, "byte 8: version 77, expected 1"),
        (5, b"", "0 bytes: expected"),
    ];
    for (proxy, bytes, why) in cases {
        stage.restart_with(proxy, bytes);
        let told = stage.logged(proxy, "restoring the snapshot failed");
        assert!(told.len() == 1 && told[0].contains(why), "{proxy}: {told:?}");
        // It serves, and keeps what it knows from here on.
        wait_for("a new file", || stage.figure(proxy, "snapshots_written") > Some(1));
        assert!(!out(&stage, proxy, 6), "{proxy} goes by what it can't read");
    }
    // The control: a whole one is gone by.
    stage.restart_with(1, &whole);
    assert_eq!(stage.logged(1, "restored the snapshot of the previous process").len(), 1);
    wait_for("its first judgement", || out(&stage, 1, 6));
    // A folder that is gone is told once, and nothing else comes of it.
    let kept = stage.kept(7);
    std::fs::remove_dir_all(kept.parent().unwrap()).unwrap();
    wait_for("failures", || stage.figure(7, "snapshots_failed") > Some(2));
    assert_eq!(stage.logged(7, "writing the snapshot failed").len(), 1);
    assert!(stage.call(7, "check").is_some_and(|told| told.starts_with("YES")));
}

/// What was kept, as if it had been kept so much later: what a process would go by that does not count the time between.
fn younger(kept: &[u8], proxy: usize, by: Duration) -> Vec<u8> {
    let (said, _) = kept.split_at(kept.len() - dewpier_peers::TAG_BYTES);
    let mut said = said.to_vec();
    let at = u64::from_be_bytes(said[26..34].try_into().unwrap()) + by.as_millis() as u64;
    said[26..34].copy_from_slice(&at.to_be_bytes());
    let seal = Key::from_secret(SECRET).compute_tag(ProxyId::from_name(&format!("proxy-{proxy}")), &said);
    said.extend(seal);
    said
}

/// All are down for longer than the bound on staleness. Those that count that time go by nothing of before it; those of
/// which the files say that it did not pass go by a verdict that is older than the bound.
#[test]
fn the_bound_on_staleness_holds_over_a_restart_and_is_broken_where_time_is_not_counted() {
    let stage = start(8, true);
    stage.nodes[BAD].fail(true);
    wait_for("a verdict of all", || (0..PROXIES).all(|p| out(&stage, p, BAD)));
    let written = |p: usize| stage.figure(p, "snapshots_written").unwrap_or_default();
    let before: Vec<u64> = (0..PROXIES).map(written).collect();
    wait_for("all to keep it", || (0..PROXIES).all(|p| written(p) >= before[p] + 2));
    let cut = dewpier_standins::mesh::Way { cut: true, ..Default::default() };
    stage.mesh.set(cut, |_, _| true);
    let files: Vec<Vec<u8>> = (0..PROXIES).map(|p| std::fs::read(stage.kept(p)).unwrap()).collect();
    let killed = Instant::now();
    (0..PROXIES).for_each(|p| stage.signal(p, "-KILL"));
    stage.nodes[BAD].fail(false);
    let bound = stage.bounds();
    std::thread::sleep(bound.stale + bound.every);
    for (p, file) in files.iter().enumerate() {
        let forged = younger(file, p, killed.elapsed());
        stage.restart_with(p, if p % 2 == 0 { file } else { &forged });
    }
    wait_for("the first judgement of all", || {
        (0..PROXIES).all(|p| stage.figure(p, "snapshots_written") > Some(1))
    });
    let (held, forged): (Vec<usize>, Vec<usize>) =
        (0..PROXIES).filter(|p| out(&stage, *p, BAD)).partition(|p| p % 2 == 0);
    assert!(held.is_empty(), "{held:?} go by what is older than {:?}", bound.stale);
    assert!(forged.len() >= PROXIES / 4, "{forged:?}: without it the bound holds as well");
}

#[test]
fn a_node_that_is_replaced_at_its_address_is_kept_out_by_nothing_that_was_seen_before() {
    let stage = start(7, false);
    stage.nodes[BAD].fail(true);
    wait_for("a verdict of all", || (0..PROXIES).all(|p| out(&stage, p, BAD)));
    stage.relist(&[BAD]);
    stage.nodes[BAD].fail(false);
    let count = stage.nodes[BAD].count();
    stage.relist(&[]);
    let back = Instant::now();
    // A quarter of the window in which attempts count: what was seen before would have kept it out for all of that.
    while back.elapsed() < stage.bounds().window() / 4 {
        let holds: Vec<usize> = (0..PROXIES).filter(|p| out(&stage, *p, BAD)).collect();
        assert!(holds.is_empty(), "{holds:?} keep it out {:?} after it came back", back.elapsed());
        std::thread::sleep(Duration::from_millis(100));
    }
    wait_for("traffic there", || stage.nodes[BAD].count() > count + 3);
}
