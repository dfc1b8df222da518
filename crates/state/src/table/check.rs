//! The full check of a table's file.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use super::document::{Document, Record};
use super::header::Header;
use super::row::{PartialRow, RowReader, check_beyond};
use super::{Column, FILE_MARK, NUMBER_BOUNDS, Table};
use crate::finding::{Findings, bounded_number, quoted};
use crate::{ServiceName, Side};

/// Records before the first row: the number and the header.
const RECORDS_BEFORE_ROWS: usize = 2;

/// Checks a document and builds its table. Every fault is added to `findings`;
/// the table is only to be used if there is none.
pub(super) fn check(document: &Document, findings: &mut Findings) -> Table {
    let number = check_number(document, findings);
    let header = Header::check(document, findings);
    let mut checker = RowChecker {
        document,
        header: &header,
        findings,
    };
    let rows = checker.rows();
    checker.services(&rows);
    Table::new(number, rows.into_values().filter_map(PartialRow::complete))
}

/// Checks the first record and returns the table's number.
fn check_number(document: &Document, findings: &mut Findings) -> u64 {
    let Some(record) = document.records.first() else {
        let message = format!("the file is empty; its first row must be `{FILE_MARK},NUMBER`");
        findings.add(document.whole(), message);
        return 0;
    };
    if record.cell(0) != FILE_MARK {
        findings.add(document.place(record, 0), unmarked(record));
        return 0;
    }
    check_beyond(document, record, RECORDS_BEFORE_ROWS, findings);
    bounded_number(record.cell(1), &NUMBER_BOUNDS).unwrap_or_else(|fault| {
        let message = format!("the table's number: {fault}");
        findings.add(document.place(record, 1), message);
        0
    })
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

type Rows<'a> = BTreeMap<(ServiceName, Side), PartialRow<'a>>;

struct RowChecker<'a, 'f> {
    document: &'a Document,
    header: &'f Header,
    findings: &'f mut Findings,
}

impl<'a> RowChecker<'a, '_> {
    /// Checks every row by itself and returns those with a valid key.
    fn rows(&mut self) -> Rows<'a> {
        let mut rows = Rows::new();
        for record in self.document.records.iter().skip(RECORDS_BEFORE_ROWS) {
            if record.cell(0) == FILE_MARK {
                let place = self.document.place(record, 0);
                self.findings
                    .add(place, "a second version; a file holds one table");
                continue;
            }
            self.add_row(record, &mut rows);
        }
        if self.document.records.len() == RECORDS_BEFORE_ROWS {
            self.findings
                .add(self.document.whole(), "the table has no rows");
        }
        rows
    }

    fn add_row(&mut self, record: &'a Record, rows: &mut Rows<'a>) {
        let mut reader = RowReader {
            document: self.document,
            header: self.header,
            findings: self.findings,
        };
        let row = reader.read(record);
        let (Some(service), Some(side)) = (row.service.clone(), row.side) else {
            return;
        };
        match rows.entry((service, side)) {
            Entry::Vacant(entry) => {
                entry.insert(row);
            }
            Entry::Occupied(entry) => {
                let (service, side) = entry.key();
                let first = entry.get().record.row;
                let message = format!("`{service}` `{side}` already has row {first}");
                self.add(record, Column::Service, message);
            }
        }
    }

    fn add(&mut self, record: &Record, column: Column, message: String) {
        let index = self.header.index(column).unwrap_or(0);
        self.findings
            .add(self.document.place(record, index), message);
    }

    /// Checks what the rows of one service must keep together.
    fn services(&mut self, rows: &Rows<'a>) {
        for ((service, side), row) in rows {
            match rows.get(&(service.clone(), side.other())) {
                Some(other) if *side == Side::Old => self.pair(service, row, other),
                None => self.total_weight(service, row, Some(0)),
                Some(_) => {}
            }
        }
    }

    fn pair(&mut self, service: &ServiceName, old: &PartialRow<'a>, new: &PartialRow<'a>) {
        self.total_weight(service, old, new.weight);
        let columns = [
            (Column::Class, differ(old.class, new.class)),
            (Column::Repeatable, differ(old.repeatable, new.repeatable)),
            (Column::DeadlineMs, differ(old.deadline, new.deadline)),
        ];
        for (column, is_different) in columns {
            if is_different {
                self.different(service, column, old.record, new.record);
            }
        }
    }

    /// Reports a difference at the row that stands later in the file.
    fn different(&mut self, service: &ServiceName, column: Column, old: &Record, new: &Record) {
        let (first, second) = match old.row < new.row {
            true => (old, new),
            false => (new, old),
        };
        let index = self.header.index(column).unwrap_or(0);
        let message = format!(
            "`{column}` of `{service}` is {} here and {} in row {}; \
             it must be the same on both sides",
            quoted(second.cell(index)),
            quoted(first.cell(index)),
            first.row
        );
        self.add(second, column, message);
    }

    fn total_weight(&mut self, service: &ServiceName, row: &PartialRow<'a>, other: Option<u32>) {
        if row.weight == Some(0) && other == Some(0) {
            let message = format!("the weights of `{service}` are all 0; one must be above 0");
            self.add(row.record, Column::Weight, message);
        }
    }
}

/// Whether both cells are valid and differ.
fn differ<T: PartialEq>(left: Option<T>, right: Option<T>) -> bool {
    matches!((left, right), (Some(left), Some(right)) if left != right)
}
