//! Forwarders that use a part of the fleet: what a planner tells each is its part of the plan that holds,
//! whatever was lost on the way, whoever tells it; and the part, not the fleet, is what memory grows with.

mod common;

use dewpier_plan::{
    AnnouncementVersion, CellIndex, Counts, Digest, Follower, ForwarderMessage, MessageEffect, Node, Plan,
    PlannerMessage, Publisher, Slice, Standby, StandbySettings, Version, wire,
};
use dewpier_standins::rng::Rng;
use std::time::Duration;

const NOW: Duration = Duration::ZERO;

fn node(number: usize, draining: bool) -> Node {
    Node {
        id: format!("pricing-{number:05}.example.org"),
        address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 80).into(),
        zone: "a".into(),
        cell: (number / 4) as u32,
        weight: 1.0,
        draining,
        age_ms: None,
    }
}

fn plan(generation: u64, nodes: Vec<Node>) -> Plan {
    Plan { version: Version { term: 1, generation }, nodes, acknowledged: Vec::new() }
}

/// What comes out at the other end.
fn carried(told: PlannerMessage) -> PlannerMessage {
    wire::read_planner_message(&wire::write_planner_message(&told)[4..]).unwrap()
}

#[test]
fn a_follower_of_a_part_has_that_part_of_the_plan_that_holds_whatever_is_lost() {
    let mut rng = Rng::from_env("SLICES_SEED", 17);
    let seeds = std::env::var("SLICES_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(300);
    let (mut deltas, mut small, mut asked) = (0, 0, 0);
    for _ in 0..seeds {
        let seed = rng.number();
        let mut rng = Rng::new(seed);
        let slice = Slice::new(&format!("f{}", rng.below(9)), 1 + rng.below(12));
        let mut publisher = Publisher::default();
        let mut follower = Follower::with_slice(Some(slice));
        let (mut part, told) = publisher.initial_messages(Some(slice), None, NOW);
        assert_eq!(told, [], "seed {seed}: there is no plan yet");
        let mut held = Vec::new();
        for generation in 1..40 {
            let old = publisher.plan().nodes.clone();
            let nodes: Vec<Node> = (0..40)
                .filter_map(|i| match rng.below(12) {
                    0 => None,
                    1 => Some(node(i, true)),
                    2 => Some(node(i, false)),
                    _ => old.iter().find(|n| n.id == node(i, false).id).cloned(),
                })
                .collect();
            let told = publisher.publish(plan(generation, nodes), NOW).expect("it is newer");
            // Some are late, so that the next brings both.
            held.push(told);
            if rng.below(4) == 0 {
                continue;
            }
            for told in held
                .drain(..)
                .filter_map(|told| publisher.message_for(&mut part, &told, NOW))
                .collect::<Vec<_>>()
            {
                if let PlannerMessage::Delta(delta) = &told {
                    deltas += 1;
                    small += usize::from(delta.set.len().max(delta.gone.len()) <= 2 * slice.size());
                }
                if rng.below(6) == 0 {
                    continue; // lost on the way
                }
                if follower.receive(0, carried(told)) == MessageEffect::Request(ForwarderMessage::Resend) {
                    asked += 1;
                    for told in publisher.full_update(&mut part, NOW) {
                        follower.receive(0, carried(told));
                    }
                }
            }
            if rng.below(8) == 0 {
                // The connection breaks, and it says anew what it has.
                let (anew, told) = publisher.initial_messages(Some(slice), follower.version(), NOW);
                part = anew;
                told.into_iter().for_each(|told| drop(follower.receive(0, carried(told))));
            }
            if follower.version() == Some(publisher.plan().version) {
                let all = &publisher.plan().nodes;
                let its: Vec<Node> = slice.select(all, &CellIndex::new(all)).into_iter().cloned().collect();
                // That it knows how old some of them are at least is beside the point here.
                let planned: Vec<Node> =
                    follower.planned_nodes().iter().map(|n| Node { age_ms: None, ..n.clone() }).collect();
                assert_eq!(planned, its, "seed {seed}");
                assert!(its.iter().all(|n| part.contains(&n.id)), "seed {seed}");
            }
        }
    }
    assert!(deltas > 10 * seeds && small == deltas && asked > seeds, "{deltas} {small} {asked}");
}

#[test]
fn a_planner_of_an_older_release_that_tells_all_leaves_the_same_part() {
    let slice = Slice::new("f", 8);
    let (mut old, mut new) = (Follower::with_slice(Some(slice)), Follower::with_slice(Some(slice)));
    let mut publisher = Publisher::default();
    let all = |drained: &[usize]| (0..100).map(|i| node(i, drained.contains(&i))).collect::<Vec<_>>();
    let first = publisher.publish(plan(1, all(&[])), NOW).unwrap();
    let (mut part, told) = publisher.initial_messages(Some(slice), None, NOW);
    told.into_iter().for_each(|told| drop(new.receive(0, told)));
    assert_eq!(old.receive(0, first), MessageEffect::NodesChanged);
    assert_eq!((old.planned_nodes().len(), old.planned_nodes()), (8, new.planned_nodes()));
    // Of what it changes the part is kept, too: never more, and nothing that is drained serves.
    let drained: Vec<usize> = (0..100).filter(|i| i % 3 == 0).collect();
    let second = publisher.publish(plan(2, all(&drained)), NOW).unwrap();
    new.receive(0, publisher.message_for(&mut part, &second, NOW).unwrap());
    assert_eq!(old.receive(0, second), MessageEffect::NodesChanged);
    let serving =
        |f: &Follower| f.nodes().iter().filter(|n| !n.draining).map(|n| n.id.clone()).collect::<Vec<_>>();
    assert_eq!(serving(&new).len(), 8);
    assert!(serving(&old).len() <= 8 && old.planned_nodes().len() <= 16, "{:?}", old.planned_nodes());
    assert!(serving(&old).iter().all(|id| !drained.iter().any(|i| node(*i, true).id == *id)));
    // What it is told whole is right again.
    old.receive(0, PlannerMessage::Full(plan(3, all(&drained))));
    let shown =
        |f: &Follower| f.planned_nodes().iter().map(|n| (n.id.clone(), n.draining)).collect::<Vec<_>>();
    assert_eq!(shown(&old), shown(&new));
}

#[test]
fn what_comes_into_a_part_is_as_warm_as_the_planner_knows_it_to_be() {
    let slice = Slice::new("f", 8);
    let mut publisher = Publisher::default();
    let all: Vec<Node> = (0..100).map(|i| node(i, false)).collect();
    publisher.publish(plan(1, all.clone()), NOW);
    let (mut part, told) = publisher.initial_messages(Some(slice), None, NOW);
    let mut follower = Follower::with_slice(Some(slice));
    told.into_iter().for_each(|told| drop(follower.receive(0, told)));
    assert!(
        follower.planned_nodes().iter().all(|n| n.age_ms.is_none()),
        "all of the first are as old as the fleet"
    );
    // A member drains a minute later; a second after that the one in its place starts anew.
    let (member, before) = (follower.planned_nodes()[0].id.clone(), follower.planned_nodes().to_vec());
    let mut drained = all.clone();
    drained.iter_mut().for_each(|n| n.draining = n.id == member);
    let told = publisher.publish(plan(2, drained.clone()), Duration::from_secs(60)).unwrap();
    follower.receive(0, publisher.message_for(&mut part, &told, Duration::from_secs(60)).unwrap());
    let came: Vec<&Node> =
        follower.planned_nodes().iter().filter(|n| before.iter().all(|b| b.id != n.id)).collect();
    assert_eq!(came.iter().map(|n| n.age_ms).collect::<Vec<_>>(), [Some(60_000)]);
    let came = came[0].id.clone();
    let mut young = drained;
    young.iter_mut().filter(|n| n.id == came).for_each(|n| n.age_ms = Some(0));
    let told = publisher.publish(plan(3, young), Duration::from_secs(61)).unwrap();
    follower.receive(0, publisher.message_for(&mut part, &told, Duration::from_secs(61)).unwrap());
    let ages: Vec<_> = follower.planned_nodes().iter().filter(|n| n.id == came).map(|n| n.age_ms).collect();
    assert_eq!(ages, [Some(0)], "it has started anew");
}

#[test]
fn its_own_watch_comes_to_the_same_part_and_back() {
    let ms = Duration::from_millis;
    let slice = Slice::new("f", 8);
    let mut follower = Follower::with_slice(Some(slice));
    let mut standby = Standby::new(StandbySettings { own_watch: true, spread: ms(0), lease: ms(400) });
    let all: Vec<Node> = (0..100).map(|i| node(i, false)).collect();
    follower.receive(0, PlannerMessage::Full(plan(1, all.clone())));
    let before = standby.nodes(&follower);
    assert_eq!(before.len(), 8);
    // A member was told to drain ahead of any plan; then planners fall silent.
    let mark = AnnouncementVersion { epoch: 1, sequence: 1 };
    follower.receive(
        0,
        PlannerMessage::Drain { planner: 0, announcement_version: mark, id: before[0].id.clone() },
    );
    for _ in 0..4 {
        follower.begin_round();
    }
    standby.update(&follower, ms(1000), 0.0);
    standby.update(&follower, ms(1000), 0.0);
    assert!(standby.is_watching());
    assert!(standby.receive_own_list(&follower, all.clone()));
    let own = standby.nodes(&follower);
    let of = |nodes: &[Node], draining: bool| -> Vec<String> {
        nodes.iter().filter(|n| n.draining == draining).map(|n| n.id.clone()).collect()
    };
    assert_eq!(of(&own, true), [before[0].id.clone()], "its own watch has not shown it draining");
    assert_eq!(of(&own, false).len(), 8, "the next one stands in for it");
    assert!(before[1..].iter().all(|n| own.contains(n)), "nothing else has moved");
    // One that is in no part drains by its own watch, which then lists it serving again: what the whole list
    // shows counts, not the part.
    let (other, mut drained) = (all.iter().find(|n| !own.contains(n)).unwrap().clone(), all.clone());
    follower.receive(
        0,
        PlannerMessage::Drain {
            planner: 0,
            announcement_version: AnnouncementVersion { epoch: 1, sequence: 2 },
            id: other.id.clone(),
        },
    );
    assert!(standby.receive_own_list(&follower, all.clone()));
    assert!(!of(&standby.nodes(&follower), false).contains(&other.id));
    drained.iter_mut().for_each(|n| n.draining = n.id != other.id && n.id != before[0].id);
    assert!(standby.receive_own_list(&follower, drained.clone()), "all drain but the two that are held");
    assert_eq!(of(&standby.nodes(&follower), false), [""; 0], "neither was shown to drain: both are held");
    drained.iter_mut().for_each(|n| n.draining = n.id == other.id);
    assert!(standby.receive_own_list(&follower, drained));
    assert!(standby.receive_own_list(&follower, all.clone()));
    let own = standby.nodes(&follower);
    assert_eq!(of(&own, false).len(), 8);
    assert!(!of(&own, false).contains(&before[0].id), "still not shown");
    // Planners are back with a plan that knows nothing of it: for a while only what served serves.
    let served = of(&own, false);
    for at in 0..5 {
        follower.begin_round();
        let ForwarderMessage::Heartbeat { number } = follower.next_heartbeat(0, ms(2000 + at)) else {
            panic!()
        };
        let version = follower.version().unwrap();
        follower
            .receive(0, PlannerMessage::HeartbeatReply { number, version, lease_ms: 400, max_lease_ms: 400 });
        standby.update(&follower, ms(2000 + at), 0.0);
    }
    assert!(!standby.uses_own_list());
    assert!(of(&standby.nodes(&follower), false).iter().all(|id| served.contains(id)));
}

#[test]
fn what_a_planner_says_of_cold_nodes_is_of_the_part() {
    // The size of the first word bounds what a follower may ask for: 0 is all, on the wire too.
    for nodes in [None, Some(1), Some(u32::MAX)] {
        let hello = ForwarderMessage::Hello { name: "f".into(), plan_version: None, slice_size: nodes };
        assert_eq!(wire::read_forwarder_message(&wire::write_forwarder_message(&hello)[4..]), Ok(hello));
    }
    let huge = Slice::new("f", usize::MAX);
    assert_eq!(huge.size(), dewpier_plan::MAX_NODES);
    let digest = Digest { interval_ms: 1, nodes: vec![Counts::default()], other_served: 0 };
    assert!(
        wire::read_forwarder_message(&wire::write_forwarder_message(&ForwarderMessage::Digest(digest))[4..])
            .is_err(),
        "a node without a name"
    );
}
