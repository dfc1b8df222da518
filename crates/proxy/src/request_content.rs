//! Fingerprints the content of requests, to recognize requests that are alike.

use bytes::Bytes;
use hyper::body::Body;
use hyper::http::request::Parts;
use lifthollow_coordination::mesh::poison::content::{
    CallerContent, ContentFingerprint, RequestContent,
};
use lifthollow_state::ServiceName;

use crate::http::ProxyBody;
use crate::http::headers::host;

/// How much of the beginning of a body is part of the fingerprint, in bytes: as much as a node
/// buffers of any body before it forwards it. Longer bodies that share their beginning and have the
/// same length count as equal.
const MAX_COMPARED_BODY_BYTES: usize = 256 * 1024;

/// Computes the content fingerprint of a request from a machine of the service `caller`. The caller's
/// node and the server's node compute the same one.
pub fn caller_content(caller: &str, head: &Parts, body: &ProxyBody) -> CallerContent {
    let target = head.uri.path_and_query();
    let content = RequestContent {
        method: head.method.as_str(),
        host: host(&head.headers, &head.uri),
        target: target.map_or("/", |target| target.as_str()),
        body_length: body.size_hint().exact(),
    };
    CallerContent {
        content: ContentFingerprint::of(&content, compared_part(body)),
        caller: ServiceName::new(caller),
    }
}

fn compared_part(body: &ProxyBody) -> impl Iterator<Item = &[u8]> {
    let mut bytes_left = MAX_COMPARED_BODY_BYTES;
    body.here().map(move |chunk: &Bytes| {
        let part = &chunk[..chunk.len().min(bytes_left)];
        bytes_left -= part.len();
        part
    })
}
