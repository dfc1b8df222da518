//! A caller's request body: small ones are held so that a retry can send them
//! again, large ones are streamed.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Largest body of a call with an idempotency key, which must be read whole
/// before the call starts, because its digest is part of the claim.
pub const MAX_KEYED_BODY_BYTES: usize = 1024 * 1024;

/// A body as it is sent to other nodes.
pub enum RequestBody {
    /// The whole body, which can be sent again.
    Buffered(Bytes),
    /// The first bytes and the rest, which can be sent once.
    Streaming {
        /// What was read already.
        start: Bytes,
        /// What is still to come.
        rest: Incoming,
    },
}

/// Why a body was not read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The caller went away or broke the rules of HTTP.
    #[error("the request's body broke off: {0}")]
    Broken(#[from] hyper::Error),
    /// The call has an idempotency key and a body too large to be read whole.
    #[error(
        "the body of a call with an idempotency key must not exceed {MAX_KEYED_BODY_BYTES} bytes"
    )]
    KeyedTooLarge,
}

/// Reads a body whole if it is at most `limit` bytes long.
pub async fn read(mut incoming: Incoming, limit: usize) -> Result<RequestBody, ReadError> {
    if incoming.is_end_stream() {
        return Ok(RequestBody::Buffered(Bytes::new()));
    }
    let mut start = BytesMut::new();
    if incoming.size_hint().lower() > limit as u64 {
        return Ok(streaming(start, incoming));
    }
    while let Some(frame) = incoming.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        start.extend_from_slice(&data);
        if start.len() > limit {
            return Ok(streaming(start, incoming));
        }
    }
    Ok(RequestBody::Buffered(start.freeze()))
}

/// Reads the body of a call with an idempotency key, always whole.
pub async fn read_keyed(incoming: Incoming) -> Result<RequestBody, ReadError> {
    match read(incoming, MAX_KEYED_BODY_BYTES).await? {
        RequestBody::Streaming { .. } => Err(ReadError::KeyedTooLarge),
        buffered => Ok(buffered),
    }
}

fn streaming(start: BytesMut, rest: Incoming) -> RequestBody {
    RequestBody::Streaming {
        start: start.freeze(),
        rest,
    }
}
