//! Requests with backend affinity: only one backend can run them, since their state lives on a connection to
//! it, such as a statement in a transaction.
//!
//! The decision module doesn't know these requests: no backend is chosen and nothing is retried. The send
//! gate, the deadline, the limit on open requests and the single final answer apply as to any other
//! request.

use super::{
    ANSWER_DELIVERY_SECONDS, Answer, Engine, OpenRequest, SendTiming, State, TimerKind, Upstream,
    abort_attempt, send_answer,
};
use crate::{BackendId, Outcome, RequestId, Time};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::oneshot;

impl<U: Upstream> Engine<U> {
    /// Submits a request to `backend` whose client waits for `budget` seconds. The request gets one attempt;
    /// it is rejected if nothing of it was sent, and fails if it may have run.
    pub fn submit_request_to(
        &self,
        backend: BackendId,
        budget: Time,
        payload: U::Payload,
    ) -> (RequestId, oneshot::Receiver<Answer<U::Reply>>) {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.state.borrow_mut();
        state.last_request_number += 1;
        let id = RequestId(state.last_request_number);
        let now = self.clock.now();
        let time_until_end = self.time_until_end(now);
        if time_until_end.is_some_and(|time_left| time_left <= 0.0)
            || state.open_requests.len() >= self.max_open_requests
            || !state.known_backends.contains_key(&backend)
        {
            let _ = sender.send(Answer::Rejected(None, None)); // the receiver still exists
            return (id, receiver);
        }
        let time_left = (budget - self.timer_delay.get()).min(time_until_end.unwrap_or(Time::INFINITY));
        let deadline = now + time_left - 0.5 * ANSWER_DELIVERY_SECONDS;
        let payload = Rc::new(payload);
        let open = OpenRequest {
            client_request_id: None,
            answer: sender,
            payload,
            deadline,
            attempts: 0,
            has_affinity: true,
            class: 0,
            exclusive: None,
            error_response: None,
            is_request_open: Rc::new(Cell::new(true)),
        };
        state.open_requests.insert(id, open);
        self.set_timer(&mut state, deadline, TimerKind::Request(id));
        let timeout = (time_left - ANSWER_DELIVERY_SECONDS).max(0.001);
        let timing = SendTiming { now, timeout, send_by: Time::INFINITY };
        self.send(&mut state, id, backend, timing);
        (id, receiver)
    }
}

/// Answers a request whose only attempt ended without a reply.
pub(super) fn end_request<U: Upstream>(
    state: &mut State<U>,
    id: RequestId,
    outcome: Outcome,
    error_response: Option<U::Reply>,
) {
    let unsent = matches!(outcome, Outcome::NoConnection | Outcome::NeverSent | Outcome::Rejected);
    send_answer(state, id, |_| {
        if unsent { Answer::Rejected(None, error_response) } else { Answer::Failed(error_response) }
    });
}

/// Answers a request with backend affinity whose deadline has passed.
pub(super) fn expire<U: Upstream>(state: &mut State<U>, id: RequestId) {
    let written = state.running_attempts.get(&(id, 0)).is_some_and(|running| running.written.get());
    abort_attempt(state, id, 0);
    send_answer(state, id, |_| if written { Answer::Failed(None) } else { Answer::Rejected(None, None) });
}
