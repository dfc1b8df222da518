//! Sends the attempts of one request: one after another, or a hedge in parallel to an attempt whose
//! server or connection is unresponsive.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::Response;
use lifthollow_coordination::mesh::call::{
    AttemptEnd, Call, FinalAnswer, NextStep, NotRunReason, UnknownReason,
};
use lifthollow_coordination::mesh::nested_calls;
use lifthollow_coordination::mesh::poison::suspicion::PROVING_CRASHES;
use lifthollow_coordination::mesh::retry_budget::{RetryBudgets, RetryKind};
use lifthollow_coordination::mesh::server_requirements::{Candidates, ServerRequirements};
use lifthollow_coordination::mesh::server_selection::Choice;
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::ServerInstance;
use slog::info;
use tokio::time::{sleep, sleep_until};

use crate::http::ProxyBody;
use crate::http::pool::Reuse;
use crate::inbound::{Attempt, AttemptOutcome};
use crate::node::Node;
use crate::outbound::answer::{finish, log_attempt};
use crate::outbound::request::RoutedRequest;
use crate::outbound::send::{outgoing_request, send_attempt};
use crate::peer_headers::{self, AttemptTerms, CallTreePlace};
use crate::probe::{self, Liveness};
use crate::suspects;
use crate::suspects::permission::{self, Permission};

/// An attempt that is in flight.
type PendingAttempt<'a> = Pin<Box<dyn Future<Output = EndedAttempt> + 'a>>;

/// An attempt that has ended.
struct EndedAttempt {
    server: ServerInstance,
    /// When the attempt was sent.
    sent: Timestamp,
    outcome: AttemptOutcome,
}

/// Sends attempts until one is answered or no further one is possible. An attempt whose server
/// stops responding is not cancelled: if the server's node does not answer a probe, or has no such
/// attempt, a second attempt is sent in parallel (a hedge).
pub(super) async fn run_attempts(
    node: &Rc<Node>,
    request: &mut RoutedRequest,
    mut call: Call,
) -> (&'static str, Response<ProxyBody>) {
    let deadline = node.clock.instant(call.deadline()).into();
    let mut pending: FuturesUnordered<PendingAttempt> = FuturesUnordered::new();
    let mut reuse = Reuse::Any;
    permission::wait_for_refusal_delay(node, &request.content).await;
    let mut watch = match start_attempt(node, request, &mut call, reuse, &mut pending) {
        Ok(watch) => watch,
        Err(answer) => return finish(node, request, answer),
    };
    loop {
        let next = tokio::select! {
            biased;
            Some(EndedAttempt { server, sent, outcome }) = pending.next() => {
                if let Some(response) = outcome.response {
                    return ("answered", response);
                }
                record_failure(node, &server, &outcome.end);
                if outcome.end.is_servers_fault() {
                    request.queue_time.record_loss(node.now(), sent);
                }
                record_crash(node, request, &server, &outcome.end);
                log_attempt(node, request, &server, &outcome.end);
                apply_current_kind(node, request, &mut call);
                let is_other_in_progress = !pending.is_empty();
                call.attempt_ended(&server.id, &outcome.end, is_other_in_progress, || may_retry(node, request))
            }
            _ = sleep_until(deadline) => NextStep::Finish(call.timed_out(true)),
            finding = watch.check_progress(node, node.names.request_id_of(&request.head.headers)) => {
                apply_current_kind(node, request, &mut call);
                let is_unresponsive = finding != Finding::InProgress;
                let may_hedge = is_unresponsive
                    && pending.len() == 1
                    && call.may_hedge()
                    && !request.body.is_spent()
                    && crash_count(node, request) == 0;
                if !may_hedge || !try_take_hedge(node, request) {
                    continue;
                }
                if finding == Finding::ConnectionSilent {
                    // The fault that silenced this connection may affect all open connections.
                    reuse = Reuse::New;
                }
                request.queue_time.record_loss(node.now(), watch.sent);
                call.hedge(&watch.server.id);
                NextStep::Attempt
            }
        };
        let answer = match next {
            NextStep::Wait => continue,
            NextStep::Finish(answer) => answer,
            NextStep::Attempt if request.body.is_spent() && pending.is_empty() => call.give_up(),
            NextStep::Attempt => {
                permission::wait_for_refusal_delay(node, &request.content).await;
                match start_attempt(node, request, &mut call, reuse, &mut pending) {
                    Ok(next_watch) => {
                        watch = next_watch;
                        continue;
                    }
                    Err(_) if !pending.is_empty() => continue,
                    Err(answer) => answer,
                }
            }
        };
        return finish(node, request, answer);
    }
}

/// Forbids repeats of the request if the configuration in force does. One in which the request has no
/// route changes nothing.
fn apply_current_kind(node: &Rc<Node>, request: &RoutedRequest, call: &mut Call) {
    let state = node.state.borrow();
    let Some(routes) = &state.routes else {
        return;
    };
    if routes.version() == request.route.version {
        return;
    }
    let route = routes.find(request.host(), request.head.uri.path());
    if route.is_some_and(|route| !route.is_idempotent()) {
        call.forbid_repeats();
    }
}

/// Result of the check of an attempt whose answer is late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Finding {
    /// The attempt may still be answered.
    InProgress,
    /// The attempt's server loses answers, or the server or its node does not respond.
    ServerUnresponsive,
    /// The connection that the attempt was sent on is unresponsive.
    ConnectionSilent,
}

/// Checks whether the server or the connection of an attempt in progress has stopped responding.
struct AttemptWatch {
    server: ServerInstance,
    sent: Timestamp,
    /// When the attempt is checked next.
    next_check: Timestamp,
    /// How long the server may take to answer before the attempt is checked.
    response_timeout: Duration,
    is_nested: bool,
    has_answer_begun: Rc<Cell<bool>>,
}

impl AttemptWatch {
    /// Waits until the next check is due and runs it. An attempt counts as lost if its server loses
    /// answers, or if the server has answered nothing since the attempt was sent and the server's
    /// node does not answer a probe or has no such attempt.
    async fn check_progress(&mut self, node: &Rc<Node>, request_id: &str) -> Finding {
        sleep_until(node.clock.instant(self.next_check).into()).await;
        let now = node.now();
        let (loses_answers, is_unresponsive) = {
            let state = node.state.borrow();
            let id = &self.server.id;
            let is_unresponsive = state
                .servers
                .is_unresponsive(now, id, self.sent, self.is_nested);
            (state.servers.loses_answers(now, id), is_unresponsive)
        };
        if loses_answers {
            self.next_check = now + self.response_timeout;
            return Finding::ServerUnresponsive;
        }
        let finding = match is_unresponsive {
            true => self.probe(node, request_id).await,
            false => Finding::InProgress,
        };
        self.next_check = node.now() + self.response_timeout;
        finding
    }

    async fn probe(&self, node: &Rc<Node>, request_id: &str) -> Finding {
        match probe::send_probe(node, &self.server, Some(request_id)).await {
            Liveness::Alive => Finding::InProgress,
            Liveness::Silent => {
                probe::mark_suspect(node, &self.server, "silent");
                Finding::ServerUnresponsive
            }
            Liveness::AttemptNotFound if self.has_answer_begun.get() => Finding::InProgress,
            Liveness::AttemptNotFound => {
                let address = node.node_beside(&self.server);
                info!(node.log, "connection silent"; "request" => request_id,
                    "server" => self.server.id.as_str(), "node" => %address);
                node.peer_connections.close_idle(address);
                Finding::ConnectionSilent
            }
        }
    }
}

/// Starts an attempt at the server that is chosen for it, and returns the watch of that attempt.
///
/// # Errors
///
/// No attempt is possible: the request is out of time or blocked, no server can take it, or its
/// body can't be sent again.
fn start_attempt<'a>(
    node: &'a Rc<Node>,
    request: &mut RoutedRequest,
    call: &mut Call,
    reuse: Reuse,
    pending: &mut FuturesUnordered<PendingAttempt<'a>>,
) -> Result<AttemptWatch, FinalAnswer> {
    let sent = node.now();
    if sent >= call.deadline() {
        return Err(call.timed_out(false));
    }
    let permission = permission::permission(node, &request.route.service, &request.content);
    if let Permission::Blocked(time) = permission {
        return Err(call.blocked(time));
    }
    let choice = choose_server(node, request, call, &permission).ok_or_else(|| call.give_up())?;
    let server = choice.server;
    let body = request.body.take().ok_or_else(|| call.give_up())?;
    let response_timeout = {
        let mut state = node.state.borrow_mut();
        let service = &request.route.service;
        match (call.is_new(), request.tree.is_retry) {
            (true, false) => state.budgets.record_request(sent, service),
            (true, true) => state.budgets.record_inherited_retry(sent, service),
            (false, _) => {}
        }
        state.servers.record_attempt_sent(sent, &server.id);
        state
            .servers
            .response_timeout(&server.id, request.tree.is_nested)
    };
    let in_flight = InFlightGuard {
        node,
        server: server.clone(),
    };
    let attempt = Attempt {
        request: outgoing_request(node, request, &server, body),
        content: request.content.clone(),
        server: server.id.clone(),
        deadline: call.deadline(),
        tree: CallTreePlace {
            is_retry: request.tree.is_retry || call.is_retry(),
            ..request.tree
        },
        patience: request.queue_time.max_wait(sent, call.deadline()),
        terms: AttemptTerms {
            zone: node.settings.zone.clone(),
            has_alternative: choice.has_alternative && call.may_be_refused_by_failing_server(),
            may_retry: call.may_retry(),
        },
        limit_known_to_sender: node.state.borrow().servers.limit_of(&server.id),
        reuse,
        has_answer_begun: Rc::default(),
    };
    let has_answer_begun = attempt.has_answer_begun.clone();
    let pause = call.delay_before(&server.id);
    pending.push(Box::pin(async move {
        if !pause.is_zero() {
            sleep(pause).await;
        }
        let outcome = send_attempt(node, &in_flight.server, attempt).await;
        EndedAttempt {
            server: in_flight.server.clone(),
            sent,
            outcome,
        }
    }));
    Ok(AttemptWatch {
        server,
        sent,
        next_check: sent + response_timeout,
        response_timeout,
        is_nested: request.tree.is_nested,
        has_answer_begun,
    })
}

/// Counts an attempt as in flight at its server until dropped.
struct InFlightGuard<'a> {
    node: &'a Rc<Node>,
    server: ServerInstance,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        state.servers.record_attempt_ended(&self.server.id);
    }
}

fn choose_server(
    node: &Rc<Node>,
    request: &RoutedRequest,
    call: &Call,
    permission: &Permission,
) -> Option<Choice> {
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    let service = &request.route.service;
    let now = node.now();
    let purpose = nested_calls::purpose(&state.budgets, now, service, request.tree.is_nested);
    let permitted = |candidates: Candidates| match permission {
        Permission::Only(server) => candidates.only(server),
        Permission::Anywhere | Permission::Blocked(_) => Some(candidates),
    };
    call.candidates()
        .filter_map(permitted)
        .find_map(|candidates| {
            let requirements = ServerRequirements {
                candidates: &candidates,
                may_retry: call.may_retry(),
                purpose,
            };
            state
                .servers
                .choose(now, service, requirements, &mut state.random)
        })
}

/// The number of server crashes during which a request with the same content was running.
fn crash_count(node: &Rc<Node>, request: &RoutedRequest) -> usize {
    node.state
        .borrow()
        .suspects
        .counted_crashes(&request.content.content)
}

/// Whether another attempt may be sent although a server may have run the request.
///
/// A request that was running during two crashes is not retried by this node: if it is the cause,
/// its third run proves that, and that run should be its caller's next try rather than one of many
/// retries.
fn may_retry(node: &Rc<Node>, request: &RoutedRequest) -> bool {
    crash_count(node, request) + 1 < PROVING_CRASHES && try_take_retry(node, request)
}

/// Records at this node, without waiting for a report, that the server crashed while it ran this
/// request's content.
fn record_crash(
    node: &Rc<Node>,
    request: &RoutedRequest,
    server: &ServerInstance,
    end: &AttemptEnd,
) {
    let crashed = AttemptEnd::Unknown {
        reason: UnknownReason::ServerCrashed,
    };
    if *end == crashed {
        suspects::record_reported_crash(node, &server.id, &request.content);
    }
}

fn try_take_retry(node: &Rc<Node>, request: &RoutedRequest) -> bool {
    take_from_budget(node, request, RetryBudgets::try_take_retry)
}

fn try_take_hedge(node: &Rc<Node>, request: &RoutedRequest) -> bool {
    take_from_budget(node, request, RetryBudgets::try_take_hedge)
}

fn take_from_budget(
    node: &Rc<Node>,
    request: &RoutedRequest,
    try_take: impl FnOnce(&mut RetryBudgets, Timestamp, &str, RetryKind) -> bool,
) -> bool {
    let now = node.now();
    let retry_kind = match request.tree.is_nested {
        true => RetryKind::NestedCall,
        false => RetryKind::Request,
    };
    let mut state = node.state.borrow_mut();
    let is_taken = try_take(&mut state.budgets, now, &request.route.service, retry_kind);
    if is_taken {
        node.metrics.retries.inc();
    }
    is_taken
}

/// Records that a server lost an answer, could not be reached, or is no longer to be used.
fn record_failure(node: &Rc<Node>, server: &ServerInstance, end: &AttemptEnd) {
    let reason = match end {
        AttemptEnd::Answered => return,
        AttemptEnd::Unknown { .. } => {
            let now = node.now();
            return node
                .state
                .borrow_mut()
                .servers
                .record_lost_answer(now, &server.id);
        }
        AttemptEnd::NotRun { reason, .. } => *reason,
    };
    match reason {
        NotRunReason::ServerFailing
        | NotRunReason::RateLimited
        | NotRunReason::QueueFull
        | NotRunReason::QueueTimeout
        | NotRunReason::DownstreamOverloaded
        | NotRunReason::CrashesServers
        | NotRunReason::ServerRefused => {}
        NotRunReason::ServerDraining | NotRunReason::WrongInstance => {
            let now = node.now();
            let mut state = node.state.borrow_mut();
            if reason == NotRunReason::WrongInstance {
                state.servers.record_misdirected(now, &server.id);
            } else {
                state.servers.withdraw(&server.id);
            }
            drop(state);
            info!(node.log, "server withdrawn"; "server" => server.id.as_str(),
                "service" => &server.service, "why" => peer_headers::not_run_label(reason),
                "revision" => %node.revision());
        }
        NotRunReason::NodeUnreachable
        | NotRunReason::NodeLeaving
        | NotRunReason::ServerUnreachable => {
            probe::mark_suspect(node, server, peer_headers::not_run_label(reason));
        }
    }
}
