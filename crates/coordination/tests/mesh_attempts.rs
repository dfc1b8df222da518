//! Tests of the attempts of a request, the choice of servers, and admission levels of services.

mod mesh_support;

use lifthollow_coordination::mesh::admission_queue::Occupancy;
use lifthollow_coordination::mesh::call::{
    AttemptEnd, Call, FinalAnswer, NextStep, NotRunReason, RefusalReason, UnknownReason,
};
use lifthollow_coordination::mesh::nested_calls;
use lifthollow_coordination::mesh::reported_load::ReportedLoad;
use lifthollow_coordination::mesh::retry_budget::{FleetRetryBound, RetryBudgets};
use lifthollow_coordination::mesh::server_requirements::{Candidates, Purpose, ServerRequirements};
use lifthollow_coordination::mesh::server_selection::ServerPool;
use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::ServiceName;
use lifthollow_state::mesh::RequestKind;
use mesh_support::{at, id, ms, random, route, server};

fn not_run(offered: bool, reason: NotRunReason) -> AttemptEnd {
    AttemptEnd::NotRun {
        offered,
        reason,
        retry_after: None,
    }
}

/// The end of an attempt whose answer was lost.
fn lost() -> AttemptEnd {
    AttemptEnd::Unknown {
        reason: UnknownReason::AnswerLost,
    }
}

/// Value for `is_other_in_progress`: no other attempt of the request is in progress.
const NO_OTHER: bool = false;

#[test]
fn request_that_may_have_run_is_sent_again_only_if_it_may_be_repeated() {
    let mut once = route("once", "/");
    once.kind = RequestKind::NonIdempotent;
    let mut call = Call::new(at(0), &once, None);
    let next = call.attempt_ended(&id("i-1"), &lost(), NO_OTHER, || true);
    assert_eq!(next, NextStep::Finish(FinalAnswer::Unknown));

    let mut call = Call::new(at(0), &route("any", "/"), None);
    let next = call.attempt_ended(&id("i-1"), &lost(), NO_OTHER, || true);
    assert_eq!(next, NextStep::Attempt);
    let others = Candidates::AllBut(vec![id("i-1")]);
    assert_eq!(call.candidates().next(), Some(others));
}

#[test]
fn request_whose_route_forbids_repeats_meanwhile_is_not_sent_again_if_it_may_have_run() {
    let mut call = Call::new(at(0), &route("any", "/"), None);
    call.forbid_repeats();
    assert!(!call.may_hedge());
    let refused = not_run(true, NotRunReason::ServerRefused);
    let next = call.attempt_ended(&id("i-1"), &refused, NO_OTHER, || true);
    assert_eq!(next, NextStep::Attempt);
    let next = call.attempt_ended(&id("i-2"), &lost(), NO_OTHER, || true);
    assert_eq!(next, NextStep::Finish(FinalAnswer::Unknown));
}

#[test]
fn refused_request_goes_elsewhere_whatever_its_kind() {
    let mut once = route("once", "/");
    once.kind = RequestKind::NonIdempotent;
    let mut call = Call::new(at(0), &once, None);
    let refused = not_run(false, NotRunReason::QueueFull);
    let next = call.attempt_ended(&id("i-1"), &refused, NO_OTHER, || panic!("not a retry"));
    assert_eq!(next, NextStep::Attempt);
}

#[test]
fn a_request_is_new_until_its_first_attempt_has_ended_however_that_was() {
    let mut call = Call::new(at(0), &route("any", "/"), None);
    assert!(call.is_new());
    let refused = not_run(false, NotRunReason::QueueFull);
    call.attempt_ended(&id("i-1"), &refused, NO_OTHER, || panic!("not a retry"));
    assert!(
        !call.is_new(),
        "a second attempt must not count as a new request in the retry budget"
    );
    assert!(!call.is_retry());
}

#[test]
fn a_request_reaches_no_more_servers_than_its_route_allows() {
    let mut call = Call::new(at(0), &route("two", "/"), None);
    let refused = not_run(true, NotRunReason::ServerRefused);
    assert_eq!(
        call.attempt_ended(&id("i-1"), &refused, NO_OTHER, || true),
        NextStep::Attempt
    );
    assert_eq!(
        call.attempt_ended(&id("i-2"), &refused, NO_OTHER, || true),
        NextStep::Attempt
    );
    let same_servers = Candidates::Only(vec![id("i-1"), id("i-2")]);
    assert_eq!(call.candidates().collect::<Vec<_>>(), [same_servers]);

    let mut call = Call::new(at(0), &route("two", "/"), None);
    call.attempt_ended(&id("i-1"), &lost(), NO_OTHER, || true);
    let next = call.attempt_ended(&id("i-2"), &lost(), NO_OTHER, || {
        panic!("retry is not allowed")
    });
    assert_eq!(next, NextStep::Finish(FinalAnswer::Unknown));
}

#[test]
fn a_server_that_refused_is_asked_again_after_the_others_and_a_pause() {
    let mut call = Call::new(at(0), &route("two", "/"), None);
    let refused = not_run(true, NotRunReason::ServerRefused);
    call.attempt_ended(&id("i-1"), &refused, NO_OTHER, || true);
    let candidates: Vec<Candidates> = call.candidates().collect();
    let another = Candidates::AllBut(vec![id("i-1")]);
    assert_eq!(candidates, [another, Candidates::Only(vec![id("i-1")])]);
    assert_eq!(call.delay_before(&id("i-2")), ms(0));
    let first_delay = call.delay_before(&id("i-1"));
    assert!(first_delay > ms(0));
    call.attempt_ended(&id("i-1"), &refused, NO_OTHER, || true);
    assert!(call.delay_before(&id("i-1")) > first_delay);
}

#[test]
fn a_request_is_not_sent_again_to_a_server_that_may_have_run_it_or_named_a_time() {
    let mut call = Call::new(at(0), &route("two", "/"), None);
    let not_now = AttemptEnd::NotRun {
        offered: true,
        reason: NotRunReason::ServerRefused,
        retry_after: Some(ms(500)),
    };
    call.attempt_ended(&id("i-1"), &not_now, NO_OTHER, || true);
    let refused = not_run(true, NotRunReason::ServerRefused);
    call.attempt_ended(&id("i-2"), &refused, NO_OTHER, || true);
    call.attempt_ended(&id("i-2"), &lost(), NO_OTHER, || true);
    let nobody = Candidates::Only(Vec::new());
    assert_eq!(call.candidates().collect::<Vec<_>>(), [nobody]);
}

#[test]
fn refused_attempts_of_a_request_are_limited() {
    let mut call = Call::new(at(0), &route("two", "/"), None);
    let refused = not_run(true, NotRunReason::ServerRefused);
    let refusals = (0..100)
        .take_while(|_| {
            let next = call.attempt_ended(&id("i-1"), &refused, NO_OTHER, || true);
            next == NextStep::Attempt
        })
        .count();
    assert_eq!(refusals, 5);
}

#[test]
fn exhausted_retry_budget_prevents_a_retry() {
    let mut call = Call::new(at(0), &route("any", "/"), None);
    let next = call.attempt_ended(&id("i-1"), &lost(), NO_OTHER, || false);
    assert_eq!(next, NextStep::Finish(FinalAnswer::Unknown));
}

#[test]
fn request_that_may_have_run_is_never_answered_as_refused() {
    let mut call = Call::new(at(0), &route("any", "/"), None);
    call.attempt_ended(&id("i-1"), &lost(), NO_OTHER, || true);
    let refused = not_run(false, NotRunReason::QueueFull);
    call.attempt_ended(&id("i-2"), &refused, NO_OTHER, || true);
    assert_eq!(call.give_up(), FinalAnswer::Unknown);
    assert_eq!(call.timed_out(false), FinalAnswer::TimedOut);
}

#[test]
fn answer_is_due_at_the_earlier_of_timeout_and_deadline() {
    let call = Call::new(at(100), &route("any", "/"), Some(ms(5000)));
    assert_eq!(call.deadline(), at(900));
    let call = Call::new(at(100), &route("any", "/"), Some(ms(300)));
    assert_eq!(call.deadline(), at(400));
}

#[test]
fn downstream_overload_is_not_retried_at_other_servers() {
    let mut call = Call::new(at(0), &route("any", "/"), None);
    let refused = not_run(false, NotRunReason::DownstreamOverloaded);
    let next = call.attempt_ended(&id("i-1"), &refused, NO_OTHER, || true);
    let NextStep::Finish(FinalAnswer::Refused { reason, .. }) = next else {
        panic!("{next:?}");
    };
    let wanted = RefusalReason::AllRefused(NotRunReason::DownstreamOverloaded);
    assert_eq!(reason, wanted);
}

#[test]
fn attempt_beside_a_silent_server_is_a_repeat() {
    let mut call = Call::new(at(0), &route("any", "/"), None);
    assert!(!call.is_retry());
    call.hedge(&id("i-1"));
    assert!(call.is_retry());
}

#[test]
fn no_retry_is_taken_from_the_budget_while_another_attempt_is_in_progress() {
    let mut call = Call::new(at(0), &route("any", "/"), None);
    call.hedge(&id("i-1"));
    let next = call.attempt_ended(&id("i-2"), &lost(), true, || panic!("retry is not allowed"));
    assert_eq!(next, NextStep::Wait);
}

#[test]
fn refused_hedge_is_sent_to_another_server_while_the_first_attempt_stays_silent() {
    let refused = not_run(false, NotRunReason::QueueFull);
    let mut call = Call::new(at(0), &route("any", "/"), None);
    call.hedge(&id("i-1"));
    let next = call.attempt_ended(&id("i-2"), &refused, true, || panic!("no further retry"));
    assert_eq!(next, NextStep::Attempt);
    let others = Candidates::AllBut(vec![id("i-1"), id("i-2")]);
    assert_eq!(call.candidates().next(), Some(others));

    // A refusal of the first attempt leaves the hedge in progress.
    let next = call.attempt_ended(&id("i-1"), &refused, true, || panic!("no further retry"));
    assert_eq!(next, NextStep::Wait);
}

#[test]
fn hedge_that_a_server_has_refused_itself_is_not_sent_again_without_a_retry() {
    let mut call = Call::new(at(0), &route("any", "/"), None);
    call.hedge(&id("i-1"));
    let refused = not_run(true, NotRunReason::ServerRefused);
    let next = call.attempt_ended(&id("i-2"), &refused, true, || panic!("no further retry"));
    assert_eq!(next, NextStep::Wait);
}

const ANY: ServerRequirements<'static> = ServerRequirements {
    candidates: &Candidates::ALL,
    may_retry: true,
    purpose: Purpose::Request,
};

/// A pool seen from zone `a`, with one server in each of the zones `a`, `b` and `c`.
fn pool() -> ServerPool {
    let mut pool = ServerPool::new("a");
    let servers = [
        server("i-a", "a", 1),
        server("i-b", "b", 2),
        server("i-c", "c", 3),
    ];
    pool.set_servers(at(0), servers);
    pool
}

/// The ID of the server that is chosen at `now`, in milliseconds.
fn chosen(pool: &ServerPool, now: u64) -> String {
    let server = pool.choose(at(now), "feeds", ANY, &mut random());
    server
        .expect("there are servers")
        .server
        .id
        .as_str()
        .to_owned()
}

#[test]
fn own_zone_is_preferred_until_it_is_busy() {
    let mut pool = pool();
    assert_eq!(chosen(&pool, 0), "i-a");
    for _ in 0..6 {
        pool.record_attempt_sent(at(0), &id("i-a"));
    }
    assert_eq!(
        chosen(&pool, 0),
        "i-a",
        "the server in the own zone still has spare slots"
    );
    for _ in 0..2 {
        pool.record_attempt_sent(at(0), &id("i-a"));
    }
    assert_ne!(chosen(&pool, 0), "i-a");
}

#[test]
fn a_server_with_more_slots_is_preferred_up_to_a_higher_utilization() {
    let mut pool = ServerPool::new("a");
    let mut near = server("i-a", "a", 1);
    near.slots = 400;
    let mut far = server("i-b", "b", 2);
    far.slots = 400;
    pool.set_servers(at(0), [near, far]);
    for _ in 0..370 {
        pool.record_attempt_sent(at(0), &id("i-a"));
    }
    assert_eq!(chosen(&pool, 0), "i-a");
    for _ in 0..20 {
        pool.record_attempt_sent(at(0), &id("i-a"));
    }
    assert_eq!(chosen(&pool, 0), "i-b");
}

#[test]
fn draining_server_gets_no_attempts() {
    let mut pool = ServerPool::new("a");
    let mut draining = server("i-a", "a", 1);
    draining.state = lifthollow_state::mesh::ServerState::Draining;
    pool.set_servers(at(0), [draining]);
    assert!(pool.choose(at(0), "feeds", ANY, &mut random()).is_none());
}

#[test]
fn suspect_server_is_used_again_only_after_a_successful_probe() {
    let mut pool = pool();
    assert!(pool.mark_suspect(at(0), &id("i-a")));
    assert!(
        !pool.mark_suspect(at(0), &id("i-a")),
        "the server is already being probed"
    );
    assert_ne!(chosen(&pool, 60_000), "i-a");
    let first = pool
        .probe_delay(at(0), &id("i-a"))
        .expect("the server is not probed");
    pool.record_probe(at(0), &id("i-a"), false);
    assert!(
        pool.probe_delay(at(0), &id("i-a"))
            .expect("the server is no longer probed")
            > first
    );
    pool.record_probe(at(0), &id("i-a"), true);
    assert_eq!(pool.probe_delay(at(0), &id("i-a")), None);
    assert_eq!(chosen(&pool, 60_000), "i-a");
}

#[test]
fn suspect_server_is_used_if_no_other_is_left() {
    let mut pool = ServerPool::new("a");
    pool.set_servers(at(0), [server("i-a", "a", 1)]);
    pool.mark_suspect(at(0), &id("i-a"));
    assert_eq!(chosen(&pool, 0), "i-a");
}

#[test]
fn withdrawn_server_gets_no_attempts_until_its_entry_changes() {
    let mut pool = ServerPool::new("a");
    pool.set_servers(at(0), [server("i-a", "a", 1)]);
    pool.withdraw(&id("i-a"));
    assert!(pool.choose(at(0), "feeds", ANY, &mut random()).is_none());
    pool.set_servers(at(1), [server("i-a", "a", 1)]);
    assert!(pool.choose(at(1), "feeds", ANY, &mut random()).is_none());
    let mut changed = server("i-a", "a", 1);
    changed.slots = 11;
    pool.set_servers(at(2), [changed]);
    assert!(pool.choose(at(2), "feeds", ANY, &mut random()).is_some());
}

#[test]
fn server_in_whose_place_another_answered_is_tried_again() {
    let mut pool = ServerPool::new("a");
    pool.set_servers(at(0), [server("i-a", "a", 1)]);
    pool.record_misdirected(at(0), &id("i-a"));
    assert!(pool.choose(at(500), "feeds", ANY, &mut random()).is_none());
    assert_eq!(chosen(&pool, 2000), "i-a");
    let other = server("i-b", "a", 2);
    pool.set_servers(at(2000), [server("i-a", "a", 1), other]);
    for _ in 0..8 {
        pool.record_attempt_sent(at(0), &id("i-b"));
    }
    assert_eq!(
        chosen(&pool, 2000),
        "i-a",
        "the server must rank as high as any other"
    );
}

#[test]
fn server_that_answers_is_not_considered_unresponsive() {
    let mut pool = pool();
    assert!(!pool.is_unresponsive(at(100), &id("i-a"), at(1), false));
    assert!(pool.is_unresponsive(at(5000), &id("i-a"), at(1), false));
    pool.record_answer(at(4900), &id("i-a"), None, Some((ms(30), false)));
    assert!(!pool.is_unresponsive(at(5000), &id("i-a"), at(1), false));
}

#[test]
fn server_that_loses_answers_is_avoided_while_others_have_free_slots() {
    let mut pool = pool();
    for number in 0..10 {
        pool.record_lost_answer(at(number), &id("i-a"));
    }
    assert_ne!(chosen(&pool, 10), "i-a");
    for other in ["i-b", "i-c"] {
        for _ in 0..30 {
            pool.record_attempt_sent(at(0), &id(other));
        }
    }
    assert_eq!(
        chosen(&pool, 10),
        "i-a",
        "a server that loses answers is better than a full one"
    );
}

#[test]
fn few_losses_count_only_for_requests_that_can_not_be_retried() {
    let mut pool = pool();
    pool.record_lost_answer(at(0), &id("i-a"));
    pool.record_answer(at(0), &id("i-a"), None, None);
    assert_eq!(chosen(&pool, 0), "i-a");
    let once = ServerRequirements {
        may_retry: false,
        ..ANY
    };
    let server = pool.choose(at(0), "feeds", once, &mut random());
    assert_ne!(server.expect("there are others").server.id, id("i-a"));
    assert_eq!(chosen(&pool, 10_000), "i-a", "old losses must decay");
}

/// A load report with this admission level for callers' requests, and no failures.
fn reported(level: u16) -> ReportedLoad {
    ReportedLoad {
        occupancy: Occupancy::default(),
        level: AdmissionLevel(level),
        is_nested: false,
        failure_share: 0.0,
    }
}

#[test]
fn level_of_a_service_comes_only_from_recent_reports() {
    let mut pool = pool();
    let level = |pool: &ServerPool, now| pool.admission_level(at(now), "feeds", Purpose::Request).0;
    assert_eq!(level(&pool, 1000), 0);
    pool.record_load_report(at(1000), &id("i-a"), reported(100));
    assert_eq!(
        level(&pool, 1100),
        100,
        "servers that have not reported must not count"
    );
    pool.record_load_report(at(1050), &id("i-b"), reported(40));
    assert_eq!(level(&pool, 1100), 40);
    assert!(level(&pool, 3000) < 5, "an old level must decay");
}

#[test]
fn failures_that_a_servers_node_reports_count_like_lost_answers() {
    let mut pool = pool();
    let failing = ReportedLoad {
        failure_share: 0.4,
        ..reported(0)
    };
    pool.record_answer(at(10), &id("i-a"), Some(failing), None);
    assert!(pool.loses_answers(at(10), &id("i-a")));
    assert_ne!(chosen(&pool, 10), "i-a");
    assert_eq!(chosen(&pool, 20_000), "i-a", "old losses must decay");
}

/// A nested call that the retry budget would not allow to retry.
const NOT_RETRYABLE_CALL: Purpose = Purpose::NestedCall {
    can_be_retried: false,
};
const NOT_RETRYABLE: ServerRequirements<'static> = ServerRequirements {
    purpose: NOT_RETRYABLE_CALL,
    ..ANY
};

/// A pool in which i-a and i-b fail half of their requests, and i-c has three times as many
/// requests as it has slots.
fn pool_with_one_healthy_server() -> ServerPool {
    let mut pool = pool();
    for failing in ["i-a", "i-b"] {
        let load = ReportedLoad {
            failure_share: 0.5,
            is_nested: true,
            ..reported(0)
        };
        pool.record_load_report(at(10), &id(failing), load);
    }
    for _ in 0..30 {
        pool.record_attempt_sent(at(0), &id("i-c"));
    }
    pool
}

#[test]
fn nested_calls_wait_for_a_healthy_server_rather_than_go_to_a_failing_one() {
    let pool = pool_with_one_healthy_server();
    let choose = |wanted| pool.choose(at(10), "feeds", wanted, &mut random());
    let server = choose(NOT_RETRYABLE).expect("there are servers").server;
    assert_eq!(server.id, id("i-c"));
    assert_ne!(
        chosen(&pool, 10),
        "i-c",
        "a caller's request must go to a server with free slots"
    );
    let repeatable = ServerRequirements {
        purpose: Purpose::NestedCall {
            can_be_retried: true,
        },
        ..ANY
    };
    let server = choose(repeatable).expect("there are servers").server;
    assert_ne!(
        server.id,
        id("i-c"),
        "a call that can be retried must go to a server with free slots"
    );
    let others = Candidates::AllBut(vec![id("i-c")]);
    let without = ServerRequirements {
        candidates: &others,
        ..NOT_RETRYABLE
    };
    assert!(
        choose(without).is_some(),
        "a failing server must be chosen if there is no other"
    );
}

#[test]
fn free_slots_at_failing_servers_do_not_lower_the_level_of_nested_calls() {
    let mut pool = pool_with_one_healthy_server();
    let load = ReportedLoad {
        is_nested: true,
        ..reported(90)
    };
    pool.record_load_report(at(10), &id("i-c"), load);
    let level = |pool: &ServerPool| pool.admission_level(at(10), "feeds", NOT_RETRYABLE_CALL).0;
    assert_eq!(level(&pool), 90);
    pool.mark_suspect(at(10), &id("i-c"));
    assert_eq!(level(&pool), 0, "only failing servers are left");
}

#[test]
fn alternative_is_reported_only_if_it_has_free_slots_and_answers() {
    let mut pool = pool();
    let has_alternative = |pool: &ServerPool| {
        let choice = pool.choose(at(0), "feeds", ANY, &mut random());
        choice.expect("there are servers").has_alternative
    };
    assert!(has_alternative(&pool));
    pool.mark_suspect(at(0), &id("i-b"));
    for _ in 0..10 {
        pool.record_lost_answer(at(0), &id("i-c"));
    }
    assert!(!has_alternative(&pool));
}

#[test]
fn request_is_refused_by_a_failing_server_at_most_once() {
    let mut call = Call::new(at(0), &route("any", "/"), None);
    assert!(call.may_be_refused_by_failing_server());
    let refused = not_run(false, NotRunReason::ServerFailing);
    let next = call.attempt_ended(&id("i-1"), &refused, NO_OTHER, || panic!("not a retry"));
    assert_eq!(next, NextStep::Attempt);
    assert!(!call.may_be_refused_by_failing_server());
}

#[test]
fn a_service_without_servers_admits_no_nested_call() {
    let budgets = RetryBudgets::new(FleetRetryBound {
        ratio: 0.2,
        fixed: 60.0,
        window: ms(10_000),
    });
    let level = |pool: &ServerPool| {
        nested_calls::admission_level(pool, &budgets, at(0), &ServiceName::new("feeds"))
    };
    let mut pool = pool();
    assert_eq!(level(&pool), AdmissionLevel::OPEN);
    pool.set_servers(at(0), []);
    assert_eq!(level(&pool), AdmissionLevel::CLOSED);
}
