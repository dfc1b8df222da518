//! How one call is named between clients and back ends, apart from lifthollow's own headers.
//!
//! The name travels in the URL, so that a back end's ledger can be compared with a client's
//! record whatever a node does with headers.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

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

/// A query string that does not describe a call.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum BadCall {
    /// A field is missing.
    #[error("the query has no `{0}`")]
    Missing(&'static str),
    /// A field is not a number.
    #[error("`{0}` is not a number")]
    NotANumber(&'static str),
}

impl CallSpecification {
    /// The path and query that carry this specification. Names must be URL-safe.
    pub fn to_path(&self) -> String {
        format!(
            "{CALL_PATH}?request={}&attempt={}&caller={}&key={}&answer_bytes={}&pace_ms={}",
            self.name.request,
            self.name.attempt,
            self.name.caller,
            self.key.as_deref().unwrap_or_default(),
            self.answer_bytes,
            self.pace.as_millis(),
        )
    }

    /// Reads the specification from a query string.
    pub fn from_query(query: &str) -> Result<Self, BadCall> {
        let fields: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|field| field.split_once('='))
            .collect();
        let name = CallName {
            request: text(&fields, "request")?.to_owned(),
            attempt: number(&fields, "attempt")?,
            caller: text(&fields, "caller")?.to_owned(),
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
    text(fields, name)?
        .parse()
        .map_err(|_| BadCall::NotANumber(name))
}
