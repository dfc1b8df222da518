//! Tests of editing cells of a table file and of comparing two tables.

use lifthollow_state::table::{self, CellEdit, Column, TableDifference};
use lifthollow_state::{ServiceName, Side};

const TABLE: &str = "\u{feff}lifthollow-table,41,,,,,,,\r\n\
    service,side,weight,max_in_flight,max_queue,max_connections,class,repeatable,deadline_ms\r\n\
    \"top-up\",old, 90 ,8,16,130,critical,no,2000\r\n\
    ,,,,,,,,\r\n\
    balance,old,100,\"10\",20,130,normal,yes,800\r\n\
    top-up,new,10,8,16,130,critical,no,2000";

fn cell_edit(side: Side, column: Column, value: &str) -> CellEdit {
    CellEdit {
        service: ServiceName::new("top-up"),
        side,
        column,
        value: value.to_owned(),
    }
}

fn edit_error(edit: &CellEdit) -> String {
    let findings = table::edit("t.csv", TABLE.as_bytes(), std::slice::from_ref(edit));
    findings.expect_err("the edit is refused").to_string()
}

#[test]
fn edit_changes_the_number_and_one_record_and_keeps_every_other_byte() {
    let edit = cell_edit(Side::Old, Column::Weight, "80");
    let edited = table::edit("t.csv", TABLE.as_bytes(), &[edit]).unwrap();
    let expected = TABLE
        .replace("table,41", "table,42")
        .replace("\"top-up\",old, 90 ,", "top-up,old,80,");
    assert_eq!(String::from_utf8(edited.bytes).unwrap(), expected);
    assert_eq!(edited.table.version().number, 42);
}

#[test]
fn several_edits_raise_the_table_number_once() {
    let edits = [
        cell_edit(Side::New, Column::Class, "normal"),
        cell_edit(Side::Old, Column::Class, "normal"),
        cell_edit(Side::Old, Column::Weight, "80"),
    ];
    let edited = table::edit("t.csv", TABLE.as_bytes(), &edits).unwrap();
    let before = table::parse("t.csv", TABLE.as_bytes()).unwrap();
    let difference = TableDifference::between(&before, &edited.table);
    assert_eq!(difference.after.number, 42);
    assert_eq!(difference.changed.len(), 3);
}

#[test]
fn errors_of_several_edits_are_reported_together() {
    let edits = [
        cell_edit(Side::New, Column::Weight, "20"),
        cell_edit(Side::New, Column::Weight, "30"),
        cell_edit(Side::Old, Column::Side, "new"),
    ];
    let findings = table::edit("t.csv", TABLE.as_bytes(), &edits).unwrap_err();
    let shown = findings.to_string();
    assert!(
        shown.contains("`weight` of `top-up@new` is set twice"),
        "{shown}"
    );
    assert_eq!(findings.len(), 2);
}

#[test]
fn edit_of_the_last_record_keeps_its_missing_line_terminator() {
    let edit = cell_edit(Side::New, Column::MaxQueue, "0");
    let edited = table::edit("t.csv", TABLE.as_bytes(), &[edit]).unwrap();
    assert!(
        edited
            .bytes
            .ends_with(b"\r\ntop-up,new,10,8,0,130,critical,no,2000")
    );
}

#[test]
fn invalid_edit_is_rejected_with_the_location_of_its_error() {
    let cases = [
        (
            cell_edit(Side::New, Column::Weight, "10001"),
            "t.csv:6:3: `weight`: `10001`",
        ),
        (
            cell_edit(Side::New, Column::Weight, "1\n2"),
            "t.csv:6:3: `weight`: `1\\n2`",
        ),
        (
            cell_edit(Side::New, Column::Weight, "10"),
            "t.csv:6:3: `weight` is already",
        ),
        (
            cell_edit(Side::New, Column::Side, "old"),
            "t.csv:6:2: `side` names the row",
        ),
        (
            cell_edit(Side::New, Column::Class, "normal"),
            "t.csv:6:7: `class` of `top-up`",
        ),
    ];
    for (edit, expected) in cases {
        let shown = edit_error(&edit);
        assert!(shown.starts_with(expected), "{edit:?} gave {shown}");
    }
    let mut unknown = cell_edit(Side::New, Column::Weight, "1");
    unknown.service = ServiceName::new("balance");
    assert_eq!(edit_error(&unknown), "t.csv: no row for `balance@new`");
}

#[test]
fn edit_is_rejected_at_the_largest_table_number() {
    let last = TABLE.replace("table,41", "table,999999999999999");
    let edit = cell_edit(Side::Old, Column::Weight, "80");
    let findings = table::edit("t.csv", last.as_bytes(), &[edit]).unwrap_err();
    assert!(findings.to_string().contains("is the largest there is"));
}

#[test]
fn difference_lists_added_and_removed_rows_and_changed_cells() {
    let before = table::parse("a.csv", TABLE.as_bytes()).unwrap();
    let text = TABLE
        .replace("table,41", "table,42")
        .replace("balance,old", "receipts,old")
        .replace("new,10,8", "new,20,9");
    let after = table::parse("b.csv", text.as_bytes()).unwrap();
    let difference = TableDifference::between(&before, &after);
    let shown = difference.to_string();
    let lines: Vec<&str> = shown.lines().skip(1).collect();
    assert_eq!(
        lines,
        [
            "+ receipts,old,100,10,20,130,normal,yes,800",
            "- balance,old,100,10,20,130,normal,yes,800",
            "~ top-up@new weight: 10 -> 20",
            "~ top-up@new max_in_flight: 8 -> 9",
        ]
    );
    assert!(shown.starts_with("version 41 ("));
    assert!(TableDifference::between(&before, &before).is_empty());
}
