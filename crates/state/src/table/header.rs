//! The header record of a table file, which gives the position of each column.

use std::collections::BTreeMap;

use super::Column;
use super::document::{Document, Record};
use crate::finding::{Findings, quoted};

/// Position of each column in one table file.
#[derive(Debug, Default)]
pub(super) struct Header {
    indexes: BTreeMap<Column, usize>,
    width: usize,
}

impl Header {
    /// Reads the positions of the known columns from a header record.
    pub(super) fn of(record: &Record) -> Self {
        let mut indexes = BTreeMap::new();
        for (index, name) in record.cells.iter().enumerate() {
            if let Some(column) = Column::from_name(name) {
                indexes.entry(column).or_insert(index);
            }
        }
        Header {
            indexes,
            width: record.cells.len(),
        }
    }

    /// Reads and validates a document's header.
    pub(super) fn check(document: &Document, findings: &mut Findings) -> Self {
        let Some(record) = document.records.get(1) else {
            if !document.records.is_empty() {
                let message = format!("no header; expected the columns {}", Column::list());
                findings.add(document.whole(), message);
            }
            return Header::default();
        };
        let header = Header::of(record);
        header.report_unknown_and_repeated(document, record, findings);
        header.report_missing(document, record, findings);
        header
    }

    /// Returns the cell index of a column, from 0; none if the header lacks the column.
    pub(super) fn index(&self, column: Column) -> Option<usize> {
        self.indexes.get(&column).copied()
    }

    /// Returns the number of cells in the header.
    pub(super) fn width(&self) -> usize {
        self.width
    }

    fn report_unknown_and_repeated(
        &self,
        document: &Document,
        record: &Record,
        findings: &mut Findings,
    ) {
        for (index, name) in record.cells.iter().enumerate() {
            let message = match Column::from_name(name) {
                Some(column) if self.index(column) != Some(index) => {
                    format!("column `{column}` stands twice")
                }
                None if !name.is_empty() => {
                    let known = Column::list();
                    format!("{} is no column; known are {known}", quoted(name))
                }
                _ => continue,
            };
            findings.add(document.place(record, index), message);
        }
    }

    fn report_missing(&self, document: &Document, record: &Record, findings: &mut Findings) {
        for column in Column::ALL {
            if self.index(column).is_none() {
                let place = document.place(record, self.width);
                findings.add(place, format!("column `{column}` is missing"));
            }
        }
    }
}
