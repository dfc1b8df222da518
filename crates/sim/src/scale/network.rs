//! The paths between nodes: delay, loss and cuts.

use std::time::Duration;

use lifthollow_state::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};

use super::setup::{FAULT_AT, Fault, ScaleSetup};

/// One-way delays in microseconds.
const WITHIN_ZONE: f64 = 250.0;
const WITHIN_REGION: f64 = 700.0;
const BETWEEN_REGIONS: std::ops::Range<f64> = 8_000.0..45_000.0;
/// Mean of the exponential part of a delay, as a share of its fixed part.
const VARIABLE_SHARE: f64 = 0.2;

/// How long regions lose each other.
const CUT_SECONDS: u32 = 3_600;
/// Time left after a cut to see the views merge.
const AFTER_CUT_SECONDS: u32 = 180;
const SHORTEST_CUT_SECONDS: u32 = 60;

/// The paths between all nodes.
pub struct PathModel {
    zones: usize,
    fixed_delays: Vec<f64>,
    loss: f64,
    cut: Option<(Timestamp, Timestamp)>,
    random: ChaCha8Rng,
}

impl PathModel {
    /// The paths of a setup.
    pub fn new(setup: &ScaleSetup) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(setup.seed);
        PathModel {
            zones: setup.zones as usize,
            fixed_delays: fixed_delays(setup, &mut random),
            loss: setup.faults.loss_ratio(),
            cut: setup
                .faults
                .has(Fault::RegionsCut)
                .then(|| cut_times(setup)),
            random,
        }
    }

    /// When a cut heals, if there is one.
    pub fn heals(&self) -> Option<Timestamp> {
        self.cut.map(|(_, heals)| heals)
    }

    /// Whether the regions are cut from each other now.
    pub fn is_cut(&self, now: Timestamp) -> bool {
        self.cut
            .is_some_and(|(begins, heals)| begins <= now && now < heals)
    }

    /// Which of the parts that cannot reach each other now a region belongs to.
    pub fn part(&self, now: Timestamp, region: u32) -> usize {
        usize::from(self.is_cut(now) && region == 0)
    }

    /// The delay of a datagram between two zones; none if it is lost.
    pub fn delay(&mut self, from_zone: u32, to_zone: u32) -> Option<Duration> {
        if self.loss > 0.0 && self.random.random_bool(self.loss) {
            return None;
        }
        let fixed = self.fixed_delays[from_zone as usize * self.zones + to_zone as usize];
        let variable: f64 = Exp1.sample(&mut self.random);
        let micros = fixed * (1.0 + VARIABLE_SHARE * variable);
        Some(Duration::from_micros(micros as u64))
    }
}

fn cut_times(setup: &ScaleSetup) -> (Timestamp, Timestamp) {
    let begins = Timestamp::ZERO + FAULT_AT;
    let left = setup.seconds - FAULT_AT.as_secs() as u32;
    let longest = left.saturating_sub(AFTER_CUT_SECONDS);
    let seconds = CUT_SECONDS.min(longest).max(SHORTEST_CUT_SECONDS);
    (begins, begins + Duration::from_secs(seconds.into()))
}

fn fixed_delays(setup: &ScaleSetup, random: &mut ChaCha8Rng) -> Vec<f64> {
    let zones = setup.zones as usize;
    let mut delays = vec![WITHIN_ZONE; zones * zones];
    for a in 0..zones {
        for b in 0..a {
            let between: f64 = random.random_range(BETWEEN_REGIONS);
            let same_region = setup.region(a as u32) == setup.region(b as u32);
            let delay = if same_region { WITHIN_REGION } else { between };
            delays[a * zones + b] = delay;
            delays[b * zones + a] = delay;
        }
    }
    delays
}
