//! Requests that crash the servers that run them ("poison requests").
//!
//! Such a request is sent again and again, each time with a new request ID and to any node, so it
//! can be recognized only by its content. All nodes are notified of each crash and of the contents
//! that were running on the crashed server. A content that was running during three crashes, and
//! has not run successfully since, is blocked.
//!
//! - [`content`]: the content of a request and its fingerprint;
//! - [`server_runs`]: the requests running on the server beside a node when it crashes;
//! - [`recent_contents`]: the contents that this server recently ran successfully;
//! - [`suspicion`]: the evidence against one content and the block that follows from it;
//! - [`suspects`]: all evidence that a node has, and how nodes merge their evidence.

pub mod content;
pub mod recent_contents;
pub mod server_runs;
pub mod suspects;
pub mod suspicion;
