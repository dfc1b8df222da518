//! HTTP/1.1 towards callers ([`server`]) and back ends ([`backend`]).
//!
//! [`header`] moves end-to-end headers between HTTP and frames.

pub mod backend;
mod connection;
pub mod header;
pub mod server;

pub use backend::{BackendBody, BackendError, BackendPool};
pub use server::CallerServer;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;

/// Any error that ends a body early.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A body of any origin.
pub type AnyBody = UnsyncBoxBody<Bytes, BodyError>;
