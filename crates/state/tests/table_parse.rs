//! Tests of parsing and validating a table file.

use lifthollow_state::finding::{Findings, Place};
use lifthollow_state::table::{self, MAX_FILE_BYTES, MAX_RECORDS, Table};
use lifthollow_state::{PriorityClass, ServiceName, Side};

const HEADER: &str = "service,side,weight,max_in_flight,max_queue,max_connections,\
                      class,repeatable,deadline_ms";

fn file_with(rows: &str) -> String {
    format!("lifthollow-table,7\n{HEADER}\n{rows}")
}

fn findings_of(text: impl AsRef<[u8]>) -> Findings {
    table::parse("t.csv", text.as_ref()).expect_err("the table has faults")
}

fn table_of(text: impl AsRef<[u8]>) -> Table {
    table::parse("t.csv", text.as_ref()).unwrap_or_else(|findings| panic!("{findings}"))
}

fn places(findings: &Findings) -> Vec<String> {
    findings
        .iter()
        .map(|finding| finding.place.to_string())
        .collect()
}

const FEEDS: &str =
    "feeds,old,90,16,32,110,normal,yes,800\nfeeds,new,10,16,32,110,normal,yes,800\n";

#[test]
fn parses_a_valid_table() {
    let table = table_of(file_with(FEEDS));
    assert_eq!(table.version().number, 7);
    let row = table.row(&ServiceName::new("feeds"), Side::New).unwrap();
    assert_eq!((row.weight, row.max_in_flight, row.max_queue), (10, 16, 32));
    assert_eq!(
        (row.max_connections, row.class),
        (110, PriorityClass::Normal)
    );
    assert!(row.repeatable);
    assert_eq!(row.deadline.as_millis(), 800);
}

#[test]
fn parses_line_ends_quotes_and_padding_of_spreadsheets() {
    let plain = table_of(file_with(FEEDS));
    let windows = format!("\u{feff}{}", file_with(FEEDS).replace('\n', "\r\n"));
    assert_eq!(table_of(windows), plain);
    let old_mac = file_with(FEEDS).replace('\n', "\r");
    assert_eq!(table_of(old_mac), plain);
    let all_quoted = file_with(FEEDS)
        .lines()
        .map(|line| format!("\"{}\"\r\n", line.replace(',', "\",\"")))
        .collect::<String>();
    assert_eq!(table_of(all_quoted), plain);
    let padded = file_with(FEEDS).replace(',', " ,\u{a0}");
    assert_eq!(table_of(padded), plain);
    let padded_quotes = file_with(FEEDS).replace("old,", " \"old\" ,");
    assert_eq!(table_of(padded_quotes), plain);
    let blank_rows = format!("\n\n{}\n,,,,,,,,\n  \n", file_with(FEEDS));
    assert_eq!(table_of(blank_rows), plain);
    let trailing_cells = file_with(FEEDS).replace("-table,7", "-table,7,,,,,,,");
    assert_eq!(table_of(trailing_cells), plain);
}

#[test]
fn parses_columns_in_any_order() {
    let text = "lifthollow-table,7\n\
                deadline_ms,repeatable,class,max_connections,max_queue,max_in_flight,weight,side,service\n\
                800,yes,normal,110,32,16,90,old,feeds\n800,yes,normal,110,32,16,10,new,feeds\n";
    assert_eq!(table_of(text), table_of(file_with(FEEDS)));
}

#[test]
fn reports_every_invalid_cell_with_its_location() {
    let rows = "Feeds,old,90,16,32,110,normal,yes,800\n\
                audio,west,10001,0,65536,0,urgent,maybe,0\n\
                ads,old,-1,+5,1.5,\"1,000\",,1,3600001\n";
    let findings = findings_of(file_with(rows));
    let expected = [
        "3:1", "4:2", "4:3", "4:4", "4:5", "4:6", "4:7", "4:8", "4:9", "5:3", "5:4", "5:5", "5:6",
        "5:7", "5:8", "5:9",
    ];
    assert_eq!(
        places(&findings),
        expected.map(|place| format!("t.csv:{place}"))
    );
    let text = findings.to_string();
    assert!(text.contains("t.csv:4:4: `max_in_flight`: `0` is not a whole number from 1 to 65535"));
    assert_eq!(text.lines().count(), expected.len());
}

#[test]
fn row_numbers_count_blank_lines_and_quoted_line_ends() {
    for line_end in ["\n", "\r\n", "\r"] {
        let text = format!(
            "\n{}\n\"bad\nname\",old,1,1,1,1,normal,yes,1\n\nx,up,1,1,1,1,normal,yes,1\n",
            file_with(FEEDS)
        );
        let findings = findings_of(text.replace('\n', line_end));
        assert_eq!(
            places(&findings),
            ["t.csv:7:1", "t.csv:10:2"],
            "{line_end:?}"
        );
    }
}

#[test]
fn reports_an_invalid_first_record() {
    let cases = [
        ("", "t.csv: the file is empty"),
        ("table,7\n", "t.csv:1:1: the first row must be"),
        ("lifthollow-table;7\n", "commas between the cells"),
        (
            "lifthollow-table\n",
            "t.csv:1:2: the table's number: `` is not",
        ),
        ("lifthollow-table,0\n", "t.csv:1:2: the table's number: `0`"),
        ("lifthollow-table,1000000000000000\n", "t.csv:1:2:"),
        ("lifthollow-table,7,8\n", "t.csv:1:3: `8` stands beyond"),
        ("lifthollow-table,7\n", "t.csv: no header"),
    ];
    for (text, expected) in cases {
        let shown = findings_of(text).to_string();
        assert!(shown.contains(expected), "{text:?} gave {shown}");
    }
}

#[test]
fn reports_unknown_missing_and_repeated_columns() {
    let header = HEADER.replace("class,", "Class,weight,");
    let findings = findings_of(format!("lifthollow-table,7\n{header}\n"));
    let text = findings.to_string();
    assert!(text.contains("t.csv:2:7: `Class` is no column"), "{text}");
    assert!(
        text.contains("t.csv:2:8: column `weight` stands twice"),
        "{text}"
    );
    assert!(text.contains("column `class` is missing"), "{text}");
    assert!(text.contains("the table has no rows"), "{text}");
    assert_eq!(findings.len(), 4);
}

#[test]
fn reports_conflicts_between_rows_of_a_service() {
    let rows = "feeds,old,0,16,32,110,normal,yes,800\n\
                feeds,new,0,16,32,110,critical,no,900\n\
                feeds,new,1,16,32,110,normal,yes,800\n\
                audio,new,0,1,1,1,normal,yes,800\n\
                lifthollow-table,8\n";
    let findings = findings_of(file_with(rows));
    assert_eq!(
        places(&findings),
        ["3:3", "4:7", "4:8", "4:9", "5:1", "6:3", "7:1"].map(|place| format!("t.csv:{place}"))
    );
    assert!(findings.to_string().contains("already has row 4"));
}

#[test]
fn invalid_cell_does_not_hide_conflicts_between_rows() {
    let rows = "feeds,old,0,0,32,110,normal,yes,800\n\
                feeds,new,0,16,-1,110,critical,yes,x\n\
                feeds,new,1,y,32,110,normal,yes,800\n";
    let findings = findings_of(file_with(rows));
    assert_eq!(
        places(&findings),
        ["3:3", "3:4", "4:5", "4:7", "4:9", "5:1", "5:4"].map(|place| format!("t.csv:{place}"))
    );
}

#[test]
fn reports_cells_beyond_the_header_and_short_rows() {
    let rows = "feeds,old,90,16,32,110,normal,yes,800,,note\nfeeds,new,10,16\n";
    let findings = findings_of(file_with(rows));
    assert_eq!(
        places(&findings),
        ["3:11", "4:5", "4:6", "4:7", "4:8", "4:9"].map(|place| format!("t.csv:{place}"))
    );
}

#[test]
fn reports_text_that_is_not_utf8() {
    let mut bytes = file_with(FEEDS).into_bytes();
    let position = bytes.len() - 4;
    bytes[position] = 0xff;
    let findings = findings_of(&bytes);
    assert!(findings.to_string().contains("is not UTF-8"));
    assert!(places(&findings).contains(&"t.csv:4:9".to_owned()));
    let wide = [0xff, 0xfe, b'l', 0];
    assert!(findings_of(wide).to_string().contains("UTF-16"));
}

#[test]
fn rejects_oversized_files_records_and_cells() {
    let huge = vec![b'x'; MAX_FILE_BYTES + 1];
    let findings = findings_of(huge);
    assert!(matches!(
        findings.iter().next().unwrap().place,
        Place::File(_)
    ));
    let many_rows = file_with(&FEEDS.repeat(MAX_RECORDS / 2));
    assert!(
        findings_of(many_rows)
            .to_string()
            .contains("more than 20000 records")
    );
    let wide_row = file_with(&format!("{}\n", ",".repeat(1_000) + "x"));
    assert!(findings_of(wide_row).to_string().contains("1001 cells"));
    let long_cell = file_with(&format!(
        "{},old,1,1,1,1,normal,yes,1\n",
        "x".repeat(100_000)
    ));
    let shown = findings_of(long_cell).to_string();
    assert!(shown.len() < 300, "{shown}");
}
