//! Encodes and reads packets in the frames of the protocol: a length of three bytes, low byte first, a sequence number,
//! and the payload. A frame of the maximum length is continued by the next one ("MySQL Packets" in MySQL's internals
//! manual).

use bytes::{Buf, BytesMut};
use thiserror::Error;

/// Length of a frame header.
pub const HEADER_BYTES: usize = 4;
/// Longest payload of a frame. A payload of this length is continued by the next frame.
pub const MAX_FRAME_PAYLOAD_BYTES: usize = 0xff_ffff;

/// Why received frames are not a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// A frame has the wrong sequence number.
    #[error("sequence number: expected {expected}, found {found}")]
    OutOfOrder {
        /// Sequence number expected.
        expected: u8,
        /// Sequence number found.
        found: u8,
    },
    /// A packet is longer than the reader accepts.
    #[error("packet: expected at most {max_bytes} bytes, found {found} or more")]
    TooLong {
        /// Maximum length in bytes.
        max_bytes: usize,
        /// Length in bytes of the frames so far.
        found: usize,
    },
}

/// The header of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHeader {
    /// Length of the payload in bytes.
    pub length: usize,
    /// Sequence number within the exchange.
    pub sequence: u8,
}

impl FrameHeader {
    /// Parses a header.
    pub fn parse(bytes: [u8; HEADER_BYTES]) -> Self {
        let [a, b, c, sequence] = bytes;
        Self { length: usize::from(a) | usize::from(b) << 8 | usize::from(c) << 16, sequence }
    }

    /// Encodes the header. A length over [`MAX_FRAME_PAYLOAD_BYTES`] is reduced to it.
    pub fn encode(self) -> [u8; HEADER_BYTES] {
        let length = self.length.min(MAX_FRAME_PAYLOAD_BYTES);
        [length as u8, (length >> 8) as u8, (length >> 16) as u8, self.sequence]
    }
}

/// Assembles packets of limited length from frames.
#[derive(Debug)]
pub struct PacketReader {
    sequence: u8,
    max_bytes: usize,
    /// Payload so far of a packet that is continued.
    partial: BytesMut,
}

impl PacketReader {
    /// A reader of packets of at most `max_bytes`, whose first frame has sequence number 0.
    pub fn new(max_bytes: usize) -> Self {
        Self { sequence: 0, max_bytes, partial: BytesMut::new() }
    }

    /// Sequence number of the next frame in either direction.
    pub fn sequence(&self) -> u8 {
        self.sequence
    }

    /// Sets the sequence number of the next frame, after frames were sent or before a new exchange.
    pub fn set_sequence(&mut self, sequence: u8) {
        self.sequence = sequence;
    }

    /// Changes the longest packet that is accepted.
    pub fn set_max_bytes(&mut self, max_bytes: usize) {
        self.max_bytes = max_bytes;
    }

    /// Removes the next complete packet from `buffer`, if there is one. After an error the stream is unusable.
    pub fn next_packet(&mut self, buffer: &mut BytesMut) -> Result<Option<BytesMut>, FrameError> {
        while let Some(header) = buffer.first_chunk::<HEADER_BYTES>().map(|bytes| FrameHeader::parse(*bytes))
        {
            if header.sequence != self.sequence {
                return Err(FrameError::OutOfOrder { expected: self.sequence, found: header.sequence });
            }
            let found = self.partial.len() + header.length;
            // Checked before the payload arrives, so that a false length can't make the buffer grow.
            if found > self.max_bytes {
                return Err(FrameError::TooLong { max_bytes: self.max_bytes, found });
            }
            if buffer.len() < HEADER_BYTES + header.length {
                return Ok(None);
            }
            buffer.advance(HEADER_BYTES);
            let payload = buffer.split_to(header.length);
            self.sequence = self.sequence.wrapping_add(1);
            if header.length == MAX_FRAME_PAYLOAD_BYTES {
                self.partial.unsplit(payload);
                continue;
            }
            if self.partial.is_empty() {
                return Ok(Some(payload));
            }
            self.partial.unsplit(payload);
            return Ok(Some(self.partial.split()));
        }
        Ok(None)
    }
}

/// Appends a packet in frames that are numbered from `sequence` on. Returns the sequence number after the last frame.
pub fn write_packet(out: &mut BytesMut, payload: &[u8], mut sequence: u8) -> u8 {
    let mut rest = payload;
    loop {
        let (frame_payload, after) = rest.split_at(rest.len().min(MAX_FRAME_PAYLOAD_BYTES));
        out.extend_from_slice(&FrameHeader { length: frame_payload.len(), sequence }.encode());
        out.extend_from_slice(frame_payload);
        sequence = sequence.wrapping_add(1);
        // A payload whose length is a multiple of the maximum ends with an empty frame.
        if frame_payload.len() < MAX_FRAME_PAYLOAD_BYTES {
            return sequence;
        }
        rest = after;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn packets_of_all_lengths_are_reassembled_from_any_fragments() {
        for length in [
            0,
            1,
            5,
            300,
            MAX_FRAME_PAYLOAD_BYTES - 1,
            MAX_FRAME_PAYLOAD_BYTES,
            MAX_FRAME_PAYLOAD_BYTES + 1,
            2 * MAX_FRAME_PAYLOAD_BYTES,
            2 * MAX_FRAME_PAYLOAD_BYTES + 7,
        ] {
            let payload: Vec<u8> = (0..length).map(|i| (i % 251) as u8).collect();
            let mut written = BytesMut::new();
            let next_sequence = write_packet(&mut written, &payload, 250);
            assert_eq!(usize::from(next_sequence.wrapping_sub(250)), 1 + length / MAX_FRAME_PAYLOAD_BYTES);
            let (mut reader, mut buffer) = (PacketReader::new(usize::MAX), BytesMut::new());
            reader.set_sequence(250);
            for fragment in written.chunks(if length < 1000 { 1 } else { 1 << 20 }) {
                assert_eq!(reader.next_packet(&mut buffer).unwrap(), None);
                buffer.extend_from_slice(fragment);
            }
            assert!(reader.next_packet(&mut buffer).unwrap().unwrap() == payload, "{length}");
            assert_eq!((reader.sequence(), buffer.len()), (next_sequence, 0));
        }
    }

    #[test]
    fn frames_out_of_order_or_too_long_are_rejected_before_their_payload() {
        let mut reader = PacketReader::new(10);
        let next = |reader: &mut PacketReader, bytes: &[u8]| reader.next_packet(&mut BytesMut::from(bytes));
        assert_eq!(
            next(&mut reader, &[1, 0, 0, 1, 7]),
            Err(FrameError::OutOfOrder { expected: 0, found: 1 })
        );
        assert_eq!(next(&mut reader, &[11, 0, 0, 0]), Err(FrameError::TooLong { max_bytes: 10, found: 11 }));
        let mut two_frames = BytesMut::new();
        write_packet(&mut two_frames, &vec![0; MAX_FRAME_PAYLOAD_BYTES + 5], 0);
        reader.set_max_bytes(MAX_FRAME_PAYLOAD_BYTES);
        assert_eq!(
            reader.next_packet(&mut two_frames),
            Err(FrameError::TooLong {
                max_bytes: MAX_FRAME_PAYLOAD_BYTES,
                found: MAX_FRAME_PAYLOAD_BYTES + 5
            })
        );
    }
}
