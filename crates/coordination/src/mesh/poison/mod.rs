//! Requests that crash the servers that run them ("poison requests").
//!
//! Such a request comes again and again, each time under a new identity and at
//! any node, so only its content tells that it is the same one. What a crash says
//! against each content that was aboard is told to all nodes; what was aboard of three
//! crashes, and has not run well since, is blocked.
//!
//! - [`content`]: what makes two requests the same;
//! - [`server_runs`]: what was at the server beside a node when that crashed;
//! - [`recent_contents`]: what ran well there lately;
//! - [`suspicion`]: the evidence against one content, and what follows from it;
//! - [`suspects`]: all that a node knows, and how nodes join what they know.

pub mod content;
pub mod recent_contents;
pub mod server_runs;
pub mod suspects;
pub mod suspicion;
