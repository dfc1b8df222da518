//! Content of a request, by which a request that is sent again is recognized.

use std::fmt;

use lifthollow_state::ServiceName;
use xxhash_rust::xxh3::Xxh3Default;

/// Parts of a request that a server receives and that stay the same from one attempt to the
/// next.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// HTTP method of the request.
    pub method: &'a str,
    /// Host that the request names.
    pub host: &'a str,
    /// Path and query of the request.
    pub target: &'a str,
    /// Length of the request body in bytes; `None` if it isn't known before the body ends.
    pub body_length: Option<u64>,
}

/// Hash of a request's content; requests with equal fingerprints are treated as the same
/// request. With 128 bits, the probability that any two of a million different requests collide
/// is below 1e-26.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ContentFingerprint(pub u128);

/// Byte hashed after each part, so that moving bytes from one part to the next changes the hash.
const SEPARATOR: [u8; 1] = [0];

impl ContentFingerprint {
    /// Computes the fingerprint of `content` with a body that begins with `body`.
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

/// Content of a request together with the service on whose machine the request started. Servers
/// receive that service, so the same content may be handled differently for each of them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallerContent {
    /// Fingerprint of the request's content.
    pub content: ContentFingerprint,
    /// Service on whose machine the request started.
    pub caller: ServiceName,
}

impl fmt::Display for CallerContent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.content, self.caller)
    }
}
