//! The parts of `lifthollowd`, one lifthollow node.
//!
//! - [`settings`]: the operator's settings;
//! - [`daemon`]: starting and stopping a node;
//! - [`control`]: the thread that makes the decisions;
//! - [`traffic`]: calls and attempts that pass through the node;
//! - [`platform`], [`machines`]: the table and the list of machines, read from
//!   the platform's service;
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
