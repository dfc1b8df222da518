//! Calls that an executed call makes to other services, through the node beside its back end.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::{HeaderMap, Request, Response, body::Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};

use super::ledger::Ledger;
use crate::call::{CallName, CallSpecification};
use crate::headers;

/// Length in bytes of the response that a nested call asks for.
const NESTED_ANSWER_BYTES: u64 = 256;

/// A nested call that was answered to its caller as not executed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NestedRefusal {
    /// Name of the called service.
    pub service: String,
    /// Identity of the nested call.
    pub name: CallName,
}

/// Makes the nested calls of one back end.
pub struct NestedCalls {
    services: Vec<String>,
    node: Mutex<Option<SocketAddr>>,
    client: Client<HttpConnector, Empty<Bytes>>,
    identity: String,
    runs: AtomicU64,
}

impl NestedCalls {
    /// Creates a client that calls `services` through `node`. `identity` is unique among back ends
    /// and becomes part of the names of the nested calls.
    pub fn new(services: Vec<String>, node: Option<SocketAddr>, identity: String) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        NestedCalls {
            services,
            node: Mutex::new(node),
            client: Client::builder(TokioExecutor::new()).build(connector),
            identity,
            runs: AtomicU64::new(0),
        }
    }

    /// Sets the address of the node through which nested calls are made.
    pub fn set_node(&self, node: SocketAddr) {
        *self.lock_node() = Some(node);
    }

    fn lock_node(&self) -> MutexGuard<'_, Option<SocketAddr>> {
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes all nested calls of one execution in order. Stops and returns false at the first that
    /// fails.
    pub async fn call_all(
        &self,
        parent: &CallSpecification,
        parent_headers: &HeaderMap,
        ledger: &Ledger,
    ) -> bool {
        let run = self.runs.fetch_add(1, Ordering::Relaxed);
        for service in &self.services {
            let call = self.nested_specification(parent, service, run);
            ledger.record_nested_call(&parent.name);
            if !self
                .call_service(service, call, parent_headers, ledger)
                .await
            {
                return false;
            }
        }
        true
    }

    fn nested_specification(
        &self,
        parent: &CallSpecification,
        service: &str,
        run: u64,
    ) -> CallSpecification {
        let name = CallName {
            request: parent.name.request.clone(),
            attempt: parent.name.attempt,
            caller: format!("{}/{run}", self.identity),
        };
        let key = parent.key.as_ref().map(|key| format!("{key}/{service}"));
        CallSpecification {
            name,
            key,
            answer_bytes: NESTED_ANSWER_BYTES,
            pace: Duration::ZERO,
        }
    }

    async fn call_service(
        &self,
        service: &str,
        call: CallSpecification,
        parent_headers: &HeaderMap,
        ledger: &Ledger,
    ) -> bool {
        let Some(request) = self.build_request(service, &call, parent_headers) else {
            return false;
        };
        let Ok(response) = self.client.request(request).await else {
            return false;
        };
        if is_marked_not_run(&response) {
            ledger.record_nested_refusal(NestedRefusal {
                service: service.to_owned(),
                name: call.name,
            });
        }
        let success = response.status().is_success();
        response.into_body().collect().await.is_ok() && success
    }

    fn build_request(
        &self,
        service: &str,
        call: &CallSpecification,
        parent_headers: &HeaderMap,
    ) -> Option<Request<Empty<Bytes>>> {
        let node = (*self.lock_node())?;
        let mut builder = Request::post(format!("http://{node}{}", call.to_path()))
            .header(headers::SERVICE, service);
        for (name, value) in call.name_headers() {
            builder = builder.header(name, value);
        }
        if let Some(context) = parent_headers.get(headers::CONTEXT) {
            builder = builder.header(headers::CONTEXT, context);
        }
        if let Some(key) = &call.key {
            builder = builder.header(headers::IDEMPOTENCY_KEY, key);
        }
        builder.body(Empty::new()).ok()
    }
}

fn is_marked_not_run(response: &Response<Incoming>) -> bool {
    let outcome = response.headers().get(headers::OUTCOME);
    outcome.is_some_and(|outcome| outcome.as_bytes() == b"not-run")
}
