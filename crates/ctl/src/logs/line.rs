//! The lines of a node's log that tell of requests which were not served.

use serde::Deserialize;

/// A line that says something of a request, or of lines that were not written.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(tag = "msg")]
pub enum LogLine {
    /// The final answer of the caller's node.
    #[serde(rename = "request not served")]
    NotServed(NotServed),
    /// One attempt that a server did not answer, as the caller's node saw it.
    #[serde(rename = "attempt not answered")]
    NotAnswered(NotAnswered),
    /// Lines about requests that were left out to bound the volume.
    #[serde(rename = "log lines left out")]
    LeftOut {
        /// How many.
        count: u64,
    },
}

/// A request that got a final answer of its caller's node.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct NotServed {
    /// When, as RFC 3339 text.
    pub ts: String,
    /// The service that it was for.
    pub service: String,
    /// Whether a server made it for a request of its own.
    pub nested: bool,
    /// What its caller was told.
    pub outcome: String,
    /// The cause.
    pub why: String,
}

/// An attempt without an answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct NotAnswered {
    /// When, as RFC 3339 text.
    pub ts: String,
    /// The service that it was for.
    pub service: String,
    /// Whether it has run, as far as is known.
    pub outcome: String,
    /// The cause.
    pub why: String,
}

/// Reads a line. Something may stand before its opening brace, such as the name of
/// the node; lines that tell nothing of requests are left out.
pub fn parse(line: &str) -> Option<LogLine> {
    let begin = line.find('{')?;
    serde_json::from_str(&line[begin..]).ok()
}
