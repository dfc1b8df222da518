//! What a node asks the source, and when.
//!
//! The source has a bound and a price for each question, so that the questions of all
//! nodes together must not grow with their number. Few nodes watch it
//! ([`watchers`](crate::mesh::watchers)) and the others learn from these. That has to hold also
//! where all nodes lack something at the same moment: they all start, or the source has
//! forgotten its history and answers only who reads all of it.
//!
//! A node is in one of four states ([`Following`]). It asks other nodes first. What it asks
//! the source after that is put off by a time of its own choice that is seldom short
//! ([`seldom_short`]): few of many nodes ask, and the rest is told by these meanwhile.
//!
//! A node that starts knows nobody. It looks for others in a read that may be old. Such a
//! read tells whom to ask and nothing else: it makes no node ready and confirms no view.

use std::time::Duration;

use lifthollow_state::Timestamp;
use lifthollow_state::mesh::Revision;
use rand::{Rng, RngExt};

use crate::mesh::view_freshness::{self, ACCEPTED_AGE, Role};

/// Time between two reads that look for other nodes, on average: where nobody is there yet,
/// the first nodes that know of others tell the rest.
const SEARCH_PAUSE: Duration = Duration::from_millis(2000);
/// The same after one that was not answered.
const FAILED_SEARCH_PAUSE: Duration = Duration::from_millis(1000);
/// Time between two rounds of questions of a node that starts, on average.
const START_ASK_PAUSE: Duration = Duration::from_millis(250);
/// A node that has found no other one reads the source after this time at most: it may be
/// the only one.
const ALONE_LIMIT: Duration = Duration::from_secs(4);
/// The same if its reads that look for others are not answered.
const UNANSWERED_LIMIT: Duration = Duration::from_secs(8);
/// A node whom none of those that it has found can help reads the source after this time at
/// most.
const START_LIMIT: Duration = Duration::from_millis(1500);
/// A listener that has fallen behind reads the source after this time at most, unless others
/// bring its view up to date.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(200);
/// Time between two rounds of questions of a node that catches up.
const CATCH_UP_ASK_PAUSE: Duration = Duration::from_millis(100);
/// The shortest time between two reads of all of the source: one whose reads don't help, as it
/// forgets its history at once, must not be read without end.
const READ_PAUSE: Duration = Duration::from_millis(250);
/// A node that was told by a watcher asks none for this long.
const ASK_PAUSE: Duration = Duration::from_millis(300);
/// The first pause after an error of the source.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause after errors of the source.
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// After an error of the source a node that learns from others asks it again after this time at
/// most: those that watch do sooner, and one of them tells all others that it is back.
const LISTENER_PAUSE: Duration = Duration::from_millis(3000);
/// The shortest time for which it is worth to wait.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);
/// The longest time until a node decides anew: what it knows may have changed.
const LONGEST_WAIT: Duration = Duration::from_millis(250);

/// How a node follows the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Following {
    /// It has no snapshot yet.
    Starting,
    /// It learns from other nodes.
    Listening,
    /// It is one of the few that watch the source.
    Watching,
    /// The source has something newer, and does not tell it the changes since its snapshot.
    CatchingUp,
}

/// What a node knows when it decides.
#[derive(Clone, Copy, Debug)]
pub struct Known {
    /// Revision of its snapshot.
    pub revision: Revision,
    /// Whether it is one of the few that watch the source.
    pub is_watcher: bool,
    /// Whether it knows other nodes that it could ask.
    pub knows_nodes: bool,
    /// Whether a caller or another node has asked it for something lately.
    pub is_busy: bool,
    /// The time since its view was confirmed; none if it never was.
    pub view_age: Option<Duration>,
}

impl Known {
    /// The role in which its view grows old.
    pub fn role(self) -> Role {
        match (self.is_watcher, self.is_busy) {
            (false, _) => Role::Listener,
            (true, true) => Role::BusyWatcher,
            (true, false) => Role::IdleWatcher,
        }
    }

    fn is_fresh(self) -> bool {
        self.view_age.is_some_and(|age| age <= ACCEPTED_AGE)
    }
}

/// What a node does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing for this long.
    Wait(Duration),
    /// Ask other nodes for what it lacks, for no longer than this.
    AskNodes(Duration),
    /// Read the servers' addresses from the source, which may be old, to know whom to ask.
    FindNodes,
    /// Read all that the source has.
    ReadAll,
    /// Ask the source which revision is its newest. A watch would not do: one that has nothing to
    /// tell may not be answered.
    AskForNewest,
    /// Wait for the source's next change.
    Watch,
}

impl Step {
    fn asks_source(self) -> bool {
        !matches!(self, Step::Wait(_) | Step::AskNodes(_))
    }
}

/// What a node is to do next, from what it knows and what came of its questions.
#[derive(Clone, Debug)]
pub struct Follower {
    /// Drawn anew for each time that the view grows old, from 0 to 1.
    drawn: f64,
    /// When a node that starts looks for others again.
    search_at: Timestamp,
    /// When other nodes are asked again.
    ask_at: Timestamp,
    /// When all of the source is read, of a node that starts or catches up.
    read_at: Timestamp,
    /// When all of the source was last read, or begun to be.
    last_read: Option<Timestamp>,
    /// Whether a read that looks for others was answered.
    was_answered: bool,
    /// Whether a node that starts was chosen to watch by those that it has found.
    is_chosen: bool,
    /// The revision since which the source does not tell the changes, while none newer is known.
    behind_since: Option<Revision>,
    /// Whether other nodes were asked in vain since the view was last fresh.
    asked_in_vain: bool,
    /// The source is asked for nothing until then.
    paused_until: Timestamp,
    /// The same while the node learns from others.
    listener_paused_until: Timestamp,
    pause: Duration,
}

/// A time up to `limit` that is seldom short: half of the nodes draw more than 0.84 of it, one
/// in 1,000 less than 0.18.
pub fn seldom_short(limit: Duration, random: &mut impl Rng) -> Duration {
    limit.mul_f64(random.random::<f64>().powf(0.25))
}

/// Half to one and a half times `mean`.
fn about(mean: Duration, random: &mut impl Rng) -> Duration {
    mean.mul_f64(random.random_range(0.5..1.5))
}

impl Follower {
    /// A node that starts.
    pub fn new(now: Timestamp, random: &mut impl Rng) -> Self {
        Follower {
            drawn: random.random(),
            search_at: now,
            ask_at: now,
            read_at: now + seldom_short(UNANSWERED_LIMIT, random),
            last_read: None,
            was_answered: false,
            is_chosen: false,
            behind_since: None,
            asked_in_vain: false,
            paused_until: now,
            listener_paused_until: now,
            pause: FIRST_PAUSE,
        }
    }

    /// How the node follows the source.
    pub fn following(&self, known: Known) -> Following {
        match self.behind_since {
            _ if known.revision.is_none() => Following::Starting,
            Some(_) => Following::CatchingUp,
            None if known.is_watcher => Following::Watching,
            None => Following::Listening,
        }
    }

    /// What to do now.
    pub fn step(&mut self, now: Timestamp, known: Known, random: &mut impl Rng) -> Step {
        let is_behind = |since: &Revision| known.revision <= *since || !known.is_fresh();
        self.behind_since = self.behind_since.filter(is_behind);
        let step = match self.following(known) {
            Following::Starting => self.start(now, known, random),
            Following::Listening => self.listen(now, known),
            Following::Watching => Step::Watch,
            Following::CatchingUp => self.catch_up(now, known),
        };
        let step = match step {
            Step::Wait(time) => Step::Wait(time.clamp(SHORTEST_WAIT, LONGEST_WAIT)),
            step if step.asks_source() && now < self.pause_end(known) => self.pause(now, known),
            step => step,
        };
        if step == Step::ReadAll {
            self.last_read = Some(now);
        }
        step
    }

    fn start(&mut self, now: Timestamp, known: Known, random: &mut impl Rng) -> Step {
        let is_paused = now < self.paused_until;
        if now >= self.read_at && !is_paused {
            self.read_at = now + seldom_short(ALONE_LIMIT, random);
            return Step::ReadAll;
        }
        if known.knows_nodes && now >= self.ask_at {
            self.ask_at = now + about(START_ASK_PAUSE, random);
            let until = self.read_at.max(self.paused_until);
            return Step::AskNodes(until.saturating_since(now));
        }
        if now >= self.search_at && !is_paused {
            self.search_at = now + about(SEARCH_PAUSE, random);
            return Step::FindNodes;
        }
        let next = self.read_at.min(self.search_at).max(self.paused_until);
        let next = if known.knows_nodes {
            next.min(self.ask_at)
        } else {
            next
        };
        Step::Wait(next.saturating_since(now))
    }

    fn listen(&mut self, now: Timestamp, known: Known) -> Step {
        let limit = view_freshness::age_limit(known.role(), self.drawn);
        let age = known.view_age.unwrap_or(Duration::MAX);
        if age < limit {
            self.asked_in_vain = false;
            return Step::Wait(limit - age);
        }
        if now < self.ask_at {
            return Step::Wait(self.ask_at.saturating_since(now));
        }
        if self.asked_in_vain || !known.knows_nodes {
            return Step::AskForNewest;
        }
        Step::AskNodes(Duration::MAX)
    }

    fn catch_up(&mut self, now: Timestamp, known: Known) -> Step {
        if now >= self.read_at {
            return Step::ReadAll;
        }
        if known.knows_nodes && now >= self.ask_at {
            self.ask_at = now + CATCH_UP_ASK_PAUSE;
            return Step::AskNodes(self.read_at.saturating_since(now));
        }
        Step::Wait(self.read_at.min(self.ask_at).saturating_since(now))
    }

    /// Until when the source is asked for nothing.
    fn pause_end(&self, known: Known) -> Timestamp {
        let learns_from_others = !known.is_watcher && known.knows_nodes;
        match self.following(known) {
            Following::Listening | Following::CatchingUp if learns_from_others => {
                self.listener_paused_until
            }
            _ => self.paused_until,
        }
    }

    /// The source was out of reach a moment ago. Other nodes may reach it, so a node whose view
    /// has grown old asks these meanwhile.
    fn pause(&mut self, now: Timestamp, known: Known) -> Step {
        let may_ask = known.knows_nodes && !known.is_fresh();
        if may_ask && now >= self.ask_at {
            self.ask_at = now + ASK_PAUSE;
            return Step::AskNodes(Duration::MAX);
        }
        let end = match may_ask {
            true => self.pause_end(known).min(self.ask_at),
            false => self.pause_end(known),
        };
        Step::Wait(end.saturating_since(now).min(LONGEST_WAIT))
    }

    /// Other nodes were asked. `known` is what the node knows after that.
    pub fn nodes_asked(&mut self, now: Timestamp, known: Known, random: &mut impl Rng) {
        match self.following(known) {
            Following::Starting if self.is_chosen => self.read_at = now,
            Following::Listening if known.is_fresh() => {
                self.ask_at = now + ASK_PAUSE;
                self.draw(random);
            }
            Following::Listening => self.asked_in_vain = true,
            Following::Starting | Following::Watching | Following::CatchingUp => {}
        }
    }

    /// A read that may be old was answered. It named some nodes, or none; by those that it
    /// named this one is chosen to watch, or not.
    pub fn nodes_found(
        &mut self,
        now: Timestamp,
        are_any: bool,
        is_chosen: bool,
        random: &mut impl Rng,
    ) {
        self.source_answered();
        let limit = if are_any { START_LIMIT } else { ALONE_LIMIT };
        if are_any || !self.was_answered {
            let read_at = now + seldom_short(limit, random);
            self.read_at = match self.was_answered {
                true => self.read_at.min(read_at),
                false => read_at,
            };
        }
        self.was_answered = true;
        self.is_chosen = is_chosen;
    }

    /// The source told of changes, or that it has nothing newer, or gave all it has.
    pub fn brought_up_to_date(&mut self, random: &mut impl Rng) {
        self.source_answered();
        self.behind_since = None;
        self.asked_in_vain = false;
        self.draw(random);
    }

    /// The source has something newer than the snapshot, and does not tell the changes since that.
    pub fn fell_behind(&mut self, now: Timestamp, known: Known, random: &mut impl Rng) {
        self.source_answered();
        self.asked_in_vain = false;
        self.behind_since = Some(known.revision);
        self.ask_at = now;
        let read_at = match known.is_watcher {
            true => now,
            false => now + seldom_short(CATCH_UP_LIMIT, random),
        };
        let earliest = self.last_read.map_or(now, |last| last + READ_PAUSE);
        self.read_at = read_at.max(earliest);
    }

    /// The source did not answer, or refused.
    pub fn source_failed(&mut self, now: Timestamp, random: &mut impl Rng) {
        self.search_at = self.search_at.min(now + about(FAILED_SEARCH_PAUSE, random));
        self.paused_until = now + self.pause;
        self.listener_paused_until = now + seldom_short(LISTENER_PAUSE, random);
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }

    fn source_answered(&mut self) {
        self.pause = FIRST_PAUSE;
    }

    fn draw(&mut self, random: &mut impl Rng) {
        self.drawn = random.random();
    }
}
