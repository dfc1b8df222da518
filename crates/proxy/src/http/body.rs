//! Message bodies that are either buffered as a whole or streamed in chunks.

use std::any::Any;
use std::cell::Cell;
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};

/// A body of a request or an answer that the proxy forwards.
pub enum ProxyBody {
    /// The body is buffered as a whole.
    Whole(Bytes),
    /// The beginning of the body is buffered; the rest is streamed from the connection it arrives on.
    Passing {
        /// Chunks that have arrived and were not yet forwarded.
        arrived: VecDeque<Bytes>,
        /// The part of the body that has not arrived yet.
        rest: Incoming,
        /// A value that is dropped with the body, such as the lease of its connection.
        guard: Box<dyn Any>,
        /// Set to true once the whole body has been forwarded.
        is_complete: Rc<Cell<bool>>,
    },
}

/// The result of reading a body up to a size limit.
pub enum ReadBody {
    /// The whole body.
    Whole(Bytes),
    /// The body exceeds the size limit, or has many small chunks.
    Larger {
        /// Chunks that have been read, including the one that exceeds a limit.
        arrived: VecDeque<Bytes>,
        /// The part of the body that has not been read.
        rest: Incoming,
    },
}

impl ProxyBody {
    /// Creates a body without bytes.
    pub fn empty() -> Self {
        ProxyBody::Whole(Bytes::new())
    }

    /// Iterates over the buffered chunks of the body.
    pub fn here(&self) -> impl Iterator<Item = &Bytes> {
        let (whole, arrived) = match self {
            ProxyBody::Whole(bytes) => (Some(bytes), None),
            ProxyBody::Passing { arrived, .. } => (None, Some(arrived)),
        };
        whole.into_iter().chain(arrived.into_iter().flatten())
    }
}

impl From<ReadBody> for ProxyBody {
    fn from(read: ReadBody) -> Self {
        match read {
            ReadBody::Whole(bytes) => ProxyBody::Whole(bytes),
            ReadBody::Larger { arrived, rest } => ProxyBody::Passing {
                arrived,
                rest,
                guard: Box::new(()),
                is_complete: Rc::default(),
            },
        }
    }
}

/// Number of chunks from which on a body whose chunks are small on average is not buffered any further:
/// each chunk costs processor time and memory, however few bytes it has.
const MAX_SMALL_CHUNKS: usize = 1024;
/// Mean size in bytes below which the chunks of a body are small.
const SMALL_CHUNK_BYTES: usize = 256;

/// Reads `body` until it ends, the chunks read exceed `limit` bytes, or they are many and small.
pub async fn read(mut body: Incoming, limit: usize) -> Result<ReadBody, hyper::Error> {
    if body.is_end_stream() {
        return Ok(ReadBody::Whole(Bytes::new()));
    }
    let mut arrived = VecDeque::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame?.into_data() else {
            continue;
        };
        length += chunk.len();
        arrived.push_back(chunk);
        let has_small_chunks = length < arrived.len() * SMALL_CHUNK_BYTES;
        if length > limit || (has_small_chunks && arrived.len() >= MAX_SMALL_CHUNKS) {
            return Ok(ReadBody::Larger {
                arrived,
                rest: body,
            });
        }
    }
    Ok(ReadBody::Whole(concatenate(arrived, length)))
}

fn concatenate(mut chunks: VecDeque<Bytes>, length: usize) -> Bytes {
    if chunks.len() <= 1 {
        return chunks.pop_front().unwrap_or_default();
    }
    let mut whole = BytesMut::with_capacity(length);
    for chunk in chunks {
        whole.extend_from_slice(&chunk);
    }
    whole.freeze()
}

impl Body for ProxyBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            ProxyBody::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            ProxyBody::Whole(bytes) => {
                let bytes = std::mem::take(bytes);
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            ProxyBody::Passing {
                arrived,
                rest,
                is_complete,
                ..
            } => {
                let frame = match arrived.pop_front() {
                    Some(chunk) => Poll::Ready(Some(Ok(Frame::data(chunk)))),
                    None => Pin::new(&mut *rest).poll_frame(context),
                };
                is_complete.set(arrived.is_empty() && rest.is_end_stream());
                frame
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ProxyBody::Whole(bytes) => bytes.is_empty(),
            ProxyBody::Passing { arrived, rest, .. } => arrived.is_empty() && rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ProxyBody::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            ProxyBody::Passing { arrived, rest, .. } => {
                let here: usize = arrived.iter().map(Bytes::len).sum();
                match rest.size_hint().exact() {
                    Some(rest) => SizeHint::with_exact(here as u64 + rest),
                    None => SizeHint::default(),
                }
            }
        }
    }
}
