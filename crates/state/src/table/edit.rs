//! Edits single cells of a table file and leaves all other bytes unchanged.

use std::collections::BTreeMap;

use super::document::{Document, Record};
use super::header::Header;
use super::{Column, NUMBER_BOUNDS, Table, parse, parse_document_and_table};
use crate::finding::{Findings, quoted};
use crate::{ServiceName, Side};

const NUMBER_INDEX: usize = 1;

/// An edit of one cell: the cell and its new text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellEdit {
    /// Service of the row to be edited.
    pub service: ServiceName,
    /// Side of the row to be edited.
    pub side: Side,
    /// Column of the cell to be edited.
    pub column: Column,
    /// New text of the cell.
    pub value: String,
}

/// An edited table file: its content and the table parsed from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EditedFile {
    /// The new content of the file.
    pub bytes: Vec<u8>,
    /// The table parsed from the new content.
    pub table: Table,
}

/// Creates the next version of a table file: raises the table number by one and
/// changes some cells. All bytes of other records stay unchanged.
///
/// The file is validated in full before and after the change; `file_name` is only
/// used in the locations of findings.
pub fn edit(file_name: &str, bytes: &[u8], edits: &[CellEdit]) -> Result<EditedFile, Findings> {
    let (document, table) = parse_document_and_table(file_name, bytes)?;
    let mut editor = Editor {
        header: Header::of(&document.records[1]),
        document: &document,
        findings: Findings::default(),
        changed: BTreeMap::new(),
    };
    editor.raise_number(&table);
    for edit in edits {
        editor.set(edit);
    }
    if !editor.findings.is_empty() {
        return Err(editor.findings);
    }
    let bytes = editor.write(bytes);
    let table = parse(file_name, &bytes)?;
    Ok(EditedFile { bytes, table })
}

/// Pending edits of a valid document.
struct Editor<'a> {
    document: &'a Document,
    header: Header,
    findings: Findings,
    /// New texts of cells, by record index and then cell index.
    changed: BTreeMap<usize, BTreeMap<usize, String>>,
}

impl Editor<'_> {
    fn raise_number(&mut self, table: &Table) {
        let number = table.version().number;
        if number < *NUMBER_BOUNDS.end() {
            self.change(0, NUMBER_INDEX, (number + 1).to_string());
            return;
        }
        let place = self.document.place(&self.document.records[0], NUMBER_INDEX);
        let message = format!("the table's number {number} is the largest there is");
        self.findings.add(place, message);
    }

    fn set(&mut self, edit: &CellEdit) {
        let CellEdit {
            service,
            side,
            column,
            value,
        } = edit;
        let Some(record_index) = self.find_record(service, *side) else {
            let message = format!("no row for `{service}@{side}`");
            self.findings.add(self.document.whole(), message);
            return;
        };
        let Some(cell_index) = self.header.index(*column) else {
            return;
        };
        let record = &self.document.records[record_index];
        let fault = if column.is_key() {
            format!("`{column}` names the row and can't be set")
        } else if record.cell(cell_index) == value {
            format!("`{column}` is already {}", quoted(value))
        } else if self.is_changed(record_index, cell_index) {
            format!("`{column}` of `{service}@{side}` is set twice")
        } else {
            self.change(record_index, cell_index, value.clone());
            return;
        };
        let place = self.document.place(record, cell_index);
        self.findings.add(place, fault);
    }

    /// Returns the index of the record with the row of a service and side.
    fn find_record(&self, service: &ServiceName, side: Side) -> Option<usize> {
        let service_index = self.header.index(Column::Service)?;
        let side_index = self.header.index(Column::Side)?;
        self.document.records.iter().position(|record| {
            record.cell(service_index) == service.as_str()
                && record.cell(side_index) == side.as_str()
        })
    }

    fn is_changed(&self, record_index: usize, cell_index: usize) -> bool {
        self.changed
            .get(&record_index)
            .is_some_and(|cells| cells.contains_key(&cell_index))
    }

    fn change(&mut self, record_index: usize, cell_index: usize, value: String) {
        let cells = self.changed.entry(record_index).or_default();
        cells.insert(cell_index, value);
    }

    /// Returns the file's content with all pending edits applied to `bytes`.
    fn write(&self, bytes: &[u8]) -> Vec<u8> {
        let mut edited = Vec::with_capacity(bytes.len());
        let mut copied = 0;
        for (index, changes) in &self.changed {
            let record = &self.document.records[*index];
            edited.extend(&bytes[copied..record.span.start]);
            edited.extend(line_with_changes(record, changes));
            copied = record.span.end;
        }
        edited.extend(&bytes[copied..]);
        edited
    }
}

/// Returns a record as a CSV line without its line terminator, with some cells replaced.
fn line_with_changes(record: &Record, changes: &BTreeMap<usize, String>) -> Vec<u8> {
    let mut writer = csv::WriterBuilder::new().from_writer(Vec::new());
    for (index, cell) in record.cells.iter().enumerate() {
        let text = changes.get(&index).unwrap_or(cell);
        writer
            .write_field(text)
            .expect("writing a CSV field to memory does not fail");
    }
    // The CSV writer terminates the line only in `write_record`, which is not called here.
    writer
        .into_inner()
        .expect("flushing a CSV writer to memory does not fail")
}
