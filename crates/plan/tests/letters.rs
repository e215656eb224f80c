//! Letters between forwarders by way of a planner, on sockets: they arrive, and neither one that writes without end nor one
//! that reads nothing keeps plans and drains from the others.

#[path = "common/planner.rs"]
mod common;

use dewpier_plan::io::Planner;
use dewpier_plan::wire::{read_planner_message, write_forwarder_message};
use dewpier_plan::{
    AnnouncementVersion, ForwarderMessage, MAX_MESSAGES_PER_RELAY, MAX_RELAYED_MESSAGE_BYTES, Plan,
    PlannerMessage, RelayedMessage, Version,
};
use dewpier_standins::{LONG, wait_for};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

fn planner() -> (Arc<Planner>, SocketAddr) {
    common::planner(16, Plan { version: Version { term: 1, generation: 1 }, ..Plan::default() })
}

fn letters(from: u64, letters: Vec<RelayedMessage>) -> ForwarderMessage {
    ForwarderMessage::Relay { sender: from, messages: letters }
}

/// A forwarder that says what a test has it say.
struct Forwarder(TcpStream);

impl Forwarder {
    /// It says hello, and that letters to that number are its own.
    fn start(planner: SocketAddr, number: u64) -> Self {
        let stream = TcpStream::connect(planner).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        let mut forwarder = Self(stream);
        forwarder.says(&ForwarderMessage::Hello {
            name: format!("f{number}"),
            plan_version: None,
            slice_size: None,
        });
        forwarder.says(&letters(number, Vec::new()));
        // Its question is answered once what came before was taken in.
        forwarder.says(&ForwarderMessage::Heartbeat { number: 1 });
        forwarder.until(|told| matches!(told, PlannerMessage::HeartbeatReply { .. }));
        forwarder
    }

    fn says(&mut self, asked: &ForwarderMessage) {
        self.0.write_all(&write_forwarder_message(asked)).unwrap();
    }

    fn next(&mut self) -> PlannerMessage {
        let mut length = [0; 4];
        self.0.read_exact(&mut length).unwrap();
        let mut bytes = vec![0; u32::from_le_bytes(length) as usize];
        self.0.read_exact(&mut bytes).unwrap();
        read_planner_message(&bytes).unwrap()
    }

    fn until(&mut self, seen: impl Fn(&PlannerMessage) -> bool) -> PlannerMessage {
        loop {
            let told = self.next();
            if seen(&told) {
                return told;
            }
        }
    }
}

#[test]
fn letters_arrive_whole_and_in_messages_that_a_forwarder_takes() {
    let (planner, address) = planner();
    let (mut one, mut two) = (Forwarder::start(address, 1), Forwarder::start(address, 2));
    let longest = RelayedMessage { to: 2, bytes: vec![7; MAX_RELAYED_MESSAGE_BYTES] };
    one.says(&letters(1, vec![longest.clone(); MAX_MESSAGES_PER_RELAY]));
    let mut came = Vec::new();
    while came.len() < MAX_MESSAGES_PER_RELAY {
        if let PlannerMessage::Relayed(letters) = two.next() {
            assert!(letters.len() <= MAX_MESSAGES_PER_RELAY);
            came.extend(letters);
        }
    }
    assert!(came.iter().all(|bytes| *bytes == longest.bytes));
    // One that is gone gets nothing, and nothing waits for it.
    drop(two);
    wait_for("one left", || planner.follower_count() == 1);
    one.says(&letters(1, vec![longest]));
    wait_for("a letter to nobody", || planner.relay_counts().dropped == 1);
    assert_eq!(planner.rejected_connections(), 0);
}

#[test]
fn messages_of_too_many_or_too_long_letters_are_refused_whole() {
    let (planner, address) = planner();
    let mut two = Forwarder::start(address, 2);
    let letter = |length: usize| RelayedMessage { to: 2, bytes: vec![7; length] };
    let wrong = [
        vec![letter(1); MAX_MESSAGES_PER_RELAY + 1],
        vec![letter(1), letter(MAX_RELAYED_MESSAGE_BYTES + 1)],
        vec![letter(0)],
    ];
    for (i, wrong) in wrong.into_iter().enumerate() {
        let mut one = Forwarder::start(address, 1);
        one.says(&letters(1, wrong));
        wait_for("refusal", || planner.rejected_connections() == i as u64 + 1);
    }
    assert_eq!(planner.relay_counts().delivered, 0);
    two.says(&ForwarderMessage::Heartbeat { number: 2 });
    assert!(matches!(two.next(), PlannerMessage::HeartbeatReply { number: 2, .. }), "nothing else came");
}

#[test]
fn one_that_writes_without_end_and_one_that_reads_nothing_keep_no_drain_from_others() {
    let (planner, address) = planner();
    let (mut one, mut two) = (Forwarder::start(address, 1), Forwarder::start(address, 2));
    let _reads_nothing = Forwarder::start(address, 3);
    let flood = std::thread::spawn(move || {
        let all = (0..MAX_MESSAGES_PER_RELAY as u64)
            .map(|i| RelayedMessage { to: 2 + i % 2, bytes: vec![7; MAX_RELAYED_MESSAGE_BYTES] });
        let message = write_forwarder_message(&letters(1, all.collect()));
        let ended = (0..2000).find(|_| one.0.write_all(&message).is_err());
        assert_eq!(ended, None, "it is heard all the while");
    });
    for sequence in 1..=20 {
        planner.announce_drains(vec![PlannerMessage::Drain {
            planner: 0,
            announcement_version: AnnouncementVersion { epoch: 1, sequence },
            id: "n".into(),
        }]);
        let drain = two.until(|told| matches!(told, PlannerMessage::Drain { .. }));
        assert!(
            matches!(drain, PlannerMessage::Drain { announcement_version: AnnouncementVersion { sequence: s, .. }, .. } if s == sequence)
        );
    }
    let reading = std::thread::spawn(move || while two.0.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {});
    flood.join().unwrap();
    wait_for("most of it dropped", || {
        planner.relay_counts().dropped > 2000 * MAX_MESSAGES_PER_RELAY as u64 / 2
    });
    drop(planner);
    drop(reading);
}

/// As letters are to a planner of the version before, and whatever comes after them is to this one.
#[test]
fn what_a_newer_forwarder_says_is_passed_over() {
    let (planner, address) = planner();
    let mut one = Forwarder::start(address, 1);
    let newer = [0xf8, 0x07, 1];
    one.0.write_all(&[&(newer.len() as u32).to_le_bytes()[..], &newer].concat()).unwrap();
    one.says(&ForwarderMessage::Heartbeat { number: 2 });
    assert!(matches!(one.next(), PlannerMessage::HeartbeatReply { number: 2, .. }));
    assert_eq!(planner.rejected_connections(), 0);
}
