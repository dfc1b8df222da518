//! Attempts for the local server.
//!
//! - [`peer_port`]: takes the attempts and other queries of other nodes;
//! - [`admission`]: assigns places in the queue and slots at the server;
//! - [`server_run`]: sends an attempt to the server and classifies its answer;
//! - [`server_notice`]: reads what the server reports about itself in its answers;
//! - [`crash_detector`]: detects whether a server that lost an answer has crashed;
//! - [`in_progress`]: counts the attempts of other nodes that are in progress here.

mod admission;
pub mod crash_detector;
pub mod in_progress;
mod peer_port;
pub mod server_notice;
mod server_run;

pub use admission::start_at_rate_limit;
pub use peer_port::Inbound;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::HeaderValue;
use hyper::{Request, Response};
use lifthollow_coordination::mesh::call::{AttemptEnd, NotRunReason, UnknownReason};
use lifthollow_coordination::mesh::poison::content::CallerContent;
use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{InstanceId, RequestRate};
use slog::info;
use tokio::time::timeout_at;

use crate::http::ProxyBody;
use crate::http::pool::{ConnectionUse, Reuse};
use crate::inbound::admission::admit;
use crate::inbound::server_run::send_to_server;
use crate::node::Node;
use crate::peer_headers;
use crate::peer_headers::{AttemptTerms, CallTreePlace};
use crate::suspects::permission;

/// How much longer than the caller's node the server's node waits for the server's answer.
const SERVER_TIMEOUT_MARGIN: Duration = Duration::from_millis(50);

/// An attempt to have a request answered by one server, made for a caller of this node or sent by
/// another node.
pub struct Attempt {
    /// The request as it is sent to the server, except for its deadline header.
    pub request: Request<ProxyBody>,
    /// Fingerprint of the request's content, with the calling service.
    pub content: CallerContent,
    /// The server instance that is to answer the attempt.
    pub server: InstanceId,
    /// When the caller's node stops waiting for the attempt.
    pub deadline: Timestamp,
    /// The attempt's place in the call tree of its request.
    pub tree: CallTreePlace,
    /// How long the attempt may wait in the server's queue before it runs.
    pub patience: Duration,
    /// The request rate limit that the sending node knows for the server, if any.
    pub limit_known_to_sender: Option<RequestRate>,
    /// Whether the attempt may be redirected or retried, and the zone that it comes from.
    pub terms: AttemptTerms,
    /// Which connections to another node the attempt may be sent on.
    pub reuse: Reuse,
    /// Whether the answer to the attempt has begun to arrive.
    pub has_answer_begun: Rc<Cell<bool>>,
}

/// Outcome of an attempt, with the server's answer if there is one.
pub struct AttemptOutcome {
    /// Outcome of the attempt.
    pub end: AttemptEnd,
    /// The server's answer; none if no answer arrived.
    pub response: Option<Response<ProxyBody>>,
    /// The connection to the local server that the attempt was sent on; none if it was not sent
    /// from here.
    pub sent_on: Option<ConnectionUse>,
}

impl AttemptOutcome {
    /// The outcome of an attempt that was never sent to the server.
    pub fn not_run(reason: NotRunReason) -> Self {
        AttemptOutcome {
            end: AttemptEnd::NotRun {
                offered: false,
                reason,
                retry_after: None,
            },
            response: None,
            sent_on: None,
        }
    }

    /// The outcome of an attempt that the server may have run.
    pub fn unknown(reason: UnknownReason) -> Self {
        AttemptOutcome {
            end: AttemptEnd::Unknown { reason },
            response: None,
            sent_on: None,
        }
    }

    /// The outcome of an attempt that was sent to the local server on a connection, and that it may have
    /// run.
    fn unknown_on(sent_on: ConnectionUse, reason: UnknownReason) -> Self {
        AttemptOutcome {
            sent_on: Some(sent_on),
            ..AttemptOutcome::unknown(reason)
        }
    }
}

/// Runs an attempt on the local server.
pub async fn execute(node: &Rc<Node>, attempt: Attempt) -> AttemptOutcome {
    let logged = LoggedAttempt::of(node, &attempt);
    let outcome = admit_and_run(node, attempt).await;
    logged.log(node, &outcome);
    let failure = peer_headers::failure_labels(&outcome.end);
    let word = failure.map_or(peer_headers::ANSWERED, |(_, why)| why);
    node.metrics.attempts.with_label_values(&[word]).inc();
    outcome
}

/// Data for the log message about an attempt that the server did not answer.
struct LoggedAttempt {
    request_id: String,
    content: CallerContent,
    server: InstanceId,
    tree: CallTreePlace,
    zone: String,
    patience: Duration,
    arrived: Timestamp,
}

impl LoggedAttempt {
    fn of(node: &Rc<Node>, attempt: &Attempt) -> Self {
        let id = node.names.request_id_of(attempt.request.headers());
        LoggedAttempt {
            request_id: id.to_owned(),
            content: attempt.content.clone(),
            server: attempt.server.clone(),
            tree: attempt.tree,
            zone: attempt.terms.zone.clone(),
            patience: attempt.patience,
            arrived: node.now(),
        }
    }

    fn log(&self, node: &Rc<Node>, ended: &AttemptOutcome) {
        let Some((outcome, why)) = peer_headers::failure_labels(&ended.end) else {
            return;
        };
        if !node.may_log() {
            return;
        }
        let load = node.own_load(self.tree.is_nested, &self.zone);
        let now = node.now();
        let took = now.saturating_since(self.arrived).as_millis() as u64;
        let token_wait = node.state.borrow().admission.time_until_token(now);
        info!(node.log, "server did not answer"; "request" => &self.request_id,
            "content" => %self.content,
            "server" => self.server.as_str(), "outcome" => outcome, "why" => why,
            "priority" => AdmissionLevel::of(self.tree.priority).0, "nested" => self.tree.is_nested,
            "running" => load.occupancy.running, "waiting" => load.occupancy.waiting,
            "limit" => load.occupancy.limit, "admission_level" => load.level.0,
            "failure_share" => load.failure_share,
            "token_in_ms" => token_wait.map(|wait| wait.as_millis() as u64),
            "patience_ms" => self.patience.as_millis() as u64,
            "connection" => ended.sent_on.map(|sent_on| sent_on.connection),
            "position" => ended.sent_on.map(|sent_on| sent_on.position),
            "revision" => %node.revision(), "took_ms" => took);
    }
}

async fn admit_and_run(node: &Rc<Node>, attempt: Attempt) -> AttemptOutcome {
    if let Some(refused) = refusal(node, &attempt) {
        return refused;
    }
    let permit = match admit(node, &attempt).await {
        Ok(permit) => permit,
        Err(refused) => return refused,
    };
    if let Some(refused) = refusal(node, &attempt) {
        return refused;
    }
    permission::wait_for_refusal_delay(node, &attempt.content).await;
    if let Some(refused) = refuse_server_crashing(node, &attempt) {
        return refused;
    }
    // The caller's node must time out first, since it decides on the answer to the caller.
    let timeout_end = node
        .clock
        .instant(attempt.deadline + SERVER_TIMEOUT_MARGIN)
        .into();
    match timeout_at(timeout_end, send_to_server(node, attempt, permit)).await {
        Ok(outcome) => outcome,
        Err(_) => AttemptOutcome::unknown(UnknownReason::Silent),
    }
}

/// Refuses an attempt that is meant for another server instance, or that arrives after this node
/// or its server has begun to leave.
fn refusal(node: &Rc<Node>, attempt: &Attempt) -> Option<AttemptOutcome> {
    let reason = match node.takes_attempts() {
        false => Some(NotRunReason::NodeLeaving),
        true => node.refusal_for(&attempt.server),
    };
    reason.map(AttemptOutcome::not_run)
}

/// Refuses an attempt whose content crashes servers. Checked right before the attempt runs, since
/// other nodes may report crashes while it waits.
fn refuse_server_crashing(node: &Rc<Node>, attempt: &Attempt) -> Option<AttemptOutcome> {
    let time = permission::refuse_or_begin_trial(node, &attempt.server, &attempt.content)?;
    Some(AttemptOutcome {
        end: AttemptEnd::NotRun {
            offered: false,
            reason: NotRunReason::CrashesServers,
            retry_after: Some(time),
        },
        response: None,
        sent_on: None,
    })
}

/// Returns `duration` in whole milliseconds as a header value.
pub fn milliseconds_value(duration: Duration) -> HeaderValue {
    HeaderValue::from(duration.as_millis() as u64)
}
