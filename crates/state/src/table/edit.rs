//! Changing one cell of a table's file and leaving the rest as it is.

use super::check::{Header, check};
use super::document::{Document, Record};
use super::{Column, NUMBER_BOUNDS, Table, parse};
use crate::finding::{Findings, Place, quoted};
use crate::{ServiceName, Side};

/// One cell and the text it is to have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellEdit {
    /// The service of the row.
    pub service: ServiceName,
    /// The side of the row.
    pub side: Side,
    /// The column.
    pub column: Column,
    /// The new text.
    pub value: String,
}

/// The next version of a table's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EditedFile {
    /// The new content of the file.
    pub bytes: Vec<u8>,
    /// The table that the new content holds.
    pub table: Table,
}

/// Makes the next version of a table's file: the number raised by one and one
/// cell changed. All bytes of other records stay as they are.
///
/// The file is checked in full before the change and after it; `file_name` is
/// used in the places of findings only.
pub fn edit(file_name: &str, bytes: &[u8], edit: &CellEdit) -> Result<EditedFile, Findings> {
    let mut findings = Findings::default();
    let document = Document::read(file_name, bytes, &mut findings);
    if !findings.is_empty() {
        return Err(findings);
    }
    let table = check(&document, &mut findings);
    if !findings.is_empty() {
        findings.sort();
        return Err(findings);
    }
    let bytes = edited_bytes(&document, bytes, &table, edit)?;
    let table = parse(file_name, &bytes)?;
    Ok(EditedFile { bytes, table })
}

/// The new content of a file whose present content is valid.
fn edited_bytes(
    document: &Document,
    bytes: &[u8],
    table: &Table,
    edit: &CellEdit,
) -> Result<Vec<u8>, Findings> {
    let next_number = next_number(document, table)?;
    let [number_record, header_record, rows @ ..] = document.records.as_slice() else {
        unreachable!("a valid table has a number, a header and rows");
    };
    let header = Header::of(header_record);
    let position = |column| header.index(column).expect("a valid table has all columns");
    let is_wanted = |record: &&Record| {
        record.cell(position(Column::Service)) == edit.service.as_str()
            && record.cell(position(Column::Side)) == edit.side.as_str()
    };
    let Some(row) = rows.iter().find(is_wanted) else {
        let message = format!("no row for `{}@{}`", edit.service, edit.side);
        return Err(one_finding(document.whole(), message));
    };
    let index = position(edit.column);
    if edit.column.is_key() {
        let message = format!("`{}` names the row and can't be set", edit.column);
        return Err(one_finding(document.place(row, index), message));
    }
    if row.cell(index) == edit.value {
        let message = format!("`{}` is already {}", edit.column, quoted(&edit.value));
        return Err(one_finding(document.place(row, index), message));
    }
    let mut edited = bytes[..number_record.span.start].to_vec();
    edited.extend(with_cell(number_record, 1, &next_number.to_string()));
    edited.extend(&bytes[number_record.span.end..row.span.start]);
    edited.extend(with_cell(row, index, &edit.value));
    edited.extend(&bytes[row.span.end..]);
    Ok(edited)
}

fn next_number(document: &Document, table: &Table) -> Result<u64, Findings> {
    let number = table.version().number;
    if number < *NUMBER_BOUNDS.end() {
        return Ok(number + 1);
    }
    let place = document.place(&document.records[0], 1);
    let message = format!("the table's number {number} is the largest there is");
    Err(one_finding(place, message))
}

fn one_finding(place: Place, message: String) -> Findings {
    let mut findings = Findings::default();
    findings.add(place, message);
    findings
}

/// A record as a line of CSV without its end, with one cell replaced.
fn with_cell(record: &Record, index: usize, value: &str) -> Vec<u8> {
    let mut cells = record.cells.clone();
    cells[index] = value.to_owned();
    let mut writer = csv::WriterBuilder::new().from_writer(Vec::new());
    writer.write_record(&cells).expect("memory can be written");
    let mut line = writer.into_inner().expect("memory can be written");
    line.pop();
    line
}
