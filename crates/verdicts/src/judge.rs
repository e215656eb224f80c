//! Judges one node from the attempt counts of many proxies.
//!
//! A sequential test (Wald 1945) compares the hypothesis "attempts at the node go wrong as rarely as at the
//! other nodes" with "half of them go wrong" and with "one in ten goes wrong", and uses the clearer of the two results.
//! The contribution of each proxy is limited in both directions, so that no single proxy can supply the required log
//! odds.
//!
//! Attempts that went well before a node turned bad say nothing about its present state. The test therefore runs over
//! each interval from some point in the window up to now, and the clearest interval decides: change point detection as
//! in Page (1954), with the same interval for all proxies, so that recent good attempts of any proxy count.

use crate::{AttemptCounts, Settings, WINDOW_PARTS, WindowPart};
use serde::Serialize;

/// The fraction of attempts that go wrong at a severely bad node.
const SEVERE_BAD_FRACTION: f64 = 0.5;
/// The fraction of attempts that go wrong at a mildly bad node.
const MILD_BAD_FRACTION: f64 = 0.1;
/// The lowest fraction of bad attempts assumed for a healthy node.
const MIN_BASELINE_FRACTION: f64 = 0.01;
/// A node can be bad only if its attempts go wrong at least this many times more often than at the other nodes.
const MIN_BAD_RATIO: f64 = 2.5;
/// The evidence of a proxy is ignored if a larger fraction of its attempts at other nodes went wrong.
const MAX_BAD_FRACTION_ELSEWHERE: f64 = 0.5;
/// An active verdict ends below this fraction of the required log odds: one bad trial anywhere in the fleet confirms
/// it, and two good ones end it.
const RETAINING_FRACTION: f64 = 0.25;
/// The log odds against a verdict at which the proxies inside or outside this zone consider a node healthy.
const CLEARING_LOG_ODDS: f64 = 2.0;

/// What is wrong with a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// The node accepts no connections.
    Gone,
    /// The node answers with errors, or disconnects.
    Failing,
    /// The node accepts requests and does not answer them.
    Silent,
    /// The node answers far later than other nodes.
    Slow,
    /// The node serves other proxies, but not those of this zone.
    Link,
    /// An operator keeps the node out.
    Ruled,
}

/// A verdict that another proxy holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// At least half of the attempts at the node go wrong.
    pub severe: bool,
    /// What is wrong with the node.
    pub kind: Kind,
}

/// The evidence of one proxy on a node.
#[derive(Clone, Copy, Debug)]
pub struct ProxyEvidence {
    /// The verdict that the proxy holds itself.
    pub claim: Option<Claim>,
    /// The proxy is in the same zone as this one.
    pub same_zone: bool,
    /// The proxy's attempts at the node by outcome.
    pub counts: AttemptCounts,
    /// The same attempts by part of the window, the youngest part first.
    pub parts: [WindowPart; WINDOW_PARTS],
    /// The fraction of the proxy's attempts at other nodes that went wrong.
    pub bad_fraction_elsewhere: f64,
}

/// The result of judging a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Judgement {
    /// What is wrong with the node; None if it is not judged bad.
    pub kind: Option<Kind>,
    /// At least half of the attempts at the node go wrong.
    pub severe: bool,
    /// The natural logarithm of the odds that the node is bad.
    pub log_odds: f64,
    /// The number of credible proxies with evidence against the node.
    pub observers: usize,
}

/// Judges a node by the evidence of all proxies. `is_active` says whether a verdict on it is already active, which then
/// requires less evidence.
pub fn judge_node(settings: &Settings, evidence: &[ProxyEvidence], is_active: bool) -> Judgement {
    let credible: Vec<&ProxyEvidence> = evidence
        .iter()
        .filter(|e| {
            e.bad_fraction_elsewhere <= MAX_BAD_FRACTION_ELSEWHERE
                && (e.counts.total() > 0 || e.claim.is_some())
        })
        .collect();
    let baseline =
        median(credible.iter().map(|e| e.bad_fraction_elsewhere).collect()).max(MIN_BASELINE_FRACTION);
    let required = settings.required_log_odds() * if is_active { RETAINING_FRACTION } else { 1.0 };
    let observers = credible.iter().filter(|e| e.counts.bad() > 0 || e.claim.is_some()).count();
    let max_per_proxy = settings.max_log_odds_per_proxy();
    let mut best = Judgement { kind: None, severe: false, log_odds: f64::NEG_INFINITY, observers };
    for (severe, assumed_bad_fraction) in [(true, SEVERE_BAD_FRACTION), (false, MILD_BAD_FRACTION)] {
        if assumed_bad_fraction < MIN_BAD_RATIO * baseline {
            continue;
        }
        let (per_bad_attempt, per_good_attempt) =
            ((assumed_bad_fraction / baseline).ln(), ((1.0 - assumed_bad_fraction) / (1.0 - baseline)).ln());
        // Limited in both directions, so that no proxy outweighs the others.
        let proxy_log_odds = |e: &ProxyEvidence, counts: WindowPart| match e.claim {
            Some(claim) if !severe || claim.severe => max_per_proxy,
            _ => (f64::from(counts.bad) * per_bad_attempt + f64::from(counts.good) * per_good_attempt)
                .clamp(-max_per_proxy, max_per_proxy),
        };
        let zone_log_odds = |same_zone: bool, oldest_part: Option<usize>| {
            let of_zone = credible.iter().filter(|e| e.same_zone == same_zone);
            of_zone.map(|e| proxy_log_odds(e, e.counts_since(oldest_part))).sum::<f64>()
        };
        let whole_window = (zone_log_odds(true, None), zone_log_odds(false, None));
        for oldest_part in [None].into_iter().chain((0..WINDOW_PARTS).map(Some)) {
            let (same_zone, other_zones) =
                (zone_log_odds(true, oldest_part), zone_log_odds(false, oldest_part));
            if severe {
                // If this zone and the others contradict each other, the link is at fault, and each side decides for
                // itself. A side without attempts in the interval is judged by the whole window.
                let is_cleared = |interval: f64, window: f64| {
                    interval <= -CLEARING_LOG_ODDS || interval <= 0.0 && window <= -CLEARING_LOG_ODDS
                };
                let is_link = same_zone >= required && is_cleared(other_zones, whole_window.1);
                if is_link || is_cleared(same_zone, whole_window.0) && other_zones >= max_per_proxy {
                    return Judgement {
                        kind: is_link.then_some(Kind::Link),
                        severe,
                        log_odds: same_zone,
                        observers,
                    };
                }
            }
            let log_odds = same_zone + other_zones;
            if log_odds > best.log_odds
                && (oldest_part.is_none() || credible.iter().any(|e| e.counts_since(oldest_part).bad > 0))
            {
                best = Judgement {
                    kind: (log_odds >= required).then(|| predominant_kind(&credible)),
                    severe,
                    log_odds,
                    observers,
                };
            }
        }
    }
    best
}

impl ProxyEvidence {
    /// The attempts from the start of a part of the window up to now; those of the whole window for None.
    fn counts_since(&self, oldest_part: Option<usize>) -> WindowPart {
        let whole_window = WindowPart { good: self.counts.good, bad: self.counts.bad() };
        let Some(oldest_part) = oldest_part else { return whole_window };
        let add = |a: WindowPart, b: &WindowPart| WindowPart {
            good: a.good.saturating_add(b.good),
            bad: a.bad.saturating_add(b.bad),
        };
        self.parts[..=oldest_part].iter().fold(WindowPart::default(), add)
    }
}

/// The most frequent kind among the bad attempts, or among the claims if the attempts are tied.
fn predominant_kind(credible: &[&ProxyEvidence]) -> Kind {
    let mut sum = AttemptCounts::default();
    credible.iter().for_each(|e| sum.add(&e.counts));
    let counts_by_kind = [
        (sum.unreached, Kind::Gone),
        (sum.failed, Kind::Failing),
        (sum.silent, Kind::Silent),
        (sum.slow, Kind::Slow),
    ];
    let count_claims = |kind| credible.iter().filter(|e| e.claim.is_some_and(|c| c.kind == kind)).count();
    let predominant = counts_by_kind.into_iter().max_by_key(|(count, kind)| (*count, count_claims(*kind)));
    predominant.map_or(Kind::Failing, |(_, kind)| kind)
}

/// The lower median: half of all proxies can't raise it.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn evidence(good: u32, failed: u32) -> ProxyEvidence {
        ProxyEvidence {
            claim: None,
            same_zone: true,
            counts: AttemptCounts { good, failed, ..AttemptCounts::default() },
            parts: [WindowPart::default(); WINDOW_PARTS],
            bad_fraction_elsewhere: 0.0,
        }
    }

    fn judged_kind(evidence: &[ProxyEvidence]) -> Option<Kind> {
        judge_node(&Settings::default(), evidence, false).kind
    }

    #[test]
    fn one_failure_at_each_of_three_proxies_suffices_and_any_number_at_two_does_not() {
        assert_eq!(judged_kind(&[evidence(0, 1), evidence(0, 1), evidence(0, 1)]), Some(Kind::Failing));
        assert_eq!(judged_kind(&[evidence(0, 1000), evidence(0, 1000)]), None);
        assert_eq!(judged_kind(&[evidence(0, 1000)]), None);
    }

    #[test]
    fn successes_count_only_after_the_node_turned_bad() {
        let turned_bad = |good_since| {
            let mut e = evidence(20 + good_since, 1);
            (e.parts[0], e.parts[4]) =
                (WindowPart { good: good_since, bad: 1 }, WindowPart { good: 20, bad: 0 });
            e
        };
        assert_eq!(judged_kind(&[turned_bad(0); 3]), Some(Kind::Failing));
        // A success in the same part as the failure counts, so that one more proxy is needed.
        let mixed = ProxyEvidence { parts: turned_bad(1).parts, ..evidence(1, 1) };
        assert_eq!((judged_kind(&[mixed; 3]), judged_kind(&[mixed; 4])), (None, Some(Kind::Failing)));
        // Without the parts, the twenty successes hide the failure.
        let without_parts = ProxyEvidence { parts: [WindowPart::default(); WINDOW_PARTS], ..turned_bad(0) };
        assert_eq!(judged_kind(&[without_parts; 3]), None);
        assert_eq!(judged_kind(&[turned_bad(0), turned_bad(0), turned_bad(2)]), None);
        // Recent successes of another proxy count.
        let mut successes = evidence(5, 0);
        successes.parts[0].good = 5;
        assert_eq!(judged_kind(&[turned_bad(0), turned_bad(0), turned_bad(0), successes]), None);
    }

    #[test]
    fn claim_counts_as_the_full_weight_of_its_proxy_and_failures_add_nothing_to_it() {
        let claimed =
            ProxyEvidence { claim: Some(Claim { severe: true, kind: Kind::Silent }), ..evidence(0, 0) };
        assert_eq!(judged_kind(&[claimed, claimed]), None);
        assert_eq!(judged_kind(&[claimed, claimed, claimed]), Some(Kind::Silent));
        assert_eq!(
            judged_kind(&[
                ProxyEvidence { claim: Some(Claim { severe: true, kind: Kind::Silent }), ..evidence(0, 900) },
                claimed
            ]),
            None
        );
        assert_eq!(judged_kind(&[claimed, claimed, claimed, evidence(90, 0)]), None);
    }

    #[test]
    fn one_failure_in_ten_is_bad_and_one_in_a_hundred_is_not() {
        let proxies = |good, failed| (0..12).map(|_| evidence(good, failed)).collect::<Vec<_>>();
        assert_eq!(judged_kind(&proxies(9, 1)), Some(Kind::Failing));
        assert_eq!(judged_kind(&proxies(99, 1)), None);
    }

    #[test]
    fn failures_at_all_nodes_make_no_node_bad() {
        let equal_everywhere: Vec<ProxyEvidence> =
            (0..12).map(|_| ProxyEvidence { bad_fraction_elsewhere: 0.4, ..evidence(6, 4) }).collect();
        assert_eq!(judged_kind(&equal_everywhere), None);
        let ignored: Vec<ProxyEvidence> =
            (0..12).map(|_| ProxyEvidence { bad_fraction_elsewhere: 0.9, ..evidence(0, 9) }).collect();
        assert_eq!(judged_kind(&ignored), None);
        // Three credible proxies decide among them.
        let mut mixed = ignored;
        mixed.extend([evidence(9, 0), evidence(9, 0), evidence(9, 0)]);
        assert!(judge_node(&Settings::default(), &mixed, false).log_odds < 0.0);
    }

    #[test]
    fn zone_that_alone_cannot_reach_the_node_judges_its_link_bad() {
        let mut proxies: Vec<ProxyEvidence> = (0..4).map(|_| evidence(0, 5)).collect();
        proxies.extend((4..8).map(|_| ProxyEvidence { same_zone: false, ..evidence(20, 0) }));
        assert_eq!(judged_kind(&proxies), Some(Kind::Link));
        proxies.iter_mut().for_each(|e| e.same_zone = !e.same_zone);
        assert_eq!(judged_kind(&proxies), None);
    }

    #[test]
    fn active_verdict_needs_less_evidence_than_a_new_one() {
        let proxies = [evidence(0, 1)];
        assert_eq!(judged_kind(&proxies), None);
        assert_eq!(judge_node(&Settings::default(), &proxies, true).kind, Some(Kind::Failing));
        assert_eq!(judge_node(&Settings::default(), &[evidence(0, 1), evidence(2, 0)], true).kind, None);
    }
}
