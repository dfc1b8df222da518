//! Servers whose entries were removed, and servers that a source restored from a backup lists
//! wrongly.
//!
//! A backup still lists servers that have left since it was made, and lacks those that joined
//! since. The entries are correct again within seconds: live servers rewrite theirs, and entries
//! that nobody renews expire. Until then a node relies on what it knew before the restore.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{
    InstanceId, KnownServer, Revision, ServerInstance, ServerState, Snapshot,
};

/// How long after the source became available a server is remembered whose entry disappeared without
/// an announcement. The entry may have expired during an outage of the source, and a running server's
/// entry reappears about two seconds after the source does. Until then requests go to the server if
/// its service has no other.
const VANISHED_GRACE: Duration = Duration::from_millis(2500);
/// How long such a server is remembered at least. If there was no outage, it has left, and serves for
/// the drain time of two seconds from its removal, which nodes learn of a little later.
const REMOVED_GRACE: Duration = Duration::from_millis(1000);
/// Default time after which an entry expires that its server does not renew.
const ENTRY_LIFETIME: Duration = Duration::from_millis(4500);
/// Upper bound of the time between the expiry of an entry and the moment nodes learn of it.
const REMOVAL_DELAY: Duration = Duration::from_millis(1500);
/// Maximum number of removed servers that are remembered: more than leave during the seconds that
/// a backup lacks.
const MAX_REMOVED_SERVERS: usize = 1024;

/// Why the source no longer lists the entry of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MissingReason {
    /// The entry was deleted, or it expired.
    Removed,
    /// The source was restored from a backup that lacks the entry.
    LostByRestore,
}

/// A server whose entry the source no longer lists.
#[derive(Clone, Debug)]
struct Vanished {
    instance: ServerInstance,
    since: Timestamp,
    reason: MissingReason,
}

/// The last known state of a server's entry before it was removed.
#[derive(Clone, Copy, Debug)]
struct LastEntry {
    revision: Revision,
    was_ready: bool,
}

/// Servers whose entries are missing, and servers that only a restored backup lists.
#[derive(Clone, Debug)]
pub(super) struct DepartedServers {
    vanished: BTreeMap<InstanceId, Vanished>,
    removed: BTreeMap<InstanceId, LastEntry>,
    /// The keys of `removed`, oldest removal first.
    removal_order: VecDeque<InstanceId>,
    /// Servers that were removed without an announcement and that a restored backup lists again,
    /// with the time at which it did.
    unconfirmed: BTreeMap<InstanceId, Timestamp>,
    entry_lifetime: Duration,
}

impl Default for DepartedServers {
    fn default() -> Self {
        DepartedServers::new(ENTRY_LIFETIME)
    }
}

impl DepartedServers {
    /// Creates an empty record for a source whose entries expire `entry_lifetime` after their last
    /// renewal.
    pub(super) fn new(entry_lifetime: Duration) -> Self {
        DepartedServers {
            vanished: BTreeMap::new(),
            removed: BTreeMap::new(),
            removal_order: VecDeque::new(),
            unconfirmed: BTreeMap::new(),
            entry_lifetime,
        }
    }

    /// Records that the entry of a server is missing from `now` on.
    pub(super) fn record_missing(
        &mut self,
        now: Timestamp,
        known: KnownServer,
        reason: MissingReason,
    ) {
        let KnownServer { instance, revision } = known;
        let was_unconfirmed = self.unconfirmed.remove(&instance.id).is_some();
        if reason == MissingReason::Removed {
            self.record_removed(&instance, revision);
        }
        if was_unconfirmed {
            return;
        }
        let vanished = Vanished {
            instance,
            since: now,
            reason,
        };
        self.vanished.insert(vanished.instance.id.clone(), vanished);
    }

    /// Records that a server has written its entry. Everything recorded about any incarnation of
    /// it is dropped.
    pub(super) fn record_written(&mut self, id: &InstanceId) {
        remove_incarnations(&mut self.vanished, id);
        remove_incarnations(&mut self.unconfirmed, id);
        if remove_incarnations(&mut self.removed, id) {
            self.removal_order.retain(|known| !known.is_same_server(id));
        }
    }

    /// Corrects `newer`, a whole snapshot read from the source, by what was known before: a
    /// draining server does not become ready again. If the snapshot is of a new era, the source may
    /// have lost that a server is draining, was removed, or has restarted.
    pub(super) fn correct_snapshot(
        &mut self,
        now: Timestamp,
        older: &Snapshot,
        newer: &mut Snapshot,
    ) {
        let is_new_era = newer.revision.era != older.revision.era;
        if is_new_era {
            keep_later_incarnations(older, newer);
        }
        self.vanished.retain(|id, _| newer.server(id).is_none());
        for (id, entry) in &mut newer.servers {
            if !entry.instance.is_ready() {
                continue;
            }
            let was_leaving = older.servers.get(id).is_some_and(|known| {
                let is_not_rewritten = is_new_era || known.revision == entry.revision;
                !known.instance.is_ready() && is_not_rewritten
            });
            let last_entry = self.last_entry(id).filter(|_| is_new_era);
            if was_leaving || last_entry.is_some_and(|last| !last.was_ready) {
                entry.instance.state = ServerState::Draining;
            } else if last_entry.is_some_and(|last| entry.revision.number <= last.revision.number) {
                self.unconfirmed.insert(id.clone(), now);
            }
        }
    }

    /// Forgets servers that vanished too long ago, and trusts unconfirmed servers again that are
    /// still listed after their entries would have expired. Returns whether anything changed. The
    /// source has been available since `available_since`.
    pub(super) fn expire(&mut self, now: Timestamp, available_since: Timestamp) -> bool {
        let age = |since: Timestamp| now.saturating_since(available_since.max(since));
        let is_remembered = |vanished: &Vanished| match vanished.reason {
            MissingReason::LostByRestore => age(vanished.since) < VANISHED_GRACE,
            MissingReason::Removed => {
                now.saturating_since(available_since) < VANISHED_GRACE
                    || age(vanished.since) < REMOVED_GRACE
            }
        };
        let unconfirmed_for = self.entry_lifetime + REMOVAL_DELAY;
        let before = self.vanished.len() + self.unconfirmed.len();
        self.vanished.retain(|_, vanished| is_remembered(vanished));
        self.unconfirmed
            .retain(|_, since| age(*since) < unconfirmed_for);
        self.vanished.len() + self.unconfirmed.len() < before
    }

    /// Servers that vanished without announcing that they leave, and that are still remembered.
    pub(super) fn recently_vanished(&self) -> impl Iterator<Item = &ServerInstance> {
        self.vanished_ready().map(|vanished| &vanished.instance)
    }

    /// The recently vanished servers whose entries the source lost by a restore. They stay in use
    /// until a running server would have rewritten its entry.
    pub(super) fn lost_by_restore(&self) -> impl Iterator<Item = &ServerInstance> {
        let lost = self.vanished_ready();
        let lost = lost.filter(|vanished| vanished.reason == MissingReason::LostByRestore);
        lost.map(|vanished| &vanished.instance)
    }

    fn vanished_ready(&self) -> impl Iterator<Item = &Vanished> {
        let all = self.vanished.values();
        all.filter(|vanished| vanished.instance.is_ready())
    }

    /// Whether a listed server is unconfirmed: it was removed before the source was restored from a
    /// backup, and only the backup lists it again.
    pub(super) fn is_unconfirmed(&self, id: &InstanceId) -> bool {
        self.unconfirmed.contains_key(id)
    }

    fn record_removed(&mut self, instance: &ServerInstance, revision: Revision) {
        let last = LastEntry {
            revision,
            was_ready: instance.is_ready(),
        };
        if self.removed.insert(instance.id.clone(), last).is_none() {
            self.removal_order.push_back(instance.id.clone());
        }
        if self.removal_order.len() > MAX_REMOVED_SERVERS
            && let Some(oldest) = self.removal_order.pop_front()
        {
            self.removed.remove(&oldest);
        }
    }

    /// Returns the last entry of this incarnation of a server or a later one, if it was removed.
    fn last_entry(&self, id: &InstanceId) -> Option<LastEntry> {
        let incarnations = self.removed.range(id.clone()..);
        let incarnations = incarnations.take_while(|(removed, _)| removed.is_same_server(id));
        incarnations.last().map(|(_, last)| *last)
    }
}

/// Removes all incarnations of a server from `known`. Returns whether there were any.
fn remove_incarnations<V>(known: &mut BTreeMap<InstanceId, V>, id: &InstanceId) -> bool {
    let incarnations = known.range(InstanceId::new(id.as_str())..);
    let incarnations = incarnations.take_while(|(incarnation, _)| incarnation.is_same_server(id));
    let incarnations: Vec<InstanceId> = incarnations
        .map(|(incarnation, _)| incarnation.clone())
        .collect();
    for incarnation in &incarnations {
        known.remove(incarnation);
    }
    !incarnations.is_empty()
}

/// Replaces servers in `newer` by their later incarnations if `older` has these.
fn keep_later_incarnations(older: &Snapshot, newer: &mut Snapshot) {
    for (id, known) in &older.servers {
        let Some(listed) = newer.server(id).cloned() else {
            continue;
        };
        if *id > listed.instance.id {
            newer.servers.remove(&listed.instance.id);
            let kept = KnownServer {
                instance: known.instance.clone(),
                revision: listed.revision,
            };
            newer.servers.insert(id.clone(), kept);
        }
    }
}
