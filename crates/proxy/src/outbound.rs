//! Requests of local callers: routed, attempted, answered.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode, Uri};
use lifthollow_coordination::mesh::call::{
    AttemptEnd, Call, FinalAnswer, NextStep, NotRunReason, RefusalReason, UnknownReason,
};
use lifthollow_coordination::mesh::request_tree::priority_of_request;
use lifthollow_coordination::mesh::server_selection::ReportedLoad;
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{Route, ServerInstance};
use rand::RngExt;
use slog::info;
use tokio::time::{sleep_until, timeout_at};

use crate::http::ProxyBody;
use crate::http::body::{self, ReadBody};
use crate::http::headers::remove_single_connection;
use crate::http::pool::SendError;
use crate::http::server::{ConnectionLimits, Handler};
use crate::inbound::{self, Attempt, AttemptOutcome, milliseconds_value};
use crate::node::Node;
use crate::peer_headers::TreePlace;
use crate::{peer_headers, probe, snapshots};

/// Bodies up to this size are taken in whole, so that they can be sent again.
const MAX_HELD_REQUEST: usize = 256 * 1024;
/// Answers of other nodes up to this size are taken in whole.
const MAX_HELD_ANSWER: usize = 256 * 1024;
/// Size of a body unless the configuration says otherwise, bytes.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
/// The part of the target latency that a request may spend in queues.
const QUEUE_SHARE: f64 = 0.2;
/// The part of the time it has left that a nested call may spend in queues.
const NESTED_QUEUE_SHARE: f64 = 0.5;
/// Callers refused for overload are asked to come back after this time, at the
/// earliest; at the latest after twice as long.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Time in queues for routes without a target latency.
const DEFAULT_QUEUE_TIME: Duration = Duration::from_millis(200);
/// When callers may come back before there is a configuration.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The port for local callers.
pub struct Outbound(pub Rc<Node>);

impl Handler for Outbound {
    async fn handle(self: Rc<Self>, request: Request<Option<Incoming>>) -> Response<ProxyBody> {
        let node = &self.0;
        let arrived = node.now();
        let (outcome, response) = serve(node, arrived, request).await;
        let took = node.now().saturating_since(arrived);
        node.metrics.requests.with_label_values(&[outcome]).inc();
        node.metrics.request_duration.observe(took.as_secs_f64());
        response
    }

    fn may_answer_early(&self, request: &Request<()>) -> bool {
        let state = self.0.state.borrow();
        let route = state.routes.as_ref().and_then(|routes| {
            let host = host(request.headers(), request.uri());
            routes.find(host, request.uri().path())
        });
        route.is_some_and(|route| route.is_idempotent())
    }

    fn connection_limits(&self) -> ConnectionLimits {
        self.0.connection_limits()
    }
}

/// A request whose route is known.
struct RoutedRequest {
    head: Parts,
    body: HeldBody,
    route: Rc<RouteInForce>,
    tree: TreePlace,
    arrived: Timestamp,
}

struct RouteInForce {
    route: std::sync::Arc<Route>,
    version: u64,
    service: String,
}

/// A request's body; one that is too large to be held can be sent once.
enum HeldBody {
    Whole(Bytes),
    Once(Option<ProxyBody>),
}

impl HeldBody {
    fn take(&mut self) -> Option<ProxyBody> {
        match self {
            HeldBody::Whole(bytes) => Some(ProxyBody::Whole(bytes.clone())),
            HeldBody::Once(body) => body.take(),
        }
    }

    fn is_spent(&self) -> bool {
        matches!(self, HeldBody::Once(None))
    }
}

async fn serve(
    node: &Rc<Node>,
    arrived: Timestamp,
    request: Request<Option<Incoming>>,
) -> (&'static str, Response<ProxyBody>) {
    let (mut head, incoming) = request.into_parts();
    remove_single_connection(&mut head.headers);
    peer_headers::strip(&mut head.headers);
    let route = match find_route(node, &head) {
        Ok(route) => Rc::new(route),
        Err(StatusCode::NOT_FOUND) => return ("no-route", status(StatusCode::NOT_FOUND)),
        Err(_) => {
            let refusal = FinalAnswer::Refused {
                retry_after: UNCONFIGURED_RETRY_AFTER,
                reason: RefusalReason::NotConfigured,
            };
            return ("not-configured", final_response(node, refusal));
        }
    };
    let patience = peer_headers::milliseconds(&head.headers, &node.names.deadline_ms);
    let call = Call::new(arrived, &route.route, patience);
    let tree = tree_place(node, &head, &route, &call);
    let body = match incoming {
        None => HeldBody::Whole(Bytes::new()),
        Some(incoming) => match read_body(node, &call, incoming).await {
            Ok(body) => body,
            Err(refused) => return ("bad-request", status(refused)),
        },
    };
    let mut request = RoutedRequest {
        head,
        body,
        route,
        tree,
        arrived,
    };
    if let Some(refusal) = refuse_overload(node, &request) {
        return finish(node, &request, refusal);
    }
    attempts(node, &mut request, call).await
}

/// Where the request stands: its own tree's root, or a call of a run on the
/// server beside this node.
fn tree_place(node: &Rc<Node>, head: &Parts, route: &RouteInForce, call: &Call) -> TreePlace {
    let id = head.headers.get(&node.names.request_id);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    let told = peer_headers::milliseconds(&head.headers, &node.names.deadline_ms);
    let deadline = told.map_or(call.ends(), |told| node.now() + told);
    let mut state = node.state.borrow_mut();
    match state.admission.parent_of(id, deadline) {
        Some(parent) => {
            state.admission.called(parent.run, &route.service);
            TreePlace {
                priority: parent.priority,
                is_nested: true,
                is_repeat: parent.is_repeat,
            }
        }
        None => TreePlace {
            priority: priority_of_request(route.route.priority, id),
            is_nested: false,
            is_repeat: false,
        },
    }
}

/// A new request that would be refused further down is refused before any work
/// is done for it.
fn refuse_overload(node: &Rc<Node>, request: &RoutedRequest) -> Option<FinalAnswer> {
    if request.tree.is_nested {
        return None;
    }
    let mut state = node.state.borrow_mut();
    let service = &request.route.service;
    let level = state.servers.admission_level(node.now(), service, false);
    if level.admits(request.tree.priority) {
        return None;
    }
    let retry_after = OVERLOAD_RETRY_AFTER.mul_f64(1.0 + state.random.random::<f64>());
    Some(FinalAnswer::Refused {
        retry_after,
        reason: RefusalReason::Overloaded,
    })
}

fn find_route(node: &Rc<Node>, head: &Parts) -> Result<RouteInForce, StatusCode> {
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    let routes = state
        .routes
        .as_ref()
        .ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    let route = routes
        .find(host(&head.headers, &head.uri), head.uri.path())
        .ok_or(StatusCode::NOT_FOUND)?;
    let service = state.split.choose(route, &mut state.random).to_owned();
    Ok(RouteInForce {
        route: route.clone(),
        version: routes.version(),
        service,
    })
}

fn host<'r>(headers: &'r HeaderMap, uri: &'r Uri) -> &'r str {
    let named = headers.get(HOST).and_then(|host| host.to_str().ok());
    named.or(uri.host()).unwrap_or_default()
}

async fn read_body(
    node: &Rc<Node>,
    call: &Call,
    incoming: Incoming,
) -> Result<HeldBody, StatusCode> {
    let limit = max_body_bytes(node);
    let length = hyper::body::Body::size_hint(&incoming).lower();
    if length > limit {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let ends = node.clock.instant(call.ends()).into();
    let read = timeout_at(ends, body::read(incoming, MAX_HELD_REQUEST))
        .await
        .map_err(|_| StatusCode::REQUEST_TIMEOUT)?
        .map_err(|_| StatusCode::BAD_REQUEST)?;
    Ok(match read {
        ReadBody::Whole(bytes) => HeldBody::Whole(bytes),
        ReadBody::Larger { arrived, rest } => HeldBody::Once(Some(ProxyBody::Passing {
            arrived,
            rest,
            guard: Box::new(()),
        })),
    })
}

fn max_body_bytes(node: &Rc<Node>) -> u64 {
    let state = node.state.borrow();
    let snapshot = state.snapshots.snapshot();
    let configuration = snapshot.configuration.as_ref();
    configuration
        .and_then(|known| known.limits.max_body_bytes)
        .unwrap_or(MAX_BODY_BYTES)
}

/// An attempt on its way, with the server it went to.
type Sending<'a> = Pin<Box<dyn Future<Output = (ServerInstance, AttemptOutcome)> + 'a>>;

/// Sends attempts until one is answered or none is left. An attempt whose server
/// falls silent is not given up: if its node doesn't answer either, another runs
/// beside it.
async fn attempts(
    node: &Rc<Node>,
    request: &mut RoutedRequest,
    mut call: Call,
) -> (&'static str, Response<ProxyBody>) {
    let ends = node.clock.instant(call.ends()).into();
    let mut sending: FuturesUnordered<Sending> = FuturesUnordered::new();
    let mut watched = match start(node, request, &mut call, &mut sending) {
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
                let next = call.attempt_ended(&server.id, &outcome.end, || pay_for_repeat(node, request));
                match next {
                    _ if !sending.is_empty() => continue,
                    next => next,
                }
            }
            _ = sleep_until(ends) => NextStep::Finish(call.timed_out(true)),
            silent = watched.is_silent(node) => {
                let may_hedge = silent && sending.len() == 1 && call.may_hedge() && !request.body.is_spent();
                if !may_hedge || !pay_for_repeat(node, request) {
                    continue;
                }
                call.hedge(&watched.server.id);
                NextStep::Attempt
            }
        };
        let answer = match next {
            NextStep::Finish(answer) => answer,
            NextStep::Attempt if request.body.is_spent() => call.give_up(),
            NextStep::Attempt => match start(node, request, &mut call, &mut sending) {
                Ok(started) => {
                    watched = started;
                    continue;
                }
                Err(_) if !sending.is_empty() => continue,
                Err(answer) => answer,
            },
        };
        return finish(node, request, answer);
    }
}

/// Watches whether a server that has an attempt falls silent.
struct Watched {
    server: ServerInstance,
    sent: Timestamp,
    check: Timestamp,
    silence: Duration,
}

impl Watched {
    /// Resolves when it is time to look: true if the server has answered nothing
    /// since the attempt was sent and its node doesn't answer a probe.
    async fn is_silent(&mut self, node: &Rc<Node>) -> bool {
        sleep_until(node.clock.instant(self.check).into()).await;
        let now = node.now();
        let is_quiet = {
            let state = node.state.borrow();
            state.servers.is_silent(now, &self.server.id, self.sent)
        };
        let is_silent = is_quiet && !probe::is_alive(node, &self.server).await;
        self.check = node.now() + self.silence;
        if is_silent {
            probe::set_aside(node, &self.server, "silent");
        }
        is_silent
    }
}

/// Starts an attempt at the server that suits best.
fn start<'a>(
    node: &'a Rc<Node>,
    request: &mut RoutedRequest,
    call: &mut Call,
    sending: &mut FuturesUnordered<Sending<'a>>,
) -> Result<Watched, FinalAnswer> {
    let sent = node.now();
    if sent >= call.ends() {
        return Err(call.timed_out(false));
    }
    let server = choose_server(node, request, call).ok_or_else(|| call.give_up())?;
    let body = request.body.take().ok_or_else(|| call.give_up())?;
    let silence = {
        let mut state = node.state.borrow_mut();
        let service = &request.route.service;
        match (call.is_repeat(), request.tree.is_repeat) {
            (false, false) => state.budgets.deposit(sent, service),
            (false, true) => state.budgets.inherited(sent, service),
            (true, _) => {}
        }
        state.servers.sent(&server.id);
        state.servers.silence(&server.id)
    };
    let in_flight = InFlight {
        node,
        server: server.clone(),
    };
    let attempt = Attempt {
        request: outgoing_request(node, request, &server, body),
        server: server.id.clone(),
        ends: call.ends(),
        tree: TreePlace {
            is_repeat: request.tree.is_repeat || call.is_repeat(),
            ..request.tree
        },
        patience: queue_patience(request, sent, call.ends()),
    };
    sending.push(Box::pin(async move {
        let outcome = send(node, &in_flight.server, attempt).await;
        (in_flight.server.clone(), outcome)
    }));
    Ok(Watched {
        server,
        sent,
        check: sent + silence,
        silence,
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

fn choose_server(node: &Rc<Node>, request: &RoutedRequest, call: &Call) -> Option<ServerInstance> {
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    let service = &request.route.service;
    state
        .servers
        .choose(node.now(), service, call.wanted(), &mut state.random)
}

fn pay_for_repeat(node: &Rc<Node>, request: &RoutedRequest) -> bool {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let paid = state.budgets.withdraw(now, &request.route.service);
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

fn outgoing_request(
    node: &Rc<Node>,
    request: &RoutedRequest,
    server: &ServerInstance,
    body: ProxyBody,
) -> Request<ProxyBody> {
    let mut outgoing = Request::new(body);
    *outgoing.method_mut() = request.head.method.clone();
    *outgoing.uri_mut() = request.head.uri.clone();
    let headers = outgoing.headers_mut();
    *headers = request.head.headers.clone();
    let names = &node.names;
    let caller = HeaderValue::from_str(&node.settings.service);
    headers.insert(
        &names.caller_service,
        caller.unwrap_or(HeaderValue::from_static("")),
    );
    let instance = HeaderValue::from_str(server.id.as_str());
    headers.insert(
        &names.expected_instance,
        instance.unwrap_or(HeaderValue::from_static("")),
    );
    outgoing
}

async fn send(node: &Rc<Node>, server: &ServerInstance, attempt: Attempt) -> AttemptOutcome {
    let started = node.now();
    let is_beside = node.is_beside(server);
    let is_nested = attempt.tree.is_nested;
    let (outcome, load) = if is_beside {
        let outcome = inbound::execute(node, attempt).await;
        (outcome, Some(node.own_load(is_nested)))
    } else {
        send_to_node(node, server, attempt).await
    };
    if outcome.end == AttemptEnd::Answered {
        let now = node.now();
        let latency = now.saturating_since(started);
        let mut state = node.state.borrow_mut();
        state.servers.heard(now, &server.id, load, Some(latency));
    } else if let Some(load) = load {
        let now = node.now();
        let mut state = node.state.borrow_mut();
        state.servers.reported(now, &server.id, load);
    }
    outcome
}

async fn send_to_node(
    node: &Rc<Node>,
    server: &ServerInstance,
    mut attempt: Attempt,
) -> (AttemptOutcome, Option<ReportedLoad>) {
    let address = node.node_beside(server);
    let now = node.now();
    let headers = attempt.request.headers_mut();
    let left = attempt.ends.saturating_since(now);
    headers.insert(&node.names.deadline_ms, milliseconds_value(left));
    headers.insert(peer_headers::TREE, peer_headers::tree_value(&attempt.tree));
    headers.insert(peer_headers::PATIENCE, milliseconds_value(attempt.patience));
    snapshots::name_revision(node, headers);
    let sent = node.peer_connections.send(address, attempt.request).await;
    let (response, lease) = match sent {
        Ok(answered) => answered,
        Err(SendError::NotSent(_)) => {
            let end = AttemptEnd::NotRun {
                offered: false,
                reason: NotRunReason::NodeUnreachable,
                retry_after: None,
            };
            return (
                AttemptOutcome {
                    end,
                    response: None,
                },
                None,
            );
        }
        Err(SendError::Lost(_)) => return (lost(), None),
    };
    let (mut head, incoming) = response.into_parts();
    snapshots::note_revision(node, &head.headers, address);
    let load = peer_headers::load(&head.headers);
    let end = peer_headers::outcome(&head.headers);
    let body = match body::read(incoming, MAX_HELD_ANSWER).await {
        Err(_) => return (lost(), load),
        Ok(ReadBody::Whole(bytes)) => {
            lease.keep();
            ProxyBody::Whole(bytes)
        }
        Ok(ReadBody::Larger { arrived, rest }) => ProxyBody::Passing {
            arrived,
            rest,
            guard: Box::new(lease),
        },
    };
    if end != AttemptEnd::Answered {
        return (
            AttemptOutcome {
                end,
                response: None,
            },
            load,
        );
    }
    remove_single_connection(&mut head.headers);
    peer_headers::strip(&mut head.headers);
    let outcome = AttemptOutcome {
        end,
        response: Some(Response::from_parts(head, body)),
    };
    (outcome, load)
}

fn lost() -> AttemptOutcome {
    AttemptOutcome {
        end: AttemptEnd::Unknown {
            reason: UnknownReason::AnswerLost,
        },
        response: None,
    }
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
        NotRunReason::QueueFull
        | NotRunReason::QueueTimeout
        | NotRunReason::DownstreamOverloaded
        | NotRunReason::ServerRefused => {}
        NotRunReason::ServerDraining | NotRunReason::WrongInstance => {
            node.state.borrow_mut().servers.withdraw(&server.id);
            info!(node.log, "server withdrawn"; "server" => server.id.as_str(),
                "service" => &server.service, "why" => peer_headers::not_run_word(reason),
                "revision" => node.revision());
        }
        NotRunReason::NodeUnreachable
        | NotRunReason::NodeLeaving
        | NotRunReason::ServerUnreachable => {
            probe::set_aside(node, server, peer_headers::not_run_word(reason));
        }
    }
}

fn finish(
    node: &Rc<Node>,
    request: &RoutedRequest,
    answer: FinalAnswer,
) -> (&'static str, Response<ProxyBody>) {
    let (outcome, why) = answer_words(&answer);
    if node.may_log() {
        let id = request.head.headers.get(&node.names.request_id);
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        let now = node.now();
        let held = now.saturating_since(request.arrived).as_millis() as u64;
        info!(node.log, "request not served"; "request" => id, "outcome" => outcome, "why" => why,
            "route" => &request.route.route.name, "service" => &request.route.service,
            "configuration" => request.route.version, "revision" => node.revision(), "held_ms" => held);
    }
    (outcome, final_response(node, answer))
}

fn answer_words(answer: &FinalAnswer) -> (&'static str, &'static str) {
    match answer {
        FinalAnswer::Unknown => ("unknown", "answer-lost"),
        FinalAnswer::TimedOut => ("timed-out", "out-of-time"),
        FinalAnswer::Refused { reason, .. } => {
            let why = match reason {
                RefusalReason::NotConfigured => "not-configured",
                RefusalReason::NoServer => "no-server",
                RefusalReason::Overloaded => "overloaded",
                RefusalReason::OutOfTime => "out-of-time",
                RefusalReason::AllRefused(reason) => peer_headers::not_run_word(*reason),
            };
            ("refused", why)
        }
    }
}

fn final_response(node: &Rc<Node>, answer: FinalAnswer) -> Response<ProxyBody> {
    match answer {
        FinalAnswer::Unknown => status(StatusCode::BAD_GATEWAY),
        FinalAnswer::TimedOut => status(StatusCode::GATEWAY_TIMEOUT),
        FinalAnswer::Refused { retry_after, .. } => {
            let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            let seconds = HeaderValue::try_from(seconds).expect("digits and a point");
            response
                .headers_mut()
                .insert(&node.names.retry_after, seconds);
            response
        }
    }
}

fn status(status: StatusCode) -> Response<ProxyBody> {
    let mut response = Response::new(ProxyBody::empty());
    *response.status_mut() = status;
    response
}
