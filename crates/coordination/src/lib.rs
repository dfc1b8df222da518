//! The decisions of a lifthollow process and its agreement with other processes.
//!
//! Nothing in this crate does I/O or reads a clock: events and the current time are
//! passed in, and effects are returned. The daemon and the simulation run the same
//! code.
//!
//! [`node::Node`] is the state of one process. It is composed, in this order, of:
//!
//! 1. [`fleet`]: which table is in force and which servers exist;
//! 2. [`outbound`]: calls from local callers to servers of other services;
//! 3. [`inbound`]: attempts from other nodes to this node's local back ends.
//!
//! Two modules concern both outbound calls and inbound attempts: [`retry`] bounds the
//! retries of a whole request, and [`backpressure`] propagates overload deep in the call
//! graph towards the entry.
//!
//! [`claims`] lets a call with an idempotency key run at most once.
//!
//! [`mesh`] makes the decisions for requests that are routed by host and path.
//!
//! [`baseline`] contains the ordinary policies that lifthollow is compared with.

pub mod backpressure;
pub mod baseline;
pub mod claims;
pub mod class_floor;
pub mod fleet;
pub mod inbound;
pub mod latency;
pub mod mesh;
pub mod node;
pub mod outbound;
pub mod policy;
pub mod refusal;
pub mod request_tree;
pub mod retry;
pub mod view;

pub use node::{Node, NodeEffect, NodeEvent, NodeSettings};
pub use policy::PolicyKind;
pub use view::View;
