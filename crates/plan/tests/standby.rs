//! The lists that a forwarder uses while its planners are silent, in virtual time.

mod common;

use common::SinglePlanner;
use dewpier_plan::{
    AnnouncementVersion, Follower, ForwarderMessage, Node, PlannerMessage, Standby, StandbySettings,
};
use std::time::Duration;

const HEARTBEAT_MS: u64 = 100;
const LEASE_MS: u64 = 400;
/// Lease of lists of the own watch, in milliseconds.
const OWN_LEASE_MS: u64 = 300;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

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

/// A forwarder and one planner, which replies at once or not at all.
struct Pair {
    follower: Follower,
    standby: Standby,
    planner: SinglePlanner,
    now: u64,
}

impl Pair {
    fn new(own_watch: bool, spread: u64) -> Self {
        let standby =
            Standby::new(StandbySettings { own_watch, spread: ms(spread), lease: ms(OWN_LEASE_MS) });
        let mut pair =
            Self { follower: Follower::default(), standby, planner: SinglePlanner::new(0, 1, 1), now: 0 };
        pair.publish(vec![node("a", false), node("b", false), node("c", true)]);
        pair.run_rounds(4, true);
        pair
    }

    fn publish(&mut self, nodes: Vec<Node>) {
        self.planner.update(nodes);
        self.follower.receive(0, PlannerMessage::Full(self.planner.plan().clone()));
    }

    /// Runs rounds of heartbeats. The random wait is always the longest one.
    fn run_rounds(&mut self, rounds: u32, answered: bool) {
        for _ in 0..rounds {
            self.follower.begin_round();
            let ForwarderMessage::Heartbeat { number } = self.follower.next_heartbeat(0, ms(self.now)) else {
                panic!()
            };
            if answered {
                self.follower.receive(0, self.planner.heartbeat_reply(number, LEASE_MS));
            }
            self.standby.update(&self.follower, ms(self.now), 1.0);
            self.now += HEARTBEAT_MS;
        }
    }

    fn send_deadline(&self) -> Option<Duration> {
        self.standby.send_deadline(&self.follower, ms(self.now))
    }

    fn draining(&self) -> Vec<String> {
        let nodes = self.standby.nodes(&self.follower);
        nodes.into_iter().filter(|n| n.draining).map(|n| n.id).collect()
    }
}

#[test]
fn own_watch_begins_after_the_random_wait_and_its_first_list_is_used() {
    let mut pair = Pair::new(true, 200);
    assert_eq!(pair.send_deadline(), Some(ms(700)), "heartbeat at 300");
    pair.run_rounds(3, false);
    assert!(pair.follower.is_silent() && !pair.standby.is_watching());
    pair.run_rounds(1, false);
    assert!(!pair.standby.is_watching(), "silent at 600, and the wait takes 200");
    pair.run_rounds(1, false);
    assert!(pair.standby.is_watching());
    // The lease ends at 700, and nothing new is sent until there is a list.
    assert_eq!(pair.send_deadline(), Some(ms(700)));
    assert!(
        pair.standby
            .receive_own_list(&pair.follower, vec![node("a", true), node("b", false), node("c", false)])
    );
    assert_eq!((pair.now, pair.send_deadline()), (900, Some(ms(1100))), "the watch began at 800");
    // Nodes draining in the own list drain, and so do nodes draining in the plan: the own watch has not shown
    // the end of those drains.
    assert_eq!(pair.draining(), ["a", "c"]);
    // The own watch has shown a draining and now shows its end; it has never shown c draining.
    pair.standby.receive_own_list(&pair.follower, vec![node("a", false), node("b", false), node("c", false)]);
    assert_eq!(pair.draining(), ["c"]);
    pair.standby.receive_own_list(&pair.follower, vec![node("a", false), node("b", false), node("c", true)]);
    pair.standby.receive_own_list(&pair.follower, vec![node("a", false), node("b", false), node("c", false)]);
    assert_eq!(pair.draining(), [""; 0]);
    // An announced drain holds even if its planner grants no lease.
    pair.follower.receive(
        0,
        PlannerMessage::Drain {
            planner: 0,
            announcement_version: AnnouncementVersion { epoch: 1, sequence: 9 },
            id: "b".into(),
        },
    );
    assert_eq!(pair.draining(), ["b"]);
}

#[test]
fn returning_planners_are_used_after_three_rounds_and_drains_hold_for_a_while() {
    let mut pair = Pair::new(true, 0);
    pair.run_rounds(4, false);
    assert!(pair.standby.is_watching());
    pair.standby.receive_own_list(&pair.follower, vec![node("a", false), node("b", true)]);
    // A flapping planner does not make the forwarder switch.
    for _ in 0..5 {
        pair.run_rounds(2, true);
        pair.run_rounds(1, false);
        assert!(pair.standby.uses_own_list());
    }
    pair.run_rounds(4, true);
    assert!(!pair.standby.uses_own_list() && !pair.standby.is_watching());
    assert_eq!(pair.draining(), ["b", "c"], "the plan does not list b as draining");
    pair.run_rounds(21, true);
    assert_eq!(pair.draining(), ["c"], "the hold has ended");
}

#[test]
fn last_plan_is_used_without_an_own_list() {
    let mut pair = Pair::new(true, 200);
    pair.run_rounds(6, false);
    assert!(pair.standby.is_watching() && pair.send_deadline() == Some(ms(700)));
    pair.standby.record_own_list_failure();
    assert_eq!(pair.send_deadline(), None, "the watch has failed");
    let mut pair = Pair::new(true, 200);
    pair.run_rounds(13, false);
    assert_eq!((pair.send_deadline(), pair.now), (Some(ms(700)), 1700));
    pair.run_rounds(1, false);
    assert_eq!(pair.send_deadline(), None, "the wait for a list has ended");
    assert!(pair.standby.is_watching(), "a list may still arrive");
    let mut pair = Pair::new(false, 200);
    pair.run_rounds(3, false);
    assert_eq!((pair.send_deadline(), pair.standby.is_watching()), (None, false), "no own watch");
    // A forwarder that never received a plan has no nodes to use.
    let mut standby =
        Standby::new(StandbySettings { own_watch: true, spread: ms(0), lease: ms(OWN_LEASE_MS) });
    let mut follower = Follower::default();
    assert_eq!(standby.send_deadline(&follower, ms(5000)), Some(ms(0)));
    for n in 0..5 {
        follower.begin_round();
        standby.update(&follower, ms(100 * n), 0.5);
    }
    assert_eq!(standby.send_deadline(&follower, ms(5000)), Some(ms(0)));
    assert!(standby.receive_own_list(&follower, vec![node("a", false)]));
    assert_eq!(
        (standby.send_deadline(&follower, ms(500)), standby.nodes(&follower).len()),
        (Some(ms(600)), 1)
    );
}

#[test]
fn lease_of_own_list_counts_from_the_last_membership_read() {
    let mut pair = Pair::new(true, 0);
    pair.run_rounds(4, false);
    pair.standby.receive_own_list(&pair.follower, vec![node("a", false)]);
    assert_eq!(pair.send_deadline(), Some(ms(1000)), "the watch began at 700");
    pair.standby.record_read_request();
    pair.standby.record_read(ms(1000));
    assert_eq!(pair.send_deadline(), Some(ms(1300)));
    // The process is suspended for a minute: the lease has ended until membership is read again.
    pair.now = 60_000;
    pair.standby.record_read_request();
    assert_eq!(pair.send_deadline(), Some(ms(1300)));
    pair.standby.record_read(ms(60_010));
    assert_eq!(pair.send_deadline(), Some(ms(60_310)));
    // A watch that does not answer repeated reads: the last list stays in use.
    (0..2).for_each(|_| pair.standby.record_read_request());
    assert!(pair.send_deadline().is_some());
    pair.standby.record_read_request();
    assert_eq!(pair.send_deadline(), None);
}
