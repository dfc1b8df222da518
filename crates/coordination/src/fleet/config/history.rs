//! Which rows changed between the versions that were in force on this node.

use std::collections::{BTreeSet, VecDeque};
use std::mem::size_of;

use lifthollow_protocol::control::RowKey;
use lifthollow_state::{Table, TableRow, TableVersion};

/// Versions that are remembered: about 37 minutes at 2,500 changes a day.
const STEPS_KEPT: usize = 64;

/// One change of the table in force.
#[derive(Clone, Debug)]
struct Step {
    from: TableVersion,
    keys: Vec<RowKey>,
}

/// The latest changes, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    steps: VecDeque<Step>,
}

impl History {
    /// Remembers that `after` replaces `before`.
    pub fn record(&mut self, before: &Table, after: &Table) {
        if self.steps.len() == STEPS_KEPT {
            self.steps.pop_front();
        }
        self.steps.push_back(Step {
            from: before.version(),
            keys: changed_keys(before, after),
        });
    }

    /// The version before the one in force.
    pub fn latest_base(&self) -> Option<TableVersion> {
        self.steps.back().map(|step| step.from)
    }

    /// Whether the changes since `version` are known.
    pub fn covers(&self, version: TableVersion) -> bool {
        self.first_step(version).is_some()
    }

    fn first_step(&self, version: TableVersion) -> Option<usize> {
        if version == TableVersion::default() {
            return None;
        }
        self.steps.iter().position(|step| step.from == version)
    }

    /// Keys of all rows that changed since `version` was in force; none if it
    /// never was or is forgotten, or is that of the empty table.
    pub fn keys_since(&self, version: TableVersion) -> Option<BTreeSet<&RowKey>> {
        let first = self.first_step(version)?;
        let later = self.steps.iter().skip(first);
        Some(later.flat_map(|step| &step.keys).collect())
    }

    /// Bytes of all steps.
    pub fn state_bytes(&self) -> usize {
        let keys: usize = self.steps.iter().map(|step| step.keys.capacity()).sum();
        self.steps.capacity() * size_of::<Step>() + keys * size_of::<RowKey>()
    }
}

/// Keys of rows that were added, changed or removed. Both tables are ordered.
fn changed_keys(before: &Table, after: &Table) -> Vec<RowKey> {
    let mut keys = Vec::new();
    let mut earlier = before.rows().peekable();
    for row in after.rows() {
        while let Some(gone) = earlier.next_if(|old| key(old) < key(row)) {
            keys.push(RowKey::of(gone));
        }
        let same_key = earlier.next_if(|old| key(old) == key(row));
        if same_key != Some(row) {
            keys.push(RowKey::of(row));
        }
    }
    keys.extend(earlier.map(RowKey::of));
    keys
}

fn key(row: &TableRow) -> (&str, usize) {
    (row.service.as_str(), row.side as usize)
}
