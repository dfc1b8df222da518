//! Handling of one attempt from another node, from its arrival to the last byte of
//! the back end's answer.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;

use lifthollow_coordination::claims::gate::replay_result;
use lifthollow_coordination::inbound::{Attempt, InboundEvent, InboundId};
use lifthollow_protocol::frame::{AnswerHead, Header, Open};
use lifthollow_protocol::{AttemptResult, LoadReport, RecordedAnswer};
use lifthollow_state::{RetryAllowance, ServiceName, Timestamp};
use lifthollow_transport::http::{BackendBody, BackendError, header};
use lifthollow_transport::mux::{
    AnswerSender, BodyReceiver, BodySender, CancelSignal, IncomingAttempt,
};

use crate::control::{AttemptEffect, ControlInput};
use crate::traffic::Traffic;
use crate::traffic::caller_headers;
use crate::traffic::in_progress::InProgressGuard;
use crate::traffic::parents::ParentGuard;
use crate::traffic::record_answer::{read_answer, recorded_headers};
use crate::traffic::run::{backend_request, run_result};

/// Serves attempts as they arrive, each in a task of its own.
pub async fn serve_attempts(traffic: Arc<Traffic>, attempts: flume::Receiver<IncomingAttempt>) {
    while let Ok(incoming) = attempts.recv_async().await {
        tokio::spawn(serve(traffic.clone(), incoming));
    }
}

async fn serve(traffic: Arc<Traffic>, incoming: IncomingAttempt) {
    let (mut task, open, body) = AttemptTask::start(traffic, incoming);
    if let Some(admission) = task.wait_for_admission().await {
        task.run(&open, body, admission).await;
    }
}

/// Carries out the effects decided for one attempt.
struct AttemptTask {
    traffic: Arc<Traffic>,
    id: InboundId,
    service: ServiceName,
    effects: flume::Receiver<AttemptEffect>,
    cancel_signal: CancelSignal,
    /// Whether cancellation is no longer awaited, because the other node has already
    /// cancelled the attempt or has its answer.
    not_cancellable: bool,
    /// Whether the run is under a claim, so that its answer is recorded.
    claimed: bool,
    answer: Option<AnswerSender>,
    /// Whether the end of the run has been reported to the control thread.
    end_reported: bool,
    _parent: ParentGuard,
    _in_progress: InProgressGuard,
}

/// Releases the attempt's route in the control thread when its task ends. The
/// report of the end of a run releases the route already.
impl Drop for AttemptTask {
    fn drop(&mut self) {
        if !self.end_reported {
            self.release();
        }
    }
}

/// The answer to an attempt as the control thread decided it.
struct DecidedAnswer {
    result: AttemptResult,
    load: LoadReport,
    unspent: RetryAllowance,
}

/// The times by which a run must start and end.
#[derive(Clone, Copy)]
struct Admission {
    deadline: Timestamp,
    start_before: Option<Timestamp>,
}

type BackendAnswer = Result<Response<BackendBody>, BackendError>;

impl AttemptTask {
    fn start(traffic: Arc<Traffic>, incoming: IncomingAttempt) -> (Self, Box<Open>, BodyReceiver) {
        let id = traffic.next_inbound();
        let open = incoming.open;
        let context = open.context.arriving_at(traffic.clock.now());
        let service = ServiceName::new(&open.service);
        let (sender, effects) = flume::unbounded();
        let task = AttemptTask {
            id,
            service: service.clone(),
            effects,
            cancel_signal: incoming.cancelled,
            not_cancellable: false,
            claimed: false,
            answer: Some(incoming.answer),
            end_reported: false,
            _parent: traffic.parents.insert(id, context.clone()),
            _in_progress: traffic.in_progress.enter(),
            traffic,
        };
        let attempt = Box::new(Attempt {
            service,
            context,
            from: incoming.from,
            body_digest: open.body_digest,
        });
        task.traffic.control.send(ControlInput::AttemptArrived {
            id,
            attempt,
            effects: sender,
        });
        (task, open, incoming.body)
    }

    /// Waits until the attempt is admitted; `None` if it ended without a run.
    async fn wait_for_admission(&mut self) -> Option<Admission> {
        loop {
            tokio::select! {
                effect = self.effects.recv_async() => match effect {
                    Ok(AttemptEffect::Run { deadline, start_before }) => {
                        return Some(Admission { deadline, start_before });
                    }
                    Ok(AttemptEffect::Replay { answer, load, unspent }) => {
                        let result = replay_result(&answer);
                        self.replay(answer, DecidedAnswer { result, load, unspent }).await;
                        return None;
                    }
                    Ok(AttemptEffect::Answer { result, load, unspent }) => {
                        self.send_refusal(DecidedAnswer { result, load, unspent });
                        return None;
                    }
                    Ok(AttemptEffect::CancelRun) => {}
                    Err(_) => return None,
                },
                () = self.cancel_signal.cancelled(), if !self.not_cancellable => {
                    self.report_cancelled();
                    // Effects decided before the cancellation still arrive.
                    self.release();
                }
            }
        }
    }

    /// Runs the attempt. When this returns, it no longer occupies the back end.
    async fn run(&mut self, open: &Open, body: BodyReceiver, admission: Admission) {
        self.claimed = admission.start_before.is_some();
        if let Some(answer) = self.wait_for_backend(open, body, admission).await {
            self.report(InboundEvent::RunAnswered {
                id: self.id,
                result: run_result(&answer),
            });
            self.forward_answer(answer).await;
        }
        self.end_reported = true;
        self.report(InboundEvent::RunClosed { id: self.id });
    }

    /// Sends the request to the back end and waits for its answer. `None` if the run
    /// was cancelled; the connection to the back end is then closed.
    async fn wait_for_backend(
        &mut self,
        open: &Open,
        body: BodyReceiver,
        admission: Admission,
    ) -> Option<BackendAnswer> {
        let traffic = self.traffic.clone();
        let Some(pool) = traffic.backend(&self.service) else {
            let message = "the node has no local back end for the service".to_owned();
            return Some(Err(BackendError::NotSent(message)));
        };
        let token = traffic.parents.token(self.id);
        let remaining = admission.deadline - traffic.clock.now();
        let request = match backend_request(open, body, token, remaining) {
            Ok(request) => request,
            Err(error) => return Some(Err(BackendError::NotSent(error.to_string()))),
        };
        let start_before = admission.start_before;
        if start_before.is_some_and(|end| traffic.clock.now() >= end) {
            let message =
                "the time by which a run under the claim must start has passed".to_owned();
            return Some(Err(BackendError::NotSent(message)));
        }
        let running = pool.send(request);
        tokio::pin!(running);
        loop {
            tokio::select! {
                answer = &mut running => return Some(answer),
                effect = self.effects.recv_async() => match effect {
                    Ok(AttemptEffect::CancelRun) => return None,
                    Ok(AttemptEffect::Answer { result, load, unspent }) => {
                        self.send_refusal(DecidedAnswer { result, load, unspent });
                    }
                    Ok(AttemptEffect::Run { .. } | AttemptEffect::Replay { .. }) => {}
                    Err(_) => return None,
                },
                () = self.cancel_signal.cancelled(), if !self.not_cancellable => self.report_cancelled(),
            }
        }
    }

    /// Waits for the decision on the back end's answer and carries it out. An
    /// attempt that was answered while it ran gets no second answer.
    async fn forward_answer(&mut self, answer: BackendAnswer) {
        while self.answer.is_some() {
            tokio::select! {
                effect = self.effects.recv_async() => match effect {
                    Ok(AttemptEffect::Answer { result, load, unspent }) => {
                        let decided = DecidedAnswer { result, load, unspent };
                        return self.send_answer(decided, answer).await;
                    }
                    Ok(AttemptEffect::Run { .. } | AttemptEffect::Replay { .. }) => {}
                    Ok(AttemptEffect::CancelRun) | Err(_) => return,
                },
                () = self.cancel_signal.cancelled(), if !self.not_cancellable => {
                    self.report_cancelled();
                    return;
                }
            }
        }
    }

    async fn send_answer(&mut self, decided: DecidedAnswer, answer: BackendAnswer) {
        let is_complete = matches!(decided.result, AttemptResult::Completed { .. });
        let (Ok(mut response), true) = (answer, is_complete) else {
            return self.send_refusal(decided);
        };
        let headers = header::end_to_end(response.headers(), caller_headers::is_internal_header);
        let body_prefix = self.record(&mut response, &headers).await;
        let Some(sender) = self.answer.take() else {
            return;
        };
        let (parts, body) = response.into_parts();
        let sender = sender.send_head(AnswerHead {
            result: decided.result,
            status: parts.status.as_u16(),
            headers,
            load: decided.load,
            unspent: decided.unspent.0,
        });
        self.send_body(sender, body_prefix, body).await;
    }

    /// Records the answer of a run under a claim. Returns the part of the body that
    /// was read for the record.
    async fn record(&self, response: &mut Response<BackendBody>, headers: &[Header]) -> Vec<Bytes> {
        if !self.claimed {
            return Vec::new();
        }
        let read = read_answer(response, headers).await;
        if let Some(outcome) = read.outcome {
            let id = self.id;
            self.report(InboundEvent::AnswerRecorded { id, outcome });
        }
        read.body_prefix
    }

    /// Answers the attempt with the recorded answer of an earlier run.
    async fn replay(&mut self, answer: RecordedAnswer, decided: DecidedAnswer) {
        let Some(sender) = self.answer.take() else {
            return;
        };
        self.not_cancellable = true;
        let mut sender = sender.send_head(AnswerHead {
            result: decided.result,
            status: answer.status,
            headers: recorded_headers(&answer),
            load: decided.load,
            unspent: decided.unspent.0,
        });
        if sender.send(Bytes::from(answer.body)).await.is_ok() {
            sender.finish();
        }
    }

    async fn send_body(&mut self, sender: BodySender, body_prefix: Vec<Bytes>, body: BackendBody) {
        let sending = forward(sender, body_prefix, body);
        tokio::pin!(sending);
        loop {
            tokio::select! {
                () = &mut sending => return,
                effect = self.effects.recv_async() => match effect {
                    Ok(AttemptEffect::CancelRun) | Err(_) => return,
                    Ok(_) => {}
                },
                () = self.cancel_signal.cancelled(), if !self.not_cancellable => {
                    self.report_cancelled();
                    return;
                }
            }
        }
    }

    /// Answers the attempt without a body; nothing is sent if it is already answered.
    fn send_refusal(&mut self, decided: DecidedAnswer) {
        if let Some(sender) = self.answer.take() {
            self.not_cancellable = true;
            sender.send_bodiless(AnswerHead {
                result: decided.result,
                status: 0,
                headers: Vec::new(),
                load: decided.load,
                unspent: decided.unspent.0,
            });
        }
    }

    fn report_cancelled(&mut self) {
        self.not_cancellable = true;
        self.report(InboundEvent::AttemptCancelled { id: self.id });
    }

    fn report(&self, event: InboundEvent) {
        self.traffic.control.inbound(event);
    }

    fn release(&self) {
        let id = self.id;
        self.traffic
            .control
            .send(ControlInput::AttemptReleased { id });
    }
}

/// Sends the body of the back end's answer. If the body ends early, the stream is
/// dropped unfinished.
async fn forward(mut sender: BodySender, body_prefix: Vec<Bytes>, mut body: BackendBody) {
    for data in body_prefix {
        if sender.send(data).await.is_err() {
            return;
        }
    }
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return;
        };
        if let Ok(data) = frame.into_data()
            && sender.send(data).await.is_err()
        {
            return;
        }
    }
    sender.finish();
}
