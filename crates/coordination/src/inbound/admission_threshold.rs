//! The lowest priority that a server admits.
//!
//! Arrivals are counted by admission level in short windows. When a window had
//! to turn admitted work away, or left a standing queue, the threshold rises to
//! the level above which the demand just fits. When slots stayed free, it falls
//! in proportion to the room. User priorities are uniform and the same for a
//! whole request tree, so that every server sheds the same requests.

use std::time::Duration;

use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::Timestamp;

/// How often the threshold is revised.
const WINDOW: Duration = Duration::from_millis(100);
/// Admission levels there are.
const LEVELS: usize = 384;
/// Share of the demand counts kept from one window to the next.
const DEMAND_MEMORY: f64 = 0.7;
/// Slots in use, relative to the limit, at which the threshold stays.
const TARGET_UTILIZATION: f64 = 0.95;
/// Largest relative growth of the admitted levels in one window.
const MAX_GROWTH: f64 = 0.3;
/// Largest share of the admitted demand shut out in one window.
const MAX_REDUCTION: f64 = 0.5;
/// Standing queue, relative to the limit, that is not held against admission.
const STANDING_QUEUE_SHARE: f64 = 0.5;

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

/// Threshold of one service on one server.
#[derive(Clone, Debug)]
pub struct AdmissionThreshold {
    level: u16,
    demand: Vec<f64>,
    window: Window,
}

/// What was seen since the threshold was last revised.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    started: Timestamp,
    observed: Timestamp,
    arrivals: u32,
    turned_away: u32,
    busy_seconds: f64,
    shortest_queue: Option<usize>,
    limit: u32,
}

impl Default for AdmissionThreshold {
    fn default() -> Self {
        AdmissionThreshold {
            level: 0,
            demand: vec![0.0; LEVELS],
            window: Window::default(),
        }
    }
}

impl AdmissionThreshold {
    /// The lowest level admitted now.
    pub fn level(&self) -> AdmissionLevel {
        AdmissionLevel(self.level)
    }

    /// Forgets what was seen, but keeps the level until it is revised.
    pub fn restart(&mut self, now: Timestamp) {
        self.demand.fill(0.0);
        self.window = Window::starting_at(now);
    }

    /// An attempt at or above the threshold arrived.
    pub fn arrived(&mut self, level: AdmissionLevel) {
        self.window.arrivals += 1;
        if let Some(count) = self.demand.get_mut(usize::from(level.0)) {
            *count += 1.0;
        }
    }

    /// An attempt at or above the threshold found no room, or was evicted.
    pub fn turned_away(&mut self) {
        self.window.turned_away += 1;
    }

    /// Accounts for the time since the last call, during which the server
    /// looked like `occupancy`, and revises the threshold when it is due.
    pub fn observe(&mut self, now: Timestamp, occupancy: Occupancy) {
        self.window.accumulate(now, occupancy);
        if now.saturating_since(self.window.started) >= WINDOW {
            self.revise();
            self.window = Window::starting_at(now);
        }
    }

    fn revise(&mut self) {
        let excess = self.window.excess();
        if excess > 0.0 {
            self.raise(excess);
        } else if self.level > 0 {
            self.lower();
        }
        for count in &mut self.demand {
            *count *= DEMAND_MEMORY;
        }
    }

    /// Shuts out the least important share `excess` of the admitted demand.
    fn raise(&mut self, excess: f64) {
        let admitted: f64 = self.demand[usize::from(self.level)..].iter().sum();
        let to_shut_out = admitted * excess.min(MAX_REDUCTION);
        let mut shut_out = 0.0;
        while usize::from(self.level) < LEVELS - 1 && shut_out < to_shut_out {
            shut_out += self.demand[usize::from(self.level)];
            self.level += 1;
        }
    }

    /// Admits more levels, in proportion to the room there was.
    fn lower(&mut self) {
        let utilization = self.window.utilization();
        let room = TARGET_UTILIZATION / utilization.max(f64::EPSILON) - 1.0;
        if room <= 0.0 {
            return;
        }
        let admitted_levels = f64::from(LEVELS as u16 - self.level);
        let step = (admitted_levels * room.min(MAX_GROWTH)).ceil() as u16;
        self.level = self.level.saturating_sub(step);
    }
}

impl Window {
    fn starting_at(now: Timestamp) -> Self {
        Window {
            started: now,
            observed: now,
            ..Window::default()
        }
    }

    fn accumulate(&mut self, now: Timestamp, occupancy: Occupancy) {
        let elapsed = now.saturating_since(self.observed).as_secs_f64();
        let in_use = occupancy.running as f64 / f64::from(occupancy.limit.max(1));
        self.busy_seconds += elapsed * in_use.min(1.0);
        self.observed = now;
        self.limit = occupancy.limit;
        let shortest = self.shortest_queue.unwrap_or(occupancy.queued);
        self.shortest_queue = Some(shortest.min(occupancy.queued));
    }

    /// Share of the slots in use, on average.
    fn utilization(&self) -> f64 {
        let elapsed = self.observed.saturating_since(self.started).as_secs_f64();
        self.busy_seconds / elapsed.max(f64::EPSILON)
    }

    /// Share of the arrivals that were too many.
    fn excess(&self) -> f64 {
        let tolerated = f64::from(self.limit) * STANDING_QUEUE_SHARE;
        let standing = self.shortest_queue.unwrap_or(0) as f64 - tolerated;
        let too_many = f64::from(self.turned_away) + standing.max(0.0);
        too_many / f64::from(self.arrivals.max(1))
    }
}
