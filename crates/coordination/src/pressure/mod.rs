//! Pressure of services deep in the call graph, carried towards the entry.
//!
//! Every answer tells its caller's node the lowest priority that the server
//! admits. A node learns which services its own service needs for nearly every
//! request ([`call_graph`]); what those refuse it refuses as well, before work
//! is done, and reports as its own level to its callers in turn.

pub mod call_graph;
pub mod caller_index;
pub mod downstream;

pub use call_graph::{CallGraph, CallSource};
pub use caller_index::CallerIndex;
pub use downstream::downstream_level;
