//! Results of attempts and final answers of calls.

use super::Balancer;
use super::calls::Attempt;
use crate::interface::{Action, AttemptResult, DedupGroup, Effect, Outcome, RequestId, Time};
use slotmap::DefaultKey as Slot;

/// Maximum sample of an answer time as a fraction of the aim; longer waits are those of an overload.
const MAX_SAMPLE_AIM_FRACTION: f64 = 0.25;

impl Balancer {
    /// Delay after which a rejected client should retry, where clients heed one.
    pub(super) fn retry_after(&self, t1: Time) -> Option<Time> {
        Some(t1.min(self.settings.max_retry_after)).filter(|delay| *delay > 0.0)
    }

    /// Closes a request whose stream has started or whose client has disconnected.
    pub(super) fn close_request(&mut self, id: RequestId, winner: Option<usize>, actions: &mut Vec<Action>) {
        self.call_slots.get(&id).copied().into_iter().for_each(|slot| self.finish(slot, winner, actions));
    }

    pub(super) fn handle_attempt_result(&mut self, result: AttemptResult, actions: &mut Vec<Action>) {
        use Outcome::*;
        let slot = self.call_slots.get(&result.id).copied();
        if let Some(&backend) = self.backend_indices.get(&result.backend) {
            let b = &mut self.backends[backend];
            b.in_flight = b.in_flight.saturating_sub(1);
            if matches!(result.outcome, Served | Error | Rejected | Reset) {
                b.last_alive_at = self.now;
            }
            self.record_load_report(result.backend, result.report);
            self.close_idle_if_draining(backend, actions);
            if let Some(slot) = slot {
                let class = self.calls[slot].class;
                match result.outcome {
                    Served => {
                        let b = &mut self.backends[backend];
                        b.last_answered_at = self.now;
                        b.last_answered_send = b.last_answered_send.max(self.now - result.duration);
                        if self.capacity_fraction(backend) >= 1.0 {
                            self.update_warm_time();
                            self.warm_answer_rate.count += 1.0;
                        }
                        self.answer_rate.increment(self.now, self.answer_rate_time_constant());
                        self.record_slowness(backend, class, result.duration, false);
                        let without_pressure = self.pressure() <= 0.0;
                        let sample =
                            result.duration.min(MAX_SAMPLE_AIM_FRACTION * self.settings.classes[class].aim);
                        self.class_answer_times[class].add_sample(sample, without_pressure);
                        self.answer_times.add_sample(sample, without_pressure);
                    }
                    Cancelled | NeverSent => {}
                    _ => self.record_slowness(backend, class, result.duration, true),
                }
            }
        }
        // An open attempt of an ended request may have blocked its key.
        let orphan = self.orphaned_attempts.remove(&(result.id, result.attempt));
        let key = slot.map_or(orphan, |slot| self.calls[slot].order_key);
        if let Some(queue) = key.and_then(|key| self.key_queues.get_mut(&key)) {
            queue.open_attempts -= usize::from(orphan.is_some());
            if matches!(result.outcome, Timeout | Reset | Cancelled) {
                // The quantum covers the rounding of clocks.
                queue.settles_at = self.now + self.settings.key_settle_time + self.settings.quantum;
            }
        }
        let Some(slot) = slot else {
            return orphan.into_iter().for_each(|key| self.advance_key_queue(key, actions));
        };
        if let Some(attempt) = self.calls[slot].attempts.get_mut(result.attempt) {
            attempt.outcome = Some(result.outcome);
            self.backends[attempt.backend].lost_attempts -= usize::from(std::mem::take(&mut attempt.is_lost));
        }
        if !self.calls[slot].has_open_attempt() {
            self.lost_calls -= usize::from(std::mem::take(&mut self.calls[slot].is_lost));
        }
        if result.is_final {
            return self.finish(slot, Some(result.attempt), actions);
        }
        if self.calls[slot].has_open_attempt() {
            return; // another attempt may still be answered
        }
        if matches!(result.outcome, Rejected | NoConnection) {
            self.rejected_calls += 1;
            self.calls[slot].is_rejected = true;
        }
        // Without a further timer or an allowed backend, the failed call can't be repeated.
        if !self.calls[slot].has_repeat_timer || self.allowed_scope(slot).is_none() {
            self.finish_unserved(slot, actions);
        }
    }

    /// Answers a call that was not served: with a rejection if a retry is harmless, else with a failure.
    pub(super) fn finish_unserved(&mut self, slot: Slot, actions: &mut Vec<Action>) {
        let call = &self.calls[slot];
        let is_harmless = match self.settings.classes[call.class].effect {
            Effect::Safe | Effect::Keyed { group: DedupGroup::All, .. } => true,
            _ => !call.attempts.iter().any(Attempt::may_have_run),
        };
        let (id, t1) = (call.id, call.t1);
        actions.push(match is_harmless {
            true => Action::Reject { id, retry_after: self.retry_after(t1) },
            false => Action::Fail { id },
        });
        self.finish(slot, None, actions);
    }

    /// Removes a call and cancels its open attempts, except the one whose answer is used.
    pub(super) fn finish(&mut self, slot: Slot, winner: Option<usize>, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(slot) else {
            return;
        };
        self.call_slots.remove(&call.id);
        for (i, attempt) in call.attempts.iter().enumerate() {
            self.backends[attempt.backend].references -= 1;
            self.backends[attempt.backend].lost_attempts -= usize::from(attempt.is_lost);
            if self.settings.can_cancel && attempt.outcome.is_none() && winner != Some(i) {
                actions.push(Action::Cancel { id: call.id, attempt: i });
            }
        }
        if call.is_queued {
            self.queued_calls -= 1;
            self.admission_queue.retain(|s| *s != slot);
        }
        self.rejected_calls -= usize::from(call.is_rejected);
        self.lost_calls -= usize::from(call.is_lost);
        let Some((key, queue)) = call.order_key.and_then(|k| Some((k, self.key_queues.get_mut(&k)?))) else {
            return;
        };
        queue.calls.retain(|s| *s != slot);
        for i in (0..call.attempts.len()).filter(|i| call.attempts[*i].outcome.is_none()) {
            queue.open_attempts += 1;
            self.orphaned_attempts.insert((call.id, i), key);
        }
        self.advance_key_queue(key, actions);
    }
}
