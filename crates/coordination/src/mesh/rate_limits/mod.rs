//! Rate limits that servers announce: the requests per second that a server accepts from all nodes
//! together.
//!
//! Every request for a server passes through the node beside it, so that node alone enforces the
//! limit ([`RateLimiter`]): it needs no information from other nodes, and no share of the limit is
//! lost to nodes that have no requests. Callers' nodes only pace their requests so that few are
//! rejected there ([`SendPace`]), and report the limit to a server's node that has restarted.

mod rate_limiter;
mod send_pace;

use std::time::Duration;

use lifthollow_state::mesh::RequestRate;

pub use rate_limiter::RateLimiter;
pub use send_pace::SendPace;

/// Maximum time between requests to a server, however low its limit is: without any requests, no
/// node would learn that the server accepts more again. The tolerance for exceeding a limit is 5
/// requests in 4 s.
const TRIAL_INTERVAL: Duration = Duration::from_millis(1100);

/// Returns the requests per second that may be sent to a server with this limit.
fn allowed_per_second(limit: RequestRate) -> f64 {
    limit.per_second().max(trials_per_second())
}

/// Returns whether the limit is so low that a server gets requests only to find out whether it
/// accepts more again.
fn gets_trials_only(limit: RequestRate) -> bool {
    limit.per_second() < trials_per_second()
}

fn trials_per_second() -> f64 {
    TRIAL_INTERVAL.as_secs_f64().recip()
}
