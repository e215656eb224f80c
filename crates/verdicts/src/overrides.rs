//! An operator's word on a node: said at one proxy, passed on by all, with an end. It takes whoever has the fleet's key
//! at their word.
//!
//! What holds, whatever the network does:
//!
//! - nobody goes by a ruling after its end at the proxy where it was said: what is told is the time that is left, and
//!   it counts at the receiver from the question that was answered, so that each copy ends no later than the one it
//!   was made from;
//! - of two rulings on a node the newer wins everywhere where both are known: by a version that is one above the highest
//!   known where it was said, and by who said it where two were said at once;
//! - a ruling that is taken back is one that says nothing. Each is remembered for as long as the longest one that it
//!   replaces could have held, and that is passed on with it, so that no late copy brings an older one back;
//! - at most [`MAX_OVERRIDES`] are known; a new one beyond is refused where it is said, and not taken where it is heard.

use crate::snapshot::KeptRuling;
use crate::{NodeId, ProcessId};
use dewpier_peers::{Process, ProxyId, Topic, TopicHandler};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;

/// What operators say of nodes.
const OVERRIDES_TOPIC: Topic = Topic(2);
/// Bytes of a ruling.
const SIZE: usize = 25;
/// OperatorOverrides in a datagram at most, in turns, so that evidence has its place beside them.
const MOST_AT_ONCE: usize = 4;
/// OperatorOverrides that are known at once.
pub const MAX_OVERRIDES: usize = 64;
/// The longest time that a ruling may hold: a week.
pub const MAX_OVERRIDE_DURATION: Duration = Duration::from_secs(7 * 24 * 3600);

/// What an operator says of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum OverrideKind {
    /// Keep it out, whatever is seen.
    Avoid,
    /// No verdict keeps it out.
    Trust,
}

/// Why a ruling is not taken.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum OverrideError {
    /// As many are known as may be.
    #[error("{MAX_OVERRIDES} rulings hold already: expected one of them to end or be taken back")]
    TooMany,
    /// It ends at once, or too late.
    #[error("a ruling for {0} s: expected 1 to {max} s", max = MAX_OVERRIDE_DURATION.as_secs())]
    InvalidDuration(u64),
    /// There is nothing to take back.
    #[error("no ruling holds on it: expected one to take back")]
    NotFound,
}

/// A ruling as it is known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperatorOverride {
    /// None: it was taken back.
    pub kind: Option<OverrideKind>,
    /// When it ends, on this process's clock.
    pub ends: Duration,
    /// Until when it is remembered.
    pub until: Duration,
    version: u32,
    origin: u32,
}

/// All rulings that are known here. No I/O and no clock.
#[derive(Debug)]
pub struct OperatorOverrides {
    origin: ProcessId,
    known: BTreeMap<NodeId, OperatorOverride>,
    /// Where the next datagram to each partner begins.
    turns: BTreeMap<ProxyId, usize>,
}

impl OperatorOverrides {
    /// None.
    pub fn new(origin: ProcessId) -> Self {
        Self { origin, known: BTreeMap::new(), turns: BTreeMap::new() }
    }

    /// An operator says so here. Nothing that is said takes a ruling back.
    pub fn set(
        &mut self,
        node: NodeId,
        kind: Option<OverrideKind>,
        span: Duration,
        now: Duration,
    ) -> Result<(), OverrideError> {
        self.tick(now);
        let before = self.known.get(&node).copied();
        let ends = match (kind, before) {
            (None, _) if self.get(node, now).is_none() => return Err(OverrideError::NotFound),
            (None, _) => now,
            (Some(_), _) if span.is_zero() || span > MAX_OVERRIDE_DURATION => {
                return Err(OverrideError::InvalidDuration(span.as_secs()));
            }
            (Some(_), _) => now + span,
        };
        if before.is_none() && self.known.len() >= MAX_OVERRIDES {
            return Err(OverrideError::TooMany);
        }
        // Versions stop at the end of their range: a liar that says the highest one ends with its own ruling.
        let version = before.map_or(0, |b| b.version).saturating_add(1);
        let until = before.map_or(ends, |b| b.until.max(ends));
        self.known.insert(node, OperatorOverride { kind, ends, until, version, origin: self.origin.0 });
        Ok(())
    }

    /// Forgets what is over. To be called several times a second.
    pub fn tick(&mut self, now: Duration) {
        self.known.retain(|_, ruling| ruling.until > now);
    }

    /// What holds of a node now.
    pub fn get(&self, node: NodeId, now: Duration) -> Option<OverrideKind> {
        self.known.get(&node).filter(|ruling| ruling.ends > now)?.kind
    }

    /// All that hold now, by node.
    pub fn active(&self, now: Duration) -> impl Iterator<Item = (NodeId, OverrideKind, Duration)> + '_ {
        let held = self.known.iter().filter(move |(_, ruling)| ruling.ends > now);
        held.filter_map(move |(node, ruling)| Some((*node, ruling.kind?, ruling.ends - now)))
    }

    /// What a process that comes after this one is told.
    pub(crate) fn kept(&self, now: Duration) -> Vec<KeptRuling> {
        let left = |end: Duration| u64::try_from(end.saturating_sub(now).as_millis()).unwrap_or(u64::MAX);
        let known = self.known.iter().filter(|(_, ruling)| ruling.until > now);
        let kept = |(node, r): (&NodeId, &OperatorOverride)| KeptRuling {
            node: node.0,
            kind: code(r.kind),
            holds_ms: left(r.ends),
            kept_ms: left(r.until),
            version: r.version,
            origin: r.origin,
        };
        known.map(kept).collect()
    }

    /// Goes on from what a process before this one knew, `since` after it said so. Says how many of it are left.
    pub(crate) fn restore(&mut self, kept: &[KeptRuling], since: Duration, now: Duration) -> usize {
        let ends =
            |ms: u64| (now + Duration::from_millis(ms).min(MAX_OVERRIDE_DURATION)).saturating_sub(since);
        let mut taken = 0;
        for ruling in kept.iter().filter(|r| r.holds_ms <= r.kept_ms) {
            let (ends, until) = (ends(ruling.holds_ms), ends(ruling.kept_ms));
            let Some(kind) = decode(ruling.kind).filter(|_| until > now) else { continue };
            let (version, origin) = (ruling.version, ruling.origin);
            self.take(NodeId(ruling.node), OperatorOverride { kind, ends, until, version, origin });
            taken += 1;
        }
        taken
    }

    fn take(&mut self, node: NodeId, heard: OperatorOverride) {
        let full = self.known.len() >= MAX_OVERRIDES;
        match self.known.get_mut(&node) {
            Some(known) => {
                let (new, old) = ((heard.version, heard.origin), (known.version, known.origin));
                // What a newer one replaces may still be under way, whichever of the two came first.
                let until = known.until.max(heard.until);
                if new > old {
                    *known = heard;
                } else if new == old && heard.kind == known.kind {
                    // The same by another way: neither is later than the one it was made from.
                    known.ends = known.ends.max(heard.ends);
                }
                known.until = until;
            }
            None if !full => drop(self.known.insert(node, heard)),
            None => {}
        }
    }
}

/// What is said, as a byte.
fn code(kind: Option<OverrideKind>) -> u8 {
    match kind {
        None => 0,
        Some(OverrideKind::Avoid) => 1,
        Some(OverrideKind::Trust) => 2,
    }
}

fn decode(code: u8) -> Option<Option<OverrideKind>> {
    match code {
        0 => Some(None),
        1 => Some(Some(OverrideKind::Avoid)),
        2 => Some(Some(OverrideKind::Trust)),
        _ => None,
    }
}

fn read(bytes: &[u8; SIZE], made: Duration) -> Option<(NodeId, OperatorOverride)> {
    let number = |at: usize| u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
    let node = NodeId(u64::from(number(0)) << 32 | u64::from(number(4)));
    let kind = decode(bytes[16])?;
    let left = |at: usize| Duration::from_millis(u64::from(number(at)));
    let (holds, kept) = (left(17), left(21));
    let ruling = OperatorOverride {
        kind,
        ends: made + holds,
        until: made + kept,
        version: number(8),
        origin: number(12),
    };
    (holds <= kept && kept <= MAX_OVERRIDE_DURATION).then_some((node, ruling))
}

impl TopicHandler for OperatorOverrides {
    fn topic(&self) -> Topic {
        OVERRIDES_TOPIC
    }

    fn write_payload(&mut self, to: ProxyId, room: usize, now: Duration) -> Vec<u8> {
        self.tick(now);
        let fits = (room / SIZE).min(MOST_AT_ONCE);
        let turn = self.turns.entry(to).or_default();
        let from = *turn % self.known.len().max(1);
        *turn = from + fits;
        let mut bytes = Vec::with_capacity(fits * SIZE);
        let all = self.known.iter().cycle().skip(from);
        for (node, ruling) in all.take(fits.min(self.known.len())) {
            bytes.extend(node.0.to_be_bytes());
            bytes.extend(ruling.version.to_be_bytes());
            bytes.extend(ruling.origin.to_be_bytes());
            bytes.push(code(ruling.kind));
            // Rounded down, as it must not last longer elsewhere; a week fits.
            for end in [ruling.ends, ruling.until] {
                let left = u32::try_from(end.saturating_sub(now).as_millis()).unwrap_or(u32::MAX);
                bytes.extend(left.to_be_bytes());
            }
        }
        bytes
    }

    fn receive(&mut self, _from: Process, age: Duration, bytes: &[u8], now: Duration) -> bool {
        let (rulings, rest) = bytes.as_chunks::<SIZE>();
        // What a datagram says was so after the question that it answers.
        let made = now.saturating_sub(age);
        let read: Option<Vec<_>> = rulings.iter().map(|bytes| read(bytes, made)).collect();
        let Some(read) = read.filter(|_| rest.is_empty()) else { return false };
        read.into_iter().filter(|(_, r)| r.until > now).for_each(|(node, ruling)| self.take(node, ruling));
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

    fn told(from: &mut OperatorOverrides, to: &mut OperatorOverrides, age: Duration, now: Duration) {
        let bytes = from.write_payload(ProxyId(1), 200, now);
        assert!(to.receive(Process::default(), age, &bytes, now));
    }

    #[test]
    fn a_ruling_ends_no_later_elsewhere_and_no_late_copy_brings_it_back() {
        let (mut a, mut b, mut c) = (
            OperatorOverrides::new(ProcessId(1)),
            OperatorOverrides::new(ProcessId(2)),
            OperatorOverrides::new(ProcessId(3)),
        );
        a.set(NODE, Some(OverrideKind::Avoid), s(10), s(100)).unwrap();
        let late = a.write_payload(ProxyId(1), 200, s(100));
        told(&mut a, &mut b, s(2), s(103));
        assert_eq!(b.active(s(103)).collect::<Vec<_>>(), [(NODE, OverrideKind::Avoid, s(5))]);
        told(&mut b, &mut c, s(0), s(104));
        assert_eq!((c.get(NODE, s(107)), c.get(NODE, s(108))), (Some(OverrideKind::Avoid), None));
        // Taken back at another proxy.
        b.set(NODE, None, s(0), s(105)).unwrap();
        assert_eq!(b.get(NODE, s(105)), None);
        told(&mut b, &mut a, s(0), s(105));
        told(&mut a, &mut c, s(0), s(106));
        assert_eq!((a.get(NODE, s(106)), c.get(NODE, s(106))), (None, None));
        assert!(a.receive(Process::default(), s(5), &late, s(106)));
        assert_eq!(a.get(NODE, s(106)), None, "a copy that came late");
        assert_eq!(b.set(NODE, None, s(0), s(106)), Err(OverrideError::NotFound));
    }

    #[test]
    fn a_longer_one_does_not_come_back_behind_a_shorter_one_that_replaced_it() {
        let (mut a, mut b, mut c) = (
            OperatorOverrides::new(ProcessId(1)),
            OperatorOverrides::new(ProcessId(2)),
            OperatorOverrides::new(ProcessId(3)),
        );
        a.set(NODE, Some(OverrideKind::Avoid), s(600), s(0)).unwrap();
        told(&mut a, &mut b, s(0), s(1));
        // One is cut off with the first; the third hears of the second alone.
        a.set(NODE, Some(OverrideKind::Trust), s(5), s(2)).unwrap();
        told(&mut a, &mut c, s(0), s(3));
        assert_eq!(
            (b.get(NODE, s(3)), c.get(NODE, s(3))),
            (Some(OverrideKind::Avoid), Some(OverrideKind::Trust))
        );
        c.tick(s(100));
        told(&mut b, &mut c, s(0), s(100));
        assert_eq!(c.get(NODE, s(100)), None);
        told(&mut c, &mut b, s(0), s(101));
        assert_eq!(b.get(NODE, s(101)), None);
    }

    #[test]
    fn two_that_are_said_at_once_come_to_the_same_everywhere() {
        let (mut a, mut b) = (OperatorOverrides::new(ProcessId(1)), OperatorOverrides::new(ProcessId(2)));
        a.set(NODE, Some(OverrideKind::Avoid), s(10), s(0)).unwrap();
        b.set(NODE, Some(OverrideKind::Trust), s(20), s(0)).unwrap();
        for now in 1..3 {
            told(&mut a, &mut b, s(0), s(now));
            told(&mut b, &mut a, s(0), s(now));
        }
        assert_eq!(
            (a.get(NODE, s(3)), b.get(NODE, s(3))),
            (Some(OverrideKind::Trust), Some(OverrideKind::Trust))
        );
        a.set(NODE, Some(OverrideKind::Avoid), s(10), s(3)).unwrap();
        told(&mut a, &mut b, s(0), s(3));
        assert_eq!(b.get(NODE, s(3)), Some(OverrideKind::Avoid));
    }

    #[test]
    fn bounds_are_kept_and_all_come_in_turns() {
        let (mut a, mut b) = (OperatorOverrides::new(ProcessId(1)), OperatorOverrides::new(ProcessId(2)));
        for node in 0..MAX_OVERRIDES as u64 {
            a.set(NodeId(node), Some(OverrideKind::Avoid), s(60), s(0)).unwrap();
        }
        let more = a.set(NodeId(99), Some(OverrideKind::Avoid), s(60), s(0));
        assert_eq!(more, Err(OverrideError::TooMany));
        for wrong in [s(0), MAX_OVERRIDE_DURATION + s(1)] {
            assert_eq!(
                a.set(NodeId(1), Some(OverrideKind::Avoid), wrong, s(0)),
                Err(OverrideError::InvalidDuration(wrong.as_secs()))
            );
        }
        // Each partner hears all of them, however many others there are.
        for _ in 0..MAX_OVERRIDES / MOST_AT_ONCE {
            told(&mut a, &mut b, s(0), s(1));
            (2..17).for_each(|other| drop(a.write_payload(ProxyId(other), 200, s(1))));
        }
        assert_eq!(b.active(s(1)).count(), MAX_OVERRIDES);
        // One more that is heard is not taken, and takes no other's place.
        let mut c = OperatorOverrides::new(ProcessId(3));
        c.set(NodeId(99), Some(OverrideKind::Avoid), s(60), s(0)).unwrap();
        told(&mut c, &mut b, s(0), s(1));
        assert_eq!((b.active(s(1)).count(), b.get(NodeId(99), s(1))), (MAX_OVERRIDES, None));
        assert_eq!(b.active(s(60)).count(), 0);
    }

    proptest! {
        #[test]
        fn any_bytes_are_refused_whole_or_end_in_time(bytes: Vec<u8>, age in 0..5000u64) {
            let mut all = OperatorOverrides::new(ProcessId(1));
            let taken = all.receive(Process::default(), Duration::from_millis(age), &bytes, s(10));
            prop_assert!(taken || all.known.is_empty());
            prop_assert!(all.known.values().all(|r| r.until <= s(10) + MAX_OVERRIDE_DURATION));
        }

        /// Copies that come late, doubled and out of order, over proxies in a ring: none outlasts what was said.
        #[test]
        fn no_copy_outlasts_what_was_said(steps in proptest::collection::vec((0..4usize, 0..4usize, 0..3u8, 1..9u64), 1..60)) {
            let mut all: Vec<OperatorOverrides> = (0..4).map(|i| OperatorOverrides::new(ProcessId(i))).collect();
            let mut under_way: Vec<(u64, usize, Vec<u8>)> = Vec::new();
            let (mut now, mut ends) = (1000, 0);
            for (a, b, what, span) in steps {
                now += 1;
                match what {
                    0 => {
                        let _ = all[a].set(NODE, Some(OverrideKind::Avoid), s(span), s(now));
                        ends = ends.max(now + span);
                    }
                    1 => under_way.push((now, b, all[a].write_payload(ProxyId(1), 200, s(now)))),
                    _ => {
                        for (said, to, bytes) in &under_way {
                            // At least as old as it is.
                            prop_assert!(all[*to].receive(Process::default(), s(now - said), bytes, s(now)));
                        }
                    }
                }
                if now >= ends {
                    prop_assert!(all.iter().all(|r| r.get(NODE, s(now)).is_none()));
                }
                prop_assert!(all.iter().flat_map(|r| r.known.values()).all(|r| r.until <= s(ends)));
            }
        }
    }
}
