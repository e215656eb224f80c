//! The sending side of a handover: the running process that gives its listening socket to a successor. No I/O and no
//! clock.

use crate::message::{Message, PROTOCOL_VERSION};

/// Identifies the connection of a new process. Numbers are never reused.
pub type ConnectionId = u64;

/// What happened on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A new process sent a message.
    MessageReceived(ConnectionId, Message),
    /// The connection has ended.
    Disconnected(ConnectionId),
}

/// What the running process does in response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the listening socket.
    SendSocket(ConnectionId),
    /// Send a message.
    SendMessage(ConnectionId, Message),
    /// Close the connection: its process violated the protocol or was refused.
    Disconnect(ConnectionId),
    /// Start (true) or end (false) sharing the resource limits with a successor.
    ShareLimits(bool),
    /// Stop accepting connections: the successor accepts them.
    StopAccepting,
    /// Accept connections again: the successor has exited.
    ResumeAccepting,
}

/// The state of the sending side, which gives the listening socket to one new process at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HandoverSender {
    /// There is no successor.
    #[default]
    Idle,
    /// A successor has the socket and does not accept connections yet.
    SocketSent(ConnectionId),
    /// The successor accepts connections.
    HandedOver(ConnectionId),
}

impl HandoverSender {
    /// Handles an event and returns the resulting actions in order.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        match (*self, event) {
            (_, Event::MessageReceived(connection, Message::Hello(version)))
                if version != PROTOCOL_VERSION =>
            {
                vec![
                    Action::SendMessage(connection, Message::Version(PROTOCOL_VERSION)),
                    Action::Disconnect(connection),
                ]
            }
            (Self::Idle, Event::MessageReceived(connection, Message::Hello(_))) => {
                *self = Self::SocketSent(connection);
                vec![Action::ShareLimits(true), Action::SendSocket(connection)]
            }
            (
                Self::SocketSent(successor) | Self::HandedOver(successor),
                Event::MessageReceived(connection, Message::Hello(_)),
            ) if successor != connection => {
                vec![Action::SendMessage(connection, Message::Busy), Action::Disconnect(connection)]
            }
            (Self::SocketSent(successor), Event::MessageReceived(connection, Message::Taking))
                if successor == connection =>
            {
                *self = Self::HandedOver(connection);
                vec![Action::StopAccepting]
            }
            (Self::SocketSent(successor), Event::Disconnected(connection)) if successor == connection => {
                *self = Self::Idle;
                vec![Action::ShareLimits(false)]
            }
            (Self::HandedOver(successor), Event::Disconnected(connection)) if successor == connection => {
                *self = Self::Idle;
                vec![Action::ResumeAccepting, Action::ShareLimits(false)]
            }
            (_, Event::Disconnected(_)) => Vec::new(),
            (_, Event::MessageReceived(connection, _)) => vec![Action::Disconnect(connection)],
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn one_successor_at_a_time_and_messages_out_of_order_disconnect() {
        let mut sender = HandoverSender::default();
        let hello = |connection| Event::MessageReceived(connection, Message::Hello(PROTOCOL_VERSION));
        assert_eq!(sender.handle(Event::MessageReceived(1, Message::Taking)), [Action::Disconnect(1)]);
        let unknown = sender.handle(Event::MessageReceived(2, Message::Hello(PROTOCOL_VERSION + 1)));
        assert_eq!(
            unknown,
            [Action::SendMessage(2, Message::Version(PROTOCOL_VERSION)), Action::Disconnect(2)]
        );
        assert_eq!(sender.handle(hello(3)), [Action::ShareLimits(true), Action::SendSocket(3)]);
        assert_eq!(sender.handle(hello(4)), [Action::SendMessage(4, Message::Busy), Action::Disconnect(4)]);
        assert_eq!(sender.handle(Event::MessageReceived(4, Message::Taking)), [Action::Disconnect(4)]);
        assert_eq!(sender.handle(Event::Disconnected(4)), []);
        assert_eq!(sender.handle(Event::MessageReceived(3, Message::Taking)), [Action::StopAccepting]);
        assert_eq!(
            sender.handle(Event::Disconnected(3)),
            [Action::ResumeAccepting, Action::ShareLimits(false)]
        );
        assert_eq!(sender.handle(hello(5)), [Action::ShareLimits(true), Action::SendSocket(5)]);
    }

    /// A new process as the sender sees it, over an ordered connection that may end at any moment.
    #[derive(Clone, Copy, Debug, Default, PartialEq)]
    struct Receiver {
        is_alive: bool,
        has_socket: bool,
        is_accepting: bool,
    }

    proptest! {
        /// In any order of messages and exits: as long as the running process lives, some process accepts
        /// connections, at most one new process has the socket, and the running one stops accepting only for a
        /// successor that has announced that it accepts.
        #[test]
        fn some_process_accepts_in_any_order_of_messages_and_exits(
            steps in prop::collection::vec((0..4u8, 0..4usize), 0..120),
        ) {
            let (mut sender, mut receivers, mut is_accepting, mut shares_limits) =
                (HandoverSender::default(), [Receiver::default(); 4], true, false);
            for (step, n) in steps {
                let connection = n as ConnectionId;
                let event = match (step, receivers[n].is_alive) {
                    (0, false) => {
                        receivers[n] = Receiver { is_alive: true, ..Receiver::default() };
                        Event::MessageReceived(connection, Message::Hello(PROTOCOL_VERSION))
                    }
                    (1, true) if receivers[n].has_socket => {
                        receivers[n].is_accepting = true;
                        Event::MessageReceived(connection, Message::Taking)
                    }
                    (2, true) => {
                        receivers[n] = Receiver::default();
                        Event::Disconnected(connection)
                    }
                    (3, true) => Event::MessageReceived(connection, Message::Hello(PROTOCOL_VERSION)),
                    _ => continue,
                };
                for action in sender.handle(event) {
                    match action {
                        Action::SendSocket(connection) => receivers[connection as usize].has_socket = true,
                        Action::Disconnect(connection) => {
                            receivers[connection as usize] = Receiver::default();
                            for action in sender.handle(Event::Disconnected(connection)) {
                                match action {
                                    Action::ResumeAccepting => is_accepting = true,
                                    Action::ShareLimits(on) => shares_limits = on,
                                    _ => {}
                                }
                            }
                        }
                        Action::StopAccepting => is_accepting = false,
                        Action::ResumeAccepting => is_accepting = true,
                        Action::ShareLimits(on) => shares_limits = on,
                        Action::SendMessage(..) => {}
                    }
                }
                let holders = receivers.iter().filter(|r| r.has_socket).count();
                prop_assert!(holders <= 1);
                prop_assert_eq!(shares_limits, holders == 1);
                prop_assert!(is_accepting || receivers.iter().any(|r| r.is_accepting));
                prop_assert!(is_accepting || matches!(sender, HandoverSender::HandedOver(_)));
            }
        }
    }
}
