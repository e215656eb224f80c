//! Answers that have begun and go on: the client has its answer from the first part on.

use super::{Answer, Begin, Engine, Keep, Told, Upstream, close};
use crate::{Event, RequestId};
use std::rc::Rc;

impl<U: Upstream> Engine<U> {
    /// What an attempt is given to hand on an answer that has begun.
    pub(super) fn begins(&self, id: RequestId, attempt: usize) -> Begin<U::Reply> {
        let engine = self.this.clone();
        Begin(Some(Rc::new(move |reply| {
            engine.upgrade().is_some_and(|engine| engine.begun(id, attempt, reply))
        })))
    }

    /// What an attempt is given to become its request's only one.
    pub(super) fn keeps(&self, id: RequestId, attempt: usize) -> Keep {
        let engine = self.this.clone();
        Keep(Some(Rc::new(move || engine.upgrade().is_some_and(|engine| engine.kept(id, attempt)))))
    }

    /// The module has done what it can for it: it would wait at its timers for what can't come before the client
    /// has sent everything, and take a slow client for a slow backend.
    fn kept(&self, id: RequestId, attempt: usize) -> bool {
        let mut state = self.state.borrow_mut();
        let super::State { open, running, .. } = &mut *state;
        let (Some(open), Some(running)) = (open.get_mut(&id), running.get_mut(&(id, attempt))) else {
            return false;
        };
        if open.kept.is_some() {
            return false; // what can be sent once is with another attempt
        }
        open.kept = Some(attempt);
        running.streams = true;
        running.kept = true;
        if !open.affine {
            state.told.push_back(Told::Event(Event::StreamStarted { id, attempt }));
            self.decide(state);
        }
        true
    }

    fn begun(&self, id: RequestId, attempt: usize, reply: U::Reply) -> bool {
        let mut state = self.state.borrow_mut();
        if !state.running.contains_key(&(id, attempt)) {
            return false;
        }
        let Some(open) = close(&mut state, id) else { return false };
        if let Some(running) = state.running.get_mut(&(id, attempt)) {
            running.streams = true;
        }
        let _ = open.answer.send(Answer::Served(reply)); // where it has left, what comes finds nobody
        if !open.affine && open.kept.is_none() {
            state.told.push_back(Told::Event(Event::StreamStarted { id, attempt }));
            self.withdraw_unsent(&mut state, id, open.attempts);
            self.decide(state);
        }
        true
    }
}
