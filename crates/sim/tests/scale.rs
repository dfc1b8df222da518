//! The control plane simulated at small sizes: the same seed gives the same run,
//! and the promises hold under each fault.

use lifthollow_sim::scale::{self, Fault, FaultSet, ScaleResult, ScaleSetup, SetupError};

/// Bounds of the issue at full size; a small fleet has to keep them as well.
const CONVERGENCE_SECONDS: f64 = 7.0;
const LEAVING_SECONDS: f64 = 3.0;
const BYTES_PER_SECOND: u64 = 8_000;

fn setup(fault: &str, seed: u64) -> ScaleSetup {
    ScaleSetup {
        nodes: 120,
        regions: 3,
        zones: 6,
        services: 20,
        seed,
        faults: fault.parse().expect("a known fault"),
        seconds: 180,
    }
}

fn run(fault: &str) -> ScaleResult {
    scale::run(&setup(fault, 1))
}

fn assert_promises(result: &ScaleResult) {
    assert_eq!(result.config_reversions, 0);
    assert_eq!(result.false_removals, 0);
    assert!(
        result.config_convergence_seconds_max <= CONVERGENCE_SECONDS,
        "{result:?}"
    );
    assert!(
        result.leaving_last_new_work_seconds_max <= LEAVING_SECONDS,
        "{result:?}"
    );
    assert!(
        result.control_bytes_per_second_p99 <= BYTES_PER_SECOND,
        "{result:?}"
    );
}

#[test]
fn the_same_arguments_give_the_same_trace_and_another_seed_another() {
    let first = run("loss").trace_hash;
    assert_eq!(run("loss").trace_hash, first);
    assert_ne!(scale::run(&setup("loss", 2)).trace_hash, first);
}

#[test]
fn the_promises_hold_under_every_fault() {
    for fault in Fault::ALL {
        if fault != Fault::ColdStart {
            assert_promises(&run(fault.as_str()));
        }
    }
}

#[test]
fn the_promises_hold_under_pairs_of_faults() {
    for pair in [
        "heavy-loss+pauses",
        "loss+mass-restart",
        "stale-service+zone-lost",
    ] {
        assert_promises(&run(pair));
    }
}

#[test]
fn a_fleet_that_starts_with_nothing_has_a_table_within_seconds() {
    let result = run("cold-start");
    let seconds = result.start_seconds.expect("every node got a table");
    assert!(seconds <= 30.0, "{seconds}");
    assert_eq!(result.config_reversions, 0);
}

#[test]
fn figures_come_from_the_run() {
    let result = run("none");
    assert!(result.control_bytes_per_second_mean > 0.0);
    assert!(result.control_cpu_core_fraction_mean > 0.0);
    assert!(result.state_bytes_per_node_p99 > 0);
    assert!(result.failure_detection_seconds_p99 > 0.0);
}

#[test]
fn unknown_faults_and_impossible_sizes_are_refused() {
    assert!("loss+flood".parse::<FaultSet>().is_err());
    let mut impossible = setup("none", 1);
    impossible.zones = 200;
    assert_eq!(impossible.check(), Err(SetupError::Zones));
}
