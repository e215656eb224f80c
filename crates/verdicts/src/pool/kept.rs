//! What verdicts and the evidence behind them are to a process that comes after this one.

use super::{MOST_WORDS, Standing, Verdicts, Word};
use crate::judge::{Claim, Kind};
use crate::snapshot::{KeptStanding, KeptWord, millis_up};
use crate::wire::{ENTRY_BYTES, EvidenceEntry};
use crate::{NodeId, Settings};
use dewpier_peers::ProxyId;
use std::collections::BTreeMap;
use std::time::Duration;

/// In the order in which they are kept, which stays.
const KINDS: [Kind; 5] = [Kind::Gone, Kind::Failing, Kind::Silent, Kind::Slow, Kind::Link];

/// When that was, on this process's clock; None where it speaks for nothing any more.
fn made(settings: &Settings, age_ms: u64, since: Duration, now: Duration) -> Option<Duration> {
    let age = since.checked_add(Duration::from_millis(age_ms))?;
    now.checked_sub(age).filter(|_| age <= settings.window())
}

impl Verdicts {
    /// Words of others, the youngest first.
    pub(crate) fn kept_words(&self, now: Duration) -> Vec<KeptWord> {
        let all = self.words.iter().flat_map(|(node, words)| words.iter().map(move |word| (node, word)));
        let kept = |(node, (name, word)): (&NodeId, (&ProxyId, &Word))| {
            let mut bytes = Vec::with_capacity(ENTRY_BYTES);
            EvidenceEntry { node: *node, ..word.entry }.write(&mut bytes);
            let entry = <[u8; ENTRY_BYTES]>::try_from(bytes).ok()?;
            let age_ms = millis_up(now.saturating_sub(word.made));
            let rests_ms = word.rests.map(|rests| millis_up(now.saturating_sub(rests)));
            Some(KeptWord { name: name.0, incarnation: word.incarnation, age_ms, rests_ms, entry })
        };
        let mut words: Vec<KeptWord> = all.filter_map(kept).collect();
        words.sort_by_key(|word| (word.age_ms, word.name));
        words
    }

    /// Verdicts that stand, without what they rest on.
    pub(crate) fn kept_standing(&self, now: Duration) -> Vec<KeptStanding> {
        let kept = |(node, s): (&NodeId, &Standing)| {
            let kind = KINDS.iter().position(|kind| *kind == s.kind)? as u8;
            Some(KeptStanding {
                node: node.0,
                kind,
                severe: s.claim.severe,
                since_ms: millis_up(now.saturating_sub(s.since)),
                rests_ms: millis_up(now.saturating_sub(s.rests)),
                mine: s.mine,
                met: s.met.iter().map(|name| name.0).collect(),
            })
        };
        self.standing.iter().filter_map(kept).collect()
    }

    /// Goes on from words that a process before this one heard, `since` after it kept them: those of proxies of the
    /// fleet that are young enough, on listed nodes.
    pub(crate) fn take_up_words(
        &mut self,
        kept: &[KeptWord],
        others: impl Fn(ProxyId) -> bool,
        since: Duration,
        now: Duration,
    ) -> usize {
        let mut taken = 0;
        for word in kept.iter().filter(|word| others(ProxyId(word.name))) {
            let entry = EvidenceEntry::read(&word.entry);
            let Some(made) = made(&self.settings, word.age_ms, since, now) else { continue };
            if !self.known.contains(&entry.node) {
                continue;
            }
            let rests = word.rests_ms.and_then(|age_ms| self::made(&self.settings, age_ms, since, now));
            let words: &mut BTreeMap<ProxyId, Word> = self.words.entry(entry.node).or_default();
            // What was heard since the start is younger.
            if words.len() < MOST_WORDS && !words.contains_key(&ProxyId(word.name)) {
                words.insert(ProxyId(word.name), Word { incarnation: word.incarnation, entry, made, rests });
                taken += 1;
            }
        }
        taken
    }

    /// Goes on from verdicts that a process before this one held, `since` after it kept them. What they rest on decides
    /// at the next judgement whether they stand: nothing is kept alive by this alone.
    pub(crate) fn take_up_standing(
        &mut self,
        kept: &[KeptStanding],
        since: Duration,
        now: Duration,
    ) -> usize {
        let mut taken = 0;
        for held in kept {
            let node = NodeId(held.node);
            let Some(kind) = KINDS.get(usize::from(held.kind)).copied() else { continue };
            let Some(rests) = made(&self.settings, held.rests_ms, since, now) else { continue };
            if !self.known.contains(&node) || self.standing.contains_key(&node) {
                continue;
            }
            let began = now.saturating_sub(since.saturating_add(Duration::from_millis(held.since_ms)));
            let met = held.met.iter().take(MOST_WORDS).map(|name| ProxyId(*name)).collect();
            let claim = Claim { severe: held.severe, kind };
            let standing =
                Standing { met, mine: held.mine, kind, claim, since: began, rests, odds: 0.0, observers: 0 };
            self.standing.insert(node, standing);
            taken += 1;
        }
        taken
    }
}
