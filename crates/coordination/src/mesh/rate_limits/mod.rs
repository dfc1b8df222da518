//! Limits that servers name: the requests a second that one takes from all nodes together.
//!
//! Every request for a server passes the node beside it, so that node alone keeps the bound
//! ([`RateGate`]): it needs nobody's word, and no part of the limit is lost to nodes that have no
//! requests. Callers' nodes only see to it that few requests are turned away there
//! ([`SendPace`]), and remind a node that has started anew of the limit.

mod rate_gate;
mod send_pace;

use std::time::Duration;

use lifthollow_state::mesh::RequestRate;

pub use rate_gate::RateGate;
pub use send_pace::SendPace;

/// A server gets a request in this time whatever it names: without any, nobody would learn that
/// it takes more again. The tolerance of limits is 5 requests in 4 s.
const TRIAL_INTERVAL: Duration = Duration::from_millis(1100);

/// Requests a second that a server with this limit gets.
fn allowed_per_second(limit: RequestRate) -> f64 {
    limit.per_second().max(trials_per_second())
}

/// Whether a server gets requests only to see whether it takes more again.
fn gets_trials_only(limit: RequestRate) -> bool {
    limit.per_second() < trials_per_second()
}

fn trials_per_second() -> f64 {
    TRIAL_INTERVAL.as_secs_f64().recip()
}
