//! Slowness of backends by their answers, failures and load reports.

use super::calls::Attempt;
use super::estimates::ANSWER_TIME_EWMA_WEIGHT;
use super::{Backend, Balancer};
use crate::interface::{BackendId, Report, Time};
use slotmap::DefaultKey as Slot;

/// An attempt is lost once its backend has answered another one sent this many normal answer times later.
/// Overloaded backends answer in about the order of arrival, so their attempts don't count as lost.
/// Otherwise calls that a backend dropped wait for all of their time, and the unsafe ones reduce the repeat
/// probability of all others.
const LOST_ANSWER_TIMES: f64 = 8.0;
/// EWMA weight of a sample in the slowness of a backend.
const SLOWNESS_EWMA_WEIGHT: f64 = 0.2;
/// Slowness sample of a failed attempt, and the maximum of all samples.
const FAILURE_SLOWNESS: f64 = 8.0;
/// A failure within this fraction of the normal answer time is a fast failure.
const FAST_FAILURE_FRACTION: f64 = 0.5;
/// EWMA weight of a fast failure in the slowness of a backend.
const FAST_FAILURE_EWMA_WEIGHT: f64 = 0.5;
/// Time constant with which slowness decays after a failure, as a fraction of that of the send rate.
const SLOWNESS_TIME_CONSTANT_FRACTION: f64 = 0.5;
/// Time constant with which slowness decays without a recent failure, in mean answer times, if shorter.
/// A backend whose first calls met a busy moment must not be avoided for as long as one that failed.
const SLOW_TIME_CONSTANT_ANSWER_TIMES: f64 = 100.0;
/// EWMA weight of a report in the service time of a backend.
const SERVICE_TIME_EWMA_WEIGHT: f64 = 0.3;

impl Balancer {
    /// Updates the slowness of a backend with the time that an attempt took or has been open.
    pub(super) fn record_slowness(&mut self, backend: usize, class: usize, duration: Time, failed: bool) {
        let normal = self.class_answer_times[class].mean;
        if normal <= 0.0 && !failed {
            return;
        }
        let sample = if failed { FAILURE_SLOWNESS } else { duration / normal };
        // A backend that fails fast has few calls in flight, and would be chosen repeatedly.
        let is_fast_failure = failed && duration < FAST_FAILURE_FRACTION * normal;
        let weight = if is_fast_failure { FAST_FAILURE_EWMA_WEIGHT } else { SLOWNESS_EWMA_WEIGHT };
        let known = self.observed_slowness(&self.backends[backend]);
        let b = &mut self.backends[backend];
        b.slowness = known + weight * (sample.min(FAILURE_SLOWNESS) - known);
        b.slowness_updated_at = self.now;
        if failed {
            b.last_failed_at = self.now;
        }
    }

    /// Marks lost attempts of a call, and records the slowness of its open attempts at backends that have
    /// answered nothing since the send. Returns whether a backend of another open attempt has answered.
    pub(super) fn check_open_attempts(&mut self, slot: Slot, failed: bool) -> bool {
        let mut is_alive = false;
        for i in 0..self.calls[slot].attempts.len() {
            let Attempt { backend, sent_at, outcome, is_lost, .. } = self.calls[slot].attempts[i];
            let class = self.calls[slot].class;
            if outcome.is_some() {
                continue;
            }
            let has_answered = self.backends[backend].last_answered_at > sent_at;
            if self.backends[backend].last_answered_send - sent_at
                > LOST_ANSWER_TIMES * self.class_answer_times[class].mean
            {
                self.calls[slot].attempts[i].is_lost = true;
                self.backends[backend].lost_attempts += usize::from(!is_lost);
            } else if has_answered {
                is_alive = true;
                continue;
            }
            self.record_slowness(backend, class, self.now - sent_at, failed);
        }
        let call = &mut self.calls[slot];
        let mut open = call.attempts.iter().filter(|a| a.outcome.is_none()).peekable();
        if !call.is_lost && open.peek().is_some() && open.all(|a| a.is_lost) {
            call.is_lost = true;
            self.lost_calls += 1;
        }
        is_alive
    }

    /// Maximum of the observed slowness, the hint, and the silence of a backend with attempts in flight. The
    /// silence reveals a stalled backend before its attempts time out; a busy one goes on answering.
    pub(super) fn slowness(&self, backend: &Backend) -> f64 {
        let (hint, since) = backend.hint;
        let known =
            self.observed_slowness(backend).max(if backend.last_answered_send > since { 0.0 } else { hint });
        if backend.in_flight == 0 || self.answer_times.mean <= 0.0 {
            return known;
        }
        known.max(((self.now - backend.last_alive_at) / self.answer_times.mean).min(FAILURE_SLOWNESS))
    }

    /// Observed slowness, which decays towards 1 so that an avoided backend is tried again.
    pub(super) fn observed_slowness(&self, backend: &Backend) -> f64 {
        let max = SLOWNESS_TIME_CONSTANT_FRACTION * self.rate_time_constant;
        let failed = self.now - backend.last_failed_at < max;
        let time_constant =
            if failed { max } else { max.min(SLOW_TIME_CONSTANT_ANSWER_TIMES * self.answer_times.mean) };
        let age = (self.now - backend.slowness_updated_at) / time_constant.max(f64::EPSILON);
        1.0 + (backend.slowness - 1.0) * (-age).exp()
    }

    /// Updates the service time of a backend, and the mean of all backends, with a load report.
    pub(super) fn record_load_report(&mut self, backend: BackendId, report: Option<Report>) {
        let service_time = report.and_then(|r| r.service_time).filter(|s| *s > 0.0);
        if let (Some(&backend), Some(service_time)) = (self.backend_indices.get(&backend), service_time) {
            let known = self.backends[backend].service_time.get_or_insert(service_time);
            *known += SERVICE_TIME_EWMA_WEIGHT * (service_time - *known);
            let mean = if self.mean_service_time > 0.0 { self.mean_service_time } else { service_time };
            self.mean_service_time = mean + ANSWER_TIME_EWMA_WEIGHT * (service_time - mean);
        }
    }
}
