//! Counts the outcomes of this proxy's attempts at each node over a sliding window.

use crate::snapshot::{StoredCounts, StoredLatency, millis_rounded_up};
use crate::{NodeId, Settings};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// The number of slots in the window; counts leave the window one slot at a time.
const WINDOW_SLOTS: u32 = 16;
/// The number of latency samples of a class before its attempts can count as slow, or as silent relative to them.
const MIN_LATENCY_SAMPLES: u64 = 8;
/// The weight of a new sample in the typical latency once there are many samples.
const MIN_LATENCY_WEIGHT: f64 = 0.02;
/// The shortest latency that can count as late: timers and loaded hosts cause delays below that.
const MIN_LATE_THRESHOLD: Duration = Duration::from_millis(20);
/// A longer time between two ticks means that this process was suspended, so that its observations say nothing about
/// nodes.
const MAX_TICK_GAP: Duration = Duration::from_millis(1500);

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The node answered.
    Served,
    /// The node answered with an error, or the connection broke.
    Failed,
    /// No connection could be established.
    Unreached,
    /// The attempt timed out.
    Silent,
    /// The attempt was cancelled, because another attempt was answered or the client disconnected. It counts as silent
    /// if it had been pending for too long, or if a later attempt of the request was answered before it. With retries
    /// after a few milliseconds most evidence of a hanging node is of the second kind.
    Cancelled,
    /// The attempt says nothing about the node: the node rejected it for lack of capacity, or it was never sent.
    Inconclusive,
}

/// Numbers of attempts at a node by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// Answered within the typical time.
    pub good: u32,
    /// Not connected.
    pub unreached: u32,
    /// Answered with an error, or disconnected.
    pub failed: u32,
    /// Not answered for far longer than is typical.
    pub silent: u32,
    /// Answered, but far later than is typical.
    pub slow: u32,
}

impl AttemptCounts {
    /// The number of attempts that went wrong.
    pub fn bad(&self) -> u32 {
        self.unreached.saturating_add(self.failed).saturating_add(self.silent).saturating_add(self.slow)
    }

    /// The number of all attempts.
    pub fn total(&self) -> u32 {
        self.good.saturating_add(self.bad())
    }

    /// Adds other counts to these.
    pub fn add(&mut self, other: &Self) {
        for (count, added) in [
            (&mut self.good, other.good),
            (&mut self.unreached, other.unreached),
            (&mut self.failed, other.failed),
            (&mut self.silent, other.silent),
            (&mut self.slow, other.slow),
        ] {
            *count = count.saturating_add(added);
        }
    }
}

/// The number of parts that the window is divided into in reports; each covers two slots.
pub const WINDOW_PARTS: usize = 8;

/// Numbers of attempts at a node in one part of the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WindowPart {
    /// Attempts that went well.
    pub good: u32,
    /// Attempts that went wrong.
    pub bad: u32,
}

/// The typical latency of a class: a moving geometric mean, which single very long latencies move only a little.
#[derive(Clone, Copy, Debug, Default)]
struct TypicalLatency {
    samples: u64,
    /// The mean of the natural logarithms of the latencies in seconds.
    mean_log_seconds: f64,
}

impl TypicalLatency {
    fn add(&mut self, latency: Duration) {
        self.samples += 1;
        let weight = MIN_LATENCY_WEIGHT.max(1.0 / self.samples as f64);
        self.mean_log_seconds += weight * (latency.as_secs_f64().max(1e-6).ln() - self.mean_log_seconds);
    }

    /// A multiple of the typical latency, at least [`MIN_LATE_THRESHOLD`]; None without enough samples.
    fn times(&self, factor: f64) -> Option<Duration> {
        (self.samples >= MIN_LATENCY_SAMPLES).then(|| {
            Duration::try_from_secs_f64(self.mean_log_seconds.exp() * factor)
                .unwrap_or(Duration::MAX)
                .max(MIN_LATE_THRESHOLD)
        })
    }
}

#[derive(Clone, Copy, Debug)]
struct PendingAttempt {
    node: NodeId,
    class: usize,
    started_at: Duration,
    /// The slot in which the attempt was counted as silent.
    silent_slot: Option<u64>,
    /// A later attempt of the same request was answered.
    overtaken: bool,
}

/// Counts this proxy's attempts. Its memory is bounded by one set of counts for each node and slot, and by the number
/// of pending attempts.
#[derive(Debug)]
pub struct Observer {
    settings: Settings,
    slots: VecDeque<(u64, HashMap<NodeId, AttemptCounts>)>,
    pending: HashMap<(u64, usize), PendingAttempt>,
    typical_latencies: Vec<TypicalLatency>,
    last_tick: Duration,
}

impl Observer {
    /// Creates an observer without observations, for a number of request classes.
    pub fn new(settings: Settings, classes: usize, now: Duration) -> Self {
        Self {
            settings,
            slots: VecDeque::new(),
            pending: HashMap::new(),
            typical_latencies: vec![TypicalLatency::default(); classes],
            last_tick: now,
        }
    }

    /// The length of a slot, in whole milliseconds.
    fn slot_length(&self) -> Duration {
        let length_ms = (self.settings.window() / WINDOW_SLOTS).as_millis().max(1);
        Duration::from_millis(u64::try_from(length_ms).unwrap_or(u64::MAX))
    }

    fn slot_at(&self, now: Duration) -> u64 {
        u64::try_from(now.as_millis() / self.slot_length().as_millis()).unwrap_or(u64::MAX)
    }

    /// The counts of a node in the current slot.
    fn counts_mut(&mut self, node: NodeId, now: Duration) -> &mut AttemptCounts {
        let slot = self.slot_at(now);
        if self.slots.back().is_none_or(|(last, _)| *last != slot) {
            self.slots.push_back((slot, HashMap::new()));
        }
        self.remove_expired_slots(now);
        let last = self.slots.len() - 1;
        self.slots[last].1.entry(node).or_default()
    }

    fn remove_expired_slots(&mut self, now: Duration) {
        // One slot less than the window has, as the start of a slot is older than its end.
        let oldest = self.slot_at(now).saturating_sub(u64::from(WINDOW_SLOTS) - 1);
        while self.slots.front().is_some_and(|(slot, _)| *slot < oldest) {
            self.slots.pop_front();
        }
    }

    /// The time after which a pending attempt of a class counts as silent.
    fn silence_threshold(&self, class: usize) -> Duration {
        let relative = self
            .typical_latencies
            .get(class)
            .and_then(|latency| latency.times(2.0 * self.settings.slow_factor));
        relative.map_or(self.settings.silent_after, |relative| relative.min(self.settings.silent_after))
    }

    /// Records the start of an attempt, given as request id and number of the attempt.
    pub fn record_start(&mut self, attempt: (u64, usize), node: NodeId, class: usize, now: Duration) {
        self.pending.insert(
            attempt,
            PendingAttempt { node, class, started_at: now, silent_slot: None, overtaken: false },
        );
    }

    /// Records the end of an attempt. Unknown attempts are ignored.
    pub fn record_end(&mut self, attempt: (u64, usize), end: AttemptEnd, now: Duration) {
        let Some(ended) = self.pending.remove(&attempt) else { return };
        let latency = now.saturating_sub(ended.started_at);
        let slow_threshold = self
            .typical_latencies
            .get(ended.class)
            .and_then(|typical| typical.times(self.settings.slow_factor));
        if end == AttemptEnd::Served
            && let Some(typical) = self.typical_latencies.get_mut(ended.class)
        {
            typical.add(latency);
            for earlier in 0..attempt.1 {
                let earlier = self.pending.get_mut(&(attempt.0, earlier));
                earlier.into_iter().for_each(|pending| pending.overtaken = true);
            }
        }
        if let Some(silent_slot) = ended.silent_slot {
            // Already counted as silent, which only an answer corrects.
            if end != AttemptEnd::Served {
                return;
            }
            let slot = self.slots.iter_mut().find(|(slot, _)| *slot == silent_slot);
            if let Some(counts) = slot.and_then(|(_, counts_by_node)| counts_by_node.get_mut(&ended.node)) {
                counts.silent = counts.silent.saturating_sub(1);
            }
        }
        let late = ended.overtaken || latency > self.silence_threshold(ended.class);
        if end == AttemptEnd::Inconclusive || end == AttemptEnd::Cancelled && !late {
            return;
        }
        let counts = self.counts_mut(ended.node, now);
        let count = match end {
            AttemptEnd::Cancelled => &mut counts.silent,
            AttemptEnd::Served if slow_threshold.is_some_and(|threshold| latency > threshold) => {
                &mut counts.slow
            }
            AttemptEnd::Served => &mut counts.good,
            AttemptEnd::Failed => &mut counts.failed,
            AttemptEnd::Unreached => &mut counts.unreached,
            AttemptEnd::Silent => &mut counts.silent,
            AttemptEnd::Inconclusive => return,
        };
        *count = count.saturating_add(1);
    }

    /// Counts attempts that have been pending for too long as silent. To be called several times a second: after a gap
    /// longer than 1.5 s this process was suspended, and all counts and pending attempts are discarded.
    pub fn tick(&mut self, now: Duration) {
        if now.saturating_sub(self.last_tick) > MAX_TICK_GAP {
            self.slots.clear();
            self.pending.clear();
        }
        self.last_tick = now;
        self.remove_expired_slots(now);
        let mut silent = Vec::new();
        for (attempt, pending) in &self.pending {
            if pending.silent_slot.is_none()
                && now.saturating_sub(pending.started_at) > self.silence_threshold(pending.class)
            {
                silent.push((*attempt, pending.node));
            }
        }
        let slot = self.slot_at(now);
        for (attempt, node) in silent {
            let counts = self.counts_mut(node, now);
            counts.silent = counts.silent.saturating_add(1);
            if let Some(pending) = self.pending.get_mut(&attempt) {
                pending.silent_slot = Some(slot);
            }
        }
    }

    /// Discards the counts and the pending attempts of all other nodes.
    pub(crate) fn retain_nodes(&mut self, is_retained: impl Fn(&NodeId) -> bool) {
        self.slots
            .iter_mut()
            .for_each(|(_, counts_by_node)| counts_by_node.retain(|node, _| is_retained(node)));
        self.pending.retain(|_, pending| is_retained(&pending.node));
    }

    /// The counts to store in a snapshot, with their largest ages. Pending attempts are left out, as the next process
    /// does not see how they end.
    pub(crate) fn stored_counts(&self, now: Duration) -> Vec<StoredCounts> {
        let slot_length = self.slot_length();
        let store_slot = |(slot, counts_by_node): &(u64, HashMap<NodeId, AttemptCounts>)| {
            let slot_start = slot_length.saturating_mul(u32::try_from(*slot).unwrap_or(u32::MAX));
            let age_ms = millis_rounded_up(now.saturating_sub(slot_start));
            counts_by_node
                .iter()
                .map(move |(node, counts)| StoredCounts { node: node.0, age_ms, counts: *counts })
                .collect()
        };
        self.slots.iter().flat_map(|slot| -> Vec<StoredCounts> { store_slot(slot) }).collect()
    }

    /// The typical latencies to store in a snapshot. `classes` holds the hashes of the names of the classes.
    pub(crate) fn stored_latencies(&self, classes: &[u64]) -> Vec<StoredLatency> {
        let by_class = classes.iter().zip(&self.typical_latencies);
        by_class
            .map(|(class, latency)| StoredLatency {
                class: *class,
                samples: latency.samples,
                mean_log_seconds: latency.mean_log_seconds,
            })
            .collect()
    }

    /// Adds counts of a predecessor that were stored `elapsed` ago. Returns how many are still in the window.
    pub(crate) fn restore_counts(
        &mut self,
        stored: &[StoredCounts],
        elapsed: Duration,
        now: Duration,
    ) -> usize {
        let mut slots: BTreeMap<u64, HashMap<NodeId, AttemptCounts>> =
            std::mem::take(&mut self.slots).into_iter().collect();
        let oldest = self.slot_at(now).saturating_sub(u64::from(WINDOW_SLOTS) - 1);
        let mut restored = 0;
        for item in stored {
            // Uses the slot of the oldest attempt, so that no attempt gets younger.
            let Some(at) = now.checked_sub(elapsed.saturating_add(Duration::from_millis(item.age_ms))) else {
                continue;
            };
            let slot = self.slot_at(at);
            if slot >= oldest {
                slots.entry(slot).or_default().entry(NodeId(item.node)).or_default().add(&item.counts);
                restored += 1;
            }
        }
        self.slots = slots.into_iter().collect();
        self.last_tick = now;
        restored
    }

    /// Restores the typical latencies of classes that have no samples yet.
    pub(crate) fn restore_latencies(&mut self, stored: &[StoredLatency], classes: &[u64]) {
        for (class, latency) in classes.iter().zip(&mut self.typical_latencies) {
            let of_class = stored.iter().find(|s| s.class == *class && s.mean_log_seconds.is_finite());
            if let Some(stored) = of_class.filter(|_| latency.samples == 0) {
                *latency =
                    TypicalLatency { samples: stored.samples, mean_log_seconds: stored.mean_log_seconds };
            }
        }
    }

    /// The counts of each node by part of the window, the youngest part first.
    pub fn parts_by_node(&self, now: Duration) -> HashMap<NodeId, [WindowPart; WINDOW_PARTS]> {
        let mut parts: HashMap<NodeId, [WindowPart; WINDOW_PARTS]> = HashMap::new();
        let slots_per_part = WINDOW_SLOTS as usize / WINDOW_PARTS;
        for (slot, counts_by_node) in &self.slots {
            let part_index = usize::try_from(self.slot_at(now).saturating_sub(*slot)).unwrap_or(usize::MAX)
                / slots_per_part;
            for (node, counts) in counts_by_node {
                if let Some(part) = parts.entry(*node).or_default().get_mut(part_index) {
                    part.good = part.good.saturating_add(counts.good);
                    part.bad = part.bad.saturating_add(counts.bad());
                }
            }
        }
        parts
    }

    /// The counts of each node in the window.
    pub fn counts_by_node(&self) -> HashMap<NodeId, AttemptCounts> {
        let mut sums: HashMap<NodeId, AttemptCounts> = HashMap::new();
        for (node, counts) in self.slots.iter().flat_map(|(_, counts_by_node)| counts_by_node) {
            sums.entry(*node).or_default().add(counts);
        }
        sums
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    /// An observer with a typical latency of 10 ms.
    fn observer_with_samples() -> Observer {
        let mut observer = Observer::new(Settings::default(), 1, ms(0));
        for i in 0..20 {
            observer.record_start((i, 0), NodeId(1), 0, ms(0));
            observer.record_end((i, 0), AttemptEnd::Served, ms(10));
        }
        observer
    }

    #[test]
    fn attempts_are_counted_once_and_late_answers_turn_silent_into_slow() {
        let mut observer = observer_with_samples();
        for (i, end) in
            [AttemptEnd::Failed, AttemptEnd::Unreached, AttemptEnd::Silent, AttemptEnd::Inconclusive]
                .into_iter()
                .enumerate()
        {
            observer.record_start((100, i), NodeId(2), 0, ms(20));
            observer.record_end((100, i), end, ms(30));
            observer.record_end((100, i), end, ms(30));
        }
        let counts = AttemptCounts { failed: 1, unreached: 1, silent: 1, ..AttemptCounts::default() };
        assert_eq!(observer.counts_by_node()[&NodeId(2)], counts);
        assert_eq!(
            observer.counts_by_node()[&NodeId(1)],
            AttemptCounts { good: 20, ..AttemptCounts::default() }
        );
        observer.record_start((200, 0), NodeId(3), 0, ms(30));
        observer.tick(ms(100));
        assert!(!observer.counts_by_node().contains_key(&NodeId(3)));
        observer.tick(ms(150));
        observer.tick(ms(160));
        assert_eq!(
            observer.counts_by_node()[&NodeId(3)],
            AttemptCounts { silent: 1, ..AttemptCounts::default() }
        );
        observer.record_end((200, 0), AttemptEnd::Served, ms(170));
        assert_eq!(
            observer.counts_by_node()[&NodeId(3)],
            AttemptCounts { slow: 1, ..AttemptCounts::default() }
        );
    }

    #[test]
    fn cancelled_attempts_count_as_silent_only_if_late_or_overtaken() {
        let mut observer = observer_with_samples();
        for (i, latency_ms) in [70, 90].into_iter().enumerate() {
            observer.record_start((400, i), NodeId(4), 0, ms(20));
            observer.record_end((400, i), AttemptEnd::Cancelled, ms(20 + latency_ms));
        }
        assert_eq!(
            observer.counts_by_node()[&NodeId(4)],
            AttemptCounts { silent: 1, ..AttemptCounts::default() }
        );
        // The second of three attempts overtakes the first; the third started later.
        (0..3).for_each(|i| observer.record_start((500, i), NodeId(5 + i as u64), 0, ms(200)));
        observer.record_end((500, 1), AttemptEnd::Served, ms(203));
        observer.record_end((500, 0), AttemptEnd::Cancelled, ms(203));
        observer.record_end((500, 2), AttemptEnd::Cancelled, ms(203));
        assert_eq!(
            observer.counts_by_node()[&NodeId(5)],
            AttemptCounts { silent: 1, ..AttemptCounts::default() }
        );
        assert!(!observer.counts_by_node().contains_key(&NodeId(7)));
    }

    #[test]
    fn counts_expire_with_the_window() {
        let mut observer = observer_with_samples();
        let window = Settings::default().window();
        for step in 0..=70u32 {
            observer.tick(window / 64 * step);
        }
        assert!(observer.counts_by_node().is_empty());
    }

    #[test]
    fn parts_hold_the_counts_with_the_youngest_part_first() {
        let mut observer = observer_with_samples();
        let part_length = Settings::default().window() / WINDOW_PARTS as u32;
        for (id, at, end) in [
            (1, part_length, AttemptEnd::Served),
            (2, 4 * part_length, AttemptEnd::Failed),
            (3, 4 * part_length, AttemptEnd::Served),
        ] {
            observer.record_start((600 + id, 0), NodeId(9), 0, at);
            observer.record_end((600 + id, 0), end, at);
        }
        let parts = observer.parts_by_node(part_length * 5)[&NodeId(9)];
        let (good, good_and_bad) = (WindowPart { good: 1, bad: 0 }, WindowPart { good: 1, bad: 1 });
        assert_eq!((parts[1], parts[4]), (good_and_bad, good), "{parts:?}");
        assert_eq!(parts.iter().filter(|part| **part == WindowPart::default()).count(), WINDOW_PARTS - 2);
    }

    #[test]
    fn suspended_process_discards_its_observations() {
        let mut observer = observer_with_samples();
        observer.record_start((300, 0), NodeId(2), 0, ms(20));
        observer.tick(ms(20));
        observer.tick(ms(9000));
        observer.record_end((300, 0), AttemptEnd::Silent, ms(9001));
        assert!(observer.counts_by_node().is_empty());
    }
}
