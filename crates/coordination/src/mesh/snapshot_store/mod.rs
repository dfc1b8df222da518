//! The node's snapshot of the source's items (configuration and servers), which only moves forward.
//!
//! A node learns of changes from the source itself and, if the source doesn't answer it, from other
//! nodes. Whichever way they arrive, older data never replaces newer data. This also holds if the
//! source is restored from a backup and lacks recent changes for a while ([`departed_servers`]).

mod change_log;
mod departed_servers;

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddrV4;
use std::sync::Arc;

use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{
    Change, Configuration, ConfigurationError, InstanceId, KnownServer, RevisedChange, Revision,
    ServerInstance, Snapshot, SnapshotVersion, Update,
};

use change_log::ChangeLog;
pub use departed_servers::EntryTimes;
use departed_servers::{DepartedServers, MissingReason};

/// The effect of applying a change to the snapshot.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// The current configuration was replaced.
    Configuration,
    /// The list of servers changed.
    Servers,
    /// The change had no effect: it was not newer than what is known.
    Unchanged,
    /// The configuration is invalid; the previous one stays in force.
    Rejected(Vec<ConfigurationError>),
}

/// The snapshot in force, with the log of changes that led to it.
#[derive(Clone, Debug, Default)]
pub struct SnapshotStore {
    snapshot: Arc<Snapshot>,
    departed_servers: DepartedServers,
    /// When the snapshot was last known to be the source's newest; none if it never was.
    confirmed_at: Option<Timestamp>,
    /// The revisions of the entries at each address. There are few per address.
    revisions_by_address: HashMap<SocketAddrV4, Vec<Revision>>,
    /// The most recent changes, for nodes that are behind.
    changes: ChangeLog,
}

impl SnapshotStore {
    /// Creates an empty store for a source with these times of its entries.
    pub fn new(times: EntryTimes) -> Self {
        SnapshotStore {
            departed_servers: DepartedServers::new(times),
            ..SnapshotStore::default()
        }
    }

    /// Returns the snapshot in force.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Applies one change that was made at `revision`.
    pub fn apply(&mut self, now: Timestamp, revision: Revision, change: Change) -> Applied {
        if !revision.continues(self.snapshot.revision) {
            return Applied::Unchanged;
        }
        match change {
            Change::Configuration(configuration) => {
                self.apply_configuration(revision, configuration)
            }
            Change::Server(instance) => {
                self.log(revision, Change::Server(instance.clone()));
                self.apply_server(revision, instance)
            }
            Change::ServerGone(id) => {
                self.log(revision, Change::ServerGone(id.clone()));
                self.apply_server_gone(now, revision, &id)
            }
            Change::ServerOverwritten(id) => {
                self.log(revision, Change::ServerOverwritten(id.clone()));
                match self.remove_server(revision, &id) {
                    Some(_) => Applied::Servers,
                    None => Applied::Unchanged,
                }
            }
        }
    }

    fn log(&mut self, revision: Revision, change: Change) {
        self.changes.append(RevisedChange { revision, change });
    }

    /// Sets the revision of the snapshot, after all changes up to `revision` were applied.
    pub fn advance(&mut self, revision: Revision) {
        if revision.continues(self.snapshot.revision) {
            Arc::make_mut(&mut self.snapshot).revision = revision;
        }
    }

    /// Records that the snapshot was the source's newest at `at`.
    pub fn confirm(&mut self, at: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Applies an update that another node sent.
    pub fn update(&mut self, now: Timestamp, update: Update) -> Vec<Applied> {
        match update {
            Update::Whole(snapshot) => self.replace(now, snapshot),
            Update::Difference {
                revision,
                changes,
                gaps,
            } => {
                if revision.continues(self.snapshot.revision) {
                    self.changes.add_gaps(gaps);
                }
                let applied = changes
                    .into_iter()
                    .map(|change| self.apply(now, change.revision, change.change))
                    .collect();
                self.advance(revision);
                applied
            }
        }
    }

    /// Returns the version of the snapshot, which this node reports to others.
    pub fn version(&self) -> SnapshotVersion {
        self.snapshot.version()
    }

    /// Whether a node with a snapshot of version `theirs` must be sent the whole snapshot: the log
    /// lacks some of the changes since then, or they don't include the configuration that is in
    /// force here.
    pub fn needs_whole_snapshot(&self, theirs: SnapshotVersion) -> bool {
        let configuration = self.version().configuration;
        let has_configuration = theirs.configuration >= configuration
            || self
                .changes
                .contains_configuration(theirs.revision, configuration);
        !self.changes.is_complete_since(theirs.revision) || !has_configuration
    }

    /// Returns the update for a node with a snapshot of version `theirs`.
    pub fn update_since(&self, theirs: SnapshotVersion) -> Update {
        match self.needs_whole_snapshot(theirs) {
            true => Update::Whole((*self.snapshot).clone()),
            false => {
                let newest = self.snapshot.revision;
                let in_force = self.snapshot.configuration.as_ref();
                self.changes
                    .difference_since(theirs.revision, newest, in_force)
            }
        }
    }

    /// Applies a whole snapshot, which replaces all servers if it is not older. Its configuration
    /// is compared by its own version: an older snapshot may hold a newer configuration, if the
    /// source lost that one.
    pub fn replace(&mut self, now: Timestamp, mut newer: Snapshot) -> Vec<Applied> {
        if newer.revision < self.snapshot.revision {
            let (revision, configuration) = (newer.revision, newer.configuration.into_iter());
            let applied = configuration.map(|newest| self.apply_configuration(revision, newest));
            return applied.filter(|one| *one != Applied::Unchanged).collect();
        }
        self.departed_servers
            .correct_snapshot(now, &self.snapshot, &mut newer);
        self.changes.append_difference(&self.snapshot, &newer);
        let mut applied = Vec::new();
        if let Some(configuration) = newer.configuration.take() {
            applied.push(self.apply_configuration(newer.revision, configuration));
        }
        let before = self.snapshot.servers.clone();
        if before != newer.servers {
            let reason = match newer.revision.era == self.snapshot.revision.era {
                true => MissingReason::Removed,
                false => MissingReason::LostByRestore,
            };
            for (id, known) in before {
                if newer.server(&id).is_none() {
                    self.record_missing(now, known, reason);
                }
            }
            Arc::make_mut(&mut self.snapshot).servers = newer.servers;
            self.rebuild_address_index();
            applied.push(Applied::Servers);
        }
        if newer.revision > self.snapshot.revision {
            Arc::make_mut(&mut self.snapshot).revision = newer.revision;
        }
        applied
    }

    /// Forgets servers that vanished too long ago, and trusts unconfirmed servers again that are
    /// still listed after their entries would have expired. Returns whether anything changed. The
    /// source has been available since `available_since`. This is `None` during an outage: then
    /// nothing is forgotten, as no server can rewrite its entry.
    pub fn expire_vanished(&mut self, now: Timestamp, available_since: Option<Timestamp>) -> bool {
        available_since.is_some_and(|since| self.departed_servers.expire(now, since))
    }

    /// Returns the time at which [`expire_vanished`](Self::expire_vanished) has to be called next: no
    /// request may reach a server later. None if no server has vanished, or during an outage of the source.
    pub fn next_expiry(&self, available_since: Option<Timestamp>) -> Option<Timestamp> {
        self.departed_servers.next_expiry(available_since?)
    }

    /// Whether the server has left at `now`: its entry was removed, and no outage of the source explains
    /// that. The source has been available since `available_since`; none during an outage.
    pub fn has_left(
        &self,
        now: Timestamp,
        available_since: Option<Timestamp>,
        id: &InstanceId,
    ) -> bool {
        self.departed_servers.has_left(now, available_since, id)
    }

    /// Returns the servers that vanished without announcing that they leave, and that are still
    /// remembered.
    pub fn recently_vanished(&self) -> Vec<ServerInstance> {
        self.departed_servers.recently_vanished().cloned().collect()
    }

    /// Returns the servers that are believed to exist. Only servers of configured services count.
    /// Of several entries with the same address only the newest counts, since a server that starts
    /// at an address used before leaves the former server's entry to expire. A server whose entry
    /// the source lost by a restore is included unless another has its address. A server that
    /// vanished without an announcement, or that was removed and only a restored backup lists, is
    /// included only while its service has no other server.
    pub fn active_servers(&self) -> Vec<ServerInstance> {
        let listed = self.snapshot.servers.values();
        let listed = listed.filter(|known| self.is_configured(known) && !self.is_superseded(known));
        let is_unconfirmed =
            |known: &&KnownServer| self.departed_servers.is_unconfirmed(&known.instance.id);
        let (unconfirmed, trusted): (Vec<_>, Vec<_>) = listed.partition(is_unconfirmed);
        let trusted = trusted.into_iter().map(|known| known.instance.clone());
        let mut servers: Vec<ServerInstance> = trusted.collect();
        self.add_lost_servers(&mut servers);
        let vanished = self.departed_servers.recently_vanished();
        let unconfirmed = unconfirmed.into_iter().map(|known| &known.instance);
        let last_resorts: Vec<ServerInstance> = vanished
            .chain(unconfirmed)
            .filter(|instance| {
                !servers.iter().any(|server| {
                    server.service == instance.service || server.address == instance.address
                })
            })
            .cloned()
            .collect();
        servers.extend(last_resorts);
        servers
    }

    fn add_lost_servers(&self, servers: &mut Vec<ServerInstance>) {
        for lost in self.departed_servers.lost_by_restore() {
            let is_taken = servers.iter().any(|server| server.address == lost.address);
            if !is_taken {
                servers.push(lost.clone());
            }
        }
    }

    /// Whether the server belongs to a service of the configuration. Other servers get no requests,
    /// and their nodes must not be chosen to watch the source or lend tokens for the fleet.
    fn is_configured(&self, known: &KnownServer) -> bool {
        let configuration = self.snapshot.configuration.as_ref();
        configuration.is_none_or(|configuration| {
            let services = &configuration.services;
            services.contains_key(&known.instance.service)
        })
    }

    fn is_superseded(&self, known: &KnownServer) -> bool {
        let revisions = self.revisions_by_address.get(&known.instance.address);
        revisions.is_some_and(|all| all.iter().any(|revision| *revision > known.revision))
    }

    fn rebuild_address_index(&mut self) {
        self.revisions_by_address.clear();
        for known in self.snapshot.servers.values() {
            let revisions = self.revisions_by_address.entry(known.instance.address);
            revisions.or_default().push(known.revision);
        }
    }

    /// Adds an entry. The cost does not grow with the number of servers.
    fn insert_server(&mut self, server: KnownServer) {
        let revisions = self.revisions_by_address.entry(server.instance.address);
        revisions.or_default().push(server.revision);
        let servers = &mut Arc::make_mut(&mut self.snapshot).servers;
        servers.insert(server.instance.id.clone(), server);
    }

    /// Removes an entry. The cost does not grow with the number of servers.
    fn remove_entry(&mut self, id: &InstanceId) -> Option<KnownServer> {
        let removed = Arc::make_mut(&mut self.snapshot).servers.remove(id)?;
        let address = removed.instance.address;
        if let Entry::Occupied(mut revisions) = self.revisions_by_address.entry(address) {
            revisions
                .get_mut()
                .retain(|revision| *revision != removed.revision);
            if revisions.get().is_empty() {
                revisions.remove();
            }
        }
        Some(removed)
    }

    fn apply_configuration(&mut self, revision: Revision, configuration: Configuration) -> Applied {
        let known = self.snapshot.configuration.as_ref();
        if known.is_some_and(|known| known.version >= configuration.version) {
            return Applied::Unchanged;
        }
        let findings = configuration.findings();
        if !findings.is_empty() {
            return Applied::Rejected(findings);
        }
        self.changes
            .note_configuration(revision, configuration.version);
        Arc::make_mut(&mut self.snapshot).configuration = Some(configuration);
        Applied::Configuration
    }

    fn apply_server(&mut self, revision: Revision, instance: ServerInstance) -> Applied {
        let known = self.snapshot.server(&instance.id);
        if known.is_some_and(|known| known.revision >= revision) {
            return Applied::Unchanged;
        }
        let id = instance.id.clone();
        self.departed_servers.record_written(&id);
        // Remove the entries of all other incarnations with the same identity.
        while let Some(known) = self.snapshot.server(&id) {
            let former = known.instance.id.clone();
            self.remove_entry(&former);
        }
        self.insert_server(KnownServer { instance, revision });
        Applied::Servers
    }

    fn apply_server_gone(
        &mut self,
        now: Timestamp,
        revision: Revision,
        id: &InstanceId,
    ) -> Applied {
        match self.remove_server(revision, id) {
            Some(server) => {
                self.record_missing(now, server, MissingReason::Removed);
                Applied::Servers
            }
            None => Applied::Unchanged,
        }
    }

    fn record_missing(&mut self, now: Timestamp, server: KnownServer, reason: MissingReason) {
        let last_listed = self.confirmed_at.unwrap_or(now).min(now);
        self.departed_servers
            .record_missing(now, last_listed, server, reason);
    }

    fn remove_server(&mut self, revision: Revision, id: &InstanceId) -> Option<KnownServer> {
        let known = self.snapshot.server(id)?;
        if known.revision > revision {
            return None;
        }
        let incarnation_id = known.instance.id.clone();
        self.remove_entry(&incarnation_id)
    }
}
