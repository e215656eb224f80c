//! Reads and writes the parts of packets: integers of fixed length and length-encoded integers, null-terminated and
//! length-encoded strings ("Integer Types" and "String Types" in MySQL's internals manual).

use bytes::{BufMut, BytesMut};
use thiserror::Error;

/// A packet ends too early, or a part of it is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{packet}: expected {expected}, found {remaining_bytes} bytes more")]
pub struct MalformedPacket {
    /// The kind of packet.
    pub packet: &'static str,
    /// The part that was expected.
    pub expected: &'static str,
    /// Bytes left in the packet.
    pub remaining_bytes: usize,
}

/// Reads the parts of a packet in order.
#[derive(Clone, Copy, Debug)]
pub struct FieldReader<'a> {
    packet: &'static str,
    remaining: &'a [u8],
}

impl<'a> FieldReader<'a> {
    /// A reader of a packet, which errors call `packet`.
    pub fn new(packet: &'static str, bytes: &'a [u8]) -> Self {
        Self { packet, remaining: bytes }
    }

    /// The bytes that were not read yet.
    pub fn remaining(&self) -> &'a [u8] {
        self.remaining
    }

    fn malformed(&self, expected: &'static str) -> MalformedPacket {
        MalformedPacket { packet: self.packet, expected, remaining_bytes: self.remaining.len() }
    }

    /// Reads `count` bytes.
    pub fn read_bytes(&mut self, count: usize, expected: &'static str) -> Result<&'a [u8], MalformedPacket> {
        let (part, remaining) = self.remaining.split_at_checked(count).ok_or(self.malformed(expected))?;
        self.remaining = remaining;
        Ok(part)
    }

    /// Reads one byte.
    pub fn read_u8(&mut self, expected: &'static str) -> Result<u8, MalformedPacket> {
        self.read_bytes(1, expected).map(|part| part[0])
    }

    /// Reads a little-endian integer of `count` bytes, at most eight.
    pub fn read_fixed_int(&mut self, count: usize, expected: &'static str) -> Result<u64, MalformedPacket> {
        let part = self.read_bytes(count, expected)?;
        Ok(part.iter().rev().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
    }

    /// Reads a length-encoded integer.
    pub fn read_lenenc_int(&mut self, expected: &'static str) -> Result<u64, MalformedPacket> {
        let (width, value) = decode_lenenc_int(self.remaining).ok_or(self.malformed(expected))?;
        self.remaining = &self.remaining[width..];
        Ok(value)
    }

    /// Reads a length-encoded string.
    pub fn read_lenenc_string(&mut self, expected: &'static str) -> Result<&'a [u8], MalformedPacket> {
        let length = self.read_lenenc_int(expected)?;
        self.read_bytes(usize::try_from(length).unwrap_or(usize::MAX), expected)
    }

    /// Reads a null-terminated string, without its terminator.
    pub fn read_null_terminated(&mut self, expected: &'static str) -> Result<&'a [u8], MalformedPacket> {
        let end = self.remaining.iter().position(|byte| *byte == 0).ok_or(self.malformed(expected))?;
        let part = self.read_bytes(end, expected)?;
        self.read_bytes(1, expected)?;
        Ok(part)
    }
}

/// Decodes a length-encoded integer. Returns its encoded length in bytes and its value.
pub(crate) fn decode_lenenc_int(bytes: &[u8]) -> Option<(usize, u64)> {
    let decode_wide = |n: usize| {
        let bytes = bytes.get(1..=n)?;
        Some((n + 1, bytes.iter().rev().fold(0, |sum, byte| sum << 8 | u64::from(*byte))))
    };
    match bytes.first()? {
        n @ 0..=0xfa => Some((1, u64::from(*n))),
        0xfc => decode_wide(2),
        0xfd => decode_wide(3),
        0xfe => decode_wide(8),
        _ => None,
    }
}

/// Appends a length-encoded integer.
pub fn put_lenenc_int(out: &mut BytesMut, value: u64) {
    match value {
        0..=0xfa => out.put_u8(value as u8),
        0xfb..=0xffff => {
            out.put_u8(0xfc);
            out.put_u16_le(value as u16);
        }
        0x1_0000..=0xff_ffff => {
            out.put_u8(0xfd);
            out.put_uint_le(value, 3);
        }
        _ => {
            out.put_u8(0xfe);
            out.put_u64_le(value);
        }
    }
}

/// Appends a length-encoded string.
pub fn put_lenenc_string(out: &mut BytesMut, part: &[u8]) {
    put_lenenc_int(out, part.len() as u64);
    out.put_slice(part);
}

/// Appends a null-terminated string. Zero bytes in the string are omitted, as they would end it.
pub fn put_null_terminated(out: &mut BytesMut, part: &[u8]) {
    part.iter().filter(|byte| **byte != 0).for_each(|byte| out.put_u8(*byte));
    out.put_u8(0);
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn integers_round_trip_at_every_width_and_truncated_ones_are_rejected() {
        for value in [0, 1, 250, 251, 252, 65_535, 65_536, 0xff_ffff, 0x100_0000, u64::MAX] {
            let mut out = BytesMut::new();
            put_lenenc_int(&mut out, value);
            assert_eq!(FieldReader::new("a", &out).read_lenenc_int("b"), Ok(value));
            let truncated = &out[..out.len() - 1];
            let malformed = MalformedPacket { packet: "a", expected: "b", remaining_bytes: truncated.len() };
            assert_eq!(FieldReader::new("a", truncated).read_lenenc_int("b"), Err(malformed), "{value}");
        }
        // A string that is shorter than its encoded length is rejected.
        let overlong = [0xfe, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, b'x'];
        assert!(FieldReader::new("a", &overlong).read_lenenc_string("b").is_err());
    }
}
