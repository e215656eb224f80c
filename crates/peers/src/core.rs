//! The core: who is there, what counts, and what is written to whom.

use crate::wire::{self, Head, MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES};
use crate::{MonotonicTime, Process, ProxyId, Settings, TopicHandler, partners};
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;
use thiserror::Error;

/// Processes of one name that are known at once: an old and a new version side by side.
const MOST_LIVES: usize = 2;
/// Counters so far behind the highest are told apart; older ones count as heard.
const WINDOW: u32 = 64;

/// Why a datagram counts for nothing.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, Hash)]
pub enum DatagramRejection {
    /// More came than is looked at in a second.
    #[error("too many datagrams")]
    TooMany,
    /// It is none, or its lengths don't fit.
    #[error("not a datagram of a proxy")]
    Unreadable,
    /// Its hash is not made with this fleet's key for this proxy.
    #[error("the hash does not fit the key")]
    Forged,
    /// Of a version that is not known any more.
    #[error("an unknown version")]
    Version,
    /// Its sender is not one of the fleet, or is this process itself.
    #[error("an unknown sender")]
    Stranger,
    /// It came before.
    #[error("it came before")]
    Doubled,
    /// It answers no question, or one that is too old. Usual at a start and after a cut.
    #[error("it answers no question of late")]
    Unasked,
}

/// What was refused so far, by reason, and what was taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    /// Datagrams written,
    pub sent: u64,
    /// and their bytes.
    pub sent_bytes: u64,
    /// Datagrams that counted.
    pub accepted: u64,
    /// In the order of [`DatagramRejection`].
    pub rejected: [u64; 7],
}

/// A reason and how often.
pub type RejectionCount = (DatagramRejection, u64);

impl DatagramCounts {
    /// What was refused, by reason.
    pub fn rejected_by_reason(&self) -> [RejectionCount; 7] {
        use DatagramRejection::*;
        let reasons = [TooMany, Unreadable, Forged, Version, Stranger, Doubled, Unasked];
        std::array::from_fn(|i| (reasons[i], self.rejected[i]))
    }
}

/// What is known of a process.
#[derive(Debug)]
struct Known {
    /// Its latest question, which the next datagram to it answers.
    question: u32,
    /// The highest counter, and which of those behind it have come.
    highest: u32,
    window: u64,
    /// When it last proved to have heard this process: when the question was asked that it answered.
    proven: Option<MonotonicTime>,
    heard: MonotonicTime,
}

impl Known {
    /// Notes a counter. False where it came before, or is too old to tell.
    fn first(&mut self, count: u32) -> bool {
        let ahead = count.wrapping_sub(self.highest);
        if ahead == 0 || ahead > u32::MAX / 2 {
            let behind = self.highest.wrapping_sub(count);
            let bit = 1u64.checked_shl(behind).unwrap_or(0);
            if behind >= WINDOW || self.window & bit != 0 {
                return false;
            }
            self.window |= bit;
            return true;
        }
        self.window = self.window.checked_shl(ahead).unwrap_or(0) | 1;
        self.highest = count;
        true
    }
}

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// To whom.
    pub to: ProxyId,
    /// What.
    pub bytes: Vec<u8>,
}

/// One process among others. What it keeps is bounded by the names that it was told.
pub struct Peers {
    settings: Settings,
    partners: Vec<ProxyId>,
    known: BTreeMap<Process, Known>,
    names: HashSet<ProxyId>,
    count: u32,
    /// Datagrams that may be looked at, and since when that was counted.
    room: f64,
    filled: MonotonicTime,
    /// Datagrams so far.
    pub counts: DatagramCounts,
}

impl Peers {
    /// One that has heard of nobody.
    pub fn new(settings: Settings, now: MonotonicTime) -> Self {
        let partners = partners(settings.own_process.proxy, &settings.fleet);
        let names = settings.fleet.iter().copied().chain([settings.own_process.proxy]).collect();
        let room = f64::from(settings.max_datagrams_per_second);
        Self {
            settings,
            partners,
            known: BTreeMap::new(),
            names,
            count: 0,
            room,
            filled: now,
            counts: DatagramCounts::default(),
        }
    }

    /// Whom it writes to.
    pub fn partners(&self) -> &[ProxyId] {
        &self.partners
    }

    /// Partners that have answered a question that is not older than the bound.
    pub fn count_answering_partners(&self, now: MonotonicTime) -> usize {
        let fresh = |known: &Known| {
            known.proven.is_some_and(|at| now.saturating_sub(at) <= self.settings.max_echo_age)
        };
        let answering: HashSet<ProxyId> =
            self.known.iter().filter(|(_, k)| fresh(k)).map(|(p, _)| p.proxy).collect();
        answering.len()
    }

    /// Writes to every partner. To be called every [`Settings::send_interval`].
    pub fn write_round(
        &mut self,
        now: MonotonicTime,
        carried: &mut [&mut dyn TopicHandler],
    ) -> Vec<OutgoingDatagram> {
        self.known.retain(|_, known| now.saturating_sub(known.heard) <= 2 * self.settings.max_echo_age);
        let mut outs = Vec::with_capacity(self.partners.len());
        for &to in &self.partners {
            let mut room = MAX_PAYLOAD_BYTES;
            let mut parts = Vec::new();
            for one in carried.iter_mut() {
                let said = one.write_payload(to, room.saturating_sub(2).min(usize::from(u8::MAX)), now);
                if !said.is_empty() && said.len() + 2 <= room {
                    room -= said.len() + 2;
                    parts.push((one.topic(), said));
                }
            }
            // An old and a new process of a name may listen at one address: each is answered in turn.
            let lives: Vec<_> = self.known.iter().filter(|(process, _)| process.proxy == to).collect();
            let turn = self.count as usize % lives.len().max(1);
            let answers = lives.get(turn).map(|(process, known)| (process.incarnation, known.question));
            self.count = self.count.wrapping_add(1);
            let head =
                Head { from: self.settings.own_process, count: self.count, question: millis(now), answers };
            let bytes = wire::write(&self.settings.key, to, head, &parts);
            debug_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
            self.counts.sent += 1;
            self.counts.sent_bytes += bytes.len() as u64;
            outs.push(OutgoingDatagram { to, bytes });
        }
        outs
    }

    /// A datagram has come.
    pub fn receive(
        &mut self,
        bytes: &[u8],
        now: MonotonicTime,
        carried: &mut [&mut dyn TopicHandler],
    ) -> Result<Process, DatagramRejection> {
        let heard = self.take(bytes, now, carried);
        match heard {
            Ok(_) => self.counts.accepted += 1,
            Err(refused) => self.counts.rejected[refused as usize] += 1,
        }
        heard
    }

    fn take(
        &mut self,
        bytes: &[u8],
        now: MonotonicTime,
        carried: &mut [&mut dyn TopicHandler],
    ) -> Result<Process, DatagramRejection> {
        let most = f64::from(self.settings.max_datagrams_per_second);
        self.room = (self.room + most * now.saturating_sub(self.filled).as_secs_f64()).min(most);
        self.filled = now;
        if self.room < 1.0 {
            return Err(DatagramRejection::TooMany);
        }
        self.room -= 1.0;
        let me = self.settings.own_process;
        let (head, parts) = wire::read(&self.settings.key, me.proxy, bytes)?;
        if head.from == me || !self.names.contains(&head.from.proxy) {
            return Err(DatagramRejection::Stranger);
        }
        // How old its question is nobody knows: all that it can bring about is an answer to it.
        let proven = head
            .answers
            .filter(|(incarnation, _)| *incarnation == me.incarnation)
            .map(|(_, at)| since(now, at));
        let fresh = proven.filter(|age| *age <= self.settings.max_echo_age);
        let known = match self.known.get_mut(&head.from) {
            Some(known) => known,
            None => {
                self.make_room(head.from.proxy);
                let new = Known {
                    question: head.question,
                    highest: head.count,
                    window: 0,
                    proven: None,
                    heard: now,
                };
                self.known.entry(head.from).or_insert(new)
            }
        };
        if !known.first(head.count) {
            return Err(DatagramRejection::Doubled);
        }
        known.heard = now;
        if head.count == known.highest {
            known.question = head.question;
        }
        let Some(age) = fresh else { return Err(DatagramRejection::Unasked) };
        known.proven = known.proven.max(Some(now.saturating_sub(age)));
        for (topic, part) in parts {
            for one in carried.iter_mut().filter(|one| one.topic() == topic) {
                if !one.receive(head.from, age, part, now) {
                    return Err(DatagramRejection::Unreadable);
                }
            }
        }
        Ok(head.from)
    }

    /// A third process of a name takes the place of the one that was silent for longest.
    fn make_room(&mut self, name: ProxyId) {
        let of_name: Vec<(MonotonicTime, Process)> =
            self.known.iter().filter(|(p, _)| p.proxy == name).map(|(p, known)| (known.heard, *p)).collect();
        if of_name.len() >= MOST_LIVES
            && let Some((_, oldest)) = of_name.into_iter().min()
        {
            self.known.remove(&oldest);
        }
    }
}

/// Milliseconds since the start, rounded down; they begin anew after 49 days.
fn millis(now: MonotonicTime) -> u32 {
    now.as_millis() as u32
}

/// How long ago that was, rounded up. A question of the future, which nobody can answer, comes out as very old.
fn since(now: MonotonicTime, at: u32) -> Duration {
    Duration::from_millis(u64::from(millis(now).wrapping_sub(at)) + 1)
}
