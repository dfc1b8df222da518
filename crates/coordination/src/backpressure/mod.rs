//! Backpressure: propagates the overload of services deep in the call graph to
//! the services that call them, up to the entry.
//!
//! Every answer reports to the calling node the lowest priority that the server
//! admits. A node learns which services its own service needs for nearly every
//! request ([`call_graph`]). It refuses the calls that those services would refuse
//! before any work is done on them, and in turn reports that level to its own
//! callers.

pub mod call_graph;
pub mod caller_index;
pub mod downstream;

pub use call_graph::{CallGraph, CallSource};
pub use caller_index::CallerIndex;
pub use downstream::downstream_level;
