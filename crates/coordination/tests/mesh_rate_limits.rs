//! Tests of servers that announce a limit of requests per second, and of servers that announce that
//! they are leaving.

mod mesh_support;

use lifthollow_coordination::mesh::admission_queue::Ticket;
use lifthollow_coordination::mesh::call::NotRunReason;
use lifthollow_coordination::mesh::rate_limits::{RateLimiter, SendPace};
use lifthollow_coordination::mesh::server_admission::{
    AdmissionDecision, ArrivingAttempt, ServerAdmission,
};
use lifthollow_coordination::mesh::server_requirements::{Candidates, Purpose, ServerRequirements};
use lifthollow_coordination::mesh::server_selection::ServerPool;
use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::mesh::{InstanceId, RequestRate, ServerNotice};
use lifthollow_state::{Priority, PriorityClass, ServiceName};
use mesh_support::{at, id, ms, random, server};

/// Length of the windows in which the kept limit is checked, in milliseconds.
const WINDOW_MS: u64 = 4000;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).expect("a rate")
}

fn notice_with_limit(per_second: f64) -> ServerNotice {
    ServerNotice {
        limit: Some(rate(per_second)),
        is_leaving: false,
    }
}

const LEAVING: ServerNotice = ServerNotice {
    limit: None,
    is_leaving: true,
};

/// Sends a request to the limiter each millisecond from `from` until `until` and returns the times
/// at which one passed.
fn pass_times(limiter: &mut RateLimiter, from: u64, until: u64) -> Vec<u64> {
    (from..until)
        .filter(|now| limiter.try_take(at(*now)))
        .collect()
}

fn max_in_window(times: &[u64]) -> usize {
    let in_window = |start: &u64| {
        let within = |time: &&u64| **time >= *start && **time < *start + WINDOW_MS;
        times.iter().filter(within).count()
    };
    times.iter().map(in_window).max().unwrap_or_default()
}

#[test]
fn request_rate_is_parsed_only_from_numbers_of_zero_or_more() {
    for text in ["", "ten", "-1", "NaN", "inf", "1,5", "0x10"] {
        assert!(text.parse::<RequestRate>().is_err(), "{text}");
    }
    for (text, per_second) in [("0", 0.0), ("10", 10.0), (" 15.3 ", 15.3)] {
        assert_eq!(text.parse(), Ok(rate(per_second)), "{text}");
    }
}

#[test]
fn gate_passes_no_more_requests_than_the_limit() {
    for per_second in [0.0, 0.1, 1.0, 10.0, 250.0] {
        let mut limiter = RateLimiter::default();
        limiter.set_announced_limit(at(0), Some(rate(per_second)));
        let passed = pass_times(&mut limiter, 0, 20_000);
        let allowed = 1.5 * per_second * 4.0 + 5.0;
        let max_passed = max_in_window(&passed);
        assert!(max_passed as f64 <= allowed, "{per_second}: {max_passed}");
        assert!(passed.len() as f64 >= 0.9 * per_second * 20.0);
    }
}

#[test]
fn burst_after_an_idle_period_does_not_exceed_the_limit() {
    let mut limiter = RateLimiter::default();
    limiter.set_announced_limit(at(0), Some(rate(10.0)));
    let passed = pass_times(&mut limiter, 60_000, 64_000);
    assert!(passed.len() <= 65, "{}", passed.len());
}

#[test]
fn restarted_node_passes_no_burst_if_other_nodes_report_the_limit() {
    let mut passed = Vec::new();
    for start in 0..4 {
        let mut limiter = RateLimiter::default();
        limiter.note_limit_told_to_others(at(start * 1000), rate(8.0));
        passed.extend(pass_times(&mut limiter, start * 1000, (start + 1) * 1000));
    }
    assert!(passed.len() <= 53, "{}", passed.len());
}

#[test]
fn limit_reported_by_other_nodes_does_not_override_the_servers_own_announcement() {
    let mut limiter = RateLimiter::default();
    limiter.set_announced_limit(at(0), None);
    limiter.note_limit_told_to_others(at(1), rate(1.0));
    assert!(!limiter.is_limited());
    let mut limiter = RateLimiter::default();
    limiter.reset_after_restart();
    limiter.note_limit_told_to_others(at(1), rate(1.0));
    assert!(!limiter.is_limited(), "a new start has named nothing");
}

#[test]
fn limit_ends_when_the_server_withdraws_it() {
    let mut limiter = RateLimiter::default();
    limiter.set_announced_limit(at(0), Some(rate(0.0)));
    assert!(!limiter.has_token(at(10)));
    limiter.set_announced_limit(at(20), None);
    assert_eq!(pass_times(&mut limiter, 20, 120).len(), 100);
}

fn open_level(_: &ServiceName) -> AdmissionLevel {
    AdmissionLevel::OPEN
}

fn attempt(request_id: &str, user: u8, has_alternative: bool) -> ArrivingAttempt {
    ArrivingAttempt {
        request_id: request_id.to_owned(),
        priority: Priority {
            class: PriorityClass::Sheddable,
            user,
        },
        is_nested: false,
        is_retry: false,
        deadline: at(100_000),
        max_wait: ms(300),
        zone: "a".to_owned(),
        has_alternative,
    }
}

fn limited_admission(per_second: f64) -> ServerAdmission {
    let mut admission = ServerAdmission::new("feeds", 100);
    admission.server_started(at(0), &id("i-a"));
    admission.record_notice(at(0), &id("i-a"), notice_with_limit(per_second));
    admission
}

#[test]
fn attempts_that_can_go_to_another_server_do_not_wait_for_the_limit() {
    let mut admission = limited_admission(10.0);
    let verdict = admission.admit(at(1), &attempt("r", 0, true), open_level);
    let refused = AdmissionDecision::Refuse {
        reason: NotRunReason::RateLimited,
        retry_after: None,
    };
    assert_eq!(verdict, refused);
}

#[test]
fn waiting_attempt_with_the_highest_priority_starts_first() {
    let mut admission = limited_admission(10.0);
    let AdmissionDecision::Wait(low) =
        admission.admit(at(1), &attempt("low", 3, false), open_level)
    else {
        panic!("it waits");
    };
    let AdmissionDecision::Wait(high) =
        admission.admit(at(2), &attempt("high", 90, false), open_level)
    else {
        panic!("it waits");
    };
    let delay = admission.next_start(at(2)).expect("some wait");
    assert_eq!(delay, ms(98));
    assert_eq!(admission.start_waiting(at(100)), [high]);
    assert_eq!(admission.start_waiting(at(200)), [low]);
    assert_eq!(admission.next_start(at(200)), None);
}

#[test]
fn waiting_attempts_give_up_early_if_a_new_limit_makes_waiting_useless() {
    let mut admission = ServerAdmission::new("feeds", 1);
    admission.server_started(at(0), &id("i-a"));
    assert_eq!(
        admission.admit(at(0), &attempt("runs", 0, false), open_level),
        AdmissionDecision::Run
    );
    let tickets: Vec<_> = (0..5)
        .map(|number| {
            let attempt = attempt(&number.to_string(), 0, false);
            match admission.admit(at(1), &attempt, open_level) {
                AdmissionDecision::Wait(ticket) => ticket,
                other => panic!("{other:?}"),
            }
        })
        .collect();
    assert_eq!(admission.waits_exceeding_patience(at(1)), []);
    admission.record_notice(at(50), &id("i-a"), notice_with_limit(10.0));
    // One token becomes available each 100 ms: the second one comes too late to ask another server
    // within the patience of 300 ms.
    assert_eq!(admission.waits_exceeding_patience(at(50)), tickets[1..]);
}

/// Lets an attempt wait at a server that runs another one.
fn wait_behind_a_run(admission: &mut ServerAdmission, now: u64, max_wait: u64) -> Ticket {
    let attempt = ArrivingAttempt {
        max_wait: ms(max_wait),
        ..attempt(&now.to_string(), 0, false)
    };
    match admission.admit(at(now), &attempt, open_level) {
        AdmissionDecision::Wait(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

// Attempts that are refused leave their tokens to those behind them.
#[test]
fn no_attempt_is_refused_for_the_tokens_of_others_that_are_refused() {
    let mut admission = ServerAdmission::new("feeds", 1);
    admission.server_started(at(0), &id("i-a"));
    let first = attempt("runs", 0, false);
    assert_eq!(
        admission.admit(at(0), &first, open_level),
        AdmissionDecision::Run
    );
    let impatient = wait_behind_a_run(&mut admission, 1, 160);
    wait_behind_a_run(&mut admission, 2, 250);
    admission.record_notice(at(60), &id("i-a"), notice_with_limit(10.0));
    // The first token is due at 160 ms, or 190 ms with the margin for others that come before.
    assert_eq!(admission.waits_exceeding_patience(at(60)), [impatient]);
}

#[test]
fn retry_after_of_a_refusal_at_the_limit_is_long_enough() {
    let mut admission = limited_admission(1.0);
    let mut waiting = 0;
    let refused = (1..10).find_map(|number| {
        let attempt = attempt(&number.to_string(), 0, false);
        match admission.admit(at(1), &attempt, open_level) {
            AdmissionDecision::Refuse { retry_after, .. } => retry_after,
            _ => {
                waiting += 1;
                None
            }
        }
    });
    let retry_after = refused.expect("only few can wait");
    assert_eq!(waiting, 0, "a second is longer than they can wait");
    let later = at(1) + retry_after;
    let verdict = admission.admit(later, &attempt("later", 0, false), open_level);
    assert_eq!(verdict, AdmissionDecision::Run);
}

#[test]
fn limit_survives_a_missing_entry_and_ends_when_the_server_restarts() {
    let mut admission = limited_admission(1.0);
    admission.server_started(at(500), &id("i-a"));
    assert_eq!(admission.notice(), notice_with_limit(1.0));
    let later = InstanceId::new("i-a").started_at(7);
    admission.server_started(at(900), &later);
    assert_eq!(admission.notice(), ServerNotice::default());
    let verdict = admission.admit(at(901), &attempt("r", 0, true), open_level);
    assert_eq!(verdict, AdmissionDecision::Run);
}

#[test]
fn server_that_announced_leaving_is_leaving_until_it_restarts() {
    let mut admission = limited_admission(1.0);
    admission.record_notice(at(1), &id("i-a"), LEAVING);
    assert!(admission.is_leaving(&id("i-a")));
    assert!(!admission.is_leaving(&id("i-b")));
    let later = InstanceId::new("i-a").started_at(7);
    admission.server_started(at(900), &later);
    assert!(!admission.is_leaving(&id("i-a")));
}

#[test]
fn answer_of_a_previous_start_does_not_affect_the_running_server() {
    let mut admission = limited_admission(1.0);
    let later = InstanceId::new("i-a").started_at(7);
    admission.server_started(at(900), &later);
    admission.record_notice(at(901), &id("i-a"), LEAVING);
    assert_eq!(admission.notice(), ServerNotice::default());
}

fn pool() -> ServerPool {
    let mut pool = ServerPool::new("a");
    pool.set_servers(at(0), [server("i-a", "a", 1), server("i-b", "b", 2)]);
    pool
}

fn requirements(candidates: &Candidates, may_retry: bool) -> ServerRequirements<'_> {
    ServerRequirements {
        candidates,
        may_retry,
        purpose: Purpose::Request,
    }
}

fn chosen(pool: &ServerPool, now: u64, may_retry: bool) -> Option<(String, bool)> {
    let all = Candidates::ALL;
    let requirements = requirements(&all, may_retry);
    let choice = pool.choose(at(now), "feeds", requirements, &mut random())?;
    Some((choice.server.id.as_str().to_owned(), choice.has_alternative))
}

fn is_chosen(pool: &ServerPool, now: u64, name: &str) -> bool {
    chosen(pool, now, true).is_some_and(|(chosen, _)| chosen == name)
}

#[test]
fn server_at_its_limit_is_not_chosen_while_others_have_room() {
    let mut pool = pool();
    assert!(is_chosen(&pool, 0, "i-a"), "it is near");
    pool.record_notice(at(0), &id("i-a"), notice_with_limit(10.0));
    assert!(is_chosen(&pool, 0, "i-b"));
    assert!(is_chosen(&pool, 100, "i-a"), "its pace allows one");
    pool.record_attempt_sent(at(100), &id("i-a"));
    assert!(is_chosen(&pool, 101, "i-b"));
    pool.record_notice(at(150), &id("i-a"), ServerNotice::default());
    assert!(is_chosen(&pool, 150, "i-a"));
}

#[test]
fn server_at_its_limit_does_not_count_as_an_alternative() {
    let mut pool = pool();
    assert_eq!(chosen(&pool, 0, true), Some(("i-a".to_owned(), true)));
    pool.record_notice(at(0), &id("i-b"), notice_with_limit(1.0));
    assert_eq!(chosen(&pool, 0, true), Some(("i-a".to_owned(), false)));
}

#[test]
fn requests_that_cannot_be_retried_are_not_sent_to_a_server_with_a_limit_of_zero() {
    let mut pool = pool();
    pool.record_notice(at(0), &id("i-a"), notice_with_limit(0.0));
    let name = |now, may_retry| chosen(&pool, now, may_retry).map(|(name, _)| name);
    assert_eq!(name(5000, true).as_deref(), Some("i-a"));
    assert_eq!(name(5000, false).as_deref(), Some("i-b"));
}

#[test]
fn rejected_node_tries_again_within_a_second() {
    let mut pace = SendPace::new(at(0), rate(0.0));
    for second in 0..20 {
        pace.record_rejection(at(second * 1000));
        let wait = pace.time_until_next(at(second * 1000), true);
        assert!(wait <= ms(1000), "{wait:?}");
    }
}

#[test]
fn server_that_announced_leaving_is_not_chosen_again_for_a_new_entry() {
    let mut pool = pool();
    pool.record_notice(at(0), &id("i-a"), LEAVING);
    assert!(is_chosen(&pool, 1, "i-b"));
    let mut entry = server("i-a", "a", 1);
    entry.slots += 1;
    pool.set_servers(at(2), [entry.clone(), server("i-b", "b", 2)]);
    assert!(is_chosen(&pool, 3, "i-b"));
    // The server's entry is missing for a while.
    pool.set_servers(at(4), [server("i-b", "b", 2)]);
    pool.set_servers(at(3000), [entry, server("i-b", "b", 2)]);
    assert!(is_chosen(&pool, 3001, "i-b"));
    let mut later = server("i-a", "a", 1);
    later.id = later.id.started_at(7);
    pool.set_servers(at(4000), [later, server("i-b", "b", 2)]);
    assert!(is_chosen(&pool, 4001, "i-a"), "a later start isn't leaving");
}

#[test]
fn service_whose_servers_are_all_leaving_has_no_servers() {
    let mut pool = pool();
    pool.record_notice(at(0), &id("i-a"), LEAVING);
    assert!(pool.has_servers("feeds"));
    pool.record_notice(at(0), &id("i-b"), LEAVING);
    assert!(!pool.has_servers("feeds"));
}
