//! The calls in progress, found by call, by attempt and by time.

use std::collections::{BTreeMap, BTreeSet};

use lifthollow_state::Timestamp;

use super::call_state::CallState;
use super::{AttemptId, CallId};

/// All calls in progress on a node.
#[derive(Debug, Default)]
pub struct CallTable {
    calls: BTreeMap<CallId, CallState>,
    attempts: BTreeMap<AttemptId, CallId>,
    timers: BTreeSet<(Timestamp, CallId)>,
}

impl CallTable {
    /// Adds a call; its timer is set to what its state says.
    pub fn insert(&mut self, id: CallId, state: CallState) {
        self.timers.insert((state.timer, id));
        self.calls.insert(id, state);
    }

    /// A call.
    pub fn get(&self, id: CallId) -> Option<&CallState> {
        self.calls.get(&id)
    }

    /// A call, to be changed.
    pub fn get_mut(&mut self, id: CallId) -> Option<&mut CallState> {
        self.calls.get_mut(&id)
    }

    /// The call whose attempt this is.
    pub fn call_of(&self, attempt: AttemptId) -> Option<CallId> {
        self.attempts.get(&attempt).copied()
    }

    /// An attempt of a call has begun.
    pub fn link(&mut self, attempt: AttemptId, id: CallId) {
        self.attempts.insert(attempt, id);
    }

    /// An attempt is over; what is heard of it from now on is ignored.
    pub fn unlink(&mut self, attempt: AttemptId) {
        self.attempts.remove(&attempt);
    }

    /// Takes a call out with its attempt and timer.
    pub fn remove(&mut self, id: CallId) -> Option<CallState> {
        let state = self.calls.remove(&id)?;
        self.timers.remove(&(state.timer, id));
        if let Some(current) = state.current {
            self.attempts.remove(&current.id);
        }
        Some(state)
    }

    /// Sets when a call must be looked at again, at the latest its deadline.
    pub fn set_timer(&mut self, id: CallId, timer: Timestamp) {
        if let Some(state) = self.calls.get_mut(&id) {
            self.timers.remove(&(state.timer, id));
            state.timer = timer.min(state.call.context.deadline);
            self.timers.insert((state.timer, id));
        }
    }

    /// The call need not be looked at any more.
    pub fn stop_timer(&mut self, id: CallId) {
        if let Some(state) = self.calls.get(&id) {
            self.timers.remove(&(state.timer, id));
        }
    }

    /// Takes the timer of a call that is due.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<CallId> {
        let &(due, id) = self.timers.first()?;
        if due > now {
            return None;
        }
        self.timers.pop_first();
        Some(id)
    }

    /// The earliest timer.
    pub fn next_timer(&self) -> Option<Timestamp> {
        self.timers.first().map(|(due, _)| *due)
    }
}
