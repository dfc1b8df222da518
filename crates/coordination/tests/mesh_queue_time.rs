//! Tests of how long a request may wait in queues.

mod mesh_support;

use lifthollow_coordination::mesh::queue_time::QueueTime;
use mesh_support::{at, ms};

#[test]
fn time_lost_at_a_silent_server_does_not_count_as_time_in_queues() {
    let queue_time = QueueTime::new(Some(ms(1500)), false);
    assert_eq!(queue_time.max_wait(at(0), at(2000)), ms(300));
    assert_eq!(queue_time.max_wait(at(450), at(2000)), ms(300));
}

#[test]
fn time_in_all_queues_together_is_limited() {
    let mut queue_time = QueueTime::new(Some(ms(1500)), false);
    queue_time.record_wait(ms(120));
    assert_eq!(queue_time.max_wait(at(120), at(2000)), ms(180));
    queue_time.record_wait(ms(180));
    assert_eq!(queue_time.max_wait(at(300), at(2000)), ms(0));
}

#[test]
fn request_close_to_its_deadline_waits_for_a_fraction_of_the_time_that_is_left() {
    let queue_time = QueueTime::new(Some(ms(1500)), false);
    assert_eq!(queue_time.max_wait(at(1500), at(2000)), ms(100));
    assert_eq!(queue_time.max_wait(at(2000), at(2000)), ms(0));
}

#[test]
fn nested_call_waits_for_a_fraction_of_its_remaining_time() {
    let queue_time = QueueTime::new(Some(ms(1500)), true);
    assert_eq!(queue_time.max_wait(at(0), at(600)), ms(300));
    assert_eq!(queue_time.max_wait(at(400), at(600)), ms(100));
}
