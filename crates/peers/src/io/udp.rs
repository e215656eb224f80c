//! Datagrams over UDP, by address.

use super::Transport;
use crate::{OutgoingDatagram, ProxyId};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// A socket, and where the others listen.
#[derive(Debug)]
pub struct UdpTransport {
    /// Where datagrams come.
    pub socket: UdpSocket,
    /// The addresses of the others.
    pub addresses: HashMap<ProxyId, SocketAddr>,
}

impl Transport for UdpTransport {
    async fn ready(&mut self) -> io::Result<()> {
        self.socket.readable().await
    }

    fn try_receive(&mut self, buffer: &mut [u8]) -> Option<(usize, Option<SocketAddr>)> {
        // Who was written to and does not listen shows as an error here: that is no fault of ours.
        self.socket.try_recv_from(buffer).ok().map(|(length, from)| (length, Some(from)))
    }

    fn send(&mut self, outs: Vec<OutgoingDatagram>) {
        for out in outs {
            if let Some(address) = self.addresses.get(&out.to) {
                let _ = self.socket.try_send_to(&out.bytes, *address);
            }
        }
    }
}
