//! Sending one attempt to another node and receiving its answer.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::task::JoinHandle;

use lifthollow_coordination::outbound::{AttemptAnswer, AttemptId};
use lifthollow_protocol::frame::{AnswerHead, Header, Open, WireContext};
use lifthollow_protocol::{AttemptResult, RefusalReason};
use lifthollow_state::{NodeId, RequestContext, RetryAllowance, ServiceName};
use lifthollow_transport::mux::{AttemptFailure, BodyReceiver, BodySender, OpenedAttempt};

use crate::traffic::Traffic;
use crate::traffic::request_body::RequestBody;

/// Time after which a caller may retry when the connection to a server failed.
const RETRY_AFTER_FAILED_CONNECTION: std::time::Duration = std::time::Duration::from_secs(1);

/// The part of the request that is the same in all attempts of a call.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The service that is called.
    pub service: ServiceName,
    /// HTTP method of the request.
    pub method: String,
    /// Path and query of the request.
    pub path: String,
    /// End-to-end headers of the request.
    pub headers: Vec<Header>,
    /// Digest of method, path and body of a call with an idempotency key; zero for
    /// other calls.
    pub body_digest: u64,
}

/// The answer of an attempt, whose body is yet to be received.
pub struct AttemptResponse {
    /// Head of the answer.
    pub head: Box<AnswerHead>,
    /// Receives the body of the answer.
    pub body: BodyReceiver,
    /// Task that sends the rest of the request body; it is stopped when the response
    /// is dropped.
    _upload: Option<Upload>,
}

/// Outcome of an attempt.
pub struct AttemptOutcome {
    /// ID of the attempt that ended.
    pub attempt: AttemptId,
    /// The answer as it is reported to the policy.
    pub answer: AttemptAnswer,
    /// The response, if one was received.
    pub response: Option<AttemptResponse>,
}

impl AttemptOutcome {
    /// The outcome of an attempt that was not sent.
    pub fn not_sent(dispatch: &Dispatch) -> Self {
        let lent = dispatch.context.allowance;
        AttemptOutcome {
            attempt: dispatch.attempt,
            answer: answer_of_failure(AttemptFailure::NotSent, lent),
            response: None,
        }
    }
}

/// An upload task, which is stopped when this is dropped.
struct Upload(JoinHandle<()>);

impl Drop for Upload {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An attempt to send, with its destination and context.
pub struct Dispatch {
    /// ID of the attempt to send.
    pub attempt: AttemptId,
    /// The node to which the attempt is sent.
    pub server: NodeId,
    /// The request context that the attempt carries.
    pub context: RequestContext,
}

/// Sends an attempt and waits for the head of its answer. Dropping the future
/// cancels the attempt.
pub async fn send_attempt(
    traffic: Arc<Traffic>,
    request: Arc<RequestHead>,
    body: RequestBody,
    dispatch: Dispatch,
) -> AttemptOutcome {
    let Dispatch {
        attempt,
        server,
        context,
    } = dispatch;
    let lent = context.allowance;
    match exchange(&traffic, &request, body, server, context).await {
        Ok(response) => AttemptOutcome {
            attempt,
            answer: answer_of(&response.head),
            response: Some(response),
        },
        Err(failure) => AttemptOutcome {
            attempt,
            answer: answer_of_failure(failure, lent),
            response: None,
        },
    }
}

async fn exchange(
    traffic: &Traffic,
    request: &RequestHead,
    body: RequestBody,
    server: NodeId,
    context: RequestContext,
) -> Result<AttemptResponse, AttemptFailure> {
    let connection = traffic.peers.connection(server).await;
    let connection = connection.map_err(|_| AttemptFailure::NotSent)?;
    let bodiless = matches!(&body, RequestBody::Buffered(bytes) if bytes.is_empty());
    let open = Open {
        service: request.service.as_str().to_owned(),
        context: WireContext::leaving_at(&context, traffic.clock.now()),
        method: request.method.clone(),
        path: request.path.clone(),
        headers: request.headers.clone(),
        body_digest: request.body_digest,
        bodiless,
    };
    let OpenedAttempt {
        body: sender,
        mut answer,
    } = connection.open(open)?;
    let upload = match sender {
        Some(sender) => send_body(sender, body).await,
        None => None,
    };
    let head = answer.head().await?;
    Ok(AttemptResponse {
        head,
        body: answer.into_body(),
        _upload: upload,
    })
}

/// Queues a buffered body at once; a streamed one is sent by a task, because the
/// answer may begin before the body ends.
async fn send_body(mut sender: BodySender, body: RequestBody) -> Option<Upload> {
    match body {
        RequestBody::Buffered(bytes) => {
            if sender.send(bytes).await.is_ok() {
                sender.finish();
            }
            None
        }
        RequestBody::Streaming { start, rest } => {
            let sending = async move {
                if forward(&mut sender, start, rest).await.is_some() {
                    sender.finish();
                }
            };
            Some(Upload(tokio::spawn(sending)))
        }
    }
}

/// Sends a streamed body. `None` if the caller's body ended early or the attempt
/// ended.
async fn forward(sender: &mut BodySender, start: Bytes, mut rest: Incoming) -> Option<()> {
    sender.send(start).await.ok()?;
    while let Some(frame) = rest.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            sender.send(data).await.ok()?;
        }
    }
    Some(())
}

fn answer_of(head: &AnswerHead) -> AttemptAnswer {
    AttemptAnswer {
        result: head.result,
        load: Some(head.load),
        unspent: RetryAllowance(head.unspent),
    }
}

/// The answer reported for a failed attempt. An attempt that was not sent returns
/// all retries lent to it; if it may have been sent, all of them count as spent.
fn answer_of_failure(failure: AttemptFailure, lent: RetryAllowance) -> AttemptAnswer {
    let reason = RefusalReason::ConnectionFailed;
    let (result, unspent) = match failure {
        AttemptFailure::NotSent => {
            let retry_after = RETRY_AFTER_FAILED_CONNECTION;
            let result = AttemptResult::NotRun {
                reason,
                retry_after,
            };
            (result, lent)
        }
        AttemptFailure::MaybeSent => (AttemptResult::Unknown { reason }, RetryAllowance(0)),
    };
    AttemptAnswer {
        result,
        load: None,
        unspent,
    }
}
