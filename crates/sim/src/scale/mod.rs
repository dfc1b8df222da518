//! The control plane alone at thousands of nodes: real fleet parts, real
//! datagrams, modelled network and platform.
//!
//! The event loop is its own, because at 17 million events in a run the cost of
//! each counts.

mod convergence;
mod network;
mod nodes;
mod platform;
mod queue;
mod result;
mod schedule;
mod settled;
mod setup;
mod usage;
mod watch;
mod world;

pub use result::ScaleResult;
pub use setup::{Fault, FaultSet, ScaleSetup, SetupError, UnknownFault};
pub use world::run;
