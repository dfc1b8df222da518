//! HTTP/1.1 server for callers ([`server`]) and client of back ends ([`backend`]).
//!
//! [`header`] converts end-to-end headers between HTTP messages and frames.

pub mod backend;
mod connection;
pub mod header;
pub mod server;

pub use backend::{BackendBody, BackendError, BackendPool};
pub use server::CallerServer;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;

/// Any error that ends an HTTP body early.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// An HTTP body of any type.
pub type AnyBody = UnsyncBoxBody<Bytes, BodyError>;
