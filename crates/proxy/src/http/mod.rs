//! HTTP/1.1 server and client connections, built on hyper.

pub mod body;
pub mod caller_stream;
pub mod head_limit;
pub mod headers;
pub mod pipeline;
pub mod pool;
pub mod server;

pub use body::ProxyBody;
