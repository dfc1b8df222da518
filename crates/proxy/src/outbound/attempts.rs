//! The attempts of one request.

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
use lifthollow_coordination::mesh::poison::suspicion::PROOF;
use lifthollow_coordination::mesh::retry_budget::{Repeated, RetryBudgets};
use lifthollow_coordination::mesh::server_selection::Choice;
use lifthollow_coordination::mesh::server_wanted::{Candidates, Wanted};
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
use crate::outbound::send::{outgoing_request, send};
use crate::peer_headers::{self, Terms, TreePlace};
use crate::probe::{self, Liveness};
use crate::suspects;
use crate::suspects::permission::{self, Permission};

/// The part of the target latency that a request may spend in queues.
const QUEUE_SHARE: f64 = 0.2;
/// The part of the time it has left that a nested call may spend in queues.
const NESTED_QUEUE_SHARE: f64 = 0.5;
/// Time in queues for routes without a target latency.
const DEFAULT_QUEUE_TIME: Duration = Duration::from_millis(200);

/// An attempt on its way, with the server it went to.
type Sending<'a> = Pin<Box<dyn Future<Output = (ServerInstance, AttemptOutcome)> + 'a>>;

/// Sends attempts until one is answered or none is left. An attempt whose server
/// falls silent is not given up: if its node doesn't answer either, another runs
/// beside it.
pub(super) async fn attempts(
    node: &Rc<Node>,
    request: &mut RoutedRequest,
    mut call: Call,
) -> (&'static str, Response<ProxyBody>) {
    let ends = node.clock.instant(call.ends()).into();
    let mut sending: FuturesUnordered<Sending> = FuturesUnordered::new();
    let mut reuse = Reuse::Any;
    permission::settled(node, &request.content).await;
    let mut watched = match start(node, request, &mut call, reuse, &mut sending) {
        Ok(watched) => watched,
        Err(answer) => return finish(node, request, answer),
    };
    loop {
        let next = tokio::select! {
            biased;
            Some((server, outcome)) = sending.next() => {
                if let Some(response) = outcome.response {
                    return ("answered", response);
                }
                note_failure(node, &server, &outcome.end);
                note_crash(node, request, &server, &outcome.end);
                log_attempt(node, request, &server, &outcome.end);
                let is_other_in_progress = !sending.is_empty();
                call.attempt_ended(&server.id, &outcome.end, is_other_in_progress, || may_repeat(node, request))
            }
            _ = sleep_until(ends) => NextStep::Finish(call.timed_out(true)),
            finding = watched.look(node, node.names.request_id_of(&request.head.headers)) => {
                let is_lost = finding != Finding::InProgress;
                let may_hedge = is_lost
                    && sending.len() == 1
                    && call.may_hedge()
                    && !request.body.is_spent()
                    && crashes(node, request) == 0;
                if !may_hedge || !pay_for_hedge(node, request) {
                    continue;
                }
                if finding == Finding::ConnectionLost {
                    // What struck this connection may have struck all that were open.
                    reuse = Reuse::New;
                }
                call.hedge(&watched.server.id);
                NextStep::Attempt
            }
        };
        let answer = match next {
            NextStep::Wait => continue,
            NextStep::Finish(answer) => answer,
            NextStep::Attempt if request.body.is_spent() => call.give_up(),
            NextStep::Attempt => {
                permission::settled(node, &request.content).await;
                match start(node, request, &mut call, reuse, &mut sending) {
                    Ok(started) => {
                        watched = started;
                        continue;
                    }
                    Err(_) if !sending.is_empty() => continue,
                    Err(answer) => answer,
                }
            }
        };
        return finish(node, request, answer);
    }
}

/// What is found of an attempt whose answer is late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Finding {
    /// It may still be answered.
    InProgress,
    /// Its server loses answers, or doesn't answer.
    ServerLost,
    /// Its connection is silent.
    ConnectionLost,
}

/// Watches whether a server that has an attempt falls silent.
struct Watched {
    server: ServerInstance,
    sent: Timestamp,
    check: Timestamp,
    silence: Duration,
    is_nested: bool,
    has_answer_begun: Rc<Cell<bool>>,
}

impl Watched {
    /// Resolves when it is time to look. An attempt is lost if its server loses
    /// answers, or has answered nothing since it was sent and its node doesn't answer a
    /// probe, or has no such attempt.
    async fn look(&mut self, node: &Rc<Node>, request_id: &str) -> Finding {
        sleep_until(node.clock.instant(self.check).into()).await;
        let now = node.now();
        let (loses_answers, is_quiet) = {
            let state = node.state.borrow();
            let id = &self.server.id;
            let is_quiet = state.servers.is_silent(now, id, self.sent, self.is_nested);
            (state.servers.loses_answers(now, id), is_quiet)
        };
        if loses_answers {
            self.check = now + self.silence;
            return Finding::ServerLost;
        }
        let finding = match is_quiet {
            true => self.probe(node, request_id).await,
            false => Finding::InProgress,
        };
        self.check = node.now() + self.silence;
        finding
    }

    async fn probe(&self, node: &Rc<Node>, request_id: &str) -> Finding {
        match probe::ask(node, &self.server, Some(request_id)).await {
            Liveness::Alive => Finding::InProgress,
            Liveness::Silent => {
                probe::set_aside(node, &self.server, "silent");
                Finding::ServerLost
            }
            Liveness::AttemptNotThere if self.has_answer_begun.get() => Finding::InProgress,
            Liveness::AttemptNotThere => {
                let address = node.node_beside(&self.server);
                info!(node.log, "connection silent"; "request" => request_id,
                    "server" => self.server.id.as_str(), "node" => %address);
                node.peer_connections.close_idle(address);
                Finding::ConnectionLost
            }
        }
    }
}

/// Starts an attempt at the server that suits best.
fn start<'a>(
    node: &'a Rc<Node>,
    request: &mut RoutedRequest,
    call: &mut Call,
    reuse: Reuse,
    sending: &mut FuturesUnordered<Sending<'a>>,
) -> Result<Watched, FinalAnswer> {
    let sent = node.now();
    if sent >= call.ends() {
        return Err(call.timed_out(false));
    }
    let permission = permission::permission(node, &request.route.service, &request.content);
    if let Permission::Blocked(time) = permission {
        return Err(call.blocked(time));
    }
    let choice = choose_server(node, request, call, &permission).ok_or_else(|| call.give_up())?;
    let server = choice.server;
    let body = request.body.take().ok_or_else(|| call.give_up())?;
    let silence = {
        let mut state = node.state.borrow_mut();
        let service = &request.route.service;
        match (call.is_new(), request.tree.is_repeat) {
            (true, false) => state.budgets.deposit(sent, service),
            (true, true) => state.budgets.inherited(sent, service),
            (false, _) => {}
        }
        state.servers.sent(sent, &server.id);
        state.servers.silence(&server.id, request.tree.is_nested)
    };
    let in_flight = InFlight {
        node,
        server: server.clone(),
    };
    let attempt = Attempt {
        request: outgoing_request(node, request, &server, body),
        content: request.content.clone(),
        server: server.id.clone(),
        deadline: call.ends(),
        tree: TreePlace {
            is_repeat: request.tree.is_repeat || call.is_repeat(),
            ..request.tree
        },
        patience: queue_patience(request, sent, call.ends()),
        terms: Terms {
            zone: node.settings.zone.clone(),
            may_go_elsewhere: choice.has_alternative && call.may_be_turned_away(),
            may_repeat: request.route.route.is_idempotent(),
        },
        limit_known_to_sender: node.state.borrow().servers.limit_of(&server.id),
        reuse,
        has_answer_begun: Rc::default(),
    };
    let has_answer_begun = attempt.has_answer_begun.clone();
    let pause = call.pause_before(&server.id);
    sending.push(Box::pin(async move {
        if !pause.is_zero() {
            sleep(pause).await;
        }
        let outcome = send(node, &in_flight.server, attempt).await;
        (in_flight.server.clone(), outcome)
    }));
    Ok(Watched {
        server,
        sent,
        check: sent + silence,
        silence,
        is_nested: request.tree.is_nested,
        has_answer_begun,
    })
}

/// Counts an attempt as in flight while it lives.
struct InFlight<'a> {
    node: &'a Rc<Node>,
    server: ServerInstance,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        state.servers.ended(&self.server.id);
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
            let wanted = Wanted {
                candidates: &candidates,
                may_repeat: call.may_repeat(),
                purpose,
            };
            state
                .servers
                .choose(now, service, wanted, &mut state.random)
        })
}

/// The crashes that the request's content was aboard of.
fn crashes(node: &Rc<Node>, request: &RoutedRequest) -> usize {
    node.state
        .borrow()
        .suspects
        .crashes(&request.content.content)
}

/// Whether another attempt may be sent although a server may have run the request.
///
/// One that was aboard of two crashes is not sent again by us: if it is the cause, its
/// third run proves that, and should be its caller's next try and not one of many repeats.
fn may_repeat(node: &Rc<Node>, request: &RoutedRequest) -> bool {
    crashes(node, request) + 1 < PROOF && pay_for_repeat(node, request)
}

/// A crash under this request speaks against its content, at this node at once.
fn note_crash(node: &Rc<Node>, request: &RoutedRequest, server: &ServerInstance, end: &AttemptEnd) {
    let crashed = AttemptEnd::Unknown {
        reason: UnknownReason::ServerCrashed,
    };
    if *end == crashed {
        suspects::note_crash_of(node, &server.id, &request.content);
    }
}

fn pay_for_repeat(node: &Rc<Node>, request: &RoutedRequest) -> bool {
    pay(node, request, RetryBudgets::withdraw)
}

fn pay_for_hedge(node: &Rc<Node>, request: &RoutedRequest) -> bool {
    pay(node, request, RetryBudgets::withdraw_for_hedge)
}

fn pay(
    node: &Rc<Node>,
    request: &RoutedRequest,
    withdraw: impl FnOnce(&mut RetryBudgets, Timestamp, &str, Repeated) -> bool,
) -> bool {
    let now = node.now();
    let repeated = match request.tree.is_nested {
        true => Repeated::NestedCall,
        false => Repeated::Request,
    };
    let mut state = node.state.borrow_mut();
    let paid = withdraw(&mut state.budgets, now, &request.route.service, repeated);
    if paid {
        node.metrics.repeats.inc();
    }
    paid
}

fn queue_patience(request: &RoutedRequest, now: Timestamp, ends: Timestamp) -> Duration {
    if request.tree.is_nested {
        return ends.saturating_since(now).mul_f64(NESTED_QUEUE_SHARE);
    }
    let target = request.route.route.target_latency;
    let whole = target.map_or(DEFAULT_QUEUE_TIME, |target| target.mul_f64(QUEUE_SHARE));
    whole.saturating_sub(now.saturating_since(request.arrived))
}

/// Takes note of a server that lost an answer, or could not be reached.
fn note_failure(node: &Rc<Node>, server: &ServerInstance, end: &AttemptEnd) {
    let reason = match end {
        AttemptEnd::Answered => return,
        AttemptEnd::Unknown { .. } => {
            let now = node.now();
            return node.state.borrow_mut().servers.lost(now, &server.id);
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
                state.servers.misdirected(now, &server.id);
            } else {
                state.servers.withdraw(&server.id);
            }
            drop(state);
            info!(node.log, "server withdrawn"; "server" => server.id.as_str(),
                "service" => &server.service, "why" => peer_headers::not_run_word(reason),
                "revision" => %node.revision());
        }
        NotRunReason::NodeUnreachable
        | NotRunReason::NodeLeaving
        | NotRunReason::ServerUnreachable => {
            probe::set_aside(node, server, peer_headers::not_run_word(reason));
        }
    }
}
