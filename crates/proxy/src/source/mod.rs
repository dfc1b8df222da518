//! Follows the source of configuration and servers.
//!
//! What is asked, and when, is decided by [`Follower`]; this module asks, and hands over what
//! comes of it. How the source is spoken to is told by an adapter, the [`Source`].

mod watching;

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use lifthollow_coordination::mesh::source_following::{Follower, Following, Known, Step};
use lifthollow_coordination::mesh::watchers::{Place, nodes_to_ask, watchers};
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{RevisedChange, Revision, ServerInstance, Snapshot};
use slog::{info, warn};
use thiserror::Error;
use tokio::time::{sleep, timeout};

use crate::node::Node;
use crate::snapshots::{self, asking};

/// Why the source gave no answer.
#[derive(Debug, Error)]
pub enum SourceError {
    /// It no longer knows the changes since the revision that was named.
    #[error("history is gone")]
    HistoryGone,
    /// It can't be reached, refuses, or isn't understood.
    #[error("{0}")]
    Unavailable(String),
}

/// What the source tells of what has changed.
pub struct Changes {
    /// The revision that they lead to.
    pub revision: Revision,
    /// How many there are, also such as mean nothing to a node.
    pub told: usize,
    /// Those that mean something.
    pub changes: Vec<RevisedChange>,
}

/// The source of configuration and servers.
pub trait Source {
    /// Reads servers' announcements, some of many if there are many. The answer may be old: it
    /// only tells where other nodes are.
    fn find_servers(&self) -> impl Future<Output = Result<Vec<ServerInstance>, SourceError>>;

    /// Reads all.
    fn read_all(&self) -> impl Future<Output = Result<Snapshot, SourceError>>;

    /// Reads the newest revision.
    fn newest_revision(&self) -> impl Future<Output = Result<Revision, SourceError>>;

    /// Asks for what has changed since `after`, and waits up to `wait` for something.
    fn changes(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, SourceError>>;
}

/// Follows `source` and tells the node what changes, for ever.
pub async fn follow(node: Rc<Node>, source: impl Source) {
    let now = node.now();
    let follower = Follower::new(now, &mut node.state.borrow_mut().random);
    let mut follower = SourceFollower {
        follower,
        source,
        found: Vec::new(),
        following: Following::Starting,
        is_lost: false,
        node,
    };
    loop {
        if let Err(error) = follower.step().await {
            follower.note_error(&error);
        }
    }
}

struct SourceFollower<S> {
    node: Rc<Node>,
    source: S,
    follower: Follower,
    /// Servers beside which there may be nodes, while this one has no snapshot.
    found: Vec<ServerInstance>,
    /// How the source was last followed.
    following: Following,
    is_lost: bool,
}

impl<S: Source> SourceFollower<S> {
    async fn step(&mut self) -> Result<(), SourceError> {
        let (now, known) = (self.node.now(), self.known());
        self.note_following(known);
        let step = {
            let random = &mut self.node.state.borrow_mut().random;
            self.follower.step(now, known, random)
        };
        match step {
            Step::Wait(time) => sleep(time).await,
            Step::AskNodes(limit) => self.ask_nodes(limit).await,
            Step::FindNodes => self.find_nodes().await?,
            Step::ReadAll => self.read_all().await?,
            Step::AskForNewest => self.ask_for_newest().await?,
            Step::Watch => self.watch().await?,
        }
        Ok(())
    }

    fn known(&self) -> Known {
        Known {
            revision: self.node.revision(),
            is_watcher: self.node.is_watcher(),
            knows_nodes: !self.found.is_empty() || self.node.knows_watchers(),
            is_busy: self.node.is_busy(),
            view_age: self.node.view_age(),
        }
    }

    fn note_following(&mut self, known: Known) {
        let following = self.follower.following(known);
        if following != self.following {
            let age_ms = known.view_age.map(|age| age.as_millis() as u64);
            info!(self.node.log, "follows the source otherwise"; "now" => ?following,
                "before" => ?self.following, "revision" => %known.revision, "view_age_ms" => age_ms);
            self.following = following;
        }
        if following != Following::Starting {
            self.found = Vec::new();
        }
    }

    async fn ask_nodes(&mut self, limit: Duration) {
        let asking = async {
            if self.node.has_snapshot() {
                asking::ask_watchers(&self.node).await;
            } else {
                asking::ask_for_snapshot(&self.node, self.nodes_to_ask()).await;
            }
        };
        // Whatever an answer has brought until then is kept.
        let _ = timeout(limit, asking).await;
        let (now, known) = (self.node.now(), self.known());
        let random = &mut self.node.state.borrow_mut().random;
        self.follower.nodes_asked(now, known, random);
    }

    fn nodes_to_ask(&self) -> Vec<SocketAddrV4> {
        let settings = &self.node.settings;
        let own = Place {
            zone: &settings.zone,
            address: settings.server_address,
        };
        let random = &mut self.node.state.borrow_mut().random;
        nodes_to_ask(&self.found, own, random)
    }

    async fn find_nodes(&mut self) -> Result<(), SourceError> {
        let found = self.source.find_servers().await?;
        self.note_answer();
        let now = self.node.now();
        let is_chosen = watchers(&found).contains(&self.node.settings.server_address);
        info!(self.node.log, "looked for other nodes"; "found" => found.len(),
            "chosen_to_watch" => is_chosen);
        self.found = found;
        let random = &mut self.node.state.borrow_mut().random;
        let are_any = !self.found.is_empty();
        self.follower.nodes_found(now, are_any, is_chosen, random);
        Ok(())
    }

    async fn read_all(&mut self) -> Result<(), SourceError> {
        let asked = self.node.now();
        let snapshot = self.source.read_all().await?;
        self.note_read(&snapshot);
        let revision = snapshot.revision;
        snapshots::replace(&self.node, "source", snapshot);
        self.brought_up_to_date(revision, asked);
        if !self.node.is_watcher() {
            asking::tell_watchers(&self.node);
        }
        Ok(())
    }

    /// Logs what was read beside what is known: which of them is newer decides what is kept.
    fn note_read(&self, read: &Snapshot) {
        let version = read.configuration.as_ref().map(|read| read.version);
        info!(self.node.log, "read all of the source"; "revision" => %read.revision,
            "version" => version, "servers" => read.servers.len(),
            "known_revision" => %self.node.revision(),
            "known_version" => self.node.configuration_version());
    }

    /// Asks whether the source has anything newer than the snapshot.
    async fn ask_for_newest(&mut self) -> Result<(), SourceError> {
        let asked = self.node.now();
        let newest = self.source.newest_revision().await?;
        if newest > self.node.revision() {
            self.fall_behind("nobody told of the changes");
        } else {
            self.brought_up_to_date(newest, asked);
        }
        Ok(())
    }

    /// Takes in what the source told of changes after `after` when it was asked at `asked`, and
    /// says whether that was anything. When its answer was given is not known: it may have waited,
    /// here or on its way.
    fn take_changes(
        &mut self,
        answer: Result<Changes, SourceError>,
        after: Revision,
        asked: Timestamp,
    ) -> Result<bool, SourceError> {
        let answer = match answer {
            Err(SourceError::HistoryGone) => {
                self.fall_behind("source forgot its history");
                return Ok(false);
            }
            other => other?,
        };
        if answer.revision.era != after.era {
            // Numbers were given out again: changes up to `after` in the new era are not among these.
            self.fall_behind("source came back from an older copy");
            return Ok(false);
        }
        let has_changes = answer.told > 0;
        if !has_changes && answer.revision > self.node.revision() {
            // Every change is told: some were left out.
            self.fall_behind("source named a revision without the changes that led to it");
            return Ok(false);
        }
        snapshots::apply(&self.node, answer.revision, answer.changes);
        self.brought_up_to_date(answer.revision, asked);
        Ok(has_changes)
    }

    /// The source has something newer and does not tell the changes that led to it.
    fn fall_behind(&mut self, why: &str) {
        let (now, known) = (self.node.now(), self.known());
        info!(self.node.log, "fell behind the source"; "why" => why, "revision" => %known.revision);
        self.note_answer();
        let random = &mut self.node.state.borrow_mut().random;
        self.follower.fell_behind(now, known, random);
    }

    /// At `at`, `revision` was the source's newest, and the node has it.
    fn brought_up_to_date(&mut self, revision: Revision, at: Timestamp) {
        self.confirm(revision, at);
        self.note_answer();
        let random = &mut self.node.state.borrow_mut().random;
        self.follower.brought_up_to_date(random);
    }

    /// At `at`, `revision` was the source's newest.
    fn confirm(&self, revision: Revision, at: Timestamp) {
        if revision == self.node.revision() {
            self.node.confirm_view(at);
        }
    }

    fn note_answer(&mut self) {
        if std::mem::take(&mut self.is_lost) {
            info!(self.node.log, "source regained"; "revision" => %self.node.revision());
        }
    }

    fn note_error(&mut self, error: &SourceError) {
        if !std::mem::replace(&mut self.is_lost, true) {
            warn!(self.node.log, "source lost"; "error" => %error, "revision" => %self.node.revision());
        }
        let now = self.node.now();
        let random = &mut self.node.state.borrow_mut().random;
        self.follower.source_failed(now, random);
    }
}
