//! Announces drains for nodes that other planners list and a newly started planner does not.
//!
//! A node that the others still list and that the first read of a new planner does not show has probably left
//! the fleet. Without an announcement, the new planner would grant leases, based on its recent read, for a
//! plan that lists the node as serving because of an older read of another planner. It therefore announces a
//! drain of each such node before its own view is agreed. A planner that lacks more than half of the listed
//! nodes has probably read an incomplete inventory: it announces nothing, proposes no view and grants no
//! leases until the nodes are back.

use crate::fleet::AgreedState;
use crate::lease_grantor::LeaseGrantor;
use dewpier_plan::{Announcer, PlannerMessage};

/// Returns the drains to announce for an agreed state, and suspends or resumes grants. To be called before
/// the plan of that state is published.
pub fn drain_missing_nodes(
    fleet: &AgreedState,
    planner: u32,
    announcer: &mut Announcer,
    grantor: &mut LeaseGrantor,
) -> Vec<PlannerMessage> {
    let view_agreed =
        fleet.announcement_version(planner).is_some_and(|version| version.epoch == announcer.version().epoch);
    let plan = fleet.plan();
    let missing = announcer.missing_nodes(&plan.nodes);
    // Before its first read a planner grants no leases in any case.
    let inventory_incomplete = announcer.version().sequence > 0 && 2 * missing.len() > plan.nodes.len();
    grantor.set_suspended(inventory_incomplete);
    // Once the own view is agreed, nodes that only others list are new nodes.
    if inventory_incomplete || view_agreed || announcer.version().sequence == 0 {
        Vec::new()
    } else {
        announcer.announce_ended(missing)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::Command;
    use dewpier_plan::{AnnouncementVersion, Node};
    use std::time::Duration;

    fn nodes(ids: &[&str]) -> Vec<Node> {
        let node = |id: &&str| Node {
            id: id.to_string(),
            address: "10.0.0.1:80".parse().unwrap(),
            zone: String::new(),
            cell: 0,
            weight: 1.0,
            draining: false,
            age_ms: None,
        };
        ids.iter().map(node).collect()
    }

    fn new_planner(view: &[&str]) -> (AgreedState, Announcer, LeaseGrantor) {
        let mut fleet = AgreedState::default();
        let version = AnnouncementVersion { epoch: 1, sequence: 1 };
        fleet
            .apply(
                1,
                1,
                Command::View { planner: 0, announcement_version: version, nodes: nodes(&["a", "b", "c"]) },
            )
            .unwrap();
        let mut announcer = Announcer::new(1, 7);
        announcer.observe(nodes(view));
        let mut grantor = LeaseGrantor::new([0], Duration::from_millis(400));
        grantor.record_membership_read(Duration::from_millis(10));
        (fleet, announcer, grantor)
    }

    fn draining(fleet: &AgreedState) -> Vec<String> {
        fleet.plan().nodes.into_iter().filter(|n| n.draining).map(|n| n.id).collect()
    }

    #[test]
    fn nodes_missing_in_a_new_view_drain_before_and_after_it_is_agreed() {
        let (mut fleet, mut announcer, mut grantor) = new_planner(&["a", "b", "new"]);
        let drains = drain_missing_nodes(&fleet, 1, &mut announcer, &mut grantor);
        let version = announcer.version();
        assert_eq!(
            drains,
            [PlannerMessage::Drain { planner: 1, announcement_version: version, id: "c".into() }]
        );
        assert_eq!(
            drain_missing_nodes(&fleet, 1, &mut announcer, &mut grantor),
            [],
            "each drain is announced once"
        );
        assert_eq!(grantor.grantable_lease(Duration::from_millis(20)), Duration::from_millis(390));
        let view = |version, ids: &[&str]| Command::View {
            planner: 1,
            announcement_version: version,
            nodes: nodes(ids),
        };
        fleet.apply(1, 2, view(version, &["a", "b", "new"])).unwrap();
        assert_eq!(draining(&fleet), ["c", "new"], "the other planner does not list the new node yet");
        // Another planner adds a node: no drain is announced for it.
        let change =
            |from, to, set: &[&str]| Command::Change { planner: 0, from, to, set: nodes(set), gone: vec![] };
        let at = |sequence| AnnouncementVersion { epoch: 1, sequence };
        fleet.apply(1, 3, change(at(1), at(2), &["later"])).unwrap();
        assert_eq!(drain_missing_nodes(&fleet, 1, &mut announcer, &mut grantor), []);
        assert_eq!(draining(&fleet), ["c", "new"], "the other planner does not list the new node yet");
    }

    #[test]
    fn planner_that_lacks_most_nodes_announces_nothing_and_grants_no_leases() {
        let (fleet, mut announcer, mut grantor) = new_planner(&["a"]);
        assert_eq!(drain_missing_nodes(&fleet, 1, &mut announcer, &mut grantor), []);
        assert_eq!(
            (grantor.grantable_lease(Duration::from_millis(20)), grantor.is_suspended()),
            (Duration::ZERO, true)
        );
        // The inventory is complete again.
        announcer.observe(nodes(&["a", "b", "c"]));
        assert_eq!(drain_missing_nodes(&fleet, 1, &mut announcer, &mut grantor), []);
        assert_eq!(
            (grantor.grantable_lease(Duration::from_millis(20)), grantor.is_suspended()),
            (Duration::from_millis(390), false)
        );
    }
}
