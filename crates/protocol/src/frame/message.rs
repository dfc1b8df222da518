//! The frames.

use bytes::Bytes;
use minicbor::{Decode, Encode};

use crate::frame::WireContext;
use crate::{AttemptResult, LoadReport};

/// One attempt on one connection, numbered by the node that opened it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct StreamId(#[n(0)] pub u32);

/// The first frame of each end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`](crate::frame::PROTOCOL_VERSION) of the sender.
    #[n(0)]
    pub version: u16,
    /// The sender's address for other nodes, as `NodeId::as_u64`.
    #[n(1)]
    pub node: u64,
}

/// One HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Header {
    /// Lower-case name.
    #[n(0)]
    pub name: String,
    /// Value as it was sent.
    #[cbor(n(1), with = "minicbor::bytes")]
    pub value: Vec<u8>,
}

/// Begins an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Open {
    /// The service wanted.
    #[n(0)]
    pub service: String,
    /// What the call carries across hops.
    #[n(1)]
    pub context: WireContext,
    /// HTTP method.
    #[n(2)]
    pub method: String,
    /// Path and query.
    #[n(3)]
    pub path: String,
    /// End-to-end headers.
    #[n(4)]
    pub headers: Vec<Header>,
    /// Digest of method, path and body of a call with an idempotency key.
    #[n(5)]
    pub body_digest: u64,
    /// No body follows.
    #[n(6)]
    pub bodiless: bool,
}

/// Answers an attempt. For `Completed` the body follows.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AnswerHead {
    /// How the attempt ended.
    #[n(0)]
    pub result: AttemptResult,
    /// HTTP status of a completed attempt.
    #[n(1)]
    pub status: u16,
    /// End-to-end headers of a completed attempt.
    #[n(2)]
    pub headers: Vec<Header>,
    /// The server's load.
    #[n(3)]
    pub load: LoadReport,
    /// Retries lent with the attempt that were not spent.
    #[n(4)]
    pub unspent: u8,
}

/// What nodes say to each other on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// First frame of each end.
    Hello(Hello),
    /// Begins a stream.
    Open(StreamId, Box<Open>),
    /// Body bytes, in either direction.
    Data(StreamId, Bytes),
    /// The receiver of a body has read this many bytes more.
    Credit(StreamId, u32),
    /// Answers a stream.
    Head(StreamId, Box<AnswerHead>),
    /// The sender's body is complete.
    End(StreamId),
    /// The sender gives the stream up: the attempt is cancelled, or the answer's
    /// body broke off.
    Cancel(StreamId),
    /// Asks for a [`Frame::Pong`] with the same number.
    Ping(u64),
    /// Answers a [`Frame::Ping`].
    Pong(u64),
    /// The sender is leaving: no new streams; those open are finished.
    GoAway,
}

/// A frame as it is encoded; body bytes are borrowed from the receive buffer.
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
