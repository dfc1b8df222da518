//! Types of the frames that nodes exchange.

use bytes::Bytes;
use minicbor::{Decode, Encode};

use crate::frame::WireContext;
use crate::{AttemptResult, LoadReport};

/// Identifies one stream, which is one attempt, on a connection; numbered by the node that
/// opened the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct StreamId(#[n(0)] pub u32);

/// The first frame sent by each end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`](crate::frame::PROTOCOL_VERSION) of the sender.
    #[n(0)]
    pub version: u16,
    /// The sender's address for other nodes, as `NodeId::as_u64`.
    #[n(1)]
    pub node: u64,
}

/// One HTTP header of a request or an answer.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Header {
    /// Name of the header in lower case.
    #[n(0)]
    pub name: String,
    /// Value of the header, unchanged.
    #[cbor(n(1), with = "minicbor::bytes")]
    pub value: Vec<u8>,
}

/// Opens a stream for an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Open {
    /// Name of the called service.
    #[n(0)]
    pub service: String,
    /// Metadata that the call carries across hops.
    #[n(1)]
    pub context: WireContext,
    /// HTTP method of the call.
    #[n(2)]
    pub method: String,
    /// Path and query of the call's URL.
    #[n(3)]
    pub path: String,
    /// End-to-end HTTP headers of the call.
    #[n(4)]
    pub headers: Vec<Header>,
    /// Digest of method, path and body of a call with an idempotency key.
    #[n(5)]
    pub body_digest: u64,
    /// Whether the call has no body, so that no data frames follow.
    #[n(6)]
    pub bodiless: bool,
}

/// Head of the answer to an attempt. The body follows if the result is
/// [`AttemptResult::Completed`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AnswerHead {
    /// Outcome of the attempt.
    #[n(0)]
    pub result: AttemptResult,
    /// HTTP status of the answer to a completed attempt.
    #[n(1)]
    pub status: u16,
    /// End-to-end HTTP headers of the answer to a completed attempt.
    #[n(2)]
    pub headers: Vec<Header>,
    /// Load of the server that answers.
    #[n(3)]
    pub load: LoadReport,
    /// Number of retries granted with the attempt that were not used.
    #[n(4)]
    pub unspent: u8,
}

/// A frame of a connection between two nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// First frame sent by each end of a connection.
    Hello(Hello),
    /// Opens a stream.
    Open(StreamId, Box<Open>),
    /// Body bytes of a stream, in either direction.
    Data(StreamId, Bytes),
    /// Flow-control credit: the receiver of a body has read this many more bytes.
    Credit(StreamId, u32),
    /// Head of the answer on a stream.
    Head(StreamId, Box<AnswerHead>),
    /// The sender's body is complete.
    End(StreamId),
    /// The sender aborts the stream: the attempt is cancelled, or the answer's body
    /// ended early.
    Cancel(StreamId),
    /// Asks for a [`Frame::Pong`] with the same number.
    Ping(u64),
    /// Answers a [`Frame::Ping`].
    Pong(u64),
    /// The sender is shutting down: no new streams may be opened; open streams are finished.
    GoAway,
}

/// The encoded form of a [`Frame`]; body bytes are borrowed from the receive buffer.
#[derive(Encode, Decode)]
pub(super) enum WireFrame<'buffer> {
    #[n(0)]
    Hello(#[n(0)] Hello),
    #[n(1)]
    Open(#[n(0)] StreamId, #[n(1)] Box<Open>),
    #[n(2)]
    Data(
        #[n(0)] StreamId,
        #[cbor(b(1), with = "minicbor::bytes")] &'buffer [u8],
    ),
    #[n(3)]
    Credit(#[n(0)] StreamId, #[n(1)] u32),
    #[n(4)]
    Head(#[n(0)] StreamId, #[n(1)] Box<AnswerHead>),
    #[n(5)]
    End(#[n(0)] StreamId),
    #[n(6)]
    Cancel(#[n(0)] StreamId),
    #[n(7)]
    Ping(#[n(0)] u64),
    #[n(8)]
    Pong(#[n(0)] u64),
    #[n(9)]
    GoAway,
}
