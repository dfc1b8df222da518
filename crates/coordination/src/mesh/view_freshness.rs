//! How long ago the source was last known to have nothing newer.
//!
//! A node that reads the source knows that its snapshot was the newest when it
//! asked. It tells others with each answer, so that a node which never asks the
//! source itself knows how old its view may be. A view that nobody has confirmed
//! for too long must be checked.
//!
//! Nodes share no clock, so an answer names an age. The time that the answer was on
//! its way is missing from that, and may be seconds: a process is frozen, a link
//! heals, packets are sent again. Only the node that asked has a bound for it, by its
//! own clock: the time since its question. So an age is taken from answers only, with
//! all that time but for what the other node held the question
//! ([`NamedAge::at_most`]). Such an age may be too great and is never too small,
//! however often it is passed on.
//!
//! Without that bound, messages that were held up made a view of 4.1 s count as
//! confirmed 39 ms ago, and its node asked nobody (simulated nodes, test
//! `a_node_learns_in_time_although_messages_of_before_arrive_late`).

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

/// The greatest age at which what another watcher knows spares a watcher a question to the
/// source. Below the least age at which it asks, so that it does not ask others all the time.
pub const SPARED_AGE: Duration = Duration::from_millis(400);

/// What an answer of another node says of its view's age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamedAge {
    /// The time since the source had nothing newer, when the answer was written.
    pub age: Duration,
    /// How long the other node held the question before that.
    pub held: Duration,
}

impl NamedAge {
    /// The greatest age that the view can have when the answer arrives, `took` after
    /// the question was sent.
    pub fn at_most(self, took: Duration) -> Duration {
        self.age + took.saturating_sub(self.held)
    }
}

/// When the view was last confirmed.
#[derive(Clone, Debug, Default)]
pub struct ViewFreshness {
    confirmed_at: Option<Timestamp>,
    available_since: Timestamp,
}

impl ViewFreshness {
    /// The source had nothing newer at `at`, or later.
    pub fn confirm(&mut self, now: Timestamp, at: Timestamp) {
        let at = at.min(now);
        if self.confirmed_at.is_some_and(|known| known >= at) {
            return;
        }
        if self.is_source_lost(now) {
            self.available_since = now;
        }
        self.confirmed_at = Some(at);
    }

    /// The time since the view was confirmed; none if it never was.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        Some(now.saturating_since(self.confirmed_at?))
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
