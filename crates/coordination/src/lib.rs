//! Decisions and agreement of lifthollow.
//!
//! Nothing in this crate does I/O or reads a clock: events and the time come
//! in, effects go out. The daemon and the simulation run the same code.
//!
//! [`node::Node`] is the whole of one process. It composes, in this order:
//!
//! 1. [`fleet`]: which table is in force and which servers exist;
//! 2. [`outbound`]: calls from local callers to servers of other services;
//! 3. [`inbound`]: attempts from other nodes to the back end beside this node.
//!
//! Two matters cross both: [`retry`] bounds the retries of a whole request, and
//! [`pressure`] carries refusals deep in the call graph towards the entry.
//!
//! [`claims`] lets a call with an idempotency key run at most once.
//!
//! [`mesh`] holds the decisions for requests that are routed by host and path.
//!
//! [`baseline`] holds the ordinary policies that lifthollow is compared with.

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
pub mod pressure;
pub mod refusal;
pub mod request_tree;
pub mod retry;
pub mod view;

pub use node::{Node, NodeEffect, NodeEvent, NodeSettings};
pub use policy::PolicyKind;
pub use view::View;
