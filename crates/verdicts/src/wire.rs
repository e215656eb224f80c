//! Encodes and decodes the evidence that one proxy has on one node. All numbers are big-endian; counts are scaled to a
//! byte.

use crate::{AttemptCounts, Claim, Kind, NodeId, WINDOW_PARTS, WindowPart};

/// The length of an encoded entry.
pub const ENTRY_BYTES: usize = 22 + WINDOW_PARTS;

/// The evidence of one proxy on one node. Proxies send only their own evidence and forward no other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvidenceEntry {
    /// Incremented by the sender with each payload.
    pub version: u32,
    /// The hash of the sender's zone.
    pub zone: u16,
    /// The node that the evidence is on.
    pub node: NodeId,
    /// The sender's attempts by outcome.
    pub counts: AttemptCounts,
    /// The same attempts by part of the window, the youngest part first.
    pub parts: [WindowPart; WINDOW_PARTS],
    /// The fraction of the sender's attempts at other nodes that went wrong, in 255ths.
    pub bad_elsewhere_255ths: u8,
    /// The verdict that the sender holds on the node, with the age of the latest evidence for it in units of
    /// [`CLAIM_AGE_UNIT_MS`], at most [`MAX_CLAIM_AGE`].
    pub claim: Option<(Claim, u16)>,
}

/// The largest age of a claim in units of [`CLAIM_AGE_UNIT_MS`]: 163 s.
pub const MAX_CLAIM_AGE: u16 = 0x1ffe;
/// The resolution of the age of a claim.
pub const CLAIM_AGE_UNIT_MS: u64 = 20;
/// Set for a severe claim. The next two bits hold the kind; the other 13 hold the age plus one, or 0 for no claim.
const SEVERE_BIT: u16 = 0x8000;
/// The kinds of claims, by their encoded number.
const CLAIM_KINDS: [Kind; 4] = [Kind::Gone, Kind::Failing, Kind::Silent, Kind::Slow];

fn encode_claim((claim, age): (Claim, u16)) -> u16 {
    let severe = if claim.severe { SEVERE_BIT } else { 0 };
    // A verdict on a zone's link concerns no other zone and is not sent.
    let Some(kind) = CLAIM_KINDS.iter().position(|kind| *kind == claim.kind) else { return 0 };
    severe | (kind as u16) << 13 | (age.min(MAX_CLAIM_AGE) + 1)
}

fn decode_claim(bits: u16) -> Option<(Claim, u16)> {
    let age = (bits & 0x1fff).checked_sub(1)?;
    let kind = CLAIM_KINDS[usize::from(bits >> 13 & 3)];
    Some((Claim { severe: bits & SEVERE_BIT != 0, kind }, age))
}

/// Encodes each count in four bits. Larger counts are scaled down together, and nonzero ones stay nonzero.
fn encode_part(part: WindowPart) -> u8 {
    let max_count = u64::from(part.good.max(part.bad).max(15));
    let scale = |count: u32| (u64::from(count) * 15 / max_count).max(u64::from(count > 0)) as u8;
    scale(part.good) << 4 | scale(part.bad)
}

fn saturate_to_byte(count: u32) -> u8 {
    u8::try_from(count).unwrap_or(u8::MAX)
}

impl EvidenceEntry {
    /// Appends the encoded entry. Counts too large for a byte are scaled down together, which keeps their ratio.
    pub fn write(&self, bytes: &mut Vec<u8>) {
        let AttemptCounts { good, unreached, failed, silent, slow } = self.counts;
        let counts = [good, unreached, failed, silent, slow];
        let max_count = counts.into_iter().max().unwrap_or_default().max(255);
        let scale = |count: u32| match max_count {
            255 => count,
            // Nonzero counts stay nonzero.
            max_count => u32::try_from(u64::from(count) * 255 / u64::from(max_count))
                .unwrap_or(255)
                .max(u32::from(count > 0)),
        };
        bytes.extend(self.version.to_be_bytes());
        bytes.extend(self.zone.to_be_bytes());
        bytes.extend(self.node.0.to_be_bytes());
        bytes.extend(counts.map(|count| saturate_to_byte(scale(count))));
        bytes.push(self.bad_elsewhere_255ths);
        let claim = self.claim.map_or(0, encode_claim);
        bytes.extend(claim.to_be_bytes());
        bytes.extend(self.parts.map(encode_part));
    }

    /// Decodes consecutive entries. Returns None if the length is not a multiple of [`ENTRY_BYTES`].
    pub fn read_all(bytes: &[u8]) -> Option<Vec<Self>> {
        let (entries, rest) = bytes.as_chunks::<ENTRY_BYTES>();
        rest.is_empty().then(|| entries.iter().map(Self::read).collect())
    }

    pub(crate) fn read(bytes: &[u8; ENTRY_BYTES]) -> Self {
        let number = |at: usize, length: usize| {
            bytes[at..at + length].iter().fold(0u64, |number, byte| number << 8 | u64::from(*byte))
        };
        let count = |at: usize| u32::from(bytes[at]);
        let [good, unreached, failed, silent, slow] = std::array::from_fn(|i| count(14 + i));
        let claim = number(20, 2) as u16;
        Self {
            version: number(0, 4) as u32,
            zone: number(4, 2) as u16,
            node: NodeId(number(6, 8)),
            counts: AttemptCounts { good, unreached, failed, silent, slow },
            bad_elsewhere_255ths: bytes[19],
            claim: decode_claim(claim),
            parts: std::array::from_fn(|i| {
                let byte = u32::from(bytes[22 + i]);
                WindowPart { good: byte >> 4, bad: byte & 15 }
            }),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn encoded_entries_decode_to_the_same_values(version: u32, zone: u16, node: u64, counts: [u8; 5], bad_elsewhere_255ths: u8, claim_age in 0..=MAX_CLAIM_AGE, severe: bool, part in 0..16u32) {
            let [good, unreached, failed, silent, slow] = counts.map(u32::from);
            let counts = AttemptCounts { good, unreached, failed, silent, slow };
            let kind = CLAIM_KINDS[version as usize % 4];
            let claim = Some((Claim { severe, kind }, claim_age)).filter(|_| version % 3 > 0);
            let parts = std::array::from_fn(|i| WindowPart { good: part ^ i as u32, bad: part });
            let entry = EvidenceEntry { version, zone, node: NodeId(node), counts, bad_elsewhere_255ths, claim, parts };
            let mut bytes = Vec::new();
            entry.write(&mut bytes);
            entry.write(&mut bytes);
            prop_assert_eq!(bytes.len(), 2 * ENTRY_BYTES);
            prop_assert_eq!(EvidenceEntry::read_all(&bytes), Some(vec![entry, entry]));
            bytes.pop();
            prop_assert_eq!(EvidenceEntry::read_all(&bytes), None);
        }

        #[test]
        fn scaled_counts_keep_their_ratio(good in 256..1_000_000u32, failed in 1..1_000_000u32) {
            let counts = AttemptCounts { good, failed, ..AttemptCounts::default() };
            let mut bytes = Vec::new();
            EvidenceEntry { counts, ..EvidenceEntry::default() }.write(&mut bytes);
            let decoded = EvidenceEntry::read_all(&bytes).unwrap()[0].counts;
            let bad_fraction = |counts: AttemptCounts| f64::from(counts.bad()) / f64::from(counts.total());
            prop_assert!(decoded.failed > 0 && (bad_fraction(decoded) - bad_fraction(counts)).abs() < 0.01, "{:?}", decoded);
        }
    }
}
