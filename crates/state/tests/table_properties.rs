//! Property tests of parsing, writing and editing table files with random tables and input.

use std::collections::BTreeMap;
use std::time::Duration;

use lifthollow_state::identity::MAX_SERVICE_NAME_LENGTH;
use lifthollow_state::table::{
    self, CellEdit, Column, DEADLINE_MS_BOUNDS, MAX_CONNECTIONS_BOUNDS, MAX_IN_FLIGHT_BOUNDS,
    MAX_QUEUE_BOUNDS, NUMBER_BOUNDS, Table, TableDifference, TableRow, WEIGHT_BOUNDS,
};
use lifthollow_state::{PriorityClass, ServiceName, Side};
use quickcheck::{Arbitrary, Gen, QuickCheck, Testable};

const SEED: u64 = 0x6c69_6674;
const SIZE: usize = 40;

fn check(property: impl Testable) {
    let generator = Gen::from_size_and_seed(SIZE, SEED);
    QuickCheck::new()
        .rng(generator)
        .tests(400)
        .quickcheck(property);
}

/// A randomly generated table that passes validation.
#[derive(Clone, Debug)]
struct ValidTable(Table);

fn random_within(generator: &mut Gen, bounds: std::ops::RangeInclusive<u32>) -> u32 {
    let width = bounds.end() - bounds.start() + 1;
    bounds.start() + u32::arbitrary(generator) % width
}

fn random_name(generator: &mut Gen) -> ServiceName {
    let first = generator.choose(b"abz09").copied().unwrap();
    let length = usize::arbitrary(generator) % MAX_SERVICE_NAME_LENGTH;
    let rest = (0..length).map(|_| generator.choose(b"az09-_.").copied().unwrap());
    let bytes: Vec<u8> = std::iter::once(first).chain(rest).collect();
    ServiceName::new(std::str::from_utf8(&bytes).unwrap())
}

fn random_row(generator: &mut Gen, service: &ServiceName, side: Side) -> TableRow {
    TableRow {
        service: service.clone(),
        side,
        weight: random_within(generator, WEIGHT_BOUNDS).max(1),
        max_in_flight: random_within(generator, MAX_IN_FLIGHT_BOUNDS),
        max_queue: random_within(generator, MAX_QUEUE_BOUNDS),
        max_connections: random_within(generator, MAX_CONNECTIONS_BOUNDS),
        class: *generator.choose(&PriorityClass::ALL).unwrap(),
        repeatable: bool::arbitrary(generator),
        deadline: Duration::from_millis(u64::from(random_within(generator, DEADLINE_MS_BOUNDS))),
    }
}

fn random_service_rows(generator: &mut Gen) -> Vec<TableRow> {
    let service = random_name(generator);
    let old = random_row(generator, &service, Side::Old);
    let new = TableRow {
        side: Side::New,
        weight: random_within(generator, WEIGHT_BOUNDS),
        ..old.clone()
    };
    match u8::arbitrary(generator) % 4 {
        0 => vec![old],
        _ => vec![old, new],
    }
}

impl Arbitrary for ValidTable {
    fn arbitrary(generator: &mut Gen) -> Self {
        let count = 1 + usize::arbitrary(generator) % SIZE;
        let services: BTreeMap<ServiceName, Vec<TableRow>> = (0..count)
            .map(|_| random_service_rows(generator))
            .map(|rows| (rows[0].service.clone(), rows))
            .collect();
        let number = u64::arbitrary(generator) % (NUMBER_BOUNDS.end() - 1) + 1;
        ValidTable(Table::new(number, services.into_values().flatten()))
    }
}

#[test]
fn table_is_unchanged_by_writing_and_parsing() {
    fn property(table: ValidTable) -> bool {
        let read = table::parse("t.csv", table.0.to_csv().as_bytes());
        read == Ok(table.0)
    }
    check(property as fn(ValidTable) -> bool);
}

#[test]
fn edit_changes_exactly_one_cell() {
    fn property(table: ValidTable, choice: usize) -> bool {
        let rows: Vec<&TableRow> = table.0.rows().collect();
        let row = rows[choice % rows.len()];
        let value = match row.weight {
            weight if weight == *WEIGHT_BOUNDS.end() => weight - 1,
            weight => weight + 1,
        };
        let edit = CellEdit {
            service: row.service.clone(),
            side: row.side,
            column: Column::Weight,
            value: value.to_string(),
        };
        let edited = table::edit(
            "t.csv",
            table.0.to_csv().as_bytes(),
            std::slice::from_ref(&edit),
        )
        .unwrap();
        let difference = TableDifference::between(&table.0, &edited.table);
        difference.after.number == table.0.version().number + 1
            && difference.added.is_empty()
            && difference.removed.is_empty()
            && difference.changed.len() == 1
            && difference.changed[0].after == edit.value
            && difference.changed[0].before == row.weight.to_string()
            && (&difference.changed[0].service, difference.changed[0].side)
                == (&row.service, row.side)
    }
    check(property as fn(ValidTable, usize) -> bool);
}

#[test]
fn truncated_input_is_parsed_or_rejected_without_a_panic() {
    fn property(table: ValidTable, cut: usize) -> bool {
        let mut bytes = table.0.to_csv().into_bytes();
        bytes.truncate(cut % (bytes.len() + 1));
        // Truncation inside the last deadline may leave a shorter, valid number.
        match table::parse("t.csv", &bytes) {
            Ok(read) => read.rows().count() <= table.0.rows().count(),
            Err(findings) => !findings.is_empty(),
        }
    }
    check(property as fn(ValidTable, usize) -> bool);
}

#[test]
fn damaged_input_is_parsed_or_rejected_without_a_panic() {
    fn property(table: ValidTable, flips: Vec<(usize, u8)>) -> bool {
        let mut bytes = table.0.to_csv().into_bytes();
        for (position, bit) in flips {
            let position = position % bytes.len();
            bytes[position] ^= 1 << (bit % 8);
        }
        // Damaged input that is still accepted must give a table that survives writing and parsing.
        match table::parse("t.csv", &bytes) {
            Ok(read) => table::parse("t.csv", read.to_csv().as_bytes()) == Ok(read),
            Err(findings) => !findings.is_empty(),
        }
    }
    check(property as fn(ValidTable, Vec<(usize, u8)>) -> bool);
}

#[test]
fn arbitrary_bytes_are_rejected_without_a_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        let edit = CellEdit {
            service: ServiceName::new("feeds"),
            side: Side::Old,
            column: Column::Weight,
            value: String::new(),
        };
        table::parse("t.csv", &bytes).is_err() && table::edit("t.csv", &bytes, &[edit]).is_err()
    }
    check(property as fn(Vec<u8>) -> bool);
}
