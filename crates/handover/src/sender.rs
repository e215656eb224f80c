//! The side of the process that is there already. No I/O and no clock.

use crate::message::{Message, PROTOCOL_VERSION};

/// A connection of a new process, by a number that is not used twice.
pub type ConnectionId = u64;

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A new process says something.
    MessageReceived(ConnectionId, Message),
    /// Its connection has ended.
    Disconnected(ConnectionId),
}

/// What is to be done about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send it the listening socket.
    SendSocket(ConnectionId),
    /// Tell it that.
    SendMessage(ConnectionId, Message),
    /// End its connection: it has said what makes no sense here.
    Disconnect(ConnectionId),
    /// Another process runs beside this one, or no longer: each has its part of the caps.
    ShareLimits(bool),
    /// Accept no more: the other one does.
    StopAccepting,
    /// The other one is gone: accept again.
    ResumeAccepting,
}

/// Gives the listening socket to one new process at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HandoverSender {
    /// There is no other one.
    #[default]
    Idle,
    /// It has the socket, and does not accept yet.
    SocketSent(ConnectionId),
    /// It accepts.
    HandedOver(ConnectionId),
}

impl HandoverSender {
    /// What is to be done, in this order.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        match (*self, event) {
            (_, Event::MessageReceived(peer, Message::Hello(version))) if version != PROTOCOL_VERSION => {
                vec![Action::SendMessage(peer, Message::Version(PROTOCOL_VERSION)), Action::Disconnect(peer)]
            }
            (Self::Idle, Event::MessageReceived(peer, Message::Hello(_))) => {
                *self = Self::SocketSent(peer);
                vec![Action::ShareLimits(true), Action::SendSocket(peer)]
            }
            (
                Self::SocketSent(other) | Self::HandedOver(other),
                Event::MessageReceived(peer, Message::Hello(_)),
            ) if other != peer => {
                vec![Action::SendMessage(peer, Message::Busy), Action::Disconnect(peer)]
            }
            (Self::SocketSent(other), Event::MessageReceived(peer, Message::Taking)) if other == peer => {
                *self = Self::HandedOver(peer);
                vec![Action::StopAccepting]
            }
            (Self::SocketSent(other), Event::Disconnected(peer)) if other == peer => {
                *self = Self::Idle;
                vec![Action::ShareLimits(false)]
            }
            (Self::HandedOver(other), Event::Disconnected(peer)) if other == peer => {
                *self = Self::Idle;
                vec![Action::ResumeAccepting, Action::ShareLimits(false)]
            }
            (_, Event::Disconnected(_)) => Vec::new(),
            (_, Event::MessageReceived(peer, _)) => vec![Action::Disconnect(peer)],
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn one_at_a_time_and_only_in_order() {
        let mut giver = HandoverSender::default();
        let hello = |peer| Event::MessageReceived(peer, Message::Hello(PROTOCOL_VERSION));
        assert_eq!(giver.handle(Event::MessageReceived(1, Message::Taking)), [Action::Disconnect(1)]);
        let unknown = giver.handle(Event::MessageReceived(2, Message::Hello(PROTOCOL_VERSION + 1)));
        assert_eq!(
            unknown,
            [Action::SendMessage(2, Message::Version(PROTOCOL_VERSION)), Action::Disconnect(2)]
        );
        assert_eq!(giver.handle(hello(3)), [Action::ShareLimits(true), Action::SendSocket(3)]);
        assert_eq!(giver.handle(hello(4)), [Action::SendMessage(4, Message::Busy), Action::Disconnect(4)]);
        assert_eq!(giver.handle(Event::MessageReceived(4, Message::Taking)), [Action::Disconnect(4)]);
        assert_eq!(giver.handle(Event::Disconnected(4)), []);
        assert_eq!(giver.handle(Event::MessageReceived(3, Message::Taking)), [Action::StopAccepting]);
        assert_eq!(
            giver.handle(Event::Disconnected(3)),
            [Action::ResumeAccepting, Action::ShareLimits(false)]
        );
        assert_eq!(giver.handle(hello(5)), [Action::ShareLimits(true), Action::SendSocket(5)]);
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
            let (mut giver, mut takers, mut accepts, mut beside) = (HandoverSender::default(), [Taker::default(); 4], true, false);
            for (step, n) in steps {
                let peer = n as ConnectionId;
                let event = match (step, takers[n].alive) {
                    (0, false) => { takers[n] = Taker { alive: true, ..Taker::default() }; Event::MessageReceived(peer, Message::Hello(PROTOCOL_VERSION)) }
                    (1, true) if takers[n].has_socket => { takers[n].accepts = true; Event::MessageReceived(peer, Message::Taking) }
                    (2, true) => { takers[n] = Taker::default(); Event::Disconnected(peer) }
                    (3, true) => Event::MessageReceived(peer, Message::Hello(PROTOCOL_VERSION)),
                    _ => continue,
                };
                for done in giver.handle(event) {
                    match done {
                        Action::SendSocket(peer) => takers[peer as usize].has_socket = true,
                        Action::Disconnect(peer) => {
                            takers[peer as usize] = Taker::default();
                            for done in giver.handle(Event::Disconnected(peer)) {
                                match done {
                                    Action::ResumeAccepting => accepts = true,
                                    Action::ShareLimits(on) => beside = on,
                                    _ => {}
                                }
                            }
                        }
                        Action::StopAccepting => accepts = false,
                        Action::ResumeAccepting => accepts = true,
                        Action::ShareLimits(on) => beside = on,
                        Action::SendMessage(..) => {}
                    }
                }
                let holders = takers.iter().filter(|t| t.has_socket).count();
                prop_assert!(holders <= 1);
                prop_assert_eq!(beside, holders == 1);
                prop_assert!(accepts || takers.iter().any(|t| t.accepts));
                prop_assert!(accepts || matches!(giver, HandoverSender::HandedOver(_)));
            }
        }
    }
}
