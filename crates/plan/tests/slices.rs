//! Followers of a slice: each planner sends a forwarder its slice of the current plan, whichever messages are
//! lost, and the own watch selects the same slice.

mod common;

use dewpier_plan::{
    AnnouncementVersion, CellIndex, Digest, Follower, ForwarderMessage, MessageEffect, Node, NodeCounts,
    Plan, PlannerMessage, Publisher, Slice, Standby, StandbySettings, Version, wire,
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

/// Encodes and decodes a message.
fn over_the_wire(message: PlannerMessage) -> PlannerMessage {
    wire::read_planner_message(&wire::write_planner_message(&message)[4..]).unwrap()
}

#[test]
fn follower_has_its_slice_of_the_current_plan_after_any_loss() {
    let mut rng = Rng::from_env("SLICES_SEED", 17);
    let seeds = std::env::var("SLICES_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(300);
    let (mut deltas, mut small_deltas, mut resends) = (0, 0, 0);
    for _ in 0..seeds {
        let seed = rng.next_u64();
        let mut rng = Rng::new(seed);
        let slice = Slice::new(&format!("f{}", rng.below(9)), 1 + rng.below(12));
        let mut publisher = Publisher::default();
        let mut follower = Follower::with_slice(Some(slice));
        let (mut sent, messages) = publisher.start_follower(Some(slice), None, NOW);
        assert_eq!(messages, [], "seed {seed}: there is no plan yet");
        let mut delayed = Vec::new();
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
            let message = publisher.publish(plan(generation, nodes), NOW).expect("the plan is newer");
            // Some changes are delayed, so that the next one delivers both.
            delayed.push(message);
            if rng.below(4) == 0 {
                continue;
            }
            for message in delayed
                .drain(..)
                .filter_map(|message| publisher.message_for(&mut sent, &message, NOW))
                .collect::<Vec<_>>()
            {
                if let PlannerMessage::Delta(delta) = &message {
                    deltas += 1;
                    small_deltas += usize::from(delta.set.len().max(delta.gone.len()) <= 2 * slice.size());
                }
                if rng.below(6) == 0 {
                    continue; // lost
                }
                if follower.receive(0, over_the_wire(message))
                    == MessageEffect::Request(ForwarderMessage::Resend)
                {
                    resends += 1;
                    for message in publisher.full_update(&mut sent, NOW) {
                        follower.receive(0, over_the_wire(message));
                    }
                }
            }
            if rng.below(8) == 0 {
                // The connection breaks, and the follower reports its version again.
                let (restarted, messages) = publisher.start_follower(Some(slice), follower.version(), NOW);
                sent = restarted;
                messages.into_iter().for_each(|message| drop(follower.receive(0, over_the_wire(message))));
            }
            if follower.version() == Some(publisher.plan().version) {
                let all = &publisher.plan().nodes;
                let expected: Vec<Node> =
                    slice.select(all, &CellIndex::new(all)).into_iter().cloned().collect();
                // Minimum ages added by the publisher are not compared.
                let planned: Vec<Node> =
                    follower.planned_nodes().iter().map(|n| Node { age_ms: None, ..n.clone() }).collect();
                assert_eq!(planned, expected, "seed {seed}");
                assert!(expected.iter().all(|n| sent.contains(&n.id)), "seed {seed}");
            }
        }
    }
    assert!(
        deltas > 10 * seeds && small_deltas == deltas && resends > seeds,
        "{deltas} {small_deltas} {resends}"
    );
}

#[test]
fn whole_plan_of_an_older_planner_gives_the_same_slice() {
    let slice = Slice::new("f", 8);
    let (mut old, mut new) = (Follower::with_slice(Some(slice)), Follower::with_slice(Some(slice)));
    let mut publisher = Publisher::default();
    let all = |drained: &[usize]| (0..100).map(|i| node(i, drained.contains(&i))).collect::<Vec<_>>();
    let first_plan = publisher.publish(plan(1, all(&[])), NOW).unwrap();
    let (mut sent, messages) = publisher.start_follower(Some(slice), None, NOW);
    messages.into_iter().for_each(|message| drop(new.receive(0, message)));
    assert_eq!(old.receive(0, first_plan), MessageEffect::NodesChanged);
    assert_eq!((old.planned_nodes().len(), old.planned_nodes()), (8, new.planned_nodes()));
    // Only the slice of a change is kept: no more nodes than before, and no draining node serves.
    let drained: Vec<usize> = (0..100).filter(|i| i % 3 == 0).collect();
    let second_plan = publisher.publish(plan(2, all(&drained)), NOW).unwrap();
    new.receive(0, publisher.message_for(&mut sent, &second_plan, NOW).unwrap());
    assert_eq!(old.receive(0, second_plan), MessageEffect::NodesChanged);
    let serving =
        |f: &Follower| f.nodes().iter().filter(|n| !n.draining).map(|n| n.id.clone()).collect::<Vec<_>>();
    assert_eq!(serving(&new).len(), 8);
    assert!(serving(&old).len() <= 8 && old.planned_nodes().len() <= 16, "{:?}", old.planned_nodes());
    assert!(serving(&old).iter().all(|id| !drained.iter().any(|i| node(*i, true).id == *id)));
    // A complete plan restores the exact slice.
    old.receive(0, PlannerMessage::Full(plan(3, all(&drained))));
    let states =
        |f: &Follower| f.planned_nodes().iter().map(|n| (n.id.clone(), n.draining)).collect::<Vec<_>>();
    assert_eq!(states(&old), states(&new));
}

#[test]
fn node_that_enters_a_slice_has_at_least_the_age_of_the_planner() {
    let slice = Slice::new("f", 8);
    let mut publisher = Publisher::default();
    let all: Vec<Node> = (0..100).map(|i| node(i, false)).collect();
    publisher.publish(plan(1, all.clone()), NOW);
    let (mut sent, messages) = publisher.start_follower(Some(slice), None, NOW);
    let mut follower = Follower::with_slice(Some(slice));
    messages.into_iter().for_each(|message| drop(follower.receive(0, message)));
    assert!(
        follower.planned_nodes().iter().all(|n| n.age_ms.is_none()),
        "nodes of the first plan have no age"
    );
    // A member of the slice drains after a minute; a second later its replacement restarts.
    let (member, before) = (follower.planned_nodes()[0].id.clone(), follower.planned_nodes().to_vec());
    let mut drained = all.clone();
    drained.iter_mut().for_each(|n| n.draining = n.id == member);
    let message = publisher.publish(plan(2, drained.clone()), Duration::from_secs(60)).unwrap();
    follower.receive(0, publisher.message_for(&mut sent, &message, Duration::from_secs(60)).unwrap());
    let entered: Vec<&Node> =
        follower.planned_nodes().iter().filter(|n| before.iter().all(|b| b.id != n.id)).collect();
    assert_eq!(entered.iter().map(|n| n.age_ms).collect::<Vec<_>>(), [Some(60_000)]);
    let replacement = entered[0].id.clone();
    let mut restarted = drained;
    restarted.iter_mut().filter(|n| n.id == replacement).for_each(|n| n.age_ms = Some(0));
    let message = publisher.publish(plan(3, restarted), Duration::from_secs(61)).unwrap();
    follower.receive(0, publisher.message_for(&mut sent, &message, Duration::from_secs(61)).unwrap());
    let ages: Vec<_> =
        follower.planned_nodes().iter().filter(|n| n.id == replacement).map(|n| n.age_ms).collect();
    assert_eq!(ages, [Some(0)], "the node has restarted");
}

#[test]
fn own_watch_selects_the_same_slice_as_the_planners() {
    let ms = Duration::from_millis;
    let slice = Slice::new("f", 8);
    let mut follower = Follower::with_slice(Some(slice));
    let mut standby = Standby::new(StandbySettings { own_watch: true, spread: ms(0), lease: ms(400) });
    let all: Vec<Node> = (0..100).map(|i| node(i, false)).collect();
    follower.receive(0, PlannerMessage::Full(plan(1, all.clone())));
    let before = standby.nodes(&follower);
    assert_eq!(before.len(), 8);
    // A drain of a member is announced ahead of any plan; then the planners fall silent.
    let announcement_version = AnnouncementVersion { epoch: 1, sequence: 1 };
    follower.receive(0, PlannerMessage::Drain { planner: 0, announcement_version, id: before[0].id.clone() });
    for _ in 0..4 {
        follower.begin_round();
    }
    standby.update(&follower, ms(1000), 0.0);
    standby.update(&follower, ms(1000), 0.0);
    assert!(standby.is_watching());
    assert!(standby.receive_own_list(&follower, all.clone()));
    let own = standby.nodes(&follower);
    let ids = |nodes: &[Node], draining: bool| -> Vec<String> {
        nodes.iter().filter(|n| n.draining == draining).map(|n| n.id.clone()).collect()
    };
    assert_eq!(ids(&own, true), [before[0].id.clone()], "the own watch has not shown the drain");
    assert_eq!(ids(&own, false).len(), 8, "the next node replaces it");
    assert!(before[1..].iter().all(|n| own.contains(n)), "no other node is replaced");
    // A node outside the slice drains in the own watch, which then lists it as serving again: the whole list
    // counts, not only the slice.
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
    assert!(!ids(&standby.nodes(&follower), false).contains(&other.id));
    drained.iter_mut().for_each(|n| n.draining = n.id != other.id && n.id != before[0].id);
    assert!(standby.receive_own_list(&follower, drained.clone()), "all nodes drain except two");
    assert_eq!(
        ids(&standby.nodes(&follower), false),
        [""; 0],
        "both stay draining, as the watch has not shown them draining"
    );
    drained.iter_mut().for_each(|n| n.draining = n.id == other.id);
    assert!(standby.receive_own_list(&follower, drained));
    assert!(standby.receive_own_list(&follower, all.clone()));
    let own = standby.nodes(&follower);
    assert_eq!(ids(&own, false).len(), 8);
    assert!(!ids(&own, false).contains(&before[0].id), "the watch has not shown the drain yet");
    // The planners return with a plan without these drains: for a while only nodes that served before serve.
    let served = ids(&own, false);
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
    assert!(ids(&standby.nodes(&follower), false).iter().all(|id| served.contains(id)));
}

#[test]
fn slice_size_is_bounded_and_digests_need_node_names() {
    // The slice size of the hello bounds what a follower may request; 0 stands for the whole plan on the
    // wire.
    for nodes in [None, Some(1), Some(u32::MAX)] {
        let hello = ForwarderMessage::Hello { name: "f".into(), plan_version: None, slice_size: nodes };
        assert_eq!(wire::read_forwarder_message(&wire::write_forwarder_message(&hello)[4..]), Ok(hello));
    }
    let huge = Slice::new("f", usize::MAX);
    assert_eq!(huge.size(), dewpier_plan::MAX_NODES);
    let digest = Digest { interval_ms: 1, nodes: vec![NodeCounts::default()], other_served: 0 };
    assert!(
        wire::read_forwarder_message(&wire::write_forwarder_message(&ForwarderMessage::Digest(digest))[4..])
            .is_err(),
        "a node without a name"
    );
}
