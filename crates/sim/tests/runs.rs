//! Whole runs: the same arguments give the same run, and a mesh without overload
//! control stays down after a surge.

use lifthollow_coordination::PolicyKind;
use lifthollow_sim::measure::RunResult;
use lifthollow_sim::mesh::Mesh;
use lifthollow_sim::scenario::parse_scenario;
use lifthollow_sim::world::{WorldSettings, run_world};

fn run(mesh: &str, text: &str, policy: PolicyKind, seed: u64) -> RunResult {
    let mesh = Mesh::by_name(mesh).unwrap();
    let scenario = parse_scenario("test.toml", "test", text, &mesh).unwrap();
    run_world(mesh, scenario, WorldSettings::new(policy, seed))
}

#[test]
fn the_same_seed_gives_the_same_trace_and_another_seed_another() {
    for mesh in ["midlands", "sofia"] {
        let text = "duration_seconds = 4";
        let first = run(mesh, text, PolicyKind::Lifthollow, 7);
        let again = run(mesh, text, PolicyKind::Lifthollow, 7);
        let other = run(mesh, text, PolicyKind::Lifthollow, 8);
        assert_eq!(first.trace_hash, again.trace_hash);
        assert_ne!(first.trace_hash, other.trace_hash);
    }
}

#[test]
fn every_policy_serves_everything_at_ordinary_load() {
    for mesh in ["midlands", "sofia"] {
        for policy in PolicyKind::ALL {
            let result = run(mesh, "duration_seconds = 12", policy, 1);
            assert!(result.goodput_ratio > 0.999, "{result:?}");
            assert_eq!(result.violations.total(), 0, "{result:?}");
        }
    }
}

#[test]
fn without_overload_control_the_overload_outlasts_the_surge() {
    let text = r#"
duration_seconds = 40

[[fault]]
kind = "surge"
requests = ["normal"]
factor = 4.5
at = 10
for = 8
"#;
    for mesh in ["midlands", "sofia"] {
        let result = run(mesh, text, PolicyKind::Passthrough, 1);
        assert_eq!(result.recovery_seconds, None);
        assert!(result.retry_amplification > 2.0, "{result:?}");
    }
}

#[test]
fn attempts_that_were_lost_on_the_way_do_not_hold_up_a_planned_stop() {
    let text = r#"
duration_seconds = 38
load = 0.05

[[fault]]
kind = "cut"
from = { side = "old" }
to = { side = "new" }
at = 2
for = 3

[[fault]]
kind = "rolling-stop"
target = { service = "catalogue", side = "new" }
interval_seconds = 10
down_seconds = 4
at = 6
"#;
    let result = run("sofia", text, PolicyKind::StaticLimits, 1);
    assert_eq!(result.violations.planned_stop, 0);
}

#[test]
fn a_machine_stays_away_until_the_last_fault_about_it_has_ended() {
    let whole_side = r#"
duration_seconds = 16
weights = [100, 0]
load = 0.1

[[fault]]
kind = "gone"
target = { service = "feeds", side = "old" }
at = 5
for = 8
"#;
    let shorter_too = format!(
        "{whole_side}\n[[fault]]\nkind = \"gone\"\ntarget = {{ side = \"old\", service = \"feeds\" }}\nat = 5\nfor = 2\n"
    );
    let once = run("midlands", whole_side, PolicyKind::StaticLimits, 1);
    let twice = run("midlands", &shorter_too, PolicyKind::StaticLimits, 1);
    assert!(once.goodput < once.offered);
    assert!(twice.goodput <= once.goodput + once.goodput / 20);
}
