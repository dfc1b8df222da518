//! Tests of admission to the back end, each under the kind of overload or failure
//! that the decision handles.

mod support;

use std::time::Duration;

use lifthollow_coordination::inbound::{InboundEffect, InboundEvent, InboundId, InboundPolicy};
use lifthollow_coordination::inbound::{RunResult, admission_threshold};
use lifthollow_protocol::{AdmissionLevel, RefusalReason};
use lifthollow_state::{PriorityClass, Timestamp};
use support::{InboundDriver, LIMIT, MAX_QUEUE, at, context, is_run, refusal_reason, service};

const SUCCESS: RunResult = RunResult::Completed { success: true };

fn fill_slots(driver: &mut InboundDriver, now: Timestamp) -> Vec<InboundId> {
    let deadline = now + Duration::from_secs(10);
    (0..LIMIT)
        .map(|_| {
            let (id, effects) = driver.arrive(now, context(PriorityClass::Normal, 64, deadline));
            assert!(is_run(&effects, id));
            id
        })
        .collect()
}

fn complete_run(driver: &mut InboundDriver, now: Timestamp, id: InboundId) -> Vec<InboundEffect> {
    let mut effects = driver.event(
        now,
        InboundEvent::RunAnswered {
            id,
            result: SUCCESS,
        },
    );
    effects.extend(driver.event(now, InboundEvent::RunClosed { id }));
    effects
}

#[test]
fn critical_attempt_evicts_the_least_important_queued_one() {
    let mut driver = InboundDriver::new();
    fill_slots(&mut driver, at(0));
    let deadline = at(10_000);
    let mut queued = Vec::new();
    for user in 0..MAX_QUEUE as u8 {
        queued.push(
            driver
                .arrive(at(0), context(PriorityClass::Normal, user, deadline))
                .0,
        );
    }
    let (critical, effects) = driver.arrive(at(1), context(PriorityClass::Critical, 0, deadline));
    assert_eq!(refusal_reason(&effects, critical), None);
    assert_eq!(
        refusal_reason(&effects, queued[0]),
        Some(RefusalReason::Overloaded)
    );
    let (sheddable, effects) =
        driver.arrive(at(1), context(PriorityClass::Sheddable, 127, deadline));
    assert_eq!(
        refusal_reason(&effects, sheddable),
        Some(RefusalReason::Overloaded)
    );
}

#[test]
fn less_important_attempt_is_not_run_just_after_a_refusal() {
    let mut driver = InboundDriver::new();
    let running = fill_slots(&mut driver, at(0));
    let deadline = at(10_000);
    for _ in 0..MAX_QUEUE {
        driver.arrive(at(0), context(PriorityClass::Critical, 64, deadline));
    }
    let (refused, effects) = driver.arrive(at(1), context(PriorityClass::Critical, 0, deadline));
    assert_eq!(
        refusal_reason(&effects, refused),
        Some(RefusalReason::QueueFull)
    );
    for id in running {
        complete_run(&mut driver, at(2), id);
    }
    let (normal, effects) = driver.arrive(at(10), context(PriorityClass::Normal, 127, deadline));
    assert!(
        !is_run(&effects, normal),
        "a normal call ran just after a critical one was refused"
    );
    let (normal, effects) = driver.arrive(at(200), context(PriorityClass::Normal, 127, deadline));
    assert!(is_run(&effects, normal));
}

#[test]
fn freed_slot_goes_to_the_most_important_attempt_then_the_earliest_deadline() {
    let mut driver = InboundDriver::new();
    let running = fill_slots(&mut driver, at(0));
    let (late, _) = driver.arrive(at(0), context(PriorityClass::Normal, 5, at(9000)));
    let (early, _) = driver.arrive(at(0), context(PriorityClass::Normal, 5, at(8000)));
    let (critical, _) = driver.arrive(at(0), context(PriorityClass::Critical, 0, at(9500)));
    assert!(is_run(
        &complete_run(&mut driver, at(10), running[0]),
        critical
    ));
    assert!(is_run(
        &complete_run(&mut driver, at(10), running[1]),
        early
    ));
    assert!(is_run(&complete_run(&mut driver, at(10), running[2]), late));
}

#[test]
fn queued_attempt_that_cannot_finish_in_time_is_refused_early_and_never_run() {
    let mut driver = InboundDriver::new();
    let warm_up = fill_slots(&mut driver, at(0));
    for id in warm_up {
        complete_run(&mut driver, at(100), id);
    }
    let running = fill_slots(&mut driver, at(100));
    let (unfinishable, effects) =
        driver.arrive(at(100), context(PriorityClass::Normal, 64, at(260)));
    assert_eq!(refusal_reason(&effects, unfinishable), None);
    let due = driver
        .policy
        .next_wake()
        .expect("a queue with an attempt in it has no wake time");
    assert!(
        due < at(200),
        "the attempt is refused too late: a run takes 100 ms"
    );
    let effects = driver.event(due, InboundEvent::Wake);
    let reason = Some(RefusalReason::DeadlineTooShort);
    assert_eq!(refusal_reason(&effects, unfinishable), reason);
    assert!(!is_run(
        &complete_run(&mut driver, at(201), running[0]),
        unfinishable
    ));
}

#[test]
fn cancelled_attempt_is_removed_from_the_queue_or_its_run_is_cancelled() {
    let mut driver = InboundDriver::new();
    let running = fill_slots(&mut driver, at(0));
    let (cancelled, _) = driver.arrive(at(0), context(PriorityClass::Normal, 64, at(9000)));
    driver.event(at(1), InboundEvent::AttemptCancelled { id: cancelled });
    assert!(!is_run(
        &complete_run(&mut driver, at(2), running[0]),
        cancelled
    ));
    let id = running[1];
    let effects = driver.event(at(3), InboundEvent::AttemptCancelled { id });
    assert_eq!(effects, vec![InboundEffect::CancelRun { id }]);
}

#[test]
fn refusals_by_the_back_end_lower_the_limit_and_completions_raise_it() {
    let mut driver = InboundDriver::new();
    let running = fill_slots(&mut driver, at(0));
    let refused = RunResult::Refused {
        retry_after: Duration::from_millis(50),
    };
    let limit = |driver: &InboundDriver| {
        let view = &driver.view;
        driver.policy.load(at(0), view, &service()).limit
    };
    for id in running {
        let result = refused;
        driver.event(at(1), InboundEvent::RunAnswered { id, result });
        driver.event(at(1), InboundEvent::RunClosed { id });
    }
    let lowered = limit(&driver);
    assert!(lowered < LIMIT, "limit is {lowered}");
    for round in 0..50 {
        let now = at(100 + round * 10);
        let deadline = at(100_000);
        let (id, _) = driver.arrive(now, context(PriorityClass::Normal, 64, deadline));
        let (other, _) = driver.arrive(now, context(PriorityClass::Normal, 64, deadline));
        complete_run(&mut driver, now, id);
        complete_run(&mut driver, now, other);
    }
    assert!(limit(&driver) > lowered);
}

#[test]
fn paused_node_refuses_expired_attempts_and_delays_the_start_of_the_others() {
    let mut driver = InboundDriver::new();
    let running = fill_slots(&mut driver, at(0));
    let (expired, _) = driver.arrive(at(0), context(PriorityClass::Normal, 64, at(500)));
    let (waiting, _) = driver.arrive(at(0), context(PriorityClass::Normal, 64, at(60_000)));
    let paused_for = Duration::from_secs(5);
    let effects = driver.event(at(5000), InboundEvent::Resumed { paused_for });
    assert_eq!(
        refusal_reason(&effects, expired),
        Some(RefusalReason::Paused)
    );
    let effects = complete_run(&mut driver, at(5000), running[0]);
    assert!(
        !is_run(&effects, waiting),
        "a queued attempt was started right after a pause"
    );
    driver.event(at(5001), InboundEvent::AttemptCancelled { id: waiting });
    let effects = driver.event(at(5010), InboundEvent::Wake);
    assert!(!is_run(&effects, waiting));
}

#[test]
fn leaving_node_refuses_new_and_queued_attempts_and_answers_running_ones() {
    let mut driver = InboundDriver::new();
    let running = fill_slots(&mut driver, at(0));
    let (queued, _) = driver.arrive(at(0), context(PriorityClass::Critical, 0, at(9000)));
    let effects = driver.event(at(1), InboundEvent::Leave);
    assert_eq!(
        refusal_reason(&effects, queued),
        Some(RefusalReason::Leaving)
    );
    let (late, effects) = driver.arrive(at(2), context(PriorityClass::Critical, 0, at(9000)));
    assert_eq!(refusal_reason(&effects, late), Some(RefusalReason::Leaving));
    let effects = complete_run(&mut driver, at(3), running[0]);
    assert!(matches!(effects[0], InboundEffect::Answer { id, .. } if id == running[0]));
}

/// Feeds a threshold with `demand` arrivals per window, spread over all normal user
/// priorities, of which a window can serve `capacity`. Returns the level after 60
/// windows; `from` is the number of the first one.
fn level_after_windows(
    threshold: &mut admission_threshold::AdmissionThreshold,
    demand: u32,
    capacity: u32,
    from: u64,
) -> u16 {
    let class = PriorityClass::Normal;
    for window in from..from + 60 {
        let mut served = 0;
        for arrival in 0..demand {
            let user = (arrival * 128 / demand) as u8;
            let level = AdmissionLevel::of(lifthollow_state::Priority { class, user });
            if threshold.level() > level {
                continue;
            }
            threshold.record_arrival(level);
            served += 1;
            if served > capacity {
                threshold.record_rejection();
            } else {
                threshold.record_run_end();
            }
        }
        let running = served.min(capacity) as usize;
        let occupancy = admission_threshold::Occupancy {
            running,
            limit: capacity,
            queued: 0,
        };
        threshold.observe(at(window * 100), occupancy);
        threshold.observe(at(window * 100 + 100), occupancy);
    }
    threshold.level().0
}

#[test]
fn threshold_converges_to_the_capacity_and_opens_when_demand_falls() {
    let mut threshold = admission_threshold::AdmissionThreshold::default();
    let overloaded = level_after_windows(&mut threshold, 100, 50, 0);
    assert!(
        (128 + 50..=128 + 80).contains(&overloaded),
        "level {overloaded}"
    );
    assert_eq!(level_after_windows(&mut threshold, 40, 50, 60), 0);
}
