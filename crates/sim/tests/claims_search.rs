//! A fixed part of the search for keys that run twice, and histories that broke
//! the design while it was made.

use lifthollow_sim::claims_search::Variant;
use lifthollow_sim::claims_search::history::{Action, Backend, History, NODES, Step};
use lifthollow_sim::claims_search::observer::Violation;
use lifthollow_sim::claims_search::search::{Finding, SearchReport, SearchSettings, search};
use lifthollow_sim::claims_search::world::play;

const SEED: u64 = 7;
const ALL_NODES: u8 = 0b111_1111;
const HISTORIES: u64 = 1_500;
const HISTORIES_FOR_BROKEN: u64 = 20_000;

fn search_variant(variant: Variant, histories: u64) -> SearchReport {
    search(SearchSettings {
        histories,
        seed: SEED,
        variant,
    })
}

fn call(after_millis: u32, node: u8) -> Step {
    let action = Action::Call {
        node,
        key: 1,
        body: 0,
        backend: Backend::Answers,
        run_millis: 100,
    };
    Step {
        after_millis,
        action,
    }
}

fn step(after_millis: u32, action: Action) -> Step {
    Step {
        after_millis,
        action,
    }
}

fn history(seed: u64, steps: Vec<Step>) -> History {
    History {
        drift_permille: [0; NODES as usize],
        seed,
        steps,
    }
}

#[test]
fn no_history_breaks_a_promise() {
    let report = search_variant(Variant::Correct, HISTORIES);
    assert!(report.finding.is_none(), "{:?}", report.finding);
    assert_eq!(report.histories, HISTORIES);
}

#[test]
fn the_search_exercises_runs_replays_and_refusals() {
    let tallies = search_variant(Variant::Correct, HISTORIES).tallies;
    assert!(tallies.runs > tallies.calls / 10, "{tallies:?}");
    assert!(tallies.replays > tallies.calls / 20, "{tallies:?}");
    assert!(tallies.unknown > 0 && tallies.not_run > 0, "{tallies:?}");
}

#[test]
fn every_broken_variant_is_found_and_shrunk() {
    for variant in [
        Variant::NoClaim,
        Variant::VouchAfterRestart,
        Variant::NoFence,
    ] {
        let report = search_variant(variant, HISTORIES_FOR_BROKEN);
        let Some(finding) = report.finding else {
            panic!("{variant} was not found");
        };
        assert!(matches!(finding.violation, Violation::RanTwice { .. }));
        assert!(finding.shrunk.steps.len() <= finding.found.steps.len());
    }
}

#[test]
fn a_search_made_twice_finds_the_same() {
    let once = search_variant(Variant::NoFence, HISTORIES_FOR_BROKEN).finding;
    let twice = search_variant(Variant::NoFence, HISTORIES_FOR_BROKEN).finding;
    let numbers = |finding: Option<Finding>| {
        finding.map(|finding| (finding.histories_needed, finding.shrunk))
    };
    assert_eq!(numbers(once), numbers(twice));
}

/// Found by the search: replicas that were all replaced answered each other as
/// if they knew every claim.
#[test]
fn replicas_that_were_all_replaced_do_not_inform_each_other() {
    let steps = vec![
        call(0, 0),
        step(18, Action::Replace { nodes: ALL_NODES }),
        call(1_053, 6),
    ];
    let observer = play(&history(2_232_533_525_045_843_095, steps), Variant::Correct);
    assert_eq!(observer.violation(), None);
    assert_eq!(observer.tallies().runs, 1);
}

/// Found by the search in a form of the design in which a replica granted a claim
/// that it had learned of from others: another claim could hold the key as well.
#[test]
fn a_claim_learned_from_others_is_granted_to_nobody() {
    let pause = |node, millis| Action::Pause { node, millis };
    let replace = |nodes| Action::Replace { nodes };
    let cut = Action::Cut {
        nodes: 0b101_1101,
        one_way: false,
    };
    let shed = Action::Call {
        node: 0,
        key: 1,
        body: 0,
        backend: Backend::Sheds,
        run_millis: 153,
    };
    let other_body = Action::Call {
        node: 1,
        key: 1,
        body: 1,
        backend: Backend::Answers,
        run_millis: 248,
    };
    let steps = vec![
        step(0, cut),
        step(0, pause(0, 2_966)),
        call(0, 0),
        step(0, pause(1, 20_881)),
        step(2_978, shed),
        step(1, replace(0b001_0100)),
        step(1, replace(0b000_1001)),
        step(0, other_body),
        step(0, Action::Heal),
    ];
    let observer = play(&history(7_005_125_233_153_716_567, steps), Variant::Correct);
    assert_eq!(observer.violation(), None);
}
