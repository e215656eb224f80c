//! A follower of planners that disagree, over a network that loses, doubles and reorders: plans only
//! go forward, and a drain holds until a plan has heard of it. Seeded.

mod common;

use common::Alone;
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

/// As a forwarder without a watch of its own has it.
fn may_send_until(follower: &Follower) -> Option<Duration> {
    let rules = StandbySettings { own_watch: false, spread: Duration::ZERO, lease: Duration::ZERO };
    Standby::new(rules).send_deadline(follower, Duration::ZERO)
}

fn draining(follower: &Follower) -> Vec<String> {
    follower.nodes().into_iter().filter(|n| n.draining).map(|n| n.id).collect()
}

#[test]
fn a_planner_that_has_not_heard_of_a_drain_does_not_bring_the_node_back() {
    let mut follower = Follower::default();
    let (mut one, mut two) = (Alone::new(1, 1, 1), Alone::new(2, 2, 1));
    let all = || vec![node("a", false), node("b", false)];
    one.update(all()).into_iter().for_each(|told| drop(follower.receive(0, told)));
    follower.receive(0, PlannerMessage::Full(one.plan().clone()));
    assert_eq!(draining(&follower), [""; 0]);
    // The first planner is told of a drain, gets no further than the word of it, and dies.
    let told = one.update(vec![node("a", true), node("b", false)]);
    assert_eq!(follower.receive(0, told[0].clone()), MessageEffect::NodesChanged);
    assert_eq!(draining(&follower), ["a"]);
    // The second takes the lead and knows nothing of it: its plan holds, and so does the drain.
    two.update(all());
    assert_eq!(follower.receive(1, PlannerMessage::Full(two.plan().clone())), MessageEffect::NodesChanged);
    assert_eq!(follower.version(), Some(Version { term: 2, generation: 1 }));
    assert_eq!(draining(&follower), ["a"]);
    // A plan that has heard that very news may bring it back.
    let mut heard = two.plan().clone();
    heard.version.generation = 2;
    let PlannerMessage::Drain { announcement_version: mark, .. } = &told[0] else { panic!() };
    heard.acknowledged.push((1, *mark));
    assert_eq!(follower.receive(1, PlannerMessage::Full(heard)), MessageEffect::NodesChanged);
    assert_eq!(draining(&follower), [""; 0]);
    // The same word again is old.
    assert_eq!(follower.receive(0, told[0].clone()), MessageEffect::Rejected(MessageRejection::Outdated));
    assert_eq!(
        follower.receive(0, PlannerMessage::Full(one.plan().clone())),
        MessageEffect::Rejected(MessageRejection::Outdated)
    );
}

#[test]
fn a_lease_counts_from_the_question_and_for_the_plan_that_is_here() {
    let ms = Duration::from_millis;
    let mut follower = Follower::default();
    let mut planner = Alone::new(1, 1, 1);
    planner.update(vec![node("a", false)]);
    assert_eq!(follower.lease_state(ms(0)), LeaseState::NoPlan);
    follower.receive(0, PlannerMessage::Full(planner.plan().clone()));
    assert_eq!(follower.lease_state(ms(0)), LeaseState::Expired, "nobody has vouched for it");
    let ForwarderMessage::Heartbeat { number } = follower.next_heartbeat(0, ms(100)) else { panic!() };
    // The answer was on its way for a second, or the process stood still: the lease is over.
    assert_eq!(follower.receive(0, planner.beat(number, 400)), MessageEffect::Accepted);
    assert_eq!(follower.lease_state(ms(499)), LeaseState::Leased);
    assert_eq!(follower.lease_state(ms(1100)), LeaseState::Expired);
    assert_eq!(
        follower.receive(0, planner.beat(number, 400)),
        MessageEffect::Rejected(MessageRejection::Unsolicited),
        "a replay"
    );
    assert_eq!(
        follower.receive(1, planner.beat(number, 400)),
        MessageEffect::Rejected(MessageRejection::Unsolicited),
        "another's"
    );
    let ForwarderMessage::Heartbeat { number } = follower.next_heartbeat(0, ms(2000)) else { panic!() };
    planner.update(vec![node("a", true)]);
    assert_eq!(
        follower.receive(0, planner.beat(number, 400)),
        MessageEffect::Request(ForwarderMessage::Resend)
    );
    assert_eq!(follower.lease_state(ms(2001)), LeaseState::Expired, "it vouched for a plan that is not here");
    follower.remove_connection(0);
    let ForwarderMessage::Heartbeat { number } = follower.next_heartbeat(0, ms(3000)) else { panic!() };
    follower.remove_connection(0);
    assert_eq!(
        follower.receive(0, planner.beat(number, 400)),
        MessageEffect::Rejected(MessageRejection::Unsolicited)
    );
}

#[test]
fn a_process_that_stood_still_sends_nothing_until_it_has_asked_anew() {
    let ms = Duration::from_millis;
    let mut follower = Follower::default();
    let mut planner = Alone::new(1, 1, 1);
    planner.update(vec![node("a", false)]);
    follower.receive(0, PlannerMessage::Full(planner.plan().clone()));
    assert_eq!(may_send_until(&follower), Some(ms(0)));
    follower.begin_round();
    let ForwarderMessage::Heartbeat { number } = follower.next_heartbeat(0, ms(100)) else { panic!() };
    follower.receive(0, planner.beat(number, 400));
    assert_eq!(may_send_until(&follower), Some(ms(500)));
    // It stands still for a minute, and a node drains meanwhile. One question more is asked, and
    // that is not silence yet; the answer vouches for a plan that is not here.
    follower.begin_round();
    let ForwarderMessage::Heartbeat { number } = follower.next_heartbeat(0, ms(60_000)) else { panic!() };
    assert_eq!(may_send_until(&follower), Some(ms(500)));
    planner.update(vec![node("a", true)]);
    assert_eq!(
        follower.receive(0, planner.beat(number, 400)),
        MessageEffect::Request(ForwarderMessage::Resend)
    );
    assert_eq!(may_send_until(&follower), Some(ms(500)));
    follower.receive(0, PlannerMessage::Full(planner.plan().clone()));
    let ForwarderMessage::Heartbeat { number } = follower.next_heartbeat(0, ms(60_010)) else { panic!() };
    follower.receive(0, planner.beat(number, 400));
    assert_eq!((may_send_until(&follower), draining(&follower)), (Some(ms(60_410)), vec!["a".to_string()]));
    // Asked three times in vain, it goes on by what it has; and one that is behind does not count.
    for n in 0..3 {
        assert!(may_send_until(&follower).is_some());
        follower.begin_round();
        let ForwarderMessage::Heartbeat { number } = follower.next_heartbeat(1, ms(61_000 + n)) else {
            panic!()
        };
        follower.receive(1, Alone::new(2, 0, 1).beat(number, 400));
    }
    assert_eq!(may_send_until(&follower), None);
}

#[test]
fn whatever_the_network_does_plans_go_forward_and_drains_hold() {
    let mut rng = Rng::from_env("PLAN_SEED", 7);
    let seeds = std::env::var("PLAN_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(1500);
    let (mut changes, mut refused) = (0, 0);
    for _ in 0..seeds {
        let seed = rng.number();
        let mut rng = Rng::new(seed);
        let ids: Vec<String> = (0..6).map(|i| format!("n{i}")).collect();
        let mut planners = [Alone::new(0, 1, 1), Alone::new(1, 2, 1), Alone::new(2, 3, 1)];
        let mut follower = Follower::default();
        let mut wire_of: Vec<(usize, Vec<u8>)> = Vec::new();
        let mut told_drains: HashMap<String, Vec<(u32, AnnouncementVersion)>> = HashMap::new();
        let mut last = None;
        for _ in 0..80 {
            let planner = rng.below(3);
            if rng.below(3) == 0 {
                let mut nodes = Vec::new();
                for id in &ids {
                    if rng.below(9) > 0 {
                        nodes.push(node(id, rng.below(4) == 0));
                    }
                }
                for told in planners[planner].update(nodes) {
                    wire_of.push((planner, wire::write_planner_message(&told)));
                }
            }
            if rng.below(6) == 0 {
                let has = follower.version().filter(|_| rng.below(2) == 0);
                let behind = planners[planner].catch_up(has);
                wire_of.extend(behind.iter().map(|told| (planner, wire::write_planner_message(told))));
            }
            if wire_of.is_empty() {
                continue;
            }
            // Any of those on the way arrives, and may arrive again; some never do.
            let place = rng.below(wire_of.len());
            let (from, frame) =
                if rng.below(4) == 0 { wire_of[place].clone() } else { wire_of.swap_remove(place) };
            if rng.below(5) == 0 {
                continue;
            }
            let told = wire::read_planner_message(&frame[4..]).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
            let heard = follower.receive(from, told.clone());
            changes += usize::from(heard == MessageEffect::NodesChanged);
            refused += usize::from(matches!(heard, MessageEffect::Rejected(_)));
            if let (
                PlannerMessage::Drain { planner, announcement_version: mark, id },
                MessageEffect::NodesChanged,
            ) = (&told, &heard)
            {
                told_drains.entry(id.clone()).or_default().push((*planner, *mark));
            }
            assert!(
                follower.version() >= last,
                "seed {seed}: back to {:?} from {last:?}",
                follower.version()
            );
            last = follower.version();
            // A drain that was taken holds until a plan that was taken has heard of it.
            if let (
                MessageEffect::NodesChanged,
                PlannerMessage::Full(Plan { acknowledged: heard, .. })
                | PlannerMessage::Delta(dewpier_plan::Delta { acknowledged: heard, .. }),
            ) = (&heard, &told)
            {
                for news in told_drains.values_mut() {
                    news.retain(|(p, m)| !heard.iter().any(|(hp, hm)| hp == p && hm >= m));
                }
            }
            for node in follower.nodes() {
                let owed = told_drains.get(&node.id).is_some_and(|news| !news.is_empty());
                assert!(node.draining || !owed, "seed {seed}: {} is back", node.id);
            }
        }
    }
    println!("{seeds} seeds: {changes} changes, {refused} refused");
    assert!(changes > seeds && refused > seeds);
}

#[test]
fn messages_that_make_no_sense_are_refused_and_unknown_fields_passed_over() {
    let mut planner = Alone::new(1, 1, 1);
    planner.update(vec![node("a", false), node("b", true)]);
    let good = wire::write_planner_message(&PlannerMessage::Full(planner.plan().clone()))[4..].to_vec();
    assert_eq!(wire::read_planner_message(&good).unwrap(), PlannerMessage::Full(planner.plan().clone()));
    // A field of a later release, of each kind that there is in protobuf.
    for later in [
        &[0xf8, 0x07, 1][..],
        &[0xfa, 0x07, 2, 9, 9],
        &[0xf9, 0x07, 1, 2, 3, 4, 5, 6, 7, 8],
        &[0xfd, 0x07, 1, 2, 3, 4],
    ] {
        let newer = [&good, later].concat();
        assert_eq!(wire::read_planner_message(&newer).unwrap(), PlannerMessage::Full(planner.plan().clone()));
    }
    assert_eq!(wire::read_planner_message(&[0xf8, 0x07, 1]), Err(wire::WireError::Unknown));
    let twice = Plan { nodes: vec![node("a", false), node("a", false)], ..planner.plan().clone() };
    let odd = |f: &dyn Fn(&mut Node)| {
        let mut n = node("a", false);
        f(&mut n);
        Plan { nodes: vec![n], ..planner.plan().clone() }
    };
    for plan in [
        twice,
        odd(&|n| n.weight = f64::NAN),
        odd(&|n| n.weight = -1.0),
        odd(&|n| n.id = String::new()),
        odd(&|n| n.id = "x".repeat(254)),
        odd(&|n| n.zone = "a\nb".into()),
        odd(&|n| n.address.set_port(0)),
    ] {
        let bytes = wire::write_planner_message(&PlannerMessage::Full(plan.clone()));
        assert!(wire::read_planner_message(&bytes[4..]).is_err(), "{plan:?}");
    }
    let many = Plan {
        nodes: (0..20_001).map(|i| node(&format!("n{i}"), false)).collect(),
        ..planner.plan().clone()
    };
    assert!(
        wire::read_planner_message(&wire::write_planner_message(&PlannerMessage::Full(many))[4..]).is_err()
    );
    // Any bytes at all: an error or a message, and no panic.
    let mut rng = Rng::from_env("PLAN_SEED", 7);
    for _ in 0..20_000 {
        let mut bytes = good.clone();
        let at = rng.below(bytes.len());
        match rng.below(3) {
            0 => bytes.truncate(at),
            1 => bytes[at] = rng.number() as u8,
            _ => drop(bytes.remove(at)),
        }
        let _ = wire::read_planner_message(&bytes);
        let _ = wire::read_forwarder_message(&bytes);
    }
}

#[test]
fn a_follower_that_comes_later_hears_how_long_ago_a_node_started() {
    let ms = Duration::from_millis;
    let mut announcer = Announcer::new(0, 1);
    let mut publisher = Publisher::default();
    let mut tell = |nodes: Vec<Node>, generation: u64, now: u64| {
        announcer.observe(nodes);
        let version = Version { term: 1, generation };
        let plan = Plan { version, nodes: announcer.view().to_vec(), acknowledged: Vec::new() };
        publisher.publish(plan, ms(now));
        publisher.catch_up(None, ms(now + 3000))
    };
    let ages = |told: Vec<PlannerMessage>| match told.into_iter().next() {
        Some(PlannerMessage::Full(plan)) => plan.nodes.into_iter().map(|n| n.age_ms).collect::<Vec<_>>(),
        other => panic!("{other:?}"),
    };
    assert_eq!(ages(tell(vec![node("a", false)], 1, 0)), [None], "it may have run for long");
    assert_eq!(ages(tell(vec![node("a", false), node("b", false)], 2, 1000)), [None, Some(3000)]);
    // Another plan changes nothing of it; a drain that ends, and another address, do.
    let both = |draining| vec![node("a", draining), node("b", false)];
    assert_eq!(ages(tell(both(true), 3, 5000)), [None, Some(7000)]);
    assert_eq!(ages(tell(both(false), 4, 8000)), [Some(3000), Some(10_000)]);
    let mut moved = both(false);
    moved[1].address = "10.0.0.9:80".parse().unwrap();
    assert_eq!(ages(tell(moved.clone(), 5, 9000)), [Some(4000), Some(3000)]);
    moved.push(node("c", false));
    assert_eq!(ages(tell(moved, 6, 700_000)), [None, None, Some(3000)], "not cold by any setting");
}
