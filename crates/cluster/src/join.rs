//! Decides which Raft group a planner belongs to: when to found a group and when to leave one without a
//! majority. A state machine without I/O or a clock.
//!
//! Planners keep the agreed state in memory. A restarted process is a new member with its own id, so that it
//! cannot vote twice; the leader replaces the former member of the same planner number by it. Each group has
//! one voter for every planner number. Two groups cannot both have a majority, because a process is in at
//! most one group, and a founder names planners that it has not heard from by ids that no process has.
//!
//! - *Found*: a majority of the planners are in no group, and this one has the lowest number among them. No
//!   group can then have a majority.
//! - *Leave*: the own group has had no leader for a while, and another group has one; or it has had no leader
//!   for twice as long, and some planner is in no group. The second case lets planners continue after a
//!   majority of a group restarted at once: the remaining members cannot admit the restarted planners, which
//!   are too few to found a group. To leave a group has the same effect as a restart and is always safe.

use std::collections::BTreeMap;
use std::time::Duration;

/// The reported state of another planner counts for this long.
pub const REPORT_VALID_FOR: Duration = Duration::from_millis(800);
/// A founder waits this long if it has not heard from every planner, because the others may be in a group.
const FOUNDING_DELAY: Duration = Duration::from_secs(1);
/// Leave a group after this long without a leader, if another group has one.
const LEAVE_AFTER: Duration = Duration::from_secs(3);
/// Leave a group after this long without a leader, if some planner is in no group.
const LEAVE_WITHOUT_LEADER_AFTER: Duration = Duration::from_secs(6);

/// The Raft member id of one run of a planner: its start time and the planner number.
pub fn member_id(epoch: u64, number: u32) -> u64 {
    epoch.wrapping_shl(4) | u64::from(number & 15)
}

/// The planner number of a member id.
pub fn planner_number(member_id: u64) -> u32 {
    (member_id & 15) as u32
}

/// The state of a planner regarding groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupState {
    /// Member id of the planner.
    pub member_id: u64,
    /// The group of the planner.
    pub group: Option<u64>,
    /// Whether the group has a leader.
    pub has_leader: bool,
}

/// The next step of a planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing to do.
    Wait,
    /// Found a group with these member ids, one for each planner number.
    Found(Vec<u64>),
    /// Leave the group and start again with a new member id.
    Leave,
}

/// Tracks the group states of all planners, as known to one of them.
#[derive(Debug)]
pub struct GroupMembership {
    numbers: Vec<u32>,
    reports: BTreeMap<u32, (GroupState, Duration)>,
    /// Since when a majority has been in no group.
    majority_idle_since: Option<Duration>,
    /// Since when the own group has had no leader.
    leaderless_since: Option<Duration>,
}

impl GroupMembership {
    /// Creates the state for planners with these numbers, including the own one.
    pub fn new(numbers: Vec<u32>) -> Self {
        Self { numbers, reports: BTreeMap::new(), majority_idle_since: None, leaderless_since: None }
    }

    /// Records the reported state of another planner.
    pub fn record_state(&mut self, number: u32, state: GroupState, now: Duration) {
        if self.numbers.contains(&number) {
            self.reports.insert(number, (state, now));
        }
    }

    /// The state of another planner, if it was reported recently.
    pub fn recent_state(&self, number: u32, now: Duration) -> Option<GroupState> {
        self.reports
            .get(&number)
            .filter(|(_, at)| now.saturating_sub(*at) <= REPORT_VALID_FOR)
            .map(|(state, _)| *state)
    }

    /// Time of the last report of another planner.
    pub fn last_report_at(&self, number: u32) -> Option<Duration> {
        self.reports.get(&number).map(|(_, at)| *at)
    }

    /// The next step of this planner, whose own state is `own`.
    pub fn next_step(&mut self, own: GroupState, now: Duration) -> Step {
        let own_number = planner_number(own.member_id);
        let others: Vec<GroupState> = self
            .numbers
            .iter()
            .filter(|n| **n != own_number)
            .filter_map(|n| self.recent_state(*n, now))
            .collect();
        if own.group.is_some() {
            self.majority_idle_since = None;
            if own.has_leader {
                self.leaderless_since = None;
                return Step::Wait;
            }
            let since = *self.leaderless_since.get_or_insert(now);
            let other_has_leader =
                others.iter().any(|o| o.has_leader && o.group.is_some() && o.group != own.group);
            let some_idle = others.iter().any(|o| o.group.is_none());
            let must_leave = other_has_leader && now - since >= LEAVE_AFTER
                || some_idle && now - since >= LEAVE_WITHOUT_LEADER_AFTER;
            return if must_leave { Step::Leave } else { Step::Wait };
        }
        self.leaderless_since = None;
        let idle: Vec<u64> = others.iter().filter(|o| o.group.is_none()).map(|o| o.member_id).collect();
        if idle.len() < self.numbers.len() / 2 {
            self.majority_idle_since = None;
            return Step::Wait;
        }
        let since = *self.majority_idle_since.get_or_insert(now);
        let all_idle = idle.len() + 1 == self.numbers.len();
        if idle.iter().any(|id| planner_number(*id) < own_number)
            || !(all_idle || now - since >= FOUNDING_DELAY)
        {
            return Step::Wait;
        }
        let member_for = |n: &u32| match (*n == own_number, idle.iter().find(|id| planner_number(**id) == *n))
        {
            (true, _) => own.member_id,
            (false, Some(id)) => *id,
            (false, None) => member_id(0, *n),
        };
        Step::Found(self.numbers.iter().map(member_for).collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn idle(number: u32, epoch: u64) -> GroupState {
        GroupState { member_id: member_id(epoch, number), group: None, has_leader: false }
    }

    #[test]
    fn lowest_idle_planner_founds_a_group_at_once_with_all_and_later_with_a_majority() {
        let (mut zero, mut one) = (GroupMembership::new(vec![0, 1, 2]), GroupMembership::new(vec![0, 1, 2]));
        assert_eq!(zero.next_step(idle(0, 5), ms(0)), Step::Wait);
        zero.record_state(1, idle(1, 6), ms(10));
        assert_eq!(zero.next_step(idle(0, 5), ms(10)), Step::Wait, "planner 2 may be in a group");
        zero.record_state(2, idle(2, 7), ms(20));
        let all = vec![member_id(5, 0), member_id(6, 1), member_id(7, 2)];
        assert_eq!(zero.next_step(idle(0, 5), ms(20)), Step::Found(all));
        for at in [20, 500, 1000, 1500] {
            one.record_state(0, idle(0, 5), ms(at));
            one.record_state(2, idle(2, 7), ms(at));
            assert_eq!(
                one.next_step(idle(1, 6), ms(at)),
                Step::Wait,
                "planner 1 does not have the lowest number"
            );
        }
        // Planner 0 is gone: the next one founds the group, with a member id for planner 0 that no process
        // has.
        let mut one = GroupMembership::new(vec![0, 1, 2]);
        for at in [0, 500, 900] {
            one.record_state(2, idle(2, 7), ms(at));
            assert_eq!(one.next_step(idle(1, 6), ms(at)), Step::Wait);
        }
        one.record_state(2, idle(2, 7), ms(1000));
        let two = vec![member_id(0, 0), member_id(6, 1), member_id(7, 2)];
        assert_eq!(one.next_step(idle(1, 6), ms(1000)), Step::Found(two));
        // An outdated report does not count.
        assert_eq!(one.next_step(idle(1, 6), ms(2000)), Step::Wait);
    }

    #[test]
    fn member_founds_no_group_and_leaves_a_leaderless_group_only_for_another() {
        let mut two = GroupMembership::new(vec![0, 1, 2]);
        let mine = |has_leader| GroupState { member_id: member_id(7, 2), group: Some(1), has_leader };
        let other =
            |number, has_leader| GroupState { member_id: member_id(9, number), group: Some(2), has_leader };
        two.record_state(0, idle(0, 9), ms(0));
        two.record_state(1, idle(1, 9), ms(0));
        assert_eq!(two.next_step(mine(false), ms(0)), Step::Wait);
        for at in [800, 1600, 2400, 2900] {
            two.record_state(0, other(0, true), ms(at));
            assert_eq!(two.next_step(mine(false), ms(at)), Step::Wait);
        }
        two.record_state(0, other(0, false), ms(3100));
        assert_eq!(two.next_step(mine(false), ms(3100)), Step::Wait, "the other group has no leader either");
        two.record_state(0, other(0, true), ms(3200));
        assert_eq!(two.next_step(mine(false), ms(3200)), Step::Leave);
        assert_eq!(two.next_step(mine(true), ms(3200)), Step::Wait);
        // No other group has a leader: a member leaves only for a planner that cannot be admitted, and later.
        let mut two = GroupMembership::new(vec![0, 1, 2]);
        for at in (0..=12_000).step_by(400) {
            two.record_state(0, other(0, false), ms(at));
            assert_eq!(two.next_step(mine(false), ms(at)), Step::Wait, "no planner is without a group");
        }
        two.record_state(1, idle(1, 9), ms(12_100));
        assert_eq!(two.next_step(mine(false), ms(12_100)), Step::Leave);
        assert_eq!(two.next_step(mine(true), ms(12_100)), Step::Wait, "its group has a leader");
        for at in (12_400..18_300).step_by(400) {
            two.record_state(1, idle(1, 9), ms(at));
            assert_eq!(
                two.next_step(mine(false), ms(at)),
                Step::Wait,
                "the majority of its group may return"
            );
        }
        // One of three planners is in no group and two are in a group: no founding.
        let mut zero = GroupMembership::new(vec![0, 1, 2]);
        zero.record_state(1, other(1, false), ms(0));
        zero.record_state(2, other(2, false), ms(0));
        assert_eq!(zero.next_step(idle(0, 9), ms(0)), Step::Wait);
    }
}
