//! The operators' table: one row per service and side.
//!
//! The file is CSV: a first record `lifthollow-table,NUMBER`, a header with the
//! names of all [`Column`]s in any order, then one record per service and side.

mod cell;
mod check;
mod column;
mod difference;
mod document;
mod edit;
mod header;
mod row;
mod write;

use std::collections::BTreeMap;
use std::fmt;
use std::ops::RangeInclusive;
use std::time::Duration;

use document::Document;

use crate::finding::Findings;
use crate::{PriorityClass, ServiceName, Side};

pub use column::{
    Column, DEADLINE_MS_BOUNDS, MAX_CONNECTIONS_BOUNDS, MAX_IN_FLIGHT_BOUNDS, MAX_QUEUE_BOUNDS,
    WEIGHT_BOUNDS,
};
pub use difference::{CellChange, TableDifference};
pub use document::{MAX_CELLS, MAX_FILE_BYTES, MAX_RECORDS};
pub use edit::{CellEdit, EditedFile, edit};

/// The first cell of every table file.
pub const FILE_MARK: &str = "lifthollow-table";

/// Bounds of the number of a version: what spreadsheets keep exactly.
pub const NUMBER_BOUNDS: RangeInclusive<u64> = 1..=999_999_999_999_999;

/// Reads and checks a table's file in full. `file_name` is used in the places
/// of findings only.
pub fn parse(file_name: &str, bytes: &[u8]) -> Result<Table, Findings> {
    read_checked(file_name, bytes).map(|(_, table)| table)
}

/// A valid file as records and as a table.
fn read_checked(file_name: &str, bytes: &[u8]) -> Result<(Document, Table), Findings> {
    let mut findings = Findings::default();
    let document = Document::read(file_name, bytes, &mut findings);
    if document.records.is_empty() && !findings.is_empty() {
        return Err(findings);
    }
    let table = check::check(&document, &mut findings);
    if findings.is_empty() {
        return Ok((document, table));
    }
    findings.sort();
    Err(findings)
}

/// Which edition of the table is meant.
///
/// Versions are totally ordered: by the number operators write, then by the
/// digest of the content, so that two tables published by mistake under one
/// number have the same order on every node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TableVersion {
    /// The number in the table file; operators raise it with every change.
    pub number: u64,
    /// Digest of the canonical form of all rows.
    pub digest: u64,
}

/// `NUMBER (DIGEST)`, the digest in hexadecimal.
impl fmt::Display for TableVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ({:016x})", self.number, self.digest)
    }
}

/// What operators set for one service on one side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableRow {
    /// The service.
    pub service: ServiceName,
    /// The data centre.
    pub side: Side,
    /// Share of the service's calls that go to this side, relative to the other.
    pub weight: u32,
    /// Ceiling of calls that run at once on each server.
    pub max_in_flight: u32,
    /// Ceiling of calls that wait at each server.
    pub max_queue: u32,
    /// Ceiling of connections to each server's back end.
    pub max_connections: u32,
    /// Class of calls that state none.
    pub class: PriorityClass,
    /// Whether a call without an idempotency key may be run again.
    pub repeatable: bool,
    /// Time that a call without a stated deadline may take.
    pub deadline: Duration,
}

/// A complete, checked table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    version: TableVersion,
    rows: BTreeMap<(ServiceName, Side), TableRow>,
}

impl Table {
    /// A table of `rows` under the number `number`; a later row for the same
    /// service and side replaces an earlier one.
    pub fn new(number: u64, rows: impl IntoIterator<Item = TableRow>) -> Self {
        let rows: BTreeMap<_, _> = rows
            .into_iter()
            .map(|row| ((row.service.clone(), row.side), row))
            .collect();
        let digest = digest_of(&rows);
        Table {
            version: TableVersion { number, digest },
            rows,
        }
    }

    /// This table with some rows added or replaced and others removed, under
    /// the number `number`. The cost of the digest grows with the changes only.
    pub fn with_changes(
        &self,
        number: u64,
        changed: impl IntoIterator<Item = TableRow>,
        removed: impl IntoIterator<Item = (ServiceName, Side)>,
    ) -> Self {
        let mut rows = self.rows.clone();
        let mut digest = self.version.digest;
        for row in changed {
            digest = digest.wrapping_add(row_digest(&row));
            let replaced = rows.insert((row.service.clone(), row.side), row);
            digest = digest.wrapping_sub(replaced.as_ref().map_or(0, row_digest));
        }
        for key in removed {
            let removed = rows.remove(&key);
            digest = digest.wrapping_sub(removed.as_ref().map_or(0, row_digest));
        }
        Table {
            version: TableVersion { number, digest },
            rows,
        }
    }

    /// The table's version.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// The row of a service on a side.
    pub fn row(&self, service: &ServiceName, side: Side) -> Option<&TableRow> {
        self.rows.get(&(service.clone(), side))
    }

    /// The first row found for a service, the old side's first.
    pub fn any_row(&self, service: &ServiceName) -> Option<&TableRow> {
        Side::ALL
            .into_iter()
            .find_map(|side| self.row(service, side))
    }

    /// All rows, ordered by service and side.
    pub fn rows(&self) -> impl Iterator<Item = &TableRow> {
        self.rows.values()
    }
}

/// The sum of the rows' digests, so that it can be kept up to date row by row.
fn digest_of(rows: &BTreeMap<(ServiceName, Side), TableRow>) -> u64 {
    rows.values()
        .fold(0, |digest, row| digest.wrapping_add(row_digest(row)))
}

fn row_digest(row: &TableRow) -> u64 {
    xxhash_rust::xxh3::xxh3_64(row.to_csv_line().as_bytes())
}
