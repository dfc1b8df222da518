//! Handling of one call of a local caller, from its request to its answer.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::{AbortHandle, Abortable};
use futures_util::stream::FuturesUnordered;
use hyper::body::Incoming;
use hyper::{Request, Response};

use lifthollow_coordination::outbound::{
    AttemptId, Call, CallAnswer, CallId, OutboundEffect, OutboundEvent,
};
use lifthollow_protocol::RefusalReason;
use lifthollow_protocol::operators::Outcome;
use lifthollow_state::TableVersion;
use lifthollow_transport::http::AnyBody;
use lifthollow_transport::http::server::CallHandler;

use crate::control::{ControlHandle, ControlInput};
use crate::traffic::caller_headers::{self, CallerHeaders};
use crate::traffic::delivery::deliver;
use crate::traffic::describe::{describe, request_head};
use crate::traffic::dispatch::{
    AttemptOutcome, AttemptResponse, Dispatch, RequestHead, send_attempt,
};
use crate::traffic::in_progress::InProgressGuard;
use crate::traffic::request_body::{self, ReadError, RequestBody};
use crate::traffic::{Traffic, answer};

/// Time after which a caller may retry at a node that is leaving or has just
/// started: long enough for the caller's list of nodes to change, or for the node to
/// have a table.
const RETRY_AFTER_REFUSAL: Duration = Duration::from_secs(1);

impl CallHandler for Traffic {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<AnyBody> {
        let in_progress = self.in_progress.enter();
        match caller_headers::parse(request.headers()) {
            Ok(headers) => serve(self, headers, request, in_progress).await,
            Err(faults) => answer::bad_headers(&faults),
        }
    }
}

async fn serve(
    traffic: Arc<Traffic>,
    headers: CallerHeaders,
    request: Request<Incoming>,
    in_progress: InProgressGuard,
) -> Response<AnyBody> {
    let arrived = traffic.clock.now();
    let service = headers.service.clone();
    let response = match immediate_refusal(&traffic, &headers) {
        Some(reason) => answer::refused(Outcome::NotRun, reason, RETRY_AFTER_REFUSAL),
        None => run(traffic.clone(), headers, request, in_progress).await,
    };
    let outcome = response.headers().get(answer::OUTCOME);
    let outcome = outcome.and_then(|value| value.to_str().ok());
    let duration = traffic.clock.now() - arrived;
    traffic
        .metrics
        .answered(&service, outcome.unwrap_or_default(), duration);
    response
}

/// Why a call is refused without asking the control thread: the node is leaving, or
/// has no table yet.
fn immediate_refusal(traffic: &Traffic, headers: &CallerHeaders) -> Option<RefusalReason> {
    let parent = headers
        .context
        .and_then(|token| traffic.parents.find(token));
    if traffic.is_leaving() && parent.is_none() {
        return Some(RefusalReason::Leaving);
    }
    let version = traffic.shared.view().table.version();
    (version == TableVersion::default()).then_some(RefusalReason::NoServer)
}

async fn run(
    traffic: Arc<Traffic>,
    headers: CallerHeaders,
    request: Request<Incoming>,
    in_progress: InProgressGuard,
) -> Response<AnyBody> {
    let (parts, incoming) = request.into_parts();
    let body = match read_body(&traffic, &headers, incoming).await {
        Ok(body) => body,
        Err(error) => return answer::unreadable_body(&error),
    };
    let id = traffic.next_call();
    let description = describe(&traffic, id, &headers, &body);
    let head = request_head(&parts, &headers, &body);
    let driver = CallDriver::start(traffic, id, description, head, body, in_progress);
    driver.run().await
}

async fn read_body(
    traffic: &Traffic,
    headers: &CallerHeaders,
    incoming: Incoming,
) -> Result<RequestBody, ReadError> {
    if headers.idempotency_key.is_some() {
        return request_body::read_keyed(incoming).await;
    }
    request_body::read(incoming, traffic.buffered_body_bytes).await
}

type AttemptFuture = Abortable<Pin<Box<dyn Future<Output = AttemptOutcome> + Send>>>;

/// Carries out the effects decided for one call.
struct CallDriver {
    traffic: Arc<Traffic>,
    effects: flume::Receiver<OutboundEffect>,
    request: Arc<RequestHead>,
    body: CallBody,
    attempts: FuturesUnordered<AttemptFuture>,
    abort_handles: BTreeMap<AttemptId, AbortHandle>,
    responses: BTreeMap<AttemptId, AttemptResponse>,
    disconnect_guard: CallerDisconnectGuard,
    in_progress: InProgressGuard,
}

/// Reports that the caller cancelled the call, if it is dropped before the answer.
struct CallerDisconnectGuard {
    call: CallId,
    control: ControlHandle,
    answered: bool,
}

impl Drop for CallerDisconnectGuard {
    fn drop(&mut self) {
        if !self.answered {
            let call = self.call;
            self.control.outbound(OutboundEvent::CallCancelled { call });
        }
    }
}

/// The request body of a call, handed to each of its attempts.
struct CallBody(Option<RequestBody>);

impl CallBody {
    /// The body for the next attempt; `None` if it was streamed to an earlier one.
    fn next(&mut self) -> Option<RequestBody> {
        match &self.0 {
            Some(RequestBody::Buffered(bytes)) => Some(RequestBody::Buffered(bytes.clone())),
            _ => self.0.take(),
        }
    }
}

impl CallDriver {
    fn start(
        traffic: Arc<Traffic>,
        id: CallId,
        description: Call,
        request: RequestHead,
        body: RequestBody,
        in_progress: InProgressGuard,
    ) -> Self {
        let (sender, effects) = flume::unbounded();
        traffic.control.send(ControlInput::CallArrived {
            id,
            description: Box::new(description),
            effects: sender,
        });
        let disconnect_guard = CallerDisconnectGuard {
            call: id,
            control: traffic.control.clone(),
            answered: false,
        };
        CallDriver {
            traffic,
            effects,
            request: Arc::new(request),
            body: CallBody(Some(body)),
            attempts: FuturesUnordered::new(),
            abort_handles: BTreeMap::new(),
            responses: BTreeMap::new(),
            disconnect_guard,
            in_progress,
        }
    }

    async fn run(mut self) -> Response<AnyBody> {
        loop {
            tokio::select! {
                effect = self.effects.recv_async() => match effect {
                    Ok(OutboundEffect::Dispatch { attempt, server, context, .. }) => {
                        self.dispatch(Dispatch { attempt, server, context });
                    }
                    Ok(OutboundEffect::Cancel { attempt }) => self.cancel(attempt),
                    Ok(OutboundEffect::Answer { answer, .. }) => return self.answer(answer).await,
                    // The control thread ends only when the process ends.
                    Err(_) => return self.answer_lost(),
                },
                Some(outcome) = self.attempts.next(), if !self.attempts.is_empty() => {
                    if let Ok(outcome) = outcome {
                        self.finish_attempt(outcome);
                    }
                }
            }
        }
    }

    fn dispatch(&mut self, dispatch: Dispatch) {
        let attempt = dispatch.attempt;
        let Some(body) = self.body.next() else {
            return self.report(AttemptOutcome::not_sent(&dispatch));
        };
        let traffic = self.traffic.clone();
        let sending = send_attempt(traffic, self.request.clone(), body, dispatch);
        let (abort_handle, registration) = AbortHandle::new_pair();
        self.abort_handles.insert(attempt, abort_handle);
        self.attempts
            .push(Abortable::new(Box::pin(sending), registration));
    }

    fn cancel(&mut self, attempt: AttemptId) {
        self.responses.remove(&attempt);
        if let Some(abort_handle) = self.abort_handles.remove(&attempt) {
            abort_handle.abort();
        }
    }

    /// Reports the outcome of an attempt, unless the attempt has been cancelled.
    fn finish_attempt(&mut self, outcome: AttemptOutcome) {
        if self.abort_handles.remove(&outcome.attempt).is_some() {
            self.report(outcome);
        }
    }

    fn report(&mut self, outcome: AttemptOutcome) {
        let AttemptOutcome {
            attempt,
            answer,
            response,
        } = outcome;
        if let Some(response) = response {
            self.responses.insert(attempt, response);
        }
        let event = OutboundEvent::AttemptAnswered { attempt, answer };
        self.traffic.control.outbound(event);
    }

    async fn answer(mut self, answer: CallAnswer) -> Response<AnyBody> {
        self.disconnect_guard.answered = true;
        match answer {
            CallAnswer::Deliver { attempt } => match self.responses.remove(&attempt) {
                Some(response) => {
                    let control = self.traffic.control.clone();
                    let bodiless = self.request.method == "HEAD";
                    deliver(control, attempt, response, bodiless, self.in_progress).await
                }
                None => self.answer_lost(),
            },
            CallAnswer::NotRun {
                reason,
                retry_after,
            } => answer::refused(Outcome::NotRun, reason, retry_after),
            CallAnswer::Unknown {
                reason,
                retry_after,
            } => answer::refused(Outcome::Unknown, reason, retry_after),
        }
    }

    fn answer_lost(&self) -> Response<AnyBody> {
        let reason = RefusalReason::AnswerLost;
        answer::refused(Outcome::Unknown, reason, RETRY_AFTER_REFUSAL)
    }
}
