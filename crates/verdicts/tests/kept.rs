//! Processes that end and start anew with what the ones before them knew: cores in virtual time, and the bytes themselves.

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
fn who_starts_anew_with_what_was_kept_meets_a_bad_node_far_less_often() {
    let (with, without): (usize, usize) = (0..6)
        .map(|seed| (wasted(24, seed, true), wasted(24, seed, false)))
        .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    assert!(with * 3 < without, "{with} attempts with what was kept, {without} without");
}

#[test]
fn what_was_kept_longer_ago_than_the_bound_speaks_for_nothing() {
    for (gap, ages, out) in [(1, true, true), (16, true, false), (16, false, true)] {
        let mut played = Played::new(World { rate: 24.0, ..World::default() });
        played.run(seconds(30));
        played.does[2] = Does::Fails(1.0);
        assert!(played.run_until(seconds(12), |p| p.out_at(2) == 24).is_some());
        let taken = restart(&mut played, seconds(gap), true, ages);
        let found = (taken.attempt_counts + taken.reports + taken.verdicts > 0, played.out_at(2) > 0);
        assert_eq!(found.0, out, "{gap} s, counted: {ages}: {taken:?}");
        played.step();
        assert_eq!(played.out_at(2) > 0, out, "{gap} s, counted: {ages}");
    }
}

#[test]
fn ages_go_on_across_a_start() {
    let mut played = Played::new(World { rate: 24.0, ..World::default() });
    played.run(seconds(30));
    played.does[2] = Does::Fails(1.0);
    assert!(played.run_until(seconds(12), |p| p.out_at(2) == 24).is_some());
    let oldest = |p: &Played| {
        let reports = |proxy: &Proxy| {
            proxy.verdicts.summaries(p.now).iter().map(|r| (r.oldest_report_ms, r.active_ms)).max()
        };
        p.proxies.iter().map(reports).collect::<Vec<_>>()
    };
    let before = oldest(&played);
    restart(&mut played, seconds(1), true, true);
    for (proxy, (before, after)) in before.into_iter().zip(oldest(&played)).enumerate() {
        let (before, after) = (before.unwrap(), after.unwrap());
        assert!(after.0 >= before.0 + 1000 && after.1 >= before.1 + 1000, "{proxy}: {before:?}, {after:?}");
    }
}

#[test]
fn a_ruling_ends_when_it_would_have_ended() {
    let me = Process { proxy: name(0), incarnation: 3 };
    let settings = Settings::default;
    let mut verdicts = Verdicts::new(settings(), me, "a", 0, 3, seconds(60));
    let mut rulings = OperatorOverrides::new(ProcessId::from_process(me));
    rulings.set(node(1), Some(OverrideKind::Avoid), seconds(10), seconds(100)).unwrap();
    rulings.set(node(2), Some(OverrideKind::Trust), seconds(600), seconds(100)).unwrap();
    rulings.set(node(2), None, seconds(0), seconds(100)).unwrap();
    let known = LiveState { verdicts: &mut verdicts, overrides: &mut rulings, classes: &[] };
    let snapshot = Snapshot::capture(&known, seconds(100));
    for (since, left) in [(4, Some(OverrideKind::Avoid)), (10, None)] {
        let now = seconds(60);
        let mut verdicts = Verdicts::new(settings(), me, "a", 0, 3, now);
        let mut rulings = OperatorOverrides::new(ProcessId(9));
        let mut known = LiveState { verdicts: &mut verdicts, overrides: &mut rulings, classes: &[] };
        snapshot.restore(&mut known, |_| true, seconds(since), now);
        assert_eq!(rulings.get(node(1), now), left);
        assert_eq!(rulings.get(node(1), now + seconds(6)), None);
        // One that was taken back is remembered, so that a late copy does not bring it back.
        assert_eq!(rulings.set(node(2), None, seconds(0), now), Err(OverrideError::NotFound));
    }
}

/// A file of some size, and the moment at which it was kept.
fn file() -> (Vec<u8>, BootTime) {
    let mut played = Played::new(World { rate: 24.0, ..World::default() });
    played.run(seconds(30));
    played.does[2] = Does::Fails(1.0);
    played.run(seconds(12));
    (kept(&mut played, 3), BootTime { boot_id: BOOT, since_boot: played.now })
}

#[test]
fn what_is_not_as_it_must_be_is_refused_whole_with_the_place() {
    let (bytes, when) = file();
    let read = |bytes: &[u8], now| Snapshot::decode(bytes, &key(), name(3), now).map(|(_, since)| since);
    assert_eq!(read(&bytes, when), Ok(seconds(0)));
    let later = BootTime { since_boot: when.since_boot + Duration::from_micros(1500), ..when };
    assert_eq!(read(&bytes, later), Ok(Duration::from_millis(2)), "rounded up");
    for at in 0..bytes.len() {
        let mut spoilt = bytes.clone();
        spoilt[at] ^= 0x10;
        assert!(read(&spoilt, when).is_err(), "byte {at}");
        assert!(read(&bytes[..at], when).is_err(), "{at} bytes");
    }
    let refused = |bytes: &[u8], key: &Key, proxy, now| {
        Snapshot::decode(bytes, key, name(proxy), now).unwrap_err().to_string()
    };
    assert!(refused(&bytes, &key(), 4, when).contains("seal"), "another proxy's");
    assert!(refused(&bytes, &Key::from_secret(b"y"), 3, when).contains("seal"));
    assert!(refused(&bytes, &key(), 3, BootTime { boot_id: 1, ..when }).starts_with("byte 10"));
    for at in [when.since_boot - seconds(1), when.since_boot + MAX_OVERRIDE_DURATION + seconds(1)] {
        assert!(refused(&bytes, &key(), 3, BootTime { since_boot: at, ..when }).starts_with("byte 26"));
    }
    let mut newer = bytes.clone();
    newer[9] += 1;
    assert_eq!(refused(&newer, &key(), 3, when), "byte 8: version 2, expected 1");
    assert!(refused(b"name,address\n", &key(), 3, when).starts_with("13 bytes: expected 50 to"));
    assert!(refused(&[b'x'; 100], &key(), 3, when).starts_with("byte 0"));
    assert!(refused(&vec![0; MAX_SNAPSHOT_BYTES + 1], &key(), 3, when).contains("bytes: expected"));
    // Sealed with the right key by somebody who writes something else.
    let mut other = bytes[..34].to_vec();
    other.extend([0xff; 40]);
    other.extend(key().compute_tag(name(3), &other));
    assert!(refused(&other, &key(), 3, when).starts_with("byte 34"));
}

#[test]
fn more_than_fits_leaves_out_the_words_of_others_first() {
    let me = Process { proxy: name(0), incarnation: 3 };
    let settings = Settings { fleet_size: 1000, ..Settings::default() };
    let now = seconds(100);
    let mut verdicts = Verdicts::new(settings, me, "a", 0, 3, now);
    verdicts.set_nodes((0..1000).map(|n| ListedNode { node: node(n), cell: 0 }).collect(), now);
    for n in 0..1000 {
        verdicts.record_start((n as u64, 0), node(n), 0, now);
        verdicts.record_end((n as u64, 0), AttemptEnd::Failed, now);
        for other in 1..65 {
            let mut bytes = Vec::new();
            let counts = AttemptCounts { failed: 1, ..AttemptCounts::default() };
            EvidenceEntry { node: node(n), counts, ..EvidenceEntry::default() }.write(&mut bytes);
            let from = Process { proxy: name(other), incarnation: 1 };
            assert!(dewpier_peers::TopicHandler::receive(&mut verdicts, from, seconds(0), &bytes, now));
        }
    }
    let mut rulings = OperatorOverrides::new(ProcessId(1));
    let known = LiveState { verdicts: &mut verdicts, overrides: &mut rulings, classes: &[] };
    let when = BootTime { boot_id: BOOT, since_boot: now };
    let bytes = Snapshot::capture(&known, now).encode(&key(), name(0), when).unwrap();
    assert!(bytes.len() < MAX_SNAPSHOT_BYTES, "{} bytes", bytes.len());
    let (snapshot, since) = Snapshot::decode(&bytes, &key(), name(0), when).unwrap();
    let mut verdicts = Verdicts::new(Settings::default(), me, "a", 0, 3, now);
    verdicts.set_nodes((0..1000).map(|n| ListedNode { node: node(n), cell: 0 }).collect(), now);
    let mut known = LiveState { verdicts: &mut verdicts, overrides: &mut rulings, classes: &[] };
    let taken = snapshot.restore(&mut known, |_| true, since, now);
    assert_eq!((taken.attempt_counts, taken.reports), (1000, 0));
}

proptest! {
    #[test]
    fn bytes_of_any_kind_are_refused_and_nothing_breaks(body in proptest::collection::vec(any::<u8>(), 0..200)) {
        let when = BootTime { boot_id: BOOT, since_boot: seconds(5) };
        prop_assert!(Snapshot::decode(&body, &key(), name(3), when).is_err());
        // Sealed, so that what reads the body is reached: it may be one, and must never be more than it says.
        let mut sealed = b"dewpknow\x00\x01".to_vec();
        sealed.extend(BOOT.to_be_bytes());
        sealed.extend(0u64.to_be_bytes());
        sealed.extend(&body);
        sealed.extend(key().compute_tag(name(3), &sealed));
        if let Ok((snapshot, since)) = Snapshot::decode(&sealed, &key(), name(3), when) {
            let mut verdicts = Verdicts::new(Settings::default(), Process::default(), "a", 1, 3, seconds(60));
            verdicts.set_nodes(vec![ListedNode { node: node(1), cell: 0 }], seconds(60));
            let mut rulings = OperatorOverrides::new(ProcessId(1));
            let classes = ["read".to_string()];
            let mut known = LiveState { verdicts: &mut verdicts, overrides: &mut rulings, classes: &classes };
            snapshot.restore(&mut known, |_| true, since, seconds(60));
            verdicts.tick(seconds(60));
            prop_assert!(verdicts.avoided_nodes(seconds(60)).is_empty());
        }
    }
}
