//! Tests of the choice of servers, retries and final answers, each under the kind
//! of failure that the decision handles.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use lifthollow_coordination::outbound::OutboundPolicy;
use lifthollow_coordination::outbound::{CallAnswer, OutboundEffect, OutboundEvent};
use lifthollow_protocol::{AdmissionLevel, AttemptResult, RefusalReason};
use lifthollow_state::{NodeId, Priority, PriorityClass};
use support::{
    OutboundDriver, SUCCESS, at, call_answer, context, load, node, refused, sent_attempt, view,
};

const OPEN: AdmissionLevel = AdmissionLevel::OPEN;

/// Makes `calls` calls, one every 5 ms beginning at `from` milliseconds. All
/// servers answer but those in `unresponsive`, which accept calls and never answer.
/// Returns the server that each call was sent to.
fn run_with_unresponsive(
    driver: &mut OutboundDriver,
    unresponsive: &[NodeId],
    from: u64,
    calls: u64,
) -> Vec<NodeId> {
    let mut used = Vec::new();
    for number in 0..calls {
        let now = at(from + number * 5);
        driver.event(now, OutboundEvent::Wake);
        let attempt = driver.send(now);
        used.push(attempt.server);
        if !unresponsive.contains(&attempt.server) {
            driver.answer(
                at(from + number * 5 + 4),
                attempt.attempt,
                SUCCESS,
                Some(load(OPEN)),
            );
        }
    }
    used
}

#[test]
fn server_that_accepts_and_never_answers_gets_almost_no_calls() {
    let mut driver = OutboundDriver::new(view((1, 0), 3, 0));
    run_with_unresponsive(&mut driver, &[], 0, 500);
    let unresponsive_server = node(2);
    run_with_unresponsive(&mut driver, &[unresponsive_server], 2500, 100);
    let used = run_with_unresponsive(&mut driver, &[unresponsive_server], 3000, 100);
    let to_unresponsive = used
        .iter()
        .filter(|server| **server == unresponsive_server)
        .count();
    assert!(
        to_unresponsive <= 2,
        "{to_unresponsive} of 100 calls went to the server that does not answer"
    );
}

#[test]
fn side_that_stops_answering_gets_almost_no_calls() {
    let mut driver = OutboundDriver::new(view((1, 1), 3, 3));
    run_with_unresponsive(&mut driver, &[], 0, 500);
    let new_side: Vec<NodeId> = (101..104).map(node).collect();
    run_with_unresponsive(&mut driver, &new_side, 2500, 100);
    let used = run_with_unresponsive(&mut driver, &new_side, 3000, 200);
    let lost = used
        .iter()
        .filter(|server| new_side.contains(server))
        .count();
    assert!(
        lost <= 6,
        "{lost} of 200 calls went to the side that does not answer"
    );
}

#[test]
fn call_that_cannot_be_repeated_is_not_sent_to_a_server_that_owes_an_answer() {
    let mut driver = OutboundDriver::new(view((1, 0), 3, 0));
    run_with_unresponsive(&mut driver, &[], 0, 500);
    let unresponsive_server = node(2);
    let used = run_with_unresponsive(&mut driver, &[unresponsive_server], 2500, 8);
    assert!(used.contains(&unresponsive_server));
    driver.event(at(2510), OutboundEvent::Wake);
    for number in 0..20 {
        let now = at(2600 + number);
        let critical = context(PriorityClass::Critical, 64, now + Duration::from_secs(1));
        let effects = driver.call(now, critical, false);
        let attempt = sent_attempt(&effects).expect("sent");
        assert_ne!(attempt.server, unresponsive_server);
        driver.answer(now, attempt.attempt, SUCCESS, Some(load(OPEN)));
    }
}

#[test]
fn no_server_is_ejected_when_all_servers_fail() {
    let mut driver = OutboundDriver::new(view((1, 0), 3, 0));
    let failure = AttemptResult::Completed { success: false };
    let mut used = BTreeSet::new();
    for number in 0..200 {
        let now = at(number * 10);
        driver.event(now, OutboundEvent::Wake);
        let deadline = now + Duration::from_secs(1);
        let effects = driver.call(now, context(PriorityClass::Normal, 64, deadline), false);
        let attempt = sent_attempt(&effects)
            .expect("the call was not sent although no server may be ejected");
        if number >= 150 {
            used.insert(attempt.server);
        }
        driver.answer(now, attempt.attempt, failure, Some(load(OPEN)));
    }
    assert_eq!(used.len(), 3);
}

#[test]
fn refused_attempt_is_retried_on_another_server_and_unsafe_retry_is_not_sent() {
    let mut driver = OutboundDriver::new(view((1, 0), 3, 0));
    let first = driver.send(at(0));
    let effects = driver.answer(
        at(1),
        first.attempt,
        refused(RefusalReason::QueueFull),
        None,
    );
    let second =
        sent_attempt(&effects).expect("a refused attempt, known not to have run, was not retried");
    assert_ne!(second.server, first.server);

    let effects = driver.call(at(2), context(PriorityClass::Critical, 0, at(1000)), false);
    let critical_attempt = sent_attempt(&effects).expect("sent");
    let lost = AttemptResult::Unknown {
        reason: RefusalReason::AnswerLost,
    };
    let effects = driver.answer(at(3), critical_attempt.attempt, lost, None);
    assert!(
        sent_attempt(&effects).is_none(),
        "a call that is not repeatable and may have run was retried"
    );
    assert!(matches!(
        call_answer(&effects),
        Some(CallAnswer::Unknown { .. })
    ));
}

#[test]
fn call_that_may_have_run_is_never_answered_as_not_run() {
    let mut driver = OutboundDriver::new(view((1, 0), 2, 0));
    let first = driver.send(at(0));
    let lost = AttemptResult::Unknown {
        reason: RefusalReason::AnswerLost,
    };
    let effects = driver.answer(at(1), first.attempt, lost, None);
    let second =
        sent_attempt(&effects).expect("a repeatable call whose answer was lost was not retried");
    let effects = driver.answer(
        at(2),
        second.attempt,
        refused(RefusalReason::Overloaded),
        None,
    );
    assert!(matches!(
        call_answer(&effects),
        Some(CallAnswer::Unknown { .. })
    ));
}

#[test]
fn retries_are_a_tenth_of_the_traffic_when_every_server_refuses() {
    let mut driver = OutboundDriver::new(view((1, 0), 4, 0));
    let calls = 1000;
    let mut retries = 0;
    for number in 0..calls {
        let now = at(number);
        let mut attempt = driver.send(now);
        loop {
            let refusal = refused(RefusalReason::QueueFull);
            let effects = driver.answer(now, attempt.attempt, refusal, None);
            let Some(retry) = sent_attempt(&effects) else {
                assert!(
                    call_answer(&effects).is_some(),
                    "a call without a further retry was not answered at once"
                );
                break;
            };
            retries += 1;
            attempt = retry;
        }
    }
    assert!(
        retries <= calls / 10 + 2,
        "{retries} retries of {calls} calls"
    );
    assert!(retries > 50);
}

#[test]
fn call_that_every_server_would_refuse_is_refused_without_an_attempt() {
    let mut driver = OutboundDriver::new(view((1, 0), 1, 0));
    let first = driver.send(at(0));
    let level = AdmissionLevel::of(Priority {
        class: PriorityClass::Critical,
        user: 0,
    });
    driver.answer(at(1), first.attempt, SUCCESS, Some(load(level)));
    let normal = context(PriorityClass::Normal, 127, at(1000));
    let effects = driver.call(at(2), normal, true);
    assert!(sent_attempt(&effects).is_none());
    assert!(matches!(
        call_answer(&effects),
        Some(CallAnswer::NotRun { .. })
    ));
    let critical = context(PriorityClass::Critical, 0, at(1000));
    assert!(sent_attempt(&driver.call(at(2), critical, true)).is_some());
    let later = context(PriorityClass::Normal, 127, at(9000));
    assert!(
        sent_attempt(&driver.call(at(2000), later, true)).is_some(),
        "an expired load report still caused a refusal"
    );
}

#[test]
fn refused_callers_get_different_retry_after_times() {
    let mut driver = OutboundDriver::new(view((1, 0), 0, 0));
    let mut times = BTreeSet::new();
    for _ in 0..100 {
        let effects = driver.call(at(0), context(PriorityClass::Normal, 64, at(1000)), true);
        let Some(CallAnswer::NotRun { retry_after, .. }) = call_answer(&effects) else {
            panic!("the call was not answered as not run although there is no server");
        };
        times.insert(retry_after);
    }
    assert!(times.len() > 90);
    let (first, last) = (times.first(), times.last());
    assert!(first.is_some_and(|time| *time >= Duration::from_millis(500)));
    assert!(last.is_some_and(|time| *time <= Duration::from_millis(1500)));
}

#[test]
fn side_that_refuses_spills_to_a_side_with_weight_and_room_only() {
    let level = AdmissionLevel::of(Priority {
        class: PriorityClass::Critical,
        user: 0,
    });
    for (weights, spills) in [((90, 10), true), ((100, 0), false)] {
        let mut driver = OutboundDriver::new(view(weights, 1, 1));
        for number in 0..20 {
            let attempt = driver.send(at(number));
            let refuses = attempt.server == node(1);
            let report = load(if refuses { level } else { OPEN });
            driver.answer(at(number), attempt.attempt, SUCCESS, Some(report));
            if refuses {
                break;
            }
        }
        // The weights assign at least one of two calls to the side that refuses.
        for _ in 0..2 {
            let normal = context(PriorityClass::Normal, 64, at(1000));
            let effects = driver.call(at(30), normal, true);
            assert_eq!(
                sent_attempt(&effects).is_some(),
                spills,
                "weights {weights:?}"
            );
        }
        let report = &driver.policy.reports(at(30), &driver.view)[0];
        let spilled: u64 = report.sides.iter().map(|side| side.counts.spilled).sum();
        assert_eq!(
            spilled > 0,
            spills,
            "the report counts {spilled} spilled calls"
        );
    }
}

#[test]
fn call_is_answered_and_its_attempt_cancelled_when_its_deadline_passes() {
    let mut driver = OutboundDriver::new(view((1, 0), 1, 0));
    let first = driver.send(at(0));
    let mut due = at(0);
    let mut effects = Vec::new();
    while effects.is_empty() {
        due = driver
            .policy
            .next_wake()
            .expect("a call in progress has no timer");
        effects = driver.event(due, OutboundEvent::Wake);
    }
    assert_eq!(due, at(1000));
    let cancel = OutboundEffect::Cancel {
        attempt: first.attempt,
    };
    assert_eq!(effects[0], cancel);
    assert!(matches!(
        call_answer(&effects),
        Some(CallAnswer::Unknown { .. })
    ));
}

#[test]
fn leaving_server_gets_no_new_attempts() {
    let mut driver = OutboundDriver::new(view((1, 0), 2, 0));
    let first = driver.send(at(0));
    let mut report = load(OPEN);
    report.leaving = true;
    driver.answer(at(1), first.attempt, SUCCESS, Some(report));
    for number in 0..50 {
        assert_ne!(driver.send(at(2 + number)).server, first.server);
    }
}
