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
/// Part of the drain time that a request may need from its admission at the server's node until it reaches
/// the server.
const DRAIN_RESERVE: Duration = Duration::from_millis(500);
/// Default times of the source's entries.
const DEFAULT_TIMES: EntryTimes = EntryTimes {
    lifetime: Duration::from_millis(4500),
    drain: Duration::from_millis(2000),
};
/// Upper bound of the time between the expiry of an entry and the moment nodes learn of it.
const REMOVAL_DELAY: Duration = Duration::from_millis(1500);
/// Maximum number of removed servers that are remembered: more than leave during the seconds that
/// a backup lacks.
const MAX_REMOVED_SERVERS: usize = 1024;

/// Times that hold for all entries of servers at the source.
#[derive(Clone, Copy, Debug)]
pub struct EntryTimes {
    /// Time after which an entry expires that its server does not renew.
    pub lifetime: Duration,
    /// Time from the removal of a server's entry after which no request may reach the server.
    pub drain: Duration,
}

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
    /// When this node learned that the entry is missing.
    since: Timestamp,
    /// When the source is last known to have listed the entry: it was removed after that, and this node
    /// may have learned of it late.
    last_listed: Timestamp,
    reason: MissingReason,
}

impl Vanished {
    /// When the server is forgotten, if the source has been available since `available_since`. An entry
    /// that expired during an outage of the source may return soon after it. If there was no outage, the
    /// server has left, and gets no requests beyond its drain time.
    fn forgotten_at(&self, available_since: Timestamp, times: EntryTimes) -> Timestamp {
        let after_outage = available_since + VANISHED_GRACE;
        match self.reason {
            MissingReason::LostByRestore => after_outage.max(self.since + VANISHED_GRACE),
            MissingReason::Removed => {
                let in_use_for = times.drain.saturating_sub(DRAIN_RESERVE);
                after_outage.max(self.last_listed + in_use_for)
            }
        }
    }
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
    times: EntryTimes,
}

impl Default for DepartedServers {
    fn default() -> Self {
        DepartedServers::new(DEFAULT_TIMES)
    }
}

impl DepartedServers {
    /// Creates an empty record for a source with these times of its entries.
    pub(super) fn new(times: EntryTimes) -> Self {
        DepartedServers {
            vanished: BTreeMap::new(),
            removed: BTreeMap::new(),
            removal_order: VecDeque::new(),
            unconfirmed: BTreeMap::new(),
            times,
        }
    }

    /// Records that this node learns at `now` that the entry of a server is missing, which the source
    /// still had at `last_listed`.
    pub(super) fn record_missing(
        &mut self,
        now: Timestamp,
        last_listed: Timestamp,
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
            last_listed,
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
        let unconfirmed_for = self.times.lifetime + REMOVAL_DELAY;
        let before = self.vanished.len() + self.unconfirmed.len();
        let times = self.times;
        self.vanished
            .retain(|_, vanished| now < vanished.forgotten_at(available_since, times));
        self.unconfirmed
            .retain(|_, since| age(*since) < unconfirmed_for);
        self.vanished.len() + self.unconfirmed.len() < before
    }

    /// The time at which the next server is forgotten that vanished, if the source has been available
    /// since `available_since` and stays so.
    pub(super) fn next_expiry(&self, available_since: Timestamp) -> Option<Timestamp> {
        let vanished = self.vanished.values();
        vanished
            .map(|vanished| vanished.forgotten_at(available_since, self.times))
            .min()
    }

    /// Whether the server has left at `now`: its entry was removed, and no outage of the source explains
    /// that. The source has been available since `available_since`; none during an outage.
    pub(super) fn has_left(
        &self,
        now: Timestamp,
        available_since: Option<Timestamp>,
        id: &InstanceId,
    ) -> bool {
        let may_return = |vanished: &Vanished| {
            let is_remembered = |since| now < vanished.forgotten_at(since, self.times);
            available_since.is_none_or(is_remembered)
        };
        let mut same = self.vanished_ready();
        let is_used = same.any(|one| one.instance.id.is_same_server(id) && may_return(one));
        !is_used && self.last_entry(id).is_some()
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
