//! Reads a server's response to its end. A response is buffered up to a limit, and streamed to the client beyond it.

use super::exchange_settings::ExchangeSettings;
use super::wire::{PacketStream, ReceiveError};
use crate::error::ErrPacket;
use crate::packet;
use crate::pinning::Pinning;
use crate::reply::{MAX_HEAD_BYTES, ResponseEnd, ResponseTracker};
use bytes::{Bytes, BytesMut};
use gannetproxy::engine::{Permit, ReplySink};
use std::cell::Cell;
use tokio::sync::mpsc;

/// Unit in bytes in which response buffers are counted, and in which responses are streamed.
const CHUNK_BYTES: usize = 16 << 10;
/// Chunks of a streamed response that may wait for the client.
const MAX_QUEUED_CHUNKS: usize = 4;

/// A server's response.
pub struct ServerResponse {
    /// The frames to send to the client.
    pub frames: Bytes,
    /// Sequence number of the next frame.
    pub next_sequence: u8,
    /// What follows the frames.
    pub remainder: Remainder,
    /// The part of the buffer budget that the frames occupy.
    pub(super) _permits: Vec<Permit>,
}

/// What follows the first frames of a response.
pub enum Remainder {
    /// Nothing: the end of the response, and the session's pinning after it.
    Complete(ResponseEnd, Pinning),
    /// More frames. The response is complete only if the last chunk is a [`ResponseChunk::End`].
    Streaming(mpsc::Receiver<ResponseChunk>),
}

/// A part of a streamed response.
pub enum ResponseChunk {
    /// Frames, and the sequence number of the next one.
    Frames(Bytes, u8),
    /// The end of the response, and the session's pinning after it.
    End(ResponseEnd, Pinning),
}

/// Why a response can't be read to its end.
pub(super) enum ReadFailure {
    /// The connection broke, or a packet violates the protocol.
    ConnectionBroken,
    /// A packet is longer than the limit.
    PacketTooLong,
    /// The client no longer accepts the response.
    NotConsumed,
}

impl From<ReceiveError> for ReadFailure {
    fn from(error: ReceiveError) -> Self {
        match error {
            ReceiveError::Frame(packet::FrameError::TooLong { .. }) => Self::PacketTooLong,
            _ => Self::ConnectionBroken,
        }
    }
}

/// A response that was read to its end.
pub(super) struct CompletedResponse {
    /// The frames that were not streamed yet.
    pub(super) frames: BytesMut,
    pub(super) next_sequence: u8,
    pub(super) permits: Vec<Permit>,
    pub(super) end: ResponseEnd,
    pub(super) has_insert_id_or_warnings: bool,
    /// Sender of the chunks, if the beginning was streamed.
    pub(super) chunk_sender: Option<mpsc::Sender<ResponseChunk>>,
}

impl ExchangeSettings {
    /// Reads a response to its end. Once it exceeds the buffer limit it is streamed through `reply_sink`, and
    /// `streaming_started` is set.
    pub(super) async fn read_response(
        &self,
        stream: &mut PacketStream,
        mut tracker: ResponseTracker,
        reply_sink: &ReplySink<ServerResponse>,
        streaming_started: &Cell<bool>,
    ) -> Result<CompletedResponse, ReadFailure> {
        let (mut frames, mut permits, mut chunk_sender) =
            (BytesMut::new(), Vec::new(), None::<mpsc::Sender<ResponseChunk>>);
        loop {
            let sequence = stream.sequence();
            let packet = match &chunk_sender {
                // Until the response is streamed, the engine's timer limits the wait.
                None => stream.next_packet().await?,
                Some(_) => stream.next_packet_within(self.response_stall_timeout).await?,
            };
            packet::write_packet(&mut frames, &packet, sequence);
            let head = packet.get(..MAX_HEAD_BYTES).unwrap_or(&packet);
            if let Some(end) =
                tracker.track_packet(head, packet.len()).map_err(|_| ReadFailure::ConnectionBroken)?
            {
                let (next_sequence, has_insert_id_or_warnings) =
                    (stream.sequence(), tracker.has_insert_id_or_warnings());
                return Ok(CompletedResponse {
                    frames,
                    next_sequence,
                    permits,
                    end,
                    has_insert_id_or_warnings,
                    chunk_sender,
                });
            }
            match &chunk_sender {
                Some(sender) if frames.len() >= CHUNK_BYTES => {
                    let chunk = ResponseChunk::Frames(frames.split().freeze(), stream.sequence());
                    // The receiver is dropped once the client makes no progress.
                    sender.send(chunk).await.map_err(|_| ReadFailure::NotConsumed)?;
                }
                Some(_) => {}
                None => {
                    while permits.len() * CHUNK_BYTES < frames.len() {
                        let Some(permit) = self.response_budget.try_acquire(CHUNK_BYTES) else { break };
                        permits.push(permit);
                    }
                    if frames.len() > self.max_buffered_bytes || permits.len() * CHUNK_BYTES < frames.len() {
                        let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
                        let (frames, next_sequence) = (frames.split().freeze(), stream.sequence());
                        let remainder = Remainder::Streaming(receiver);
                        let _permits = std::mem::take(&mut permits);
                        if !reply_sink.send(ServerResponse { frames, next_sequence, remainder, _permits }) {
                            return Err(ReadFailure::NotConsumed);
                        }
                        streaming_started.set(true);
                        chunk_sender = Some(sender);
                    }
                }
            }
        }
    }
}

/// A response that consists of an error of the proxy.
pub(super) fn error_response(error: &ErrPacket, pinning: Pinning) -> ServerResponse {
    let mut frames = BytesMut::new();
    let next_sequence = packet::write_packet(&mut frames, &error.encode(), 1);
    let remainder = Remainder::Complete(ResponseEnd::Error(error.code), pinning);
    ServerResponse { frames: frames.freeze(), next_sequence, remainder, _permits: Vec::new() }
}
