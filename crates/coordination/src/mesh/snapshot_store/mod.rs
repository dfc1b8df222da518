//! What the node was told from outside, forward only.
//!
//! A node hears of changes from the source itself and, where the source doesn't
//! answer it, from other nodes. Whatever the way, nothing older replaces
//! anything newer.

mod change_log;

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{
    Change, Configuration, ConfigurationError, InstanceId, KnownServer, RevisedChange, Revision,
    ServerInstance, Snapshot, SnapshotVersion, Update,
};

use change_log::ChangeLog;

/// A server whose entry is gone without an announcement is remembered this long,
/// and until the source has been available for as long: its entry may have run out
/// while the source was away, and is back about two seconds after the source is,
/// if the server lives. If its service has no other server, it is asked until then.
const VANISHED_GRACE: Duration = Duration::from_millis(2500);
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
    vanished: BTreeMap<InstanceId, (ServerInstance, Timestamp)>,
    /// The revisions of the entries with an address, which are few.
    revisions_at: HashMap<SocketAddrV4, Vec<Revision>>,
    /// The last changes.
    changes: ChangeLog,
}

impl SnapshotStore {
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

    /// Takes in a whole snapshot, if it is newer. It replaces all servers.
    pub fn replace(&mut self, now: Timestamp, mut newer: Snapshot) -> Vec<Applied> {
        if newer.revision < self.snapshot.revision {
            return Vec::new();
        }
        self.changes.keep_difference(&self.snapshot, &newer);
        let mut applied = Vec::new();
        if let Some(configuration) = newer.configuration.take() {
            applied.push(self.apply_configuration(configuration));
        }
        let before = self.snapshot.servers.clone();
        if before != newer.servers {
            for (id, known) in before {
                if newer.server(&id).is_none() {
                    self.vanished.insert(id, (known.instance, now));
                }
            }
            Arc::make_mut(&mut self.snapshot).servers = newer.servers;
            self.index_addresses();
            applied.push(Applied::Servers);
        }
        self.advance(newer.revision);
        applied
    }

    /// Forgets servers that vanished too long ago. True if there were any. The
    /// source has been available since `available_since`; none while it is lost:
    /// then nothing is forgotten, as no server can come back.
    pub fn forget_vanished(&mut self, now: Timestamp, available_since: Option<Timestamp>) -> bool {
        let Some(available_since) = available_since else {
            return false;
        };
        let before = self.vanished.len();
        self.vanished.retain(|_, (_, vanished)| {
            now.saturating_since(available_since.max(*vanished)) < VANISHED_GRACE
        });
        self.vanished.len() < before
    }

    /// Servers that vanished without announcing that they leave, and are not
    /// forgotten.
    pub fn recently_vanished(&self) -> Vec<ServerInstance> {
        let ready = self.vanished.values().map(|(instance, _)| instance);
        ready
            .filter(|instance| instance.is_ready())
            .cloned()
            .collect()
    }

    /// The servers that exist, as far as is known: of the services that are configured,
    /// and of entries with one address only the newest, since a server that starts at an
    /// address of before leaves the former one's entry to run out. A server that vanished without a word
    /// is among them while its service has no other and its address isn't taken.
    pub fn servers_in_force(&self) -> Vec<ServerInstance> {
        let mut servers: Vec<ServerInstance> = self
            .snapshot
            .servers
            .values()
            .filter(|known| self.is_configured(known) && !self.is_superseded(known))
            .map(|known| known.instance.clone())
            .collect();
        let is_replaced = |vanished: &ServerInstance| {
            servers.iter().any(|server| {
                server.service == vanished.service || server.address == vanished.address
            })
        };
        let mut still_used = self.recently_vanished();
        still_used.retain(|vanished| !is_replaced(vanished));
        servers.extend(still_used);
        servers
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
        self.vanished
            .retain(|vanished, _| !vanished.is_same_server(&id));
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
                let id = server.instance.id.clone();
                self.vanished.insert(id, (server.instance, now));
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
