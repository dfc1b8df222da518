//! Admission control by the processor time of a node itself.
//!
//! A node whose local server has many slots may run out of processor time long before that server
//! is full. Then everything that the node forwards is delayed, and request trees fail after most of
//! their work is done. At 1.5 times the load that a node has processor time for, attempts wait at
//! most 0.4 s instead of 5 s and more (test `mesh_processor`). Runs with 82 simulated machines show
//! no gain: with and without this control side by side, 0.932 and 0.926 of callers' requests were
//! served in one pair of runs, and 0.856 and 0.859 in another.
//!
//! The load is measured as lateness: how much later than requested the node's thread is woken.
//! The lateness and the arrival rate give the number of attempts that wait to be read (Little's
//! law), and the lateness gives the processor's utilization. An [`AdmissionThreshold`] derives a
//! level from both, as it does for a queue in front of slots.

use std::time::Duration;

use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::Timestamp;

use crate::inbound::admission_threshold::{AdmissionThreshold, Occupancy};

/// Lateness at which the processor counts as half utilized. Timers are up to 2 ms late on an idle
/// node.
const HALF_UTILIZED_LATENESS: Duration = Duration::from_millis(5);
/// Resolution of the processor's utilization: its time is divided into this many slots.
const PROCESSOR_SLOTS: u32 = 100;
/// Attempts that may wait to be read, relative to the square root of [`PROCESSOR_SLOTS`]. The
/// result is 25 attempts, which is 30 ms for the 800 attempts per second that keep a node with 0.4
/// of a core busy.
const TARGET_QUEUE: f64 = 2.5;
/// Upper bound of a counted wake-up delay. A longer delay means that the process was blocked or
/// suspended.
const MAX_COUNTED_LATENESS: Duration = Duration::from_millis(500);
/// Time constant of the exponentially decaying count of arrivals.
const ARRIVALS_TIME_CONSTANT: Duration = Duration::from_millis(200);

/// Admission state for the processor of one node.
#[derive(Debug)]
pub struct ProcessorAdmission {
    threshold: AdmissionThreshold,
    /// The lateness of the last wake-up.
    lateness: Duration,
    /// Number of arrived attempts, decaying exponentially with their age.
    arrivals: f64,
    /// When the count of arrivals was last decayed.
    arrivals_decayed_at: Timestamp,
}

impl Default for ProcessorAdmission {
    fn default() -> Self {
        ProcessorAdmission {
            threshold: AdmissionThreshold::with_target_queue(TARGET_QUEUE),
            lateness: Duration::ZERO,
            arrivals: 0.0,
            arrivals_decayed_at: Timestamp::ZERO,
        }
    }
}

impl ProcessorAdmission {
    /// The lowest admission level that the node has processor time for.
    pub fn level(&self) -> AdmissionLevel {
        self.threshold.level()
    }

    /// Records that an attempt of this level arrived.
    pub fn record_arrival(&mut self, now: Timestamp, level: AdmissionLevel) {
        self.decay_arrivals(now);
        self.arrivals += 1.0;
        self.threshold.record_arrival(level);
    }

    /// Records that an attempt ended.
    pub fn record_attempt_end(&mut self) {
        self.threshold.record_run_end();
    }

    /// Records that the node's thread was woken `lateness` later than requested.
    pub fn observe(&mut self, now: Timestamp, lateness: Duration) {
        self.decay_arrivals(now);
        // A process that was blocked or suspended says nothing about the current load.
        let lateness = lateness.min(MAX_COUNTED_LATENESS);
        self.lateness = lateness;
        let late_seconds = lateness.as_secs_f64();
        let utilization = late_seconds / (late_seconds + HALF_UTILIZED_LATENESS.as_secs_f64());
        let arrivals_per_second = self.arrivals / ARRIVALS_TIME_CONSTANT.as_secs_f64();
        let occupancy = Occupancy {
            running: (utilization * f64::from(PROCESSOR_SLOTS)) as usize,
            limit: PROCESSOR_SLOTS,
            queued: (late_seconds * arrivals_per_second) as usize,
        };
        self.threshold.observe(now, occupancy);
    }

    /// Delay between the requested and the actual time at which the node's thread last woke up.
    pub fn lateness(&self) -> Duration {
        self.lateness
    }

    /// Decays the count of arrivals by the time since the last update.
    fn decay_arrivals(&mut self, now: Timestamp) {
        let passed = now.saturating_since(self.arrivals_decayed_at).as_secs_f64();
        self.arrivals *= (-passed / ARRIVALS_TIME_CONSTANT.as_secs_f64()).exp();
        self.arrivals_decayed_at = self.arrivals_decayed_at.max(now);
    }
}
