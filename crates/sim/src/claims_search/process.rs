//! One process of the small fleet, with a clock of its own.

use std::collections::BTreeMap;
use std::time::Duration;

use lifthollow_coordination::claims::{ClaimEffect, ClaimEvent, ClaimSettings, Claims};
use lifthollow_coordination::inbound::InboundId;
use lifthollow_state::{Incarnation, Timestamp};

use super::history::Backend;
use super::observer::CallNumber;

const MICROS_PER_PERMILLE: i128 = 1_000;
/// Local clocks start here, so that a slow one does not begin below zero.
const CLOCK_ORIGIN_MICROS: u64 = 1_000_000_000;

/// A call at a process.
#[derive(Clone, Copy, Debug)]
pub struct LocalCall {
    /// Its number in the history.
    pub call: CallNumber,
    /// What the back end does with it.
    pub backend: Backend,
    /// How long a run takes.
    pub run_time: Duration,
}

/// A process and what it is doing.
#[derive(Debug)]
pub struct Process {
    /// Its life.
    pub incarnation: Incarnation,
    /// Calls that have not ended.
    pub calls: BTreeMap<InboundId, LocalCall>,
    /// It stands still until then, in true time.
    pub paused_until: Timestamp,
    /// The earliest timer set, in true time.
    pub timer_at: Option<Timestamp>,
    claims: Claims,
    drift_permille: i8,
    next_id: u64,
}

impl Process {
    /// A process that starts at `now` in true time.
    pub fn start(now: Timestamp, drift_permille: i8, settings: ClaimSettings) -> Self {
        let incarnation = settings.incarnation;
        let started_at = local_time(now, drift_permille);
        Process {
            incarnation,
            calls: BTreeMap::new(),
            paused_until: Timestamp::ZERO,
            timer_at: None,
            claims: Claims::new(started_at, settings),
            drift_permille,
            next_id: 0,
        }
    }

    /// The process's own clock.
    pub fn local(&self, now: Timestamp) -> Timestamp {
        local_time(now, self.drift_permille)
    }

    /// Its claims.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Takes in a call.
    pub fn accept(&mut self, call: LocalCall) -> InboundId {
        self.next_id += 1;
        let id = InboundId(self.next_id);
        self.calls.insert(id, call);
        id
    }

    /// Hands an event to the claims.
    pub fn handle(&mut self, now: Timestamp, event: ClaimEvent) -> Vec<ClaimEffect> {
        let mut effects = Vec::new();
        self.claims.handle(self.local(now), event, &mut effects);
        effects
    }

    /// When the claims want to be woken, in true time, never before `now`.
    pub fn next_wake(&self, now: Timestamp) -> Option<Timestamp> {
        let local_wake = self.claims.next_wake()?;
        let wait = local_wake - self.local(now);
        let stretched = wait.as_micros() as u64 * 102 / 100;
        Some(now + Duration::from_micros(stretched + 1))
    }
}

fn local_time(now: Timestamp, drift_permille: i8) -> Timestamp {
    let micros = i128::from(now.as_micros());
    let error = micros * i128::from(drift_permille) / MICROS_PER_PERMILLE;
    Timestamp::from_micros(CLOCK_ORIGIN_MICROS + (micros + error) as u64)
}
