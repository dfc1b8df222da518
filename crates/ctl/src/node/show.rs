//! Nodes' answers as text for operators.

use std::collections::BTreeMap;

use super::answers::{Explanation, Leaving, Members, Refusal, RefusalState, ServiceLoad, Status};
use crate::columns::Columns;

/// Refusals that are listed one by one.
const MAX_REFUSALS_LISTED: usize = 20;

/// A node in short.
pub(super) fn status(status: &Status) -> String {
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
    if !status.services.is_empty() {
        lines.push(String::new());
        lines.push(services(&status.services));
    }
    lines.join("\n")
}

fn table_version(status: &Status) -> String {
    match status.table_number {
        0 => "none in force yet".to_owned(),
        number => format!("{number} ({})", status.table_digest),
    }
}

fn services(services: &BTreeMap<String, ServiceLoad>) -> String {
    let mut columns = Columns::new(&["service", "in flight", "limit", "queued", "admitted from"]);
    for (service, load) in services {
        columns.add(vec![
            service.clone(),
            load.in_flight.to_string(),
            load.limit.to_string(),
            load.queued.to_string(),
            load.admission_level.to_string(),
        ]);
    }
    columns.render()
}

/// All servers that a node knows.
pub(super) fn members(members: &Members) -> String {
    let mut columns = Columns::new(&["service", "node", "side", "zone", "state"]);
    for (service, servers) in members {
        for server in servers {
            columns.add(vec![
                service.clone(),
                server.node.clone(),
                server.side.clone(),
                server.zone.to_string(),
                server.state.clone(),
            ]);
        }
    }
    match columns.is_empty() {
        true => "no servers known".to_owned(),
        false => columns.render(),
    }
}

/// Whether a node is leaving, and what it still carries.
pub(super) fn leaving(node: &Leaving, members: &Members) -> String {
    let mut text = match node.leaving {
        true => format!(
            "this node is leaving; it still carries {} calls of callers and {} attempts for back ends",
            node.calls_in_progress, node.attempts_in_progress
        ),
        false => "this node is not leaving".to_owned(),
    };
    let mut leaving = members.clone();
    leaving.retain(|_, servers| {
        servers.retain(|server| server.state == "leaving");
        !servers.is_empty()
    });
    if leaving.is_empty() {
        text.push_str("\nno other server is known to be leaving");
    } else {
        text.push_str("\n\nservers known to be leaving:\n");
        text.push_str(&self::members(&leaving));
    }
    text
}

/// Recent refusals: counted by reason, with advice, then the newest one by one.
pub(super) fn explanation(explanation: &Explanation) -> String {
    if explanation.refusals.is_empty() {
        return "no refusal is recorded on this node; the entry node and the node beside \
                the back end each record their own"
            .to_owned();
    }
    let mut lines = reasons(&explanation.refusals);
    lines.push(String::new());
    lines.push(refusals(&explanation.refusals));
    lines.join("\n")
}

fn reasons(refusals: &[Refusal]) -> Vec<String> {
    let mut counts: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for refusal in refusals {
        let key = (refusal.service.as_str(), refusal.reason.as_str());
        *counts.entry(key).or_default() += 1;
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    counts
        .into_iter()
        .map(|((service, reason), count)| {
            let advice = super::advice::for_word(reason);
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
            refusal.outcome.clone(),
            refusal.reason.clone(),
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
            "{in_flight} of {limit} in flight, {queued} queued, admitted from {admission_level}{}",
            if *leaving { ", leaving" } else { "" }
        ),
    }
}

fn duration(seconds: f64) -> String {
    const MINUTE: u64 = 60;
    const HOUR: u64 = 60 * MINUTE;
    const DAY: u64 = 24 * HOUR;
    let seconds = seconds as u64;
    match seconds {
        0..MINUTE => format!("{seconds} s"),
        MINUTE..HOUR => format!("{} min {} s", seconds / MINUTE, seconds % MINUTE),
        HOUR..DAY => format!("{} h {} min", seconds / HOUR, seconds % HOUR / MINUTE),
        _ => format!("{} d {} h", seconds / DAY, seconds % DAY / HOUR),
    }
}
