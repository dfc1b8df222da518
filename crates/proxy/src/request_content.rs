//! Recognizes requests that ask the same of a server.

use bytes::Bytes;
use hyper::body::Body;
use hyper::http::request::Parts;
use lifthollow_coordination::mesh::poison::content::{
    CallerContent, ContentFingerprint, RequestContent,
};
use lifthollow_state::ServiceName;

use crate::http::ProxyBody;
use crate::http::headers::host;

/// The part of a body that counts, bytes: what a node holds of any body before it
/// sends it on. Longer ones that begin alike and are of the same length count as
/// the same.
const COMPARED_BODY: usize = 256 * 1024;

/// What a request from a machine of the service `caller` asks. It is the same at its
/// caller's node and at its server's.
pub fn caller_content(caller: &str, head: &Parts, body: &ProxyBody) -> CallerContent {
    let target = head.uri.path_and_query();
    let content = RequestContent {
        method: head.method.as_str(),
        host: host(&head.headers, &head.uri),
        target: target.map_or("/", |target| target.as_str()),
        body_length: body.size_hint().exact(),
    };
    CallerContent {
        content: ContentFingerprint::of(&content, beginning(body)),
        caller: ServiceName::new(caller),
    }
}

fn beginning(body: &ProxyBody) -> impl Iterator<Item = &[u8]> {
    let mut left = COMPARED_BODY;
    body.here().map(move |piece: &Bytes| {
        let part = &piece[..piece.len().min(left)];
        left -= part.len();
        part
    })
}
