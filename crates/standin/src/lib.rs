//! Stand-ins for what surrounds lifthollow, for tests and demonstrations on loopback: the
//! platform's read-only service, back ends, clients, and the tool that starts them all.
//!
//! Nothing here shares code with lifthollow itself, so that what back ends and clients record
//! is an independent account of what happened.

pub mod backend;
pub mod call;
pub mod content;
pub mod control_port;
pub mod experiment;
pub mod headers;
pub mod json_lines;
pub mod load;
pub mod platform;
