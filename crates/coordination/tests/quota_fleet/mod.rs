//! A fleet that keeps one tenant's limit, without a network: requests come to its nodes, nodes
//! are cut off or killed, and messages take their time.

pub mod ways;

use std::ops::Range;
use std::time::Duration;

use lifthollow_coordination::mesh::tenants::fleet_quota::QuotaTolerance;
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::RateLimit;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// How long a message takes from one node to another.
pub const DELAY: Duration = Duration::from_millis(2);
/// How long a play lasts.
const LENGTH: f64 = 30.0;
/// The steps in which time passes.
const STEP: f64 = 0.001;

pub fn at(seconds: f64) -> Timestamp {
    Timestamp::from_micros((seconds * 1e6) as u64)
}

/// A span of a play, seconds.
pub type Span = Range<f64>;

/// What happens to a fleet.
#[derive(Clone, Debug)]
pub struct Play {
    pub name: &'static str,
    pub nodes: usize,
    /// Requests a second that the tenant sends as a rule, as a part of its limit.
    pub load: f64,
    /// It sends so many times that in this span.
    pub surge: Option<(f64, Span)>,
    /// All its requests come to one node.
    pub at_one_node: bool,
    /// The nodes that are cut off from all others, and when.
    pub cut: Option<(Range<usize>, Span)>,
    /// The lender's process is killed, and back after this span.
    pub lender_killed: Option<Span>,
    /// All processes are killed.
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

    /// How long a node has been cut off.
    pub fn cut_off_for(&self, node: usize, time: f64) -> Duration {
        let since = self.cut.as_ref().map_or(time, |(_, span)| span.start);
        match self.is_cut(node, time) {
            true => Duration::from_secs_f64(time - since),
            false => Duration::ZERO,
        }
    }

    /// Whether messages go from one node to another.
    pub fn is_connected(&self, one: usize, other: usize, time: f64) -> bool {
        one == other || !self.is_cut(one, time) && !self.is_cut(other, time)
    }

    pub fn is_running(&self, node: usize, lender: usize, time: f64) -> bool {
        let in_span = |span: &Option<Span>| span.as_ref().is_some_and(|span| span.contains(&time));
        let is_lender_killed = node == lender && in_span(&self.lender_killed);
        !is_lender_killed && !in_span(&self.all_killed)
    }
}

/// A way in which a fleet keeps a limit.
pub trait Way {
    /// Which node lends, as far as one does.
    fn lender(&self) -> usize {
        0
    }
    /// A request comes to `node`. True if it runs, false if it doesn't, none if it waits.
    fn arrive(&mut self, play: &Play, time: f64, node: usize) -> Option<bool>;
    /// Time has passed; gives how many of the requests that waited run now.
    fn pass(&mut self, play: &Play, time: f64) -> usize;
    /// Messages sent so far.
    fn messages(&self) -> usize;
    /// A process starts anew and knows nothing.
    fn restarted(&mut self, play: &Play, time: f64, node: usize);
}

/// What came of a play.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// The most requests that ran in a window, as a part of what may.
    pub worst_window: f64,
    /// Requests refused that one bucket for all would have let run, as a part of those.
    pub refused_below_limit: f64,
    /// Messages for each request.
    pub messages: f64,
}

/// Plays with requests drawn from `seed`.
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
