//! Splits a table file into CSV records with their locations, before the values are validated.

use std::ops::Range;
use std::sync::Arc;

use crate::finding::{Findings, Place, quoted};

/// Maximum size of a table file, bytes. A table of 410 services has about 64 KiB.
pub const MAX_FILE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of records in a table file.
pub const MAX_RECORDS: usize = 20_000;
/// Maximum number of cells in one record.
pub const MAX_CELLS: usize = 64;

const UTF8_BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";
const UTF16_BYTE_ORDER_MARKS: [&[u8]; 2] = [b"\xff\xfe", b"\xfe\xff"];

/// One record of the file that is not blank.
#[derive(Debug)]
pub(super) struct Record {
    /// Number of the line on which the record begins, from 1.
    pub(super) row: usize,
    /// Byte range of the record in the file, without its line terminator.
    pub(super) span: Range<usize>,
    /// Texts of the record's cells, without surrounding white space.
    pub(super) cells: Vec<String>,
}

impl Record {
    /// Returns the text of the cell at `index`, or an empty text if the record is too short.
    pub(super) fn cell(&self, index: usize) -> &str {
        self.cells.get(index).map_or("", String::as_str)
    }
}

/// The records of a table file.
#[derive(Debug)]
pub(super) struct Document {
    /// Name of the file, for the locations of findings.
    pub(super) file: Arc<str>,
    /// All records that are not blank.
    pub(super) records: Vec<Record>,
}

impl Document {
    /// Splits a file into records. Errors in encoding and size are added to
    /// `findings`; the records that can be read are returned nevertheless.
    pub(super) fn read(file_name: &str, bytes: &[u8], findings: &mut Findings) -> Self {
        let mut document = Document {
            file: Arc::from(file_name),
            records: Vec::new(),
        };
        if document.is_readable(bytes, findings) {
            document.read_records(bytes, findings);
        }
        document
    }

    /// Returns the location of the cell at `index`, from 0, of a record.
    pub(super) fn place(&self, record: &Record, index: usize) -> Place {
        Place::cell(&self.file, record.row, index + 1)
    }

    /// Returns the location that denotes the file as a whole.
    pub(super) fn whole(&self) -> Place {
        Place::File(Arc::clone(&self.file))
    }

    fn is_readable(&self, bytes: &[u8], findings: &mut Findings) -> bool {
        if bytes.len() > MAX_FILE_BYTES {
            let size = bytes.len();
            let message = format!("the file has {size} bytes; at most {MAX_FILE_BYTES} are read");
            findings.add(self.whole(), message);
            return false;
        }
        if UTF16_BYTE_ORDER_MARKS
            .iter()
            .any(|mark| bytes.starts_with(mark))
        {
            findings.add(self.whole(), "the file is UTF-16; save it as CSV in UTF-8");
            return false;
        }
        true
    }

    fn read_records(&mut self, bytes: &[u8], findings: &mut Findings) {
        let mark_length = match bytes.starts_with(UTF8_BYTE_ORDER_MARK) {
            true => UTF8_BYTE_ORDER_MARK.len(),
            false => 0,
        };
        let mut reader = csv::ReaderBuilder::new()
            .has_headers(false)
            .flexible(true)
            .from_reader(&bytes[mark_length..]);
        let mut lines = LineCounter::new(bytes);
        let mut raw = csv::ByteRecord::new();
        let mut begin = mark_length;
        while let Ok(true) = reader.read_byte_record(&mut raw) {
            let end = mark_length + reader.position().byte() as usize;
            let span = trim_line_ends(bytes, begin..end);
            begin = end;
            let row = lines.row_at(span.start);
            if self.records.len() == MAX_RECORDS {
                let place = Place::cell(&self.file, row, 1);
                findings.add(place, format!("more than {MAX_RECORDS} records"));
                return;
            }
            self.add_record(&raw, row, span, findings);
        }
    }

    fn add_record(
        &mut self,
        raw: &csv::ByteRecord,
        row: usize,
        span: Range<usize>,
        findings: &mut Findings,
    ) {
        if raw.len() > MAX_CELLS {
            let place = Place::cell(&self.file, row, MAX_CELLS + 1);
            let message = format!("{} cells in one record; at most {MAX_CELLS}", raw.len());
            findings.add(place, message);
        }
        let mut cells = Vec::with_capacity(raw.len().min(MAX_CELLS));
        for (index, cell) in raw.iter().take(MAX_CELLS).enumerate() {
            let text = String::from_utf8_lossy(cell);
            if std::str::from_utf8(cell).is_err() {
                let place = Place::cell(&self.file, row, index + 1);
                findings.add(place, format!("{} is not UTF-8", quoted(&text)));
            }
            cells.push(trim_cell(&text).to_owned());
        }
        if cells.iter().any(|cell| !cell.is_empty()) {
            self.records.push(Record { row, span, cells });
        }
    }
}

/// Returns the cell's text without surrounding white space, and without quotes that
/// the CSV reader took for text because white space precedes them.
fn trim_cell(cell: &str) -> &str {
    let trimmed = cell.trim();
    trimmed
        .strip_prefix('"')
        .and_then(|rest| rest.strip_suffix('"'))
        .map_or(trimmed, str::trim)
}

/// Returns `span` without line terminators at its beginning and its end.
fn trim_line_ends(bytes: &[u8], span: Range<usize>) -> Range<usize> {
    let is_text = |byte: &u8| !matches!(byte, b'\r' | b'\n');
    let slice = &bytes[span.clone()];
    let begin = slice.iter().position(is_text).unwrap_or(slice.len());
    let end = slice
        .iter()
        .rposition(is_text)
        .map_or(begin, |last| last + 1);
    span.start + begin..span.start + end
}

/// Counts lines up to increasing byte positions in a file; `\n`, `\r\n` and `\r` end a line.
struct LineCounter<'a> {
    bytes: &'a [u8],
    position: usize,
    row: usize,
}

impl<'a> LineCounter<'a> {
    fn new(bytes: &'a [u8]) -> Self {
        LineCounter {
            bytes,
            position: 0,
            row: 1,
        }
    }

    fn row_at(&mut self, position: usize) -> usize {
        while self.position < position {
            let next = self.bytes.get(self.position + 1);
            match self.bytes[self.position] {
                b'\n' => self.row += 1,
                b'\r' if next != Some(&b'\n') => self.row += 1,
                _ => {}
            }
            self.position += 1;
        }
        self.row
    }
}
