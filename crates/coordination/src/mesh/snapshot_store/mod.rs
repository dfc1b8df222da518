//! What the node was told from outside, forward only.
//!
//! A node hears of changes from the source itself and, where the source doesn't
//! answer it, from other nodes. Whatever the way, nothing older replaces
//! anything newer: also where the source comes back from an older copy of itself, and for a while
//! says less than it did ([`departures`]).

mod change_log;
mod departures;

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{
    Change, Configuration, ConfigurationError, InstanceId, KnownServer, RevisedChange, Revision,
    ServerInstance, Snapshot, SnapshotVersion, Update,
};

use change_log::ChangeLog;
use departures::{Departures, Missing};

/// What came of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// The configuration in force is another one now.
    Configuration,
    /// The servers are others now.
    Servers,
    /// It was older than what is known, or the same.
    Nothing,
    /// The configuration can't be used; the one before stays.
    Refused(Vec<ConfigurationError>),
}

/// The snapshot in force.
#[derive(Clone, Debug, Default)]
pub struct SnapshotStore {
    snapshot: Arc<Snapshot>,
    departures: Departures,
    /// The revisions of the entries with an address, which are few.
    revisions_at: HashMap<SocketAddrV4, Vec<Revision>>,
    /// The last changes.
    changes: ChangeLog,
}

impl SnapshotStore {
    /// Nothing, of a source in which an entry lasts for `entry_lifetime` if its server does not
    /// renew it.
    pub fn new(entry_lifetime: Duration) -> Self {
        SnapshotStore {
            departures: Departures::new(entry_lifetime),
            ..SnapshotStore::default()
        }
    }

    /// The snapshot in force.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Takes in one change that was made at `revision`.
    pub fn apply(&mut self, now: Timestamp, revision: Revision, change: Change) -> Applied {
        if !revision.continues(self.snapshot.revision) {
            return Applied::Nothing;
        }
        self.changes.keep(RevisedChange {
            revision,
            change: change.clone(),
        });
        match change {
            Change::Configuration(configuration) => self.apply_configuration(configuration),
            Change::Server(instance) => self.apply_server(revision, instance),
            Change::ServerGone(id) => self.server_gone(now, revision, &id),
            Change::ServerOverwritten(id) => match self.remove_server(revision, &id) {
                Some(_) => Applied::Servers,
                None => Applied::Nothing,
            },
        }
    }

    /// All changes up to `revision` were applied.
    pub fn advance(&mut self, revision: Revision) {
        if revision.continues(self.snapshot.revision) {
            Arc::make_mut(&mut self.snapshot).revision = revision;
        }
    }

    /// Takes in what another node knows.
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

    /// What this node says of its snapshot to others.
    pub fn version(&self) -> SnapshotVersion {
        self.snapshot.version()
    }

    /// Whether a node whose snapshot is of `theirs` needs the whole: the changes since are not
    /// known apart, or they don't tell the configuration that is in force here.
    pub fn needs_whole(&self, theirs: SnapshotVersion) -> bool {
        let configuration = self.version().configuration;
        let is_told = theirs.configuration >= configuration
            || self
                .changes
                .tells_configuration(theirs.revision, configuration);
        !self.changes.knows_changes_since(theirs.revision) || !is_told
    }

    /// What a node needs whose snapshot is of `theirs`.
    pub fn update_since(&self, theirs: SnapshotVersion) -> Update {
        match self.needs_whole(theirs) {
            true => Update::Whole((*self.snapshot).clone()),
            false => {
                let newest = self.snapshot.revision;
                self.changes.difference_since(theirs.revision, newest)
            }
        }
    }

    /// Takes in a whole snapshot, if it is newer. It replaces all servers. Its configuration counts
    /// by its own version: an older snapshot may have a newer one, if the source lost that.
    pub fn replace(&mut self, now: Timestamp, mut newer: Snapshot) -> Vec<Applied> {
        if newer.revision < self.snapshot.revision {
            let configuration = newer.configuration.into_iter();
            let applied = configuration.map(|newest| self.apply_configuration(newest));
            return applied.filter(|one| *one != Applied::Nothing).collect();
        }
        self.departures.carry_over(now, &self.snapshot, &mut newer);
        self.changes.keep_difference(&self.snapshot, &newer);
        let mut applied = Vec::new();
        if let Some(configuration) = newer.configuration.take() {
            applied.push(self.apply_configuration(configuration));
        }
        let before = self.snapshot.servers.clone();
        if before != newer.servers {
            let why = match newer.revision.era == self.snapshot.revision.era {
                true => Missing::Removed,
                false => Missing::Lost,
            };
            for (id, known) in before {
                if newer.server(&id).is_none() {
                    self.departures.note_missing(now, known, why);
                }
            }
            Arc::make_mut(&mut self.snapshot).servers = newer.servers;
            self.index_addresses();
            applied.push(Applied::Servers);
        }
        if newer.revision > self.snapshot.revision {
            Arc::make_mut(&mut self.snapshot).revision = newer.revision;
        }
        applied
    }

    /// Forgets servers that vanished too long ago, and doubts about those that are listed all the
    /// same. True if there were any. The source has been available since `available_since`; none
    /// while it is lost: then nothing is forgotten, as no server can come back.
    pub fn forget_vanished(&mut self, now: Timestamp, available_since: Option<Timestamp>) -> bool {
        available_since.is_some_and(|since| self.departures.forget_old(now, since))
    }

    /// Servers that vanished without announcing that they leave, and are not
    /// forgotten.
    pub fn recently_vanished(&self) -> Vec<ServerInstance> {
        self.departures.recently_vanished().cloned().collect()
    }

    /// The servers that exist, as far as is known: of the services that are configured,
    /// and of entries with one address only the newest, since a server that starts at an
    /// address of before leaves the former one's entry to run out. One whose entry the source lost
    /// is among them while its address isn't taken. One that vanished without a word, and one that
    /// had gone and is listed by a copy, are among them only while their service has no other.
    pub fn servers_in_force(&self) -> Vec<ServerInstance> {
        let listed = self.snapshot.servers.values();
        let listed = listed.filter(|known| self.is_configured(known) && !self.is_superseded(known));
        let is_doubted = |known: &&KnownServer| self.departures.is_doubted(&known.instance.id);
        let (doubted, trusted): (Vec<_>, Vec<_>) = listed.partition(is_doubted);
        let trusted = trusted.into_iter().map(|known| known.instance.clone());
        let mut servers: Vec<ServerInstance> = trusted.collect();
        self.add_lost(&mut servers);
        let vanished = self.departures.recently_vanished();
        let doubted = doubted.into_iter().map(|known| &known.instance);
        let last_resorts: Vec<ServerInstance> = vanished
            .chain(doubted)
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

    fn add_lost(&self, servers: &mut Vec<ServerInstance>) {
        for lost in self.departures.lost() {
            let is_taken = servers.iter().any(|server| server.address == lost.address);
            if !is_taken {
                servers.push(lost.clone());
            }
        }
    }

    /// Whether the server belongs to a service that the operators have named. Others get no
    /// requests, and their nodes must not be chosen to watch or lend for all.
    fn is_configured(&self, known: &KnownServer) -> bool {
        let configuration = self.snapshot.configuration.as_ref();
        configuration.is_none_or(|configuration| {
            let services = &configuration.services;
            services.contains_key(&known.instance.service)
        })
    }

    fn is_superseded(&self, known: &KnownServer) -> bool {
        let revisions = self.revisions_at.get(&known.instance.address);
        revisions.is_some_and(|all| all.iter().any(|revision| *revision > known.revision))
    }

    fn index_addresses(&mut self) {
        self.revisions_at.clear();
        for known in self.snapshot.servers.values() {
            let revisions = self.revisions_at.entry(known.instance.address);
            revisions.or_default().push(known.revision);
        }
    }

    /// Adds an entry. The work does not grow with the number of servers.
    fn insert_server(&mut self, server: KnownServer) {
        let revisions = self.revisions_at.entry(server.instance.address);
        revisions.or_default().push(server.revision);
        let servers = &mut Arc::make_mut(&mut self.snapshot).servers;
        servers.insert(server.instance.id.clone(), server);
    }

    /// Takes out an entry. The work does not grow with the number of servers.
    fn take_server(&mut self, id: &InstanceId) -> Option<KnownServer> {
        let removed = Arc::make_mut(&mut self.snapshot).servers.remove(id)?;
        let address = removed.instance.address;
        if let Entry::Occupied(mut revisions) = self.revisions_at.entry(address) {
            revisions
                .get_mut()
                .retain(|revision| *revision != removed.revision);
            if revisions.get().is_empty() {
                revisions.remove();
            }
        }
        Some(removed)
    }

    fn apply_configuration(&mut self, configuration: Configuration) -> Applied {
        let known = self.snapshot.configuration.as_ref();
        if known.is_some_and(|known| known.version >= configuration.version) {
            return Applied::Nothing;
        }
        let findings = configuration.findings();
        if !findings.is_empty() {
            return Applied::Refused(findings);
        }
        Arc::make_mut(&mut self.snapshot).configuration = Some(configuration);
        Applied::Configuration
    }

    fn apply_server(&mut self, revision: Revision, instance: ServerInstance) -> Applied {
        let known = self.snapshot.server(&instance.id);
        if known.is_some_and(|known| known.revision >= revision) {
            return Applied::Nothing;
        }
        let id = instance.id.clone();
        self.departures.note_written(&id);
        // Of another start under the same identity nothing is left.
        while let Some(known) = self.snapshot.server(&id) {
            let former = known.instance.id.clone();
            self.take_server(&former);
        }
        self.insert_server(KnownServer { instance, revision });
        Applied::Servers
    }

    fn server_gone(&mut self, now: Timestamp, revision: Revision, id: &InstanceId) -> Applied {
        match self.remove_server(revision, id) {
            Some(server) => {
                self.departures.note_missing(now, server, Missing::Removed);
                Applied::Servers
            }
            None => Applied::Nothing,
        }
    }

    fn remove_server(&mut self, revision: Revision, id: &InstanceId) -> Option<KnownServer> {
        let known = self.snapshot.server(id)?;
        if known.revision > revision {
            return None;
        }
        let start = known.instance.id.clone();
        self.take_server(&start)
    }
}
