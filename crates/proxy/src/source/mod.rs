//! Follows the source of configuration and servers.
//!
//! [`Follower`] decides which query is sent and when; this module sends the queries and applies their
//! results to the node. An adapter, the [`Source`], implements the protocol of the source.

mod watching;

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use lifthollow_coordination::mesh::source_following::{
    FollowMode, FollowStep, Follower, NodeStatus,
};
use lifthollow_coordination::mesh::watchers::{NodeLocation, choose_nodes_to_ask, choose_watchers};
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{RevisedChange, Revision, ServerInstance, Snapshot};
use slog::{info, warn};
use thiserror::Error;
use tokio::time::{sleep, timeout};

use crate::node::Node;
use crate::snapshots::{self, peer_queries};

/// Why a query to the source failed.
#[derive(Debug, Error)]
pub enum SourceError {
    /// The source no longer has the changes since the named revision.
    #[error("history is gone")]
    HistoryGone,
    /// The changes since the named revision are too large to be read at once.
    #[error("changes too large")]
    ChangesTooLarge,
    /// The source can't be reached, refuses the query, or sends an invalid answer.
    #[error("{0}")]
    Unavailable(String),
}

/// Changes that the source reports.
pub struct Changes {
    /// The source's revision after these changes.
    pub revision: Revision,
    /// The number of all reported changes, including those that do not concern nodes.
    pub reported_count: usize,
    /// The changes that concern nodes.
    pub changes: Vec<RevisedChange>,
}

/// The source of configuration and servers.
pub trait Source {
    /// Reads servers' entries, only some of them if there are many. The answer may be outdated: it is
    /// only used to find other nodes.
    fn find_servers(&self) -> impl Future<Output = Result<Vec<ServerInstance>, SourceError>>;

    /// Reads the whole snapshot.
    fn read_all(&self) -> impl Future<Output = Result<Snapshot, SourceError>>;

    /// Reads the newest revision.
    fn newest_revision(&self) -> impl Future<Output = Result<Revision, SourceError>>;

    /// Reads the changes since revision `after`, and waits up to `wait` until there are any.
    fn changes(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, SourceError>>;
}

/// Follows `source` and applies its changes to the node. Never returns.
pub async fn follow(node: Rc<Node>, source: impl Source) {
    let now = node.now();
    let follower = Follower::new(now, &mut node.state.borrow_mut().random);
    let mut follower = SourceFollower {
        follower,
        source,
        found_servers: Vec::new(),
        following: FollowMode::Starting,
        is_source_lost: false,
        node,
    };
    loop {
        if let Err(error) = follower.step().await {
            follower.handle_error(&error);
        }
    }
}

struct SourceFollower<S> {
    node: Rc<Node>,
    source: S,
    follower: Follower,
    /// Servers found at the source, beside which there may be nodes; used while this node has no
    /// snapshot.
    found_servers: Vec<ServerInstance>,
    /// How the source was last followed, as logged.
    following: FollowMode,
    /// Whether the last query to the source failed.
    is_source_lost: bool,
}

impl<S: Source> SourceFollower<S> {
    async fn step(&mut self) -> Result<(), SourceError> {
        let (now, status) = (self.node.now(), self.status());
        self.log_following(status);
        let step = {
            let random = &mut self.node.state.borrow_mut().random;
            self.follower.step(now, status, random)
        };
        match step {
            FollowStep::Wait(time) => sleep(time).await,
            FollowStep::AskNodes(limit) => self.query_nodes(limit).await,
            FollowStep::ReadNodeAddresses => self.find_nodes().await?,
            FollowStep::ReadAll => self.read_all().await?,
            FollowStep::ReadNewestRevision => self.check_newest().await?,
            FollowStep::Watch => self.watch().await?,
        }
        Ok(())
    }

    fn status(&self) -> NodeStatus {
        NodeStatus {
            revision: self.node.revision(),
            is_watcher: self.node.is_watcher(),
            knows_nodes: !self.found_servers.is_empty() || self.node.knows_watchers(),
            is_busy: self.node.is_busy(),
            view_age: self.node.view_age(),
        }
    }

    fn log_following(&mut self, status: NodeStatus) {
        let following = self.follower.following(status);
        if following != self.following {
            let age_ms = status.view_age.map(|age| age.as_millis() as u64);
            info!(self.node.log, "follows the source otherwise"; "now" => ?following,
                "before" => ?self.following, "revision" => %status.revision, "view_age_ms" => age_ms);
            self.following = following;
        }
        if following != FollowMode::Starting {
            self.found_servers = Vec::new();
        }
    }

    async fn query_nodes(&mut self, limit: Duration) {
        let querying = async {
            if self.node.has_snapshot() {
                peer_queries::query_watchers(&self.node).await;
            } else {
                peer_queries::fetch_snapshot(&self.node, self.choose_nodes_to_ask()).await;
            }
        };
        // Changes that were fetched before the timeout have already been applied.
        let _ = timeout(limit, querying).await;
        let (now, status) = (self.node.now(), self.status());
        let random = &mut self.node.state.borrow_mut().random;
        self.follower.on_nodes_asked(now, status, random);
    }

    fn choose_nodes_to_ask(&self) -> Vec<SocketAddrV4> {
        let settings = &self.node.settings;
        let own = NodeLocation {
            zone: &settings.zone,
            address: settings.server_address,
        };
        let random = &mut self.node.state.borrow_mut().random;
        choose_nodes_to_ask(&self.found_servers, own, random)
    }

    async fn find_nodes(&mut self) -> Result<(), SourceError> {
        let found_servers = self.source.find_servers().await?;
        self.log_source_regained();
        let now = self.node.now();
        let is_chosen =
            choose_watchers(&found_servers).contains(&self.node.settings.server_address);
        info!(self.node.log, "looked for other nodes"; "found" => found_servers.len(),
            "chosen_to_watch" => is_chosen);
        self.found_servers = found_servers;
        let random = &mut self.node.state.borrow_mut().random;
        let are_any = !self.found_servers.is_empty();
        self.follower
            .on_nodes_found(now, are_any, is_chosen, random);
        Ok(())
    }

    async fn read_all(&mut self) -> Result<(), SourceError> {
        let asked = self.node.now();
        let snapshot = self.source.read_all().await?;
        self.log_read(&snapshot);
        let revision = snapshot.revision;
        snapshots::replace_snapshot(&self.node, "source", snapshot);
        self.mark_up_to_date(revision, asked);
        if !self.node.is_watcher() {
            peer_queries::notify_watchers(&self.node);
        }
        Ok(())
    }

    /// Logs the versions that were read together with those that this node has: the newer ones are
    /// kept.
    fn log_read(&self, read: &Snapshot) {
        let version = read.configuration.as_ref().map(|read| read.version);
        info!(self.node.log, "read all of the source"; "revision" => %read.revision,
            "version" => version, "servers" => read.servers.len(),
            "known_revision" => %self.node.revision(),
            "known_version" => self.node.configuration_version());
    }

    /// Checks whether the source has a newer revision than this node's snapshot.
    async fn check_newest(&mut self) -> Result<(), SourceError> {
        let asked = self.node.now();
        let newest = self.source.newest_revision().await?;
        if newest > self.node.revision() {
            self.handle_missing_changes("no node reported the changes");
        } else {
            self.mark_up_to_date(newest, asked);
        }
        Ok(())
    }

    /// Applies the source's answer to a query for changes after `after`, sent at `asked`. Returns
    /// whether it contained changes. The view is confirmed as of `asked`, because it is not known when
    /// the source answered: the answer may have been delayed in the network or in this process.
    fn apply_changes(
        &mut self,
        answer: Result<Changes, SourceError>,
        after: Revision,
        asked: Timestamp,
    ) -> Result<bool, SourceError> {
        let answer = match answer {
            Err(SourceError::HistoryGone) => {
                self.handle_missing_changes("source forgot its history");
                return Ok(false);
            }
            Err(SourceError::ChangesTooLarge) => {
                self.handle_missing_changes("changes were too large to be read");
                return Ok(false);
            }
            other => other?,
        };
        if answer.revision.era != after.era {
            // In a new era the source assigns revision numbers again: the answer does not contain the
            // new era's changes up to the number of `after`.
            self.handle_missing_changes("source came back from an older copy");
            return Ok(false);
        }
        let has_changes = answer.reported_count > 0;
        if !has_changes && answer.revision > self.node.revision() {
            // The source reports every change, so some are missing from this answer.
            self.handle_missing_changes(
                "source named a revision without the changes that led to it",
            );
            return Ok(false);
        }
        snapshots::apply_changes(&self.node, answer.revision, answer.changes);
        self.mark_up_to_date(answer.revision, asked);
        Ok(has_changes)
    }

    /// Handles that the source has a newer revision but did not report the changes up to it.
    fn handle_missing_changes(&mut self, why: &str) {
        let (now, status) = (self.node.now(), self.status());
        info!(self.node.log, "fell behind the source"; "why" => why, "revision" => %status.revision);
        self.log_source_regained();
        let random = &mut self.node.state.borrow_mut().random;
        self.follower.on_fell_behind(now, status, random);
    }

    /// Handles that the node has `revision`, which was the source's newest at `at`.
    fn mark_up_to_date(&mut self, revision: Revision, at: Timestamp) {
        self.confirm(revision, at);
        self.log_source_regained();
        let random = &mut self.node.state.borrow_mut().random;
        self.follower.on_up_to_date(random);
    }

    /// Confirms the node's view as of `at`, when `revision` was the source's newest, if the node has
    /// that revision.
    fn confirm(&self, revision: Revision, at: Timestamp) {
        if revision == self.node.revision() {
            self.node.confirm_view(at);
        }
    }

    fn log_source_regained(&mut self) {
        if std::mem::take(&mut self.is_source_lost) {
            info!(self.node.log, "source regained"; "revision" => %self.node.revision());
        }
    }

    fn handle_error(&mut self, error: &SourceError) {
        if !std::mem::replace(&mut self.is_source_lost, true) {
            warn!(self.node.log, "source lost"; "error" => %error, "revision" => %self.node.revision());
        }
        let now = self.node.now();
        let random = &mut self.node.state.borrow_mut().random;
        self.follower.on_source_error(now, random);
    }
}
