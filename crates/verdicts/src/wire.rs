//! What one proxy saw of one node, as bytes. All numbers are big-endian; counts stop at 255.

use crate::{AttemptCounts, Claim, Kind, NodeId, WINDOW_PARTS, WindowPart};

/// Bytes of an entry.
pub const ENTRY_BYTES: usize = 22 + WINDOW_PARTS;

/// What one proxy says of one node. It says it of itself alone: nobody passes on what others saw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvidenceEntry {
    /// Counts up at whoever says it.
    pub version: u32,
    /// Hash of the zone that it was seen from.
    pub zone: u16,
    /// Of which node.
    pub node: NodeId,
    /// Attempts by how they went.
    pub counts: AttemptCounts,
    /// The same by parts of the window, the youngest first.
    pub parts: [WindowPart; WINDOW_PARTS],
    /// The part of the attempts at all other nodes that went badly, in 255ths.
    pub others: u8,
    /// It holds a verdict on the node: which, and how long ago at most the youngest word was said that speaks for it,
    /// in units of [`AGE_UNIT`], up to [`MOST_AGE`].
    pub claim: Option<(Claim, u16)>,
}

/// The greatest age of a claim, in units of [`AGE_UNIT`]: 163 s.
pub const MOST_AGE: u16 = 0x1ffe;
/// Ages go up in steps of so many milliseconds.
pub const AGE_UNIT: u64 = 20;
/// Set where it is severe that the node is bad. Two bits behind it are the kind, the rest is the age and one more,
/// 0 being no claim.
const PLAIN: u16 = 0x8000;
const KINDS: [Kind; 4] = [Kind::Gone, Kind::Failing, Kind::Silent, Kind::Slow];

fn claim_bits((claim, age): (Claim, u16)) -> u16 {
    let severe = if claim.severe { PLAIN } else { 0 };
    // What holds for one zone's way alone is nobody else's.
    let Some(kind) = KINDS.iter().position(|kind| *kind == claim.kind) else { return 0 };
    severe | (kind as u16) << 13 | (age.min(MOST_AGE) + 1)
}

fn claimed(bits: u16) -> Option<(Claim, u16)> {
    let age = (bits & 0x1fff).checked_sub(1)?;
    let kind = KINDS[usize::from(bits >> 13 & 3)];
    Some((Claim { severe: bits & PLAIN != 0, kind }, age))
}

/// Half a byte for each; where one is larger both are made smaller together, and what was seen at all stays seen.
fn part_byte(part: WindowPart) -> u8 {
    let most = u64::from(part.good.max(part.bad).max(15));
    let half = |count: u32| (u64::from(count) * 15 / most).max(u64::from(count > 0)) as u8;
    half(part.good) << 4 | half(part.bad)
}

fn byte(count: u32) -> u8 {
    u8::try_from(count).unwrap_or(u8::MAX)
}

impl EvidenceEntry {
    /// Where counts are too large for a byte they are made smaller together: what counts is their relation.
    pub fn write(&self, bytes: &mut Vec<u8>) {
        let AttemptCounts { good, unreached, failed, silent, slow } = self.counts;
        let counts = [good, unreached, failed, silent, slow];
        let most = counts.into_iter().max().unwrap_or_default().max(255);
        let scaled = |count: u32| match most {
            255 => count,
            // What was seen at all stays seen.
            most => u32::try_from(u64::from(count) * 255 / u64::from(most))
                .unwrap_or(255)
                .max(u32::from(count > 0)),
        };
        bytes.extend(self.version.to_be_bytes());
        bytes.extend(self.zone.to_be_bytes());
        bytes.extend(self.node.0.to_be_bytes());
        bytes.extend(counts.map(|count| byte(scaled(count))));
        bytes.push(self.others);
        let claim = self.claim.map_or(0, claim_bits);
        bytes.extend(claim.to_be_bytes());
        bytes.extend(self.parts.map(part_byte));
    }

    /// All entries of a text, or None where it has another length than entries have.
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
            others: bytes[19],
            claim: claimed(claim),
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
        fn what_is_written_is_read(version: u32, zone: u16, node: u64, counts: [u8; 5], others: u8, claim in 0..=MOST_AGE, severe: bool, part in 0..16u32) {
            let [good, unreached, failed, silent, slow] = counts.map(u32::from);
            let counts = AttemptCounts { good, unreached, failed, silent, slow };
            let kind = KINDS[version as usize % 4];
            let claim = Some((Claim { severe, kind }, claim)).filter(|_| version % 3 > 0);
            let parts = std::array::from_fn(|i| WindowPart { good: part ^ i as u32, bad: part });
            let entry = EvidenceEntry { version, zone, node: NodeId(node), counts, others, claim, parts };
            let mut bytes = Vec::new();
            entry.write(&mut bytes);
            entry.write(&mut bytes);
            prop_assert_eq!(bytes.len(), 2 * ENTRY_BYTES);
            prop_assert_eq!(EvidenceEntry::read_all(&bytes), Some(vec![entry, entry]));
            bytes.pop();
            prop_assert_eq!(EvidenceEntry::read_all(&bytes), None);
        }

        #[test]
        fn large_counts_keep_their_relation(good in 256..1_000_000u32, failed in 1..1_000_000u32) {
            let counts = AttemptCounts { good, failed, ..AttemptCounts::default() };
            let mut bytes = Vec::new();
            EvidenceEntry { counts, ..EvidenceEntry::default() }.write(&mut bytes);
            let read = EvidenceEntry::read_all(&bytes).unwrap()[0].counts;
            let part = |t: AttemptCounts| f64::from(t.bad()) / f64::from(t.total());
            prop_assert!(read.failed > 0 && (part(read) - part(counts)).abs() < 0.01, "{:?}", read);
        }
    }
}
