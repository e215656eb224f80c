//! The backend list and the subset of it that this balancer uses.

use super::calls::Scope;
use super::estimates::TokenBucket;
use super::selection::MIN_SUBSET_SIZE;
use super::{Backend, Balancer};
use crate::interface::{Action, BackendEntry, BackendId, ListUpdate, Status};
use rand::Rng;

/// Minimum subset size in the first tier, where more members even out what each of them happens to get.
const MIN_FIRST_TIER_SUBSET_SIZE: usize = 3;
/// Subset members per average call in flight, where connections are free and where they have a cost.
/// More members make slow backends easier to tell; fewer reuse connections and stay within the connection
/// limits of backends.
const MEMBERS_PER_CALL: [f64; 2] = [1.0, 0.25];
/// Minimum number of subset members in other zones, where crossing zones has a cost.
const REMOTE_MEMBERS: usize = 2;
/// Timer token for the request of the backend list; tokens of calls are greater.
pub(super) const LIST_TOKEN: u64 = 0;

impl Balancer {
    /// Requests the closing of idle connections to a draining backend. Each attempt that ends there during
    /// the drain leaves another idle connection.
    pub(super) fn close_idle_if_draining(&self, backend: usize, actions: &mut Vec<Action>) {
        let entry = &self.backends[backend].entry;
        if self.settings.connection_release_deadline.is_some() && entry.status == Status::Draining {
            actions.push(Action::CloseIdleConnections(entry.id));
        }
    }

    pub(super) fn update_list(&mut self, update: ListUpdate<'_>, actions: &mut Vec<Action>) {
        match update {
            ListUpdate::Failed => {
                // Exponential backoff with jitter, since the source may be overloaded.
                let delay = self.list_backoff * (0.5 + self.rng.random::<f64>());
                self.list_backoff = (2.0 * self.list_backoff).min(self.settings.list_request_deadline);
                actions.push(Action::Timer { at: self.now + delay, token: LIST_TOKEN });
                return;
            }
            ListUpdate::Full(entries) | ListUpdate::Remembered(entries) => {
                self.backends.iter_mut().for_each(|b| b.entry.status = Status::Gone);
                entries.iter().for_each(|e| self.update_backend(e, actions));
            }
            ListUpdate::Changes(entries) => entries.iter().for_each(|e| self.update_backend(e, actions)),
        }
        self.list_backoff = self.settings.list_request_deadline / 10.0;
        self.rebuild_subset();
        self.remove_unreferenced_backends();
    }

    /// Removes backends that are gone and to which no attempt or open call refers, which bounds memory.
    fn remove_unreferenced_backends(&mut self) {
        for (i, b) in self.backends.iter().enumerate() {
            let is_unreferenced = b.entry.status == Status::Gone && b.in_flight == 0 && b.references == 0;
            if is_unreferenced && self.backend_indices.get(&b.entry.id) == Some(&i) {
                self.backend_indices.remove(&b.entry.id);
                self.vacant_indices.push(i);
            }
        }
    }

    fn update_backend(&mut self, entry: &BackendEntry, actions: &mut Vec<Action>) {
        let cold_budget = TokenBucket { tokens: -self.draw_turn_interval(), filled_at: self.now };
        let index = self.backend_indices.get(&entry.id).copied().unwrap_or_else(|| {
            let new = Backend {
                entry: entry.clone(),
                in_flight: 0,
                lost_attempts: 0,
                references: 0,
                slowness: 1.0,
                slowness_updated_at: self.now,
                last_failed_at: f64::NEG_INFINITY,
                last_answered_at: f64::NEG_INFINITY,
                last_answered_send: f64::NEG_INFINITY,
                last_alive_at: self.now,
                cold_budget,
                service_time: None,
                hint: (0.0, self.now),
            };
            let index = self.vacant_indices.pop().unwrap_or(self.backends.len());
            self.backend_indices.insert(entry.id, index);
            match self.backends.get_mut(index) {
                Some(vacant) => *vacant = new,
                None => self.backends.push(new),
            }
            index
        });
        let b = &mut self.backends[index];
        if b.entry.started != entry.started {
            (b.slowness, b.slowness_updated_at, b.cold_budget) = (1.0, self.now, cold_budget);
        }
        b.entry = entry.clone();
        self.close_idle_if_draining(index, actions);
    }

    /// Subset size: enough for all subsets together to cover all backends, and more for a balancer with more
    /// calls in flight, which Little's law gives as the send rate times the mean answer time.
    pub(super) fn subset_size(&mut self) -> usize {
        if self.send_rate.duration > 0.5 * self.rate_time_constant {
            let members_per_call = MEMBERS_PER_CALL[usize::from(self.settings.costly_connections)];
            let members = members_per_call * self.send_rate.per_second() * self.answer_times.mean;
            self.busy_subset_size = self.busy_subset_size.max(members as usize);
        }
        self.min_subset_size().max(self.busy_subset_size)
    }

    /// Subset size at which the subsets of all balancers cover all backends, with a minimum per tier.
    fn min_subset_size(&self) -> usize {
        let min = if self.settings.tier == 0 { MIN_FIRST_TIER_SUBSET_SIZE } else { MIN_SUBSET_SIZE };
        min.max(self.in_service.len().div_ceil(self.settings.instance_count.max(1)))
    }

    /// Recomputes the backends in service and the subset, which keeps its members where possible. Where
    /// crossing zones has a cost, most members are in the balancer's zone and a few in others.
    pub(super) fn rebuild_subset(&mut self) {
        let previous: Vec<usize> = std::mem::take(&mut self.in_service);
        let in_service = |b: &usize| self.backends[*b].entry.status == Status::InService;
        self.in_service = (0..self.backends.len()).filter(in_service).collect();
        self.in_service_by_scope.clear();
        for &b in &self.in_service {
            let entry = &self.backends[b].entry;
            self.in_service_by_scope.entry(Scope::Zone(entry.zone)).or_default().push(b);
            self.in_service_by_scope.entry(Scope::Cell(entry.cell)).or_default().push(b);
        }
        let (local, remote): (Vec<usize>, Vec<usize>) =
            self.in_service.iter().partition(|b| !self.is_remote(**b));
        let size = self.subset_size();
        let mut assigned = self.assign_members(local, self.min_subset_size(), size);
        assigned.extend(self.assign_members(
            remote,
            REMOTE_MEMBERS.max(self.min_subset_size() - REMOTE_MEMBERS),
            0,
        ));
        let size = assigned.len();
        let in_service = &self.in_service;
        self.subset.retain(|b| in_service.binary_search(b).is_ok());
        for &b in &assigned {
            let is_new = previous.binary_search(&b).is_err();
            if !self.subset.contains(&b) && (is_new || self.subset.len() < size) {
                self.subset.push(b);
            }
        }
        while self.subset.len() > size {
            let removed = self.subset.iter().position(|b| !assigned.contains(b)).unwrap_or(0);
            self.subset.remove(removed);
        }
    }

    /// Assigns this balancer its part of `backends`, which each round of balancers shares out in a shuffle of
    /// its own. Every backend is then in about as many subsets as any other, and none is left out.
    fn assign_members(&self, mut backends: Vec<usize>, min_size: usize, size: usize) -> Vec<usize> {
        let count = backends.len();
        let base = min_size.min(count);
        let subsets = count.div_ceil(base.max(1)).max(1);
        let (round, position) =
            (self.settings.instance_index / subsets, self.settings.instance_index % subsets);
        // The last round may have fewer balancers, whose parts are spread evenly.
        let in_round = subsets.min(self.settings.instance_count.saturating_sub(round * subsets)).max(1);
        let start = position * count / in_round;
        backends.sort_by_cached_key(|b| (hash_id(self.backends[*b].entry.id, round as u64), *b));
        (0..size.max(base).min(count)).map(|i| backends[(start + i) % count]).collect()
    }

    /// Whether sending to a backend crosses zones at a cost.
    pub(super) fn is_remote(&self, backend: usize) -> bool {
        self.settings.cross_zone_cost > 0.0 && self.backends[backend].entry.zone != self.settings.zone
    }
}

/// Hashes a backend id, differently for each round (the finalizer of SplitMix64).
fn hash_id(id: BackendId, round: u64) -> u64 {
    let mut z = (u64::from(id.0) << 24 ^ round).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
