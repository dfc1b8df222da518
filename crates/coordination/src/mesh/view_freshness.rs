//! Tracks the age of a node's view: the time since its snapshot was last known to be the source's
//! newest.
//!
//! A node that reads the source knows that its snapshot was the newest when it sent the request. It
//! reports the age of its view in each answer to other nodes, so that a node which never reads the
//! source itself knows how old its view may be. A view that nobody has confirmed for too long must
//! be checked.
//!
//! Nodes share no clock, so an answer states an age instead of a time. The age does not include the
//! transit time of the answer, which may be seconds: a process is suspended, a link recovers,
//! packets are retransmitted. Only the node that sent the request has an upper bound for it, on its
//! own clock: the time since the request. So ages are taken from answers only, and all of that time
//! is added except for the time during which the other node held the request
//! ([`ReportedAge::max_age_on_arrival`]). Such an age may be too large but never too small, however
//! often it is passed on.
//!
//! Without that bound, delayed messages made a view of 4.1 s count as confirmed 39 ms ago, and its
//! node asked nobody (simulated nodes, test
//! `a_node_learns_in_time_although_messages_of_before_arrive_late`).

use std::time::Duration;

use lifthollow_state::Timestamp;

/// The source counts as unavailable if the view has not been confirmed for this long.
const UNAVAILABLE_AFTER: Duration = Duration::from_secs(3);

/// The role of a node, which determines at which age it checks its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A node that watches the source and has recently had requests from callers or other nodes.
    BusyWatcher,
    /// A node that watches the source and has had no such requests recently.
    IdleWatcher,
    /// A node that learns from other nodes, and asks only if they report nothing.
    Listener,
}

/// Returns the minimum age at which a view is checked and the width of the random part added to it,
/// both in milliseconds. Watchers check earlier, so that usually one of them saves all others the
/// request. The maximum of a listener must stay below the time within which a draining server has
/// to be known everywhere.
fn age_limits(role: Role) -> (u64, u64) {
    match role {
        Role::BusyWatcher => (600, 300),
        Role::IdleWatcher => (1500, 500),
        Role::Listener => (1000, 300),
    }
}

/// Returns the age at which a node checks its view; `drawn` is a random number from 0 to 1. Few of
/// many listeners get a low age, so that the first ones can notify the others.
pub fn age_limit(role: Role, drawn: f64) -> Duration {
    let (minimum, width) = age_limits(role);
    let fraction = match role {
        Role::BusyWatcher | Role::IdleWatcher => drawn,
        Role::Listener => drawn.powf(0.25),
    };
    Duration::from_millis(minimum) + Duration::from_millis(width).mul_f64(fraction)
}

/// Returns the share of the random part of [`age_limit`] for a watcher whose place among `watchers`
/// watchers is `place`, counted from 0; `drawn` is a random number from 0 to 1. Each place has a range
/// of its own, so that watchers check their views one after another and the first one spares the
/// others the request.
pub fn share_by_place(place: usize, watchers: usize, drawn: f64) -> f64 {
    (place as f64 + drawn) / watchers.max(place + 1) as f64
}

/// Maximum age of another node's view at which a node accepts it instead of a request to the
/// source.
pub const MAX_ACCEPTED_AGE: Duration = Duration::from_millis(1000);

/// How much younger another watcher's view must be than the minimum age at which a watcher checks its
/// own, so that a watcher does not ask others all the time.
const ACCEPTED_AGE_MARGIN: Duration = Duration::from_millis(200);

/// Returns the maximum age of another watcher's view at which a watcher in `role` accepts it instead
/// of a request to the source. Watchers that check the source in turn so send as many requests
/// together as one of them would alone.
pub fn max_accepted_age(role: Role) -> Duration {
    let (minimum, _) = age_limits(role);
    Duration::from_millis(minimum).saturating_sub(ACCEPTED_AGE_MARGIN)
}

/// The age of another node's view, as reported in its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedAge {
    /// The age of the other node's view when the answer was written.
    pub age: Duration,
    /// How long the other node held the request before it answered.
    pub hold_time: Duration,
}

impl ReportedAge {
    /// Returns the maximum age that the view can have when the answer arrives, `took` after the
    /// request was sent.
    pub fn max_age_on_arrival(self, took: Duration) -> Duration {
        self.age + took.saturating_sub(self.hold_time)
    }
}

/// The time at which a node's view was last confirmed, and how long the source has been available.
#[derive(Clone, Debug, Default)]
pub struct ViewFreshness {
    confirmed_at: Option<Timestamp>,
    available_since: Timestamp,
}

impl ViewFreshness {
    /// Records that the view was the newest at `at` or later.
    pub fn confirm(&mut self, now: Timestamp, at: Timestamp) {
        let at = at.min(now);
        if self.confirmed_at.is_some_and(|known| known >= at) {
            return;
        }
        if self.is_source_unavailable(now) {
            self.available_since = now;
        }
        self.confirmed_at = Some(at);
    }

    /// Returns the time since the view was confirmed; `None` if it never was.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        Some(now.saturating_since(self.confirmed_at?))
    }

    /// Whether the source counts as unavailable: neither this node nor any that it learns from has
    /// reached the source for [`UNAVAILABLE_AFTER`].
    pub fn is_source_unavailable(&self, now: Timestamp) -> bool {
        self.age(now).is_none_or(|age| age >= UNAVAILABLE_AFTER)
    }

    /// Returns the time since which the source has been available without interruption; `None`
    /// while it is unavailable.
    pub fn source_available_since(&self, now: Timestamp) -> Option<Timestamp> {
        (!self.is_source_unavailable(now)).then_some(self.available_since)
    }
}
