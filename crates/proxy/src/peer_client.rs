//! Sends queries to other nodes and decodes their answers.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::{HOST, HeaderValue};
use hyper::{HeaderMap, Request};
use thiserror::Error;
use tokio::time::timeout;

use crate::http::ProxyBody;
use crate::http::body::{self, ReadBody};
use crate::http::pool::Reuse;
use crate::node::Node;

/// The largest answer that is read, in bytes; the largest answers are whole snapshots.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Reason why a query to another node failed.
#[derive(Debug, Error)]
pub(crate) enum FetchError {
    #[error("{0}")]
    Send(#[from] crate::http::pool::SendError),
    #[error("{0}")]
    Read(#[from] hyper::Error),
    #[error("answer larger than {MAX_ANSWER_BYTES} bytes")]
    TooLarge,
    #[error("{0}")]
    Decode(#[from] minicbor::decode::Error),
    #[error("answer without a snapshot version")]
    NoSnapshotVersion,
    #[error("no answer in time")]
    TimedOut,
}

/// Sends a query with `headers` and `body` to the `path` of the node at `address`. Returns the decoded
/// answer and its headers.
///
/// # Errors
///
/// There is no valid answer within `limit`.
pub(crate) async fn fetch<T: for<'b> minicbor::Decode<'b, ()>>(
    node: &Rc<Node>,
    address: SocketAddrV4,
    path: &'static str,
    headers: HeaderMap,
    body: ProxyBody,
    limit: Duration,
) -> Result<(T, HeaderMap), FetchError> {
    let mut request = Request::new(body);
    *request.uri_mut() = hyper::Uri::from_static(path);
    let host = HeaderValue::try_from(address.to_string()).expect("an address is plain text");
    *request.headers_mut() = headers;
    request.headers_mut().insert(HOST, host);
    let exchange = async {
        let (response, lease) = node
            .peer_connections
            .send(address, request, Reuse::Any)
            .await?;
        let (head, incoming) = response.into_parts();
        match body::read(incoming, MAX_ANSWER_BYTES).await? {
            ReadBody::Larger { .. } => Err(FetchError::TooLarge),
            ReadBody::Whole(bytes) => {
                lease.keep();
                Ok((minicbor::decode(&bytes)?, head.headers))
            }
        }
    };
    timeout(limit, exchange)
        .await
        .map_err(|_| FetchError::TimedOut)?
}
