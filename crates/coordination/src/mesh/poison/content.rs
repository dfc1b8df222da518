//! What makes two requests the same to a server.

use std::fmt;

use lifthollow_state::ServiceName;
use xxhash_rust::xxh3::Xxh3Default;

/// What a server is given of a request, but for what differs from one attempt to
/// the next.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Its method.
    pub method: &'a str,
    /// The host that it names.
    pub host: &'a str,
    /// Its path and query.
    pub target: &'a str,
    /// Length of its body, bytes; none if that isn't known before its end.
    pub body_length: Option<u64>,
}

/// A hash of a request's content; two requests with the same are the same to a
/// server. With 128 bits, a million different requests share one by chance with a
/// probability below 1e-26.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ContentFingerprint(pub u128);

/// Written between the parts, so that none can pass for a piece of the next.
const SEPARATOR: [u8; 1] = [0];

impl ContentFingerprint {
    /// The fingerprint of `content` with a body that begins with `body`.
    pub fn of<'b>(content: &RequestContent, body: impl Iterator<Item = &'b [u8]>) -> Self {
        let mut hasher = Xxh3Default::new();
        for part in [content.method, content.host, content.target] {
            hasher.update(part.as_bytes());
            hasher.update(&SEPARATOR);
        }
        hasher.update(&content.body_length.unwrap_or(u64::MAX).to_le_bytes());
        for piece in body {
            hasher.update(piece);
        }
        ContentFingerprint(hasher.digest128())
    }
}

impl fmt::Display for ContentFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// A content, and the service on whose machine its request started. Servers are told that
/// service, so what it asks may be another matter for each; or the same for all.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallerContent {
    /// What is asked.
    pub content: ContentFingerprint,
    /// The service on whose machine the request started.
    pub caller: ServiceName,
}

impl fmt::Display for CallerContent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.content, self.caller)
    }
}
