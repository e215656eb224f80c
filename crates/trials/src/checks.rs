//! Invariants and time bounds, checked on the record of a run.
//! The checks trust nothing that the program reports about its own success: requests and effects are counted at mock
//! servers and by clients, and the verdicts that a proxy reports are compared with these observations.

use crate::record::{Arrival, Record, VerdictReading};
use crate::schedule::{Fault, NodeFault, Schedule, Step};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// An invariant that every run must satisfy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Every request gets one final response before its deadline.
    AnsweredInTime,
    /// No effect happens twice.
    NoDuplicateEffect,
    /// No new request goes to a draining node after the grace.
    DrainRespected,
    /// No verdict is based on evidence that is too old, and an isolated proxy uses only its own evidence.
    FreshVerdicts,
    /// A clearly bad node is avoided within the bound.
    TimelyAvoidance,
    /// Planners agree on one plan after all faults have ended.
    PlannerAgreement,
}

/// One violation of an invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The violated invariant.
    pub invariant: Invariant,
    /// What happened, with times and values.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.details)
    }
}

/// Settings from which the bounds are computed.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum age of the evidence for a verdict.
    pub max_evidence_age: Duration,
    /// Interval at which proxies exchange reports and judge nodes.
    pub send_interval: Duration,
    /// Time without a response after which an attempt counts as silent.
    pub silent_after: Duration,
    /// Number of observing proxies that suffices for a verdict while at most 2% of attempts fail elsewhere. One more
    /// is required after a stall longer than `min_detectable_delay`, which can raise the failures elsewhere to 5%.
    pub required_observers: usize,
    /// Weight of one successful attempt, as a fraction of one proxy's weight. It reduces the evidence if it is
    /// reported together with the failures.
    pub success_weight: f64,
    /// Smallest delay that can count as slow.
    pub min_detectable_delay: Duration,
    /// Time that a restarted process needs to learn typical latencies; it counts slow responses as typical until
    /// then.
    pub latency_learning_time: Duration,
    /// Maximum number of nodes ejected at the same time.
    pub max_ejected: usize,
    /// Time within which every request must be answered.
    pub request_deadline: Duration,
    /// Time from the notification of a drain after which no new request may reach the node.
    pub drain_grace: Duration,
    /// Allowance for late timers and a busy host; the longest stall is added to it.
    pub timing_slack: Duration,
}

impl Bounds {
    /// Time for which attempts and reports count as evidence.
    pub fn evidence_window(&self) -> Duration {
        self.max_evidence_age / 2
    }

    /// Number of further observers that are required after `good` successful attempts in the same part of the window.
    fn extra_observers(&self, good: usize) -> usize {
        (good as f64 * self.success_weight).ceil() as usize
    }

    /// Time from the moment at which enough proxies have observed a bad node until 95% of proxies avoid it, if
    /// `loss_fraction` of all datagrams is lost. An unanswered attempt is first reported as silent, the report is
    /// sent in the next round and may be lost, and it is judged in the round after.
    pub fn avoidance_delay(&self, loss_fraction: f64) -> Duration {
        let rounds =
            if loss_fraction > 0.0 { (0.05f64.ln() / loss_fraction.ln()).ceil().max(1.0) as u32 } else { 1 };
        self.silent_after + self.send_interval * (rounds + 2)
    }
}

/// Returns all violations in a run. `executed` holds the steps with their actual times.
pub fn find_violations(record: &Record, executed: &Schedule, bounds: &Bounds) -> Vec<Violation> {
    let bounds = Bounds { timing_slack: bounds.timing_slack + record.longest_stall, ..*bounds };
    let mut violations = check_answers(record, &bounds);
    violations.extend(check_duplicate_effects(record));
    violations.extend(check_drains(record, &bounds));
    violations.extend(check_verdict_freshness(record, executed, &bounds));
    violations.extend(check_avoidance_bound(record, executed, &bounds));
    violations.extend(
        record
            .planner_disagreement
            .clone()
            .map(|details| Violation { invariant: Invariant::PlannerAgreement, details }),
    );
    violations
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

/// Checks that requests at running proxies are answered in time.
fn check_answers(record: &Record, bounds: &Bounds) -> Vec<Violation> {
    let mut violations = Vec::new();
    for request in &record.requests {
        if !record.must_be_answered(request.proxy, request.sent_at, request.ended_at + bounds.timing_slack) {
            continue;
        }
        let response_time = request.ended_at.saturating_sub(request.sent_at);
        let details = match request.status {
            None => {
                format!(
                    "request {} sent at {:?} by way of proxy {}: no response",
                    request.request_id, request.sent_at, request.proxy
                )
            }
            Some(_) if response_time > bounds.request_deadline + bounds.timing_slack => {
                format!(
                    "request {} sent at {:?}: answered after {response_time:?}",
                    request.request_id, request.sent_at
                )
            }
            Some(_) => continue,
        };
        violations.push(Violation { invariant: Invariant::AnsweredInTime, details });
    }
    violations
}

/// Checks that each request that must run once reached one node once.
fn check_duplicate_effects(record: &Record) -> Vec<Violation> {
    let mut runs: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
    for arrival in record.arrivals.iter().filter(|a| a.must_run_once) {
        runs.entry(&arrival.request_id).or_default().push(arrival);
    }
    runs.retain(|_, runs| runs.len() > 1);
    let list_runs = |runs: &[&Arrival]| {
        runs.iter().map(|a| format!("node {} at {:?}", a.node, a.arrived_at)).collect::<Vec<_>>().join(", ")
    };
    let describe = |(request_id, runs): (&&str, &Vec<&Arrival>)| {
        format!("request {request_id} ran at {}", list_runs(runs))
    };
    runs.iter()
        .map(describe)
        .map(|details| Violation { invariant: Invariant::NoDuplicateEffect, details })
        .collect()
}

/// Checks that a proxy sends nothing new to a draining node once the grace has passed.
fn check_drains(record: &Record, bounds: &Bounds) -> Vec<Violation> {
    let mut violations = Vec::new();
    for drain in &record.drains {
        let after = drain.notified_at + bounds.drain_grace + record.longest_stall;
        for a in record.arrivals.iter().filter(|a| a.node == drain.node && a.proxy == drain.proxy) {
            if a.arrived_at > after && a.arrived_at < drain.ended_at {
                let details = format!(
                    "request {} from proxy {} reached node {} {:?} after the drain notification",
                    a.request_id,
                    a.proxy,
                    a.node,
                    a.arrived_at - drain.notified_at
                );
                violations.push(Violation { invariant: Invariant::DrainRespected, details });
            }
        }
    }
    violations
}

/// Returns whether a node was down during an interval. Such a node leaves no arrivals at its mock server.
fn is_unreachable(executed: &Schedule, node: usize, since: Duration, until: Duration) -> bool {
    let gone = Fault::Node { node, fault: NodeFault::Gone };
    executed.steps.iter().any(|s| s.fault == gone && step_start(s) < until && since < step_end(s))
}

/// Checks that verdicts are based on recent reports and on failures that occurred within the bound, and that isolated
/// proxies eject nothing.
fn check_verdict_freshness(record: &Record, executed: &Schedule, bounds: &Bounds) -> Vec<Violation> {
    let mut violations = Vec::new();
    for reading in &record.verdict_readings {
        // A suspended process judges again one round after it resumes.
        if !record.was_running(
            reading.proxy,
            reading.requested_at.saturating_sub(bounds.send_interval * 3 + bounds.timing_slack),
            reading.answered_at,
        ) {
            continue;
        }
        let isolated = is_isolated(
            executed,
            reading.proxy,
            reading.requested_at.saturating_sub(bounds.max_evidence_age + bounds.timing_slack),
            reading.requested_at,
        );
        for verdict in &reading.verdicts {
            let (proxy, node) = (reading.proxy, verdict.node);
            let mut report =
                |details: String| violations.push(Violation { invariant: Invariant::FreshVerdicts, details });
            if verdict.oldest_report_age
                > bounds.evidence_window() + bounds.send_interval + bounds.timing_slack
            {
                report(format!(
                    "proxy {proxy} uses a report on node {node} that is {:?} old",
                    verdict.oldest_report_age
                ));
            }
            if isolated && verdict.is_ejected {
                report(format!("isolated proxy {proxy} ejects node {node} at {:?}", reading.requested_at));
            }
            // On a busy host a response may be late although the node is healthy; no other failure occurs by chance.
            let since = reading.requested_at.saturating_sub(bounds.max_evidence_age + bounds.timing_slack);
            let is_evidence = |a: &Arrival| {
                a.node == node && a.is_faulty && a.arrived_at >= since && a.arrived_at <= reading.answered_at
            };
            let may_be_chance = verdict.kind == "slow"
                || verdict.kind == "silent" && record.longest_stall > bounds.silent_after / 2;
            if verdict.is_ejected
                && !may_be_chance
                && !record.arrivals.iter().any(is_evidence)
                && !is_unreachable(executed, node, since, reading.answered_at)
            {
                report(format!(
                    "proxy {proxy} ejects node {node} as {} at {:?} without a failure there since {since:?}",
                    verdict.kind, reading.requested_at
                ));
            }
        }
    }
    violations
}

/// Time after a fault of planners or of their streams until messages are relayed on all paths again: streams
/// reconnect with a backoff of up to a second, and each proxy sends once by way of every planner.
const STREAM_RECOVERY_TIME: Duration = Duration::from_secs(4);

/// Returns whether a fault keeps a planner from relaying messages from or to a proxy.
fn blocks_relay(fault: &Fault, planner: usize, proxy: usize) -> bool {
    match fault {
        Fault::AllPlanners => true,
        Fault::Planner { planner: stopped_planner, .. } => *stopped_planner == planner,
        Fault::Streams { proxies, to, .. } => to.contains(&planner) && proxies.contains(&proxy),
        _ => false,
    }
}

/// Returns the fraction of planners that may not relay messages between two proxies.
fn blocked_planner_fraction(
    executed: &Schedule,
    a: usize,
    b: usize,
    since: Duration,
    until: Duration,
) -> f64 {
    let steps = || {
        executed.steps.iter().filter(|s| step_start(s) < until && since < step_end(s) + STREAM_RECOVERY_TIME)
    };
    let is_blocked =
        |p: &usize| steps().any(|s| blocks_relay(&s.fault, *p, a) || blocks_relay(&s.fault, *p, b));
    (0..executed.planners).filter(is_blocked).count() as f64 / executed.planners.max(1) as f64
}

/// Returns whether all messages to a proxy were lost for a whole interval.
fn is_isolated(executed: &Schedule, proxy: usize, since: Duration, until: Duration) -> bool {
    if executed.relay_by_planners {
        let is_blocked_throughout = |p: usize| {
            let covers = |s: &&Step| step_start(s) <= since && step_end(s) >= until;
            executed.steps.iter().filter(covers).any(|s| blocks_relay(&s.fault, p, proxy))
        };
        return (0..executed.planners).all(is_blocked_throughout);
    }
    (0..executed.size.proxies).filter(|other| *other != proxy).all(|other| {
        executed.steps.iter().any(|step| match &step.fault {
            Fault::Datagrams { from: a, to: b, lost_per_mille: 1000, .. } => {
                a.contains(&other)
                    && b.contains(&proxy)
                    && step_start(step) <= since
                    && step_end(step) >= until
            }
            _ => false,
        })
    })
}

/// Returns the highest fraction of datagrams lost between two proxies, in either direction: a datagram is accepted
/// only if it echoes one that was received.
fn loss_fraction_between(executed: &Schedule, a: usize, b: usize, since: Duration, until: Duration) -> f64 {
    if executed.relay_by_planners {
        return blocked_planner_fraction(executed, a, b, since, until);
    }
    let losses = executed.steps.iter().filter(|s| step_start(s) < until && since < step_end(s)).map(|s| {
        match &s.fault {
            Fault::Datagrams { from, to, lost_per_mille, .. }
                if from.contains(&a) && to.contains(&b) || from.contains(&b) && to.contains(&a) =>
            {
                f64::from(*lost_per_mille) / 1000.0
            }
            _ => 0.0,
        }
    });
    losses.fold(0.0, f64::max)
}

/// Result of checking the bound on avoidance.
pub struct AvoidanceCheck {
    /// Number of pairs of a proxy and a bad node to which the bound applied.
    pub checked: usize,
    /// Number of pairs without a bound in which the proxy still avoided the node: too few observers, or too late in
    /// the run.
    pub avoided_unbound: usize,
    /// Pairs that exceeded the bound.
    pub violations: Vec<Violation>,
}

/// Checks that each running proxy that receives reports of enough observers avoids a clearly bad node within the
/// bound.
pub fn check_avoidance(record: &Record, executed: &Schedule, bounds: &Bounds) -> AvoidanceCheck {
    let mut result = AvoidanceCheck { checked: 0, avoided_unbound: 0, violations: Vec::new() };
    for step in &executed.steps {
        let Fault::Node { node, fault: NodeFault::Hangs | NodeFault::Fails | NodeFault::Slow } = step.fault
        else {
            continue;
        };
        for proxy in 0..executed.size.proxies {
            let during_fault = |reading: &&VerdictReading| {
                reading.proxy == proxy
                    && reading.requested_at >= step_start(step)
                    && reading.requested_at <= step_end(step)
            };
            let mut held_verdicts =
                record.verdict_readings.iter().filter(during_fault).flat_map(|reading| &reading.verdicts);
            let already_avoided =
                usize::from(held_verdicts.any(|verdict| verdict.node == node && verdict.is_ejected));
            let Some((observed_at, loss_fraction)) =
                enough_observers(record, executed, bounds, step, node, proxy)
            else {
                result.avoided_unbound += already_avoided;
                continue;
            };
            let deadline = observed_at + bounds.avoidance_delay(loss_fraction) + bounds.timing_slack;
            let required_uptime = observed_at.saturating_sub(bounds.max_evidence_age)..deadline;
            // The proxy must have run and received reports for the whole interval. A proxy that has not learned
            // typical latencies takes slow responses for healthy ones and reports them as such.
            let learning_time = step_start(step).saturating_sub(bounds.latency_learning_time)..deadline;
            let is_slow_node = matches!(step.fault, Fault::Node { fault: NodeFault::Slow, .. });
            let still_learning = is_slow_node
                && !(0..executed.size.proxies)
                    .all(|p| record.was_running(p, learning_time.start, learning_time.end));
            if still_learning
                || deadline > step_end(step)
                || !record.was_running(proxy, required_uptime.start, required_uptime.end)
            {
                result.avoided_unbound += already_avoided;
                continue;
            }
            result.checked += 1;
            let avoids = |reading: &VerdictReading| {
                let ejected = reading.verdicts.iter().filter(|h| h.is_ejected).count();
                reading
                    .verdicts
                    .iter()
                    .any(|h| h.node == node && (h.is_ejected || ejected >= bounds.max_ejected))
            };
            let mut readings = record
                .verdict_readings
                .iter()
                .filter(|l| l.proxy == proxy && l.requested_at >= observed_at && l.requested_at <= deadline);
            if !readings.any(avoids) {
                let details = format!(
                    "node {node}, {:?} from {:?}: enough observers at {observed_at:?}, not avoided by proxy {proxy} by {deadline:?}",
                    step.fault,
                    step_start(step)
                );
                result.violations.push(Violation { invariant: Invariant::TimelyAvoidance, details });
            }
        }
    }
    result
}

/// Returns when enough reachable proxies had observed a bad node, and the fraction of datagrams lost between them.
fn enough_observers(
    record: &Record,
    executed: &Schedule,
    bounds: &Bounds,
    step: &Step,
    node: usize,
    proxy: usize,
) -> Option<(Duration, f64)> {
    // The window is divided into parts. Successes in the part in which the node turned bad reduce the evidence and
    // require more observers; successes in earlier parts do not.
    let (turned_bad_at, window_part) = (step_start(step), bounds.evidence_window() / 8);
    let is_nearby_success = |a: &&Arrival| {
        a.node == node
            && !a.is_faulty
            && a.arrived_at + window_part >= turned_bad_at
            && a.arrived_at <= turned_bad_at + window_part
    };
    let extra = bounds.extra_observers(record.arrivals.iter().filter(is_nearby_success).count());
    let with_successes = enough_observers_since(
        record,
        executed,
        bounds,
        [node, proxy],
        [turned_bad_at, step_end(step)],
        extra,
    );
    let after_successes = enough_observers_since(
        record,
        executed,
        bounds,
        [node, proxy],
        [turned_bad_at + window_part, step_end(step)],
        0,
    );
    with_successes.into_iter().chain(after_successes).min_by_key(|(observed_at, _)| *observed_at)
}

/// Does the same for observations in a given interval, with `extra` observers in addition to the usual number.
fn enough_observers_since(
    record: &Record,
    executed: &Schedule,
    bounds: &Bounds,
    [node, proxy]: [usize; 2],
    [first, end]: [Duration; 2],
    extra: usize,
) -> Option<(Duration, f64)> {
    let faulty_arrivals: Vec<&Arrival> = record
        .arrivals
        .iter()
        .filter(|a| a.node == node && a.is_faulty && a.arrived_at >= first && a.arrived_at <= end)
        .collect();
    for last in &faulty_arrivals {
        let latest_report = last.arrived_at + bounds.avoidance_delay(0.5) + bounds.timing_slack;
        let since = last.arrived_at.saturating_sub(bounds.max_evidence_age);
        let loss_to = |other: usize| loss_fraction_between(executed, proxy, other, since, latest_report);
        // An observation must still count when the last observer's report can have arrived.
        let is_counted = |a: &&&Arrival| {
            let loss_fraction = if a.proxy == proxy { 0.0 } else { loss_to(a.proxy) };
            a.arrived_at <= last.arrived_at
                && a.arrived_at + bounds.evidence_window()
                    > last.arrived_at + bounds.avoidance_delay(loss_fraction)
                && record.was_running(a.proxy, since, latest_report)
                && loss_fraction <= 0.5
        };
        let observers: BTreeSet<usize> = faulty_arrivals.iter().filter(is_counted).map(|a| a.proxy).collect();
        let required = bounds.required_observers
            + extra
            + usize::from(record.longest_stall > bounds.min_detectable_delay);
        if observers.len() >= required {
            let loss_fraction =
                observers.iter().filter(|o| **o != proxy).map(|o| loss_to(*o)).fold(0.0, f64::max);
            return Some((last.arrived_at, loss_fraction));
        }
    }
    None
}

fn check_avoidance_bound(record: &Record, executed: &Schedule, bounds: &Bounds) -> Vec<Violation> {
    let result = check_avoidance(record, executed, bounds);
    // The bound holds for 95% of the pairs.
    if result.violations.len() * 20 > result.checked { result.violations } else { Vec::new() }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::{ClientRequest, HeldVerdict, ObservedDrain, Outage};
    use crate::schedule::RunSize;

    const BOUNDS: Bounds = Bounds {
        max_evidence_age: millis(8000),
        send_interval: millis(100),
        silent_after: millis(500),
        required_observers: 3,
        success_weight: 0.18,
        min_detectable_delay: millis(90),
        latency_learning_time: millis(13_000),
        max_ejected: 2,
        request_deadline: millis(2000),
        drain_grace: millis(500),
        timing_slack: millis(500),
    };

    const fn millis(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn schedule_with(steps: Vec<Step>) -> Schedule {
        let size = RunSize { proxies: 4, nodes: 3, duration_ms: 20_000, node_fault_spacing_ms: 8000 };
        Schedule { seed: 0, size, planners: 0, relay_by_planners: false, steps }
    }

    #[test]
    fn loss_between_proxies_is_the_fraction_of_planners_that_cannot_relay() {
        let streams = |proxies: Vec<usize>, to: Vec<usize>| Fault::Streams {
            proxies,
            planners: Vec::new(),
            to,
            responses_only: true,
        };
        let step = |at_ms, for_ms, fault| Step { at_ms, duration_ms: for_ms, fault };
        let suspended = Fault::Planner { planner: 0, fault: crate::schedule::ProcessFault::Suspended };
        let steps = vec![
            step(1000, 1000, suspended),
            step(10_000, 2000, streams(vec![1], vec![1, 2])),
            step(18_000, 9000, streams(vec![3], vec![0, 1, 2])),
        ];
        let all = Schedule { planners: 3, ..schedule_with(steps).with_planner_relay(true) };
        let loss_fraction = |a, b, since, until| loss_fraction_between(&all, a, b, ms(since), ms(until));
        assert_eq!([loss_fraction(0, 2, 0, 900), loss_fraction(0, 2, 6100, 9900)], [0.0, 0.0]);
        // One of three planners is suspended, and its streams take time to recover.
        assert_eq!([loss_fraction(0, 2, 0, 1100), loss_fraction(0, 2, 5900, 6500)], [1.0 / 3.0; 2]);
        assert_eq!(
            [loss_fraction(0, 1, 10_500, 11_000), loss_fraction(2, 0, 10_500, 11_000)],
            [2.0 / 3.0, 0.0]
        );
        assert_eq!(loss_fraction(2, 3, 19_000, 19_500), 1.0);
        assert!(
            is_isolated(&all, 3, ms(18_100), ms(26_900)) && !is_isolated(&all, 2, ms(18_100), ms(26_900))
        );
        assert!(
            !is_isolated(&all, 3, ms(17_900), ms(26_900)) && !is_isolated(&all, 1, ms(10_100), ms(10_900))
        );
        // Without relaying by planners their faults do not matter.
        assert_eq!(loss_fraction_between(&all.with_planner_relay(false), 2, 3, ms(19_000), ms(19_500)), 0.0);
    }

    fn arrival(proxy: usize, at: u64, is_faulty: bool) -> Arrival {
        Arrival {
            node: 1,
            arrived_at: ms(at),
            proxy,
            request_id: format!("p{proxy}-{at}"),
            must_run_once: false,
            is_faulty,
        }
    }

    fn request(at: u64, ended: u64, status: Option<u16>) -> ClientRequest {
        ClientRequest { proxy: 0, request_id: "p0-1".into(), sent_at: ms(at), ended_at: ms(ended), status }
    }

    fn reading(proxy: usize, at: u64, ejected: bool) -> VerdictReading {
        let verdict =
            HeldVerdict { node: 1, kind: "failing".into(), is_ejected: ejected, oldest_report_age: ms(100) };
        let verdict = if ejected { vec![verdict] } else { Vec::new() };
        VerdictReading { proxy, requested_at: ms(at), answered_at: ms(at + 5), verdicts: verdict }
    }

    fn violated_invariants(record: &Record, steps: Vec<Step>) -> Vec<Invariant> {
        let mut invariants: Vec<Invariant> = find_violations(record, &schedule_with(steps), &BOUNDS)
            .into_iter()
            .map(|b| b.invariant)
            .collect();
        invariants.dedup();
        invariants
    }

    fn failing_node(at_ms: u64, for_ms: u64) -> Step {
        Step { at_ms, duration_ms: for_ms, fault: Fault::Node { node: 1, fault: NodeFault::Fails } }
    }

    #[test]
    fn unanswered_and_late_requests_are_reported_unless_the_proxy_was_down() {
        let in_time = Record { requests: vec![request(0, 2400, Some(503))], ..Record::default() };
        assert!(violated_invariants(&in_time, vec![]).is_empty());
        for violating in [request(0, 100, None), request(0, 2600, Some(200))] {
            let mut record = Record { requests: vec![violating], ..Record::default() };
            assert_eq!(violated_invariants(&record, vec![]), [Invariant::AnsweredInTime]);
            record.outages.push(Outage {
                proxy: 0,
                started_at: ms(50),
                ended_at: ms(90),
                answers_pending: false,
            });
            assert!(violated_invariants(&record, vec![]).is_empty());
            record.outages[0].proxy = 1;
            assert_eq!(violated_invariants(&record, vec![]), [Invariant::AnsweredInTime]);
            // A terminated process must answer the requests that it received before.
            record.outages[0] =
                Outage { proxy: 0, started_at: ms(50), ended_at: ms(9000), answers_pending: true };
            assert_eq!(violated_invariants(&record, vec![]), [Invariant::AnsweredInTime]);
            record.requests[0].sent_at = ms(60);
            record.requests[0].ended_at += ms(60);
            assert!(violated_invariants(&record, vec![]).is_empty());
        }
    }

    #[test]
    fn duplicate_effects_are_reported_and_duplicate_reads_are_allowed() {
        let mut record =
            Record { arrivals: vec![arrival(0, 5, false), arrival(0, 5, false)], ..Record::default() };
        assert!(violated_invariants(&record, vec![]).is_empty());
        record.arrivals.iter_mut().for_each(|a| a.must_run_once = true);
        assert_eq!(violated_invariants(&record, vec![]), [Invariant::NoDuplicateEffect]);
    }

    #[test]
    fn planners_that_disagree_after_all_faults_are_reported() {
        let record = Record { planner_disagreement: Some("plans 1.2 and 1.3".into()), ..Record::default() };
        assert_eq!(violated_invariants(&record, vec![]), [Invariant::PlannerAgreement]);
    }

    #[test]
    fn requests_after_the_drain_grace_are_reported() {
        let drain = ObservedDrain { node: 1, proxy: 2, notified_at: ms(1000), ended_at: ms(3000) };
        for (at, proxy, count) in [(1400, 2, 0), (1501, 2, 1), (1501, 3, 0), (3100, 2, 0)] {
            let record = Record {
                arrivals: vec![arrival(proxy, at, false)],
                drains: vec![drain.clone()],
                ..Record::default()
            };
            assert_eq!(
                violated_invariants(&record, vec![]).len(),
                count,
                "arrival at {at} ms from proxy {proxy}"
            );
        }
    }

    #[test]
    fn verdicts_without_evidence_on_old_reports_or_of_isolated_proxies_are_reported() {
        let recent = Record {
            arrivals: vec![arrival(0, 1000, true)],
            verdict_readings: vec![reading(3, 9400, true)],
            ..Record::default()
        };
        assert!(violated_invariants(&recent, vec![]).is_empty());
        let late = Record { verdict_readings: vec![reading(3, 9600, true)], ..recent.clone() };
        assert_eq!(violated_invariants(&late, vec![]), [Invariant::FreshVerdicts]);
        let gone =
            Step { at_ms: 100, duration_ms: 3000, fault: Fault::Node { node: 1, fault: NodeFault::Gone } };
        assert!(violated_invariants(&late, vec![gone]).is_empty());
        let mut old = recent.clone();
        old.verdict_readings[0].verdicts[0].oldest_report_age = ms(4700);
        assert_eq!(violated_invariants(&old, vec![]), [Invariant::FreshVerdicts]);
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
        assert_eq!(violated_invariants(&recent, vec![cut(800)]), [Invariant::FreshVerdicts]);
        assert!(violated_invariants(&recent, vec![cut(2000)]).is_empty());
    }

    #[test]
    fn a_proxy_that_does_not_avoid_a_node_with_enough_observers_is_reported() {
        let arrivals = (0..3).map(|p| arrival(p, 1000 + 10 * p as u64, true)).collect();
        let all = |late: u64| (0..4).map(|p| reading(p, if p == 3 { late } else { 1500 }, true)).collect();
        let record = Record { arrivals, verdict_readings: all(2000), ..Record::default() };
        // The bound is 1020 + 500 + 3 * 100 ms, and 500 ms of slack.
        assert!(violated_invariants(&record, vec![failing_node(500, 6000)]).is_empty());
        let late = Record { verdict_readings: all(2400), ..record.clone() };
        assert_eq!(violated_invariants(&late, vec![failing_node(500, 6000)]), [Invariant::TimelyAvoidance]);
        // A success just before the node turned bad offsets one failure in the same part of the window.
        let mut hidden = late.clone();
        hidden.arrivals.insert(0, arrival(1, 400, false));
        assert!(violated_invariants(&hidden, vec![failing_node(600, 6000)]).is_empty());
        hidden.arrivals.push(arrival(3, 1040, true));
        assert_eq!(violated_invariants(&hidden, vec![failing_node(600, 6000)]), [Invariant::TimelyAvoidance]);
        hidden.arrivals.pop();
        hidden.arrivals[0].arrived_at = ms(0);
        assert!(
            violated_invariants(&hidden, vec![failing_node(600, 6000)])
                .iter()
                .eq(&[Invariant::TimelyAvoidance]),
            "the success was in an earlier part of the window"
        );
        // Only proxies that know typical latencies can call a node slow.
        let slow = Step { fault: Fault::Node { node: 1, fault: NodeFault::Slow }, ..failing_node(500, 6000) };
        assert_eq!(violated_invariants(&late, vec![slow.clone()]), [Invariant::TimelyAvoidance]);
        let mut still_learning = late.clone();
        still_learning.outages.push(Outage {
            proxy: 0,
            started_at: ms(0),
            ended_at: ms(100),
            answers_pending: false,
        });
        still_learning.arrivals.push(arrival(3, 1030, true));
        assert!(violated_invariants(&still_learning, vec![slow]).is_empty());
        // No bound applies if the proxy is cut off, if only two proxies observed the node, or if the node recovered
        // first.
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
        assert!(violated_invariants(&late, vec![failing_node(500, 6000), cut]).is_empty());
        assert!(violated_invariants(&late, vec![failing_node(500, 1000)]).is_empty());
        let mut two_observers = late.clone();
        two_observers.arrivals[2].proxy = 1;
        assert!(violated_invariants(&two_observers, vec![failing_node(500, 6000)]).is_empty());
    }
}
