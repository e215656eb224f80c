//! What carries a proxy's datagrams to the others of its fleet: sockets, or the planners that it follows.

use crate::config::Carrier;
use crate::error::ServeError;
use dewpier_peers::io::{Transport, UdpTransport};
use dewpier_peers::{OutgoingDatagram, ProxyId};
use dewpier_plan::RelayedMessage;
use dewpier_plan::io::RelayChannel;
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Rounds that wait to be taken by planners: what is older is said anew.
const ROUNDS: usize = 4;
/// Datagrams that wait to be taken in: one from each partner in a fleet of 10,000, several times over.
const WAITING: usize = 256;

/// One of the two.
pub(crate) enum Carries {
    /// Sockets.
    Udp(UdpTransport),
    /// Planners.
    Planners(ByPlanners),
}

/// By way of planners.
pub(crate) struct ByPlanners {
    out: mpsc::Sender<Vec<RelayedMessage>>,
    into: mpsc::Receiver<Vec<u8>>,
    /// The one that comes next, once it is known that there is one.
    next: Option<Vec<u8>>,
}

/// The two ends of what planners carry for a proxy of that name: the fleet's, and the one for who follows planners.
pub(crate) fn by_planners(me: ProxyId) -> (ByPlanners, RelayChannel) {
    let (out, written) = mpsc::channel(ROUNDS);
    let (came, into) = mpsc::channel(WAITING);
    (ByPlanners { out, into, next: None }, RelayChannel { sender: me.0, outgoing: written, incoming: came })
}

impl Carries {
    /// What a configuration says. Who can't have its socket does not start.
    pub async fn begin(carrier: &Carrier, planners: Option<ByPlanners>) -> Result<Self, ServeError> {
        match (carrier, planners) {
            (Carrier::Datagrams { listen, at }, _) => {
                let said = |error: io::Error| {
                    io::Error::new(error.kind(), format!("fleet.listen {listen}: {error}"))
                };
                let socket = UdpSocket::bind(listen).await.map_err(said)?;
                let at = at.iter().map(|(name, address)| (ProxyId::from_name(name), *address)).collect();
                Ok(Self::Udp(UdpTransport { socket, addresses: at }))
            }
            (Carrier::Planners, Some(planners)) => Ok(Self::Planners(planners)),
            // The configuration is refused before.
            (Carrier::Planners, None) => {
                Err(io::Error::new(io::ErrorKind::InvalidInput, "fleet.carrier: there are no planners")
                    .into())
            }
        }
    }
}

impl Transport for Carries {
    async fn ready(&mut self) -> io::Result<()> {
        match self {
            Self::Udp(udp) => udp.ready().await,
            Self::Planners(planners) => planners.ready().await,
        }
    }

    fn try_receive(&mut self, buffer: &mut [u8]) -> Option<(usize, Option<SocketAddr>)> {
        match self {
            Self::Udp(udp) => udp.try_receive(buffer),
            Self::Planners(planners) => planners.try_receive(buffer),
        }
    }

    fn send(&mut self, outs: Vec<OutgoingDatagram>) {
        match self {
            Self::Udp(udp) => udp.send(outs),
            Self::Planners(planners) => planners.send(outs),
        }
    }
}

impl Transport for ByPlanners {
    async fn ready(&mut self) -> io::Result<()> {
        if self.next.is_none() {
            self.next = self.into.recv().await;
        }
        match self.next {
            Some(_) => Ok(()),
            // Nobody follows planners any more: the process ends.
            None => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }

    fn try_receive(&mut self, buffer: &mut [u8]) -> Option<(usize, Option<SocketAddr>)> {
        let came = self.next.take().or_else(|| self.into.try_recv().ok())?;
        // What does not fit is no datagram, and its beginning is refused as such.
        let length = came.len().min(buffer.len());
        buffer[..length].copy_from_slice(&came[..length]);
        Some((length, None))
    }

    fn send(&mut self, outs: Vec<OutgoingDatagram>) {
        let letters = outs.into_iter().map(|out| RelayedMessage { to: out.to.0, bytes: out.bytes }).collect();
        let _ = self.out.try_send(letters); // the next round says it again
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rounds_go_out_by_number_and_what_comes_is_cut_where_it_is_too_long() {
        let (mut fleet, mut mail) = by_planners(ProxyId(7));
        assert_eq!(mail.sender, 7);
        for round in 0..10 {
            fleet.send(vec![OutgoingDatagram { to: ProxyId(9), bytes: vec![round] }]);
        }
        let first = mail.outgoing.try_recv().unwrap();
        assert_eq!(first, [RelayedMessage { to: 9, bytes: vec![0] }]);
        assert_eq!(
            std::iter::from_fn(|| mail.outgoing.try_recv().ok()).count(),
            ROUNDS - 1,
            "others are dropped"
        );
        let mut buffer = [0; 4];
        assert_eq!(fleet.try_receive(&mut buffer), None);
        mail.incoming.try_send(vec![5; 9]).unwrap();
        mail.incoming.try_send(vec![6; 2]).unwrap();
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        runtime.block_on(fleet.ready()).unwrap();
        runtime.block_on(fleet.ready()).unwrap();
        assert_eq!((fleet.try_receive(&mut buffer), buffer), (Some((4, None)), [5; 4]));
        assert_eq!(fleet.try_receive(&mut buffer), Some((2, None)));
        drop(mail);
        assert!(runtime.block_on(fleet.ready()).is_err());
    }
}
