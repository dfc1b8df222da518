//! How long ago the source was last known to have nothing newer.
//!
//! A node that reads the source knows that its snapshot was the newest at that
//! moment. It tells others with each message, so that a node which never asks the
//! source itself knows how old its view may be. A view that nobody has confirmed
//! for too long must be checked.
//!
//! Nodes share no clock, so they name the age of a confirmation. Each time that an
//! age is passed on, the time that the message took is missing from it. A
//! confirmation that went round between nodes would therefore stay young for ever.
//! So each has an identity, and a node takes an age from the first message that
//! names it: what is missing is the time of one way from the source, and no
//! repetition of it changes anything.

use std::collections::HashMap;
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

/// How long the newest number of an origin is remembered. Confirmations that old
/// tell nobody that the source is available, so it does no harm to take one twice.
const REMEMBERED: Duration = LOST_AFTER.saturating_mul(10);

/// Identity of one confirmation by the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmationId {
    /// The process that the source answered: a number drawn at its start.
    pub origin: u32,
    /// Rises with each confirmation that the process got.
    pub number: u32,
}

/// A confirmation as one node names it to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Which one it is.
    pub id: ConfirmationId,
    /// The time since the source gave it, as far as the sender knows.
    pub age: Duration,
}

/// When the view was last confirmed.
#[derive(Clone, Debug)]
pub struct ViewFreshness {
    origin: u32,
    last_number: u32,
    newest: Option<(ConfirmationId, Timestamp)>,
    /// The highest number heard from each origin, and when.
    heard: HashMap<u32, (u32, Timestamp)>,
    available_since: Timestamp,
}

impl ViewFreshness {
    /// A view that nothing has confirmed, of the process that names its own
    /// confirmations by `origin`.
    pub fn new(origin: u32) -> Self {
        ViewFreshness {
            origin,
            last_number: 0,
            newest: None,
            heard: HashMap::new(),
            available_since: Timestamp::ZERO,
        }
    }

    /// The source told this node that it had nothing newer at `at`.
    pub fn confirm(&mut self, now: Timestamp, at: Timestamp) {
        let at = at.min(now);
        if self.is_newest(at) {
            self.last_number += 1;
            let id = ConfirmationId {
                origin: self.origin,
                number: self.last_number,
            };
            self.take(now, id, at);
        }
    }

    /// Another node named a confirmation that holds for this node's view, too.
    pub fn hear(&mut self, now: Timestamp, confirmation: Confirmation) {
        let id = confirmation.id;
        let known = self.heard.get(&id.origin);
        let is_known = known.is_some_and(|(number, _)| *number >= id.number);
        if is_known || id.origin == self.origin {
            return;
        }
        self.heard
            .retain(|_, (_, heard)| now.saturating_since(*heard) < REMEMBERED);
        self.heard.insert(id.origin, (id.number, now));
        let at = now.saturating_sub(confirmation.age);
        if self.is_newest(at) {
            self.take(now, id, at);
        }
    }

    fn is_newest(&self, at: Timestamp) -> bool {
        self.newest.is_none_or(|(_, newest)| at > newest)
    }

    fn take(&mut self, now: Timestamp, id: ConfirmationId, at: Timestamp) {
        if self.is_source_lost(now) {
            self.available_since = now;
        }
        self.newest = Some((id, at));
    }

    /// The newest confirmation; none if there never was one.
    pub fn newest(&self, now: Timestamp) -> Option<Confirmation> {
        let (id, at) = self.newest?;
        let age = now.saturating_since(at);
        Some(Confirmation { id, age })
    }

    /// The time since the view was confirmed; none if it never was.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        Some(self.newest(now)?.age)
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
