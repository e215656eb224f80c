//! What planners agree on, against a plain model of it. Seeded.

use dewpier_cluster::fleet::{Command, CommandRejection, Fleet};
use dewpier_plan::{AnnouncementVersion, Node};
use dewpier_standins::rng::Rng;
use std::collections::{BTreeMap, BTreeSet};

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

fn mark(epoch: u64, sequence: u64) -> AnnouncementVersion {
    AnnouncementVersion { epoch, sequence }
}

#[derive(Default)]
struct Planner {
    mark: AnnouncementVersion,
    view: BTreeMap<String, bool>,
    /// What it has ever listed while anyone did.
    seen: BTreeSet<String>,
    live: bool,
}

#[test]
fn a_node_serves_only_where_no_planner_says_otherwise() {
    let mut rng = Rng::from_env("FLEET_SEED", 11);
    let seeds = std::env::var("FLEET_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(400);
    let (mut applied, mut draining, mut old) = (0, 0, 0);
    for _ in 0..seeds {
        let seed = rng.number();
        let mut rng = Rng::new(seed);
        let mut fleet = Fleet::default();
        let mut planners: Vec<Planner> = (0..3).map(|_| Planner::default()).collect();
        let mut version = fleet.plan().version;
        let ids: Vec<String> = (0..5).map(|i| format!("n{i}")).collect();
        for index in 1..60u64 {
            let n = rng.below(3);
            let p = &mut planners[n];
            let number = n as u32;
            let mut view: BTreeMap<String, bool> = BTreeMap::new();
            for id in &ids {
                if rng.below(6) > 0 {
                    view.insert(id.clone(), rng.below(3) == 0);
                }
            }
            let nodes = |view: &BTreeMap<String, bool>| -> Vec<Node> {
                view.iter().map(|(id, draining)| node(id, *draining)).collect()
            };
            let command = match rng.below(10) {
                0 => Command::Expel { planner: number, epoch: p.mark.epoch + rng.below(2) as u64 },
                1..3 => Command::View {
                    planner: number,
                    announcement_version: mark(p.mark.epoch + rng.below(2) as u64, 1),
                    nodes: nodes(&view),
                },
                _ => {
                    let from = mark(p.mark.epoch, p.mark.sequence.saturating_sub(rng.below(9) as u64 / 8));
                    let gone = p.view.keys().filter(|id| !view.contains_key(*id)).cloned().collect();
                    let to = mark(from.epoch, p.mark.sequence.saturating_add(1));
                    Command::Change { planner: number, from, to, set: nodes(&view), gone }
                }
            };
            let came = fleet.apply(1, index, command.clone());
            // The model.
            let fits = match &command {
                Command::View { announcement_version: mark, .. } => mark.epoch > p.mark.epoch,
                Command::Change { from, .. } => p.live && *from == p.mark && from.sequence < u64::MAX,
                Command::Expel { epoch, .. } => *epoch > p.mark.epoch || (*epoch == p.mark.epoch && p.live),
                Command::Base(_) => unreachable!(),
            };
            // At the very first a planner of epoch 0 is expelled though it was never heard.
            let fresh = matches!(&command, Command::Expel { epoch: 0, .. })
                && p.mark == AnnouncementVersion::default();
            assert_eq!(
                came,
                if fits || fresh { Ok(true) } else { Err(CommandRejection::Outdated) },
                "seed {seed}: {command:?}"
            );
            if came.is_err() {
                old += 1;
                continue;
            }
            applied += 1;
            // What the others list when a view begins counts as seen by it.
            let others = planners.iter().enumerate().filter(|(q, p)| *q != n && p.live);
            let others: BTreeSet<String> = others.flat_map(|(_, p)| p.view.keys().cloned()).collect();
            let p = &mut planners[n];
            match command {
                Command::View { announcement_version: mark, .. } => {
                    p.seen.extend(others);
                    (p.mark, p.view, p.live) = (mark, view.clone(), true);
                    for (_, q) in planners.iter_mut().enumerate().filter(|(q, p)| *q != n && p.live) {
                        let lacks: Vec<&String> =
                            view.keys().filter(|id| !q.view.contains_key(*id)).collect();
                        if 2 * lacks.len() <= view.len() {
                            q.seen.extend(lacks.into_iter().cloned());
                        }
                    }
                }
                Command::Change { to, .. } => (p.mark, p.view) = (to, view),
                Command::Expel { epoch, .. } => {
                    (p.mark, p.live) = (mark(epoch, u64::MAX), false);
                }
                Command::Base(_) => unreachable!(),
            }
            let listed: BTreeSet<String> =
                planners.iter().filter(|p| p.live).flat_map(|p| p.view.keys().cloned()).collect();
            for p in &mut planners {
                p.seen.extend(p.view.keys().cloned());
                p.seen.retain(|id| listed.contains(id));
            }
            let plan = fleet.plan();
            assert!(plan.version > version || plan.version.generation == 0, "seed {seed}: went back");
            version = version.max(plan.version);
            let named: BTreeSet<String> = plan.nodes.iter().map(|n| n.id.clone()).collect();
            assert_eq!(named, listed, "seed {seed}");
            for node in &plan.nodes {
                let against = |p: &Planner| match p.view.get(&node.id) {
                    Some(draining) => *draining,
                    None => p.seen.contains(&node.id),
                };
                let drains = planners.iter().filter(|p| p.live).any(against);
                assert_eq!(node.draining, drains, "seed {seed}: {} at {index}", node.id);
                draining += usize::from(drains);
            }
            // It is the same after a way over the wire.
            let mut bytes = Vec::new();
            ciborium::into_writer(&fleet, &mut bytes).unwrap();
            assert_eq!(ciborium::from_reader::<Fleet, _>(bytes.as_slice()).unwrap(), fleet);
        }
    }
    assert!(applied > 5000 && draining > 5000 && old > 500, "{applied} {draining} {old}");
}

#[test]
fn plans_of_a_higher_base_are_newer_and_too_many_nodes_are_refused() {
    let mut fleet = Fleet::default();
    assert_eq!(fleet.apply(3, 1, Command::Base(100)), Ok(true));
    assert_eq!(fleet.plan().version.generation, 0, "nobody has a view yet");
    let view = |epoch, count: usize| Command::View {
        planner: 0,
        announcement_version: mark(epoch, 1),
        nodes: (0..count).map(|i| node(&format!("n{i}"), false)).collect(),
    };
    assert_eq!(fleet.apply(3, 2, view(1, 20_001)), Err(CommandRejection::LimitExceeded));
    let mut odd = vec![node("a", false); 3];
    (odd[0].id, odd[1].weight, odd[2].zone) = (String::new(), f64::NAN, "z".repeat(254));
    for node in odd {
        let view = Command::View { planner: 0, announcement_version: mark(1, 1), nodes: vec![node] };
        assert_eq!(fleet.apply(3, 2, view), Err(CommandRejection::InvalidNode));
    }
    assert_eq!(fleet.apply(3, 3, view(1, 2)), Ok(true));
    let before = fleet.plan().version;
    assert_eq!((before.term, before.generation), (103, 3));
    assert_eq!(fleet.apply(3, 4, Command::Base(100)), Ok(false), "no higher than it is");
    assert_eq!(fleet.plan().version, before);
    assert_eq!(fleet.apply(1, 1, Command::Base(200)), Ok(true));
    assert!(fleet.plan().version > before);
}
