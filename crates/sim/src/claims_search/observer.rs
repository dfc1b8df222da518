//! Records what back ends really did and what callers were told, and judges it.

use std::collections::BTreeMap;

use lifthollow_coordination::claims::ClaimDecision;
use lifthollow_protocol::{AttemptResult, RecordedAnswer};
use lifthollow_state::Timestamp;

use super::fleet::LIFETIME;

/// A call, numbered in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallNumber(pub u32);

/// What a call carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Content {
    /// Its key.
    pub key: u8,
    /// Its body.
    pub body: u8,
}

/// A promise that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// Two runs of one key started less than the lifetime apart.
    #[error("key {key} ran twice, for {first:?} at {first_at:?} and {second:?} at {second_at:?}")]
    RanTwice {
        /// The key.
        key: u8,
        /// The call of the first run.
        first: CallNumber,
        /// When it started, in true time.
        first_at: Timestamp,
        /// The call of the second run.
        second: CallNumber,
        /// When it started, in true time.
        second_at: Timestamp,
    },
    /// A call that ran was answered with not run.
    #[error("{call:?} ran and was told that it did not")]
    NotRunUntrue {
        /// The call.
        call: CallNumber,
    },
    /// A repeat was given an answer that no run of its call gave.
    #[error("{call:?} was given the answer of another call")]
    WrongAnswer {
        /// The call.
        call: CallNumber,
    },
}

/// Counts that show that a search exercised what it is about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Tallies {
    /// Calls made.
    pub calls: u64,
    /// Runs started.
    pub runs: u64,
    /// Repeats given a recorded answer.
    pub replays: u64,
    /// Calls answered with not run.
    pub not_run: u64,
    /// Calls answered with unknown.
    pub unknown: u64,
}

impl Tallies {
    /// Adds the counts of another history.
    pub fn add(&mut self, other: Tallies) {
        self.calls += other.calls;
        self.runs += other.runs;
        self.replays += other.replays;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
    }
}

#[derive(Clone, Copy, Debug)]
struct Run {
    call: CallNumber,
    at: Timestamp,
}

/// Sees everything that happens in one history.
#[derive(Debug, Default)]
pub struct Observer {
    tallies: Tallies,
    contents: BTreeMap<CallNumber, Content>,
    runs: BTreeMap<u8, Vec<Run>>,
    told_not_run: Vec<CallNumber>,
    replays: Vec<(CallNumber, RecordedAnswer)>,
}

impl Observer {
    /// A call was made.
    pub fn called(&mut self, content: Content) -> CallNumber {
        self.tallies.calls += 1;
        let call = CallNumber(self.contents.len() as u32);
        self.contents.insert(call, content);
        call
    }

    /// A back end started to run a call.
    pub fn run_started(&mut self, at: Timestamp, call: CallNumber) {
        self.tallies.runs += 1;
        if let Some(content) = self.contents.get(&call) {
            let runs = self.runs.entry(content.key).or_default();
            runs.push(Run { call, at });
        }
    }

    /// A call was told that it did not run.
    pub fn told_not_run(&mut self, call: CallNumber) {
        self.tallies.not_run += 1;
        self.told_not_run.push(call);
    }

    /// The claim of a call was decided without a run.
    pub fn decided(&mut self, call: CallNumber, decision: &ClaimDecision) {
        match decision {
            ClaimDecision::Replay(answer) => {
                self.tallies.replays += 1;
                self.replays.push((call, answer.clone()));
            }
            ClaimDecision::Refused(AttemptResult::NotRun { .. }) => self.told_not_run(call),
            ClaimDecision::Refused(_) => self.tallies.unknown += 1,
            ClaimDecision::Granted { .. } => {}
        }
    }

    /// The answer that a run of a call gives.
    pub fn answer_of(call: CallNumber) -> RecordedAnswer {
        RecordedAnswer {
            status: 200,
            headers: Vec::new(),
            body: call.0.to_le_bytes().to_vec(),
        }
    }

    /// The counts.
    pub fn tallies(&self) -> Tallies {
        self.tallies
    }

    /// The first broken promise.
    pub fn violation(&self) -> Option<Violation> {
        let twice = self
            .runs
            .iter()
            .find_map(|(key, runs)| ran_twice(*key, runs));
        twice
            .or_else(|| self.untrue_not_run())
            .or_else(|| self.wrong_answer())
    }

    fn untrue_not_run(&self) -> Option<Violation> {
        let has_run = |call: &CallNumber| self.runs.values().flatten().any(|run| run.call == *call);
        let call = self.told_not_run.iter().copied().find(has_run)?;
        Some(Violation::NotRunUntrue { call })
    }

    fn wrong_answer(&self) -> Option<Violation> {
        let is_wrong = |(call, answer): &&(CallNumber, RecordedAnswer)| {
            let content = self.contents.get(call);
            let gave_it = |run: &Run| {
                self.contents.get(&run.call) == content && Observer::answer_of(run.call) == *answer
            };
            !self.runs.values().flatten().any(gave_it)
        };
        let (call, _) = self.replays.iter().find(is_wrong)?;
        Some(Violation::WrongAnswer { call: *call })
    }
}

fn ran_twice(key: u8, runs: &[Run]) -> Option<Violation> {
    let is_too_close = |pair: &&[Run]| pair[1].at - pair[0].at < LIFETIME;
    let pair = runs.windows(2).find(is_too_close)?;
    Some(Violation::RanTwice {
        key,
        first: pair[0].call,
        first_at: pair[0].at,
        second: pair[1].call,
        second_at: pair[1].at,
    })
}
