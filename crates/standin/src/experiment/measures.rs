//! The users' measures, from a load's seconds.

use std::ops::Range;

use serde::Serialize;

use crate::load::SecondLine;

/// Share of the goodput before at which a second counts as normal again.
const RECOVERED_SHARE: f64 = 0.95;
/// Seconds for which goodput must have stayed normal.
const RECOVERED_SECONDS: usize = 5;
/// The class that is shed last.
const CRITICAL: &str = "critical";

/// When the disturbance lasted, in whole seconds of the load.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// First second with it.
    pub start: usize,
    /// First second without it.
    pub end: usize,
    /// Requests a second that could be served at best while it lasted.
    pub capacity: f64,
    /// Requests a second that could be served at best otherwise.
    pub normal_capacity: f64,
}

/// The measures of one run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Measures {
    /// Requests offered from the disturbance's start on.
    pub offered: u64,
    /// Requests completed in time from the disturbance's start on.
    pub goodput: u64,
    /// Goodput over the smaller of what was offered and what could be served.
    pub goodput_ratio: f64,
    /// Seconds from the disturbance's end until goodput was normal for good.
    pub recovery_seconds: Option<usize>,
    /// Critical requests refused or late, over those offered, from the disturbance's start on.
    pub critical_lost_ratio: f64,
    /// Mean goodput a second before the disturbance.
    pub goodput_before: f64,
    /// Mean goodput a second during the disturbance.
    pub goodput_during: f64,
    /// Mean goodput a second after the disturbance.
    pub goodput_after: f64,
}

impl Measures {
    /// Measures a run of `seconds`; the first second is left out as warm-up.
    pub fn of(seconds: &[SecondLine], disturbance: &Disturbance) -> Self {
        let from_start = disturbance.start..seconds.len();
        let goodput = total(seconds, from_start.clone(), |line| line.counts.goodput);
        let offered = total(seconds, from_start.clone(), |line| line.counts.offered);
        let before = mean_goodput(seconds, 1..disturbance.start);
        Measures {
            offered,
            goodput,
            goodput_ratio: goodput as f64 / servable(seconds, disturbance),
            recovery_seconds: recovery(seconds, disturbance.end, before),
            critical_lost_ratio: critical_lost(seconds, from_start),
            goodput_before: before,
            goodput_during: mean_goodput(seconds, disturbance.start..disturbance.end),
            goodput_after: mean_goodput(seconds, disturbance.end..seconds.len()),
        }
    }
}

fn total(seconds: &[SecondLine], range: Range<usize>, of: impl Fn(&SecondLine) -> u64) -> u64 {
    seconds[range].iter().map(of).sum()
}

fn mean_goodput(seconds: &[SecondLine], range: Range<usize>) -> f64 {
    let length = range.len().max(1) as f64;
    total(seconds, range, |line| line.counts.goodput) as f64 / length
}

/// What could have been served from the disturbance's start on.
fn servable(seconds: &[SecondLine], disturbance: &Disturbance) -> f64 {
    let lines = seconds.iter().enumerate().skip(disturbance.start);
    lines
        .map(|(second, line)| {
            let disturbed = second < disturbance.end;
            let capacity = if disturbed {
                disturbance.capacity
            } else {
                disturbance.normal_capacity
            };
            capacity.min(line.counts.offered as f64)
        })
        .sum()
}

/// Arrivals are random, so a second is normal if it reaches the share of the
/// mean before or of what that second was offered, whichever is smaller.
fn recovery(seconds: &[SecondLine], end: usize, before: f64) -> Option<usize> {
    let normal = |line: &SecondLine| {
        let wanted = before.min(line.counts.offered as f64);
        line.counts.goodput as f64 >= RECOVERED_SHARE * wanted
    };
    seconds
        .get(end..)?
        .windows(RECOVERED_SECONDS)
        .position(|window| window.iter().all(normal))
}

fn critical_lost(seconds: &[SecondLine], range: Range<usize>) -> f64 {
    let class = |line: &SecondLine| line.counts.classes.get(CRITICAL).copied();
    let offered = total(seconds, range.clone(), |line| {
        class(line).map_or(0, |counts| counts.offered)
    });
    let goodput = total(seconds, range, |line| {
        class(line).map_or(0, |counts| counts.goodput)
    });
    offered.saturating_sub(goodput) as f64 / offered.max(1) as f64
}
