//! Streamed replies and attempts that can't be repeated.
//!
//! Once the first part of a reply has gone to the client, the attempt that streams it is the only one of its
//! request.

use super::{Answer, Engine, ExclusiveClaim, QueuedEvent, ReplySink, StallReport, Upstream, close_request};
use crate::{Event, RequestId};
use std::rc::Rc;

impl<U: Upstream> Engine<U> {
    /// Creates the sink that an attempt hands its streamed reply to.
    pub(super) fn reply_sink(&self, id: RequestId, attempt: usize) -> ReplySink<U::Reply> {
        let engine = self.this.clone();
        ReplySink(Some(Rc::new(move |reply| {
            engine.upgrade().is_some_and(|engine| engine.start_reply(id, attempt, reply))
        })))
    }

    /// Creates the claim by which an attempt becomes the only one of its request.
    pub(super) fn exclusive_claim(&self, id: RequestId, attempt: usize) -> ExclusiveClaim {
        let engine = self.this.clone();
        ExclusiveClaim(Some(Rc::new(move || {
            engine.upgrade().is_some_and(|engine| engine.claim_attempt(id, attempt))
        })))
    }

    /// Creates the report by which an attempt tells that its reply has stalled.
    pub(super) fn stall_report(&self, id: RequestId, attempt: usize) -> StallReport {
        let engine = self.this.clone();
        StallReport(Some(Rc::new(move || {
            if let Some(engine) = engine.upgrade() {
                let mut state = engine.state.borrow_mut();
                state.event_queue.push_back(QueuedEvent::Event(Event::AttemptStalled { id, attempt }));
                engine.decide(state);
            }
        })))
    }

    /// Makes an attempt the only one of its request. The decision module is told that the request has
    /// started: otherwise its timers would run while the client is still sending, and a slow client would
    /// count as a slow backend.
    fn claim_attempt(&self, id: RequestId, attempt: usize) -> bool {
        let mut state = self.state.borrow_mut();
        let super::State { open_requests, running_attempts, .. } = &mut *state;
        let (Some(open), Some(running)) =
            (open_requests.get_mut(&id), running_attempts.get_mut(&(id, attempt)))
        else {
            return false;
        };
        if open.exclusive.is_some() {
            return false; // another attempt already sends the body, which can be sent once
        }
        open.exclusive = Some(attempt);
        running.streaming = true;
        running.exclusive = true;
        if !open.has_affinity {
            state.event_queue.push_back(QueuedEvent::Event(Event::StreamStarted { id, attempt }));
            self.decide(state);
        }
        true
    }

    /// Makes a streamed reply the answer of its request, unless the request is closed.
    fn start_reply(&self, id: RequestId, attempt: usize, reply: U::Reply) -> bool {
        let mut state = self.state.borrow_mut();
        if !state.running_attempts.contains_key(&(id, attempt)) {
            return false;
        }
        let Some(open) = close_request(&mut state, id) else { return false };
        if let Some(running) = state.running_attempts.get_mut(&(id, attempt)) {
            running.streaming = true;
        }
        let _ = open.answer.send(Answer::Served(reply)); // fails if the client has disconnected
        if !open.has_affinity && open.exclusive.is_none() {
            state.event_queue.push_back(QueuedEvent::Event(Event::StreamStarted { id, attempt }));
            self.cancel_unsent_attempts(&mut state, id, open.attempts);
            self.decide(state);
        }
        true
    }
}
