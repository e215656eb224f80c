//! Budgets of backends that started recently.

use super::Balancer;
use crate::interface::Status;
use rand::Rng;

/// All balancers together plan to send a cold backend this fraction of the rate that overloads it.
const COLD_RATE_FRACTION: f64 = 0.6;
/// Requests by which the budget of a cold backend may be overdrawn if no other backend can be used.
const MAX_COLD_OVERDRAFT: f64 = 0.2;

impl Balancer {
    /// Whether a backend is in service and, if it is cold, has budget left for a request of this balancer.
    pub(super) fn is_usable(&mut self, backend: usize) -> bool {
        if self.backends[backend].entry.status != Status::InService {
            return false;
        }
        let capacity = self.capacity_fraction(backend);
        if capacity >= 1.0 {
            return true;
        }
        if !self.subset.contains(&backend) {
            return false; // its budget is divided among the balancers that have it in their subset
        }
        // Turns that are unused for the overload duration expire, so that they don't accumulate.
        let rate = self.cold_send_rate(backend);
        let max_tokens = rate * self.settings.overload_duration;
        let tokens = self.backends[backend].cold_budget.refill(self.now, rate, f64::INFINITY);
        if tokens > max_tokens {
            let expired = self.rng.random::<f64>() < (-max_tokens).exp();
            self.backends[backend].cold_budget.tokens =
                if expired { -self.draw_turn_interval() } else { 0.0 };
        }
        self.backends[backend].cold_budget.tokens >= 0.0
    }

    /// Whether a request may be sent to a cold backend shortly before its next turn. An idle fleet of only
    /// cold backends would otherwise reject requests.
    pub(super) fn can_overdraw(&self, backend: usize) -> bool {
        let b = &self.backends[backend];
        let has_budget = b.entry.usual_rate.is_none_or(|rate| rate > 0.0);
        b.entry.status == Status::InService && has_budget && b.cold_budget.tokens >= -MAX_COLD_OVERDRAFT
    }

    /// Draws the budget between two turns of a cold backend, in requests: exponentially distributed with a
    /// mean of one, so that the turns of many balancers are spread at random.
    pub(super) fn draw_turn_interval(&mut self) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln()
    }

    /// Rate in requests per second at which this balancer may send to a cold member: a fraction of the rate
    /// that overloads it, estimated from the answers of warm members or, without any, from own requests.
    fn cold_send_rate(&mut self, backend: usize) -> f64 {
        self.update_warm_time();
        let members = self.subset.len().max(1) as f64;
        let overload_duration = self.settings.overload_duration;
        let requested = self.send_rate.count / (self.send_rate.duration + overload_duration) / members;
        let rate = (self.warm_answer_rate.count + requested * overload_duration)
            / (self.warm_answer_rate.duration + overload_duration).max(f64::EPSILON);
        let rate = self.backends[backend].entry.usual_rate.map_or(rate, |usual| usual.min(rate));
        rate * self.capacity_fraction(backend) * COLD_RATE_FRACTION * self.settings.overload_multiple
    }

    /// Adds the time since the last update to the seconds that members have been warm.
    pub(super) fn update_warm_time(&mut self) {
        let warm = self.subset.iter().filter(|b| self.capacity_fraction(**b) >= 1.0).count() as f64;
        self.warm_member_seconds += warm * (self.now - self.warm_updated_at);
        self.warm_updated_at = self.now;
        self.warm_answer_rate
            .decay(self.warm_member_seconds, self.rate_time_constant * self.subset.len().max(1) as f64);
    }

    /// Minimum fraction of its full capacity that a backend has now; 1 once it is warm.
    pub(super) fn capacity_fraction(&self, backend: usize) -> f64 {
        let (initial, duration) = (self.settings.cold_capacity_fraction, self.settings.cold_duration);
        let started = self.backends[backend].entry.started.filter(|s| self.now < s + duration);
        started.map_or(1.0, |s| initial + (1.0 - initial) * ((self.now - s) / duration).clamp(0.0, 1.0))
    }
}
