//! The full check of a table's file.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use super::cell;
use super::document::{Document, Record};
use super::{Column, FILE_MARK, NUMBER_BOUNDS, Table, TableRow};
use crate::finding::{Findings, quoted};
use crate::{ServiceName, Side};

/// Checks a document and builds its table. Every fault is added to `findings`;
/// the table is only to be used if there is none.
pub(super) fn check(document: &Document, findings: &mut Findings) -> Table {
    let mut checker = Checker { document, findings };
    let number = checker.number();
    let header = checker.header();
    let rows = checker.rows(&header);
    checker.services(&header, &rows);
    Table::new(number, rows.into_values().map(|checked| checked.row))
}

/// Where each column stands in this file.
pub(super) struct Header {
    indexes: BTreeMap<Column, usize>,
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
        Header { indexes }
    }

    /// Where a column stands, from 0.
    pub(super) fn index(&self, column: Column) -> Option<usize> {
        self.indexes.get(&column).copied()
    }
}

/// A row whose cells are all valid, with the record it was read from.
struct CheckedRow<'a> {
    record: &'a Record,
    row: TableRow,
}

type CheckedRows<'a> = BTreeMap<(ServiceName, Side), CheckedRow<'a>>;

struct Checker<'a, 'f> {
    document: &'a Document,
    findings: &'f mut Findings,
}

impl<'a> Checker<'a, '_> {
    fn add(&mut self, record: &Record, index: usize, message: impl Into<String>) {
        self.findings
            .add(self.document.place(record, index), message);
    }

    /// Checks the first record and returns the table's number.
    fn number(&mut self) -> u64 {
        let Some(record) = self.document.records.first() else {
            let message = format!("the file is empty; its first row must be `{FILE_MARK},NUMBER`");
            self.findings.add(self.document.whole(), message);
            return 0;
        };
        if record.cell(0) != FILE_MARK {
            self.add(record, 0, unmarked(record));
            return 0;
        }
        self.cells_beyond(record, 2);
        match cell::number(record.cell(1), &NUMBER_BOUNDS) {
            Ok(number) => number,
            Err(fault) => {
                self.add(record, 1, format!("the table's number: {fault}"));
                0
            }
        }
    }

    fn cells_beyond(&mut self, record: &Record, width: usize) {
        for (index, text) in record.cells.iter().enumerate().skip(width) {
            if !text.is_empty() {
                let message = format!("{} stands beyond the last column", quoted(text));
                self.add(record, index, message);
            }
        }
    }

    /// Checks the header and returns where the columns stand.
    fn header(&mut self) -> Header {
        let Some(record) = self.document.records.get(1) else {
            if !self.document.records.is_empty() {
                let message = format!("no header; expected the columns {}", Column::list());
                self.findings.add(self.document.whole(), message);
            }
            return Header {
                indexes: BTreeMap::new(),
            };
        };
        let header = Header::of(record);
        self.header_names(record, &header);
        for column in Column::ALL {
            if header.index(column).is_none() {
                self.add(
                    record,
                    record.cells.len(),
                    format!("column `{column}` is missing"),
                );
            }
        }
        header
    }

    fn header_names(&mut self, record: &Record, header: &Header) {
        for (index, name) in record.cells.iter().enumerate() {
            match Column::from_name(name) {
                Some(column) if header.index(column) != Some(index) => {
                    self.add(record, index, format!("column `{column}` stands twice"));
                }
                Some(_) => {}
                None if name.is_empty() => {}
                None => {
                    let name = quoted(name);
                    let message = format!("{name} is no column; known are {}", Column::list());
                    self.add(record, index, message);
                }
            }
        }
    }

    /// Checks every row and returns those without a fault.
    fn rows(&mut self, header: &Header) -> CheckedRows<'a> {
        let mut rows = CheckedRows::new();
        let document = self.document;
        for record in document.records.iter().skip(2) {
            if record.cell(0) == FILE_MARK {
                self.add(record, 0, "a second version; a file holds one table");
                continue;
            }
            let Some(row) = self.row(header, record) else {
                continue;
            };
            match rows.entry((row.service.clone(), row.side)) {
                Entry::Vacant(entry) => {
                    entry.insert(CheckedRow { record, row });
                }
                Entry::Occupied(entry) => {
                    let (service, side) = entry.key();
                    let first = entry.get().record.row;
                    let message = format!("`{service}` `{side}` already has row {first}");
                    let index = header.index(Column::Service).unwrap_or(0);
                    self.add(record, index, message);
                }
            }
        }
        if document.records.len() == 2 {
            let message = "the table has no rows";
            self.findings.add(document.whole(), message);
        }
        rows
    }

    fn row(&mut self, header: &Header, record: &Record) -> Option<TableRow> {
        self.row_width(header, record);
        let service = self.cell(header, record, Column::Service, cell::service);
        let side = self.cell(header, record, Column::Side, cell::side);
        let weight = self.cell(header, record, Column::Weight, cell::weight);
        let max_in_flight = self.cell(header, record, Column::MaxInFlight, cell::max_in_flight);
        let max_queue = self.cell(header, record, Column::MaxQueue, cell::max_queue);
        let max_connections = self.cell(
            header,
            record,
            Column::MaxConnections,
            cell::max_connections,
        );
        let class = self.cell(header, record, Column::Class, cell::class);
        let repeatable = self.cell(header, record, Column::Repeatable, cell::repeatable);
        let deadline = self.cell(header, record, Column::DeadlineMs, cell::deadline);
        Some(TableRow {
            service: service?,
            side: side?,
            weight: weight?,
            max_in_flight: max_in_flight?,
            max_queue: max_queue?,
            max_connections: max_connections?,
            class: class?,
            repeatable: repeatable?,
            deadline: deadline?,
        })
    }

    fn row_width(&mut self, header: &Header, record: &Record) {
        if let Some(last) = header.indexes.values().max() {
            let named = self.document.records[1].cells.len();
            self.cells_beyond(record, named.max(last + 1));
        }
    }

    /// Reads one cell; a column that the header lacks was reported there.
    fn cell<T>(
        &mut self,
        header: &Header,
        record: &Record,
        column: Column,
        read: fn(&str) -> Result<T, String>,
    ) -> Option<T> {
        let index = header.index(column)?;
        match read(record.cell(index)) {
            Ok(value) => Some(value),
            Err(fault) => {
                self.add(record, index, format!("`{column}`: {fault}"));
                None
            }
        }
    }

    /// Checks what the rows of one service must keep together.
    fn services(&mut self, header: &Header, rows: &CheckedRows<'a>) {
        for (key, checked) in rows {
            let other = rows.get(&(key.0.clone(), key.1.other()));
            match other {
                Some(other) if key.1 == Side::Old => self.pair(header, checked, other),
                None => self.total_weight(header, checked, 0),
                Some(_) => {}
            }
        }
    }

    fn pair(&mut self, header: &Header, first: &CheckedRow<'a>, second: &CheckedRow<'a>) {
        self.total_weight(header, first, second.row.weight);
        for column in Column::SAME_ON_BOTH_SIDES {
            let (left, right) = (first.row.cell(column), second.row.cell(column));
            if left == right {
                continue;
            }
            let service = &first.row.service;
            let row = first.record.row;
            let message = format!(
                "`{column}` of `{service}` is `{right}` here and `{left}` in row {row}; \
                 it must be the same on both sides"
            );
            self.add(second.record, header.index(column).unwrap_or(0), message);
        }
    }

    fn total_weight(&mut self, header: &Header, checked: &CheckedRow<'a>, other_weight: u32) {
        if checked.row.weight == 0 && other_weight == 0 {
            let service = &checked.row.service;
            let message = format!("the weights of `{service}` are all 0; one must be above 0");
            let index = header.index(Column::Weight).unwrap_or(0);
            self.add(checked.record, index, message);
        }
    }
}

/// The message for a first record without the mark.
fn unmarked(record: &Record) -> String {
    let text = record.cell(0);
    let expected = format!("the first row must be `{FILE_MARK},NUMBER`");
    if text.starts_with(&format!("{FILE_MARK};")) || text.starts_with(&format!("{FILE_MARK}\t")) {
        return format!("{expected}; save the file with commas between the cells");
    }
    format!("{expected}, not {}", quoted(text))
}
