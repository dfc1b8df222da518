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

/// When a caller may come back after a connection failed.
const RETRY_AFTER_FAILED_CONNECTION: std::time::Duration = std::time::Duration::from_secs(1);

/// What every attempt of a call sends.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The service wanted.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Digest of method, path and body of a keyed call.
    pub body_digest: u64,
}

/// The answer of an attempt, with the body still to come.
pub struct AttemptResponse {
    /// The head.
    pub head: Box<AnswerHead>,
    /// The body.
    pub body: BodyReceiver,
    /// Sends the rest of the request's body; ends with the response.
    _upload: Option<Upload>,
}

/// What became of an attempt.
pub struct AttemptOutcome {
    /// The attempt.
    pub attempt: AttemptId,
    /// What the policy is told.
    pub answer: AttemptAnswer,
    /// The answer, if one came.
    pub response: Option<AttemptResponse>,
}

impl AttemptOutcome {
    /// The attempt was not sent.
    pub fn not_sent(dispatch: &Dispatch) -> Self {
        let lent = dispatch.context.allowance;
        AttemptOutcome {
            attempt: dispatch.attempt,
            answer: answer_of_failure(AttemptFailure::NotSent, lent),
            response: None,
        }
    }
}

/// A task that is stopped when this is dropped.
struct Upload(JoinHandle<()>);

impl Drop for Upload {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Where an attempt goes and what it carries.
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptId,
    /// The node it goes to.
    pub server: NodeId,
    /// What it carries.
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

/// A small body is queued at once; a large one is sent by a task, because the
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

/// `None` if the caller's body broke off or the attempt ended.
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

/// An attempt that never left gives back all it was lent; of one that was lost,
/// everything counts as spent.
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
