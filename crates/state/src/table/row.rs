//! Parsing of one row of a table file, of which some cells may be invalid.

use std::time::Duration;

use super::document::{Document, Record};
use super::header::Header;
use super::{Column, TableRow, cell};
use crate::finding::{Findings, quoted};
use crate::{PriorityClass, ServiceName, Side};

/// The valid cells of one row, and the record from which they were read.
#[derive(Clone, Debug)]
pub(super) struct PartialRow<'a> {
    pub(super) record: &'a Record,
    pub(super) service: Option<ServiceName>,
    pub(super) side: Option<Side>,
    pub(super) weight: Option<u32>,
    pub(super) max_in_flight: Option<u32>,
    pub(super) max_queue: Option<u32>,
    pub(super) max_connections: Option<u32>,
    pub(super) class: Option<PriorityClass>,
    pub(super) repeatable: Option<bool>,
    pub(super) deadline: Option<Duration>,
}

impl PartialRow<'_> {
    /// Returns the row if all its cells are valid.
    pub(super) fn complete(self) -> Option<TableRow> {
        Some(TableRow {
            service: self.service?,
            side: self.side?,
            weight: self.weight?,
            max_in_flight: self.max_in_flight?,
            max_queue: self.max_queue?,
            max_connections: self.max_connections?,
            class: self.class?,
            repeatable: self.repeatable?,
            deadline: self.deadline?,
        })
    }
}

/// Parses the cells of rows and adds every error to the findings.
pub(super) struct RowReader<'a, 'f> {
    pub(super) document: &'a Document,
    pub(super) header: &'f Header,
    pub(super) findings: &'f mut Findings,
}

impl<'a> RowReader<'a, '_> {
    /// Parses one row and returns its valid cells.
    pub(super) fn read(&mut self, record: &'a Record) -> PartialRow<'a> {
        self.check_width(record);
        PartialRow {
            record,
            service: self.cell(record, Column::Service, cell::service),
            side: self.cell(record, Column::Side, cell::side),
            weight: self.cell(record, Column::Weight, cell::weight),
            max_in_flight: self.cell(record, Column::MaxInFlight, cell::max_in_flight),
            max_queue: self.cell(record, Column::MaxQueue, cell::max_queue),
            max_connections: self.cell(record, Column::MaxConnections, cell::max_connections),
            class: self.cell(record, Column::Class, cell::class),
            repeatable: self.cell(record, Column::Repeatable, cell::repeatable),
            deadline: self.cell(record, Column::DeadlineMs, cell::deadline),
        }
    }

    /// Parses one cell. Returns none for a column that is missing from the header, which the
    /// check of the header has reported.
    fn cell<T>(
        &mut self,
        record: &Record,
        column: Column,
        read: fn(&str) -> Result<T, String>,
    ) -> Option<T> {
        let index = self.header.index(column)?;
        match read(record.cell(index)) {
            Ok(value) => Some(value),
            Err(fault) => {
                let place = self.document.place(record, index);
                self.findings.add(place, format!("`{column}`: {fault}"));
                None
            }
        }
    }

    fn check_width(&mut self, record: &Record) {
        let width = self.header.width();
        report_cells_beyond(self.document, record, width, self.findings);
    }
}

/// Reports every non-empty cell of a record at index `width` or beyond.
pub(super) fn report_cells_beyond(
    document: &Document,
    record: &Record,
    width: usize,
    findings: &mut Findings,
) {
    for (index, text) in record.cells.iter().enumerate().skip(width) {
        if !text.is_empty() {
            let message = format!("{} stands beyond the last column", quoted(text));
            findings.add(document.place(record, index), message);
        }
    }
}
