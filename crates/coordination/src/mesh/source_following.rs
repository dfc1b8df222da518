//! Decides which requests a node sends to the source, and when.
//!
//! The source limits its requests and charges for each, so the total number of requests must not
//! grow with the number of nodes. Few nodes watch the source
//! ([`watchers`](crate::mesh::watchers)) and the others learn from these. This must also hold when
//! all nodes lack something at the same moment: when they all start, or when the source has
//! compacted its history and answers only full reads.
//!
//! A node is in one of four states ([`FollowMode`]). It asks other nodes first. Its requests to the
//! source after that are delayed by a random time that is rarely short ([`rarely_short_delay`]):
//! few of many nodes send one, and these notify the others in the meantime.
//!
//! A starting node knows no other node. It looks for others with a read that may be stale. Such a
//! read only provides the nodes to ask: it makes no node ready and confirms no view.

use std::time::Duration;

use lifthollow_state::Timestamp;
use lifthollow_state::mesh::Revision;
use rand::{Rng, RngExt};

use crate::mesh::view_freshness::{self, MAX_ACCEPTED_AGE, Role};

/// Mean time between two reads that look for other nodes. If no other node exists yet, the first
/// nodes that find others notify the rest.
const SEARCH_INTERVAL: Duration = Duration::from_millis(2000);
/// Mean time until the next read that looks for other nodes, after one that was not answered.
const FAILED_SEARCH_INTERVAL: Duration = Duration::from_millis(1000);
/// Mean time between two rounds in which a starting node asks other nodes.
const START_ASK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum delay until a node that has found no other node reads the source: it may be the only
/// one.
const MAX_READ_DELAY_ALONE: Duration = Duration::from_secs(4);
/// Maximum delay until a node reads the source whose reads that look for others are not answered.
const MAX_READ_DELAY_UNANSWERED: Duration = Duration::from_secs(8);
/// Maximum delay until a starting node reads the source if none of the nodes that it has found can
/// help.
const MAX_READ_DELAY_AT_START: Duration = Duration::from_millis(1500);
/// Maximum delay until a listener that has fallen behind reads the source, unless other nodes bring
/// its view up to date.
const MAX_READ_DELAY_BEHIND: Duration = Duration::from_millis(200);
/// Time between two rounds in which a node that catches up asks other nodes.
const CATCH_UP_ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two full reads of the source. It limits the reads if they don't help
/// because the source compacts its history immediately.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time until a node asks other nodes again after they refreshed its view, or after it
/// asked them because the source could not be reached.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(300);
/// The initial delay until the next request after an error of the source. It doubles with each
/// further error.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// The maximum delay until the next request after errors of the source.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Maximum delay until a node that learns from others sends the source another request after an
/// error. Watchers do so sooner, and one of them notifies the others when the source answers again.
const MAX_LISTENER_BACKOFF: Duration = Duration::from_millis(3000);
/// Minimum duration of a wait; shorter ones are lengthened to it.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Maximum time until a node decides again: what it knows may have changed.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// How a node follows the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowMode {
    /// The node has no snapshot yet.
    Starting,
    /// The node learns from other nodes.
    Listening,
    /// The node is one of the few that watch the source.
    Watching,
    /// The source has a newer revision, but no longer the changes since the node's snapshot.
    CatchingUp,
}

/// The state of a node on which its next step depends.
#[derive(Clone, Copy, Debug)]
pub struct NodeStatus {
    /// The revision of the node's snapshot.
    pub revision: Revision,
    /// Whether the node is one of the few that watch the source.
    pub is_watcher: bool,
    /// Whether the node knows other nodes that it could ask.
    pub knows_nodes: bool,
    /// Whether the node recently had a request from a caller or another node.
    pub is_busy: bool,
    /// The time since the node's view was confirmed; `None` if it never was.
    pub view_age: Option<Duration>,
}

impl NodeStatus {
    /// The role that determines at which age the node checks its view.
    pub fn role(self) -> Role {
        match (self.is_watcher, self.is_busy) {
            (false, _) => Role::Listener,
            (true, true) => Role::BusyWatcher,
            (true, false) => Role::IdleWatcher,
        }
    }

    fn is_fresh(self) -> bool {
        self.view_age.is_some_and(|age| age <= MAX_ACCEPTED_AGE)
    }
}

/// Next action of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowStep {
    /// Do nothing for this long.
    Wait(Duration),
    /// Ask other nodes for the missing changes, with this time limit.
    AskNodes(Duration),
    /// Read the servers' addresses from the source, with a read that may be stale, to find nodes to
    /// ask.
    ReadNodeAddresses,
    /// Read all items from the source.
    ReadAll,
    /// Ask the source for its newest revision. A watch would not serve for this: it may not be
    /// answered while there are no changes.
    ReadNewestRevision,
    /// Watch the source for its next change.
    Watch,
}

impl FollowStep {
    fn asks_source(self) -> bool {
        !matches!(self, FollowStep::Wait(_) | FollowStep::AskNodes(_))
    }
}

/// Decides what a node does next, from its state and the results of its earlier requests.
#[derive(Clone, Debug)]
pub struct Follower {
    /// A random number from 0 to 1 that determines the age at which the view is checked. It is
    /// drawn again for each confirmation of the view.
    age_fraction: f64,
    /// When a starting node looks for other nodes again.
    search_at: Timestamp,
    /// The earliest time at which other nodes are asked again.
    ask_at: Timestamp,
    /// When a node that starts or catches up makes a full read of the source.
    read_at: Timestamp,
    /// When the last full read of the source began.
    last_read: Option<Timestamp>,
    /// Whether any read that looks for other nodes was answered.
    was_answered: bool,
    /// Whether a starting node is a watcher according to the nodes that it has found.
    is_chosen: bool,
    /// The revision of a snapshot since which the source no longer has the changes. It is reset
    /// when the node has a newer snapshot and a fresh view, or when the source brought it up to
    /// date.
    behind_since: Option<Revision>,
    /// Whether other nodes were asked without success since the view was last fresh.
    asked_without_success: bool,
    /// No requests are sent to the source before this time.
    backoff_until: Timestamp,
    /// No requests are sent to the source before this time while the node learns from others.
    listener_backoff_until: Timestamp,
    backoff: Duration,
}

/// Draws a random time up to `limit` that is rarely short: half of the nodes draw more than 0.84 of
/// the limit, and one in 1,000 less than 0.18.
pub fn rarely_short_delay(limit: Duration, random: &mut impl Rng) -> Duration {
    limit.mul_f64(random.random::<f64>().powf(0.25))
}

/// Draws a random time from 0.5 to 1.5 times `mean`.
fn jittered(mean: Duration, random: &mut impl Rng) -> Duration {
    mean.mul_f64(random.random_range(0.5..1.5))
}

impl Follower {
    /// Creates the state of a node that starts at `now`.
    pub fn new(now: Timestamp, random: &mut impl Rng) -> Self {
        Follower {
            age_fraction: random.random(),
            search_at: now,
            ask_at: now,
            read_at: now + rarely_short_delay(MAX_READ_DELAY_UNANSWERED, random),
            last_read: None,
            was_answered: false,
            is_chosen: false,
            behind_since: None,
            asked_without_success: false,
            backoff_until: now,
            listener_backoff_until: now,
            backoff: INITIAL_BACKOFF,
        }
    }

    /// Returns how the node follows the source.
    pub fn following(&self, status: NodeStatus) -> FollowMode {
        match self.behind_since {
            _ if status.revision.is_none() => FollowMode::Starting,
            Some(_) => FollowMode::CatchingUp,
            None if status.is_watcher => FollowMode::Watching,
            None => FollowMode::Listening,
        }
    }

    /// Returns what the node is to do now.
    pub fn step(
        &mut self,
        now: Timestamp,
        status: NodeStatus,
        random: &mut impl Rng,
    ) -> FollowStep {
        let is_still_behind = |since: &Revision| status.revision <= *since || !status.is_fresh();
        self.behind_since = self.behind_since.filter(is_still_behind);
        let step = match self.following(status) {
            FollowMode::Starting => self.step_while_starting(now, status, random),
            FollowMode::Listening => self.step_while_listening(now, status),
            FollowMode::Watching => FollowStep::Watch,
            FollowMode::CatchingUp => self.step_while_catching_up(now, status),
        };
        let step = match step {
            FollowStep::Wait(time) => FollowStep::Wait(time.clamp(MIN_WAIT, MAX_WAIT)),
            step if step.asks_source() && now < self.backoff_end(status) => self.defer(now, status),
            step => step,
        };
        if step == FollowStep::ReadAll {
            self.last_read = Some(now);
        }
        step
    }

    fn step_while_starting(
        &mut self,
        now: Timestamp,
        status: NodeStatus,
        random: &mut impl Rng,
    ) -> FollowStep {
        let is_backing_off = now < self.backoff_until;
        if now >= self.read_at && !is_backing_off {
            self.read_at = now + rarely_short_delay(MAX_READ_DELAY_ALONE, random);
            return FollowStep::ReadAll;
        }
        if status.knows_nodes && now >= self.ask_at {
            self.ask_at = now + jittered(START_ASK_INTERVAL, random);
            let until = self.read_at.max(self.backoff_until);
            return FollowStep::AskNodes(until.saturating_since(now));
        }
        if now >= self.search_at && !is_backing_off {
            self.search_at = now + jittered(SEARCH_INTERVAL, random);
            return FollowStep::ReadNodeAddresses;
        }
        let next = self.read_at.min(self.search_at).max(self.backoff_until);
        let next = if status.knows_nodes {
            next.min(self.ask_at)
        } else {
            next
        };
        FollowStep::Wait(next.saturating_since(now))
    }

    fn step_while_listening(&mut self, now: Timestamp, status: NodeStatus) -> FollowStep {
        let limit = view_freshness::age_limit(status.role(), self.age_fraction);
        let age = status.view_age.unwrap_or(Duration::MAX);
        if age < limit {
            self.asked_without_success = false;
            return FollowStep::Wait(limit - age);
        }
        if now < self.ask_at {
            return FollowStep::Wait(self.ask_at.saturating_since(now));
        }
        if self.asked_without_success || !status.knows_nodes {
            return FollowStep::ReadNewestRevision;
        }
        FollowStep::AskNodes(Duration::MAX)
    }

    fn step_while_catching_up(&mut self, now: Timestamp, status: NodeStatus) -> FollowStep {
        if now >= self.read_at {
            return FollowStep::ReadAll;
        }
        if status.knows_nodes && now >= self.ask_at {
            self.ask_at = now + CATCH_UP_ASK_INTERVAL;
            return FollowStep::AskNodes(self.read_at.saturating_since(now));
        }
        FollowStep::Wait(self.read_at.min(self.ask_at).saturating_since(now))
    }

    /// Returns the time before which no requests are sent to the source.
    fn backoff_end(&self, status: NodeStatus) -> Timestamp {
        let learns_from_others = !status.is_watcher && status.knows_nodes;
        match self.following(status) {
            FollowMode::Listening | FollowMode::CatchingUp if learns_from_others => {
                self.listener_backoff_until
            }
            _ => self.backoff_until,
        }
    }

    /// Returns what to do during the delay after an error of the source. Other nodes may reach the
    /// source, so a node whose view is no longer fresh asks these meanwhile.
    fn defer(&mut self, now: Timestamp, status: NodeStatus) -> FollowStep {
        let may_ask = status.knows_nodes && !status.is_fresh();
        if may_ask && now >= self.ask_at {
            self.ask_at = now + MIN_ASK_INTERVAL;
            return FollowStep::AskNodes(Duration::MAX);
        }
        let end = match may_ask {
            true => self.backoff_end(status).min(self.ask_at),
            false => self.backoff_end(status),
        };
        FollowStep::Wait(end.saturating_since(now).min(MAX_WAIT))
    }

    /// Handles the end of a round in which other nodes were asked. `status` is the node's state
    /// after that.
    pub fn on_nodes_asked(&mut self, now: Timestamp, status: NodeStatus, random: &mut impl Rng) {
        match self.following(status) {
            FollowMode::Starting if self.is_chosen => self.read_at = now,
            FollowMode::Listening if status.is_fresh() => {
                self.ask_at = now + MIN_ASK_INTERVAL;
                self.draw_age_fraction(random);
            }
            FollowMode::Listening => self.asked_without_success = true,
            FollowMode::Starting | FollowMode::Watching | FollowMode::CatchingUp => {}
        }
    }

    /// Handles the answer to a read that looks for other nodes. `are_any` states whether it listed
    /// any, and `is_chosen` whether this node is a watcher according to that list.
    pub fn on_nodes_found(
        &mut self,
        now: Timestamp,
        are_any: bool,
        is_chosen: bool,
        random: &mut impl Rng,
    ) {
        self.reset_backoff();
        let limit = if are_any {
            MAX_READ_DELAY_AT_START
        } else {
            MAX_READ_DELAY_ALONE
        };
        if are_any || !self.was_answered {
            let read_at = now + rarely_short_delay(limit, random);
            self.read_at = match self.was_answered {
                true => self.read_at.min(read_at),
                false => read_at,
            };
        }
        self.was_answered = true;
        self.is_chosen = is_chosen;
    }

    /// Handles an answer of the source that brought the node up to date: changes, the confirmation
    /// that there are none, or a full read.
    pub fn on_up_to_date(&mut self, random: &mut impl Rng) {
        self.reset_backoff();
        self.behind_since = None;
        self.asked_without_success = false;
        self.draw_age_fraction(random);
    }

    /// Handles the answer that the source no longer has the changes since the node's snapshot.
    pub fn on_fell_behind(&mut self, now: Timestamp, status: NodeStatus, random: &mut impl Rng) {
        self.reset_backoff();
        self.asked_without_success = false;
        self.behind_since = Some(status.revision);
        self.ask_at = now;
        let read_at = match status.is_watcher {
            true => now,
            false => now + rarely_short_delay(MAX_READ_DELAY_BEHIND, random),
        };
        let earliest = self.last_read.map_or(now, |last| last + MIN_READ_INTERVAL);
        self.read_at = read_at.max(earliest);
    }

    /// Handles a request that the source refused or did not answer.
    pub fn on_source_error(&mut self, now: Timestamp, random: &mut impl Rng) {
        self.search_at = self
            .search_at
            .min(now + jittered(FAILED_SEARCH_INTERVAL, random));
        self.backoff_until = now + self.backoff;
        self.listener_backoff_until = now + rarely_short_delay(MAX_LISTENER_BACKOFF, random);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    fn reset_backoff(&mut self) {
        self.backoff = INITIAL_BACKOFF;
    }

    fn draw_age_fraction(&mut self, random: &mut impl Rng) {
        self.age_fraction = random.random();
    }
}
