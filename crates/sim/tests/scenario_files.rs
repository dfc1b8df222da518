//! Scenario files: the built-in ones fit every mesh, bad ones are refused whole.

use lifthollow_sim::mesh::Mesh;
use lifthollow_sim::scenario::{builtin_names, named_scenario, parse_scenario};

#[test]
fn built_in_scenarios_fit_every_mesh() {
    for mesh in Mesh::NAMES.map(|name| Mesh::by_name(name).unwrap()) {
        for name in builtin_names() {
            let scenario = named_scenario(name, &mesh);
            assert!(scenario.is_ok(), "{name} on {}: {scenario:?}", mesh.name);
        }
    }
}

#[test]
fn findings_come_with_their_place_and_together() {
    let text = r#"load = 0.5

[[fault]]
kind = "slow"
target = { service = "no-such-service" }
factor = -1.0
at = 5

[[fault]]
kind = "melt"
at = 5000
"#;
    let mesh = Mesh::by_name("midlands").unwrap();
    let findings = parse_scenario("bad.toml", "bad", text, &mesh).unwrap_err();
    let places: Vec<&str> = findings
        .iter()
        .map(|finding| finding.place.as_str())
        .collect();
    assert_eq!(
        places,
        ["bad.toml:3", "bad.toml:3", "bad.toml:9", "bad.toml:9"]
    );
    assert!(findings[0].message.contains("no-such-service"));
    assert!(findings[1].message.contains("factor"));
}

#[test]
fn a_field_of_the_wrong_type_is_named_with_its_line() {
    let mesh = Mesh::by_name("sofia").unwrap();
    let findings = parse_scenario("bad.toml", "bad", "\nload = \"much\"\n", &mesh).unwrap_err();
    assert_eq!(findings[0].place, "bad.toml:2");
}

#[test]
fn a_pair_has_both_fault_lists_and_twice_in_a_row_has_one_two_times() {
    let mesh = Mesh::by_name("midlands").unwrap();
    let pair = named_scenario("surge+slow-deep", &mesh).unwrap();
    assert_eq!(pair.faults.len(), 2);
    let twice = named_scenario("surge*2", &mesh).unwrap();
    assert_eq!(twice.faults.len(), 2);
    assert!(twice.faults[1].at >= twice.faults[0].end());
}

#[test]
fn a_field_that_says_nothing_about_its_kind_is_a_finding() {
    let text = "[[fault]]\nkind = \"gone\"\nrate = 0.5\nat = 5\n";
    let mesh = Mesh::by_name("sofia").unwrap();
    let findings = parse_scenario("bad.toml", "bad", text, &mesh).unwrap_err();
    assert_eq!(findings.len(), 1);
    assert!(findings[0].message.contains("`rate`"));
}
