//! Frames that nodes exchange: calls, their bodies, answers and flow control.
//!
//! A connection carries many streams; one stream is one attempt. The node that
//! made the connection opens streams, the other node answers them. An encoded
//! frame is a length prefix of [`LENGTH_PREFIX_BYTES`] in network byte order and
//! one CBOR value. Both ends send [`Frame::Hello`] first.
//!
//! - [`message`]: types of the frames;
//! - [`context`]: metadata of a call, with the remaining time in place of a
//!   deadline, because clocks of two machines are never compared;
//! - [`codec`]: encoding, decoding and typed decoding errors.

pub mod codec;
pub mod context;
pub mod message;

pub use codec::{FrameDecoder, FrameError, encode_data_head, encode_frame};
pub use context::WireContext;
pub use message::{AnswerHead, Frame, Header, Hello, Open, StreamId};

/// Version of the frame protocol, raised with every change that older nodes can't decode.
pub const PROTOCOL_VERSION: u16 = 1;
/// Size of the length prefix of each frame, bytes.
pub const LENGTH_PREFIX_BYTES: usize = 4;
/// Maximum size of a frame without its length prefix, bytes.
pub const MAX_FRAME_BYTES: usize = 128 * 1024;
/// Maximum number of body bytes in one [`Frame::Data`], so that no stream occupies the
/// connection for long.
pub const MAX_DATA_BYTES: usize = 16 * 1024;
/// Flow-control window of each stream: body bytes that a sender may have sent and the other end
/// has not read yet.
pub const STREAM_WINDOW_BYTES: usize = 256 * 1024;
