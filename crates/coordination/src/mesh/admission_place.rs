//! Where attempts stand among those for one server: nested calls before requests of callers.

use lifthollow_protocol::AdmissionLevel;

use crate::mesh::admission_queue::Rank;
use crate::mesh::server_admission::ArrivingAttempt;

/// The levels that rank counts down from.
const MAX_LEVEL: u16 = 384;
/// User priorities there are in a class.
const USER_PRIORITIES: u16 = 128;
/// The part of the user priorities of a class that nested calls are above: work
/// has been done for their trees already, so that as many requests of callers
/// are shed before the first nested call is. The rest is shared, so that neither
/// kind is starved for the other.
const NESTED_ADVANTAGE: f64 = 0.6;

/// The order in the queue.
pub(super) fn rank(attempt: &ArrivingAttempt) -> Rank {
    Rank(MAX_LEVEL.saturating_sub(place(attempt).0))
}

/// Where an attempt stands among those for this server.
pub(super) fn place(attempt: &ArrivingAttempt) -> AdmissionLevel {
    let level = AdmissionLevel::of(attempt.priority);
    if !attempt.is_nested {
        return level;
    }
    let user = f64::from(level.0 % USER_PRIORITIES);
    let last = f64::from(USER_PRIORITIES - 1);
    let raised = last * NESTED_ADVANTAGE + user * (1.0 - NESTED_ADVANTAGE);
    AdmissionLevel(class_base(level) + raised.round() as u16)
}

/// The level of trees whose nested calls are at `place` among the attempts for
/// this server; the inverse of [`place`].
pub(super) fn level_of_nested(place: AdmissionLevel) -> AdmissionLevel {
    let raised = f64::from(place.0 % USER_PRIORITIES);
    let last = f64::from(USER_PRIORITIES - 1);
    let user = (raised - last * NESTED_ADVANTAGE) / (1.0 - NESTED_ADVANTAGE);
    AdmissionLevel(class_base(place) + user.max(0.0).round() as u16)
}

fn class_base(level: AdmissionLevel) -> u16 {
    level.0 - level.0 % USER_PRIORITIES
}
