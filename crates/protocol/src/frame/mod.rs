//! Frames between two nodes: calls, their bodies, answers and flow control.
//!
//! A connection carries many streams; one stream is one attempt. The node that
//! made the connection opens streams, the other answers them. On the wire a
//! frame is a length of [`LENGTH_PREFIX_BYTES`] in network byte order and one
//! CBOR value. Both ends send [`Frame::Hello`] first.
//!
//! - [`message`]: the frames themselves;
//! - [`context`]: what a call carries, with the remaining time in place of a
//!   deadline, because clocks of two machines are never compared;
//! - [`codec`]: lengths, encoding and typed decoding errors.

pub mod codec;
pub mod context;
pub mod message;

pub use codec::{FrameDecoder, FrameError, encode_data_head, encode_frame};
pub use context::WireContext;
pub use message::{AnswerHead, Frame, Header, Hello, Open, StreamId};

/// Raised with every change of the frames that older nodes can't read.
pub const PROTOCOL_VERSION: u16 = 1;
/// Length of the length in front of each frame.
pub const LENGTH_PREFIX_BYTES: usize = 4;
/// Longest frame a node accepts, without its length prefix.
pub const MAX_FRAME_BYTES: usize = 128 * 1024;
/// Most body bytes in one [`Frame::Data`], so that streams take short turns.
pub const MAX_DATA_BYTES: usize = 16 * 1024;
/// Body bytes that a sender may have unread by the other end, for each stream.
pub const STREAM_WINDOW_BYTES: usize = 256 * 1024;
