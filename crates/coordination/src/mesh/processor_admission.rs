//! Which requests a node's own processor has time for.
//!
//! A node beside a server with many slots may be out of processor time long before that server is
//! full. Then everything that it passes on is late, and trees fail after most of their work is
//! done. At 1.5 times what a node has time for, attempts wait at most 0.4 s in place of 5 s and
//! more (test `mesh_processor`). On 82 played machines a gain is not shown: with and without it,
//! side by side, 0.932 and 0.926 of callers' requests were served on one day, 0.856 and 0.859 on
//! another.
//!
//! The load is seen as lateness: how much later than asked for the node's thread is woken.
//! With the attempts that arrive, that tells how many wait to be read (Little's law), and how
//! busy the processor is; an [`AdmissionThreshold`] makes a level of both, as it does of a queue
//! in front of slots.

use std::time::Duration;

use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::Timestamp;

use crate::inbound::admission_threshold::{AdmissionThreshold, Occupancy};

/// The processor is half busy if its thread is woken so late: timers are up to 2 ms late on a
/// node that has nothing to do.
const HALF_BUSY: Duration = Duration::from_millis(5);
/// Shares of the processor's time that are told apart.
const SHARES: u32 = 100;
/// Attempts that may wait to be read, relative to the square root of [`SHARES`]: 25, which is
/// 30 ms for the 800 attempts a second that keep a node with 0.4 of a core busy.
const TARGET_QUEUE: f64 = 2.5;
/// Longer lateness is not counted: the process stood still, or was suspended.
const LONGEST_LATENESS: Duration = Duration::from_millis(500);
/// The time over which arrivals are counted.
const ARRIVALS_TIME: Duration = Duration::from_millis(200);

/// The processor of one node.
#[derive(Debug)]
pub struct ProcessorAdmission {
    threshold: AdmissionThreshold,
    lateness: Duration,
    /// Attempts, counted less the longer ago they came.
    arrivals: f64,
    counted: Timestamp,
}

impl Default for ProcessorAdmission {
    fn default() -> Self {
        ProcessorAdmission {
            threshold: AdmissionThreshold::with_target_queue(TARGET_QUEUE),
            lateness: Duration::ZERO,
            arrivals: 0.0,
            counted: Timestamp::ZERO,
        }
    }
}

impl ProcessorAdmission {
    /// The lowest level that there is time for.
    pub fn level(&self) -> AdmissionLevel {
        self.threshold.level()
    }

    /// An attempt arrived.
    pub fn arrived(&mut self, now: Timestamp, level: AdmissionLevel) {
        self.count(now);
        self.arrivals += 1.0;
        self.threshold.arrived(level);
    }

    /// An attempt is over.
    pub fn finished(&mut self) {
        self.threshold.finished();
    }

    /// The node's thread was woken `lateness` later than it had asked for.
    pub fn observe(&mut self, now: Timestamp, lateness: Duration) {
        self.count(now);
        // A process that stood still says nothing of what comes now.
        let lateness = lateness.min(LONGEST_LATENESS);
        self.lateness = lateness;
        let late = lateness.as_secs_f64();
        let busy = late / (late + HALF_BUSY.as_secs_f64());
        let arrivals_per_second = self.arrivals / ARRIVALS_TIME.as_secs_f64();
        let occupancy = Occupancy {
            running: (busy * f64::from(SHARES)) as usize,
            limit: SHARES,
            queued: (late * arrivals_per_second) as usize,
        };
        self.threshold.observe(now, occupancy);
    }

    /// How late the thread was woken last.
    pub fn lateness(&self) -> Duration {
        self.lateness
    }

    fn count(&mut self, now: Timestamp) {
        let passed = now.saturating_since(self.counted).as_secs_f64();
        self.arrivals *= (-passed / ARRIVALS_TIME.as_secs_f64()).exp();
        self.counted = self.counted.max(now);
    }
}
