//! Requests that one backend alone can do, as what they need lives on a connection to it: a statement in a
//! transaction. There is nothing to choose and nothing to repeat, so that the module is not asked. All else holds
//! as for any other: the gate, the deadline, the bound on open ones, and one final answer.

use super::{ANSWER_WAY, Answer, Due, Engine, Open, State, Upstream, give_answer, give_up};
use crate::{BackendId, Outcome, RequestId, Time};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::oneshot;

impl<U: Upstream> Engine<U> {
    /// Takes in a request for that backend, whose client will wait for `budget` seconds. It gets one attempt. It is
    /// refused where nothing of it was sent, and failed where it may have run.
    pub fn request_to(
        &self,
        backend: BackendId,
        budget: Time,
        payload: U::Payload,
    ) -> (RequestId, oneshot::Receiver<Answer<U::Reply>>) {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.state.borrow_mut();
        state.requests += 1;
        let id = RequestId(state.requests);
        if state.open.len() >= self.max_open || !state.endpoints.contains_key(&backend) {
            let _ = sender.send(Answer::Refused(None, None)); // the receiver is still here
            return (id, receiver);
        }
        let now = self.clock.now();
        let left = budget - self.lag.get();
        let until = now + left - 0.5 * ANSWER_WAY;
        let payload = Rc::new(payload);
        let open = Open {
            txn: None,
            answer: sender,
            payload,
            until,
            attempts: 0,
            affine: true,
            class: 0,
            kept: None,
            fallback: None,
            wanted: Rc::new(Cell::new(true)),
        };
        state.open.insert(id, open);
        self.set_timer(&mut state, until, Due::Request(id));
        self.send(&mut state, id, backend, (left - ANSWER_WAY).max(0.001), now);
        (id, receiver)
    }
}

/// Its attempt has ended without being served.
pub(super) fn end<U: Upstream>(
    state: &mut State<U>,
    id: RequestId,
    outcome: Outcome,
    fallback: Option<U::Reply>,
) {
    let unsent = matches!(outcome, Outcome::NoConnection | Outcome::NeverSent | Outcome::Rejected);
    give_answer(
        state,
        id,
        |_| if unsent { Answer::Refused(None, fallback) } else { Answer::Failed(fallback) },
    );
}

/// Its client waits no longer.
pub(super) fn late<U: Upstream>(state: &mut State<U>, id: RequestId) {
    let written = state.running.get(&(id, 0)).is_some_and(|running| running.written.get());
    give_up(state, id, 0);
    give_answer(state, id, |_| if written { Answer::Failed(None) } else { Answer::Refused(None, None) });
}
