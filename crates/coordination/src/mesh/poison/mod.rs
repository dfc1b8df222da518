//! Requests that crash the servers that run them ("poison requests").
//!
//! Such a request comes again and again, each time under a new identity and at
//! any node, so only its content tells that it is the same one.
//!
//! - [`content`]: what makes two requests the same;
//! - [`server_runs`]: what was at the server beside a node when that crashed.

pub mod content;
pub mod server_runs;
