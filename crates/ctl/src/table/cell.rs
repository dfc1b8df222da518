//! Parses the cells that are given to `table set`.

use std::str::FromStr;
use std::sync::Arc;

use lifthollow_state::finding::{Findings, Place, quoted, unknown};
use lifthollow_state::table::{CellEdit, Column};
use lifthollow_state::{ServiceName, Side};

/// Number of arguments that give one cell and its new value.
const ARGUMENTS_PER_CELL: usize = 3;

/// Parses the arguments that give cells; all faults are reported together.
pub(super) fn parse_edits(words: &[String]) -> Result<Vec<CellEdit>, Findings> {
    let mut findings = Findings::default();
    let (cells, rest) = words.as_chunks::<ARGUMENTS_PER_CELL>();
    if words.is_empty() || !rest.is_empty() {
        let message = "a cell is given by three words: SERVICE@SIDE COLUMN VALUE";
        findings.add(argument("service@side column value"), message);
    }
    let edits = cells
        .iter()
        .filter_map(|cell| parse_edit(cell, &mut findings))
        .collect();
    match findings.is_empty() {
        true => Ok(edits),
        false => Err(findings),
    }
}

fn parse_edit(
    [row, column, value]: &[String; ARGUMENTS_PER_CELL],
    findings: &mut Findings,
) -> Option<CellEdit> {
    let row = read(parse_row(row), "service@side", findings);
    let column = read(parse_column(column), "column", findings);
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

fn parse_row(text: &str) -> Result<(ServiceName, Side), String> {
    let Some((service, side)) = text.split_once('@') else {
        return Err(format!("{} is not SERVICE@SIDE", quoted(text)));
    };
    let service = ServiceName::from_str(service).map_err(|fault| unknown(service, fault))?;
    let side = Side::from_str(side).map_err(|fault| unknown(side, fault))?;
    Ok((service, side))
}

fn parse_column(text: &str) -> Result<Column, String> {
    let known = Column::list();
    Column::from_name(text)
        .ok_or_else(|| format!("{} is no column; known are {known}", quoted(text)))
}
