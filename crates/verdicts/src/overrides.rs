//! Distributes operators' overrides on nodes: set on one proxy, forwarded by all, and limited in time. Any process
//! that holds the fleet's key may set one.
//!
//! Invariants, whatever the network does:
//!
//! - No proxy applies an override after it has ended on the proxy where it was set. Datagrams carry the remaining time,
//!   which the receiver counts from the timestamp that the datagram echoes, so that each copy ends no later than the
//!   one that it was made from.
//! - Of two overrides on a node the newer one replaces the older one wherever both are known. It is the one with the
//!   higher version, which is one above the highest version known where it was set, or with the higher origin if both
//!   were set at once.
//! - A withdrawn override is replaced by one without a kind. Every override is remembered, also by other proxies, until
//!   all those that it replaces would have ended, so that a delayed copy can't bring one of them back.
//! - At most [`MAX_OVERRIDES`] are known. Further ones are an error where they are set and ignored where they are
//!   received.

use crate::snapshot::StoredOverride;
use crate::{NodeId, ProcessId};
use dewpier_peers::{Process, ProxyId, Topic, TopicHandler};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;

const OVERRIDES_TOPIC: Topic = Topic(2);
/// The length of an encoded override.
const ENCODED_BYTES: usize = 25;
/// The number of overrides in a datagram, which leaves space for evidence. Further ones are sent in turn.
const MAX_PER_DATAGRAM: usize = 4;
/// The number of overrides known at once.
pub const MAX_OVERRIDES: usize = 64;
/// The longest duration of an override: a week.
pub const MAX_OVERRIDE_DURATION: Duration = Duration::from_secs(7 * 24 * 3600);

/// The effect of an override on a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum OverrideKind {
    /// Avoid the node, whatever the evidence is.
    Avoid,
    /// Ignore verdicts on the node.
    Trust,
}

/// Why an override could not be set or withdrawn.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum OverrideError {
    /// The limit on known overrides is reached.
    #[error("{MAX_OVERRIDES} overrides are known already: expected one of them to end or be taken back")]
    TooMany,
    /// The duration, given in seconds, is zero or too long.
    #[error("an override for {0} s: expected 1 to {max} s", max = MAX_OVERRIDE_DURATION.as_secs())]
    InvalidDuration(u64),
    /// No override is active on the node.
    #[error("no override is active on the node: expected one to take back")]
    NotFound,
}

/// An override as this process knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperatorOverride {
    /// The effect; None if the override was withdrawn.
    pub kind: Option<OverrideKind>,
    /// When the override ends, on this process's clock.
    pub ends_at: Duration,
    /// When this process forgets the override.
    pub remembered_until: Duration,
    version: u32,
    /// The process where the override was set.
    origin: u32,
}

/// All overrides that this process knows. Has no I/O and no clock.
#[derive(Debug)]
pub struct OperatorOverrides {
    own_id: ProcessId,
    known: BTreeMap<NodeId, OperatorOverride>,
    /// The position of the first override in the next datagram to each partner.
    next_position: BTreeMap<ProxyId, usize>,
}

impl OperatorOverrides {
    /// Creates an empty set.
    pub fn new(own_id: ProcessId) -> Self {
        Self { own_id, known: BTreeMap::new(), next_position: BTreeMap::new() }
    }

    /// Sets an override on a node for a duration from now on, or withdraws the active one if `kind` is None.
    pub fn set(
        &mut self,
        node: NodeId,
        kind: Option<OverrideKind>,
        duration: Duration,
        now: Duration,
    ) -> Result<(), OverrideError> {
        self.tick(now);
        let previous = self.known.get(&node).copied();
        let ends_at = match (kind, previous) {
            (None, _) if self.get(node, now).is_none() => return Err(OverrideError::NotFound),
            (None, _) => now,
            (Some(_), _) if duration.is_zero() || duration > MAX_OVERRIDE_DURATION => {
                return Err(OverrideError::InvalidDuration(duration.as_secs()));
            }
            (Some(_), _) => now + duration,
        };
        if previous.is_none() && self.known.len() >= MAX_OVERRIDES {
            return Err(OverrideError::TooMany);
        }
        // Versions saturate: a forged highest version is effective only until its override is forgotten.
        let version = previous.map_or(0, |p| p.version).saturating_add(1);
        let remembered_until = previous.map_or(ends_at, |p| p.remembered_until.max(ends_at));
        self.known.insert(
            node,
            OperatorOverride { kind, ends_at, remembered_until, version, origin: self.own_id.0 },
        );
        Ok(())
    }

    /// Forgets overrides that need not be remembered any longer. To be called several times a second.
    pub fn tick(&mut self, now: Duration) {
        self.known.retain(|_, known| known.remembered_until > now);
    }

    /// The active override on a node.
    pub fn get(&self, node: NodeId, now: Duration) -> Option<OverrideKind> {
        self.known.get(&node).filter(|known| known.ends_at > now)?.kind
    }

    /// All active overrides with their remaining times, in the order of nodes.
    pub fn active(&self, now: Duration) -> impl Iterator<Item = (NodeId, OverrideKind, Duration)> + '_ {
        let not_ended = self.known.iter().filter(move |(_, known)| known.ends_at > now);
        not_ended.filter_map(move |(node, known)| Some((*node, known.kind?, known.ends_at - now)))
    }

    /// The overrides to store in a snapshot.
    pub(crate) fn stored(&self, now: Duration) -> Vec<StoredOverride> {
        let remaining_ms =
            |end: Duration| u64::try_from(end.saturating_sub(now).as_millis()).unwrap_or(u64::MAX);
        let remembered = self.known.iter().filter(|(_, known)| known.remembered_until > now);
        let store = |(node, known): (&NodeId, &OperatorOverride)| StoredOverride {
            node: node.0,
            kind: encode_kind(known.kind),
            remaining_ms: remaining_ms(known.ends_at),
            remembered_ms: remaining_ms(known.remembered_until),
            version: known.version,
            origin: known.origin,
        };
        remembered.map(store).collect()
    }

    /// Restores overrides of a predecessor that were stored `elapsed` ago. Returns how many are still remembered.
    pub(crate) fn restore(&mut self, stored: &[StoredOverride], elapsed: Duration, now: Duration) -> usize {
        let end = |remaining_ms: u64| {
            (now + Duration::from_millis(remaining_ms).min(MAX_OVERRIDE_DURATION)).saturating_sub(elapsed)
        };
        let mut restored = 0;
        for item in stored.iter().filter(|item| item.remaining_ms <= item.remembered_ms) {
            let (ends_at, remembered_until) = (end(item.remaining_ms), end(item.remembered_ms));
            let Some(kind) = decode_kind(item.kind).filter(|_| remembered_until > now) else { continue };
            let (version, origin) = (item.version, item.origin);
            self.merge(
                NodeId(item.node),
                OperatorOverride { kind, ends_at, remembered_until, version, origin },
            );
            restored += 1;
        }
        restored
    }

    fn merge(&mut self, node: NodeId, received: OperatorOverride) {
        let is_full = self.known.len() >= MAX_OVERRIDES;
        match self.known.get_mut(&node) {
            Some(known) => {
                let (new, old) = ((received.version, received.origin), (known.version, known.origin));
                // Copies of the overrides that the older of the two replaced may still arrive.
                let remembered_until = known.remembered_until.max(received.remembered_until);
                if new > old {
                    *known = received;
                } else if new == old && received.kind == known.kind {
                    // Another copy of the same override: neither ends later than the original.
                    known.ends_at = known.ends_at.max(received.ends_at);
                }
                known.remembered_until = remembered_until;
            }
            None if !is_full => drop(self.known.insert(node, received)),
            None => {}
        }
    }
}

fn encode_kind(kind: Option<OverrideKind>) -> u8 {
    match kind {
        None => 0,
        Some(OverrideKind::Avoid) => 1,
        Some(OverrideKind::Trust) => 2,
    }
}

fn decode_kind(code: u8) -> Option<Option<OverrideKind>> {
    match code {
        0 => Some(None),
        1 => Some(Some(OverrideKind::Avoid)),
        2 => Some(Some(OverrideKind::Trust)),
        _ => None,
    }
}

/// Decodes an override whose remaining times count from `written_at`.
fn decode(bytes: &[u8; ENCODED_BYTES], written_at: Duration) -> Option<(NodeId, OperatorOverride)> {
    let number = |at: usize| u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
    let node = NodeId(u64::from(number(0)) << 32 | u64::from(number(4)));
    let kind = decode_kind(bytes[16])?;
    let duration = |at: usize| Duration::from_millis(u64::from(number(at)));
    let (remaining, remembered) = (duration(17), duration(21));
    let received = OperatorOverride {
        kind,
        ends_at: written_at + remaining,
        remembered_until: written_at + remembered,
        version: number(8),
        origin: number(12),
    };
    (remaining <= remembered && remembered <= MAX_OVERRIDE_DURATION).then_some((node, received))
}

impl TopicHandler for OperatorOverrides {
    fn topic(&self) -> Topic {
        OVERRIDES_TOPIC
    }

    fn write_payload(&mut self, to: ProxyId, capacity: usize, now: Duration) -> Vec<u8> {
        self.tick(now);
        let max_count = (capacity / ENCODED_BYTES).min(MAX_PER_DATAGRAM);
        let next_position = self.next_position.entry(to).or_default();
        let start = *next_position % self.known.len().max(1);
        *next_position = start + max_count;
        let mut bytes = Vec::with_capacity(max_count * ENCODED_BYTES);
        let from_start = self.known.iter().cycle().skip(start);
        for (node, known) in from_start.take(max_count.min(self.known.len())) {
            bytes.extend(node.0.to_be_bytes());
            bytes.extend(known.version.to_be_bytes());
            bytes.extend(known.origin.to_be_bytes());
            bytes.push(encode_kind(known.kind));
            // Rounded down, so that no copy ends later; a week in milliseconds fits into 32 bits.
            for end in [known.ends_at, known.remembered_until] {
                let remaining_ms = u32::try_from(end.saturating_sub(now).as_millis()).unwrap_or(u32::MAX);
                bytes.extend(remaining_ms.to_be_bytes());
            }
        }
        bytes
    }

    fn receive(&mut self, _from: Process, age: Duration, bytes: &[u8], now: Duration) -> bool {
        let (encoded, rest) = bytes.as_chunks::<ENCODED_BYTES>();
        let written_at = now.saturating_sub(age);
        let decoded: Option<Vec<_>> = encoded.iter().map(|bytes| decode(bytes, written_at)).collect();
        let Some(decoded) = decoded.filter(|_| rest.is_empty()) else { return false };
        decoded
            .into_iter()
            .filter(|(_, received)| received.remembered_until > now)
            .for_each(|(node, received)| self.merge(node, received));
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn s(s: u64) -> Duration {
        Duration::from_secs(s)
    }

    const NODE: NodeId = NodeId(7);

    fn send(from: &mut OperatorOverrides, to: &mut OperatorOverrides, age: Duration, now: Duration) {
        let bytes = from.write_payload(ProxyId(1), 200, now);
        assert!(to.receive(Process::default(), age, &bytes, now));
    }

    #[test]
    fn override_ends_no_later_on_other_proxies_and_delayed_copies_do_not_restore_it() {
        let (mut a, mut b, mut c) = (
            OperatorOverrides::new(ProcessId(1)),
            OperatorOverrides::new(ProcessId(2)),
            OperatorOverrides::new(ProcessId(3)),
        );
        a.set(NODE, Some(OverrideKind::Avoid), s(10), s(100)).unwrap();
        let delayed = a.write_payload(ProxyId(1), 200, s(100));
        send(&mut a, &mut b, s(2), s(103));
        assert_eq!(b.active(s(103)).collect::<Vec<_>>(), [(NODE, OverrideKind::Avoid, s(5))]);
        send(&mut b, &mut c, s(0), s(104));
        assert_eq!((c.get(NODE, s(107)), c.get(NODE, s(108))), (Some(OverrideKind::Avoid), None));
        // Withdrawn on another proxy.
        b.set(NODE, None, s(0), s(105)).unwrap();
        assert_eq!(b.get(NODE, s(105)), None);
        send(&mut b, &mut a, s(0), s(105));
        send(&mut a, &mut c, s(0), s(106));
        assert_eq!((a.get(NODE, s(106)), c.get(NODE, s(106))), (None, None));
        assert!(a.receive(Process::default(), s(5), &delayed, s(106)));
        assert_eq!(a.get(NODE, s(106)), None, "a delayed copy restored it");
        assert_eq!(b.set(NODE, None, s(0), s(106)), Err(OverrideError::NotFound));
    }

    #[test]
    fn replaced_longer_override_does_not_return_after_the_shorter_one_ended() {
        let (mut a, mut b, mut c) = (
            OperatorOverrides::new(ProcessId(1)),
            OperatorOverrides::new(ProcessId(2)),
            OperatorOverrides::new(ProcessId(3)),
        );
        a.set(NODE, Some(OverrideKind::Avoid), s(600), s(0)).unwrap();
        send(&mut a, &mut b, s(0), s(1));
        // The second proxy knows only the first override, the third one only the second.
        a.set(NODE, Some(OverrideKind::Trust), s(5), s(2)).unwrap();
        send(&mut a, &mut c, s(0), s(3));
        assert_eq!(
            (b.get(NODE, s(3)), c.get(NODE, s(3))),
            (Some(OverrideKind::Avoid), Some(OverrideKind::Trust))
        );
        c.tick(s(100));
        send(&mut b, &mut c, s(0), s(100));
        assert_eq!(c.get(NODE, s(100)), None);
        send(&mut c, &mut b, s(0), s(101));
        assert_eq!(b.get(NODE, s(101)), None);
    }

    #[test]
    fn overrides_set_at_once_converge_to_the_same_one() {
        let (mut a, mut b) = (OperatorOverrides::new(ProcessId(1)), OperatorOverrides::new(ProcessId(2)));
        a.set(NODE, Some(OverrideKind::Avoid), s(10), s(0)).unwrap();
        b.set(NODE, Some(OverrideKind::Trust), s(20), s(0)).unwrap();
        for now in 1..3 {
            send(&mut a, &mut b, s(0), s(now));
            send(&mut b, &mut a, s(0), s(now));
        }
        assert_eq!(
            (a.get(NODE, s(3)), b.get(NODE, s(3))),
            (Some(OverrideKind::Trust), Some(OverrideKind::Trust))
        );
        a.set(NODE, Some(OverrideKind::Avoid), s(10), s(3)).unwrap();
        send(&mut a, &mut b, s(0), s(3));
        assert_eq!(b.get(NODE, s(3)), Some(OverrideKind::Avoid));
    }

    #[test]
    fn limits_are_enforced_and_all_overrides_are_sent_in_turn() {
        let (mut a, mut b) = (OperatorOverrides::new(ProcessId(1)), OperatorOverrides::new(ProcessId(2)));
        for node in 0..MAX_OVERRIDES as u64 {
            a.set(NodeId(node), Some(OverrideKind::Avoid), s(60), s(0)).unwrap();
        }
        let above_limit = a.set(NodeId(99), Some(OverrideKind::Avoid), s(60), s(0));
        assert_eq!(above_limit, Err(OverrideError::TooMany));
        for invalid in [s(0), MAX_OVERRIDE_DURATION + s(1)] {
            assert_eq!(
                a.set(NodeId(1), Some(OverrideKind::Avoid), invalid, s(0)),
                Err(OverrideError::InvalidDuration(invalid.as_secs()))
            );
        }
        // Each partner receives all of them, independently of the number of partners.
        for _ in 0..MAX_OVERRIDES / MAX_PER_DATAGRAM {
            send(&mut a, &mut b, s(0), s(1));
            (2..17).for_each(|other| drop(a.write_payload(ProxyId(other), 200, s(1))));
        }
        assert_eq!(b.active(s(1)).count(), MAX_OVERRIDES);
        // A received override above the limit is ignored and replaces no other.
        let mut c = OperatorOverrides::new(ProcessId(3));
        c.set(NodeId(99), Some(OverrideKind::Avoid), s(60), s(0)).unwrap();
        send(&mut c, &mut b, s(0), s(1));
        assert_eq!((b.active(s(1)).count(), b.get(NodeId(99), s(1))), (MAX_OVERRIDES, None));
        assert_eq!(b.active(s(60)).count(), 0);
    }

    proptest! {
        #[test]
        fn arbitrary_bytes_are_rejected_as_a_whole_or_end_in_time(bytes: Vec<u8>, age in 0..5000u64) {
            let mut overrides = OperatorOverrides::new(ProcessId(1));
            let accepted = overrides.receive(Process::default(), Duration::from_millis(age), &bytes, s(10));
            prop_assert!(accepted || overrides.known.is_empty());
            prop_assert!(overrides.known.values().all(|o| o.remembered_until <= s(10) + MAX_OVERRIDE_DURATION));
        }

        /// Copies are delayed, duplicated and reordered among four proxies.
        #[test]
        fn no_copy_outlasts_its_original(steps in proptest::collection::vec((0..4usize, 0..4usize, 0..3u8, 1..9u64), 1..60)) {
            let mut proxies: Vec<OperatorOverrides> = (0..4).map(|i| OperatorOverrides::new(ProcessId(i))).collect();
            let mut in_flight: Vec<(u64, usize, Vec<u8>)> = Vec::new();
            let (mut now, mut last_end) = (1000, 0);
            for (a, b, action, duration) in steps {
                now += 1;
                match action {
                    0 => {
                        let _ = proxies[a].set(NODE, Some(OverrideKind::Avoid), s(duration), s(now));
                        last_end = last_end.max(now + duration);
                    }
                    1 => in_flight.push((now, b, proxies[a].write_payload(ProxyId(1), 200, s(now)))),
                    _ => {
                        for (sent_at, to, bytes) in &in_flight {
                            // The age passed is never below the true age.
                            prop_assert!(proxies[*to].receive(Process::default(), s(now - sent_at), bytes, s(now)));
                        }
                    }
                }
                if now >= last_end {
                    prop_assert!(proxies.iter().all(|o| o.get(NODE, s(now)).is_none()));
                }
                prop_assert!(proxies.iter().flat_map(|o| o.known.values()).all(|o| o.remembered_until <= s(last_end)));
            }
        }
    }
}
