//! Requests whose time is over: those past their deadlines, and all that are open when a stopping process has to
//! answer.

use super::{Answer, Engine, QueuedEvent, State, TimerKind, Upstream, affinity, remove_queued};
use super::{AttemptEvent, UpstreamResult};
use crate::{Event, Outcome, RequestId, Time};
use std::time::Duration;

impl<U: Upstream> Engine<U> {
    /// Ends all requests within this time, because the process is stopping: those that are open now and those that
    /// are submitted later, whatever they wait for. A later call may only bring the end forward.
    pub fn end_requests_within(&self, within: Duration) {
        let end = self.clock.now() + within.as_secs_f64();
        if self.requests_end_at.get().is_some_and(|earlier| earlier <= end) {
            return;
        }
        self.requests_end_at.set(Some(end));
        let mut state = self.state.borrow_mut();
        // Attempts that start later tell their backends the time that is left.
        state.open_requests.values_mut().for_each(|open| open.deadline = open.deadline.min(end));
        self.set_timer(&mut state, end, TimerKind::EndOfRequests);
    }

    /// Returns the time in seconds that a request that is submitted at `now` may take at most, if the process is
    /// stopping.
    pub(super) fn time_until_end(&self, now: Time) -> Option<Time> {
        self.requests_end_at.get().map(|end| end - now)
    }

    /// Answers all open requests. An attempt that sets its own time limit is ended too.
    pub(super) fn end_open_requests(&self, state: &mut State<U>) {
        let open: Vec<RequestId> = state.open_requests.keys().copied().collect();
        open.into_iter().for_each(|id| self.expire_request(state, id));
    }

    /// Handles the deadline of a request. The limit of an attempt that is the only one of its request counts from the
    /// last byte of the request body, and is enforced by the attempt.
    pub(super) fn handle_deadline(&self, state: &mut State<U>, id: RequestId) {
        if state.open_requests.get(&id).is_some_and(|open| open.exclusive.is_none()) {
            self.expire_request(state, id);
        }
    }

    /// Answers a request whose time is over, in whichever phase it is.
    fn expire_request(&self, state: &mut State<U>, id: RequestId) {
        if remove_queued(state, id) {
            return self.answer_request(state, id, |error_response| Answer::Rejected(None, error_response));
        }
        let Some(open) = state.open_requests.get(&id) else { return };
        if open.has_affinity {
            self.notify_observer(id, 0, AttemptEvent::Ended(Outcome::Timeout));
            affinity::expire(state, id);
        } else if let Some(attempt) = open.exclusive {
            self.expire_attempt(state, id, attempt);
        } else {
            let is_unsent = open.attempts == 0;
            self.answer_request(state, id, |error_response| match is_unsent {
                true => Answer::Rejected(None, error_response),
                false => Answer::Failed(error_response),
            });
            state.event_queue.push_back(QueuedEvent::Event(Event::ClientDisconnected(id)));
        }
    }

    /// Ends an attempt whose time is over.
    pub(super) fn expire_attempt(&self, state: &mut State<U>, id: RequestId, attempt: usize) {
        let is_written = state.running_attempts.get(&(id, attempt)).is_some_and(|r| r.written.get());
        let outcome = if is_written { Outcome::Timeout } else { Outcome::NoConnection };
        self.end_attempt(state, id, attempt, UpstreamResult::without_reply(outcome));
    }
}
