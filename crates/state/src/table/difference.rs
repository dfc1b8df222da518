//! What differs between two tables.

use std::fmt;

use super::{Column, Table, TableRow, TableVersion};
use crate::{ServiceName, Side};

/// One cell that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellChange {
    /// The service of the row.
    pub service: ServiceName,
    /// The side of the row.
    pub side: Side,
    /// The column.
    pub column: Column,
    /// The text in the earlier table.
    pub before: String,
    /// The text in the later table.
    pub after: String,
}

/// Everything that differs between two tables, ordered by service and side.
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
    /// Cells of rows that both have.
    pub changed: Vec<CellChange>,
}

impl TableDifference {
    /// Compares two tables.
    pub fn between(before: &Table, after: &Table) -> Self {
        TableDifference {
            before: before.version(),
            after: after.version(),
            added: rows_without_partner(after, before),
            removed: rows_without_partner(before, after),
            changed: changed_cells(before, after),
        }
    }

    /// Whether the rows of both tables are the same; the numbers may differ.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty() && self.changed.is_empty()
    }
}

fn rows_without_partner(table: &Table, other: &Table) -> Vec<TableRow> {
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
        .flat_map(|(earlier, later)| cells_between(earlier, later))
        .collect()
}

fn cells_between(earlier: &TableRow, later: &TableRow) -> Vec<CellChange> {
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

/// One line for the versions, then `+` for a row added, `-` for a row removed
/// and `~` for a cell changed.
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
