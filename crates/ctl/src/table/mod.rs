//! Commands on table files.

mod cell;

use lifthollow_state::table::{self, Table, TableDifference};

use crate::arguments::{TableAction, TableCheck, TableDiff, TableSet};
use crate::file;
use crate::outcome::{Outcome, Report};

/// Runs one command on table files.
pub fn run(action: &TableAction) -> anyhow::Result<Report> {
    match action {
        TableAction::Check(arguments) => check(arguments),
        TableAction::Diff(arguments) => diff(arguments),
        TableAction::Set(arguments) => set(arguments),
    }
}

fn check(arguments: &TableCheck) -> anyhow::Result<Report> {
    let table = read_table(&arguments.file)?;
    let version = table.version();
    let row_count = table.rows().count();
    let file = &arguments.file;
    Ok(Report::done(format!(
        "{file}: version {version}, {row_count} rows, no findings"
    )))
}

fn diff(arguments: &TableDiff) -> anyhow::Result<Report> {
    let (before, after) = read_both(&arguments.a, &arguments.b)?;
    let difference = TableDifference::between(&before, &after);
    let outcome = match difference.is_empty() {
        true => Outcome::Done,
        false => Outcome::Different,
    };
    Ok(Report {
        text: difference.to_string(),
        outcome,
    })
}

/// Reads two tables; findings of both are reported together.
fn read_both(first: &str, second: &str) -> anyhow::Result<(Table, Table)> {
    let first_bytes = file::read(first)?;
    let second_bytes = file::read(second)?;
    let first = table::parse(first, &first_bytes);
    let second = table::parse(second, &second_bytes);
    match (first, second) {
        (Ok(first), Ok(second)) => Ok((first, second)),
        (Err(mut findings), Err(others)) => {
            findings.append(others);
            Err(findings.into())
        }
        (Err(findings), Ok(_)) | (Ok(_), Err(findings)) => Err(findings.into()),
    }
}

fn set(arguments: &TableSet) -> anyhow::Result<Report> {
    let edits = cell::parse_edits(&arguments.cells)?;
    let lock = file::Lock::acquire(&arguments.file)?;
    let before_bytes = file::read(&arguments.file)?;
    let before = table::parse(&arguments.file, &before_bytes)?;
    let edited = table::edit(&arguments.file, &before_bytes, &edits)?;
    lock.replace(&edited.bytes)?;
    let difference = TableDifference::between(&before, &edited.table);
    Ok(Report::done(difference.to_string()))
}

fn read_table(path: &str) -> anyhow::Result<Table> {
    let bytes = file::read(path)?;
    Ok(table::parse(path, &bytes)?)
}
