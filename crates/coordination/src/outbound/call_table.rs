//! The calls in progress, indexed by call, by attempt and by timer.

use std::collections::{BTreeMap, BTreeSet};

use lifthollow_state::Timestamp;

use super::call_state::CallState;
use super::{AttemptId, CallId};

/// Table of all calls in progress on a node.
#[derive(Debug, Default)]
pub struct CallTable {
    calls: BTreeMap<CallId, CallState>,
    attempts: BTreeMap<AttemptId, CallId>,
    timers: BTreeSet<(Timestamp, CallId)>,
}

impl CallTable {
    /// Adds a call and schedules the timer stored in its state.
    pub fn insert(&mut self, id: CallId, state: CallState) {
        self.timers.insert((state.timer, id));
        self.calls.insert(id, state);
    }

    /// The state of a call in progress.
    pub fn get(&self, id: CallId) -> Option<&CallState> {
        self.calls.get(&id)
    }

    /// The mutable state of a call in progress; its timer must be changed with
    /// [`CallTable::set_timer`] only.
    pub fn get_mut(&mut self, id: CallId) -> Option<&mut CallState> {
        self.calls.get_mut(&id)
    }

    /// The call that an attempt belongs to.
    pub fn call_of(&self, attempt: AttemptId) -> Option<CallId> {
        self.attempts.get(&attempt).copied()
    }

    /// Records that an attempt of a call has begun.
    pub fn register_attempt(&mut self, attempt: AttemptId, id: CallId) {
        self.attempts.insert(attempt, id);
    }

    /// Removes an attempt that has ended; later events about it are ignored.
    pub fn remove_attempt(&mut self, attempt: AttemptId) {
        self.attempts.remove(&attempt);
    }

    /// Removes a call together with its current attempt and its timer.
    pub fn remove(&mut self, id: CallId) -> Option<CallState> {
        let state = self.calls.remove(&id)?;
        self.timers.remove(&(state.timer, id));
        if let Some(current) = state.current {
            self.attempts.remove(&current.id);
        }
        Some(state)
    }

    /// Schedules a call's timer, no later than the call's deadline.
    pub fn set_timer(&mut self, id: CallId, timer: Timestamp) {
        if let Some(state) = self.calls.get_mut(&id) {
            self.timers.remove(&(state.timer, id));
            state.timer = timer.min(state.call.context.deadline);
            self.timers.insert((state.timer, id));
        }
    }

    /// Cancels a call's timer.
    pub fn cancel_timer(&mut self, id: CallId) {
        if let Some(state) = self.calls.get(&id) {
            self.timers.remove(&(state.timer, id));
        }
    }

    /// Removes the earliest timer that is due and returns its call.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<CallId> {
        let &(due, id) = self.timers.first()?;
        if due > now {
            return None;
        }
        self.timers.pop_first();
        Some(id)
    }

    /// When the earliest timer fires.
    pub fn next_timer(&self) -> Option<Timestamp> {
        self.timers.first().map(|(due, _)| *due)
    }
}
