//! Bodies that are held as a whole or passed through piece by piece.

use std::any::Any;
use std::cell::Cell;
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};

/// A body that is sent on.
pub enum ProxyBody {
    /// It is here as a whole.
    Whole(Bytes),
    /// Its beginning is here; the rest is taken from where it comes from.
    Passing {
        /// Pieces that have arrived.
        arrived: VecDeque<Bytes>,
        /// The rest.
        rest: Incoming,
        /// What has to live until the body has passed.
        guard: Box<dyn Any>,
        /// Set once all of it has passed.
        is_complete: Rc<Cell<bool>>,
    },
}

/// What of a body has been read.
pub enum ReadBody {
    /// All of it.
    Whole(Bytes),
    /// It is larger than was to be held.
    Larger {
        /// Pieces that have arrived.
        arrived: VecDeque<Bytes>,
        /// The rest.
        rest: Incoming,
    },
}

impl ProxyBody {
    /// A body without bytes.
    pub fn empty() -> Self {
        ProxyBody::Whole(Bytes::new())
    }

    /// The pieces that are here.
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

/// Reads `body`, up to `limit` bytes and the piece that exceeds it.
pub async fn read(mut body: Incoming, limit: usize) -> Result<ReadBody, hyper::Error> {
    if body.is_end_stream() {
        return Ok(ReadBody::Whole(Bytes::new()));
    }
    let mut arrived = VecDeque::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame?.into_data() else {
            continue;
        };
        length += piece.len();
        arrived.push_back(piece);
        if length > limit {
            return Ok(ReadBody::Larger {
                arrived,
                rest: body,
            });
        }
    }
    Ok(ReadBody::Whole(joined(arrived, length)))
}

fn joined(mut pieces: VecDeque<Bytes>, length: usize) -> Bytes {
    if pieces.len() <= 1 {
        return pieces.pop_front().unwrap_or_default();
    }
    let mut whole = BytesMut::with_capacity(length);
    for piece in pieces {
        whole.extend_from_slice(&piece);
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
                    Some(piece) => Poll::Ready(Some(Ok(Frame::data(piece)))),
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
