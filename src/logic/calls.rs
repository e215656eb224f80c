//! The state of calls, their attempts and the queues of ordered keys.

use crate::interface::{BackendEntry, Effect, Outcome, RequestId, Time};
use slotmap::{DefaultKey as Slot, Key};
use std::collections::VecDeque;

/// Time before the end of its window after which a keyed call is not repeated, for a process that is held up
/// between the check of the time and the first byte.
const WINDOW_MARGIN: Time = 0.15;

#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) backend: usize,
    pub(super) cell: u32,
    pub(super) zone: u32,
    pub(super) sent_at: Time,
    pub(super) outcome: Option<Outcome>,
    /// It has no outcome, and its backend has answered much later attempts.
    pub(super) is_lost: bool,
}

impl Attempt {
    pub(super) fn may_have_run(&self) -> bool {
        use Outcome::*;
        !matches!(self.outcome, Some(Rejected | NoConnection | NeverSent))
    }

    /// Latest time of the first byte of a repeat, if this is the first attempt that may have run.
    pub(super) fn last_repeat_time(&self, window: Time) -> Time {
        self.sent_at + window - WINDOW_MARGIN
    }
}

/// A request without a final answer.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) id: RequestId,
    pub(super) class: usize,
    pub(super) tenant: Option<usize>,
    /// When it arrived or, if it was queued, when it was started.
    pub(super) started_at: Time,
    /// Latest time for its final answer.
    pub(super) deadline: Time,
    pub(super) t1: Time,
    pub(super) timers_fired: i32,
    pub(super) has_repeat_timer: bool,
    pub(super) attempts: Vec<Attempt>,
    /// The key whose requests run in order, where its class asks for that.
    pub(super) order_key: Option<u64>,
    /// It waits in the queue of its key or for admission, and has no attempt.
    pub(super) is_queued: bool,
    /// It arrived when its tenant's share was used up.
    pub(super) over_share: bool,
    /// Fraction of the arrivals that are worth less for their work; it waits while pressure is higher.
    pub(super) rank: f64,
    /// Its last attempt was rejected or not connected, and it waits to be sent again.
    pub(super) is_rejected: bool,
    /// All attempts without an outcome are lost.
    pub(super) is_lost: bool,
    /// The second choice of the last draw, which the next attempt is sent to if it is usable.
    pub(super) alternative: Option<usize>,
}

impl Call {
    pub(super) fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|a| a.outcome.is_none())
    }

    /// Latest time of the first byte of the last attempt. The connections of two attempts may come up in any
    /// order, so that the window of the first one limits both.
    pub(super) fn send_by(&self, effect: Effect) -> Time {
        let first = self.attempts.iter().find(|attempt| attempt.may_have_run());
        match (effect, first) {
            // A window within the margin allows no repeat.
            (Effect::Keyed { window, .. }, Some(first)) if window > WINDOW_MARGIN => {
                first.last_repeat_time(window)
            }
            _ => Time::INFINITY,
        }
    }
}

/// The queue of an ordered key. Its first call may be started once no attempt of an ended call is in flight
/// and the key has settled.
#[derive(Debug)]
pub(super) struct KeyQueue {
    /// Calls in the order of arrival; the first one may be running.
    pub(super) calls: VecDeque<Slot>,
    /// Attempts of ended calls without an outcome.
    pub(super) open_attempts: usize,
    pub(super) settles_at: Time,
}

/// The backends that a call may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Scope {
    Anywhere,
    Zone(u32),
    Cell(u32),
}

impl Scope {
    pub(super) fn contains(self, entry: &BackendEntry) -> bool {
        match self {
            Scope::Anywhere => true,
            Scope::Zone(zone) => entry.zone == zone,
            Scope::Cell(cell) => entry.cell == cell,
        }
    }
}

/// Returns the token of a call's timer, which is never used for a later call.
pub(super) fn timer_token(slot: Slot, kind: u64) -> u64 {
    1 + (slot.data().as_ffi() << 2 | kind)
}
