//! Formats a node's record of an idempotency key.

use lifthollow_protocol::operators::{ClaimRecord, ClaimStatus};

use crate::duration::duration;

/// Formats the record of a key on a node, and the key's replicas.
pub(super) fn show(claim: &ClaimStatus) -> String {
    let mut lines = vec![match &claim.record {
        Some(record) => known(claim, record),
        None => unknown(claim),
    }];
    let epoch = claim.roster_epoch;
    lines.push(format!(
        "replicas by roster {epoch}: {}",
        claim.replicas.join(" ")
    ));
    if !claim.previous_replicas.is_empty() {
        let previous = claim.previous_replicas.join(" ");
        lines.push(format!("replicas by the previous roster: {previous}"));
    }
    lines.join("\n")
}

fn known(claim: &ClaimStatus, record: &ClaimRecord) -> String {
    let ClaimStatus { service, key, .. } = claim;
    let ClaimRecord {
        holder,
        holder_incarnation,
        ..
    } = record;
    format!(
        "{service} {key}: {}\nclaimed by {holder} (incarnation {holder_incarnation}), \
         expires in {}",
        state(record),
        duration(record.expires_in_seconds)
    )
}

fn state(record: &ClaimRecord) -> String {
    let meaning = match record.state.as_str() {
        "claimed" => "its holder may be running the call",
        "recovered" => "learned from another replica; the key is granted to no caller",
        "released" => "its holder released it without a run",
        "completed" => "the call ran and its answer is on record",
        "answer_too_large" => "the call ran; its answer was too large to be recorded",
        "answer_lost" => "the call may have run; its answer was lost",
        _ => "a state unknown to this program",
    };
    match record.status {
        Some(status) => format!("{}, status {status} ({meaning})", record.state),
        None => format!("{} ({meaning})", record.state),
    }
}

fn unknown(claim: &ClaimStatus) -> String {
    let ClaimStatus { service, key, .. } = claim;
    match claim.votes {
        true => format!("{service} {key}: free; this replica has no record of it"),
        false => format!("{service} {key}: no record here, and this node may not vote on it"),
    }
}
