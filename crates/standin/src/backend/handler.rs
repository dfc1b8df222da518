//! What a back end does with one HTTP request.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http_body_util::{BodyExt, Either};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::time::Instant;

use super::BackendArguments;
use super::answer::{AnswerBody, RunGuard, StreamedAnswer, short, short_owned};
use super::cold_start::ColdStart;
use super::fault::BackendFault;
use super::ledger::Ledger;
use super::nested::NestedCalls;
use super::reports::Reports;
use super::service_time::ServiceTimes;
use super::slots::Slots;
use crate::call::{CALL_PATH, CallSpecification};
use crate::content::{BodyDigest, Content};
use crate::headers;

/// Seconds after which a shed caller may come back.
const SHED_RETRY_AFTER_SECONDS: &str = "1";

/// One back end.
pub struct Backend {
    /// The service's name.
    pub service: String,
    /// What really ran.
    pub ledger: Arc<Ledger>,
    /// Slots and queue.
    pub slots: Slots,
    /// What /health and /load say.
    pub reports: Reports,
    service_times: ServiceTimes,
    cold_start: ColdStart,
    /// Calls to other services.
    pub nested: NestedCalls,
    fault: Mutex<BackendFault>,
}

impl Backend {
    /// A back end that listens at `address`.
    pub fn new(arguments: &BackendArguments, address: SocketAddr) -> anyhow::Result<Self> {
        let service_times = ServiceTimes::new(
            arguments.service_ms,
            arguments.service_sigma,
            arguments.seed,
        )?;
        let cold_duration = Duration::from_millis(arguments.cold_ms);
        let nested = NestedCalls::new(
            arguments.nested.clone(),
            arguments.node,
            address.port().to_string(),
        );
        Ok(Backend {
            service: arguments.service.clone(),
            ledger: Arc::new(Ledger::default()),
            slots: Slots::new(arguments.slots, arguments.queue),
            reports: Reports::new(arguments.reports, arguments.reports_age_ms),
            service_times,
            cold_start: ColdStart::new(arguments.cold_factor, arguments.cold_calls, cold_duration),
            nested,
            fault: Mutex::new(BackendFault::default()),
        })
    }

    /// The fault switch.
    pub fn fault(&self) -> BackendFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the fault switch.
    pub fn set_fault(&self, fault: BackendFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Answers one request.
    pub async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        match request.uri().path() {
            "/health" => self.reports.health(&self),
            "/load" => self.reports.load(&self),
            CALL_PATH => self.call(request).await,
            _ => respond(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    async fn call(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let query = request.uri().query().unwrap_or_default();
        let call = match CallSpecification::from_request(query, request.headers()) {
            Ok(call) => call,
            Err(error) => return bad_call(error.to_string()),
        };
        self.ledger.arrived(&call);
        let fault = self.fault();
        if fault.hang {
            self.ledger.hung();
            std::future::pending::<()>().await;
        }
        if fault.draining {
            return self.shed("draining\n");
        }
        let deadline = deadline_of(&request);
        let (parts, body) = request.into_parts();
        let Some(body_digest) = digest_body(body).await else {
            return respond(StatusCode::BAD_REQUEST, "the body broke off\n");
        };
        let Ok(slot) = self.slots.take(deadline).await else {
            return self.shed("no free slot\n");
        };
        let run = RunGuard::start(
            call.name.clone(),
            body_digest,
            Arc::clone(&self.ledger),
            slot,
        );
        self.run(call, body_digest, &parts.headers, run).await
    }

    async fn run(
        &self,
        call: CallSpecification,
        body_digest: u64,
        headers: &hyper::HeaderMap,
        mut run: RunGuard,
    ) -> Response<AnswerBody> {
        let fault = self.fault();
        let factor = self.cold_start.next_factor() * fault.slow_factor;
        let service_time = self.service_times.sample().mul_f64(factor);
        let nested_complete = self.nested.make(&call, headers, &self.ledger).await;
        if nested_complete {
            tokio::time::sleep(service_time).await;
        }
        if !nested_complete || self.service_times.happens(fault.error_ratio) {
            run.complete();
            return respond(StatusCode::INTERNAL_SERVER_ERROR, "failed\n");
        }
        let cut = self.service_times.happens(fault.cut_ratio);
        let content = Content::of_answer(&call, body_digest);
        let answer = StreamedAnswer::new(content, call.pace, cut, run);
        Response::new(Either::Right(answer))
    }

    fn shed(&self, text: &'static str) -> Response<AnswerBody> {
        self.ledger.shed();
        let mut response = respond(StatusCode::SERVICE_UNAVAILABLE, text);
        let fields = response.headers_mut();
        fields.insert(
            headers::NOT_RUN,
            hyper::header::HeaderValue::from_static("yes"),
        );
        fields.insert(
            headers::RETRY_AFTER,
            hyper::header::HeaderValue::from_static(SHED_RETRY_AFTER_SECONDS),
        );
        response
    }
}

/// When the caller stops waiting, from its remaining time.
fn deadline_of(request: &Request<Incoming>) -> Option<Instant> {
    let remaining = request.headers().get(headers::DEADLINE_MS)?;
    let millis: u64 = remaining.to_str().ok()?.parse().ok()?;
    Some(Instant::now() + Duration::from_millis(millis))
}

/// Reads the whole body in bounded memory; `None` if it breaks off.
async fn digest_body(mut body: Incoming) -> Option<u64> {
    let mut digest = BodyDigest::default();
    while let Some(frame) = body.frame().await {
        if let Some(piece) = frame.ok()?.data_ref() {
            digest.update(piece);
        }
    }
    Some(digest.finish())
}

/// A short answer with a status.
pub fn respond(status: StatusCode, text: &'static str) -> Response<AnswerBody> {
    let mut response = Response::new(short(text));
    *response.status_mut() = status;
    response
}

fn bad_call(text: String) -> Response<AnswerBody> {
    let mut response = Response::new(short_owned(text));
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}
