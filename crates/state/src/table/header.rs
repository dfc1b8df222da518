//! The header of a table's file: where each column stands.

use std::collections::BTreeMap;

use super::Column;
use super::document::{Document, Record};
use crate::finding::{Findings, quoted};

/// Where each column stands in one file.
#[derive(Debug, Default)]
pub(super) struct Header {
    indexes: BTreeMap<Column, usize>,
    width: usize,
}

impl Header {
    /// The columns of a header record, as far as they are known.
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

    /// Reads and checks a document's header.
    pub(super) fn check(document: &Document, findings: &mut Findings) -> Self {
        let Some(record) = document.records.get(1) else {
            if !document.records.is_empty() {
                let message = format!("no header; expected the columns {}", Column::list());
                findings.add(document.whole(), message);
            }
            return Header::default();
        };
        let header = Header::of(record);
        header.check_names(document, record, findings);
        header.check_missing(document, record, findings);
        header
    }

    /// Where a column stands, from 0.
    pub(super) fn index(&self, column: Column) -> Option<usize> {
        self.indexes.get(&column).copied()
    }

    /// How many cells the header has.
    pub(super) fn width(&self) -> usize {
        self.width
    }

    fn check_names(&self, document: &Document, record: &Record, findings: &mut Findings) {
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

    fn check_missing(&self, document: &Document, record: &Record, findings: &mut Findings) {
        for column in Column::ALL {
            if self.index(column).is_none() {
                let place = document.place(record, self.width);
                findings.add(place, format!("column `{column}` is missing"));
            }
        }
    }
}
