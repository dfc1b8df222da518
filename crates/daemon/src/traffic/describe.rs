//! Builds the policy's description of a caller's request, and the request head that
//! is sent to other nodes.

use std::time::Duration;

use hyper::header::{EXPECT, HeaderName};
use hyper::http::request::Parts;
use xxhash_rust::xxh3::Xxh3;

use lifthollow_coordination::outbound::{Call, CallId};
use lifthollow_coordination::retry::{AttemptNumber, entry_allowance};
use lifthollow_state::{
    IdempotencyKey, Priority, PriorityClass, RequestContext, RequestId, RetryAllowance, TableRow,
    Timestamp,
};
use lifthollow_transport::http::header;

use crate::traffic::Traffic;
use crate::traffic::caller_headers::{self, CallerHeaders};
use crate::traffic::dispatch::RequestHead;
use crate::traffic::request_body::RequestBody;

/// Deadline of a call to a service that is not in the table.
const FALLBACK_DEADLINE: Duration = Duration::from_secs(1);

/// Builds the description of a call for the policy. A call that names a parent which
/// is no longer in progress on this node belongs to no known request, and is granted
/// no retries.
pub fn describe(
    traffic: &Traffic,
    id: CallId,
    headers: &CallerHeaders,
    body: &RequestBody,
) -> Call {
    let parent = headers
        .context
        .and_then(|token| traffic.parents.find(token));
    let view = traffic.shared.view();
    let row = view.table.any_row(&headers.service);
    let now = traffic.clock.now();
    let mut context = match &parent {
        Some((_, parent)) => nested_context(headers, parent, now),
        None => entry_context(traffic, id, headers, row, now),
    };
    context.idempotency_key = headers
        .idempotency_key
        .as_ref()
        .map(|name| IdempotencyKey::from_name(&headers.service, name));
    let is_keyed = context.idempotency_key.is_some();
    Call {
        service: headers.service.clone(),
        context,
        parent: parent.map(|(attempt, _)| attempt),
        repeatable: !is_keyed && row.is_some_and(|row| row.repeatable),
        replayable: matches!(body, RequestBody::Buffered(_)),
    }
}

fn entry_context(
    traffic: &Traffic,
    id: CallId,
    headers: &CallerHeaders,
    row: Option<&TableRow>,
    now: Timestamp,
) -> RequestContext {
    let request = match &headers.request {
        Some(name) => RequestId::from_name(name),
        None => traffic.unnamed_request(id),
    };
    let from_table = row.map_or(FALLBACK_DEADLINE, |row| row.deadline);
    let class = row.map_or(PriorityClass::Normal, |row| row.class);
    RequestContext {
        request,
        deadline: now + headers.deadline.unwrap_or(from_table),
        priority: Priority {
            class: headers.class.unwrap_or(class),
            user: request.user_priority(),
        },
        idempotency_key: None,
        allowance: granted_allowance(headers),
    }
}

/// The retries granted to a new request as a whole.
fn granted_allowance(headers: &CallerHeaders) -> RetryAllowance {
    if headers.context.is_some() {
        return RetryAllowance(0);
    }
    entry_allowance(AttemptNumber(headers.attempt))
}

/// The context of a nested call. Its priority is never higher and its deadline never
/// later than that of its parent. Its retry allowance is lent by the policy, which
/// accounts for the parent's allowance.
fn nested_context(
    headers: &CallerHeaders,
    parent: &RequestContext,
    now: Timestamp,
) -> RequestContext {
    let asked = headers.deadline.map(|deadline| now + deadline);
    let class = headers.class.unwrap_or(parent.priority.class);
    RequestContext {
        request: parent.request,
        deadline: asked.map_or(parent.deadline, |asked| asked.min(parent.deadline)),
        priority: Priority {
            class: class.min(parent.priority.class),
            user: parent.priority.user,
        },
        idempotency_key: None,
        allowance: RetryAllowance(0),
    }
}

/// Builds the part of the request that is the same in all attempts of the call.
pub fn request_head(parts: &Parts, headers: &CallerHeaders, body: &RequestBody) -> RequestHead {
    let path = parts.uri.path_and_query();
    let path = path.map_or("/", |path| path.as_str());
    let leave_out = |name: &HeaderName| caller_headers::is_internal_header(name) || name == EXPECT;
    RequestHead {
        service: headers.service.clone(),
        method: parts.method.as_str().to_owned(),
        path: path.to_owned(),
        headers: header::end_to_end(&parts.headers, leave_out),
        body_digest: body_digest(parts.method.as_str(), path, headers, body),
    }
}

/// Digest of method, path and body; zero for calls without an idempotency key.
fn body_digest(method: &str, path: &str, headers: &CallerHeaders, body: &RequestBody) -> u64 {
    let (Some(_), RequestBody::Buffered(bytes)) = (&headers.idempotency_key, body) else {
        return 0;
    };
    let mut hasher = Xxh3::new();
    hasher.update(method.as_bytes());
    hasher.update(b"\0");
    hasher.update(path.as_bytes());
    hasher.update(b"\0");
    hasher.update(bytes);
    hasher.digest()
}
