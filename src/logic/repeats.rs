//! Timers of calls and the probability of a repeat.

use super::Balancer;
use super::admission::{DEADLINE_TIMER, QUEUE_TIMER};
use super::calls::timer_token;
use crate::interface::{Action, Time};
use rand::Rng;
use slotmap::{DefaultKey as Slot, KeyData};

/// Minimum probability of a repeat (the paper's P_min), which covers lost messages.
const MIN_REPEAT_PROBABILITY: f64 = 0.1;
/// Ratio of the upper to the lower threshold of unanswered calls (3 in the paper, where repeats cost less).
const THRESHOLD_RATIO: f64 = 1.5;
/// Minimum of the lower threshold in calls, so that a single call doesn't reduce its own repeat probability.
const MIN_LOWER_THRESHOLD: f64 = 1.0;
/// T1 exceeds the mean answer time by this many mean deviations, as TCP's retransmission timeout does.
const T1_DEVIATIONS: f64 = 4.0;
/// Maximum of T1 as a fraction of the time left, so that a repeat can still be answered in time.
pub(super) const MAX_T1_FRACTION: f64 = 0.4;
/// Jitter of T1 as a fraction in both directions, which keeps balancers from repeating in step.
const T1_JITTER_FRACTION: f64 = 0.1;
/// Kind of a call's timer that may trigger a repeat.
const REPEAT_TIMER: u64 = 0;

impl Balancer {
    /// T1 of a call: above the normal answer time, but early enough for a repeat in the time left.
    pub(super) fn t1(&mut self, class: usize, time_left: Time) -> Time {
        let (normal, max) = (&self.class_answer_times[class], MAX_T1_FRACTION * time_left);
        let estimate = normal.mean + T1_DEVIATIONS * normal.deviation;
        (if normal.sample_count > 0.0 { estimate.min(max) } else { max }).max(self.settings.quantum)
    }

    /// The paper's p, from the unanswered calls of this balancer and its average rate of first sends.
    fn repeat_probability(&mut self, t1: Time) -> f64 {
        self.send_rate.decay(self.now, self.rate_time_constant);
        let unanswered = self.unanswered_calls() as f64;
        let min = (self.send_rate.per_second() * t1).max(MIN_LOWER_THRESHOLD);
        let max = THRESHOLD_RATIO * min;
        let position = ((unanswered - min) / (max - min)).clamp(0.0, 1.0);
        1.0 - (1.0 - MIN_REPEAT_PROBABILITY) * position
    }

    /// Sets the next repeat timer: T1 after the start, then at intervals of 2 T1, 4 T1 and so on.
    pub(super) fn set_repeat_timer(&mut self, slot: Slot, actions: &mut Vec<Action>) {
        let token = timer_token(slot, REPEAT_TIMER);
        let max_attempts = self.settings.max_attempts;
        let jitter = 1.0 + T1_JITTER_FRACTION * (2.0 * self.rng.random::<f64>() - 1.0);
        let call = &mut self.calls[slot];
        let at = call.started_at + call.t1 * jitter * (2f64.powi(call.timers_fired + 1) - 1.0);
        call.has_repeat_timer = at < call.deadline && call.attempts.len() < max_attempts;
        if call.has_repeat_timer {
            actions.push(Action::Timer { at, token });
        }
    }

    pub(super) fn handle_timer(&mut self, token: u64, actions: &mut Vec<Action>) {
        let (kind, slot) = ((token - 1) & 3, Slot::from(KeyData::from_ffi((token - 1) >> 2)));
        if !self.calls.contains_key(slot) {
            return; // the call has ended
        }
        if let (QUEUE_TIMER, Some(key)) = (kind, self.calls[slot].order_key) {
            return self.advance_key_queue(key, actions);
        }
        if kind == QUEUE_TIMER {
            // The pressure has lasted for the whole wait for admission.
            if self.calls[slot].is_queued {
                let (id, t1) = (self.calls[slot].id, self.calls[slot].t1);
                actions.push(Action::Reject { id, retry_after: self.retry_after(t1) });
                self.finish(slot, None, actions);
            }
            return;
        }
        if kind == DEADLINE_TIMER {
            // The timeout of an attempt arrives after the call has ended, so its slowness is recorded here.
            self.check_open_attempts(slot, true);
            return self.finish_unserved(slot, actions);
        }
        self.calls[slot].timers_fired += 1;
        self.set_repeat_timer(slot, actions);
        // A backend that has answered since is alive, and a repeat would only double a long request's work.
        let is_alive = self.check_open_attempts(slot, false);
        let probability = (self.repeat_probability(self.calls[slot].t1) * (1.0 - self.pressure()))
            .max(MIN_REPEAT_PROBABILITY);
        if !is_alive && self.allowed_scope(slot).is_some() && self.rng.random::<f64>() < probability {
            self.send(slot, actions);
        }
        let call = &self.calls[slot];
        if !call.has_repeat_timer && !call.has_open_attempt() {
            self.finish_unserved(slot, actions);
        }
    }
}
