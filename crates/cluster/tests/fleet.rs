//! The agreed state, checked against a simple model with random commands. Seeded.

use dewpier_cluster::fleet::{AgreedState, Command, CommandRejection};
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

fn version(epoch: u64, sequence: u64) -> AnnouncementVersion {
    AnnouncementVersion { epoch, sequence }
}

#[derive(Default)]
struct PlannerModel {
    version: AnnouncementVersion,
    view: BTreeMap<String, bool>,
    /// All nodes that the planner has listed while any planner listed them.
    ever_listed: BTreeSet<String>,
    active: bool,
}

#[test]
fn node_serves_only_if_no_planner_drains_or_removes_it() {
    let mut rng = Rng::from_env("FLEET_SEED", 11);
    let seeds = std::env::var("FLEET_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(400);
    let (mut applied, mut draining, mut outdated) = (0, 0, 0);
    for _ in 0..seeds {
        let seed = rng.next_u64();
        let mut rng = Rng::new(seed);
        let mut fleet = AgreedState::default();
        let mut planners: Vec<PlannerModel> = (0..3).map(|_| PlannerModel::default()).collect();
        let mut last_version = fleet.plan().version;
        let ids: Vec<String> = (0..5).map(|i| format!("n{i}")).collect();
        for index in 1..60u64 {
            let planner_index = rng.below(3);
            let planner = &mut planners[planner_index];
            let number = planner_index as u32;
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
                0 => Command::Expel { planner: number, epoch: planner.version.epoch + rng.below(2) as u64 },
                1..3 => Command::View {
                    planner: number,
                    announcement_version: version(planner.version.epoch + rng.below(2) as u64, 1),
                    nodes: nodes(&view),
                },
                _ => {
                    let from = version(
                        planner.version.epoch,
                        planner.version.sequence.saturating_sub(rng.below(9) as u64 / 8),
                    );
                    let gone = planner.view.keys().filter(|id| !view.contains_key(*id)).cloned().collect();
                    let to = version(from.epoch, planner.version.sequence.saturating_add(1));
                    Command::Change { planner: number, from, to, set: nodes(&view), gone }
                }
            };
            let result = fleet.apply(1, index, command.clone());
            // The expected result according to the model.
            let is_applicable = match &command {
                Command::View { announcement_version, .. } => {
                    announcement_version.epoch > planner.version.epoch
                }
                Command::Change { from, .. } => {
                    planner.active && *from == planner.version && from.sequence < u64::MAX
                }
                Command::Expel { epoch, .. } => {
                    *epoch > planner.version.epoch || (*epoch == planner.version.epoch && planner.active)
                }
                Command::Base(_) => unreachable!(),
            };
            // A planner without a view can be expelled in epoch 0.
            let is_first_expulsion = matches!(&command, Command::Expel { epoch: 0, .. })
                && planner.version == AnnouncementVersion::default();
            assert_eq!(
                result,
                if is_applicable || is_first_expulsion { Ok(true) } else { Err(CommandRejection::Outdated) },
                "seed {seed}: {command:?}"
            );
            if result.is_err() {
                outdated += 1;
                continue;
            }
            applied += 1;
            // Nodes that others list when a view begins count as listed before by its planner.
            let others = planners
                .iter()
                .enumerate()
                .filter(|(other_index, planner)| *other_index != planner_index && planner.active);
            let others: BTreeSet<String> =
                others.flat_map(|(_, planner)| planner.view.keys().cloned()).collect();
            let planner = &mut planners[planner_index];
            match command {
                Command::View { announcement_version, .. } => {
                    planner.ever_listed.extend(others);
                    (planner.version, planner.view, planner.active) =
                        (announcement_version, view.clone(), true);
                    for (_, other) in planners
                        .iter_mut()
                        .enumerate()
                        .filter(|(other_index, planner)| *other_index != planner_index && planner.active)
                    {
                        let missing: Vec<&String> =
                            view.keys().filter(|id| !other.view.contains_key(*id)).collect();
                        if 2 * missing.len() <= view.len() {
                            other.ever_listed.extend(missing.into_iter().cloned());
                        }
                    }
                }
                Command::Change { to, .. } => (planner.version, planner.view) = (to, view),
                Command::Expel { epoch, .. } => {
                    (planner.version, planner.active) = (version(epoch, u64::MAX), false);
                }
                Command::Base(_) => unreachable!(),
            }
            let listed: BTreeSet<String> = planners
                .iter()
                .filter(|planner| planner.active)
                .flat_map(|planner| planner.view.keys().cloned())
                .collect();
            for planner in &mut planners {
                planner.ever_listed.extend(planner.view.keys().cloned());
                planner.ever_listed.retain(|id| listed.contains(id));
            }
            let plan = fleet.plan();
            assert!(
                plan.version > last_version || plan.version.generation == 0,
                "seed {seed}: version went back"
            );
            last_version = last_version.max(plan.version);
            let planned: BTreeSet<String> = plan.nodes.iter().map(|n| n.id.clone()).collect();
            assert_eq!(planned, listed, "seed {seed}");
            for node in &plan.nodes {
                let drains_for = |planner: &PlannerModel| match planner.view.get(&node.id) {
                    Some(draining) => *draining,
                    None => planner.ever_listed.contains(&node.id),
                };
                let drains = planners.iter().filter(|planner| planner.active).any(drains_for);
                assert_eq!(node.draining, drains, "seed {seed}: {} at {index}", node.id);
                draining += usize::from(drains);
            }
            // Encoding and decoding does not change the state.
            let mut bytes = Vec::new();
            ciborium::into_writer(&fleet, &mut bytes).unwrap();
            assert_eq!(ciborium::from_reader::<AgreedState, _>(bytes.as_slice()).unwrap(), fleet);
        }
    }
    assert!(applied > 5000 && draining > 5000 && outdated > 500, "{applied} {draining} {outdated}");
}

#[test]
fn higher_base_gives_newer_plans_and_invalid_views_are_rejected() {
    let mut fleet = AgreedState::default();
    assert_eq!(fleet.apply(3, 1, Command::Base(100)), Ok(true));
    assert_eq!(fleet.plan().version.generation, 0, "no planner has a view yet");
    let view = |epoch, count: usize| Command::View {
        planner: 0,
        announcement_version: version(epoch, 1),
        nodes: (0..count).map(|i| node(&format!("n{i}"), false)).collect(),
    };
    assert_eq!(fleet.apply(3, 2, view(1, 20_001)), Err(CommandRejection::LimitExceeded));
    let mut invalid_nodes = vec![node("a", false); 3];
    (invalid_nodes[0].id, invalid_nodes[1].weight, invalid_nodes[2].zone) =
        (String::new(), f64::NAN, "z".repeat(254));
    for node in invalid_nodes {
        let view = Command::View { planner: 0, announcement_version: version(1, 1), nodes: vec![node] };
        assert_eq!(fleet.apply(3, 2, view), Err(CommandRejection::InvalidNode));
    }
    assert_eq!(fleet.apply(3, 3, view(1, 2)), Ok(true));
    let before = fleet.plan().version;
    assert_eq!((before.term, before.generation), (103, 3));
    assert_eq!(fleet.apply(3, 4, Command::Base(100)), Ok(false), "the base does not rise");
    assert_eq!(fleet.plan().version, before);
    assert_eq!(fleet.apply(1, 1, Command::Base(200)), Ok(true));
    assert!(fleet.plan().version > before);
}
