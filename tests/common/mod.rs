//! A test harness that drives a balancer step by step in virtual time, and helpers to read its actions.
#![allow(dead_code)]

use gannetproxy::*;
use std::collections::BTreeMap;

pub fn class(effect: Effect) -> Class {
    Class { aim: 1.0, deadline: 2.0, late_worth: 0.0, worth: 1.0, effect, in_order: false }
}

pub fn safe_settings() -> Settings {
    Settings { classes: vec![class(Effect::Safe)], tier: 1, ..Settings::default() }
}

pub fn settings_with_effect(effect: Effect) -> Settings {
    Settings { classes: vec![class(effect)], tier: 1, ..Settings::default() }
}

pub fn entry(id: u32) -> BackendEntry {
    BackendEntry { id: BackendId(id), ..BackendEntry::default() }
}

pub struct Harness {
    pub balancer: Balancer,
    pub now: Time,
    pub timers: Vec<(Time, u64)>,
    /// The backends that the attempts of each request were sent to.
    pub backends_by_request: BTreeMap<u64, Vec<u32>>,
}

impl Harness {
    pub fn new(settings: Settings, list: &[BackendEntry]) -> Self {
        Self::with_seed(1, settings, list)
    }

    pub fn with_seed(seed: u64, settings: Settings, list: &[BackendEntry]) -> Self {
        let balancer = Balancer::new(0.0, seed, settings);
        let mut harness = Self { balancer, now: 0.0, timers: vec![], backends_by_request: BTreeMap::new() };
        harness.handle(Event::List(ListUpdate::Remembered(list)));
        harness
    }

    /// Reports the outcome of each cancelled attempt to the balancer, and returns the resulting actions.
    pub fn deliver_cancellations(&mut self, actions: &[Action]) -> Vec<Action> {
        let mut resulting = Vec::new();
        for action in actions {
            if let Action::Cancel { id, attempt } = action {
                let backend = BackendId(self.backends_by_request[&id.0][*attempt]);
                let outcome = Outcome::Cancelled;
                let result = AttemptResult {
                    id: *id,
                    backend,
                    attempt: *attempt,
                    outcome,
                    duration: 0.0,
                    is_final: true,
                    report: None,
                };
                resulting.extend(self.handle(Event::Outcome(result)));
            }
        }
        resulting
    }

    /// Handles an event now. Timers are kept, and all other actions are returned.
    pub fn handle(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions.retain(|action| match action {
            Action::Timer { at, token } => {
                self.timers.push((*at, *token));
                false
            }
            Action::Send { id, backend, .. } => {
                self.backends_by_request.entry(id.0).or_default().push(backend.0);
                true
            }
            _ => true,
        });
        actions
    }

    pub fn request(&mut self, id: u64) -> Vec<Action> {
        self.request_with_budget(id, 2.0)
    }

    pub fn request_with_budget(&mut self, id: u64, budget: Time) -> Vec<Action> {
        let request = Request { id: RequestId(id), budget, ..Request::default() };
        self.handle(Event::Request(request))
    }

    /// Advances the time to `until` and fires the timers that are due. Returns actions with their times.
    pub fn advance_to(&mut self, until: Time) -> Vec<(Time, Action)> {
        let mut actions = Vec::new();
        while let Some(next) = (0..self.timers.len())
            .filter(|i| self.timers[*i].0 <= until)
            .min_by(|a, b| self.timers[*a].0.total_cmp(&self.timers[*b].0))
        {
            let (at, token) = self.timers.remove(next);
            self.now = self.now.max(at);
            let now = self.now;
            actions.extend(self.handle(Event::Timer(token)).into_iter().map(|a| (now, a)));
        }
        self.now = until;
        actions
    }

    pub fn end_attempt(
        &mut self,
        id: u64,
        attempt: usize,
        backend: u32,
        outcome: Outcome,
        duration: Time,
    ) -> Vec<Action> {
        let (id, backend) = (RequestId(id), BackendId(backend));
        let is_final = outcome == Outcome::Served;
        self.handle(Event::Outcome(AttemptResult {
            id,
            backend,
            attempt,
            outcome,
            duration,
            is_final,
            report: None,
        }))
    }

    /// Sends a request, answers it after `duration`, and returns the backend that it was sent to.
    pub fn serve_request(&mut self, id: u64, duration: Time) -> u32 {
        let actions = self.request(id);
        let (_, backend) = sends(&actions)[0];
        self.advance_to(self.now + duration);
        let actions = self.end_attempt(id, 0, backend, Outcome::Served, duration);
        self.deliver_cancellations(&actions);
        backend
    }
}

pub fn sends(actions: &[Action]) -> Vec<(u64, u32)> {
    let send = |a: &Action| match a {
        Action::Send { id, backend, .. } => Some((id.0, backend.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn is_rejected(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { id: i, .. } if i.0 == id))
}

pub fn has_failed(actions: &[Action], id: u64) -> bool {
    actions.contains(&Action::Fail { id: RequestId(id) })
}

pub fn without_times(timed: Vec<(Time, Action)>) -> Vec<Action> {
    timed.into_iter().map(|(_, a)| a).collect()
}
