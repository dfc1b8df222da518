//! The cells that `table set` names.

use std::str::FromStr;
use std::sync::Arc;

use lifthollow_state::finding::{Findings, Place, quoted, unknown};
use lifthollow_state::table::{CellEdit, Column};
use lifthollow_state::{ServiceName, Side};

/// Words that name one cell and its new text.
const WORDS_OF_ONE_CELL: usize = 3;

/// Reads the arguments that name cells; all faults are reported together.
pub(super) fn edits_of(words: &[String]) -> Result<Vec<CellEdit>, Findings> {
    let mut findings = Findings::default();
    let (cells, rest) = words.as_chunks::<WORDS_OF_ONE_CELL>();
    if words.is_empty() || !rest.is_empty() {
        let message = "a cell is given by three words: SERVICE@SIDE COLUMN VALUE";
        findings.add(argument("service@side column value"), message);
    }
    let edits = cells
        .iter()
        .filter_map(|cell| edit_of(cell, &mut findings))
        .collect();
    match findings.is_empty() {
        true => Ok(edits),
        false => Err(findings),
    }
}

fn edit_of(
    [row, column, value]: &[String; WORDS_OF_ONE_CELL],
    findings: &mut Findings,
) -> Option<CellEdit> {
    let row = read(row_of(row), "service@side", findings);
    let column = read(column_of(column), "column", findings);
    let (service, side) = row?;
    Some(CellEdit {
        service,
        side,
        column: column?,
        value: value.trim().to_owned(),
    })
}

fn read<T>(result: Result<T, String>, name: &str, findings: &mut Findings) -> Option<T> {
    result
        .map_err(|message| findings.add(argument(name), message))
        .ok()
}

fn argument(name: &str) -> Place {
    Place::Argument(Arc::from(name))
}

fn row_of(text: &str) -> Result<(ServiceName, Side), String> {
    let Some((service, side)) = text.split_once('@') else {
        return Err(format!("{} is not SERVICE@SIDE", quoted(text)));
    };
    let service = ServiceName::from_str(service).map_err(|fault| unknown(service, fault))?;
    let side = Side::from_str(side).map_err(|fault| unknown(side, fault))?;
    Ok((service, side))
}

fn column_of(text: &str) -> Result<Column, String> {
    let known = Column::list();
    Column::from_name(text)
        .ok_or_else(|| format!("{} is no column; known are {known}", quoted(text)))
}
