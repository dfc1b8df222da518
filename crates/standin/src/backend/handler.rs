//! Handling of the HTTP requests that a back end receives.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http_body_util::{BodyExt, Either};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::time::Instant;

use super::BackendArguments;
use super::answer::{ResponseBody, RunGuard, StreamedBody, owned_text_body, text_body};
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

/// `Retry-After` value of a shed call, in seconds.
const SHED_RETRY_AFTER_SECONDS: &str = "1";

/// State of one back end.
pub struct Backend {
    /// Name of the service that the back end provides.
    pub service: String,
    /// Record of the calls that arrived and of those that were executed.
    pub ledger: Arc<Ledger>,
    /// Execution slots and the queue of calls that wait for one.
    pub slots: Slots,
    /// Responses to `/health` and `/load`.
    pub reports: Reports,
    service_times: ServiceTimes,
    cold_start: ColdStart,
    /// Client for the calls that an executed call makes to other services.
    pub nested: NestedCalls,
    fault: Mutex<BackendFault>,
}

impl Backend {
    /// Creates a back end that listens at `address`.
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

    /// Returns the faults that are injected at present.
    pub fn fault(&self) -> BackendFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the injected faults by `fault`.
    pub fn set_fault(&self, fault: BackendFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Handles one HTTP request to the back end.
    pub async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        match request.uri().path() {
            "/health" => self.reports.health(&self),
            "/load" => self.reports.load(&self),
            CALL_PATH => self.handle_call(request).await,
            _ => text_response(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    async fn handle_call(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let query = request.uri().query().unwrap_or_default();
        let call = match CallSpecification::from_request(query, request.headers()) {
            Ok(call) => call,
            Err(error) => return bad_request_response(error.to_string()),
        };
        self.ledger.record_arrival(&call);
        let fault = self.fault();
        if fault.hang {
            self.ledger.record_hung();
            std::future::pending::<()>().await;
        }
        if fault.draining {
            return self.shed_call("draining\n");
        }
        let deadline = parse_deadline(&request);
        let (parts, body) = request.into_parts();
        let Some(body_digest) = digest_body(body).await else {
            return text_response(StatusCode::BAD_REQUEST, "the body broke off\n");
        };
        let Ok(slot) = self.slots.acquire(deadline).await else {
            return self.shed_call("no free slot\n");
        };
        let run = RunGuard::start(
            call.name.clone(),
            body_digest,
            Arc::clone(&self.ledger),
            slot,
        );
        self.execute_call(call, body_digest, &parts.headers, run)
            .await
    }

    async fn execute_call(
        &self,
        call: CallSpecification,
        body_digest: u64,
        headers: &hyper::HeaderMap,
        mut run: RunGuard,
    ) -> Response<ResponseBody> {
        let fault = self.fault();
        let factor = self.cold_start.next_factor() * fault.slow_factor;
        let service_time = self.service_times.sample().mul_f64(factor);
        let nested_calls_succeeded = self.nested.call_all(&call, headers, &self.ledger).await;
        if nested_calls_succeeded {
            tokio::time::sleep(service_time).await;
        }
        if !nested_calls_succeeded || self.service_times.sample_bool(fault.error_ratio) {
            run.mark_completed();
            return text_response(StatusCode::INTERNAL_SERVER_ERROR, "failed\n");
        }
        let truncate = self.service_times.sample_bool(fault.cut_ratio);
        let content = Content::of_answer(&call, body_digest);
        let body = StreamedBody::new(content, call.pace, truncate, run);
        Response::new(Either::Right(body))
    }

    fn shed_call(&self, text: &'static str) -> Response<ResponseBody> {
        self.ledger.record_shed();
        let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, text);
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

/// Returns the time at which the caller stops waiting, computed from the remaining time in the
/// deadline header.
fn parse_deadline(request: &Request<Incoming>) -> Option<Instant> {
    let remaining = request.headers().get(headers::DEADLINE_MS)?;
    let millis: u64 = remaining.to_str().ok()?.parse().ok()?;
    Some(Instant::now() + Duration::from_millis(millis))
}

/// Reads a request body to its end in bounded memory and returns its digest, or `None` if the
/// body ends early.
async fn digest_body(mut body: Incoming) -> Option<u64> {
    let mut digest = BodyDigest::default();
    while let Some(frame) = body.frame().await {
        if let Some(piece) = frame.ok()?.data_ref() {
            digest.update(piece);
        }
    }
    Some(digest.finish())
}

/// Creates a response with the given status and text.
pub fn text_response(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(text_body(text));
    *response.status_mut() = status;
    response
}

fn bad_request_response(text: String) -> Response<ResponseBody> {
    let mut response = Response::new(owned_text_body(text));
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}
