//! Which group of planners a planner belongs to: when to found one, and when to leave one that is dead.
//! No I/O and no clock.
//!
//! Planners keep what they agree on in memory. A process that starts anew is another member, with an
//! identity of its own, so that it can't vote twice; the leader puts it in the place of the one of its
//! number. Each group has one voter for every number, so that two groups can't both have a majority:
//! a process is in one group at most, and a founder names the numbers that it has not heard by
//! identities that nobody has.
//!
//! - *Found*: a majority of the numbers are in no group, and this one is the lowest of them. Then no
//!   group can have a majority, as each member of it would be a number that is in none.
//! - *Leave*: its own group has had no leader for a while, and another one has; or for twice as long, and a planner is
//!   there that is in none. The latter is how planners go on where a majority of a group began anew: what is left of
//!   it can let nobody in, and those that it can't let in are too few to found another. To leave is as to die, and
//!   always safe.

use std::collections::BTreeMap;
use std::time::Duration;

/// For so long a word of another planner counts.
pub const FRESH: Duration = Duration::from_millis(800);
/// Numbers that are heard late may be in a group: for so long a founder waits where it has not heard all.
const PATIENCE: Duration = Duration::from_secs(1);
/// A group without a leader for so long may be dead.
const DEAD_AFTER: Duration = Duration::from_secs(3);
/// For so long a group waits for its majority to come back while planners are there that it can't let in.
const GIVEN_UP_AFTER: Duration = Duration::from_secs(6);

/// The identity of a start of a planner: when it started, and its number.
pub fn identity(epoch: u64, number: u32) -> u64 {
    epoch.wrapping_shl(4) | u64::from(number & 15)
}

/// The number of an identity.
pub fn number(identity: u64) -> u32 {
    (identity & 15) as u32
}

/// Where a planner stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Its identity.
    pub id: u64,
    /// The group that it is in.
    pub group: Option<u64>,
    /// Its group has a leader.
    pub led: bool,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Wait,
    /// Found a group of these identities, one for each number.
    Found(Vec<u64>),
    /// Leave the group, and begin anew under another identity.
    Leave,
}

/// What one planner knows of where all stand.
#[derive(Debug)]
pub struct Join {
    numbers: Vec<u32>,
    heard: BTreeMap<u32, (Standing, Duration)>,
    /// Since when a majority is in no group.
    since: Option<Duration>,
    /// Since when its own group has no leader.
    leaderless: Option<Duration>,
}

impl Join {
    /// Among planners of these numbers, its own included.
    pub fn new(numbers: Vec<u32>) -> Self {
        Self { numbers, heard: BTreeMap::new(), since: None, leaderless: None }
    }

    /// Another planner says where it stands.
    pub fn heard(&mut self, number: u32, standing: Standing, now: Duration) {
        if self.numbers.contains(&number) {
            self.heard.insert(number, (standing, now));
        }
    }

    /// Where another one stands, if it was heard lately.
    pub fn fresh(&self, number: u32, now: Duration) -> Option<Standing> {
        self.heard
            .get(&number)
            .filter(|(_, at)| now.saturating_sub(*at) <= FRESH)
            .map(|(standing, _)| *standing)
    }

    /// When it was heard last.
    pub fn heard_at(&self, number: u32) -> Option<Duration> {
        self.heard.get(&number).map(|(_, at)| *at)
    }

    /// What to do, where it stands like this itself.
    pub fn step(&mut self, me: Standing, now: Duration) -> Step {
        let mine = number(me.id);
        let others: Vec<Standing> =
            self.numbers.iter().filter(|n| **n != mine).filter_map(|n| self.fresh(*n, now)).collect();
        if me.group.is_some() {
            self.since = None;
            if me.led {
                self.leaderless = None;
                return Step::Wait;
            }
            let since = *self.leaderless.get_or_insert(now);
            let another = others.iter().any(|o| o.led && o.group.is_some() && o.group != me.group);
            let left_out = others.iter().any(|o| o.group.is_none());
            let dead = another && now - since >= DEAD_AFTER || left_out && now - since >= GIVEN_UP_AFTER;
            return if dead { Step::Leave } else { Step::Wait };
        }
        self.leaderless = None;
        let idle: Vec<u64> = others.iter().filter(|o| o.group.is_none()).map(|o| o.id).collect();
        if idle.len() < self.numbers.len() / 2 {
            self.since = None;
            return Step::Wait;
        }
        let since = *self.since.get_or_insert(now);
        let all = idle.len() + 1 == self.numbers.len();
        if idle.iter().any(|id| number(*id) < mine) || !(all || now - since >= PATIENCE) {
            return Step::Wait;
        }
        let member = |n: &u32| match (*n == mine, idle.iter().find(|id| number(**id) == *n)) {
            (true, _) => me.id,
            (false, Some(id)) => *id,
            (false, None) => identity(0, *n),
        };
        Step::Found(self.numbers.iter().map(member).collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn idle(number: u32, epoch: u64) -> Standing {
        Standing { id: identity(epoch, number), group: None, led: false }
    }

    #[test]
    fn the_lowest_founds_as_soon_as_all_are_in_none_and_later_with_a_majority() {
        let (mut zero, mut one) = (Join::new(vec![0, 1, 2]), Join::new(vec![0, 1, 2]));
        assert_eq!(zero.step(idle(0, 5), ms(0)), Step::Wait);
        zero.heard(1, idle(1, 6), ms(10));
        assert_eq!(zero.step(idle(0, 5), ms(10)), Step::Wait, "the third may be in a group");
        zero.heard(2, idle(2, 7), ms(20));
        let all = vec![identity(5, 0), identity(6, 1), identity(7, 2)];
        assert_eq!(zero.step(idle(0, 5), ms(20)), Step::Found(all));
        for at in [20, 500, 1000, 1500] {
            one.heard(0, idle(0, 5), ms(at));
            one.heard(2, idle(2, 7), ms(at));
            assert_eq!(one.step(idle(1, 6), ms(at)), Step::Wait, "it is not the lowest");
        }
        // The lowest is gone: the next one founds, with a place for it that nobody holds.
        let mut one = Join::new(vec![0, 1, 2]);
        for at in [0, 500, 900] {
            one.heard(2, idle(2, 7), ms(at));
            assert_eq!(one.step(idle(1, 6), ms(at)), Step::Wait);
        }
        one.heard(2, idle(2, 7), ms(1000));
        let two = vec![identity(0, 0), identity(6, 1), identity(7, 2)];
        assert_eq!(one.step(idle(1, 6), ms(1000)), Step::Found(two));
        // An old word does not count.
        assert_eq!(one.step(idle(1, 6), ms(2000)), Step::Wait);
    }

    #[test]
    fn who_is_in_a_group_founds_none_and_leaves_a_dead_one_for_one_that_lives() {
        let mut two = Join::new(vec![0, 1, 2]);
        let mine = |led| Standing { id: identity(7, 2), group: Some(1), led };
        let other = |number, led| Standing { id: identity(9, number), group: Some(2), led };
        two.heard(0, idle(0, 9), ms(0));
        two.heard(1, idle(1, 9), ms(0));
        assert_eq!(two.step(mine(false), ms(0)), Step::Wait);
        for at in [800, 1600, 2400, 2900] {
            two.heard(0, other(0, true), ms(at));
            assert_eq!(two.step(mine(false), ms(at)), Step::Wait);
        }
        two.heard(0, other(0, false), ms(3100));
        assert_eq!(two.step(mine(false), ms(3100)), Step::Wait, "that one has no leader either");
        two.heard(0, other(0, true), ms(3200));
        assert_eq!(two.step(mine(false), ms(3200)), Step::Leave);
        assert_eq!(two.step(mine(true), ms(3200)), Step::Wait);
        // Where none else has a leader: only for one that can't be let in, and later.
        let mut two = Join::new(vec![0, 1, 2]);
        for at in (0..=12_000).step_by(400) {
            two.heard(0, other(0, false), ms(at));
            assert_eq!(two.step(mine(false), ms(at)), Step::Wait, "nobody is left out");
        }
        two.heard(1, idle(1, 9), ms(12_100));
        assert_eq!(two.step(mine(false), ms(12_100)), Step::Leave);
        assert_eq!(two.step(mine(true), ms(12_100)), Step::Wait, "it is led");
        for at in (12_400..18_300).step_by(400) {
            two.heard(1, idle(1, 9), ms(at));
            assert_eq!(two.step(mine(false), ms(at)), Step::Wait, "its majority may come back");
        }
        // One of three that is in none beside two in a group: no founding.
        let mut zero = Join::new(vec![0, 1, 2]);
        zero.heard(1, other(1, false), ms(0));
        zero.heard(2, other(2, false), ms(0));
        assert_eq!(zero.step(idle(0, 9), ms(0)), Step::Wait);
    }
}
