//! Simulated environment of lifthollow for tests and demonstrations on the loopback interface:
//! the platform's configuration service, back ends, clients, and the experiments that start them.
//!
//! This crate shares no code with lifthollow itself, so that the records of back ends and clients
//! are independent evidence of what happened.

pub mod backend;
pub mod call;
pub mod content;
pub mod control_port;
pub mod experiment;
pub mod headers;
pub mod json_lines;
pub mod load;
pub mod platform;
