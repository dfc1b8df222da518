//! I/O of lifthollow: connections between nodes, HTTP to callers and back ends,
//! control datagrams and signals.
//!
//! This crate makes no routing or admission decisions; the daemon connects it to the
//! code that does.
//!
//! - [`mux`]: calls between nodes over long-lived TCP connections;
//! - [`http`]: the server for callers and the client of back ends;
//! - [`datagram`]: messages between control threads over UDP;
//! - [`signals`]: signals that request a planned shutdown;
//! - [`clock`]: the process's clock, which returns timestamps;
//! - [`logging`]: JSON lines on standard output.

pub mod clock;
pub mod datagram;
pub mod http;
pub mod logging;
pub mod mux;
pub mod signals;
