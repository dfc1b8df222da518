//! Requests that may crash servers: what this node and others observed of them, and where they may
//! run.
//!
//! - [`permission`]: decides whether and where a request may run;
//! - [`exchange`]: exchanges reports of crashes between nodes.

pub mod exchange;
pub mod permission;

use std::rc::Rc;

use lifthollow_coordination::mesh::poison::content::{CallerContent, ContentFingerprint};
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::InstanceId;
use slog::info;

use crate::node::{Node, TrafficState};
use crate::suspects::exchange::announce;

/// Records that the local server crashed while it ran requests with these contents.
pub(crate) fn record_own_crash(node: &Rc<Node>, server: &InstanceId, contents: &[CallerContent]) {
    let now = node.now();
    let is_new = {
        let mut state = node.state.borrow_mut();
        let is_new = state.suspects.record_crash(now, contents, server);
        clear_successfully_run_contents(&mut state, now, contents.iter().map(|one| one.content));
        is_new
    };
    log_changes(node, "own");
    if is_new {
        announce(node);
    }
}

/// Records that another node reported a crash of its server while it ran a request sent by this
/// node.
pub(crate) fn record_reported_crash(node: &Rc<Node>, server: &InstanceId, content: &CallerContent) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let running = std::slice::from_ref(content);
    state.suspects.record_crash(now, running, server);
    clear_successfully_run_contents(&mut state, now, [content.content]);
    drop(state);
    log_changes(node, "attempt");
}

/// Records that the local server ran a request with `content` to its end.
pub(crate) fn record_successful_run(
    state: &mut TrafficState,
    now: Timestamp,
    content: CallerContent,
) {
    state.suspects.record_successful_run(now, &content);
    state
        .recent_successful_runs
        .record_successful_run(now, content);
}

/// Counts recent successful runs of `contents` at the local server against the suspicion
/// that they cause crashes. Runs for other callers count too: they show whether the content or its
/// caller is the cause.
fn clear_successfully_run_contents(
    state: &mut TrafficState,
    now: Timestamp,
    contents: impl IntoIterator<Item = ContentFingerprint>,
) {
    for content in contents {
        for (request, served) in state
            .recent_successful_runs
            .successful_runs_by_caller(now, content)
        {
            state.suspects.record_successful_run(served, &request);
        }
    }
}

/// Forgets expired reports of crashes, and updates the gauges of suspected and proven contents.
pub(crate) fn expire_and_update_gauges(node: &Rc<Node>) {
    let mut state = node.state.borrow_mut();
    state.suspects.drop_expired_evidence(node.now());
    let (suspected, proven) = state.suspects.counts();
    drop(state);
    let gauge = &node.metrics.suspects;
    let suspected_only = (suspected - proven) as i64;
    gauge.with_label_values(&["suspected"]).set(suspected_only);
    gauge.with_label_values(&["proven"]).set(proven as i64);
    log_changes(node, "own");
}

fn log_changes(node: &Rc<Node>, from: &str) {
    let changes = node.state.borrow_mut().suspects.take_changes(node.now());
    for change in changes {
        let message = match change.blocked_callers.is_empty() {
            false => "content blocked",
            true => "content admitted again",
        };
        info!(node.log, "{}", message; "content" => %change.content,
            "callers" => join_with_spaces(&change.blocked_callers), "crashed" => join_with_spaces(&change.servers),
            "blocked_ms" => change.blocked_for.as_millis() as u64, "from" => from);
    }
}

fn join_with_spaces<T: ToString>(items: &[T]) -> String {
    let texts: Vec<String> = items.iter().map(ToString::to_string).collect();
    texts.join(" ")
}
