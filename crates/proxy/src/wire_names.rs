//! What callers, servers and the platform call what is spoken with them.

use hyper::HeaderMap;
use hyper::header::HeaderName;

/// Names of headers and paths. Values have the same form everywhere: times are
/// whole milliseconds.
#[derive(Clone, Debug)]
pub struct WireNames {
    /// Names one attempt of a caller; servers repeat it in their answers.
    pub request_id: HeaderName,
    /// How long the caller waits, milliseconds.
    pub deadline_ms: HeaderName,
    /// A server's proof that an answer is its own.
    pub signature: HeaderName,
    /// The only server instance that may run the request.
    pub expected_instance: HeaderName,
    /// Says in a server's answer that it has not run the request.
    pub not_run: HeaderName,
    /// In a server's answers: the requests a second that it takes from all nodes together.
    pub server_limit: HeaderName,
    /// In a server's answers: [`WireNames::leaving_word`] if it leaves.
    pub server_leaving: HeaderName,
    /// What a server says there if it leaves.
    pub leaving_word: &'static str,
    /// The service of the machine that the request started on.
    pub caller_service: HeaderName,
    /// Tells a server whose request it is.
    pub tenant: HeaderName,
    /// Where a caller shows its tenant's key, after [`WireNames::key_scheme`] and a blank.
    pub authorization: HeaderName,
    /// What stands before a key, in any case.
    pub key_scheme: &'static str,
    /// When the caller may come back, seconds.
    pub retry_after: HeaderName,
    /// Where the platform asks whether the node is ready.
    pub readiness_path: String,
}

impl WireNames {
    /// The identity that a request names; empty if it names none.
    pub fn request_id_of<'h>(&self, headers: &'h HeaderMap) -> &'h str {
        let id = headers.get(&self.request_id);
        id.and_then(|id| id.to_str().ok()).unwrap_or_default()
    }
}
