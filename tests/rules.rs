//! The rules, checked from outside on random legal event sequences, with a checker that is
//! shown to catch planted breaches.

mod common;
use common::entry;
use gannetproxy::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::HashMap;

#[derive(Clone, Debug)]
struct Try {
    cell: u32,
    zone: u32,
    sent: Time,
    outcome: Option<Outcome>,
    ended: Time,
}

struct Open {
    class: usize,
    key: Option<u64>,
    deadline: Time,
    tries: Vec<Try>,
    over: bool,
}

/// Watches events and actions as the outside sees them.
struct Checker {
    settings: Settings,
    open: HashMap<u64, Open>,
    list: HashMap<u32, BackendEntry>,
    /// Draining backends whose connections are to be closed, since the notice or the last use.
    unclosed: HashMap<u32, Time>,
    breaches: Vec<String>,
}

impl Checker {
    fn new(settings: Settings) -> Self {
        Self {
            settings,
            open: HashMap::new(),
            list: HashMap::new(),
            unclosed: HashMap::new(),
            breaches: vec![],
        }
    }

    fn breach(&mut self, what: String) {
        self.breaches.push(what);
    }

    /// What is out of order if this request is sent now: ids rise in the order of arrival.
    fn out_of_order(&self, now: Time, id: u64) -> Option<&'static str> {
        let ordered = |o: &&Open| self.settings.classes[o.class].in_order && o.key.is_some();
        let key = self.open.get(&id).filter(ordered)?.key;
        for earlier in self.open.iter().filter(|(i, o)| **i < id && ordered(o) && o.key == key) {
            let rests = |t: &Try| {
                matches!(t.outcome, Some(Outcome::Timeout | Outcome::Reset | Outcome::Cancelled))
                    && now < t.ended + self.settings.key_settle_time
            };
            if !earlier.1.over || earlier.1.tries.iter().any(|t| t.outcome.is_none()) {
                return Some("order: an earlier one is not over");
            }
            if earlier.1.tries.iter().any(rests) {
                return Some("order: the key has not rested");
            }
        }
        None
    }

    /// A draining backend was told of or used: its idle connections are to be closed from now.
    fn used(&mut self, now: Time, backend: u32) {
        if self.list.get(&backend).is_some_and(|e| e.status == Status::Draining) {
            self.unclosed.insert(backend, now);
        } else {
            self.unclosed.remove(&backend);
        }
    }

    fn check_closed(&mut self, now: Time) {
        let within = self.settings.connection_release_deadline.unwrap_or(f64::INFINITY);
        if self.unclosed.values().any(|since| now > since + within) {
            self.unclosed.clear();
            self.breach("drain: connections left open".into());
        }
    }

    fn action(&mut self, now: Time, action: &Action) {
        match action {
            Action::CloseIdleConnections(backend) => {
                self.unclosed.remove(&backend.0);
            }
            Action::Send { id, backend, timeout } => {
                let Some(entry) = self.list.get(&backend.0).cloned() else {
                    return self.breach(format!("sent to unknown {backend:?}"));
                };
                if entry.status != Status::InService {
                    self.breach(format!("drain: sent to {backend:?}"));
                }
                if !timeout.is_finite() || *timeout <= 0.0 {
                    self.breach(format!("time-out {timeout}"));
                }
                let settings = self.settings.clone();
                if let Some(what) = self.out_of_order(now, id.0) {
                    self.breach(what.into());
                }
                let Some(open) = self.open.get_mut(&id.0) else {
                    return self.breach(format!("sent unknown {id:?}"));
                };
                let mut what = Vec::new();
                if open.over {
                    what.push("sent after the end");
                }
                if open.tries.len() >= settings.max_attempts {
                    what.push("too many attempts");
                }
                if !settings.allow_concurrent_attempts && open.tries.iter().any(|t| t.outcome.is_none()) {
                    what.push("two at once");
                }
                if let Some(first) = open.tries.iter().find(|t| may_have_run(t)) {
                    match settings.classes[open.class].effect {
                        Effect::Safe => {}
                        Effect::Unsafe => what.push("unsafe call twice"),
                        Effect::Keyed { group, window } => {
                            let inside = match group {
                                DedupGroup::All => true,
                                DedupGroup::Zone => first.zone == entry.zone,
                                DedupGroup::Cell => first.cell == entry.cell,
                            };
                            if !inside || now > first.sent + window {
                                what.push("keyed call outside its group or window");
                            }
                        }
                    }
                }
                open.tries.push(Try {
                    cell: entry.cell,
                    zone: entry.zone,
                    sent: now,
                    outcome: None,
                    ended: 0.0,
                });
                what.into_iter().for_each(|w| self.breaches.push(w.to_string()));
            }
            Action::Reject { id, .. } => {
                let harmless = self.open.get(&id.0).is_some_and(|open| {
                    let all = matches!(
                        self.settings.classes[open.class].effect,
                        Effect::Safe | Effect::Keyed { group: DedupGroup::All, .. }
                    );
                    all || !open.tries.iter().any(may_have_run)
                });
                if !harmless {
                    self.breach(format!("refused {id:?}, which may have run"));
                }
                self.answer(now, id.0);
            }
            Action::Fail { id } => self.answer(now, id.0),
            Action::Cancel { .. } if !self.settings.can_cancel => self.breach("cancel forbidden".into()),
            Action::Timer { at, .. } if !at.is_finite() => self.breach("timer at no time".into()),
            _ => {}
        }
    }

    fn answer(&mut self, now: Time, id: u64) {
        match self.open.get_mut(&id) {
            Some(open) if !open.over => {
                open.over = true;
                if now > open.deadline {
                    self.breach(format!("{id} answered late"));
                }
            }
            _ => self.breach(format!("{id} answered twice or unasked")),
        }
    }

    fn finish(&mut self) {
        let lost: Vec<u64> = self.open.iter().filter(|(_, o)| !o.over).map(|(id, _)| *id).collect();
        lost.into_iter().for_each(|id| self.breach(format!("{id} lost")));
    }
}

fn may_have_run(t: &Try) -> bool {
    !matches!(t.outcome, Some(Outcome::Rejected | Outcome::NoConnection | Outcome::NeverSent))
}

#[derive(Clone, Debug)]
enum Step {
    Request { class: usize, tenant: usize, key: u64, budget: f64 },
    End { which: usize, outcome: usize },
    Leave { which: usize },
    Wait(f64),
    Change { which: u32, status: usize, restarted: bool },
    Full { gone: u32 },
    Refused,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..5usize, 0..2usize, 0..3u64, -0.1..2.0f64).prop_map(|(class, tenant, key, budget)| Step::Request { class, tenant, key, budget }),
        6 => (0..50usize, 0..8usize).prop_map(|(which, outcome)| Step::End { which, outcome }),
        1 => (0..50usize).prop_map(|which| Step::Leave { which }),
        8 => (0.0..0.3f64).prop_map(Step::Wait),
        2 => (1..8u32, 0..3usize, any::<bool>()).prop_map(|(which, status, restarted)| Step::Change { which, status, restarted }),
        1 => (1..8u32).prop_map(|gone| Step::Full { gone }),
        1 => Just(Step::Refused),
    ]
}

fn settings(second_copies: bool, cancel: bool, tier: usize) -> Settings {
    let class =
        |effect| Class { aim: 0.8, deadline: 2.0, late_worth: 0.0, worth: 1.0, effect, in_order: false };
    let keyed = |group, window| Effect::Keyed { group, window };
    Settings {
        classes: vec![
            class(Effect::Safe),
            Class { late_worth: 0.3, in_order: true, ..class(Effect::Unsafe) },
            class(keyed(DedupGroup::All, 0.6)),
            class(keyed(DedupGroup::Zone, 0.5)),
            Class { in_order: true, ..class(keyed(DedupGroup::Cell, 0.4)) },
        ],
        quotas: vec![2.0, 100.0],
        over_share_worth: 0.1,
        allow_concurrent_attempts: second_copies,
        can_cancel: cancel,
        tier,
        max_attempts: 3,
        max_retry_after: 1.0,
        must_watch: true,
        key_settle_time: 0.2,
        connection_release_deadline: Some(0.1),
        ..Settings::default()
    }
}

fn play(steps: &[Step], settings: Settings, seed: u64) -> Vec<String> {
    const OUTCOMES: [Outcome; 8] = [
        Outcome::Served,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::Timeout,
        Outcome::NoConnection,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::NeverSent,
    ];
    let mut check = Checker::new(settings.clone());
    let mut balancer = Balancer::new(0.0, seed, settings);
    let mut now = 0.0;
    let mut timers: Vec<(Time, u64)> = Vec::new();
    let mut out: Vec<(u64, usize, u32)> = Vec::new();
    let mut list: Vec<BackendEntry> =
        (1..8).map(|i| BackendEntry { cell: i % 3, zone: i % 2, ..entry(i) }).collect();
    let mut next = 0;
    let mut all = vec![Step::Full { gone: 0 }];
    all.extend_from_slice(steps);
    all.push(Step::Wait(5.0));
    for step in all {
        let mut due: Vec<Event<'_>> = Vec::new();
        let copy;
        match step {
            Step::Request { class, tenant, key, budget } => {
                next += 1;
                let key = (key > 0).then_some(key);
                let deadline = now + budget.max(0.0);
                let open = Open { class, key, deadline, tries: vec![], over: false };
                check.open.insert(next, open);
                let id = RequestId(next);
                due.push(Event::Request(Request { id, class, tenant: Some(tenant), key, budget }));
            }
            Step::End { which, outcome } if !out.is_empty() => {
                let (id, attempt, backend) = out.remove(which % out.len());
                check.used(now, backend);
                let open = check.open.get_mut(&id).unwrap();
                open.tries[attempt].outcome = Some(OUTCOMES[outcome]);
                open.tries[attempt].ended = now;
                open.over |= OUTCOMES[outcome] == Outcome::Served;
                let took = now - open.tries[attempt].sent;
                let (id, backend, outcome, over) =
                    (RequestId(id), BackendId(backend), OUTCOMES[outcome], open.over);
                due.push(Event::Outcome(AttemptResult {
                    id,
                    backend,
                    attempt,
                    outcome,
                    duration: took,
                    is_final: over,
                    report: None,
                }));
            }
            Step::Leave { which } if next > 0 => {
                let id = 1 + which as u64 % next;
                check.open.get_mut(&id).unwrap().over = true;
                due.push(Event::ClientDisconnected(RequestId(id)));
            }
            Step::End { .. } | Step::Leave { .. } => {}
            Step::Wait(span) => {
                let until = now + span;
                while let Some(i) = (0..timers.len())
                    .filter(|i| timers[*i].0 <= until)
                    .min_by(|a, b| timers[*a].0.total_cmp(&timers[*b].0))
                {
                    let (at, token) = timers.remove(i);
                    now = at.max(now);
                    let mut actions = Vec::new();
                    balancer.handle(now, Event::Timer(token), &mut actions);
                    take(&actions, now, &mut check, &mut timers, &mut out);
                }
                now = until;
            }
            Step::Change { which, status, restarted } => {
                let e = &mut list[which as usize - 1];
                e.status = [Status::InService, Status::Draining, Status::Gone][status];
                e.started = restarted.then_some(now);
                check.list.insert(which, e.clone());
                check.used(now, which);
                copy = vec![e.clone()];
                due.push(Event::List(ListUpdate::Changes(&copy)));
            }
            Step::Full { gone } => {
                copy = list.iter().filter(|e| e.id.0 != gone).cloned().collect::<Vec<_>>();
                check.list.values_mut().for_each(|e| e.status = Status::Gone);
                check.unclosed.clear();
                copy.iter().for_each(|e| {
                    check.list.insert(e.id.0, e.clone());
                    check.used(now, e.id.0);
                });
                due.push(Event::List(ListUpdate::Full(&copy)));
            }
            Step::Refused => due.push(Event::List(ListUpdate::Failed)),
        }
        for event in due {
            let mut actions = Vec::new();
            balancer.handle(now, event, &mut actions);
            take(&actions, now, &mut check, &mut timers, &mut out);
        }
    }
    check.finish();
    if balancer.open_requests() > 0 {
        check.breach("state of finished requests is kept".into());
    }
    check.breaches
}

fn take(
    actions: &[Action],
    now: Time,
    check: &mut Checker,
    timers: &mut Vec<(Time, u64)>,
    out: &mut Vec<(u64, usize, u32)>,
) {
    check.check_closed(now);
    for action in actions {
        check.action(now, action);
        match action {
            Action::Timer { at, token } => timers.push((*at, *token)),
            Action::Send { id, backend, .. } => {
                let attempt = check.open.get(&id.0).map_or(0, |o| o.tries.len() - 1);
                out.push((id.0, attempt, backend.0));
            }
            _ => {}
        }
    }
}

#[test]
fn the_rules_are_kept_on_random_days() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let days = (prop::collection::vec(step(), 1..150), any::<bool>(), any::<bool>(), 0..2usize, any::<u64>());
    runner
        .run(&days, |(steps, copies, cancel, tier, seed)| {
            let breaches = play(&steps, settings(copies, cancel, tier), seed);
            prop_assert!(breaches.is_empty(), "{breaches:?}");
            Ok(())
        })
        .unwrap();
}

#[test]
fn the_checker_catches_planted_breaches() {
    let plant = |class: usize, then: &[(Time, Action)]| {
        let mut check = Checker::new(settings(false, false, 0));
        check.list.insert(1, BackendEntry { cell: 1, ..entry(1) });
        check.list.insert(2, BackendEntry { cell: 2, ..entry(2) });
        check.list.insert(3, BackendEntry { status: Status::Draining, ..entry(3) });
        for id in 1..3 {
            check.open.insert(id, Open { class, key: Some(9), deadline: 1.0, tries: vec![], over: id == 2 });
        }
        then.iter().for_each(|(now, action)| check.action(*now, action));
        check.finish();
        check.breaches
    };
    let id = RequestId(1);
    let send = |to| Action::Send { id, backend: BackendId(to), timeout: 0.5 };
    assert_eq!(plant(0, &[(0.0, send(1)), (0.5, Action::Reject { id, retry_after: None })]).len(), 0);
    assert_eq!(plant(0, &[(0.0, send(1))]), ["1 lost"]);
    assert_eq!(plant(0, &[(1.5, Action::Fail { id })]), ["1 answered late"]);
    assert_eq!(plant(0, &[(0.1, Action::Fail { id }), (0.2, Action::Fail { id })]).len(), 1);
    assert_eq!(plant(0, &[(0.1, Action::Fail { id }), (0.2, send(1))]), ["sent after the end"]);
    assert!(plant(0, &[(0.1, send(3)), (0.2, Action::Fail { id })])[0].starts_with("drain"));
    let twice = [(0.0, send(1)), (0.1, send(2)), (0.2, Action::Fail { id })];
    assert_eq!(plant(1, &twice), ["two at once", "unsafe call twice"]);
    assert_eq!(plant(4, &twice), ["two at once", "keyed call outside its group or window"]);
    let late = [(0.0, send(1)), (0.5, send(1)), (0.6, Action::Fail { id })];
    assert_eq!(plant(4, &late), ["two at once", "keyed call outside its group or window"]);
    // Order: the second of a key while the first is open, has an attempt out, or just timed out.
    let mut check = Checker::new(settings(true, true, 0));
    check.list.insert(1, entry(1));
    for id in 1..3 {
        check.open.insert(id, Open { class: 1, key: Some(9), deadline: 9.0, tries: vec![], over: false });
    }
    check.action(0.0, &send(1));
    let second = Action::Send { id: RequestId(2), backend: BackendId(1), timeout: 0.5 };
    assert_eq!(check.out_of_order(0.1, 2), Some("order: an earlier one is not over"));
    check.action(0.2, &Action::Fail { id });
    assert_eq!(check.out_of_order(0.2, 2), Some("order: an earlier one is not over"));
    let first = &mut check.open.get_mut(&1).unwrap().tries[0];
    (first.outcome, first.ended) = (Some(Outcome::Timeout), 0.3);
    check.action(0.4, &second);
    assert_eq!(check.breaches, ["order: the key has not rested"]);
    assert_eq!(check.out_of_order(0.51, 2), None);
    // Closing: a draining backend's connections left open, after the notice or a later outcome.
    check.list.insert(1, BackendEntry { status: Status::Draining, ..entry(1) });
    check.used(1.0, 1);
    check.check_closed(1.05);
    check.action(1.05, &Action::CloseIdleConnections(BackendId(1)));
    check.check_closed(1.2);
    assert_eq!(check.breaches.len(), 1);
    check.used(1.3, 1);
    check.check_closed(1.5);
    assert_eq!(check.breaches[1], "drain: connections left open");
    let refused = [(0.0, send(1)), (0.6, Action::Reject { id, retry_after: None })];
    assert!(plant(1, &refused)[0].contains("which may have run"));
}
