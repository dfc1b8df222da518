//! Attempts for the server beside this node.

mod admission;
pub mod crash_detector;
pub mod in_progress;

use std::cell::Cell;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request, Response, StatusCode};
use lifthollow_coordination::mesh::call::{AttemptEnd, NotRunReason, UnknownReason};
use lifthollow_coordination::mesh::poison::content::CallerContent;
use lifthollow_coordination::mesh::server_health::RunEnd;
use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::InstanceId;
use slog::info;
use tokio::time::{timeout, timeout_at};

use crate::http::body::{self, ReadBody};
use crate::http::headers::remove_single_connection;
use crate::http::pool::{Lease, Reuse, SendError};
use crate::http::server::{ConnectionLimits, Handler};
use crate::http::{ProxyBody, headers};
use crate::inbound::admission::{Permit, admit};
use crate::node::Node;
use crate::peer_headers::{Terms, TreePlace};
use crate::{peer_headers, probe, request_content, snapshots, suspects};

/// Answers up to this size are taken in whole before any of it is passed on, so
/// that one which breaks off can still be asked for elsewhere.
const MAX_HELD_ANSWER: usize = 256 * 1024;
/// How much longer than the caller's node this one waits for its server.
const GIVE_UP_MARGIN: Duration = Duration::from_millis(50);
/// What a request without a deadline gets.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

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
            "revision" => node.revision(), "took_ms" => took);
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
    let time = suspects::refused_for(node, &attempt.server, &attempt.content)?;
    Some(AttemptOutcome {
        end: AttemptEnd::NotRun {
            offered: false,
            reason: NotRunReason::CrashesServers,
            retry_after: Some(time),
        },
        response: None,
    })
}

async fn run(node: &Rc<Node>, mut attempt: Attempt, mut permit: Permit) -> AttemptOutcome {
    let names = &node.names;
    let left = attempt.ends.saturating_since(node.now());
    let headers = attempt.request.headers_mut();
    peer_headers::strip(headers);
    headers.insert(&names.deadline_ms, milliseconds_value(left));
    let id = headers.get(&names.request_id).cloned();
    let reuse = if attempt.terms.may_repeat {
        Reuse::Any
    } else {
        Reuse::Recent
    };
    let connections = &node.server_connections;
    if node.is_own_server_silent() {
        // It may be the connections that are silent. With twelve such, tried one by
        // one, a server was served again after 4.6 s; on a new one, within 1.5 s
        // (test `silent_connections`).
        connections.close_idle(node.settings.server_address);
    }
    let server = attempt.server;
    node.state
        .borrow_mut()
        .server_runs
        .started(permit.run, attempt.content, &server);
    let sending = connections.send(node.settings.server_address, attempt.request, reuse);
    let sent = note_overdue(node, &permit, attempt.tree.is_nested, sending).await;
    permit.end = RunEnd::Failed;
    let (response, lease) = match sent {
        Ok(answered) => answered,
        Err(SendError::NotSent(error)) => {
            node.state.borrow_mut().server_runs.not_run(permit.run);
            crash_detector::note_refused(node, &server, &error);
            return AttemptOutcome::not_run(NotRunReason::ServerUnreachable);
        }
        Err(SendError::Lost(error)) => {
            let reason = lost_reason(node, &server, &error).await;
            return AttemptOutcome::unknown(reason);
        }
    };
    let is_failure = response.status().is_server_error();
    let is_misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
    node.state.borrow_mut().admission.answered(
        node.now(),
        permit.run,
        !is_failure && !is_misdirected,
    );
    if response.headers().get(&names.request_id) != id.as_ref() {
        return AttemptOutcome::unknown(UnknownReason::AnswerInvalid);
    }
    if let Some(end) = server_refusal(node, response.status(), response.headers()) {
        node.state.borrow_mut().server_runs.not_run(permit.run);
        if is_misdirected {
            // The server that was meant is not there: it has failed nothing.
            permit.end = RunEnd::Abandoned;
        }
        finish_reading(response, lease).await;
        return AttemptOutcome {
            end,
            response: None,
        };
    }
    let is_signed = response.headers().contains_key(&names.signature);
    if response.status().is_success() && !is_signed {
        return AttemptOutcome::unknown(UnknownReason::AnswerInvalid);
    }
    permit.answered = true;
    if !is_failure {
        permit.end = RunEnd::Served;
    }
    let took = node.now().saturating_since(permit.started);
    node.metrics.server_duration.observe(took.as_secs_f64());
    take_answer(node, &server, response, lease, permit).await
}

/// Waits for `sending`, and takes note if the server is longer about it than
/// about almost all other runs.
async fn note_overdue<T>(
    node: &Rc<Node>,
    permit: &Permit,
    is_nested: bool,
    sending: impl Future<Output = T>,
) -> T {
    let limit = node.state.borrow().admission.overdue_after(is_nested);
    let Some(limit) = limit else {
        return sending.await;
    };
    let mut sending = pin!(sending);
    if let Ok(sent) = timeout(limit, sending.as_mut()).await {
        return sent;
    }
    let now = node.now();
    node.state.borrow_mut().admission.overdue(now, permit.run);
    sending.await
}

async fn lost_reason(node: &Rc<Node>, server: &InstanceId, error: &hyper::Error) -> UnknownReason {
    if crash_detector::has_crashed(node, server).await {
        UnknownReason::ServerCrashed
    } else if error.is_parse() {
        UnknownReason::AnswerInvalid
    } else {
        UnknownReason::AnswerLost
    }
}

/// What a server's answer says if it says that the request was not run.
fn server_refusal(node: &Rc<Node>, status: StatusCode, headers: &HeaderMap) -> Option<AttemptEnd> {
    let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    if !is_misdirected && !headers.contains_key(&node.names.not_run) {
        return None;
    }
    let reason = if is_misdirected {
        NotRunReason::WrongInstance
    } else {
        NotRunReason::ServerRefused
    };
    let seconds: Option<f64> = peer_headers::number(headers, &node.names.retry_after);
    let retry_after = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    Some(AttemptEnd::NotRun {
        offered: true,
        reason,
        retry_after,
    })
}

async fn finish_reading(response: Response<Incoming>, lease: Lease) {
    if let Ok(ReadBody::Whole(_)) = body::read(response.into_body(), MAX_HELD_ANSWER).await {
        lease.keep();
    }
}

async fn take_answer(
    node: &Rc<Node>,
    server: &InstanceId,
    response: Response<Incoming>,
    lease: Lease,
    mut permit: Permit,
) -> AttemptOutcome {
    let (mut head, incoming) = response.into_parts();
    remove_single_connection(&mut head.headers);
    let body = match body::read(incoming, MAX_HELD_ANSWER).await {
        Err(error) => {
            permit.end = RunEnd::Failed;
            let reason = lost_reason(node, server, &error).await;
            return AttemptOutcome::unknown(reason);
        }
        Ok(ReadBody::Whole(whole)) => {
            lease.keep();
            permit.is_complete.set(true);
            ProxyBody::Whole(whole)
        }
        Ok(ReadBody::Larger { arrived, rest }) => ProxyBody::Passing {
            arrived,
            rest,
            is_complete: permit.is_complete.clone(),
            guard: Box::new((lease, permit)),
        },
    };
    AttemptOutcome {
        end: AttemptEnd::Answered,
        response: Some(Response::from_parts(head, body)),
    }
}

/// A header value of whole milliseconds.
pub fn milliseconds_value(duration: Duration) -> HeaderValue {
    HeaderValue::from(duration.as_millis() as u64)
}

/// The port for other nodes.
pub struct Inbound(pub Rc<Node>);

impl Handler for Inbound {
    async fn handle(self: Rc<Self>, request: Request<Option<Incoming>>) -> Response<ProxyBody> {
        let node = &self.0;
        let arrived = node.now();
        if request.uri().path() != peer_headers::SUSPECTS_PATH {
            // Such a question needs no fresh view. Each node asks it at its start, and
            // idle watchers would ask the store 7 times in 3 s for it, where 6 are allowed
            // (test `watching_takes_few_calls`).
            node.last_request.set(Some(arrived));
        }
        if let Some(sender) = peer_headers::sender(request.headers()) {
            snapshots::note_revision(node, request.headers(), sender);
        }
        match request.uri().path() {
            peer_headers::SNAPSHOT_PATH => {
                return snapshots::answer(node, request.headers(), arrived);
            }
            peer_headers::SUSPECTS_PATH => return suspects::answer(node),
            peer_headers::PROBE_PATH => return probe::answer(node, request.headers()),
            _ => {}
        }
        let request_id = node.names.request_id_of(request.headers());
        let _in_progress = node.attempts_in_progress.enter(request_id);
        let (tree, terms) = peer_headers::tree(request.headers());
        let outcome = match read_attempt(node, request).await {
            Some(attempt) => execute(node, attempt).await,
            None => AttemptOutcome::not_run(NotRunReason::WrongInstance),
        };
        let mut response = answer(node, outcome, tree.is_nested, &terms.zone);
        snapshots::name_view(node, response.headers_mut(), arrived);
        response
    }

    fn connection_limits(&self) -> ConnectionLimits {
        self.0.connection_limits()
    }

    fn accept_refused(&self, error: &io::Error) {
        self.0.note_accept_refused("inbound", error);
    }

    fn accept_resumed(&self, refused: u32) {
        self.0.note_accept_resumed("inbound", refused);
    }
}

async fn read_attempt(node: &Rc<Node>, request: Request<Option<Incoming>>) -> Option<Attempt> {
    let arrived = node.now();
    let (mut head, incoming) = request.into_parts();
    headers::remove_single_connection(&mut head.headers);
    let server = head.headers.get(&node.names.expected_instance)?;
    let server = InstanceId::new(server.to_str().ok()?);
    let left = peer_headers::milliseconds(&head.headers, &node.names.deadline_ms);
    let patience = peer_headers::milliseconds(&head.headers, &peer_headers::PATIENCE);
    let body = body::read(incoming?, MAX_HELD_ANSWER).await.ok()?;
    let body = ProxyBody::from(body);
    let (tree, terms) = peer_headers::tree(&head.headers);
    let caller = head.headers.get(&node.names.caller_service);
    let caller = caller.and_then(|caller| caller.to_str().ok());
    let content = request_content::caller_content(caller.unwrap_or_default(), &head, &body);
    Some(Attempt {
        content,
        tree,
        terms,
        server,
        ends: arrived + left.unwrap_or(DEFAULT_DEADLINE),
        patience: patience.unwrap_or_default(),
        request: Request::from_parts(head, body),
        reuse: Reuse::Any,
        answer_begun: Rc::default(),
    })
}

fn answer(
    node: &Rc<Node>,
    outcome: AttemptOutcome,
    is_nested: bool,
    zone: &str,
) -> Response<ProxyBody> {
    let mut response = outcome.response.unwrap_or_else(|| {
        let mut empty = Response::new(ProxyBody::empty());
        *empty.status_mut() = StatusCode::BAD_GATEWAY;
        empty
    });
    let load = node.own_load(is_nested, zone);
    let headers = response.headers_mut();
    headers.insert(
        peer_headers::OUTCOME,
        peer_headers::outcome_value(&outcome.end),
    );
    headers.insert(peer_headers::LOAD, peer_headers::load_value(&load));
    response
}
