//! Servers whose entries went, and what a source forgets of that if it comes back from a copy.
//!
//! A copy lists servers that have left since, as if they were there, and lacks those that joined
//! since. Their entries are right again within seconds: servers that live write theirs again, and
//! entries that nobody renews run out. Until then a node goes by what it knew.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{
    InstanceId, KnownServer, Revision, ServerInstance, ServerState, Snapshot,
};

/// A server whose entry is gone without an announcement is remembered this long,
/// and until the source has been available for as long: its entry may have run out
/// while the source was away, and is back about two seconds after the source is,
/// if the server lives. If its service has no other server, it is asked until then.
const VANISHED_GRACE: Duration = Duration::from_millis(2500);
/// How long an entry lasts that its server does not renew, unless told otherwise.
const ENTRY_LIFETIME: Duration = Duration::from_millis(4500);
/// How much later than that the removal of such an entry is known.
const REMOVAL_DELAY: Duration = Duration::from_millis(1500);
/// Servers whose entries went that are remembered: more than go in the seconds that a copy lacks.
const KEPT_GONE: usize = 1024;

/// Why a server is not among the entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Missing {
    /// Its entry was taken away, or ran out.
    Removed,
    /// The source came back from a copy that lacks its entry.
    Lost,
}

/// A server that is no longer among the entries.
#[derive(Clone, Debug)]
struct Vanished {
    instance: ServerInstance,
    since: Timestamp,
    why: Missing,
}

/// The last entry of a server that went.
#[derive(Clone, Copy, Debug)]
struct LastEntry {
    revision: Revision,
    was_ready: bool,
}

/// Servers that went, or that an older copy says are back.
#[derive(Clone, Debug)]
pub(super) struct Departures {
    vanished: BTreeMap<InstanceId, Vanished>,
    gone: BTreeMap<InstanceId, LastEntry>,
    /// The keys of `gone`, oldest first.
    gone_in_order: VecDeque<InstanceId>,
    /// Servers that had gone without a word and that a copy lists again, and since when.
    doubted: BTreeMap<InstanceId, Timestamp>,
    entry_lifetime: Duration,
}

impl Default for Departures {
    fn default() -> Self {
        Departures::new(ENTRY_LIFETIME)
    }
}

impl Departures {
    /// An entry that its server does not renew lasts for `entry_lifetime`.
    pub(super) fn new(entry_lifetime: Duration) -> Self {
        Departures {
            vanished: BTreeMap::new(),
            gone: BTreeMap::new(),
            gone_in_order: VecDeque::new(),
            doubted: BTreeMap::new(),
            entry_lifetime,
        }
    }

    /// The entry of a server is missing from now on.
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

    /// A server has written its entry, as whatever start of it.
    pub(super) fn note_written(&mut self, id: &InstanceId) {
        remove_starts(&mut self.vanished, id);
        remove_starts(&mut self.doubted, id);
        if remove_starts(&mut self.gone, id) {
            self.gone_in_order.retain(|known| !known.is_same_server(id));
        }
    }

    /// Brings `newer`, which the source gave as a whole, in line with what was known before: a
    /// server that leaves does not come back. If it is of a new era, the source may have lost
    /// that it leaves, or went, or has started again since.
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

    /// Forgets servers that vanished too long ago, and doubts about those that are still listed.
    /// True if there were any. The source has been available since `available_since`.
    pub(super) fn forget_old(&mut self, now: Timestamp, available_since: Timestamp) -> bool {
        let age = |since: Timestamp| now.saturating_since(available_since.max(since));
        let doubted_for = self.entry_lifetime + REMOVAL_DELAY;
        let before = self.vanished.len() + self.doubted.len();
        self.vanished
            .retain(|_, vanished| age(vanished.since) < VANISHED_GRACE);
        self.doubted.retain(|_, since| age(*since) < doubted_for);
        self.vanished.len() + self.doubted.len() < before
    }

    /// Servers that vanished without announcing that they leave, and are not forgotten.
    pub(super) fn recently_vanished(&self) -> impl Iterator<Item = &ServerInstance> {
        self.vanished_ready().map(|vanished| &vanished.instance)
    }

    /// Those of them whose entries the source has lost: they are in use until it is clear that
    /// they don't write them again.
    pub(super) fn lost(&self) -> impl Iterator<Item = &ServerInstance> {
        let lost = self.vanished_ready();
        let lost = lost.filter(|vanished| vanished.why == Missing::Lost);
        lost.map(|vanished| &vanished.instance)
    }

    fn vanished_ready(&self) -> impl Iterator<Item = &Vanished> {
        let all = self.vanished.values();
        all.filter(|vanished| vanished.instance.is_ready())
    }

    /// Whether a server that is listed had gone when the source still knew.
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

    /// The last entry of this start of a server or a later one, if it went.
    fn last_entry(&self, id: &InstanceId) -> Option<LastEntry> {
        let starts = self.gone.range(id.clone()..);
        let starts = starts.take_while(|(gone, _)| gone.is_same_server(id));
        starts.last().map(|(_, last)| *last)
    }
}

/// Takes all starts of a server out of `known`. True if there were any.
fn remove_starts<V>(known: &mut BTreeMap<InstanceId, V>, id: &InstanceId) -> bool {
    let starts = known.range(InstanceId::new(id.as_str())..);
    let starts = starts.take_while(|(start, _)| start.is_same_server(id));
    let starts: Vec<InstanceId> = starts.map(|(start, _)| start.clone()).collect();
    for start in &starts {
        known.remove(start);
    }
    !starts.is_empty()
}

/// Where `older` knows a later start of a server than `newer`, it stays.
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
