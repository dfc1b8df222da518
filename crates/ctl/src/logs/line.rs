//! The lines of a node's log about requests that were not served.

use serde::Deserialize;

/// A log line about a request or an attempt, or about lines that were left out.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(tag = "msg")]
pub enum LogLine {
    /// A request was not served; logged by the caller's node with its final answer.
    #[serde(rename = "request not served")]
    NotServed(NotServed),
    /// A server did not answer an attempt; logged by the caller's node.
    #[serde(rename = "attempt not answered")]
    NotAnswered(NotAnswered),
    /// Lines about requests were left out to limit the volume of the log.
    #[serde(rename = "log lines left out")]
    LeftOut {
        /// Number of lines that were left out.
        count: u64,
    },
}

/// A request that was not served, with the final answer of the caller's node.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct NotServed {
    /// Time of the log line, as RFC 3339 text.
    pub ts: String,
    /// The service that was called.
    pub service: String,
    /// Whether the request is a nested call, made by a server for a request that it runs.
    pub nested: bool,
    /// The outcome that the caller was given.
    pub outcome: String,
    /// Why it was not served or answered.
    pub why: String,
}

/// An attempt that a server did not answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct NotAnswered {
    /// Time of the log line, as RFC 3339 text.
    pub ts: String,
    /// The service that was called.
    pub service: String,
    /// Whether the attempt has run, as far as is known.
    pub outcome: String,
    /// Why it was not served or answered.
    pub why: String,
}

/// Parses a log line. Text before its opening brace, such as the name of the node, is
/// ignored. `None` if the line is not about requests that were not served.
pub fn parse(line: &str) -> Option<LogLine> {
    let begin = line.find('{')?;
    serde_json::from_str(&line[begin..]).ok()
}
