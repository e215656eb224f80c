//! What must not break, as functions of what was seen. None of it asks the program whether it did well: requests and
//! effects are counted at the stand-ins and by clients, and what a proxy says it holds is compared with them.

use crate::record::{Arrival, Look, Record};
use crate::schedule::{Fault, Node, Schedule, Step};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// What was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets one final answer, in time.
    Lost,
    /// No effect happens twice.
    Twice,
    /// Nothing new goes to a node that drains.
    Drain,
    /// No verdict acts on what was seen too long ago, and who hears nobody goes by what it sees itself.
    Stale,
    /// A node that is plainly bad is avoided within the bound.
    Late,
    /// Planners agree once all is well again.
    Apart,
}

/// One case of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    /// What was broken.
    pub rule: Rule,
    /// How.
    pub how: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.how)
    }
}

/// The settings that the bounds are made of.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// No verdict acts on what was seen longer ago.
    pub stale: Duration,
    /// How often proxies write to each other, and judge.
    pub every: Duration,
    /// After which an attempt without an answer is silent.
    pub silent: Duration,
    /// So many proxies that met a node are enough for a verdict as long as at most 2% goes wrong elsewhere; one more
    /// where the machine stood still for longer than `chance`, so that up to 5% may.
    pub enough: usize,
    /// What one attempt that went well takes off, as a part of what one proxy weighs: it counts where it is told in one
    /// with those that went wrong.
    pub forgives: f64,
    /// What is late by less can't be called slow.
    pub chance: Duration,
    /// How long a process that began anew takes to know what is usual: what is slow counts as well until then.
    pub learns: Duration,
    /// Nodes that may be out at once.
    pub most_out: usize,
    /// In which requests have to be answered.
    pub answered: Duration,
    /// After which nothing new goes to a node that drains.
    pub grace: Duration,
    /// For timers and machines that are late; what the machine itself stood still is added.
    pub slack: Duration,
}

impl Bounds {
    /// The time in which attempts, and what others say, count.
    pub fn window(&self) -> Duration {
        self.stale / 2
    }

    /// So many more proxies are needed where so many attempts went well in the same part of the window.
    fn more(&self, good: usize) -> usize {
        (good as f64 * self.forgives).ceil() as usize
    }

    /// From the moment on when enough proxies have met a node that is plainly bad, until 19 in 20 avoid it, where
    /// this part of all datagrams is lost: an attempt without an answer is told silent, the word goes out in the next
    /// round, of which so many are lost, and is judged in the next.
    pub fn avoided(&self, lost: f64) -> Duration {
        let rounds = if lost > 0.0 { (0.05f64.ln() / lost.ln()).ceil().max(1.0) as u32 } else { 1 };
        self.silent + self.every * (rounds + 2)
    }
}

/// Everything that a play broke. `played` has the steps as they were played.
pub fn check(record: &Record, played: &Schedule, bounds: &Bounds) -> Vec<Broken> {
    let bounds = Bounds { slack: bounds.slack + record.stall, ..*bounds };
    let mut broken = lost(record, &bounds);
    broken.extend(twice(record));
    broken.extend(drains(record, &bounds));
    broken.extend(stale(record, played, &bounds));
    broken.extend(late(record, played, &bounds));
    broken.extend(record.apart.clone().map(|how| Broken { rule: Rule::Apart, how }));
    broken
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn from(step: &Step) -> Duration {
    ms(step.at_ms)
}

fn until(step: &Step) -> Duration {
    ms(step.until_ms())
}

/// Requests of proxies that ran meanwhile have an answer, in time.
fn lost(record: &Record, bounds: &Bounds) -> Vec<Broken> {
    let mut broken = Vec::new();
    for asked in &record.asked {
        if !record.owed(asked.proxy, asked.at, asked.ended + bounds.slack) {
            continue;
        }
        let took = asked.ended.saturating_sub(asked.at);
        let how = match asked.status {
            None => format!("{} at {:?} of proxy {}: no answer", asked.order, asked.at, asked.proxy),
            Some(_) if took > bounds.answered + bounds.slack => {
                format!("{} at {:?}: answered after {took:?}", asked.order, asked.at)
            }
            Some(_) => continue,
        };
        broken.push(Broken { rule: Rule::Lost, how });
    }
    broken
}

/// What must not run twice reached one node, once.
fn twice(record: &Record) -> Vec<Broken> {
    let mut runs: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
    for arrival in record.arrivals.iter().filter(|a| a.once) {
        runs.entry(&arrival.order).or_default().push(arrival);
    }
    runs.retain(|_, runs| runs.len() > 1);
    let at = |runs: &[&Arrival]| {
        runs.iter().map(|a| format!("node {} at {:?}", a.node, a.at)).collect::<Vec<_>>().join(", ")
    };
    let one = |(order, runs): (&&str, &Vec<&Arrival>)| format!("{order} ran at {}", at(runs));
    runs.iter().map(one).map(|how| Broken { rule: Rule::Twice, how }).collect()
}

/// Nothing new comes to a node from a proxy that has been told for long enough that it drains.
fn drains(record: &Record, bounds: &Bounds) -> Vec<Broken> {
    let mut broken = Vec::new();
    for drain in &record.drains {
        let after = drain.told + bounds.grace + record.stall;
        for a in record.arrivals.iter().filter(|a| a.node == drain.node && a.proxy == drain.proxy) {
            if a.at > after && a.at < drain.until {
                let how = format!(
                    "{} came from proxy {} to node {} {:?} after it was told",
                    a.order,
                    a.proxy,
                    a.node,
                    a.at - drain.told
                );
                broken.push(Broken { rule: Rule::Drain, how });
            }
        }
    }
    broken
}

/// Nodes that can't be reached leave no trace at a stand-in: they are bad for as long as they are gone.
fn gone(played: &Schedule, node: usize, since: Duration, until_: Duration) -> bool {
    let gone = Fault::Node { node, does: Node::Gone };
    played.steps.iter().any(|s| s.fault == gone && from(s) < until_ && since < until(s))
}

/// No verdict rests on older words than it may, each has something that went wrong behind it that is not older
/// than the bound, and who has heard nobody for that long holds none.
fn stale(record: &Record, played: &Schedule, bounds: &Bounds) -> Vec<Broken> {
    let mut broken = Vec::new();
    for look in &record.looks {
        // Who stood still judges anew a round after it goes on.
        if !record.ran(look.proxy, look.at.saturating_sub(bounds.every * 3 + bounds.slack), look.answered) {
            continue;
        }
        let deaf =
            hears_nobody(played, look.proxy, look.at.saturating_sub(bounds.stale + bounds.slack), look.at);
        for held in &look.held {
            let (proxy, node) = (look.proxy, held.node);
            let mut say = |how: String| broken.push(Broken { rule: Rule::Stale, how });
            if held.oldest > bounds.window() + bounds.every + bounds.slack {
                say(format!("proxy {proxy} goes by a word on node {node} that is {:?} old", held.oldest));
            }
            if deaf && held.out {
                say(format!("proxy {proxy} keeps node {node} out at {:?} and has heard nobody", look.at));
            }
            // On a busy machine an answer may be late by no fault of a node; nothing else goes wrong by chance.
            let since = look.at.saturating_sub(bounds.stale + bounds.slack);
            let seen = |a: &Arrival| a.node == node && a.bad && a.at >= since && a.at <= look.answered;
            let chance = held.kind == "slow" || held.kind == "silent" && record.stall > bounds.silent / 2;
            if held.out
                && !chance
                && !record.arrivals.iter().any(seen)
                && !gone(played, node, since, look.answered)
            {
                say(format!(
                    "proxy {proxy} keeps node {node} out as {} at {:?}, where nothing went wrong since {since:?}",
                    held.kind, look.at
                ));
            }
        }
    }
    broken
}

/// How long after a fault of planners or of streams to them letters go all ways again: a stream that was silent is made
/// anew, after waits of up to a second, and each proxy writes by way of each planner once.
const STREAMS_ANEW: Duration = Duration::from_secs(4);

/// Whether a fault keeps a planner from carrying letters from or to this proxy.
fn stops(fault: &Fault, planner: usize, proxy: usize) -> bool {
    match fault {
        Fault::AllPlanners => true,
        Fault::Planner { planner: of, .. } => *of == planner,
        Fault::Streams { proxies, to, .. } => to.contains(&planner) && proxies.contains(&proxy),
        _ => false,
    }
}

/// The part of planners by way of which letters between two proxies may not come.
fn not_carried(played: &Schedule, a: usize, b: usize, since: Duration, until_: Duration) -> f64 {
    let steps = || played.steps.iter().filter(|s| from(s) < until_ && since < until(s) + STREAMS_ANEW);
    let fails = |p: &usize| steps().any(|s| stops(&s.fault, *p, a) || stops(&s.fault, *p, b));
    (0..played.planners).filter(fails).count() as f64 / played.planners.max(1) as f64
}

/// Whether everything that is said to a proxy was lost all the time.
fn hears_nobody(played: &Schedule, proxy: usize, since: Duration, until_: Duration) -> bool {
    if played.by_planners {
        let all_the_time = |p: usize| {
            let covers = |s: &&Step| from(s) <= since && until(s) >= until_;
            played.steps.iter().filter(covers).any(|s| stops(&s.fault, p, proxy))
        };
        return (0..played.planners).all(all_the_time);
    }
    (0..played.size.proxies).filter(|other| *other != proxy).all(|other| {
        played.steps.iter().any(|step| match &step.fault {
            Fault::Talk { from: a, to: b, lost: 1000, .. } => {
                a.contains(&other) && b.contains(&proxy) && from(step) <= since && until(step) >= until_
            }
            _ => false,
        })
    })
}

/// The part of datagrams that is lost at worst between two proxies, in either direction: a datagram counts only where it
/// answers one.
fn lost_between(played: &Schedule, a: usize, b: usize, since: Duration, until_: Duration) -> f64 {
    if played.by_planners {
        return not_carried(played, a, b, since, until_);
    }
    let worst =
        played.steps.iter().filter(|s| from(s) < until_ && since < until(s)).map(|s| match &s.fault {
            Fault::Talk { from, to, lost, .. }
                if from.contains(&a) && to.contains(&b) || from.contains(&b) && to.contains(&a) =>
            {
                f64::from(*lost) / 1000.0
            }
            _ => 0.0,
        });
    worst.fold(0.0, f64::max)
}

/// How many looks the bound on avoidance was checked for, and what broke it.
pub struct Avoided {
    /// Proxies and bad nodes for which the bound said something.
    pub checked: usize,
    /// Those that avoided it although fewer had met it than the bound needs, or too late in the play to tell.
    pub early: usize,
    /// Those that were late.
    pub broken: Vec<Broken>,
}

/// A proxy that runs and hears enough others who met a plainly bad node avoids it within the bound.
pub fn avoided(record: &Record, played: &Schedule, bounds: &Bounds) -> Avoided {
    let mut found = Avoided { checked: 0, early: 0, broken: Vec::new() };
    for step in &played.steps {
        let Fault::Node { node, does: Node::Hangs | Node::Fails | Node::Slow } = step.fault else { continue };
        for proxy in 0..played.size.proxies {
            let known = |look: &&Look| look.proxy == proxy && look.at >= from(step) && look.at <= until(step);
            let mut known = record.looks.iter().filter(known).flat_map(|look| &look.held);
            let early = usize::from(known.any(|held| held.node == node && held.out));
            let Some((met, lost)) = met(record, played, bounds, step, node, proxy) else {
                found.early += early;
                continue;
            };
            let by = met + bounds.avoided(lost) + bounds.slack;
            let span = met.saturating_sub(bounds.stale)..by;
            // Words have to reach it all that time, and it has to have run. Who has not learnt what is usual takes what is
            // slow for well, and says so.
            let learnt = from(step).saturating_sub(bounds.learns)..by;
            let slow = matches!(step.fault, Fault::Node { does: Node::Slow, .. });
            let unlearnt = slow && !(0..played.size.proxies).all(|p| record.ran(p, learnt.start, learnt.end));
            if unlearnt || by > until(step) || !record.ran(proxy, span.start, span.end) {
                found.early += early;
                continue;
            }
            found.checked += 1;
            let keeps = |look: &Look| {
                let out = look.held.iter().filter(|h| h.out).count();
                look.held.iter().any(|h| h.node == node && (h.out || out >= bounds.most_out))
            };
            let mut looks = record.looks.iter().filter(|l| l.proxy == proxy && l.at >= met && l.at <= by);
            if !looks.any(keeps) {
                let how = format!(
                    "node {node} {:?} from {:?}: enough had met it at {met:?}, proxy {proxy} did not avoid it by {by:?}",
                    step.fault,
                    from(step)
                );
                found.broken.push(Broken { rule: Rule::Late, how });
            }
        }
    }
    found
}

/// When enough proxies that this one hears had met a bad node, and the part of datagrams that is lost between them.
fn met(
    record: &Record,
    played: &Schedule,
    bounds: &Bounds,
    step: &Step,
    node: usize,
    proxy: usize,
) -> Option<(Duration, f64)> {
    // Spans begin with a part of the window. In the part in which it turned bad what went well before counts, so that
    // more have to meet it; from the next part on it does not.
    let (turned, part) = (from(step), bounds.window() / 8);
    let well = |a: &&Arrival| a.node == node && !a.bad && a.at + part >= turned && a.at <= turned + part;
    let more = bounds.more(record.arrivals.iter().filter(well).count());
    let early = met_since(record, played, bounds, [node, proxy], [turned, until(step)], more);
    let later = met_since(record, played, bounds, [node, proxy], [turned + part, until(step)], 0);
    early.into_iter().chain(later).min_by_key(|(met, _)| *met)
}

/// The same for those who met it in that span, where so many more than usual are needed.
fn met_since(
    record: &Record,
    played: &Schedule,
    bounds: &Bounds,
    [node, proxy]: [usize; 2],
    [first, end]: [Duration; 2],
    more: usize,
) -> Option<(Duration, f64)> {
    let met: Vec<&Arrival> =
        record.arrivals.iter().filter(|a| a.node == node && a.bad && a.at >= first && a.at <= end).collect();
    for last in &met {
        let reaches = last.at + bounds.avoided(0.5) + bounds.slack;
        let since = last.at.saturating_sub(bounds.stale);
        let way = |other: usize| lost_between(played, proxy, other, since, reaches);
        // What each of them saw has to count until the last one's word can have come.
        let heard = |a: &&&Arrival| {
            let lost = if a.proxy == proxy { 0.0 } else { way(a.proxy) };
            a.at <= last.at
                && a.at + bounds.window() > last.at + bounds.avoided(lost)
                && record.ran(a.proxy, since, reaches)
                && lost <= 0.5
        };
        let who: BTreeSet<usize> = met.iter().filter(heard).map(|a| a.proxy).collect();
        let enough = bounds.enough + more + usize::from(record.stall > bounds.chance);
        if who.len() >= enough {
            let lost = who.iter().filter(|o| **o != proxy).map(|o| way(*o)).fold(0.0, f64::max);
            return Some((last.at, lost));
        }
    }
    None
}

fn late(record: &Record, played: &Schedule, bounds: &Bounds) -> Vec<Broken> {
    let found = avoided(record, played, bounds);
    // The bound is one for 19 in 20.
    if found.broken.len() * 20 > found.checked { found.broken } else { Vec::new() }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::{Asked, Disturbed, Drain, Held};
    use crate::schedule::Size;

    const BOUNDS: Bounds = Bounds {
        stale: ms_(8000),
        every: ms_(100),
        silent: ms_(500),
        enough: 3,
        forgives: 0.18,
        chance: ms_(90),
        learns: ms_(13_000),
        most_out: 2,
        answered: ms_(2000),
        grace: ms_(500),
        slack: ms_(500),
    };

    const fn ms_(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn played(steps: Vec<Step>) -> Schedule {
        let size = Size { proxies: 4, nodes: 3, length_ms: 20_000, apart_ms: 8000 };
        Schedule { seed: 0, size, planners: 0, by_planners: false, steps }
    }

    #[test]
    fn what_planners_carry_is_lost_by_the_part_of_them_that_do_not() {
        let streams = |proxies: Vec<usize>, to: Vec<usize>| Fault::Streams {
            proxies,
            planners: Vec::new(),
            to,
            answers: true,
        };
        let step = |at_ms, for_ms, fault| Step { at_ms, for_ms, fault };
        let still = Fault::Planner { planner: 0, does: crate::schedule::Ends::Still };
        let steps = vec![
            step(1000, 1000, still),
            step(10_000, 2000, streams(vec![1], vec![1, 2])),
            step(18_000, 9000, streams(vec![3], vec![0, 1, 2])),
        ];
        let all = Schedule { planners: 3, ..played(steps).carried(true) };
        let lost = |a, b, since, until| lost_between(&all, a, b, ms(since), ms(until));
        assert_eq!([lost(0, 2, 0, 900), lost(0, 2, 6100, 9900)], [0.0, 0.0]);
        // One of three stands still, and until streams are made anew.
        assert_eq!([lost(0, 2, 0, 1100), lost(0, 2, 5900, 6500)], [1.0 / 3.0; 2]);
        assert_eq!([lost(0, 1, 10_500, 11_000), lost(2, 0, 10_500, 11_000)], [2.0 / 3.0, 0.0]);
        assert_eq!(lost(2, 3, 19_000, 19_500), 1.0);
        assert!(
            hears_nobody(&all, 3, ms(18_100), ms(26_900)) && !hears_nobody(&all, 2, ms(18_100), ms(26_900))
        );
        assert!(
            !hears_nobody(&all, 3, ms(17_900), ms(26_900)) && !hears_nobody(&all, 1, ms(10_100), ms(10_900))
        );
        // Where datagrams carry it none of that matters.
        assert_eq!(lost_between(&all.carried(false), 2, 3, ms(19_000), ms(19_500)), 0.0);
    }

    fn arrival(proxy: usize, at: u64, bad: bool) -> Arrival {
        Arrival { node: 1, at: ms(at), proxy, order: format!("p{proxy}-{at}"), once: false, bad }
    }

    fn asked(at: u64, ended: u64, status: Option<u16>) -> Asked {
        Asked { proxy: 0, order: "p0-1".into(), at: ms(at), ended: ms(ended), status }
    }

    fn look(proxy: usize, at: u64, out: bool) -> Look {
        let held = Held { node: 1, kind: "failing".into(), out, oldest: ms(100) };
        let held = if out { vec![held] } else { Vec::new() };
        Look { proxy, at: ms(at), answered: ms(at + 5), held }
    }

    fn broken(record: &Record, steps: Vec<Step>) -> Vec<Rule> {
        let mut rules: Vec<Rule> =
            check(record, &played(steps), &BOUNDS).into_iter().map(|b| b.rule).collect();
        rules.dedup();
        rules
    }

    fn fails(at_ms: u64, for_ms: u64) -> Step {
        Step { at_ms, for_ms, fault: Fault::Node { node: 1, does: Node::Fails } }
    }

    #[test]
    fn a_request_without_an_answer_or_with_a_late_one_is_found_unless_its_proxy_was_down() {
        let fine = Record { asked: vec![asked(0, 2400, Some(503))], ..Record::default() };
        assert!(broken(&fine, vec![]).is_empty());
        for wrong in [asked(0, 100, None), asked(0, 2600, Some(200))] {
            let mut record = Record { asked: vec![wrong], ..Record::default() };
            assert_eq!(broken(&record, vec![]), [Rule::Lost]);
            record.disturbed.push(Disturbed { proxy: 0, from: ms(50), until: ms(90), answers: false });
            assert!(broken(&record, vec![]).is_empty());
            record.disturbed[0].proxy = 1;
            assert_eq!(broken(&record, vec![]), [Rule::Lost]);
            // One that was ended owes what came before.
            record.disturbed[0] = Disturbed { proxy: 0, from: ms(50), until: ms(9000), answers: true };
            assert_eq!(broken(&record, vec![]), [Rule::Lost]);
            record.asked[0].at = ms(60);
            record.asked[0].ended += ms(60);
            assert!(broken(&record, vec![]).is_empty());
        }
    }

    #[test]
    fn an_effect_that_happens_twice_is_found_and_a_read_may() {
        let mut record =
            Record { arrivals: vec![arrival(0, 5, false), arrival(0, 5, false)], ..Record::default() };
        assert!(broken(&record, vec![]).is_empty());
        record.arrivals.iter_mut().for_each(|a| a.once = true);
        assert_eq!(broken(&record, vec![]), [Rule::Twice]);
    }

    #[test]
    fn planners_that_go_by_different_plans_after_all_is_well_are_found() {
        let record = Record { apart: Some("plans 1.2 and 1.3".into()), ..Record::default() };
        assert_eq!(broken(&record, vec![]), [Rule::Apart]);
    }

    #[test]
    fn what_comes_after_the_grace_of_a_drain_is_found() {
        let drain = Drain { node: 1, proxy: 2, told: ms(1000), until: ms(3000) };
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
            looks: vec![look(3, 9400, true)],
            ..Record::default()
        };
        assert!(broken(&seen, vec![]).is_empty());
        let late = Record { looks: vec![look(3, 9600, true)], ..seen.clone() };
        assert_eq!(broken(&late, vec![]), [Rule::Stale]);
        let gone = Step { at_ms: 100, for_ms: 3000, fault: Fault::Node { node: 1, does: Node::Gone } };
        assert!(broken(&late, vec![gone]).is_empty());
        let mut old = seen.clone();
        old.looks[0].held[0].oldest = ms(4700);
        assert_eq!(broken(&old, vec![]), [Rule::Stale]);
        let cut = |at_ms| Step {
            at_ms,
            for_ms: 10_000,
            fault: Fault::Talk { from: vec![0, 1, 2], to: vec![3], lost: 1000, doubled: 0, delay_ms: 0 },
        };
        assert_eq!(broken(&seen, vec![cut(800)]), [Rule::Stale]);
        assert!(broken(&seen, vec![cut(2000)]).is_empty());
    }

    #[test]
    fn a_proxy_that_does_not_avoid_what_enough_others_met_is_found() {
        let arrivals = (0..3).map(|p| arrival(p, 1000 + 10 * p as u64, true)).collect();
        let all = |late: u64| (0..4).map(|p| look(p, if p == 3 { late } else { 1500 }, true)).collect();
        let record = Record { arrivals, looks: all(2000), ..Record::default() };
        // 500 + 3 x 100, and 500 of slack: by 1,820 + 500.
        assert!(broken(&record, vec![fails(500, 6000)]).is_empty());
        let late = Record { looks: all(2400), ..record.clone() };
        assert_eq!(broken(&late, vec![fails(500, 6000)]), [Rule::Late]);
        // What went well just before it turned bad hides one failure in the same part of the window.
        let mut hidden = late.clone();
        hidden.arrivals.insert(0, arrival(1, 400, false));
        assert!(broken(&hidden, vec![fails(600, 6000)]).is_empty());
        hidden.arrivals.push(arrival(3, 1040, true));
        assert_eq!(broken(&hidden, vec![fails(600, 6000)]), [Rule::Late]);
        hidden.arrivals.pop();
        hidden.arrivals[0].at = ms(0);
        assert!(
            broken(&hidden, vec![fails(600, 6000)]).iter().eq(&[Rule::Late]),
            "it was in an earlier part"
        );
        // A node that is slow is called so by who knows what is usual.
        let slow = Step { fault: Fault::Node { node: 1, does: Node::Slow }, ..fails(500, 6000) };
        assert_eq!(broken(&late, vec![slow.clone()]), [Rule::Late]);
        let mut unlearnt = late.clone();
        unlearnt.disturbed.push(Disturbed { proxy: 0, from: ms(0), until: ms(100), answers: false });
        unlearnt.arrivals.push(arrival(3, 1030, true));
        assert!(broken(&unlearnt, vec![slow]).is_empty());
        // Where it can't hear them, two have met it, or it turned well before, the bound says nothing.
        let cut = Step {
            at_ms: 0,
            for_ms: 10_000,
            fault: Fault::Talk { from: vec![3], to: vec![0], lost: 1000, doubled: 0, delay_ms: 0 },
        };
        assert!(broken(&late, vec![fails(500, 6000), cut]).is_empty());
        assert!(broken(&late, vec![fails(500, 1000)]).is_empty());
        let mut two = late.clone();
        two.arrivals[2].proxy = 1;
        assert!(broken(&two, vec![fails(500, 6000)]).is_empty());
    }
}
