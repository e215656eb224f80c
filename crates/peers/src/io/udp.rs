//! Sends and receives datagrams over UDP.

use super::Transport;
use crate::{OutgoingDatagram, ProxyId};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// A UDP socket and the addresses of the other proxies.
#[derive(Debug)]
pub struct UdpTransport {
    /// The socket that datagrams are received on and sent from.
    pub socket: UdpSocket,
    /// The addresses that the other proxies listen at.
    pub addresses: HashMap<ProxyId, SocketAddr>,
}

impl Transport for UdpTransport {
    async fn ready(&mut self) -> io::Result<()> {
        self.socket.readable().await
    }

    fn try_receive(&mut self, buffer: &mut [u8]) -> Option<(usize, Option<SocketAddr>)> {
        // An error here reports a peer that does not listen, not a fault of this socket.
        self.socket.try_recv_from(buffer).ok().map(|(length, from)| (length, Some(from)))
    }

    fn send(&mut self, datagrams: Vec<OutgoingDatagram>) {
        for datagram in datagrams {
            if let Some(address) = self.addresses.get(&datagram.to) {
                let _ = self.socket.try_send_to(&datagram.bytes, *address);
            }
        }
    }
}
