//! Arrival of requests: ordered keys, the admission queue and the rank of a call under pressure.

use super::Balancer;
use super::calls::{Call, KeyQueue, timer_token};
use crate::interface::{Action, Request, Time};
use rand::Rng;
use slotmap::DefaultKey as Slot;
use std::collections::VecDeque;

/// A call is not started with less time left than this fraction of the normal answer time.
const MIN_TIME_LEFT_FRACTION: f64 = 0.6;
/// Time over which an unused share of a quota accumulates, in seconds.
pub(super) const QUOTA_BURST: Time = 1.0;
/// Maximum wait for admission under pressure, as a fraction of the call's time left.
/// Where few calls are in flight, an excess passes within a few answers.
const ADMISSION_WAIT_FRACTION: f64 = 0.25;
/// Kind of a call's timer that marks the end of its time.
pub(super) const DEADLINE_TIMER: u64 = 1;
/// Kind of a queued call's timer that ends its wait for admission or for its key to settle.
pub(super) const QUEUE_TIMER: u64 = 2;

impl Balancer {
    pub(super) fn handle_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        let class = &self.settings.classes[request.class];
        // Two quanta cover the rounding of timers. A worthless late answer is not waited for.
        let mut time_left = request.budget - 2.0 * self.settings.quantum;
        if class.late_worth <= 0.0 {
            time_left = time_left.min(class.aim);
        }
        let order_key = request.key.filter(|_| class.in_order);
        let over_share = self.record_arrival(request.class, request.tenant);
        let t1 = self.t1(request.class, time_left);
        let ahead = order_key.and_then(|key| self.key_queues.get(&key)).map_or(0, |queue| queue.calls.len());
        let needed =
            MIN_TIME_LEFT_FRACTION * self.class_answer_times[request.class].mean * (ahead + 1) as f64;
        let rank = self.draw_rank(request.class, over_share);
        let must_wait = !self.can_admit(rank);
        if time_left <= needed || must_wait && order_key.is_some() {
            return actions.push(Action::Reject { id: request.id, retry_after: self.retry_after(t1) });
        }
        let deadline = self.now + time_left;
        let call = Call {
            id: request.id,
            class: request.class,
            tenant: request.tenant,
            started_at: self.now,
            deadline,
            t1,
            timers_fired: 0,
            has_repeat_timer: false,
            attempts: Vec::new(),
            order_key,
            is_queued: must_wait || order_key.is_some(),
            over_share,
            rank,
            is_rejected: false,
            is_lost: false,
            alternative: None,
        };
        let slot = self.calls.insert(call);
        self.call_slots.insert(request.id, slot);
        actions.push(Action::Timer { at: deadline, token: timer_token(slot, DEADLINE_TIMER) });
        self.queued_calls += usize::from(self.calls[slot].is_queued);
        if must_wait {
            self.enqueue_for_admission(slot);
            let at = self.now + ADMISSION_WAIT_FRACTION * time_left;
            return actions.push(Action::Timer { at, token: timer_token(slot, QUEUE_TIMER) });
        }
        let Some(key) = order_key else {
            return self.start_call(slot, actions);
        };
        if self.key_queues.len() >= self.key_queue_limit {
            let now = self.now;
            self.key_queues.retain(|_, q| !q.calls.is_empty() || q.open_attempts > 0 || q.settles_at > now);
            self.key_queue_limit = 16.max(2 * self.key_queues.len());
        }
        let empty = || KeyQueue { calls: VecDeque::new(), open_attempts: 0, settles_at: f64::NEG_INFINITY };
        self.key_queues.entry(key).or_insert_with(empty).calls.push_back(slot);
        self.advance_key_queue(key, actions);
    }

    fn start_call(&mut self, slot: Slot, actions: &mut Vec<Action>) {
        self.set_repeat_timer(slot, actions);
        self.send_rate.increment(self.now, self.rate_time_constant);
        if let Some((_, share)) = self.calls[slot].tenant.and_then(|t| self.quota_shares.get_mut(t)) {
            share.tokens = (share.tokens - 1.0).max(0.0);
        }
        let previous_size = self.busy_subset_size;
        if self.subset_size() > previous_size && self.busy_subset_size > previous_size {
            self.rebuild_subset();
        }
        if !self.send(slot, actions) && !self.calls[slot].has_repeat_timer {
            self.finish_unserved(slot, actions);
        }
    }

    /// Inserts a call into the admission queue. Calls of the same worth exchange their randomly drawn ranks
    /// so that the oldest has the highest one and no younger call overtakes it.
    fn enqueue_for_admission(&mut self, slot: Slot) {
        let (class, over_share, rank) =
            (self.calls[slot].class, self.calls[slot].over_share, self.calls[slot].rank);
        let position = self.admission_queue.partition_point(|s| self.calls[*s].rank < rank);
        let mut next = slot;
        for i in 0..position {
            let (queued, queued_rank) = (self.admission_queue[i], self.calls[self.admission_queue[i]].rank);
            if (self.calls[queued].class, self.calls[queued].over_share) == (class, over_share) {
                self.calls[next].rank = queued_rank;
                next = std::mem::replace(&mut self.admission_queue[i], next);
            }
        }
        self.calls[next].rank = rank;
        self.admission_queue.insert(position, next);
    }

    /// Starts the first call of a key's queue if the order of the key permits it: no earlier request is
    /// unfinished or has an open attempt, and the key has settled after an attempt that may still run.
    pub(super) fn advance_key_queue(&mut self, key: u64, actions: &mut Vec<Action>) {
        let Some((queue, &slot)) = self.key_queues.get(&key).and_then(|q| Some((q, q.calls.front()?))) else {
            return;
        };
        if queue.open_attempts > 0 || !self.calls[slot].is_queued {
            return;
        }
        if self.now < queue.settles_at {
            let at = queue.settles_at;
            return actions.push(Action::Timer { at, token: timer_token(slot, QUEUE_TIMER) });
        }
        self.start_queued_call(slot, actions);
    }

    fn start_queued_call(&mut self, slot: Slot, actions: &mut Vec<Action>) {
        self.queued_calls -= 1;
        let (now, class, deadline) = (self.now, self.calls[slot].class, self.calls[slot].deadline);
        let t1 = self.t1(class, deadline - now);
        let call = &mut self.calls[slot];
        (call.is_queued, call.started_at, call.t1) = (false, now, t1);
        if deadline - now <= MIN_TIME_LEFT_FRACTION * self.class_answer_times[class].mean {
            return self.finish_unserved(slot, actions);
        }
        self.start_call(slot, actions);
    }

    /// Counts an arrival, and returns whether its tenant's share is used up. Only started calls use up the
    /// share: clients retry rejected requests, and in an overload their retries would exhaust every share.
    fn record_arrival(&mut self, class: usize, tenant: Option<usize>) -> bool {
        let now = self.now;
        let share = tenant.and_then(|t| self.quota_shares.get_mut(t));
        let over_share = share
            .is_some_and(|(rate, tokens)| tokens.refill(now, *rate, (*rate * QUOTA_BURST).max(1.0)) < 1.0);
        self.arrival_rates[class][usize::from(over_share)].increment(self.now, self.rate_time_constant);
        over_share
    }

    /// Whether a call may start under the current pressure. Only the first tier holds calls back, as no work
    /// has been done for them there.
    fn can_admit(&mut self, rank: f64) -> bool {
        self.settings.tier > 0 || rank >= self.pressure()
    }

    /// Returns the fraction of arrivals that are worth less for their work than this one. Arrivals of the
    /// same worth are ordered at random.
    fn draw_rank(&mut self, class: usize, over_share: bool) -> f64 {
        let value = |class: usize, over_share: bool| {
            let share_worth = if over_share { self.settings.over_share_worth } else { 1.0 };
            let work = self.class_answer_times[class].mean.max(self.settings.quantum);
            share_worth * self.settings.classes[class].worth / work
        };
        let own_value = value(class, over_share);
        let (mut lower, mut equal, mut total) = (0.0, 0.0, 0.0);
        for (c, rates) in self.arrival_rates.iter().enumerate() {
            for (o, rate) in rates.iter().enumerate() {
                let mut rate = *rate;
                rate.decay(self.now, self.rate_time_constant);
                let rate = rate.per_second();
                total += rate;
                lower += if value(c, o == 1) < own_value { rate } else { 0.0 };
                equal += if value(c, o == 1) == own_value { rate } else { 0.0 };
            }
        }
        (lower + equal * self.rng.random::<f64>()) / total.max(f64::MIN_POSITIVE)
    }

    /// Starts queued calls in descending rank as far as the pressure permits. The short wait avoids rejecting
    /// calls for a momentary excess, whose clients would retry at once.
    pub(super) fn admit_queued_calls(&mut self, actions: &mut Vec<Action>) {
        while let Some(&best) = self.admission_queue.last()
            && self.can_admit(self.calls[best].rank)
        {
            self.admission_queue.pop();
            self.start_queued_call(best, actions);
        }
    }
}
