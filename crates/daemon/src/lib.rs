//! The parts of `lifthollowd`, one lifthollow node.
//!
//! - [`settings`]: what the operator sets;
//! - [`daemon`]: starting and stopping a node;
//! - [`control`]: the thread that owns the decisions;
//! - [`traffic`]: calls and attempts on their way through the node;
//! - [`platform`], [`machines`]: what the platform's service says;
//! - [`operators`]: metrics, status and recent refusals.

pub mod control;
pub mod daemon;
mod datagrams;
pub mod machines;
mod node_sockets;
pub mod operators;
pub mod platform;
pub mod settings;
pub mod traffic;
