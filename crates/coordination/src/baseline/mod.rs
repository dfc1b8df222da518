//! Baseline policies that lifthollow is compared with, configured as a competent
//! engineer would configure them.
//!
//! - `passthrough`: round robin, three retries at each hop, unbounded queues.
//! - `static-limits`: two retries at each hop, the table's limits as fixed
//!   ceilings, a bounded first-in first-out queue.
//!
//! Both follow the table's weights between the sides, give each hop its own
//! timeout from the table, and never repeat a call that may have run unless it
//! is declared repeatable.

pub mod fixed_inbound;
pub mod fixed_outbound;

pub use fixed_inbound::FixedInbound;
pub use fixed_outbound::FixedOutbound;
