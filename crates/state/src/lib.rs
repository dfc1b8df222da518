//! Data types that every layer of lifthollow shares: identities, time, the table
//! and the metadata of requests.
//!
//! Nothing here does I/O, reads a clock or makes routing decisions. It is the
//! lowest layer: `state` <- `protocol` <- `coordination` <- `transport` <- programs.

pub mod directory;
pub mod finding;
pub mod identity;
pub mod mesh;
pub mod request;
pub mod table;
pub mod time;

pub use directory::{Directory, Server, ServerState};
pub use finding::{Finding, Findings, Place};
pub use identity::{Incarnation, NodeId, ServiceName, Side, Zone};
pub use request::{
    IdempotencyKey, Priority, PriorityClass, RequestContext, RequestId, RetryAllowance,
};
pub use table::{Table, TableRow, TableVersion};
pub use time::Timestamp;
