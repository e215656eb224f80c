//! Drives [`Peers`]: sends its datagrams at a fixed interval and feeds it those that a transport receives.

mod udp;

pub use udp::UdpTransport;

use crate::{DatagramRejection, MAX_DATAGRAM_BYTES, MonotonicTime, OutgoingDatagram, Peers, TopicHandler};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The shortest time between two log lines about rejected datagrams.
const REJECTION_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// The number of datagrams read before other tasks run.
const MAX_DATAGRAMS_PER_WAKEUP: usize = 64;

/// Moves datagrams between processes, without any guarantee: each may be lost, delayed, duplicated, reordered, changed
/// or forged. [`Peers`] detects that.
pub trait Transport {
    /// Waits until a datagram may have arrived. Cancelling it loses nothing. An error is permanent.
    fn ready(&mut self) -> impl Future<Output = io::Result<()>>;

    /// Copies the next received datagram into the buffer. Returns its length, and its sender's address if known.
    fn try_receive(&mut self, buffer: &mut [u8]) -> Option<(usize, Option<SocketAddr>)>;

    /// Sends a round of datagrams. Those that can't be sent at once are dropped: the next round repeats their content.
    fn send(&mut self, datagrams: Vec<OutgoingDatagram>);
}

/// Sends and receives until it is cancelled or the transport fails, and returns the transport's error. `with_peers`
/// gives access to [`Peers`] and its handlers for one step that does not wait. `now` reads the clock that all
/// [`Peers`] of this process share.
pub async fn run(
    mut transport: impl Transport,
    send_interval: Duration,
    now: impl Fn() -> MonotonicTime,
    with_peers: impl Fn(&mut dyn FnMut(&mut Peers, &mut [&mut dyn TopicHandler])),
) -> io::Error {
    let mut rounds = tokio::time::interval(send_interval);
    rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last_logged: Option<Instant> = None;
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        tokio::select! {
            ready = transport.ready() => {
                if let Err(error) = ready {
                    return error;
                }
                for _ in 0..MAX_DATAGRAMS_PER_WAKEUP {
                    let Some((length, from)) = transport.try_receive(&mut buffer) else { break };
                    let mut rejection = None;
                    with_peers(&mut |peers, handlers| {
                        rejection = peers.receive(&buffer[..length], now(), handlers).err()
                    });
                    let Some(reason) = rejection.filter(|reason| {
                        !matches!(reason, DatagramRejection::Unasked | DatagramRejection::Doubled)
                    }) else {
                        continue;
                    };
                    if last_logged.is_none_or(|at| at.elapsed() >= REJECTION_LOG_INTERVAL) {
                        last_logged = Some(Instant::now());
                        tracing::warn!(?from, length, %reason, "rejected a datagram; rejections are logged at most every 10 s");
                    }
                }
            }
            _ = rounds.tick() => {
                let mut datagrams = Vec::new();
                with_peers(&mut |peers, handlers| datagrams = peers.write_round(now(), handlers));
                transport.send(datagrams);
            }
        }
    }
}
