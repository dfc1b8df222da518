//! The lowest priority that gets through to the back end, as told upstream.
//!
//! The queue itself serves the most important first and turns the rest away.
//! This is the estimate of where the line runs, so that callers further up
//! refuse at once what would be turned away here.
//!
//! In short windows the surplus of demand over capacity is taken from what is
//! seen here: the growth of the queue, plus what was turned away, less what free
//! slots could have served. The line moves by a part of that surplus, and by a
//! smaller part of the distance of the queue from a short target. User priorities are uniform and the same for a whole request tree,
//! so that every server sheds the same requests.

use std::time::Duration;

use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::Timestamp;

/// How often the level is revised while there are enough arrivals to judge by.
const WINDOW: Duration = Duration::from_millis(100);
/// Arrivals that are enough.
const MIN_ARRIVALS: u32 = 20;
/// How long they are waited for.
const MAX_WINDOW: Duration = Duration::from_millis(400);
/// Calls that free slots could have served, at which there is clearly room.
const CLEAR_ROOM: f64 = 5.0;
/// Demand above the line is not cut below this share of the capacity seen.
const KEPT_CAPACITY: f64 = 0.9;
/// Admission levels there are.
const LEVELS: usize = 384;
/// Levels over which the demand just above the line is averaged.
const DENSITY_SPAN: usize = 64;
/// Share of the demand counts kept from one window to the next.
const DEMAND_MEMORY: f64 = 0.8;
/// Slots in use, relative to the limit, at which the level stays.
const TARGET_UTILIZATION: f64 = 1.0;
/// Utilization below which the room is no longer extrapolated.
const MIN_UTILIZATION: f64 = 0.05;
/// Part of the surplus that one window corrects: callers learn of a new level
/// only with later answers, so that more would overshoot.
const SURPLUS_GAIN: f64 = 0.3;
/// Part of the queue's distance from its target that one window corrects.
const QUEUE_GAIN: f64 = 0.1;
/// Calls that may wait, relative to the square root of those that run: that is
/// how much the number of arrivals varies by chance.
const DEFAULT_TARGET_QUEUE: f64 = 0.8;
/// Largest share of the demand that one window shuts out.
const MAX_RAISE: f64 = 0.3;
/// Levels that one window lets in at most.
const MAX_LOWERING: f64 = 64.0;

/// What the server looks like between two events.
#[derive(Clone, Copy, Debug, Default)]
pub struct Occupancy {
    /// Calls running.
    pub running: usize,
    /// Calls allowed to run at once.
    pub limit: u32,
    /// Calls waiting.
    pub queued: usize,
}

/// Admission level of one service on one server.
#[derive(Clone, Debug)]
pub struct AdmissionThreshold {
    level: u16,
    demand: Vec<f64>,
    /// Runs that ended, remembered as long as the demand.
    served: f64,
    /// Calls that may wait, relative to the square root of the limit.
    target_queue: f64,
    window: Window,
}

/// What was seen since the level was last revised.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    started: Timestamp,
    observed: Timestamp,
    arrivals: u32,
    turned_away: u32,
    finished: u32,
    busy_seconds: f64,
    queue_at_start: usize,
    last: Occupancy,
}

impl Default for AdmissionThreshold {
    fn default() -> Self {
        AdmissionThreshold {
            level: 0,
            demand: vec![0.0; LEVELS],
            served: 0.0,
            target_queue: DEFAULT_TARGET_QUEUE,
            window: Window::default(),
        }
    }
}

impl AdmissionThreshold {
    /// A threshold that keeps about `target_queue` times the square root of the
    /// limit waiting.
    pub fn with_target_queue(target_queue: f64) -> Self {
        AdmissionThreshold {
            target_queue,
            ..AdmissionThreshold::default()
        }
    }

    /// The lowest level that gets through.
    pub fn level(&self) -> AdmissionLevel {
        AdmissionLevel(self.level)
    }

    /// Forgets what was seen, but keeps the level until it is revised.
    pub fn restart(&mut self, now: Timestamp) {
        self.demand.fill(0.0);
        self.served = 0.0;
        self.window = Window::starting_at(now, 0);
    }

    /// An attempt arrived.
    pub fn arrived(&mut self, level: AdmissionLevel) {
        self.window.arrivals += 1;
        if let Some(count) = self.demand.get_mut(usize::from(level.0)) {
            *count += 1.0;
        }
    }

    /// An attempt found no room, or was evicted for another.
    pub fn turned_away(&mut self) {
        self.window.turned_away += 1;
    }

    /// A run ended.
    pub fn finished(&mut self) {
        self.window.finished += 1;
        self.served += 1.0;
    }

    /// Accounts for the time since the last call, during which the server
    /// looked like `occupancy`, and revises the level when it is due.
    pub fn observe(&mut self, now: Timestamp, occupancy: Occupancy) {
        self.window.accumulate(now, occupancy);
        if self.window.is_over(now) {
            self.revise();
            self.window = Window::starting_at(now, occupancy.queued);
        }
    }

    fn revise(&mut self) {
        let correction = SURPLUS_GAIN * self.window.surplus()
            + QUEUE_GAIN * self.window.backlog(self.target_queue);
        let share = correction / f64::from(self.window.arrivals.max(1));
        if share > 0.0 {
            self.raise(share.min(MAX_RAISE));
        } else if self.level > 0 {
            self.lower(-share);
        }
        for count in &mut self.demand {
            *count *= DEMAND_MEMORY;
        }
        self.served *= DEMAND_MEMORY;
    }

    /// Shuts out the least important share of the demand above the line.
    fn raise(&mut self, share: f64) {
        let demand = self.demand_above_line();
        let spare = demand - KEPT_CAPACITY * self.served;
        let to_shut_out = (share * demand).min(spare);
        let mut shut_out = 0.0;
        while usize::from(self.level) < LEVELS - 1 && shut_out < to_shut_out {
            shut_out += self.demand[usize::from(self.level)];
            self.level += 1;
        }
    }

    /// Lets in more, as a share of the demand above the line. The demand below
    /// is not seen here; it is taken to be as dense as just above.
    fn lower(&mut self, share: f64) {
        let line = usize::from(self.level);
        let near = &self.demand[line..(line + DENSITY_SPAN).min(LEVELS)];
        let density = near.iter().sum::<f64>() / near.len() as f64;
        let levels = if density > 0.0 {
            share * self.demand_above_line() / density
        } else {
            MAX_LOWERING
        };
        let step = levels.min(MAX_LOWERING).ceil() as u16;
        self.level = self.level.saturating_sub(step);
    }

    fn demand_above_line(&self) -> f64 {
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
        elapsed >= WINDOW && (enough || self.room() >= CLEAR_ROOM)
    }

    fn accumulate(&mut self, now: Timestamp, occupancy: Occupancy) {
        let elapsed = now.saturating_since(self.observed).as_secs_f64();
        let in_use = occupancy.running as f64 / f64::from(occupancy.limit.max(1));
        self.busy_seconds += elapsed * in_use.min(1.0);
        self.observed = now;
        self.last = occupancy;
    }

    /// Demand less capacity, in calls.
    fn surplus(&self) -> f64 {
        let growth = self.last.queued as f64 - self.queue_at_start as f64;
        growth + f64::from(self.turned_away) - self.room()
    }

    /// Calls that wait beyond the target.
    fn backlog(&self, target_queue: f64) -> f64 {
        let target = f64::from(self.last.limit).sqrt() * target_queue;
        self.last.queued as f64 - target
    }

    /// Calls that free slots could have served.
    fn room(&self) -> f64 {
        let elapsed = self.observed.saturating_since(self.started).as_secs_f64();
        let utilization = self.busy_seconds / elapsed.max(f64::EPSILON);
        let free = (TARGET_UTILIZATION - utilization).max(0.0);
        f64::from(self.finished.max(1)) * free / utilization.max(MIN_UTILIZATION)
    }
}
