//! Compares strategies that enforce a server's rate limit: the fraction of the limit that is used,
//! the maximum number of requests in a window, and the fraction of attempts rejected at the
//! server's node.

mod mesh_support;

use std::collections::VecDeque;
use std::fmt;

use lifthollow_coordination::mesh::rate_limits::{RateLimiter, SendPace};
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::RequestRate;
use mesh_support::{at, random};
use rand::RngExt;
use rand::rngs::SmallRng;

/// Duration of a simulation, in milliseconds. The time before [`JUDGED_FROM_MS`] is not evaluated,
/// because callers still learn the limit then.
const DURATION_MS: u64 = 34_000;
const JUDGED_FROM_MS: u64 = 4_000;
const WINDOW_MS: u64 = 4_000;
/// Time that the server takes for a request, in milliseconds.
const SERVICE_MS: u64 = 100;

/// Load on one server.
#[derive(Clone, Copy, Debug)]
struct Load {
    callers: usize,
    /// Requests per second that all callers together would send to the server.
    demand: f64,
    limit: f64,
    /// Fraction of the demand that comes from the first caller; the rest is spread over the active
    /// callers.
    first_caller_share: f64,
    /// Number of callers that are active in one second; in the next second, others are.
    active: usize,
}

impl Load {
    /// Draws the caller of the next request.
    fn draw_caller(&self, now: u64, random: &mut SmallRng) -> usize {
        if random.random::<f64>() < self.first_caller_share {
            return 0;
        }
        let first_active = (now / 1000) as usize * self.active;
        (first_active + random.random_range(0..self.active)) % self.callers
    }
}

/// Strategy that enforces a server's limit.
trait LimitStrategy {
    /// Returns whether a caller sends a request to this server rather than to another one.
    fn sends(&mut self, now: Timestamp, caller: usize) -> bool;
    /// Returns whether the server's node lets a request of that caller pass.
    fn passes(&mut self, now: Timestamp, caller: usize) -> bool;
    /// Records that the caller received an answer of the server.
    fn answered(&mut self, now: Timestamp, caller: usize);
}

/// Strategy in which the node beside the server enforces the limit for all callers, and each caller
/// adapts its own pace.
struct ServerGate {
    limit: RequestRate,
    limiter: RateLimiter,
    paces: Vec<Option<SendPace>>,
}

impl ServerGate {
    fn new(load: &Load) -> Self {
        let limit = RequestRate::new(load.limit).expect("a rate");
        let mut limiter = RateLimiter::default();
        limiter.set_announced_limit(at(0), Some(limit));
        ServerGate {
            limit,
            limiter,
            paces: vec![None; load.callers],
        }
    }

    fn pace_of(&mut self, now: Timestamp, caller: usize) -> &mut SendPace {
        self.paces[caller].get_or_insert_with(|| SendPace::new(now, self.limit))
    }
}

impl LimitStrategy for ServerGate {
    fn sends(&mut self, now: Timestamp, caller: usize) -> bool {
        let Some(pace) = &mut self.paces[caller] else {
            return true;
        };
        let may_send = pace.time_until_next(now, true).is_zero();
        if may_send {
            pace.record_attempt(now);
        }
        may_send
    }

    fn passes(&mut self, now: Timestamp, caller: usize) -> bool {
        let passes = self.limiter.try_take(now);
        if !passes {
            self.pace_of(now, caller).record_rejection(now);
        }
        passes
    }

    fn answered(&mut self, now: Timestamp, caller: usize) {
        self.pace_of(now, caller).record_success();
    }
}

/// Strategy in which each caller enforces its own share of the limit and no node enforces the
/// total.
struct CallerShares {
    buckets: Vec<Bucket>,
    /// Number of callers among which the limit is divided, sent to the caller with each answer.
    divided_among: usize,
    /// Whether the limit is divided only among the callers from which the server's node received a
    /// request in the last second.
    counts_active: bool,
    seen: Vec<u64>,
    limit: f64,
}

/// Token bucket of a caller: it refills at the caller's share of the limit and holds one token at
/// most.
#[derive(Clone, Copy, Default)]
struct Bucket {
    rate: f64,
    tokens: f64,
    refilled_ms: u64,
    knows_limit: bool,
}

impl CallerShares {
    fn new(load: &Load, counts_active: bool) -> Self {
        CallerShares {
            buckets: vec![Bucket::default(); load.callers],
            divided_among: load.callers,
            counts_active,
            seen: vec![0; load.callers],
            limit: load.limit,
        }
    }
}

impl LimitStrategy for CallerShares {
    fn sends(&mut self, now: Timestamp, caller: usize) -> bool {
        let bucket = &mut self.buckets[caller];
        if !bucket.knows_limit {
            return true;
        }
        let now_ms = now.as_micros() / 1000;
        let elapsed = (now_ms - bucket.refilled_ms) as f64 / 1000.0;
        bucket.refilled_ms = now_ms;
        bucket.tokens = (bucket.tokens + elapsed * bucket.rate).min(1.0);
        let may_send = bucket.tokens >= 1.0;
        if may_send {
            bucket.tokens -= 1.0;
        }
        may_send
    }

    fn passes(&mut self, now: Timestamp, caller: usize) -> bool {
        let now_ms = now.as_micros() / 1000;
        self.seen[caller] = now_ms;
        if self.counts_active {
            let is_active = |seen: &&u64| **seen > 0 && now_ms - **seen <= 1000;
            self.divided_among = self.seen.iter().filter(is_active).count().max(1);
        }
        true
    }

    fn answered(&mut self, now: Timestamp, caller: usize) {
        let rate = self.limit / self.divided_among as f64;
        let bucket = &mut self.buckets[caller];
        if !bucket.knows_limit {
            bucket.knows_limit = true;
            bucket.refilled_ms = now.as_micros() / 1000;
        }
        bucket.rate = rate;
    }
}

/// Result of a simulation.
#[derive(Debug)]
struct Outcome {
    /// Requests that reached the server, as a fraction of those that the limit allows.
    used: f64,
    max_in_window: usize,
    rejected: f64,
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:.2} of the limit used, at most {} requests in a window, {:.2} of attempts rejected",
            self.used, self.max_in_window, self.rejected
        )
    }
}

fn simulate(load: &Load, strategy: &mut dyn LimitStrategy) -> Outcome {
    let mut random = random();
    let mut answers: VecDeque<(u64, usize)> = VecDeque::new();
    let mut reached = Vec::new();
    let mut judged_sent = 0_u32;
    for now in 0..DURATION_MS {
        while answers.front().is_some_and(|(due, _)| *due <= now) {
            let (_, caller) = answers.pop_front().expect("there is one");
            strategy.answered(at(now), caller);
        }
        if random.random::<f64>() >= load.demand / 1000.0 {
            continue;
        }
        let caller = load.draw_caller(now, &mut random);
        if !strategy.sends(at(now), caller) {
            continue;
        }
        judged_sent += u32::from(now >= JUDGED_FROM_MS);
        if strategy.passes(at(now), caller) {
            reached.push(now);
            answers.push_back((now + SERVICE_MS, caller));
        }
    }
    let judged: Vec<u64> = reached
        .into_iter()
        .filter(|at| *at >= JUDGED_FROM_MS)
        .collect();
    let seconds = (DURATION_MS - JUDGED_FROM_MS) as f64 / 1000.0;
    let in_window = |start: &u64| {
        let within = |time: &&u64| **time >= *start && **time < *start + WINDOW_MS;
        judged.iter().filter(within).count()
    };
    Outcome {
        used: judged.len() as f64 / (load.limit * seconds),
        max_in_window: judged.iter().map(in_window).max().unwrap_or_default(),
        rejected: 1.0 - judged.len() as f64 / f64::from(judged_sent.max(1)),
    }
}

/// Returns loads of 12 and of 985 callers: spread evenly, mostly of one caller, and moving from
/// some callers to others each second.
fn loads() -> Vec<(&'static str, Load)> {
    let even = |callers, demand, limit| Load {
        callers,
        demand,
        limit,
        first_caller_share: 0.0,
        active: callers,
    };
    let mostly_one = |load| Load {
        first_caller_share: 0.9,
        ..load
    };
    let moving = |load: Load| Load {
        active: load.callers / 4,
        ..load
    };
    let (small, large) = (even(12, 50.0, 10.0), even(985, 50.0, 10.0));
    vec![
        ("12, even", small),
        ("12, of one", mostly_one(small)),
        ("12, moving", moving(small)),
        ("985, even", large),
        ("985, of one", mostly_one(large)),
        ("985, moving", moving(large)),
    ]
}

#[test]
fn server_gets_its_limit_and_no_more_however_demand_is_spread() {
    for (name, load) in loads() {
        let gate = simulate(&load, &mut ServerGate::new(&load));
        let equal = simulate(&load, &mut CallerShares::new(&load, false));
        let active = simulate(&load, &mut CallerShares::new(&load, true));
        println!("{name}: gate {gate}; equal shares {equal}; shares of active {active}");
        let allowed = 1.5 * load.limit * 4.0 + 5.0;
        assert!(gate.max_in_window as f64 <= allowed, "{name}: {gate:?}");
        assert!(gate.used >= 0.9, "{name}: {gate:?}");
    }
}
