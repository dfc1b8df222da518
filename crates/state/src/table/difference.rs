//! Comparison of two tables, row by row and cell by cell.

use std::fmt;

use super::{Column, Table, TableRow, TableVersion};
use crate::{ServiceName, Side};

/// One cell whose text differs between two tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellChange {
    /// Service of the row.
    pub service: ServiceName,
    /// Side of the row.
    pub side: Side,
    /// Column of the cell.
    pub column: Column,
    /// Text of the cell in the earlier table.
    pub before: String,
    /// Text of the cell in the later table.
    pub after: String,
}

/// All differences between two tables, ordered by service and side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableDifference {
    /// Version of the earlier table.
    pub before: TableVersion,
    /// Version of the later table.
    pub after: TableVersion,
    /// Rows that only the later table has.
    pub added: Vec<TableRow>,
    /// Rows that only the earlier table has.
    pub removed: Vec<TableRow>,
    /// Cells that differ in rows that both tables have.
    pub changed: Vec<CellChange>,
}

impl TableDifference {
    /// Compares an earlier table with a later one.
    pub fn between(before: &Table, after: &Table) -> Self {
        TableDifference {
            before: before.version(),
            after: after.version(),
            added: rows_missing_from(after, before),
            removed: rows_missing_from(before, after),
            changed: changed_cells(before, after),
        }
    }

    /// Returns whether the rows of both tables are equal; the numbers may differ.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty() && self.changed.is_empty()
    }
}

fn rows_missing_from(table: &Table, other: &Table) -> Vec<TableRow> {
    table
        .rows()
        .filter(|row| other.row(&row.service, row.side).is_none())
        .cloned()
        .collect()
}

fn changed_cells(before: &Table, after: &Table) -> Vec<CellChange> {
    before
        .rows()
        .filter_map(|row| Some((row, after.row(&row.service, row.side)?)))
        .flat_map(|(earlier, later)| differing_cells(earlier, later))
        .collect()
}

fn differing_cells(earlier: &TableRow, later: &TableRow) -> Vec<CellChange> {
    Column::ALL
        .into_iter()
        .filter(|column| earlier.cell(*column) != later.cell(*column))
        .map(|column| CellChange {
            service: earlier.service.clone(),
            side: earlier.side,
            column,
            before: earlier.cell(column),
            after: later.cell(column),
        })
        .collect()
}

impl fmt::Display for CellChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let CellChange {
            service,
            side,
            column,
            before,
            after,
        } = self;
        write!(formatter, "{service}@{side} {column}: {before} -> {after}")
    }
}

/// Formats as one line with the versions, then one line for each added row (`+`),
/// removed row (`-`) and changed cell (`~`).
impl fmt::Display for TableDifference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "version {} -> {}", self.before, self.after)?;
        for row in &self.added {
            write!(formatter, "\n+ {}", row.to_csv_line().trim_end())?;
        }
        for row in &self.removed {
            write!(formatter, "\n- {}", row.to_csv_line().trim_end())?;
        }
        for change in &self.changed {
            write!(formatter, "\n~ {change}")?;
        }
        Ok(())
    }
}
