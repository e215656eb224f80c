//! Relays short messages between forwarders by way of planners.
//!
//! A planner queues messages for a forwarder until its connection fetches them. It neither reads the messages
//! nor guarantees delivery: like datagrams, messages may be lost, late, duplicated or out of order. The
//! sender authenticates their content.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Maximum length of a relayed message, in bytes: one datagram of the fleet protocol.
pub const MAX_RELAYED_MESSAGE_BYTES: usize = 256;
/// Maximum number of relayed messages in one message to or from a planner.
pub const MAX_MESSAGES_PER_RELAY: usize = 64;
/// Maximum number of messages queued for one connection. When the queue is full the oldest message is
/// dropped, because the next round repeats its content.
pub const MAX_WAITING_MESSAGES: usize = 128;
/// Maximum number of messages that one connection may send per second; further ones are dropped. The limit is
/// 1.5 times the need of a proxy that sends 20 rounds to all its partners in a fleet of 10,000.
pub const MAX_MESSAGES_PER_SECOND: u32 = 1000;
/// Maximum number of connections of one sender that receive messages: the old and the new process during a
/// handover. A third connection replaces the oldest.
const MAX_CONNECTIONS_PER_SENDER: usize = 2;

/// A message from one forwarder to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedMessage {
    /// Number by which forwarders know the recipient.
    pub to: u64,
    /// Content, authenticated by the sender.
    pub bytes: Vec<u8>,
}

/// Counts of relayed messages since the planner started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayCounts {
    /// Messages passed to the connection of a recipient.
    pub delivered: u64,
    /// Messages to unknown recipients, and messages over a limit.
    pub dropped: u64,
}

#[derive(Debug)]
struct Mailbox {
    sender: u64,
    waiting: VecDeque<Vec<u8>>,
    /// Messages that the connection may still send, as of `refilled_at`.
    allowance: f64,
    refilled_at: Duration,
}

/// Queues of messages for the connections of a planner: one queue per connection, with at most
/// `MAX_WAITING_MESSAGES` messages.
#[derive(Debug, Default)]
pub struct RelayMailboxes {
    mailboxes: HashMap<u64, Mailbox>,
    /// The connections of each sender, the oldest first.
    connections: HashMap<u64, Vec<u64>>,
    /// Counts of delivered and dropped messages.
    pub counts: RelayCounts,
}

impl RelayMailboxes {
    /// Accepts messages from a connection at time `now`. The first call of a connection fixes its sender
    /// number; messages under another number are dropped. Returns the connections whose queues were empty and
    /// now hold messages.
    pub fn accept(
        &mut self,
        connection: u64,
        sender: u64,
        messages: Vec<RelayedMessage>,
        now: Duration,
    ) -> Vec<u64> {
        if !self.mailboxes.contains_key(&connection) {
            self.open_mailbox(connection, sender, now);
        }
        let offered = messages.len();
        let Some(own_mailbox) =
            self.mailboxes.get_mut(&connection).filter(|mailbox| mailbox.sender == sender)
        else {
            self.counts.dropped += offered as u64;
            return Vec::new();
        };
        let max = f64::from(MAX_MESSAGES_PER_SECOND);
        own_mailbox.allowance = (own_mailbox.allowance
            + max * now.saturating_sub(own_mailbox.refilled_at).as_secs_f64())
        .min(max);
        own_mailbox.refilled_at = now;
        let accepted = offered.min(own_mailbox.allowance as usize);
        own_mailbox.allowance -= accepted as f64;
        self.counts.dropped += (offered - accepted) as u64;
        let mut filled_queues = Vec::new();
        for message in messages.into_iter().take(accepted) {
            let recipients = self
                .connections
                .get(&message.to)
                .filter(|_| message.bytes.len() <= MAX_RELAYED_MESSAGE_BYTES);
            // The sender's own connection does not receive its messages.
            let recipients: Vec<u64> =
                recipients.into_iter().flatten().copied().filter(|to| *to != connection).collect();
            if recipients.is_empty() {
                self.counts.dropped += 1;
            }
            for to in recipients {
                let Some(mailbox) = self.mailboxes.get_mut(&to) else { continue };
                if mailbox.waiting.is_empty() {
                    filled_queues.push(to);
                }
                if mailbox.waiting.len() >= MAX_WAITING_MESSAGES {
                    mailbox.waiting.pop_front();
                    self.counts.dropped += 1;
                }
                mailbox.waiting.push_back(message.bytes.clone());
            }
        }
        filled_queues
    }

    fn open_mailbox(&mut self, connection: u64, sender: u64, now: Duration) {
        let allowance = f64::from(MAX_MESSAGES_PER_SECOND);
        self.mailboxes
            .insert(connection, Mailbox { sender, waiting: VecDeque::new(), allowance, refilled_at: now });
        let sender_connections = self.connections.entry(sender).or_default();
        sender_connections.push(connection);
        if sender_connections.len() > MAX_CONNECTIONS_PER_SENDER {
            // The oldest connection may still send, but receives no more messages.
            sender_connections.remove(0);
        }
    }

    /// Removes and returns the oldest waiting messages of a connection, up to [`MAX_MESSAGES_PER_RELAY`].
    pub fn take_waiting(&mut self, connection: u64) -> Vec<Vec<u8>> {
        let Some(mailbox) = self.mailboxes.get_mut(&connection) else { return Vec::new() };
        let count = mailbox.waiting.len().min(MAX_MESSAGES_PER_RELAY);
        self.counts.delivered += count as u64;
        mailbox.waiting.drain(..count).collect()
    }

    /// Removes a connection and drops the messages queued for it.
    pub fn remove_connection(&mut self, connection: u64) {
        let Some(mailbox) = self.mailboxes.remove(&connection) else { return };
        self.counts.dropped += mailbox.waiting.len() as u64;
        if let Some(sender_connections) = self.connections.get_mut(&mailbox.sender) {
            sender_connections.retain(|other| *other != connection);
            if sender_connections.is_empty() {
                self.connections.remove(&mailbox.sender);
            }
        }
    }
}

/// Rotates through the planners, so that each round of messages goes to the next planner. A planner that
/// relays nothing costs only its share of the rounds.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlannerRotation(usize);

impl PlannerRotation {
    /// The order in which to try the planners for the next round.
    pub fn next_order(&mut self, planners: usize) -> impl Iterator<Item = usize> + use<> {
        let first = self.0;
        self.0 = (first + 1) % planners.max(1);
        (0..planners).map(move |i| (first + i) % planners)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn message(to: u64, byte: u8) -> RelayedMessage {
        RelayedMessage { to, bytes: vec![byte] }
    }

    fn seconds(s: u64) -> Duration {
        Duration::from_secs(s)
    }

    /// Connections 1, 2 and 3 of senders 10, 20 and 30.
    fn relay() -> RelayMailboxes {
        let mut relay = RelayMailboxes::default();
        for connection in 1..=3 {
            assert!(relay.accept(connection, 10 * connection, Vec::new(), seconds(0)).is_empty());
        }
        relay
    }

    #[test]
    fn message_reaches_its_recipient_once_and_reports_queues_that_were_empty() {
        let mut relay = relay();
        assert_eq!(
            relay.accept(1, 10, vec![message(20, 1), message(20, 2), message(30, 3)], seconds(0)),
            [2, 3]
        );
        assert!(
            relay.accept(3, 30, vec![message(20, 4)], seconds(0)).is_empty(),
            "the queue of connection 2 was not empty"
        );
        assert_eq!(relay.take_waiting(2), [[1], [2], [4]]);
        assert_eq!(
            (relay.take_waiting(2).len(), relay.take_waiting(1).len(), relay.take_waiting(99).len()),
            (0, 0, 0)
        );
        assert_eq!(relay.take_waiting(3), [[3]]);
        assert_eq!(relay.counts, RelayCounts { delivered: 4, dropped: 0 });
    }

    #[test]
    fn messages_to_unknown_recipients_to_the_sender_too_long_or_under_another_number_are_dropped() {
        let mut relay = relay();
        let too_long = RelayedMessage { to: 20, bytes: vec![0; MAX_RELAYED_MESSAGE_BYTES + 1] };
        assert!(relay.accept(1, 10, vec![message(77, 1), message(10, 2), too_long], seconds(0)).is_empty());
        assert!(
            relay.accept(1, 20, vec![message(30, 3)], seconds(0)).is_empty(),
            "a connection has one sender number"
        );
        assert_eq!(relay.counts, RelayCounts { delivered: 0, dropped: 4 });
        let longest = RelayedMessage { to: 20, bytes: vec![0; MAX_RELAYED_MESSAGE_BYTES] };
        assert_eq!(relay.accept(1, 10, vec![longest], seconds(0)), [2]);
    }

    #[test]
    fn full_queue_keeps_the_newest_messages_and_returns_them_in_batches() {
        let mut relay = relay();
        for n in 0..200u64 {
            relay.accept(1, 10, vec![RelayedMessage { to: 20, bytes: vec![n as u8] }], seconds(0));
        }
        assert_eq!(relay.counts.dropped, 200 - MAX_WAITING_MESSAGES as u64);
        let (first, second) = (relay.take_waiting(2), relay.take_waiting(2));
        assert_eq!((first.len(), second.len()), (MAX_MESSAGES_PER_RELAY, MAX_MESSAGES_PER_RELAY));
        assert_eq!((first[0][0], second.last().unwrap()[0]), (200 - MAX_WAITING_MESSAGES as u8, 199));
    }

    #[test]
    fn flooding_sender_is_rate_limited_and_others_are_not() {
        let mut relay = relay();
        let flood = |relay: &mut RelayMailboxes, at| {
            let before = relay.counts.dropped;
            for _ in 0..100 {
                relay.accept(1, 10, vec![message(77, 0); MAX_MESSAGES_PER_RELAY], at);
            }
            relay.counts.dropped - before
        };
        // The flood is dropped message by message. The rate limit shows in what reaches connection 3.
        flood(&mut relay, seconds(0));
        assert!(relay.accept(1, 10, vec![message(30, 1)], seconds(0)).is_empty());
        assert_eq!(relay.accept(2, 20, vec![message(30, 2)], seconds(0)), [3]);
        assert_eq!(
            relay.accept(1, 10, vec![message(30, 3)], seconds(1)).len(),
            0,
            "the queue of connection 3 was not empty"
        );
        assert_eq!(relay.take_waiting(3), [[2], [3]]);
    }

    #[test]
    fn both_newest_connections_of_a_sender_receive_its_messages() {
        let mut relay = relay();
        relay.accept(4, 20, Vec::new(), seconds(1));
        assert_eq!(relay.accept(1, 10, vec![message(20, 1)], seconds(1)), [2, 4]);
        relay.accept(5, 20, Vec::new(), seconds(1));
        relay.accept(1, 10, vec![message(20, 2)], seconds(1));
        assert_eq!(
            (relay.take_waiting(2), relay.take_waiting(4), relay.take_waiting(5)),
            (vec![vec![1]], vec![vec![1], vec![2]], vec![vec![2]])
        );
        relay.remove_connection(4);
        relay.remove_connection(5);
        relay.remove_connection(5);
        assert!(relay.accept(1, 10, vec![message(20, 3)], seconds(1)).is_empty());
        assert_eq!(relay.connections.len(), 2, "a sender without connections is forgotten");
    }

    #[test]
    fn rotation_starts_each_round_at_the_next_planner() {
        let mut turns = PlannerRotation::default();
        let orders: Vec<Vec<usize>> = (0..4).map(|_| turns.next_order(3).collect()).collect();
        assert_eq!(orders, [[0, 1, 2], [1, 2, 0], [2, 0, 1], [0, 1, 2]]);
        assert_eq!(turns.next_order(0).count(), 0);
    }
}
