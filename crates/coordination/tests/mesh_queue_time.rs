//! Tests of how long a request may wait in queues.

mod mesh_support;

use lifthollow_coordination::mesh::queue_time::QueueTime;
use mesh_support::{at, ms};

#[test]
fn time_lost_at_a_silent_server_does_not_count_as_time_in_queues() {
    let mut queue_time = QueueTime::new(at(0), Some(ms(1500)), false);
    assert_eq!(queue_time.max_wait(at(0), at(2000)), ms(300));
    queue_time.record_loss(at(450), at(20));
    assert_eq!(queue_time.max_wait(at(450), at(2000)), ms(280));
}

#[test]
fn all_other_time_counts_so_that_a_refusal_comes_early() {
    let queue_time = QueueTime::new(at(0), Some(ms(1500)), false);
    assert_eq!(queue_time.max_wait(at(120), at(2000)), ms(180));
    assert_eq!(queue_time.max_wait(at(300), at(2000)), ms(0));
}

#[test]
fn losses_of_concurrent_attempts_leave_no_more_than_the_whole_time() {
    let mut queue_time = QueueTime::new(at(0), Some(ms(1500)), false);
    queue_time.record_loss(at(400), at(10));
    queue_time.record_loss(at(700), at(10));
    assert_eq!(queue_time.max_wait(at(700), at(3000)), ms(300));
}

#[test]
fn request_close_to_its_deadline_waits_for_a_fraction_of_the_time_that_is_left() {
    let mut queue_time = QueueTime::new(at(0), Some(ms(1500)), false);
    queue_time.record_loss(at(1500), at(0));
    assert_eq!(queue_time.max_wait(at(1500), at(2000)), ms(100));
}

#[test]
fn nested_call_waits_for_a_fraction_of_its_remaining_time() {
    let queue_time = QueueTime::new(at(0), Some(ms(1500)), true);
    assert_eq!(queue_time.max_wait(at(0), at(600)), ms(300));
    assert_eq!(queue_time.max_wait(at(400), at(600)), ms(100));
}
