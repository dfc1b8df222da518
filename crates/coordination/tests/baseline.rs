//! Tests that the baselines give the guarantees that an ordinary mesh gives at no
//! cost.

mod support;

use std::time::Duration;

use lifthollow_coordination::baseline::FixedOutbound;
use lifthollow_coordination::outbound::{AttemptAnswer, Call, CallAnswer, CallId, OutboundPolicy};
use lifthollow_coordination::outbound::{OutboundEffect, OutboundEvent};
use lifthollow_protocol::{AttemptResult, RefusalReason};
use lifthollow_state::{PriorityClass, RetryAllowance};
use support::{at, context, service, view};

const FAILED: AttemptResult = AttemptResult::Completed { success: false };
const REFUSED: AttemptResult = AttemptResult::NotRun {
    reason: RefusalReason::QueueFull,
    retry_after: Duration::ZERO,
};

/// The answer to the caller when its attempts end one after the other with the given
/// results.
fn answer_after(results: &[AttemptResult]) -> CallAnswer {
    let view = view((1, 0), 3, 0);
    let mut policy = FixedOutbound::static_limits();
    let mut effects = Vec::new();
    let description = Call {
        service: service(),
        context: context(PriorityClass::Normal, 64, at(1_000)),
        parent: None,
        repeatable: true,
        replayable: true,
    };
    let call = CallId(1);
    let arrived = OutboundEvent::CallArrived { call, description };
    policy.handle(at(0), &view, arrived, &mut effects);
    for result in results {
        let Some(OutboundEffect::Dispatch { attempt, .. }) = effects.pop() else {
            panic!("no attempt was sent that could end with {result:?}");
        };
        let answer = AttemptAnswer {
            result: *result,
            load: None,
            unspent: RetryAllowance(0),
        };
        let answered = OutboundEvent::AttemptAnswered { attempt, answer };
        policy.handle(at(1), &view, answered, &mut effects);
    }
    match effects.pop() {
        Some(OutboundEffect::Answer { answer, .. }) => answer,
        other => panic!("the call was not answered; last effect: {other:?}"),
    }
}

#[test]
fn refusal_after_an_attempt_that_ran_is_not_answered_as_not_run() {
    let answer = answer_after(&[FAILED, REFUSED, REFUSED]);
    assert!(matches!(answer, CallAnswer::Unknown { .. }), "{answer:?}");
}

#[test]
fn call_of_which_every_attempt_was_refused_is_answered_as_not_run() {
    let answer = answer_after(&[REFUSED, REFUSED, REFUSED]);
    assert!(matches!(answer, CallAnswer::NotRun { .. }), "{answer:?}");
}
