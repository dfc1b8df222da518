//! Each observer trips on nodes or a transport that break its promise on
//! purpose, and stays quiet on sound ones in the same scenario.

mod broken;

use lifthollow_coordination::{Node, PolicyKind};
use lifthollow_sim::measure::RunResult;
use lifthollow_sim::mesh::Mesh;
use lifthollow_sim::observe::{Observation, Observers, Violations};
use lifthollow_sim::scenario::parse_scenario;
use lifthollow_sim::world::{MachineIndex, NodeFactory, TransportDefect, WorldSettings, run_world};
use lifthollow_state::{TableVersion, Timestamp};

const STEADY: &str = "duration_seconds = 5\nload = 0.2";

const ERRORS: &str = r#"
duration_seconds = 6
load = 0.2

[[fault]]
kind = "errors"
target = { service = "publishing" }
rate = 0.3
at = 1
"#;

const STOPS: &str = r#"
duration_seconds = 14
load = 0.2

[[fault]]
kind = "rolling-stop"
target = { service = "catalogue", side = "new" }
interval_seconds = 2
down_seconds = 2
at = 3
"#;

const CONFIG_DOWN: &str = r#"
[[fault]]
kind = "config-down"
at = 1
"#;

const SILENCE: &str = r#"
duration_seconds = 8
load = 0.2

[[fault]]
kind = "silent"
target = { service = "publishing", side = "new" }
at = 2
for = 4
"#;

const RESTART_WITHOUT_PLATFORM: &str = r#"
duration_seconds = 16
load = 0.1

[[fault]]
kind = "config-down"
at = 2

[[fault]]
kind = "kill"
target = { service = "feeds", side = "old", server = 0 }
at = 3
for = 1
"#;

fn violations(
    text: &str,
    node_factory: NodeFactory,
    defect: Option<TransportDefect>,
) -> Violations {
    run(text, node_factory, defect).violations
}

fn run(text: &str, node_factory: NodeFactory, defect: Option<TransportDefect>) -> RunResult {
    let mesh = Mesh::by_name("midlands").unwrap();
    let scenario = parse_scenario("test.toml", "test", text, &mesh).unwrap();
    let settings = WorldSettings {
        node_factory,
        defect,
        ..WorldSettings::new(PolicyKind::StaticLimits, 1)
    };
    run_world(mesh, scenario, settings)
}

#[test]
fn retry_bound_trips_on_retries_at_every_hop() {
    assert!(violations(ERRORS, broken::repeats_everything, None).retry_bound > 0);
    assert_eq!(violations(STEADY, Node::new, None).retry_bound, 0);
}

#[test]
fn priority_order_trips_on_nodes_that_refuse_the_important_first() {
    assert!(violations(STEADY, broken::refuses_important, None).priority_order > 0);
    assert_eq!(violations(STEADY, Node::new, None).priority_order, 0);
}

#[test]
fn complete_answer_trips_on_mixed_answers() {
    assert!(violations(STEADY, broken::mixes_answers, None).complete_answer > 0);
    assert_eq!(violations(STEADY, Node::new, None).complete_answer, 0);
}

#[test]
fn complete_answer_trips_on_missing_bytes() {
    let defect = Some(TransportDefect::TruncatesAnswers);
    assert!(violations(STEADY, Node::new, defect).complete_answer > 0);
}

#[test]
fn refusals_that_are_held_back_show_as_refusal_delay() {
    let held = run(SILENCE, broken::forgets_refusals, None);
    assert!(held.refusal_delay_seconds_p99 > 0.1);
    let sound = run(SILENCE, Node::new, None);
    assert!(sound.refusal_delay_seconds_p99 < 0.001);
}

#[test]
fn not_run_truth_trips_on_denied_runs() {
    assert!(violations(SILENCE, broken::denies_runs, None).not_run_truth > 0);
    assert_eq!(violations(SILENCE, Node::new, None).not_run_truth, 0);
}

#[test]
fn at_most_once_trips_on_repeats_of_what_may_not_be_repeated() {
    assert!(violations(ERRORS, broken::repeats_everything, None).at_most_once > 0);
    assert_eq!(violations(STEADY, Node::new, None).at_most_once, 0);
}

#[test]
fn leaving_quiet_trips_on_nodes_that_never_hear_of_it() {
    let text = format!("{STOPS}{CONFIG_DOWN}");
    let defect = Some(TransportDefect::LosesLeaveSignal);
    assert!(violations(&text, Node::new, defect).leaving_quiet > 0);
    assert_eq!(violations(&text, Node::new, None).leaving_quiet, 0);
}

#[test]
fn planned_stop_trips_on_runs_cut_by_a_leaving_node() {
    assert!(violations(STOPS, broken::cuts_when_leaving, None).planned_stop > 0);
    assert_eq!(violations(STOPS, Node::new, None).planned_stop, 0);
}

#[test]
fn config_forward_trips_on_a_node_that_stays_behind_its_peers() {
    let defect = Some(TransportDefect::DropsDatagrams);
    let text = RESTART_WITHOUT_PLATFORM;
    assert!(violations(text, Node::new, defect).config_forward > 0);
    assert_eq!(violations(text, Node::new, None).config_forward, 0);
}

#[test]
fn config_forward_trips_on_an_older_table() {
    let mut observers = Observers::new();
    for number in [1, 2, 1] {
        let version = TableVersion { number, digest: 0 };
        let machine = MachineIndex(0);
        let observation = Observation::TableInForce { machine, version };
        observers.observe(Timestamp::from_micros(number), &observation);
    }
    assert_eq!(observers.violations().config_forward, 1);
}
