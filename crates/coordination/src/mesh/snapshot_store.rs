//! What the node was told from outside, forward only.
//!
//! A node hears of changes from the source itself and, where the source doesn't
//! answer it, from other nodes. Whatever the way, nothing older replaces
//! anything newer.

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{
    Change, Configuration, ConfigurationError, Gap, InstanceId, KnownServer, RevisedChange,
    ServerInstance, Snapshot, Update,
};

/// A server whose entry is gone without an announcement is remembered this long,
/// and until the source has been available for as long: its entry may have run out
/// while the source was away, and is back about two seconds after the source is,
/// if the server lives. If its service has no other server, it is asked until then.
const VANISHED_GRACE: Duration = Duration::from_millis(2500);
/// Changes that are kept for nodes that are behind. One that is further behind is
/// sent the whole snapshot.
const KEPT_CHANGES: usize = 1024;

/// Gaps between kept changes. With more, the changes before are forgotten.
const KEPT_GAPS: usize = 32;

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

/// The changes that lead from one snapshot to a newer one, in the order of their revisions. When a
/// server went or the configuration changed is not known: at the latest with the newer snapshot.
/// A source that tells its items in parts may tell some that are newer than their snapshot; these
/// count as of that.
fn difference(older: &Snapshot, newer: &Snapshot) -> Vec<RevisedChange> {
    let first = older.revision.saturating_add(1).min(newer.revision);
    let mut changes: Vec<RevisedChange> = newer
        .servers
        .iter()
        .filter(|(id, known)| older.servers.get(id) != Some(known))
        .map(|(_, known)| RevisedChange {
            revision: known.revision.clamp(first, newer.revision),
            change: Change::Server(known.instance.clone()),
        })
        .collect();
    changes.sort_by_key(|change| change.revision);
    let gone = older.servers.keys().filter(|id| newer.server(id).is_none());
    let gone = gone.cloned().map(Change::ServerGone);
    let configuration = newer.configuration.iter();
    let configuration = configuration
        .filter(|newest| older.configuration.as_ref() != Some(newest))
        .cloned()
        .map(Change::Configuration);
    changes.extend(gone.chain(configuration).map(|change| RevisedChange {
        revision: newer.revision,
        change,
    }));
    changes
}

/// The snapshot in force.
#[derive(Clone, Debug, Default)]
pub struct SnapshotStore {
    snapshot: Arc<Snapshot>,
    vanished: BTreeMap<InstanceId, (ServerInstance, Timestamp)>,
    /// The revisions of the entries with an address, which are few.
    revisions_at: HashMap<SocketAddrV4, Vec<u64>>,
    /// The last changes, in the order of their revisions.
    recent: VecDeque<RevisedChange>,
    /// All changes after this revision are among them.
    recent_since: u64,
    /// Where not every change is known, but what they led to.
    gaps: Vec<Gap>,
}

impl SnapshotStore {
    /// The snapshot in force.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Takes in one change that was made at `revision`.
    pub fn apply(&mut self, now: Timestamp, revision: u64, change: Change) -> Applied {
        if revision <= self.snapshot.revision {
            return Applied::Nothing;
        }
        self.keep(RevisedChange {
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
    pub fn advance(&mut self, revision: u64) {
        if revision > self.snapshot.revision {
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
                if revision > self.snapshot.revision {
                    self.gaps.extend(gaps);
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

    /// Whether the changes since `revision` are known apart.
    pub fn knows_changes_since(&self, revision: u64) -> bool {
        let is_hidden = |gap: &Gap| gap.hides_changes_since(revision);
        revision > 0 && revision >= self.recent_since && !self.gaps.iter().any(is_hidden)
    }

    /// What a node needs whose snapshot is of `revision`.
    pub fn update_since(&self, revision: u64) -> Update {
        if !self.knows_changes_since(revision) {
            return Update::Whole((*self.snapshot).clone());
        }
        let is_new = |change: &&RevisedChange| change.revision > revision;
        let is_later = |gap: &&Gap| gap.until > revision;
        Update::Difference {
            revision: self.snapshot.revision,
            changes: self.recent.iter().filter(is_new).cloned().collect(),
            gaps: self.gaps.iter().filter(is_later).copied().collect(),
        }
    }

    fn keep(&mut self, change: RevisedChange) {
        let newest = self.recent.back().map_or(0, |newest| newest.revision);
        if change.revision < newest {
            return;
        }
        self.recent.push_back(change);
        if self.recent.len() > KEPT_CHANGES
            && let Some(oldest) = self.recent.pop_front()
        {
            self.recent_since = oldest.revision;
            self.forget_gaps();
        }
    }

    /// Takes in a whole snapshot, if it is newer. It replaces all servers.
    pub fn replace(&mut self, now: Timestamp, mut newer: Snapshot) -> Vec<Applied> {
        if newer.revision < self.snapshot.revision {
            return Vec::new();
        }
        self.keep_difference(&newer);
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

    /// Keeps the changes that lead to `newer`, so that nodes that are behind are not all sent
    /// the whole because this one had to read it.
    fn keep_difference(&mut self, newer: &Snapshot) {
        let difference = difference(&self.snapshot, newer);
        let is_first = self.snapshot.revision == 0;
        if is_first || difference.len() > KEPT_CHANGES || self.gaps.len() >= KEPT_GAPS {
            self.recent.clear();
            self.recent_since = newer.revision;
            self.forget_gaps();
            return;
        }
        if newer.revision == self.snapshot.revision {
            return;
        }
        self.gaps.push(Gap {
            after: self.snapshot.revision,
            until: newer.revision,
        });
        for change in difference {
            self.keep(change);
        }
    }

    /// Forgets gaps before the changes that are kept.
    fn forget_gaps(&mut self) {
        let kept_since = self.recent_since;
        self.gaps.retain(|gap| gap.until > kept_since);
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

    fn apply_server(&mut self, revision: u64, instance: ServerInstance) -> Applied {
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

    fn server_gone(&mut self, now: Timestamp, revision: u64, id: &InstanceId) -> Applied {
        match self.remove_server(revision, id) {
            Some(server) => {
                let id = server.instance.id.clone();
                self.vanished.insert(id, (server.instance, now));
                Applied::Servers
            }
            None => Applied::Nothing,
        }
    }

    fn remove_server(&mut self, revision: u64, id: &InstanceId) -> Option<KnownServer> {
        let known = self.snapshot.server(id)?;
        if known.revision > revision {
            return None;
        }
        let start = known.instance.id.clone();
        self.take_server(&start)
    }
}
