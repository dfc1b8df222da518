//! Identity of a call between clients and back ends, independent of lifthollow's own headers.
//!
//! The request and the idempotency key are sent in the URL, the attempt and the caller in headers
//! of this crate, so that a repeat of a call with a key has the same method, path and body. A call
//! that arrives without these headers is rejected.

use std::collections::BTreeMap;
use std::time::Duration;

use hyper::HeaderMap;
use serde::{Deserialize, Serialize};

use crate::headers;

/// URL path at which back ends receive calls.
pub const CALL_PATH: &str = "/call";

/// Identity of one call that a client or a service sent to a node. Every attempt that nodes make
/// for the call carries the same name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallName {
    /// Name that the client gave to the whole request.
    pub request: String,
    /// Number of the client's attempt to which the call belongs; 1 is the first.
    pub attempt: u32,
    /// Execution on a back end that made this nested call; empty for a client's call.
    pub caller: String,
}

/// Identity of a call and the response that it asks of a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallSpecification {
    /// Identity of the call.
    pub name: CallName,
    /// Idempotency key, if the call must be executed at most once.
    pub key: Option<String>,
    /// Length of the requested response body in bytes.
    pub answer_bytes: u64,
    /// Delay between two blocks of the response body.
    pub pace: Duration,
}

/// Error of a request that does not describe a call.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum BadCall {
    /// The named query field or header is missing.
    #[error("the request has no `{0}`")]
    Missing(&'static str),
    /// The named query field or header is not a number.
    #[error("`{0}` is not a number")]
    NotANumber(&'static str),
}

impl CallSpecification {
    /// Returns the path and query of the call, which are the same for every repeat of it. The
    /// request's name and the key must be URL-safe.
    pub fn to_path(&self) -> String {
        format!(
            "{CALL_PATH}?request={}&key={}&answer_bytes={}&pace_ms={}",
            self.name.request,
            self.key.as_deref().unwrap_or_default(),
            self.answer_bytes,
            self.pace.as_millis(),
        )
    }

    /// Returns the headers that distinguish this call from its repeats.
    pub fn name_headers(&self) -> [(&'static str, String); 2] {
        [
            (headers::CALL_ATTEMPT, self.name.attempt.to_string()),
            (headers::CALL_CALLER, self.name.caller.clone()),
        ]
    }

    /// Reads the specification from a query string and the request's headers.
    pub fn from_request(query: &str, header_fields: &HeaderMap) -> Result<Self, BadCall> {
        let fields: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|field| field.split_once('='))
            .collect();
        let name = CallName {
            request: query_field(&fields, "request")?.to_owned(),
            attempt: parse(
                header_text(header_fields, headers::CALL_ATTEMPT)?,
                headers::CALL_ATTEMPT,
            )?,
            caller: header_text(header_fields, headers::CALL_CALLER)?.to_owned(),
        };
        let key = query_field(&fields, "key")?;
        Ok(CallSpecification {
            name,
            key: (!key.is_empty()).then(|| key.to_owned()),
            answer_bytes: parse_query_field(&fields, "answer_bytes")?,
            pace: Duration::from_millis(parse_query_field(&fields, "pace_ms")?),
        })
    }
}

fn query_field<'a>(
    fields: &BTreeMap<&str, &'a str>,
    name: &'static str,
) -> Result<&'a str, BadCall> {
    fields.get(name).copied().ok_or(BadCall::Missing(name))
}

fn parse_query_field<T: std::str::FromStr>(
    fields: &BTreeMap<&str, &str>,
    name: &'static str,
) -> Result<T, BadCall> {
    parse(query_field(fields, name)?, name)
}

fn header_text<'a>(header_fields: &'a HeaderMap, name: &'static str) -> Result<&'a str, BadCall> {
    let value = header_fields.get(name);
    value
        .and_then(|value| value.to_str().ok())
        .ok_or(BadCall::Missing(name))
}

fn parse<T: std::str::FromStr>(text: &str, name: &'static str) -> Result<T, BadCall> {
    text.parse().map_err(|_| BadCall::NotANumber(name))
}
