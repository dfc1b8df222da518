//! Names of the headers and paths that are exchanged with callers, servers and the platform.

use hyper::HeaderMap;
use hyper::header::HeaderName;

/// Names of headers and paths, which depend on the platform. The values have the same format
/// everywhere: times are in whole milliseconds unless stated otherwise.
#[derive(Clone, Debug)]
pub struct WireNames {
    /// Header that identifies one attempt of a caller; servers repeat it in their answers.
    pub request_id: HeaderName,
    /// Header that says how long the caller waits, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Header with a server's signature, which proves that an answer is its own.
    pub signature: HeaderName,
    /// Header that identifies the only server instance that may run the request.
    pub expected_instance: HeaderName,
    /// Header of a server's answer that says that the server has not run the request.
    pub not_run: HeaderName,
    /// Header of a server's answers with the rate limit that the server announces: requests a second from
    /// all nodes together.
    pub server_limit: HeaderName,
    /// Header of a server's answers that has the value [`WireNames::leaving_value`] if the server is
    /// leaving.
    pub server_leaving: HeaderName,
    /// Value of [`WireNames::server_leaving`] if the server is leaving.
    pub leaving_value: &'static str,
    /// Header that contains the service of the calling machine.
    pub caller_service: HeaderName,
    /// Header that passes the tenant of a request to the server.
    pub tenant: HeaderName,
    /// Header with a caller's tenant key, preceded by [`WireNames::key_scheme`] and a space.
    pub authorization: HeaderName,
    /// Authorization scheme that precedes a key, compared without regard to case.
    pub key_scheme: &'static str,
    /// Header that says after how many seconds the caller may retry.
    pub retry_after: HeaderName,
    /// Path at which the platform checks whether the node is ready.
    pub readiness_path: String,
}

impl WireNames {
    /// Returns the request identifier in `headers`; empty if there is none.
    pub fn request_id_of<'h>(&self, headers: &'h HeaderMap) -> &'h str {
        let id = headers.get(&self.request_id);
        id.and_then(|id| id.to_str().ok()).unwrap_or_default()
    }
}
