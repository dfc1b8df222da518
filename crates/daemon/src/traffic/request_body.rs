//! Bodies of callers' requests: small ones are buffered so that a retry can send
//! them again, large ones are streamed.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Largest body of a call with an idempotency key, which must be read whole
/// before the call starts, because its digest is part of the claim.
pub const MAX_KEYED_BODY_BYTES: usize = 1024 * 1024;

/// A request body as it is sent to other nodes.
pub enum RequestBody {
    /// The whole body, which can be sent again.
    Buffered(Bytes),
    /// The first bytes and the unread rest, which can be sent only once.
    Streaming {
        /// The bytes that are already read.
        start: Bytes,
        /// The rest of the body, not yet read.
        rest: Incoming,
    },
}

/// Why a request body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The caller closed the connection or violated the HTTP protocol.
    #[error("the request's body broke off: {0}")]
    Broken(#[from] hyper::Error),
    /// The call has an idempotency key and a body too large to be read whole.
    #[error(
        "the body of a call with an idempotency key must not exceed {MAX_KEYED_BODY_BYTES} bytes"
    )]
    KeyedTooLarge,
}

/// Buffers a body of at most `limit` bytes; a longer one is left to be streamed.
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

/// Reads the whole body of a call with an idempotency key.
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
