//! The admission level and queue rank of an attempt at one server: within a priority class, nested
//! calls are raised above most callers' requests.

use lifthollow_protocol::AdmissionLevel;

use crate::mesh::admission_queue::Rank;
use crate::mesh::server_admission::ArrivingAttempt;

/// Upper bound of admission levels. A queue rank is this bound minus the level, so that a higher
/// level gives a lower (earlier) rank.
const MAX_LEVEL: u16 = 384;
/// Number of user priorities within each priority class.
const USER_PRIORITIES_PER_CLASS: u16 = 128;
/// Share of the user priorities of a class that all nested calls rank above. Work
/// has already been done for the request trees of nested calls, so this share of the
/// callers' requests is shed before the first nested call is. Nested calls and callers'
/// requests share the remaining user priorities, so that neither kind starves the other.
const NESTED_CALL_BOOST: f64 = 0.6;

/// The rank of `attempt` in the admission queue of the server; lower ranks run first.
pub(super) fn queue_rank(attempt: &ArrivingAttempt) -> Rank {
    Rank(MAX_LEVEL.saturating_sub(level_at_server(attempt).0))
}

/// The admission level of `attempt` at this server: the level of its priority, raised within its
/// class if the attempt is a nested call.
pub(super) fn level_at_server(attempt: &ArrivingAttempt) -> AdmissionLevel {
    let level = AdmissionLevel::of(attempt.priority);
    if !attempt.is_nested {
        return level;
    }
    let user = f64::from(level.0 % USER_PRIORITIES_PER_CLASS);
    let last = f64::from(USER_PRIORITIES_PER_CLASS - 1);
    let raised = last * NESTED_CALL_BOOST + user * (1.0 - NESTED_CALL_BOOST);
    AdmissionLevel(class_base_level(level) + raised.round() as u16)
}

/// The level of the priority of request trees whose nested calls have `level` at this
/// server; the inverse of [`level_at_server`] for nested calls.
pub(super) fn tree_level_of_nested(level: AdmissionLevel) -> AdmissionLevel {
    let raised = f64::from(level.0 % USER_PRIORITIES_PER_CLASS);
    let last = f64::from(USER_PRIORITIES_PER_CLASS - 1);
    let user = (raised - last * NESTED_CALL_BOOST) / (1.0 - NESTED_CALL_BOOST);
    AdmissionLevel(class_base_level(level) + user.max(0.0).round() as u16)
}

/// The lowest level of the priority class that `level` belongs to.
fn class_base_level(level: AdmissionLevel) -> u16 {
    level.0 - level.0 % USER_PRIORITIES_PER_CLASS
}
