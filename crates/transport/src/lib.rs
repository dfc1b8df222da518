//! I/O of lifthollow: connections between nodes, HTTP towards callers and back
//! ends, control datagrams and signals.
//!
//! Nothing here decides; the daemon ties it to the decisions.

pub mod mux;
