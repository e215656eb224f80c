//! Restarts of proxies with snapshots: simulated fleets in virtual time, and the encoded form itself.

mod common;

use common::*;
use dewpier_peers::{Key, Process};
use dewpier_verdicts::*;
use proptest::prelude::*;
use std::time::Duration;

fn seconds(s: u64) -> Duration {
    Duration::from_secs(s)
}

#[test]
fn snapshots_save_attempts_at_a_bad_node_after_a_restart() {
    let (with, without): (usize, usize) = (0..6)
        .map(|seed| {
            (
                attempts_at_bad_node_after_restart(24, seed, true),
                attempts_at_bad_node_after_restart(24, seed, false),
            )
        })
        .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    assert!(with * 3 < without, "{with} attempts with snapshots, {without} without");
}

#[test]
fn evidence_in_snapshots_expires_during_the_downtime() {
    for (downtime, counts_downtime, expected) in [(1, true, true), (16, true, false), (16, false, true)] {
        let mut simulation =
            Simulation::new(SimulationConfig { request_rate: 24.0, ..SimulationConfig::default() });
        simulation.run(seconds(30));
        simulation.behaviours[2] = NodeBehaviour::Failing(1.0);
        assert!(simulation.run_until(seconds(12), |s| s.count_ejecting(2) == 24).is_some());
        let restored = restart(&mut simulation, seconds(downtime), true, counts_downtime);
        let found = (
            restored.attempt_counts + restored.reports + restored.verdicts > 0,
            simulation.count_ejecting(2) > 0,
        );
        assert_eq!(found.0, expected, "{downtime} s, counted: {counts_downtime}: {restored:?}");
        simulation.step();
        assert_eq!(simulation.count_ejecting(2) > 0, expected, "{downtime} s, counted: {counts_downtime}");
    }
}

#[test]
fn ages_include_the_downtime_after_a_restart() {
    let mut simulation =
        Simulation::new(SimulationConfig { request_rate: 24.0, ..SimulationConfig::default() });
    simulation.run(seconds(30));
    simulation.behaviours[2] = NodeBehaviour::Failing(1.0);
    assert!(simulation.run_until(seconds(12), |s| s.count_ejecting(2) == 24).is_some());
    let max_ages = |s: &Simulation| {
        let max_age = |proxy: &SimulatedProxy| {
            proxy.verdicts.summaries(s.now).iter().map(|r| (r.oldest_report_ms, r.active_ms)).max()
        };
        s.proxies.iter().map(max_age).collect::<Vec<_>>()
    };
    let before = max_ages(&simulation);
    restart(&mut simulation, seconds(1), true, true);
    for (proxy, (before, after)) in before.into_iter().zip(max_ages(&simulation)).enumerate() {
        let (before, after) = (before.unwrap(), after.unwrap());
        assert!(after.0 >= before.0 + 1000 && after.1 >= before.1 + 1000, "{proxy}: {before:?}, {after:?}");
    }
}

#[test]
fn restored_override_ends_when_the_original_would_have_ended() {
    let own_process = Process { proxy: proxy_id(0), incarnation: 3 };
    let settings = Settings::default;
    let mut verdicts = Verdicts::new(settings(), own_process, "a", 0, 3, seconds(60));
    let mut overrides = OperatorOverrides::new(ProcessId::from_process(own_process));
    overrides.set(node_id(1), Some(OverrideKind::Avoid), seconds(10), seconds(100)).unwrap();
    overrides.set(node_id(2), Some(OverrideKind::Trust), seconds(600), seconds(100)).unwrap();
    overrides.set(node_id(2), None, seconds(0), seconds(100)).unwrap();
    let state = LiveState { verdicts: &mut verdicts, overrides: &mut overrides, classes: &[] };
    let snapshot = Snapshot::capture(&state, seconds(100));
    for (elapsed, expected) in [(4, Some(OverrideKind::Avoid)), (10, None)] {
        let now = seconds(60);
        let mut verdicts = Verdicts::new(settings(), own_process, "a", 0, 3, now);
        let mut overrides = OperatorOverrides::new(ProcessId(9));
        let mut state = LiveState { verdicts: &mut verdicts, overrides: &mut overrides, classes: &[] };
        snapshot.restore(&mut state, |_| true, seconds(elapsed), now);
        assert_eq!(overrides.get(node_id(1), now), expected);
        assert_eq!(overrides.get(node_id(1), now + seconds(6)), None);
        // A withdrawn override is remembered, so that a delayed copy does not restore it.
        assert_eq!(overrides.set(node_id(2), None, seconds(0), now), Err(OverrideError::NotFound));
    }
}

/// An encoded snapshot with evidence and a verdict, and the time at which it was stored.
fn snapshot_of_busy_fleet() -> (Vec<u8>, BootTime) {
    let mut simulation =
        Simulation::new(SimulationConfig { request_rate: 24.0, ..SimulationConfig::default() });
    simulation.run(seconds(30));
    simulation.behaviours[2] = NodeBehaviour::Failing(1.0);
    simulation.run(seconds(12));
    (encoded_snapshot(&mut simulation, 3), BootTime { boot_id: BOOT_ID, since_boot: simulation.now })
}

#[test]
fn invalid_snapshots_are_rejected_as_a_whole_with_the_position() {
    let (bytes, stored_at) = snapshot_of_busy_fleet();
    let decode_elapsed =
        |bytes: &[u8], now| Snapshot::decode(bytes, &key(), proxy_id(3), now).map(|(_, elapsed)| elapsed);
    assert_eq!(decode_elapsed(&bytes, stored_at), Ok(seconds(0)));
    let later = BootTime { since_boot: stored_at.since_boot + Duration::from_micros(1500), ..stored_at };
    assert_eq!(decode_elapsed(&bytes, later), Ok(Duration::from_millis(2)), "not rounded up");
    for at in 0..bytes.len() {
        let mut corrupted = bytes.clone();
        corrupted[at] ^= 0x10;
        assert!(decode_elapsed(&corrupted, stored_at).is_err(), "byte {at}");
        assert!(decode_elapsed(&bytes[..at], stored_at).is_err(), "{at} bytes");
    }
    let error_text = |bytes: &[u8], key: &Key, proxy, now| {
        Snapshot::decode(bytes, key, proxy_id(proxy), now).unwrap_err().to_string()
    };
    assert!(error_text(&bytes, &key(), 4, stored_at).contains("authentication tag"), "of another proxy");
    assert!(error_text(&bytes, &Key::from_secret(b"y"), 3, stored_at).contains("authentication tag"));
    assert!(error_text(&bytes, &key(), 3, BootTime { boot_id: 1, ..stored_at }).starts_with("byte 10"));
    for at in [stored_at.since_boot - seconds(1), stored_at.since_boot + MAX_OVERRIDE_DURATION + seconds(1)] {
        assert!(
            error_text(&bytes, &key(), 3, BootTime { since_boot: at, ..stored_at }).starts_with("byte 26")
        );
    }
    let mut newer_version = bytes.clone();
    newer_version[9] += 1;
    assert_eq!(error_text(&newer_version, &key(), 3, stored_at), "byte 8: version 2, expected 1");
    assert!(error_text(b"name,address\n", &key(), 3, stored_at).starts_with("13 bytes: expected 50 to"));
    assert!(error_text(&[b'x'; 100], &key(), 3, stored_at).starts_with("byte 0"));
    assert!(error_text(&vec![0; MAX_SNAPSHOT_BYTES + 1], &key(), 3, stored_at).contains("bytes: expected"));
    // A valid tag on content that can't be decoded.
    let mut undecodable = bytes[..34].to_vec();
    undecodable.extend([0xff; 40]);
    undecodable.extend(key().compute_tag(proxy_id(3), &undecodable));
    assert!(error_text(&undecodable, &key(), 3, stored_at).starts_with("byte 34"));
}

#[test]
fn oversized_snapshot_leaves_out_the_reports_of_other_proxies_first() {
    let own_process = Process { proxy: proxy_id(0), incarnation: 3 };
    let settings = Settings { fleet_size: 1000, ..Settings::default() };
    let now = seconds(100);
    let mut verdicts = Verdicts::new(settings, own_process, "a", 0, 3, now);
    verdicts.set_nodes((0..1000).map(|n| ListedNode { node: node_id(n), cell: 0 }).collect(), now);
    for n in 0..1000 {
        verdicts.record_start((n as u64, 0), node_id(n), 0, now);
        verdicts.record_end((n as u64, 0), AttemptEnd::Failed, now);
        for other in 1..65 {
            let mut bytes = Vec::new();
            let counts = AttemptCounts { failed: 1, ..AttemptCounts::default() };
            EvidenceEntry { node: node_id(n), counts, ..EvidenceEntry::default() }.write(&mut bytes);
            let from = Process { proxy: proxy_id(other), incarnation: 1 };
            assert!(dewpier_peers::TopicHandler::receive(&mut verdicts, from, seconds(0), &bytes, now));
        }
    }
    let mut overrides = OperatorOverrides::new(ProcessId(1));
    let state = LiveState { verdicts: &mut verdicts, overrides: &mut overrides, classes: &[] };
    let stored_at = BootTime { boot_id: BOOT_ID, since_boot: now };
    let bytes = Snapshot::capture(&state, now).encode(&key(), proxy_id(0), stored_at).unwrap();
    assert!(bytes.len() < MAX_SNAPSHOT_BYTES, "{} bytes", bytes.len());
    let (snapshot, elapsed) = Snapshot::decode(&bytes, &key(), proxy_id(0), stored_at).unwrap();
    let mut verdicts = Verdicts::new(Settings::default(), own_process, "a", 0, 3, now);
    verdicts.set_nodes((0..1000).map(|n| ListedNode { node: node_id(n), cell: 0 }).collect(), now);
    let mut state = LiveState { verdicts: &mut verdicts, overrides: &mut overrides, classes: &[] };
    let restored = snapshot.restore(&mut state, |_| true, elapsed, now);
    assert_eq!((restored.attempt_counts, restored.reports), (1000, 0));
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_rejected_or_decoded_without_a_panic(body in proptest::collection::vec(any::<u8>(), 0..200)) {
        let stored_at = BootTime { boot_id: BOOT_ID, since_boot: seconds(5) };
        prop_assert!(Snapshot::decode(&body, &key(), proxy_id(3), stored_at).is_err());
        // With a valid tag, so that the body is decoded, which may succeed.
        let mut tagged = b"dewpknow\x00\x01".to_vec();
        tagged.extend(BOOT_ID.to_be_bytes());
        tagged.extend(0u64.to_be_bytes());
        tagged.extend(&body);
        tagged.extend(key().compute_tag(proxy_id(3), &tagged));
        if let Ok((snapshot, elapsed)) = Snapshot::decode(&tagged, &key(), proxy_id(3), stored_at) {
            let mut verdicts = Verdicts::new(Settings::default(), Process::default(), "a", 1, 3, seconds(60));
            verdicts.set_nodes(vec![ListedNode { node: node_id(1), cell: 0 }], seconds(60));
            let mut overrides = OperatorOverrides::new(ProcessId(1));
            let classes = ["read".to_string()];
            let mut state = LiveState { verdicts: &mut verdicts, overrides: &mut overrides, classes: &classes };
            snapshot.restore(&mut state, |_| true, elapsed, seconds(60));
            verdicts.tick(seconds(60));
            prop_assert!(verdicts.avoided_nodes(seconds(60)).is_empty());
        }
    }
}
