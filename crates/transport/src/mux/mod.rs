//! Multiplexed long-lived TCP connections between nodes.
//!
//! The node that connects opens streams, one for each attempt; the other end
//! answers them. Body bytes in either direction are limited by a flow-control
//! window of each stream, so a slow reader never delays other streams, and no
//! connection buffers more than the windows of its streams.
//!
//! - [`peers`]: one connection to each node, re-established after a back-off;
//! - [`client`]: the end of a connection that opens streams;
//! - [`server`]: the end of a connection that answers streams;
//! - [`body`]: body bytes with flow control;
//! - `streams`, `queue`, `reader`: code that both ends share.

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

/// Time without received data after which a ping is sent on a connection.
const PING_INTERVAL: Duration = Duration::from_secs(10);
/// Number of unanswered pings after which a connection is considered broken.
const MAX_MISSED_PINGS: u32 = 3;
/// Maximum number of open streams of one connection.
const MAX_STREAMS_PER_CONNECTION: usize = 4096;
