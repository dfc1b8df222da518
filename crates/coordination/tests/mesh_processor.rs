//! Tests of admission at a node whose processor is saturated before its server's slots are.

use std::time::Duration;

use lifthollow_coordination::mesh::processor_admission::ProcessorAdmission;
use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::Timestamp;

/// Attempts per second that the node has processor time for.
const CAPACITY: f64 = 800.0;
/// Time between observations of how late the node's thread is woken, in seconds.
const OBSERVATION_SECONDS: f64 = 0.025;
/// The levels of the attempts are spread evenly below this one.
const LEVELS: u64 = 256;
/// Delay after which callers' nodes know a level, in observations.
const LEVEL_DELAY: usize = 4;

/// A simulated node.
struct Node {
    admission: ProcessorAdmission,
    /// Number of attempts that wait to be read.
    backlog: f64,
    observations: u64,
    sent: u64,
    /// The admission level after each observation.
    levels: Vec<AdmissionLevel>,
}

#[derive(Default)]
struct Outcome {
    /// The longest time that an attempt waited to be read, in seconds.
    longest_wait: f64,
    /// Numbers of attempts in the most important quarter of levels that were sent and admitted.
    important: (u32, u32),
    admitted: u32,
}

impl Node {
    fn new() -> Self {
        Node {
            admission: ProcessorAdmission::default(),
            backlog: 0.0,
            observations: 0,
            sent: 0,
            levels: vec![AdmissionLevel::OPEN],
        }
    }

    /// Simulates `per_second` attempts per second for `seconds`. If callers' nodes obey the level
    /// that they know, they refuse attempts below it.
    fn simulate_load(&mut self, per_second: f64, seconds: f64, obey_level: bool) -> Outcome {
        let mut outcome = Outcome::default();
        for _ in 0..(seconds / OBSERVATION_SECONDS) as usize {
            self.observations += 1;
            let now = Timestamp::from_micros(
                (self.observations as f64 * OBSERVATION_SECONDS * 1e6) as u64,
            );
            let known = self.levels[self.levels.len().saturating_sub(LEVEL_DELAY)];
            for _ in 0..(per_second * OBSERVATION_SECONDS) as usize {
                self.sent += 1;
                let level = AdmissionLevel((self.sent * 97 % LEVELS) as u16);
                let is_important = u64::from(level.0) >= LEVELS * 3 / 4;
                let is_admitted = !obey_level || level >= known;
                outcome.important.0 += u32::from(is_important);
                if is_admitted {
                    outcome.admitted += 1;
                    outcome.important.1 += u32::from(is_important);
                    self.backlog += 1.0;
                    self.admission.record_arrival(now, level);
                }
            }
            let done = self.backlog.min(CAPACITY * OBSERVATION_SECONDS);
            self.backlog -= done;
            (0..done as usize).for_each(|_| self.admission.record_attempt_end());
            let wait = self.backlog / CAPACITY;
            outcome.longest_wait = outcome.longest_wait.max(wait);
            self.admission.observe(now, Duration::from_secs_f64(wait));
            self.levels.push(self.admission.level());
        }
        outcome
    }
}

/// At 1.5 times the node's capacity, attempts wait 5 s and more without the admission level, and at
/// most 0.4 s with it. The most important quarter is admitted, and little processor time is unused.
#[test]
fn attempts_beyond_the_processor_time_are_refused_before_they_are_sent() {
    let without = Node::new().simulate_load(CAPACITY * 1.5, 15.0, false);
    assert!(without.longest_wait > 5.0, "{}", without.longest_wait);
    let mut node = Node::new();
    let with = node.simulate_load(CAPACITY * 1.5, 15.0, true);
    assert!(with.longest_wait < 0.4, "{}", with.longest_wait);
    let (sent, admitted) = with.important;
    let share = f64::from(admitted) / f64::from(sent);
    assert!(
        share > 0.98,
        "only {share} of the important attempts were admitted"
    );
    let used = f64::from(with.admitted) / (CAPACITY * 15.0);
    assert!(
        (0.9..1.05).contains(&used),
        "used {used} of the processor time"
    );
}

#[test]
fn a_node_with_spare_processor_time_admits_all_levels() {
    let mut node = Node::new();
    node.simulate_load(CAPACITY * 1.5, 5.0, true);
    node.simulate_load(CAPACITY * 0.6, 3.0, true);
    assert_eq!(node.admission.level(), AdmissionLevel::OPEN);
    let calm = node.simulate_load(CAPACITY * 0.9, 5.0, true);
    assert_eq!(calm.important.0, calm.important.1);
}

/// A process that was suspended for seconds is not overloaded because of that.
#[test]
fn a_node_that_was_suspended_soon_admits_all_levels_again() {
    let mut node = Node::new();
    node.simulate_load(CAPACITY * 0.5, 2.0, true);
    let now = Timestamp::from_micros((node.observations as f64 * OBSERVATION_SECONDS * 1e6) as u64);
    node.admission.observe(now, Duration::from_secs(6));
    node.simulate_load(CAPACITY * 0.5, 1.0, true);
    assert_eq!(node.admission.level(), AdmissionLevel::OPEN);
}
