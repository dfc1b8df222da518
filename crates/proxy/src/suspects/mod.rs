//! Requests that may crash servers: what this node saw of them, told to other nodes.
//!
//! - [`permission`]: whether and where a request may run;
//! - [`exchange`]: how nodes tell each other what they know.

pub mod exchange;
pub mod permission;

use std::rc::Rc;

use lifthollow_coordination::mesh::poison::content::{CallerContent, ContentFingerprint};
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::InstanceId;
use slog::info;

use crate::node::{Node, TrafficState};
use crate::suspects::exchange::tell;

/// The server beside this node crashed with these contents aboard.
pub(crate) fn note_own_crash(node: &Rc<Node>, server: &InstanceId, contents: &[CallerContent]) {
    let now = node.now();
    let is_new = {
        let mut state = node.state.borrow_mut();
        let is_new = state.suspects.note_crash(now, contents, server);
        clear_what_runs_well(&mut state, now, contents.iter().map(|one| one.content));
        is_new
    };
    log_changes(node, "own");
    if is_new {
        tell(node);
    }
}

/// Another node told that a server crashed under a request of this one.
pub(crate) fn note_crash_of(node: &Rc<Node>, server: &InstanceId, content: &CallerContent) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let aboard = std::slice::from_ref(content);
    state.suspects.note_crash(now, aboard, server);
    clear_what_runs_well(&mut state, now, [content.content]);
    drop(state);
    log_changes(node, "attempt");
}

/// A run of `content` at the server beside this node ended well.
pub(crate) fn note_served(state: &mut TrafficState, now: Timestamp, content: CallerContent) {
    state.suspects.note_served(now, &content);
    state.served_lately.note(now, content);
}

/// What the server beside this node ran well lately is hardly the cause of a crash. What it ran
/// for other callers counts too: it tells whether the content or its caller is the cause.
fn clear_what_runs_well(
    state: &mut TrafficState,
    now: Timestamp,
    contents: impl IntoIterator<Item = ContentFingerprint>,
) {
    for content in contents {
        for (request, served) in state.served_lately.served(now, content) {
            state.suspects.note_served(served, &request);
        }
    }
}

/// Forgets what is over, and tells the gauges what is left.
pub(crate) fn keep_house(node: &Rc<Node>) {
    let mut state = node.state.borrow_mut();
    state.suspects.forget_old(node.now());
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
            "callers" => joined(&change.blocked_callers), "crashed" => joined(&change.servers),
            "blocked_ms" => change.blocked_for.as_millis() as u64, "from" => from);
    }
}

fn joined<T: ToString>(items: &[T]) -> String {
    let texts: Vec<String> = items.iter().map(ToString::to_string).collect();
    texts.join(" ")
}
