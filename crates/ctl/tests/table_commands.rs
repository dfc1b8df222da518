//! Tests of `lifthollowctl table`, run as a process.

mod support;

use std::fs;
use std::os::unix::fs::{PermissionsExt, symlink};

use lifthollow_state::table;
use support::{Directory, ctl};

const PAGE: &str = include_str!("../../../docs/operators/table.md");

const TABLE: &str = "lifthollow-table,41\r\n\
    service,side,weight,max_in_flight,max_queue,max_connections,class,repeatable,deadline_ms\r\n\
    top-up,old,90,8,16,130,critical,no,2000\r\n\
    top-up,new,10,8,16,130,critical,no,2000\r\n";

/// Writes a file in the directory and returns its path.
fn write_file(directory: &Directory, name: &str, content: &str) -> String {
    let path = directory.path(name);
    fs::write(&path, content).expect("a file can be written");
    path
}

#[test]
fn check_accepts_a_valid_table_and_names_its_version() {
    let directory = Directory::new();
    let file = write_file(&directory, "table.csv", TABLE);
    let run = ctl(&["table", "check", &file]);
    assert_eq!((run.code, run.errors.as_str()), (0, ""));
    assert!(
        run.output.starts_with(&format!("{file}: version 41 (")),
        "{}",
        run.output
    );
    assert!(
        run.output.ends_with("2 rows, no findings\n"),
        "{}",
        run.output
    );
}

#[test]
fn check_prints_every_finding_and_fails() {
    let directory = Directory::new();
    let text = TABLE.replace(",8,16", ",0,x");
    let file = write_file(&directory, "table.csv", &text);
    let run = ctl(&["table", "check", &file]);
    assert_eq!((run.code, run.output.as_str()), (2, ""));
    let places: Vec<&str> = run
        .errors
        .lines()
        .map(|line| line.split(": ").next().unwrap())
        .collect();
    assert_eq!(
        places,
        ["3:4", "3:5", "4:4", "4:5"].map(|place| format!("{file}:{place}"))
    );
}

#[test]
fn set_writes_the_next_version_which_diff_shows_as_one_cell() {
    let directory = Directory::new();
    let before = write_file(&directory, "before.csv", TABLE);
    let file = write_file(&directory, "table.csv", TABLE);
    let run = ctl(&["table", "set", &file, "top-up@new", "weight", "20"]);
    assert_eq!((run.code, run.errors.as_str()), (0, ""));
    let expected = TABLE
        .replace("table,41", "table,42")
        .replace("new,10", "new,20");
    assert_eq!(fs::read_to_string(&file).unwrap(), expected);
    let diff = ctl(&["table", "diff", &before, &file]);
    assert_eq!((diff.code, &diff.output), (1, &run.output));
    let lines: Vec<&str> = diff.output.lines().skip(1).collect();
    assert_eq!(lines, ["~ top-up@new weight: 10 -> 20"]);
    assert_eq!(ctl(&["table", "diff", &file, &file]).code, 0);
    assert_eq!(directory.names(), ["before.csv", "table.csv"]);
}

#[test]
fn set_changes_cells_that_must_agree_in_one_version() {
    let directory = Directory::new();
    let file = write_file(&directory, "table.csv", TABLE);
    let cells = [
        "top-up@old",
        "class",
        "normal",
        "top-up@new",
        "class",
        "normal",
    ];
    let run = ctl(&[&["table", "set", &file], &cells[..]].concat());
    assert_eq!(run.code, 0, "{}", run.errors);
    let expected = TABLE
        .replace("table,41", "table,42")
        .replace("critical", "normal");
    assert_eq!(fs::read_to_string(&file).unwrap(), expected);
}

#[test]
fn set_that_would_make_an_invalid_table_changes_nothing() {
    let directory = Directory::new();
    let file = write_file(&directory, "table.csv", TABLE);
    let cases: [(&[&str], &str); 8] = [
        (
            &["top-up@new", "max_in_flight", "0"],
            ":4:4: `max_in_flight`",
        ),
        (
            &["top-up@new", "class", "normal"],
            ":4:7: `class` of `top-up`",
        ),
        (&["top-up@new", "side", "old"], ":4:2: `side` names the row"),
        (&["feeds@new", "weight", "1"], "no row for `feeds@new`"),
        (
            &["top-up@west", "weight", "1"],
            "service@side: `west` is not valid",
        ),
        (&["top-up@new", "weight"], "a cell is given by three words"),
        (&[], "a cell is given by three words"),
        (&["top-up", "wait", "1"], "column: `wait` is no column"),
    ];
    for (arguments, expected) in cases {
        let run = ctl(&[&["table", "set", &file], arguments].concat());
        assert_eq!(run.code, 2, "{arguments:?}");
        assert!(
            run.errors.contains(expected),
            "{arguments:?} gave {}",
            run.errors
        );
    }
    assert_eq!(fs::read_to_string(&file).unwrap(), TABLE);
    assert_eq!(directory.names(), ["table.csv"]);
}

#[test]
fn set_keeps_permissions_and_symbolic_links() {
    let directory = Directory::new();
    let file = write_file(&directory, "table.csv", TABLE);
    fs::set_permissions(&file, fs::Permissions::from_mode(0o640)).unwrap();
    let link = directory.path("link.csv");
    symlink(&file, &link).unwrap();
    let run = ctl(&["table", "set", &link, "top-up@new", "weight", "20"]);
    assert_eq!(run.code, 0, "{}", run.errors);
    assert!(fs::symlink_metadata(&link).unwrap().is_symlink());
    assert_eq!(
        fs::metadata(&file).unwrap().permissions().mode() & 0o777,
        0o640
    );
    assert!(fs::read_to_string(&file).unwrap().contains("table,42"));
}

#[test]
fn concurrent_edits_of_a_table_are_all_applied() {
    const EDITORS: u32 = 8;
    let directory = Directory::new();
    let file = write_file(&directory, "table.csv", TABLE);
    std::thread::scope(|scope| {
        for editor in 0..EDITORS {
            let file = &file;
            scope.spawn(move || {
                let weight = (1_000 + editor).to_string();
                let run = ctl(&["table", "set", file, "top-up@new", "weight", &weight]);
                assert_eq!(run.code, 0, "{}", run.errors);
            });
        }
    });
    let table = table::parse(&file, &fs::read(&file).unwrap()).unwrap();
    assert_eq!(table.version().number, 41 + u64::from(EDITORS));
    assert_eq!(directory.names(), ["table.csv"]);
}

#[test]
fn faults_of_both_files_are_reported_together() {
    let directory = Directory::new();
    let first = write_file(&directory, "a.csv", &TABLE.replace("critical", "vital"));
    let second = write_file(&directory, "b.csv", "");
    let run = ctl(&["table", "diff", &first, &second]);
    assert_eq!(run.code, 2);
    assert_eq!(run.errors.lines().count(), 3, "{}", run.errors);
}

#[test]
fn exit_codes_distinguish_file_errors_argument_errors_and_help() {
    let missing = ctl(&["table", "check", "/nonexistent/table.csv"]);
    assert_eq!(missing.code, 4);
    assert!(
        missing
            .errors
            .starts_with("/nonexistent/table.csv: can't be read: ")
    );
    let unknown = ctl(&["table", "publish"]);
    assert_eq!((unknown.code, unknown.output.as_str()), (2, ""));
    let help = ctl(&["--help"]);
    assert_eq!((help.code, help.errors.as_str()), (0, ""));
    assert!(help.output.contains("table set"));
}

/// The lines that the operators' page shows after `text`, up to the next command or
/// the end of the code block.
fn shown_after(text: &str) -> Vec<&'static str> {
    let (_, rest) = PAGE.split_once(text).expect("the page has the text");
    let lines = rest.lines().skip(1);
    lines
        .take_while(|line| !line.starts_with("```") && !line.starts_with("$ "))
        .collect()
}

#[test]
fn examples_of_the_table_page_give_the_output_it_shows() {
    let directory = Directory::new();
    let text = shown_after("```csv").join("\n");
    let file = write_file(&directory, "table.csv", &text);
    let words: Vec<&str> = "top-up@old weight 80 top-up@new weight 20"
        .split(' ')
        .collect();
    let set = ctl(&[&["table", "set", &file], &words[..]].concat());
    let shown = shown_after(&words.join(" "));
    let printed: Vec<&str> = set.output.lines().collect();
    // The first line has the digests, whose digits may differ from those on the page.
    assert_eq!(printed[1..], shown[1..]);

    let broken = text
        .replace("top-up,old,90,8", "top-up,old,90,0")
        .replace("new,10,8,16,130,critical", "new,10,8,16,130,normal");
    let file = write_file(&directory, "broken.csv", &broken);
    let run = ctl(&["table", "check", &file]);
    let errors = run.errors.replace(&file, "broken.csv");
    let printed: Vec<&str> = errors.lines().collect();
    assert_eq!(printed, shown_after("table check broken.csv"));
}
