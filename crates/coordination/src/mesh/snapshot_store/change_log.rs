//! Log of the most recent changes of the source, used to bring nodes that are behind up to date.

use std::collections::VecDeque;

use lifthollow_state::mesh::{
    Change, Configuration, Gap, RevisedChange, Revision, Snapshot, Update,
};

/// Maximum number of changes in the log. A node that is further behind is sent the whole
/// snapshot.
const MAX_LOGGED_CHANGES: usize = 1024;
/// Maximum size of the logged changes in memory, in bytes. Changes of a server's entry have a few hundred
/// bytes, but nothing bounds the texts in an entry.
const MAX_LOGGED_BYTES: usize = 1024 * 1024;
/// Maximum number of gaps in the log. When a further one would be added, the log is cleared.
const MAX_GAPS: usize = 32;

/// The most recent changes of the source, in the order of their revisions.
///
/// A configuration replaces the one before, and each may be large. So the log has none: it only
/// notes since when the one in force has been so.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangeLog {
    /// The logged changes of servers, in the order of their revisions.
    recent: VecDeque<RevisedChange>,
    /// Size of `recent` in memory, in bytes.
    recent_bytes: usize,
    /// The last change of the configuration.
    configuration: Option<ConfigurationChange>,
    /// The log covers all revisions after this one, except for what `gaps` hides.
    covered_since: Revision,
    /// Ranges of revisions for which only the net effect of the changes is known, not each change.
    gaps: Vec<Gap>,
}

/// When the configuration in force was put there, and its version.
#[derive(Clone, Copy, Debug)]
struct ConfigurationChange {
    revision: Revision,
    version: u64,
}

impl ChangeLog {
    /// Appends a change of a server, unless the log already has a later one.
    pub(super) fn append(&mut self, change: RevisedChange) {
        let newest = self.recent.back().map(|newest| newest.revision);
        if newest.is_some_and(|newest| change.revision < newest) {
            return;
        }
        self.recent_bytes += bytes_in_memory(&change);
        self.recent.push_back(change);
        while self.is_too_large()
            && let Some(oldest) = self.recent.pop_front()
        {
            self.recent_bytes -= bytes_in_memory(&oldest);
            self.covered_since = oldest.revision;
            self.drop_obsolete_gaps();
        }
    }

    fn is_too_large(&self) -> bool {
        self.recent.len() > MAX_LOGGED_CHANGES || self.recent_bytes > MAX_LOGGED_BYTES
    }

    /// Notes that a configuration of `version` came into force at `revision`.
    pub(super) fn note_configuration(&mut self, revision: Revision, version: u64) {
        self.configuration = Some(ConfigurationChange { revision, version });
    }

    /// Appends the changes of servers that lead from one snapshot to a newer one, so that nodes that are
    /// behind need not all be sent the whole snapshot because this node had to read it. No changes
    /// lead from one era to another: the log is cleared then.
    pub(super) fn append_difference(&mut self, older: &Snapshot, newer: &Snapshot) {
        if newer.revision == older.revision {
            return;
        }
        let is_continued = newer.revision.era == older.revision.era && !older.revision.is_none();
        let difference = match is_continued {
            true => changes_between(older, newer),
            false => Vec::new(),
        };
        if !is_continued || difference.len() > MAX_LOGGED_CHANGES || self.gaps.len() >= MAX_GAPS {
            self.recent.clear();
            self.recent_bytes = 0;
            self.covered_since = newer.revision;
            self.drop_obsolete_gaps();
            return;
        }
        self.gaps.push(Gap {
            after: older.revision,
            until: newer.revision,
        });
        for change in difference {
            self.append(change);
        }
    }

    /// Adds gaps that another node reported together with its changes.
    pub(super) fn add_gaps(&mut self, gaps: Vec<Gap>) {
        self.gaps.extend(gaps);
    }

    /// Whether the log contains every change since `revision`.
    pub(super) fn is_complete_since(&self, revision: Revision) -> bool {
        let hides_changes = |gap: &Gap| gap.hides_changes_since(revision);
        !revision.is_none()
            && revision >= self.covered_since
            && !self.gaps.iter().any(hides_changes)
    }

    /// Whether the configuration changed to `version` or a newer one after `revision`.
    pub(super) fn contains_configuration(&self, revision: Revision, version: u64) -> bool {
        let later = self.configuration_change_after(revision);
        later.is_some_and(|change| change.version >= version)
    }

    /// Returns the changes and gaps after `revision`, as an update to revision `newest`. `in_force` is
    /// the configuration in force.
    pub(super) fn difference_since(
        &self,
        revision: Revision,
        newest: Revision,
        in_force: Option<&Configuration>,
    ) -> Update {
        let is_new = |change: &&RevisedChange| change.revision > revision;
        let is_later = |gap: &&Gap| gap.until > revision;
        let mut changes: Vec<RevisedChange> = self.recent.iter().filter(is_new).cloned().collect();
        if let Some(change) = self.configuration_change_after(revision) {
            changes.extend(in_force.map(|configuration| RevisedChange {
                revision: change.revision,
                change: Change::Configuration(configuration.clone()),
            }));
        }
        Update::Difference {
            revision: newest,
            changes,
            gaps: self.gaps.iter().filter(is_later).copied().collect(),
        }
    }

    fn configuration_change_after(&self, revision: Revision) -> Option<ConfigurationChange> {
        self.configuration
            .filter(|change| change.revision > revision)
    }

    /// Drops the gaps that end before the revisions that the log covers.
    fn drop_obsolete_gaps(&mut self) {
        let covered_since = self.covered_since;
        self.gaps.retain(|gap| gap.until > covered_since);
    }
}

/// Returns the changes of servers that lead from one snapshot to a newer one of the same era, in the
/// order of their revisions. The exact revision at which a server was removed is unknown, so its removal
/// gets the revision of the newer snapshot. A source that delivers its items in
/// several parts may deliver items newer than the snapshot; they get the snapshot's revision too.
fn changes_between(older: &Snapshot, newer: &Snapshot) -> Vec<RevisedChange> {
    let first = older.revision.next().min(newer.revision);
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
    let removed = older.servers.keys().filter(|id| newer.server(id).is_none());
    changes.extend(removed.cloned().map(|id| RevisedChange {
        revision: newer.revision,
        change: Change::ServerGone(id),
    }));
    changes
}

/// Returns the size of a logged change in memory, in bytes.
fn bytes_in_memory(change: &RevisedChange) -> usize {
    let texts = match &change.change {
        Change::Configuration(_) => 0,
        Change::Server(instance) => {
            instance.id.as_str().len() + instance.service.len() + instance.zone.len()
        }
        Change::ServerGone(id) | Change::ServerOverwritten(id) => id.as_str().len(),
    };
    size_of::<RevisedChange>() + texts
}
