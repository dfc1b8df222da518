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
    keyed(after_millis, node, 1, 0, Backend::Answers, 201)
}

fn keyed(
    after_millis: u32,
    node: u8,
    key: u8,
    body: u8,
    backend: Backend,
    run_millis: u32,
) -> Step {
    let action = Action::Call {
        node,
        key,
        body,
        backend,
        run_millis,
    };
    step(after_millis, action)
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
        keyed(0, 6, 0, 0, Backend::LosesAnswer, 1),
        step(5, Action::Replace { nodes: ALL_NODES }),
        call(6_326, 0),
    ];
    let observer = play(
        &history(16_219_220_710_728_038_928, steps),
        Variant::Correct,
    );
    assert_eq!(observer.violation(), None);
    assert_eq!(observer.tallies().runs, 1);
}

/// Found by the search in a form of the design in which a replica granted a claim
/// that it had learned of from others: another claim could hold the key as well.
#[test]
fn a_claim_learned_from_others_is_granted_to_nobody() {
    let pause = |node, millis| Action::Pause { node, millis };
    let replaced = 0b011_0101;
    let steps = vec![
        step(0, pause(3, 19_725)),
        keyed(0, 1, 0, 0, Backend::Sheds, 238),
        keyed(0, 3, 0, 0, Backend::Answers, 61),
        step(1_692, pause(0, 54_125)),
        keyed(1, 4, 0, 1, Backend::LosesAnswer, 69),
        step(13, pause(0, 2_380)),
        step(0, Action::Replace { nodes: replaced }),
        step(91, pause(1, 17_930)),
    ];
    let observer = play(&history(8_223_107_449_441_312_702, steps), Variant::Correct);
    assert_eq!(observer.violation(), None);
}
