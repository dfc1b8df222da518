//! The lowest priority that gets through to the back end, as told upstream.
//!
//! The queue itself serves the most important first and turns the rest away.
//! This is the estimate of where the line runs, so that callers further up
//! refuse at once what would be turned away here. In short windows it rises by
//! part of the demand that was turned away, and falls by part of the room that
//! was left. User priorities are uniform and the same for a whole request tree,
//! so that every server sheds the same requests.

use std::time::Duration;

use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::Timestamp;

/// How often the level is revised.
const WINDOW: Duration = Duration::from_millis(100);
/// Admission levels there are.
const LEVELS: usize = 384;
/// Levels over which the demand just above the line is averaged.
const DENSITY_SPAN: usize = 64;
/// Share of the demand counts kept from one window to the next.
const DEMAND_MEMORY: f64 = 0.8;
/// Slots in use, relative to the limit, at which the level stays.
const TARGET_UTILIZATION: f64 = 0.95;
/// Part of what was too much, or of the room, that one window corrects.
const GAIN: f64 = 0.4;
/// Levels that one window admits at most.
const MAX_LOWERING: f64 = 64.0;

/// What the server looks like between two events.
#[derive(Clone, Copy, Debug, Default)]
pub struct Occupancy {
    /// Calls running.
    pub running: usize,
    /// Calls allowed to run at once.
    pub limit: u32,
}

/// Admission level of one service on one server.
#[derive(Clone, Debug)]
pub struct AdmissionThreshold {
    level: u16,
    demand: Vec<f64>,
    window: Window,
}

/// What was seen since the level was last revised.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    started: Timestamp,
    observed: Timestamp,
    arrivals: u32,
    turned_away: u32,
    busy_seconds: f64,
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
    /// The lowest level that gets through.
    pub fn level(&self) -> AdmissionLevel {
        AdmissionLevel(self.level)
    }

    /// Forgets what was seen, but keeps the level until it is revised.
    pub fn restart(&mut self, now: Timestamp) {
        self.demand.fill(0.0);
        self.window = Window::starting_at(now);
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

    /// Accounts for the time since the last call, during which the server
    /// looked like `occupancy`, and revises the level when it is due.
    pub fn observe(&mut self, now: Timestamp, occupancy: Occupancy) {
        self.window.accumulate(now, occupancy);
        if now.saturating_since(self.window.started) >= WINDOW {
            self.revise();
            self.window = Window::starting_at(now);
        }
    }

    fn revise(&mut self) {
        if self.window.turned_away > 0 {
            self.raise(GAIN * self.window.share_turned_away());
        } else if self.level > 0 {
            self.lower(GAIN * self.window.room());
        }
        for count in &mut self.demand {
            *count *= DEMAND_MEMORY;
        }
    }

    /// Shuts out the least important share of the demand above the line.
    fn raise(&mut self, share: f64) {
        let to_shut_out = share * self.demand_above_line();
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
        let levels = share * self.demand_above_line() / density.max(f64::EPSILON);
        let step = levels.clamp(0.0, MAX_LOWERING).ceil() as u16;
        self.level = self.level.saturating_sub(step);
    }

    fn demand_above_line(&self) -> f64 {
        self.demand[usize::from(self.level)..].iter().sum()
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
    }

    fn share_turned_away(&self) -> f64 {
        f64::from(self.turned_away) / f64::from(self.arrivals.max(self.turned_away).max(1))
    }

    /// How much more could have been served, relative to what was.
    fn room(&self) -> f64 {
        let elapsed = self.observed.saturating_since(self.started).as_secs_f64();
        let utilization = self.busy_seconds / elapsed.max(f64::EPSILON);
        (TARGET_UTILIZATION / utilization.max(f64::EPSILON) - 1.0).max(0.0)
    }
}
