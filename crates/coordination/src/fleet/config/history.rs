//! Records which rows changed between the table versions that were in force on
//! this node.

use std::collections::{BTreeSet, VecDeque};
use std::mem::size_of;

use lifthollow_protocol::control::RowKey;
use lifthollow_state::{Table, TableRow, TableVersion};

/// Maximum number of recorded table changes: about 37 minutes at 2,500 changes a
/// day.
const MAX_STEPS: usize = 64;

/// One replacement of the table in force: the version that was replaced and the
/// keys of the rows that changed.
#[derive(Clone, Debug)]
struct Step {
    from: TableVersion,
    keys: Vec<RowKey>,
}

/// The latest table changes, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    steps: VecDeque<Step>,
}

impl History {
    /// Records that table `after` replaces table `before`; the oldest step is
    /// dropped if the history is full.
    pub fn record(&mut self, before: &Table, after: &Table) {
        if self.steps.len() == MAX_STEPS {
            self.steps.pop_front();
        }
        self.steps.push_back(Step {
            from: before.version(),
            keys: changed_keys(before, after),
        });
    }

    /// The version that the table in force replaced.
    pub fn latest_base(&self) -> Option<TableVersion> {
        self.steps.back().map(|step| step.from)
    }

    /// Whether all changes since `version` are recorded.
    pub fn covers(&self, version: TableVersion) -> bool {
        self.first_step(version).is_some()
    }

    fn first_step(&self, version: TableVersion) -> Option<usize> {
        if version == TableVersion::default() {
            return None;
        }
        self.steps.iter().position(|step| step.from == version)
    }

    /// Keys of all rows that changed since `version` was in force. `None` if that
    /// version was never in force, is no longer recorded, or is that of the empty
    /// table.
    pub fn keys_since(&self, version: TableVersion) -> Option<BTreeSet<&RowKey>> {
        let first = self.first_step(version)?;
        let later = self.steps.iter().skip(first);
        Some(later.flat_map(|step| &step.keys).collect())
    }

    /// Memory used by all steps, in bytes.
    pub fn state_bytes(&self) -> usize {
        let keys: usize = self.steps.iter().map(|step| step.keys.capacity()).sum();
        self.steps.capacity() * size_of::<Step>() + keys * size_of::<RowKey>()
    }
}

/// Keys of the rows that were added, changed or removed between two tables. Both
/// tables are ordered by key.
fn changed_keys(before: &Table, after: &Table) -> Vec<RowKey> {
    let mut keys = Vec::new();
    let mut old_rows = before.rows().peekable();
    for row in after.rows() {
        while let Some(removed) = old_rows.next_if(|old| sort_key(old) < sort_key(row)) {
            keys.push(RowKey::of(removed));
        }
        let same_key = old_rows.next_if(|old| sort_key(old) == sort_key(row));
        if same_key != Some(row) {
            keys.push(RowKey::of(row));
        }
    }
    keys.extend(old_rows.map(RowKey::of));
    keys
}

fn sort_key(row: &TableRow) -> (&str, usize) {
    (row.service.as_str(), row.side as usize)
}
