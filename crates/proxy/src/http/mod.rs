//! HTTP/1.1 connections on both sides, by hyper.

pub mod body;
pub mod caller_stream;
pub mod headers;
pub mod pipeline;
pub mod pool;
pub mod server;
pub mod socket;

pub use body::ProxyBody;
