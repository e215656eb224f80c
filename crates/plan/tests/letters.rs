//! Letters between forwarders by way of a planner, on sockets: they arrive, and neither one that writes without end nor one
//! that reads nothing keeps plans and drains from the others.

#[path = "common/planner.rs"]
mod common;

use dewpier_plan::io::Planner;
use dewpier_plan::wire::{read_told, write_asked};
use dewpier_plan::{Asked, Letter, MOST_LETTER, MOST_LETTERS, Mark, Plan, Told, Version};
use dewpier_standins::{LONG, wait_for};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

fn planner() -> (Arc<Planner>, SocketAddr) {
    common::planner(16, Plan { version: Version { term: 1, generation: 1 }, ..Plan::default() })
}

fn letters(from: u64, letters: Vec<Letter>) -> Asked {
    Asked::Letters { from, letters }
}

/// A forwarder that says what a test has it say.
struct Forwarder(TcpStream);

impl Forwarder {
    /// It says hello, and that letters to that number are its own.
    fn start(planner: SocketAddr, number: u64) -> Self {
        let stream = TcpStream::connect(planner).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        let mut forwarder = Self(stream);
        forwarder.says(&Asked::Hello { name: format!("f{number}"), has: None, nodes: None });
        forwarder.says(&letters(number, Vec::new()));
        // Its question is answered once what came before was taken in.
        forwarder.says(&Asked::Beat { number: 1 });
        forwarder.until(|told| matches!(told, Told::Beat { .. }));
        forwarder
    }

    fn says(&mut self, asked: &Asked) {
        self.0.write_all(&write_asked(asked)).unwrap();
    }

    fn next(&mut self) -> Told {
        let mut length = [0; 4];
        self.0.read_exact(&mut length).unwrap();
        let mut bytes = vec![0; u32::from_le_bytes(length) as usize];
        self.0.read_exact(&mut bytes).unwrap();
        read_told(&bytes).unwrap()
    }

    fn until(&mut self, seen: impl Fn(&Told) -> bool) -> Told {
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
    let longest = Letter { to: 2, bytes: vec![7; MOST_LETTER] };
    one.says(&letters(1, vec![longest.clone(); MOST_LETTERS]));
    let mut came = Vec::new();
    while came.len() < MOST_LETTERS {
        if let Told::Letters(letters) = two.next() {
            assert!(letters.len() <= MOST_LETTERS);
            came.extend(letters);
        }
    }
    assert!(came.iter().all(|bytes| *bytes == longest.bytes));
    // One that is gone gets nothing, and nothing waits for it.
    drop(two);
    wait_for("one left", || planner.followers() == 1);
    one.says(&letters(1, vec![longest]));
    wait_for("a letter to nobody", || planner.letters().dropped == 1);
    assert_eq!(planner.refused(), 0);
}

#[test]
fn messages_of_too_many_or_too_long_letters_are_refused_whole() {
    let (planner, address) = planner();
    let mut two = Forwarder::start(address, 2);
    let letter = |length: usize| Letter { to: 2, bytes: vec![7; length] };
    let wrong =
        [vec![letter(1); MOST_LETTERS + 1], vec![letter(1), letter(MOST_LETTER + 1)], vec![letter(0)]];
    for (i, wrong) in wrong.into_iter().enumerate() {
        let mut one = Forwarder::start(address, 1);
        one.says(&letters(1, wrong));
        wait_for("refusal", || planner.refused() == i as u64 + 1);
    }
    assert_eq!(planner.letters().carried, 0);
    two.says(&Asked::Beat { number: 2 });
    assert!(matches!(two.next(), Told::Beat { number: 2, .. }), "nothing else came");
}

#[test]
fn one_that_writes_without_end_and_one_that_reads_nothing_keep_no_drain_from_others() {
    let (planner, address) = planner();
    let (mut one, mut two) = (Forwarder::start(address, 1), Forwarder::start(address, 2));
    let _reads_nothing = Forwarder::start(address, 3);
    let flood = std::thread::spawn(move || {
        let all = (0..MOST_LETTERS as u64).map(|i| Letter { to: 2 + i % 2, bytes: vec![7; MOST_LETTER] });
        let message = write_asked(&letters(1, all.collect()));
        let ended = (0..2000).find(|_| one.0.write_all(&message).is_err());
        assert_eq!(ended, None, "it is heard all the while");
    });
    for sequence in 1..=20 {
        planner.drains(vec![Told::Drain { planner: 0, mark: Mark { epoch: 1, sequence }, id: "n".into() }]);
        let drain = two.until(|told| matches!(told, Told::Drain { .. }));
        assert!(matches!(drain, Told::Drain { mark: Mark { sequence: s, .. }, .. } if s == sequence));
    }
    let reading = std::thread::spawn(move || while two.0.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {});
    flood.join().unwrap();
    wait_for("most of it dropped", || planner.letters().dropped > 2000 * MOST_LETTERS as u64 / 2);
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
    one.says(&Asked::Beat { number: 2 });
    assert!(matches!(one.next(), Told::Beat { number: 2, .. }));
    assert_eq!(planner.refused(), 0);
}
