//! How one call is named between clients and back ends, apart from lifthollow's own headers.
//!
//! The request and the key travel in the URL; the attempt and the caller travel in headers
//! of the stand-in's own, so that a repeat of a keyed call has the same method, path and
//! body. A call that arrives without these headers is refused.

use std::collections::BTreeMap;
use std::time::Duration;

use hyper::HeaderMap;
use serde::{Deserialize, Serialize};

use crate::headers;

/// Path under which back ends take calls.
pub const CALL_PATH: &str = "/call";

/// Identity of one call that a client or a service handed to a node. Every
/// attempt that nodes make for it carries the same name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallName {
    /// The client's name for the whole request.
    pub request: String,
    /// Which of the client's attempts it belongs to; 1 is the first.
    pub attempt: u32,
    /// The run of a back end that made this nested call; empty for a client's call.
    pub caller: String,
}

/// What a call asks of a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallSpecification {
    /// Its name.
    pub name: CallName,
    /// The operation's name if it must run at most once.
    pub key: Option<String>,
    /// Length of the wanted answer.
    pub answer_bytes: u64,
    /// Pause between two blocks of the answer.
    pub pace: Duration,
}

/// A request that does not describe a call.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum BadCall {
    /// A field is missing.
    #[error("the request has no `{0}`")]
    Missing(&'static str),
    /// A field is not a number.
    #[error("`{0}` is not a number")]
    NotANumber(&'static str),
}

impl CallSpecification {
    /// The path and query, the same for every repeat of the call. Names must be URL-safe.
    pub fn to_path(&self) -> String {
        format!(
            "{CALL_PATH}?request={}&key={}&answer_bytes={}&pace_ms={}",
            self.name.request,
            self.key.as_deref().unwrap_or_default(),
            self.answer_bytes,
            self.pace.as_millis(),
        )
    }

    /// The headers that tell this call from its repeats.
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
            request: text(&fields, "request")?.to_owned(),
            attempt: parse(
                header_text(header_fields, headers::CALL_ATTEMPT)?,
                headers::CALL_ATTEMPT,
            )?,
            caller: header_text(header_fields, headers::CALL_CALLER)?.to_owned(),
        };
        let key = text(&fields, "key")?;
        Ok(CallSpecification {
            name,
            key: (!key.is_empty()).then(|| key.to_owned()),
            answer_bytes: number(&fields, "answer_bytes")?,
            pace: Duration::from_millis(number(&fields, "pace_ms")?),
        })
    }
}

fn text<'a>(fields: &BTreeMap<&str, &'a str>, name: &'static str) -> Result<&'a str, BadCall> {
    fields.get(name).copied().ok_or(BadCall::Missing(name))
}

fn number<T: std::str::FromStr>(
    fields: &BTreeMap<&str, &str>,
    name: &'static str,
) -> Result<T, BadCall> {
    parse(text(fields, name)?, name)
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
