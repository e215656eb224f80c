//! What a forwarder goes by when its planners fall silent, in virtual time.

mod common;

use common::Alone;
use dewpier_plan::{
    AnnouncementVersion, Follower, ForwarderMessage, Node, PlannerMessage, Standby, StandbySettings,
};
use std::time::Duration;

const BEAT: u64 = 100;
const LEASE: u64 = 400;
/// Of its own watch.
const OWN: u64 = 300;

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

/// A forwarder and one planner, who answers at once or not at all.
struct Pair {
    follower: Follower,
    standby: Standby,
    planner: Alone,
    now: u64,
}

impl Pair {
    fn new(own: bool, spread: u64) -> Self {
        let standby = Standby::new(StandbySettings { own_watch: own, spread: ms(spread), lease: ms(OWN) });
        let mut pair = Self { follower: Follower::default(), standby, planner: Alone::new(0, 1, 1), now: 0 };
        pair.tell(vec![node("a", false), node("b", false), node("c", true)]);
        pair.rounds(4, true);
        pair
    }

    fn tell(&mut self, nodes: Vec<Node>) {
        self.planner.update(nodes);
        self.follower.receive(0, PlannerMessage::Full(self.planner.plan().clone()));
    }

    /// So many rounds of questions; the lot is the longest wait.
    fn rounds(&mut self, rounds: u32, answered: bool) {
        for _ in 0..rounds {
            self.follower.begin_round();
            let ForwarderMessage::Heartbeat { number } = self.follower.next_heartbeat(0, ms(self.now)) else {
                panic!()
            };
            if answered {
                self.follower.receive(0, self.planner.beat(number, LEASE));
            }
            self.standby.update(&self.follower, ms(self.now), 1.0);
            self.now += BEAT;
        }
    }

    fn until(&self) -> Option<Duration> {
        self.standby.send_deadline(&self.follower, ms(self.now))
    }

    fn draining(&self) -> Vec<String> {
        let nodes = self.standby.nodes(&self.follower);
        nodes.into_iter().filter(|n| n.draining).map(|n| n.id).collect()
    }
}

#[test]
fn its_own_watch_begins_after_the_lot_and_its_first_list_ends_the_wait() {
    let mut pair = Pair::new(true, 200);
    assert_eq!(pair.until(), Some(ms(700)), "asked at 300");
    pair.rounds(3, false);
    assert!(pair.follower.is_silent() && !pair.standby.is_watching());
    pair.rounds(1, false);
    assert!(!pair.standby.is_watching(), "found at 600, and the lot says 200 later");
    pair.rounds(1, false);
    assert!(pair.standby.is_watching());
    // The lease is over at 700, and until there is a list nothing new is sent.
    assert_eq!(pair.until(), Some(ms(700)));
    assert!(
        pair.standby
            .receive_own_list(&pair.follower, vec![node("a", true), node("b", false), node("c", false)])
    );
    assert_eq!((pair.now, pair.until()), (900, Some(ms(1100))), "it began at 800");
    // What it knows to drain does, and so does what the plan had draining: its own watch has not seen
    // that end.
    assert_eq!(pair.draining(), ["a", "c"]);
    // It has seen a drain and now sees a's end; c's it saw draining never.
    pair.standby.receive_own_list(&pair.follower, vec![node("a", false), node("b", false), node("c", false)]);
    assert_eq!(pair.draining(), ["c"]);
    pair.standby.receive_own_list(&pair.follower, vec![node("a", false), node("b", false), node("c", true)]);
    pair.standby.receive_own_list(&pair.follower, vec![node("a", false), node("b", false), node("c", false)]);
    assert_eq!(pair.draining(), [""; 0]);
    // A word of a drain that comes from a planner who can't vouch holds too.
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
fn planners_that_are_back_are_followed_after_three_rounds_and_bring_nothing_back_too_soon() {
    let mut pair = Pair::new(true, 0);
    pair.rounds(4, false);
    assert!(pair.standby.is_watching());
    pair.standby.receive_own_list(&pair.follower, vec![node("a", false), node("b", true)]);
    // A planner that comes and goes turns nothing.
    for _ in 0..5 {
        pair.rounds(2, true);
        pair.rounds(1, false);
        assert!(pair.standby.uses_own_list());
    }
    pair.rounds(4, true);
    assert!(!pair.standby.uses_own_list() && !pair.standby.is_watching());
    assert_eq!(pair.draining(), ["b", "c"], "the plan does not know of b");
    pair.rounds(21, true);
    assert_eq!(pair.draining(), ["c"], "by now it would");
}

#[test]
fn without_a_list_the_last_plan_serves_on() {
    let mut pair = Pair::new(true, 200);
    pair.rounds(6, false);
    assert!(pair.standby.is_watching() && pair.until() == Some(ms(700)));
    pair.standby.record_own_list_failure();
    assert_eq!(pair.until(), None, "it can't be had");
    let mut pair = Pair::new(true, 200);
    pair.rounds(13, false);
    assert_eq!((pair.until(), pair.now), (Some(ms(700)), 1700));
    pair.rounds(1, false);
    assert_eq!(pair.until(), None, "it was waited for");
    assert!(pair.standby.is_watching(), "and may still come");
    let mut pair = Pair::new(false, 200);
    pair.rounds(3, false);
    assert_eq!((pair.until(), pair.standby.is_watching()), (None, false), "there is no watch");
    // One that has never heard a plan has nothing to go by.
    let mut alone = Standby::new(StandbySettings { own_watch: true, spread: ms(0), lease: ms(OWN) });
    let mut follower = Follower::default();
    assert_eq!(alone.send_deadline(&follower, ms(5000)), Some(ms(0)));
    for n in 0..5 {
        follower.begin_round();
        alone.update(&follower, ms(100 * n), 0.5);
    }
    assert_eq!(alone.send_deadline(&follower, ms(5000)), Some(ms(0)));
    assert!(alone.receive_own_list(&follower, vec![node("a", false)]));
    assert_eq!((alone.send_deadline(&follower, ms(500)), alone.nodes(&follower).len()), (Some(ms(600)), 1));
}

#[test]
fn its_own_list_is_lent_from_the_look_that_found_nothing_newer() {
    let mut pair = Pair::new(true, 0);
    pair.rounds(4, false);
    pair.standby.receive_own_list(&pair.follower, vec![node("a", false)]);
    assert_eq!(pair.until(), Some(ms(1000)), "the watch began at 700");
    pair.standby.record_read_request();
    pair.standby.record_read(ms(1000));
    assert_eq!(pair.until(), Some(ms(1300)));
    // It stands still for a minute: whatever it was is over, until it has looked anew.
    pair.now = 60_000;
    pair.standby.record_read_request();
    assert_eq!(pair.until(), Some(ms(1300)));
    pair.standby.record_read(ms(60_010));
    assert_eq!(pair.until(), Some(ms(60_310)));
    // A watch that is asked time and again and says nothing: the last list serves on.
    (0..2).for_each(|_| pair.standby.record_read_request());
    assert!(pair.until().is_some());
    pair.standby.record_read_request();
    assert_eq!(pair.until(), None);
}
