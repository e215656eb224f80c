//! What forwarders write to each other by way of planners: a planner keeps what is written to one until its connection
//! takes it, reads none of it, and vouches for nothing. A letter may be lost, late, doubled or out of order, as a
//! datagram may; whoever writes seals it.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The longest letter, in bytes: a datagram of those that proxies write to each other.
pub const MAX_RELAYED_MESSAGE_BYTES: usize = 256;
/// Letters in one message, either way.
pub const MAX_MESSAGES_PER_RELAY: usize = 64;
/// Letters that wait for one connection. The oldest goes for one more, as what it says is said anew in the next round.
pub const MOST_WAITING: usize = 128;
/// Letters that one connection may write in a second: twenty rounds to the partners in a fleet of 10,000, and half as
/// many again. Further ones are dropped.
pub const MOST_A_SECOND: u32 = 1000;
/// Connections of one name that letters are kept for: an old and a new process side by side. A third takes the place of
/// the oldest.
const MOST_OF_NAME: usize = 2;

/// One letter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedMessage {
    /// To whom: a number that forwarders know each other by.
    pub to: u64,
    /// What, sealed.
    pub bytes: Vec<u8>,
}

/// Letters so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayCounts {
    /// Handed on.
    pub delivered: u64,
    /// To one that is not here, or beyond a bound.
    pub dropped: u64,
}

#[derive(Debug)]
struct Mailbox {
    name: u64,
    waiting: VecDeque<Vec<u8>>,
    /// Letters that it may still write, and since when that was counted.
    room: f64,
    filled: Duration,
}

/// The mailboxes of a planner, by its connections. Bounds: one for each connection, [`MOST_WAITING`] letters in each.
#[derive(Debug, Default)]
pub struct RelayMailboxes {
    boxes: HashMap<u64, Mailbox>,
    /// The connections of each name, the oldest first.
    names: HashMap<u64, Vec<u64>>,
    /// What became of letters.
    pub counts: RelayCounts,
}

impl RelayMailboxes {
    /// A connection writes under a name, which its first letters give it for good: what is written under another one is
    /// dropped. Tells whose mailboxes have letters now that had none.
    pub fn accept(
        &mut self,
        connection: u64,
        name: u64,
        letters: Vec<RelayedMessage>,
        now: Duration,
    ) -> Vec<u64> {
        if !self.boxes.contains_key(&connection) {
            self.open(connection, name, now);
        }
        let all = letters.len();
        let Some(from) = self.boxes.get_mut(&connection).filter(|from| from.name == name) else {
            self.counts.dropped += all as u64;
            return Vec::new();
        };
        let most = f64::from(MOST_A_SECOND);
        from.room = (from.room + most * now.saturating_sub(from.filled).as_secs_f64()).min(most);
        from.filled = now;
        let fit = all.min(from.room as usize);
        from.room -= fit as f64;
        self.counts.dropped += (all - fit) as u64;
        let mut woken = Vec::new();
        for letter in letters.into_iter().take(fit) {
            let to = self.names.get(&letter.to).filter(|_| letter.bytes.len() <= MAX_RELAYED_MESSAGE_BYTES);
            // Nobody is written to by itself.
            let to: Vec<u64> = to.into_iter().flatten().copied().filter(|to| *to != connection).collect();
            if to.is_empty() {
                self.counts.dropped += 1;
            }
            for to in to {
                let Some(mailbox) = self.boxes.get_mut(&to) else { continue };
                if mailbox.waiting.is_empty() {
                    woken.push(to);
                }
                if mailbox.waiting.len() >= MOST_WAITING {
                    mailbox.waiting.pop_front();
                    self.counts.dropped += 1;
                }
                mailbox.waiting.push_back(letter.bytes.clone());
            }
        }
        woken
    }

    fn open(&mut self, connection: u64, name: u64, now: Duration) {
        let room = f64::from(MOST_A_SECOND);
        self.boxes.insert(connection, Mailbox { name, waiting: VecDeque::new(), room, filled: now });
        let of_name = self.names.entry(name).or_default();
        of_name.push(connection);
        if of_name.len() > MOST_OF_NAME {
            // It may go on writing; what is written to the name is for the younger ones.
            of_name.remove(0);
        }
    }

    /// Letters that wait for a connection, as many as a message holds; the others wait on.
    pub fn take_waiting(&mut self, connection: u64) -> Vec<Vec<u8>> {
        let Some(mailbox) = self.boxes.get_mut(&connection) else { return Vec::new() };
        let count = mailbox.waiting.len().min(MAX_MESSAGES_PER_RELAY);
        self.counts.delivered += count as u64;
        mailbox.waiting.drain(..count).collect()
    }

    /// A connection is gone, and what waits for it with it.
    pub fn remove_connection(&mut self, connection: u64) {
        let Some(mailbox) = self.boxes.remove(&connection) else { return };
        self.counts.dropped += mailbox.waiting.len() as u64;
        if let Some(of_name) = self.names.get_mut(&mailbox.name) {
            of_name.retain(|other| *other != connection);
            if of_name.is_empty() {
                self.names.remove(&mailbox.name);
            }
        }
    }
}

/// By which planner a forwarder's next letters go: each in turn, so that one that carries nothing costs its own part of
/// them and no more.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlannerRotation(usize);

impl PlannerRotation {
    /// The planners of the next round in the order in which they are to be tried.
    pub fn next_order(&mut self, planners: usize) -> impl Iterator<Item = usize> + use<> {
        let first = self.0;
        self.0 = (first + 1) % planners.max(1);
        (0..planners).map(move |i| (first + i) % planners)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn letter(to: u64, byte: u8) -> RelayedMessage {
        RelayedMessage { to, bytes: vec![byte] }
    }

    fn seconds(s: u64) -> Duration {
        Duration::from_secs(s)
    }

    /// Connections 1, 2 and 3 of names 10, 20 and 30.
    fn post() -> RelayMailboxes {
        let mut post = RelayMailboxes::default();
        for connection in 1..=3 {
            assert!(post.accept(connection, 10 * connection, Vec::new(), seconds(0)).is_empty());
        }
        post
    }

    #[test]
    fn a_letter_goes_to_whom_it_names_once_and_wakes_whoever_had_none() {
        let mut post = post();
        assert_eq!(post.accept(1, 10, vec![letter(20, 1), letter(20, 2), letter(30, 3)], seconds(0)), [2, 3]);
        assert!(post.accept(3, 30, vec![letter(20, 4)], seconds(0)).is_empty(), "it is awake");
        assert_eq!(post.take_waiting(2), [[1], [2], [4]]);
        assert_eq!(
            (post.take_waiting(2).len(), post.take_waiting(1).len(), post.take_waiting(99).len()),
            (0, 0, 0)
        );
        assert_eq!(post.take_waiting(3), [[3]]);
        assert_eq!(post.counts, RelayCounts { delivered: 4, dropped: 0 });
    }

    #[test]
    fn what_is_for_nobody_for_oneself_too_long_or_under_another_name_is_dropped() {
        let mut post = post();
        let long = RelayedMessage { to: 20, bytes: vec![0; MAX_RELAYED_MESSAGE_BYTES + 1] };
        assert!(post.accept(1, 10, vec![letter(77, 1), letter(10, 2), long], seconds(0)).is_empty());
        assert!(post.accept(1, 20, vec![letter(30, 3)], seconds(0)).is_empty(), "one name a connection");
        assert_eq!(post.counts, RelayCounts { delivered: 0, dropped: 4 });
        let longest = RelayedMessage { to: 20, bytes: vec![0; MAX_RELAYED_MESSAGE_BYTES] };
        assert_eq!(post.accept(1, 10, vec![longest], seconds(0)), [2]);
    }

    #[test]
    fn one_that_takes_nothing_keeps_the_youngest_and_gets_them_by_the_message() {
        let mut post = post();
        for n in 0..200u64 {
            post.accept(1, 10, vec![RelayedMessage { to: 20, bytes: vec![n as u8] }], seconds(0));
        }
        assert_eq!(post.counts.dropped, 200 - MOST_WAITING as u64);
        let (first, second) = (post.take_waiting(2), post.take_waiting(2));
        assert_eq!((first.len(), second.len()), (MAX_MESSAGES_PER_RELAY, MAX_MESSAGES_PER_RELAY));
        assert_eq!((first[0][0], second.last().unwrap()[0]), (200 - MOST_WAITING as u8, 199));
    }

    #[test]
    fn one_that_writes_without_end_is_held_to_its_rate_and_others_are_not() {
        let mut post = post();
        let flood = |post: &mut RelayMailboxes, at| {
            let before = post.counts.dropped;
            for _ in 0..100 {
                post.accept(1, 10, vec![letter(77, 0); MAX_MESSAGES_PER_RELAY], at);
            }
            post.counts.dropped - before
        };
        // All of them are dropped, those to nobody one by one; the rate shows at what reaches the third.
        flood(&mut post, seconds(0));
        assert!(post.accept(1, 10, vec![letter(30, 1)], seconds(0)).is_empty());
        assert_eq!(post.accept(2, 20, vec![letter(30, 2)], seconds(0)), [3]);
        assert_eq!(post.accept(1, 10, vec![letter(30, 3)], seconds(1)).len(), 0, "the third is awake");
        assert_eq!(post.take_waiting(3), [[2], [3]]);
    }

    #[test]
    fn an_old_and_a_new_process_of_a_name_both_get_what_is_written_to_it() {
        let mut post = post();
        post.accept(4, 20, Vec::new(), seconds(1));
        assert_eq!(post.accept(1, 10, vec![letter(20, 1)], seconds(1)), [2, 4]);
        post.accept(5, 20, Vec::new(), seconds(1));
        post.accept(1, 10, vec![letter(20, 2)], seconds(1));
        assert_eq!(
            (post.take_waiting(2), post.take_waiting(4), post.take_waiting(5)),
            (vec![vec![1]], vec![vec![1], vec![2]], vec![vec![2]])
        );
        post.remove_connection(4);
        post.remove_connection(5);
        post.remove_connection(5);
        assert!(post.accept(1, 10, vec![letter(20, 3)], seconds(1)).is_empty());
        assert_eq!(post.names.len(), 2, "nothing is left of a name without connections");
    }

    #[test]
    fn rounds_go_by_each_planner_in_turn_and_by_the_next_where_one_is_not_there() {
        let mut turns = PlannerRotation::default();
        let orders: Vec<Vec<usize>> = (0..4).map(|_| turns.next_order(3).collect()).collect();
        assert_eq!(orders, [[0, 1, 2], [1, 2, 0], [2, 0, 1], [0, 1, 2]]);
        assert_eq!(turns.next_order(0).count(), 0);
    }
}
