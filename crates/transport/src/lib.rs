//! I/O of lifthollow: connections between nodes, HTTP towards callers and back
//! ends, control datagrams and signals.
//!
//! Nothing here decides; the daemon ties it to the decisions.
//!
//! - [`mux`]: calls between nodes over long-lived TCP connections;
//! - [`http`]: callers on one side, back ends on the other;
//! - [`datagram`]: messages between control threads over UDP;
//! - [`signals`]: the planned stop;
//! - [`clock`]: the monotonic clock as timestamps;
//! - [`logging`]: JSON lines on standard output.

pub mod clock;
pub mod datagram;
pub mod http;
pub mod logging;
pub mod mux;
pub mod signals;
