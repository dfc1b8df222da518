//! What operators see: metrics, status and recent refusals, over HTTP.

mod metrics;
mod refusals;
mod server;

pub use metrics::Metrics;
pub use refusals::{Outcome, Refusal, RefusalLog, RefusalState};
pub use server::{OperatorsServer, OperatorsState};
