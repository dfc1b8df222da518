//! Tests of settings from file and flags, and of their checks.

use std::time::Duration;

use argh::FromArgs;
use lifthollow_coordination::policy::PolicyKind;
use lifthollow_daemon::settings::{self, Flags, Key};
use lifthollow_state::{Side, Zone};

const FILE: &str = r#"
node = "10.0.1.5:7000"
callers = "127.0.0.1:0"
operators = "10.0.1.5:7200"
side = "old"
zone = 3
platform_table = "10.0.0.2:8080"
seed_nodes = ["10.0.1.6:7000", "10.0.1.7:7000"]

[[backends]]
service = "feeds"
address = "127.0.0.1:9000"
"#;

fn flags(arguments: &[&str]) -> Flags {
    Flags::from_args(&["lifthollowd"], arguments).expect("the flags are known")
}

fn faults(file: Option<&str>, arguments: &[&str]) -> String {
    let file = file.map(|text| ("n.toml", text));
    settings::parse(file, &flags(arguments))
        .expect_err("the settings have faults")
        .to_string()
}

#[test]
fn file_gives_settings_and_defaults_fill_the_rest() {
    let settings = settings::parse(Some(("n.toml", FILE)), &flags(&[])).unwrap();
    assert_eq!(settings.node.to_string(), "10.0.1.5:7000");
    assert_eq!(settings.callers.port(), 0);
    assert_eq!((settings.side, settings.zone), (Side::Old, Zone(3)));
    assert_eq!(settings.seed_nodes.len(), 2);
    assert_eq!(settings.backends[0].service.as_str(), "feeds");
    assert_eq!(settings.policy, PolicyKind::Lifthollow);
    assert_eq!(settings.platform_machines, None);
    assert_eq!(settings.stop_timeout, Duration::from_secs(600));
    assert_eq!((settings.call_threads, settings.random_seed), (2, None));
}

#[test]
fn flags_override_the_file_and_replace_its_lists() {
    let arguments = [
        "--zone",
        "4",
        "--policy",
        "static-limits",
        "--seed-node",
        "10.0.1.9:7000",
        "--backend",
        "audio=127.0.0.1:9001",
        "--random-seed",
        "18446744073709551615",
        "--log-level",
        "debug",
        "--stop-timeout-seconds",
        "30",
    ];
    let settings = settings::parse(Some(("n.toml", FILE)), &flags(&arguments)).unwrap();
    assert_eq!(settings.zone, Zone(4));
    assert_eq!(settings.policy, PolicyKind::StaticLimits);
    assert_eq!(settings.seed_nodes.len(), 1);
    assert_eq!(settings.backends[0].service.as_str(), "audio");
    assert_eq!(settings.random_seed, Some(u64::MAX));
    assert_eq!(settings.log_level, slog::Level::Debug);
    assert_eq!(settings.stop_timeout, Duration::from_secs(30));
}

#[test]
fn faults_of_file_and_flags_are_reported_together_with_their_places() {
    let file = FILE
        .replace("zone = 3", "zone = 70000")
        .replace("\"old\"", "true")
        .replace("\"10.0.1.6:7000\"", "\"10.0.1.6:0\"")
        .replace("service =", "name =")
        + "\n[limits]\nqueue = 1\n";
    let text = faults(Some(&file), &["--policy", "none", "--call-threads", "0"]);
    let expected = [
        "n.toml:5:8: `side` is a string or a number, not true or false",
        "n.toml:6:8: `zone`: `70000` is not a whole number from 0 to 65535",
        "n.toml:8:15: `seed_nodes`: `10.0.1.6:0` is not valid",
        "n.toml:10:1: the back end's `service` is missing",
        "n.toml:11:1: `name` is not a key of a back end",
        "n.toml:14:2: `limits` is not a setting",
        "--call-threads: `call_threads`: `0` is not a whole number from 1 to 64",
        "--policy: `policy`: `none` is not valid",
    ];
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), expected.len(), "{text}");
    for (line, expected) in lines.iter().zip(expected) {
        assert!(line.starts_with(expected), "{line} instead of {expected}");
    }
}

#[test]
fn every_syntax_fault_of_the_file_is_reported() {
    let file = "node = 10.0.1.5:7000\nside = \"old\"\nzone 3\n";
    let text = faults(Some(file), &[]);
    assert!(text.contains("n.toml:1:"), "{text}");
    assert!(text.contains("n.toml:3:"), "{text}");
    assert!(!text.contains("`side` is missing"), "{text}");
}

#[test]
fn missing_settings_are_named_with_their_flags() {
    let text = faults(None, &[]);
    for flag in [
        "--node",
        "--callers",
        "--operators",
        "--side",
        "--zone",
        "--platform-table",
    ] {
        assert!(text.contains(&format!("{flag}: ")), "{flag} in {text}");
    }
    assert_eq!(text.lines().count(), 6, "{text}");
}

#[test]
fn unusable_addresses_are_refused() {
    let cases: [(&[&str], &str); 7] = [
        (&["--node", "0.0.0.0:7000"], "--node: `node`"),
        (&["--node", "[::1]:7000"], "--node: `node`"),
        (&["--callers", "10.0.1.5:7200"], "is also the address of"),
        (&["--platform-table", "0.0.0.0:80"], "--platform-table: "),
        (
            &["--backend", "feeds"],
            "--backend: `feeds` is not SERVICE=IP:PORT",
        ),
        (
            &["--backend", "Feeds=127.0.0.1:1"],
            "--backend: `service`: `Feeds`",
        ),
        (
            &["--backend", "a=127.0.0.1:1", "--backend", "a=127.0.0.1:2"],
            "already has a back end",
        ),
    ];
    for (arguments, expected) in cases {
        let text = faults(Some(FILE), arguments);
        assert!(text.contains(expected), "{arguments:?} gave {text}");
        assert_eq!(text.lines().count(), 1, "{text}");
    }
}

#[test]
fn missing_settings_file_is_reported_as_a_finding() {
    let found = settings::load(&flags(&["--settings", "/nonexistent/n.toml"])).unwrap_err();
    assert!(
        found
            .to_string()
            .starts_with("/nonexistent/n.toml: can't be read")
    );
}

#[test]
fn settings_page_has_a_valid_example_and_every_key() {
    const PAGE: &str = include_str!("../../../docs/operators/settings.md");
    let (_, rest) = PAGE.split_once("```toml").unwrap();
    let (example, _) = rest.split_once("```").unwrap();
    let settings = settings::parse(Some(("n.toml", example)), &flags(&[]));
    assert!(settings.is_ok(), "{settings:?}");
    for key in Key::ALL {
        let row = format!("| `{key}` | `{}", key.flag());
        assert!(PAGE.contains(&row), "{key}");
    }
}

#[test]
fn help_names_the_flag_of_every_setting() {
    let help = Flags::from_args(&["lifthollowd"], &["--help"]).unwrap_err();
    for key in Key::ALL {
        assert!(help.output.contains(&key.flag()), "{key}");
    }
}
