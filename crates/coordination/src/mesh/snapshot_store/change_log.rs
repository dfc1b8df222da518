//! Log of the most recent changes of the source, used to bring nodes that are behind up to date.

use std::collections::VecDeque;

use lifthollow_state::mesh::{Change, Gap, RevisedChange, Revision, Snapshot, Update};

/// Maximum number of changes in the log. A node that is further behind is sent the whole
/// snapshot.
const MAX_LOGGED_CHANGES: usize = 1024;
/// Maximum number of gaps in the log. When a further one would be added, the log is cleared.
const MAX_GAPS: usize = 32;

/// The most recent changes of the source, in the order of their revisions.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangeLog {
    /// The logged changes, in the order of their revisions.
    recent: VecDeque<RevisedChange>,
    /// The log covers all revisions after this one, except for what `gaps` hides.
    covered_since: Revision,
    /// Ranges of revisions for which only the net effect of the changes is known, not each change.
    gaps: Vec<Gap>,
}

impl ChangeLog {
    /// Appends a change, unless the log already has a later one.
    pub(super) fn append(&mut self, change: RevisedChange) {
        let newest = self.recent.back().map(|newest| newest.revision);
        if newest.is_some_and(|newest| change.revision < newest) {
            return;
        }
        self.recent.push_back(change);
        if self.recent.len() > MAX_LOGGED_CHANGES
            && let Some(oldest) = self.recent.pop_front()
        {
            self.covered_since = oldest.revision;
            self.drop_obsolete_gaps();
        }
    }

    /// Appends the changes that lead from one snapshot to a newer one, so that nodes that are
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

    /// Whether the changes after `revision` include a configuration of `version` or newer.
    pub(super) fn contains_configuration(&self, revision: Revision, version: u64) -> bool {
        let later = self.recent.iter();
        let mut later_changes = later.filter(|change| change.revision > revision);
        later_changes.any(|change| match &change.change {
            Change::Configuration(configuration) => configuration.version >= version,
            _ => false,
        })
    }

    /// Returns the changes and gaps after `revision`, as an update to revision `newest`.
    pub(super) fn difference_since(&self, revision: Revision, newest: Revision) -> Update {
        let is_new = |change: &&RevisedChange| change.revision > revision;
        let is_later = |gap: &&Gap| gap.until > revision;
        Update::Difference {
            revision: newest,
            changes: self.recent.iter().filter(is_new).cloned().collect(),
            gaps: self.gaps.iter().filter(is_later).copied().collect(),
        }
    }

    /// Drops the gaps that end before the revisions that the log covers.
    fn drop_obsolete_gaps(&mut self) {
        let covered_since = self.covered_since;
        self.gaps.retain(|gap| gap.until > covered_since);
    }
}

/// Returns the changes that lead from one snapshot to a newer one of the same era, in the order of
/// their revisions. The exact revision at which a server was removed or the configuration changed
/// is unknown, so these get the revision of the newer snapshot. A source that delivers its items in
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
    let removed = removed.cloned().map(Change::ServerGone);
    let configuration = newer.configuration.iter();
    let configuration = configuration
        .filter(|newest| older.configuration.as_ref() != Some(newest))
        .cloned()
        .map(Change::Configuration);
    changes.extend(removed.chain(configuration).map(|change| RevisedChange {
        revision: newer.revision,
        change,
    }));
    changes
}
