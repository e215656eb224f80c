//! Relayed messages between forwarders by way of a planner, on sockets: they arrive, and neither a flooding
//! sender nor a recipient that does not read delays plans and drains of the others.

#[path = "common/planner.rs"]
mod common;

use dewpier_plan::io::Planner;
use dewpier_plan::wire::{read_planner_message, write_forwarder_message};
use dewpier_plan::{
    AnnouncementVersion, ForwarderMessage, MAX_MESSAGES_PER_RELAY, MAX_RELAYED_MESSAGE_BYTES, Plan,
    PlannerMessage, RelayedMessage, Version,
};
use dewpier_standins::{WAIT_TIMEOUT, wait_for};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

fn planner() -> (Arc<Planner>, SocketAddr) {
    common::planner(16, Plan { version: Version { term: 1, generation: 1 }, ..Plan::default() })
}

fn relay(sender: u64, messages: Vec<RelayedMessage>) -> ForwarderMessage {
    ForwarderMessage::Relay { sender, messages }
}

/// A forwarder controlled by the test.
struct Forwarder(TcpStream);

impl Forwarder {
    /// Connects, sends a hello and subscribes to messages for `number`.
    fn start(planner: SocketAddr, number: u64) -> Self {
        let stream = TcpStream::connect(planner).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let mut forwarder = Self(stream);
        forwarder.send(&ForwarderMessage::Hello {
            name: format!("f{number}"),
            plan_version: None,
            slice_size: None,
        });
        forwarder.send(&relay(number, Vec::new()));
        // The reply shows that the earlier messages were processed.
        forwarder.send(&ForwarderMessage::Heartbeat { number: 1 });
        forwarder.receive_until(|message| matches!(message, PlannerMessage::HeartbeatReply { .. }));
        forwarder
    }

    fn send(&mut self, message: &ForwarderMessage) {
        self.0.write_all(&write_forwarder_message(message)).unwrap();
    }

    fn receive(&mut self) -> PlannerMessage {
        let mut length = [0; 4];
        self.0.read_exact(&mut length).unwrap();
        let mut bytes = vec![0; u32::from_le_bytes(length) as usize];
        self.0.read_exact(&mut bytes).unwrap();
        read_planner_message(&bytes).unwrap()
    }

    fn receive_until(&mut self, is_expected: impl Fn(&PlannerMessage) -> bool) -> PlannerMessage {
        loop {
            let message = self.receive();
            if is_expected(&message) {
                return message;
            }
        }
    }
}

#[test]
fn relayed_messages_arrive_complete_and_in_limited_batches() {
    let (planner, address) = planner();
    let (mut first, mut second) = (Forwarder::start(address, 1), Forwarder::start(address, 2));
    let longest = RelayedMessage { to: 2, bytes: vec![7; MAX_RELAYED_MESSAGE_BYTES] };
    first.send(&relay(1, vec![longest.clone(); MAX_MESSAGES_PER_RELAY]));
    let mut received = Vec::new();
    while received.len() < MAX_MESSAGES_PER_RELAY {
        if let PlannerMessage::Relayed(messages) = second.receive() {
            assert!(messages.len() <= MAX_MESSAGES_PER_RELAY);
            received.extend(messages);
        }
    }
    assert!(received.iter().all(|bytes| *bytes == longest.bytes));
    // A closed connection receives nothing, and nothing is queued for it.
    drop(second);
    wait_for("one remaining connection", || planner.follower_count() == 1);
    first.send(&relay(1, vec![longest]));
    wait_for("a dropped message", || planner.relay_counts().dropped == 1);
    assert_eq!(planner.rejected_connections(), 0);
}

#[test]
fn relay_with_too_many_or_invalid_messages_is_rejected_completely() {
    let (planner, address) = planner();
    let mut second = Forwarder::start(address, 2);
    let message = |length: usize| RelayedMessage { to: 2, bytes: vec![7; length] };
    let invalid = [
        vec![message(1); MAX_MESSAGES_PER_RELAY + 1],
        vec![message(1), message(MAX_RELAYED_MESSAGE_BYTES + 1)],
        vec![message(0)],
    ];
    for (i, messages) in invalid.into_iter().enumerate() {
        let mut first = Forwarder::start(address, 1);
        first.send(&relay(1, messages));
        wait_for("rejection", || planner.rejected_connections() == i as u64 + 1);
    }
    assert_eq!(planner.relay_counts().delivered, 0);
    second.send(&ForwarderMessage::Heartbeat { number: 2 });
    assert!(
        matches!(second.receive(), PlannerMessage::HeartbeatReply { number: 2, .. }),
        "no other message was received"
    );
}

#[test]
fn flooding_and_non_reading_forwarders_delay_no_drain() {
    let (planner, address) = planner();
    let (mut first, mut second) = (Forwarder::start(address, 1), Forwarder::start(address, 2));
    let _never_reads = Forwarder::start(address, 3);
    let flood = std::thread::spawn(move || {
        let messages = (0..MAX_MESSAGES_PER_RELAY as u64)
            .map(|i| RelayedMessage { to: 2 + i % 2, bytes: vec![7; MAX_RELAYED_MESSAGE_BYTES] });
        let frame = write_forwarder_message(&relay(1, messages.collect()));
        let failed_write = (0..2000).find(|_| first.0.write_all(&frame).is_err());
        assert_eq!(failed_write, None, "the planner keeps reading");
    });
    for sequence in 1..=20 {
        planner.announce_drains(vec![PlannerMessage::Drain {
            planner: 0,
            announcement_version: AnnouncementVersion { epoch: 1, sequence },
            id: "n".into(),
        }]);
        let drain = second.receive_until(|message| matches!(message, PlannerMessage::Drain { .. }));
        assert!(
            matches!(drain, PlannerMessage::Drain { announcement_version: AnnouncementVersion { sequence: s, .. }, .. } if s == sequence)
        );
    }
    let reading = std::thread::spawn(move || while second.0.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {});
    flood.join().unwrap();
    wait_for("dropped messages", || {
        planner.relay_counts().dropped > 2000 * MAX_MESSAGES_PER_RELAY as u64 / 2
    });
    drop(planner);
    drop(reading);
}

/// Guards the rule that unknown kinds of messages are skipped, on which older planners rely.
#[test]
fn unknown_kind_of_message_is_skipped() {
    let (planner, address) = planner();
    let mut first = Forwarder::start(address, 1);
    let newer = [0xf8, 0x07, 1];
    first.0.write_all(&[&(newer.len() as u32).to_le_bytes()[..], &newer].concat()).unwrap();
    first.send(&ForwarderMessage::Heartbeat { number: 2 });
    assert!(matches!(first.receive(), PlannerMessage::HeartbeatReply { number: 2, .. }));
    assert_eq!(planner.rejected_connections(), 0);
}
