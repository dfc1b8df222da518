//! Simulation of a fleet that enforces one tenant's limit, without a network: requests arrive at its
//! nodes, nodes are cut off or killed, and messages are delayed.

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
const LENGTH: f64 = 30.0;
/// Time step of a simulation, in seconds.
const STEP: f64 = 0.001;

pub fn at(seconds: f64) -> Timestamp {
    Timestamp::from_micros((seconds * 1e6) as u64)
}

/// Period of a simulation, in seconds from its start.
pub type Span = Range<f64>;

/// Load and faults of a simulated fleet.
#[derive(Clone, Debug)]
pub struct Play {
    pub name: &'static str,
    pub nodes: usize,
    /// Requests per second that the tenant usually sends, as a fraction of its limit.
    pub load: f64,
    /// Factor by which the tenant sends more requests than usual, and the period of that.
    pub surge: Option<(f64, Span)>,
    /// Whether all of the tenant's requests arrive at one node.
    pub at_one_node: bool,
    /// Nodes that are cut off from all others, and the period of that.
    pub cut: Option<(Range<usize>, Span)>,
    /// Period at whose start the lender's process is killed and at whose end it runs again.
    pub lender_killed: Option<Span>,
    /// Period at whose start all processes are killed and at whose end they run again.
    pub all_killed: Option<Span>,
}

impl Play {
    pub fn calm(nodes: usize) -> Play {
        Play {
            name: "calm",
            nodes,
            load: 0.625,
            surge: None,
            at_one_node: false,
            cut: None,
            lender_killed: None,
            all_killed: None,
        }
    }

    fn rate(&self, limit: RateLimit, time: f64) -> f64 {
        let usual = limit.per_second() * self.load;
        match &self.surge {
            Some((times, span)) if span.contains(&time) => usual * times,
            _ => usual,
        }
    }

    pub fn is_cut(&self, node: usize, time: f64) -> bool {
        self.cut
            .as_ref()
            .is_some_and(|(nodes, span)| nodes.contains(&node) && span.contains(&time))
    }

    /// Returns the time for which a node has been cut off; zero if it isn't.
    pub fn cut_off_for(&self, node: usize, time: f64) -> Duration {
        let since = self.cut.as_ref().map_or(time, |(_, span)| span.start);
        match self.is_cut(node, time) {
            true => Duration::from_secs_f64(time - since),
            false => Duration::ZERO,
        }
    }

    /// Returns whether messages get from one node to another.
    pub fn is_connected(&self, one: usize, other: usize, time: f64) -> bool {
        one == other || !self.is_cut(one, time) && !self.is_cut(other, time)
    }

    pub fn is_running(&self, node: usize, lender: usize, time: f64) -> bool {
        let in_span = |span: &Option<Span>| span.as_ref().is_some_and(|span| span.contains(&time));
        let is_lender_killed = node == lender && in_span(&self.lender_killed);
        !is_lender_killed && !in_span(&self.all_killed)
    }
}

/// Strategy by which a fleet enforces a limit.
pub trait Way {
    /// Returns the node that lends tokens, if the strategy has one.
    fn lender(&self) -> usize {
        0
    }
    /// Handles a request that arrives at `node`. Returns whether it runs, or `None` if it waits.
    fn arrive(&mut self, play: &Play, time: f64, node: usize) -> Option<bool>;
    /// Advances the simulation to `time` and returns how many of the waiting requests run now.
    fn pass(&mut self, play: &Play, time: f64) -> usize;
    /// Returns the number of messages sent so far.
    fn messages(&self) -> usize;
    /// Restarts the process of `node`, which loses all its state.
    fn restarted(&mut self, play: &Play, time: f64, node: usize);
}

/// Result of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Maximum number of requests that ran in a window, as a fraction of those that may run.
    pub worst_window: f64,
    /// Requests refused that one token bucket for the whole fleet would have admitted, as a fraction
    /// of those that it admits.
    pub refused_below_limit: f64,
    /// Average number of messages per request.
    pub messages: f64,
}

/// Runs a simulation of `play` with requests drawn from `seed`.
pub fn play(
    play: &Play,
    limit: RateLimit,
    tolerance: &QuotaTolerance,
    seed: u64,
    way: &mut dyn Way,
) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut ran: Vec<f64> = Vec::new();
    let mut asked = 0;
    let mut allowed = 0;
    let mut tokens = limit.burst as f64;
    let mut was_running = vec![true; play.nodes];
    let steps = (LENGTH / STEP) as usize;
    for step in 0..steps {
        let time = step as f64 * STEP;
        for (node, was_running) in was_running.iter_mut().enumerate() {
            let is_running = play.is_running(node, way.lender(), time);
            if is_running && !*was_running {
                way.restarted(play, time, node);
            }
            *was_running = is_running;
        }
        tokens = (tokens + limit.per_second() * STEP).min(limit.burst as f64);
        let mut left = play.rate(limit, time) * STEP;
        while random.random::<f64>() < left {
            left -= 1.0;
            let node = match play.at_one_node {
                true => play.nodes / 2,
                false => random.random_range(0..play.nodes),
            };
            if !was_running[node] {
                continue;
            }
            asked += 1;
            if tokens >= 1.0 {
                tokens -= 1.0;
                allowed += 1;
            }
            if way.arrive(play, time, node) == Some(true) {
                ran.push(time);
            }
        }
        ran.extend(std::iter::repeat_n(time, way.pass(play, time)));
    }
    let window = tolerance.window.as_secs_f64();
    let in_window = limit.per_second() * window + limit.burst as f64;
    let most = in_window * (1.0 + tolerance.overshoot) + tolerance.slack;
    Outcome {
        worst_window: most_in_window(&ran, window) as f64 / most,
        refused_below_limit: (1.0 - ran.len() as f64 / f64::from(allowed)).max(0.0),
        messages: way.messages() as f64 / f64::from(asked),
    }
}

fn most_in_window(ran: &[f64], window: f64) -> usize {
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
