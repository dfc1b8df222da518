//! Attempts for the server beside this node.
//!
//! - [`peer_port`]: attempts of other nodes, and what else they ask;
//! - [`admission`]: places in the queue and slots at the server;
//! - [`server_run`]: an attempt at the server, and what its answer says;
//! - [`server_notice`]: what the server says of itself in its answers;
//! - [`crash_detector`]: whether a server that lost an answer has crashed;
//! - [`in_progress`]: which requests other nodes have an attempt of here.

mod admission;
pub mod crash_detector;
pub mod in_progress;
mod peer_port;
pub mod server_notice;
mod server_run;

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
use crate::http::pool::Reuse;
use crate::inbound::admission::admit;
use crate::inbound::server_run::run;
use crate::node::Node;
use crate::peer_headers;
use crate::peer_headers::{Terms, TreePlace};
use crate::suspects::permission;

/// How much longer than the caller's node this one waits for its server.
const GIVE_UP_MARGIN: Duration = Duration::from_millis(50);

/// An attempt, as it came from this node's callers or from another node.
pub struct Attempt {
    /// The request, as it goes to the server but for its deadline.
    pub request: Request<ProxyBody>,
    /// What it asks of the server.
    pub content: CallerContent,
    /// The server that is meant.
    pub server: InstanceId,
    /// When the caller's node gives it up.
    pub ends: Timestamp,
    /// Its place in the tree of its request.
    pub tree: TreePlace,
    /// How long it may wait before it runs.
    pub patience: Duration,
    /// The limit that the server named to the sender, if it did.
    pub told_limit: Option<RequestRate>,
    /// What it allows, and where it comes from.
    pub terms: Terms,
    /// On which connections to another node it may be sent.
    pub reuse: Reuse,
    /// Whether its answer has begun to arrive.
    pub answer_begun: Rc<Cell<bool>>,
}

/// How an attempt ended, with the server's answer if there is one.
pub struct AttemptOutcome {
    /// How it ended.
    pub end: AttemptEnd,
    /// The server's answer.
    pub response: Option<Response<ProxyBody>>,
}

impl AttemptOutcome {
    /// The server was not asked.
    pub fn not_run(reason: NotRunReason) -> Self {
        AttemptOutcome {
            end: AttemptEnd::NotRun {
                offered: false,
                reason,
                retry_after: None,
            },
            response: None,
        }
    }

    /// It may have run.
    pub fn unknown(reason: UnknownReason) -> Self {
        AttemptOutcome {
            end: AttemptEnd::Unknown { reason },
            response: None,
        }
    }
}

/// Runs an attempt on the server beside this node.
pub async fn execute(node: &Rc<Node>, attempt: Attempt) -> AttemptOutcome {
    let logged = LoggedAttempt::of(node, &attempt);
    let outcome = admit_and_run(node, attempt).await;
    logged.log(node, &outcome.end);
    let failure = peer_headers::failure_words(&outcome.end);
    let word = failure.map_or(peer_headers::ANSWERED, |(_, why)| why);
    node.metrics.attempts.with_label_values(&[word]).inc();
    outcome
}

/// What is said of an attempt that the server did not answer.
struct LoggedAttempt {
    request_id: String,
    content: CallerContent,
    server: InstanceId,
    tree: TreePlace,
    zone: String,
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
            arrived: node.now(),
        }
    }

    fn log(&self, node: &Rc<Node>, end: &AttemptEnd) {
        let Some((outcome, why)) = peer_headers::failure_words(end) else {
            return;
        };
        if !node.may_log() {
            return;
        }
        let load = node.own_load(self.tree.is_nested, &self.zone);
        let took = node.now().saturating_since(self.arrived).as_millis() as u64;
        info!(node.log, "server did not answer"; "request" => &self.request_id,
            "content" => %self.content,
            "server" => self.server.as_str(), "outcome" => outcome, "why" => why,
            "priority" => AdmissionLevel::of(self.tree.priority).0, "nested" => self.tree.is_nested,
            "running" => load.occupancy.running, "waiting" => load.occupancy.waiting,
            "limit" => load.occupancy.limit, "admission_level" => load.level.0,
            "failure_share" => load.failure_share,
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
    permission::settled(node, &attempt.content).await;
    if let Some(refused) = refuse_poison(node, &attempt) {
        return refused;
    }
    // The caller's node gives up first, and knows best what to tell.
    let ends = node.clock.instant(attempt.ends + GIVE_UP_MARGIN).into();
    match timeout_at(ends, run(node, attempt, permit)).await {
        Ok(outcome) => outcome,
        Err(_) => AttemptOutcome::unknown(UnknownReason::Silent),
    }
}

/// Whether the attempt can't be for the server beside this node, or comes too
/// late for it.
fn refusal(node: &Rc<Node>, attempt: &Attempt) -> Option<AttemptOutcome> {
    let reason = match node.takes_attempts() {
        false => Some(NotRunReason::NodeLeaving),
        true => node.refusal_for(&attempt.server),
    };
    reason.map(AttemptOutcome::not_run)
}

/// Whether the attempt would crash the server. It is asked right before it runs, since
/// that may be found out while it waits.
fn refuse_poison(node: &Rc<Node>, attempt: &Attempt) -> Option<AttemptOutcome> {
    let time = permission::refused_for(node, &attempt.server, &attempt.content)?;
    Some(AttemptOutcome {
        end: AttemptEnd::NotRun {
            offered: false,
            reason: NotRunReason::CrashesServers,
            retry_after: Some(time),
        },
        response: None,
    })
}

/// A header value of whole milliseconds.
pub fn milliseconds_value(duration: Duration) -> HeaderValue {
    HeaderValue::from(duration.as_millis() as u64)
}
