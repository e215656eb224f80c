//! From tallies of many proxies to a judgement on one node.
//!
//! A sequential test (Wald 1945) of "it does as its like do" against "it fails half of what it is asked" and
//! against "one in ten", whichever tells more. What each proxy adds is bounded on both sides, so that the odds
//! needed can't come from one.
//!
//! A node that turns bad was well before, and what went well then says nothing of it now: the test is made over each span
//! from some moment of the window up to now, and goes by the one that tells most (a change point, as in Page 1954, but
//! the same one for all proxies, so that whoever sees the node do well since then is heard).

use crate::{AttemptCounts, Settings, WINDOW_PARTS, WindowPart};
use serde::Serialize;

/// Parts of the attempts that go wrong at a node that is bad: plainly so, or now and then.
const BAD: [f64; 2] = [0.5, 0.1];
/// As long as so much goes wrong by chance, with a node whose like do well.
const LEAST_USUAL: f64 = 0.01;
/// A node is bad only where it does so many times worse than its like.
const WORSE: f64 = 2.5;
/// Who sees more than this part go wrong elsewhere too doubts itself.
const DOUBT: f64 = 0.5;
/// A verdict that stands ends below this part of what it needed to come about: one trial that fails, anywhere in
/// the fleet, bears it out, and two that do not lift it.
const KEPT: f64 = 0.25;
/// So clear the good word of one side must be, in logarithms of odds, for the other's trouble to be its own.
const CLEARED: f64 = 2.0;

/// What holds of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// It can't be connected to.
    Gone,
    /// It answers with errors, or breaks off.
    Failing,
    /// It takes requests and does not answer.
    Silent,
    /// It answers far later than others.
    Slow,
    /// It serves others, but not the proxies of this zone.
    Link,
    /// An operator says so.
    Ruled,
}

/// A verdict that another proxy holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Half of all goes wrong there, or more.
    pub severe: bool,
    /// In which way.
    pub kind: Kind,
}

/// What one proxy brings to a judgement.
#[derive(Clone, Copy, Debug)]
pub struct ProxyEvidence {
    /// It holds a verdict itself.
    pub claims: Option<Claim>,
    /// It is in this proxy's zone.
    pub near: bool,
    /// What it saw.
    pub counts: AttemptCounts,
    /// The same by parts of the window, the youngest first.
    pub parts: [WindowPart; WINDOW_PARTS],
    /// The part that went wrong for it at all other nodes.
    pub others: f64,
}

/// What all that comes to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Judgement {
    /// What holds, if it is bad.
    pub kind: Option<Kind>,
    /// Half of all goes wrong there, or more.
    pub severe: bool,
    /// Logarithm of the odds that it is bad.
    pub odds: f64,
    /// Proxies that have seen something go wrong there, but for those that doubt themselves.
    pub observers: usize,
}

/// Judges a node. `stood` says whether a verdict on it stands.
pub fn judge_node(settings: &Settings, seen: &[ProxyEvidence], stood: bool) -> Judgement {
    let trusted: Vec<&ProxyEvidence> =
        seen.iter().filter(|w| w.others <= DOUBT && (w.counts.total() > 0 || w.claims.is_some())).collect();
    let usual = median(trusted.iter().map(|w| w.others).collect()).max(LEAST_USUAL);
    let needed = settings.required_log_odds() * if stood { KEPT } else { 1.0 };
    let observers = trusted.iter().filter(|w| w.counts.bad() > 0 || w.claims.is_some()).count();
    let most = settings.max_log_odds_per_proxy();
    let mut best = Judgement { kind: None, severe: false, odds: f64::NEG_INFINITY, observers };
    for (severe, bad) in [(true, BAD[0]), (false, BAD[1])] {
        if bad < WORSE * usual {
            continue;
        }
        let (failure, success) = ((bad / usual).ln(), ((1.0 - bad) / (1.0 - usual)).ln());
        // Bounded on both sides, so that nobody outweighs others whatever it says.
        let each = |w: &ProxyEvidence, seen: WindowPart| match w.claims {
            Some(claim) if !severe || claim.severe => most,
            _ => (f64::from(seen.bad) * failure + f64::from(seen.good) * success).clamp(-most, most),
        };
        let sum = |near: bool, span: Option<usize>| {
            let of = trusted.iter().filter(|w| w.near == near);
            of.map(|w| each(w, w.since(span))).sum::<f64>()
        };
        let whole = (sum(true, None), sum(false, None));
        for span in [None].into_iter().chain((0..WINDOW_PARTS).map(Some)) {
            let (near, far) = (sum(true, span), sum(false, span));
            if severe {
                // Where near and far say opposite things it is the way there, and that is each side's own matter. Who saw
                // nothing in this span goes by what it saw before.
                let well = |lately: f64, all: f64| lately <= -CLEARED || lately <= 0.0 && all <= -CLEARED;
                let link = near >= needed && well(far, whole.1);
                if link || well(near, whole.0) && far >= most {
                    return Judgement { kind: link.then_some(Kind::Link), severe, odds: near, observers };
                }
            }
            let odds = near + far;
            if odds > best.odds && (span.is_none() || trusted.iter().any(|w| w.since(span).bad > 0)) {
                best = Judgement { kind: (odds >= needed).then(|| kind(&trusted)), severe, odds, observers };
            }
        }
    }
    best
}

impl ProxyEvidence {
    /// What it saw in so many parts of the window and one, up to now; in all of it where none is named.
    fn since(&self, span: Option<usize>) -> WindowPart {
        let whole = WindowPart { good: self.counts.good, bad: self.counts.bad() };
        let Some(span) = span else { return whole };
        let add = |a: WindowPart, b: &WindowPart| WindowPart {
            good: a.good.saturating_add(b.good),
            bad: a.bad.saturating_add(b.bad),
        };
        self.parts[..=span].iter().fold(WindowPart::default(), add)
    }
}

/// In which way it mostly goes wrong: by what was seen, or else by what is held.
fn kind(trusted: &[&ProxyEvidence]) -> Kind {
    let mut sum = AttemptCounts::default();
    trusted.iter().for_each(|w| sum.add(&w.counts));
    let seen = [
        (sum.unreached, Kind::Gone),
        (sum.failed, Kind::Failing),
        (sum.silent, Kind::Silent),
        (sum.slow, Kind::Slow),
    ];
    let held = |kind| trusted.iter().filter(|w| w.claims.is_some_and(|claim| claim.kind == kind)).count();
    let most = seen.into_iter().max_by_key(|(count, kind)| (*count, held(*kind)));
    most.map_or(Kind::Failing, |(_, kind)| kind)
}

/// The lower one of two in the middle: half of all proxies can't raise it.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn one(good: u32, failed: u32) -> ProxyEvidence {
        ProxyEvidence {
            claims: None,
            near: true,
            counts: AttemptCounts { good, failed, ..AttemptCounts::default() },
            parts: [WindowPart::default(); WINDOW_PARTS],
            others: 0.0,
        }
    }

    fn judged(seen: &[ProxyEvidence]) -> Option<Kind> {
        judge_node(&Settings::default(), seen, false).kind
    }

    #[test]
    fn three_that_saw_one_failure_each_condemn_and_two_with_a_thousand_do_not() {
        assert_eq!(judged(&[one(0, 1), one(0, 1), one(0, 1)]), Some(Kind::Failing));
        assert_eq!(judged(&[one(0, 1000), one(0, 1000)]), None);
        assert_eq!(judged(&[one(0, 1000)]), None);
    }

    #[test]
    fn what_went_well_before_it_turned_bad_does_not_speak_for_it_and_what_goes_well_since_does() {
        let turned = |good_since| {
            let mut w = one(20 + good_since, 1);
            (w.parts[0], w.parts[4]) =
                (WindowPart { good: good_since, bad: 1 }, WindowPart { good: 20, bad: 0 });
            w
        };
        assert_eq!(judged(&[turned(0); 3]), Some(Kind::Failing));
        // In the part in which it turned bad what went well before counts: one more has to meet it.
        let mixed = ProxyEvidence { parts: turned(1).parts, ..one(1, 1) };
        assert_eq!((judged(&[mixed; 3]), judged(&[mixed; 4])), (None, Some(Kind::Failing)));
        // Without the parts twenty that went well hide it.
        let blind = ProxyEvidence { parts: [WindowPart::default(); WINDOW_PARTS], ..turned(0) };
        assert_eq!(judged(&[blind; 3]), None);
        assert_eq!(judged(&[turned(0), turned(0), turned(2)]), None);
        // Others who see it do well since then are heard.
        let mut well = one(5, 0);
        well.parts[0].good = 5;
        assert_eq!(judged(&[turned(0), turned(0), turned(0), well]), None);
    }

    #[test]
    fn what_others_hold_counts_as_one_word_each_and_bad_luck_does_not_add_to_it() {
        let claims = ProxyEvidence { claims: Some(Claim { severe: true, kind: Kind::Silent }), ..one(0, 0) };
        assert_eq!(judged(&[claims, claims]), None);
        assert_eq!(judged(&[claims, claims, claims]), Some(Kind::Silent));
        assert_eq!(
            judged(&[
                ProxyEvidence { claims: Some(Claim { severe: true, kind: Kind::Silent }), ..one(0, 900) },
                claims
            ]),
            None
        );
        assert_eq!(judged(&[claims, claims, claims, one(90, 0)]), None);
    }

    #[test]
    fn one_in_ten_is_seen_and_one_in_a_hundred_is_usual() {
        let part = |good, failed| (0..12).map(|_| one(good, failed)).collect::<Vec<_>>();
        assert_eq!(judged(&part(9, 1)), Some(Kind::Failing));
        assert_eq!(judged(&part(99, 1)), None);
    }

    #[test]
    fn what_befalls_all_nodes_alike_condemns_none_and_who_sees_all_bad_doubts_itself() {
        let all_alike: Vec<ProxyEvidence> =
            (0..12).map(|_| ProxyEvidence { others: 0.4, ..one(6, 4) }).collect();
        assert_eq!(judged(&all_alike), None);
        let doubting: Vec<ProxyEvidence> =
            (0..12).map(|_| ProxyEvidence { others: 0.9, ..one(0, 9) }).collect();
        assert_eq!(judged(&doubting), None);
        // Three that are well off are enough beside them.
        let mut mixed = doubting;
        mixed.extend([one(9, 0), one(9, 0), one(9, 0)]);
        assert!(judge_node(&Settings::default(), &mixed, false).odds < 0.0);
    }

    #[test]
    fn one_zone_that_cannot_reach_it_condemns_the_link_for_itself_alone() {
        let mut seen: Vec<ProxyEvidence> = (0..4).map(|_| one(0, 5)).collect();
        seen.extend((4..8).map(|_| ProxyEvidence { near: false, ..one(20, 0) }));
        assert_eq!(judged(&seen), Some(Kind::Link));
        seen.iter_mut().for_each(|w| w.near = !w.near);
        assert_eq!(judged(&seen), None);
    }

    #[test]
    fn a_verdict_that_stands_ends_later_than_it_came() {
        let seen = [one(0, 1)];
        assert_eq!(judged(&seen), None);
        assert_eq!(judge_node(&Settings::default(), &seen, true).kind, Some(Kind::Failing));
        assert_eq!(judge_node(&Settings::default(), &[one(0, 1), one(2, 0)], true).kind, None);
    }
}
