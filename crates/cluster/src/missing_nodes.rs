//! A planner that begins beside others who know nodes that it does not.
//!
//! What a planner reads at its start is news: a node that the others still list and that its own reading does
//! not show is gone, as far as anyone can tell, and it was told so. Else it would vouch, by a look that
//! is fresh, for a plan that has the node serving by the word of one who hasn't looked for long. So it tells
//! of each as of a drain, ahead of its own view. A planner that lacks more than half of what the others
//! list has read the wrong inventory rather than seen half a fleet go: it says nothing of it, has no view
//! agreed, and vouches for nothing until that is mended.

use crate::fleet::Fleet;
use crate::lease_grantor::LeaseGrantor;
use dewpier_plan::{Announcer, PlannerMessage};

/// To be called before a plan that is agreed is published by this planner. Returns the drains to be told
/// first.
pub fn drain_missing_nodes(
    fleet: &Fleet,
    me: u32,
    announcer: &mut Announcer,
    vouch: &mut LeaseGrantor,
) -> Vec<PlannerMessage> {
    let begun = fleet.announcement_version(me).is_some_and(|mark| mark.epoch == announcer.version().epoch);
    let plan = fleet.plan();
    let lacks = announcer.missing_nodes(&plan.nodes);
    // Before it has read anything it vouches for nothing anyway.
    let wrong = announcer.version().sequence > 0 && 2 * lacks.len() > plan.nodes.len();
    vouch.set_suspended(wrong);
    // Once its view is among theirs, what they list beyond it is new.
    if wrong || begun || announcer.version().sequence == 0 {
        Vec::new()
    } else {
        announcer.announce_ended(lacks)
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

    fn beginning(view: &[&str]) -> (Fleet, Announcer, LeaseGrantor) {
        let mut fleet = Fleet::default();
        let mark = AnnouncementVersion { epoch: 1, sequence: 1 };
        fleet
            .apply(
                1,
                1,
                Command::View { planner: 0, announcement_version: mark, nodes: nodes(&["a", "b", "c"]) },
            )
            .unwrap();
        let mut announcer = Announcer::new(1, 7);
        announcer.observe(nodes(view));
        let mut vouch = LeaseGrantor::new([0], Duration::from_millis(400));
        vouch.record_membership_read(Duration::from_millis(10));
        (fleet, announcer, vouch)
    }

    fn draining(fleet: &Fleet) -> Vec<String> {
        fleet.plan().nodes.into_iter().filter(|n| n.draining).map(|n| n.id).collect()
    }

    #[test]
    fn what_others_list_and_it_does_not_drains_ahead_of_its_view_and_by_it() {
        let (mut fleet, mut announcer, mut vouch) = beginning(&["a", "b", "new"]);
        let told = drain_missing_nodes(&fleet, 1, &mut announcer, &mut vouch);
        let mark = announcer.version();
        assert_eq!(told, [PlannerMessage::Drain { planner: 1, announcement_version: mark, id: "c".into() }]);
        assert_eq!(drain_missing_nodes(&fleet, 1, &mut announcer, &mut vouch), [], "it is told once");
        assert_eq!(vouch.grantable_lease(Duration::from_millis(20)), Duration::from_millis(390));
        let view =
            |mark, ids: &[&str]| Command::View { planner: 1, announcement_version: mark, nodes: nodes(ids) };
        fleet.apply(1, 2, view(mark, &["a", "b", "new"])).unwrap();
        assert_eq!(draining(&fleet), ["c", "new"], "the other has not listed that yet");
        // Others list something more: that is new to it, and no news of an end.
        let change =
            |from, to, set: &[&str]| Command::Change { planner: 0, from, to, set: nodes(set), gone: vec![] };
        let at = |sequence| AnnouncementVersion { epoch: 1, sequence };
        fleet.apply(1, 3, change(at(1), at(2), &["later"])).unwrap();
        assert_eq!(drain_missing_nodes(&fleet, 1, &mut announcer, &mut vouch), []);
        assert_eq!(draining(&fleet), ["c", "new"], "the other has not listed that yet");
    }

    #[test]
    fn one_that_lacks_most_of_it_tells_nothing_and_vouches_for_nothing() {
        let (fleet, mut announcer, mut vouch) = beginning(&["a"]);
        assert_eq!(drain_missing_nodes(&fleet, 1, &mut announcer, &mut vouch), []);
        assert_eq!(
            (vouch.grantable_lease(Duration::from_millis(20)), vouch.is_suspended()),
            (Duration::ZERO, true)
        );
        // Its inventory is mended.
        announcer.observe(nodes(&["a", "b", "c"]));
        assert_eq!(drain_missing_nodes(&fleet, 1, &mut announcer, &mut vouch), []);
        assert_eq!(
            (vouch.grantable_lease(Duration::from_millis(20)), vouch.is_suspended()),
            (Duration::from_millis(390), false)
        );
    }
}
