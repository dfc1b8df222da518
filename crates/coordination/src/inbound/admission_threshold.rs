//! Estimate of the lowest priority that gets through to the back end, reported to
//! upstream nodes as the admission level.
//!
//! The queue itself serves the most important attempts first and rejects the rest.
//! The admission level estimates the lowest priority that is served, so that
//! upstream callers refuse at once the calls that would be rejected here.
//!
//! In each short window the surplus of demand over capacity is measured locally:
//! the growth of the queue, plus the attempts rejected, less the calls that free
//! slots could have served. The level is corrected by a part of that surplus, and
//! by a smaller part of the difference between the queue and its short target
//! length. User priorities are uniformly distributed and the same for a whole
//! request tree, so that every server sheds the same requests.

use std::time::Duration;

use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::Timestamp;

/// Interval at which the level is revised while there are enough arrivals.
const WINDOW: Duration = Duration::from_millis(100);
/// Number of arrivals in a window that is enough to revise the level.
const MIN_ARRIVALS: u32 = 20;
/// Longest window: after this the level is revised whatever the number of
/// arrivals.
const MAX_WINDOW: Duration = Duration::from_millis(400);
/// Number of calls that free slots could have served at which the level is revised
/// without waiting for enough arrivals.
const CLEAR_SPARE_CAPACITY: f64 = 5.0;
/// The demand at and above the level is not cut below this share of the runs that
/// ended, which measure the capacity.
const MIN_DEMAND_PER_SERVED: f64 = 0.9;
/// Number of admission levels: 3 classes of 128 user priorities.
const LEVEL_COUNT: usize = 384;
/// Number of levels over which the demand just above the level is averaged.
const DENSITY_SPAN: usize = 64;
/// Factor that the counts of demand and of ended runs are multiplied with after
/// each window.
const DEMAND_DECAY: f64 = 0.8;
/// Utilization of the slots, relative to the limit, at which there is no spare
/// capacity and the level stays unchanged.
const TARGET_UTILIZATION: f64 = 1.0;
/// Lowest utilization from which the spare capacity is extrapolated.
const MIN_UTILIZATION: f64 = 0.05;
/// Share of the surplus that one window corrects. Callers learn of a new level
/// only with later answers, so a larger share would overshoot.
const SURPLUS_GAIN: f64 = 0.3;
/// Share of the queue's excess over its target length that one window corrects.
const QUEUE_GAIN: f64 = 0.1;
/// Target length of the queue, relative to the square root of the limit of running
/// calls: the number of arrivals varies at random by about that square root.
const DEFAULT_TARGET_QUEUE: f64 = 0.8;
/// Largest share of the demand that one window excludes by raising the level.
const MAX_EXCLUDED_SHARE: f64 = 0.3;
/// Largest number of levels by which one window lowers the level.
const MAX_LOWERED_LEVELS: f64 = 64.0;

/// Occupancy of the server between two events.
#[derive(Clone, Copy, Debug, Default)]
pub struct Occupancy {
    /// Number of calls running.
    pub running: usize,
    /// Number of calls allowed to run at once.
    pub limit: u32,
    /// Number of calls waiting in the queue.
    pub queued: usize,
}

/// Estimator of the admission level of one service on one server.
#[derive(Clone, Debug)]
pub struct AdmissionThreshold {
    level: u16,
    /// Number of recent arrivals at each level, decayed by [`DEMAND_DECAY`].
    demand: Vec<f64>,
    /// Number of recent runs that ended, decayed like the demand.
    served: f64,
    /// Target length of the queue, relative to the square root of the limit.
    target_queue: f64,
    window: Window,
}

/// Counts since the level was last revised.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    started: Timestamp,
    observed: Timestamp,
    arrivals: u32,
    rejections: u32,
    finished: u32,
    busy_seconds: f64,
    queue_at_start: usize,
    last: Occupancy,
}

impl Default for AdmissionThreshold {
    fn default() -> Self {
        AdmissionThreshold {
            level: 0,
            demand: vec![0.0; LEVEL_COUNT],
            served: 0.0,
            target_queue: DEFAULT_TARGET_QUEUE,
            window: Window::default(),
        }
    }
}

impl AdmissionThreshold {
    /// Creates a threshold that keeps the queue at about `target_queue` times the
    /// square root of the limit.
    pub fn with_target_queue(target_queue: f64) -> Self {
        AdmissionThreshold {
            target_queue,
            ..AdmissionThreshold::default()
        }
    }

    /// The lowest admission level that gets through to the back end.
    pub fn level(&self) -> AdmissionLevel {
        AdmissionLevel(self.level)
    }

    /// Resets all counts, but keeps the level until it is next revised.
    pub fn reset_counts(&mut self, now: Timestamp) {
        self.demand.fill(0.0);
        self.served = 0.0;
        self.window = Window::starting_at(now, 0);
    }

    /// Records that an attempt of `level` arrived.
    pub fn record_arrival(&mut self, level: AdmissionLevel) {
        self.window.arrivals += 1;
        if let Some(count) = self.demand.get_mut(usize::from(level.0)) {
            *count += 1.0;
        }
    }

    /// Records that an attempt was rejected for lack of capacity or evicted for
    /// another one.
    pub fn record_rejection(&mut self) {
        self.window.rejections += 1;
    }

    /// Records that a run ended.
    pub fn record_run_end(&mut self) {
        self.window.finished += 1;
        self.served += 1.0;
    }

    /// Accounts for the time since the last call of this function, during which
    /// the server had the given occupancy, and revises the level when the window is
    /// over.
    pub fn observe(&mut self, now: Timestamp, occupancy: Occupancy) {
        self.window.accumulate(now, occupancy);
        if self.window.is_over(now) {
            self.revise();
            self.window = Window::starting_at(now, occupancy.queued);
        }
    }

    fn revise(&mut self) {
        let correction = SURPLUS_GAIN * self.window.surplus()
            + QUEUE_GAIN * self.window.excess_queue(self.target_queue);
        let share = correction / f64::from(self.window.arrivals.max(1));
        if share > 0.0 {
            self.raise(share.min(MAX_EXCLUDED_SHARE));
        } else if self.level > 0 {
            self.lower(-share);
        }
        for count in &mut self.demand {
            *count *= DEMAND_DECAY;
        }
        self.served *= DEMAND_DECAY;
    }

    /// Raises the level so that the least important `share` of the admitted demand
    /// is excluded.
    fn raise(&mut self, share: f64) {
        let demand = self.admitted_demand();
        let excludable = demand - MIN_DEMAND_PER_SERVED * self.served;
        let to_exclude = (share * demand).min(excludable);
        let mut excluded = 0.0;
        while usize::from(self.level) < LEVEL_COUNT - 1 && excluded < to_exclude {
            excluded += self.demand[usize::from(self.level)];
            self.level += 1;
        }
    }

    /// Lowers the level so that the admitted demand grows by `share`. The demand
    /// below the level does not reach this server; it is assumed to be as dense as
    /// just above the level.
    fn lower(&mut self, share: f64) {
        let level = usize::from(self.level);
        let above = &self.demand[level..(level + DENSITY_SPAN).min(LEVEL_COUNT)];
        let density = above.iter().sum::<f64>() / above.len() as f64;
        let levels = if density > 0.0 {
            share * self.admitted_demand() / density
        } else {
            MAX_LOWERED_LEVELS
        };
        let step = levels.min(MAX_LOWERED_LEVELS).ceil() as u16;
        self.level = self.level.saturating_sub(step);
    }

    fn admitted_demand(&self) -> f64 {
        self.demand[usize::from(self.level)..].iter().sum()
    }
}

impl Window {
    fn starting_at(now: Timestamp, queued: usize) -> Self {
        Window {
            started: now,
            observed: now,
            queue_at_start: queued,
            ..Window::default()
        }
    }

    fn is_over(&self, now: Timestamp) -> bool {
        let elapsed = now.saturating_since(self.started);
        let enough = self.arrivals >= MIN_ARRIVALS || elapsed >= MAX_WINDOW;
        elapsed >= WINDOW && (enough || self.spare_capacity() >= CLEAR_SPARE_CAPACITY)
    }

    fn accumulate(&mut self, now: Timestamp, occupancy: Occupancy) {
        let elapsed = now.saturating_since(self.observed).as_secs_f64();
        let in_use = occupancy.running as f64 / f64::from(occupancy.limit.max(1));
        self.busy_seconds += elapsed * in_use.min(1.0);
        self.observed = now;
        self.last = occupancy;
    }

    /// Demand in excess of capacity, in calls; negative if there is spare capacity.
    fn surplus(&self) -> f64 {
        let growth = self.last.queued as f64 - self.queue_at_start as f64;
        growth + f64::from(self.rejections) - self.spare_capacity()
    }

    /// Number of waiting calls in excess of the target length; negative if fewer
    /// wait.
    fn excess_queue(&self, target_queue: f64) -> f64 {
        let target = f64::from(self.last.limit).sqrt() * target_queue;
        self.last.queued as f64 - target
    }

    /// Number of calls that free slots could have served.
    fn spare_capacity(&self) -> f64 {
        let elapsed = self.observed.saturating_since(self.started).as_secs_f64();
        let utilization = self.busy_seconds / elapsed.max(f64::EPSILON);
        let free = (TARGET_UTILIZATION - utilization).max(0.0);
        f64::from(self.finished.max(1)) * free / utilization.max(MIN_UTILIZATION)
    }
}
