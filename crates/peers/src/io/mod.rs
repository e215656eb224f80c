//! Datagrams on their way: a thin shell round the core, over whatever carries them.

mod udp;

pub use udp::UdpTransport;

use crate::{DatagramRejection, MAX_DATAGRAM_BYTES, MonotonicTime, OutgoingDatagram, Peers, TopicHandler};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What is refused is told at most this often, with the counts.
const TOLD_EVERY: Duration = Duration::from_secs(10);
/// Datagrams that are read before others get their turn.
const AT_ONCE: usize = 64;

/// What carries datagrams from process to process. It promises nothing: each may be lost, late, doubled, out of order,
/// changed or made up, and the core is what tells.
pub trait Transport {
    /// Waits until something may have come. Nothing is lost if it is dropped before. An error ends it for good.
    fn ready(&mut self) -> impl Future<Output = io::Result<()>>;

    /// Puts what has come next into the buffer: how long it is, and whence it came, where that is known.
    fn try_receive(&mut self, buffer: &mut [u8]) -> Option<(usize, Option<SocketAddr>)>;

    /// Sends a round of datagrams. What there is no room for is lost: the next round says it again.
    fn send(&mut self, outs: Vec<OutgoingDatagram>);
}

/// Sends and receives until it is dropped. `with` lends the core and what it carries, for one step that does not
/// wait. `now` is the clock of all cores of this process.
pub async fn run(
    mut way: impl Transport,
    every: Duration,
    now: impl Fn() -> MonotonicTime,
    with: impl Fn(&mut dyn FnMut(&mut Peers, &mut [&mut dyn TopicHandler])),
) -> io::Error {
    let mut rounds = tokio::time::interval(every);
    rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut told: Option<Instant> = None;
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        tokio::select! {
            ready = way.ready() => {
                if let Err(error) = ready {
                    return error;
                }
                for _ in 0..AT_ONCE {
                    let Some((length, from)) = way.try_receive(&mut buffer) else { break };
                    let mut refused = None;
                    with(&mut |peers, carried| refused = peers.receive(&buffer[..length], now(), carried).err());
                    let Some(why) = refused.filter(|why| !matches!(why, DatagramRejection::Unasked | DatagramRejection::Doubled)) else {
                        continue;
                    };
                    if told.is_none_or(|at| at.elapsed() >= TOLD_EVERY) {
                        told = Some(Instant::now());
                        tracing::warn!(?from, length, %why, "a datagram is refused; further ones are counted");
                    }
                }
            }
            _ = rounds.tick() => {
                let mut outs = Vec::new();
                with(&mut |peers, carried| outs = peers.write_round(now(), carried));
                way.send(outs);
            }
        }
    }
}
