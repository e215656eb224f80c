//! The parts of packets: integers of fixed and of variable length, strings with an end and with a length
//! ("Integer Types" and "String Types" in MySQL's internals manual). Nothing is read that is not there.

use bytes::{BufMut, BytesMut};
use thiserror::Error;

/// A packet ends before its parts do, or a part is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{packet}: expected {expected}, found {left} bytes more")]
pub struct Short {
    /// The packet.
    pub packet: &'static str,
    /// The part that is missing.
    pub expected: &'static str,
    /// The bytes that are left of it.
    pub left: usize,
}

/// Takes a packet apart from its beginning on.
#[derive(Clone, Copy, Debug)]
pub struct Fields<'a> {
    packet: &'static str,
    rest: &'a [u8],
}

impl<'a> Fields<'a> {
    /// Of a packet, which is called so where it is told of.
    pub fn of(packet: &'static str, bytes: &'a [u8]) -> Self {
        Self { packet, rest: bytes }
    }

    /// What is left.
    pub fn rest(&self) -> &'a [u8] {
        self.rest
    }

    fn short(&self, expected: &'static str) -> Short {
        Short { packet: self.packet, expected, left: self.rest.len() }
    }

    /// So many bytes.
    pub fn bytes(&mut self, count: usize, expected: &'static str) -> Result<&'a [u8], Short> {
        let (part, rest) = self.rest.split_at_checked(count).ok_or(self.short(expected))?;
        self.rest = rest;
        Ok(part)
    }

    /// One byte.
    pub fn one(&mut self, expected: &'static str) -> Result<u8, Short> {
        self.bytes(1, expected).map(|part| part[0])
    }

    /// An integer of so many bytes, eight at most, the low one first.
    pub fn fixed(&mut self, count: usize, expected: &'static str) -> Result<u64, Short> {
        let part = self.bytes(count, expected)?;
        Ok(part.iter().rev().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
    }

    /// An integer of variable length.
    pub fn integer(&mut self, expected: &'static str) -> Result<u64, Short> {
        let (bytes, value) = integer(self.rest).ok_or(self.short(expected))?;
        self.rest = &self.rest[bytes..];
        Ok(value)
    }

    /// A string with its length in front.
    pub fn counted(&mut self, expected: &'static str) -> Result<&'a [u8], Short> {
        let length = self.integer(expected)?;
        self.bytes(usize::try_from(length).unwrap_or(usize::MAX), expected)
    }

    /// A string that ends with a zero, which is not part of it.
    pub fn ended(&mut self, expected: &'static str) -> Result<&'a [u8], Short> {
        let end = self.rest.iter().position(|byte| *byte == 0).ok_or(self.short(expected))?;
        let part = self.bytes(end, expected)?;
        self.bytes(1, expected)?;
        Ok(part)
    }
}

/// The bytes that an integer of variable length takes, and its value.
pub(crate) fn integer(bytes: &[u8]) -> Option<(usize, u64)> {
    let wide = |n: usize| {
        let bytes = bytes.get(1..=n)?;
        Some((n + 1, bytes.iter().rev().fold(0, |sum, byte| sum << 8 | u64::from(*byte))))
    };
    match bytes.first()? {
        n @ 0..=0xfa => Some((1, u64::from(*n))),
        0xfc => wide(2),
        0xfd => wide(3),
        0xfe => wide(8),
        _ => None,
    }
}

/// Appends an integer of variable length.
pub fn put_integer(out: &mut BytesMut, value: u64) {
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

/// Appends a string with its length in front.
pub fn put_counted(out: &mut BytesMut, part: &[u8]) {
    put_integer(out, part.len() as u64);
    out.put_slice(part);
}

/// Appends a string and a zero. Zeros in it would end it early: they are left out.
pub fn put_ended(out: &mut BytesMut, part: &[u8]) {
    part.iter().filter(|byte| **byte != 0).for_each(|byte| out.put_u8(*byte));
    out.put_u8(0);
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn integers_come_back_at_every_width_and_cut_ones_are_told() {
        for value in [0, 1, 250, 251, 252, 65_535, 65_536, 0xff_ffff, 0x100_0000, u64::MAX] {
            let mut out = BytesMut::new();
            put_integer(&mut out, value);
            assert_eq!(Fields::of("a", &out).integer("b"), Ok(value));
            let cut = &out[..out.len() - 1];
            let short = Short { packet: "a", expected: "b", left: cut.len() };
            assert_eq!(Fields::of("a", cut).integer("b"), Err(short), "{value}");
        }
        // A length is a claim: nothing is taken for it that is not there.
        let lies = [0xfe, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, b'x'];
        assert!(Fields::of("a", &lies).counted("b").is_err());
    }
}
