//! Tests of the admission of attempts to one server and of the priorities of request trees.

mod mesh_support;

use lifthollow_coordination::inbound::InboundId;
use lifthollow_coordination::mesh::call::NotRunReason;
use lifthollow_coordination::mesh::request_tree::{
    Parent, RequestRank, RunningRequests, priority_of_request,
};
use lifthollow_coordination::mesh::server_admission::{
    AdmissionDecision, ArrivingAttempt, ServerAdmission,
};
use lifthollow_coordination::mesh::server_health::RunEnd;
use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::{Priority, PriorityClass, ServiceName, Timestamp};
use mesh_support::{at, ms};

const LIMIT: u32 = 4;

/// Reports that every service admits all levels.
fn open(_: &ServiceName) -> AdmissionLevel {
    AdmissionLevel::OPEN
}

fn attempt(id: &str, class: PriorityClass, user: u8) -> ArrivingAttempt {
    ArrivingAttempt {
        request_id: id.to_owned(),
        priority: Priority { class, user },
        is_nested: false,
        is_retry: false,
        deadline: at(100_000),
        max_wait: ms(500),
        zone: "a".to_owned(),
        has_alternative: false,
    }
}

fn sheddable(id: &str, user: u8) -> ArrivingAttempt {
    attempt(id, PriorityClass::Sheddable, user)
}

fn nested(id: &str, user: u8) -> ArrivingAttempt {
    ArrivingAttempt {
        is_nested: true,
        ..sheddable(id, user)
    }
}

/// The admission of a server whose slots are all taken.
fn full_server(now: Timestamp) -> ServerAdmission {
    let mut admission = ServerAdmission::new("feeds", LIMIT);
    for run in 0..LIMIT {
        let verdict = admission.admit(now, &sheddable(&run.to_string(), 0), open);
        assert_eq!(verdict, AdmissionDecision::Run);
    }
    admission
}

/// Releases one slot and returns the ticket numbers of the attempts that run then.
fn release_slot_and_start_next(admission: &mut ServerAdmission, now: Timestamp) -> Vec<u64> {
    let tickets = admission.release_unused_slot(now);
    tickets.into_iter().map(|ticket| ticket.0).collect()
}

/// The rank of a request whose route has this rank and that has no tenant.
fn route_rank(route: u8) -> RequestRank {
    RequestRank {
        route,
        tenant: None,
    }
}

#[test]
fn concurrent_runs_never_exceed_the_limit() {
    let mut admission = full_server(at(0));
    let verdict = admission.admit(at(0), &sheddable("more", 0), open);
    assert!(matches!(verdict, AdmissionDecision::Wait(_)));
    assert_eq!(admission.occupancy().running, LIMIT);
}

#[test]
fn more_important_requests_start_first() {
    let mut admission = full_server(at(0));
    admission.admit(at(0), &sheddable("low", 3), open);
    admission.admit(at(0), &attempt("high", PriorityClass::Critical, 0), open);
    admission.admit(at(0), &sheddable("middle", 90), open);
    assert_eq!(release_slot_and_start_next(&mut admission, at(1)), [1]);
    assert_eq!(release_slot_and_start_next(&mut admission, at(1)), [2]);
    assert_eq!(release_slot_and_start_next(&mut admission, at(1)), [0]);
}

#[test]
fn nested_calls_go_before_callers_requests_of_their_class() {
    let mut admission = full_server(at(0));
    admission.admit(at(0), &sheddable("page", 60), open);
    admission.admit(at(0), &nested("call", 5), open);
    assert_eq!(release_slot_and_start_next(&mut admission, at(1)), [1]);
}

#[test]
fn important_request_goes_before_nested_calls_of_a_lower_class() {
    let mut admission = full_server(at(0));
    admission.admit(at(0), &nested("call", 127), open);
    admission.admit(at(0), &attempt("charge", PriorityClass::Critical, 0), open);
    assert_eq!(release_slot_and_start_next(&mut admission, at(1)), [1]);
}

/// Admits an attempt that has no time left for queues.
fn admit_without_queue_time(admission: &mut ServerAdmission, id: &str) -> AdmissionDecision {
    let mut attempt = ArrivingAttempt {
        max_wait: ms(0),
        ..sheddable(id, 50)
    };
    attempt.max_wait = admission.max_wait(at(0), &attempt);
    admission.admit(at(0), &attempt, open)
}

#[test]
fn attempt_without_queue_time_is_not_refused_because_slots_are_taken_for_a_moment() {
    let mut admission = full_server(at(0));
    let next = admit_without_queue_time(&mut admission, "next");
    assert!(matches!(next, AdmissionDecision::Wait(_)));
    let behind = admit_without_queue_time(&mut admission, "behind");
    assert!(matches!(behind, AdmissionDecision::Refuse { .. }));
}

#[test]
fn attempt_waits_for_the_next_slot_no_longer_than_until_its_deadline() {
    let admission = full_server(at(0));
    let attempt = ArrivingAttempt {
        max_wait: ms(0),
        deadline: at(10),
        ..sheddable("late", 50)
    };
    assert_eq!(admission.max_wait(at(3), &attempt), ms(7));
}

#[test]
fn request_that_would_wait_too_long_is_refused_at_once() {
    let mut admission = full_server(at(0));
    let mut hasty = sheddable("hasty", 0);
    hasty.max_wait = ms(1);
    let verdict = admission.admit(at(0), &hasty, open);
    let AdmissionDecision::Refuse {
        reason,
        retry_after,
    } = verdict
    else {
        panic!("{verdict:?}");
    };
    assert_eq!(reason, NotRunReason::QueueFull);
    assert!(retry_after.is_some(), "the refusal has no retry delay");
}

#[test]
fn withdrawn_request_does_not_run_later() {
    let mut admission = full_server(at(0));
    let waiting = sheddable("waiting", 0);
    let AdmissionDecision::Wait(ticket) = admission.admit(at(0), &waiting, open) else {
        panic!("the attempt runs although all slots are taken");
    };
    assert!(admission.withdraw(&waiting, ticket, true));
    assert!(release_slot_and_start_next(&mut admission, at(1)).is_empty());
    assert!(!admission.withdraw(&waiting, ticket, true));
}

#[test]
fn unresponsive_server_gets_one_trial_request_at_a_time() {
    let mut admission = ServerAdmission::new("feeds", LIMIT);
    assert_eq!(
        admission.admit(at(0), &sheddable("first", 0), open),
        AdmissionDecision::Run
    );
    assert!(!admission.is_unresponsive(at(500)));
    assert!(admission.is_unresponsive(at(1000)));
    assert_eq!(
        admission.admit(at(1000), &sheddable("trial", 0), open),
        AdmissionDecision::Run
    );
    let verdict = admission.admit(at(1100), &sheddable("next", 0), open);
    let unreachable = AdmissionDecision::Refuse {
        reason: NotRunReason::ServerUnreachable,
        retry_after: None,
    };
    assert_eq!(verdict, unreachable);
    let trial = admission.started(at(1300), &sheddable("trial", 0));
    admission.answered(at(1200), trial, true);
    assert!(!admission.is_unresponsive(at(1300)));
}

/// Overloads the server with nested calls of all user priorities for two seconds.
fn overload(admission: &mut ServerAdmission, arrivals_per_run: u32) {
    let mut now = at(0);
    for round in 0..400_u32 {
        now = now + ms(5);
        for copy in 0..arrivals_per_run {
            let user = (round * 37 + copy * 61) % 128;
            admission.admit(now, &nested(&format!("{round}-{copy}"), user as u8), open);
        }
        admission.finish(
            now,
            &sheddable("", 0),
            InboundId(u64::MAX),
            RunEnd::Served,
            Some(ms(20)),
        );
    }
}

#[test]
fn overload_raises_the_level_of_callers_requests_before_that_of_nested_calls() {
    let mut admission = full_server(at(0));
    overload(&mut admission, 2);
    let of_callers = admission.level(false, open);
    let of_nested = admission.level(true, open);
    assert!(of_callers > AdmissionLevel::OPEN);
    assert!(of_nested < of_callers, "{of_nested:?} {of_callers:?}");
    assert!(
        of_callers < AdmissionLevel(256),
        "critical requests must be admitted"
    );
}

#[test]
fn requests_that_a_needed_service_would_refuse_are_refused_before_they_run() {
    let mut admission = ServerAdmission::new("feeds", LIMIT);
    for number in 0..30 {
        let request = sheddable(&number.to_string(), 0);
        assert_eq!(
            admission.admit(at(number), &request, open),
            AdmissionDecision::Run
        );
        let run = admission.started(at(number), &request);
        admission.record_call(run, "media");
        admission.answered(at(number), run, true);
        admission.finish(at(number), &request, run, RunEnd::Served, Some(ms(1)));
    }
    let closed_to_most = |service: &ServiceName| match service.as_str() {
        "media" => AdmissionLevel(100),
        _ => AdmissionLevel::OPEN,
    };
    let low = admission.admit(at(100), &sheddable("low", 50), closed_to_most);
    assert!(matches!(
        low,
        AdmissionDecision::Refuse {
            reason: NotRunReason::DownstreamOverloaded,
            ..
        }
    ));
    let high = admission.admit(at(100), &sheddable("high", 120), closed_to_most);
    assert_eq!(high, AdmissionDecision::Run);
    let begun = admission.admit(at(100), &nested("begun", 50), closed_to_most);
    assert_eq!(
        begun,
        AdmissionDecision::Run,
        "nested calls of admitted trees must run"
    );
    assert_eq!(admission.level(false, closed_to_most), AdmissionLevel(100));
}

fn parent(run: u64, is_retry: bool) -> Parent {
    Parent {
        run: InboundId(run),
        priority: priority_of_request(route_rank(0), "root"),
        is_retry,
    }
}

#[test]
fn nested_call_inherits_the_properties_of_the_run_that_makes_it() {
    let mut running = RunningRequests::default();
    running.started("aa", at(1000), parent(1, false));
    running.started("bb", at(2000), parent(2, true));
    let by_request_id = running
        .parent_of(at(0), "bb.cc", at(1000))
        .expect("no run with the ID prefix found");
    assert!(by_request_id.is_retry);
    let by_deadline = running
        .parent_of(at(0), "zz", at(1001))
        .expect("no run with the deadline found");
    assert_eq!(by_deadline.run, InboundId(1));
    assert_eq!(running.parent_of(at(0), "zz", at(1500)), None);
    running.ended("bb", InboundId(2));
    assert_eq!(running.parent_of(at(0), "bb.cc", at(2100)), None);
}

/// Guards against forgetting a run as soon as nobody waits for its answer: its server works on and makes
/// calls, until the deadline at the latest.
#[test]
fn abandoned_run_is_the_parent_of_its_calls_until_its_deadline() {
    let mut running = RunningRequests::default();
    running.started("aa", at(1000), parent(1, false));
    running.abandoned("aa", InboundId(1));
    running.ended("aa", InboundId(1));
    running.forget_overdue(at(999));
    assert!(running.has_parent(at(0), "aa.bb"));
    let found = running.parent_of(at(0), "aa.bb", at(1000));
    assert_eq!(found.map(|found| found.run), Some(InboundId(1)));
    let by_deadline = running.parent_of(at(0), "zz", at(1000));
    assert_eq!(
        by_deadline, None,
        "a caller that has left may come back with the same deadline"
    );
    assert!(running.has_parent(at(1000), "aa.bb"));
    assert!(!running.has_parent(at(1010), "aa.bb"));
    running.forget_overdue(at(1010));
    assert_eq!(running.abandoned_count(), 0);
}

#[test]
fn abandoned_run_gives_way_to_a_new_run_of_its_request() {
    let mut running = RunningRequests::default();
    running.started("aa", at(1000), parent(1, false));
    running.abandoned("aa", InboundId(1));
    running.started("aa", at(1200), parent(2, true));
    assert_eq!(running.abandoned_count(), 0);
    running.abandoned("aa", InboundId(1));
    running.ended("aa", InboundId(2));
    assert!(!running.has_parent(at(0), "aa.bb"));
}

#[test]
fn abandoned_runs_are_bounded_and_forgotten_when_their_server_ends() {
    const RUNS: u64 = 10_000;
    let mut running = RunningRequests::default();
    for number in 0..RUNS {
        let id = format!("r{number}");
        running.started(&id, at(number), parent(number, false));
        running.abandoned(&id, InboundId(number));
    }
    assert!(running.abandoned_count() < RUNS as usize / 2);
    assert!(running.has_parent(at(0), &format!("r{}.1", RUNS - 1)));
    assert!(!running.has_parent(at(0), "r0.1"));
    running.forget_abandoned();
    assert!(!running.has_parent(at(0), &format!("r{}.1", RUNS - 1)));
}

#[test]
fn end_of_a_former_run_does_not_remove_its_retry() {
    let mut running = RunningRequests::default();
    running.started("aa", at(1000), parent(1, false));
    running.started("aa", at(1000), parent(2, true));
    running.ended("aa", InboundId(1));
    assert_eq!(
        running
            .parent_of(at(0), "aa.bb", at(0))
            .map(|found| found.run),
        Some(InboundId(2))
    );
}

#[test]
fn whole_tree_shares_one_priority() {
    let root = priority_of_request(route_rank(2), "aa");
    assert_eq!(priority_of_request(route_rank(2), "aa.bb").user, root.user);
    assert_eq!(
        priority_of_request(route_rank(0), "aa").class,
        PriorityClass::Critical
    );
    assert_eq!(root.class, PriorityClass::Sheddable);
}

#[test]
fn failing_server_refuses_only_attempts_that_can_go_to_another_server() {
    let mut admission = ServerAdmission::new("feeds", LIMIT);
    for number in 0..10 {
        let request = sheddable(&number.to_string(), 0);
        assert_eq!(
            admission.admit(at(number), &request, open),
            AdmissionDecision::Run
        );
        let run = admission.started(at(number), &request);
        admission.finish(at(number), &request, run, RunEnd::Failed, None);
    }
    let elsewhere = ArrivingAttempt {
        has_alternative: true,
        ..sheddable("elsewhere", 0)
    };
    let refused = AdmissionDecision::Refuse {
        reason: NotRunReason::ServerFailing,
        retry_after: None,
    };
    assert_eq!(admission.admit(at(20), &elsewhere, open), refused);
    let here = sheddable("here", 0);
    assert_eq!(admission.admit(at(20), &here, open), AdmissionDecision::Run);
}

#[test]
fn what_failed_runs_called_is_known_to_be_needed() {
    let mut admission = ServerAdmission::new("feeds", LIMIT);
    for number in 0..30 {
        let request = sheddable(&number.to_string(), 0);
        let run = admission.started(at(number), &request);
        admission.record_call(run, "media");
        admission.call_ended(run, true);
        admission.answered(at(number), run, false);
        admission.finish(at(number), &request, run, RunEnd::Failed, None);
    }
    let closed_to_most = |service: &ServiceName| match service.as_str() {
        "media" => AdmissionLevel(100),
        _ => AdmissionLevel::OPEN,
    };
    assert_eq!(admission.level(false, closed_to_most), AdmissionLevel(100));
}

#[test]
fn call_that_only_some_runs_make_is_not_needed_although_it_fails() {
    let mut admission = ServerAdmission::new("feeds", LIMIT);
    for number in 0..100 {
        let request = sheddable(&number.to_string(), 0);
        let run = admission.started(at(number), &request);
        let calls = number % 2 == 0;
        if calls {
            admission.record_call(run, "media");
            admission.call_ended(run, true);
        }
        admission.answered(at(number), run, !calls);
        let end = if calls {
            RunEnd::Failed
        } else {
            RunEnd::Served
        };
        admission.finish(at(number), &request, run, end, None);
    }
    let closed = |_: &ServiceName| AdmissionLevel(100);
    assert_eq!(admission.level(false, closed), AdmissionLevel::OPEN);
}

/// The admission of a server whose runs for callers all call the service `ledger`.
fn server_needing_ledger() -> ServerAdmission {
    let mut admission = ServerAdmission::new("feeds", LIMIT);
    for number in 0..40 {
        let request = sheddable(&number.to_string(), 0);
        assert_eq!(
            admission.admit(at(0), &request, open),
            AdmissionDecision::Run
        );
        run_calling(&mut admission, &request, Some("ledger"));
    }
    admission
}

/// Runs `request` to a successful end, with a call to the service `called` if there is one.
fn run_calling(admission: &mut ServerAdmission, request: &ArrivingAttempt, called: Option<&str>) {
    let run = admission.started(at(0), request);
    if let Some(service) = called {
        admission.record_call(run, service);
        admission.call_ended(run, false);
    }
    admission.answered(at(0), run, true);
    admission.finish(at(0), request, run, RunEnd::Served, Some(ms(10)));
}

#[test]
fn requests_are_refused_at_once_while_a_service_that_they_need_has_no_server() {
    let mut admission = server_needing_ledger();
    let no_server = |_: &ServiceName| AdmissionLevel::CLOSED;
    let arrive = |admission: &mut ServerAdmission, milliseconds: u64| {
        let request = sheddable("later", 127);
        let verdict = admission.admit(at(milliseconds), &request, no_server);
        matches!(verdict, AdmissionDecision::Run)
    };
    assert!(
        arrive(&mut admission, 1000),
        "one trial request must run to find out whether the service is still needed"
    );
    assert!((1001..1250).all(|at| !arrive(&mut admission, at)));
    assert!(arrive(&mut admission, 1300));
    let level = admission.level(false, no_server);
    let most_important = Priority {
        class: PriorityClass::Sheddable,
        user: 127,
    };
    assert!(
        !level.admits(most_important),
        "the level for callers' nodes must refuse the highest user priority"
    );
}

#[test]
fn a_service_that_is_no_longer_called_is_no_longer_needed() {
    let mut admission = server_needing_ledger();
    let no_server = |_: &ServiceName| AdmissionLevel::CLOSED;
    let trials = (0..100).filter(|number| {
        let now = at(1000 + number * 300);
        let request = sheddable("later", 0);
        let runs = admission.admit(now, &request, no_server) == AdmissionDecision::Run;
        if runs {
            run_calling(&mut admission, &request, None);
        }
        runs
    });
    assert_eq!(trials.count(), 100);
    assert_eq!(admission.level(false, no_server), AdmissionLevel::OPEN);
}
