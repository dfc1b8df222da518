//! Metrics, status and recent refusals for operators, over HTTP.

mod claims;
mod metrics;
mod refusals;
mod server;

pub use metrics::Metrics;
pub use refusals::{RefusalLog, state_of_load, state_of_servers};
pub use server::{OperatorsServer, OperatorsState};
