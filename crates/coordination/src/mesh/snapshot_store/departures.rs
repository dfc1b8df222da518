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

/// How long a server is remembered whose entry disappeared without an announcement; the time
/// counts only from when the source became available. The entry may have expired during an outage
/// of the source, and a live server's entry is back about two seconds after the source is. Until
/// then requests go to the server if its service has no other.
const VANISHED_GRACE: Duration = Duration::from_millis(2500);
/// Default time after which an entry expires that its server does not renew.
const ENTRY_LIFETIME: Duration = Duration::from_millis(4500);
/// Upper bound of the time between the expiry of an entry and the moment nodes learn of it.
const REMOVAL_DELAY: Duration = Duration::from_millis(1500);
/// Maximum number of removed servers that are remembered: more than leave during the seconds that
/// a backup lacks.
const KEPT_GONE: usize = 1024;

/// Why the source no longer lists the entry of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Missing {
    /// The entry was deleted, or it expired.
    Removed,
    /// The source was restored from a backup that lacks the entry.
    Lost,
}

/// A server whose entry the source no longer lists.
#[derive(Clone, Debug)]
struct Vanished {
    instance: ServerInstance,
    since: Timestamp,
    why: Missing,
}

/// The last known state of a server's entry before it was removed.
#[derive(Clone, Copy, Debug)]
struct LastEntry {
    revision: Revision,
    was_ready: bool,
}

/// Servers whose entries are missing, and servers that only a restored backup lists.
#[derive(Clone, Debug)]
pub(super) struct Departures {
    vanished: BTreeMap<InstanceId, Vanished>,
    gone: BTreeMap<InstanceId, LastEntry>,
    /// The keys of the map of removed servers, oldest removal first.
    gone_in_order: VecDeque<InstanceId>,
    /// Servers that were removed without an announcement and that a restored backup lists again,
    /// with the time at which it did.
    doubted: BTreeMap<InstanceId, Timestamp>,
    entry_lifetime: Duration,
}

impl Default for Departures {
    fn default() -> Self {
        Departures::new(ENTRY_LIFETIME)
    }
}

impl Departures {
    /// Creates an empty record for a source whose entries expire `entry_lifetime` after their last
    /// renewal.
    pub(super) fn new(entry_lifetime: Duration) -> Self {
        Departures {
            vanished: BTreeMap::new(),
            gone: BTreeMap::new(),
            gone_in_order: VecDeque::new(),
            doubted: BTreeMap::new(),
            entry_lifetime,
        }
    }

    /// Records that the entry of a server is missing from `now` on.
    pub(super) fn note_missing(&mut self, now: Timestamp, known: KnownServer, why: Missing) {
        let KnownServer { instance, revision } = known;
        let was_doubted = self.doubted.remove(&instance.id).is_some();
        if why == Missing::Removed {
            self.remember(&instance, revision);
        }
        if was_doubted {
            return;
        }
        let vanished = Vanished {
            instance,
            since: now,
            why,
        };
        self.vanished.insert(vanished.instance.id.clone(), vanished);
    }

    /// Records that a server has written its entry. Everything recorded about any incarnation of
    /// it is dropped.
    pub(super) fn note_written(&mut self, id: &InstanceId) {
        remove_starts(&mut self.vanished, id);
        remove_starts(&mut self.doubted, id);
        if remove_starts(&mut self.gone, id) {
            self.gone_in_order.retain(|known| !known.is_same_server(id));
        }
    }

    /// Corrects `newer`, a whole snapshot read from the source, by what was known before: a
    /// draining server does not become ready again. If the snapshot is of a new era, the source may
    /// have lost that a server is draining, was removed, or has restarted.
    pub(super) fn carry_over(&mut self, now: Timestamp, older: &Snapshot, newer: &mut Snapshot) {
        let is_new_era = newer.revision.era != older.revision.era;
        if is_new_era {
            keep_later_starts(older, newer);
        }
        self.vanished.retain(|id, _| newer.server(id).is_none());
        for (id, entry) in &mut newer.servers {
            if !entry.instance.is_ready() {
                continue;
            }
            let was_leaving = older.servers.get(id).is_some_and(|known| {
                let is_unwritten = is_new_era || known.revision == entry.revision;
                !known.instance.is_ready() && is_unwritten
            });
            let last = self.last_entry(id).filter(|_| is_new_era);
            if was_leaving || last.is_some_and(|last| !last.was_ready) {
                entry.instance.state = ServerState::Draining;
            } else if last.is_some_and(|last| entry.revision.number <= last.revision.number) {
                self.doubted.insert(id.clone(), now);
            }
        }
    }

    /// Forgets servers that vanished too long ago, and trusts unconfirmed servers again that are
    /// still listed after their entries would have expired. Returns whether anything changed. The
    /// source has been available since `available_since`.
    pub(super) fn forget_old(&mut self, now: Timestamp, available_since: Timestamp) -> bool {
        let age = |since: Timestamp| now.saturating_since(available_since.max(since));
        let doubted_for = self.entry_lifetime + REMOVAL_DELAY;
        let before = self.vanished.len() + self.doubted.len();
        self.vanished
            .retain(|_, vanished| age(vanished.since) < VANISHED_GRACE);
        self.doubted.retain(|_, since| age(*since) < doubted_for);
        self.vanished.len() + self.doubted.len() < before
    }

    /// Servers that vanished without announcing that they leave, and that are still remembered.
    pub(super) fn recently_vanished(&self) -> impl Iterator<Item = &ServerInstance> {
        self.vanished_ready().map(|vanished| &vanished.instance)
    }

    /// The recently vanished servers whose entries the source lost by a restore. They stay in use
    /// until a live server would have rewritten its entry.
    pub(super) fn lost(&self) -> impl Iterator<Item = &ServerInstance> {
        let lost = self.vanished_ready();
        let lost = lost.filter(|vanished| vanished.why == Missing::Lost);
        lost.map(|vanished| &vanished.instance)
    }

    fn vanished_ready(&self) -> impl Iterator<Item = &Vanished> {
        let all = self.vanished.values();
        all.filter(|vanished| vanished.instance.is_ready())
    }

    /// Whether a listed server is unconfirmed: it was removed before the source was restored from a
    /// backup, and only the backup lists it again.
    pub(super) fn is_doubted(&self, id: &InstanceId) -> bool {
        self.doubted.contains_key(id)
    }

    fn remember(&mut self, instance: &ServerInstance, revision: Revision) {
        let last = LastEntry {
            revision,
            was_ready: instance.is_ready(),
        };
        if self.gone.insert(instance.id.clone(), last).is_none() {
            self.gone_in_order.push_back(instance.id.clone());
        }
        if self.gone_in_order.len() > KEPT_GONE
            && let Some(oldest) = self.gone_in_order.pop_front()
        {
            self.gone.remove(&oldest);
        }
    }

    /// Returns the last entry of this incarnation of a server or a later one, if it was removed.
    fn last_entry(&self, id: &InstanceId) -> Option<LastEntry> {
        let starts = self.gone.range(id.clone()..);
        let starts = starts.take_while(|(gone, _)| gone.is_same_server(id));
        starts.last().map(|(_, last)| *last)
    }
}

/// Removes all incarnations of a server from `known`. Returns whether there were any.
fn remove_starts<V>(known: &mut BTreeMap<InstanceId, V>, id: &InstanceId) -> bool {
    let starts = known.range(InstanceId::new(id.as_str())..);
    let starts = starts.take_while(|(start, _)| start.is_same_server(id));
    let starts: Vec<InstanceId> = starts.map(|(start, _)| start.clone()).collect();
    for start in &starts {
        known.remove(start);
    }
    !starts.is_empty()
}

/// Replaces servers in `newer` by their later incarnations if `older` has these.
fn keep_later_starts(older: &Snapshot, newer: &mut Snapshot) {
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
