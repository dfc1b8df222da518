//! Incremental changes of a table give the same rows and digest as building it from all rows.

use std::time::Duration;

use lifthollow_state::{PriorityClass, ServiceName, Side, Table, TableRow};

fn row(service: u32, weight: u32) -> TableRow {
    TableRow {
        service: ServiceName::new(&format!("service-{service}")),
        side: Side::Old,
        weight,
        max_in_flight: 10,
        max_queue: 20,
        max_connections: 110,
        class: PriorityClass::Normal,
        repeatable: true,
        deadline: Duration::from_secs(1),
    }
}

#[test]
fn with_changes_equals_a_table_built_from_all_rows() {
    let before = Table::new(1, (0..9).map(|service| row(service, 50)));
    let removed = [(ServiceName::new("service-3"), Side::Old)];
    let after = before.with_changes(2, [row(1, 70), row(10, 5)], removed);
    let rows = [0, 2, 4, 5, 6, 7, 8].map(|service| row(service, 50));
    let expected = Table::new(2, rows.into_iter().chain([row(1, 70), row(10, 5)]));
    assert_eq!(after, expected);
}

#[test]
fn changing_one_cell_changes_the_digest() {
    let before = Table::new(1, [row(0, 50), row(1, 50)]);
    let after = Table::new(1, [row(0, 50), row(1, 51)]);
    assert_ne!(before.version().digest, after.version().digest);
}

#[test]
fn swapping_values_between_rows_changes_the_digest() {
    let before = Table::new(1, [row(0, 50), row(1, 60)]);
    let after = Table::new(1, [row(0, 60), row(1, 50)]);
    assert_ne!(before.version().digest, after.version().digest);
}
