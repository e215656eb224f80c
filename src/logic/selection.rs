//! Selection of the backend for an attempt.

use super::Balancer;
use super::calls::{Attempt, Scope};
use crate::interface::{Action, DedupGroup, Effect, Outcome};
use rand::Rng;
use slotmap::DefaultKey as Slot;

/// Minimum subset size in inner tiers. Smaller random subsets often hold only slow backends.
pub(super) const MIN_SUBSET_SIZE: usize = 5;
/// Increase of the load of a backend in another zone per unit of cross-zone cost.
const REMOTE_LOAD: f64 = 40.0;
/// Sends per probe, where only probes bring load reports.
const SENDS_PER_PROBE: usize = 3;

impl Balancer {
    /// The backends that a call may be sent to now, for the first time or again, if it may be sent at all.
    pub(super) fn allowed_scope(&self, slot: Slot) -> Option<Scope> {
        let call = &self.calls[slot];
        if call.attempts.len() >= self.settings.max_attempts || self.now >= call.deadline {
            return None;
        }
        if !self.settings.allow_concurrent_attempts && call.has_open_attempt() {
            return None;
        }
        let Some(first) = call.attempts.iter().find(|a| a.may_have_run()) else {
            return Some(Scope::Anywhere);
        };
        match self.settings.classes[call.class].effect {
            Effect::Safe => Some(Scope::Anywhere),
            Effect::Unsafe => None,
            Effect::Keyed { window, .. } if self.now >= first.last_repeat_time(window) => None,
            Effect::Keyed { group: DedupGroup::All, .. } => Some(Scope::Anywhere),
            Effect::Keyed { group: DedupGroup::Zone, .. } => Some(Scope::Zone(first.zone)),
            Effect::Keyed { group: DedupGroup::Cell, .. } => Some(Scope::Cell(first.cell)),
        }
    }

    /// Sends a call for the first time or again, and returns whether it may be sent and a backend is usable.
    pub(super) fn send(&mut self, slot: Slot, actions: &mut Vec<Action>) -> bool {
        let Some(backend) = self.allowed_scope(slot).and_then(|s| self.choose_backend(slot, s)) else {
            return false;
        };
        let (now, deadline) = (self.now, self.calls[slot].deadline);
        let b = &mut self.backends[backend];
        if b.in_flight == 0 {
            b.last_alive_at = now;
        }
        b.in_flight += 1;
        b.references += 1;
        let tokens = -self.draw_turn_interval();
        let b = &mut self.backends[backend];
        b.cold_budget.tokens = tokens;
        let (cell, zone, id) = (b.entry.cell, b.entry.zone, b.entry.id);
        let call = &mut self.calls[slot];
        call.attempts.push(Attempt { backend, cell, zone, sent_at: now, outcome: None, is_lost: false });
        self.lost_calls -= usize::from(std::mem::take(&mut call.is_lost));
        self.rejected_calls -= usize::from(std::mem::take(&mut call.is_rejected));
        let send_by = call.send_by(self.settings.classes[call.class].effect);
        actions.push(Action::Send { id: call.id, backend: id, timeout: deadline - now, send_by });
        self.send_count += 1;
        let (probe_number, members) = (self.send_count / SENDS_PER_PROBE, self.subset.len());
        if self.settings.probe_for_reports && self.send_count.is_multiple_of(SENDS_PER_PROBE) && members > 0 {
            actions.push(Action::Probe(self.backends[self.subset[probe_number % members]].entry.id));
        }
        true
    }

    /// Chooses the less loaded of two random subset members; for a repeat the other one of them if it is
    /// usable, else a new choice. Where no member is usable, other backends of the scope are drawn.
    fn choose_backend(&mut self, slot: Slot, scope: Scope) -> Option<usize> {
        let tried: Vec<usize> = self.calls[slot].attempts.iter().map(|a| a.backend).collect();
        let alternative = self.calls[slot].alternative.take();
        if let Some(alternative) = alternative.filter(|b| scope.contains(&self.backends[*b].entry))
            && !tried.contains(&alternative)
            && self.is_usable(alternative)
        {
            return Some(alternative);
        }
        let mut usable = self.subset.clone();
        usable
            .retain(|b| scope.contains(&self.backends[*b].entry) && !tried.contains(b) && self.is_usable(*b));
        if usable.is_empty() {
            let in_scope = match scope {
                Scope::Anywhere => &self.in_service,
                _ => self.in_service_by_scope.get(&scope)?,
            };
            for _ in 0..2 * MIN_SUBSET_SIZE {
                let drawn = *in_scope.get(self.rng.random_range(0..in_scope.len().max(1)))?;
                if !tried.contains(&drawn) && !usable.contains(&drawn) {
                    usable.push(drawn);
                }
            }
            usable.retain(|b| self.is_usable(*b));
        }
        if usable.is_empty() {
            // A reset connection doesn't show that its backend is faulty, so the backend may be tried again.
            let resets = self.calls[slot].attempts.iter().filter(|a| a.outcome == Some(Outcome::Reset));
            let resets: Vec<usize> = resets.map(|a| a.backend).collect();
            usable =
                self.subset.iter().copied().filter(|b| scope.contains(&self.backends[*b].entry)).collect();
            let reset = |b: &usize| resets.contains(b);
            usable.retain(|b| reset(b) && self.is_usable(*b) || !tried.contains(b) && self.can_overdraw(*b));
        }
        // Backends above the mean load are excluded: a pair of slow ones would otherwise be overloaded.
        let mean = usable.iter().map(|b| self.load(*b)).sum::<f64>() / usable.len() as f64;
        usable.retain(|b| self.load(*b) <= mean * (1.0 + f64::EPSILON * 16.0));
        let one = usable.swap_remove(self.random_index(usable.len())?);
        let Some(two) = self.random_index(usable.len()).map(|i| usable[i]) else {
            return Some(one);
        };
        let (first, second) = if self.load(two) < self.load(one) { (two, one) } else { (one, two) };
        self.calls[slot].alternative = Some(second);
        Some(first)
    }

    fn random_index(&mut self, len: usize) -> Option<usize> {
        (len > 0).then(|| self.rng.random_range(0..len))
    }

    /// Load of a backend: its calls in flight, including the next one, times its relative service time and
    /// its slowness, divided by its weight. Without slowness, a fast-failing or hung backend would seem idle.
    fn load(&self, backend: usize) -> f64 {
        let b = &self.backends[backend];
        let zone_load =
            if self.is_remote(backend) { 1.0 + REMOTE_LOAD * self.settings.cross_zone_cost } else { 1.0 };
        let service_load = match (b.service_time, self.mean_service_time) {
            (Some(own), mean) if mean > 0.0 => own / mean,
            _ => 1.0,
        };
        zone_load * (b.in_flight + 1) as f64 * service_load * self.slowness(b)
            / b.entry.weight.max(f64::MIN_POSITIVE)
    }
}
