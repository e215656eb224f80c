//! A server's answer to its end: held up to a bound, and passed on past it as it comes.

use super::ways::Ways;
use super::wire::{Wire, WireError};
use crate::error::Error;
use crate::packet;
use crate::reply::{Ended, HEAD, Reply};
use crate::session::Hold;
use bytes::{Bytes, BytesMut};
use gannetproxy::engine::{Permit, ReplySink};
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Bytes of answers are counted, and passed on, in pieces of so many.
const PIECE: usize = 16 << 10;
/// Pieces that wait for the client, of an answer that is passed on as it comes.
const AHEAD: usize = 4;
/// Of such an answer more must come within this, and be taken.
pub(super) const GOES_ON_WITHIN: Duration = Duration::from_secs(60);

/// What a server answered.
pub struct Served {
    /// The frames, as they go to the client.
    pub frames: Bytes,
    /// The number of the frame that comes next.
    pub next: u8,
    /// What comes behind them.
    pub rest: Rest,
    /// Their part of what answers may take.
    pub(super) _room: Vec<Permit>,
}

/// What comes behind the first frames of an answer.
pub enum Rest {
    /// Nothing: how it ended, and what holds the session from there on.
    Over(Ended, Hold),
    /// More. It is whole only where it ends by [`Piece::Over`].
    Streams(mpsc::Receiver<Piece>),
}

/// A piece of an answer that is passed on as it comes.
pub enum Piece {
    /// Frames, and the number of the one that comes next.
    Frames(Bytes, u8),
    /// As [`Rest::Over`].
    Over(Ended, Hold),
}

/// Why an answer can't be followed to its end.
pub(super) enum Cut {
    /// The connection broke, or what came is no answer.
    Broken,
    /// A packet of it is longer than is carried.
    Long,
    /// It has begun to go out, and its client takes no more of it.
    Untaken,
}

impl From<WireError> for Cut {
    fn from(error: WireError) -> Self {
        match error {
            WireError::Frame(packet::FrameError::TooLong { .. }) => Self::Long,
            _ => Self::Broken,
        }
    }
}

/// An answer that has come to its end.
pub(super) struct Answered {
    /// Its frames, or what is left of them to pass on.
    pub(super) frames: BytesMut,
    pub(super) next: u8,
    pub(super) room: Vec<Permit>,
    pub(super) ended: Ended,
    pub(super) leaves: bool,
    /// Where its beginning went to.
    pub(super) to: Option<mpsc::Sender<Piece>>,
}

impl Ways {
    /// Reads an answer to its end. Past what is held it is passed on as it comes; `begun` then tells so.
    pub(super) async fn answer(
        &self,
        wire: &mut Wire,
        mut reply: Reply,
        begin: &ReplySink<Served>,
        begun: &Cell<bool>,
    ) -> Result<Answered, Cut> {
        let (mut frames, mut room, mut to) = (BytesMut::new(), Vec::new(), None::<mpsc::Sender<Piece>>);
        loop {
            let sequence = wire.sequence();
            let packet = match &to {
                // Before it begins the engine's own timer sees to it.
                None => wire.next().await?,
                Some(_) => timeout(GOES_ON_WITHIN, wire.next()).await.map_err(|_| Cut::Broken)??,
            };
            packet::write(&mut frames, &packet, sequence);
            let head = packet.get(..HEAD).unwrap_or(&packet);
            if let Some(ended) = reply.packet(head, packet.len()).map_err(|_| Cut::Broken)? {
                let (next, leaves) = (wire.sequence(), reply.leaves());
                return Ok(Answered { frames, next, room, ended, leaves, to });
            }
            match &to {
                Some(to) if frames.len() >= PIECE => {
                    let piece = Piece::Frames(frames.split().freeze(), wire.sequence());
                    let taken = timeout(GOES_ON_WITHIN, to.send(piece)).await;
                    if !matches!(taken, Ok(Ok(()))) {
                        return Err(Cut::Untaken);
                    }
                }
                Some(_) => {}
                None => {
                    while room.len() * PIECE < frames.len() {
                        let Some(permit) = self.response_budget.try_acquire(PIECE) else { break };
                        room.push(permit);
                    }
                    if frames.len() > self.max_buffered_bytes || room.len() * PIECE < frames.len() {
                        let (sender, receiver) = mpsc::channel(AHEAD);
                        let (frames, next) = (frames.split().freeze(), wire.sequence());
                        let rest = Rest::Streams(receiver);
                        let _room = std::mem::take(&mut room);
                        if !begin.send(Served { frames, next, rest, _room }) {
                            return Err(Cut::Untaken);
                        }
                        begun.set(true);
                        to = Some(sender);
                    }
                }
            }
        }
    }
}

/// An answer of one error of our own.
pub(super) fn worded(error: &Error, hold: Hold) -> Served {
    let mut frames = BytesMut::new();
    let next = packet::write(&mut frames, &error.packet(), 1);
    let rest = Rest::Over(Ended::Error(error.number), hold);
    Served { frames: frames.freeze(), next, rest, _room: Vec::new() }
}
