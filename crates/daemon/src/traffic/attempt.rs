//! One attempt of another node, from its arrival to the last byte of the back
//! end's answer.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::Response;

use lifthollow_coordination::inbound::{Attempt, InboundEvent, InboundId};
use lifthollow_protocol::frame::{AnswerHead, Open};
use lifthollow_protocol::{AttemptResult, LoadReport};
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
use crate::traffic::run::{backend_request, run_result};

/// Serves attempts as they arrive, each in a task of its own.
pub async fn serve_attempts(traffic: Arc<Traffic>, attempts: flume::Receiver<IncomingAttempt>) {
    while let Ok(incoming) = attempts.recv_async().await {
        tokio::spawn(serve(traffic.clone(), incoming));
    }
}

async fn serve(traffic: Arc<Traffic>, incoming: IncomingAttempt) {
    let (mut task, open, body) = AttemptTask::start(traffic, incoming);
    if let Some(deadline) = task.wait_for_admission().await {
        task.run(&open, body, deadline).await;
    }
}

/// Carries out what is decided for one attempt.
struct AttemptTask {
    traffic: Arc<Traffic>,
    id: InboundId,
    service: ServiceName,
    effects: flume::Receiver<AttemptEffect>,
    cancel_signal: CancelSignal,
    /// Nothing more can be cancelled: the other node gave up, or has its answer.
    over: bool,
    answer: Option<AnswerSender>,
    /// Whether the control thread has been told of the run's end.
    closed: bool,
    _parent: ParentGuard,
    _in_progress: InProgressGuard,
}

/// The attempt's number is forgotten when its task ends; the end of a run tells
/// that already.
impl Drop for AttemptTask {
    fn drop(&mut self) {
        if !self.closed {
            self.release();
        }
    }
}

/// An answer as it was decided.
struct DecidedAnswer {
    result: AttemptResult,
    load: LoadReport,
    unspent: RetryAllowance,
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
            over: false,
            answer: Some(incoming.answer),
            closed: false,
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

    /// Waits until the attempt may run, with the deadline for the back end, or is
    /// over.
    async fn wait_for_admission(&mut self) -> Option<Timestamp> {
        loop {
            tokio::select! {
                effect = self.effects.recv_async() => match effect {
                    Ok(AttemptEffect::Run { deadline }) => return Some(deadline),
                    Ok(AttemptEffect::Answer { result, load, unspent }) => {
                        self.send_refusal(DecidedAnswer { result, load, unspent });
                        return None;
                    }
                    Ok(AttemptEffect::CancelRun) => {}
                    Err(_) => return None,
                },
                () = self.cancel_signal.cancelled(), if !self.over => {
                    self.report_cancelled();
                    // What was decided before the cancellation is still to come.
                    self.release();
                }
            }
        }
    }

    /// Runs the attempt; the back end is free of it at the end.
    async fn run(&mut self, open: &Open, body: BodyReceiver, deadline: Timestamp) {
        if let Some(answer) = self.wait_for_backend(open, body, deadline).await {
            self.report(InboundEvent::RunAnswered {
                id: self.id,
                result: run_result(&answer),
            });
            self.pass_on(answer).await;
        }
        self.closed = true;
        self.report(InboundEvent::RunClosed { id: self.id });
    }

    /// `None` if the run was cancelled; the connection to the back end is closed.
    async fn wait_for_backend(
        &mut self,
        open: &Open,
        body: BodyReceiver,
        deadline: Timestamp,
    ) -> Option<BackendAnswer> {
        let traffic = self.traffic.clone();
        let Some(pool) = traffic.backend(&self.service) else {
            let message = "no back end of this service".to_owned();
            return Some(Err(BackendError::NotSent(message)));
        };
        let token = traffic.parents.token(self.id);
        let remaining = deadline - traffic.clock.now();
        let request = match backend_request(open, body, token, remaining) {
            Ok(request) => request,
            Err(error) => return Some(Err(BackendError::NotSent(error.to_string()))),
        };
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
                    Ok(AttemptEffect::Run { .. }) => {}
                    Err(_) => return None,
                },
                () = self.cancel_signal.cancelled(), if !self.over => self.report_cancelled(),
            }
        }
    }

    /// Waits for the decision on the back end's answer and carries it out. An
    /// attempt that was answered while it ran needs no second answer.
    async fn pass_on(&mut self, answer: BackendAnswer) {
        while self.answer.is_some() {
            tokio::select! {
                effect = self.effects.recv_async() => match effect {
                    Ok(AttemptEffect::Answer { result, load, unspent }) => {
                        let decided = DecidedAnswer { result, load, unspent };
                        return self.send_answer(decided, answer).await;
                    }
                    Ok(AttemptEffect::Run { .. }) => {}
                    Ok(AttemptEffect::CancelRun) | Err(_) => return,
                },
                () = self.cancel_signal.cancelled(), if !self.over => {
                    self.report_cancelled();
                    return;
                }
            }
        }
    }

    async fn send_answer(&mut self, decided: DecidedAnswer, answer: BackendAnswer) {
        let is_complete = matches!(decided.result, AttemptResult::Completed { .. });
        let (Ok(response), true) = (answer, is_complete) else {
            return self.send_refusal(decided);
        };
        let Some(sender) = self.answer.take() else {
            return;
        };
        let (parts, body) = response.into_parts();
        let headers = header::end_to_end(&parts.headers, caller_headers::is_own);
        let sender = sender.send_head(AnswerHead {
            result: decided.result,
            status: parts.status.as_u16(),
            headers,
            load: decided.load,
            unspent: decided.unspent.0,
        });
        self.send_body(sender, body).await;
    }

    async fn send_body(&mut self, sender: BodySender, body: BackendBody) {
        let sending = forward(sender, body);
        tokio::pin!(sending);
        loop {
            tokio::select! {
                () = &mut sending => return,
                effect = self.effects.recv_async() => match effect {
                    Ok(AttemptEffect::CancelRun) | Err(_) => return,
                    Ok(_) => {}
                },
                () = self.cancel_signal.cancelled(), if !self.over => {
                    self.report_cancelled();
                    return;
                }
            }
        }
    }

    /// Answers without a body; nothing is sent if the attempt is answered already.
    fn send_refusal(&mut self, decided: DecidedAnswer) {
        if let Some(sender) = self.answer.take() {
            self.over = true;
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
        self.over = true;
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

/// Sends the back end's body. If it breaks off, so does the stream.
async fn forward(mut sender: BodySender, mut body: BackendBody) {
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
