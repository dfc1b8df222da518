//! Status page of one idempotency key, for operators.

use lifthollow_coordination::claims::KeyReport;
use lifthollow_coordination::claims::record::{Record, RecordState};
use lifthollow_protocol::RecordedOutcome;
use lifthollow_protocol::operators::{ClaimRecord, ClaimStatus};
use lifthollow_state::{NodeId, Timestamp};

/// Builds the status page of one key from the report that the control thread made
/// at `now`.
pub fn claim_status(now: Timestamp, service: &str, key: &str, report: &KeyReport) -> ClaimStatus {
    ClaimStatus {
        service: service.to_owned(),
        key: key.to_owned(),
        roster_epoch: report.roster_epoch,
        replicas: addresses(&report.replicas.current),
        previous_replicas: addresses(&report.replicas.previous),
        votes: report.may_vote,
        record: report
            .record
            .as_ref()
            .map(|record| claim_record(now, record)),
    }
}

fn addresses(nodes: &[NodeId]) -> Vec<String> {
    nodes.iter().map(NodeId::to_string).collect()
}

fn claim_record(now: Timestamp, record: &Record) -> ClaimRecord {
    ClaimRecord {
        state: state_of(record).to_owned(),
        holder: record.holder.node.to_string(),
        holder_incarnation: record.holder.incarnation.0,
        status: status_of(record),
        expires_in_seconds: (record.expires_at - now).as_secs_f64(),
    }
}

fn state_of(record: &Record) -> &'static str {
    match &record.state {
        RecordState::Claimed => "claimed",
        RecordState::Recovered => "recovered",
        RecordState::Released => "released",
        RecordState::Finished(RecordedOutcome::Completed(_)) => "completed",
        RecordState::Finished(RecordedOutcome::AnswerTooLarge) => "answer_too_large",
        RecordState::Finished(RecordedOutcome::AnswerLost) => "answer_lost",
    }
}

fn status_of(record: &Record) -> Option<u16> {
    match record.outcome() {
        Some(RecordedOutcome::Completed(answer)) => Some(answer.status),
        _ => None,
    }
}
