//! Formats nodes' answers for operators.

use std::collections::BTreeMap;

use lifthollow_protocol::operators::{
    Explanation, KnownMember, LeavingStatus, Members, NodeStatus, Refusal, RefusalState,
    ServiceLoad,
};
use lifthollow_protocol::{AdmissionLevel, RefusalReason};

use super::advice::advice;
use super::member;
use crate::columns::Columns;
use crate::duration::duration;

/// Maximum number of refusals that are listed one by one.
const MAX_REFUSALS_LISTED: usize = 20;

/// Formats a summary of a node's state.
pub(super) fn status(status: &NodeStatus) -> String {
    let mut lines = vec![
        format!(
            "node {} (side {}, zone {}, incarnation {}), policy {}, up {}",
            status.node,
            status.side,
            status.zone,
            status.incarnation,
            status.policy,
            duration(status.uptime_seconds)
        ),
        format!("table {}", table_version(status)),
        format!(
            "in progress: {} calls of callers, {} attempts for back ends{}",
            status.calls_in_progress,
            status.attempts_in_progress,
            if status.leaving { "; leaving" } else { "" }
        ),
        format!("servers known: {}", status.members_known),
    ];
    if let Some(fault) = &status.table_fault {
        lines.push(String::new());
        lines.push(format!("the platform's last table was not taken: {fault}"));
    }
    if !status.services.is_empty() {
        lines.push(String::new());
        lines.push(services(&status.services));
    }
    lines.join("\n")
}

fn table_version(status: &NodeStatus) -> String {
    match status.table_number {
        0 => "none in force yet".to_owned(),
        number => format!("{number} ({})", status.table_digest),
    }
}

fn services(services: &[ServiceLoad]) -> String {
    let mut columns = Columns::new(&["service", "in flight", "limit", "queued", "admits from"]);
    for load in services {
        columns.add(vec![
            load.service.clone(),
            load.in_flight.to_string(),
            load.limit.to_string(),
            load.queued.to_string(),
            AdmissionLevel(load.admission_level).to_string(),
        ]);
    }
    columns.render()
}

/// Formats the table in force on all nodes that a node knows, the oldest tables first.
pub(super) fn versions(status: &NodeStatus, members: &Members) -> String {
    let mut members: Vec<&KnownMember> = members.members.iter().collect();
    members.sort_by_key(|known| (known.table_number, &known.table_digest));
    let own = (status.table_number, &status.table_digest);
    let is_behind = |known: &&&KnownMember| {
        known.heard_seconds_ago.is_some() && (known.table_number, &known.table_digest) < own
    };
    let behind = members.iter().filter(is_behind).count();
    let mut columns = Columns::new(&["node", "side", "zone", "table", "heard", "status"]);
    for known in &members {
        columns.add(vec![
            known.node.clone(),
            known.side.clone(),
            known.zone.to_string(),
            member::table(known),
            member::heard(known),
            known.status.clone(),
        ]);
    }
    format!(
        "{} nodes known, {behind} behind this one when last heard\n{}",
        members.len(),
        columns.render()
    )
}

/// Formats the list of all nodes that a node knows.
pub(super) fn members(members: &Members) -> String {
    list(members.members.iter())
}

fn list<'a>(members: impl Iterator<Item = &'a KnownMember>) -> String {
    let mut columns = Columns::new(&["node", "side", "zone", "services", "state", "why"]);
    for known in members {
        columns.add(vec![
            known.node.clone(),
            known.side.clone(),
            known.zone.to_string(),
            known.services.join(" "),
            member::state(known),
            member::why(known),
        ]);
    }
    columns.render()
}

/// Formats whether a node is leaving with its calls and attempts in progress, and
/// which nodes it knows to be leaving.
pub(super) fn leaving(node: &LeavingStatus, members: &Members) -> String {
    let mut text = match node.leaving {
        true => format!(
            "this node is leaving; it still carries {} calls of callers and {} attempts for back ends",
            node.calls_in_progress, node.attempts_in_progress
        ),
        false => "this node is not leaving".to_owned(),
    };
    let leaving: Vec<&KnownMember> = members
        .members
        .iter()
        .filter(|known| known.status == "leaving" || known.listing == "leaving")
        .collect();
    if leaving.is_empty() {
        text.push_str("\nno node is known to be leaving");
    } else {
        text.push_str("\n\nnodes known to be leaving:\n");
        text.push_str(&list(leaving.into_iter()));
    }
    text
}

/// Formats recent refusals: their counts by reason with advice, then the newest ones
/// one by one.
pub(super) fn explanation(explanation: &Explanation) -> String {
    if explanation.refusals.is_empty() {
        return "no refusal is recorded on this node; the entry node and the node beside \
                the back end each record their own"
            .to_owned();
    }
    let mut lines = vec![period(&explanation.refusals)];
    lines.extend(reasons(&explanation.refusals));
    lines.push(String::new());
    lines.push(refusals(&explanation.refusals));
    lines.join("\n")
}

/// Formats the number of refusals that the node has on record, and their period.
fn period(refusals: &[Refusal]) -> String {
    let newest = refusals.first().map_or(0.0, |refusal| refusal.at_seconds);
    let oldest = refusals.last().map_or(0.0, |refusal| refusal.at_seconds);
    let count = refusals.len();
    let noun = if count == 1 { "refusal" } else { "refusals" };
    format!("{count} {noun} on record, from {oldest:.1} s to {newest:.1} s after the node's start")
}

fn reasons(refusals: &[Refusal]) -> Vec<String> {
    let mut counts: BTreeMap<(&str, RefusalReason), usize> = BTreeMap::new();
    for refusal in refusals {
        let key = (refusal.service.as_str(), refusal.reason);
        *counts.entry(key).or_default() += 1;
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    counts
        .into_iter()
        .map(|((service, reason), count)| {
            let advice = advice(reason);
            format!("{service}: {count} x {reason}. {advice}")
        })
        .collect()
}

fn refusals(refusals: &[Refusal]) -> String {
    let headings = [
        "after start",
        "service",
        "outcome",
        "reason",
        "state",
        "request",
    ];
    let mut columns = Columns::new(&headings);
    for refusal in refusals.iter().take(MAX_REFUSALS_LISTED) {
        columns.add(vec![
            format!("{:.3} s", refusal.at_seconds),
            refusal.service.clone(),
            refusal.outcome.to_string(),
            refusal.reason.to_string(),
            state(&refusal.state),
            refusal.request.clone(),
        ]);
    }
    let mut text = columns.render();
    if refusals.len() > MAX_REFUSALS_LISTED {
        let rest = refusals.len() - MAX_REFUSALS_LISTED;
        text.push_str(&format!("\n{rest} older ones are not listed"));
    }
    text
}

fn state(state: &RefusalState) -> String {
    match state {
        RefusalState::Outbound {
            table_number,
            serving,
            suspected,
            leaving,
        } => format!(
            "table {table_number}; servers {serving} serving, {suspected} suspected, {leaving} leaving"
        ),
        RefusalState::Inbound {
            in_flight,
            queued,
            limit,
            admission_level,
            leaving,
        } => format!(
            "{in_flight} of {limit} in flight, {queued} queued, admits from {}{}",
            AdmissionLevel(*admission_level),
            if *leaving { ", leaving" } else { "" }
        ),
    }
}
