//! Checks which requests may be sent on a connection that has carried others.

use lifthollow_coordination::mesh::connection_history::{ConnectionHistory, RequestKey};

/// More refusals than any connection may have.
const MANY: usize = 10_000;

#[test]
fn refused_request_is_not_sent_on_the_same_connection_again() {
    let mut history = ConnectionHistory::default();
    let order = RequestKey::of("order");
    assert!(history.may_carry(order));
    history.record_refusal(order);
    assert!(!history.may_carry(order));
    assert!(history.may_carry(RequestKey::of("another")));
}

#[test]
fn refused_request_is_remembered_for_as_long_as_the_connection_may_be_used() {
    let mut history = ConnectionHistory::default();
    let order = RequestKey::of("order");
    history.record_refusal(order);
    for number in 0..MANY {
        assert!(!history.may_carry(order), "after {number} more refusals");
        if !history.has_room() {
            return;
        }
        history.record_refusal(RequestKey::of(&number.to_string()));
    }
    panic!("the history of a connection grows without a bound");
}
