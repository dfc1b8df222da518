//! Reads, logs and counts what the local server reports about itself in its answers:
//! its request rate limit, and whether it is leaving.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use lifthollow_state::mesh::{InstanceId, RequestRate, ServerNotice};
use slog::{info, warn};

use crate::metrics::NO_LIMIT;
use crate::node::Node;

/// The largest number of unreadable limit values that are remembered, so that each is logged only
/// once. Once the memory is full, further values are not logged.
const MAX_REMEMBERED_INVALID_LIMITS: usize = 32;

/// Log state for the notices of the local server.
#[derive(Default)]
pub struct NoticeLog {
    /// The server's notice that was logged last.
    logged: RefCell<ServerNotice>,
    /// Limit values that could not be parsed, each with the server that sent it.
    invalid_limits: RefCell<HashSet<(InstanceId, HeaderValue)>>,
}

impl NoticeLog {
    /// Remembers an unreadable limit value of `server`. Returns whether it should be logged: it is
    /// new, and there was still room to remember it.
    fn remember_invalid(&self, server: &InstanceId, value: &HeaderValue) -> bool {
        let mut invalid_limits = self.invalid_limits.borrow_mut();
        invalid_limits.len() < MAX_REMEMBERED_INVALID_LIMITS
            && invalid_limits.insert((server.clone(), value.clone()))
    }
}

/// Applies what the headers of an answer from `server` report about the server itself.
pub(super) fn apply_notice(node: &Rc<Node>, server: &InstanceId, headers: &HeaderMap) {
    let notice = ServerNotice {
        limit: parse_limit(node, server, headers),
        is_leaving: is_leaving(node, headers),
    };
    log_change(node, server, notice);
    let mut state = node.state.borrow_mut();
    let started = state.admission.record_notice(node.now(), server, notice);
    node.update_waiting(&mut state, started);
}

fn is_leaving(node: &Rc<Node>, headers: &HeaderMap) -> bool {
    let value = headers.get(&node.names.server_leaving);
    value.is_some_and(|value| value == node.names.leaving_value)
}

/// Parses the request rate limit that the server's answer names; none if it names none or an
/// unreadable one.
fn parse_limit(node: &Rc<Node>, server: &InstanceId, headers: &HeaderMap) -> Option<RequestRate> {
    let value = headers.get(&node.names.server_limit)?;
    let text = value.to_str().unwrap_or_default();
    match text.parse() {
        Ok(limit) => Some(limit),
        Err(error) => {
            if node.notice_log.remember_invalid(server, value) {
                warn!(node.log, "server limit not understood"; "server" => %server,
                    "value" => text, "error" => %error);
            }
            None
        }
    }
}

/// Logs a change of the server's notice and updates its metrics.
fn log_change(node: &Rc<Node>, server: &InstanceId, notice: ServerNotice) {
    let before = node.notice_log.logged.replace(notice);
    if notice == before {
        return;
    }
    let metrics = &node.metrics.server_notice;
    metrics.is_leaving.set(i64::from(notice.is_leaving));
    if notice.is_leaving != before.is_leaving {
        info!(node.log, "server says whether it leaves"; "server" => %server,
            "leaves" => notice.is_leaving, "revision" => %node.revision());
    }
    if notice.limit == before.limit {
        return;
    }
    let per_second = |limit: RequestRate| limit.per_second();
    metrics.limit.set(notice.limit.map_or(NO_LIMIT, per_second));
    if before.limit.is_none() || notice.limit.is_none() {
        let since = notice.limit.map_or(0.0, |_| unix_seconds());
        metrics.limited_since.set(since);
    }
    info!(node.log, "server limit changed"; "server" => %server,
        "per_s" => notice.limit.map(per_second), "before_per_s" => before.limit.map(per_second),
        "revision" => %node.revision());
}

fn unix_seconds() -> f64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_secs_f64()
}
