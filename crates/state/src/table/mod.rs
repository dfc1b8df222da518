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

/// Marker in the first cell of every table file, which identifies the format.
pub const FILE_MARK: &str = "lifthollow-table";

/// Bounds of the table number: integers of up to 15 digits, which spreadsheets keep exactly.
pub const NUMBER_BOUNDS: RangeInclusive<u64> = 1..=999_999_999_999_999;

/// Parses and validates a table file in full. `file_name` is only used in the
/// locations of findings.
pub fn parse(file_name: &str, bytes: &[u8]) -> Result<Table, Findings> {
    parse_document_and_table(file_name, bytes).map(|(_, table)| table)
}

/// Parses and validates a table file and returns both its records and its table.
fn parse_document_and_table(file_name: &str, bytes: &[u8]) -> Result<(Document, Table), Findings> {
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

/// Version of the operators' table.
///
/// Versions are totally ordered: by the number that operators write, then by the
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

/// Operators' settings for one service on one side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableRow {
    /// Name of the service.
    pub service: ServiceName,
    /// The data centre to which the settings apply.
    pub side: Side,
    /// Share of the service's calls that go to this side, relative to the other.
    pub weight: u32,
    /// Maximum number of concurrent calls on each server.
    pub max_in_flight: u32,
    /// Maximum number of queued calls at each server.
    pub max_queue: u32,
    /// Maximum number of connections to each server's back end.
    pub max_connections: u32,
    /// Priority class of calls that do not state one.
    pub class: PriorityClass,
    /// Whether a call without an idempotency key may run more than once.
    pub repeatable: bool,
    /// Maximum duration of calls that do not state a deadline.
    pub deadline: Duration,
}

/// A complete, validated table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    version: TableVersion,
    rows: BTreeMap<(ServiceName, Side), TableRow>,
}

impl Table {
    /// Creates a table of `rows` with the number `number`; a later row for the same
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

    /// Returns a copy of this table with some rows added or replaced and others
    /// removed, with the number `number`. The cost of computing the digest grows
    /// with the number of changes only.
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

    /// Returns the table's number and digest.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// Returns the row of a service on a side.
    pub fn row(&self, service: &ServiceName, side: Side) -> Option<&TableRow> {
        self.rows.get(&(service.clone(), side))
    }

    /// Returns the row of a service on the old side, or else the one on the new side.
    pub fn any_row(&self, service: &ServiceName) -> Option<&TableRow> {
        Side::ALL
            .into_iter()
            .find_map(|side| self.row(service, side))
    }

    /// Iterates over all rows, ordered by service and side.
    pub fn rows(&self) -> impl Iterator<Item = &TableRow> {
        self.rows.values()
    }
}

/// Computes the table's digest: the sum of the rows' digests, which can be updated row by row.
fn digest_of(rows: &BTreeMap<(ServiceName, Side), TableRow>) -> u64 {
    rows.values()
        .fold(0, |digest, row| digest.wrapping_add(row_digest(row)))
}

fn row_digest(row: &TableRow) -> u64 {
    xxhash_rust::xxh3::xxh3_64(row.to_csv_line().as_bytes())
}
