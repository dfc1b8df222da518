//! Transfer of the table between nodes: the rows that changed since a version that
//! the requesting node has, or all rows, in pages of one datagram each.

use minicbor::{Decode, Encode};

use lifthollow_state::{PriorityClass, ServiceName, Side, TableRow, TableVersion};
use std::time::Duration;

use super::codec;

/// Key of a table row; rows are ordered by key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct RowKey {
    /// Name of the row's service.
    #[cbor(n(0), with = "codec::service")]
    pub service: ServiceName,
    /// The row's data centre.
    #[cbor(n(1), with = "codec::side")]
    pub side: Side,
}

impl RowKey {
    /// Returns the key of `row`.
    pub fn of(row: &TableRow) -> Self {
        RowKey {
            service: row.service.clone(),
            side: row.side,
        }
    }
}

/// Requests the rows that differ between two versions of the table.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TableRequest {
    /// The version in force on the requesting node.
    #[cbor(n(0), with = "codec::version")]
    pub have: TableVersion,
    /// The requested version; a node with a newer version in force sends that one instead.
    #[cbor(n(1), with = "codec::version")]
    pub want: TableVersion,
    /// Key up to which the requesting node already has the rows; none if it has none of them.
    #[n(2)]
    pub after: Option<RowKey>,
}

/// One page of consecutive changes that lead to a version of the table.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TablePage {
    /// The version that the rows are applied to; none if the pages hold all rows.
    #[cbor(n(0), with = "codec::optional_version")]
    pub base: Option<TableVersion>,
    /// The version that results when all pages are applied.
    #[cbor(n(1), with = "codec::version")]
    pub target: TableVersion,
    /// Key after which the page begins; none for the first page.
    #[n(2)]
    pub after: Option<RowKey>,
    /// Rows added or changed, ordered by key.
    #[n(3)]
    rows: Vec<WireRow>,
    /// Keys of removed rows, in order.
    #[n(4)]
    pub removed: Vec<RowKey>,
    /// Whether this is the last page.
    #[n(5)]
    pub last: bool,
}

impl TablePage {
    /// Creates a page without rows that is marked as the last one.
    pub fn empty(base: Option<TableVersion>, target: TableVersion, after: Option<RowKey>) -> Self {
        TablePage {
            base,
            target,
            after,
            rows: Vec::new(),
            removed: Vec::new(),
            last: true,
        }
    }

    /// Appends an added or changed row to the page.
    pub fn push_row(&mut self, row: &TableRow) {
        self.rows.push(WireRow::of(row));
    }

    /// Iterates over the added and changed rows, ordered by key.
    pub fn rows(&self) -> impl Iterator<Item = TableRow> {
        self.rows.iter().map(WireRow::to_row)
    }

    /// Returns the largest key that the page contains; none if it is empty.
    pub fn last_key(&self) -> Option<RowKey> {
        let row = self.rows.last().map(|row| row.key.clone());
        row.max(self.removed.last().cloned())
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
struct WireRow {
    #[n(0)]
    key: RowKey,
    #[n(1)]
    weight: u32,
    #[n(2)]
    max_in_flight: u32,
    #[n(3)]
    max_queue: u32,
    #[n(4)]
    max_connections: u32,
    #[cbor(n(5), with = "codec::class")]
    class: PriorityClass,
    #[n(6)]
    repeatable: bool,
    #[cbor(n(7), with = "codec::milliseconds")]
    deadline: Duration,
}

impl WireRow {
    fn of(row: &TableRow) -> Self {
        WireRow {
            key: RowKey::of(row),
            weight: row.weight,
            max_in_flight: row.max_in_flight,
            max_queue: row.max_queue,
            max_connections: row.max_connections,
            class: row.class,
            repeatable: row.repeatable,
            deadline: row.deadline,
        }
    }

    fn to_row(&self) -> TableRow {
        TableRow {
            service: self.key.service.clone(),
            side: self.key.side,
            weight: self.weight,
            max_in_flight: self.max_in_flight,
            max_queue: self.max_queue,
            max_connections: self.max_connections,
            class: self.class,
            repeatable: self.repeatable,
            deadline: self.deadline,
        }
    }
}
