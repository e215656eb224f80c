//! The side of the process that is there already. No I/O and no clock.

use crate::message::{Message, VERSION};

/// A connection of a new process, by a number that is not used twice.
pub type Peer = u64;

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A new process says something.
    Said(Peer, Message),
    /// Its connection has ended.
    Gone(Peer),
}

/// What is to be done about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Do {
    /// Send it the listening socket.
    Give(Peer),
    /// Tell it that.
    Tell(Peer, Message),
    /// End its connection: it has said what makes no sense here.
    Drop(Peer),
    /// Another process runs beside this one, or no longer: each has its part of the caps.
    Beside(bool),
    /// Accept no more: the other one does.
    HandOver,
    /// The other one is gone: accept again.
    TakeBack,
}

/// Gives the listening socket to one new process at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Giver {
    /// There is no other one.
    #[default]
    Alone,
    /// It has the socket, and does not accept yet.
    Offered(Peer),
    /// It accepts.
    Given(Peer),
}

impl Giver {
    /// What is to be done, in this order.
    pub fn handle(&mut self, event: Event) -> Vec<Do> {
        match (*self, event) {
            (_, Event::Said(peer, Message::Hello(version))) if version != VERSION => {
                vec![Do::Tell(peer, Message::Version(VERSION)), Do::Drop(peer)]
            }
            (Self::Alone, Event::Said(peer, Message::Hello(_))) => {
                *self = Self::Offered(peer);
                vec![Do::Beside(true), Do::Give(peer)]
            }
            (Self::Offered(other) | Self::Given(other), Event::Said(peer, Message::Hello(_)))
                if other != peer =>
            {
                vec![Do::Tell(peer, Message::Busy), Do::Drop(peer)]
            }
            (Self::Offered(other), Event::Said(peer, Message::Taking)) if other == peer => {
                *self = Self::Given(peer);
                vec![Do::HandOver]
            }
            (Self::Offered(other), Event::Gone(peer)) if other == peer => {
                *self = Self::Alone;
                vec![Do::Beside(false)]
            }
            (Self::Given(other), Event::Gone(peer)) if other == peer => {
                *self = Self::Alone;
                vec![Do::TakeBack, Do::Beside(false)]
            }
            (_, Event::Gone(_)) => Vec::new(),
            (_, Event::Said(peer, _)) => vec![Do::Drop(peer)],
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn one_at_a_time_and_only_in_order() {
        let mut giver = Giver::default();
        let hello = |peer| Event::Said(peer, Message::Hello(VERSION));
        assert_eq!(giver.handle(Event::Said(1, Message::Taking)), [Do::Drop(1)]);
        let unknown = giver.handle(Event::Said(2, Message::Hello(VERSION + 1)));
        assert_eq!(unknown, [Do::Tell(2, Message::Version(VERSION)), Do::Drop(2)]);
        assert_eq!(giver.handle(hello(3)), [Do::Beside(true), Do::Give(3)]);
        assert_eq!(giver.handle(hello(4)), [Do::Tell(4, Message::Busy), Do::Drop(4)]);
        assert_eq!(giver.handle(Event::Said(4, Message::Taking)), [Do::Drop(4)]);
        assert_eq!(giver.handle(Event::Gone(4)), []);
        assert_eq!(giver.handle(Event::Said(3, Message::Taking)), [Do::HandOver]);
        assert_eq!(giver.handle(Event::Gone(3)), [Do::TakeBack, Do::Beside(false)]);
        assert_eq!(giver.handle(hello(5)), [Do::Beside(true), Do::Give(5)]);
    }

    /// A new process as the giver sees it, over a connection that keeps order and may end at any moment.
    #[derive(Clone, Copy, Debug, Default, PartialEq)]
    struct Taker {
        alive: bool,
        has_socket: bool,
        accepts: bool,
    }

    proptest! {
        /// Whatever the order of messages and deaths: as long as the old process lives somebody accepts, at most one
        /// new one has the socket, and the old one stands aside only for one that has said that it accepts.
        #[test]
        fn somebody_always_accepts(steps in prop::collection::vec((0..4u8, 0..4usize), 0..120)) {
            let (mut giver, mut takers, mut accepts, mut beside) = (Giver::default(), [Taker::default(); 4], true, false);
            for (step, n) in steps {
                let peer = n as Peer;
                let event = match (step, takers[n].alive) {
                    (0, false) => { takers[n] = Taker { alive: true, ..Taker::default() }; Event::Said(peer, Message::Hello(VERSION)) }
                    (1, true) if takers[n].has_socket => { takers[n].accepts = true; Event::Said(peer, Message::Taking) }
                    (2, true) => { takers[n] = Taker::default(); Event::Gone(peer) }
                    (3, true) => Event::Said(peer, Message::Hello(VERSION)),
                    _ => continue,
                };
                for done in giver.handle(event) {
                    match done {
                        Do::Give(peer) => takers[peer as usize].has_socket = true,
                        Do::Drop(peer) => {
                            takers[peer as usize] = Taker::default();
                            for done in giver.handle(Event::Gone(peer)) {
                                match done {
                                    Do::TakeBack => accepts = true,
                                    Do::Beside(on) => beside = on,
                                    _ => {}
                                }
                            }
                        }
                        Do::HandOver => accepts = false,
                        Do::TakeBack => accepts = true,
                        Do::Beside(on) => beside = on,
                        Do::Tell(..) => {}
                    }
                }
                let holders = takers.iter().filter(|t| t.has_socket).count();
                prop_assert!(holders <= 1);
                prop_assert_eq!(beside, holders == 1);
                prop_assert!(accepts || takers.iter().any(|t| t.accepts));
                prop_assert!(accepts || matches!(giver, Giver::Given(_)));
            }
        }
    }
}
