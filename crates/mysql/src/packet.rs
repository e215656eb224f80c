//! Packets as the protocol frames them: a length of three bytes, low byte first, a sequence number, and the
//! payload. One of 16 MiB less a byte is continued by the next (MySQL's internals manual, "MySQL Packets").

use bytes::{Buf, BytesMut};
use thiserror::Error;

/// Bytes of the header.
pub const HEADER: usize = 4;
/// The longest payload of one frame: one of this length is continued.
pub const FULL: usize = 0xff_ffff;

/// Why what came is no packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The frames of an exchange are numbered without gaps.
    #[error("sequence number: expected {expected}, found {found}")]
    OutOfOrder {
        /// The number that was due,
        expected: u8,
        /// and the one that came.
        found: u8,
    },
    /// It is longer than its reader takes.
    #[error("packet: expected at most {most} bytes, found {found} or more")]
    TooLong {
        /// The bound.
        most: usize,
        /// What it says, so far.
        found: usize,
    },
}

/// The header of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Bytes of the payload.
    pub length: usize,
    /// Its number in the exchange.
    pub sequence: u8,
}

impl Header {
    /// Of these bytes.
    pub fn read(bytes: [u8; HEADER]) -> Self {
        let [a, b, c, sequence] = bytes;
        Self { length: usize::from(a) | usize::from(b) << 8 | usize::from(c) << 16, sequence }
    }

    /// As bytes. A length over [`FULL`] is cut to it.
    pub fn write(self) -> [u8; HEADER] {
        let length = self.length.min(FULL);
        [length as u8, (length >> 8) as u8, (length >> 16) as u8, self.sequence]
    }
}

/// Puts frames together to packets, each whole, up to a bound.
#[derive(Debug)]
pub struct Packets {
    sequence: u8,
    most: usize,
    /// What came of a packet that is continued.
    begun: BytesMut,
}

impl Packets {
    /// A reader that takes packets of so many bytes at most. The first frame has number 0.
    pub fn new(most: usize) -> Self {
        Self { sequence: 0, most, begun: BytesMut::new() }
    }

    /// The number that the next frame has, from either side.
    pub fn sequence(&self) -> u8 {
        self.sequence
    }

    /// Another exchange begins, or the other side has sent frames: that number is next.
    pub fn expect(&mut self, sequence: u8) {
        self.sequence = sequence;
    }

    /// From now on packets of so many bytes at most.
    pub fn bound(&mut self, most: usize) {
        self.most = most;
    }

    /// The next whole packet of what was read, if it is there. What belongs to it is taken out of `read`.
    /// After an error the stream can't be followed any more.
    pub fn next(&mut self, read: &mut BytesMut) -> Result<Option<BytesMut>, FrameError> {
        while let Some(header) = read.first_chunk::<HEADER>().map(|bytes| Header::read(*bytes)) {
            if header.sequence != self.sequence {
                return Err(FrameError::OutOfOrder { expected: self.sequence, found: header.sequence });
            }
            let found = self.begun.len() + header.length;
            // Before it is waited for: a length is a claim, and costs who makes it nothing.
            if found > self.most {
                return Err(FrameError::TooLong { most: self.most, found });
            }
            if read.len() < HEADER + header.length {
                return Ok(None);
            }
            read.advance(HEADER);
            let payload = read.split_to(header.length);
            self.sequence = self.sequence.wrapping_add(1);
            if header.length == FULL {
                self.begun.unsplit(payload);
                continue;
            }
            if self.begun.is_empty() {
                return Ok(Some(payload));
            }
            self.begun.unsplit(payload);
            return Ok(Some(self.begun.split()));
        }
        Ok(None)
    }
}

/// Appends a packet in frames from that number on. Returns the number after its last frame.
pub fn write(out: &mut BytesMut, payload: &[u8], mut sequence: u8) -> u8 {
    let mut rest = payload;
    loop {
        let (frame, after) = rest.split_at(rest.len().min(FULL));
        out.extend_from_slice(&Header { length: frame.len(), sequence }.write());
        out.extend_from_slice(frame);
        sequence = sequence.wrapping_add(1);
        // One whose length is a multiple ends with an empty frame.
        if frame.len() < FULL {
            return sequence;
        }
        rest = after;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn packets_of_all_lengths_come_back_however_they_arrive() {
        for length in [0, 1, 5, 300, FULL - 1, FULL, FULL + 1, 2 * FULL, 2 * FULL + 7] {
            let payload: Vec<u8> = (0..length).map(|i| (i % 251) as u8).collect();
            let mut written = BytesMut::new();
            let after = write(&mut written, &payload, 250);
            assert_eq!(usize::from(after.wrapping_sub(250)), 1 + length / FULL);
            let (mut packets, mut read) = (Packets::new(usize::MAX), BytesMut::new());
            packets.expect(250);
            for piece in written.chunks(if length < 1000 { 1 } else { 1 << 20 }) {
                assert_eq!(packets.next(&mut read).unwrap(), None);
                read.extend_from_slice(piece);
            }
            assert!(packets.next(&mut read).unwrap().unwrap() == payload, "{length}");
            assert_eq!((packets.sequence(), read.len()), (after, 0));
        }
    }

    #[test]
    fn what_is_out_of_order_or_too_long_is_refused_before_it_is_waited_for() {
        let mut packets = Packets::new(10);
        let next = |packets: &mut Packets, bytes: &[u8]| packets.next(&mut BytesMut::from(bytes));
        assert_eq!(
            next(&mut packets, &[1, 0, 0, 1, 7]),
            Err(FrameError::OutOfOrder { expected: 0, found: 1 })
        );
        assert_eq!(next(&mut packets, &[11, 0, 0, 0]), Err(FrameError::TooLong { most: 10, found: 11 }));
        let mut two = BytesMut::new();
        write(&mut two, &vec![0; FULL + 5], 0);
        packets.bound(FULL);
        assert_eq!(packets.next(&mut two), Err(FrameError::TooLong { most: FULL, found: FULL + 5 }));
    }
}
