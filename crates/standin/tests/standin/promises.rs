//! Each check of a promise is tripped by a history that breaks it, and by no other.

use lifthollow_standin::backend::{CallRecord, LedgerReport, NestedRefusal, RunTimes, Totals};
use lifthollow_standin::call::CallName;
use lifthollow_standin::experiment::promises::{Promises, RETRY_ALLOWANCE};
use lifthollow_standin::load::{Outcome, RequestRecord};

fn name(attempt: u32) -> CallName {
    CallName {
        request: "r".to_owned(),
        attempt,
        caller: String::new(),
    }
}

/// A call of the only request that arrived and ran once.
fn ran(attempt: u32) -> CallRecord {
    CallRecord {
        name: name(attempt),
        key: Some("key-r".to_owned()),
        arrivals: 1,
        runs: 1,
        completed: 1,
        body_digests: vec![7],
        nested_calls: 0,
        slot_micros: 1,
        times: RunTimes::default(),
    }
}

fn ledger(calls: Vec<CallRecord>) -> LedgerReport {
    LedgerReport {
        service: "topup".to_owned(),
        totals: Totals::default(),
        calls,
        nested_refusals: Vec::new(),
    }
}

/// The only request: one attempt, completely answered.
fn request() -> RequestRecord {
    RequestRecord {
        request: "r".to_owned(),
        service: "topup".to_owned(),
        class: "critical".to_owned(),
        key: Some("key-r".to_owned()),
        attempts: 1,
        not_run_attempts: Vec::new(),
        complete_attempts: vec![1],
        outcome: Outcome::Useful,
        reason: String::new(),
        started_ms: 0,
        elapsed_ms: 1,
    }
}

/// Names of the promises that the history breaks.
fn broken(record: RequestRecord, ledgers: &[LedgerReport]) -> Vec<&'static str> {
    let promises = Promises::check(&[record], ledgers);
    let verdicts = promises.verdicts();
    let broken = verdicts.iter().filter(|(_, verdict)| verdict.broken > 0);
    broken.map(|(name, _)| *name).collect()
}

#[test]
fn a_sound_history_breaks_nothing() {
    assert!(broken(request(), &[ledger(vec![ran(1)])]).is_empty());
}

#[test]
fn a_key_that_ran_on_two_servers_breaks_at_most_once() {
    let ledgers = [ledger(vec![ran(1)]), ledger(vec![ran(1)])];
    assert_eq!(broken(request(), &ledgers), ["at_most_once"]);
}

#[test]
fn a_repeat_of_the_client_that_ran_again_breaks_at_most_once() {
    let record = RequestRecord {
        attempts: 2,
        ..request()
    };
    assert_eq!(
        broken(record, &[ledger(vec![ran(1), ran(2)])]),
        ["at_most_once"]
    );
}

#[test]
fn a_run_of_what_was_told_not_run_breaks_its_truth() {
    let record = RequestRecord {
        not_run_attempts: vec![1],
        complete_attempts: Vec::new(),
        outcome: Outcome::NotRun,
        ..request()
    };
    assert_eq!(broken(record, &[ledger(vec![ran(1)])]), ["not_run_truth"]);
}

#[test]
fn a_run_of_a_nested_call_told_not_run_breaks_its_truth() {
    let mut ledger = ledger(vec![ran(1)]);
    ledger.nested_refusals.push(NestedRefusal {
        service: "topup".to_owned(),
        name: name(1),
    });
    assert_eq!(broken(request(), &[ledger]), ["not_run_truth"]);
}

#[test]
fn an_answer_without_a_run_breaks_complete_answers() {
    assert_eq!(broken(request(), &[]), ["complete_answer"]);
    let corrupt = RequestRecord {
        outcome: Outcome::Corrupt,
        ..request()
    };
    let ledgers = [ledger(vec![ran(1)])];
    assert_eq!(broken(corrupt, &ledgers), ["complete_answer"]);
}

#[test]
fn one_arrival_too_many_breaks_the_retry_bound() {
    let mut call = ran(1);
    call.arrivals = 1 + RETRY_ALLOWANCE as u32;
    assert!(broken(request(), &[ledger(vec![call.clone()])]).is_empty());
    call.arrivals += 1;
    assert_eq!(broken(request(), &[ledger(vec![call])]), ["retry_bound"]);
}
