//! How long ago the source was last known to have nothing newer.
//!
//! A node that reads the source knows that its snapshot was the newest at that
//! moment. It tells others with each message, so that a node which never asks the
//! source itself knows how old its view may be. A view that nobody has confirmed
//! for too long must be checked.

use std::time::Duration;

use lifthollow_state::Timestamp;

/// The source counts as lost if nobody has reached it for this long.
const LOST_AFTER: Duration = Duration::from_secs(3);

/// Who is to check a view that has grown old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// One of the few nodes that watch the source, while requests or questions of
    /// other nodes reach it.
    BusyWatcher,
    /// One of the few, while nobody depends on it.
    IdleWatcher,
    /// A node that learns from others, and asks only if they don't tell.
    Listener,
}

/// The age at which a view is checked, in milliseconds, as a least value and the
/// width of what is drawn on top. Watchers come first, so that as a rule one of
/// them spares all others the question. The largest of a listener must stay below
/// the time in which a leaving server has to be known everywhere.
fn age_limits(role: Role) -> (u64, u64) {
    match role {
        Role::BusyWatcher => (600, 300),
        Role::IdleWatcher => (1500, 500),
        Role::Listener => (1000, 300),
    }
}

/// The age at which a node checks its view; `drawn` is from 0 to 1. Few of many
/// listeners get a low age, so that the first ones can tell the others.
pub fn age_limit(role: Role, drawn: f64) -> Duration {
    let (least, width) = age_limits(role);
    let part = match role {
        Role::BusyWatcher | Role::IdleWatcher => drawn,
        Role::Listener => drawn.powf(0.25),
    };
    Duration::from_millis(least) + Duration::from_millis(width).mul_f64(part)
}

/// The greatest age at which what another node knows spares a question to the
/// source.
pub const ACCEPTED_AGE: Duration = Duration::from_millis(1000);

/// When the view was last confirmed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ViewFreshness {
    confirmed: Option<Timestamp>,
    available_since: Timestamp,
}

impl ViewFreshness {
    /// At `at`, the source had nothing newer than this node has.
    pub fn confirm(&mut self, now: Timestamp, at: Timestamp) {
        if self.is_source_lost(now) {
            self.available_since = now;
        }
        self.confirmed = self.confirmed.max(Some(at.min(now)));
    }

    /// The time since the view was confirmed; none if it never was.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed.map(|at| now.saturating_since(at))
    }

    /// Whether nobody that this node hears of has reached the source for long.
    pub fn is_source_lost(&self, now: Timestamp) -> bool {
        self.age(now).is_none_or(|age| age >= LOST_AFTER)
    }

    /// Since when the source has been reached without a longer gap; none while it
    /// is lost.
    pub fn source_available_since(&self, now: Timestamp) -> Option<Timestamp> {
        (!self.is_source_lost(now)).then_some(self.available_since)
    }
}
