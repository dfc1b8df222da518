//! Validation of a table file.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use super::document::{Document, Record};
use super::header::Header;
use super::row::{PartialRow, RowReader, report_cells_beyond};
use super::{Column, FILE_MARK, NUMBER_BOUNDS, Table};
use crate::finding::{Findings, bounded_number, quoted};
use crate::{ServiceName, Side};

/// Number of records before the first row: the one with the table's number and the header.
const RECORDS_BEFORE_ROWS: usize = 2;

/// Validates a document and builds its table. Every error is added to `findings`;
/// the table must not be used if there is any.
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

/// Validates the first record and returns the table's number, or 0 if it is invalid.
fn check_number(document: &Document, findings: &mut Findings) -> u64 {
    let Some(record) = document.records.first() else {
        let message = format!("the file is empty; its first row must be `{FILE_MARK},NUMBER`");
        findings.add(document.whole(), message);
        return 0;
    };
    if record.cell(0) != FILE_MARK {
        findings.add(document.place(record, 0), missing_mark_message(record));
        return 0;
    }
    report_cells_beyond(document, record, RECORDS_BEFORE_ROWS, findings);
    bounded_number(record.cell(1), &NUMBER_BOUNDS).unwrap_or_else(|fault| {
        let message = format!("the table's number: {fault}");
        findings.add(document.place(record, 1), message);
        0
    })
}

/// Returns the message for a first record that does not begin with [`FILE_MARK`].
fn missing_mark_message(record: &Record) -> String {
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
    /// Validates every row by itself and returns those with a valid key.
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
                self.add_finding(record, Column::Service, message);
            }
        }
    }

    fn add_finding(&mut self, record: &Record, column: Column, message: String) {
        let index = self.header.index(column).unwrap_or(0);
        self.findings
            .add(self.document.place(record, index), message);
    }

    /// Validates the rules that span the rows of one service.
    fn services(&mut self, rows: &Rows<'a>) {
        for ((service, side), row) in rows {
            match rows.get(&(service.clone(), side.other())) {
                Some(other) if *side == Side::Old => self.check_both_sides(service, row, other),
                None => self.check_total_weight(service, row, Some(0)),
                Some(_) => {}
            }
        }
    }

    fn check_both_sides(
        &mut self,
        service: &ServiceName,
        old: &PartialRow<'a>,
        new: &PartialRow<'a>,
    ) {
        self.check_total_weight(service, old, new.weight);
        let columns = [
            (Column::Class, valid_and_different(old.class, new.class)),
            (
                Column::Repeatable,
                valid_and_different(old.repeatable, new.repeatable),
            ),
            (
                Column::DeadlineMs,
                valid_and_different(old.deadline, new.deadline),
            ),
        ];
        for (column, is_different) in columns {
            if is_different {
                self.report_difference(service, column, old.record, new.record);
            }
        }
    }

    /// Reports a value that differs between both sides, at the later of the two rows in the file.
    fn report_difference(
        &mut self,
        service: &ServiceName,
        column: Column,
        old: &Record,
        new: &Record,
    ) {
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
        self.add_finding(second, column, message);
    }

    fn check_total_weight(
        &mut self,
        service: &ServiceName,
        row: &PartialRow<'a>,
        other: Option<u32>,
    ) {
        if row.weight == Some(0) && other == Some(0) {
            let message = format!("the weights of `{service}` are all 0; one must be above 0");
            self.add_finding(row.record, Column::Weight, message);
        }
    }
}

/// Returns whether both cells are valid and differ.
fn valid_and_different<T: PartialEq>(left: Option<T>, right: Option<T>) -> bool {
    matches!((left, right), (Some(left), Some(right)) if left != right)
}
