//! A follower of planners that disagree, over a network that loses, duplicates and reorders messages. Guards
//! against plans that go backwards and drains that end without an acknowledging plan. Seeded.

mod common;

use common::SinglePlanner;
use dewpier_plan::{
    AnnouncementVersion, Announcer, Follower, ForwarderMessage, LeaseState, MessageEffect, MessageRejection,
    Node, Plan, PlannerMessage, Publisher, Standby, StandbySettings, Version, wire,
};
use dewpier_standins::rng::Rng;
use std::collections::HashMap;
use std::time::Duration;

fn node(id: &str, draining: bool) -> Node {
    Node {
        id: id.into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a".into(),
        cell: 1,
        weight: 1.0,
        draining,
        age_ms: None,
    }
}

/// The send deadline of a forwarder without its own watch.
fn send_deadline(follower: &Follower) -> Option<Duration> {
    let settings = StandbySettings { own_watch: false, spread: Duration::ZERO, lease: Duration::ZERO };
    Standby::new(settings).send_deadline(follower, Duration::ZERO)
}

fn draining(follower: &Follower) -> Vec<String> {
    follower.nodes().into_iter().filter(|n| n.draining).map(|n| n.id).collect()
}

#[test]
fn plan_of_a_planner_without_the_drain_does_not_end_it() {
    let mut follower = Follower::default();
    let (mut first, mut second) = (SinglePlanner::new(1, 1, 1), SinglePlanner::new(2, 2, 1));
    let all = || vec![node("a", false), node("b", false)];
    first.update(all()).into_iter().for_each(|message| drop(follower.receive(0, message)));
    follower.receive(0, PlannerMessage::Full(first.plan().clone()));
    assert_eq!(draining(&follower), [""; 0]);
    // The first planner announces a drain and fails before it publishes a plan.
    let messages = first.update(vec![node("a", true), node("b", false)]);
    assert_eq!(follower.receive(0, messages[0].clone()), MessageEffect::NodesChanged);
    assert_eq!(draining(&follower), ["a"]);
    // The second planner leads and does not know of the drain: its plan is used, and the drain holds.
    second.update(all());
    assert_eq!(follower.receive(1, PlannerMessage::Full(second.plan().clone())), MessageEffect::NodesChanged);
    assert_eq!(follower.version(), Some(Version { term: 2, generation: 1 }));
    assert_eq!(draining(&follower), ["a"]);
    // A plan that acknowledges the announcement ends the drain.
    let mut acknowledging = second.plan().clone();
    acknowledging.version.generation = 2;
    let PlannerMessage::Drain { announcement_version, .. } = &messages[0] else { panic!() };
    acknowledging.acknowledged.push((1, *announcement_version));
    assert_eq!(follower.receive(1, PlannerMessage::Full(acknowledging)), MessageEffect::NodesChanged);
    assert_eq!(draining(&follower), [""; 0]);
    // A repeated announcement is outdated.
    assert_eq!(follower.receive(0, messages[0].clone()), MessageEffect::Rejected(MessageRejection::Outdated));
    assert_eq!(
        follower.receive(0, PlannerMessage::Full(first.plan().clone())),
        MessageEffect::Rejected(MessageRejection::Outdated)
    );
}

#[test]
fn lease_counts_from_the_heartbeat_and_covers_only_the_current_plan() {
    let ms = Duration::from_millis;
    let mut follower = Follower::default();
    let mut planner = SinglePlanner::new(1, 1, 1);
    planner.update(vec![node("a", false)]);
    assert_eq!(follower.lease_state(ms(0)), LeaseState::NoPlan);
    follower.receive(0, PlannerMessage::Full(planner.plan().clone()));
    assert_eq!(follower.lease_state(ms(0)), LeaseState::Expired, "no planner has granted a lease");
    let ForwarderMessage::Heartbeat { number } = follower.next_heartbeat(0, ms(100)) else { panic!() };
    // The reply was delayed for a second, or the process was suspended: the lease has ended.
    assert_eq!(follower.receive(0, planner.heartbeat_reply(number, 400)), MessageEffect::Accepted);
    assert_eq!(follower.lease_state(ms(499)), LeaseState::Leased);
    assert_eq!(follower.lease_state(ms(1100)), LeaseState::Expired);
    assert_eq!(
        follower.receive(0, planner.heartbeat_reply(number, 400)),
        MessageEffect::Rejected(MessageRejection::Unsolicited),
        "repeated reply"
    );
    assert_eq!(
        follower.receive(1, planner.heartbeat_reply(number, 400)),
        MessageEffect::Rejected(MessageRejection::Unsolicited),
        "reply of another planner"
    );
    let ForwarderMessage::Heartbeat { number } = follower.next_heartbeat(0, ms(2000)) else { panic!() };
    planner.update(vec![node("a", true)]);
    assert_eq!(
        follower.receive(0, planner.heartbeat_reply(number, 400)),
        MessageEffect::Request(ForwarderMessage::Resend)
    );
    assert_eq!(follower.lease_state(ms(2001)), LeaseState::Expired, "the lease is for another plan");
    follower.remove_connection(0);
    let ForwarderMessage::Heartbeat { number } = follower.next_heartbeat(0, ms(3000)) else { panic!() };
    follower.remove_connection(0);
    assert_eq!(
        follower.receive(0, planner.heartbeat_reply(number, 400)),
        MessageEffect::Rejected(MessageRejection::Unsolicited)
    );
}

#[test]
fn suspended_process_sends_nothing_until_a_new_heartbeat_is_answered() {
    let ms = Duration::from_millis;
    let mut follower = Follower::default();
    let mut planner = SinglePlanner::new(1, 1, 1);
    planner.update(vec![node("a", false)]);
    follower.receive(0, PlannerMessage::Full(planner.plan().clone()));
    assert_eq!(send_deadline(&follower), Some(ms(0)));
    follower.begin_round();
    let ForwarderMessage::Heartbeat { number } = follower.next_heartbeat(0, ms(100)) else { panic!() };
    follower.receive(0, planner.heartbeat_reply(number, 400));
    assert_eq!(send_deadline(&follower), Some(ms(500)));
    // The process is suspended for a minute, and a node drains meanwhile. One more heartbeat does not make
    // the planners silent yet; the reply is for a plan that is not here.
    follower.begin_round();
    let ForwarderMessage::Heartbeat { number } = follower.next_heartbeat(0, ms(60_000)) else { panic!() };
    assert_eq!(send_deadline(&follower), Some(ms(500)));
    planner.update(vec![node("a", true)]);
    assert_eq!(
        follower.receive(0, planner.heartbeat_reply(number, 400)),
        MessageEffect::Request(ForwarderMessage::Resend)
    );
    assert_eq!(send_deadline(&follower), Some(ms(500)));
    follower.receive(0, PlannerMessage::Full(planner.plan().clone()));
    let ForwarderMessage::Heartbeat { number } = follower.next_heartbeat(0, ms(60_010)) else { panic!() };
    follower.receive(0, planner.heartbeat_reply(number, 400));
    assert_eq!((send_deadline(&follower), draining(&follower)), (Some(ms(60_410)), vec!["a".to_string()]));
    // After three unanswered rounds the follower continues with its plan; a reply of a planner that is behind
    // does not count.
    for n in 0..3 {
        assert!(send_deadline(&follower).is_some());
        follower.begin_round();
        let ForwarderMessage::Heartbeat { number } = follower.next_heartbeat(1, ms(61_000 + n)) else {
            panic!()
        };
        follower.receive(1, SinglePlanner::new(2, 0, 1).heartbeat_reply(number, 400));
    }
    assert_eq!(send_deadline(&follower), None);
}

#[test]
fn plans_only_rise_and_drains_hold_with_any_loss_and_reordering() {
    let mut rng = Rng::from_env("PLAN_SEED", 7);
    let seeds = std::env::var("PLAN_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(1500);
    let (mut changes, mut rejected) = (0, 0);
    for _ in 0..seeds {
        let seed = rng.next_u64();
        let mut rng = Rng::new(seed);
        let ids: Vec<String> = (0..6).map(|i| format!("n{i}")).collect();
        let mut planners =
            [SinglePlanner::new(0, 1, 1), SinglePlanner::new(1, 2, 1), SinglePlanner::new(2, 3, 1)];
        let mut follower = Follower::default();
        let mut in_transit: Vec<(usize, Vec<u8>)> = Vec::new();
        let mut accepted_drains: HashMap<String, Vec<(u32, AnnouncementVersion)>> = HashMap::new();
        let mut last_version = None;
        for _ in 0..80 {
            let planner = rng.below(3);
            if rng.below(3) == 0 {
                let mut nodes = Vec::new();
                for id in &ids {
                    if rng.below(9) > 0 {
                        nodes.push(node(id, rng.below(4) == 0));
                    }
                }
                for message in planners[planner].update(nodes) {
                    in_transit.push((planner, wire::write_planner_message(&message)));
                }
            }
            if rng.below(6) == 0 {
                let known_version = follower.version().filter(|_| rng.below(2) == 0);
                let updates = planners[planner].catch_up(known_version);
                in_transit
                    .extend(updates.iter().map(|message| (planner, wire::write_planner_message(message))));
            }
            if in_transit.is_empty() {
                continue;
            }
            // Any message on the way may arrive, arrive twice, or be lost.
            let index = rng.below(in_transit.len());
            let (from, frame) =
                if rng.below(4) == 0 { in_transit[index].clone() } else { in_transit.swap_remove(index) };
            if rng.below(5) == 0 {
                continue;
            }
            let message =
                wire::read_planner_message(&frame[4..]).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
            let effect = follower.receive(from, message.clone());
            changes += usize::from(effect == MessageEffect::NodesChanged);
            rejected += usize::from(matches!(effect, MessageEffect::Rejected(_)));
            if let (
                PlannerMessage::Drain { planner, announcement_version, id },
                MessageEffect::NodesChanged,
            ) = (&message, &effect)
            {
                accepted_drains.entry(id.clone()).or_default().push((*planner, *announcement_version));
            }
            assert!(
                follower.version() >= last_version,
                "seed {seed}: went back to {:?} from {last_version:?}",
                follower.version()
            );
            last_version = follower.version();
            // An accepted drain holds until an accepted plan acknowledges it.
            if let (
                MessageEffect::NodesChanged,
                PlannerMessage::Full(Plan { acknowledged, .. })
                | PlannerMessage::Delta(dewpier_plan::Delta { acknowledged, .. }),
            ) = (&effect, &message)
            {
                for announcements in accepted_drains.values_mut() {
                    announcements.retain(|(p, v)| !acknowledged.iter().any(|(ap, av)| ap == p && av >= v));
                }
            }
            for node in follower.nodes() {
                let must_drain =
                    accepted_drains.get(&node.id).is_some_and(|announcements| !announcements.is_empty());
                assert!(node.draining || !must_drain, "seed {seed}: the drain of {} has ended", node.id);
            }
        }
    }
    println!("{seeds} seeds: {changes} changes, {rejected} rejected");
    assert!(changes > seeds && rejected > seeds);
}

#[test]
fn invalid_messages_are_rejected_and_unknown_fields_skipped() {
    let mut planner = SinglePlanner::new(1, 1, 1);
    planner.update(vec![node("a", false), node("b", true)]);
    let valid = wire::write_planner_message(&PlannerMessage::Full(planner.plan().clone()))[4..].to_vec();
    assert_eq!(wire::read_planner_message(&valid).unwrap(), PlannerMessage::Full(planner.plan().clone()));
    // One field of a later release for each wire type of protobuf.
    for unknown_field in [
        &[0xf8, 0x07, 1][..],
        &[0xfa, 0x07, 2, 9, 9],
        &[0xf9, 0x07, 1, 2, 3, 4, 5, 6, 7, 8],
        &[0xfd, 0x07, 1, 2, 3, 4],
    ] {
        let newer = [&valid, unknown_field].concat();
        assert_eq!(wire::read_planner_message(&newer).unwrap(), PlannerMessage::Full(planner.plan().clone()));
    }
    assert_eq!(wire::read_planner_message(&[0xf8, 0x07, 1]), Err(wire::WireError::Unknown));
    let duplicate = Plan { nodes: vec![node("a", false), node("a", false)], ..planner.plan().clone() };
    let with_changed_node = |change: &dyn Fn(&mut Node)| {
        let mut n = node("a", false);
        change(&mut n);
        Plan { nodes: vec![n], ..planner.plan().clone() }
    };
    for plan in [
        duplicate,
        with_changed_node(&|n| n.weight = f64::NAN),
        with_changed_node(&|n| n.weight = -1.0),
        with_changed_node(&|n| n.id = String::new()),
        with_changed_node(&|n| n.id = "x".repeat(254)),
        with_changed_node(&|n| n.zone = "a\nb".into()),
        with_changed_node(&|n| n.address.set_port(0)),
    ] {
        let bytes = wire::write_planner_message(&PlannerMessage::Full(plan.clone()));
        assert!(wire::read_planner_message(&bytes[4..]).is_err(), "{plan:?}");
    }
    let too_many = Plan {
        nodes: (0..20_001).map(|i| node(&format!("n{i}"), false)).collect(),
        ..planner.plan().clone()
    };
    assert!(
        wire::read_planner_message(&wire::write_planner_message(&PlannerMessage::Full(too_many))[4..])
            .is_err()
    );
    // Corrupted bytes give an error or a message, and never a panic.
    let mut rng = Rng::from_env("PLAN_SEED", 7);
    for _ in 0..20_000 {
        let mut bytes = valid.clone();
        let at = rng.below(bytes.len());
        match rng.below(3) {
            0 => bytes.truncate(at),
            1 => bytes[at] = rng.next_u64() as u8,
            _ => drop(bytes.remove(at)),
        }
        let _ = wire::read_planner_message(&bytes);
        let _ = wire::read_forwarder_message(&bytes);
    }
}

#[test]
fn late_follower_gets_current_ages_of_nodes() {
    let ms = Duration::from_millis;
    let mut announcer = Announcer::new(0, 1);
    let mut publisher = Publisher::default();
    let mut publish = |nodes: Vec<Node>, generation: u64, now: u64| {
        announcer.observe(nodes);
        let version = Version { term: 1, generation };
        let plan = Plan { version, nodes: announcer.view().to_vec(), acknowledged: Vec::new() };
        publisher.publish(plan, ms(now));
        publisher.catch_up(None, ms(now + 3000))
    };
    let ages = |messages: Vec<PlannerMessage>| match messages.into_iter().next() {
        Some(PlannerMessage::Full(plan)) => plan.nodes.into_iter().map(|n| n.age_ms).collect::<Vec<_>>(),
        other => panic!("{other:?}"),
    };
    assert_eq!(ages(publish(vec![node("a", false)], 1, 0)), [None], "nodes of the first list have no age");
    assert_eq!(ages(publish(vec![node("a", false), node("b", false)], 2, 1000)), [None, Some(3000)]);
    // Another plan does not change ages; the end of a drain and a new address do.
    let both = |draining| vec![node("a", draining), node("b", false)];
    assert_eq!(ages(publish(both(true), 3, 5000)), [None, Some(7000)]);
    assert_eq!(ages(publish(both(false), 4, 8000)), [Some(3000), Some(10_000)]);
    let mut moved = both(false);
    moved[1].address = "10.0.0.9:80".parse().unwrap();
    assert_eq!(ages(publish(moved.clone(), 5, 9000)), [Some(4000), Some(3000)]);
    moved.push(node("c", false));
    assert_eq!(ages(publish(moved, 6, 700_000)), [None, None, Some(3000)], "not cold by any setting");
}
