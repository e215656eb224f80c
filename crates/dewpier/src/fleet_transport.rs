//! Transports of datagrams between the proxies of a fleet: a UDP socket, or relaying by the planners of a forwarder.

use crate::config::TransportConfig;
use crate::error::ServeError;
use dewpier_peers::io::{Transport, UdpTransport};
use dewpier_peers::{OutgoingDatagram, ProxyId};
use dewpier_plan::RelayedMessage;
use dewpier_plan::io::RelayChannel;
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Capacity of the channel of outgoing rounds. Rounds beyond it are dropped, as the next round repeats their
/// contents.
const MAX_QUEUED_ROUNDS: usize = 4;
/// Capacity of the channel of received datagrams: several from each partner in a fleet of 10,000.
const MAX_QUEUED_DATAGRAMS: usize = 256;

/// The transport of a proxy's datagrams.
pub(crate) enum FleetTransport {
    /// A UDP socket.
    Udp(UdpTransport),
    /// Relaying by planners.
    Planners(PlannerRelay),
}

/// Datagrams relayed by planners.
pub(crate) struct PlannerRelay {
    outgoing: mpsc::Sender<Vec<RelayedMessage>>,
    incoming: mpsc::Receiver<Vec<u8>>,
    /// A received datagram that waits to be taken.
    next: Option<Vec<u8>>,
}

/// Both ends of the relay of a proxy: the transport for the fleet, and the end for the task that follows planners.
pub(crate) fn planner_relay(proxy: ProxyId) -> (PlannerRelay, RelayChannel) {
    let (outgoing, relayed) = mpsc::channel(MAX_QUEUED_ROUNDS);
    let (received, incoming) = mpsc::channel(MAX_QUEUED_DATAGRAMS);
    (
        PlannerRelay { outgoing, incoming, next: None },
        RelayChannel { sender: proxy.0, outgoing: relayed, incoming: received },
    )
}

impl FleetTransport {
    /// Starts the configured transport. Fails if the UDP socket cannot be bound.
    pub async fn start(config: &TransportConfig, relay: Option<PlannerRelay>) -> Result<Self, ServeError> {
        match (config, relay) {
            (TransportConfig::Datagrams { listen, peer_addresses }, _) => {
                let add_setting = |error: io::Error| {
                    io::Error::new(error.kind(), format!("fleet.listen {listen}: {error}"))
                };
                let socket = UdpSocket::bind(listen).await.map_err(add_setting)?;
                let addresses = peer_addresses
                    .iter()
                    .map(|(name, address)| (ProxyId::from_name(name), *address))
                    .collect();
                Ok(Self::Udp(UdpTransport { socket, addresses }))
            }
            (TransportConfig::Planners, Some(relay)) => Ok(Self::Planners(relay)),
            // Unreachable: the check of the configuration rejects it.
            (TransportConfig::Planners, None) => Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "fleet.carrier: expected a forwarder with [planners], found none",
            )
            .into()),
        }
    }
}

impl Transport for FleetTransport {
    async fn ready(&mut self) -> io::Result<()> {
        match self {
            Self::Udp(udp) => udp.ready().await,
            Self::Planners(relay) => relay.ready().await,
        }
    }

    fn try_receive(&mut self, buffer: &mut [u8]) -> Option<(usize, Option<SocketAddr>)> {
        match self {
            Self::Udp(udp) => udp.try_receive(buffer),
            Self::Planners(relay) => relay.try_receive(buffer),
        }
    }

    fn send(&mut self, datagrams: Vec<OutgoingDatagram>) {
        match self {
            Self::Udp(udp) => udp.send(datagrams),
            Self::Planners(relay) => relay.send(datagrams),
        }
    }
}

impl Transport for PlannerRelay {
    async fn ready(&mut self) -> io::Result<()> {
        if self.next.is_none() {
            self.next = self.incoming.recv().await;
        }
        match self.next {
            Some(_) => Ok(()),
            // The task that follows planners has ended, so the process ends.
            None => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }

    fn try_receive(&mut self, buffer: &mut [u8]) -> Option<(usize, Option<SocketAddr>)> {
        let datagram = self.next.take().or_else(|| self.incoming.try_recv().ok())?;
        // A datagram longer than the buffer is truncated, and its receiver rejects it.
        let length = datagram.len().min(buffer.len());
        buffer[..length].copy_from_slice(&datagram[..length]);
        Some((length, None))
    }

    fn send(&mut self, datagrams: Vec<OutgoingDatagram>) {
        let messages = datagrams
            .into_iter()
            .map(|datagram| RelayedMessage { to: datagram.to.0, bytes: datagram.bytes })
            .collect();
        let _ = self.outgoing.try_send(messages); // the next round repeats the contents
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rounds_beyond_the_queue_are_dropped_and_long_datagrams_are_truncated() {
        let (mut transport, mut relay) = planner_relay(ProxyId(7));
        assert_eq!(relay.sender, 7);
        for round in 0..10 {
            transport.send(vec![OutgoingDatagram { to: ProxyId(9), bytes: vec![round] }]);
        }
        let first = relay.outgoing.try_recv().unwrap();
        assert_eq!(first, [RelayedMessage { to: 9, bytes: vec![0] }]);
        assert_eq!(
            std::iter::from_fn(|| relay.outgoing.try_recv().ok()).count(),
            MAX_QUEUED_ROUNDS - 1,
            "the other rounds are dropped"
        );
        let mut buffer = [0; 4];
        assert_eq!(transport.try_receive(&mut buffer), None);
        relay.incoming.try_send(vec![5; 9]).unwrap();
        relay.incoming.try_send(vec![6; 2]).unwrap();
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        runtime.block_on(transport.ready()).unwrap();
        runtime.block_on(transport.ready()).unwrap();
        assert_eq!((transport.try_receive(&mut buffer), buffer), (Some((4, None)), [5; 4]));
        assert_eq!(transport.try_receive(&mut buffer), Some((2, None)));
        drop(relay);
        assert!(runtime.block_on(transport.ready()).is_err());
    }
}
