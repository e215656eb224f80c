//! What must not break, as functions of what was seen. None of it asks the program whether it did well: requests and
//! effects are counted at the stand-ins and by clients, and what a proxy says it holds is compared with them.

use crate::record::{Arrival, Record, VerdictReading};
use crate::schedule::{Fault, NodeFault, Schedule, Step};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// What was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Each request gets one final answer, in time.
    AnsweredInTime,
    /// No effect happens twice.
    NoDuplicateEffect,
    /// Nothing new goes to a node that drains.
    DrainRespected,
    /// No verdict acts on what was seen too long ago, and who hears nobody goes by what it sees itself.
    FreshVerdicts,
    /// A node that is plainly bad is avoided within the bound.
    TimelyAvoidance,
    /// Planners agree once all is well again.
    PlannerAgreement,
}

/// One case of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// What was broken.
    pub invariant: Invariant,
    /// How.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.details)
    }
}

/// The settings that the bounds are made of.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// No verdict acts on what was seen longer ago.
    pub max_evidence_age: Duration,
    /// How often proxies write to each other, and judge.
    pub send_interval: Duration,
    /// After which an attempt without an answer is silent.
    pub silent_after: Duration,
    /// So many proxies that met a node are enough for a verdict as long as at most 2% goes wrong elsewhere; one more
    /// where the machine stood still for longer than `chance`, so that up to 5% may.
    pub required_observers: usize,
    /// What one attempt that went well takes off, as a part of what one proxy weighs: it counts where it is told in one
    /// with those that went wrong.
    pub success_weight: f64,
    /// What is late by less can't be called slow.
    pub min_detectable_delay: Duration,
    /// How long a process that began anew takes to know what is usual: what is slow counts as well until then.
    pub latency_learning_time: Duration,
    /// Nodes that may be out at once.
    pub max_ejected: usize,
    /// In which requests have to be answered.
    pub request_deadline: Duration,
    /// After which nothing new goes to a node that drains.
    pub drain_grace: Duration,
    /// For timers and machines that are late; what the machine itself stood still is added.
    pub timing_slack: Duration,
}

impl Bounds {
    /// The time in which attempts, and what others say, count.
    pub fn evidence_window(&self) -> Duration {
        self.max_evidence_age / 2
    }

    /// So many more proxies are needed where so many attempts went well in the same part of the window.
    fn extra_observers(&self, good: usize) -> usize {
        (good as f64 * self.success_weight).ceil() as usize
    }

    /// From the moment on when enough proxies have met a node that is plainly bad, until 19 in 20 avoid it, where
    /// this part of all datagrams is lost: an attempt without an answer is told silent, the word goes out in the next
    /// round, of which so many are lost, and is judged in the next.
    pub fn avoidance_delay(&self, lost: f64) -> Duration {
        let rounds = if lost > 0.0 { (0.05f64.ln() / lost.ln()).ceil().max(1.0) as u32 } else { 1 };
        self.silent_after + self.send_interval * (rounds + 2)
    }
}

/// Everything that a play broke. `played` has the steps as they were played.
pub fn find_violations(record: &Record, played: &Schedule, bounds: &Bounds) -> Vec<Violation> {
    let bounds = Bounds { timing_slack: bounds.timing_slack + record.longest_stall, ..*bounds };
    let mut broken = check_answers(record, &bounds);
    broken.extend(check_duplicate_effects(record));
    broken.extend(check_drains(record, &bounds));
    broken.extend(check_verdict_freshness(record, played, &bounds));
    broken.extend(check_avoidance_bound(record, played, &bounds));
    broken.extend(
        record
            .planner_disagreement
            .clone()
            .map(|how| Violation { invariant: Invariant::PlannerAgreement, details: how }),
    );
    broken
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn step_start(step: &Step) -> Duration {
    ms(step.at_ms)
}

fn step_end(step: &Step) -> Duration {
    ms(step.end_ms())
}

/// Requests of proxies that ran meanwhile have an answer, in time.
fn check_answers(record: &Record, bounds: &Bounds) -> Vec<Violation> {
    let mut broken = Vec::new();
    for asked in &record.requests {
        if !record.must_be_answered(asked.proxy, asked.sent_at, asked.ended_at + bounds.timing_slack) {
            continue;
        }
        let took = asked.ended_at.saturating_sub(asked.sent_at);
        let how = match asked.status {
            None => {
                format!("{} at {:?} of proxy {}: no answer", asked.request_id, asked.sent_at, asked.proxy)
            }
            Some(_) if took > bounds.request_deadline + bounds.timing_slack => {
                format!("{} at {:?}: answered after {took:?}", asked.request_id, asked.sent_at)
            }
            Some(_) => continue,
        };
        broken.push(Violation { invariant: Invariant::AnsweredInTime, details: how });
    }
    broken
}

/// What must not run twice reached one node, once.
fn check_duplicate_effects(record: &Record) -> Vec<Violation> {
    let mut runs: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
    for arrival in record.arrivals.iter().filter(|a| a.must_run_once) {
        runs.entry(&arrival.request_id).or_default().push(arrival);
    }
    runs.retain(|_, runs| runs.len() > 1);
    let at = |runs: &[&Arrival]| {
        runs.iter().map(|a| format!("node {} at {:?}", a.node, a.arrived_at)).collect::<Vec<_>>().join(", ")
    };
    let one = |(order, runs): (&&str, &Vec<&Arrival>)| format!("{order} ran at {}", at(runs));
    runs.iter()
        .map(one)
        .map(|how| Violation { invariant: Invariant::NoDuplicateEffect, details: how })
        .collect()
}

/// Nothing new comes to a node from a proxy that has been told for long enough that it drains.
fn check_drains(record: &Record, bounds: &Bounds) -> Vec<Violation> {
    let mut broken = Vec::new();
    for drain in &record.drains {
        let after = drain.notified_at + bounds.drain_grace + record.longest_stall;
        for a in record.arrivals.iter().filter(|a| a.node == drain.node && a.proxy == drain.proxy) {
            if a.arrived_at > after && a.arrived_at < drain.ended_at {
                let how = format!(
                    "{} came from proxy {} to node {} {:?} after it was told",
                    a.request_id,
                    a.proxy,
                    a.node,
                    a.arrived_at - drain.notified_at
                );
                broken.push(Violation { invariant: Invariant::DrainRespected, details: how });
            }
        }
    }
    broken
}

/// Nodes that can't be reached leave no trace at a stand-in: they are bad for as long as they are gone.
fn is_unreachable(played: &Schedule, node: usize, since: Duration, until_: Duration) -> bool {
    let gone = Fault::Node { node, fault: NodeFault::Gone };
    played.steps.iter().any(|s| s.fault == gone && step_start(s) < until_ && since < step_end(s))
}

/// No verdict rests on older words than it may, each has something that went wrong behind it that is not older
/// than the bound, and who has heard nobody for that long holds none.
fn check_verdict_freshness(record: &Record, played: &Schedule, bounds: &Bounds) -> Vec<Violation> {
    let mut broken = Vec::new();
    for look in &record.verdict_readings {
        // Who stood still judges anew a round after it goes on.
        if !record.was_running(
            look.proxy,
            look.requested_at.saturating_sub(bounds.send_interval * 3 + bounds.timing_slack),
            look.answered_at,
        ) {
            continue;
        }
        let deaf = is_isolated(
            played,
            look.proxy,
            look.requested_at.saturating_sub(bounds.max_evidence_age + bounds.timing_slack),
            look.requested_at,
        );
        for held in &look.verdicts {
            let (proxy, node) = (look.proxy, held.node);
            let mut say =
                |how: String| broken.push(Violation { invariant: Invariant::FreshVerdicts, details: how });
            if held.oldest_report_age > bounds.evidence_window() + bounds.send_interval + bounds.timing_slack
            {
                say(format!(
                    "proxy {proxy} goes by a word on node {node} that is {:?} old",
                    held.oldest_report_age
                ));
            }
            if deaf && held.is_ejected {
                say(format!(
                    "proxy {proxy} keeps node {node} out at {:?} and has heard nobody",
                    look.requested_at
                ));
            }
            // On a busy machine an answer may be late by no fault of a node; nothing else goes wrong by chance.
            let since = look.requested_at.saturating_sub(bounds.max_evidence_age + bounds.timing_slack);
            let seen = |a: &Arrival| {
                a.node == node && a.is_faulty && a.arrived_at >= since && a.arrived_at <= look.answered_at
            };
            let chance = held.kind == "slow"
                || held.kind == "silent" && record.longest_stall > bounds.silent_after / 2;
            if held.is_ejected
                && !chance
                && !record.arrivals.iter().any(seen)
                && !is_unreachable(played, node, since, look.answered_at)
            {
                say(format!(
                    "proxy {proxy} keeps node {node} out as {} at {:?}, where nothing went wrong since {since:?}",
                    held.kind, look.requested_at
                ));
            }
        }
    }
    broken
}

/// How long after a fault of planners or of streams to them letters go all ways again: a stream that was silent is made
/// anew, after waits of up to a second, and each proxy writes by way of each planner once.
const STREAM_RECOVERY_TIME: Duration = Duration::from_secs(4);

/// Whether a fault keeps a planner from carrying letters from or to this proxy.
fn blocks_relay(fault: &Fault, planner: usize, proxy: usize) -> bool {
    match fault {
        Fault::AllPlanners => true,
        Fault::Planner { planner: of, .. } => *of == planner,
        Fault::Streams { proxies, to, .. } => to.contains(&planner) && proxies.contains(&proxy),
        _ => false,
    }
}

/// The part of planners by way of which letters between two proxies may not come.
fn blocked_planner_fraction(played: &Schedule, a: usize, b: usize, since: Duration, until_: Duration) -> f64 {
    let steps = || {
        played.steps.iter().filter(|s| step_start(s) < until_ && since < step_end(s) + STREAM_RECOVERY_TIME)
    };
    let fails = |p: &usize| steps().any(|s| blocks_relay(&s.fault, *p, a) || blocks_relay(&s.fault, *p, b));
    (0..played.planners).filter(fails).count() as f64 / played.planners.max(1) as f64
}

/// Whether everything that is said to a proxy was lost all the time.
fn is_isolated(played: &Schedule, proxy: usize, since: Duration, until_: Duration) -> bool {
    if played.relay_by_planners {
        let all_the_time = |p: usize| {
            let covers = |s: &&Step| step_start(s) <= since && step_end(s) >= until_;
            played.steps.iter().filter(covers).any(|s| blocks_relay(&s.fault, p, proxy))
        };
        return (0..played.planners).all(all_the_time);
    }
    (0..played.size.proxies).filter(|other| *other != proxy).all(|other| {
        played.steps.iter().any(|step| match &step.fault {
            Fault::Datagrams { from: a, to: b, lost_per_mille: 1000, .. } => {
                a.contains(&other)
                    && b.contains(&proxy)
                    && step_start(step) <= since
                    && step_end(step) >= until_
            }
            _ => false,
        })
    })
}

/// The part of datagrams that is lost at worst between two proxies, in either direction: a datagram counts only where it
/// answers one.
fn loss_fraction_between(played: &Schedule, a: usize, b: usize, since: Duration, until_: Duration) -> f64 {
    if played.relay_by_planners {
        return blocked_planner_fraction(played, a, b, since, until_);
    }
    let worst =
        played.steps.iter().filter(|s| step_start(s) < until_ && since < step_end(s)).map(|s| {
            match &s.fault {
                Fault::Datagrams { from, to, lost_per_mille: lost, .. }
                    if from.contains(&a) && to.contains(&b) || from.contains(&b) && to.contains(&a) =>
                {
                    f64::from(*lost) / 1000.0
                }
                _ => 0.0,
            }
        });
    worst.fold(0.0, f64::max)
}

/// How many looks the bound on avoidance was checked for, and what broke it.
pub struct AvoidanceCheck {
    /// Proxies and bad nodes for which the bound said something.
    pub checked: usize,
    /// Those that avoided it although fewer had met it than the bound needs, or too late in the play to tell.
    pub avoided_unbound: usize,
    /// Those that were late.
    pub violations: Vec<Violation>,
}

/// A proxy that runs and hears enough others who met a plainly bad node avoids it within the bound.
pub fn check_avoidance(record: &Record, played: &Schedule, bounds: &Bounds) -> AvoidanceCheck {
    let mut found = AvoidanceCheck { checked: 0, avoided_unbound: 0, violations: Vec::new() };
    for step in &played.steps {
        let Fault::Node { node, fault: NodeFault::Hangs | NodeFault::Fails | NodeFault::Slow } = step.fault
        else {
            continue;
        };
        for proxy in 0..played.size.proxies {
            let known = |look: &&VerdictReading| {
                look.proxy == proxy
                    && look.requested_at >= step_start(step)
                    && look.requested_at <= step_end(step)
            };
            let mut known = record.verdict_readings.iter().filter(known).flat_map(|look| &look.verdicts);
            let early = usize::from(known.any(|held| held.node == node && held.is_ejected));
            let Some((met, lost)) = enough_observers(record, played, bounds, step, node, proxy) else {
                found.avoided_unbound += early;
                continue;
            };
            let by = met + bounds.avoidance_delay(lost) + bounds.timing_slack;
            let span = met.saturating_sub(bounds.max_evidence_age)..by;
            // Words have to reach it all that time, and it has to have run. Who has not learnt what is usual takes what is
            // slow for well, and says so.
            let learnt = step_start(step).saturating_sub(bounds.latency_learning_time)..by;
            let slow = matches!(step.fault, Fault::Node { fault: NodeFault::Slow, .. });
            let unlearnt =
                slow && !(0..played.size.proxies).all(|p| record.was_running(p, learnt.start, learnt.end));
            if unlearnt || by > step_end(step) || !record.was_running(proxy, span.start, span.end) {
                found.avoided_unbound += early;
                continue;
            }
            found.checked += 1;
            let keeps = |look: &VerdictReading| {
                let out = look.verdicts.iter().filter(|h| h.is_ejected).count();
                look.verdicts.iter().any(|h| h.node == node && (h.is_ejected || out >= bounds.max_ejected))
            };
            let mut looks = record
                .verdict_readings
                .iter()
                .filter(|l| l.proxy == proxy && l.requested_at >= met && l.requested_at <= by);
            if !looks.any(keeps) {
                let how = format!(
                    "node {node} {:?} from {:?}: enough had met it at {met:?}, proxy {proxy} did not avoid it by {by:?}",
                    step.fault,
                    step_start(step)
                );
                found.violations.push(Violation { invariant: Invariant::TimelyAvoidance, details: how });
            }
        }
    }
    found
}

/// When enough proxies that this one hears had met a bad node, and the part of datagrams that is lost between them.
fn enough_observers(
    record: &Record,
    played: &Schedule,
    bounds: &Bounds,
    step: &Step,
    node: usize,
    proxy: usize,
) -> Option<(Duration, f64)> {
    // Spans begin with a part of the window. In the part in which it turned bad what went well before counts, so that
    // more have to meet it; from the next part on it does not.
    let (turned, part) = (step_start(step), bounds.evidence_window() / 8);
    let well = |a: &&Arrival| {
        a.node == node && !a.is_faulty && a.arrived_at + part >= turned && a.arrived_at <= turned + part
    };
    let more = bounds.extra_observers(record.arrivals.iter().filter(well).count());
    let early = enough_observers_since(record, played, bounds, [node, proxy], [turned, step_end(step)], more);
    let later =
        enough_observers_since(record, played, bounds, [node, proxy], [turned + part, step_end(step)], 0);
    early.into_iter().chain(later).min_by_key(|(met, _)| *met)
}

/// The same for those who met it in that span, where so many more than usual are needed.
fn enough_observers_since(
    record: &Record,
    played: &Schedule,
    bounds: &Bounds,
    [node, proxy]: [usize; 2],
    [first, end]: [Duration; 2],
    more: usize,
) -> Option<(Duration, f64)> {
    let met: Vec<&Arrival> = record
        .arrivals
        .iter()
        .filter(|a| a.node == node && a.is_faulty && a.arrived_at >= first && a.arrived_at <= end)
        .collect();
    for last in &met {
        let reaches = last.arrived_at + bounds.avoidance_delay(0.5) + bounds.timing_slack;
        let since = last.arrived_at.saturating_sub(bounds.max_evidence_age);
        let way = |other: usize| loss_fraction_between(played, proxy, other, since, reaches);
        // What each of them saw has to count until the last one's word can have come.
        let heard = |a: &&&Arrival| {
            let lost = if a.proxy == proxy { 0.0 } else { way(a.proxy) };
            a.arrived_at <= last.arrived_at
                && a.arrived_at + bounds.evidence_window() > last.arrived_at + bounds.avoidance_delay(lost)
                && record.was_running(a.proxy, since, reaches)
                && lost <= 0.5
        };
        let who: BTreeSet<usize> = met.iter().filter(heard).map(|a| a.proxy).collect();
        let enough = bounds.required_observers
            + more
            + usize::from(record.longest_stall > bounds.min_detectable_delay);
        if who.len() >= enough {
            let lost = who.iter().filter(|o| **o != proxy).map(|o| way(*o)).fold(0.0, f64::max);
            return Some((last.arrived_at, lost));
        }
    }
    None
}

fn check_avoidance_bound(record: &Record, played: &Schedule, bounds: &Bounds) -> Vec<Violation> {
    let found = check_avoidance(record, played, bounds);
    // The bound is one for 19 in 20.
    if found.violations.len() * 20 > found.checked { found.violations } else { Vec::new() }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::{ClientRequest, HeldVerdict, ObservedDrain, Outage};
    use crate::schedule::RunSize;

    const BOUNDS: Bounds = Bounds {
        max_evidence_age: ms_(8000),
        send_interval: ms_(100),
        silent_after: ms_(500),
        required_observers: 3,
        success_weight: 0.18,
        min_detectable_delay: ms_(90),
        latency_learning_time: ms_(13_000),
        max_ejected: 2,
        request_deadline: ms_(2000),
        drain_grace: ms_(500),
        timing_slack: ms_(500),
    };

    const fn ms_(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn played(steps: Vec<Step>) -> Schedule {
        let size = RunSize { proxies: 4, nodes: 3, duration_ms: 20_000, node_fault_spacing_ms: 8000 };
        Schedule { seed: 0, size, planners: 0, relay_by_planners: false, steps }
    }

    #[test]
    fn what_planners_carry_is_lost_by_the_part_of_them_that_do_not() {
        let streams = |proxies: Vec<usize>, to: Vec<usize>| Fault::Streams {
            proxies,
            planners: Vec::new(),
            to,
            responses_only: true,
        };
        let step = |at_ms, for_ms, fault| Step { at_ms, duration_ms: for_ms, fault };
        let still = Fault::Planner { planner: 0, fault: crate::schedule::ProcessFault::Suspended };
        let steps = vec![
            step(1000, 1000, still),
            step(10_000, 2000, streams(vec![1], vec![1, 2])),
            step(18_000, 9000, streams(vec![3], vec![0, 1, 2])),
        ];
        let all = Schedule { planners: 3, ..played(steps).with_planner_relay(true) };
        let lost = |a, b, since, until| loss_fraction_between(&all, a, b, ms(since), ms(until));
        assert_eq!([lost(0, 2, 0, 900), lost(0, 2, 6100, 9900)], [0.0, 0.0]);
        // One of three stands still, and until streams are made anew.
        assert_eq!([lost(0, 2, 0, 1100), lost(0, 2, 5900, 6500)], [1.0 / 3.0; 2]);
        assert_eq!([lost(0, 1, 10_500, 11_000), lost(2, 0, 10_500, 11_000)], [2.0 / 3.0, 0.0]);
        assert_eq!(lost(2, 3, 19_000, 19_500), 1.0);
        assert!(
            is_isolated(&all, 3, ms(18_100), ms(26_900)) && !is_isolated(&all, 2, ms(18_100), ms(26_900))
        );
        assert!(
            !is_isolated(&all, 3, ms(17_900), ms(26_900)) && !is_isolated(&all, 1, ms(10_100), ms(10_900))
        );
        // Where datagrams carry it none of that matters.
        assert_eq!(loss_fraction_between(&all.with_planner_relay(false), 2, 3, ms(19_000), ms(19_500)), 0.0);
    }

    fn arrival(proxy: usize, at: u64, bad: bool) -> Arrival {
        Arrival {
            node: 1,
            arrived_at: ms(at),
            proxy,
            request_id: format!("p{proxy}-{at}"),
            must_run_once: false,
            is_faulty: bad,
        }
    }

    fn asked(at: u64, ended: u64, status: Option<u16>) -> ClientRequest {
        ClientRequest { proxy: 0, request_id: "p0-1".into(), sent_at: ms(at), ended_at: ms(ended), status }
    }

    fn look(proxy: usize, at: u64, out: bool) -> VerdictReading {
        let held =
            HeldVerdict { node: 1, kind: "failing".into(), is_ejected: out, oldest_report_age: ms(100) };
        let held = if out { vec![held] } else { Vec::new() };
        VerdictReading { proxy, requested_at: ms(at), answered_at: ms(at + 5), verdicts: held }
    }

    fn broken(record: &Record, steps: Vec<Step>) -> Vec<Invariant> {
        let mut rules: Vec<Invariant> =
            find_violations(record, &played(steps), &BOUNDS).into_iter().map(|b| b.invariant).collect();
        rules.dedup();
        rules
    }

    fn fails(at_ms: u64, for_ms: u64) -> Step {
        Step { at_ms, duration_ms: for_ms, fault: Fault::Node { node: 1, fault: NodeFault::Fails } }
    }

    #[test]
    fn a_request_without_an_answer_or_with_a_late_one_is_found_unless_its_proxy_was_down() {
        let fine = Record { requests: vec![asked(0, 2400, Some(503))], ..Record::default() };
        assert!(broken(&fine, vec![]).is_empty());
        for wrong in [asked(0, 100, None), asked(0, 2600, Some(200))] {
            let mut record = Record { requests: vec![wrong], ..Record::default() };
            assert_eq!(broken(&record, vec![]), [Invariant::AnsweredInTime]);
            record.outages.push(Outage {
                proxy: 0,
                started_at: ms(50),
                ended_at: ms(90),
                answers_pending: false,
            });
            assert!(broken(&record, vec![]).is_empty());
            record.outages[0].proxy = 1;
            assert_eq!(broken(&record, vec![]), [Invariant::AnsweredInTime]);
            // One that was ended owes what came before.
            record.outages[0] =
                Outage { proxy: 0, started_at: ms(50), ended_at: ms(9000), answers_pending: true };
            assert_eq!(broken(&record, vec![]), [Invariant::AnsweredInTime]);
            record.requests[0].sent_at = ms(60);
            record.requests[0].ended_at += ms(60);
            assert!(broken(&record, vec![]).is_empty());
        }
    }

    #[test]
    fn an_effect_that_happens_twice_is_found_and_a_read_may() {
        let mut record =
            Record { arrivals: vec![arrival(0, 5, false), arrival(0, 5, false)], ..Record::default() };
        assert!(broken(&record, vec![]).is_empty());
        record.arrivals.iter_mut().for_each(|a| a.must_run_once = true);
        assert_eq!(broken(&record, vec![]), [Invariant::NoDuplicateEffect]);
    }

    #[test]
    fn planners_that_go_by_different_plans_after_all_is_well_are_found() {
        let record = Record { planner_disagreement: Some("plans 1.2 and 1.3".into()), ..Record::default() };
        assert_eq!(broken(&record, vec![]), [Invariant::PlannerAgreement]);
    }

    #[test]
    fn what_comes_after_the_grace_of_a_drain_is_found() {
        let drain = ObservedDrain { node: 1, proxy: 2, notified_at: ms(1000), ended_at: ms(3000) };
        for (at, proxy, rules) in [(1400, 2, 0), (1501, 2, 1), (1501, 3, 0), (3100, 2, 0)] {
            let record = Record {
                arrivals: vec![arrival(proxy, at, false)],
                drains: vec![drain.clone()],
                ..Record::default()
            };
            assert_eq!(broken(&record, vec![]).len(), rules, "{at} by {proxy}");
        }
    }

    #[test]
    fn a_verdict_with_nothing_behind_it_or_on_an_old_word_or_of_one_that_hears_nobody_is_found() {
        let seen = Record {
            arrivals: vec![arrival(0, 1000, true)],
            verdict_readings: vec![look(3, 9400, true)],
            ..Record::default()
        };
        assert!(broken(&seen, vec![]).is_empty());
        let late = Record { verdict_readings: vec![look(3, 9600, true)], ..seen.clone() };
        assert_eq!(broken(&late, vec![]), [Invariant::FreshVerdicts]);
        let gone =
            Step { at_ms: 100, duration_ms: 3000, fault: Fault::Node { node: 1, fault: NodeFault::Gone } };
        assert!(broken(&late, vec![gone]).is_empty());
        let mut old = seen.clone();
        old.verdict_readings[0].verdicts[0].oldest_report_age = ms(4700);
        assert_eq!(broken(&old, vec![]), [Invariant::FreshVerdicts]);
        let cut = |at_ms| Step {
            at_ms,
            duration_ms: 10_000,
            fault: Fault::Datagrams {
                from: vec![0, 1, 2],
                to: vec![3],
                lost_per_mille: 1000,
                duplicated_per_mille: 0,
                max_delay_ms: 0,
            },
        };
        assert_eq!(broken(&seen, vec![cut(800)]), [Invariant::FreshVerdicts]);
        assert!(broken(&seen, vec![cut(2000)]).is_empty());
    }

    #[test]
    fn a_proxy_that_does_not_avoid_what_enough_others_met_is_found() {
        let arrivals = (0..3).map(|p| arrival(p, 1000 + 10 * p as u64, true)).collect();
        let all = |late: u64| (0..4).map(|p| look(p, if p == 3 { late } else { 1500 }, true)).collect();
        let record = Record { arrivals, verdict_readings: all(2000), ..Record::default() };
        // 500 + 3 x 100, and 500 of slack: by 1,820 + 500.
        assert!(broken(&record, vec![fails(500, 6000)]).is_empty());
        let late = Record { verdict_readings: all(2400), ..record.clone() };
        assert_eq!(broken(&late, vec![fails(500, 6000)]), [Invariant::TimelyAvoidance]);
        // What went well just before it turned bad hides one failure in the same part of the window.
        let mut hidden = late.clone();
        hidden.arrivals.insert(0, arrival(1, 400, false));
        assert!(broken(&hidden, vec![fails(600, 6000)]).is_empty());
        hidden.arrivals.push(arrival(3, 1040, true));
        assert_eq!(broken(&hidden, vec![fails(600, 6000)]), [Invariant::TimelyAvoidance]);
        hidden.arrivals.pop();
        hidden.arrivals[0].arrived_at = ms(0);
        assert!(
            broken(&hidden, vec![fails(600, 6000)]).iter().eq(&[Invariant::TimelyAvoidance]),
            "it was in an earlier part"
        );
        // A node that is slow is called so by who knows what is usual.
        let slow = Step { fault: Fault::Node { node: 1, fault: NodeFault::Slow }, ..fails(500, 6000) };
        assert_eq!(broken(&late, vec![slow.clone()]), [Invariant::TimelyAvoidance]);
        let mut unlearnt = late.clone();
        unlearnt.outages.push(Outage {
            proxy: 0,
            started_at: ms(0),
            ended_at: ms(100),
            answers_pending: false,
        });
        unlearnt.arrivals.push(arrival(3, 1030, true));
        assert!(broken(&unlearnt, vec![slow]).is_empty());
        // Where it can't hear them, two have met it, or it turned well before, the bound says nothing.
        let cut = Step {
            at_ms: 0,
            duration_ms: 10_000,
            fault: Fault::Datagrams {
                from: vec![3],
                to: vec![0],
                lost_per_mille: 1000,
                duplicated_per_mille: 0,
                max_delay_ms: 0,
            },
        };
        assert!(broken(&late, vec![fails(500, 6000), cut]).is_empty());
        assert!(broken(&late, vec![fails(500, 1000)]).is_empty());
        let mut two = late.clone();
        two.arrivals[2].proxy = 1;
        assert!(broken(&two, vec![fails(500, 6000)]).is_empty());
    }
}
