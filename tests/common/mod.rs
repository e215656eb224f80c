//! A balancer with a clock, driven step by step, and what tests ask of it.
#![allow(dead_code)]

use gannetproxy::*;
use std::collections::BTreeMap;

pub fn class(effect: Effect) -> Class {
    Class { aim: 1.0, deadline: 2.0, late_worth: 0.0, worth: 1.0, effect, in_order: false }
}

pub fn safe() -> Settings {
    Settings { classes: vec![class(Effect::Safe)], tier: 1, ..Settings::default() }
}

pub fn with(effect: Effect) -> Settings {
    Settings { classes: vec![class(effect)], tier: 1, ..Settings::default() }
}

pub fn entry(id: u32) -> BackendEntry {
    BackendEntry { id: BackendId(id), ..BackendEntry::default() }
}

pub struct Bench {
    pub balancer: Balancer,
    pub now: Time,
    pub timers: Vec<(Time, u64)>,
    /// Where each attempt of each request went.
    pub sent: BTreeMap<u64, Vec<u32>>,
}

impl Bench {
    pub fn new(settings: Settings, list: &[BackendEntry]) -> Self {
        Self::seeded(1, settings, list)
    }

    pub fn seeded(seed: u64, settings: Settings, list: &[BackendEntry]) -> Self {
        let balancer = Balancer::new(0.0, seed, settings);
        let mut bench = Self { balancer, now: 0.0, timers: vec![], sent: BTreeMap::new() };
        bench.event(Event::List(ListUpdate::Remembered(list)));
        bench
    }

    /// Lets the outcomes of cancelled attempts follow, as they do in service.
    pub fn cancelled(&mut self, actions: &[Action]) -> Vec<Action> {
        let mut further = Vec::new();
        for action in actions {
            if let Action::Cancel { id, attempt } = action {
                let backend = BackendId(self.sent[&id.0][*attempt]);
                let outcome = Outcome::Cancelled;
                let ended = AttemptResult {
                    id: *id,
                    backend,
                    attempt: *attempt,
                    outcome,
                    duration: 0.0,
                    is_final: true,
                    report: None,
                };
                further.extend(self.event(Event::Outcome(ended)));
            }
        }
        further
    }

    /// Plays an event now; timers are kept, all other actions returned.
    pub fn event(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions.retain(|action| match action {
            Action::Timer { at, token } => {
                self.timers.push((*at, *token));
                false
            }
            Action::Send { id, backend, .. } => {
                self.sent.entry(id.0).or_default().push(backend.0);
                true
            }
            _ => true,
        });
        actions
    }

    pub fn request(&mut self, id: u64) -> Vec<Action> {
        self.request_for(id, 2.0)
    }

    pub fn request_for(&mut self, id: u64, budget: Time) -> Vec<Action> {
        let request = Request { id: RequestId(id), budget, ..Request::default() };
        self.event(Event::Request(request))
    }

    /// Lets time pass to `until`, playing the timers that come due.
    pub fn run_to(&mut self, until: Time) -> Vec<(Time, Action)> {
        let mut seen = Vec::new();
        while let Some(next) = (0..self.timers.len())
            .filter(|i| self.timers[*i].0 <= until)
            .min_by(|a, b| self.timers[*a].0.total_cmp(&self.timers[*b].0))
        {
            let (at, token) = self.timers.remove(next);
            self.now = self.now.max(at);
            let now = self.now;
            seen.extend(self.event(Event::Timer(token)).into_iter().map(|a| (now, a)));
        }
        self.now = until;
        seen
    }

    pub fn end(&mut self, id: u64, attempt: usize, to: u32, outcome: Outcome, took: Time) -> Vec<Action> {
        let (id, backend) = (RequestId(id), BackendId(to));
        let over = outcome == Outcome::Served;
        self.event(Event::Outcome(AttemptResult {
            id,
            backend,
            attempt,
            outcome,
            duration: took,
            is_final: over,
            report: None,
        }))
    }

    /// One request that is answered after `took`; returns where it went.
    pub fn served(&mut self, id: u64, took: Time) -> u32 {
        let actions = self.request(id);
        let (_, to) = sends(&actions)[0];
        self.run_to(self.now + took);
        let actions = self.end(id, 0, to, Outcome::Served, took);
        self.cancelled(&actions);
        to
    }
}

pub fn sends(actions: &[Action]) -> Vec<(u64, u32)> {
    let send = |a: &Action| match a {
        Action::Send { id, backend, .. } => Some((id.0, backend.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn refused(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { id: i, .. } if i.0 == id))
}

pub fn failed(actions: &[Action], id: u64) -> bool {
    actions.contains(&Action::Fail { id: RequestId(id) })
}

pub fn plain(timed: Vec<(Time, Action)>) -> Vec<Action> {
    timed.into_iter().map(|(_, a)| a).collect()
}
