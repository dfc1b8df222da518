//! The last changes of the source, kept for nodes that are behind.

use std::collections::VecDeque;

use lifthollow_state::mesh::{Change, Gap, RevisedChange, Revision, Snapshot, Update};

/// Changes that are kept for nodes that are behind. One that is further behind is
/// sent the whole snapshot.
const KEPT_CHANGES: usize = 1024;
/// Gaps between kept changes. With more, the changes before are forgotten.
const KEPT_GAPS: usize = 32;

/// The last changes.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangeLog {
    /// In the order of their revisions.
    recent: VecDeque<RevisedChange>,
    /// All changes after this revision are among them.
    since: Revision,
    /// Where not every change is known, but what they led to.
    gaps: Vec<Gap>,
}

impl ChangeLog {
    /// Keeps a change, unless a later one is kept already.
    pub(super) fn keep(&mut self, change: RevisedChange) {
        let newest = self.recent.back().map(|newest| newest.revision);
        if newest.is_some_and(|newest| change.revision < newest) {
            return;
        }
        self.recent.push_back(change);
        if self.recent.len() > KEPT_CHANGES
            && let Some(oldest) = self.recent.pop_front()
        {
            self.since = oldest.revision;
            self.forget_gaps();
        }
    }

    /// Keeps the changes that lead from one snapshot to a newer one, so that nodes that are behind
    /// are not all sent the whole because this one had to read it. To another era none lead.
    pub(super) fn keep_difference(&mut self, older: &Snapshot, newer: &Snapshot) {
        if newer.revision == older.revision {
            return;
        }
        let is_continued = newer.revision.era == older.revision.era && !older.revision.is_none();
        let difference = match is_continued {
            true => difference(older, newer),
            false => Vec::new(),
        };
        if !is_continued || difference.len() > KEPT_CHANGES || self.gaps.len() >= KEPT_GAPS {
            self.recent.clear();
            self.since = newer.revision;
            self.forget_gaps();
            return;
        }
        self.gaps.push(Gap {
            after: older.revision,
            until: newer.revision,
        });
        for change in difference {
            self.keep(change);
        }
    }

    /// Takes note of gaps that another node told.
    pub(super) fn add_gaps(&mut self, gaps: Vec<Gap>) {
        self.gaps.extend(gaps);
    }

    /// Whether the changes since `revision` are known apart.
    pub(super) fn knows_changes_since(&self, revision: Revision) -> bool {
        let is_hidden = |gap: &Gap| gap.hides_changes_since(revision);
        !revision.is_none() && revision >= self.since && !self.gaps.iter().any(is_hidden)
    }

    /// Whether a configuration of `version` or newer is among the changes after `revision`.
    pub(super) fn tells_configuration(&self, revision: Revision, version: u64) -> bool {
        let later = self.recent.iter();
        let mut later = later.filter(|change| change.revision > revision);
        later.any(|change| match &change.change {
            Change::Configuration(configuration) => configuration.version >= version,
            _ => false,
        })
    }

    /// The changes from `revision` to `newest`.
    pub(super) fn difference_since(&self, revision: Revision, newest: Revision) -> Update {
        let is_new = |change: &&RevisedChange| change.revision > revision;
        let is_later = |gap: &&Gap| gap.until > revision;
        Update::Difference {
            revision: newest,
            changes: self.recent.iter().filter(is_new).cloned().collect(),
            gaps: self.gaps.iter().filter(is_later).copied().collect(),
        }
    }

    /// Forgets gaps before the changes that are kept.
    fn forget_gaps(&mut self) {
        let kept_since = self.since;
        self.gaps.retain(|gap| gap.until > kept_since);
    }
}

/// The changes that lead from one snapshot to a newer one of the same era, in the order of their
/// revisions. When a server went or the configuration changed is not known: at the latest with the
/// newer snapshot. A source that tells its items in parts may tell some that are newer than their
/// snapshot; these count as of that.
fn difference(older: &Snapshot, newer: &Snapshot) -> Vec<RevisedChange> {
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
