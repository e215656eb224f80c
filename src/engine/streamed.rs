//! Answers that have begun and go on: the client has its answer from the first part on.

use super::{Answer, Begin, Engine, Told, Upstream, close};
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
        if !open.affine {
            state.told.push_back(Told::Event(Event::Started { id, attempt }));
            self.decide(state);
        }
        true
    }
}
