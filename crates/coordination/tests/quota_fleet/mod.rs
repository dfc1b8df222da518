//! Simulation of a fleet that enforces one tenant's limit, without a network: requests arrive at
//! its nodes, nodes are cut off or killed, and messages are delayed.

pub mod ways;

use std::ops::Range;
use std::time::Duration;

use lifthollow_coordination::mesh::tenants::fleet_quota::QuotaTolerance;
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::RateLimit;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Time that a message takes from one node to another.
pub const DELAY: Duration = Duration::from_millis(2);
/// Duration of a simulation, in seconds.
const DURATION_S: f64 = 30.0;
/// Time step of a simulation, in seconds.
const STEP_S: f64 = 0.001;

pub fn at(seconds: f64) -> Timestamp {
    Timestamp::from_micros((seconds * 1e6) as u64)
}

/// Period of a simulation, in seconds from its start.
pub type Period = Range<f64>;

/// Load and faults of a simulated fleet.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub nodes: usize,
    /// Requests per second that the tenant usually sends, as a fraction of its limit.
    pub load: f64,
    /// Factor by which the tenant sends more requests than usual, and the period of that.
    pub surge: Option<(f64, Period)>,
    /// Whether all of the tenant's requests arrive at one node.
    pub at_one_node: bool,
    /// Nodes that are cut off from all others, and the period of that.
    pub cut_off: Option<(Range<usize>, Period)>,
    /// Period at whose start the lender's process is killed and at whose end it runs again.
    pub lender_killed: Option<Period>,
    /// Period at whose start all processes are killed and at whose end they run again.
    pub all_killed: Option<Period>,
}

impl Scenario {
    pub fn calm(nodes: usize) -> Scenario {
        Scenario {
            name: "calm",
            nodes,
            load: 0.625,
            surge: None,
            at_one_node: false,
            cut_off: None,
            lender_killed: None,
            all_killed: None,
        }
    }

    fn rate(&self, limit: RateLimit, time: f64) -> f64 {
        let usual = limit.per_second() * self.load;
        match &self.surge {
            Some((times, period)) if period.contains(&time) => usual * times,
            _ => usual,
        }
    }

    pub fn is_cut_off(&self, node: usize, time: f64) -> bool {
        self.cut_off
            .as_ref()
            .is_some_and(|(nodes, period)| nodes.contains(&node) && period.contains(&time))
    }

    /// Returns the time for which a node has been cut off; zero if it isn't.
    pub fn cut_off_for(&self, node: usize, time: f64) -> Duration {
        let since = self
            .cut_off
            .as_ref()
            .map_or(time, |(_, period)| period.start);
        match self.is_cut_off(node, time) {
            true => Duration::from_secs_f64(time - since),
            false => Duration::ZERO,
        }
    }

    /// Returns whether messages get from one node to another.
    pub fn is_connected(&self, one: usize, other: usize, time: f64) -> bool {
        one == other || !self.is_cut_off(one, time) && !self.is_cut_off(other, time)
    }

    pub fn is_running(&self, node: usize, lender: usize, time: f64) -> bool {
        let in_period =
            |period: &Option<Period>| period.as_ref().is_some_and(|period| period.contains(&time));
        let is_lender_killed = node == lender && in_period(&self.lender_killed);
        !is_lender_killed && !in_period(&self.all_killed)
    }
}

/// Strategy by which a fleet enforces a limit.
pub trait LimitStrategy {
    /// Returns the node that lends tokens, if the strategy has one.
    fn lender(&self) -> usize {
        0
    }
    /// Handles a request that arrives at `node`. Returns whether it runs, or `None` if it waits.
    fn arrive(&mut self, scenario: &Scenario, time: f64, node: usize) -> Option<bool>;
    /// Advances the simulation to `time` and returns how many of the waiting requests run now.
    fn advance(&mut self, scenario: &Scenario, time: f64) -> usize;
    /// Returns the number of messages sent so far.
    fn messages(&self) -> usize;
    /// Restarts the process of `node`, which loses all its state.
    fn restart(&mut self, scenario: &Scenario, time: f64, node: usize);
}

/// Result of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Maximum number of requests that ran in a window, as a fraction of those that may run.
    pub worst_window: f64,
    /// Requests refused that one token bucket for the whole fleet would have admitted, as a
    /// fraction of those that it admits.
    pub refused_below_limit: f64,
    /// Average number of messages per request.
    pub messages: f64,
}

/// Runs a simulation of `scenario` with requests drawn from `seed`.
pub fn simulate(
    scenario: &Scenario,
    limit: RateLimit,
    tolerance: &QuotaTolerance,
    seed: u64,
    strategy: &mut dyn LimitStrategy,
) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut ran: Vec<f64> = Vec::new();
    let mut requested = 0;
    let mut allowed = 0;
    let mut tokens = limit.burst as f64;
    let mut was_running = vec![true; scenario.nodes];
    let steps = (DURATION_S / STEP_S) as usize;
    for step in 0..steps {
        let time = step as f64 * STEP_S;
        for (node, was_running) in was_running.iter_mut().enumerate() {
            let is_running = scenario.is_running(node, strategy.lender(), time);
            if is_running && !*was_running {
                strategy.restart(scenario, time, node);
            }
            *was_running = is_running;
        }
        tokens = (tokens + limit.per_second() * STEP_S).min(limit.burst as f64);
        let mut due_requests = scenario.rate(limit, time) * STEP_S;
        while random.random::<f64>() < due_requests {
            due_requests -= 1.0;
            let node = match scenario.at_one_node {
                true => scenario.nodes / 2,
                false => random.random_range(0..scenario.nodes),
            };
            if !was_running[node] {
                continue;
            }
            requested += 1;
            if tokens >= 1.0 {
                tokens -= 1.0;
                allowed += 1;
            }
            if strategy.arrive(scenario, time, node) == Some(true) {
                ran.push(time);
            }
        }
        ran.extend(std::iter::repeat_n(time, strategy.advance(scenario, time)));
    }
    let window = tolerance.window.as_secs_f64();
    let in_window = limit.per_second() * window + limit.burst as f64;
    let allowed_in_window = in_window * (1.0 + tolerance.overshoot) + tolerance.slack;
    Outcome {
        worst_window: max_in_window(&ran, window) as f64 / allowed_in_window,
        refused_below_limit: (1.0 - ran.len() as f64 / f64::from(allowed)).max(0.0),
        messages: strategy.messages() as f64 / f64::from(requested),
    }
}

fn max_in_window(ran: &[f64], window: f64) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (last, time) in ran.iter().enumerate() {
        while ran[first] < time - window {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}
