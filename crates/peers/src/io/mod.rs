//! Datagrams over UDP: a thin shell round the core.

use crate::{Carried, MOST_BYTES, Name, Now, Peers, Refused};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// What is refused is told at most this often, with the counts.
const TOLD_EVERY: Duration = Duration::from_secs(10);
/// Datagrams that are read before others get their turn.
const AT_ONCE: usize = 64;

/// Sends and receives until it is dropped. `with` lends the core and what it carries, for one step that does not
/// wait. `at` has the addresses of the others, `now` is the clock of all cores of this process.
pub async fn run(
    socket: UdpSocket,
    at: HashMap<Name, SocketAddr>,
    every: Duration,
    now: impl Fn() -> Now,
    with: impl Fn(&mut dyn FnMut(&mut Peers, &mut [&mut dyn Carried])),
) -> io::Error {
    let mut rounds = tokio::time::interval(every);
    rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut told: Option<Instant> = None;
    let mut buffer = [0; MOST_BYTES + 1];
    loop {
        tokio::select! {
            ready = socket.readable() => {
                if let Err(error) = ready {
                    return error;
                }
                for _ in 0..AT_ONCE {
                    // Who was written to and does not listen shows as an error here: that is no fault of ours.
                    let Ok((length, from)) = socket.try_recv_from(&mut buffer) else { break };
                    let mut refused = None;
                    with(&mut |peers, carried| refused = peers.hear(&buffer[..length], now(), carried).err());
                    let Some(why) = refused.filter(|why| !matches!(why, Refused::Unasked | Refused::Doubled)) else {
                        continue;
                    };
                    if told.is_none_or(|at| at.elapsed() >= TOLD_EVERY) {
                        told = Some(Instant::now());
                        tracing::warn!(%from, length, %why, "a datagram is refused; further ones are counted");
                    }
                }
            }
            _ = rounds.tick() => {
                let mut outs = Vec::new();
                with(&mut |peers, carried| outs = peers.round(now(), carried));
                for out in outs {
                    if let Some(address) = at.get(&out.to) {
                        // Lost, as datagrams are: the next round says it again.
                        let _ = socket.try_send_to(&out.bytes, *address);
                    }
                }
            }
        }
    }
}
