//! Tests of `lifthollowctl causes`, run as a process.

mod support;

use std::fs;

use support::{Directory, ctl};

const LOG: &str = r#"node-1 {"msg":"started","ts":"2026-12-02T14:05:40.1Z","node":"node-1"}
node-1 {"msg":"attempt not answered","ts":"2026-12-02T14:05:46.1Z","request":"a1.b","service":"media","server":"i-1","outcome":"unknown","why":"answer-lost","held_ms":3}
node-1 {"msg":"request not served","ts":"2026-12-02T14:05:46.2Z","request":"a1.b","service":"media","nested":true,"outcome":"unknown","why":"answer-lost","held_ms":3}
{"msg":"request not served","ts":"2026-12-02T14:05:46.3Z","request":"a2","service":"feeds","nested":false,"outcome":"refused","why":"overloaded"}
{"msg":"request not served","ts":"2026-12-02T14:05:47.1Z","request":"a3","service":"feeds","nested":false,"outcome":"refused","why":"overloaded"}
{"msg":"request not served","ts":"2026-12-02T14:05:47.2Z","request":"a4","service":"feeds","nested":false,"outcome":"refused","why":"overloaded"}
not a line of ours
{"msg":"request not served","cut off
{"msg":"log lines left out","ts":"2026-12-02T14:05:47.5Z","count":12}
"#;

#[test]
fn causes_are_counted_and_the_most_frequent_comes_first() {
    let directory = Directory::new();
    let file = directory.path("node.log");
    fs::write(&file, LOG).expect("written");
    let run = ctl(&["causes", &file, &file]);
    assert_eq!((run.code, run.errors.as_str()), (0, ""));
    let lines: Vec<&str> = run.output.lines().collect();
    assert_eq!(lines.len(), 5, "{}", run.output);
    assert!(lines[1].starts_with("6 "), "{}", run.output);
    for word in ["feeds", "refused", "overloaded", "2026-12-02T14:05:47 (4)"] {
        assert!(lines[1].contains(word), "{word}: {}", lines[1]);
    }
    assert!(run.output.contains("nested call"));
    assert!(run.output.contains("attempt"));
    assert!(
        lines[4].starts_with("24 lines were left out"),
        "{}",
        lines[4]
    );
}

#[test]
fn causes_of_one_request_include_its_nested_calls() {
    let directory = Directory::new();
    let file = directory.path("node.log");
    fs::write(&file, LOG).expect("written");
    let run = ctl(&["causes", &file, "--request", "a1"]);
    assert_eq!(run.output.lines().count(), 3, "{}", run.output);
    assert!(!run.output.contains("feeds"));
}

#[test]
fn missing_log_file_is_named_in_the_error() {
    let run = ctl(&["causes", "/nowhere/node.log"]);
    assert_eq!(run.code, 4);
    assert!(run.errors.contains("/nowhere/node.log"), "{}", run.errors);
}
