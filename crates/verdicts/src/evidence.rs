//! What this proxy saw of nodes lately.

use crate::snapshot::{KeptSeen, KeptUsual, millis_up};
use crate::{NodeId, Settings};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// Slots of the window: what leaves it does so in parts of this size.
const SLOTS: u32 = 16;
/// Attempts of a class before anything is called slow or silent by it.
const LEARNT: u64 = 8;
/// Weight of a new attempt in what is usual for a class, once there are many.
const USUAL_WEIGHT: f64 = 0.02;
/// Nothing is late before this: timers and busy machines are as late.
const LEAST_LATE: Duration = Duration::from_millis(20);
/// Who was not asked for so many times the usual stood still, and nothing that it has out tells of nodes.
const STOOD_STILL: Duration = Duration::from_millis(1500);

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It was answered.
    Served,
    /// It was answered with an error, or its connection broke.
    Failed,
    /// No connection came about.
    Unreached,
    /// Nothing came in its time.
    Silent,
    /// It was cancelled, as another attempt was answered or its client left: it tells something only where it had
    /// gone on for too long, or one that was sent later was answered before. The latter is what most tell of a node
    /// that hangs where requests are repeated after a few milliseconds.
    Cancelled,
    /// It tells nothing: it was turned away for want of room, or never left.
    Inconclusive,
}

/// Attempts at a node by how they went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// Answered in a usual time.
    pub good: u32,
    /// Never connected.
    pub unreached: u32,
    /// Answered with an error, or broken off.
    pub failed: u32,
    /// Without an answer for far longer than usual.
    pub silent: u32,
    /// Answered, but far later than usual.
    pub slow: u32,
}

impl AttemptCounts {
    /// Those that went badly.
    pub fn bad(&self) -> u32 {
        self.unreached.saturating_add(self.failed).saturating_add(self.silent).saturating_add(self.slow)
    }

    /// All.
    pub fn total(&self) -> u32 {
        self.good.saturating_add(self.bad())
    }

    /// Adds another's.
    pub fn add(&mut self, other: &Self) {
        for (mine, theirs) in [
            (&mut self.good, other.good),
            (&mut self.unreached, other.unreached),
            (&mut self.failed, other.failed),
            (&mut self.silent, other.silent),
            (&mut self.slow, other.slow),
        ] {
            *mine = mine.saturating_add(theirs);
        }
    }
}

/// Parts of the window, of two slots each, in which what is recent is told.
pub const WINDOW_PARTS: usize = 8;

/// Attempts at a node in one part of the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WindowPart {
    /// Those that went well,
    pub good: u32,
    /// and those that did not.
    pub bad: u32,
}

/// What is usual for a class: the mean of the logarithms, as a few very long ones must not move it far.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    samples: u64,
    log: f64,
}

impl Usual {
    fn add(&mut self, took: Duration) {
        self.samples += 1;
        let weight = USUAL_WEIGHT.max(1.0 / self.samples as f64);
        self.log += weight * (took.as_secs_f64().max(1e-6).ln() - self.log);
    }

    fn times(&self, factor: f64) -> Option<Duration> {
        (self.samples >= LEARNT).then(|| {
            Duration::try_from_secs_f64(self.log.exp() * factor).unwrap_or(Duration::MAX).max(LEAST_LATE)
        })
    }
}

#[derive(Clone, Copy, Debug)]
struct Out {
    node: NodeId,
    class: usize,
    at: Duration,
    /// The slot in which it was counted as silent.
    counted: Option<u64>,
    /// One that was sent later was answered before it.
    overtaken: bool,
}

/// Counts attempts. Bounds: one counts for each node and slot in which it was sent to, and what is out, of which
/// there is as much as the caller has.
#[derive(Debug)]
pub struct Observer {
    settings: Settings,
    slots: VecDeque<(u64, HashMap<NodeId, AttemptCounts>)>,
    out: HashMap<(u64, usize), Out>,
    usual: Vec<Usual>,
    ticked: Duration,
}

impl Observer {
    /// One that has seen nothing, of so many classes.
    pub fn new(settings: Settings, classes: usize, now: Duration) -> Self {
        Self {
            settings,
            slots: VecDeque::new(),
            out: HashMap::new(),
            usual: vec![Usual::default(); classes],
            ticked: now,
        }
    }

    /// How long a slot is, in whole milliseconds.
    fn each(&self) -> Duration {
        let each = (self.settings.window() / SLOTS).as_millis().max(1);
        Duration::from_millis(u64::try_from(each).unwrap_or(u64::MAX))
    }

    fn slot(&self, now: Duration) -> u64 {
        u64::try_from(now.as_millis() / self.each().as_millis()).unwrap_or(u64::MAX)
    }

    /// The counts of a node, of now.
    fn counts_mut(&mut self, node: NodeId, now: Duration) -> &mut AttemptCounts {
        let slot = self.slot(now);
        if self.slots.back().is_none_or(|(last, _)| *last != slot) {
            self.slots.push_back((slot, HashMap::new()));
        }
        self.age(now);
        let last = self.slots.len() - 1;
        self.slots[last].1.entry(node).or_default()
    }

    fn age(&mut self, now: Duration) {
        // One less, as the oldest is already part of a slot older than its end.
        let oldest = self.slot(now).saturating_sub(u64::from(SLOTS) - 1);
        while self.slots.front().is_some_and(|(slot, _)| *slot < oldest) {
            self.slots.pop_front();
        }
    }

    /// What is out for longer is silent.
    fn limit(&self, class: usize) -> Duration {
        let usual = self.usual.get(class).and_then(|usual| usual.times(2.0 * self.settings.slow_factor));
        usual.map_or(self.settings.silent_after, |usual| usual.min(self.settings.silent_after))
    }

    /// An attempt begins.
    pub fn record_start(&mut self, attempt: (u64, usize), node: NodeId, class: usize, now: Duration) {
        self.out.insert(attempt, Out { node, class, at: now, counted: None, overtaken: false });
    }

    /// An attempt has ended.
    pub fn record_end(&mut self, attempt: (u64, usize), end: AttemptEnd, now: Duration) {
        let Some(out) = self.out.remove(&attempt) else { return };
        let took = now.saturating_sub(out.at);
        let slow = self.usual.get(out.class).and_then(|usual| usual.times(self.settings.slow_factor));
        if end == AttemptEnd::Served
            && let Some(usual) = self.usual.get_mut(out.class)
        {
            usual.add(took);
            for earlier in 0..attempt.1 {
                let earlier = self.out.get_mut(&(attempt.0, earlier));
                earlier.into_iter().for_each(|out| out.overtaken = true);
            }
        }
        if let Some(counted) = out.counted {
            // It was silent, and so it stays, unless it is known better now.
            if end != AttemptEnd::Served {
                return;
            }
            let then = self.slots.iter_mut().find(|(slot, _)| *slot == counted);
            if let Some(counts) = then.and_then(|(_, tallies)| tallies.get_mut(&out.node)) {
                counts.silent = counts.silent.saturating_sub(1);
            }
        }
        let late = out.overtaken || took > self.limit(out.class);
        if end == AttemptEnd::Inconclusive || end == AttemptEnd::Cancelled && !late {
            return;
        }
        let counts = self.counts_mut(out.node, now);
        let count = match end {
            AttemptEnd::Cancelled => &mut counts.silent,
            AttemptEnd::Served if slow.is_some_and(|slow| took > slow) => &mut counts.slow,
            AttemptEnd::Served => &mut counts.good,
            AttemptEnd::Failed => &mut counts.failed,
            AttemptEnd::Unreached => &mut counts.unreached,
            AttemptEnd::Silent => &mut counts.silent,
            AttemptEnd::Inconclusive => return,
        };
        *count = count.saturating_add(1);
    }

    /// Counts as silent what has been out for too long. To be called several times a second. A process that was
    /// not asked for long stood still: it has seen nothing meanwhile, and what it has out tells of itself.
    pub fn tick(&mut self, now: Duration) {
        if now.saturating_sub(self.ticked) > STOOD_STILL {
            self.slots.clear();
            self.out.clear();
        }
        self.ticked = now;
        self.age(now);
        let mut late = Vec::new();
        for (attempt, out) in &self.out {
            if out.counted.is_none() && now.saturating_sub(out.at) > self.limit(out.class) {
                late.push((*attempt, out.node));
            }
        }
        let slot = self.slot(now);
        for (attempt, node) in late {
            let counts = self.counts_mut(node, now);
            counts.silent = counts.silent.saturating_add(1);
            if let Some(out) = self.out.get_mut(&attempt) {
                out.counted = Some(slot);
            }
        }
    }

    /// Forgets all nodes but these, with what is under way there.
    pub(crate) fn keep(&mut self, which: impl Fn(&NodeId) -> bool) {
        self.slots.iter_mut().for_each(|(_, tallies)| tallies.retain(|node, _| which(node)));
        self.out.retain(|_, out| which(&out.node));
    }

    /// What a process that comes after this one is told of attempts, with their greatest ages. What is under way is not
    /// told: nobody will hear how it ends.
    pub(crate) fn kept(&self, now: Duration) -> Vec<KeptSeen> {
        let each = self.each();
        let of_slot = |(slot, tallies): &(u64, HashMap<NodeId, AttemptCounts>)| {
            let began = each.saturating_mul(u32::try_from(*slot).unwrap_or(u32::MAX));
            let age_ms = millis_up(now.saturating_sub(began));
            tallies
                .iter()
                .map(move |(node, counts)| KeptSeen { node: node.0, age_ms, counts: *counts })
                .collect()
        };
        self.slots.iter().flat_map(|slot| -> Vec<KeptSeen> { of_slot(slot) }).collect()
    }

    /// What is usual for each class, by a key of its name.
    pub(crate) fn usual(&self, classes: &[u64]) -> Vec<KeptUsual> {
        let known = classes.iter().zip(&self.usual);
        known.map(|(key, u)| KeptUsual { class: *key, samples: u.samples, log: u.log }).collect()
    }

    /// Goes on from what a process before this one saw, `since` after it said so. Adds up with what is known here.
    pub(crate) fn restore(&mut self, seen: &[KeptSeen], since: Duration, now: Duration) -> usize {
        let mut slots: BTreeMap<u64, HashMap<NodeId, AttemptCounts>> =
            std::mem::take(&mut self.slots).into_iter().collect();
        let oldest = self.slot(now).saturating_sub(u64::from(SLOTS) - 1);
        let mut taken = 0;
        for kept in seen {
            // In the slot in which the oldest of it lies: nothing may seem younger than it is.
            let Some(at) = now.checked_sub(since.saturating_add(Duration::from_millis(kept.age_ms))) else {
                continue;
            };
            let slot = self.slot(at);
            if slot >= oldest {
                slots.entry(slot).or_default().entry(NodeId(kept.node)).or_default().add(&kept.counts);
                taken += 1;
            }
        }
        self.slots = slots.into_iter().collect();
        self.ticked = now;
        taken
    }

    /// Goes on from what was usual for classes of the same name.
    pub(crate) fn take_up_usual(&mut self, kept: &[KeptUsual], classes: &[u64]) {
        for (key, usual) in classes.iter().zip(&mut self.usual) {
            let same = kept.iter().find(|k| k.class == *key && k.log.is_finite());
            if let Some(kept) = same.filter(|_| usual.samples == 0) {
                *usual = Usual { samples: kept.samples, log: kept.log };
            }
        }
    }

    /// The same by parts of the window, the youngest first.
    pub fn parts_by_node(&self, now: Duration) -> HashMap<NodeId, [WindowPart; WINDOW_PARTS]> {
        let mut parts: HashMap<NodeId, [WindowPart; WINDOW_PARTS]> = HashMap::new();
        let each = SLOTS as usize / WINDOW_PARTS;
        for (slot, tallies) in &self.slots {
            let age = usize::try_from(self.slot(now).saturating_sub(*slot)).unwrap_or(usize::MAX) / each;
            for (node, counts) in tallies {
                if let Some(part) = parts.entry(*node).or_default().get_mut(age) {
                    part.good = part.good.saturating_add(counts.good);
                    part.bad = part.bad.saturating_add(counts.bad());
                }
            }
        }
        parts
    }

    /// What was seen of each node in the window.
    pub fn counts_by_node(&self) -> HashMap<NodeId, AttemptCounts> {
        let mut seen: HashMap<NodeId, AttemptCounts> = HashMap::new();
        for (node, counts) in self.slots.iter().flat_map(|(_, tallies)| tallies) {
            seen.entry(*node).or_default().add(counts);
        }
        seen
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    /// One that knows 10 ms to be usual.
    fn learnt() -> Observer {
        let mut observer = Observer::new(Settings::default(), 1, ms(0));
        for i in 0..20 {
            observer.record_start((i, 0), NodeId(1), 0, ms(0));
            observer.record_end((i, 0), AttemptEnd::Served, ms(10));
        }
        observer
    }

    #[test]
    fn each_end_is_counted_once_and_a_late_answer_is_slow_and_no_longer_silent() {
        let mut observer = learnt();
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
    fn what_is_given_up_tells_something_only_where_it_was_late() {
        let mut observer = learnt();
        for (i, took) in [70, 90].into_iter().enumerate() {
            observer.record_start((400, i), NodeId(4), 0, ms(20));
            observer.record_end((400, i), AttemptEnd::Cancelled, ms(20 + took));
        }
        assert_eq!(
            observer.counts_by_node()[&NodeId(4)],
            AttemptCounts { silent: 1, ..AttemptCounts::default() }
        );
        // The first of three is overtaken by the second; the third was sent after that.
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
    fn what_was_seen_leaves_the_window() {
        let mut observer = learnt();
        let window = Settings::default().window();
        for step in 0..=70u32 {
            observer.tick(window / 64 * step);
        }
        assert!(observer.counts_by_node().is_empty());
    }

    #[test]
    fn parts_are_what_was_seen_the_youngest_first() {
        let mut observer = learnt();
        let each = Settings::default().window() / WINDOW_PARTS as u32;
        for (id, at, end) in [
            (1, each, AttemptEnd::Served),
            (2, 4 * each, AttemptEnd::Failed),
            (3, 4 * each, AttemptEnd::Served),
        ] {
            observer.record_start((600 + id, 0), NodeId(9), 0, at);
            observer.record_end((600 + id, 0), end, at);
        }
        let parts = observer.parts_by_node(each * 5)[&NodeId(9)];
        let (good, both) = (WindowPart { good: 1, bad: 0 }, WindowPart { good: 1, bad: 1 });
        assert_eq!((parts[1], parts[4]), (both, good), "{parts:?}");
        assert_eq!(parts.iter().filter(|p| **p == WindowPart::default()).count(), WINDOW_PARTS - 2);
    }

    #[test]
    fn who_stood_still_has_seen_nothing() {
        let mut observer = learnt();
        observer.record_start((300, 0), NodeId(2), 0, ms(20));
        observer.tick(ms(20));
        observer.tick(ms(9000));
        observer.record_end((300, 0), AttemptEnd::Silent, ms(9001));
        assert!(observer.counts_by_node().is_empty());
    }
}
