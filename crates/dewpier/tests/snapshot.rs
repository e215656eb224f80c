//! Snapshots of a fleet: all processes are killed and restore their verdicts, and invalid snapshot files are ignored.
//! Evidence on a replaced node is discarded.

use dewpier_peers::{Key, ProxyId};
use dewpier_standins::wait_for;
use dewpier_trials::schedule::Size;
use dewpier_trials::stage::{SECRET, Settings, Stage};
use std::time::{Duration, Instant};

const PROXIES: usize = 12;
/// The node that fails.
const BAD: usize = 2;

fn start(seed: u64, snapshots: bool) -> Stage {
    let size = Size { proxies: PROXIES, nodes: 8, length_ms: 0, apart_ms: 0 };
    // Four or five proxies have a node in their subset. A quorum of two limits delays on a busy host.
    let stale = Duration::from_secs(24);
    Stage::start(seed, size, Settings { snapshots, quorum: 2, stale, ..Settings::default() })
}

fn is_ejected(stage: &Stage, proxy: usize, node: usize) -> bool {
    stage.held(proxy).is_some_and(|held| held.iter().any(|h| h.node == node && h.out))
}

/// Kills and restarts all processes with the network cut. Returns how many then eject the failing node and how many
/// avoid the node of an operator override.
fn restart_all(snapshots: bool) -> (usize, usize) {
    let stage = start(5, snapshots);
    stage.nodes[BAD].set_failing(true);
    wait_for("a verdict of all proxies", || (0..PROXIES).all(|p| is_ejected(&stage, p, BAD)));
    assert!(stage.call(4, "avoid 600 pricing-06").is_some_and(|reply| reply.starts_with("YES")));
    wait_for("the override at all proxies", || (0..PROXIES).all(|p| is_ejected(&stage, p, 6)));
    if snapshots {
        let written = |p: usize| stage.figure(p, "snapshots_written").unwrap_or_default();
        let before: Vec<u64> = (0..PROXIES).map(written).collect();
        wait_for("new snapshots of all proxies", || (0..PROXIES).all(|p| written(p) >= before[p] + 2));
    }
    // All datagrams are dropped from here on: a new process knows only its snapshot.
    let cut = dewpier_standins::mesh::LinkFaults { cut: true, ..Default::default() };
    stage.mesh.set_faults(cut, |_, _| true);
    let killed_at = Instant::now();
    stage.restart_all();
    let count_ejected = |node: usize| (0..PROXIES).filter(|p| is_ejected(&stage, *p, node)).count();
    if snapshots {
        wait_for("the first verdicts of all proxies", || count_ejected(6) == PROXIES);
    } else {
        std::thread::sleep(stage.bounds().every * 10);
    }
    let (bad, overridden) = (count_ejected(BAD), count_ejected(6));
    println!(
        "all restarted after {:?}: {bad} eject the failing node, {overridden} the overridden one",
        killed_at.elapsed()
    );
    if snapshots {
        // Restored evidence keeps aging: without new failures the verdict expires within the bound, the override stays.
        stage.nodes[BAD].set_failing(false);
        wait_for("the verdict to expire", || count_ejected(BAD) == 0);
        let max_duration = stage.bounds().stale + stage.bounds().every + Duration::from_secs(2);
        assert!(killed_at.elapsed() < max_duration, "the verdict expired after {:?}", killed_at.elapsed());
        assert_eq!(count_ejected(6), PROXIES);
    }
    (bad, overridden)
}

#[test]
fn restarted_processes_restore_snapshots_and_start_empty_without_them() {
    // Random trials may end the verdict of a proxy.
    let (bad, overridden) = restart_all(true);
    assert!(bad >= PROXIES - 2 && overridden == PROXIES, "{bad} and {overridden} of {PROXIES}");
    assert_eq!(restart_all(false), (0, 0));
}

#[test]
fn invalid_snapshot_is_reported_once_and_ignored() {
    let stage = start(6, true);
    assert!(stage.call(0, "avoid 600 pricing-06").is_some_and(|reply| reply.starts_with("YES")));
    wait_for("the override at all proxies", || (0..PROXIES).all(|p| is_ejected(&stage, p, 6)));
    let written = |p: usize| stage.figure(p, "snapshots_written").unwrap_or_default();
    let before: Vec<u64> = (0..PROXIES).map(written).collect();
    wait_for("new snapshots of all proxies", || (0..PROXIES).all(|p| written(p) >= before[p] + 2));
    let cut = dewpier_standins::mesh::LinkFaults { cut: true, ..Default::default() };
    stage.mesh.set_faults(cut, |_, _| true);
    let valid = std::fs::read(stage.kept(1)).unwrap();
    let mut corrupted = valid.clone();
    corrupted[40] ^= 1;
    let other_proxy = std::fs::read(stage.kept(2)).unwrap();
    let mut unknown_version = valid.clone();
    unknown_version[9] = 77;
    let cases: [(usize, &[u8], &str); 5] = [
        (1, &corrupted, "the authentication tag does not match"),
        (2, &valid, "the authentication tag does not match"),
        (3, &other_proxy[..20], "20 bytes: expected 50 to 1048576"),
        (4, &unknown_version, "byte 8: version 77, expected 1"),
        (5, b"", "0 bytes: expected"),
    ];
    for (proxy, bytes, reason) in cases {
        stage.restart_with(proxy, bytes);
        let lines = stage.logged(proxy, "restoring the snapshot failed");
        assert!(lines.len() == 1 && lines[0].contains(reason), "{proxy}: {lines:?}");
        // The process serves and writes snapshots again.
        wait_for("a new snapshot", || stage.figure(proxy, "snapshots_written") > Some(1));
        assert!(!is_ejected(&stage, proxy, 6), "proxy {proxy} uses an invalid snapshot");
    }
    // A valid snapshot is restored.
    stage.restart_with(1, &valid);
    assert_eq!(stage.logged(1, "restored the snapshot of the previous process").len(), 1);
    wait_for("the restored override", || is_ejected(&stage, 1, 6));
    // A deleted folder is reported once and has no other effect.
    let snapshot_file = stage.kept(7);
    std::fs::remove_dir_all(snapshot_file.parent().unwrap()).unwrap();
    wait_for("failures", || stage.figure(7, "snapshots_failed") > Some(2));
    assert_eq!(stage.logged(7, "writing the snapshot failed").len(), 1);
    assert!(stage.call(7, "check").is_some_and(|reply| reply.starts_with("YES")));
}

/// Forges a snapshot as if it had been written later by `offset`, with a valid authentication tag.
fn postdate(snapshot: &[u8], proxy: usize, offset: Duration) -> Vec<u8> {
    let (content, _) = snapshot.split_at(snapshot.len() - dewpier_peers::TAG_BYTES);
    let mut content = content.to_vec();
    let written_at_ms = u64::from_be_bytes(content[26..34].try_into().unwrap()) + offset.as_millis() as u64;
    content[26..34].copy_from_slice(&written_at_ms.to_be_bytes());
    let tag = Key::from_secret(SECRET).compute_tag(ProxyId::from_name(&format!("proxy-{proxy}")), &content);
    content.extend(tag);
    content
}

/// All processes are down for longer than the bound on staleness. Processes with true snapshots discard their evidence;
/// those with postdated snapshots restore a verdict that is older than the bound.
#[test]
fn staleness_bound_holds_over_a_restart_unless_snapshots_are_postdated() {
    let stage = start(8, true);
    stage.nodes[BAD].set_failing(true);
    wait_for("a verdict of all proxies", || (0..PROXIES).all(|p| is_ejected(&stage, p, BAD)));
    let written = |p: usize| stage.figure(p, "snapshots_written").unwrap_or_default();
    let before: Vec<u64> = (0..PROXIES).map(written).collect();
    wait_for("new snapshots of all proxies", || (0..PROXIES).all(|p| written(p) >= before[p] + 2));
    let cut = dewpier_standins::mesh::LinkFaults { cut: true, ..Default::default() };
    stage.mesh.set_faults(cut, |_, _| true);
    let files: Vec<Vec<u8>> = (0..PROXIES).map(|p| std::fs::read(stage.kept(p)).unwrap()).collect();
    let killed_at = Instant::now();
    (0..PROXIES).for_each(|p| stage.signal(p, "-KILL"));
    stage.nodes[BAD].set_failing(false);
    let bounds = stage.bounds();
    std::thread::sleep(bounds.stale + bounds.every);
    for (p, file) in files.iter().enumerate() {
        let forged = postdate(file, p, killed_at.elapsed());
        stage.restart_with(p, if p % 2 == 0 { file } else { &forged });
    }
    wait_for("the first verdicts of all proxies", || {
        (0..PROXIES).all(|p| stage.figure(p, "snapshots_written") > Some(1))
    });
    let (with_true_snapshot, with_forged_snapshot): (Vec<usize>, Vec<usize>) =
        (0..PROXIES).filter(|p| is_ejected(&stage, *p, BAD)).partition(|p| p % 2 == 0);
    assert!(
        with_true_snapshot.is_empty(),
        "{with_true_snapshot:?} use evidence older than {:?}",
        bounds.stale
    );
    assert!(
        with_forged_snapshot.len() >= PROXIES / 4,
        "{with_forged_snapshot:?}: the bound must not hold with forged snapshots"
    );
}

#[test]
fn evidence_on_a_replaced_node_does_not_eject_its_successor() {
    let stage = start(7, false);
    stage.nodes[BAD].set_failing(true);
    wait_for("a verdict of all proxies", || (0..PROXIES).all(|p| is_ejected(&stage, p, BAD)));
    stage.relist(&[BAD]);
    stage.nodes[BAD].set_failing(false);
    let count = stage.nodes[BAD].request_count();
    stage.relist(&[]);
    let relisted_at = Instant::now();
    // A quarter of the evidence window: the old evidence would have ejected the node for all of it.
    while relisted_at.elapsed() < stage.bounds().window() / 4 {
        let ejecting: Vec<usize> = (0..PROXIES).filter(|p| is_ejected(&stage, *p, BAD)).collect();
        assert!(
            ejecting.is_empty(),
            "{ejecting:?} eject the node {:?} after its return",
            relisted_at.elapsed()
        );
        std::thread::sleep(Duration::from_millis(100));
    }
    wait_for("traffic to the node", || stage.nodes[BAD].request_count() > count + 3);
}
