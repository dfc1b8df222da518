//! A client's request with its retries.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::LoadArguments;
use super::account::LoadStatistics;
use super::attempt::{AttemptOutcome, NodeClient};
use super::call_kind::CallKind;
use super::record::{Outcome, Recorder, RequestRecord};
use crate::backend::unix_millis;
use crate::call::CallName;

/// Retry policy of the clients.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    attempts: u32,
    backoff: Duration,
    honour_retry_after: bool,
}

impl RetryPolicy {
    /// Creates the retry policy given by the command-line arguments.
    pub fn from_arguments(arguments: &LoadArguments) -> Self {
        RetryPolicy {
            attempts: arguments.attempts.max(1),
            backoff: Duration::from_millis(arguments.backoff_ms),
            honour_retry_after: arguments.honour_retry_after,
        }
    }

    /// Returns the delay after attempt number `attempt`. The delay doubles with each attempt, is
    /// reduced by a random factor between 0.5 and 1, and is at least the `retry_after` of a refusal
    /// if clients honour it.
    fn retry_delay(
        &self,
        attempt: u32,
        retry_after: Option<Duration>,
        generator: &mut ChaCha8Rng,
    ) -> Duration {
        let backoff = self.backoff * 2u32.saturating_pow(attempt - 1);
        let delay = backoff.mul_f64(generator.random_range(0.5..=1.0));
        match retry_after {
            Some(asked) if self.honour_retry_after => delay.max(asked),
            _ => delay,
        }
    }
}

/// State shared by all requests of one load process.
pub struct Clients {
    /// HTTP client that sends attempts to the nodes.
    pub node_client: NodeClient,
    /// Retry policy of the clients.
    pub retries: RetryPolicy,
    /// Time after a request's start at which a response is no longer useful.
    pub patience: Duration,
    /// Request counts and latencies.
    pub statistics: LoadStatistics,
    /// Writer of the request records.
    pub recorder: Recorder,
}

impl Clients {
    /// Makes a request with its retries, and counts and records its outcome.
    pub async fn make_request(&self, request: String, kind: CallKind, seed: u64) {
        let started = Instant::now();
        self.statistics.count_start(&kind.class);
        let mut record = new_record(request, &kind);
        let outcome = self
            .attempt_with_retries(&mut record, &kind, seed, started)
            .await;
        let elapsed = started.elapsed();
        record.elapsed_ms = elapsed.as_millis() as u64;
        record.outcome = self.final_outcome(&outcome, elapsed);
        record.reason = outcome_reason(outcome);
        self.statistics.count_outcome(&record, elapsed);
        self.recorder.write(&record);
    }

    async fn attempt_with_retries(
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
            record_attempt_outcome(record, &outcome);
            let retry_after = match &outcome {
                AttemptOutcome::Complete | AttemptOutcome::Corrupt => return outcome,
                AttemptOutcome::NotRun { retry_after, .. } => *retry_after,
                AttemptOutcome::Failed(_) | AttemptOutcome::Unknown { .. } => None,
            };
            let delay = self
                .retries
                .retry_delay(record.attempts, retry_after, &mut generator);
            let too_late = started.elapsed() + delay >= self.patience;
            if record.attempts >= self.retries.attempts || too_late {
                return outcome;
            }
            tokio::time::sleep(delay).await;
            self.statistics.count_retry();
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
        let remaining = self.patience.saturating_sub(started.elapsed());
        let timeout = kind.timeout.min(remaining);
        self.node_client
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

fn record_attempt_outcome(record: &mut RequestRecord, outcome: &AttemptOutcome) {
    match outcome {
        AttemptOutcome::NotRun { .. } => record.not_run_attempts.push(record.attempts),
        AttemptOutcome::Complete => record.complete_attempts.push(record.attempts),
        _ => {}
    }
}

fn outcome_reason(outcome: AttemptOutcome) -> String {
    match outcome {
        AttemptOutcome::NotRun { reason, .. } | AttemptOutcome::Unknown { reason } => reason,
        AttemptOutcome::Failed(status) => status.as_u16().to_string(),
        AttemptOutcome::Complete | AttemptOutcome::Corrupt => String::new(),
    }
}
