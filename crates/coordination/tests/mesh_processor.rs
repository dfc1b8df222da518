//! A node that has less processor time than its server has slots.

use std::time::Duration;

use lifthollow_coordination::mesh::processor_admission::ProcessorAdmission;
use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::Timestamp;

/// Attempts a second that the node has time for.
const CAPACITY: f64 = 800.0;
/// Time between looks at how late its thread is woken.
const LOOK: f64 = 0.025;
/// Levels of what is sent are spread evenly below this.
const LEVELS: u64 = 256;
/// Callers' nodes learn of a level so many looks later.
const NEWS: usize = 4;

struct Node {
    admission: ProcessorAdmission,
    /// Attempts that wait to be read.
    backlog: f64,
    looks: u64,
    sent: u64,
    told: Vec<AdmissionLevel>,
}

#[derive(Default)]
struct Outcome {
    /// The longest that an attempt waited to be read, seconds.
    longest_wait: f64,
    /// Attempts of the most important quarter that were sent, and that were admitted.
    important: (u32, u32),
    admitted: u32,
}

impl Node {
    fn new() -> Self {
        Node {
            admission: ProcessorAdmission::default(),
            backlog: 0.0,
            looks: 0,
            sent: 0,
            told: vec![AdmissionLevel::OPEN],
        }
    }

    /// Has `per_second` attempts sent for so many seconds; those below the level that callers'
    /// nodes know are refused there, if they heed it.
    fn play(&mut self, per_second: f64, seconds: f64, heed: bool) -> Outcome {
        let mut outcome = Outcome::default();
        for _ in 0..(seconds / LOOK) as usize {
            self.looks += 1;
            let now = Timestamp::from_micros((self.looks as f64 * LOOK * 1e6) as u64);
            let known = self.told[self.told.len().saturating_sub(NEWS)];
            for _ in 0..(per_second * LOOK) as usize {
                self.sent += 1;
                let level = AdmissionLevel((self.sent * 97 % LEVELS) as u16);
                let is_important = u64::from(level.0) >= LEVELS * 3 / 4;
                let is_admitted = !heed || level >= known;
                outcome.important.0 += u32::from(is_important);
                if is_admitted {
                    outcome.admitted += 1;
                    outcome.important.1 += u32::from(is_important);
                    self.backlog += 1.0;
                    self.admission.arrived(now, level);
                }
            }
            let done = self.backlog.min(CAPACITY * LOOK);
            self.backlog -= done;
            (0..done as usize).for_each(|_| self.admission.finished());
            let wait = self.backlog / CAPACITY;
            outcome.longest_wait = outcome.longest_wait.max(wait);
            self.admission.observe(now, Duration::from_secs_f64(wait));
            self.told.push(self.admission.level());
        }
        outcome
    }
}

/// At 1.5 times what the node has time for, attempts wait 5 s and more without the level, and at
/// most 0.4 s with it; the most important quarter is admitted, and little time is left unused.
#[test]
fn what_a_node_has_no_time_for_is_refused_before_it_is_sent_there() {
    let without = Node::new().play(CAPACITY * 1.5, 15.0, false);
    assert!(without.longest_wait > 5.0, "{}", without.longest_wait);
    let mut node = Node::new();
    let with = node.play(CAPACITY * 1.5, 15.0, true);
    assert!(with.longest_wait < 0.4, "{}", with.longest_wait);
    let (sent, admitted) = with.important;
    let share = f64::from(admitted) / f64::from(sent);
    assert!(share > 0.98, "{share} of the important ones");
    let used = f64::from(with.admitted) / (CAPACITY * 15.0);
    assert!((0.9..1.05).contains(&used), "{used} of the time");
}

#[test]
fn a_node_with_time_left_admits_all() {
    let mut node = Node::new();
    node.play(CAPACITY * 1.5, 5.0, true);
    node.play(CAPACITY * 0.6, 3.0, true);
    assert_eq!(node.admission.level(), AdmissionLevel::OPEN);
    let calm = node.play(CAPACITY * 0.9, 5.0, true);
    assert_eq!(calm.important.0, calm.important.1);
}

/// A process that stood still for seconds has not too much to do for that.
#[test]
fn a_node_that_stood_still_soon_admits_all_again() {
    let mut node = Node::new();
    node.play(CAPACITY * 0.5, 2.0, true);
    let now = Timestamp::from_micros((node.looks as f64 * LOOK * 1e6) as u64);
    node.admission.observe(now, Duration::from_secs(6));
    node.play(CAPACITY * 0.5, 1.0, true);
    assert_eq!(node.admission.level(), AdmissionLevel::OPEN);
}
