//! One client's request with its repeats.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::LoadArguments;
use super::account::Account;
use super::attempt::{AttemptOutcome, Entries};
use super::call_kind::CallKind;
use super::record::{Outcome, Recorder, RequestRecord};
use crate::backend::unix_millis;
use crate::call::CallName;

/// How clients repeat.
#[derive(Clone, Copy, Debug)]
pub struct RetryBehaviour {
    attempts: u32,
    backoff: Duration,
    honour_retry_after: bool,
}

impl RetryBehaviour {
    /// As the flags say.
    pub fn from_arguments(arguments: &LoadArguments) -> Self {
        RetryBehaviour {
            attempts: arguments.attempts.max(1),
            backoff: Duration::from_millis(arguments.backoff_ms),
            honour_retry_after: arguments.honour_retry_after,
        }
    }

    /// Pause after attempt number `attempt`: doubled each time, between half
    /// and the whole of it by chance, and no shorter than a refusal asked for.
    fn pause(
        &self,
        attempt: u32,
        retry_after: Option<Duration>,
        generator: &mut ChaCha8Rng,
    ) -> Duration {
        let doubled = self.backoff * 2u32.saturating_pow(attempt - 1);
        let pause = doubled.mul_f64(generator.random_range(0.5..=1.0));
        match retry_after {
            Some(asked) if self.honour_retry_after => pause.max(asked),
            _ => pause,
        }
    }
}

/// All clients of one load process.
pub struct Clients {
    /// The nodes called.
    pub entries: Entries,
    /// How clients repeat.
    pub retries: RetryBehaviour,
    /// After this an answer is no longer useful.
    pub patience: Duration,
    /// Counts.
    pub account: Account,
    /// Records of requests.
    pub recorder: Recorder,
}

impl Clients {
    /// Makes a request to its end and accounts for it.
    pub async fn make_request(&self, request: String, kind: CallKind, seed: u64) {
        let started = Instant::now();
        self.account.offered(&kind.class);
        let mut record = new_record(request, &kind);
        let outcome = self
            .attempt_until_done(&mut record, &kind, seed, started)
            .await;
        let elapsed = started.elapsed();
        record.elapsed_ms = elapsed.as_millis() as u64;
        record.outcome = self.final_outcome(&outcome, elapsed);
        record.reason = reason_of(outcome);
        self.account.ended(&record, elapsed);
        self.recorder.write(&record);
    }

    async fn attempt_until_done(
        &self,
        record: &mut RequestRecord,
        kind: &CallKind,
        seed: u64,
        started: Instant,
    ) -> AttemptOutcome {
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        loop {
            record.attempts += 1;
            let outcome = self.attempt(record, kind, started).await;
            note_attempt(record, &outcome);
            let retry_after = match &outcome {
                AttemptOutcome::Complete | AttemptOutcome::Corrupt => return outcome,
                AttemptOutcome::NotRun { retry_after, .. } => *retry_after,
                AttemptOutcome::Failed(_) | AttemptOutcome::Unknown { .. } => None,
            };
            let pause = self
                .retries
                .pause(record.attempts, retry_after, &mut generator);
            let too_late = started.elapsed() + pause >= self.patience;
            if record.attempts >= self.retries.attempts || too_late {
                return outcome;
            }
            tokio::time::sleep(pause).await;
            self.account.repeated();
        }
    }

    async fn attempt(
        &self,
        record: &RequestRecord,
        kind: &CallKind,
        started: Instant,
    ) -> AttemptOutcome {
        let name = CallName {
            request: record.request.clone(),
            attempt: record.attempts,
            caller: String::new(),
        };
        let left = self.patience.saturating_sub(started.elapsed());
        let timeout = kind.timeout.min(left);
        self.entries
            .attempt(&name, record.key.as_deref(), kind, timeout)
            .await
    }

    fn final_outcome(&self, outcome: &AttemptOutcome, elapsed: Duration) -> Outcome {
        match outcome {
            AttemptOutcome::Complete if elapsed <= self.patience => Outcome::Useful,
            AttemptOutcome::Complete => Outcome::Late,
            AttemptOutcome::Failed(_) => Outcome::Failed,
            AttemptOutcome::NotRun { .. } => Outcome::NotRun,
            AttemptOutcome::Unknown { .. } => Outcome::Unknown,
            AttemptOutcome::Corrupt => Outcome::Corrupt,
        }
    }
}

fn new_record(request: String, kind: &CallKind) -> RequestRecord {
    RequestRecord {
        key: kind.keyed.then(|| format!("key-{request}")),
        request,
        service: kind.service.clone(),
        class: kind.class.clone(),
        attempts: 0,
        not_run_attempts: Vec::new(),
        complete_attempts: Vec::new(),
        outcome: Outcome::Unknown,
        reason: String::new(),
        started_ms: unix_millis(),
        elapsed_ms: 0,
    }
}

fn note_attempt(record: &mut RequestRecord, outcome: &AttemptOutcome) {
    match outcome {
        AttemptOutcome::NotRun { .. } => record.not_run_attempts.push(record.attempts),
        AttemptOutcome::Complete => record.complete_attempts.push(record.attempts),
        _ => {}
    }
}

fn reason_of(outcome: AttemptOutcome) -> String {
    match outcome {
        AttemptOutcome::NotRun { reason, .. } | AttemptOutcome::Unknown { reason } => reason,
        AttemptOutcome::Failed(status) => status.as_u16().to_string(),
        AttemptOutcome::Complete | AttemptOutcome::Corrupt => String::new(),
    }
}
