//! Checks the balancer's invariants on random valid event sequences, and the checker itself on planted
//! violations.

mod common;
use common::entry;
use gannetproxy::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::HashMap;

#[derive(Clone, Debug)]
struct SentAttempt {
    cell: u32,
    zone: u32,
    sent_at: Time,
    outcome: Option<Outcome>,
    ended_at: Time,
}

struct RequestState {
    class: usize,
    key: Option<u64>,
    deadline: Time,
    attempts: Vec<SentAttempt>,
    is_closed: bool,
}

/// Follows the events and actions of a balancer, and records violations.
struct Checker {
    settings: Settings,
    requests: HashMap<u64, RequestState>,
    entries: HashMap<u32, BackendEntry>,
    /// Draining backends whose connections have to be closed, and since when.
    unclosed_since: HashMap<u32, Time>,
    violations: Vec<String>,
}

impl Checker {
    fn new(settings: Settings) -> Self {
        Self {
            settings,
            requests: HashMap::new(),
            entries: HashMap::new(),
            unclosed_since: HashMap::new(),
            violations: vec![],
        }
    }

    fn add_violation(&mut self, violation: String) {
        self.violations.push(violation);
    }

    /// Returns a violation if sending this request now breaks the order of its key. Ids are in the order of
    /// arrival.
    fn order_violation(&self, now: Time, id: u64) -> Option<&'static str> {
        let is_ordered = |o: &&RequestState| self.settings.classes[o.class].in_order && o.key.is_some();
        let key = self.requests.get(&id).filter(is_ordered)?.key;
        for earlier in self.requests.iter().filter(|(i, o)| **i < id && is_ordered(o) && o.key == key) {
            let is_settling = |t: &SentAttempt| {
                matches!(t.outcome, Some(Outcome::Timeout | Outcome::Reset | Outcome::Cancelled))
                    && now < t.ended_at + self.settings.key_settle_time
            };
            if !earlier.1.is_closed || earlier.1.attempts.iter().any(|t| t.outcome.is_none()) {
                return Some("order: an earlier request is not complete");
            }
            if earlier.1.attempts.iter().any(is_settling) {
                return Some("order: the key has not settled");
            }
        }
        None
    }

    /// Records an update or a use of a backend. If it drains, its idle connections have to be closed now.
    fn record_use(&mut self, now: Time, backend: u32) {
        if self.entries.get(&backend).is_some_and(|e| e.status == Status::Draining) {
            self.unclosed_since.insert(backend, now);
        } else {
            self.unclosed_since.remove(&backend);
        }
    }

    fn check_connections_closed(&mut self, now: Time) {
        let deadline = self.settings.connection_release_deadline.unwrap_or(f64::INFINITY);
        if self.unclosed_since.values().any(|since| now > since + deadline) {
            self.unclosed_since.clear();
            self.add_violation("drain: connections left open".into());
        }
    }

    fn record_action(&mut self, now: Time, action: &Action) {
        match action {
            Action::CloseIdleConnections(backend) => {
                self.unclosed_since.remove(&backend.0);
            }
            Action::Send { id, backend, timeout, .. } => {
                let Some(entry) = self.entries.get(&backend.0).cloned() else {
                    return self.add_violation(format!("sent to unlisted {backend:?}"));
                };
                if entry.status != Status::InService {
                    self.add_violation(format!("drain: sent to {backend:?}"));
                }
                if !timeout.is_finite() || *timeout <= 0.0 {
                    self.add_violation(format!("timeout {timeout}"));
                }
                let settings = self.settings.clone();
                if let Some(violation) = self.order_violation(now, id.0) {
                    self.add_violation(violation.into());
                }
                let Some(request) = self.requests.get_mut(&id.0) else {
                    return self.add_violation(format!("sent unknown request {id:?}"));
                };
                let mut violations = Vec::new();
                if request.is_closed {
                    violations.push("sent after the end");
                }
                if request.attempts.len() >= settings.max_attempts {
                    violations.push("too many attempts");
                }
                if !settings.allow_concurrent_attempts && request.attempts.iter().any(|t| t.outcome.is_none())
                {
                    violations.push("concurrent attempts");
                }
                if let Some(first) = request.attempts.iter().find(|t| may_have_run(t)) {
                    match settings.classes[request.class].effect {
                        Effect::Safe => {}
                        Effect::Unsafe => violations.push("unsafe call repeated"),
                        Effect::Keyed { group, window } => {
                            let is_in_group = match group {
                                DedupGroup::All => true,
                                DedupGroup::Zone => first.zone == entry.zone,
                                DedupGroup::Cell => first.cell == entry.cell,
                            };
                            if !is_in_group || now > first.sent_at + window {
                                violations.push("keyed call repeated outside its group or window");
                            }
                        }
                    }
                }
                request.attempts.push(SentAttempt {
                    cell: entry.cell,
                    zone: entry.zone,
                    sent_at: now,
                    outcome: None,
                    ended_at: 0.0,
                });
                violations.into_iter().for_each(|v| self.violations.push(v.to_string()));
            }
            Action::Reject { id, .. } => {
                let is_harmless = self.requests.get(&id.0).is_some_and(|request| {
                    let is_safe = matches!(
                        self.settings.classes[request.class].effect,
                        Effect::Safe | Effect::Keyed { group: DedupGroup::All, .. }
                    );
                    is_safe || !request.attempts.iter().any(may_have_run)
                });
                if !is_harmless {
                    self.add_violation(format!("rejected {id:?}, which may have run"));
                }
                self.record_answer(now, id.0);
            }
            Action::Fail { id } => self.record_answer(now, id.0),
            Action::Cancel { .. } if !self.settings.can_cancel => {
                self.add_violation("cancelled although that is not allowed".into())
            }
            Action::Timer { at, .. } if !at.is_finite() => {
                self.add_violation("timer at an infinite time".into())
            }
            _ => {}
        }
    }

    fn record_answer(&mut self, now: Time, id: u64) {
        match self.requests.get_mut(&id) {
            Some(request) if !request.is_closed => {
                request.is_closed = true;
                if now > request.deadline {
                    self.add_violation(format!("{id} answered late"));
                }
            }
            _ => self.add_violation(format!("{id} answered twice or never sent")),
        }
    }

    fn finish(&mut self) {
        let unanswered: Vec<u64> =
            self.requests.iter().filter(|(_, o)| !o.is_closed).map(|(id, _)| *id).collect();
        unanswered.into_iter().for_each(|id| self.add_violation(format!("{id} not answered")));
    }
}

fn may_have_run(t: &SentAttempt) -> bool {
    !matches!(t.outcome, Some(Outcome::Rejected | Outcome::NoConnection | Outcome::NeverSent))
}

#[derive(Clone, Debug)]
enum Step {
    Request { class: usize, tenant: usize, key: u64, budget: f64 },
    End { which: usize, outcome: usize },
    Disconnect { which: usize },
    Wait(f64),
    ListChange { which: u32, status: usize, restarted: bool },
    FullList { gone: u32 },
    ListFailure,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..5usize, 0..2usize, 0..3u64, -0.1..2.0f64).prop_map(|(class, tenant, key, budget)| Step::Request { class, tenant, key, budget }),
        6 => (0..50usize, 0..8usize).prop_map(|(which, outcome)| Step::End { which, outcome }),
        1 => (0..50usize).prop_map(|which| Step::Disconnect { which }),
        8 => (0.0..0.3f64).prop_map(Step::Wait),
        2 => (1..8u32, 0..3usize, any::<bool>()).prop_map(|(which, status, restarted)| Step::ListChange { which, status, restarted }),
        1 => (1..8u32).prop_map(|gone| Step::FullList { gone }),
        1 => Just(Step::ListFailure),
    ]
}

fn settings(allow_concurrent_attempts: bool, can_cancel: bool, tier: usize) -> Settings {
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
        allow_concurrent_attempts,
        can_cancel,
        tier,
        max_attempts: 3,
        max_retry_after: 1.0,
        must_watch: true,
        key_settle_time: 0.2,
        connection_release_deadline: Some(0.1),
        ..Settings::default()
    }
}

fn run(steps: &[Step], settings: Settings, seed: u64) -> Vec<String> {
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
    let mut checker = Checker::new(settings.clone());
    let mut balancer = Balancer::new(0.0, seed, settings);
    let mut now = 0.0;
    let mut timers: Vec<(Time, u64)> = Vec::new();
    let mut open_attempts: Vec<(u64, usize, u32)> = Vec::new();
    let mut list: Vec<BackendEntry> =
        (1..8).map(|i| BackendEntry { cell: i % 3, zone: i % 2, ..entry(i) }).collect();
    let mut last_id = 0;
    let mut all_steps = vec![Step::FullList { gone: 0 }];
    all_steps.extend_from_slice(steps);
    all_steps.push(Step::Wait(5.0));
    for step in all_steps {
        let mut events: Vec<Event<'_>> = Vec::new();
        let update;
        match step {
            Step::Request { class, tenant, key, budget } => {
                last_id += 1;
                let key = (key > 0).then_some(key);
                let deadline = now + budget.max(0.0);
                let request = RequestState { class, key, deadline, attempts: vec![], is_closed: false };
                checker.requests.insert(last_id, request);
                let id = RequestId(last_id);
                events.push(Event::Request(Request { id, class, tenant: Some(tenant), key, budget }));
            }
            Step::End { which, outcome } if !open_attempts.is_empty() => {
                let (id, attempt, backend) = open_attempts.remove(which % open_attempts.len());
                checker.record_use(now, backend);
                let request = checker.requests.get_mut(&id).unwrap();
                request.attempts[attempt].outcome = Some(OUTCOMES[outcome]);
                request.attempts[attempt].ended_at = now;
                request.is_closed |= OUTCOMES[outcome] == Outcome::Served;
                let duration = now - request.attempts[attempt].sent_at;
                let (id, backend, outcome, is_final) =
                    (RequestId(id), BackendId(backend), OUTCOMES[outcome], request.is_closed);
                events.push(Event::Outcome(AttemptResult {
                    id,
                    backend,
                    attempt,
                    outcome,
                    duration,
                    is_final,
                    report: None,
                }));
            }
            Step::Disconnect { which } if last_id > 0 => {
                let id = 1 + which as u64 % last_id;
                checker.requests.get_mut(&id).unwrap().is_closed = true;
                events.push(Event::ClientDisconnected(RequestId(id)));
            }
            Step::End { .. } | Step::Disconnect { .. } => {}
            Step::Wait(duration) => {
                let until = now + duration;
                while let Some(i) = (0..timers.len())
                    .filter(|i| timers[*i].0 <= until)
                    .min_by(|a, b| timers[*a].0.total_cmp(&timers[*b].0))
                {
                    let (at, token) = timers.remove(i);
                    now = at.max(now);
                    let mut actions = Vec::new();
                    balancer.handle(now, Event::Timer(token), &mut actions);
                    record_actions(&actions, now, &mut checker, &mut timers, &mut open_attempts);
                }
                now = until;
            }
            Step::ListChange { which, status, restarted } => {
                let e = &mut list[which as usize - 1];
                e.status = [Status::InService, Status::Draining, Status::Gone][status];
                e.started = restarted.then_some(now);
                checker.entries.insert(which, e.clone());
                checker.record_use(now, which);
                update = vec![e.clone()];
                events.push(Event::List(ListUpdate::Changes(&update)));
            }
            Step::FullList { gone } => {
                update = list.iter().filter(|e| e.id.0 != gone).cloned().collect::<Vec<_>>();
                checker.entries.values_mut().for_each(|e| e.status = Status::Gone);
                checker.unclosed_since.clear();
                update.iter().for_each(|e| {
                    checker.entries.insert(e.id.0, e.clone());
                    checker.record_use(now, e.id.0);
                });
                events.push(Event::List(ListUpdate::Full(&update)));
            }
            Step::ListFailure => events.push(Event::List(ListUpdate::Failed)),
        }
        for event in events {
            let mut actions = Vec::new();
            balancer.handle(now, event, &mut actions);
            record_actions(&actions, now, &mut checker, &mut timers, &mut open_attempts);
        }
    }
    checker.finish();
    if balancer.open_requests() > 0 {
        checker.add_violation("state of completed requests is kept".into());
    }
    checker.violations
}

fn record_actions(
    actions: &[Action],
    now: Time,
    checker: &mut Checker,
    timers: &mut Vec<(Time, u64)>,
    open_attempts: &mut Vec<(u64, usize, u32)>,
) {
    checker.check_connections_closed(now);
    for action in actions {
        checker.record_action(now, action);
        match action {
            Action::Timer { at, token } => timers.push((*at, *token)),
            Action::Send { id, backend, .. } => {
                let attempt = checker.requests.get(&id.0).map_or(0, |o| o.attempts.len() - 1);
                open_attempts.push((id.0, attempt, backend.0));
            }
            _ => {}
        }
    }
}

#[test]
fn invariants_hold_on_random_event_sequences() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let cases =
        (prop::collection::vec(step(), 1..150), any::<bool>(), any::<bool>(), 0..2usize, any::<u64>());
    runner
        .run(&cases, |(steps, concurrent, can_cancel, tier, seed)| {
            let violations = run(&steps, settings(concurrent, can_cancel, tier), seed);
            prop_assert!(violations.is_empty(), "{violations:?}");
            Ok(())
        })
        .unwrap();
}

#[test]
fn checker_finds_planted_violations() {
    let violations_of = |class: usize, actions: &[(Time, Action)]| {
        let mut checker = Checker::new(settings(false, false, 0));
        checker.entries.insert(1, BackendEntry { cell: 1, ..entry(1) });
        checker.entries.insert(2, BackendEntry { cell: 2, ..entry(2) });
        checker.entries.insert(3, BackendEntry { status: Status::Draining, ..entry(3) });
        for id in 1..3 {
            checker.requests.insert(
                id,
                RequestState { class, key: Some(9), deadline: 1.0, attempts: vec![], is_closed: id == 2 },
            );
        }
        actions.iter().for_each(|(now, action)| checker.record_action(*now, action));
        checker.finish();
        checker.violations
    };
    let id = RequestId(1);
    let send = |to| Action::Send { id, backend: BackendId(to), timeout: 0.5, send_by: f64::INFINITY };
    assert_eq!(violations_of(0, &[(0.0, send(1)), (0.5, Action::Reject { id, retry_after: None })]).len(), 0);
    assert_eq!(violations_of(0, &[(0.0, send(1))]), ["1 not answered"]);
    assert_eq!(violations_of(0, &[(1.5, Action::Fail { id })]), ["1 answered late"]);
    assert_eq!(violations_of(0, &[(0.1, Action::Fail { id }), (0.2, Action::Fail { id })]).len(), 1);
    assert_eq!(violations_of(0, &[(0.1, Action::Fail { id }), (0.2, send(1))]), ["sent after the end"]);
    assert!(violations_of(0, &[(0.1, send(3)), (0.2, Action::Fail { id })])[0].starts_with("drain"));
    let two_sends = [(0.0, send(1)), (0.1, send(2)), (0.2, Action::Fail { id })];
    assert_eq!(violations_of(1, &two_sends), ["concurrent attempts", "unsafe call repeated"]);
    assert_eq!(
        violations_of(4, &two_sends),
        ["concurrent attempts", "keyed call repeated outside its group or window"]
    );
    let late_send = [(0.0, send(1)), (0.5, send(1)), (0.6, Action::Fail { id })];
    assert_eq!(
        violations_of(4, &late_send),
        ["concurrent attempts", "keyed call repeated outside its group or window"]
    );
    // Order: the second request of a key while the first is open, has an open attempt, or just timed out.
    let mut checker = Checker::new(settings(true, true, 0));
    checker.entries.insert(1, entry(1));
    for id in 1..3 {
        checker.requests.insert(
            id,
            RequestState { class: 1, key: Some(9), deadline: 9.0, attempts: vec![], is_closed: false },
        );
    }
    checker.record_action(0.0, &send(1));
    let second =
        Action::Send { id: RequestId(2), backend: BackendId(1), timeout: 0.5, send_by: f64::INFINITY };
    assert_eq!(checker.order_violation(0.1, 2), Some("order: an earlier request is not complete"));
    checker.record_action(0.2, &Action::Fail { id });
    assert_eq!(checker.order_violation(0.2, 2), Some("order: an earlier request is not complete"));
    let first = &mut checker.requests.get_mut(&1).unwrap().attempts[0];
    (first.outcome, first.ended_at) = (Some(Outcome::Timeout), 0.3);
    checker.record_action(0.4, &second);
    assert_eq!(checker.violations, ["order: the key has not settled"]);
    assert_eq!(checker.order_violation(0.51, 2), None);
    // Drain: connections are left open after the start of the drain or after a later outcome.
    checker.entries.insert(1, BackendEntry { status: Status::Draining, ..entry(1) });
    checker.record_use(1.0, 1);
    checker.check_connections_closed(1.05);
    checker.record_action(1.05, &Action::CloseIdleConnections(BackendId(1)));
    checker.check_connections_closed(1.2);
    assert_eq!(checker.violations.len(), 1);
    checker.record_use(1.3, 1);
    checker.check_connections_closed(1.5);
    assert_eq!(checker.violations[1], "drain: connections left open");
    let rejected = [(0.0, send(1)), (0.6, Action::Reject { id, retry_after: None })];
    assert!(violations_of(1, &rejected)[0].contains("which may have run"));
}
