//! Multiplexed long-lived TCP connections between nodes.
//!
//! The node that connects opens streams, one for each attempt; the other end
//! answers them. Body bytes in either direction are held back by a credit
//! window of the stream alone, so a slow reader never holds back its
//! neighbours, and no connection buffers more than the windows of its streams.
//!
//! - [`peers`]: one connection to each node, made again after a back-off;
//! - [`client`]: the end that opens streams;
//! - [`server`]: the end that answers them;
//! - [`body`]: body bytes with flow control;
//! - `streams`, `queue`, `reader`: the parts both ends share.

pub mod body;
pub mod buffered;
pub mod client;
pub mod peers;
mod queue;
mod reader;
pub mod server;
mod streams;

pub use body::{BodyReceiver, BodySender, StreamClosed};
pub use buffered::BufferedBytes;
pub use client::{AnswerReceiver, AttemptFailure, ClientConnection, ConnectError, OpenedAttempt};
pub use peers::PeerPool;
pub use reader::ConnectionError;
pub use server::{AnswerSender, CancelSignal, IncomingAttempt, MuxServer};
pub use streams::ProtocolViolation;

use std::time::Duration;

/// A connection that was silent this long is asked for a sign of life.
const PING_INTERVAL: Duration = Duration::from_secs(10);
/// Unanswered signs of life after which a connection counts as broken.
const MAX_MISSED_PINGS: u32 = 3;
/// Most streams that one connection may have open.
const MAX_STREAMS_PER_CONNECTION: usize = 4096;
